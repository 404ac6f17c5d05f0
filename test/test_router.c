/* Tests of the router with fake agents and a fake leader. */
#include "unit.h"

#include "../src/core/router.h"

/* Fake owner of a router. */
struct fake {
	GString *actions; /* of the router, separated by spaces */
	struct router *r;
	struct msg_call last; /* last call sent; its strings aren't valid */
	struct msg_attach attach;
	struct msg_claim claim;
	struct router_result result;
	char text[128];
	bool refuse_send;
	int64_t now;
	struct preset preset;
};

static void op_connect(void *arg, const char *node, const char *addr)
{
	(void)addr;
	g_string_append_printf(((struct fake *)arg)->actions, "connect:%s ",
			       node);
}

static bool op_send(void *arg, const char *node, enum msg_kind kind,
		    const void *msg)
{
	struct fake *f = arg;

	if (f->refuse_send)
		return false;
	if (kind == MSG_CALL) {
		f->last = *(const struct msg_call *)msg;
		g_string_append_printf(f->actions, "call:%s ", node);
	} else if (kind == MSG_ATTACH) {
		f->attach = *(const struct msg_attach *)msg;
		g_string_append_printf(f->actions, "attach:%s/%" PRIu64 " ",
				       node, f->attach.have);
	} else {
		g_string_append_printf(f->actions, "cancel:%s ", node);
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
	g_string_append(f->actions, "claim ");
	return true;
}

static void op_deliver(void *arg, struct rcall *c, const struct msg_reply *m)
{
	struct fake *f = arg;

	(void)c;
	g_string_append_printf(f->actions, "got:%.*s ", SS_FMT(m->data));
}

static void op_finish(void *arg, struct rcall *c, const struct router_result *e)
{
	static const char *const outcomes[] = { "ran", "not_run", "unknown" };
	struct fake *f = arg;

	(void)c;
	f->result = *e;
	if (e->code)
		g_string_append_printf(f->actions, "end:%s/%s ",
				       ss_error_name((enum ss_error)e->code),
				       outcomes[e->outcome]);
	else
		g_string_append(f->actions, "end:ok ");
}

static const struct router_ops ops = { op_connect, op_send,    op_watch,
				       op_claim,   op_deliver, op_finish };

static void setup(struct fake *f)
{
	struct router_options o = {
		.incarnation = 42, .domain = "hall-a", .ops = &ops, .arg = f
	};

	memset(f, 0, sizeof(*f));
	f->actions = g_string_new(NULL);
	f->now = 1000;
	assert_true(
		preset_parse(&f->preset, "p", ss_str(preset_built_in), NULL));
	f->r = router_new(&o);
	router_set_preset(f->r, &f->preset);
}

static void teardown(struct fake *f)
{
	router_free(f->r);
	preset_clear(&f->preset);
	g_string_free(f->actions, TRUE);
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

static void send_route(struct fake *f, size_t n, int64_t eta, int64_t code)
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

	router_update_route(f->r, &m, f->now);
}

static void send_reply(struct fake *f, const char *node, uint64_t sub,
		       uint64_t seq, const char *data, bool end)
{
	struct msg_reply m = {
		.sub = sub, .seq = seq, .data = ss_str(data), .end = end
	};

	router_reply(f->r, node, &m, f->now);
}

static void send_refusal(struct fake *f, const char *node, uint64_t sub,
			 int64_t code, int64_t outcome)
{
	struct msg_reply m = { .sub = sub,
			       .end = true,
			       .code = code,
			       .outcome = outcome,
			       .text = SS_LIT("why") };

	router_reply(f->r, node, &m, f->now);
}

static void advance(struct fake *f, int64_t ms)
{
	f->now += ms;
	router_tick(f->r, f->now);
}

static void expect(struct fake *f, const char *want)
{
	assert_string_equal(f->actions->str, want);
	g_string_truncate(f->actions, 0);
}

/* Sets up one connected replica with a call sent to it. */
static void setup_sent_call(struct fake *f, bool once)
{
	setup(f);
	submit(f, 30000, once, "");
	send_route(f, 1, -1, 0);
	router_agent_up(f->r, "n1", 11, f->now);
	g_string_truncate(f->actions, 0);
}

/* A call for a model without a replica waits until one is ready and connected.
 */
static void cold_call_waits_for_its_replica(void **state)
{
	struct fake f;

	(void)state;
	setup(&f);
	assert_non_null(submit(&f, 30000, false, ""));
	send_route(&f, 0, 2000, 0);
	expect(&f, "");
	advance(&f, 1500);
	send_route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	expect(&f, "connect:n1 connect:n1 call:n1 ");
	send_reply(&f, "n1", f.last.sub, 0, "a", false);
	send_reply(&f, "n1", f.last.sub, 1, "b", true);
	expect(&f, "got:a got:b end:ok ");
	teardown(&f);
}

/* A call that can't meet its deadline is refused at once with a retry delay,
 * instead of being queued until the deadline passes. */
static void infeasible_calls_are_refused_at_once(void **state)
{
	struct fake f;

	(void)state;
	setup(&f);
	submit(&f, 1000, false, "");
	send_route(&f, 0, 5000, 0);
	expect(&f, "end:deadline/not_run ");
	assert_int_equal(f.result.retry_after_ms, 5000);
	submit(&f, 1000, false, "");
	expect(&f, "end:deadline/not_run ");
	assert_non_null(submit(&f, 9000, false, ""));
	/* The weight store is slower than expected: the ETA is now later. */
	send_route(&f, 0, 20000, 0);
	expect(&f, "end:deadline/not_run ");
	send_route(&f, 0, -1, SS_ERROR_UNKNOWN_MODEL);
	submit(&f, 1000, false, "");
	expect(&f, "end:unknown_model/not_run ");
	teardown(&f);
}

/* A call ends at its deadline: "not run" while it is queued, unknown after it
 * was sent. */
static void waiting_ends_at_the_deadline(void **state)
{
	struct fake f;

	(void)state;
	setup(&f);
	submit(&f, 1000, false, "");
	advance(&f, 999);
	expect(&f, "");
	advance(&f, 1);
	expect(&f, "end:deadline/not_run ");
	/* A call that was sent may run: its outcome is unknown. */
	submit(&f, 1000, false, "");
	send_route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	g_string_truncate(f.actions, 0);
	advance(&f, 1000);
	expect(&f, "cancel:n1 end:deadline/unknown ");
	teardown(&f);
}

struct refusal_case {
	const char *label;
	bool once;
	int64_t code, outcome;
	const char *want; /* actions right after the refusal */
};

static const struct refusal_case refusals[] = {
	{ "full: retried after a backoff", true, SS_ERROR_OVERLOAD,
	  OUTCOME_NOT_RUN, "" },
	{ "no such model there: waits for a new route", true,
	  SS_ERROR_UNKNOWN_MODEL, OUTCOME_NOT_RUN, "" },
	{ "endpoint down, not run: retried after a backoff", true,
	  SS_ERROR_ENDPOINT, OUTCOME_NOT_RUN, "" },
	{ "may have run, must not run twice: outcome unknown", true,
	  SS_ERROR_ENDPOINT, OUTCOME_UNKNOWN, "end:outcome_unknown/unknown " },
	{ "may have run, may run twice: retried at once", false, SS_ERROR_LOST,
	  OUTCOME_UNKNOWN, "call:n1 " },
};

/* Whether a refused call is sent again depends on whether it may have run, and
 * whether it may run twice. */
static void refusals_are_distinguished(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		struct fake f;

		setup_sent_call(&f, refusals[i].once);
		send_refusal(&f, "n1", f.last.sub, refusals[i].code,
			     refusals[i].outcome);
		if (strcmp(f.actions->str, refusals[i].want))
			fail_msg("%s: %s", refusals[i].label, f.actions->str);
		/* After the backoff the call goes to the same replica. */
		if (!*refusals[i].want) {
			advance(&f, ROUTER_GONE_BACKOFF_MS);
			send_route(&f, 1, -1, 0);
			expect(&f, "call:n1 ");
		}
		teardown(&f);
	}
}

/*
 * When the connection to an agent breaks during a call, the entry must attach
 * to the attempt on the same agent. Sending the call again could run it twice;
 * giving up would lose its answer.
 */
static void attempt_is_resumed_after_reconnect(void **state)
{
	struct fake f;
	uint64_t old;

	(void)state;
	setup_sent_call(&f, true);
	old = f.last.sub;
	send_reply(&f, "n1", old, 0, "a", false);
	router_agent_down(f.r, "n1", f.now);
	expect(&f, "got:a connect:n1 ");
	advance(&f, 200);
	router_agent_up(f.r, "n1", 11, f.now);
	expect(&f, "connect:n1 attach:n1/1 ");
	/* A late piece with the old handle is dropped. */
	send_reply(&f, "n1", old, 1, "stale", false);
	send_reply(&f, "n1", f.attach.sub, 1, "b", true);
	expect(&f, "got:b end:ok ");
	teardown(&f);
}

static void agent_restart_makes_outcome_unknown(void **state)
{
	struct fake f;

	(void)state;
	setup_sent_call(&f, true);
	router_agent_down(f.r, "n1", f.now);
	router_agent_up(f.r, "n1", 99, f.now);
	expect(&f, "connect:n1 end:outcome_unknown/unknown ");
	teardown(&f);
	setup_sent_call(&f, true);
	router_agent_down(f.r, "n1", f.now);
	advance(&f, ROUTER_AGENT_LOST_MS);
	expect(&f, "connect:n1 end:outcome_unknown/unknown ");
	teardown(&f);
}

/* Duplicate pieces are dropped, and after a gap the rest is requested again. */
static void pieces_stay_in_order(void **state)
{
	struct fake f;
	uint64_t sub;

	(void)state;
	setup_sent_call(&f, false);
	sub = f.last.sub;
	send_reply(&f, "n1", sub, 0, "a", false);
	send_reply(&f, "n1", sub, 0, "a", false);
	send_reply(&f, "n2", sub, 1, "other", false);
	send_reply(&f, "n1", sub, 2, "c", false);
	expect(&f, "got:a attach:n1/1 ");
	send_reply(&f, "n1", f.attach.sub, 1, "b", false);
	send_reply(&f, "n1", f.attach.sub, 2, "c", true);
	expect(&f, "got:b got:c end:ok ");
	teardown(&f);
}

/* A call isn't retried once the caller has received part of its answer. */
static void begun_answer_is_not_repeated(void **state)
{
	struct fake f;

	(void)state;
	setup_sent_call(&f, false);
	send_reply(&f, "n1", f.last.sub, 0, "a", false);
	router_agent_down(f.r, "n1", f.now);
	router_agent_up(f.r, "n1", 99, f.now);
	expect(&f, "got:a connect:n1 end:outcome_unknown/unknown ");
	teardown(&f);
}

/*
 * If an attempt is lost and the next one is refused, the call's outcome is
 * unknown. If the last attempt's outcome were used, the caller would get "not
 * run" for a call that may have run.
 */
static void lost_attempt_makes_the_call_unknown(void **state)
{
	struct fake f;

	(void)state;
	setup_sent_call(&f, false);
	send_refusal(&f, "n1", f.last.sub, SS_ERROR_LOST, OUTCOME_UNKNOWN);
	send_refusal(&f, "n1", f.last.sub, SS_ERROR_OVERLOAD, OUTCOME_NOT_RUN);
	send_route(&f, 0, -1, 0);
	advance(&f, 30000);
	expect(&f, "call:n1 end:deadline/unknown ");
	teardown(&f);
}

/* A call that couldn't be sent hasn't run: it is sent again, even if it must
 * not run twice. */
static void failed_send_is_requeued(void **state)
{
	struct fake f;

	(void)state;
	setup(&f);
	submit(&f, 30000, true, "");
	f.refuse_send = true;
	send_route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	f.refuse_send = false;
	g_string_truncate(f.actions, 0);
	router_agent_down(f.r, "n1", f.now);
	router_agent_up(f.r, "n1", 11, f.now);
	expect(&f, "call:n1 ");
	teardown(&f);
}

static void send_claimed(struct fake *f, int64_t code, uint64_t entry,
			 uint64_t seq, uint64_t incarnation)
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

/* Two entries get calls with the same key: one call runs, and both entries get
 * its answer. */
static void claimed_key_attaches_to_other_attempt(void **state)
{
	struct fake f;

	(void)state;
	setup(&f);
	submit(&f, 30000, true, "key");
	send_route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	router_agent_up(f.r, "n2", 12, f.now);
	expect(&f, "connect:n1 connect:n1 claim ");
	send_claimed(&f, SS_ERROR_CONFLICT, 41, 7, 12);
	expect(&f, "attach:n2/0 ");
	assert_true(f.attach.entry == 41 && f.attach.seq == 7);
	send_reply(&f, "n2", f.attach.sub, 0, "theirs", true);
	expect(&f, "got:theirs end:ok ");
	teardown(&f);
}

/* If the entry that holds a claim crashed before it sent the call, the claim is
 * taken over once the agent has stated that the attempt didn't run. */
static void dead_claim_is_taken_over(void **state)
{
	struct fake f;

	(void)state;
	setup(&f);
	submit(&f, 30000, true, "key");
	send_route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	router_agent_up(f.r, "n2", 12, f.now);
	send_claimed(&f, SS_ERROR_CONFLICT, 41, 7, 12);
	g_string_truncate(f.actions, 0);
	send_refusal(&f, "n2", f.attach.sub, SS_ERROR_LOST, OUTCOME_NOT_RUN);
	expect(&f, "claim ");
	assert_true(f.claim.dead_entry == 41 && f.claim.dead_seq == 7);
	send_claimed(&f, 0, f.claim.entry, f.claim.seq, 11);
	expect(&f, "call:n1 ");
	assert_int_equal(f.last.seq, f.claim.seq);
	teardown(&f);
}

/* An unanswered claim is sent again with the same id. */
static void unanswered_claim_is_sent_again(void **state)
{
	struct fake f;
	uint64_t seq;

	(void)state;
	setup(&f);
	submit(&f, 30000, true, "key");
	send_route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	seq = f.claim.seq;
	g_string_truncate(f.actions, 0);
	advance(&f, 300);
	expect(&f, "claim ");
	assert_int_equal(f.claim.seq, seq);
	/* The claim was never granted, so the call wasn't sent: not run. */
	advance(&f, 30000);
	expect(&f, "end:deadline/not_run ");
	teardown(&f);
}

/*
 * A restarted engine has no models, but the route lists its replica until the
 * agent and the leader have noticed. If these refusals, which come before any
 * work, counted as retries, the call would use them up and its caller would get
 * "unknown model" for a model that exists.
 */
static void replica_that_is_gone_costs_no_retry(void **state)
{
	struct fake f;

	(void)state;
	setup_sent_call(&f, false);
	for (int i = 0; i < 20; i++) {
		send_refusal(&f, "n1", f.last.sub, SS_ERROR_UNKNOWN_MODEL,
			     OUTCOME_NOT_RUN);
		advance(&f, ROUTER_GONE_BACKOFF_MS - 1);
		send_route(&f, 1, -1, 0);
		assert_null(strstr(f.actions->str, "end:"));
		/* The backoff grows with each refusal. */
		advance(&f, (int64_t)ROUTER_FULL_BACKOFF_MS << 6);
		expect(&f, "call:n1 ");
		assert_int_equal(router_stats(f.r)->retries, 0);
		if (f.now > 25000)
			break;
	}
	teardown(&f);
}

/* If all attempts fail, the retry budget bounds retries to a share of new
 * calls. */
static void retries_are_bounded(void **state)
{
	struct fake f;

	(void)state;
	setup(&f);
	submit(&f, 60000, false, "");
	send_route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	for (int i = 0; i < 200; i++) {
		send_refusal(&f, "n1", f.last.sub, SS_ERROR_LOST,
			     OUTCOME_UNKNOWN);
		advance(&f, 20);
		if (router_calls(f.r) == 0)
			submit(&f, 60000000, false, "");
	}
	assert_in_range(router_stats(f.r)->retries, 20, 60);
	teardown(&f);
}

static void cancelled_caller_cancels_the_work(void **state)
{
	struct fake f;
	struct rcall *c;

	(void)state;
	setup(&f);
	c = submit(&f, 30000, false, "");
	send_route(&f, 1, -1, 0);
	router_agent_up(f.r, "n1", 11, f.now);
	g_string_truncate(f.actions, 0);
	router_cancel(f.r, c);
	expect(&f, "cancel:n1 ");
	assert_int_equal(router_calls(f.r), 0);
	teardown(&f);
}

/* A replaced leader may still send a route of an older version. */
static void stale_route_is_ignored(void **state)
{
	struct msg_route m = { .model = SS_LIT("m"),
			       .eta_ms = -1,
			       .version = 5 };
	struct fake f;

	(void)state;
	setup(&f);
	submit(&f, 30000, false, "");
	m.code = SS_ERROR_UNKNOWN_MODEL;
	m.version = 5;
	{
		struct msg_route newer = { .model = SS_LIT("m"),
					   .eta_ms = -1,
					   .version = 6 };

		router_update_route(f.r, &newer, f.now);
	}
	router_update_route(f.r, &m, f.now);
	expect(&f, "");
	teardown(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(cold_call_waits_for_its_replica),
		cmocka_unit_test(infeasible_calls_are_refused_at_once),
		cmocka_unit_test(waiting_ends_at_the_deadline),
		cmocka_unit_test(refusals_are_distinguished),
		cmocka_unit_test(attempt_is_resumed_after_reconnect),
		cmocka_unit_test(agent_restart_makes_outcome_unknown),
		cmocka_unit_test(pieces_stay_in_order),
		cmocka_unit_test(begun_answer_is_not_repeated),
		cmocka_unit_test(lost_attempt_makes_the_call_unknown),
		cmocka_unit_test(failed_send_is_requeued),
		cmocka_unit_test(claimed_key_attaches_to_other_attempt),
		cmocka_unit_test(dead_claim_is_taken_over),
		cmocka_unit_test(unanswered_claim_is_sent_again),
		cmocka_unit_test(replica_that_is_gone_costs_no_retry),
		cmocka_unit_test(retries_are_bounded),
		cmocka_unit_test(cancelled_caller_cancels_the_work),
		cmocka_unit_test(stale_route_is_ignored),
	};

	return cmocka_run_group_tests_name("router", tests, NULL, NULL);
}
