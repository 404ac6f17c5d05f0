/*
 * Durable storage of a control VM: identity and vote, the Raft log and the
 * snapshot, in one folder.
 *
 *   meta      group, identity, term and vote; replaced atomically
 *   snapshot  state up to a log entry; replaced atomically
 *   log       records of length, checksum and entry; appended or truncated
 *   lock      held while a process uses the folder
 */
#ifndef SS_DISK_H
#define SS_DISK_H

#include <sapphireshift/raft.h>

#include <sys/types.h>

/* System calls that fail on a bad disk; tests inject faults here. */
struct disk_io {
	ssize_t (*pwrite)(int fd, const void *buf, size_t n, off_t at);
	int (*fdatasync)(int fd);
};

struct disk_options {
	const char *folder;	  /* created if it doesn't exist */
	const struct disk_io *io; /* NULL: the system calls */
};

/* Contents of a folder; the pointers are valid while the disk is open. */
struct disk_state {
	uint64_t group; /* 0: a new folder, not yet in a group */
	uint64_t id;	/* identity of this folder */
	uint64_t term, vote;
	struct ss_raft_snapshot snapshot;
	const struct ss_raft_entry *entries;
	size_t n_entries;
	uint64_t truncated_bytes; /* length of the torn tail that was truncated
				   */
};

struct disk;

/*
 * Opens a folder and reads it. Records written after the last sync may be torn
 * or missing; they are truncated, as none of them was acknowledged. Errors:
 * SS_ERROR_CORRUPT for a complete record with a wrong checksum, which is never
 * truncated; SS_ERROR_IO; SS_ERROR_CONFLICT if another process holds the
 * folder.
 */
struct disk *disk_open(const struct disk_options *o, struct disk_state *s,
		       GError **error);
void disk_close(struct disk *d);

/* Stores the group that this VM belongs to. */
bool disk_set_group(struct disk *d, uint64_t group, GError **error);

/*
 * Makes this VM a founding member of a group. The identity is one that all
 * founding members derive in the same way. SS_ERROR_CONFLICT if the folder
 * belongs to a group.
 */
bool disk_found_group(struct disk *d, uint64_t group, uint64_t id,
		      GError **error);

/* Implement the functions of the same names in struct ss_raft_ops. */
bool disk_save_vote(struct disk *d, uint64_t term, uint64_t vote,
		    GError **error);
bool disk_append(struct disk *d, const struct ss_raft_entry *e, size_t n,
		 GError **error);
bool disk_truncate(struct disk *d, uint64_t from, GError **error);
bool disk_sync(struct disk *d, GError **error);
/*
 * Appends a mark that states which entries are durable, so that a bad record at
 * the end of the log is recognized as corrupt rather than torn. Called when the
 * log is idle; syncs. A failure changes nothing.
 */
bool disk_mark(struct disk *d, GError **error);
bool disk_save_snapshot(struct disk *d, const struct ss_raft_snapshot *s,
			const struct ss_raft_entry *rest, size_t n,
			GError **error);

#endif
