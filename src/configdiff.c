#include "config.h"

#include <stdlib.h>
#include <string.h>

#define VALUE_SHOWN_MAX_BYTES 80

struct diff {
	char *text;
	const char *file;
};

static void add_line(struct diff *diff, char sign, const char *path, const json_t *from,
		     const json_t *to)
{
	char *old = from ? json_dumps(from, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
	char *new = to ? json_dumps(to, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;

	diff->text = talloc_asprintf_append_buffer(diff->text, "%c %s: %s", sign, diff->file, path);
	if (old)
		diff->text = talloc_asprintf_append_buffer(diff->text, " %.*s",
							   VALUE_SHOWN_MAX_BYTES, old);
	if (new)
		diff->text = talloc_asprintf_append_buffer(diff->text, "%s %.*s", old ? " ->" : "",
							   VALUE_SHOWN_MAX_BYTES, new);
	diff->text = talloc_asprintf_append_buffer(diff->text, "\n");
	free(old);
	free(new);
}

static void diff_values(struct diff *diff, const char *path, const json_t *from, const json_t *to)
{
	const char *name;
	json_t *value;

	if (json_equal(from, to))
		return;
	if (!json_is_object(from) || !json_is_object(to)) {
		add_line(diff, from && to ? '~' : to ? '+' : '-', path, from, to);
		return;
	}
	json_object_foreach((json_t *)from, name, value)
	{
		char *inner = talloc_asprintf(NULL, "%s%s%s", path, *path ? "." : "", name);

		diff_values(diff, inner, value, json_object_get(to, name));
		talloc_free(inner);
	}
	json_object_foreach((json_t *)to, name, value)
	{
		char *inner = talloc_asprintf(NULL, "%s%s%s", path, *path ? "." : "", name);

		if (!json_object_get(from, name))
			diff_values(diff, inner, NULL, value);
		talloc_free(inner);
	}
}

/* Parses a file; content that is not JSON is returned as the string, to be compared as such. */
static json_t *parse_content(const json_t *content)
{
	const char *text = json_string_value(content);
	json_t *json = text ? json_loads(text, JSON_DECODE_ANY, NULL) : NULL;

	return json ? json : json_incref((json_t *)content);
}

static void diff_file(struct diff *diff, const json_t *from, const json_t *to)
{
	json_t *old;
	json_t *new;

	if (json_equal(from, to))
		return;
	if (!from || !to) {
		diff->text = talloc_asprintf_append_buffer(diff->text, "%c %s\n", to ? '+' : '-',
							   diff->file);
		return;
	}
	old = parse_content(from);
	new = parse_content(to);
	if (json_equal(old, new))
		diff->text = talloc_asprintf_append_buffer(diff->text, "~ %s: only the layout\n",
							   diff->file);
	else
		diff_values(diff, "", old, new);
	json_decref(old);
	json_decref(new);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

char *config_diff(TALLOC_CTX *mem, json_t *from, json_t *to)
{
	struct diff diff = {.text = talloc_strdup(mem, "")};
	json_t *all = json_object();
	const char **names;
	const char *name;
	json_t *content;
	size_t count = 0;

	json_object_update(all, from);
	json_object_update(all, to);
	names = talloc_zero_array(NULL, const char *, json_object_size(all) + 1);
	json_object_foreach(all, name, content) names[count++] = name;
	qsort(names, count, sizeof(names[0]), compare_names);
	for (size_t i = 0; i < count; i++) {
		diff.file = names[i];
		diff_file(&diff, json_object_get(from, names[i]), json_object_get(to, names[i]));
	}
	talloc_free(names);
	json_decref(all);
	return diff.text;
}
