/* Raft: internal state and functions shared by the raft*.c files only. */
#ifndef SS_RAFT_INT_H
#define SS_RAFT_INT_H

#include <sapphireshift/raft.h>

#include "raft_log.h"

struct peer {
	uint64_t id;
	bool voter;
	bool voted;	      /* for this member in the present term */
	int64_t prevoted_ms;  /* time of its pre-vote for the next term; 0: none
			       */
	uint64_t next;	      /* index of the next entry to send */
	uint64_t match;	      /* last index known to be durable there */
	uint64_t round;	      /* latest heartbeat round it echoed */
	int64_t contact_ms;   /* time of its last reply to this leader */
	uint64_t snap_index;  /* snapshot being sent; 0: none */
	uint64_t snap_offset; /* bytes of it received there */
	int64_t snap_ms;      /* time the last chunk was sent; 0: answered */
	struct ss_raft_ballot ballot;
};

/* Number of long exchanges that are kept. */
#define PACE_SAMPLES 8

/* The long exchanges with the group of late. A single one may come from a pause
 * of this process; a second one shows that the group is slow. */
struct raft_pace {
	struct raft_sample {
		int64_t ms;
		int64_t until_ms; /* it is forgotten then */
	} samples[PACE_SAMPLES];
	unsigned int next; /* the oldest one */
};

struct pending_read {
	uint64_t ctx;
	uint64_t round; /* complete once a majority echoes this round */
};

/* Order of candidates: by their last entry, then by id. */
struct raft_rank {
	uint64_t log_term, index, id;
};

struct ss_raft {
	struct ss_raft_options o;
	struct raft_log log;
	uint64_t term, vote;
	enum ss_raft_role role;
	uint64_t leader;
	uint64_t commit, applied;
	uint64_t durable; /* index of the last synced entry */
	struct ss_raft_members members;
	uint64_t members_index; /* entry that set members */
	GArray *peers; /* struct peer, one per member including this one */
	int64_t now;
	int64_t voted_ms; /* time of its vote for another in this term; 0: none
			   */
	int64_t leader_contact_ms; /* time of the leader's last message */
	/* Time of the leader's last message, moved by the part of this
	 * process's pauses that shows no slow group. */
	int64_t heard_ms;
	uint64_t contact_term;	   /* its term */
	uint64_t former;	   /* leader that sent it; 0: none */
	int64_t deadline_ms;	   /* time of the next campaign */
	int64_t last_heartbeat_ms; /* time of the last heartbeat */
	uint64_t round;		   /* current heartbeat round */
	struct raft_pace pace;
	bool excused;	      /* a pause since the last contact was excused */
	uint64_t timed_round; /* heartbeat whose answers are timed; 0: none */
	int64_t timed_ms;     /* time it was sent */
	/* Election timeout by which this member, as the leader, stepped down
	 * for lack of answers; 0: it has followed another leader since. */
	int64_t gave_up_ms;
	/* A majority has answered this candidate or leader in this role. */
	bool answered;
	/* Term in which this process has asked for votes; 0: none since it led
	 * or started. A vote of before can't be told from a new one. */
	uint64_t asked_term;
	int64_t asked_ms;    /* time of the last round of votes */
	int64_t campaign_ms; /* time at which this member's campaign began */
	/* The candidate that it has let go first, in which term, until when. */
	struct raft_rank yield_to;
	uint64_t yield_term;
	int64_t yield_until_ms;
	GArray *reads;	/* struct pending_read, oldest first */
	bool reads_new; /* the next flush starts a round for reads */
	bool dirty;	/* entries appended since the last sync */
	bool ack;	/* the next flush acknowledges an APPEND */
	uint64_t ack_to, ack_index, ack_round;
	GString *incoming; /* received chunks of a snapshot */
	uint64_t incoming_index;
	bool transfer; /* the old leader requested this campaign */
	/* Voter that this leader hands over to, until when; 0: none. */
	uint64_t transfer_to;
	int64_t transfer_until_ms;
	bool broken; /* storage failed */
};

/*
 * Layers: raft.c calls all other files; raft_elect.c and raft_snapshot.c call
 * raft_append.c, which calls only raft_base.c and raft_log.c.
 */

/* raft_base.c */
struct peer *raft_peer_at(struct ss_raft *r, guint i);
struct peer *raft_peer_find(struct ss_raft *r, uint64_t id);
bool raft_is_voter(struct ss_raft *r);
/* Stops all work after a storage failure. Takes ownership of the error. */
void raft_fail(struct ss_raft *r, GError *error);
/* Reads the members from the log and updates peers; keeps the state of known
 * peers. */
void raft_reload_members(struct ss_raft *r);
/* Stores term and vote durably; returns false if that fails. */
bool raft_save_vote(struct ss_raft *r, uint64_t term, uint64_t vote);
/* Schedules the next campaign after a random min_ms to 2 * min_ms. */
void raft_set_deadline(struct ss_raft *r, int64_t min_ms);
void raft_reset_deadline(struct ss_raft *r);
/* Returns false if the term can't be stored; the message must be ignored then.
 */
bool raft_become_follower(struct ss_raft *r, uint64_t term, uint64_t leader);
void raft_send(struct ss_raft *r, struct ss_raft_msg *m, uint64_t to);
/* Returns the largest value that a majority of the voters has reached. */
uint64_t raft_majority_value(struct ss_raft *r,
			     uint64_t (*value)(struct ss_raft *r,
					       const struct peer *p));

/* Reports how long an answer of the member took. */
void raft_note_exchange(struct ss_raft *r, struct peer *p, int64_t ms);
/* Forgets all votes and pre-votes for this member. */
void raft_clear_votes(struct ss_raft *r);

/* raft_pace.c */
/* Notes how long a majority's answer, or the leader's next message, took. */
void raft_pace_add(struct ss_raft *r, int64_t ms);
/* Returns the election timeout: that of the options, or longer where exchanges
 * take longer. */
int64_t raft_timeout_ms(const struct ss_raft *r);
/* Returns the longest election timeout. */
int64_t raft_timeout_max_ms(const struct ss_raft *r);
/* Notes the leader's next message to a follower. */
void raft_pace_contact(struct ss_raft *r, const struct ss_raft_msg *m);
/* Notes that this leader steps down, as a majority was silent for the election
 * timeout. */
void raft_pace_gave_up(struct ss_raft *r);
/* Extends the election timeout if this new leader stepped down before. */
void raft_pace_elected(struct ss_raft *r);
/* Notes that a majority has answered a heartbeat. */
void raft_pace_round(struct ss_raft *r, uint64_t round);

/* raft_elect.c */
/*
 * Starts an election. A pre-vote only checks that a vote could be won, so that
 * a member returning from a partition doesn't raise the term and depose a
 * working leader.
 */
void raft_campaign(struct ss_raft *r, bool pre);
/* Returns whether this member leads, or has had a message from the leader, or
 * given it its vote, within the election timeout. */
bool raft_has_live_leader(const struct ss_raft *r);
void raft_handle_vote(struct ss_raft *r, const struct ss_raft_msg *m);
void raft_handle_vote_reply(struct ss_raft *r, const struct ss_raft_msg *m);
void raft_handle_timeout_now(struct ss_raft *r);

/* raft_append.c */
/* Sends the next batch to a member, an empty one as a heartbeat; or a chunk of
 * the snapshot if the member needs compacted entries. */
void raft_send_append(struct ss_raft *r, struct peer *p);
void raft_broadcast(struct ss_raft *r);
/* Sends a heartbeat if one is due. */
void raft_heartbeat(struct ss_raft *r);
bool raft_append_local(struct ss_raft *r, int64_t kind, struct ss_str data,
		       uint64_t *index, GError **error);
/* Makes the next flush acknowledge m up to index, after the sync. */
void raft_ack_later(struct ss_raft *r, const struct ss_raft_msg *m,
		    uint64_t index);
/* Follows the sender of m as leader and restarts the election timeout. */
void raft_follow_leader(struct ss_raft *r, const struct ss_raft_msg *m);
void raft_handle_append(struct ss_raft *r, const struct ss_raft_msg *m);
void raft_advance_commit(struct ss_raft *r);
/* Completes the reads whose round a majority has echoed. */
void raft_complete_reads(struct ss_raft *r);
void raft_handle_append_reply(struct ss_raft *r, const struct ss_raft_msg *m);
/* Makes the voter that this leader hands over to campaign, once it has all
 * entries: without the last one it could not be elected. */
void raft_continue_transfer(struct ss_raft *r);

/* raft_snapshot.c */
void raft_handle_snapshot(struct ss_raft *r, const struct ss_raft_msg *m);
void raft_handle_snapshot_reply(struct ss_raft *r, const struct ss_raft_msg *m);

#endif
