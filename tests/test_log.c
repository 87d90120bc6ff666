#include "log.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Standard output is a pipe that the test reads, or doesn't. */

static int saved;
static int reader;

static void redirect(void)
{
	int ends[2];

	fflush(stdout);
	saved = dup(STDOUT_FILENO);
	CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
	dup2(ends[1], STDOUT_FILENO);
	close(ends[1]);
	reader = ends[0];
}

static void restore(void)
{
	dup2(saved, STDOUT_FILENO);
	close(saved);
	close(reader);
}

/* Guards against a process that stands still because nobody reads its log. */
static void test_never_waits(void)
{
	uint64_t began_ms;
	unsigned long before = log_dropped();

	redirect();
	log_to_output(0);
	began_ms = util_clock_ms();
	for (int i = 0; i < 20000; i++)
		log_info("test_flood", "id", "a record of some length that fills the pipe, %d", i);
	restore();
	CU_ASSERT(util_clock_ms() - began_ms < 5000);
	CU_ASSERT(log_dropped() > before);
}

/* Guards against a volume that grows with the load, and records that vanish without a word. */
static void test_bounded(void)
{
	static char text[65536];
	size_t count = 0;
	ssize_t len;
	bool told = false;

	redirect();
	log_to_output(10);
	for (int i = 0; i < 500; i++)
		log_info("test_bound", "id", "record %d", i);
	usleep(1100 * 1000);
	log_info("test_bound", "id", "next second");
	len = read(reader, text, sizeof(text) - 1);
	restore();
	text[len > 0 ? len : 0] = '\0';
	for (char *line = strtok(text, "\n"); line; line = strtok(NULL, "\n")) {
		json_t *json = json_loads(line, 0, NULL);
		const char *event = json_string_value(json_object_get(json, "event"));

		CU_ASSERT_PTR_NOT_NULL(event);
		count += event && !strcmp(event, "test_bound");
		told = told || (event && !strcmp(event, "log_suppressed"));
		json_decref(json);
	}
	/* The flood may cross from one second into the next. */
	CU_ASSERT(count >= 11 && count <= 21);
	CU_ASSERT_TRUE(told);
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
