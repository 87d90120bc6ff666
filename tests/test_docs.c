#include <CUnit/Basic.h>
#include <ctype.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REFERENCES_MIN 40 /* fewer mean that the page's table can no longer be parsed */

static char *read_file(const char *path)
{
	FILE *file = fopen(path, "r");
	char *text = NULL;
	long size;

	if (!file)
		return NULL;
	fseek(file, 0, SEEK_END);
	size = ftell(file);
	rewind(file);
	text = calloc(1, (size_t)size + 1);
	if (fread(text, 1, (size_t)size, file) != (size_t)size)
		text[0] = '\0';
	fclose(file);
	return text;
}

static bool test_exists(const char *program, const char *name)
{
	char path[256];
	char quoted[160];
	char *text;
	bool found;

	snprintf(path, sizeof(path), "tests/test_%s.c", program);
	snprintf(quoted, sizeof(quoted), "\"%s\"", name);
	text = read_file(path);
	found = text && strstr(text, quoted);
	if (!found)
		fprintf(stderr, "docs/guarantees.md names %s/%s, which does not exist\n", program,
			name);
	free(text);
	return found;
}

/* Splits "PROGRAM/TEST"; returns false for other code spans such as file names. */
static bool parse_reference(const char *text, size_t len, char *program, char *name, size_t size)
{
	const char *slash = memchr(text, '/', len);

	if (!slash || memchr(text, '.', len))
		return false;
	for (const char *at = text; at < slash; at++) {
		if (!islower((unsigned char)*at) && *at != '_' && !isdigit((unsigned char)*at))
			return false;
	}
	if (!strncmp(text, "program/", 8))
		return false;
	snprintf(program, size, "%.*s", (int)(slash - text), text);
	snprintf(name, size, "%.*s", (int)(text + len - slash - 1), slash + 1);
	return true;
}

/* Fails when docs/guarantees.md names a test that was renamed or never written. */
static void test_guarantees(void)
{
	char *text = read_file("docs/guarantees.md");
	unsigned int references = 0;
	const char *at = text;

	CU_ASSERT_PTR_NOT_NULL_FATAL(text);
	while ((at = strchr(at, '`'))) {
		const char *end = strchr(at + 1, '`');
		char program[128];
		char name[128];

		if (!end)
			break;
		if (parse_reference(at + 1, (size_t)(end - at - 1), program, name,
				    sizeof(program))) {
			CU_ASSERT(test_exists(program, name));
			references++;
		}
		at = end + 1;
	}
	CU_ASSERT(references >= REFERENCES_MIN);
	free(text);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("docs", NULL, NULL);
	CU_add_test(suite, "guarantees", test_guarantees);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
