#include "jobs_int.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

static const char *const config_files[][2] = {
	{"10.json", "{\"decision\":\"organisation\",\"name\":\"olive\","
		    "\"quota\":{\"accelerators\":16,\"jobs\":5}}"},
	{"20.json", "{\"decision\":\"class\",\"name\":\"forecast\",\"idempotent\":true,"
		    "\"urgent\":true}"},
	{"30.json", "{\"decision\":\"service\",\"name\":\"svc\",\"slots\":1,\"connections\":1}"},
	{"40.json", "{\"decision\":\"class\",\"name\":\"quick\",\"service\":\"svc\"}"},
};

static struct config *make_config(TALLOC_CTX *mem)
{
	json_t *folder = json_object();
	struct config_problems problems = {0};
	struct config *config;

	for (size_t i = 0; i < G_N_ELEMENTS(config_files); i++)
		json_object_set_new(folder, config_files[i][0], json_string(config_files[i][1]));
	config = config_parse(mem, folder, &problems);
	for (size_t i = 0; i < problems.count; i++)
		printf("\n%s %s: %s", problems.items[i].file, problems.items[i].field,
		       problems.items[i].message);
	json_decref(folder);
	CU_ASSERT_PTR_NOT_NULL_FATAL(config);
	return config;
}

/* Two racks of one zone, each with two workers of four accelerators. */
static struct membership *make_members(TALLOC_CTX *mem)
{
	struct membership *members = member_create(mem, "entry#1");

	for (int i = 0; i < 4; i++) {
		char node[8];
		struct msg_hello hello = {.node = node,
					  .incarnation = 1,
					  .role = MSG_ROLE_AGENT,
					  .region = "r",
					  .zone = "z",
					  .rack = i < 2 ? "a" : "b",
					  .address = "127.0.0.1:1"};
		struct msg_announce announce = {.node = node,
						.incarnation = 1,
						.kind = MSG_TARGET_WORKER,
						.service = "",
						.target = node,
						.target_incarnation = 1,
						.state = MSG_TARGET_ALIVE,
						.accelerators = 4,
						.cores = 16,
						.memory_mb = 65536};

		snprintf(node, sizeof(node), "w%d", i);
		member_hello(members, &hello, 1);
		member_announce(members, &announce, 1);
	}
	return members;
}

struct body_case {
	const char *body;
	int status;
	const char *text; /* must be part of the message or the remedy */
};

static const struct body_case bodies[] = {
	{"{\"class\":\"forecast\",\"members\":2,\"accelerators\":4,\"within\":\"rack\"}", 0, ""},
	{"{\"class\":\"forecast\",\"memory_gb\":64,\"payload\":{\"a\":[1,2]}}", 0, ""},
	{"{\"class\":\"forecast\",\"memory_gb\":65}", -ERR_NEVER_FITS, "fit nowhere"},
	{"{\"class\":\"forecast\",\"members\":3,\"accelerators\":4,\"within\":\"rack\"}",
	 -ERR_NEVER_FITS, "fit nowhere"},
	{"{\"class\":\"forecast\",\"members\":2,\"accelerators\":4,\"within\":\"worker\"}",
	 -ERR_NEVER_FITS, "fit nowhere"},
	{"{\"class\":\"forecast\",\"members\":5,\"accelerators\":4}", -ERR_OVER_QUOTA, "quota"},
	{"{\"class\":\"forecast\",\"member\":2}", -ERR_INVALID, "members"},
	{"{\"class\":\"forecast\",\"members\":-1}", -ERR_INVALID, "members"},
	{"{\"class\":\"forecast\",\"members\":65}", -ERR_INVALID, "members"},
	{"{\"class\":\"forecast\",\"cores\":1e12}", -ERR_INVALID, "cores"},
	{"{\"class\":\"forecast\",\"within\":\"row\"}", -ERR_INVALID, "within"},
	{"{\"class\":\"forecast\",\"declared_s\":0}", -ERR_INVALID, "declared_s"},
	{"{\"class\":\"forecasts\"}", -ERR_NOT_FOUND, "forecasts"},
	{"{\"class\":\"quick\"}", -ERR_INVALID, "svc"},
	{"{\"members\":1}", -ERR_INVALID, "class"},
	{"[]", -ERR_INVALID, "object"},
};

/* Guards against accepting jobs that can never run, and against errors without a remedy. */
static void test_bodies(void)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct config *config = make_config(mem);
	struct membership *members = make_members(mem);

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
		json_t *body = json_loads(bodies[i].body, 0, NULL);
		struct err err = {0};
		struct job_record *job = job_from_body(mem, body, "olive", config, members, &err);

		CU_ASSERT_EQUAL(-(int)err.code, bodies[i].status);
		CU_ASSERT_EQUAL(job != NULL, bodies[i].status == 0);
		if (!job) {
			CU_ASSERT_TRUE(strstr(err.message, bodies[i].text) ||
				       strstr(err.remedy, bodies[i].text));
			CU_ASSERT_TRUE(strlen(err.remedy) > 0);
		}
		json_decref(body);
	}
	talloc_free(mem);
}

/* Guards against payloads that would fill a shard. */
static void test_payload_limit(void)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	struct config *config = make_config(mem);
	struct membership *members = make_members(mem);
	char text[JOBS_PAYLOAD_MAX_BYTES + 1];
	struct err err = {0};
	json_t *body;

	memset(text, 'x', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	body = json_pack("{s:s, s:s}", "class", "forecast", "payload", text);
	CU_ASSERT_PTR_NULL(job_from_body(mem, body, "olive", config, members, &err));
	CU_ASSERT_EQUAL(err.code, ERR_INVALID);
	json_decref(body);
	talloc_free(mem);
}

static struct job_record *make_job(TALLOC_CTX *mem)
{
	struct job_record *job = talloc_zero(mem, struct job_record);

	job->id = talloc_strdup(job, "00112233445566ff");
	job->organisation = talloc_strdup(job, "olive");
	job->class_name = talloc_strdup(job, "forecast");
	job->payload = talloc_strdup(job, "{\"a\":\"\\u00e9\"}");
	job->reason = talloc_strdup(job, "a \"quoted\" reason");
	job->shape = (struct place_shape){2, 4, 3, 1024, PLACE_WITHIN_RACK};
	job->declared_ms = 60000;
	job->submitted_ms = 1700000000000;
	job->state = JOBS_STARTING;
	job->attempt = 3;
	job->grant = gang_attempt(70000, 3);
	job->cancel = true;
	job->member_count = 2;
	job->members = talloc_zero_array(job, struct job_member, 2);
	job->members[0].worker = talloc_strdup(job, "w0");
	job->members[0].mask = 0xf000000000000000U;
	job->members[1].worker = talloc_strdup(job, "w1");
	job->members[1].mask = 1;
	return job;
}

/* Guards against a new leader that reads other values than its predecessor has written. */
static void test_round_trip(void)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	json_t *written = job_to_json(make_job(mem));
	char *text = json_dumps(written, 0);
	json_t *parsed = json_loads(text, 0, NULL);
	struct job_record *job = job_from_json(mem, parsed);
	json_t *again = job ? job_to_json(job) : NULL;

	CU_ASSERT_PTR_NOT_NULL(job);
	if (!job)
		return;
	CU_ASSERT_TRUE(json_equal(written, again));
	CU_ASSERT_EQUAL(job->members[0].mask, 0xf000000000000000U);
	CU_ASSERT_EQUAL(job->grant, gang_attempt(70000, 3));
	CU_ASSERT_TRUE(strlen(text) <= job_size_estimate(job));
	json_decref(written);
	json_decref(parsed);
	json_decref(again);
	free(text);
	talloc_free(mem);
}

/* Guards against reading a damaged record as a job. */
static void test_malformed(void)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	json_t *whole = job_to_json(make_job(mem));
	const char *key;
	json_t *value;

	json_object_foreach(whole, key, value)
	{
		json_t *part = json_copy(whole);

		json_object_del(part, key);
		CU_ASSERT_PTR_NULL(job_from_json(mem, part));
		json_decref(part);
	}
	json_object_set_new(whole, "state", json_string("asleep"));
	CU_ASSERT_PTR_NULL(job_from_json(mem, whole));
	json_decref(whole);
	talloc_free(mem);
}

/* Guards against numbers of a stored record that wrap when they are read. */
static void test_odd_numbers(void)
{
	static const char *const names[] = {"declared_ms", "submitted_ms", "ended_ms", "attempt",
					    "grant"};
	TALLOC_CTX *mem = talloc_new(NULL);
	json_t *whole = job_to_json(make_job(mem));
	json_t *shape = json_deep_copy(json_object_get(whole, "shape"));

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		json_t *part = json_copy(whole);

		json_object_set_new(part, names[i], json_integer(-1));
		CU_ASSERT_PTR_NULL(job_from_json(mem, part));
		json_object_set_new(part, names[i], json_real(1e300));
		CU_ASSERT_PTR_NULL(job_from_json(mem, part));
		json_decref(part);
	}
	for (size_t i = 0; i < json_array_size(shape); i++) {
		json_t *part = json_copy(whole);
		json_t *odd = json_deep_copy(shape);

		json_array_set_new(odd, i, json_integer(-1));
		json_object_set_new(part, "shape", odd);
		CU_ASSERT_PTR_NULL(job_from_json(mem, part));
		json_decref(part);
	}
	json_object_set_new(whole, "attempt", json_integer(4294967297));
	CU_ASSERT_PTR_NULL(job_from_json(mem, whole));
	json_object_set_new(whole, "attempt", json_integer(1));
	json_object_set_new(json_array_get(json_object_get(whole, "members"), 0), "mask",
			    json_string("-1"));
	CU_ASSERT_PTR_NULL(job_from_json(mem, whole));
	json_decref(shape);
	json_decref(whole);
	talloc_free(mem);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("jobs record", NULL, NULL);
	CU_add_test(suite, "bodies", test_bodies);
	CU_add_test(suite, "payload limit", test_payload_limit);
	CU_add_test(suite, "round trip", test_round_trip);
	CU_add_test(suite, "malformed", test_malformed);
	CU_add_test(suite, "odd numbers", test_odd_numbers);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
