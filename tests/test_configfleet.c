#include "lib_proc.h"
#include "platform.h"

#include <CUnit/Basic.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Offline check of a fleet's configuration. */

#define ROUTE(more) "{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/\",\"service\":\"s\"" more "}"
#define KEPT ",\"slo_ms\":250,\"stretch\":1.5"
#define CONFIG(version, routes, tenants, more)                                               \
	"{\"version\":" #version ",\"routes\":[" routes "],\"services\":[{\"name\":\"s\"}]," \
	"\"tenants\":[" tenants "]" more "}"
#define GOOD CONFIG(2, ROUTE(KEPT), "{\"name\":\"o\",\"guaranteed\":{\"gpu\":8}}", "")

static const struct {
	const char *text;
	const char *in_force;
	uint64_t accelerators;
	const char *path; /* of the only problem; NULL: none */
	bool warning;
} rows[] = {
	{GOOD, NULL, 8, NULL, false},
	{GOOD, NULL, 7, "tenants", false},
	{GOOD, GOOD, 0, "version", false},
	{GOOD, CONFIG(1, ROUTE(KEPT), "{\"name\":\"o\"},{\"name\":\"p\"}", ""), 0, "tenants", true},
	{GOOD, CONFIG(1, ROUTE(KEPT), "{\"name\":\"o\",\"api_keys\":[\"k\"]}", ""), 0, "tenants",
	 true},
	{"[", NULL, 0, "", false},
	{CONFIG(-1, ROUTE(KEPT), "", ""), NULL, 0, "version", false},
	{CONFIG(1, ROUTE(KEPT ",\"max_attempts\":0"), "", ""), NULL, 0, "routes[0].max_attempts",
	 false},
	{CONFIG(1, ROUTE(KEPT ",\"priority\":-1"), "", ""), NULL, 0, "routes[0].priority", false},
	{CONFIG(1, ROUTE(",\"stretch\":0.9,\"slo_ms\":100"), "", ""), NULL, 0, "routes[0].stretch",
	 false},
	{CONFIG(1, ROUTE(",\"stretch\":\"x\""), "", ""), NULL, 0, "routes[0].stretch", false},
	{CONFIG(1, ROUTE(""), "", ""), NULL, 0, "routes[0].slo_ms", false},
	{CONFIG(1,
		ROUTE(KEPT) ",{\"name\":\"r\",\"host\":\"H\",\"prefix\":\"/"
			    "\",\"service\":\"s\"" KEPT "}",
		"", ""),
	 NULL, 0, "routes[1].prefix", false},
	{CONFIG(1, "{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/\",\"service\":\"t\"" KEPT "}", "",
		""),
	 NULL, 0, "routes[0].service", false},
	{CONFIG(1, "{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"a\",\"service\":\"s\"" KEPT "}", "",
		""),
	 NULL, 0, "routes[0].prefix", false},
	{CONFIG(1, ROUTE(KEPT), "{\"guaranteed\":{\"gpu\":1}}", ""), NULL, 0, "tenants[0].name",
	 false},
	{CONFIG(1, ROUTE(KEPT), "{\"name\":\"o\",\"guaranteed\":{\"gpu\":-1}}", ""), NULL, 0,
	 "tenants[0].guaranteed.gpu", false},
	{CONFIG(1, ROUTE(KEPT),
		"{\"name\":\"o\",\"api_keys\":[\"k\"]},{\"name\":\"p\",\"api_keys\":[\"k\"]}", ""),
	 NULL, 0, "tenants[1].api_keys[0]", false},
	{CONFIG(1, ROUTE(KEPT), "", ",\"limits\":{\"max_body_bytes\":16000}"), NULL, 0,
	 "limits.max_body_bytes", false},
};

/* Guards against a fault that is not told, told of another field, or told twice. */
static void test_problems(void)
{
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct confcheck_report report = {.mem = talloc_new(NULL)};
		struct confcheck_input input = {.text = rows[i].text,
						.len = strlen(rows[i].text),
						.in_force = rows[i].in_force,
						.accelerators = rows[i].accelerators};

		input.in_force_len = input.in_force ? strlen(input.in_force) : 0;
		platform_config_check.check(&input, &report);
		CU_ASSERT_EQUAL(report.count, rows[i].path ? 1 : 0);
		if (report.count != (rows[i].path ? 1 : 0))
			printf("\nrow %zu has %zu problems\n", i, report.count);
		if (report.count > 0 && rows[i].path) {
			CU_ASSERT_STRING_EQUAL(report.problems[0].path, rows[i].path);
			CU_ASSERT_EQUAL(report.problems[0].warning, rows[i].warning);
			CU_ASSERT_TRUE(*report.problems[0].remedy != '\0');
		}
		talloc_free(report.mem);
	}
}

static void write_file(const char *path, const char *text)
{
	FILE *file = fopen(path, "w");

	CU_ASSERT_PTR_NOT_NULL_FATAL(file);
	fputs(text, file);
	fclose(file);
}

/* Guards against an exit code that hides an error, or fails a script for a warning. */
static void test_command(void)
{
	char new_file[] = "/tmp/jaycourse-new-XXXXXX";
	char old_file[] = "/tmp/jaycourse-old-XXXXXX";
	const char *good[] = {"config", "check", "--fleet", new_file, NULL};
	const char *warned[] = {"config", "check",    "--fleet", new_file, "--in-force",
				old_file, "--output", "json",	 NULL};
	const char *failed[] = {"config",	  "check", "--fleet", new_file,
				"--accelerators", "7",	   NULL};
	const char *missing[] = {"config", "check", "--fleet", "/no/such", NULL};
	const char *wrong[] = {"config", "check", "--accelerators", "7", NULL};
	char out[8192] = "";

	close(mkstemp(new_file));
	close(mkstemp(old_file));
	write_file(new_file, GOOD);
	write_file(old_file, CONFIG(1, ROUTE(KEPT), "{\"name\":\"p\"}", ""));
	CU_ASSERT_EQUAL(proc_run("jaycourse", good, out, sizeof(out)), 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(out, "no problems"));
	CU_ASSERT_EQUAL(proc_run("jaycourse", warned, out, sizeof(out)), 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(out, "\"severity\": \"warning\""));
	CU_ASSERT_EQUAL(proc_run("jaycourse", failed, out, sizeof(out)), 1);
	CU_ASSERT_PTR_NOT_NULL(strstr(out, "remedy"));
	CU_ASSERT_EQUAL(proc_run("jaycourse", missing, out, sizeof(out)), 6);
	CU_ASSERT_EQUAL(proc_run("jaycourse", wrong, out, sizeof(out)), 2);
	unlink(new_file);
	unlink(old_file);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("configfleet", NULL, NULL);
	CU_add_test(suite, "problems", test_problems);
	CU_add_test(suite, "command", test_command);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
