#include "lib_cluster.h"

#include <CUnit/Basic.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COMMANDS_MIN 8 /* a page that no longer parses must not pass */
#define WORDS_MAX 24

static struct cluster cluster;

static int start(void)
{
	struct cluster_options options = {
		.example = "nefeli", .entries = 1, .services = 1, .workers = 2};

	return cluster_start(&cluster, &options) ? 0 : 1;
}

static int stop(void)
{
	return cluster_stop(&cluster) ? 0 : 1;
}

static void run_command(char *line, const char *job)
{
	const char *words[WORDS_MAX + 1];
	char out[16384];
	char *save = NULL;
	size_t n = 0;
	int code;

	strtok_r(line, " ", &save);
	for (char *word = strtok_r(NULL, " ", &save); word && n < WORDS_MAX;
	     word = strtok_r(NULL, " ", &save))
		words[n++] = strcmp(word, "JOB") ? word : job;
	words[n] = NULL;
	/* Checking a folder is an offline command and takes no entry. */
	if (n >= 2 && !strcmp(words[0], "config") && !strcmp(words[1], "check"))
		code = proc_run("jaycourse", words, out, sizeof(out));
	else
		code = cluster_cli(&cluster, 0, cluster_operator_token(&cluster), words, out,
				   sizeof(out));
	if (code)
		fprintf(stderr, "jaycourse %s: exit code %d\n%s\n", words[0], code, out);
	CU_ASSERT_EQUAL(code, 0);
}

/* Guards against a page whose commands no longer work. */
static void test_commands(void)
{
	FILE *page = fopen("docs/OPERATIONS.md", "r");
	unsigned int commands = 0;
	bool console = false;
	char line[512];
	char job[32];

	CU_ASSERT_PTR_NOT_NULL_FATAL(page);
	CU_ASSERT_EQUAL(cluster_submit(&cluster, 0, NULL,
				       "{\"class\":\"yield-forecast\",\"members\":1,"
				       "\"accelerators\":1,\"declared_s\":60,"
				       "\"payload\":{\"run_ms\":60000}}",
				       job),
			202);
	CU_ASSERT(cluster_wait_job(&cluster, 0, job, "running", 20000));
	while (fgets(line, sizeof(line), page)) {
		line[strcspn(line, "\n")] = '\0';
		if (!strncmp(line, "```", 3))
			console = !strcmp(line, "```console");
		else if (console && !strncmp(line, "jaycourse ", 10)) {
			run_command(line, job);
			commands++;
		}
	}
	fclose(page);
	CU_ASSERT(commands >= COMMANDS_MIN);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("operators", start, stop);
	CU_add_test(suite, "commands", test_commands);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures() + CU_get_number_of_suites_failed();
	CU_cleanup_registry();
	return failures != 0;
}
