#include "log.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Standard output is replaced by a pipe that only test_bounded() reads. */

static int saved_stdout;
static int pipe_reader;

static void redirect_stdout(void)
{
	int ends[2];

	fflush(stdout);
	saved_stdout = dup(STDOUT_FILENO);
	CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
	dup2(ends[1], STDOUT_FILENO);
	close(ends[1]);
	pipe_reader = ends[0];
}

static void restore_stdout(void)
{
	dup2(saved_stdout, STDOUT_FILENO);
	close(saved_stdout);
	close(pipe_reader);
}

/* Guards against a process that blocks because nobody reads its log. */
static void test_never_waits(void)
{
	uint64_t start_ms;
	unsigned long dropped_before = log_dropped_count();

	redirect_stdout();
	log_to_stdout(0);
	start_ms = util_clock_ms();
	for (int i = 0; i < 20000; i++)
		log_info("test_flood", "id", "a record of some length that fills the pipe, %d", i);
	restore_stdout();
	CU_ASSERT(util_clock_ms() - start_ms < 5000);
	CU_ASSERT(log_dropped_count() > dropped_before);
}

/* Guards against log volume that grows with the load, and against unreported suppression. */
static void test_bounded(void)
{
	static char text[65536];
	size_t count = 0;
	ssize_t len;
	bool suppression_logged = false;

	redirect_stdout();
	log_to_stdout(10);
	for (int i = 0; i < 500; i++)
		log_info("test_bound", "id", "record %d", i);
	usleep(1100 * 1000);
	log_info("test_bound", "id", "next second");
	len = read(pipe_reader, text, sizeof(text) - 1);
	restore_stdout();
	text[len > 0 ? len : 0] = '\0';
	for (char *line = strtok(text, "\n"); line; line = strtok(NULL, "\n")) {
		json_t *json = json_loads(line, 0, NULL);
		const char *event = json_string_value(json_object_get(json, "event"));

		CU_ASSERT_PTR_NOT_NULL(event);
		count += event && !strcmp(event, "test_bound");
		suppression_logged =
			suppression_logged || (event && !strcmp(event, "log_suppressed"));
		json_decref(json);
	}
	/* The 500 records may fall into two seconds, each with its own limit of 10. */
	CU_ASSERT(count >= 11 && count <= 21);
	CU_ASSERT_TRUE(suppression_logged);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	log_init("test", "node", FALSE);
	CU_initialize_registry();
	suite = CU_add_suite("log", NULL, NULL);
	CU_add_test(suite, "never_waits", test_never_waits);
	CU_add_test(suite, "bounded", test_bounded);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
