/*
 * The connection of an entry, agent or relay to the leader. The leader is found
 * by asking several control VMs at a time, and again when leadership moves or
 * the leader goes silent.
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
	struct conn_options conn; /* ops and arg are set by the link */
	const GPtrArray *control; /* char *, addresses to ask */
	const struct link_ops *ops;
	void *arg;
	uint64_t seed;
};

struct link *link_new(const struct link_options *o);
void link_free(struct link *l);

/* Sends to the leader. False if there is no connection to it. */
bool link_send(struct link *l, enum msg_kind kind, const void *msg);
/* Address of the leader; NULL if none is known. */
const char *link_leader(const struct link *l);
bool link_is_up(const struct link *l);

/*
 * Closes all connections until link_resume(), so that a process which rarely
 * needs the leader doesn't cost it heartbeats. Known addresses of control VMs
 * are kept. down isn't called.
 */
void link_suspend(struct link *l);
/* Searches for the leader again after link_suspend(). */
void link_resume(struct link *l);

/* Handles an unsolicited announcement of the group by a member. */
void link_leader_announced(struct link *l, const struct msg_leader *m);
/* Control VMs reported by others, as struct control_addr. The strings are valid
 * until the next message; the caller unrefs the array. */
GArray *link_control_addrs(const struct link *l);

#endif
