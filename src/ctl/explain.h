/*
 * One request's story out of the logs of any number of processes: the lines
 * that bear its id, and those of the same time that tell what became of its
 * model, its endpoint, the processes that touched it and who led.
 *
 * Every line is handed over twice: first to learn what the request touched,
 * then to pick what belongs to it. So logs larger than memory can be read.
 */
#ifndef SS_EXPLAIN_H
#define SS_EXPLAIN_H

#include <sapphireshift/base.h>

struct explain;

struct explain *explain_new(const char *request);
void explain_free(struct explain *e);

/* First reading. Lines that aren't log lines are skipped. */
void explain_learn(struct explain *e, const char *line);
/* True where a line of the first reading bears the id. */
bool explain_found(const struct explain *e);
/* Second reading. */
void explain_pick(struct explain *e, const char *line);

/* The story in time order, in seconds from the request's arrival; the caller
 * frees it. json: an array of objects, all fields as text. */
char *explain_tell(struct explain *e, bool json);

#endif
