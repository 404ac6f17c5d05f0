/* The group's own tables; only for the files of that part. */
#ifndef SS_GROUP_INT_H
#define SS_GROUP_INT_H

#include "group.h"

/* A connection that this member makes, to another's address. */
struct out {
	char *addr;
	struct conn *conn;
	int64_t tried_ms;
	/* What this connection was last told of the group, and when. */
	uint64_t told_leader;
	int64_t told_ms; /* 0: nothing */
};

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
	GHashTable *outs;  /* addr -> struct out */
	GHashTable *heard; /* &id -> struct conn its last message came on */
	GQueue proposals;
	GHashTable *reads; /* &ctx -> struct read_done */
	uint64_t ctx;
	struct event *tick, *flush;
	char *leader_hint; /* who is said to lead, by one that was asked */
	int64_t join_ms, tend_ms, announce_ms;
	int64_t leader_ms;  /* when a leader was last known */
	int64_t append_ms;  /* when the log last grew */
	uint64_t lead_from; /* index of this leader's first entry */
	uint64_t *n_applied, *n_term, *n_leads, *n_snapshots;
	bool broken;
};

static inline int64_t group_now(const struct group *g)
{
	return ss_clock_now(&g->d->clock);
}

/* Run the log's effects after what came in together: one sync for all. */
void group_flush_soon(struct group *g);
/* The connection to a member's address, made where there is none. */
struct out *group_out_for(struct group *g, const char *addr);
bool group_start_raft(struct group *g, GError **error);
/* The disk can't be trusted any more. */
void group_disk_failed(struct group *g, const GError *error);

/* group_members.c */
void group_ask_to_join(struct group *g, int64_t now);
void group_take_join(struct group *g, struct conn *c, const struct msg_join *m);
void group_take_joined(struct group *g, const struct msg_leader *m);
void group_tend(struct group *g);
/* Tell the addresses of the settings who leads, and who else is a member. */
void group_announce(struct group *g, int64_t now);
/* A member has announced its group to this VM, which is in none. */
void group_take_announced(struct group *g, const struct msg_leader *m);

#endif
