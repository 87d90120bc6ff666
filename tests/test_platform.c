#include "platform.h"

#include "httpd.h"
#include "lib_memkv.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Decoding of the platform's formats into the scheduler's types. The bodies are taken from the
 * platform's documentation.
 */

static const char job_text[] =
	"{\"task_spec\":\"(text)\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,"
	"\"estimate_ms\":900,\"affinity\":\"r1-3\"},{\"count\":20,\"cpu\":2000,\"mem_mb\":1024,"
	"\"gpu\":2,\"estimate_ms\":7000,\"after\":[0],\"checkpointing\":true,\"gang\":true,"
	"\"same_rack\":true,\"constraints\":\"b\",\"anti_affinity\":3,\"unheard_of\":1}]}";

/* Guards against keys of operators that are taken for evacuations, and names that are none. */
static void test_evacuation_keys(void)
{
	static const struct {
		const char *key;
		int status;
		const char *zone;
	} cases[] = {
		{"op/evacuate/z1", 0, "z1"},
		{"op/evacuate/eu-west-1b", 0, "eu-west-1b"},
		{"op/evacuate/", -ERR_INVALID, ""},
		{"op/evacuate/\001", -ERR_INVALID, "\001"},
		{"op/config", -ERR_NOT_FOUND, NULL},
		{"op/evacuate", -ERR_NOT_FOUND, NULL},
		{"op/evacuated/z1", -ERR_NOT_FOUND, NULL},
		{"job/op/evacuate/z1", -ERR_NOT_FOUND, NULL},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const char *zone = NULL;

		CU_ASSERT_EQUAL(platform_evacuated_zone(cases[i].key, &zone), cases[i].status);
		CU_ASSERT(zone == cases[i].zone ||
			  (zone && cases[i].zone && !strcmp(zone, cases[i].zone)));
	}
}

/* Guards against fields that are lost or read into another field. */
static void test_job(void)
{
	struct err err = {0};
	struct jobspec *spec =
		platform_intake_codec.read_job(NULL, job_text, strlen(job_text), &err);
	struct jobspec *again;
	json_t *json;

	CU_ASSERT_PTR_NOT_NULL_FATAL(spec);
	CU_ASSERT_STRING_EQUAL(spec->payload, "(text)");
	CU_ASSERT_EQUAL_FATAL(spec->step_count, 2);
	CU_ASSERT_STRING_EQUAL(spec->steps[0].data_rack, "r1-3");
	CU_ASSERT_EQUAL(spec->steps[1].cpu_milli, 2000);
	CU_ASSERT_EQUAL(spec->steps[1].accelerators, 2);
	CU_ASSERT_EQUAL(spec->steps[1].spread_limit, 3);
	CU_ASSERT_STRING_EQUAL(spec->steps[1].label, "b");
	CU_ASSERT_TRUE(spec->steps[1].gang && spec->steps[1].one_rack &&
		       spec->steps[1].checkpoints);
	CU_ASSERT_EQUAL(jobspec_critical_path_ms(spec), 7900);
	/* The record that the scheduler stores holds the same fields. */
	json = jobspec_write(spec);
	again = jobspec_read(NULL, json, &jobspec_record_names, &err);
	json_decref(json);
	CU_ASSERT_PTR_NOT_NULL_FATAL(again);
	CU_ASSERT_EQUAL(again->steps[1].after_count, 1);
	CU_ASSERT_EQUAL(again->steps[1].estimate_ms, 7000);
	CU_ASSERT_STRING_EQUAL(again->steps[1].label, "b");
	talloc_free(again);
	talloc_free(spec);
}

/* Guards against accepting jobs that are malformed or out of range. */
static void test_bad_jobs(void)
{
	static const char *const bodies[] = {
		"",
		"[]",
		"{\"steps\":[]}",
		"{\"steps\":[{\"count\":0}]}",
		"{\"steps\":[{\"count\":-1}]}",
		"{\"steps\":[{\"count\":1.5}]}",
		"{\"steps\":[{\"count\":99999999}]}",
		"{\"steps\":[{\"count\":9000},{\"count\":9000}]}",
		"{\"steps\":[{\"count\":1,\"after\":[0]}]}",
		"{\"steps\":[{\"count\":1,\"gang\":\"yes\"}]}",
		"{\"steps\":[{\"count\":1,\"constraints\":7}]}",
		"{\"steps\":[{\"count\":1}],\"steps\":[]}",
		"{\"steps\":[{\"count\":1}],\"repeat_count\":-3}",
	};

	for (size_t i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++) {
		struct err err = {0};

		CU_ASSERT_PTR_NULL(
			platform_intake_codec.read_job(NULL, bodies[i], strlen(bodies[i]), &err));
		CU_ASSERT(err.code == ERR_INVALID && *err.message && *err.remedy);
	}
}

static const char config_text[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-a\",\"host\":\"h.example\",\"prefix\":\"/p/\","
	"\"slo_ms\":3000,\"priority\":2,\"service\":\"s\",\"max_attempts\":4,\"stretch\":3.0,"
	"\"public\":false},{\"name\":\"r-b\",\"host\":\"h.example\",\"prefix\":\"/p/q/\","
	"\"priority\":0,\"service\":\"s\",\"public\":true}],\"services\":[{\"name\":\"s\","
	"\"rejects_overload\":true}],\"limits\":{\"max_body_bytes\":1000},\"tenants\":[{\"name\":"
	"\"t\",\"api_keys\":[\"k1\",\"k2\"],\"guaranteed\":{\"gpu\":16}}]}";

/* Guards against requests that reach the wrong queue, and unknown keys that are accepted. */
static void test_config(void)
{
	struct err err = {0};
	struct fleetconf *conf = platform_config_read(NULL, config_text, strlen(config_text), &err);
	const struct fleetconf_queue *queue;

	CU_ASSERT_PTR_NOT_NULL_FATAL(conf);
	if (!conf)
		return;
	CU_ASSERT_EQUAL(conf->version, 7);
	queue = fleetconf_route(conf, "h.example:80", "/p/0123456789abcdef");
	CU_ASSERT_PTR_NOT_NULL_FATAL(queue);
	if (!queue)
		return;
	CU_ASSERT_STRING_EQUAL(queue->name, "r-a");
	CU_ASSERT_EQUAL(queue->max_attempts, 4);
	CU_ASSERT_EQUAL(queue->allowance_ms, 3000);
	CU_ASSERT_STRING_EQUAL(fleetconf_route(conf, "H.EXAMPLE", "/p/q/1")->name, "r-b");
	CU_ASSERT_PTR_NULL(fleetconf_route(conf, "other.example", "/p/1"));
	CU_ASSERT_PTR_NULL(fleetconf_route(conf, "h.example", "/x"));
	CU_ASSERT_EQUAL(fleetconf_organisation_of_key(conf, "k2")->guaranteed_accelerators, 16);
	CU_ASSERT_PTR_NULL(fleetconf_organisation_of_key(conf, ""));
	CU_ASSERT_PTR_NULL(fleetconf_organisation_of_key(conf, "k3"));
	talloc_free(conf);
	CU_ASSERT_PTR_NULL(platform_config_read(NULL, "{\"version\":1}", 13, &err));
	CU_ASSERT_PTR_NULL(platform_config_read(NULL, "nothing", 7, &err));
}

static const char heartbeat_text[] =
	"{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z\",\"version\":\"v1\","
	"\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":16000,"
	"\"mem_mb\":32768,\"gpu\":4},\"labels\":[\"a\",\"r1-3\"],\"clock_ms\":482113,\"seq\":4,"
	"\"born\":123}";

/* Guards against calls to a path that is none, and a service that is lost with its path. */
static void test_health_path(void)
{
	static const char *const cases[][2] = {
		{"\"/healthy\"", "/healthy"}, {"\"healthy\"", ""}, {"7", ""}, {"\"/a b\"", ""},
		{"\"/a\\r\\nb\"", ""},	      {"\"\"", ""},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct err err = {0};
		char *text = talloc_asprintf(NULL,
					     "{\"version\":1,\"routes\":[],\"services\":[{\"name\":"
					     "\"s\",\"health_path\":%s}]}",
					     cases[i][0]);
		struct fleetconf *conf = platform_config_read(text, text, strlen(text), &err);

		CU_ASSERT_PTR_NOT_NULL_FATAL(conf);
		if (!conf)
			return;
		CU_ASSERT_EQUAL(conf->service_count, 1);
		CU_ASSERT_STRING_EQUAL(conf->services[0].health_path, cases[i][1]);
		talloc_free(text);
	}
}

/* Guards against accepting malformed bodies, or those of other programs, as a worker's heartbeat.
 */
static void test_heartbeat(void)
{
	static const char wrong_type[] =
		"{\"service\":\"s\",\"address\":\"a\",\"state\":\"ready\",\"seq\":1,\"labels\":[],"
		"\"capacity\":{\"cpu\":\"many\",\"mem_mb\":1,\"gpu\":1}}";
	static const char *const bad[] = {
		"", "{}", "[1]", "{\"service\":\"s\",\"state\":\"asleep\"}", wrong_type,
	};
	struct err err = {0};
	struct runner_announcement *self =
		platform_self_read(NULL, "i-1", heartbeat_text, strlen(heartbeat_text), &err);

	CU_ASSERT_PTR_NOT_NULL_FATAL(self);
	if (!self)
		return;
	CU_ASSERT_STRING_EQUAL(self->kind, "a");
	CU_ASSERT_STRING_EQUAL(self->rack, "r1-3");
	CU_ASSERT_EQUAL(self->room.accelerators, 4);
	CU_ASSERT_TRUE(self->accepting);
	CU_ASSERT_EQUAL(self->started_ms, 123);
	talloc_free(self);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_PTR_NULL(platform_self_read(NULL, "i-1", bad[i], strlen(bad[i]), &err));
}

/* Guards against a notice that is overlooked, or taken from a value that is none. */
static void test_notice(void)
{
	static const struct {
		const char *state;
		const char *remaining;
		bool leaves;
		uint32_t remaining_ms;
	} cases[] = {
		{"draining", "\"remaining_ms\":1900", true, 1900},
		{"draining", "\"remaining_ms\":0", true, 0},
		{"ready", "\"remaining_ms\":1900", false, 0},
		{"draining", "\"other\":1", false, 0},
		{"draining", "\"remaining_ms\":1.5", false, 0},
		{"draining", "\"remaining_ms\":1e18", false, 0},
		{"draining", "\"remaining_ms\":9007199254740992", false, 0},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct err err = {0};
		char *text = talloc_asprintf(
			NULL,
			"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"state\":\"%s\",%s,"
			"\"capacity\":{\"cpu\":1,\"mem_mb\":1,\"gpu\":1},\"labels\":[],\"seq\":4}",
			cases[i].state, cases[i].remaining);
		struct runner_announcement *self =
			platform_self_read(text, "i-1", text, strlen(text), &err);

		CU_ASSERT_PTR_NOT_NULL_FATAL(self);
		if (!self)
			return;
		CU_ASSERT_EQUAL(self->leaves, cases[i].leaves);
		if (self->leaves)
			CU_ASSERT_EQUAL(self->remaining_ms, cases[i].remaining_ms);
		talloc_free(text);
	}
}

/* Returns the text with the first @from replaced by @to. */
static char *replace(TALLOC_CTX *mem, const char *text, const char *from, const char *to)
{
	const char *at = strstr(text, from);

	CU_ASSERT_PTR_NOT_NULL_FATAL(at);
	return talloc_asprintf(mem, "%.*s%s%s", (int)(at - text), text, to, at + strlen(from));
}

/* Guards against a worker that is used with capacities, times or addresses that can't be. */
static void test_odd_heartbeats(void)
{
	static const char *const cases[][2] = {
		{"16000", "4294967312"},
		{"16000", "-1"},
		{"16000", "1e300"},
		{"16000", "1e400"},
		{"16000", "99999999999999999999"},
		{"16000", "16000.5"},
		{"32768", "true"},
		{"\"gpu\":4", "\"gpu\":[4]"},
		{"\"seq\":4", "\"seq\":-4"},
		{"\"seq\":4", "\"seq\":9223372036854775807"},
		{"\"born\":123", "\"born\":9223372036854775807"},
		{"\"born\":123", "\"born\":-123"},
		{"\"born\":123", "\"born\":\"123\""},
		{"10.128.0.9:8080", "10.128.0.9:99999"},
		{"10.128.0.9:8080", "10.128.0.9:0"},
		{"10.128.0.9:8080", "10.128.0.9"},
		{"10.128.0.9:8080", "10.128.0.9:80a"},
		{"10.128.0.9:8080", "some.host:80"},
		{"10.128.0.9:8080", ":8080"},
		{"\"zone\":\"z\"", "\"zone\":{}"},
		{"\"service\":\"s\"", "\"service\":\"s\\u0000\""},
		{"\"service\":\"s\"", "\"service\":\"\xff\""},
		{"\"ready\"", "\"READY\""},
		{"[\"a\",\"r1-3\"]", "[[[\"a\"]],\"r1-3\"]"},
		{"[\"a\",\"r1-3\"]", "{}"},
		{"\"version\":\"v1\"", "\"version\":7"},
		{"\"slots\":8", "\"slots\":\"8\""},
		{"\"slots\":8", "\"slots\":-8"},
		{"\"cold_remaining_ms\":0", "\"cold_remaining_ms\":[0]"},
		{"\"clock_ms\":482113", "\"clock_ms\":null"},
		{"\"clock_ms\":482113", "\"remaining_ms\":\"long\""},
	};
	static const char *const ids[] = {"", "i/1", "i 1", "i\r\nHost: x", "\xff\xfe"};
	TALLOC_CTX *mem = talloc_new(NULL);
	char *long_id = talloc_array(mem, char, 5000);
	struct err err;

	memset(long_id, 'i', 4999);
	long_id[4999] = '\0';
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *body = replace(mem, heartbeat_text, cases[i][0], cases[i][1]);
		struct runner_announcement *self =
			platform_self_read(mem, "i-1", body, strlen(body), &err);

		CU_ASSERT_PTR_NULL(self);
		if (self)
			printf("\naccepted: %s", body);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		CU_ASSERT_PTR_NULL(platform_self_read(mem, ids[i], heartbeat_text,
						      strlen(heartbeat_text), &err));
	CU_ASSERT_PTR_NULL(
		platform_self_read(mem, long_id, heartbeat_text, strlen(heartbeat_text), &err));
	talloc_free(mem);
}

/* Guards against an entry of the configuration that is used in part, or hides the others. */
static void test_odd_config(void)
{
	static const char *const routes[] = {
		"{}",
		"7",
		"{\"name\":\"x\",\"host\":\"\",\"prefix\":\"\",\"service\":\"s\"}",
		"{\"name\":\"x\",\"host\":\"h\",\"prefix\":5,\"service\":\"s\"}",
		"{\"name\":\"x\",\"host\":\"h\",\"prefix\":\"/"
		"\",\"service\":\"s\",\"priority\":-1}",
		"{\"name\":\"x\",\"host\":\"h\",\"prefix\":\"/\",\"service\":\"s\","
		"\"max_attempts\":1e400}",
		"{\"name\":\"x\",\"host\":\"h\",\"prefix\":\"/"
		"\",\"service\":\"s\",\"stretch\":1e300}",
		"{\"name\":\"\xff\",\"host\":\"h\",\"prefix\":\"/\",\"service\":\"s\"}",
	};
	TALLOC_CTX *mem = talloc_new(NULL);
	struct err err = {0};
	struct fleetconf *conf;
	const char *body;

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		body = replace(mem, config_text, "},{\"name\":\"r-b\"",
			       talloc_asprintf(mem, "},%s,{\"name\":\"r-b\"", routes[i]));
		conf = platform_config_read(mem, body, strlen(body), &err);
		CU_ASSERT_PTR_NOT_NULL(conf);
		if (!conf)
			continue;
		CU_ASSERT_EQUAL(conf->queue_count, 2);
		CU_ASSERT_PTR_NOT_NULL(fleetconf_queue(conf, "r-a"));
		CU_ASSERT_PTR_NOT_NULL(fleetconf_queue(conf, "r-b"));
	}
	body = replace(mem, config_text, "\"k1\"", "\"\",7");
	conf = platform_config_read(mem, body, strlen(body), &err);
	CU_ASSERT_PTR_NULL(fleetconf_organisation_of_key(conf, ""));
	CU_ASSERT_PTR_NOT_NULL(fleetconf_organisation_of_key(conf, "k2"));
	body = replace(mem, config_text, "\"version\":7", "\"version\":-7");
	CU_ASSERT_PTR_NULL(platform_config_read(mem, body, strlen(body), &err));
	body = replace(mem, config_text, "\"version\":7", "\"version\":9223372036854775807");
	CU_ASSERT_PTR_NULL(platform_config_read(mem, body, strlen(body), &err));
	talloc_free(mem);
}

static void test_control_calls(void)
{
	const char *id = NULL;

	CU_ASSERT_EQUAL(platform_control_call("PUT", "/v1/instances/i-1", &id), FLEET_HEARTBEAT);
	CU_ASSERT_STRING_EQUAL(id, "i-1");
	CU_ASSERT_EQUAL(platform_control_call("DELETE", "/v1/instances/i-1", &id),
			FLEET_DEREGISTER);
	CU_ASSERT_EQUAL(platform_control_call("PUT", "/v1/instances/", &id), FLEET_OTHER);
	CU_ASSERT_EQUAL(platform_control_call("GET", "/v1/instances/i-1", &id), FLEET_OTHER);
}

/*
 * Guards against parsers that read beyond the end of a body. The input is valid bodies, truncated
 * and with changed bytes.
 */
static void test_damaged_bodies(void)
{
	static const char *const bodies[] = {job_text, config_text, heartbeat_text};
	struct util_rng rng = {7};

	for (int round = 0; round < 3000; round++) {
		const char *body = bodies[round % 3];
		size_t len = util_rng_below(&rng, strlen(body) + 1);
		char *copy = talloc_strndup(NULL, body, len);
		struct err err;

		for (int k = 0; len > 0 && k < 3; k++)
			copy[util_rng_below(&rng, len)] = (char)util_rng_below(&rng, 256);
		talloc_free(platform_intake_codec.read_job(copy, copy, len, &err));
		talloc_free(platform_config_read(copy, copy, len, &err));
		talloc_free(platform_self_read(copy, "i", copy, len, &err));
		talloc_free(copy);
	}
	CU_PASS("no damaged body crashed a parser");
}

/* Fake advice service, as the platform's documentation describes it. */
struct service {
	int status;
	const char *answer;
	char request[512];
};

static void serve_advice(struct httpd_call *call, void *ctx)
{
	struct service *fake = ctx;
	size_t len;
	const char *body = httpd_body(call, &len);

	g_snprintf(fake->request, sizeof(fake->request), "%s %s %.*s", httpd_method(call),
		   httpd_path(call), (int)len, body);
	httpd_answer(call, fake->status, "application/json", fake->answer, 0);
}

struct advised {
	int calls;
	int status;
	size_t count;
	uint32_t valid_ms;
	char ticket[32];
};

static void on_advice(int status, const struct advice_answer *answer, void *ctx)
{
	struct advised *received = ctx;

	received->calls++;
	received->status = status;
	received->count = answer ? answer->count : 0;
	received->valid_ms = answer ? answer->valid_ms : 0;
	if (received->count)
		g_strlcpy(received->ticket, answer->rows[0].ticket, sizeof(received->ticket));
}

/* Guards against misread advice, which would allow a forbidden worker or forbid an allowed one. */
static void test_advice(void)
{
	static const struct {
		const char *body;
		int http_status;
		int status;
		size_t count;
	} cases[] = {
		{"{\"approved\":[[\"i-1\",\"c81e\"],[\"i-2\"],7],\"valid_ms\":3000}", 200, 0, 1},
		{"{\"approved\":[[\"i-2\",1e400],[\"\xff\",\"t\"],[\"i-1\",\"c81e\"]],"
		 "\"valid_ms\":3000}",
		 200, 0, 1},
		{"{\"approved\":[],\"valid_ms\":3000}", 200, 0, 0},
		{"{\"approved\":{},\"valid_ms\":3000}", 200, -ERR_FAILED, 0},
		{"{\"approved\":[],\"valid_ms\":-1}", 200, -ERR_FAILED, 0},
		{"nothing", 200, -ERR_FAILED, 0},
		{"", 429, -ERR_QUEUE_FULL, 0},
		{"", 503, -ERR_FAILED, 0},
	};
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	struct service service = {0};
	struct httpd_handlers handlers = {serve_advice, NULL, &service};
	struct err err = {0};
	struct httpd *server = httpd_create(mem, ev, "127.0.0.1:0", 10000, &handlers, &err);
	const char *workers[] = {"i-1", "i-2"};
	struct plan_advice_query query = {"5c0e7a21d94b36f8.0.1", workers, 2};
	struct advice_calls *advice;

	CU_ASSERT_PTR_NOT_NULL_FATAL(server);
	advice = platform_advice_create(mem, httpc_create(mem, ev), httpd_address(server));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct advised advised = {0};

		service.status = cases[i].http_status;
		service.answer = cases[i].body;
		advice->ask(advice->impl, &query, on_advice, &advised);
		while (advised.calls == 0)
			tevent_loop_once(ev);
		CU_ASSERT_EQUAL(advised.status, cases[i].status);
		CU_ASSERT_EQUAL(advised.count, cases[i].count);
		if (!advised.count)
			continue;
		CU_ASSERT_STRING_EQUAL(advised.ticket, "c81e");
		CU_ASSERT_EQUAL(advised.valid_ms, 3000);
	}
	CU_ASSERT_STRING_EQUAL(service.request,
			       "POST /v1/advise {\"step\":\"5c0e7a21d94b36f8.0.1\",\"workers\":"
			       "[\"i-1\",\"i-2\"]}");
	talloc_free(mem);
}

/* A worker that answers the first call, loses the second with its connection, then has no room. */
struct losing_worker {
	struct tevent_context *ev;
	int listener;
	int calls;
};

static void on_worker_readable(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
			       void *ctx)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 41\r\n\r\n"
		"{\"clock_ms\":1000,\"running\":[],\"ended\":[]}",
		"",
		"HTTP/1.1 409 Conflict\r\nContent-Length: 33\r\n\r\n"
		"{\"clock_ms\":1000,\"reason\":\"room\"}",
	};
	struct losing_worker *worker = ctx;
	int fd = *(int *)talloc_parent(fde);
	char buffer[4096];
	const char *answer;

	if (read(fd, buffer, sizeof(buffer)) <= 0) {
		talloc_free(fde);
		return;
	}
	answer = answers[worker->calls < 2 ? worker->calls : 2];
	worker->calls++;
	if (!*answer) {
		close(fd);
		talloc_free(fde);
		return;
	}
	CU_ASSERT_EQUAL(write(fd, answer, strlen(answer)), (ssize_t)strlen(answer));
}

static void on_worker_connected(struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
				void *ctx)
{
	struct losing_worker *worker = ctx;
	int *fd = talloc(worker, int);

	*fd = accept(worker->listener, NULL, NULL);
	tevent_add_fd(ev, fd, *fd, TEVENT_FD_READ, on_worker_readable, worker);
}

static char *listen_as_worker(struct losing_worker *worker)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	worker->listener = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL(bind(worker->listener, (struct sockaddr *)&address, len), 0);
	CU_ASSERT_EQUAL(listen(worker->listener, 8), 0);
	getsockname(worker->listener, (struct sockaddr *)&address, &len);
	tevent_add_fd(worker->ev, worker, worker->listener, TEVENT_FD_READ, on_worker_connected,
		      worker);
	return talloc_asprintf(worker, "127.0.0.1:%u", ntohs(address.sin_port));
}

static void on_losing_list(int status, const struct runner_list *list, void *ctx)
{
	CU_ASSERT_EQUAL(status, 0);
	*(bool *)ctx = true;
}

struct start_answer {
	bool received;
	enum runner_call_result result;
};

static void on_start_answer(enum runner_call_result result, uint64_t clock_ms, void *ctx)
{
	*(struct start_answer *)ctx = (struct start_answer){true, result};
}

/* Guards against a start that is sent twice and counts as refused though the first may begin. */
static void test_start_lost_with_its_connection(void)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct tevent_context *ev = tevent_context_init(mem);
	struct losing_worker *worker = talloc_zero(mem, struct losing_worker);
	struct runner_renewal renewal = {.worker = "w", .fence = 1};
	struct runner_start start = {
		.worker = "w",
		.task = "j.0.0.0",
		.run = 1,
		.payload = "p",
		.checkpoint = "",
		.ticket = "",
		.fence = 1,
	};
	struct start_answer answer = {0};
	struct runner_calls *calls;
	bool listed = false;

	worker->ev = ev;
	calls = platform_worker_create(mem, httpc_create(mem, ev), listen_as_worker(worker));
	calls->renew(calls->impl, &renewal, on_losing_list, &listed);
	while (!listed)
		tevent_loop_once(ev);
	calls->start(calls->impl, &start, on_start_answer, &answer);
	while (!answer.received)
		tevent_loop_once(ev);
	CU_ASSERT_EQUAL(worker->calls, 2);
	CU_ASSERT_EQUAL(answer.result, RUNNER_NO_ANSWER);
	close(worker->listener);
	talloc_free(mem);
}

/* Server that gives one answer to all calls but polls, which it refuses. */
struct answers {
	TALLOC_CTX *mem;
	struct tevent_context *ev;
	struct httpd *server;
	const char *body;
	int status;    /* 0: 200 */
	char path[64]; /* of the latest call */
};

static void serve_answer(struct httpd_call *call, void *ctx)
{
	struct answers *answers = ctx;

	g_strlcpy(answers->path, httpd_path(call), sizeof(answers->path));
	httpd_answer(call,
		     !strcmp(httpd_path(call), "/v1/kv-watch") ? 503
		     : answers->status			       ? answers->status
							       : 200,
		     "application/json", answers->body, 0);
}

static void start_answers(struct answers *answers)
{
	struct httpd_handlers handlers = {serve_answer, NULL, answers};
	struct err err = {0};

	answers->mem = talloc_new(NULL);
	answers->ev = tevent_context_init(answers->mem);
	answers->server =
		httpd_create(answers->mem, answers->ev, "127.0.0.1:0", 10000, &handlers, &err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(answers->server);
}

static void on_health(enum runner_health health, void *ctx)
{
	*(int *)ctx = (int)health;
}

/*
 * Guards against an answer of no meaning that counts as a health answer, and against an endless one
 * that an agent of 128 MB reads once a second.
 */
static void test_health_answers(void)
{
	static const struct {
		int status;
		enum runner_health health;
	} cases[] = {
		{200, RUNNER_HEALTH_GOOD},    {503, RUNNER_HEALTH_BAD},
		{404, RUNNER_HEALTH_UNKNOWN}, {421, RUNNER_HEALTH_UNKNOWN},
		{500, RUNNER_HEALTH_UNKNOWN}, {200, RUNNER_HEALTH_UNKNOWN},
	};
	char *long_body = g_strnfill(1 << 20, 'x'); /* of the last case */
	struct answers answers = {0};
	struct runner_calls *calls;

	start_answers(&answers);
	calls = platform_worker_create(answers.mem, httpc_create(answers.mem, answers.ev),
				       httpd_address(answers.server));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		int health = -1;

		answers.status = cases[i].status;
		answers.body = i + 1 < G_N_ELEMENTS(cases) ? "{}" : long_body;
		calls->ask_health(calls->impl, "w", "/healthy", on_health, &health);
		while (health < 0)
			tevent_loop_once(answers.ev);
		CU_ASSERT_EQUAL(health, (int)cases[i].health);
		CU_ASSERT_STRING_EQUAL(answers.path, "/healthy");
	}
	g_free(long_body);
	talloc_free(answers.mem);
}

/*
 * Guards against a worker that answers with a status of no meaning and counts as one that does not
 * answer: connections that were refused before would count towards its end.
 */
static void test_start_with_odd_answer(void)
{
	static const int statuses[] = {201, 302, 404, 500, 502};
	const struct runner_start start = {
		.worker = "w",
		.task = "j.0.0.0",
		.run = 1,
		.payload = "p",
		.checkpoint = "",
		.ticket = "",
		.fence = 1,
	};
	struct answers answers = {0};
	struct runner_calls *calls;

	start_answers(&answers);
	answers.body = "{}";
	calls = platform_worker_create(answers.mem, httpc_create(answers.mem, answers.ev),
				       httpd_address(answers.server));
	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
		struct start_answer answer = {0};

		answers.status = statuses[i];
		calls->start(calls->impl, &start, on_start_answer, &answer);
		while (!answer.received)
			tevent_loop_once(answers.ev);
		CU_ASSERT_EQUAL(answer.result, RUNNER_UNKNOWN_OUTCOME);
	}
	talloc_free(answers.mem);
}

struct listed {
	int calls;
	int status;
	char text[256]; /* runs and ends: "task/run percent;" */
	size_t end_count;
	bool more_ends;
	bool unreadable;
};

static void on_list(int status, const struct runner_list *list, void *ctx)
{
	struct listed *listed = ctx;
	GString *text = g_string_new(NULL);

	listed->calls++;
	listed->status = status;
	listed->end_count = list ? list->end_count : 0;
	listed->more_ends = list && list->more_ends;
	listed->unreadable = list && list->unreadable;
	for (size_t i = 0; list && i < list->running_count; i++)
		g_string_append_printf(text, "%s/%u %u;", list->running[i].task,
				       list->running[i].run, list->running[i].percent);
	for (size_t i = 0; list && i < list->end_count; i++)
		g_string_append_printf(text, "%s/%u #%u;", list->ends[i].run.task,
				       list->ends[i].run.run, (unsigned int)list->ends[i].number);
	g_strlcpy(listed->text, text->str, sizeof(listed->text));
	g_string_free(text, TRUE);
}

/* Guards against a row of a worker's list that hides the other runs or is used in part. */
static void test_odd_run_lists(void)
{
	static const struct {
		const char *running;
		const char *ended;
		const char *read;
	} cases[] = {
		/* Each has a row that can't be used, so the list does not name all runs and ends.
		 */
		{"[\"x.0.0.0\",2,\"\",1e400]", "[]", "x.0.0.0/2 0;"},
		{"[\"x.0.0.0\",2,\"\",1e300]", "[]", "x.0.0.0/2 100;"},
		{"[\"x.0.0.0\",2,\"\",-5]", "[]", "x.0.0.0/2 0;"},
		{"[\"x.0.0.0\",2,7,50]", "[]", "x.0.0.0/2 50;"},
		{"[\"x.0.0.0\",-2,\"\",1]", "[9,\"x.0.0.0\",-1,\"done\",\"\"]", ""},
		{"[\"x.0.0.0\",4294967298,\"\",1]", "[-9,\"x.0.0.0\",1,\"done\",\"\"]", ""},
		{"[\"x/y\",1,\"\",1]", "[99999999999999999999,\"x\",1,\"done\",\"\"]", ""},
		{"[\"\xff\",1,\"\",1]", "[9223372036854775807,\"x\",1,\"done\",\"\"]", ""},
		{"{\"a\":[[[[]]]]}", "null", ""},
	};
	struct answers answers = {0};
	struct runner_calls *calls;

	start_answers(&answers);
	calls = platform_worker_create(answers.mem, httpc_create(answers.mem, answers.ev),
				       httpd_address(answers.server));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct runner_renewal renewal = {.fence = 1};
		struct listed listed = {0};
		char *want = talloc_asprintf(answers.mem,
					     "a.0.0.0/1 10;%sb.0.0.0/1 20;a.0.0.1/1 #1;"
					     "b.0.0.1/1 #3;",
					     cases[i].read);

		answers.body = talloc_asprintf(answers.mem,
					       "{\"clock_ms\":5,\"running\":[[\"a.0.0.0\",1,\"\","
					       "10],%s,[\"b.0.0.0\",1,\"\",20]],"
					       "\"ended\":[[1,\"a.0.0.1\",1,\"done\",\"\"],%s,[3,"
					       "\"b.0.0.1\",1,\"done\",\"\"]]}",
					       cases[i].running, cases[i].ended);
		calls->renew(calls->impl, &renewal, on_list, &listed);
		while (listed.calls == 0)
			tevent_loop_once(answers.ev);
		CU_ASSERT_EQUAL(listed.status, 0);
		CU_ASSERT_TRUE(listed.unreadable);
		CU_ASSERT_FALSE(listed.more_ends);
		CU_ASSERT_STRING_EQUAL(listed.text, want);
		if (strcmp(listed.text, want) != 0)
			printf("\n%zu: %s", i, listed.text);
	}
	talloc_free(answers.mem);
}

/* Guards against a list with as many ends as a worker lists at a time that is taken as complete. */
static void test_long_run_lists(void)
{
	static const int counts[] = {0, 1, 499, 500, 501};
	struct answers answers = {0};
	struct runner_calls *calls;

	start_answers(&answers);
	calls = platform_worker_create(answers.mem, httpc_create(answers.mem, answers.ev),
				       httpd_address(answers.server));
	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct runner_renewal renewal = {.fence = 1};
		struct listed listed = {0};
		char *ends = talloc_strdup(answers.mem, "");

		for (int n = 1; n <= counts[i]; n++)
			ends = talloc_asprintf_append(ends, "%s[%d,\"a.0.0.%d\",1,\"done\",\"\"]",
						      n > 1 ? "," : "", n, n);
		answers.body = talloc_asprintf(
			answers.mem, "{\"clock_ms\":5,\"running\":[],\"ended\":[%s]}", ends);
		calls->renew(calls->impl, &renewal, on_list, &listed);
		while (listed.calls == 0)
			tevent_loop_once(answers.ev);
		CU_ASSERT_EQUAL(listed.end_count, (size_t)counts[i]);
		CU_ASSERT_EQUAL(listed.more_ends, counts[i] >= 500);
		CU_ASSERT_FALSE(listed.unreadable);
	}
	talloc_free(answers.mem);
}

struct followed {
	char text[256];
	int loaded;
};

static void on_followed_item(const struct kv_item *item, void *ctx)
{
	struct followed *followed = ctx;
	size_t len = strlen(followed->text);

	snprintf(followed->text + len, sizeof(followed->text) - len, "%s=%s;", item->key,
		 item->value);
}

static void on_followed_loaded(void *ctx)
{
	((struct followed *)ctx)->loaded++;
}

/* Guards against an item of the store that keeps the items of the same page from being read. */
static void test_odd_store_items(void)
{
	static const char *const items[] = {
		"{\"key\":\"p/\\u0000\",\"value\":\"\",\"revision\":2,\"created\":2}",
		"{\"key\":\"p/\xff\",\"value\":\"\",\"revision\":-2,\"created\":2}",
		"{\"key\":\"p/\\ud800\",\"value\":\"\",\"revision\":0,\"created\":2}",
		"{\"key\":\"p/b\",\"value\":\"\",\"revision\":1e400,\"created\":2}",
		"{\"key\":\"p/b\",\"value\":\"\",\"revision\":99999999999999999999,\"created\":2}",
		"{\"key\":\"p/b\",\"value\":\"\",\"revision\":\"2\",\"created\":2}",
		"{\"key\":\"p/b\",\"value\":[[[]]],\"revision\":2,\"created\":2}",
		"{\"key\":[\"p/b\"],\"value\":\"\",\"revision\":2,\"created\":2}",
		"[]",
		"1e400",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(items); i++) {
		struct answers answers = {0};
		struct followed followed = {0};
		struct kv_mirror_handlers handlers = {on_followed_item, on_followed_loaded,
						      &followed};
		struct kv *kv;

		start_answers(&answers);
		answers.body = talloc_asprintf(answers.mem,
					       "{\"current_rev\":9,\"has_more\":false,\"items\":[{"
					       "\"key\":\"p/a\",\"value\":\"MQ==\","
					       "\"revision\":1,\"created\":1},%s,{\"key\":\"p/"
					       "z\",\"value\":\"Mg==\",\"revision\":3,"
					       "\"created\":3}]}",
					       items[i]);
		kv = platform_kv_create(answers.mem, httpc_create(answers.mem, answers.ev),
					httpd_address(answers.server), metrics_create(answers.mem));
		kv_mirror_create(answers.mem, answers.ev, kv, "p/", &handlers);
		for (int k = 0; k < 30 && !followed.loaded; k++)
			memkv_run(answers.ev, 10);
		CU_ASSERT_EQUAL(followed.loaded, 1);
		CU_ASSERT_STRING_EQUAL(followed.text, "p/a=1;p/z=2;");
		if (strcmp(followed.text, "p/a=1;p/z=2;") != 0)
			printf("\n%zu: %s", i, followed.text);
		talloc_free(answers.mem);
	}
}

static int list_status_of(struct answers *answers, struct runner_calls *calls)
{
	struct runner_renewal renewal = {.fence = 1};
	struct listed listed = {0};

	calls->renew(calls->impl, &renewal, on_list, &listed);
	while (listed.calls == 0)
		tevent_loop_once(answers->ev);
	return listed.status;
}

/* Guards against a worker that is called down because its agent's host has no descriptors left. */
static void test_failure_of_own_host(void)
{
	struct answers answers = {.body = "{\"clock_ms\":5,\"running\":[],\"ended\":[]}"};
	struct runner_calls *calls;
	struct rlimit limit;
	struct rlimit none;
	int lowest;

	start_answers(&answers);
	calls = platform_worker_create(answers.mem, httpc_create(answers.mem, answers.ev),
				       httpd_address(answers.server));
	CU_ASSERT_EQUAL(getrlimit(RLIMIT_NOFILE, &limit), 0);
	lowest = dup(STDERR_FILENO);
	close(lowest);
	none = limit;
	none.rlim_cur = (rlim_t)lowest;
	CU_ASSERT_EQUAL(setrlimit(RLIMIT_NOFILE, &none), 0);
	for (int i = 0; i < 3; i++)
		CU_ASSERT_EQUAL(list_status_of(&answers, calls), -ERR_SYSTEM);
	CU_ASSERT_EQUAL(setrlimit(RLIMIT_NOFILE, &limit), 0);
	CU_ASSERT_EQUAL(list_status_of(&answers, calls), 0);
	TALLOC_FREE(answers.server);
	calls = platform_worker_create(answers.mem, httpc_create(answers.mem, answers.ev),
				       "127.0.0.1:1");
	CU_ASSERT_EQUAL(list_status_of(&answers, calls), -ERR_UNAVAILABLE);
	talloc_free(answers.mem);
}

static void on_answer_ignored(int status, int http_status, const char *body, size_t len, void *ctx)
{
	(*(int *)ctx)++;
}

/* Guards against an encoded NUL that shortens the id of a worker to that of another one. */
static void test_encoded_nul(void)
{
	struct answers answers = {.body = "{}"};
	int calls = 0;
	struct httpc_request request = {
		.method = "GET", .timeout_ms = 1000, .done = on_answer_ignored, .ctx = &calls};

	start_answers(&answers);
	request.url = talloc_asprintf(answers.mem, "http://%s/v1/instances/i-1%%00x%%41",
				      httpd_address(answers.server));
	httpc_start(httpc_create(answers.mem, answers.ev), &request);
	while (calls == 0)
		tevent_loop_once(answers.ev);
	CU_ASSERT_STRING_NOT_EQUAL(answers.path, "/v1/instances/i-1");
	talloc_free(answers.mem);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("platform", NULL, NULL);
	CU_add_test(suite, "job", test_job);
	CU_add_test(suite, "bad_jobs", test_bad_jobs);
	CU_add_test(suite, "config", test_config);
	CU_add_test(suite, "heartbeat", test_heartbeat);
	CU_add_test(suite, "notice", test_notice);
	CU_add_test(suite, "health_path", test_health_path);
	CU_add_test(suite, "odd_heartbeats", test_odd_heartbeats);
	CU_add_test(suite, "odd_config", test_odd_config);
	CU_add_test(suite, "evacuation_keys", test_evacuation_keys);
	CU_add_test(suite, "health_answers", test_health_answers);
	CU_add_test(suite, "odd_run_lists", test_odd_run_lists);
	CU_add_test(suite, "failure_of_own_host", test_failure_of_own_host);
	CU_add_test(suite, "long_run_lists", test_long_run_lists);
	CU_add_test(suite, "odd_store_items", test_odd_store_items);
	CU_add_test(suite, "encoded_nul", test_encoded_nul);
	CU_add_test(suite, "control_calls", test_control_calls);
	CU_add_test(suite, "advice", test_advice);
	CU_add_test(suite, "start_lost_with_its_connection", test_start_lost_with_its_connection);
	CU_add_test(suite, "start_with_odd_answer", test_start_with_odd_answer);
	CU_add_test(suite, "damaged_bodies", test_damaged_bodies);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
