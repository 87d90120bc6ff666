#include "fleetnode.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static struct fleetnode_settings *load_text(enum fleetnode_role role, const char *text,
					    char **report)
{
	char path[] = "/tmp/jaycourse-settings-XXXXXX";
	int fd = mkstemp(path);
	struct fleetnode_settings *settings;

	CU_ASSERT_EQUAL(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
	settings = fleetnode_load(NULL, role, path, report);
	unlink(path);
	return settings;
}

static const char entry_text[] =
	"{\"node\":\"e1\",\"message_address\":\"127.0.0.1:1\",\"store_address\":\"127.0.0.1:2\","
	"\"callers_address\":\"127.0.0.1:3\",\"ready_address\":\"127.0.0.1:4\",\"grace_s\":1.5,"
	"\"away_factor\":2.5,\"unavailable_after_ms\":4500.0,"
	"\"advice_address\":\"127.0.0.1:5\",\"metrics_address\":\"\","
	"\"made_by_a_newer_platform\":true}";

/* Guards against settings that are not read, and a newer platform's file that is refused. */
static void test_entry(void)
{
	char *report = NULL;
	struct fleetnode_settings *settings = load_text(FLEETNODE_ENTRY, entry_text, &report);

	CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
	if (!settings)
		return;
	CU_ASSERT_STRING_EQUAL(settings->node, "e1");
	CU_ASSERT_STRING_EQUAL(settings->callers_address, "127.0.0.1:3");
	CU_ASSERT_STRING_EQUAL(settings->advice_address, "127.0.0.1:5");
	/* A platform may give an empty string for an address that it does not have. */
	CU_ASSERT_PTR_NULL(settings->metrics_address);
	CU_ASSERT_DOUBLE_EQUAL(settings->grace_s, 1.5, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(settings->away_factor, 2.5, 0.001);
	CU_ASSERT_DOUBLE_EQUAL(settings->unavailable_after_ms, 4500, 0.001);
	CU_ASSERT(settings->leader_ttl_ms > 0 && settings->stall_ms > 0);
	talloc_free(report);
	talloc_free(settings);
}

/* Guards against unusable settings that are accepted, and reports that omit a problem. */
static void test_problems(void)
{
	static const struct {
		enum fleetnode_role role;
		const char *text;
		const char *named; /* field that the report must name */
	} cases[] = {
		{FLEETNODE_ENTRY, "{}", "callers_address"},
		{FLEETNODE_ENTRY, "{\"evacuate_ms\":999}", "evacuate_ms"},
		{FLEETNODE_ENTRY, "{\"evacuate_ms\":-1}", "evacuate_ms"},
		{FLEETNODE_ENTRY, "{\"evacuate_ms\":\"5000\"}", "evacuate_ms"},
		{FLEETNODE_AGENT, "{\"memory_mb\":15}", "memory_mb"},
		{FLEETNODE_AGENT, "{\"max_descriptors\":127}", "max_descriptors"},
		{FLEETNODE_ENTRY, "{\"bodies_max_mb\":3}", "bodies_max_mb"},
		{FLEETNODE_ENTRY, "{\"connections_max\":7}", "connections_max"},
		{FLEETNODE_ENTRY, "{\"body_idle_ms\":99}", "body_idle_ms"},
		{FLEETNODE_ENTRY, "{}", "store_address"},
		{FLEETNODE_AGENT, entry_text, "worker_address"},
		{FLEETNODE_ENTRY, "{\"node\":7}", "node"},
		{FLEETNODE_ENTRY, "{\"store_address\":\"\"}", "store_address"},
		{FLEETNODE_ENTRY, "{\"grace_s\":-1}", "grace_s"},
		{FLEETNODE_ENTRY, "{\"away_factor\":-1}", "away_factor"},
		{FLEETNODE_ENTRY, "{\"message_address\":\"here\"}", "message_address"},
		{FLEETNODE_ENTRY, "{\"node\":", "line 1"},
		{FLEETNODE_ENTRY, "[]", "Correct the file"},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char *report = NULL;

		CU_ASSERT_PTR_NULL(load_text(cases[i].role, cases[i].text, &report));
		CU_ASSERT(report && strstr(report, cases[i].named));
		talloc_free(report);
	}
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("fleetnode", NULL, NULL);
	CU_add_test(suite, "entry", test_entry);
	CU_add_test(suite, "problems", test_problems);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
