/*
 * An entry's, agent's or relay's connection to the leader: found by asking
 * control VMs, several at a time, and anew when it moves or goes silent.
 */
#ifndef SS_LINK_H
#define SS_LINK_H

#include "conn.h"

struct link;

struct link_ops {
	void (*up)(void *arg, uint64_t group);
	void (*message)(void *arg, struct frame *f);
	void (*down)(void *arg);
};

struct link_options {
	struct conn_options conn; /* ops and arg are the link's own */
	const GPtrArray *control; /* char *, addresses to ask */
	const struct link_ops *ops;
	void *arg;
	uint64_t seed;
};

struct link *link_new(const struct link_options *o);
void link_free(struct link *l);

/* False where no leader is known at the moment. */
bool link_send(struct link *l, enum msg_kind kind, const void *msg);
/* Address of the leader; NULL while none is known. */
const char *link_leader(const struct link *l);
bool link_is_up(const struct link *l);

/*
 * Keep no connection until link_wake(): whoever needs the leader seldom costs
 * it nothing meanwhile. What was told of control VMs is kept.
 */
void link_rest(struct link *l);
/* Look for the leader, where that isn't under way. */
void link_wake(struct link *l);

/* A member has announced its group, unasked. */
void link_told(struct link *l, const struct msg_leader *m);
/* Control VMs that were told of: struct control_addr, views until the next
 * message; the caller's to unref. */
GArray *link_known(const struct link *l);

#endif
