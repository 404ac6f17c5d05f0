/*
 * Applies changes to the routing table of a process. Each iteration of the
 * event loop reads a few items, so that callers and heartbeats aren't delayed.
 */
#ifndef SS_ROUTING_FOLLOW_H
#define SS_ROUTING_FOLLOW_H

#include "../core/routing_update.h"
#include "daemon.h"

struct routing_follow;

struct routing_follow_options {
	struct daemon *daemon;
	/* Called when a newer version is in force in the table. */
	void (*applied)(void *arg, struct routing *r);
	/* Called for a change that can't be read, so that a full copy is
	 * needed; have is the version in force. */
	void (*unreadable)(void *arg, uint64_t have);
	void *arg;
};

struct routing_follow *
routing_follow_new(const struct routing_follow_options *o);
void routing_follow_free(struct routing_follow *f);

/* Returns the table; its version is 0 until a first change is in force. */
struct routing *routing_follow_table(const struct routing_follow *f);
/* Adds a packed change; returns false if it can't be applied. */
bool routing_follow_add(struct routing_follow *f, struct ss_str packed);

#endif
