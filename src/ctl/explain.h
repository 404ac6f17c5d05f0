/*
 * Reconstructs the timeline of one request from the logs of any number of
 * processes. It holds the lines with the request's id, and the lines of the
 * same period about its model, its endpoints, the processes that handled it
 * and changes of leader.
 *
 * Takes two passes over the logs, so that they needn't fit in memory:
 * explain_scan() finds the model, endpoints and processes that were involved,
 * explain_collect() keeps the lines that concern them.
 */
#ifndef SS_EXPLAIN_H
#define SS_EXPLAIN_H

#include <sapphireshift/base.h>

struct explain;

struct explain *explain_new(const char *request);
void explain_free(struct explain *e);

/* First pass. Lines that aren't log lines are skipped. */
void explain_scan(struct explain *e, const char *line);
/* True if the first pass found a line with the request's id. */
bool explain_found(const struct explain *e);
/* Second pass. */
void explain_collect(struct explain *e, const char *line);

/*
 * Returns the timeline in time order, with times in seconds since the request
 * arrived; the caller frees it. With json, it is an array of objects that have
 * all fields as strings, and times in milliseconds.
 */
char *explain_format(struct explain *e, bool json);

#endif
