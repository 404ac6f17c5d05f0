/* What the process that leads does beside keeping the log: one table for
 * each kind of endpoints. */
#ifndef SS_LEADER_H
#define SS_LEADER_H

#include "group.h"

struct json_object;
struct routing;
struct stream_log;

struct leader_ops {
	/* What begin() returned goes to the others, until end(); r is the
	 * table that follows the log. What is known of streams is this
	 * process's, also while others lead. */
	void *(*begin)(struct daemon *d, struct group *g, struct routing *r,
		       struct stream_log *streams);
	void (*end)(void *lead);
	/* Connections of entries and agents. */
	void (*open)(void *lead, struct conn *c);
	void (*closed)(void *lead, struct conn *c);
	void (*message)(void *lead, struct conn *c, struct frame *f);
	/* The replicated state has changed. */
	void (*applied)(void *lead);
	void (*tick)(void *lead);
	/* Add what is known to an operator's status. */
	void (*status)(void *lead, struct json_object *o);
};

#endif
