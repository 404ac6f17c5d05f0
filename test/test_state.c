/* The replicated state: conflicts, resends, memory and claims. */
#include "unit.h"

#include "../src/core/state.h"

#define GB (1ull << 30)

static uint64_t next_index;

static struct command_result apply(struct ss_state *s, struct command *c)
{
	GString *bytes = ss_command_encode(c);
	struct command_result r;

	ss_state_apply(s, ++next_index, ss_str_gs(bytes), &r);
	g_string_free(bytes, TRUE);
	return r;
}

static struct command_result put_preset(struct ss_state *s, const char *name,
					uint64_t expect, const char *id)
{
	struct preset_rec p = { .name = ss_str(name), .body = SS_LIT("{}") };
	struct command c = { .kind = COMMAND_PRESET_PUT,
			     .preset = &p,
			     .expect = expect,
			     .change_id = ss_str(id) };

	return apply(s, &c);
}

static struct command_result switch_preset(struct ss_state *s, const char *name,
					   uint64_t expect, const char *id)
{
	struct preset_rec p = { .name = ss_str(name) };
	struct command c = { .kind = COMMAND_PRESET_SWITCH,
			     .preset = &p,
			     .expect = expect,
			     .change_id = ss_str(id) };

	return apply(s, &c);
}

static void add_node(struct ss_state *s, const char *name, uint64_t bytes,
		     uint64_t incarnation)
{
	struct node_rec n = { .name = ss_str(name),
			      .kind = NODE_ENGINE,
			      .bytes = bytes,
			      .incarnation = incarnation };
	struct command c = { .kind = COMMAND_NODE_PUT, .node = &n };

	assert_int_equal(apply(s, &c).code, 0);
}

static struct command_result add_replica(struct ss_state *s, const char *model,
					 const char *base, const char *node,
					 uint64_t bytes, uint64_t expect)
{
	struct replica_rec r = { .model = ss_str(model),
				 .base = ss_str(base),
				 .node = ss_str(node),
				 .bytes = bytes };
	struct command c = { .kind = COMMAND_REPLICA_ADD,
			     .replica = &r,
			     .expect = expect };

	return apply(s, &c);
}

static int64_t set_replica(struct ss_state *s, uint64_t id, int64_t to)
{
	struct replica_rec r = { .id = id, .state = to };
	struct command c = { .kind = COMMAND_REPLICA_STATE, .replica = &r };

	return apply(s, &c).code;
}

/* The state as restored from a snapshot, as by a member that was down. */
static struct ss_state *restored(struct ss_state *s)
{
	GString *snapshot = ss_state_snapshot(s);
	struct ss_state *t = ss_state_new();

	assert_true(ss_state_restore(t, ss_str_gs(snapshot)));
	g_string_free(snapshot, TRUE);
	ss_state_free(s);
	return t;
}

/*
 * Two operators change the same version of a preset. If both changes were
 * accepted, each operator would believe that theirs is in force.
 */
static void equal_versions_have_one_winner(void **state)
{
	struct ss_state *s = ss_state_new();
	uint64_t v = put_preset(s, "a", 0, "c1").version;
	struct command_result one = put_preset(s, "a", v, "c2");
	struct command_result two = put_preset(s, "a", v, "c3");

	(void)state;
	assert_int_equal(one.code, 0);
	assert_int_equal(two.code, SS_ERROR_CONFLICT);
	assert_int_equal(two.version, one.version);
	assert_int_equal(put_preset(s, "a", 0, "c4").code, SS_ERROR_CONFLICT);
	ss_state_free(s);
}

/*
 * An operator who lost the answer resends a change with the same id, perhaps
 * after a snapshot. If its result weren't stored, the change would be applied
 * twice, or would conflict with its own first copy.
 */
static void resend_gets_the_same_answer(void **state)
{
	struct ss_state *s = ss_state_new();
	struct command_result a, b;
	uint64_t v;

	(void)state;
	put_preset(s, "a", 0, "c1");
	a = switch_preset(s, "a", 0, "c2");
	b = switch_preset(s, "a", 0, "c2");
	assert_true(!a.code && !b.code && b.resend && a.version == b.version);
	assert_int_equal(switch_preset(s, "a", 0, "c3").code,
			 SS_ERROR_CONFLICT);
	v = a.version;
	s = restored(s);
	b = switch_preset(s, "a", 0, "c2");
	assert_true(b.resend && b.version == v);
	/* A refused change gets the same answer, too. */
	b = switch_preset(s, "a", 0, "c3");
	assert_true(b.resend && b.code == SS_ERROR_CONFLICT);
	assert_int_equal(ss_state_config_version(s), v);
	ss_state_free(s);
}

/* Guards against a control group whose preset in force no longer exists. */
static void preset_in_force_is_not_deleted(void **state)
{
	struct preset_rec p = { .name = SS_LIT("a") };
	struct command c = { .kind = COMMAND_PRESET_DELETE, .preset = &p };
	struct ss_state *s = ss_state_new();
	uint64_t version;

	(void)state;
	c.expect = put_preset(s, "a", 0, "c1").version;
	assert_int_equal(switch_preset(s, "b", 0, "c2").code,
			 SS_ERROR_NOT_FOUND);
	switch_preset(s, "a", 0, "c3");
	assert_int_equal(apply(s, &c).code, SS_ERROR_CONFLICT);
	/* A change of the preset in force makes a new configuration. */
	version = put_preset(s, "a", c.expect, "c4").version;
	assert_int_equal(version, ss_state_config_version(s));
	ss_state_free(s);
}

struct add_case {
	const char *label, *model, *base, *node;
	uint64_t bytes, expect;
	int64_t code;
};

/* Node n1 holds model "m" of 6 GB, n3 is draining; every node has 10 GB. */
static const struct add_case adds[] = {
	{ "fits beside it", "x", "", "n1", 4 * GB, 0, 0 },
	{ "a byte too many", "x", "", "n1", 4 * GB + 1, 0, SS_ERROR_MEMORY },
	{ "based on an old count", "m", "", "n2", GB, 0, SS_ERROR_CONFLICT },
	{ "based on the current count", "m", "", "n2", GB, 1, 0 },
	{ "twice on a node", "m", "", "n1", GB, 1, SS_ERROR_CONFLICT },
	{ "adapter beside its base", "m:a", "m", "n1", GB, 0, 0 },
	{ "adapter without its base", "m:a", "m", "n2", GB, 0,
	  SS_ERROR_CONFLICT },
	{ "on an unknown node", "x", "", "n9", GB, 0, SS_ERROR_UNAVAILABLE },
	{ "on a draining node", "x", "", "n3", GB, 0, SS_ERROR_UNAVAILABLE },
};

static void replicas_respect_memory_and_count(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(adds); i++) {
		struct node_rec n = { .name = SS_LIT("n3"),
				      .state = NODE_DRAINING };
		struct command c = { .kind = COMMAND_NODE_STATE, .node = &n };
		struct ss_state *s = ss_state_new();

		add_node(s, "n1", 10 * GB, 1);
		add_node(s, "n2", 10 * GB, 1);
		add_node(s, "n3", 10 * GB, 1);
		apply(s, &c);
		add_replica(s, "m", "", "n1", 6 * GB, 0);
		s = restored(s);
		assert_int_equal(add_replica(s, adds[i].model, adds[i].base,
					     adds[i].node, adds[i].bytes,
					     adds[i].expect)
					 .code,
				 adds[i].code);
		ss_state_free(s);
	}
}

/*
 * An unload is ordered during a load, and "ready" arrives after that. If it
 * overwrote the order, the replica's memory could be given to another model
 * while the load still runs.
 */
static void memory_is_freed_after_the_unload(void **state)
{
	struct ss_state *s = ss_state_new();
	uint64_t id;

	(void)state;
	add_node(s, "n1", 10 * GB, 1);
	id = add_replica(s, "m", "", "n1", 8 * GB, 0).version;
	assert_int_equal(set_replica(s, id, REPLICA_GONE), SS_ERROR_CONFLICT);
	assert_int_equal(set_replica(s, id, REPLICA_UNLOADING), 0);
	assert_int_equal(set_replica(s, id, REPLICA_READY), SS_ERROR_CONFLICT);
	assert_int_equal(add_replica(s, "x", "", "n1", 8 * GB, 0).code,
			 SS_ERROR_MEMORY);
	assert_int_equal(set_replica(s, id, REPLICA_GONE), 0);
	assert_int_equal(ss_state_reserved(s, "n1"), 0);
	assert_int_equal(add_replica(s, "x", "", "n1", 8 * GB, 0).code, 0);
	ss_state_free(s);
}

/* A state of an old VM doesn't apply to a new VM of the same name. */
static void state_of_old_incarnation_is_refused(void **state)
{
	struct node_rec n = { .name = SS_LIT("n1"),
			      .state = NODE_GONE,
			      .incarnation = 1 };
	struct command c = { .kind = COMMAND_NODE_STATE, .node = &n };
	struct ss_state *s = ss_state_new();

	(void)state;
	add_node(s, "n1", GB, 1);
	add_node(s, "n1", GB, 2);
	assert_int_equal(apply(s, &c).code, SS_ERROR_CONFLICT);
	assert_non_null(ss_state_node(s, "n1"));
	n.incarnation = 2;
	assert_int_equal(apply(s, &c).code, 0);
	assert_null(ss_state_node(s, "n1"));
	ss_state_free(s);
}

struct claim_case {
	const char *label;
	uint64_t entry, seq, dead_entry, dead_seq, fingerprint;
	int64_t code;
	uint64_t holder; /* seq of the claim in force after it */
};

/* Applied in this order, on one key. */
static const struct claim_case claims[] = {
	{ "the first holds it", 1, 10, 0, 0, 5, 0, 10 },
	{ "a repeated claim succeeds", 1, 10, 0, 0, 5, 0, 10 },
	{ "another entry finds it held", 2, 20, 0, 0, 5, SS_ERROR_CONFLICT,
	  10 },
	{ "with a wrong predecessor too", 2, 20, 1, 9, 5, SS_ERROR_CONFLICT,
	  10 },
	{ "another request under the key", 2, 21, 0, 0, 6, SS_ERROR_BAD_REQUEST,
	  0 },
	{ "taken over once the holder is dead", 2, 20, 1, 10, 5, 0, 20 },
	{ "a predecessor is replaced only once", 3, 30, 1, 10, 5,
	  SS_ERROR_CONFLICT, 20 },
};

/* Guards against a claim with two holders, whose calls would both run. */
static void claims_have_one_holder(void **state)
{
	struct ss_state *s = ss_state_new();

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(claims); i++) {
		struct claim_rec rec = { .key = { "k\0ey", 4 },
					 .fingerprint = claims[i].fingerprint,
					 .entry = claims[i].entry,
					 .seq = claims[i].seq,
					 .node = SS_LIT("n1") };
		struct command c = { .kind = COMMAND_CLAIM,
				     .claim = &rec,
				     .dead_entry = claims[i].dead_entry,
				     .dead_seq = claims[i].dead_seq };
		struct command_result r = apply(s, &c);

		assert_int_equal(r.code, claims[i].code);
		assert_int_equal(r.claim.seq, claims[i].holder);
		s = restored(s);
	}
	ss_state_free(s);
}

/* Bytes that can't be decoded are refused, as a command and as a snapshot. */
static void garbage_is_refused(void **state)
{
	static const struct ss_str bad[] = {
		SS_LIT(""),	    SS_LIT("\xc1"),
		SS_LIT("\x81\x01"), SS_LIT("\x81\x01\xa3xyz"),
		SS_LIT("\x05"),
	};
	struct ss_state *s = ss_state_new();

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct command_result r;

		ss_state_apply(s, 1, bad[i], &r);
		assert_int_not_equal(r.code, 0);
		assert_false(ss_state_restore(s, bad[i]));
	}
	ss_state_free(s);
}

/*
 * A snapshot holds a claim whose key is empty. Copying the key by memcpy() from
 * a null pointer is undefined behaviour.
 */
static void empty_key_in_a_snapshot_is_read(void **state)
{
	static const char bytes[] = "\x82\x07\x91\x82\x07\x5b\x08\x74\x00\x7e"
				    "ersio\x0c";
	struct ss_str snapshot = { bytes, sizeof(bytes) - 1 };
	struct ss_state *s = ss_state_new();

	(void)state;
	assert_true(ss_state_restore(s, snapshot));
	ss_state_free(s);
}

static void put_quarantine(struct ss_state *s, uint64_t fp, uint64_t trials,
			   bool removed)
{
	struct quarantine_rec q = { .fingerprint_hi = 7,
				    .fingerprint_lo = fp,
				    .since_ms = 100,
				    .until_ms = 200,
				    .trials = trials,
				    .removed = removed };
	struct command c = { .kind = COMMAND_QUARANTINES_PUT,
			     .quarantines = &q,
			     .n_quarantines = 1 };

	assert_int_equal(apply(s, &c).code, 0);
}

/* Guards against a poison part that may crash as many endpoints again after a
 * snapshot, or after all members have lost their memory. */
static void quarantines_are_kept_and_bounded(void **state)
{
	struct ss_state *s = ss_state_new(), *copy;
	const struct quarantine_rec *q;
	uint64_t version;

	(void)state;
	put_quarantine(s, 1, 0, false);
	put_quarantine(s, 2, 0, false);
	put_quarantine(s, 1, 2, false);
	version = ss_state_quarantines_version(s);
	put_quarantine(s, 2, 0, true);
	assert_true(ss_state_quarantines_version(s) != version);
	copy = restored(s);
	assert_int_equal(ss_state_quarantines(copy)->length, 1);
	q = ss_state_quarantines(copy)->head->data;
	assert_int_equal(q->fingerprint_lo, 1);
	assert_int_equal(q->trials, 2);
	assert_int_equal(q->until_ms, 200);
	for (uint64_t i = 0; i < STATE_QUARANTINES_MAX; i++)
		put_quarantine(copy, 10 + i, 0, false);
	assert_int_equal(ss_state_quarantines(copy)->length,
			 STATE_QUARANTINES_MAX);
	q = ss_state_quarantines(copy)->head->data;
	assert_int_equal(q->fingerprint_lo, 10);
	ss_state_free(copy);
}

static void put_streams(struct ss_state *s, int64_t at_ms, struct stream_rec x)
{
	struct command c = { .kind = COMMAND_STREAMS_PUT,
			     .at_ms = at_ms,
			     .streams = &x,
			     .n_streams = 1 };

	assert_int_equal(apply(s, &c).code, 0);
}

/* Guards against streams that nobody can resume after all members have lost
 * their memory: keys hold zero bytes, and records of streams expire. */
static void streams_are_kept_and_bounded(void **state)
{
	static const struct ss_str keys = { "\1\0\0\0\0\0\0\0", 8 };
	struct stream_rec v1 = { .service = SS_LIT("lm"),
				 .version = SS_LIT("v1") };
	struct stream_rec x = { v1.service, v1.version, keys, 500, false };
	struct ss_state *s = ss_state_new();
	const struct stream_rec *got;

	(void)state;
	put_streams(s, 100, v1);
	put_streams(s, 100, v1);
	put_streams(s, 100, x);
	s = restored(s);
	assert_int_equal(ss_state_streams(s)->length, 2);
	assert_true(ss_state_has_version(s, "lm", "v1"));
	got = ss_state_streams(s)->tail->data;
	assert_true(ss_str_eq(got->keys, keys));
	assert_int_equal(got->until_ms, 500);
	x.until_ms = 9000;
	for (int i = 0; i < STATE_STREAMS_MAX; i++)
		put_streams(s, 500, x);
	assert_int_equal(ss_state_streams(s)->length, STATE_STREAMS_MAX);
	assert_true(ss_state_has_version(s, "lm", "v1"));
	v1.removed = true;
	put_streams(s, 9000, v1);
	assert_int_equal(ss_state_streams(s)->length, 0);
	ss_state_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(quarantines_are_kept_and_bounded),
		cmocka_unit_test(streams_are_kept_and_bounded),
		cmocka_unit_test(equal_versions_have_one_winner),
		cmocka_unit_test(resend_gets_the_same_answer),
		cmocka_unit_test(preset_in_force_is_not_deleted),
		cmocka_unit_test(replicas_respect_memory_and_count),
		cmocka_unit_test(memory_is_freed_after_the_unload),
		cmocka_unit_test(state_of_old_incarnation_is_refused),
		cmocka_unit_test(claims_have_one_holder),
		cmocka_unit_test(empty_key_in_a_snapshot_is_read),
		cmocka_unit_test(garbage_is_refused),
	};

	return cmocka_run_group_tests_name("state", tests, NULL, NULL);
}
