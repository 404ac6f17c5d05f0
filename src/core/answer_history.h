/*
 * Which parts of prompts were answered lately: the start of the newest run that
 * an endpoint answered, of a bounded number of parts. The least recently used
 * part is dropped first.
 */
#ifndef SS_ANSWER_HISTORY_H
#define SS_ANSWER_HISTORY_H

#include "fingerprint.h"

#ifdef __cplusplus
extern "C" {
#endif

struct answer_history;

/* capacity: in parts, about 100 bytes each. */
struct answer_history *answer_history_new(size_t capacity);
void answer_history_free(struct answer_history *h);

/* Records that a run that began at a time, in ms, was answered. */
void answer_history_add(struct answer_history *h, const struct fingerprint *fp,
			int64_t began_ms);
/* Returns the start of the newest such run in ms, or SS_NEVER. */
int64_t answer_history_find(const struct answer_history *h,
			    const struct fingerprint *fp);
/* Returns the number of parts. */
size_t answer_history_count(const struct answer_history *h);

#ifdef __cplusplus
}
#endif
#endif
