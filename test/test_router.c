/* An entry's decisions, against faked agents and a faked leader. */
#include "unit.h"

#include "../src/core/router.h"

/* What the router did, as one line of words. */
struct fake {
	GString *did;
	struct router *r;
	struct msg_call last; /* numbers only */
	struct msg_attach attach;
	struct msg_claim claim;
	struct router_end end;
	char text[128];
	bool refuse_send;
	int64_t now;
	struct preset preset;
};

static void op_connect(void *arg, const char *node, const char *addr)
{
	(void)addr;
	g_string_append_printf(((struct fake *)arg)->did, "connect:%s ", node);
}

static bool op_send(void *arg, const char *node, enum msg_kind kind,
		    const void *msg)
{
	struct fake *f = arg;

	if (f->refuse_send)
		return false;
	if (kind == MSG_CALL) {
		f->last = *(const struct msg_call *)msg;
		g_string_append_printf(f->did, "call:%s ", node);
	} else if (kind == MSG_ATTACH) {
		f->attach = *(const struct msg_attach *)msg;
		g_string_append_printf(f->did, "attach:%s/%" PRIu64 " ", node,
				       f->attach.have);
	} else {
		g_string_append_printf(f->did, "cancel:%s ", node);
	}
	return true;
}

static void op_watch(void *arg, const struct msg_watch *w)
{
	(void)arg;
	(void)w;
}

static bool op_claim(void *arg, const struct msg_claim *c)
{
	struct fake *f = arg;

	f->claim = *c;
	g_string_append(f->did, "claim ");
	return true;
}

static void op_deliver(void *arg, struct rcall *c, const struct msg_reply *m)
{
	struct fake *f = arg;

	(void)c;
	g_string_append_printf(f->did, "got:%.*s ", SS_FMT(m->data));
}

static void op_finish(void *arg, struct rcall *c, const struct router_end *e)
{
	static const char *const outcomes[] = { "ran", "not_run", "unknown" };
	struct fake *f = arg;

	(void)c;
	f->end = *e;
	if (e->code)
		g_string_append_printf(f->did, "end:%s/%s ",
				       ss_error_name((enum ss_error)e->code),
				       outcomes[e->outcome]);
	else
		g_string_append(f->did, "end:ok ");
}

static const struct router_ops ops = { op_connect, op_send,    op_watch,
				       op_claim,   op_deliver, op_finish };

static void start(struct fake *f)
{
	struct router_options o = {
		.incarnation = 42, .domain = "hall-a", .ops = &ops, .arg = f
	};

	memset(f, 0, sizeof(*f));
	f->did = g_string_new(NULL);
	f->now = 1000;
	assert_true(
		preset_parse(&f->preset, "p", ss_str(preset_built_in), NULL));
	f->r = router_new(&o);
	router_set_preset(f->r, &f->preset);
}

static void stop(struct fake *f)
{
	router_free(f->r);
	preset_clear(&f->preset);
	g_string_free(f->did, TRUE);
}

static struct rcall *submit(struct fake *f, int64_t deadline, bool once,
			    const char *key)
{
	struct router_call c = { .model = SS_LIT("m"),
				 .customer = SS_LIT("t"),
				 .method = SS_LIT("POST"),
				 .path = SS_LIT("/"),
				 .deadline_ms = f->now + deadline,
				 .priority = 4,
				 .once = once,
				 .key = ss_str(key) };

	return router_submit(f->r, &c, f->now);
}

static void route(struct fake *f, size_t n, int64_t eta, int64_t code)
{
	struct route_replica rr[] = {
		{ .replica = 1,
		  .node = SS_LIT("n1"),
		  .addr = SS_LIT("x:1"),
		  .incarnation = 11,
		  .slots = 4,
		  .age_ms = 60000 },
		{ .replica = 2,
		  .node = SS_LIT("n2"),
		  .addr = SS_LIT("x:2"),
		  .incarnation = 12,
		  .slots = 4,
		  .age_ms = 60000 },
	};
	struct msg_route m = { .model = SS_LIT("m"),
			       .target = SS_LIT("m"),
			       .eta_ms = eta,
			       .code = code,
			       .replicas = { rr, n } };

	router_route(f->r, &m, f->now);
}

static void reply(struct fake *f, const char *node, uint64_t sub, uint64_t seq,
		  const char *data, bool end)
{
	struct msg_reply m = {
		.sub = sub, .seq = seq, .data = ss_str(data), .end = end
	};

	router_reply(f->r, node, &m, f->now);
}

static void refusal(struct fake *f, const char *node, uint64_t sub,
		    int64_t code, int64_t outcome)
{
	struct msg_reply m = { .sub = sub,
			       .end = true,
			       .code = code,
			       .outcome = outcome,
			       .text = SS_LIT("why") };

	router_reply(f->r, node, &m, f->now);
}

static void pass(struct fake *f, int64_t ms)
{
	f->now += ms;
	router_tick(f->r, f->now);
}

static void expect(struct fake *f, const char *want)
{
	assert_string_equal(f->did->str, want);
	g_string_truncate(f->did, 0);
}

/* With one connected replica and a call sent to it. */
static void sent(struct fake *f, bool once)
{
	start(f);
	submit(f, 30000, once, "");
	route(f, 1, -1, 0);
	router_agent_up(f->r, "n1", 11, f->now);
	g_string_truncate(f->did, 0);
}

static void cold_call_waits_for_its_replica(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	assert_non_null(submit(&f, 30000, false, ""));
	route(&f, 0, 2000, 0);
	expect(&f, "");
	pass(&f, 1500);
	route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	expect(&f, "connect:n1 connect:n1 call:n1 ");
	reply(&f, "n1", f.last.sub, 0, "a", false);
	reply(&f, "n1", f.last.sub, 1, "b", true);
	expect(&f, "got:a got:b end:ok ");
	stop(&f);
}

/* Refused at once, with the time to come back, not kept until it's late. */
static void hopeless_calls_are_refused_at_once(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	submit(&f, 1000, false, "");
	route(&f, 0, 5000, 0);
	expect(&f, "end:deadline/not_run ");
	assert_int_equal(f.end.retry_after_ms, 5000);
	submit(&f, 1000, false, "");
	expect(&f, "end:deadline/not_run ");
	assert_non_null(submit(&f, 9000, false, ""));
	/* The store has become slow: the promise is shortened. */
	route(&f, 0, 20000, 0);
	expect(&f, "end:deadline/not_run ");
	route(&f, 0, -1, SS_ERROR_UNKNOWN_MODEL);
	submit(&f, 1000, false, "");
	expect(&f, "end:unknown_model/not_run ");
	stop(&f);
}

static void waiting_ends_at_the_deadline(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	submit(&f, 1000, false, "");
	pass(&f, 999);
	expect(&f, "");
	pass(&f, 1);
	expect(&f, "end:deadline/not_run ");
	/* One that was handed over may run: it can't say "not run". */
	submit(&f, 1000, false, "");
	route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	g_string_truncate(f.did, 0);
	pass(&f, 1000);
	expect(&f, "cancel:n1 end:deadline/unknown ");
	stop(&f);
}

struct refusal_case {
	const char *label;
	bool once;
	int64_t code, outcome;
	const char *want; /* right after it */
};

static const struct refusal_case refusals[] = {
	{ "full: waits and goes again", true, SS_ERROR_OVERLOAD,
	  OUTCOME_NOT_RUN, "" },
	{ "not there: waits for another route", true, SS_ERROR_UNKNOWN_MODEL,
	  OUTCOME_NOT_RUN, "" },
	{ "endpoint down, surely not run: goes again soon", true,
	  SS_ERROR_ENDPOINT, OUTCOME_NOT_RUN, "" },
	{ "may have run, may not be repeated: said so", true, SS_ERROR_ENDPOINT,
	  OUTCOME_UNKNOWN, "end:outcome_unknown/unknown " },
	{ "may have run, may be repeated: again", false, SS_ERROR_LOST,
	  OUTCOME_UNKNOWN, "call:n1 " },
};

static void refusals_are_told_apart(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		struct fake f;

		sent(&f, refusals[i].once);
		refusal(&f, "n1", f.last.sub, refusals[i].code,
			refusals[i].outcome);
		if (strcmp(f.did->str, refusals[i].want))
			fail_msg("%s: %s", refusals[i].label, f.did->str);
		/* What waits goes to the same replica again after a rest. */
		if (!*refusals[i].want) {
			pass(&f, ROUTER_GONE_MS);
			route(&f, 1, -1, 0);
			expect(&f, "call:n1 ");
		}
		stop(&f);
	}
}

/*
 * Symptom: a booking doubled, or an answer lost. Sequence: the connection
 * to the agent breaks during the call. Cause: the entry sends it again, or
 * gives up, instead of asking the same agent what became of it.
 */
static void lost_connection_is_asked_after(void **state)
{
	struct fake f;
	uint64_t old;

	(void)state;
	sent(&f, true);
	old = f.last.sub;
	reply(&f, "n1", old, 0, "a", false);
	router_agent_down(f.r, "n1", f.now);
	expect(&f, "got:a connect:n1 ");
	pass(&f, 200);
	router_agent_up(f.r, "n1", 11, f.now);
	expect(&f, "connect:n1 attach:n1/1 ");
	/* A piece of the old attempt that comes late is not mixed in. */
	reply(&f, "n1", old, 1, "stale", false);
	reply(&f, "n1", f.attach.sub, 1, "b", true);
	expect(&f, "got:b end:ok ");
	stop(&f);
}

static void another_incarnation_is_unknown(void **state)
{
	struct fake f;

	(void)state;
	sent(&f, true);
	router_agent_down(f.r, "n1", f.now);
	router_agent_up(f.r, "n1", 99, f.now);
	expect(&f, "connect:n1 end:outcome_unknown/unknown ");
	stop(&f);
	sent(&f, true);
	router_agent_down(f.r, "n1", f.now);
	pass(&f, ROUTER_LOST_MS);
	expect(&f, "connect:n1 end:outcome_unknown/unknown ");
	stop(&f);
}

/* Doubled and reordered pieces: whole, or asked for again; never mixed. */
static void pieces_stay_in_order(void **state)
{
	struct fake f;
	uint64_t sub;

	(void)state;
	sent(&f, false);
	sub = f.last.sub;
	reply(&f, "n1", sub, 0, "a", false);
	reply(&f, "n1", sub, 0, "a", false);
	reply(&f, "n2", sub, 1, "other", false);
	reply(&f, "n1", sub, 2, "c", false);
	expect(&f, "got:a attach:n1/1 ");
	reply(&f, "n1", f.attach.sub, 1, "b", false);
	reply(&f, "n1", f.attach.sub, 2, "c", true);
	expect(&f, "got:b got:c end:ok ");
	stop(&f);
}

/* A stream that had begun isn't begun again elsewhere. */
static void begun_answer_is_not_repeated(void **state)
{
	struct fake f;

	(void)state;
	sent(&f, false);
	reply(&f, "n1", f.last.sub, 0, "a", false);
	router_agent_down(f.r, "n1", f.now);
	router_agent_up(f.r, "n1", 99, f.now);
	expect(&f, "got:a connect:n1 end:outcome_unknown/unknown ");
	stop(&f);
}

/*
 * Symptom: told "not run", and yet it ran. Sequence: an attempt is lost,
 * the call may be repeated, the next attempt is refused. Cause: the last
 * attempt's outcome taken for the call's.
 */
static void lost_attempt_makes_the_call_unknown(void **state)
{
	struct fake f;

	(void)state;
	sent(&f, false);
	refusal(&f, "n1", f.last.sub, SS_ERROR_LOST, OUTCOME_UNKNOWN);
	refusal(&f, "n1", f.last.sub, SS_ERROR_OVERLOAD, OUTCOME_NOT_RUN);
	route(&f, 0, -1, 0);
	pass(&f, 30000);
	expect(&f, "call:n1 end:deadline/unknown ");
	stop(&f);
}

static void send_that_fails_hands_nothing_over(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	submit(&f, 30000, true, "");
	f.refuse_send = true;
	route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	f.refuse_send = false;
	g_string_truncate(f.did, 0);
	router_agent_down(f.r, "n1", f.now);
	router_agent_up(f.r, "n1", 11, f.now);
	expect(&f, "call:n1 ");
	stop(&f);
}

static void claimed(struct fake *f, int64_t code, uint64_t entry, uint64_t seq,
		    uint64_t incarnation)
{
	struct msg_claimed m = { .sub = f->claim.sub,
				 .code = code,
				 .entry = entry,
				 .seq = seq,
				 .node = SS_LIT("n2"),
				 .addr = SS_LIT("x:2"),
				 .incarnation = incarnation };

	router_claimed(f->r, &m, f->now);
}

/* The same key through two entries: one runs, the other gets its answer. */
static void claimed_key_reads_the_other_answer(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	submit(&f, 30000, true, "key");
	route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	router_agent_up(f.r, "n2", 12, f.now);
	expect(&f, "connect:n1 connect:n1 claim ");
	claimed(&f, SS_ERROR_CONFLICT, 41, 7, 12);
	expect(&f, "attach:n2/0 ");
	assert_true(f.attach.entry == 41 && f.attach.seq == 7);
	reply(&f, "n2", f.attach.sub, 0, "theirs", true);
	expect(&f, "got:theirs end:ok ");
	stop(&f);
}

/* The other entry died before it sent: proved, then taken over. */
static void dead_claim_is_taken_over(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	submit(&f, 30000, true, "key");
	route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	router_agent_up(f.r, "n2", 12, f.now);
	claimed(&f, SS_ERROR_CONFLICT, 41, 7, 12);
	g_string_truncate(f.did, 0);
	refusal(&f, "n2", f.attach.sub, SS_ERROR_LOST, OUTCOME_NOT_RUN);
	expect(&f, "claim ");
	assert_true(f.claim.dead_entry == 41 && f.claim.dead_seq == 7);
	claimed(&f, 0, f.claim.entry, f.claim.seq, 11);
	expect(&f, "call:n1 ");
	assert_int_equal(f.last.seq, f.claim.seq);
	stop(&f);
}

/* A claim whose answer is lost is asked for again, under the same id. */
static void lost_claim_is_asked_again(void **state)
{
	struct fake f;
	uint64_t seq;

	(void)state;
	start(&f);
	submit(&f, 30000, true, "key");
	route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	seq = f.claim.seq;
	g_string_truncate(f.did, 0);
	pass(&f, 300);
	expect(&f, "claim ");
	assert_int_equal(f.claim.seq, seq);
	/* Never granted, never sent: the deadline may say "not run". */
	pass(&f, 30000);
	expect(&f, "end:deadline/not_run ");
	stop(&f);
}

/*
 * Symptom: a caller is told that there is no such model, seconds after an
 * engine was killed. Sequence: the engine comes back empty; its agent and the
 * leader are slow to see it and the route shows it again and again; each
 * refusal uses up a retry. Cause: a refusal before any work paid for like a
 * repeat.
 */
static void replica_that_is_gone_costs_no_retry(void **state)
{
	struct fake f;

	(void)state;
	sent(&f, false);
	for (int i = 0; i < 20; i++) {
		refusal(&f, "n1", f.last.sub, SS_ERROR_UNKNOWN_MODEL,
			OUTCOME_NOT_RUN);
		pass(&f, ROUTER_GONE_MS - 1);
		route(&f, 1, -1, 0);
		assert_null(strstr(f.did->str, "end:"));
		/* Left alone a little longer each time. */
		pass(&f, (int64_t)ROUTER_FULL_MS << 6);
		expect(&f, "call:n1 ");
		assert_int_equal(router_stats(f.r)->retries, 0);
		if (f.now > 25000)
			break;
	}
	stop(&f);
}

/* When all agents fail, retries are a bounded share of fresh calls. */
static void retries_are_bounded(void **state)
{
	struct fake f;

	(void)state;
	start(&f);
	submit(&f, 60000, false, "");
	route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	for (int i = 0; i < 200; i++) {
		refusal(&f, "n1", f.last.sub, SS_ERROR_LOST, OUTCOME_UNKNOWN);
		pass(&f, 20);
		if (router_calls(f.r) == 0)
			submit(&f, 60000000, false, "");
	}
	assert_in_range(router_stats(f.r)->retries, 20, 60);
	stop(&f);
}

static void cancelled_caller_cancels_the_work(void **state)
{
	struct fake f;
	struct rcall *c;

	(void)state;
	start(&f);
	c = submit(&f, 30000, false, "");
	route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	g_string_truncate(f.did, 0);
	router_cancel(f.r, c);
	expect(&f, "cancel:n1 ");
	assert_int_equal(router_calls(f.r), 0);
	stop(&f);
}

/* A route of an older version, from a leader that was replaced. */
static void old_route_is_dropped(void **state)
{
	struct msg_route m = { .model = SS_LIT("m"),
			       .eta_ms = -1,
			       .version = 5 };
	struct fake f;

	(void)state;
	start(&f);
	submit(&f, 30000, false, "");
	m.code = SS_ERROR_UNKNOWN_MODEL;
	m.version = 5;
	{
		struct msg_route newer = { .model = SS_LIT("m"),
					   .eta_ms = -1,
					   .version = 6 };

		router_route(f.r, &newer, f.now);
	}
	router_route(f.r, &m, f.now);
	expect(&f, "");
	stop(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(cold_call_waits_for_its_replica),
		cmocka_unit_test(hopeless_calls_are_refused_at_once),
		cmocka_unit_test(waiting_ends_at_the_deadline),
		cmocka_unit_test(refusals_are_told_apart),
		cmocka_unit_test(lost_connection_is_asked_after),
		cmocka_unit_test(another_incarnation_is_unknown),
		cmocka_unit_test(pieces_stay_in_order),
		cmocka_unit_test(begun_answer_is_not_repeated),
		cmocka_unit_test(lost_attempt_makes_the_call_unknown),
		cmocka_unit_test(send_that_fails_hands_nothing_over),
		cmocka_unit_test(claimed_key_reads_the_other_answer),
		cmocka_unit_test(dead_claim_is_taken_over),
		cmocka_unit_test(lost_claim_is_asked_again),
		cmocka_unit_test(replica_that_is_gone_costs_no_retry),
		cmocka_unit_test(retries_are_bounded),
		cmocka_unit_test(cancelled_caller_cancels_the_work),
		cmocka_unit_test(old_route_is_dropped),
	};

	return cmocka_run_group_tests_name("router", tests, NULL, NULL);
}
