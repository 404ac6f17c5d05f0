/* Interface of the leader's work beside the log: one implementation for
 * replicas behind agents, one for a fleet. */
#ifndef SS_LEADER_H
#define SS_LEADER_H

#include "group.h"

struct json_object;
struct routing;
struct stream_log;

struct leader_ops {
	/* begin() returns the state that the other functions get, until
	 * end(). r is the routing that follows the log; streams belongs to the
	 * process and outlives the leadership. */
	void *(*begin)(struct daemon *d, struct group *g, struct routing *r,
		       struct stream_log *streams);
	void (*end)(void *leader);
	/* Connections from entries and agents. */
	void (*open)(void *leader, struct conn *c);
	void (*closed)(void *leader, struct conn *c);
	void (*message)(void *leader, struct conn *c, struct frame *f);
	/* Called when the replicated state has changed. */
	void (*applied)(void *leader);
	void (*tick)(void *leader);
	/* Adds the leader's state to the operator's status. */
	void (*status)(void *leader, struct json_object *o);
};

#endif
