/*
 * One member's side of the control group: the replicated log on its disk, the
 * connections between members, joining, and the state that the log produces.
 */
#ifndef SS_GROUP_H
#define SS_GROUP_H

#include "../core/state.h"
#include "../disk/disk.h"
#include "daemon.h"

/* Longest silence, in ms, of a connection between control VMs that is kept. The
 * side that accepted it waits so long: the other one closes it earlier. */
#define GROUP_SILENT_MAX_MS 3600

struct group;

struct group_ops {
	/* Called when a log entry has been applied. */
	void (*applied)(void *arg, uint64_t index);
	/* Called when this member's role or the known leader has changed. */
	void (*changed)(void *arg);
};

/* Callback for a change. On an error, the change may or may not have been
 * committed. */
struct change_done {
	void (*fn)(void *arg, const struct command_result *r,
		   const GError *error);
	void *arg;
};

/* Callback for group_confirm(); ok: a majority has confirmed the leadership. */
struct read_done {
	void (*fn)(void *arg, bool ok);
	void *arg;
};

struct group *group_new(struct daemon *d, const struct group_ops *ops,
			void *arg, GError **error);
void group_free(struct group *g);

/* Sets the address that other members and processes use; called once the
 * listener is open. */
void group_set_addr(struct group *g, const char *addr);

/* Handles a message between control VMs; returns false for all other
 * messages. */
bool group_message(struct group *g, struct conn *c, struct frame *f);
void group_conn_closed(struct group *g, struct conn *c);

/*
 * Proposes a change. Calls done later with the result, or immediately with
 * SS_ERROR_NOT_LEADER or a disk error.
 */
void group_change(struct group *g, struct command *c, struct change_done done);

/* Checks with a majority that this member is still the leader. */
void group_confirm(struct group *g, struct read_done done);

const struct ss_state *group_state(const struct group *g);
const struct ss_raft *group_raft(const struct group *g);
/* Returns true if this member is the leader and has applied the first log entry
 * of its own term. */
bool group_leads(const struct group *g);
uint64_t group_id(const struct group *g);
/* The leader's address; NULL if unknown. */
const char *group_leader_addr(const struct group *g);

/* The leader's address or, while this VM is in no group, the one that another
 * process reported, which may be out of date. */
const char *group_leader_hint(const struct group *g);

/* Addresses of all members, as struct control_addr; the strings are valid until
 * the membership changes. */
GArray *group_member_addrs(const struct group *g);

/* Sends a message to a member, which may be this one; returns false if there is
 * no connection. */
bool group_send(struct group *g, uint64_t id, enum msg_kind kind,
		const void *msg);

bool group_remove_member(struct group *g, uint64_t id, GError **error);

/* Begins a planned stop: transfers the leadership, if held, and hands the vote
 * over to a spare, if there is one. */
void group_leave(struct group *g);
/* Returns true once a planned stop may end the process: this VM has no vote any
 * more, or no other member can take it over. */
bool group_may_end(const struct group *g);

#endif
