/*
 * Reconstructs the timeline of one request from the logs of any number of
 * processes. The timeline holds the lines with the request's id, and the lines
 * of the same period about its model, its endpoints, the processes that handled
 * it and changes of leader.
 *
 * Two passes are made over the logs, so that they needn't fit in memory:
 * explain_scan() finds the model, endpoints and processes that were involved,
 * explain_collect() keeps the lines that concern them.
 */
#ifndef SS_EXPLAIN_H
#define SS_EXPLAIN_H

#include <sapphireshift/base.h>

struct explain;

struct explain *explain_new(const char *request);
void explain_free(struct explain *e);

/* Reads a line in the first pass; skips it if it isn't a log line. */
void explain_scan(struct explain *e, const char *line);
/* Returns whether the first pass found a line with the request's id. */
bool explain_found(const struct explain *e);
/* Adds a line to the timeline in the second pass if it belongs there. */
void explain_collect(struct explain *e, const char *line);

/*
 * Returns the timeline in time order, with times in seconds since the request
 * arrived; the caller frees it. With json, the result is an array of objects
 * that have all fields as strings, and times in milliseconds.
 */
char *explain_format(struct explain *e, bool json);

#endif
