/* Internal state of the control group; only its own files include this. */
#ifndef SS_GROUP_INT_H
#define SS_GROUP_INT_H

#include "../core/repair.h"
#include "group.h"

/* An outgoing connection to another control VM's address. */
struct member_conn {
	char *addr;
	struct conn *conn;
	int64_t tried_ms;
	int64_t silent_ms; /* silence after which it is closed */
	int64_t lost_ms;   /* when one was closed for its silence last */
	/* The leader announced last on this connection, and when. */
	uint64_t sent_leader;
	int64_t sent_ms; /* 0: never */
};

/* A change that was proposed and not applied yet. */
struct proposal {
	uint64_t index, term;
	struct change_done done;
};

struct group {
	struct daemon *d;
	const struct group_ops *ops;
	void *arg;
	struct disk *disk;
	struct disk_state loaded;
	struct ss_raft *raft;
	struct ss_state *state;
	char *addr;
	GHashTable *member_conns; /* addr -> struct member_conn */
	GHashTable *last_conns;	  /* &id -> struct conn of its last message */
	GQueue proposals;
	GHashTable *reads; /* &ctx -> struct read_done */
	uint64_t ctx;	   /* number of the latest read */
	struct event *tick, *flush;
	char *leader_hint; /* leader's address as another process reported it */
	struct repair_counts counts; /* of the members, as last logged */
	bool leaving;		     /* a planned stop has begun */
	bool may_end;		     /* the leader has allowed the exit */
	GHashTable *leaving_members; /* &id -> &ms of its last notice */
	int64_t leave_ms;	     /* last notice of the planned stop */
	int64_t transfer_ms;	     /* last transfer of the leadership */
	int64_t join_ms, repair_ms, announce_ms; /* last time of each */
	bool skipped;	       /* the last tick was, after a pause */
	int64_t tick_ms;       /* last run of the timer */
	int64_t leader_ms;     /* last time a leader was known */
	int64_t append_ms;     /* last append to the log */
	uint64_t leader_first; /* first log entry of its leadership */
	uint64_t *n_applied, *n_term, *n_leads, *n_snapshots;
	struct hist *sync_ms, *exchange_ms;
	/* What was logged last, and when. */
	enum ss_raft_role role;
	uint64_t role_term, role_leader;
	char *votes_text;
	int64_t votes_ms, waiting_ms, slow_ms;
	bool broken; /* a write to the disk has failed */
};

static inline int64_t group_now(const struct group *g)
{
	return ss_clock_now(&g->d->clock);
}

/* Schedules a flush of the log for after all input that is ready, so that one
 * sync covers all of it. */
void group_flush_soon(struct group *g);
/* Returns the connection record of an address; connects if necessary. */
struct member_conn *group_conn_to(struct group *g, const char *addr);
/* Starts Raft with the state that was loaded from the disk. */
bool group_start_raft(struct group *g, GError **error);
/* Stops the process after a failed write: the disk's content is unknown. */
void group_disk_failed(struct group *g, const GError *error);

/* group_log.c: lines that explain why nobody leads, each bounded in number. */
/* Logs the members with which this process starts. */
void group_log_start(struct group *g);
/* Logs role, term and leader when one of them has changed. */
void group_log_role(struct group *g);
/* Logs who was asked for a vote, and what they have answered. */
void group_log_votes(struct group *g);
/* Logs whom this VM, which is in no group, asks to join. */
void group_log_waiting(struct group *g);
/* Counts the time of a sync that began at start_ms; logs a slow one. */
void group_note_sync(struct group *g, int64_t start_ms);
/* Logs that this process stood still. */
void group_note_pause(struct group *g, int64_t ms);
/* Counts the time until a member's answer; logs a slow one. */
void group_note_exchange(struct group *g, uint64_t id, int64_t ms);

/* group_members.c */
/* Sends join requests to all known addresses. */
void group_request_join(struct group *g, int64_t now);
void group_handle_join(struct group *g, struct conn *c,
		       const struct msg_join *m);
void group_handle_joined(struct group *g, const struct msg_leader *m);
/* Transfers the leadership, or tells the leader of the planned stop. */
void group_continue_leaving(struct group *g, int64_t now);
/* Returns true if the member has sent this leader a notice of a planned stop
 * within the last second. After that its silence tells, or it is back. */
bool group_is_leaving(const struct group *g, uint64_t id);
/* Names the leader to a VM that campaigns and isn't a member. */
void group_redirect_candidate(struct group *g, struct conn *c,
			      const struct msg_raft *m);
/* Takes the leader's next repair step: promotes a member or removes a lost
 * one. */
void group_repair(struct group *g);
/* Sends the leader and the members to the control addresses of the settings. */
void group_announce(struct group *g, int64_t now);
/* Handles a member's announcement; ignored if this VM is in a group. */
void group_handle_leader(struct group *g, const struct msg_leader *m);

#endif
