/*
 * The routing as a process follows it: changes are read a few items in each
 * turn of the loop, so that callers and heartbeats don't wait behind them.
 */
#ifndef SS_ROUTING_FOLLOW_H
#define SS_ROUTING_FOLLOW_H

#include "../core/routing_update.h"
#include "daemon.h"

struct routing_follow;

struct routing_follow_options {
	struct daemon *daemon;
	/* A newer version is in force in the table. */
	void (*taken)(void *arg, struct routing *r);
	/* What came after a version can't be read: the whole is needed. */
	void (*useless)(void *arg, uint64_t have);
	void *arg;
};

struct routing_follow *
routing_follow_new(const struct routing_follow_options *o);
void routing_follow_free(struct routing_follow *f);

/* The table; its version is 0 until something is in force. */
struct routing *routing_follow_table(const struct routing_follow *f);
/* A packed change; false where it is of no use. */
bool routing_follow_add(struct routing_follow *f, struct ss_str packed);

#endif
