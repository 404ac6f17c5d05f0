/* Durable storage of a control VM: files, records and recovery. */
#include "disk.h"

#include "../base/log.h"
#include "../base/wire.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

/* A sync that takes longer is logged: twice the election timeout, in ms. */
#define SLOW_SYNC_MS 1000
/* Version of the file format; any other is refused on open. */
#define FORMAT_VERSION 1
#define RECORD_HEAD 16 /* bytes: length 4, its checksum 4, body checksum 8 */
#define RECORD_MAX (64u * 1024 * 1024) /* bytes */

struct disk {
	char *folder;
	struct disk_io io;
	int dir_fd, lock_fd, log_fd;
	uint64_t group, id, term, vote;
	uint64_t first;	 /* index of the first record in the log file */
	GArray *offsets; /* file offset of each record */
	uint64_t end;	 /* file offset of the next record */
	uint64_t synced; /* index of the last durable entry */
	uint64_t marked; /* index of the last entry that a mark covers */
	/* Contents read on open. */
	GArray *entries;
	GPtrArray *buffers; /* GString; entries and snapshot point into them */
	struct ss_raft_members members;
};

/*
 * All kinds of records; each uses some of the fields. A log record without an
 * index is a mark: it only states which entries were durable before it.
 */
struct record {
	uint64_t version, group, id, term, vote;
	uint64_t index;
	int64_t kind;
	struct ss_str data, members;
	uint64_t synced; /* last index durable when this was written */
};

static const struct wire_field record_fields[] = {
	{ 1, WIRE_UINT, offsetof(struct record, version), NULL },
	{ 2, WIRE_UINT, offsetof(struct record, group), NULL },
	{ 3, WIRE_UINT, offsetof(struct record, id), NULL },
	{ 4, WIRE_UINT, offsetof(struct record, term), NULL },
	{ 5, WIRE_UINT, offsetof(struct record, vote), NULL },
	{ 6, WIRE_UINT, offsetof(struct record, index), NULL },
	{ 7, WIRE_INT, offsetof(struct record, kind), NULL },
	{ 8, WIRE_STR, offsetof(struct record, data), NULL },
	{ 9, WIRE_STR, offsetof(struct record, members), NULL },
	{ 10, WIRE_UINT, offsetof(struct record, synced), NULL },
};
static const struct wire_type record_type =
	WIRE_TYPE(struct record, record_fields);

/* Syncs a file and logs a slow sync. The whole process blocks on the disk, and
 * its peers can't distinguish a blocked process from a frozen or crashed
 * one. */
static int timed_sync(int fd)
{
	struct ss_clock clock;
	int64_t from, ms;
	int rc;

	ss_clock_init(&clock);
	from = ss_clock_now(&clock);
	rc = fdatasync(fd);
	ms = ss_clock_now(&clock) - from;
	if (ms >= SLOW_SYNC_MS)
		log_warn("slow_sync", "ms=%" PRId64, ms);
	return rc;
}

static const struct disk_io kernel_io = { pwrite, timed_sync };

static bool io_error(GError **error, const char *what, const char *name)
{
	g_set_error(error, SS_ERROR,
		    errno == ENOSPC || errno == EDQUOT ? SS_ERROR_DISK_FULL :
							 SS_ERROR_IO,
		    "%s %s: %s", what, name, g_strerror(errno));
	return false;
}

static void put_le(uint8_t *p, uint64_t v, int n)
{
	for (int i = 0; i < n; i++)
		p[i] = (uint8_t)(v >> (8 * i));
}

static uint64_t get_le(const uint8_t *p, int n)
{
	uint64_t v = 0;

	for (int i = 0; i < n; i++)
		v |= (uint64_t)p[i] << (8 * i);
	return v;
}

static uint64_t checksum(const char *p, size_t n)
{
	return XXH3_64bits_withSeed(p, n, n);
}

/*
 * The length has its own checksum: a flipped bit could make it point past the
 * end of the file, and the rest of the log would then be taken for torn.
 */
static uint32_t length_checksum(const uint8_t *length)
{
	return (uint32_t)XXH3_64bits(length, 4);
}

static void add_record(GString *out, const struct record *r)
{
	GString *body = wire_encode(&record_type, r);
	uint8_t head[RECORD_HEAD];

	put_le(head, body->len, 4);
	put_le(head + 4, length_checksum(head), 4);
	put_le(head + 8, checksum(body->str, body->len), 8);
	g_string_append_len(out, (char *)head, RECORD_HEAD);
	g_string_append_len(out, body->str, (gssize)body->len);
	g_string_free(body, TRUE);
}

static bool write_all(struct disk *d, int fd, const GString *s, uint64_t at)
{
	size_t done = 0;

	while (done < s->len) {
		ssize_t n = d->io.pwrite(fd, s->str + done, s->len - done,
					 (off_t)(at + done));

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		done += (size_t)n;
	}
	return true;
}

/*
 * Replaces a file atomically: a crash leaves the old one or the new one. The
 * folder is synced too, as the rename could be lost otherwise.
 */
static bool replace_file(struct disk *d, const char *name, const GString *s,
			 GError **error)
{
	char *tmp = g_strdup_printf("%s.new", name);
	int fd = openat(d->dir_fd, tmp, O_WRONLY | O_CREAT | O_TRUNC, 0600);
	bool ok = fd >= 0 && write_all(d, fd, s, 0) &&
		  d->io.fdatasync(fd) == 0 &&
		  renameat(d->dir_fd, tmp, d->dir_fd, name) == 0 &&
		  fsync(d->dir_fd) == 0;

	if (!ok)
		io_error(error, "write", name);
	if (fd >= 0)
		close(fd);
	g_free(tmp);
	return ok;
}

static bool read_file(struct disk *d, const char *name, GString **out,
		      GError **error)
{
	int fd = openat(d->dir_fd, name, O_RDONLY);
	char buf[65536];
	ssize_t n = 0;

	*out = g_string_new(NULL);
	g_ptr_array_add(d->buffers, *out);
	if (fd < 0)
		return errno == ENOENT || io_error(error, "open", name);
	while ((n = read(fd, buf, sizeof(buf))) > 0)
		g_string_append_len(*out, buf, n);
	close(fd);
	return n == 0 || io_error(error, "read", name);
}

enum parsed { PARSED, PARSED_TORN, PARSED_CORRUPT };

static bool all_zero(const char *p, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (p[i])
			return false;
	return true;
}

/*
 * Parses the record at an offset, and sets next to the offset after it. A
 * record that extends past the end of the file, or is all zeroes up to the
 * end, was being written when the VM stopped and is torn. A record of full
 * length with a wrong checksum may have been acknowledged, so it is corrupt.
 */
static enum parsed parse_record(const GString *s, size_t at, struct wire_buf *b,
				struct record *r, size_t *next)
{
	const uint8_t *head = (const uint8_t *)s->str + at;
	size_t left = s->len - at;
	uint64_t n;

	if (left < RECORD_HEAD || all_zero(s->str + at, left))
		return PARSED_TORN;
	n = get_le(head, 4);
	if (n > RECORD_MAX || get_le(head + 4, 4) != length_checksum(head))
		return PARSED_CORRUPT;
	if (n > left - RECORD_HEAD)
		return PARSED_TORN;
	if (get_le(head + 8, 8) != checksum(s->str + at + RECORD_HEAD, n))
		return PARSED_CORRUPT;
	*next = at + RECORD_HEAD + n;
	if (wire_decode(b, (struct ss_str){ s->str + at + RECORD_HEAD, n },
			&record_type, r))
		return PARSED;
	wire_buf_clear(b);
	return PARSED_CORRUPT;
}

static bool corrupt(const struct disk *d, GError **error, const char *name,
		    size_t at)
{
	g_set_error(error, SS_ERROR, SS_ERROR_CORRUPT,
		    "%s/%s: corrupt record at byte %zu; move the folder away "
		    "and let this VM join again",
		    d->folder, name, at);
	return false;
}

static bool save_meta(struct disk *d, GError **error)
{
	struct record r = { .version = FORMAT_VERSION,
			    .group = d->group,
			    .id = d->id,
			    .term = d->term,
			    .vote = d->vote };
	GString *s = g_string_new(NULL);
	bool ok;

	add_record(s, &r);
	ok = replace_file(d, "meta", s, error);
	g_string_free(s, TRUE);
	return ok;
}

static bool load_meta(struct disk *d, GError **error)
{
	GString *s;
	struct wire_buf b;
	struct record r;
	size_t next;

	if (!read_file(d, "meta", &s, error))
		return false;
	if (s->len == 0) {
		/*
		 * An empty folder may replace a lost disk. It gets a new
		 * identity, so that it can't vote again as the member whose
		 * votes it no longer has.
		 */
		d->id = ss_unique_id();
		return save_meta(d, error);
	}
	if (parse_record(s, 0, &b, &r, &next) != PARSED)
		return corrupt(d, error, "meta", 0);
	wire_buf_clear(&b);
	if (r.version != FORMAT_VERSION) {
		g_set_error(error, SS_ERROR, SS_ERROR_VERSION,
			    "%s: data format %" PRIu64
			    ", this program supports %d",
			    d->folder, r.version, FORMAT_VERSION);
		return false;
	}
	d->group = r.group;
	d->id = r.id;
	d->term = r.term;
	d->vote = r.vote;
	return true;
}

static bool load_snapshot(struct disk *d, struct ss_raft_snapshot *snap,
			  GError **error)
{
	GString *s;
	struct wire_buf b;
	struct record r;
	size_t next;
	bool ok;

	if (!read_file(d, "snapshot", &s, error))
		return false;
	if (s->len == 0)
		return true;
	if (parse_record(s, 0, &b, &r, &next) != PARSED)
		return corrupt(d, error, "snapshot", 0);
	ok = ss_raft_decode_members(r.members, &d->members);
	snap->index = r.index;
	snap->term = r.term;
	snap->data = r.data; /* points into the buffer, which is kept */
	snap->members = d->members;
	wire_buf_clear(&b);
	return ok || corrupt(d, error, "snapshot", 0);
}

/*
 * Returns true if a record after a bad one proves that the entry at the bad
 * record was durable. After a power loss each write since the last sync is
 * independently present, missing or torn, so a hole may be followed by complete
 * records. These were never acknowledged and may be truncated; truncating a
 * durable entry would revoke what this VM acknowledged to the group.
 */
static bool was_durable(const GString *s, size_t from, uint64_t index)
{
	for (size_t at = from + 1; at + RECORD_HEAD <= s->len; at++) {
		struct wire_buf b;
		struct record r;
		size_t next;

		if (parse_record(s, at, &b, &r, &next) != PARSED)
			continue;
		wire_buf_clear(&b);
		if (r.synced >= index)
			return true;
	}
	return false;
}

static uint64_t next_index(const struct disk *d, const struct disk_state *st)
{
	return d->offsets->len ? d->first + d->offsets->len :
				 st->snapshot.index + 1;
}

static bool load_log(struct disk *d, struct disk_state *st, GError **error)
{
	GString *s;
	size_t at = 0, next = 0;
	bool replaced = false;

	if (!read_file(d, "log", &s, error))
		return false;
	for (; at < s->len; at = next) {
		struct wire_buf b;
		struct record r;
		struct ss_raft_entry e;
		enum parsed p = parse_record(s, at, &b, &r, &next);

		if (p == PARSED_CORRUPT &&
		    was_durable(s, at, next_index(d, st)))
			return corrupt(d, error, "log", at);
		if (p != PARSED)
			break;
		e = (struct ss_raft_entry){ r.index, r.term, r.kind, r.data };
		wire_buf_clear(&b);
		if (r.index == 0)
			continue;
		if (d->offsets->len == 0)
			d->first = e.index;
		else if (e.index != d->first + d->offsets->len)
			return corrupt(d, error, "log", at);
		g_array_append_val(d->offsets, at);
		/*
		 * A snapshot that replaced the end of this log was stored, but
		 * the new log wasn't: the entries that follow are stale.
		 */
		replaced |= e.index == st->snapshot.index &&
			    e.term != st->snapshot.term;
		if (e.index > st->snapshot.index && !replaced)
			g_array_append_val(d->entries, e);
	}
	st->truncated_bytes = s->len - at;
	d->end = at;
	if (st->truncated_bytes && ftruncate(d->log_fd, (off_t)at))
		return io_error(error, "cut", "log");
	/* The data that was read may be in the page cache only. */
	if (s->len && d->io.fdatasync(d->log_fd))
		return io_error(error, "sync", "log");
	d->synced = next_index(d, st) - 1;
	return true;
}

/* Replaces the log file by one that holds these entries only. */
static bool rewrite_log(struct disk *d, const struct ss_raft_entry *e, size_t n,
			uint64_t first, GError **error)
{
	GString *s = g_string_new(NULL);
	bool ok;
	int fd;

	g_array_set_size(d->offsets, 0);
	d->first = first;
	/* The file is durable before it is renamed into place. */
	d->synced = d->marked = first + n - 1;
	for (size_t i = 0; i < n; i++) {
		struct record r = { .index = e[i].index,
				    .term = e[i].term,
				    .kind = e[i].kind,
				    .data = e[i].data,
				    .synced = d->synced };
		size_t at = s->len;

		g_array_append_val(d->offsets, at);
		add_record(s, &r);
	}
	d->end = s->len;
	ok = replace_file(d, "log", s, error);
	g_string_free(s, TRUE);
	if (!ok)
		return false;
	fd = openat(d->dir_fd, "log", O_RDWR);
	if (fd < 0)
		return io_error(error, "open", "log");
	close(d->log_fd);
	d->log_fd = fd;
	return true;
}

static bool open_files(struct disk *d, GError **error)
{
	if (g_mkdir_with_parents(d->folder, 0700))
		return io_error(error, "make", d->folder);
	d->dir_fd = open(d->folder, O_RDONLY | O_DIRECTORY);
	if (d->dir_fd < 0)
		return io_error(error, "open", d->folder);
	d->lock_fd = openat(d->dir_fd, "lock", O_RDWR | O_CREAT, 0600);
	if (d->lock_fd < 0)
		return io_error(error, "open", "lock");
	if (flock(d->lock_fd, LOCK_EX | LOCK_NB)) {
		g_set_error(error, SS_ERROR, SS_ERROR_CONFLICT,
			    "%s is in use by another process", d->folder);
		return false;
	}
	d->log_fd = openat(d->dir_fd, "log", O_RDWR | O_CREAT, 0600);
	if (d->log_fd < 0)
		return io_error(error, "open", "log");
	return true;
}

static void free_buffer(void *s)
{
	g_string_free(s, TRUE);
}

struct disk *disk_open(const struct disk_options *o, struct disk_state *s,
		       GError **error)
{
	struct disk *d = g_new0(struct disk, 1);

	memset(s, 0, sizeof(*s));
	d->folder = g_strdup(o->folder);
	d->io = o->io ? *o->io : kernel_io;
	d->dir_fd = d->lock_fd = d->log_fd = -1;
	d->offsets = g_array_new(FALSE, FALSE, sizeof(size_t));
	d->entries = g_array_new(FALSE, FALSE, sizeof(struct ss_raft_entry));
	d->buffers = g_ptr_array_new_with_free_func(free_buffer);
	if (!open_files(d, error) || !load_meta(d, error) ||
	    !load_snapshot(d, &s->snapshot, error) || !load_log(d, s, error))
		goto fail;
	s->group = d->group;
	s->id = d->id;
	s->term = d->term;
	s->vote = d->vote;
	s->entries = (struct ss_raft_entry *)d->entries->data;
	s->n_entries = d->entries->len;
	if (s->n_entries != d->offsets->len &&
	    !rewrite_log(d, s->entries, s->n_entries, s->snapshot.index + 1,
			 error))
		goto fail;
	if (d->offsets->len == 0)
		d->first = s->snapshot.index + 1;
	return d;
fail:
	disk_close(d);
	return NULL;
}

void disk_close(struct disk *d)
{
	if (!d)
		return;
	if (d->log_fd >= 0 && d->lock_fd >= 0)
		disk_mark(d, NULL);
	if (d->log_fd >= 0)
		close(d->log_fd);
	if (d->lock_fd >= 0)
		close(d->lock_fd);
	if (d->dir_fd >= 0)
		close(d->dir_fd);
	g_array_unref(d->offsets);
	g_array_unref(d->entries);
	g_ptr_array_unref(d->buffers);
	ss_raft_clear_members(&d->members);
	g_free(d->folder);
	g_free(d);
}

bool disk_set_group(struct disk *d, uint64_t group, GError **error)
{
	uint64_t old = d->group;

	d->group = group;
	if (save_meta(d, error))
		return true;
	d->group = old;
	return false;
}

bool disk_found_group(struct disk *d, uint64_t group, uint64_t id,
		      GError **error)
{
	uint64_t old = d->id;

	if (d->group) {
		g_set_error(error, SS_ERROR, SS_ERROR_CONFLICT,
			    "%s belongs to a group already", d->folder);
		return false;
	}
	d->id = id;
	if (disk_set_group(d, group, error))
		return true;
	d->id = old;
	return false;
}

bool disk_save_vote(struct disk *d, uint64_t term, uint64_t vote,
		    GError **error)
{
	uint64_t old_term = d->term, old_vote = d->vote;

	d->term = term;
	d->vote = vote;
	if (save_meta(d, error))
		return true;
	d->term = old_term;
	d->vote = old_vote;
	return false;
}

bool disk_append(struct disk *d, const struct ss_raft_entry *e, size_t n,
		 GError **error)
{
	GString *s = g_string_new(NULL);
	guint old_len = d->offsets->len;
	bool ok;

	for (size_t i = 0; i < n; i++) {
		struct record r = { .index = e[i].index,
				    .term = e[i].term,
				    .kind = e[i].kind,
				    .data = e[i].data,
				    .synced = d->synced };
		size_t at = d->end + s->len;

		g_array_append_val(d->offsets, at);
		add_record(s, &r);
	}
	ok = write_all(d, d->log_fd, s, d->end);
	if (ok) {
		d->end += s->len;
	} else {
		io_error(error, "append to", "log");
		/* A partial record must not precede the next one. */
		if (ftruncate(d->log_fd, (off_t)d->end) == 0)
			g_array_set_size(d->offsets, old_len);
	}
	g_string_free(s, TRUE);
	return ok;
}

bool disk_truncate(struct disk *d, uint64_t from, GError **error)
{
	uint64_t at = from - d->first;

	if (from < d->first || at >= d->offsets->len)
		return true;
	d->end = g_array_index(d->offsets, size_t, at);
	g_array_set_size(d->offsets, (guint)at);
	d->synced = MIN(d->synced, from - 1);
	d->marked = MIN(d->marked, d->synced);
	/*
	 * The truncation is synced immediately: otherwise a power loss could
	 * undo it and keep the next writes, and old entries would follow new
	 * ones.
	 */
	if (ftruncate(d->log_fd, (off_t)d->end) || d->io.fdatasync(d->log_fd))
		return io_error(error, "cut", "log");
	return true;
}

bool disk_sync(struct disk *d, GError **error)
{
	if (d->io.fdatasync(d->log_fd))
		return io_error(error, "sync", "log");
	if (d->offsets->len)
		d->synced = d->first + d->offsets->len - 1;
	return true;
}

bool disk_mark(struct disk *d, GError **error)
{
	struct record r = { .synced = d->synced };
	GString *s;
	bool ok;

	if (d->marked >= d->synced)
		return true;
	s = g_string_new(NULL);
	add_record(s, &r);
	ok = write_all(d, d->log_fd, s, d->end) &&
	     d->io.fdatasync(d->log_fd) == 0;
	if (ok) {
		d->end += s->len;
		d->marked = d->synced;
	} else {
		io_error(error, "mark", "log");
		/* The next append overwrites a partial mark. */
		(void)!ftruncate(d->log_fd, (off_t)d->end);
	}
	g_string_free(s, TRUE);
	return ok;
}

bool disk_save_snapshot(struct disk *d, const struct ss_raft_snapshot *snap,
			const struct ss_raft_entry *rest, size_t n,
			GError **error)
{
	GString *members = ss_raft_encode_members(&snap->members);
	struct record r = { .version = FORMAT_VERSION,
			    .index = snap->index,
			    .term = snap->term,
			    .data = snap->data,
			    .members = ss_str_gs(members) };
	GString *s = g_string_new(NULL);
	bool ok;

	add_record(s, &r);
	ok = replace_file(d, "snapshot", s, error) &&
	     rewrite_log(d, rest, n, snap->index + 1, error);
	g_string_free(s, TRUE);
	g_string_free(members, TRUE);
	return ok;
}
