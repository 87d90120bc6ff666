#include "jsonread.h"

#include <errno.h>
#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define DEPTH_MAX 32 /* several times the depth of any document that is exchanged */

/* Copy of a document in which unreadable values are replaced. */
struct rewrite {
	const char *data;
	size_t len;
	size_t at;
	size_t depth;
	size_t replaced;
	GString *out;
};

/* Returns the position after the string that begins at @at, or @len if it does not end. */
static size_t string_end(const char *data, size_t len, size_t at)
{
	for (at++; at < len; at++) {
		if (data[at] == '\\')
			at++;
		else if (data[at] == '"')
			return at + 1;
	}
	return len;
}

/* Reads four hexadecimal digits; -1 if there are none. */
static int read_unicode_escape(const char *text, size_t left)
{
	int value = 0;

	if (left < 6 || text[0] != '\\' || text[1] != 'u')
		return -1;
	for (size_t i = 2; i < 6; i++) {
		if (!g_ascii_isxdigit(text[i]))
			return -1;
		value = value * 16 + g_ascii_xdigit_value(text[i]);
	}
	return value;
}

/* Returns the length of the escape sequence at @text, or 0 if a string must not contain it. */
static size_t escape_length(const char *text, size_t left)
{
	int unit = read_unicode_escape(text, left);
	int second;

	if (left >= 2 && text[1] != 'u')
		return strchr("\"\\/bfnrt", text[1]) && text[1] ? 2 : 0;
	if (unit <= 0 || (unit >= 0xdc00 && unit <= 0xdfff))
		return 0;
	if (unit < 0xd800 || unit > 0xdbff)
		return 6;
	second = read_unicode_escape(text + 6, left - 6);
	return second >= 0xdc00 && second <= 0xdfff ? 12 : 0;
}

static bool is_valid_string(const char *text, size_t len)
{
	if (!g_utf8_validate_len(text, len, NULL))
		return false;
	for (size_t i = 0; i < len;) {
		size_t step = text[i] == '\\' ? escape_length(text + i, len - i) : 1;

		if (step == 0 || (unsigned char)text[i] < 0x20)
			return false;
		i += step;
	}
	return true;
}

static bool is_key(const struct rewrite *rewrite, size_t at)
{
	while (at < rewrite->len && g_ascii_isspace(rewrite->data[at]))
		at++;
	return at < rewrite->len && rewrite->data[at] == ':';
}

static void copy_string(struct rewrite *rewrite)
{
	size_t end = string_end(rewrite->data, rewrite->len, rewrite->at);
	const char *text = rewrite->data + rewrite->at;
	size_t len = end - rewrite->at;

	rewrite->at = end;
	if (len >= 2 && is_valid_string(text + 1, len - 2)) {
		g_string_append_len(rewrite->out, text, (gssize)len);
		return;
	}
	rewrite->replaced++;
	if (is_key(rewrite, end))
		g_string_append_printf(rewrite->out, "\"?%zu\"", rewrite->replaced);
	else
		g_string_append(rewrite->out, "null");
}

static bool is_representable_number(const char *text)
{
	errno = 0;
	if (strpbrk(text, ".eE"))
		return isfinite(g_ascii_strtod(text, NULL));
	(void)g_ascii_strtoll(text, NULL, 10);
	return errno != ERANGE;
}

static void copy_number(struct rewrite *rewrite)
{
	size_t begin = rewrite->at;
	char *text;

	while (rewrite->at < rewrite->len && rewrite->data[rewrite->at] &&
	       strchr("0123456789+-.eE", rewrite->data[rewrite->at]))
		rewrite->at++;
	text = g_strndup(rewrite->data + begin, rewrite->at - begin);
	if (is_representable_number(text)) {
		g_string_append(rewrite->out, text);
	} else {
		rewrite->replaced++;
		g_string_append(rewrite->out, "null");
	}
	g_free(text);
}

/* Replaces the array or object at the present position. */
static void skip_container(struct rewrite *rewrite)
{
	size_t open = 0;

	do {
		char c = rewrite->data[rewrite->at];

		if (c == '"') {
			rewrite->at = string_end(rewrite->data, rewrite->len, rewrite->at);
			continue;
		}
		open += c == '[' || c == '{';
		open -= c == ']' || c == '}';
		rewrite->at++;
	} while (open > 0 && rewrite->at < rewrite->len);
	rewrite->replaced++;
	g_string_append(rewrite->out, "null");
}

static void copy_next(struct rewrite *rewrite)
{
	char c = rewrite->data[rewrite->at];

	if (c == '"') {
		copy_string(rewrite);
	} else if (c == '-' || g_ascii_isdigit(c)) {
		copy_number(rewrite);
	} else if ((c == '[' || c == '{') && rewrite->depth >= DEPTH_MAX) {
		skip_container(rewrite);
	} else {
		rewrite->depth += c == '[' || c == '{';
		if ((c == ']' || c == '}') && rewrite->depth > 0)
			rewrite->depth--;
		g_string_append_c(rewrite->out, c);
		rewrite->at++;
	}
}

json_t *jsonread_document(const char *data, size_t len, size_t *replaced)
{
	struct rewrite rewrite = {.data = data, .len = len};
	json_t *json = json_loadb(data, len, 0, NULL);

	if (replaced)
		*replaced = 0;
	if (json)
		return json;
	rewrite.out = g_string_sized_new(len + 1);
	while (rewrite.at < len)
		copy_next(&rewrite);
	if (rewrite.replaced > 0)
		json = json_loadb(rewrite.out->str, rewrite.out->len, 0, NULL);
	if (replaced)
		*replaced = rewrite.replaced;
	g_string_free(rewrite.out, TRUE);
	return json;
}

bool jsonread_u64(const json_t *value, uint64_t max, uint64_t *out)
{
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    (uint64_t)json_integer_value(value) > max)
		return false;
	*out = (uint64_t)json_integer_value(value);
	return true;
}

bool jsonread_u32(const json_t *value, uint32_t max, uint32_t *out)
{
	uint64_t number;

	if (!jsonread_u64(value, max, &number))
		return false;
	*out = (uint32_t)number;
	return true;
}

const char *jsonread_text(const json_t *value)
{
	const char *text = json_string_value(value);

	if (!text || json_string_length(value) > JSONREAD_NAME_MAX_BYTES ||
	    strlen(text) != json_string_length(value))
		return NULL;
	for (const char *at = text; *at; at++) {
		if (g_ascii_iscntrl(*at))
			return NULL;
	}
	return text;
}

bool jsonread_is_name(const char *text)
{
	size_t len = 0;

	while (g_ascii_isgraph(text[len]) && text[len] != '/')
		len++;
	return len > 0 && len <= JSONREAD_NAME_MAX_BYTES && text[len] == '\0';
}

bool jsonread_decimal(const char *text, uint64_t max, uint64_t *out)
{
	char *end;
	guint64 value;

	if (!g_ascii_isdigit(*text))
		return false;
	errno = 0;
	value = g_ascii_strtoull(text, &end, 10);
	if (errno || *end || value > max)
		return false;
	*out = value;
	return true;
}
