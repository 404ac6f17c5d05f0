/*
 * How long news took to reach the processes, out of their logs: a change of
 * the routing, a leader after a loss or a start, the fleet's state, an
 * endpoint's restart. For a system of hundreds, where no single process shows
 * that the last one is late.
 */
#ifndef SS_SPREAD_H
#define SS_SPREAD_H

#include <sapphireshift/base.h>

struct spread;

struct spread *spread_new(void);
void spread_free(struct spread *s);

/* Lines of one process must come in their order; others are skipped. */
void spread_add(struct spread *s, const char *line);
/* A row for each kind of news, times in ms; the caller frees it. */
char *spread_tell(const struct spread *s);

#endif
