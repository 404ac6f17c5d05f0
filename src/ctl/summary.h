/*
 * What many requests lost and why, out of the logs of the entries: a table by
 * reason and route, and the seconds in which most was lost. For a bad quarter
 * of an hour, where no single request tells the story.
 */
#ifndef SS_SUMMARY_H
#define SS_SUMMARY_H

#include <sapphireshift/base.h>

struct summary;

struct summary *summary_new(void);
void summary_free(struct summary *s);

/* Lines that end no request are skipped. */
void summary_add(struct summary *s, const char *line);
/* Both tables as text; the caller frees it. */
char *summary_tell(const struct summary *s);

#endif
