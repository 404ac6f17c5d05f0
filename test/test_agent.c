/* Tests of an agent's ledger and table of calls under faults. */
#include "unit.h"

#include "../src/core/calls.h"
#include "../src/core/ledger.h"

#define GB (1ull << 30)
#define SELF 77

/* A fake endpoint, which records its orders: +model, -model. */
struct fake {
	GString *orders;
	uint64_t fence;
};

static void fake_load(void *arg, const struct ledger_replica *r, uint64_t fence)
{
	struct fake *f = arg;

	g_string_append_printf(f->orders, "+%s", r->model);
	f->fence = fence;
}

static void fake_unload(void *arg, const struct ledger_replica *r,
			uint64_t fence)
{
	struct fake *f = arg;

	g_string_append_printf(f->orders, "-%s", r->model);
	f->fence = fence;
}

static void fake_changed(void *arg)
{
	(void)arg;
}

static const struct ledger_ops fake_ops = { fake_load, fake_unload,
					    fake_changed };

struct fixture {
	struct fake f;
	struct ledger *l;
	int64_t now;
};

static struct fixture fixture_new(void)
{
	struct fixture b = { .now = 1000 };

	b.f.orders = g_string_new(NULL);
	return b;
}

static void fixture_start(struct fixture *b)
{
	struct ledger_options o = { .incarnation = SELF,
				    .ops = &fake_ops,
				    .arg = &b->f };

	b->l = ledger_new(&o);
	ledger_set_bytes(b->l, 10 * GB);
}

static void fixture_free(struct fixture *b)
{
	ledger_free(b->l);
	g_string_free(b->f.orders, TRUE);
}

static bool assign(struct fixture *b, uint64_t fence,
		   const struct replica_order *o, size_t n)
{
	struct msg_assign a = { .fence = fence,
				.incarnation = SELF,
				.orders = { (void *)o, n } };

	return ledger_assign(b->l, &a, b->now, NULL);
}

static void read_engine(struct fixture *b, const struct held_replica *h,
			size_t n)
{
	ledger_read_done(b->l, ledger_read_begin(b->l), h, n, b->now);
}

#define ORDER(id, name, size)                                                  \
	{                                                                      \
		.replica = (id), .model = SS_LIT(name), .bytes = (size),       \
		.slots = 2                                                     \
	}
#define HELD(name, size, st)                                                   \
	{                                                                      \
		.model = SS_LIT(name), .bytes = (size), .state = (st)          \
	}

/*
 * Guards against loading a model that is no longer assigned: an old leader's
 * assignment arrives after one of the new leader. The engine ignores fencing
 * tokens, so the agent must refuse it.
 */
static void old_assignments_are_refused(void **state)
{
	struct replica_order a = ORDER(5, "a", GB), c = ORDER(9, "c", GB);
	struct msg_assign other = { .fence = 99, .incarnation = SELF + 1 };
	struct fixture b = fixture_new();

	(void)state;
	fixture_start(&b);
	read_engine(&b, NULL, 0);
	assert_true(assign(&b, 9, &c, 1));
	assert_false(assign(&b, 5, &a, 1));
	assert_string_equal(b.f.orders->str, "+c");
	assert_int_equal(b.f.fence, 9);
	assert_false(ledger_assign(b.l, &other, b.now, NULL));
	fixture_free(&b);
}

/*
 * Guards against overcommitted memory after an agent's restart: the agent
 * crashes during a load, and its successor gets an assignment before it has
 * read what the engine holds.
 */
static void restarted_agent_reads_before_it_acts(void **state)
{
	struct replica_order a = ORDER(5, "a", 6 * GB);
	struct held_replica big = HELD("old", 8 * GB, HELD_LOADING);
	struct fixture b = fixture_new();

	(void)state;
	fixture_start(&b);
	assign(&b, 5, &a, 1);
	assert_string_equal(b.f.orders->str, "");
	read_engine(&b, &big, 1);
	assert_string_equal(b.f.orders->str, "");
	big.state = HELD_READY;
	read_engine(&b, &big, 1);
	/* The old model is not assigned, so it is unloaded first. */
	assert_string_equal(b.f.orders->str, "-old");
	ledger_answered(b.l, "old", true, b.now);
	read_engine(&b, NULL, 0);
	assert_string_equal(b.f.orders->str, "-old+a");
	fixture_free(&b);
}

/*
 * Guards against starting a load twice, or using its memory for another: the
 * engine doesn't answer the order, and a read requested before it lists no
 * models. A load without an answer must not be taken for one that failed.
 */
static void unanswered_load_stays_counted(void **state)
{
	struct replica_order both[] = { ORDER(5, "a", 6 * GB),
					ORDER(6, "b", 6 * GB) };
	struct held_replica a = HELD("a", 6 * GB, HELD_LOADING);
	struct fixture b = fixture_new();
	uint64_t before;

	(void)state;
	fixture_start(&b);
	read_engine(&b, NULL, 0);
	assign(&b, 6, both, 2);
	assert_string_equal(b.f.orders->str, "+a");
	before = ledger_read_begin(b.l);
	ledger_answered(b.l, "a", false, b.now);
	ledger_read_done(b.l, before, NULL, 0, b.now);
	assert_int_equal(ledger_bytes(b.l), 6 * GB);
	assert_string_equal(b.f.orders->str, "+a");
	/* A read requested after the order shows that the load has begun. */
	read_engine(&b, &a, 1);
	a.state = HELD_READY;
	read_engine(&b, &a, 1);
	assert_string_equal(b.f.orders->str, "+a");
	fixture_free(&b);
}

/*
 * Guards against loads from an outdated assignment: a process that was
 * suspended for minutes resumes and acts before it checks how long ago the
 * leader's last message came.
 */
static void suspended_agent_waits_for_leader_before_load(void **state)
{
	struct replica_order a = ORDER(5, "a", GB);
	struct held_replica big = HELD("x", 10 * GB, HELD_READY);
	struct fixture b = fixture_new();

	(void)state;
	fixture_start(&b);
	read_engine(&b, &big, 1);
	assign(&b, 5, &a, 1);
	ledger_answered(b.l, "x", true, b.now);
	b.now += LEDGER_LEASE_MS + 1;
	read_engine(&b, NULL, 0);
	assert_string_equal(b.f.orders->str, "-x");
	ledger_leader_contact(b.l, b.now);
	ledger_tick(b.l, b.now);
	assert_string_equal(b.f.orders->str, "-x+a");
	fixture_free(&b);
}

/* An unload waits for the model's calls; new calls are refused. */
static void unload_waits_for_calls(void **state)
{
	struct replica_order a = ORDER(5, "a", GB);
	struct held_replica h = HELD("a", GB, HELD_READY);
	struct fixture b = fixture_new();
	struct ledger_replica *r;
	GError *error = NULL;

	(void)state;
	fixture_start(&b);
	read_engine(&b, NULL, 0);
	assign(&b, 5, &a, 1);
	ledger_answered(b.l, "a", true, b.now);
	read_engine(&b, &h, 1);
	r = ledger_begin_call(b.l, SS_LIT("a"), NULL);
	assert_non_null(r);
	a.unload = true;
	assign(&b, 6, &a, 1);
	assert_string_equal(b.f.orders->str, "+a");
	assert_null(ledger_begin_call(b.l, SS_LIT("a"), &error));
	assert_int_equal(error->code, SS_ERROR_UNKNOWN_MODEL);
	g_clear_error(&error);
	ledger_end_call(b.l, r, b.now);
	assert_string_equal(b.f.orders->str, "+a-a");
	fixture_free(&b);
}

/* Calls are refused when all slots are taken and while draining. */
static void calls_beyond_slots_or_draining_are_refused(void **state)
{
	struct replica_order a = ORDER(5, "a", GB);
	struct held_replica h = HELD("a", GB, HELD_READY);
	struct fixture b = fixture_new();
	GError *error = NULL;

	(void)state;
	fixture_start(&b);
	read_engine(&b, NULL, 0);
	assign(&b, 5, &a, 1);
	ledger_answered(b.l, "a", true, b.now);
	read_engine(&b, &h, 1);
	assert_non_null(ledger_begin_call(b.l, SS_LIT("a"), NULL));
	assert_non_null(ledger_begin_call(b.l, SS_LIT("a"), NULL));
	assert_null(ledger_begin_call(b.l, SS_LIT("a"), &error));
	assert_int_equal(error->code, SS_ERROR_OVERLOAD);
	g_clear_error(&error);
	ledger_drain(b.l);
	assert_null(ledger_begin_call(b.l, SS_LIT("a"), &error));
	assert_int_equal(error->code, SS_ERROR_DRAINING);
	g_clear_error(&error);
	fixture_free(&b);
}

/* A load that fails repeatedly is reported and not retried forever. */
static void failing_load_is_reported(void **state)
{
	struct replica_order a = ORDER(5, "a", GB);
	struct fixture b = fixture_new();
	GArray *report;

	(void)state;
	fixture_start(&b);
	read_engine(&b, NULL, 0);
	assign(&b, 5, &a, 1);
	for (int i = 0; i < 6; i++) {
		ledger_answered(b.l, "a", false, b.now);
		read_engine(&b, NULL, 0);
		b.now += 60000;
		ledger_leader_contact(b.l, b.now);
		ledger_tick(b.l, b.now);
	}
	assert_string_equal(b.f.orders->str, "+a+a+a");
	report = ledger_report(b.l, b.now);
	assert_int_equal(g_array_index(report, struct held_replica, 0).state,
			 HELD_FAILED);
	g_array_unref(report);
	fixture_free(&b);
}

/* Tests of the table of calls. */

/* Records starts, cancellations and replies, in order. */
struct log {
	GString *events;
	struct call *last;
};

static void log_start(void *arg, struct call *c, const struct msg_call *m)
{
	struct log *l = arg;

	g_string_append_printf(l->events, "run%" PRIu64 " ", m->seq);
	l->last = c;
}

static void log_cancel(void *arg, struct call *c)
{
	struct log *l = arg;

	g_string_append_printf(l->events, "cancel%" PRIu64 " ", call_seq(c));
}

static void log_reply(void *arg, void *peer, const struct msg_reply *r)
{
	static const char *const outcomes[] = { "ran", "not_run", "unknown" };
	struct log *l = arg;

	if (r->code)
		g_string_append_printf(l->events, "%s:%s ", (char *)peer,
				       outcomes[r->outcome]);
	else
		g_string_append_printf(l->events, "%s:%" PRIu64 "%.*s%s ",
				       (char *)peer, r->seq, SS_FMT(r->data),
				       r->end ? "." : "");
}

static const struct calls_ops log_ops = { log_start, log_cancel, log_reply };

struct table {
	struct log l;
	struct calls *t;
};

static struct table table_new(void)
{
	struct table x = { .l = { .events = g_string_new(NULL) } };

	return x;
}

static void table_start(struct table *x)
{
	struct calls_options o = { .incarnation = SELF,
				   .ops = &log_ops,
				   .arg = &x->l };

	x->t = calls_new(&o);
}

static void table_free(struct table *x)
{
	calls_free(x->t);
	g_string_free(x->l.events, TRUE);
}

static void call(struct table *x, char *peer, uint64_t seq, bool once)
{
	struct msg_call m = { .sub = seq,
			      .entry = 1,
			      .seq = seq,
			      .incarnation = SELF,
			      .once = once };

	calls_submit(x->t, peer, &m, NULL, NULL, 0);
}

static void attach(struct table *x, char *peer, uint64_t seq, uint64_t have,
		   uint64_t incarnation)
{
	struct msg_attach m = { .sub = 900 + seq,
				.entry = 1,
				.seq = seq,
				.incarnation = incarnation,
				.have = have };

	calls_attach(x->t, peer, &m, 0);
}

static void piece(struct table *x, const char *data, bool end)
{
	struct msg_reply m = { .data = ss_str(data), .end = end };

	calls_add_piece(x->t, x->l.last, &m, 0);
}

/*
 * Guards against running a call twice: the entry loses the connection and
 * attaches again, or sends the call again with the same id, and the agent
 * takes it for a new one.
 */
static void same_id_runs_once(void **state)
{
	struct table x = table_new();

	(void)state;
	table_start(&x);
	call(&x, "a", 7, true);
	piece(&x, "one", false);
	calls_peer_gone(x.t, "a", 0);
	calls_tick(x.t, CALLS_ORPHAN_MS * 2);
	piece(&x, "two", true);
	attach(&x, "b", 7, 1, SELF);
	call(&x, "b", 7, true);
	assert_string_equal(x.l.events->str,
			    "run7 a:0one b:1two. b:0one b:1two. ");
	table_free(&x);
}

/*
 * Guards against running a call after it was answered OUTCOME_NOT_RUN: the
 * entry gives up a connection and attaches on a new one; then the call arrives
 * on the old one. The agent must remember that it has answered for this id.
 */
static void call_answered_not_run_never_runs(void **state)
{
	struct table x = table_new();

	(void)state;
	table_start(&x);
	attach(&x, "b", 7, 0, SELF);
	call(&x, "a", 7, true);
	assert_string_equal(x.l.events->str, "b:not_run a:not_run ");
	table_free(&x);
}

/* Guards against running a call that was refused: the entry may have sent it to
 * another agent since. */
static void refused_call_never_runs(void **state)
{
	GError *full = g_error_new(SS_ERROR, SS_ERROR_OVERLOAD, "full");
	struct msg_call m = {
		.sub = 1, .entry = 1, .seq = 4, .incarnation = SELF
	};
	struct table x = table_new();

	(void)state;
	table_start(&x);
	calls_submit(x.t, "a", &m, full, NULL, 0);
	calls_submit(x.t, "a", &m, NULL, NULL, 0);
	assert_string_equal(x.l.events->str, "a:not_run a:not_run ");
	g_error_free(full);
	table_free(&x);
}

/* Guards against running a call twice: an evicted call, which did run, must not
 * be answered as one never seen. */
static void evicted_call_is_unknown(void **state)
{
	struct table x = table_new();

	(void)state;
	table_start(&x);
	call(&x, "a", 7, true);
	piece(&x, "x", true);
	calls_tick(x.t, CALLS_KEEP_ONCE_MS + 1);
	assert_int_equal(calls_count(x.t), 0);
	attach(&x, "a", 7, 0, SELF);
	call(&x, "a", 7, true);
	attach(&x, "a", 9, 0, SELF + 1);
	assert_string_equal(x.l.events->str,
			    "run7 a:0x. a:unknown a:unknown a:unknown ");
	table_free(&x);
}

/* A repeatable call is cancelled once it has no subscriber. */
static void call_without_subscriber_is_cancelled(void **state)
{
	struct table x = table_new();

	(void)state;
	table_start(&x);
	call(&x, "a", 1, false);
	call(&x, "a", 2, false);
	call(&x, "a", 3, true);
	calls_cancel(x.t, "a", 1, 0);
	calls_peer_gone(x.t, "a", 0);
	calls_tick(x.t, CALLS_ORPHAN_MS - 1);
	calls_tick(x.t, CALLS_ORPHAN_MS);
	/* The third must not run twice: it continues to a known outcome. */
	assert_string_equal(x.l.events->str, "run1 run2 run3 cancel1 cancel2 ");
	table_free(&x);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(old_assignments_are_refused),
		cmocka_unit_test(restarted_agent_reads_before_it_acts),
		cmocka_unit_test(unanswered_load_stays_counted),
		cmocka_unit_test(suspended_agent_waits_for_leader_before_load),
		cmocka_unit_test(unload_waits_for_calls),
		cmocka_unit_test(calls_beyond_slots_or_draining_are_refused),
		cmocka_unit_test(failing_load_is_reported),
		cmocka_unit_test(same_id_runs_once),
		cmocka_unit_test(call_answered_not_run_never_runs),
		cmocka_unit_test(refused_call_never_runs),
		cmocka_unit_test(evicted_call_is_unknown),
		cmocka_unit_test(call_without_subscriber_is_cancelled),
	};

	return cmocka_run_group_tests_name("agent", tests, NULL, NULL);
}
