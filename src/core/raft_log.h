/* Raft: the log's snapshot and the entries after it, in memory. */
#ifndef SS_RAFT_LOG_H
#define SS_RAFT_LOG_H

#include <sapphireshift/raft.h>

struct raft_log {
	GArray *entries; /* struct ss_raft_entry, with owned data */
	struct ss_raft_snapshot snapshot; /* owned; index 0: none */
};

void raft_log_init(struct raft_log *l);
void raft_log_clear(struct raft_log *l);

uint64_t raft_log_last(const struct raft_log *l);
/* Returns the term of an entry; 0 if it is compacted or not yet in the log. */
uint64_t raft_log_term(const struct raft_log *l, uint64_t index);
/* Returns an entry; NULL if it is compacted or not yet in the log. */
const struct ss_raft_entry *raft_log_get(const struct raft_log *l,
					 uint64_t index);
void raft_log_append(struct raft_log *l, const struct ss_raft_entry *e);
/* Removes the entries from this index on. */
void raft_log_truncate(struct raft_log *l, uint64_t from);

/* Copies the snapshot and removes the entries that it covers. */
void raft_log_set_snapshot(struct raft_log *l,
			   const struct ss_raft_snapshot *s);

/*
 * Returns the members in force, which are those of the last MEMBERS entry or
 * else of the snapshot, and the index that set them.
 */
void raft_log_members(const struct raft_log *l, struct ss_raft_members *out,
		      uint64_t *index);

#endif
