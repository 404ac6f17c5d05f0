/*
 * Structured logging to standard output, one line per event: level, event
 * name, then key=value pairs. Logging never blocks: lines that exceed the rate
 * limit, or that a stalled reader leaves no room for, are dropped and counted.
 */
#ifndef SS_LOG_H
#define SS_LOG_H

#include <sapphireshift/base.h>

/*
 * Opens the process-wide log. node is written on every line; level is the
 * name of a log4c priority.
 */
void log_open(const char *node, const char *level);
void log_close(void);

void log_event(int level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

enum { LOG_LEVEL_ERROR, LOG_LEVEL_WARN, LOG_LEVEL_INFO, LOG_LEVEL_DEBUG };

#define log_error(event, ...) log_event(LOG_LEVEL_ERROR, event, __VA_ARGS__)
#define log_warn(event, ...) log_event(LOG_LEVEL_WARN, event, __VA_ARGS__)
#define log_info(event, ...) log_event(LOG_LEVEL_INFO, event, __VA_ARGS__)
#define log_debug(event, ...) log_event(LOG_LEVEL_DEBUG, event, __VA_ARGS__)

#endif
