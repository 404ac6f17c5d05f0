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
 * Parses a line, without the prefix that a log collector may have added.
 * Returns NULL if it isn't a log line.
 */
struct log_line *log_line_read(const char *text);
void log_line_free(void *line);
/* Returns the value of a field, or "" if the line lacks the field. */
const char *log_line_get(const struct log_line *l, const char *key);

#endif
