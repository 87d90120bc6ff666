#include "lib_proc.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Tests the job scheduler as it runs on the platform: entries, agents, workers and the store are
 * separate processes on loopback. Failures are injected by signals and by faults of the store.
 */

#define ENTRIES 2
#define WORKERS 3
#define JOBS_MAX 64
#define MEMKV_REJECT_CALLS 1 /* values of enum memkv_fault */
#define MEMKV_LOSE_ANSWERS 2

static const char config[] =
	"{\"version\":%d,\"routes\":[{\"name\":\"q\",\"host\":\"h.example\",\"prefix\":\"/p/\","
	"\"service\":\"s\",\"priority\":0,\"max_attempts\":2,\"stretch\":3.0,\"slo_ms\":1000}],"
	"\"services\":[{\"name\":\"s\",\"rejects_overload\":true}],\"tenants\":[{\"name\":\"t\","
	"\"api_keys\":[\"k1\"],\"guaranteed\":{\"gpu\":8}}]}";

struct host {
	struct proc proc;
	struct proc worker; /* only of an agent */
	char settings[300];
	char label[32];
	char callers[32];
	char control[32];
	char app[32];
	char metrics[32];
	bool entry;
};

static struct proc platform;
static struct host entries[ENTRIES];
static struct host agents[WORKERS];
static int next_job;

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

static void write_settings(struct host *host)
{
	char message[32];
	char ready[32];
	FILE *file;

	free_address(message, sizeof(message));
	free_address(ready, sizeof(ready));
	free_address(host->callers, sizeof(host->callers));
	free_address(host->control, sizeof(host->control));
	free_address(host->app, sizeof(host->app));
	free_address(host->metrics, sizeof(host->metrics));
	snprintf(host->settings, sizeof(host->settings), "%s/%s.json", proc_log_folder(),
		 host->label);
	file = fopen(host->settings, "w");
	fprintf(file,
		"{\"node\":\"%s\",\"message_address\":\"%s\",\"store_address\":\"%s\","
		"\"callers_address\":\"%s\",\"ready_address\":\"%s\",\"control_address\":\"%s\","
		"\"worker_address\":\"%s\",\"service\":\"s\",\"grace_s\":6,\"stop_ms\":200,"
		"\"metrics_address\":\"%s\"%s}",
		host->label, message, platform.address[0], host->callers, ready, host->control,
		host->app, host->metrics, host->entry ? ",\"evacuate_ms\":5000" : "");
	fclose(file);
}

static void start_host(struct host *host)
{
	const char *arguments[] = {host->entry ? "entry" : "agent", "--config", host->settings,
				   NULL};

	CU_ASSERT_TRUE_FATAL(proc_start(&host->proc, "jaycourse-fleet", host->label, arguments));
}

static void start_worker(struct host *host, int number)
{
	char id[16];
	char rack[16];
	char label[32];
	const char *arguments[] = {id, "s", rack, host->control, host->app, NULL};

	snprintf(id, sizeof(id), "i-%d", number);
	snprintf(rack, sizeof(rack), "r%d", number / 2);
	snprintf(label, sizeof(label), "worker%d", number);
	CU_ASSERT_TRUE_FATAL(proc_start(&host->worker, "fake_minion", label, arguments));
}

static int operator_call(const char *method, const char *path, const char *body)
{
	char url[128];
	struct http_reply reply;

	snprintf(url, sizeof(url), "http://%s%s", platform.address[0], path);
	reply = http_call(method, url, NULL, body, 2000);
	http_reply_free(&reply);
	return reply.status;
}

static int operator_put(const char *path, const char *body)
{
	return operator_call("PUT", path, body);
}

static void set_trouble(int trouble)
{
	char path[32];

	snprintf(path, sizeof(path), "/trouble/%d", trouble);
	CU_ASSERT_EQUAL(operator_put(path, ""), 200);
}

static void put_config(int version)
{
	char body[1024];

	snprintf(body, sizeof(body), config, version);
	CU_ASSERT_EQUAL(operator_put("/operator/op/config", body), 200);
}

static int call_entry(int entry, const char *method, const char *id, const char *body, char *out,
		      size_t len)
{
	static const char *const headers[] = {"Host: h.example", "Authorization: Bearer k1",
					      "Deadline-Ms: 2000", NULL};
	char url[128];
	struct http_reply reply;
	int status;

	snprintf(url, sizeof(url), "http://%s/p/%s", entries[entry].callers, id);
	reply = http_call(method, url, headers, body, 3000);
	status = reply.status;
	if (out)
		snprintf(out, len, "%s", reply.body ? reply.body : "");
	http_reply_free(&reply);
	return status;
}

static void job_id(int number, char *id, size_t len)
{
	snprintf(id, len, "%016x", number);
}

/* Submits a job as a client does: retries at the next entry until the job is accepted. */
static bool submit_job(int number, const char *spec, int tasks, bool gang)
{
	char id[20];
	char body[256];

	job_id(number, id, sizeof(id));
	snprintf(body, sizeof(body),
		 "{\"task_spec\":\"%s\",\"steps\":[{\"count\":%d,\"cpu\":1000,\"gpu\":1,"
		 "\"estimate_ms\":300,\"gang\":%s}]}",
		 spec, tasks, gang ? "true" : "false");
	for (int attempt = 0; attempt < 40; attempt++) {
		if (call_entry(attempt % ENTRIES, "POST", id, body, NULL, 0) == 200)
			return true;
		usleep(200 * 1000);
	}
	return false;
}

static bool job_has_state(int number, const char *state)
{
	char id[20];
	char body[128];
	char expected[64];

	job_id(number, id, sizeof(id));
	snprintf(expected, sizeof(expected), "{\"state\":\"%s\"}", state);
	for (int entry = 0; entry < ENTRIES; entry++) {
		if (call_entry(entry, "GET", id, NULL, body, sizeof(body)) == 200 &&
		    !strcmp(body, expected))
			return true;
	}
	return false;
}

struct expectation {
	int first;
	int last;
	const char *state;
};

static bool all_have_state(void *ctx)
{
	struct expectation *expectation = ctx;

	while (expectation->first <= expectation->last &&
	       job_has_state(expectation->first, expectation->state))
		expectation->first++;
	return expectation->first > expectation->last;
}

static bool wait_state(int first, int last, const char *state, uint32_t ms)
{
	struct expectation expectation = {first, last, state};

	return wait_until(all_have_state, &expectation, ms);
}

/* Counts the tasks of a job that were done, over all workers, and those done more than once. */
static void count_done(int number, int *done, int *repeated)
{
	char id[20];
	char seen[JOBS_MAX][64];
	char line[256];

	job_id(number, id, sizeof(id));
	*done = 0;
	*repeated = 0;
	for (int w = 0; w < WORKERS; w++) {
		FILE *file = fopen(agents[w].worker.log, "r");
		char task[64];
		char how[16];
		unsigned int run;

		while (file && fgets(line, sizeof(line), file)) {
			if (sscanf(line, "end %63s %u %15s", task, &run, how) != 3 ||
			    strcmp(how, "done") != 0 || strncmp(task, id, strlen(id)) != 0)
				continue;
			for (int i = 0; i < *done; i++)
				*repeated += !strcmp(seen[i], task);
			if (*done < JOBS_MAX)
				snprintf(seen[(*done)++], sizeof(seen[0]), "%s", task);
		}
		if (file)
			fclose(file);
	}
}

/* Runs of a job's tasks that the workers have started. */
static int count_starts(int number)
{
	char id[20];
	char line[256];
	int starts = 0;

	job_id(number, id, sizeof(id));
	for (int w = 0; w < WORKERS; w++) {
		FILE *file = fopen(agents[w].worker.log, "r");
		char task[64];

		while (file && fgets(line, sizeof(line), file))
			starts += sscanf(line, "start %63s", task) == 1 &&
				  !strncmp(task, id, strlen(id));
		if (file)
			fclose(file);
	}
	return starts;
}

static void check_done(int first, int last, int tasks)
{
	for (int job = first; job <= last; job++) {
		int done;
		int repeated;

		count_done(job, &done, &repeated);
		CU_ASSERT_EQUAL(repeated, 0);
		CU_ASSERT(done >= tasks);
	}
}

static bool entries_serve(void *ctx)
{
	char body[64];

	return call_entry(0, "GET", "", NULL, body, sizeof(body)) == 200 &&
	       call_entry(1, "GET", "", NULL, body, sizeof(body)) == 200;
}

/* Guards against processes that do not start. The other tests use these processes. */
static void test_start(void)
{
	const char *none[] = {NULL};

	CU_ASSERT_TRUE_FATAL(proc_start(&platform, "fake_platform", "platform", none));
	put_config(1);
	for (int i = 0; i < ENTRIES; i++) {
		entries[i].entry = true;
		snprintf(entries[i].label, sizeof(entries[i].label), "entry-%d", i);
		write_settings(&entries[i]);
		start_host(&entries[i]);
	}
	for (int i = 0; i < WORKERS; i++) {
		snprintf(agents[i].label, sizeof(agents[i].label), "agent-%d", i);
		write_settings(&agents[i]);
		start_host(&agents[i]);
		start_worker(&agents[i], i);
	}
	CU_ASSERT_TRUE_FATAL(wait_until(entries_serve, NULL, 15000));
}

static int tear_down(void)
{
	for (int i = 0; i < ENTRIES; i++)
		proc_kill(&entries[i].proc);
	for (int i = 0; i < WORKERS; i++) {
		proc_kill(&agents[i].proc);
		proc_kill(&agents[i].worker);
	}
	proc_kill(&platform);
	return 0;
}

static int submit_jobs(int count, const char *spec, int tasks, bool gang)
{
	int first = next_job;

	for (int i = 0; i < count; i++)
		CU_ASSERT_TRUE(submit_job(next_job++, spec, tasks, gang));
	return first;
}

/* Guards against a break in the path between caller and worker when no fault is injected. */
static void test_calm(void)
{
	int first = submit_jobs(4, "200", 3, false);
	int gang = submit_jobs(1, "200", 4, true);

	CU_ASSERT_TRUE(wait_state(first, gang, "completed", 15000));
	check_done(first, first + 3, 3);
}

/* Guards against a job whose tasks always fail and that never ends. */
static void test_failing_job(void)
{
	int first = submit_jobs(1, "fail", 1, false);

	CU_ASSERT_TRUE(wait_state(first, first, "failed", 15000));
}

/* Guards against a cancelled job that keeps running. */
static void test_cancel(void)
{
	int first = submit_jobs(1, "60000", 2, false);
	char id[20];

	CU_ASSERT_TRUE(wait_state(first, first, "running", 10000));
	job_id(first, id, sizeof(id));
	CU_ASSERT_EQUAL(call_entry(1, "DELETE", id, NULL, NULL, 0), 200);
	CU_ASSERT_TRUE(wait_state(first, first, "cancelled", 10000));
}

/* Guards against jobs that are lost or run twice when the entries are killed, one after another. */
static void test_killed_entries(void)
{
	int first = submit_jobs(6, "1500", 2, false);

	for (int i = 0; i < ENTRIES; i++) {
		proc_kill(&entries[i].proc);
		usleep(700 * 1000);
		start_host(&entries[i]);
	}
	CU_ASSERT_TRUE(wait_state(first, first + 5, "completed", 30000));
	check_done(first, first + 5, 2);
}

/* Guards against tasks that are run again because their agent was restarted. */
static void test_killed_agents(void)
{
	int first = submit_jobs(6, "1500", 2, false);

	for (int i = 0; i < WORKERS; i++) {
		proc_kill(&agents[i].proc);
		start_host(&agents[i]);
	}
	CU_ASSERT_TRUE(wait_state(first, first + 5, "completed", 30000));
	check_done(first, first + 5, 2);
}

/* Guards against tasks that are not run again, or run twice, after their worker has crashed. */
static void test_crashed_worker(void)
{
	int first = submit_jobs(4, "1500", 4, false);

	usleep(300 * 1000);
	proc_kill(&agents[0].worker); /* before any of its tasks is done */
	CU_ASSERT_TRUE(wait_state(first, first + 3, "completed", 30000));
	check_done(first, first + 3, 4);
	start_worker(&agents[0], 0);
}

static int send_heartbeat(const struct host *agent, const char *id, const char *started)
{
	char url[128];
	char body[512];
	struct http_reply reply;

	snprintf(url, sizeof(url), "http://%s/v1/instances/%s", agent->control, id);
	snprintf(body, sizeof(body),
		 "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\",\"state\":\"ready\","
		 "\"capacity\":{\"cpu\":128000,\"mem_mb\":524288,\"gpu\":8},\"labels\":[\"a\","
		 "\"r0\"],\"seq\":1000%s}",
		 agent->app, started);
	reply = http_call("PUT", url, NULL, body, 3000);
	http_reply_free(&reply);
	return reply.status;
}

/* Guards against tasks that run twice because another writer has sent a heartbeat. */
static void test_heartbeats_of_others(void)
{
	int first = submit_jobs(2, "3000", 4, false);
	char later[64];

	CU_ASSERT_TRUE(wait_state(first, first + 1, "running", 10000));
	usleep(300 * 1000);
	snprintf(later, sizeof(later), ",\"born\":%llu", (unsigned long long)util_wall_ms());
	for (int i = 0; i < WORKERS; i++) {
		char own[16];

		snprintf(own, sizeof(own), "i-%d", i);
		CU_ASSERT_EQUAL(send_heartbeat(&agents[i], "i-other", later), 409);
		CU_ASSERT_EQUAL(send_heartbeat(&agents[i], "i-other", ""), 409);
		CU_ASSERT_EQUAL(send_heartbeat(&agents[i], own, later), 409);
		CU_ASSERT_EQUAL(send_heartbeat(&agents[i], own, ""), 400);
		CU_ASSERT_EQUAL(send_heartbeat(&agents[i], own, ",\"born\":\"\""), 400);
	}
	CU_ASSERT_TRUE(wait_state(first, first + 1, "completed", 15000));
	check_done(first, first + 1, 4);
	CU_ASSERT_EQUAL(count_starts(first), 4);
	CU_ASSERT_EQUAL(count_starts(first + 1), 4);
}

/* Guards against jobs that are lost or run twice while the store refuses calls or loses answers. */
static void test_troubled_store(void)
{
	int first = submit_jobs(2, "400", 2, false);

	set_trouble(MEMKV_LOSE_ANSWERS);
	usleep(1200 * 1000);
	set_trouble(0);
	submit_jobs(2, "400", 2, false);
	set_trouble(MEMKV_REJECT_CALLS);
	usleep(2500 * 1000);
	set_trouble(0);
	submit_jobs(2, "400", 2, false);
	CU_ASSERT_TRUE(wait_state(first, first + 5, "completed", 30000));
	check_done(first, first + 5, 2);
}

/* True if the list of zones of an entry has this text. */
static bool zones_show(int entry, const char *text)
{
	char url[64];
	struct http_reply reply;
	bool found;

	snprintf(url, sizeof(url), "http://%s/zones", entries[entry].metrics);
	reply = http_call("GET", url, NULL, NULL, 2000);
	found = reply.status == 200 && reply.body && strstr(reply.body, text);
	http_reply_free(&reply);
	return found;
}

static bool some_entry_leads(void *ctx)
{
	int *leader = ctx;

	for (*leader = 0; *leader < ENTRIES; ++*leader) {
		if (zones_show(*leader, "\"leader\":true"))
			return true;
	}
	return false;
}

/*
 * Guards against starts in an evacuated zone, also by a leader that was elected meanwhile, stops of
 * what runs there, and a zone that does not come back. All workers are in zone "z".
 */
static void test_evacuated_zone(void)
{
	int running = submit_jobs(1, "9000", 3, false);
	int waiting;
	int before;
	int leader = 0;

	for (int i = 0; i < 100 && count_starts(running) < 3; i++)
		usleep(100 * 1000);
	before = count_starts(running);
	CU_ASSERT_EQUAL(operator_put("/operator/op/evacuate/z", "{}"), 200);
	CU_ASSERT_EQUAL(operator_put("/operator/op/evacuate/elsewhere", "{}"), 200);
	usleep(5000 * 1000);
	waiting = submit_jobs(2, "100", 3, false);
	CU_ASSERT_TRUE_FATAL(wait_until(some_entry_leads, &leader, 10000));
	CU_ASSERT_TRUE(zones_show(leader, "\"zone\":\"elsewhere\",\"state\":\"evacuated\""));
	proc_kill(&entries[leader].proc);
	CU_ASSERT_TRUE(wait_until(some_entry_leads, &leader, 10000));
	CU_ASSERT_TRUE(zones_show(leader, "\"zone\":\"z\",\"state\":\"evacuated\""));
	start_host(&entries[1 - leader]);
	CU_ASSERT_TRUE(wait_state(running, running, "completed", 20000));
	CU_ASSERT_EQUAL(count_starts(running), before);
	check_done(running, running, 3);
	CU_ASSERT_EQUAL(count_starts(waiting) + count_starts(waiting + 1), 0);
	CU_ASSERT_EQUAL(operator_call("DELETE", "/operator/op/evacuate/z", NULL), 200);
	CU_ASSERT_TRUE(wait_state(waiting, waiting + 1, "completed", 15000));
	check_done(waiting, waiting + 1, 3);
	CU_ASSERT_EQUAL(operator_call("DELETE", "/operator/op/evacuate/elsewhere", NULL), 200);
	CU_ASSERT_TRUE(wait_until(entries_serve, NULL, 10000));
}

/* Guards against a shutdown that interrupts open calls or does not end. */
static void test_graceful_stop(void)
{
	CU_ASSERT_EQUAL(proc_stop(&entries[0].proc, 8000), 0);
	start_host(&entries[0]);
	CU_ASSERT_EQUAL(proc_stop(&agents[0].proc, 8000), 0);
	start_host(&agents[0]);
	proc_signal(&entries[1].proc, SIGHUP);
	CU_ASSERT_TRUE(wait_until(entries_serve, NULL, 10000));
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	next_job = 1;
	CU_initialize_registry();
	suite = CU_add_suite("e2e_fleet", NULL, tear_down);
	CU_add_test(suite, "start", test_start);
	CU_add_test(suite, "calm", test_calm);
	CU_add_test(suite, "failing_job", test_failing_job);
	CU_add_test(suite, "cancel", test_cancel);
	CU_add_test(suite, "killed_entries", test_killed_entries);
	CU_add_test(suite, "killed_agents", test_killed_agents);
	CU_add_test(suite, "crashed_worker", test_crashed_worker);
	CU_add_test(suite, "heartbeats_of_others", test_heartbeats_of_others);
	CU_add_test(suite, "troubled_store", test_troubled_store);
	CU_add_test(suite, "evacuated_zone", test_evacuated_zone);
	CU_add_test(suite, "graceful_stop", test_graceful_stop);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
