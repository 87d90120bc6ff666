#include "log.h"

#include "util.h"

#include <fcntl.h>
#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static const char *log_program = "";
static const char *log_node = "";
static gboolean log_verbose;
static gboolean log_uses_stdout; /* non-blocking standard output instead of standard error */
static unsigned int log_event_limit_per_s; /* 0: no limit */
static unsigned long dropped_count;	   /* records dropped or suppressed since the start */

#define LIMITED_EVENTS_MAX 128 /* events beyond these are not limited; the code has fewer */

/* Number of records of one event in one second. */
struct event_count {
	const char *event;
	uint64_t second;
	unsigned int written;
	unsigned int suppressed;
};

static struct event_count event_counts[LIMITED_EVENTS_MAX];

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

static void write_text_line(const char *text)
{
	g_autofree char *line = NULL;
	size_t len;

	if (!log_uses_stdout) {
		fprintf(stderr, "%s\n", text);
		return;
	}
	line = g_strdup_printf("%s\n", text);
	len = strlen(line);
	/* A full pipe may accept only part of a record, which leaves a line of malformed JSON. */
	if (write(STDOUT_FILENO, line, len) != (ssize_t)len)
		dropped_count++;
}

static GLogWriterOutput write_json(GLogLevelFlags level, const GLogField *fields, gsize n_fields,
				   gpointer user_data)
{
	g_autoptr(GDateTime) now = NULL;
	g_autofree char *timestamp = NULL;
	json_t *line;
	char *text;

	if ((level & G_LOG_LEVEL_DEBUG) && !log_verbose)
		return G_LOG_WRITER_HANDLED;
	now = g_date_time_new_now_utc();
	timestamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	line = json_pack("{s:s, s:s, s:s, s:s}", "time", timestamp, "level", level_name(level),
			 "program", log_program, "node", log_node);
	for (gsize i = 0; i < n_fields; i++)
		add_field(line, &fields[i]);
	text = json_dumps(line, JSON_COMPACT | JSON_ENSURE_ASCII);
	if (text)
		write_text_line(text);
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

void log_to_stdout(unsigned int event_limit_per_s)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	log_uses_stdout = TRUE;
	log_event_limit_per_s = event_limit_per_s;
	if (flags < 0 || fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) < 0)
		log_warn("log_blocking", "",
			 "standard output could not be made non-blocking; writing logs may block "
			 "the process");
}

unsigned long log_dropped_count(void)
{
	return dropped_count;
}

/* Event names are string constants, so comparing their addresses is enough. */
static struct event_count *find_event_count(const char *event)
{
	for (size_t i = 0; i < LIMITED_EVENTS_MAX; i++) {
		if (!event_counts[i].event)
			event_counts[i].event = event;
		if (event_counts[i].event == event)
			return &event_counts[i];
	}
	return NULL;
}

/*
 * True if the record exceeds the limit of its event for this second. The first record in a later
 * second logs how many earlier ones were suppressed.
 */
static gboolean suppress_record(const char *event)
{
	struct event_count *count = log_event_limit_per_s ? find_event_count(event) : NULL;
	uint64_t second = util_clock_ms() / 1000;
	unsigned int suppressed_before;

	if (!count)
		return FALSE;
	if (count->second != second) {
		suppressed_before = count->suppressed;
		*count = (struct event_count){.event = event, .second = second};
		if (suppressed_before)
			log_event(G_LOG_LEVEL_INFO, "log_suppressed", "",
				  "%u records of event %s were suppressed", suppressed_before,
				  event);
	}
	if (count->written < log_event_limit_per_s) {
		count->written++;
		return FALSE;
	}
	count->suppressed++;
	dropped_count++;
	return TRUE;
}

void log_event(GLogLevelFlags level, const char *event, const char *id, const char *format, ...)
{
	g_autofree char *message = NULL;
	va_list args;

	if (((level & G_LOG_LEVEL_DEBUG) && !log_verbose) || suppress_record(event))
		return;
	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	g_log_structured(G_LOG_DOMAIN, level, "JAYCOURSE_EVENT", event, "JAYCOURSE_ID", id,
			 "MESSAGE", "%s", message);
}

#define ONCE_MAX 512 /* texts kept, of some 300 bytes each */
#define ONCE_RESET_MS (3600 * 1000)
#define ONCE_KEY_MAX_BYTES 200

static pthread_mutex_t once_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *once_texts;
static uint64_t once_since_ms;

/* Takes ownership of @text. */
static gboolean is_first(char *text)
{
	uint64_t now_ms = util_clock_ms();
	gboolean first = FALSE;

	pthread_mutex_lock(&once_lock);
	if (!once_texts)
		once_texts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (g_hash_table_size(once_texts) == 0 || now_ms - once_since_ms >= ONCE_RESET_MS) {
		g_hash_table_remove_all(once_texts);
		once_since_ms = now_ms;
	}
	if (g_hash_table_size(once_texts) < ONCE_MAX)
		first = g_hash_table_add(once_texts, text);
	else
		g_free(text);
	pthread_mutex_unlock(&once_lock);
	return first;
}

void log_once(const char *event, const char *key, const char *format, ...)
{
	g_autofree char *part = g_strndup(key, ONCE_KEY_MAX_BYTES);
	g_autofree char *printable = g_strescape(part, NULL);
	g_autofree char *message = NULL;
	va_list args;

	va_start(args, format);
	message = g_strdup_vprintf(format, args);
	va_end(args);
	if (is_first(g_strdup_printf("%s %s %s", event, printable, message)))
		log_event(G_LOG_LEVEL_WARNING, event, printable, "%s", message);
}
