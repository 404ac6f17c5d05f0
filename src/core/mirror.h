/*
 * Each control VM's copy of the routing, which all processes fetch from.
 *
 * The leader sends all processes only the number of the version in force. The
 * changes come from any member that has applied them, as they stand in the log.
 * So what the leader sends doesn't grow with the number of processes, and no
 * routing is sent over the link that carries its heartbeats. A process that
 * holds an earlier version gets the changes since; one that holds the newest
 * version gets nothing.
 */
#ifndef SS_MIRROR_H
#define SS_MIRROR_H

#include "msg.h"

/* Bytes of changes that are kept; the oldest are dropped first. A process that
 * needs a dropped change gets a full copy. */
#define MIRROR_CHANGES_MAX_BYTES (4u << 20)
/* Number of changes that are kept if they are small: as many as operators make
 * while a process is out of reach. */
#define MIRROR_CHANGES_MAX 64
/* How long a request for a version that isn't here yet waits for it, in ms; by
 * then the process has long asked another control VM. */
#define MIRROR_WAIT_MS 2000

struct mirror;

struct mirror_ops {
	/* Returns false if the peer's connection accepts no more data now. */
	bool (*send)(void *arg, void *peer, const struct msg_routing *m);
	/* Packs a full copy of the newest version, with or without routes. */
	GString *(*pack_full)(void *arg, bool routes);
};

struct mirror_options {
	const struct mirror_ops *ops;
	void *arg;
};

/* A version that has been applied here. */
struct mirror_version {
	uint64_t version;
	uint64_t services_version; /* version in which services last changed */
	/* Change from version base; empty if it came as a full copy. */
	struct ss_str change;
	uint64_t base;
};

struct mirror *mirror_new(const struct mirror_options *o, int64_t now);
void mirror_free(struct mirror *m);

/* Adds a version; one that isn't newer is ignored. */
void mirror_add_version(struct mirror *m, const struct mirror_version *v,
			int64_t now);
/* Returns the newest version. */
uint64_t mirror_version(const struct mirror *m);

/* Handles a request, with the versions that the peer holds and wants. The
 * request also acknowledges what the peer was sent. */
void mirror_request(struct mirror *m, void *peer, const struct msg_fetch *f,
		    int64_t now);
/* Drops a peer whose connection has closed. */
void mirror_peer_closed(struct mirror *m, void *peer, int64_t now);
void mirror_tick(struct mirror *m, int64_t now);

/* Returns the memory used by changes and full copies, in bytes. */
size_t mirror_bytes(const struct mirror *m);
/* Returns the number of bytes sent and not yet acknowledged. */
size_t mirror_in_flight(const struct mirror *m);

#endif
