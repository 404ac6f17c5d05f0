/* Orders to one engine: one at a time, based on its reports, within its
 * memory. */
#include "unit.h"

#include "../src/core/engine.h"
#include "../src/core/delayed_orders.h"

struct fix {
	struct engine *e;
	struct routing_service *service;
	GString *out; /* orders sent and results reported, in sequence */
	struct fleet_report reports[2];
	int at;
	const char *id; /* of the reporting incarnation */
	int64_t started_ms;
	int64_t planned_ms; /* start of the incarnation of steps; 0: any */
	int64_t now;
};

static void on_order(void *arg, const struct fleet_order *o)
{
	struct fix *f = arg;

	g_string_append_printf(f->out, "%s %s%s%s @%" PRIu64 " #%" PRIu64 ";",
			       o->load ? "load" : "unload", o->model,
			       o->adapter ? "/" : "",
			       o->adapter ? o->adapter : "", o->expect,
			       o->fence);
}

static void on_step(void *arg, uint64_t fence, uint64_t step, int code,
		    const char *text, int64_t took_ms)
{
	struct fix *f = arg;

	(void)fence;
	(void)text;
	(void)took_ms;
	g_string_append_printf(f->out, "step %" PRIu64 " %s;", step,
			       code ? ss_error_name((enum ss_error)code) :
				      "ok");
}

static void on_adapter(void *arg, uint64_t ticket, int code, const char *text)
{
	struct fix *f = arg;

	(void)text;
	g_string_append_printf(f->out, "adapter %" PRIu64 " %s;", ticket,
			       code ? ss_error_name((enum ss_error)code) :
				      "ok");
}

static const struct engine_ops ops = { on_order, on_step, on_adapter };

static struct routing_service *make_service(void)
{
	static const struct {
		const char *name;
		double mb;
	} models[] = { { "big", 34 }, { "small", 16 }, { "other", 34 } };
	struct routing_service *s = routing_service_new();

	s->name = g_strdup("lm");
	s->engine = true;
	s->weights_mb = 83;
	s->adapter_slots = 2;
	for (size_t i = 0; i < G_N_ELEMENTS(models); i++) {
		struct routing_model *m = routing_add_model(s);

		m->name = g_strdup(models[i].name);
		m->weights_mb = models[i].mb;
		m->adapter_mb = 0.04;
	}
	assert_true(routing_service_finish(s, NULL));
	return s;
}

/* An agent that has just started: it knows no leader's term. */
static void fix_open_fresh(struct fix *f)
{
	struct engine_options o = { .holder = "vm-1", .ops = &ops, .arg = f };

	memset(f, 0, sizeof(*f));
	f->out = g_string_new(NULL);
	f->e = engine_new(&o);
	f->service = make_service();
	f->now = 1000;
	f->id = "i-1";
	engine_set_service(f->e, f->service);
}

static void fix_open(struct fix *f)
{
	fix_open_fresh(f);
	engine_set_term(f->e, 1, f->now);
}

static void fix_close(struct fix *f)
{
	engine_free(f->e);
	routing_service_unref(f->service);
	fleet_report_clear(&f->reports[0]);
	fleet_report_clear(&f->reports[1]);
	g_string_free(f->out, TRUE);
}

/* held: models with their adapters, as "big,small/a1/a2"; a trailing "!" means
 * busy. */
static void report(struct fix *f, uint64_t orders, const char *held)
{
	struct fleet_report *r = &f->reports[f->at ^= 1];
	char **models = g_strsplit(held, ",", -1);

	fleet_report_clear(r);
	r->self = (struct fleet_incarnation){ .id = g_strdup(f->id),
					      .started_ms = f->started_ms };
	r->orders = orders;
	r->held = g_array_new(FALSE, TRUE, sizeof(struct fleet_held_model));
	for (int i = 0; models[i] && *models[i]; i++) {
		char **parts = g_strsplit(models[i], "/", -1);
		struct fleet_held_model h = { .model = g_strdup(parts[0]) };

		if (!strcmp(parts[0], "!")) {
			r->busy = true;
			g_free(h.model);
			g_strfreev(parts);
			continue;
		}
		h.adapters = g_ptr_array_new_with_free_func(g_free);
		for (int k = 1; parts[k]; k++)
			g_ptr_array_add(h.adapters, g_strdup(parts[k]));
		g_array_append_val(r->held, h);
		g_strfreev(parts);
	}
	g_strfreev(models);
	f->now += 20;
	engine_report_received(f->e, r, f->now);
}

static void step(struct fix *f, uint64_t fence, uint64_t number,
		 const char *unload, const char *load)
{
	struct ss_str out[1] = { ss_str(unload) };
	struct engine_step s = { .fence = fence,
				 .step = number,
				 .unload = out,
				 .n_unload = *unload ? 1 : 0,
				 .load = ss_str(load),
				 .started_ms = f->planned_ms };

	engine_step(f->e, &s, f->now);
}

static void expect(struct fix *f, const char *what)
{
	assert_string_equal(f->out->str, what);
	g_string_truncate(f->out, 0);
}

static void unloads_before_it_loads(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 3, "big,other");
	step(&f, 7, 1, "big", "small");
	expect(&f, "unload big @3 #7;");
	engine_order_answered(f.e, FLEET_ORDER_ACCEPTED, f.now);
	report(&f, 4, "big,other,!");
	expect(&f, "");
	report(&f, 4, "other");
	expect(&f, "load small @4 #7;");
	engine_order_answered(f.e, FLEET_ORDER_ACCEPTED, f.now);
	report(&f, 5, "other,!");
	expect(&f, "");
	report(&f, 5, "other,small");
	expect(&f, "step 1 ok;");
	fix_close(&f);
}

/*
 * A report made before an order was accepted may arrive after its answer. It
 * shows neither the model nor a load in progress, and must not make the load
 * look failed: half of the loads of an engine without an agent beside it failed
 * this way, though the models were loaded a moment later.
 */
static void report_older_than_an_order_is_ignored(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 3, "other");
	step(&f, 7, 1, "", "small");
	expect(&f, "load small @3 #7;");
	engine_order_answered(f.e, FLEET_ORDER_ACCEPTED, f.now);
	report(&f, 3, "other");
	report(&f, 3, "other");
	expect(&f, "");
	report(&f, 4, "other,!");
	expect(&f, "");
	report(&f, 4, "other,small");
	expect(&f, "step 1 ok;");
	/* Reports that never count the order block the next one only for
	 * ENGINE_REPORT_LAG_MS. */
	engine_request_adapter(f.e, 1, SS_LIT("other"), SS_LIT("a1"),
			       f.now + 5000, f.now);
	expect(&f, "load other/a1 @4 #7;");
	engine_order_answered(f.e, FLEET_ORDER_ACCEPTED, f.now);
	f.now += ENGINE_REPORT_LAG_MS;
	report(&f, 4, "other,small");
	expect(&f, "load other/a1 @4 #7;");
	fix_close(&f);
}

/*
 * A leader may plan a load on a report older than another load. The agent
 * refuses what doesn't fit by the newest report, or the engine would run out of
 * memory and crash.
 */
static void load_that_does_not_fit_is_refused(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 3, "big,other");
	step(&f, 7, 1, "", "small");
	expect(&f, "step 1 no_memory;");
	fix_close(&f);
}

/*
 * An order without an answer isn't refused: the engine may carry it out seconds
 * later, against newer orders. The next order waits for ENGINE_SETTLE_MS and
 * expects the same count, so that at most one of the two is carried out.
 */
static void unanswered_order_settles_first(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 3, "big");
	step(&f, 7, 1, "", "small");
	expect(&f, "load small @3 #7;");
	engine_order_answered(f.e, FLEET_ORDER_UNKNOWN, f.now);
	report(&f, 3, "big");
	expect(&f, "");
	f.now += ENGINE_SETTLE_MS;
	report(&f, 3, "big");
	expect(&f, "load small @3 #7;");
	engine_order_answered(f.e, FLEET_ORDER_BUSY, f.now);
	report(&f, 4, "big,!");
	report(&f, 4, "big,small");
	expect(&f, "step 1 ok;");
	fix_close(&f);
}

static void steps_of_old_leaders_are_refused(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 0, "big");
	step(&f, 9, 1, "", "big");
	expect(&f, "step 1 ok;");
	step(&f, 8, 2, "", "small");
	expect(&f, "step 2 fenced;");
	fix_close(&f);
}

/* No order is sent with a fencing token that the engine has refused. */
static void refused_fence_is_not_used_again(void **state)
{
	struct engine_step newer = { .fence = 12, .step = 1 };
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 0, "big");
	engine_request_adapter(f.e, 1, SS_LIT("big"), SS_LIT("a1"), f.now + 400,
			       f.now);
	expect(&f, "load big/a1 @0 #1;");
	engine_order_answered(f.e, FLEET_ORDER_FENCED, f.now);
	report(&f, 0, "big");
	expect(&f, "");
	engine_step(f.e, &newer, f.now);
	expect(&f, "load big/a1 @0 #12;");
	fix_close(&f);
}

/*
 * An engine accepts no adapter while it loads a model. Orders sent at each
 * report in that time were refused by the thousand, and the adapter was never
 * loaded.
 */
static void adapters_wait_for_a_busy_engine(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 2, "big,!");
	engine_request_adapter(f.e, 1, SS_LIT("big"), SS_LIT("a1"), f.now + 400,
			       f.now);
	report(&f, 2, "big,!");
	expect(&f, "");
	report(&f, 2, "big");
	expect(&f, "load big/a1 @2 #1;");
	engine_order_answered(f.e, FLEET_ORDER_ACCEPTED, f.now);
	report(&f, 3, "big/a1");
	expect(&f, "adapter 1 ok;");
	fix_close(&f);
}

static void least_recently_used_adapter_is_unloaded(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 2, "big/a1/a2");
	engine_request_adapter(f.e, 1, SS_LIT("big"), SS_LIT("a1"), f.now + 400,
			       f.now);
	expect(&f, "adapter 1 ok;");
	engine_request_adapter(f.e, 2, SS_LIT("big"), SS_LIT("a3"), f.now + 400,
			       f.now);
	expect(&f, "unload big/a2 @2 #1;");
	engine_order_answered(f.e, FLEET_ORDER_UNCHANGED, f.now);
	report(&f, 3, "big/a1");
	expect(&f, "load big/a3 @3 #1;");
	fix_close(&f);
}

static void adapter_request_expires_or_is_refused(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 2, "big,!");
	engine_request_adapter(f.e, 1, SS_LIT("big"), SS_LIT("a1"), f.now + 30,
			       f.now);
	f.now += 40;
	engine_tick(f.e, f.now);
	expect(&f, "adapter 1 deadline;");
	engine_request_adapter(f.e, 2, SS_LIT("small"), SS_LIT("a1"),
			       f.now + 30, f.now);
	expect(&f, "adapter 2 unknown_model;");
	fix_close(&f);
}

static void unreadable_engine_aborts_the_step(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 2, "big");
	step(&f, 3, 5, "", "small");
	expect(&f, "load small @2 #3;");
	engine_order_answered(f.e, FLEET_ORDER_UNKNOWN, f.now);
	engine_unavailable(f.e, f.now);
	expect(&f, "step 5 unavailable;");
	/* The engine is back with no models and accepts another step. */
	f.now += ENGINE_SETTLE_MS;
	report(&f, 0, "");
	step(&f, 3, 6, "", "big");
	expect(&f, "load big @0 #3;");
	fix_close(&f);
}

/*
 * The engine restarts under its id during a load. Its order count isn't lower
 * than before, so only the start time shows the restart. Without it, the step
 * ended as failed by the endpoint, or continued with an outdated plan.
 */
static void restart_aborts_the_step(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	f.started_ms = 100;
	report(&f, 0, "big");
	step(&f, 7, 1, "", "small");
	expect(&f, "load small @0 #7;");
	engine_order_answered(f.e, FLEET_ORDER_ACCEPTED, f.now);
	report(&f, 1, "big,!");
	f.started_ms = 200;
	report(&f, 1, "");
	expect(&f, "step 1 unavailable;");
	step(&f, 7, 2, "", "big");
	expect(&f, "load big @1 #7;");
	fix_close(&f);
}

/*
 * An engine that restarts under its id has forgotten fencing tokens. If the
 * agent kept the refused fencing token, it would order nothing until the next
 * change of leader.
 */
static void restart_clears_the_refused_fence(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	f.started_ms = 100;
	report(&f, 0, "big");
	engine_request_adapter(f.e, 1, SS_LIT("big"), SS_LIT("a1"), f.now + 400,
			       f.now);
	expect(&f, "load big/a1 @0 #1;");
	engine_order_answered(f.e, FLEET_ORDER_FENCED, f.now);
	f.started_ms = 200;
	report(&f, 0, "big");
	expect(&f, "load big/a1 @0 #1;");
	fix_close(&f);
}

/* The model of the requested adapter is lost with the restart. */
static void restart_ends_an_adapter_request(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	f.started_ms = 100;
	report(&f, 2, "big");
	engine_request_adapter(f.e, 1, SS_LIT("big"), SS_LIT("a1"), f.now + 400,
			       f.now);
	expect(&f, "load big/a1 @2 #1;");
	engine_order_answered(f.e, FLEET_ORDER_ACCEPTED, f.now);
	f.started_ms = 200;
	report(&f, 2, "");
	expect(&f, "adapter 1 unknown_model;");
	fix_close(&f);
}

/*
 * After a restart, a report of the earlier incarnation arrives with a higher
 * order count. If it passed for the newer report, a load would be refused for
 * lack of memory that is free.
 */
static void report_of_an_earlier_incarnation_is_ignored(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	f.started_ms = 200;
	report(&f, 1, "big");
	f.started_ms = 100;
	report(&f, 9, "big,other");
	f.started_ms = 200;
	step(&f, 7, 1, "", "small");
	expect(&f, "load small @1 #7;");
	fix_close(&f);
}

/*
 * The engine restarts between the leader's plan and the arrival of the step.
 * A step that names no incarnation would load a model that isn't wanted there
 * any more.
 */
static void step_for_an_earlier_incarnation_is_refused(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	f.started_ms = 200;
	report(&f, 0, "");
	f.planned_ms = 100;
	step(&f, 7, 1, "", "small");
	expect(&f, "step 1 unavailable;");
	f.planned_ms = 200;
	step(&f, 7, 2, "", "small");
	expect(&f, "load small @0 #7;");
	fix_close(&f);
}

/*
 * The agent reports the new start before it has looked up the engine's id, and
 * the leader's next step arrives before that. If the step were refused as one
 * for another engine, a model that callers wait for would load seconds later.
 */
static void step_for_a_start_not_yet_reported_waits(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	f.started_ms = 100;
	report(&f, 3, "big");
	engine_unavailable(f.e, f.now);
	f.planned_ms = 200;
	step(&f, 7, 1, "", "small");
	expect(&f, "");
	f.started_ms = 200;
	report(&f, 0, "");
	expect(&f, "load small @0 #7;");
	fix_close(&f);
}

struct delayed_case {
	const char *label;
	const char *lost;   /* model whose load @3 got no answer */
	const char *id;	    /* after the restart */
	int64_t elapsed_ms; /* since the restart, beyond ENGINE_SETTLE_MS */
	uint64_t orders;
	const char *held, *load; /* reported, and loaded next */
	const char *want;
};

static const struct delayed_case delayed_cases[] = {
	{ "the delayed load may still be carried out", "small", "i-1", 0, 1,
	  "big", "other", "step 2 no_memory;" },
	{ "the time of the delayed load has expired", "small", "i-1",
	  ORDER_DELAY_MAX_MS, 1, "big", "other", "load other @1 #7;" },
	{ "the delayed load names another id", "small", "i-2", 0, 1, "big",
	  "other", "load other @1 #7;" },
	{ "the count that the delayed load expects has passed", "small", "i-1",
	  0, 4, "big", "other", "load other @4 #7;" },
	{ "only one of both can be accepted now", "small", "i-1", 0, 3, "big",
	  "other", "load other @3 #7;" },
	{ "both load the same model", "other", "i-1", 0, 1, "big", "other",
	  "load other @1 #7;" },
	{ "the model of the delayed load is held already", "other", "i-1", 0, 2,
	  "other", "big", "load big @2 #7;" },
	{ "both fit", "small", "i-1", 0, 1, "big", "small",
	  "load small @1 #7;" },
};

/*
 * A load gets no answer, the engine restarts under its id and loads other
 * models. The id and the order count don't identify an incarnation, so the load
 * is carried out seconds later, once the new count reaches the one it expects.
 * Without memory kept free for it, the engine holds more than fits and crashes.
 */
static void delayed_load_keeps_its_memory_free(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(delayed_cases); i++) {
		const struct delayed_case *c = &delayed_cases[i];
		struct fix f;

		fix_open(&f);
		f.started_ms = 100;
		report(&f, 3, "big");
		step(&f, 7, 1, "", c->lost);
		engine_order_answered(f.e, FLEET_ORDER_UNKNOWN, f.now);
		f.started_ms = 200;
		f.id = c->id;
		report(&f, 0, "");
		f.now += ENGINE_SETTLE_MS + c->elapsed_ms;
		report(&f, c->orders, c->held);
		g_string_truncate(f.out, 0);
		step(&f, 7, 2, "", c->load);
		if (strcmp(f.out->str, c->want))
			fail_msg("%s: %s", c->label, f.out->str);
		fix_close(&f);
	}
}

/* The same for an adapter: the engine has two adapter slots. */
static void delayed_adapter_load_keeps_its_slot_free(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	f.started_ms = 100;
	report(&f, 3, "big");
	engine_request_adapter(f.e, 1, SS_LIT("big"), SS_LIT("a2"), f.now + 100,
			       f.now);
	engine_order_answered(f.e, FLEET_ORDER_UNKNOWN, f.now);
	f.started_ms = 200;
	report(&f, 0, "");
	f.now += ENGINE_SETTLE_MS;
	report(&f, 1, "big/a3");
	g_string_truncate(f.out, 0);
	engine_request_adapter(f.e, 2, SS_LIT("big"), SS_LIT("a4"), f.now + 400,
			       f.now);
	expect(&f, "unload big/a3 @1 #1;");
	fix_close(&f);
}

/*
 * The engine restarts while an order is pending, and its report arrives before
 * the order times out. The order must count as one to the earlier incarnation,
 * or its memory isn't kept free.
 */
static void order_pending_at_a_restart_keeps_its_memory_free(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	f.started_ms = 100;
	report(&f, 3, "big");
	step(&f, 7, 1, "", "small");
	f.started_ms = 200;
	report(&f, 0, "");
	engine_order_answered(f.e, FLEET_ORDER_UNKNOWN, f.now);
	f.now += ENGINE_SETTLE_MS;
	report(&f, 1, "big");
	g_string_truncate(f.out, 0);
	step(&f, 7, 2, "", "other");
	expect(&f, "step 2 no_memory;");
	fix_close(&f);
}

/*
 * An agent that has ordered with fencing token 3 restarts, and a call needs an
 * adapter before any leader has sent its term. If the agent then orders with
 * fencing token 1, an engine that checks fencing tokens refuses what callers
 * need, and one that doesn't may carry out the steps of two leaders in the
 * wrong order.
 */
static void fresh_agent_waits_for_a_term(void **state)
{
	struct fix f;

	(void)state;
	fix_open_fresh(&f);
	report(&f, 4, "big");
	engine_request_adapter(f.e, 7, SS_LIT("big"), SS_LIT("a1"),
			       f.now + 5000, f.now);
	step(&f, 3, 1, "", "small");
	report(&f, 4, "big");
	expect(&f, "step 1 fenced;");
	engine_set_term(f.e, 3, f.now);
	expect(&f, "load big/a1 @4 #3;");
	/* The term of an earlier leader, delayed on a link. */
	engine_order_answered(f.e, FLEET_ORDER_ACCEPTED, f.now);
	engine_set_term(f.e, 2, f.now);
	report(&f, 5, "big/a1");
	step(&f, 3, 2, "", "small");
	expect(&f, "adapter 7 ok;load small @5 #3;");
	fix_close(&f);
}

/* A waiting call gets its error at the deadline, with or without a leader. */
static void adapter_request_expires_without_a_term(void **state)
{
	struct fix f;

	(void)state;
	fix_open_fresh(&f);
	report(&f, 4, "big");
	engine_request_adapter(f.e, 7, SS_LIT("big"), SS_LIT("a1"), f.now + 100,
			       f.now);
	f.now += 101;
	engine_tick(f.e, f.now);
	expect(&f, "adapter 7 deadline;");
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(unloads_before_it_loads),
		cmocka_unit_test(report_older_than_an_order_is_ignored),
		cmocka_unit_test(load_that_does_not_fit_is_refused),
		cmocka_unit_test(unanswered_order_settles_first),
		cmocka_unit_test(steps_of_old_leaders_are_refused),
		cmocka_unit_test(refused_fence_is_not_used_again),
		cmocka_unit_test(adapters_wait_for_a_busy_engine),
		cmocka_unit_test(least_recently_used_adapter_is_unloaded),
		cmocka_unit_test(adapter_request_expires_or_is_refused),
		cmocka_unit_test(unreadable_engine_aborts_the_step),
		cmocka_unit_test(restart_aborts_the_step),
		cmocka_unit_test(restart_clears_the_refused_fence),
		cmocka_unit_test(restart_ends_an_adapter_request),
		cmocka_unit_test(report_of_an_earlier_incarnation_is_ignored),
		cmocka_unit_test(step_for_an_earlier_incarnation_is_refused),
		cmocka_unit_test(step_for_a_start_not_yet_reported_waits),
		cmocka_unit_test(delayed_load_keeps_its_memory_free),
		cmocka_unit_test(delayed_adapter_load_keeps_its_slot_free),
		cmocka_unit_test(
			order_pending_at_a_restart_keeps_its_memory_free),
		cmocka_unit_test(fresh_agent_waits_for_a_term),
		cmocka_unit_test(adapter_request_expires_without_a_term),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
