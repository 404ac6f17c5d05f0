/* The replicated log's entries in memory, from its snapshot on. */
#ifndef SS_RAFT_LOG_H
#define SS_RAFT_LOG_H

#include <sapphireshift/raft.h>

struct raft_log {
	GArray *entries; /* struct ss_raft_entry with data owned */
	struct ss_raft_snapshot snapshot; /* owned; index 0 at the start */
};

void raft_log_init(struct raft_log *l);
void raft_log_clear(struct raft_log *l);

uint64_t raft_log_last(const struct raft_log *l);
/* Term of an entry; 0 where it isn't held (any more, or yet). */
uint64_t raft_log_term(const struct raft_log *l, uint64_t index);
const struct ss_raft_entry *raft_log_at(const struct raft_log *l,
					uint64_t index);
void raft_log_add(struct raft_log *l, const struct ss_raft_entry *e);
void raft_log_cut(struct raft_log *l, uint64_t from);

/* Take a copy of the snapshot; drop what it covers. */
void raft_log_set_snapshot(struct raft_log *l,
			   const struct ss_raft_snapshot *s);

/* The members in force: the last entry of that kind, or the snapshot's. */
void raft_log_members(const struct raft_log *l, struct ss_raft_members *out,
		      uint64_t *index);

#endif
