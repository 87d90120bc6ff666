#include "settings.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define GOOD_ENTRY                                                                 \
	"\"node\":\"e1\",\"region\":\"islands\",\"zone\":\"naxos\","               \
	"\"http_address\":\"127.0.0.1:8080\",\"peer_address\":\"127.0.0.1:8081\"," \
	"\"store_endpoints\":[\"http://127.0.0.1:2379\"]"
#define GOOD_AGENT                                                                   \
	"\"node\":\"a1\",\"region\":\"islands\",\"zone\":\"naxos\",\"rack\":\"r1\"," \
	"\"http_address\":\"127.0.0.1:8080\",\"peer_address\":\"[::1]:8081\","       \
	"\"seeds\":[\"127.0.0.1:80\"]"

struct row {
	enum settings_role role;
	const char *json;
	const char *overrides[2];
	const char *expected[3]; /* parts of the report; none: the settings are valid */
};

static const struct row rows[] = {
	{SETTINGS_ENTRY, "{" GOOD_ENTRY "}", {NULL}, {NULL}},
	{SETTINGS_AGENT, "{" GOOD_AGENT "}", {NULL}, {NULL}},
	{SETTINGS_ENTRY, "{" GOOD_ENTRY "}", {"http_threads=8", "verbose=true"}, {NULL}},
	{SETTINGS_ENTRY, "{}", {NULL}, {"node: is missing", "zone: is missing", "store_endpoints"}},
	{SETTINGS_AGENT, "{" GOOD_AGENT ",\"http_threads\":4}", {NULL}, {"http_threads: is not a"}},
	{SETTINGS_ENTRY, "{" GOOD_ENTRY ",\"verbos\":true}", {NULL}, {"verbos", "\"verbose\""}},
	{SETTINGS_ENTRY, "{" GOOD_ENTRY "}", {"nod=x"}, {"nod: is not a known", "\"node\""}},
	{SETTINGS_ENTRY, "{" GOOD_ENTRY "}", {"http_threads=-1"}, {"http_threads: it is outside"}},
	{SETTINGS_ENTRY, "{" GOOD_ENTRY "}", {"http_threads=many"}, {"is not a whole number"}},
	{SETTINGS_ENTRY, "{" GOOD_ENTRY "}", {"peer_address=host:1"}, {"peer_address: is not an"}},
	{SETTINGS_ENTRY, "{" GOOD_ENTRY "}", {"peer_address=127.0.0.1:70000"}, {"peer_address"}},
	{SETTINGS_ENTRY, "{" GOOD_ENTRY "}", {"peer_address=0.0.0.0:1"}, {"advertise_address"}},
	{SETTINGS_ENTRY, "{" GOOD_ENTRY "}", {"tls_key=/k.pem"}, {"tls_certificate: is missing"}},
	{SETTINGS_ENTRY, "{" GOOD_ENTRY "}", {"store_endpoints="}, {"store_endpoints: is empty"}},
	{SETTINGS_ENTRY, "{" GOOD_ENTRY "}", {"store_endpoints=ftp://x"}, {"invalid URL"}},
	{SETTINGS_ENTRY, "{" GOOD_ENTRY "}", {"node=a#b"}, {"node: is not a name"}},
	{SETTINGS_ENTRY, "{" GOOD_ENTRY "}", {"node"}, {"has no \"=\""}},
	{SETTINGS_ENTRY, "{\n" GOOD_ENTRY ",}", {NULL}, {"line 2"}},
	{SETTINGS_ENTRY, "[]", {NULL}, {"JSON object", "node: is missing"}},
};

static void write_file(char *path, const char *text)
{
	int fd = mkstemp(path);

	CU_ASSERT_FATAL(fd >= 0);
	CU_ASSERT_EQUAL(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
}

static void run_row(const struct row *row)
{
	char path[] = "/tmp/jaycourse-settings-XXXXXX";
	TALLOC_CTX *mem = talloc_new(NULL);
	const char *overrides[2] = {row->overrides[0], row->overrides[1]};
	size_t count = (size_t)(overrides[0] != NULL) + (size_t)(overrides[1] != NULL);
	struct settings *settings;
	char *report;

	write_file(path, row->json);
	settings = settings_load(mem, row->role, path, overrides, count, &report);
	unlink(path);
	CU_ASSERT_EQUAL(settings != NULL, row->expected[0] == NULL);
	for (int i = 0; i < 3 && row->expected[i]; i++)
		CU_ASSERT_PTR_NOT_NULL(report ? strstr(report, row->expected[i]) : NULL);
	talloc_free(mem);
}

/* Guards against invalid settings that are accepted, or rejected without naming the field. */
static void test_rows(void)
{
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		run_row(&rows[i]);
}

/* Guards against overrides or defaults that are not stored in the structure. */
static void test_values(void)
{
	const char *flags[] = {"node=a1",
			       "region=r",
			       "zone=z",
			       "rack=k",
			       "http_address=127.0.0.1:1",
			       "peer_address=127.0.0.1:2",
			       "seeds=127.0.0.1:3,127.0.0.1:4"};
	TALLOC_CTX *mem = talloc_new(NULL);
	char *report;
	struct settings *settings = settings_load(mem, SETTINGS_AGENT, NULL, flags, 7, &report);

	CU_ASSERT_PTR_NOT_NULL(settings);
	if (!settings)
		return;
	CU_ASSERT_EQUAL(settings->seed_count, 2);
	CU_ASSERT_STRING_EQUAL(settings->seeds[1], "127.0.0.1:4");
	CU_ASSERT_STRING_EQUAL(settings->advertise_address, "127.0.0.1:2");
	CU_ASSERT_EQUAL(settings->shutdown_grace_ms, 30000);
	CU_ASSERT_EQUAL(settings->http_threads, 4);
	talloc_free(mem);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("settings", NULL, NULL);
	CU_add_test(suite, "rows", test_rows);
	CU_add_test(suite, "values", test_values);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
