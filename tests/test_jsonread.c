#include "jsonread.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

/* Returns "[1,ODD,2]" as it is read, or "" if it is refused. */
static char *read_between(const char *odd, size_t len)
{
	GString *text = g_string_new("[1,");
	json_t *json;
	char *out;

	g_string_append_len(text, odd, (gssize)len);
	g_string_append(text, ",2]");
	json = jsonread_document(text->str, text->len, NULL);
	out = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	g_string_free(text, TRUE);
	return out ? out : strdup("");
}

/* Guards against one unreadable value that makes the values around it unreadable. */
static void test_odd_values(void)
{
	static const struct {
		const char *odd;
		size_t len;
		const char *read;
	} cases[] = {
		{"1e400", 5, "[1,null,2]"},
		{"-1E+999", 7, "[1,null,2]"},
		{"99999999999999999999", 20, "[1,null,2]"},
		{"9223372036854775807", 19, "[1,9223372036854775807,2]"},
		{"\"\\u0000\"", 8, "[1,null,2]"},
		{"\"\\ud800\"", 8, "[1,null,2]"},
		{"\"\\ud800\\udc00\"", 14, "[1,\"\xf0\x90\x80\x80\",2]"},
		{"\"\xff\xfe\"", 4, "[1,null,2]"},
		{"\"a\0b\"", 5, "[1,null,2]"},
		{"\"a\x01\"", 4, "[1,null,2]"},
		{"{\"\xff\":1,\"a\":1e999}", 17, "[1,{\"?1\":1,\"a\":null},2]"},
		{"{\"a\":[\"]\\\"\",1e999]}", 19, "[1,{\"a\":[\"]\\\"\",null]},2]"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *read = read_between(cases[i].odd, cases[i].len);

		CU_ASSERT_STRING_EQUAL(read, cases[i].read);
		free(read);
	}
}

/* Guards against a stack overflow by nesting, and against nesting that hides other values. */
static void test_nesting(void)
{
	enum {
		DEPTH = 100000
	};
	GString *text = g_string_new(NULL);
	char *read;

	for (int i = 0; i < DEPTH; i++)
		g_string_append(text, i % 2 ? "{\"k\":" : "[");
	for (int i = DEPTH; i-- > 0;)
		g_string_append_c(text, i % 2 ? '}' : ']');
	read = read_between(text->str, text->len);
	CU_ASSERT(g_str_has_prefix(read, "[1,[{") && g_str_has_suffix(read, "]},2]") == FALSE);
	CU_ASSERT(g_str_has_suffix(read, ",2]"));
	CU_ASSERT_PTR_NULL(jsonread_document(text->str, DEPTH / 2, NULL));
	free(read);
	g_string_free(text, TRUE);
}

/* Guards against text that is no JSON and read as something. */
static void test_no_json(void)
{
	static const char *const texts[] = {"",	  "[1e999",  "[1,]", "{1e999:1}",
					    "\"", "1e999 2", "\\"};
	size_t replaced;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		CU_ASSERT_PTR_NULL(jsonread_document(texts[i], strlen(texts[i]), &replaced));
	for (size_t len = 0; len < 9; len++)
		CU_ASSERT_PTR_NULL(jsonread_document("[\"\\ud800\\u", len, NULL));
}

/* Guards against numbers that wrap and names that are truncated or mean two things. */
static void test_fields(void)
{
	static const char *const no_names[] = {"", "a b", "a/b", "a\r\nb", "\xc3\xa4"};
	static const char *const no_numbers[] = {
		"", "-1", "+1", " 1", "1 ", "0x1", "1e3", "11", "99999999999999999999"};
	char long_name[JSONREAD_NAME_MAX_BYTES + 2];
	json_t *minus = json_integer(-1);
	json_t *large = json_integer(4294967297);
	json_t *real = json_real(1.0);
	uint32_t number = 7;
	uint64_t decimal = 7;

	CU_ASSERT_FALSE(jsonread_u32(minus, 10, &number));
	CU_ASSERT_FALSE(jsonread_u32(large, UINT32_MAX, &number));
	CU_ASSERT_FALSE(jsonread_u32(real, 10, &number));
	CU_ASSERT_FALSE(jsonread_u32(NULL, 10, &number));
	CU_ASSERT_EQUAL(number, 7);
	for (size_t i = 0; i < G_N_ELEMENTS(no_names); i++)
		CU_ASSERT_FALSE(jsonread_is_name(no_names[i]));
	for (size_t i = 0; i < G_N_ELEMENTS(no_numbers); i++)
		CU_ASSERT_FALSE(jsonread_decimal(no_numbers[i], 10, &decimal));
	CU_ASSERT(jsonread_decimal("10", 10, &decimal) && decimal == 10);
	memset(long_name, 'a', sizeof(long_name) - 1);
	long_name[sizeof(long_name) - 1] = '\0';
	CU_ASSERT_FALSE(jsonread_is_name(long_name));
	CU_ASSERT_TRUE(jsonread_is_name(long_name + 1));
	json_decref(minus);
	json_decref(large);
	json_decref(real);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("jsonread", NULL, NULL);
	CU_add_test(suite, "odd_values", test_odd_values);
	CU_add_test(suite, "nesting", test_nesting);
	CU_add_test(suite, "no_json", test_no_json);
	CU_add_test(suite, "fields", test_fields);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
