/* Strings with a length, time in milliseconds, and typed errors. */
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

/* A view of bytes; it owns nothing and need not end in a zero byte. */
struct ss_str {
	const char *p;
	size_t n;
};

#define SS_LIT(s) ((struct ss_str){ (s), sizeof(s) - 1 })
/* For printf: "%.*s", SS_FMT(s) */
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

/* A copy that ends in a zero byte; free it with g_free(). */
static inline char *ss_str_dup(struct ss_str s)
{
	return g_strndup(s.p ? s.p : "", s.n);
}

/* Make *at, which is owned, a copy of s. */
static inline void ss_str_set(char **at, struct ss_str s)
{
	char *copy = ss_str_dup(s);

	g_free(*at);
	*at = copy;
}

/*
 * The one source of time. Milliseconds from an arbitrary start that never
 * go back; a test sets fake_ms and leaves now_ms at NULL.
 */
struct ss_clock {
	int64_t (*now_ms)(const struct ss_clock *c);
	int64_t fake_ms;
};

#define SS_NEVER INT64_MAX

static inline int64_t ss_clock_now(const struct ss_clock *c)
{
	return c->now_ms ? c->now_ms(c) : c->fake_ms;
}

/* A clock that reads the monotonic clock of the VM. */
void ss_clock_init(struct ss_clock *c);

/* Milliseconds since 1970; a decision gets it as input and never reads it. */
int64_t ss_wall_ms(void);

/* A moment on the wall clock, with what the local hour then is. */
struct ss_wall {
	int64_t ms;	       /* since 1970, UTC */
	int64_t utc_offset_ms; /* of local time; positive east of UTC */
};

/* Now, by the time zone of this process; for the shell around decisions. */
struct ss_wall ss_wall_now(void);

/* Every failure has one of these codes, in the domain SS_ERROR. */
enum ss_error {
	SS_ERROR_IO,	      /* a file or socket call failed */
	SS_ERROR_DISK_FULL,   /* no space for a record */
	SS_ERROR_CORRUPT,     /* a stored record fails its checksum */
	SS_ERROR_SETTINGS,    /* a settings file or preset is wrong */
	SS_ERROR_FRAME,	      /* a frame breaks the protocol */
	SS_ERROR_VERSION,     /* the peer speaks another version */
	SS_ERROR_TOO_LARGE,   /* a body, frame or header over its limit */
	SS_ERROR_BAD_REQUEST, /* a request that can't be understood */
	SS_ERROR_AUTH,	      /* the token is missing or wrong */
	SS_ERROR_UNKNOWN_MODEL,
	SS_ERROR_UNKNOWN_POOL,
	SS_ERROR_CONFLICT, /* another change won the same version */
	SS_ERROR_NOT_FOUND,
	SS_ERROR_NOT_LEADER,
	SS_ERROR_UNAVAILABLE, /* nobody can serve this now */
	SS_ERROR_DEADLINE,    /* the deadline can't be or wasn't met */
	SS_ERROR_OVERLOAD,    /* a limit of the class or customer is reached */
	SS_ERROR_FENCED,      /* an order with an old fencing number */
	SS_ERROR_MEMORY,      /* not enough accelerator memory */
	SS_ERROR_DRAINING,
	SS_ERROR_CANCELLED,
	SS_ERROR_LOST,	   /* the outcome isn't known */
	SS_ERROR_ENDPOINT, /* the endpoint answered with a fault */
	SS_ERROR_CODES
};

#define SS_ERROR ss_error_quark()
GQuark ss_error_quark(void);

/* The stable name of a code as callers and operators see it. */
const char *ss_error_name(enum ss_error code);

/* SplitMix64: a small seeded generator, so that runs can be repeated. */
static inline uint64_t ss_random(uint64_t *state)
{
	uint64_t z = (*state += 0x9e3779b97f4a7c15u);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

/* A 64-bit number that no other process has, from the kernel. */
uint64_t ss_unique_id(void);

#ifdef __cplusplus
}
#endif
#endif
