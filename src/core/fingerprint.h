/* Fingerprint of a request: a hash of its method, host, path with query, and
 * body. It doesn't depend on the request's id. */
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

/* Functions for a GHashTable whose keys are struct fingerprint. */
guint fingerprint_hash(const void *f);
gboolean fingerprint_equal(const void *a, const void *b);

/* Size of a fingerprint in hexadecimal with its terminating null, in bytes. */
#define FINGERPRINT_TEXT_SIZE 33
/* Writes a fingerprint in hexadecimal into text, for logs, and returns text. */
const char *fingerprint_text(const struct fingerprint *f,
			     char text[FINGERPRINT_TEXT_SIZE]);

#ifdef __cplusplus
}
#endif
#endif
