/*
 * Each control VM's copy of the routing, for all processes to fetch.
 *
 * The leader tells everybody the version in force, a few bytes; the routing
 * itself, hundreds of kilobytes, comes from any member that has applied it. So
 * what the leader sends doesn't grow with the number of processes, and the
 * link that carries its heartbeats carries none of this. A process that holds
 * an earlier version gets the difference, and nothing where it holds the
 * newest.
 */
#ifndef SS_MIRROR_H
#define SS_MIRROR_H

#include "msg.h"

/* Versions that are kept to make differences to: as many changes as operators
 * make while a process is out of reach for a few seconds. */
#define MIRROR_VERSIONS 4
/* Of all but the newest together, in bytes; the oldest go first. */
#define MIRROR_BYTES (4u << 20)
/* A process that asks for a version that isn't here yet is answered once it
 * is, up to so much later, in ms; it has turned to others long before. */
#define MIRROR_WAIT_MS 2000

struct mirror;

struct mirror_ops {
	/* False where its connection takes no more now. */
	bool (*send)(void *arg, void *peer, const struct msg_routing *m);
};

struct mirror_options {
	const struct mirror_ops *ops;
	void *arg;
};

struct mirror *mirror_new(const struct mirror_options *o, int64_t now);
void mirror_free(struct mirror *m);

/* A version has been applied here. Those that aren't newer are ignored. */
void mirror_set(struct mirror *m, uint64_t version, struct ss_str body,
		int64_t now);
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
