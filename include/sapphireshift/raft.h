/*
 * Raft replicated log: leader election with pre-vote and check-quorum, group
 * commit, snapshots, learners, and single-server membership changes.
 *
 * This is a state machine without sockets, files, threads or a clock. The
 * caller passes in messages and the current time, and implements the effects
 * in struct ss_raft_ops. After each batch of input it calls ss_raft_flush(),
 * which makes the batch durable with one sync and then acknowledges it.
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
	uint64_t id; /* generated with the data directory */
	struct ss_str name;
	struct ss_str addr;
	bool voter; /* otherwise a learner: gets the log, has no vote */
};

struct ss_raft_members {
	struct ss_raft_member *m;
	size_t n;
};

struct ss_raft_snapshot {
	uint64_t index; /* last entry covered; 0: no snapshot */
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

/* A message between members. Unused fields are zero. */
struct ss_raft_msg {
	int64_t kind; /* enum ss_raft_msg_kind */
	uint64_t from, to;
	uint64_t term;
	/*
	 * APPEND: the entry before the first one sent. Votes: the sender's
	 * last entry. Replies to APPEND: the last entry that matches or, if
	 * rejected, the one that doesn't. SNAPSHOT and its reply: the last
	 * entry covered.
	 */
	uint64_t index;
	uint64_t log_term; /* term of the entry at index */
	uint64_t commit;
	/*
	 * Heartbeat round, echoed; confirms a majority. Votes: when the sender
	 * asked, by its own clock, echoed; 0 from a peer that doesn't say.
	 */
	uint64_t round;
	/*
	 * Position in the snapshot; in a rejection of APPEND, the index to
	 * send from next; in a refused vote, the enum ss_raft_answer.
	 */
	uint64_t offset;
	uint64_t total; /* size of the whole snapshot */
	bool ok;
	bool transfer; /* the old leader requested this vote */
	struct ss_raft_entry *entries;
	size_t n_entries;
	struct ss_raft_members members; /* of a snapshot */
	struct ss_str data;
};

/* What a voter answered to a candidate. */
enum ss_raft_answer {
	SS_RAFT_NO_ANSWER,
	SS_RAFT_GRANTED,
	SS_RAFT_REFUSED, /* without a reason */
	SS_RAFT_BEHIND,	 /* the candidate lacks entries that the voter has */
	SS_RAFT_HAS_LEADER,
	SS_RAFT_VOTED, /* for another candidate in this term */
	SS_RAFT_OLD_TERM,
	SS_RAFT_GOES_FIRST, /* the voter is a candidate itself */
	SS_RAFT_ANSWER_LAST = SS_RAFT_GOES_FIRST,
};

/* A voter's latest answer in this member's candidacy. */
struct ss_raft_ballot {
	enum ss_raft_answer answer;
	int64_t ms; /* from the request to the answer; -1: unknown */
};

enum ss_raft_role {
	SS_RAFT_FOLLOWER,
	SS_RAFT_PRECANDIDATE,
	SS_RAFT_CANDIDATE,
	SS_RAFT_LEADER,
};

/*
 * Effects, implemented by the caller. A storage call that fails sets a
 * GError. After a failed append or save_vote the log is unchanged; a failed
 * sync makes the log unusable, see failed.
 */
struct ss_raft_ops {
	/* Durable on return. */
	bool (*save_vote)(void *arg, uint64_t term, uint64_t vote,
			  GError **error);
	/* Durable only after sync. Adds nothing on failure. */
	bool (*append)(void *arg, const struct ss_raft_entry *e, size_t n,
		       GError **error);
	/* Removes the entries from this index on. */
	bool (*truncate)(void *arg, uint64_t from, GError **error);
	bool (*sync)(void *arg, GError **error);
	/*
	 * Durable on return. Replaces the stored log by the snapshot and the
	 * n entries of rest that follow it.
	 */
	bool (*save_snapshot)(void *arg, const struct ss_raft_snapshot *s,
			      const struct ss_raft_entry *rest, size_t n,
			      GError **error);
	void (*send)(void *arg, const struct ss_raft_msg *m);
	/* Called once for each committed entry of kind DATA, in order. */
	void (*apply)(void *arg, const struct ss_raft_entry *e);
	/* Replaces the state by a snapshot; false if it is corrupt. */
	bool (*restore)(void *arg, struct ss_str data);
	/* Called when the role, the term or the leader has changed. */
	void (*changed)(void *arg);
	/*
	 * Completes ss_raft_read(). ok: a majority has answered since the
	 * call, so the state holds everything committed before it.
	 */
	void (*read_done)(void *arg, uint64_t ctx, bool ok);
	/* Called when storage is no longer reliable: the process must stop. */
	void (*failed)(void *arg, const GError *error);
	/* Called when a round of votes ends without a majority, before the
	 * answers are forgotten. May be NULL. */
	void (*round_lost)(void *arg);
	/* Called for each answer from another member with the time in ms from
	 * the request to it. May be NULL. */
	void (*exchanged)(void *arg, uint64_t id, int64_t ms);
	/* Returns whether the leadership may be transferred to a voter; NULL:
	 * to any one. */
	bool (*may_lead)(void *arg, uint64_t id);
};

struct ss_raft_options {
	uint64_t self;
	const struct ss_raft_ops *ops;
	void *arg;
	int64_t election_ms; /* minimum election timeout; 0: 600 */
	/* Minimum of the first election timeout after a start, when no leader
	 * has been known; 0: election_ms. */
	int64_t first_ms;
	int64_t heartbeat_ms; /* 0: 100 */
	size_t batch_bytes;   /* limit of one APPEND; 0: 256 KiB */
	uint64_t seed;	      /* of the election timeouts' random part */
	/* State loaded from disk. */
	uint64_t term, vote;
	const struct ss_raft_snapshot *snapshot;
	const struct ss_raft_entry *entries;
	size_t n_entries;
};

struct ss_raft;

/*
 * Returns NULL with SS_ERROR_CORRUPT if the log doesn't continue the snapshot
 * or the snapshot can't be restored.
 */
struct ss_raft *ss_raft_new(const struct ss_raft_options *o, int64_t now,
			    GError **error);
void ss_raft_free(struct ss_raft *r);

void ss_raft_tick(struct ss_raft *r, int64_t now);
/*
 * Tells that this process stood still for ms until now: the silence of the
 * others in that time is no sign of a loss. To be called before messages that
 * came meanwhile are handled. A late tick may be left out after it, but not two
 * in a row: each tick of a slow process may be late.
 */
void ss_raft_paused(struct ss_raft *r, int64_t now, int64_t ms);
void ss_raft_step(struct ss_raft *r, int64_t now, const struct ss_raft_msg *m);
void ss_raft_flush(struct ss_raft *r, int64_t now);

/*
 * Appends to the log, on the leader only. The entry is committed once apply
 * gets it at the returned index. If apply gets an entry of another term at
 * that index, this one was lost.
 * Errors: SS_ERROR_NOT_LEADER, SS_ERROR_DISK_FULL, SS_ERROR_IO.
 */
bool ss_raft_propose(struct ss_raft *r, struct ss_str data, uint64_t *index,
		     GError **error);

/*
 * Requests a linearizable read, which read_done(ctx) completes. Returns false
 * with SS_ERROR_NOT_LEADER.
 */
bool ss_raft_read(struct ss_raft *r, int64_t now, uint64_t ctx, GError **error);

/*
 * Adds a member or, as to promote a learner, replaces the one with its id.
 * Fails with SS_ERROR_NOT_LEADER, with the errors of storage, and with
 * SS_ERROR_CONFLICT while an earlier change of members, or the leader's first
 * entry, isn't committed.
 */
bool ss_raft_set_member(struct ss_raft *r, const struct ss_raft_member *m,
			GError **error);
/* Removes a member. Fails as above, and with SS_ERROR_NOT_FOUND for an unknown
 * member and for the last voter. */
bool ss_raft_remove_member(struct ss_raft *r, uint64_t id, GError **error);

/* Replaces the log up to the applied index by a snapshot of the state. */
bool ss_raft_compact(struct ss_raft *r, struct ss_str state, GError **error);

/*
 * Transfers leadership to the reachable voter with the most entries of those
 * that may lead, before a planned stop. The leader takes no changes until that
 * voter leads, or an election timeout has passed.
 */
void ss_raft_transfer(struct ss_raft *r, int64_t now);

enum ss_raft_role ss_raft_role(const struct ss_raft *r);
uint64_t ss_raft_term(const struct ss_raft *r);
/* Returns the id of the leader; 0: unknown. */
uint64_t ss_raft_leader(const struct ss_raft *r);
uint64_t ss_raft_last(const struct ss_raft *r);
uint64_t ss_raft_commit(const struct ss_raft *r);
uint64_t ss_raft_applied(const struct ss_raft *r);
/* Returns the index of the first entry after the snapshot. */
uint64_t ss_raft_first(const struct ss_raft *r);
const struct ss_raft_members *ss_raft_members(const struct ss_raft *r);
/* Returns whether the latest change of members isn't committed yet, as far as
 * this member knows. */
bool ss_raft_members_open(const struct ss_raft *r);
const struct ss_raft_member *ss_raft_member(const struct ss_raft *r,
					    uint64_t id);
/* On the leader: ms since the member's last reply. 0 for itself, and on other
 * members. */
int64_t ss_raft_quiet_ms(const struct ss_raft *r, uint64_t id);
/* The same, less the time by which the election timeout was extended as the
 * group's exchanges take long. */
int64_t ss_raft_overdue_ms(const struct ss_raft *r, uint64_t id);
/* Returns a voter's answer in this member's present or last candidacy. */
struct ss_raft_ballot ss_raft_ballot(const struct ss_raft *r, uint64_t id);
/* On the leader: the highest index known to be durable on the member. */
uint64_t ss_raft_match(const struct ss_raft *r, uint64_t id);

/* Serialized members, the data of an entry of kind MEMBERS. */
GString *ss_raft_encode_members(const struct ss_raft_members *m);
bool ss_raft_decode_members(struct ss_str data, struct ss_raft_members *m);
void ss_raft_copy_members(struct ss_raft_members *to,
			  const struct ss_raft_members *from);
void ss_raft_clear_members(struct ss_raft_members *m);

#ifdef __cplusplus
}
#endif
#endif
