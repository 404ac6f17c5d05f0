/*
 * Replicated log: leader election with pre-vote and majority check, group
 * commit, snapshots, learners, and members changed one at a time.
 *
 * A state machine without sockets, files, threads or clock. The caller
 * feeds messages and ticks with the time, and gets effects through a table
 * of function pointers. After each batch of input it calls ss_raft_flush(),
 * which makes the batch durable with one sync and answers for it.
 */
#ifndef SAPPHIRESHIFT_RAFT_H
#define SAPPHIRESHIFT_RAFT_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

enum ss_raft_entry_kind {
	SS_RAFT_NOOP,
	SS_RAFT_DATA,
	SS_RAFT_MEMBERS,
};

struct ss_raft_entry {
	uint64_t index;
	uint64_t term;
	int64_t kind; /* enum ss_raft_entry_kind */
	struct ss_str data;
};

struct ss_raft_member {
	uint64_t id; /* identity, made when the data folder was made */
	struct ss_str name;
	struct ss_str addr;
	bool voter; /* else a learner: gets the log, doesn't count */
};

struct ss_raft_members {
	struct ss_raft_member *m;
	size_t n;
};

struct ss_raft_snapshot {
	uint64_t index; /* the last entry that it covers; 0: none */
	uint64_t term;
	struct ss_raft_members members;
	struct ss_str data;
};

enum ss_raft_msg_kind {
	SS_RAFT_PREVOTE = 1,
	SS_RAFT_PREVOTE_REPLY,
	SS_RAFT_VOTE,
	SS_RAFT_VOTE_REPLY,
	SS_RAFT_APPEND,
	SS_RAFT_APPEND_REPLY,
	SS_RAFT_SNAPSHOT,
	SS_RAFT_SNAPSHOT_REPLY,
	SS_RAFT_TIMEOUT_NOW,
};

/* One message between members; unused fields are zero. */
struct ss_raft_msg {
	int64_t kind; /* enum ss_raft_msg_kind */
	uint64_t from, to;
	uint64_t term;
	uint64_t index;	   /* entry before the first, last of a log, match */
	uint64_t log_term; /* term of the entry at index */
	uint64_t commit;
	uint64_t round;	 /* heartbeat round, echoed; proves a majority */
	uint64_t offset; /* of a snapshot's chunk */
	uint64_t total;	 /* size of the whole snapshot */
	bool ok;
	bool transfer; /* a vote that the old leader asked for */
	struct ss_raft_entry *entries;
	size_t n_entries;
	struct ss_raft_members members; /* of a snapshot */
	struct ss_str data;
};

enum ss_raft_role {
	SS_RAFT_FOLLOWER,
	SS_RAFT_PRECANDIDATE,
	SS_RAFT_CANDIDATE,
	SS_RAFT_LEADER,
};

/*
 * Effects. Storage calls that fail set a GError: a failed append or vote
 * leaves the log as it was; a failed sync ends the log's use, see failed.
 */
struct ss_raft_ops {
	/* Durable on return. */
	bool (*save_vote)(void *arg, uint64_t term, uint64_t vote,
			  GError **error);
	/* Durable only after sync. On failure nothing has been added. */
	bool (*append)(void *arg, const struct ss_raft_entry *e, size_t n,
		       GError **error);
	/* Drop the entries from this index on. */
	bool (*truncate)(void *arg, uint64_t from, GError **error);
	bool (*sync)(void *arg, GError **error);
	/*
	 * Durable on return. The stored log becomes the snapshot and the n
	 * entries of rest, which follow it.
	 */
	bool (*save_snapshot)(void *arg, const struct ss_raft_snapshot *s,
			      const struct ss_raft_entry *rest, size_t n,
			      GError **error);
	void (*send)(void *arg, const struct ss_raft_msg *m);
	/* Called once for each committed entry of kind DATA, in order. */
	void (*apply)(void *arg, const struct ss_raft_entry *e);
	/* Replace the state by a snapshot; false where it is corrupt. */
	bool (*restore)(void *arg, struct ss_str data);
	/* Role, term or leader (0: unknown) changed. */
	void (*changed)(void *arg);
	/*
	 * A read asked by ss_raft_read(): ok where a majority was heard
	 * after the question, so that the state holds all accepted then.
	 */
	void (*read_done)(void *arg, uint64_t ctx, bool ok);
	/* The disk can't be trusted any more: stop the process. */
	void (*failed)(void *arg, const GError *error);
};

struct ss_raft_options {
	uint64_t self;
	const struct ss_raft_ops *ops;
	void *arg;
	int64_t election_ms;  /* least silence before a campaign; 0: 600 */
	int64_t first_ms;     /* the same after the start; 0: election_ms */
	int64_t heartbeat_ms; /* 0: 100 */
	size_t batch_bytes;   /* of one append message; 0: 256 KiB */
	uint64_t seed;	      /* of the random part of the timeouts */
	/* What the disk held. */
	uint64_t term, vote;
	const struct ss_raft_snapshot *snapshot;
	const struct ss_raft_entry *entries;
	size_t n_entries;
};

struct ss_raft;

/* NULL with SS_ERROR_CORRUPT where log and snapshot don't fit together. */
struct ss_raft *ss_raft_new(const struct ss_raft_options *o, int64_t now,
			    GError **error);
void ss_raft_free(struct ss_raft *r);

void ss_raft_tick(struct ss_raft *r, int64_t now);
void ss_raft_step(struct ss_raft *r, int64_t now, const struct ss_raft_msg *m);
void ss_raft_flush(struct ss_raft *r, int64_t now);

/*
 * Append to the log as leader. The index tells when apply shows it; where
 * another term's entry comes at that index, this one was not accepted.
 * Errors: SS_ERROR_NOT_LEADER, SS_ERROR_DISK_FULL, SS_ERROR_IO.
 */
bool ss_raft_propose(struct ss_raft *r, struct ss_str data, uint64_t *index,
		     GError **error);

/* Ask for read_done(ctx). False with SS_ERROR_NOT_LEADER. */
bool ss_raft_read(struct ss_raft *r, int64_t now, uint64_t ctx, GError **error);

/*
 * Add a learner, promote one, or remove a member. One change at a time:
 * SS_ERROR_CONFLICT while another isn't committed.
 */
bool ss_raft_set_member(struct ss_raft *r, const struct ss_raft_member *m,
			GError **error);
bool ss_raft_remove_member(struct ss_raft *r, uint64_t id, GError **error);

/* Let the state up to the applied index stand for the log before it. */
bool ss_raft_compact(struct ss_raft *r, struct ss_str state, GError **error);

/* Hand leadership to the voter that is furthest, before a planned stop. */
void ss_raft_transfer(struct ss_raft *r, int64_t now);

enum ss_raft_role ss_raft_role(const struct ss_raft *r);
uint64_t ss_raft_term(const struct ss_raft *r);
uint64_t ss_raft_leader(const struct ss_raft *r);
uint64_t ss_raft_last(const struct ss_raft *r);
uint64_t ss_raft_commit(const struct ss_raft *r);
uint64_t ss_raft_applied(const struct ss_raft *r);
uint64_t ss_raft_first(const struct ss_raft *r);
const struct ss_raft_members *ss_raft_members(const struct ss_raft *r);
const struct ss_raft_member *ss_raft_member(const struct ss_raft *r,
					    uint64_t id);
/* As leader: ms since the member was last heard; 0 for itself. */
int64_t ss_raft_quiet_ms(const struct ss_raft *r, uint64_t id);
/* As leader: the highest index known durable at a member. */
uint64_t ss_raft_match(const struct ss_raft *r, uint64_t id);

/* Members as bytes, as they stand in an entry of kind MEMBERS. */
GString *ss_raft_encode_members(const struct ss_raft_members *m);
bool ss_raft_decode_members(struct ss_str data, struct ss_raft_members *m);
void ss_raft_copy_members(struct ss_raft_members *to,
			  const struct ss_raft_members *from);
void ss_raft_clear_members(struct ss_raft_members *m);

#ifdef __cplusplus
}
#endif
#endif
