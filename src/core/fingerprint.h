/* What a request is, whatever id it comes under: its method, host, path with
 * query, and body. */
#ifndef SS_FINGERPRINT_H
#define SS_FINGERPRINT_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

struct fingerprint {
	uint64_t hi, lo;
};

/* The same in all processes. */
struct fingerprint fingerprint_of(struct ss_str method, struct ss_str host,
				  struct ss_str target, struct ss_str body);

/* For GHashTable; keys are struct fingerprint. */
guint fingerprint_hash(const void *f);
gboolean fingerprint_equal(const void *a, const void *b);

/* For logs: printf("%s"), valid until the next call with the same text. */
#define FINGERPRINT_TEXT 33
const char *fingerprint_text(const struct fingerprint *f,
			     char text[FINGERPRINT_TEXT]);

#ifdef __cplusplus
}
#endif
#endif
