#include "log.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *log_program = "";
static const char *log_node = "";
static gboolean log_verbose;

static const char *level_name(GLogLevelFlags level)
{
	if (level & G_LOG_LEVEL_ERROR)
		return "fatal";
	if (level & G_LOG_LEVEL_CRITICAL)
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	if (level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_MESSAGE))
		return "info";
	return "debug";
}

static void add_field(json_t *line, const GLogField *field)
{
	const char *key = NULL;

	if (!strcmp(field->key, "MESSAGE"))
		key = "message";
	else if (!strcmp(field->key, "JAYCOURSE_EVENT"))
		key = "event";
	else if (!strcmp(field->key, "JAYCOURSE_ID"))
		key = "id";
	if (!key)
		return;
	if (field->length < 0)
		json_object_set_new(line, key, json_string(field->value));
	else
		json_object_set_new(line, key, json_stringn(field->value, (size_t)field->length));
}

static GLogWriterOutput write_json(GLogLevelFlags level, const GLogField *fields, gsize n_fields,
				   gpointer user_data)
{
	g_autoptr(GDateTime) now = NULL;
	g_autofree char *when = NULL;
	json_t *line;
	char *text;

	if ((level & G_LOG_LEVEL_DEBUG) && !log_verbose)
		return G_LOG_WRITER_HANDLED;
	now = g_date_time_new_now_utc();
	when = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	line = json_pack("{s:s, s:s, s:s, s:s}", "time", when, "level", level_name(level),
			 "program", log_program, "node", log_node);
	for (gsize i = 0; i < n_fields; i++)
		add_field(line, &fields[i]);
	text = json_dumps(line, JSON_COMPACT | JSON_ENSURE_ASCII);
	if (text)
		fprintf(stderr, "%s\n", text);
	free(text);
	json_decref(line);
	return G_LOG_WRITER_HANDLED;
}

void log_init(const char *program, const char *node, gboolean verbose)
{
	log_program = program;
	log_node = node;
	log_verbose = verbose;
	g_log_set_writer_func(write_json, NULL, NULL);
}

void log_event(GLogLevelFlags level, const char *event, const char *id, const char *format, ...)
{
	g_autofree char *message = NULL;
	va_list args;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	g_log_structured(G_LOG_DOMAIN, level, "JAYCOURSE_EVENT", event, "JAYCOURSE_ID", id,
			 "MESSAGE", "%s", message);
}
