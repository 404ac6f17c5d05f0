/*
 * Fingerprints of what an endpoint may crash on: a whole request, by a hash of
 * its method, host, path with query, and body; or a part of a prompt, by its
 * id. They don't depend on a request's id.
 */
#ifndef SS_FINGERPRINT_H
#define SS_FINGERPRINT_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

struct fingerprint {
	uint64_t hi, lo;
};

/* Returns the same fingerprint in every process. */
struct fingerprint fingerprint_of(struct ss_str method, struct ss_str host,
				  struct ss_str target, struct ss_str body);

/* Returns the fingerprint of a part of prompts: the same for each prompt that
 * contains it, at any place. An id of up to 16 hexadecimal digits is kept as it
 * is, without regard to case; another is hashed. */
struct fingerprint fingerprint_of_part(struct ss_str id);
bool fingerprint_is_part(const struct fingerprint *f);

/* Functions for a GHashTable whose keys are struct fingerprint. */
guint fingerprint_hash(const void *f);
gboolean fingerprint_equal(const void *a, const void *b);

/* Size of a fingerprint in hexadecimal with its terminating null, in bytes. */
#define FINGERPRINT_TEXT_SIZE 33
/* Writes a fingerprint into text, for logs, and returns text: in hexadecimal,
 * or a part's id after "part-". */
const char *fingerprint_text(const struct fingerprint *f,
			     char text[FINGERPRINT_TEXT_SIZE]);
/* Reads what fingerprint_text() writes; false: the text isn't a fingerprint. */
bool fingerprint_read(struct ss_str text, struct fingerprint *out);

#ifdef __cplusplus
}
#endif
#endif
