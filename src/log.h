#ifndef JAYCOURSE_LOG_H
#define JAYCOURSE_LOG_H

#include <glib.h>

/**
 * log_init() - route GLib's structured log records to standard error, one JSON object per line
 * @program: name of the program, added to each record; borrowed for the life of the process
 * @node: node id, added to each record; borrowed for the life of the process
 * @verbose: also write records of level debug
 */
void log_init(const char *program, const char *node, gboolean verbose);

/**
 * log_event() - write one structured record
 * @level: GLib level
 * @event: fixed name of the event, as listed in docs/OPERATIONS.md; a string constant, because
 *	the rate limit identifies events by address
 * @id: request or job id, or "" when the event concerns neither
 * @format: printf format of the message
 */
void log_event(GLogLevelFlags level, const char *event, const char *id, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

/**
 * log_once() - write a warning unless the same one has been written within an hour
 * @key: key or name that the warning concerns; may be of any length and have any bytes
 *
 * For input of others that is read again and again. At most 512 different warnings are written in
 * an hour.
 */
void log_once(const char *event, const char *key, const char *format, ...) G_GNUC_PRINTF(3, 4);

/**
 * log_to_stdout() - write records to standard output from now on, without blocking
 * @event_limit_per_s: maximum number of records of one event per second. Further ones are counted;
 *a record "log_suppressed" reports their number before the event's next record in a later second.
 *	0: no limit
 *
 * Standard output becomes non-blocking. Records that do not fit into a full pipe are dropped and
 * counted.
 */
void log_to_stdout(unsigned int event_limit_per_s);

/** log_dropped_count() - number of records dropped or suppressed since the process started */
unsigned long log_dropped_count(void);

#define log_debug(event, id, ...) log_event(G_LOG_LEVEL_DEBUG, event, id, __VA_ARGS__)
#define log_info(event, id, ...) log_event(G_LOG_LEVEL_INFO, event, id, __VA_ARGS__)
#define log_warn(event, id, ...) log_event(G_LOG_LEVEL_WARNING, event, id, __VA_ARGS__)
#define log_error(event, id, ...) log_event(G_LOG_LEVEL_CRITICAL, event, id, __VA_ARGS__)

#endif
