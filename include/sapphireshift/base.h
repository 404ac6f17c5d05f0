/*
 * Basic types of the library: string views, clocks in milliseconds, error
 * codes and a seeded random number generator.
 */
#ifndef SAPPHIRESHIFT_BASE_H
#define SAPPHIRESHIFT_BASE_H

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#define SS_VERSION "0.1.0"

#ifdef __cplusplus
extern "C" {
#endif

/* Non-owning view of n bytes; not necessarily NUL-terminated. */
struct ss_str {
	const char *p;
	size_t n;
};

#define SS_LIT(s) ((struct ss_str){ (s), sizeof(s) - 1 })
/* Arguments of a "%.*s" conversion of printf(). */
#define SS_FMT(s) (int)(s).n, (s).p ? (s).p : ""

static inline struct ss_str ss_str(const char *s)
{
	struct ss_str v = { s, s ? strlen(s) : 0 };

	return v;
}

static inline struct ss_str ss_str_gs(const GString *s)
{
	struct ss_str v = { s->str, s->len };

	return v;
}

static inline bool ss_str_eq(struct ss_str a, struct ss_str b)
{
	return a.n == b.n && (a.n == 0 || memcmp(a.p, b.p, a.n) == 0);
}

/* Returns a NUL-terminated copy of all bytes, to be freed with g_free(). */
static inline char *ss_str_dup(struct ss_str s)
{
	char *copy = (char *)g_malloc(s.n + 1);

	if (s.n)
		memcpy(copy, s.p, s.n);
	copy[s.n] = 0;
	return copy;
}

/* Replaces the owned string *at with a copy of s and frees the old one. */
static inline void ss_str_set(char **at, struct ss_str s)
{
	char *copy = ss_str_dup(s);

	g_free(*at);
	*at = copy;
}

/*
 * Monotonic time source, in milliseconds from an arbitrary origin. Code that
 * needs the current time reads it from here, so that a test can control it by
 * setting fake_ms and leaving now_ms NULL.
 */
struct ss_clock {
	int64_t (*now_ms)(const struct ss_clock *c);
	int64_t fake_ms;
};

/* Time in milliseconds that is never reached. */
#define SS_NEVER INT64_MAX

static inline int64_t ss_clock_now(const struct ss_clock *c)
{
	return c->now_ms ? c->now_ms(c) : c->fake_ms;
}

/* Initializes a clock that reads the VM's CLOCK_MONOTONIC. */
void ss_clock_init(struct ss_clock *c);

/*
 * Returns the wall-clock time in milliseconds since the Unix epoch. Decision
 * code must not call this: it receives the time as an input, so that it stays
 * deterministic.
 */
int64_t ss_wall_ms(void);

/* Wall-clock time with the local time zone's offset at that moment. */
struct ss_wall {
	int64_t ms;	       /* since the Unix epoch, UTC */
	int64_t utc_offset_ms; /* local minus UTC; positive east of UTC */
};

/*
 * Returns the wall-clock time in the time zone of this process. Decision code
 * must not call this either.
 */
struct ss_wall ss_wall_now(void);

/* Codes of the GError domain SS_ERROR, which covers every failure. */
enum ss_error {
	SS_ERROR_IO,	      /* a file or socket call failed */
	SS_ERROR_DISK_FULL,   /* no space for a record */
	SS_ERROR_CORRUPT,     /* a stored record fails its checksum */
	SS_ERROR_SETTINGS,    /* invalid settings file or preset */
	SS_ERROR_FRAME,	      /* frame violates the protocol */
	SS_ERROR_VERSION,     /* peer uses another protocol version */
	SS_ERROR_TOO_LARGE,   /* body, frame or header exceeds its limit */
	SS_ERROR_BAD_REQUEST, /* malformed request */
	SS_ERROR_AUTH,	      /* missing or invalid token */
	SS_ERROR_UNKNOWN_MODEL,
	SS_ERROR_UNKNOWN_POOL,
	SS_ERROR_CONFLICT, /* a concurrent change took the expected version */
	SS_ERROR_NOT_FOUND,
	SS_ERROR_NOT_LEADER,
	SS_ERROR_UNAVAILABLE, /* nothing can serve the request at present */
	SS_ERROR_DEADLINE,    /* deadline missed, or can't be met */
	SS_ERROR_OVERLOAD,    /* class or customer limit reached */
	SS_ERROR_FENCED,      /* order with an outdated fencing token */
	SS_ERROR_MEMORY,      /* insufficient accelerator memory */
	SS_ERROR_DRAINING,
	SS_ERROR_CANCELLED,
	SS_ERROR_LOST,	   /* outcome unknown */
	SS_ERROR_ENDPOINT, /* endpoint returned an error */
	SS_ERROR_CODES
};

#define SS_ERROR ss_error_quark()
GQuark ss_error_quark(void);

/* Returns the stable name of a code, as reported to callers and operators. */
const char *ss_error_name(enum ss_error code);

/*
 * Returns the next number of a SplitMix64 generator. The explicit state makes
 * seeded runs reproducible.
 */
static inline uint64_t ss_random(uint64_t *state)
{
	uint64_t z = (*state += 0x9e3779b97f4a7c15u);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

/* Returns a random nonzero id from the kernel, unique across processes. */
uint64_t ss_unique_id(void);

#ifdef __cplusplus
}
#endif
#endif
