/* The data folder with torn and corrupt files, full disks and lost disks. */
#include "unit.h"

#include "../src/disk/disk.h"

#include <errno.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

static char folder[] = "/tmp/ss-disk-XXXXXX";

static int fail_sync, fail_write_after = -1;

static ssize_t test_pwrite(int fd, const void *buf, size_t n, off_t at)
{
	if (fail_write_after == 0) {
		errno = ENOSPC;
		return -1;
	}
	/* A full disk accepts part of the last write. */
	if (fail_write_after > 0) {
		fail_write_after = 0;
		return pwrite(fd, buf, n / 2, at);
	}
	return pwrite(fd, buf, n, at);
}

static int test_sync(int fd)
{
	if (fail_sync) {
		errno = EIO;
		return -1;
	}
	return fdatasync(fd);
}

static const struct disk_io test_io = { test_pwrite, test_sync };

static struct disk *open_disk(struct disk_state *s, GError **error)
{
	struct disk_options o = { .folder = folder, .io = &test_io };

	return disk_open(&o, s, error);
}

static char *path_of(const char *name)
{
	return g_build_filename(folder, name, NULL);
}

static void wipe(void)
{
	static const char *const names[] = { "log", "meta", "snapshot",
					     "lock" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		char *p = path_of(names[i]);

		unlink(p);
		g_free(p);
	}
	fail_sync = 0;
	fail_write_after = -1;
}

static struct ss_raft_entry entry(uint64_t index, uint64_t term)
{
	return (struct ss_raft_entry){ .index = index,
				       .term = term,
				       .kind = SS_RAFT_DATA,
				       .data = SS_LIT("change") };
}

static void append(struct disk *d, uint64_t from, uint64_t to)
{
	for (uint64_t i = from; i <= to; i++) {
		struct ss_raft_entry e = entry(i, 1);

		assert_true(disk_append(d, &e, 1, NULL));
	}
}

/* Closes as on a power loss: nothing more is written. */
static void crash(struct disk *d)
{
	fail_write_after = 0;
	disk_close(d);
	fail_write_after = -1;
}

static struct disk *fill_open(uint64_t n)
{
	struct disk_state s;
	struct disk *d;

	wipe();
	d = open_disk(&s, NULL);
	assert_non_null(d);
	append(d, 1, n);
	assert_true(disk_sync(d, NULL));
	return d;
}

/* Creates a folder with entries 1 to n, synced, and the mark for them. */
static void fill(uint64_t n)
{
	disk_close(fill_open(n));
}

/* Same as fill(), without the mark. */
static void fill_crash(uint64_t n)
{
	crash(fill_open(n));
}

static size_t log_size(void)
{
	char *p = path_of("log");
	struct stat st;

	assert_int_equal(stat(p, &st), 0);
	g_free(p);
	return (size_t)st.st_size;
}

static void truncate_log(size_t to)
{
	char *p = path_of("log");

	assert_int_equal(truncate(p, (off_t)to), 0);
	g_free(p);
}

static void flip(const char *name, size_t at)
{
	char *p = path_of(name);
	int fd = open(p, O_RDWR);
	unsigned char c;

	assert_int_equal(pread(fd, &c, 1, (off_t)at), 1);
	c ^= 0x40;
	assert_int_equal(pwrite(fd, &c, 1, (off_t)at), 1);
	close(fd);
	g_free(p);
}

/*
 * A power loss during a write leaves a file that ends inside a record. The VM
 * must start without the partial record. All possible lengths are tried.
 */
static void torn_tail_is_truncated(void **state)
{
	size_t whole, three;

	(void)state;
	fill_crash(3);
	three = log_size();
	fill_crash(4);
	whole = log_size();
	for (size_t n = three; n < whole; n++) {
		struct disk_state s;
		struct disk *d;

		fill_crash(4);
		truncate_log(n);
		d = open_disk(&s, NULL);
		assert_non_null(d);
		assert_int_equal(s.n_entries, 3);
		assert_int_equal(s.truncated_bytes, n - three);
		disk_close(d);
	}
}

/*
 * A power loss before a sync can lose the first of two records and keep the
 * second. The hole must not be taken for a corrupt durable record, or the VM
 * never starts again. Neither record was acknowledged, so both are truncated.
 */
static void unsynced_hole_is_truncated(void **state)
{
	size_t from, one;
	struct disk_state s;
	struct disk *d;
	char *zeroes, *p = path_of("log");
	int fd;

	(void)state;
	fill(2);
	from = log_size();
	d = open_disk(&s, NULL);
	append(d, 3, 4);
	crash(d);
	one = (log_size() - from) / 2;
	zeroes = g_malloc0(one);
	fd = open(p, O_RDWR);
	assert_int_equal(pwrite(fd, zeroes, one, (off_t)from), one);
	close(fd);
	g_free(zeroes);
	g_free(p);
	d = open_disk(&s, NULL);
	assert_non_null(d);
	assert_int_equal(s.n_entries, 2);
	assert_int_equal(s.truncated_bytes, 2 * one);
	append(d, 3, 3);
	assert_true(disk_sync(d, NULL));
	disk_close(d);
	d = open_disk(&s, NULL);
	assert_int_equal(s.n_entries, 3);
	disk_close(d);
}

/* A file system may leave zeroes at the end for an unsynced write. */
static void zero_tail_is_truncated(void **state)
{
	struct disk_state s;
	struct disk *d;

	(void)state;
	fill(3);
	truncate_log(log_size() + 100);
	d = open_disk(&s, NULL);
	assert_non_null(d);
	assert_int_equal(s.n_entries, 3);
	disk_close(d);
}

/*
 * A bit flips in a stored record. If the reader took the first bad record for
 * the end of the log, or a length that grew for a torn record, accepted changes
 * would be lost on restart. A flip in any entry must be refused; a flip in the
 * mark after the entries loses nothing.
 */
static void corrupt_record_is_refused(void **state)
{
	size_t entries, size;

	(void)state;
	fill_crash(4);
	entries = log_size();
	fill(4);
	size = log_size();
	assert_true(size > entries);
	for (size_t at = 0; at < size; at++) {
		struct disk_state s;
		GError *error = NULL;
		struct disk *d;

		fill(4);
		flip("log", at);
		d = open_disk(&s, &error);
		if (at >= entries) {
			assert_non_null(d);
			assert_int_equal(s.n_entries, 4);
			disk_close(d);
			continue;
		}
		assert_null(d);
		assert_int_equal(error->code, SS_ERROR_CORRUPT);
		g_error_free(error);
	}
}

struct corrupt_file {
	const char *label, *name;
};

static const struct corrupt_file corrupt_files[] = {
	{ "identity and vote", "meta" },
	{ "snapshot", "snapshot" },
};

static void corrupt_file_is_refused(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(corrupt_files); i++) {
		struct ss_raft_snapshot snap = { .index = 2,
						 .term = 1,
						 .data = SS_LIT("state") };
		struct disk_state s;
		GError *error = NULL;
		struct disk *d;

		fill(2);
		d = open_disk(&s, NULL);
		assert_true(disk_save_snapshot(d, &snap, NULL, 0, NULL));
		disk_close(d);
		flip(corrupt_files[i].name, 20);
		assert_null(open_disk(&s, &error));
		assert_int_equal(error->code, SS_ERROR_CORRUPT);
		g_error_free(error);
	}
}

static void append_works_after_disk_full(void **state)
{
	struct ss_raft_entry e = entry(3, 1);
	struct disk_state s;
	GError *error = NULL;
	struct disk *d;

	(void)state;
	fill(2);
	d = open_disk(&s, NULL);
	fail_write_after = 1;
	assert_false(disk_append(d, &e, 1, &error));
	assert_int_equal(error->code, SS_ERROR_DISK_FULL);
	g_clear_error(&error);
	/* With space again, the entry replaces the partial one. */
	fail_write_after = -1;
	assert_true(disk_append(d, &e, 1, NULL));
	assert_true(disk_sync(d, NULL));
	disk_close(d);
	d = open_disk(&s, NULL);
	assert_int_equal(s.n_entries, 3);
	disk_close(d);
}

static void failed_sync_is_reported(void **state)
{
	struct disk_state s;
	GError *error = NULL;
	struct disk *d;

	(void)state;
	fill(1);
	d = open_disk(&s, NULL);
	fail_sync = 1;
	assert_false(disk_sync(d, &error));
	assert_int_equal(error->code, SS_ERROR_IO);
	g_clear_error(&error);
	assert_false(disk_save_vote(d, 9, 9, &error));
	g_clear_error(&error);
	fail_sync = 0;
	disk_close(d);
	d = open_disk(&s, NULL);
	assert_int_equal(s.term, 0);
	disk_close(d);
}

/*
 * A member that restarts with an empty folder after losing its disk has lost
 * its vote. Under its old identity it could vote twice in a term.
 */
static void lost_disk_gets_new_identity(void **state)
{
	struct disk_state a, b;
	struct disk *d;

	(void)state;
	wipe();
	d = open_disk(&a, NULL);
	assert_true(disk_set_group(d, 77, NULL));
	disk_close(d);
	d = open_disk(&b, NULL);
	assert_true(b.id == a.id && b.group == 77);
	disk_close(d);
	wipe();
	d = open_disk(&b, NULL);
	assert_true(b.id != a.id && b.group == 0);
	disk_close(d);
}

static void second_process_is_refused(void **state)
{
	struct disk_state s, t;
	GError *error = NULL;
	struct disk *d;

	(void)state;
	fill(1);
	d = open_disk(&s, NULL);
	assert_null(open_disk(&t, &error));
	assert_int_equal(error->code, SS_ERROR_CONFLICT);
	g_error_free(error);
	disk_close(d);
}

static void snapshot_replaces_the_log(void **state)
{
	struct ss_raft_entry rest[] = { entry(4, 2), entry(5, 2) };
	struct ss_raft_member m = {
		.id = 9, .name = SS_LIT("n"), .addr = SS_LIT("a"), .voter = true
	};
	struct ss_raft_snapshot snap = { .index = 3,
					 .term = 2,
					 .members = { &m, 1 },
					 .data = SS_LIT("state") };
	struct ss_raft_entry next = entry(6, 2);
	struct disk_state s;
	struct disk *d;

	(void)state;
	fill(5);
	d = open_disk(&s, NULL);
	assert_true(disk_save_snapshot(d, &snap, rest, 2, NULL));
	assert_true(disk_append(d, &next, 1, NULL));
	assert_true(disk_truncate(d, 6, NULL));
	assert_true(disk_append(d, &next, 1, NULL));
	assert_true(disk_sync(d, NULL));
	disk_close(d);
	d = open_disk(&s, NULL);
	assert_non_null(d);
	assert_int_equal(s.snapshot.index, 3);
	assert_int_equal(s.snapshot.members.n, 1);
	assert_int_equal(s.n_entries, 3);
	assert_int_equal(s.entries[0].index, 4);
	disk_close(d);
}

/*
 * The VM stops after it stored a snapshot and before it stored the new log. The
 * old log continues after the snapshot's index with another term; its entries
 * were replaced and must not come back.
 */
static void old_log_after_snapshot_is_dropped(void **state)
{
	struct ss_raft_snapshot snap = { .index = 3,
					 .term = 5,
					 .data = SS_LIT("state") };
	struct disk_state s;
	char *log = path_of("log");
	char *bytes;
	gsize n;
	struct disk *d;

	(void)state;
	fill(5);
	assert_true(g_file_get_contents(log, &bytes, &n, NULL));
	d = open_disk(&s, NULL);
	assert_true(disk_save_snapshot(d, &snap, NULL, 0, NULL));
	disk_close(d);
	assert_true(g_file_set_contents(log, bytes, (gssize)n, NULL));
	d = open_disk(&s, NULL);
	assert_non_null(d);
	assert_int_equal(s.n_entries, 0);
	disk_close(d);
	g_free(bytes);
	g_free(log);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(torn_tail_is_truncated),
		cmocka_unit_test(unsynced_hole_is_truncated),
		cmocka_unit_test(zero_tail_is_truncated),
		cmocka_unit_test(corrupt_record_is_refused),
		cmocka_unit_test(corrupt_file_is_refused),
		cmocka_unit_test(append_works_after_disk_full),
		cmocka_unit_test(failed_sync_is_reported),
		cmocka_unit_test(lost_disk_gets_new_identity),
		cmocka_unit_test(second_process_is_refused),
		cmocka_unit_test(snapshot_replaces_the_log),
		cmocka_unit_test(old_log_after_snapshot_is_dropped),
	};
	int failed;

	assert(mkdtemp(folder));
	failed = cmocka_run_group_tests_name("disk", tests, NULL, NULL);
	wipe();
	rmdir(folder);
	return failed;
}
