/* Raft rules that the random test in prop_raft.cc rarely exercises. */
#include "unit.h"

#include <sapphireshift/raft.h>

struct fake {
	struct ss_raft *r;
	uint64_t term, vote;
	unsigned int applied, sent;
	struct ss_raft_msg last;
	uint64_t told_to_campaign; /* member; 0: none */
	bool full;
	int64_t now;
	uint64_t ends; /* a member in a planned stop; 0: none */
};

static bool save_vote(void *arg, uint64_t term, uint64_t vote, GError **e)
{
	struct fake *f = arg;

	(void)e;
	f->term = term;
	f->vote = vote;
	return true;
}

static bool append(void *arg, const struct ss_raft_entry *e, size_t n,
		   GError **error)
{
	(void)e;
	(void)n;
	if (!((struct fake *)arg)->full)
		return true;
	g_set_error(error, SS_ERROR, SS_ERROR_DISK_FULL, "full");
	return false;
}

static bool truncate_log(void *arg, uint64_t from, GError **e)
{
	(void)arg;
	(void)from;
	(void)e;
	return true;
}

static bool sync_log(void *arg, GError **e)
{
	(void)arg;
	(void)e;
	return true;
}

static bool save_snapshot(void *arg, const struct ss_raft_snapshot *s,
			  const struct ss_raft_entry *rest, size_t n,
			  GError **e)
{
	(void)arg;
	(void)s;
	(void)rest;
	(void)n;
	(void)e;
	return true;
}

static void send_msg(void *arg, const struct ss_raft_msg *m)
{
	struct fake *f = arg;

	f->last = *m;
	if (m->kind == SS_RAFT_TIMEOUT_NOW)
		f->told_to_campaign = m->to;
	f->sent++;
}

static void apply(void *arg, const struct ss_raft_entry *e)
{
	(void)e;
	((struct fake *)arg)->applied++;
}

static bool restore(void *arg, struct ss_str data)
{
	(void)arg;
	(void)data;
	return true;
}

static void changed(void *arg)
{
	(void)arg;
}

static void read_done(void *arg, uint64_t ctx, bool ok)
{
	(void)arg;
	(void)ctx;
	(void)ok;
}

static void failed(void *arg, const GError *error)
{
	(void)arg;
	fail_msg("%s", error->message);
}

static bool may_lead(void *arg, uint64_t id)
{
	return id != ((struct fake *)arg)->ends;
}

static const struct ss_raft_ops ops = {
	.save_vote = save_vote,
	.append = append,
	.truncate = truncate_log,
	.sync = sync_log,
	.save_snapshot = save_snapshot,
	.send = send_msg,
	.apply = apply,
	.restore = restore,
	.changed = changed,
	.read_done = read_done,
	.failed = failed,
	.may_lead = may_lead,
};

/* How member 1 of three starts. */
struct start {
	bool learner;
	int64_t election_ms, first_ms;
};

/* Starts member 1 of three at term 3 with an entry of term 2. */
static void start_with(struct fake *f, struct start s)
{
	struct ss_raft_member m[] = {
		{ 1, SS_LIT("a"), SS_LIT("x"), !s.learner },
		{ 2, SS_LIT("b"), SS_LIT("y"), true },
		{ 3, SS_LIT("c"), SS_LIT("z"), true },
	};
	struct ss_raft_members all = { m, 3 };
	GString *members = ss_raft_encode_members(&all);
	struct ss_raft_entry log[] = {
		{ 1, 1, SS_RAFT_MEMBERS, ss_str_gs(members) },
		{ 2, 2, SS_RAFT_DATA, SS_LIT("old") },
	};
	struct ss_raft_options o = { .self = 1,
				     .ops = &ops,
				     .arg = f,
				     .seed = 1,
				     .election_ms = s.election_ms,
				     .first_ms = s.first_ms,
				     .term = 3,
				     .entries = log,
				     .n_entries = 2 };

	memset(f, 0, sizeof(*f));
	f->now = 1000;
	f->r = ss_raft_new(&o, f->now, NULL);
	g_string_free(members, TRUE);
}

static void start(struct fake *f)
{
	start_with(f, (struct start){ 0 });
}

static void step(struct fake *f, int64_t kind, uint64_t from, uint64_t term,
		 uint64_t index, bool ok)
{
	struct ss_raft_msg m = { .kind = kind,
				 .from = from,
				 .to = 1,
				 .term = term,
				 .index = index,
				 .ok = ok };

	ss_raft_step(f->r, f->now, &m);
	ss_raft_flush(f->r, f->now);
}

static void elect(struct fake *f)
{
	f->now += 5000;
	ss_raft_tick(f->r, f->now);
	step(f, SS_RAFT_PREVOTE_REPLY, 2, 4, 0, true);
	step(f, SS_RAFT_VOTE_REPLY, 2, 4, 0, true);
	assert_int_equal(ss_raft_role(f->r), SS_RAFT_LEADER);
}

/*
 * Guards against the loss of a committed change. If a leader committed an entry
 * of an earlier term by counting its copies, a member with a later entry at the
 * same index could still be elected and overwrite it.
 */
static void old_entries_commit_with_a_new_one(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	elect(&f);
	step(&f, SS_RAFT_APPEND_REPLY, 2, 4, 2, true);
	step(&f, SS_RAFT_APPEND_REPLY, 3, 4, 2, true);
	assert_int_equal(ss_raft_commit(f.r), 0);
	assert_int_equal(f.applied, 0);
	step(&f, SS_RAFT_APPEND_REPLY, 2, 4, 3, true);
	assert_int_equal(ss_raft_commit(f.r), 3);
	assert_int_equal(f.applied, 1);
	ss_raft_free(f.r);
}

/*
 * Guards against two leaders in one term. With two uncommitted membership
 * changes, majorities of the first and the last set need not overlap.
 */
static void one_member_change_at_a_time(void **state)
{
	struct ss_raft_member four = { 4, SS_LIT("d"), SS_LIT("w"), false };
	struct ss_raft_member five = { 5, SS_LIT("e"), SS_LIT("v"), false };
	GError *error = NULL;
	struct fake f;

	(void)state;
	start(&f);
	elect(&f);
	/* Not before an entry of the leader's own term is committed. */
	assert_false(ss_raft_set_member(f.r, &four, &error));
	assert_int_equal(error->code, SS_ERROR_CONFLICT);
	g_clear_error(&error);
	step(&f, SS_RAFT_APPEND_REPLY, 2, 4, 3, true);
	assert_true(ss_raft_set_member(f.r, &four, NULL));
	assert_false(ss_raft_set_member(f.r, &five, &error));
	assert_int_equal(error->code, SS_ERROR_CONFLICT);
	g_clear_error(&error);
	assert_false(ss_raft_remove_member(f.r, 2, NULL));
	step(&f, SS_RAFT_APPEND_REPLY, 2, 4, 4, true);
	assert_true(ss_raft_set_member(f.r, &five, NULL));
	ss_raft_free(f.r);
}

/* The leader's own unsynced entries don't count towards a commit. */
static void leader_counts_itself_after_sync(void **state)
{
	struct ss_raft_msg m = { .kind = SS_RAFT_APPEND_REPLY,
				 .from = 2,
				 .to = 1,
				 .term = 4,
				 .index = 4,
				 .ok = true };
	struct fake f;

	(void)state;
	start(&f);
	elect(&f);
	step(&f, SS_RAFT_APPEND_REPLY, 2, 4, 3, true);
	assert_true(ss_raft_propose(f.r, SS_LIT("new"), NULL, NULL));
	ss_raft_step(f.r, f.now, &m);
	assert_int_equal(ss_raft_commit(f.r), 3);
	ss_raft_flush(f.r, f.now);
	assert_int_equal(ss_raft_commit(f.r), 4);
	ss_raft_free(f.r);
}

/*
 * Guards against stale reads: a partitioned leader that doesn't step down would
 * serve its old state after the others have elected a new leader.
 */
static void partitioned_leader_steps_down(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	elect(&f);
	f.now += 10000;
	ss_raft_tick(f.r, f.now);
	assert_int_equal(ss_raft_role(f.r), SS_RAFT_FOLLOWER);
	assert_false(ss_raft_read(f.r, f.now, 1, NULL));
	ss_raft_free(f.r);
}

/* A member that was partitioned can't depose a working leader. */
static void working_leader_is_not_deposed(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	step(&f, SS_RAFT_APPEND, 2, 4, 0, false);
	step(&f, SS_RAFT_VOTE, 3, 9, 99, false);
	assert_int_equal(ss_raft_term(f.r), 4);
	step(&f, SS_RAFT_PREVOTE, 3, 9, 99, false);
	assert_false(f.last.ok);
	ss_raft_free(f.r);
}

/* A member with a full disk rejects changes and can't become leader. */
static void full_disk_lets_others_lead(void **state)
{
	GError *error = NULL;
	struct fake f;

	(void)state;
	start(&f);
	f.full = true;
	f.now += 5000;
	ss_raft_tick(f.r, f.now);
	step(&f, SS_RAFT_PREVOTE_REPLY, 2, 4, 0, true);
	step(&f, SS_RAFT_VOTE_REPLY, 2, 4, 0, true);
	assert_int_equal(ss_raft_role(f.r), SS_RAFT_FOLLOWER);
	f.full = false;
	ss_raft_free(f.r);
	start(&f);
	elect(&f);
	f.full = true;
	assert_false(ss_raft_propose(f.r, SS_LIT("x"), NULL, &error));
	assert_int_equal(error->code, SS_ERROR_DISK_FULL);
	g_clear_error(&error);
	ss_raft_free(f.r);
}

/*
 * Guards against two seconds without a leader after a power loss. All control
 * VMs start together, and with one timeout for all cases each would wait as
 * long as a follower that has just lost its leader. So the first campaign
 * starts early and the next ones after the usual timeout.
 */
static void first_campaign_starts_early(void **state)
{
	struct fake f;

	(void)state;
	start_with(&f, (struct start){ .election_ms = 1000, .first_ms = 100 });
	ss_raft_tick(f.r, f.now + 99);
	assert_int_equal(f.sent, 0);
	ss_raft_tick(f.r, f.now + 200);
	assert_int_equal(f.sent, 2);
	assert_int_equal(f.last.kind, SS_RAFT_PREVOTE);
	ss_raft_tick(f.r, f.now + 1100);
	assert_int_equal(f.sent, 2);
	ss_raft_free(f.r);
}

/* Guards against a spare that was removed while it was cut off, and takes the
 * last leader for its own for good, so that it never joins again. */
static void learner_forgets_a_silent_leader(void **state)
{
	struct fake f;

	(void)state;
	start_with(&f, (struct start){ .learner = true, .election_ms = 400 });
	step(&f, SS_RAFT_APPEND, 2, 4, 2, true);
	assert_int_equal(ss_raft_leader(f.r), 2);
	f.now += 399;
	ss_raft_tick(f.r, f.now);
	assert_int_equal(ss_raft_leader(f.r), 2);
	f.now += 401;
	ss_raft_tick(f.r, f.now);
	assert_int_equal(ss_raft_leader(f.r), 0);
	assert_int_equal(ss_raft_role(f.r), SS_RAFT_FOLLOWER);
	ss_raft_free(f.r);
}

/* Guards against a lost leader that counts as alive for longer than any other
 * member, as its successor begins to count at its own election. */
static void former_leader_is_silent_since_its_last_message(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	step(&f, SS_RAFT_APPEND, 2, 4, 2, false);
	f.now += 1500;
	ss_raft_tick(f.r, f.now);
	step(&f, SS_RAFT_PREVOTE_REPLY, 3, 5, 0, true);
	step(&f, SS_RAFT_VOTE_REPLY, 3, 5, 0, true);
	assert_int_equal(ss_raft_role(f.r), SS_RAFT_LEADER);
	assert_int_equal(ss_raft_quiet_ms(f.r, 2), 1500);
	assert_int_equal(ss_raft_quiet_ms(f.r, 3), 0);
	ss_raft_free(f.r);
}

/* Guards against a planned stop that costs an election timeout under load: the
 * voter that is to lead lacks the last entry, and nobody votes for it. */
static void transfer_waits_for_the_last_entry(void **state)
{
	GError *error = NULL;
	struct fake f;

	(void)state;
	start(&f);
	elect(&f);
	step(&f, SS_RAFT_APPEND_REPLY, 2, 4, 3, true);
	assert_true(ss_raft_propose(f.r, SS_LIT("x"), NULL, NULL));
	ss_raft_transfer(f.r, f.now);
	assert_int_equal(f.told_to_campaign, 0);
	assert_false(ss_raft_propose(f.r, SS_LIT("y"), NULL, &error));
	assert_int_equal(error->code, SS_ERROR_NOT_LEADER);
	g_clear_error(&error);
	step(&f, SS_RAFT_APPEND_REPLY, 2, 4, 4, true);
	assert_int_equal(f.told_to_campaign, 2);
	f.now += 599;
	step(&f, SS_RAFT_APPEND_REPLY, 3, 4, 4, true);
	f.now += 1;
	step(&f, SS_RAFT_APPEND_REPLY, 3, 4, 4, true);
	assert_true(ss_raft_propose(f.r, SS_LIT("y"), NULL, NULL));
	ss_raft_free(f.r);
}

/* An answer with the time at which it was asked for. */
static void answer(struct fake *f, int64_t kind, uint64_t from, uint64_t term,
		   int64_t asked_ms)
{
	struct ss_raft_msg m = { .kind = kind,
				 .from = from,
				 .to = 1,
				 .term = term,
				 .round = (uint64_t)asked_ms,
				 .ok = true };

	ss_raft_step(f->r, f->now, &m);
	ss_raft_flush(f->r, f->now);
}

/* Lets the timeout end without a message. */
static void time_out(struct fake *f)
{
	f->now += 10000;
	ss_raft_tick(f->r, f->now);
}

/* Guards against a group that never elects a leader where an answer takes
 * longer than a round of votes. */
static void late_vote_counts_in_its_term(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	time_out(&f);
	step(&f, SS_RAFT_PREVOTE_REPLY, 2, 4, 0, true);
	assert_int_equal(ss_raft_role(f.r), SS_RAFT_CANDIDATE);
	time_out(&f);
	assert_int_equal(ss_raft_role(f.r), SS_RAFT_PRECANDIDATE);
	step(&f, SS_RAFT_VOTE_REPLY, 2, 4, 0, true);
	assert_int_equal(ss_raft_role(f.r), SS_RAFT_LEADER);
	assert_int_equal(ss_raft_term(f.r), 4);
	ss_raft_free(f.r);
}

/* Guards against two leaders' entries at one index of a term: a vote may be
 * for the process before the restart, which has led already. */
static void vote_for_an_earlier_process_doesnt_count(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	time_out(&f);
	step(&f, SS_RAFT_VOTE_REPLY, 2, 3, 0, true);
	assert_int_equal(ss_raft_role(f.r), SS_RAFT_PRECANDIDATE);
	ss_raft_free(f.r);
}

/* Guards against a leader without a majority that leads again and again on the
 * votes that it has got once. */
static void old_votes_make_no_second_leadership(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	elect(&f);
	time_out(&f);
	assert_int_equal(ss_raft_role(f.r), SS_RAFT_FOLLOWER);
	time_out(&f);
	step(&f, SS_RAFT_VOTE_REPLY, 3, 4, 0, true);
	assert_int_equal(ss_raft_role(f.r), SS_RAFT_PRECANDIDATE);
	ss_raft_free(f.r);
}

static void ask_for_prevote(struct fake *f, uint64_t from)
{
	struct ss_raft_msg m = { .kind = SS_RAFT_PREVOTE,
				 .from = from,
				 .to = 1,
				 .term = 4,
				 .index = 2,
				 .log_term = 2 };

	ss_raft_step(f->r, f->now, &m);
}

/* Guards against candidates that vote for themselves at every round, as each
 * begins before it hears of the others. */
static void one_of_two_candidates_goes_first(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	time_out(&f);
	ask_for_prevote(&f, 2);
	assert_true(f.last.ok);
	step(&f, SS_RAFT_PREVOTE_REPLY, 3, 4, 0, true);
	assert_int_equal(ss_raft_role(f.r), SS_RAFT_PRECANDIDATE);
	/* Once: the other one may never win. */
	time_out(&f);
	ask_for_prevote(&f, 2);
	step(&f, SS_RAFT_PREVOTE_REPLY, 3, 4, 0, true);
	assert_int_equal(ss_raft_role(f.r), SS_RAFT_CANDIDATE);
	ss_raft_free(f.r);
}

/* Guards against a leader that gives up before its first heartbeat can be
 * answered, and against one that keeps a slow group's timeout for good. */
static void slow_group_keeps_its_leader(void **state)
{
	const struct {
		int64_t answer_ms, silence_ms;
		enum ss_raft_role role;
	} cases[] = {
		{ 5, 500, SS_RAFT_LEADER },
		{ 5, 700, SS_RAFT_FOLLOWER },
		{ 1500, 4400, SS_RAFT_LEADER },
		{ 1500, 4600, SS_RAFT_FOLLOWER },
		{ 60000, 5900, SS_RAFT_LEADER },
		{ 60000, 6100, SS_RAFT_FOLLOWER },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake f;

		start(&f);
		time_out(&f);
		f.now += cases[i].answer_ms;
		answer(&f, SS_RAFT_PREVOTE_REPLY, 2, 4,
		       f.now - cases[i].answer_ms);
		f.now += cases[i].answer_ms;
		answer(&f, SS_RAFT_VOTE_REPLY, 2, 4,
		       f.now - cases[i].answer_ms);
		assert_int_equal(ss_raft_role(f.r), SS_RAFT_LEADER);
		ss_raft_tick(f.r, f.now + cases[i].silence_ms);
		assert_int_equal(ss_raft_role(f.r), cases[i].role);
		ss_raft_free(f.r);
	}
}

/* Guards against a dead leader that is noticed late, as this process stood
 * still once and took that for a slow group. */
static void one_pause_extends_no_timeout(void **state)
{
	const int64_t gaps[] = { 100, 3000, 100 };
	struct fake f;

	(void)state;
	start(&f);
	for (size_t i = 0; i < G_N_ELEMENTS(gaps); i++) {
		f.now += gaps[i];
		step(&f, SS_RAFT_APPEND, 2, 4, 2, false);
	}
	f.now += 1200;
	ss_raft_tick(f.r, f.now);
	assert_int_equal(ss_raft_role(f.r), SS_RAFT_PRECANDIDATE);
	ss_raft_free(f.r);
}

/* Guards against a member that stood still twice, was removed meanwhile, and
 * doesn't ask for its way back, as it takes that for a slow group. */
static void own_pauses_extend_no_timeout(void **state)
{
	const int64_t pause_ms = 2400;
	struct fake f;

	(void)state;
	start(&f);
	step(&f, SS_RAFT_APPEND, 2, 4, 2, false);
	for (int i = 0; i < 2; i++) {
		f.now += pause_ms;
		ss_raft_paused(f.r, f.now, pause_ms);
		step(&f, SS_RAFT_APPEND, 2, 4, 2, false);
		f.now += 100;
		step(&f, SS_RAFT_APPEND, 2, 4, 2, false);
	}
	f.now += 1200;
	ss_raft_tick(f.r, f.now);
	assert_int_equal(ss_raft_role(f.r), SS_RAFT_PRECANDIDATE);
	ss_raft_free(f.r);
}

/* Guards against two planned stops that hand the leadership to and fro, so that
 * neither vote is handed over. */
static void leadership_isnt_handed_to_a_voter_that_ends(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	elect(&f);
	step(&f, SS_RAFT_APPEND_REPLY, 2, 4, 3, true);
	step(&f, SS_RAFT_APPEND_REPLY, 3, 4, 3, true);
	f.ends = 2;
	ss_raft_transfer(f.r, f.now);
	assert_int_equal(f.told_to_campaign, 3);
	ss_raft_free(f.r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(old_entries_commit_with_a_new_one),
		cmocka_unit_test(one_member_change_at_a_time),
		cmocka_unit_test(leader_counts_itself_after_sync),
		cmocka_unit_test(partitioned_leader_steps_down),
		cmocka_unit_test(working_leader_is_not_deposed),
		cmocka_unit_test(full_disk_lets_others_lead),
		cmocka_unit_test(first_campaign_starts_early),
		cmocka_unit_test(learner_forgets_a_silent_leader),
		cmocka_unit_test(
			former_leader_is_silent_since_its_last_message),
		cmocka_unit_test(transfer_waits_for_the_last_entry),
		cmocka_unit_test(late_vote_counts_in_its_term),
		cmocka_unit_test(vote_for_an_earlier_process_doesnt_count),
		cmocka_unit_test(old_votes_make_no_second_leadership),
		cmocka_unit_test(one_of_two_candidates_goes_first),
		cmocka_unit_test(slow_group_keeps_its_leader),
		cmocka_unit_test(one_pause_extends_no_timeout),
		cmocka_unit_test(own_pauses_extend_no_timeout),
		cmocka_unit_test(leadership_isnt_handed_to_a_voter_that_ends),
	};

	return cmocka_run_group_tests_name("raft", tests, NULL, NULL);
}
