#include "config_internal.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/* Returns the position after the JSON string that starts at @at. */
static const char *skip_string(const char *at)
{
	for (at++; *at && *at != '"'; at++) {
		if (*at == '\\' && at[1])
			at++;
	}
	return *at ? at + 1 : at;
}

static bool is_key(const char *after)
{
	while (isspace((unsigned char)*after))
		after++;
	return *after == ':';
}

/* Finds the first key @name at or after @at, at any depth. */
static const char *find_key(const char *at, const char *name, size_t len)
{
	while (*at) {
		const char *after;

		if (*at != '"') {
			at++;
			continue;
		}
		after = skip_string(at);
		if ((size_t)(after - at) == len + 2 && !strncmp(at + 1, name, len) && is_key(after))
			return at;
		at = after;
	}
	return NULL;
}

/* Finds the object that is element @index of the list that starts at or after @at. */
static const char *find_element(const char *at, unsigned long index)
{
	for (int depth = 0; *at; at++) {
		if (*at == '"') {
			at = skip_string(at) - 1;
			continue;
		}
		if (*at == '{' && depth++ == 0 && index-- == 0)
			return at;
		depth -= *at == '}';
	}
	return NULL;
}

unsigned int config_field_line(const char *text, const char *path)
{
	const char *at = text;
	unsigned int line = 1;

	while (at && *path) {
		size_t len = strcspn(path, ".[");
		const char *next = find_key(at, path, len);

		path += len;
		if (next && *path == '[') {
			next = find_element(skip_string(next), strtoul(path + 1, NULL, 10));
			path += strcspn(path, ".");
		}
		path += *path == '.';
		if (!next)
			break;
		at = *path ? skip_string(next) : next;
		if (*path && *next == '{')
			at = next;
	}
	for (const char *c = text; at && c < at; c++)
		line += *c == '\n';
	return line;
}
