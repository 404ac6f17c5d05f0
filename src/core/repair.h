/*
 * Membership repair of the control group without an operator: which member
 * the leader promotes or removes next, one change at a time.
 */
#ifndef SS_REPAIR_H
#define SS_REPAIR_H

#include <sapphireshift/raft.h>

/* A learner at most this many entries behind may become a voter. */
#define REPAIR_MAX_LAG 64
/* A learner that was silent for longer, in ms, isn't ready: it missed five
 * heartbeats. */
#define REPAIR_READY_MS 500
/*
 * Silence in ms after which a ready learner takes a voter's place: twice the
 * election timeout of a fast group. The next VM may be lost 4 s after a
 * successor has started; until then an election, the successor's catching up
 * and two changes of members have to fit. A voter that was silent for another
 * reason joins again and is the spare.
 */
#define REPAIR_SUSPECT_MS 1000
/* Silence in ms after which a member counts as dead and is removed without a
 * successor if enough others are left. Longer than a restart (about 2 s). A
 * removed member that returns joins again with its log. */
#define REPAIR_DEAD_MS 6000
/* Fewer voters than this tolerate no loss. */
#define REPAIR_MIN_VOTERS 3

struct repair_member {
	uint64_t id;
	struct ss_str name, addr;
	bool voter;
	bool self;
	bool leaving; /* it is in a planned stop */
	/* Since its last reply to the leader, less what replies take. */
	int64_t quiet_ms;
	uint64_t match; /* last log index known to be durable there */
};

enum repair_action { REPAIR_NONE, REPAIR_PROMOTE, REPAIR_REMOVE };

struct repair_step {
	enum repair_action act;
	size_t member; /* index into the members */
};

/* The members as repair sees them, for a log line. */
struct repair_counts {
	size_t voters;
	size_t lost;	 /* voters that count as lost */
	size_t leaving;	 /* voters in a planned stop that still answer */
	size_t learners; /* members without a vote */
	size_t ready;	 /* learners that can become voters */
};

struct repair_counts repair_count(const struct repair_member *m, size_t n,
				  uint64_t last);

/* Returns the next step. The members are in the order in which they joined;
 * last is the index of the leader's last log entry. */
struct repair_step repair_next(const struct repair_member *m, size_t n,
			       uint64_t last);

/*
 * Returns true if a member in a planned stop may exit: it has no vote (any
 * more), or no learner can take its vote over and the others have a majority.
 * Until then it has to vote, since the next VM may be lost while the vote is
 * handed over.
 */
bool repair_may_end(const struct repair_member *m, size_t n, uint64_t id,
		    uint64_t last);

/* Fills in all of ss_raft_members() as their leader sees them; out has room for
 * that many. The strings are the log's. */
void repair_members(const struct ss_raft *r, uint64_t self,
		    struct repair_member *out);

/* Proposes a step to the log. Returns false with the errors of
 * ss_raft_set_member() and ss_raft_remove_member(). */
bool repair_propose(struct ss_raft *r, struct repair_step step, GError **error);

#endif
