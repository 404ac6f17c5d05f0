/* Lines of the logs: key=value fields, as every process writes them. */
#ifndef SS_LOGLINE_H
#define SS_LOGLINE_H

#include <sapphireshift/base.h>

struct log_field {
	char *key, *value;
};

struct log_line {
	int64_t ts_ms;	/* Unix */
	GArray *fields; /* struct log_field */
};

/* NULL where it isn't a log line. What a collector put before it is skipped. */
struct log_line *log_line_read(const char *text);
void log_line_free(void *line);
/* The value of a field; empty where there is none. */
const char *log_line_get(const struct log_line *l, const char *key);

#endif
