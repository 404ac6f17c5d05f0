/* Parser for log lines of key=value fields, as every process writes them. */
#ifndef SS_LOGLINE_H
#define SS_LOGLINE_H

#include <sapphireshift/base.h>

struct log_field {
	char *key, *value;
};

struct log_line {
	int64_t ts_ms;	/* Unix time */
	GArray *fields; /* struct log_field */
};

/*
 * Parses a line; NULL if it isn't a log line. A prefix that a log collector
 * added is skipped.
 */
struct log_line *log_line_read(const char *text);
void log_line_free(void *line);
/* Value of a field, or the empty string if the line lacks it. */
const char *log_line_get(const struct log_line *l, const char *key);

#endif
