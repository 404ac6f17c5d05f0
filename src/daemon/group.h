/*
 * The control group as one member sees it: the replicated log on its disk,
 * the connections between members, joining, and the state it makes.
 */
#ifndef SS_GROUP_H
#define SS_GROUP_H

#include "../core/state.h"
#include "../disk/disk.h"
#include "daemon.h"

struct group;

struct group_ops {
	/* An entry was applied. */
	void (*applied)(void *arg, uint64_t index);
	/* Leadership, or who has it, changed. */
	void (*changed)(void *arg);
};

/* The answer to a change; error: it may or may not have been accepted. */
struct change_done {
	void (*fn)(void *arg, const struct command_result *r,
		   const GError *error);
	void *arg;
};

struct read_done {
	void (*fn)(void *arg, bool ok);
	void *arg;
};

struct group *group_new(struct daemon *d, const struct group_ops *ops,
			void *arg, GError **error);
void group_free(struct group *g);

/* The address other members and processes use, once it listens. */
void group_set_addr(struct group *g, const char *addr);

/* A message of another control VM; true where it was one for the group. */
bool group_message(struct group *g, struct conn *c, struct frame *f);
void group_conn_closed(struct group *g, struct conn *c);

/*
 * Propose a change. Done is called later with its result, or at once with
 * SS_ERROR_NOT_LEADER or a disk error.
 */
void group_change(struct group *g, struct command *c, struct change_done done);

/* Ask a majority whether this member still leads. */
void group_confirm(struct group *g, struct read_done done);

const struct ss_state *group_state(const struct group *g);
const struct ss_raft *group_raft(const struct group *g);
/* True from when a leader's own first entry is applied. */
bool group_leads(const struct group *g);
uint64_t group_id(const struct group *g);
/* Address of the leader; NULL where nobody is known. */
const char *group_leader_addr(const struct group *g);

/* The same, or who is said to lead while this VM is in no group: good enough to
 * be asked. */
const char *group_leader_said(const struct group *g);

/* Addresses of all members, struct control_addr; views until a change. */
GArray *group_member_addrs(const struct group *g);

/* A message to a member, this one too; false where there is no connection. */
bool group_tell(struct group *g, uint64_t id, enum msg_kind kind,
		const void *msg);

bool group_remove_member(struct group *g, uint64_t id, GError **error);

/* Hand over leadership before a planned stop. */
void group_leave(struct group *g);

#endif
