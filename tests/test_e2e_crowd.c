#include "lib_crowd.h"
#include "lib_proc.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Guards against clients that take a process's memory or descriptors: in a trial such a crowd ended
 * an entry, which ran out of memory. Limits are lowered in the settings, so that a small crowd is
 * enough. Nothing here depends on the speed of the machine: each test checks that the process
 * lives, that its memory and descriptors stay under a bound, and that an ordinary request is
 * answered afterwards, while the crowd is still connected.
 */

#define MEMORY_MB 32 /* of the host, in the settings of the processes */
#define DESCRIPTORS 160
#define CLIENTS 192
#define BODY_BYTES (256 * 1024) /* limit in the configuration */
#define PIECE_BYTES (16 * 1024)
#define TINY_BYTES 32
#define PATIENCE_MS 10000 /* of an ordinary caller */

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"h.example\",\"prefix\":\"/p/\","
	"\"service\":\"s\",\"priority\":1,\"max_attempts\":2,\"stretch\":3.0,\"slo_ms\":1000}],"
	"\"services\":[{\"name\":\"s\",\"rejects_overload\":true}],\"limits\":{\"max_body_bytes\":"
	"262144},\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\"],\"guaranteed\":{\"gpu\":8}}]}";

static struct proc platform;
static struct proc entry;
static struct proc agent;
static struct proc worker;
static char callers[32];
static char control[32];
static char app[32];
static int next_job = 1;

static void free_address(char *out, size_t len)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    getsockname(fd, (struct sockaddr *)&address, &size))
		perror("bind");
	close(fd);
	snprintf(out, len, "127.0.0.1:%u", ntohs(address.sin_port));
}

static void start_host(struct proc *proc, const char *role)
{
	char message[32];
	char ready[32];
	char settings[300];
	const char *arguments[] = {role, "--config", settings, NULL};
	FILE *file;

	free_address(message, sizeof(message));
	free_address(ready, sizeof(ready));
	snprintf(settings, sizeof(settings), "%s/%s.json", proc_log_folder(), role);
	file = fopen(settings, "w");
	fprintf(file,
		"{\"node\":\"%s\",\"message_address\":\"%s\",\"store_address\":\"%s\","
		"\"callers_address\":\"%s\",\"ready_address\":\"%s\",\"control_address\":\"%s\","
		"\"worker_address\":\"%s\",\"service\":\"s\",\"grace_s\":6,\"stop_ms\":200,"
		"\"memory_mb\":%d,\"max_descriptors\":%d}",
		role, message, platform.address[0], callers, ready, control, app, MEMORY_MB,
		DESCRIPTORS);
	fclose(file);
	CU_ASSERT_TRUE_FATAL(proc_start(proc, "jaycourse-fleet", role, arguments));
}

static int call(const char *method, const char *id, const char *body, const char *expected)
{
	static const char *const headers[] = {"Host: h.example", "Authorization: Bearer k1",
					      "Deadline-Ms: 10000", NULL};
	char url[128];
	struct http_reply reply;
	int status;

	snprintf(url, sizeof(url), "http://%s/p/%s", callers, id);
	reply = http_call(method, url, headers, body, PATIENCE_MS);
	status = reply.status;
	if (expected && status == 200 && (!reply.body || !strstr(reply.body, expected)))
		status = 0;
	http_reply_free(&reply);
	return status;
}

static bool job_is_done(void *ctx)
{
	return call("GET", ctx, NULL, "completed") == 200;
}

/* A job is submitted and done, as by an ordinary caller who repeats a refused call. */
static bool submit(void *ctx)
{
	return call("POST", ctx,
		    "{\"task_spec\":\"100\",\"steps\":[{\"count\":1,\"cpu\":1000,\"gpu\":1,"
		    "\"estimate_ms\":100}]}",
		    NULL) == 200;
}

static void check_served(void)
{
	char id[20];

	snprintf(id, sizeof(id), "%016x", next_job++);
	CU_ASSERT_TRUE(wait_until(submit, id, 3 * PATIENCE_MS));
	CU_ASSERT_TRUE(wait_until(job_is_done, id, 3 * PATIENCE_MS));
}

static bool entry_serves(void *ctx)
{
	return call("GET", "", NULL, NULL) == 200;
}

/* Guards against processes that do not start; each test has processes of its own. */
static void start_all(void)
{
	static const char *const none[] = {NULL};
	const char *worker_arguments[] = {"i-1", "s", "r1", control, app, NULL};
	char url[128];
	struct http_reply reply;

	free_address(callers, sizeof(callers));
	free_address(control, sizeof(control));
	free_address(app, sizeof(app));
	CU_ASSERT_TRUE_FATAL(proc_start(&platform, "fake_platform", "platform", none));
	snprintf(url, sizeof(url), "http://%s/operator/op/config", platform.address[0]);
	reply = http_call("PUT", url, NULL, config, 2000);
	CU_ASSERT_EQUAL_FATAL(reply.status, 200);
	http_reply_free(&reply);
	start_host(&entry, "entry");
	start_host(&agent, "agent");
	CU_ASSERT_TRUE_FATAL(proc_start(&worker, "fake_minion", "worker", worker_arguments));
	CU_ASSERT_TRUE_FATAL(wait_until(entry_serves, NULL, 15000));
	check_served();
}

static void stop_all(void)
{
	proc_kill(&entry);
	proc_kill(&agent);
	proc_kill(&worker);
	proc_kill(&platform);
}

static void check_bounds(const char *name, struct proc *proc)
{
	uint64_t peak_kb = proc_peak_kb(proc->pid);
	uint32_t descriptors = proc_descriptors(proc->pid);
	int status;

	CU_ASSERT_FALSE(proc_ended(proc, &status));
#ifndef __SANITIZE_ADDRESS__ /* which keeps freed memory */
	CU_ASSERT(peak_kb > 0 && peak_kb < MEMORY_MB * 1024);
#endif
	CU_ASSERT(descriptors > 0 && descriptors < DESCRIPTORS);
	printf("%s: peak %llu kB, %u descriptors ... ", name, (unsigned long long)peak_kb,
	       descriptors);
}

static void meet_crowd(const char *address, struct proc *proc, const struct crowd_options *options)
{
	struct crowd *crowd;

	start_all();
	crowd = crowd_start(address, options);
	check_bounds(proc->name, proc);
	check_served();
	crowd_end(crowd);
	check_served();
	stop_all();
}

static struct crowd_options caller_options(size_t announced, size_t bytes, size_t piece)
{
	return (struct crowd_options){
		.method = "POST",
		.path = "/p/00000000000000ff",
		.host = "h.example",
		.authorization = "Bearer k1",
		.clients = CLIENTS,
		.body_bytes = bytes,
		.announced_bytes = announced,
		.chunk_bytes = piece,
		.finish_every = 8,
	};
}

/* Many legal bodies at once, most of them stopping one byte short of their end. */
static void test_whole_bodies(void)
{
	struct crowd_options options = caller_options(BODY_BYTES, BODY_BYTES, BODY_BYTES);

	meet_crowd(callers, &entry, &options);
}

/* The same piece by piece, so that all bodies grow together. */
static void test_bodies_in_pieces(void)
{
	struct crowd_options options = caller_options(BODY_BYTES, BODY_BYTES, PIECE_BYTES);

	meet_crowd(callers, &entry, &options);
}

/* Chunked bodies announce no length, so a budget has to grow with what arrives. */
static void test_large_chunks(void)
{
	struct crowd_options options = caller_options(0, BODY_BYTES, PIECE_BYTES);

	meet_crowd(callers, &entry, &options);
}

/* Very small chunks cost most per byte. */
static void test_tiny_chunks(void)
{
	struct crowd_options options = caller_options(0, BODY_BYTES, TINY_BYTES);

	meet_crowd(callers, &entry, &options);
}

/* Bodies that are announced far over the limit. */
static void test_announced_over_limit(void)
{
	struct crowd_options options = caller_options((size_t)1 << 30, 4 * BODY_BYTES, PIECE_BYTES);

	meet_crowd(callers, &entry, &options);
}

/* Bodies that are sent far over the limit without an announcement. */
static void test_sent_over_limit(void)
{
	struct crowd_options options = caller_options(0, 16 * BODY_BYTES, PIECE_BYTES);

	meet_crowd(callers, &entry, &options);
}

/* The agent's server for heartbeats has the same weakness. */
static void test_agent_bodies(void)
{
	struct crowd_options options = {
		.method = "PUT",
		.path = "/v1/instances/i-9",
		.clients = CLIENTS,
		.body_bytes = BODY_BYTES,
		.announced_bytes = BODY_BYTES,
		.chunk_bytes = PIECE_BYTES,
		.finish_every = 8,
	};

	meet_crowd(control, &agent, &options);
}

static void test_agent_chunks(void)
{
	struct crowd_options options = {
		.method = "PUT",
		.path = "/v1/instances/i-9",
		.clients = CLIENTS,
		.body_bytes = BODY_BYTES,
		.chunk_bytes = PIECE_BYTES,
	};

	meet_crowd(control, &agent, &options);
}

/* Guards against limits that refuse a single large request although nobody else calls. */
static void test_single_large_request(void)
{
	static const char job[] = "{\"task_spec\":\"100\",\"steps\":[{\"count\":1,\"cpu\":1000,"
				  "\"gpu\":1,\"estimate_ms\":100}]}";
	char *body = malloc(BODY_BYTES + 1);
	char id[20];

	start_all();
	memset(body, ' ', BODY_BYTES);
	memcpy(body + BODY_BYTES - strlen(job), job, strlen(job) + 1);
	snprintf(id, sizeof(id), "%016x", next_job++);
	CU_ASSERT_EQUAL(call("POST", id, body, NULL), 200);
	CU_ASSERT_TRUE(wait_until(job_is_done, id, 3 * PATIENCE_MS));
	check_bounds(entry.name, &entry);
	stop_all();
	free(body);
}

int main(void)
{
	CU_pSuite suite;

	CU_initialize_registry();
	suite = CU_add_suite("crowd", NULL, NULL);
	CU_add_test(suite, "whole_bodies", test_whole_bodies);
	CU_add_test(suite, "bodies_in_pieces", test_bodies_in_pieces);
	CU_add_test(suite, "large_chunks", test_large_chunks);
	CU_add_test(suite, "tiny_chunks", test_tiny_chunks);
	CU_add_test(suite, "announced_over_limit", test_announced_over_limit);
	CU_add_test(suite, "sent_over_limit", test_sent_over_limit);
	CU_add_test(suite, "agent_bodies", test_agent_bodies);
	CU_add_test(suite, "agent_chunks", test_agent_chunks);
	CU_add_test(suite, "single_large_request", test_single_large_request);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	return CU_get_number_of_failures() != 0;
}
