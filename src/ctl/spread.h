/*
 * Measures from logs how long state takes to propagate to the processes: a
 * change of the routing, a new leader after a loss or a start, the fleet's
 * state, the restart of an endpoint. In a system of hundreds of processes, no
 * single log shows which process was the last to be updated.
 */
#ifndef SS_SPREAD_H
#define SS_SPREAD_H

#include <sapphireshift/base.h>

struct spread;

struct spread *spread_new(void);
void spread_free(struct spread *s);

/*
 * Adds a log line; lines about other events are skipped. The lines of one
 * process must be added in order.
 */
void spread_add(struct spread *s, const char *line);
/* Returns a table with a row per kind of delay, in ms; the caller frees it. */
char *spread_format(const struct spread *s);

#endif
