#include "announce.h"
#include "configslice.h"

#include <CUnit/Basic.h>
#include <string.h>

#define START_MS 100000 /* any clock value */

struct parse_case {
	const char *body;
	const char *field; /* named by the error; NULL: accepted */
};

#define SERVICE_FIELDS "\"kind\":\"service\",\"target\":\"t\",\"service\":\"s\","
#define URL_FIELD "\"url\":\"http://10.0.0.1:80\","
#define STATE_FIELDS "\"incarnation\":5,\"state\":\"alive\","

/* Guards against accepting an announcement with a field missing or out of range. */
static void test_parse(void)
{
	static const struct parse_case cases[] = {
		{"{" SERVICE_FIELDS URL_FIELD STATE_FIELDS "\"slots\":8,\"connections\":64}", NULL},
		{"{\"kind\":\"worker\",\"target\":\"t\"," URL_FIELD STATE_FIELDS
		 "\"accelerators\":8,\"cores\":128,\"memory_mb\":1000}",
		 NULL},
		{"", "JSON"},
		{"[]", "JSON"},
		{"{" SERVICE_FIELDS URL_FIELD STATE_FIELDS "\"slots\":8,\"slots\":8}", "JSON"},
		{"{\"kind\":\"other\"}", "kind"},
		{"{\"kind\":\"service\",\"target\":\"\"}", "target"},
		{"{\"kind\":\"service\",\"target\":\"t\"}", "service"},
		{"{" SERVICE_FIELDS "\"url\":\"https://10.0.0.1:80\"}", "url"},
		{"{" SERVICE_FIELDS "\"url\":\"http://name:80\"}", "url"},
		{"{" SERVICE_FIELDS "\"url\":\"http://10.0.0.1:80/x\"}", "url"},
		{"{" SERVICE_FIELDS "\"url\":\"http://10.0.0.1:99999\"}", "url"},
		{"{" SERVICE_FIELDS "\"url\":\"http://10.0.0.1: 80\"}", "url"},
		{"{\"kind\":\"worker\",\"target\":\"t\\n\"}", "target"},
		{"{" SERVICE_FIELDS URL_FIELD "\"incarnation\":0}", "incarnation"},
		{"{" SERVICE_FIELDS URL_FIELD "\"incarnation\":1,\"state\":\"gone\"}", "state"},
		{"{" SERVICE_FIELDS URL_FIELD "\"incarnation\":1,\"clock_ms\":9223372036854775807}",
		 "clock_ms"},
		{"{" SERVICE_FIELDS URL_FIELD STATE_FIELDS "\"connections\":64}", "slots"},
		{"{" SERVICE_FIELDS URL_FIELD STATE_FIELDS "\"slots\":-1,\"connections\":64}",
		 "slots"},
		{"{" SERVICE_FIELDS URL_FIELD STATE_FIELDS "\"slots\":8}", "connections"},
		{"{\"kind\":\"worker\",\"target\":\"t\"," URL_FIELD STATE_FIELDS
		 "\"accelerators\":65,\"cores\":1,\"memory_mb\":1}",
		 "accelerators"},
		{"{\"kind\":\"worker\",\"target\":\"t\"," URL_FIELD STATE_FIELDS
		 "\"accelerators\":8}",
		 "cores"},
	};
	TALLOC_CTX *mem = talloc_new(NULL);

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct target_info info;
		struct err err = {0};
		int ret = announce_parse(mem, cases[i].body, strlen(cases[i].body), &info, &err);

		CU_ASSERT_EQUAL(ret, cases[i].field ? -ERR_INVALID : 0);
		if (cases[i].field)
			CU_ASSERT_PTR_NOT_NULL(strstr(err.message, cases[i].field));
		if (cases[i].field)
			CU_ASSERT(strlen(err.remedy) > 0);
	}
	talloc_free(mem);
}

struct announce_case {
	const char *name;
	uint64_t incarnation;
	uint64_t at_ms;
	int status;
	unsigned int changes;
	int usable;
	bool leaving;
};

/*
 * Guards against treating a silent, leaving or foreign target as usable, and against missing a
 * restart.
 */
static void test_states(void)
{
	static const struct announce_case cases[] = {
		{"a", 5, 0, 0, TARGET_CHANGED | TARGET_RESTARTED, 0, false},
		{"a", 5, 1000, 0, 0, 0, false},
		{"b", 1, 1500, -ERR_CONFLICT, 0, 0, false},
		{"a", 4, 1600, -ERR_STALE, 0, 0, false},
		{"a", 5, 2000, 0, TARGET_CHANGED, -ERR_LEAVING, true},
		{"a", 5, 3000, 0, TARGET_CHANGED, 0, false},
		{"a", 6, 3500, 0, TARGET_CHANGED | TARGET_RESTARTED, 0, false},
		{"a", 6, 3500 + TARGET_SILENCE_MS + 1, 0, TARGET_CHANGED, 0, false},
		{"b", 1, 20000, 0, TARGET_CHANGED | TARGET_RESTARTED, 0, false},
	};
	struct target *target = target_create(NULL);
	struct target_info info = {.kind = MSG_TARGET_SERVICE, .service = "s", .url = "u"};
	uint64_t last = 0;

	CU_ASSERT_EQUAL(target_usable(target, START_MS), -ERR_NO_TARGET);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		unsigned int changes;

		info.name = cases[i].name;
		info.incarnation = cases[i].incarnation;
		info.leaving = cases[i].leaving;
		last = START_MS + cases[i].at_ms;
		CU_ASSERT_EQUAL(target_announce(target, &info, last, &changes, NULL),
				cases[i].status);
		CU_ASSERT_EQUAL(changes, cases[i].changes);
		CU_ASSERT_EQUAL(target_usable(target, last), cases[i].usable);
	}
	CU_ASSERT_EQUAL(target_check_silence(target, last + TARGET_SILENCE_MS), 0);
	CU_ASSERT_EQUAL(target_usable(target, last + TARGET_SILENCE_MS + 1), -ERR_NO_TARGET);
	CU_ASSERT_EQUAL(target_check_silence(target, last + TARGET_SILENCE_MS + 1), TARGET_CHANGED);
	CU_ASSERT_EQUAL(target_check_silence(target, last + TARGET_SILENCE_MS + 2), 0);
	talloc_free(target);
}

/*
 * Guards against a target that is refused for ever after an announcement of a larger incarnation:
 * one that was not its own, or one from before its clock was set back.
 */
static void test_smaller_incarnation(void)
{
	struct target *target = target_create(NULL);
	struct target_info info = {.kind = MSG_TARGET_SERVICE, .name = "a", .service = "s"};
	unsigned int changes;
	uint64_t at = START_MS + TARGET_SILENCE_MS;

	info.url = "u";
	info.incarnation = 9;
	CU_ASSERT_EQUAL(target_announce(target, &info, START_MS, &changes, NULL), 0);
	info.incarnation = 5;
	CU_ASSERT_EQUAL(target_announce(target, &info, at, &changes, NULL), -ERR_STALE);
	CU_ASSERT_EQUAL(target_announce(target, &info, at + 1, &changes, NULL), 0);
	CU_ASSERT_EQUAL(changes, TARGET_CHANGED | TARGET_RESTARTED);
	talloc_free(target);
}

struct clock_case {
	uint64_t at_ms;
	uint64_t clock_ms;
	int status;
};

/*
 * Guards against leases by a wrong clock: an announcement that was read late or is not the
 * target's own would end all tasks, or let them run on after the agent has died.
 */
static void test_clock(void)
{
	static const struct clock_case cases[] = {
		{0, 50000, 0},
		{1000, 50000 + 1000 - 900, 0}, /* a little late */
		{2000, 50000 + 2000, 0},
		{2500, 1, -ERR_INVALID},
		{2600, 50000 + 2600 + 3600000, -ERR_INVALID},
		{2700, 0, -ERR_INVALID},
		{3000, 50000 + 3000, 0},
		{4000, 50000 + 4000 - 2500, -ERR_INVALID}, /* three late ones, read at once */
		{4001, 50000 + 4000 - 1500, -ERR_INVALID},
		{4002, 50000 + 4000 - 500, 0},
		{5000, 20000 + 5000, -ERR_INVALID}, /* the clock was set */
		{5700, 20000 + 5700, 0},
		{6000, 20000 + 6000, 0},
	};
	struct target *target = target_create(NULL);
	struct target_info info = {.kind = MSG_TARGET_WORKER, .name = "a", .service = ""};
	unsigned int changes;

	info.url = "u";
	info.incarnation = 5;
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct err err = {0};
		int ret;

		info.clock_ms = cases[i].clock_ms;
		ret = target_announce(target, &info, START_MS + cases[i].at_ms, &changes, &err);
		CU_ASSERT_EQUAL(ret, cases[i].status);
		CU_ASSERT(!ret || strstr(err.message, "clock_ms"));
	}
	/* Another incarnation has another clock. */
	info.incarnation = 6;
	info.clock_ms = 7;
	CU_ASSERT_EQUAL(target_announce(target, &info, START_MS + 7000, &changes, NULL), 0);
	talloc_free(target);
}

/* Guards against a target that counts as silent because the agent did not run. */
static void test_unheard(void)
{
	struct target *target = target_create(NULL);
	struct target_info info = {.kind = MSG_TARGET_WORKER, .name = "a", .service = ""};
	uint64_t end = START_MS + TARGET_SILENCE_MS + 1500;
	unsigned int changes;

	info.url = "u";
	info.incarnation = 5;
	CU_ASSERT_EQUAL(target_announce(target, &info, START_MS, &changes, NULL), 0);
	target_add_unheard(target, 1500);
	CU_ASSERT_EQUAL(target_check_silence(target, end), 0);
	CU_ASSERT_EQUAL(target_usable(target, end), -ERR_NO_TARGET);
	CU_ASSERT_EQUAL(target_check_silence(target, end + 1), TARGET_CHANGED);
	CU_ASSERT(target_silent(target));
	CU_ASSERT_EQUAL(target_announce(target, &info, end + 2, &changes, NULL), 0);
	CU_ASSERT(!target_silent(target));
	CU_ASSERT_EQUAL(target_check_silence(target, end + TARGET_SILENCE_MS + 3), TARGET_CHANGED);
	talloc_free(target);
}

/*
 * Guards against using more slots than configured, and against forgetting idempotency keys before
 * the entries' claims on them end.
 */
static void test_slice(void)
{
	static const char text[] = "{\"services\":{\"s\":{\"slots\":4,\"connections\":0}},"
				   "\"classes\":{\"a\":{\"idempotency_ttl_s\":60},"
				   "\"b\":{\"idempotency_ttl_s\":7200},\"c\":{}}}";
	struct slots_capacity capacity = {.slots = 8, .connections = 64};
	struct configslice *slice = configslice_parse(NULL, (const uint8_t *)text, strlen(text));

	CU_ASSERT_PTR_NULL(configslice_parse(NULL, (const uint8_t *)"[]", 2));
	CU_ASSERT_PTR_NOT_NULL_FATAL(slice);
	configslice_apply_limits(slice, "other", &capacity);
	CU_ASSERT_EQUAL(capacity.slots, 8);
	configslice_apply_limits(slice, "s", &capacity);
	CU_ASSERT_EQUAL(capacity.slots, 4);
	CU_ASSERT_EQUAL(capacity.connections, 64);
	CU_ASSERT_EQUAL(configslice_max_key_ttl_ms(slice), 7200000);
	talloc_free(slice);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("target", NULL, NULL);
	CU_add_test(suite, "parse", test_parse);
	CU_add_test(suite, "states", test_states);
	CU_add_test(suite, "smaller_incarnation", test_smaller_incarnation);
	CU_add_test(suite, "clock", test_clock);
	CU_add_test(suite, "unheard", test_unheard);
	CU_add_test(suite, "slice", test_slice);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
