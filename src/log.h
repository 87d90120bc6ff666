#ifndef JAYCOURSE_LOG_H
#define JAYCOURSE_LOG_H

#include <glib.h>

/**
 * log_init() - route GLib's structured log records to standard error, one JSON object a line
 * @program: name of the program, added to each record; borrowed for the life of the process
 * @node: node id, added to each record; borrowed for the life of the process
 * @verbose: also write records of level debug
 */
void log_init(const char *program, const char *node, gboolean verbose);

/**
 * log_event() - write one structured record
 * @level: GLib level
 * @event: fixed name of the event, as listed in docs/operators.md
 * @id: request or job id, or "" when the event concerns neither
 * @format: printf format of the message
 */
void log_event(GLogLevelFlags level, const char *event, const char *id, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

#define log_debug(event, id, ...) log_event(G_LOG_LEVEL_DEBUG, event, id, __VA_ARGS__)
#define log_info(event, id, ...) log_event(G_LOG_LEVEL_INFO, event, id, __VA_ARGS__)
#define log_warn(event, id, ...) log_event(G_LOG_LEVEL_WARNING, event, id, __VA_ARGS__)
#define log_error(event, id, ...) log_event(G_LOG_LEVEL_CRITICAL, event, id, __VA_ARGS__)

#endif
