/* Fingerprints of requests. */
#include "fingerprint.h"

#include <xxhash.h>

/* The upper half of fingerprint.hi for parts; the lower half is the length of
 * an id in hexadecimal, or PART_HASHED. */
#define PART_MARK 0x70617274u
#define PART_HASHED 0xffu
#define PART_DIGITS_MAX 16
static const char part_prefix[] = "part-";
static const char hashed_prefix[] = "part-h-";

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
	/* A request never has the mark of a part. */
	if (all.high64 >> 32 == PART_MARK)
		all.high64 = ~all.high64;
	return (struct fingerprint){ all.high64, all.low64 };
}

/* Reads up to PART_DIGITS_MAX hexadecimal digits. */
static bool read_hex(struct ss_str s, uint64_t *out)
{
	*out = 0;
	if (s.n == 0 || s.n > PART_DIGITS_MAX)
		return false;
	for (size_t i = 0; i < s.n; i++) {
		int digit = g_ascii_xdigit_value(s.p[i]);

		if (digit < 0)
			return false;
		*out = *out << 4 | (uint64_t)digit;
	}
	return true;
}

static struct fingerprint part(uint64_t length, uint64_t value)
{
	return (struct fingerprint){ (uint64_t)PART_MARK << 32 | length,
				     value };
}

struct fingerprint fingerprint_of_part(struct ss_str id)
{
	uint64_t value;

	if (read_hex(id, &value))
		return part(id.n, value);
	return part(PART_HASHED, XXH3_64bits(id.p, id.n));
}

bool fingerprint_is_part(const struct fingerprint *f)
{
	return f->hi >> 32 == PART_MARK;
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
	unsigned int length = (unsigned int)(f->hi & UINT32_MAX);

	if (!fingerprint_is_part(f))
		g_snprintf(text, FINGERPRINT_TEXT_SIZE,
			   "%016" PRIx64 "%016" PRIx64, f->hi, f->lo);
	else if (length == PART_HASHED)
		g_snprintf(text, FINGERPRINT_TEXT_SIZE, "%s%016" PRIx64,
			   hashed_prefix, f->lo);
	else
		g_snprintf(text, FINGERPRINT_TEXT_SIZE, "%s%0*" PRIx64,
			   part_prefix, (int)length, f->lo);
	return text;
}

static bool skip_prefix(struct ss_str *s, const char *prefix)
{
	size_t n = strlen(prefix);

	if (s->n < n || memcmp(s->p, prefix, n) != 0)
		return false;
	s->p += n;
	s->n -= n;
	return true;
}

bool fingerprint_read(struct ss_str text, struct fingerprint *out)
{
	struct ss_str hi = { text.p, PART_DIGITS_MAX };
	struct ss_str lo = { text.p + PART_DIGITS_MAX, PART_DIGITS_MAX };

	if (skip_prefix(&text, hashed_prefix)) {
		*out = part(PART_HASHED, 0);
		return text.n == PART_DIGITS_MAX && read_hex(text, &out->lo);
	}
	if (skip_prefix(&text, part_prefix)) {
		*out = part(text.n, 0);
		return read_hex(text, &out->lo);
	}
	return text.n == (size_t)2 * PART_DIGITS_MAX &&
	       read_hex(hi, &out->hi) && read_hex(lo, &out->lo);
}
