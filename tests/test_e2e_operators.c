#include "lib_cluster.h"

#include <CUnit/Basic.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COMMANDS_MIN 8 /* fewer mean that the test no longer finds the commands */
#define WORDS_MAX 24

static struct cluster cluster;

static int start_cluster(void)
{
	struct cluster_options options = {
		.example = "nefeli", .entries = 1, .services = 1, .workers = 2};

	return cluster_start(&cluster, &options) ? 0 : 1;
}

static int stop_cluster(void)
{
	return cluster_stop(&cluster) ? 0 : 1;
}

static void run_page_command(char *line, const char *job)
{
	const char *words[WORDS_MAX + 1];
	char out[16384];
	char *next_word = NULL;
	size_t word_count = 0;
	int code;

	strtok_r(line, " ", &next_word);
	for (char *word = strtok_r(NULL, " ", &next_word); word && word_count < WORDS_MAX;
	     word = strtok_r(NULL, " ", &next_word))
		words[word_count++] = strcmp(word, "JOB") ? word : job;
	words[word_count] = NULL;
	/* "config check" runs offline and needs no entry. */
	if (word_count >= 2 && !strcmp(words[0], "config") && !strcmp(words[1], "check"))
		code = proc_run("jaycourse", words, out, sizeof(out));
	else
		code = cluster_cli(&cluster, 0, cluster_operator_token(&cluster), words, out,
				   sizeof(out));
	if (code)
		fprintf(stderr, "jaycourse %s: exit code %d\n%s\n", words[0], code, out);
	CU_ASSERT_EQUAL(code, 0);
}

/* Guards against commands in docs/OPERATIONS.md that no longer work. */
static void test_commands(void)
{
	FILE *page = fopen("docs/OPERATIONS.md", "r");
	unsigned int command_count = 0;
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
			run_page_command(line, job);
			command_count++;
		}
	}
	fclose(page);
	CU_ASSERT(command_count >= COMMANDS_MIN);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("operators", start_cluster, stop_cluster);
	CU_add_test(suite, "commands", test_commands);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures() + CU_get_number_of_suites_failed();
	CU_cleanup_registry();
	return failures != 0;
}
