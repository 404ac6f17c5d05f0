/*
 * The control VM's data folder: identity and vote, the log, the snapshot.
 *
 *   meta      group, identity, term and vote; replaced whole
 *   snapshot  state up to an entry; replaced whole
 *   log       records: length, checksum, entry; only appended or cut
 *   lock      held while a process uses the folder
 */
#ifndef SS_DISK_H
#define SS_DISK_H

#include <sapphireshift/raft.h>

#include <sys/types.h>

/* The calls that can fail on a bad disk; a test puts its own here. */
struct disk_io {
	ssize_t (*pwrite)(int fd, const void *buf, size_t n, off_t at);
	int (*fdatasync)(int fd);
};

struct disk_options {
	const char *folder;	  /* made where it doesn't exist */
	const struct disk_io *io; /* NULL: the kernel's */
};

/* What a folder held; the pointers live as long as the disk is open. */
struct disk_state {
	uint64_t group; /* 0: a new folder that belongs to no group yet */
	uint64_t id;	/* this folder's identity */
	uint64_t term, vote;
	struct ss_raft_snapshot snapshot;
	const struct ss_raft_entry *entries;
	size_t n_entries;
	uint64_t cut_bytes; /* a torn tail that was cut off */
};

struct disk;

/*
 * Open a folder and read it. What was written after the last sync may be
 * torn or missing in parts; it is cut, since nothing in it was acknowledged.
 * Errors: SS_ERROR_CORRUPT for a whole record with a wrong checksum, which is
 * never cut; SS_ERROR_IO; SS_ERROR_CONFLICT where another process holds the
 * folder.
 */
struct disk *disk_open(const struct disk_options *o, struct disk_state *s,
		       GError **error);
void disk_close(struct disk *d);

/* Join a group; with members, be the first of it (bootstrap). */
bool disk_set_group(struct disk *d, uint64_t group, GError **error);

/*
 * Be one of the first members of a group, under an identity that all of
 * them work out alike. SS_ERROR_CONFLICT where the folder has a group.
 */
bool disk_found_group(struct disk *d, uint64_t group, uint64_t id,
		      GError **error);

/* As the functions of the same names in struct ss_raft_ops. */
bool disk_save_vote(struct disk *d, uint64_t term, uint64_t vote,
		    GError **error);
bool disk_append(struct disk *d, const struct ss_raft_entry *e, size_t n,
		 GError **error);
bool disk_truncate(struct disk *d, uint64_t from, GError **error);
bool disk_sync(struct disk *d, GError **error);
/*
 * Tell in the log itself what is durable, so that a bad record at its end
 * is known for corrupt and not for torn. To be called once the log rests;
 * it syncs. A failure changes nothing.
 */
bool disk_mark(struct disk *d, GError **error);
bool disk_save_snapshot(struct disk *d, const struct ss_raft_snapshot *s,
			const struct ss_raft_entry *rest, size_t n,
			GError **error);

#endif
