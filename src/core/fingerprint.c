/* Fingerprints of requests. */
#include "fingerprint.h"

#include <xxhash.h>

struct fingerprint fingerprint_of(struct ss_str method, struct ss_str host,
				  struct ss_str target, struct ss_str body)
{
	const struct ss_str parts[] = { method, host, target, body };
	/* Hashes of the parts: each is hashed on its own, so that moving a byte
	 * from one part to the next changes the fingerprint. */
	XXH128_hash_t sums[G_N_ELEMENTS(parts)];
	XXH128_hash_t all;

	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++)
		sums[i] = XXH3_128bits(parts[i].p, parts[i].n);
	all = XXH3_128bits(sums, sizeof(sums));
	return (struct fingerprint){ all.high64, all.low64 };
}

guint fingerprint_hash(const void *f)
{
	return (guint)((const struct fingerprint *)f)->lo;
}

gboolean fingerprint_equal(const void *a, const void *b)
{
	const struct fingerprint *x = a, *y = b;

	return x->hi == y->hi && x->lo == y->lo;
}

const char *fingerprint_text(const struct fingerprint *f,
			     char text[FINGERPRINT_TEXT_SIZE])
{
	g_snprintf(text, FINGERPRINT_TEXT_SIZE, "%016" PRIx64 "%016" PRIx64,
		   f->hi, f->lo);
	return text;
}
