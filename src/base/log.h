/*
 * One structured line an event on standard output: level, event, then
 * key=value pairs. Lines beyond a rate, or that a reader who stalls leaves no
 * room for, are left out and counted; nothing waits for them.
 */
#ifndef SS_LOG_H
#define SS_LOG_H

#include <sapphireshift/base.h>

/* Open the log of a process; node stands on every line. Level by name. */
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
