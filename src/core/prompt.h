/*
 * The parts of a request's prompt, as a caller states them: "id:tokens" items,
 * separated by commas, in the order of the prompt. Requests share parts; the
 * last one is the request's or its session's own.
 */
#ifndef SS_PROMPT_H
#define SS_PROMPT_H

#include "fingerprint.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Returns the items of a prompt without the last one: a view into the prompt,
 * which ends in a comma unless it is empty. */
struct ss_str prompt_shared(struct ss_str prompt);
/* Takes the first item off *parts and sets *id to its id, a view without the
 * number of tokens. Returns false if *parts is empty. */
bool prompt_next(struct ss_str *parts, struct ss_str *id);
/* Like prompt_next(), for the fingerprint of the item's id. */
bool prompt_next_fingerprint(struct ss_str *parts, struct fingerprint *fp);

#ifdef __cplusplus
}
#endif
#endif
