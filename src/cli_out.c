#include "cli.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define COLUMNS_MAX 16
#define CELL_MAX_BYTES 60 /* longer cells are truncated; --output json shows all */
#define READ_BLOCK_BYTES 65536
#define READ_MAX_BYTES (64 * 1024 * 1024)
#define TIME_FIELD "when" /* milliseconds since 1970 */

int cli_error(int code, const char *remedy, const char *format, ...)
{
	char message[1024];
	va_list args;

	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	fprintf(stderr, "jaycourse: %s\n  remedy: %s\n", message, remedy);
	return code;
}

static char *read_stream(TALLOC_CTX *mem, FILE *file, size_t *len)
{
	char *text = talloc_size(mem, READ_BLOCK_BYTES + 1);
	size_t got;

	*len = 0;
	while ((got = fread(text + *len, 1, READ_BLOCK_BYTES, file)) > 0) {
		*len += got;
		if (*len > READ_MAX_BYTES)
			return NULL;
		text = talloc_realloc_size(mem, text, *len + READ_BLOCK_BYTES + 1);
	}
	text[*len] = '\0';
	return text;
}

char *cli_read_argument(struct cli *cli, const char *text, size_t *len)
{
	FILE *file;
	char *content;

	if (!strcmp(text, "-"))
		return read_stream(cli->mem, stdin, len);
	if (text[0] != '@') {
		*len = strlen(text);
		return talloc_strdup(cli->mem, text);
	}
	file = fopen(text + 1, "r");
	if (!file)
		return NULL;
	content = read_stream(cli->mem, file, len);
	fclose(file);
	return content;
}

void cli_print_json(const json_t *json)
{
	json_dumpf(json, stdout, JSON_INDENT(2) | JSON_ENCODE_ANY);
	putchar('\n');
}

static char *format_time(TALLOC_CTX *mem, json_int_t ms)
{
	time_t seconds = (time_t)(ms / 1000);
	struct tm parts;
	char text[32];

	gmtime_r(&seconds, &parts);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
	return talloc_strdup(mem, text);
}

static char *format_shape(TALLOC_CTX *mem, const json_t *shape)
{
	return talloc_asprintf(
		mem, "%lldx%lld", (long long)json_integer_value(json_object_get(shape, "members")),
		(long long)json_integer_value(json_object_get(shape, "accelerators")));
}

static char *format_value(TALLOC_CTX *mem, const char *path, const json_t *value);

static char *format_list(TALLOC_CTX *mem, const json_t *list)
{
	char *text = talloc_strdup(mem, "");
	const json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		const json_t *worker = json_object_get(item, "worker");
		char *part = worker				? format_value(mem, "", worker)
			     : json_object_get(item, "members") ? format_shape(mem, item)
								: format_value(mem, "", item);

		text = talloc_asprintf_append_buffer(text, "%s%s", i ? ", " : "", part);
	}
	return text;
}

static char *format_value(TALLOC_CTX *mem, const char *path, const json_t *value)
{
	char *json_text;
	char *text;

	if (!value || json_is_null(value))
		return talloc_strdup(mem, "");
	if (json_is_string(value))
		return talloc_strdup(mem, json_string_value(value));
	if (json_is_integer(value) && !strcmp(path, TIME_FIELD))
		return format_time(mem, json_integer_value(value));
	if (json_is_array(value))
		return format_list(mem, value);
	if (json_is_real(value))
		return talloc_asprintf(mem, "%.4g", json_real_value(value));
	json_text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	text = talloc_strdup(mem, json_text);
	free(json_text);
	return text;
}

static const json_t *find_field(const json_t *object, const char *path)
{
	while (object && *path) {
		size_t len = strcspn(path, ".");
		char name[64];

		if (len >= sizeof(name))
			return NULL;
		memcpy(name, path, len);
		name[len] = '\0';
		object = json_object_get(object, name);
		path += len + (path[len] == '.');
	}
	return object;
}

static void print_fields(TALLOC_CTX *mem, const char *prefix, const json_t *object)
{
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)object, name, value)
	{
		char *path = talloc_asprintf(mem, "%s%s", prefix, name);

		if (json_is_object(value))
			print_fields(mem, talloc_asprintf(mem, "%s.", path), value);
		else
			printf("%-20s %s\n", path, format_value(mem, name, value));
	}
}

void cli_print_object(const json_t *object)
{
	TALLOC_CTX *mem = talloc_new(NULL);

	print_fields(mem, "", object);
	talloc_free(mem);
}

static void print_row(char *const *cells, const size_t *widths, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (i + 1 < count)
			printf("%-*s  ", (int)widths[i], cells[i]);
		else
			printf("%s\n", cells[i]);
	}
}

void cli_print_table(const json_t *rows, const struct cli_column *columns, size_t count)
{
	size_t row_count = json_array_size(rows);
	char **cells = talloc_zero_array(NULL, char *, (row_count + 1) * count);
	size_t widths[COLUMNS_MAX] = {0};

	for (size_t r = 0; r <= row_count; r++) {
		for (size_t i = 0; i < count && i < COLUMNS_MAX; i++) {
			const json_t *row = r ? json_array_get(rows, r - 1) : NULL;
			char *cell = r ? format_value(cells, columns[i].path,
						      find_field(row, columns[i].path))
				       : talloc_strdup(cells, columns[i].title);

			if (strlen(cell) > CELL_MAX_BYTES)
				cell = talloc_asprintf(cells, "%.*s...", CELL_MAX_BYTES - 3, cell);
			if (strlen(cell) > widths[i])
				widths[i] = strlen(cell);
			cells[r * count + i] = cell;
		}
	}
	for (size_t r = 0; r <= row_count; r++)
		print_row(cells + r * count, widths, count);
	talloc_free(cells);
}
