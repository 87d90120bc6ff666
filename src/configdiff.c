#include "config.h"

#include <stdlib.h>
#include <string.h>

#define VALUE_SHOWN_MAX 80

struct diff {
	char *text;
	const char *file;
};

static void add_line(struct diff *d, char sign, const char *path, const json_t *from,
		     const json_t *to)
{
	char *old = from ? json_dumps(from, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
	char *new = to ? json_dumps(to, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;

	d->text = talloc_asprintf_append_buffer(d->text, "%c %s: %s", sign, d->file, path);
	if (old)
		d->text = talloc_asprintf_append_buffer(d->text, " %.*s", VALUE_SHOWN_MAX, old);
	if (new)
		d->text = talloc_asprintf_append_buffer(d->text, "%s %.*s", old ? " ->" : "",
							VALUE_SHOWN_MAX, new);
	d->text = talloc_asprintf_append_buffer(d->text, "\n");
	free(old);
	free(new);
}

static void diff_values(struct diff *d, const char *path, const json_t *from, const json_t *to)
{
	const char *name;
	json_t *value;

	if (json_equal(from, to))
		return;
	if (!json_is_object(from) || !json_is_object(to)) {
		add_line(d, from && to ? '~' : to ? '+' : '-', path, from, to);
		return;
	}
	json_object_foreach((json_t *)from, name, value)
	{
		char *inner = talloc_asprintf(NULL, "%s%s%s", path, *path ? "." : "", name);

		diff_values(d, inner, value, json_object_get(to, name));
		talloc_free(inner);
	}
	json_object_foreach((json_t *)to, name, value)
	{
		char *inner = talloc_asprintf(NULL, "%s%s%s", path, *path ? "." : "", name);

		if (!json_object_get(from, name))
			diff_values(d, inner, NULL, value);
		talloc_free(inner);
	}
}

/* Files that are not JSON are compared as texts. */
static json_t *parsed(const json_t *content)
{
	const char *text = json_string_value(content);
	json_t *json = text ? json_loads(text, JSON_DECODE_ANY, NULL) : NULL;

	return json ? json : json_incref((json_t *)content);
}

static void diff_file(struct diff *d, const json_t *from, const json_t *to)
{
	json_t *old;
	json_t *new;

	if (json_equal(from, to))
		return;
	if (!from || !to) {
		d->text =
			talloc_asprintf_append_buffer(d->text, "%c %s\n", to ? '+' : '-', d->file);
		return;
	}
	old = parsed(from);
	new = parsed(to);
	if (json_equal(old, new))
		d->text =
			talloc_asprintf_append_buffer(d->text, "~ %s: only the layout\n", d->file);
	else
		diff_values(d, "", old, new);
	json_decref(old);
	json_decref(new);
}

static int by_name(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

char *config_diff(TALLOC_CTX *mem, json_t *from, json_t *to)
{
	struct diff d = {.text = talloc_strdup(mem, "")};
	json_t *all = json_object();
	const char **names;
	const char *name;
	json_t *content;
	size_t count = 0;

	json_object_update(all, from);
	json_object_update(all, to);
	names = talloc_zero_array(NULL, const char *, json_object_size(all) + 1);
	json_object_foreach(all, name, content) names[count++] = name;
	qsort(names, count, sizeof(names[0]), by_name);
	for (size_t i = 0; i < count; i++) {
		d.file = names[i];
		diff_file(&d, json_object_get(from, names[i]), json_object_get(to, names[i]));
	}
	talloc_free(names);
	json_decref(all);
	return d.text;
}
