/*
 * Ownership of an engine: which agent gives its orders. The owner is the agent
 * on the engine's VM or, if that has sent no reports for a lease, a remote
 * agent that a control VM runs instead.
 *
 * Two agents that order one engine would undo each other's loads. Each owner
 * therefore gets a higher fencing token than the previous one, and a new owner
 * is accepted only after the previous one has been silent for as long as one of
 * its orders may still be in transit. An agent that is disconnected from the
 * leader may continue to order adapters with its lower fencing token; the
 * engine refuses these orders.
 */
#ifndef SS_OWNER_H
#define SS_OWNER_H

#include <sapphireshift/base.h>

/*
 * An owner that sends no reports for a lease loses the ownership. The settings
 * state for how long an engine holds to one owner; the lease adds a margin for
 * the last order in transit. A lease is never shorter than OWNER_LEASE_MIN_MS:
 * an agent may take that long to find a new leader, and a control VM to stop
 * agents that the leader no longer assigns to it.
 */
#define OWNER_LEASE_MARGIN_MS 500
#define OWNER_LEASE_MIN_MS 3500

struct owner {
	char *name;  /* of its VM; NULL: no owner yet */
	bool remote; /* run by a control VM */
	/* The agent on the engine's VM is back: a remote owner can't renew. */
	bool recalled;
	int64_t renewed_ms; /* last renewal of the lease */
	int64_t known_ms;   /* when this leader first knew the engine */
	int64_t lease_ms;
	uint64_t generation; /* number of previous owners under this leader */
};

enum owner_claim {
	OWNER_SAME,	/* the agent is the owner already */
	OWNER_ACQUIRED, /* the agent is the new owner; new fencing token */
	OWNER_DENIED,	/* the lease of another owner hasn't ended */
};

/* Initializes the state of an engine without an owner. engine_ms: how long the
 * engine holds to one owner. */
void owner_init(struct owner *o, int64_t engine_ms, int64_t now);
void owner_clear(struct owner *o);

/* Claims the ownership, or renews the lease, for an agent that reports on the
 * engine. */
enum owner_claim owner_acquire(struct owner *o, const char *name, bool remote,
			       int64_t now);
/* Returns whether orders of the owner may still be in transit. */
bool owner_is_leased(const struct owner *o, int64_t now);
/* Returns whether a control VM has to run the agent, as the one on the engine's
 * VM has sent no reports for a lease. */
bool owner_is_missing(const struct owner *o, int64_t now);

/* Chooses the control VM that runs a missing agent, by rendezvous hashing, so
 * that few engines move when a VM is removed. Returns an index into ids; -1 if
 * there are none. */
int owner_choose(const char *endpoint, const uint64_t *ids, size_t n);

#endif
