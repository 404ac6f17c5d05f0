/*
 * Counts from the logs of the entries how many requests missed their objective
 * and why: a table by reason and route, and the seconds with the most misses.
 * Meant for incidents that no single request explains.
 */
#ifndef SS_SUMMARY_H
#define SS_SUMMARY_H

#include <sapphireshift/base.h>

struct summary;

struct summary *summary_new(void);
void summary_free(struct summary *s);

/* Adds a log line; only lines that report the end of a request count. */
void summary_add(struct summary *s, const char *line);
/* Returns the tables as text; the caller frees it. */
char *summary_format(const struct summary *s);

#endif
