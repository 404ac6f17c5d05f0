/*
 * Each control VM's copy of the routing, for all processes to fetch.
 *
 * The leader tells everybody the version in force, a few bytes; the changes
 * come from any member that has applied them, as they stand in the log. So
 * what the leader sends doesn't grow with the number of processes, and the
 * link that carries its heartbeats carries none of this. A process that holds
 * an earlier version gets the changes since, and nothing where it holds the
 * newest.
 */
#ifndef SS_MIRROR_H
#define SS_MIRROR_H

#include "msg.h"

/* Changes that are kept, in bytes; the oldest go first. One that is asked for
 * after it is gone is answered with the whole. */
#define MIRROR_BYTES (4u << 20)
/* Small ones: as many as operators make while a process is out of reach. */
#define MIRROR_CHANGES 64
/* A process that asks for a version that isn't here yet is answered once it
 * is, up to so much later, in ms; it has turned to others long before. */
#define MIRROR_WAIT_MS 2000

struct mirror;

struct mirror_ops {
	/* False where its connection takes no more now. */
	bool (*send)(void *arg, void *peer, const struct msg_routing *m);
	/* The newest as a whole, with or without routes, packed. */
	GString *(*whole)(void *arg, bool routes);
};

struct mirror_options {
	const struct mirror_ops *ops;
	void *arg;
};

/* A version that has been applied here. */
struct mirror_version {
	uint64_t version;
	uint64_t services; /* version in which services last changed */
	/* What made it, and of which version; empty where all came at once. */
	struct ss_str change;
	uint64_t base;
};

struct mirror *mirror_new(const struct mirror_options *o, int64_t now);
void mirror_free(struct mirror *m);

/* Those that aren't newer are ignored. */
void mirror_set(struct mirror *m, const struct mirror_version *v, int64_t now);
uint64_t mirror_version(const struct mirror *m);

/* What a process holds and wants; it acknowledges what it was sent. */
void mirror_ask(struct mirror *m, void *peer, const struct msg_fetch *f,
		int64_t now);
void mirror_gone(struct mirror *m, void *peer, int64_t now);
void mirror_tick(struct mirror *m, int64_t now);

/* Bytes that are kept, and that are on their way. */
size_t mirror_bytes(const struct mirror *m);
size_t mirror_in_flight(const struct mirror *m);

#endif
