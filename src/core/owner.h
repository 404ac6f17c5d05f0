/*
 * Who orders an engine: the agent beside it or, where none has spoken for it
 * for a while, one that a control VM runs in its place.
 *
 * Two that order one engine would undo each other's loads. So each gets a fence
 * of its own, higher than the one before, and a next owner begins only once the
 * last has been silent for as long as an order of it may still be on its way.
 * An agent that is cut off from the leader may go on ordering adapters with its
 * lower fence; the engine refuses those.
 */
#ifndef SS_OWNER_H
#define SS_OWNER_H

#include <sapphireshift/base.h>

/*
 * An owner that hasn't been heard for a lease gives its place to another. The
 * settings say for how long engines take orders as those of one owner; this is
 * beside it, in ms, for the last order's way. A lease is never shorter than
 * OWNER_LEAST_MS: so long an agent may take to find a new leader, and a control
 * VM to end agents that nobody names any more.
 */
#define OWNER_MARGIN_MS 500
#define OWNER_LEAST_MS 3500

struct owner {
	char *name; /* of its VM; NULL: nobody yet */
	bool remote;
	bool recalled;	  /* the agent beside is back: its words don't count */
	int64_t heard_ms; /* its last word that counted */
	int64_t since_ms; /* when the engine was first known here */
	int64_t lease_ms;
	uint64_t turn; /* how many were owners before, of this leader */
};

enum owner_claim {
	OWNER_SAME,  /* it is the owner already */
	OWNER_TAKES, /* it is now, with a fence of its own */
	OWNER_WAITS, /* another was heard too lately */
};

/* engine_ms: for how long an engine takes orders as those of one owner. */
void owner_init(struct owner *o, int64_t engine_ms, int64_t now);
void owner_clear(struct owner *o);

/* One speaks for the engine. */
enum owner_claim owner_hear(struct owner *o, const char *name, bool remote,
			    int64_t now);
/* Whoever owned it may still have orders on their way. */
bool owner_is_leased(const struct owner *o, int64_t now);
/* Nobody has spoken for so long that a control VM is to. */
bool owner_is_missing(const struct owner *o, int64_t now);

/* The control VM that runs a missing agent: its place in ids, by names alone,
 * so that few move when one goes. -1: there is none. */
int owner_choose(const char *endpoint, const uint64_t *ids, size_t n);

#endif
