/* Orders to an engine: one at a time, by its reports, within its memory. */
#include "unit.h"

#include "../src/core/engine.h"
#include "../src/core/late.h"

struct fix {
	struct engine *e;
	struct routing_service *service;
	GString *out; /* what was ordered and answered, in order */
	struct fleet_report reports[2];
	int at;
	const char *id; /* of the incarnation that reports */
	int64_t started_ms;
	int64_t planned_ms; /* start that steps are planned for; 0: any */
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

/* An agent that has just started: no leader has told its term. */
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
	engine_term(f->e, 1, f->now);
}

static void fix_close(struct fix *f)
{
	engine_free(f->e);
	routing_service_unref(f->service);
	fleet_report_clear(&f->reports[0]);
	fleet_report_clear(&f->reports[1]);
	g_string_free(f->out, TRUE);
}

/* held: "big,small/a1/a2"; busy by a trailing "!". */
static void report(struct fix *f, uint64_t orders, const char *held)
{
	struct fleet_report *r = &f->reports[f->at ^= 1];
	char **models = g_strsplit(held, ",", -1);

	fleet_report_clear(r);
	r->self = (struct fleet_incarnation){ .id = g_strdup(f->id),
					      .started_ms = f->started_ms };
	r->orders = orders;
	r->held = g_array_new(FALSE, TRUE, sizeof(struct fleet_held));
	for (int i = 0; models[i] && *models[i]; i++) {
		char **parts = g_strsplit(models[i], "/", -1);
		struct fleet_held h = { .model = g_strdup(parts[0]) };

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
	engine_report(f->e, r, f->now);
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
	engine_answered(f.e, FLEET_ORDER_TAKEN, f.now);
	report(&f, 4, "big,other,!");
	expect(&f, "");
	report(&f, 4, "other");
	expect(&f, "load small @4 #7;");
	engine_answered(f.e, FLEET_ORDER_TAKEN, f.now);
	report(&f, 5, "other,!");
	expect(&f, "");
	report(&f, 5, "other,small");
	expect(&f, "step 1 ok;");
	fix_close(&f);
}

/*
 * Symptom: half of the loads of an engine without an agent beside it fail,
 * though the models are there a moment later. Sequence: an order is taken; a
 * report that was made before comes after. Cause: it shows no load under way
 * and no model, so the load passed for ended.
 */
static void report_of_before_an_order_says_nothing(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 3, "other");
	step(&f, 7, 1, "", "small");
	expect(&f, "load small @3 #7;");
	engine_answered(f.e, FLEET_ORDER_TAKEN, f.now);
	report(&f, 3, "other");
	report(&f, 3, "other");
	expect(&f, "");
	report(&f, 4, "other,!");
	expect(&f, "");
	report(&f, 4, "other,small");
	expect(&f, "step 1 ok;");
	/* One that never counts it doesn't hold up the next for ever. */
	engine_need_adapter(f.e, 1, SS_LIT("other"), SS_LIT("a1"), f.now + 5000,
			    f.now);
	expect(&f, "load other/a1 @4 #7;");
	engine_answered(f.e, FLEET_ORDER_TAKEN, f.now);
	f.now += ENGINE_LAG_MS;
	report(&f, 4, "other,small");
	expect(&f, "load other/a1 @4 #7;");
	fix_close(&f);
}

/*
 * Symptom: an engine crashes with too much in its memory. Sequence: a
 * leader decides on a report that is older than another load. Cause: only
 * the engine's newest report tells what is held.
 */
static void never_more_than_fits(void **state)
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
 * Symptom: an engine does what was ordered seconds ago, against newer
 * orders. Sequence: an order gets no answer; it may be carried out later.
 * Cause: no answer is no refusal. The same count is expected again, so that
 * at most one of the two is carried out, and not before the first settled.
 */
static void unanswered_order_settles_first(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 3, "big");
	step(&f, 7, 1, "", "small");
	expect(&f, "load small @3 #7;");
	engine_answered(f.e, FLEET_ORDER_UNKNOWN, f.now);
	report(&f, 3, "big");
	expect(&f, "");
	f.now += ENGINE_SETTLE_MS;
	report(&f, 3, "big");
	expect(&f, "load small @3 #7;");
	engine_answered(f.e, FLEET_ORDER_BUSY, f.now);
	report(&f, 4, "big,!");
	report(&f, 4, "big,small");
	expect(&f, "step 1 ok;");
	fix_close(&f);
}

static void old_leaders_are_refused(void **state)
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

/* After the engine refused a fence, nothing is ordered with it again. */
static void refused_fence_isnt_used_again(void **state)
{
	struct engine_step newer = { .fence = 12, .step = 1 };
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 0, "big");
	engine_need_adapter(f.e, 1, SS_LIT("big"), SS_LIT("a1"), f.now + 400,
			    f.now);
	expect(&f, "load big/a1 @0 #1;");
	engine_answered(f.e, FLEET_ORDER_FENCED, f.now);
	report(&f, 0, "big");
	expect(&f, "");
	engine_step(f.e, &newer, f.now);
	expect(&f, "load big/a1 @0 #12;");
	fix_close(&f);
}

/*
 * Symptom: thousands of refused orders, and no adapter. Sequence: a call
 * needs an adapter while a model is being loaded. Cause: an engine takes no
 * other order meanwhile; asking again at each report can't help.
 */
static void adapters_wait_for_a_busy_engine(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 2, "big,!");
	engine_need_adapter(f.e, 1, SS_LIT("big"), SS_LIT("a1"), f.now + 400,
			    f.now);
	report(&f, 2, "big,!");
	expect(&f, "");
	report(&f, 2, "big");
	expect(&f, "load big/a1 @2 #1;");
	engine_answered(f.e, FLEET_ORDER_TAKEN, f.now);
	report(&f, 3, "big/a1");
	expect(&f, "adapter 1 ok;");
	fix_close(&f);
}

static void least_used_adapter_leaves(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 2, "big/a1/a2");
	engine_need_adapter(f.e, 1, SS_LIT("big"), SS_LIT("a1"), f.now + 400,
			    f.now);
	expect(&f, "adapter 1 ok;");
	engine_need_adapter(f.e, 2, SS_LIT("big"), SS_LIT("a3"), f.now + 400,
			    f.now);
	expect(&f, "unload big/a2 @2 #1;");
	engine_answered(f.e, FLEET_ORDER_HOLDS, f.now);
	report(&f, 3, "big/a1");
	expect(&f, "load big/a3 @3 #1;");
	fix_close(&f);
}

static void adapter_comes_in_time_or_is_refused(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 2, "big,!");
	engine_need_adapter(f.e, 1, SS_LIT("big"), SS_LIT("a1"), f.now + 30,
			    f.now);
	f.now += 40;
	engine_tick(f.e, f.now);
	expect(&f, "adapter 1 deadline;");
	engine_need_adapter(f.e, 2, SS_LIT("small"), SS_LIT("a1"), f.now + 30,
			    f.now);
	expect(&f, "adapter 2 unknown_model;");
	fix_close(&f);
}

static void lost_engine_ends_the_step(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	report(&f, 2, "big");
	step(&f, 3, 5, "", "small");
	expect(&f, "load small @2 #3;");
	engine_answered(f.e, FLEET_ORDER_UNKNOWN, f.now);
	engine_lost(f.e, f.now);
	expect(&f, "step 5 unavailable;");
	/* It comes back empty, and can be given another. */
	f.now += ENGINE_SETTLE_MS;
	report(&f, 0, "");
	step(&f, 3, 6, "", "big");
	expect(&f, "load big @0 #3;");
	fix_close(&f);
}

/*
 * Symptom: a step ends as failed by its endpoint, or goes on with a plan that
 * no longer holds. Sequence: a load is being carried out; the engine restarts
 * under its id and has taken no order since. Cause: a count that isn't lower
 * than before passed for the same incarnation.
 */
static void restart_ends_the_step(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	f.started_ms = 100;
	report(&f, 0, "big");
	step(&f, 7, 1, "", "small");
	expect(&f, "load small @0 #7;");
	engine_answered(f.e, FLEET_ORDER_TAKEN, f.now);
	report(&f, 1, "big,!");
	f.started_ms = 200;
	report(&f, 1, "");
	expect(&f, "step 1 unavailable;");
	step(&f, 7, 2, "", "big");
	expect(&f, "load big @1 #7;");
	fix_close(&f);
}

/*
 * Symptom: no order until the next change of leader. Sequence: the engine
 * refuses the fence, restarts under its id, and has forgotten fences. Cause:
 * what it refused before outlives it here.
 */
static void restart_forgets_the_refused_fence(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	f.started_ms = 100;
	report(&f, 0, "big");
	engine_need_adapter(f.e, 1, SS_LIT("big"), SS_LIT("a1"), f.now + 400,
			    f.now);
	expect(&f, "load big/a1 @0 #1;");
	engine_answered(f.e, FLEET_ORDER_FENCED, f.now);
	f.started_ms = 200;
	report(&f, 0, "big");
	expect(&f, "load big/a1 @0 #1;");
	fix_close(&f);
}

/* An adapter asked for: its model went with the restart, and it says so. */
static void restart_ends_the_wait_for_an_adapter(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	f.started_ms = 100;
	report(&f, 2, "big");
	engine_need_adapter(f.e, 1, SS_LIT("big"), SS_LIT("a1"), f.now + 400,
			    f.now);
	expect(&f, "load big/a1 @2 #1;");
	engine_answered(f.e, FLEET_ORDER_TAKEN, f.now);
	f.started_ms = 200;
	report(&f, 2, "");
	expect(&f, "adapter 1 unknown_model;");
	fix_close(&f);
}

/*
 * Symptom: a load is refused for want of memory that is free. Sequence: the
 * engine restarts; a report of its former life arrives after one of the new.
 * Cause: the higher count passed for the newer report.
 */
static void late_report_changes_nothing(void **state)
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
 * Symptom: an engine that has just restarted loads what nobody wants there.
 * Sequence: a leader plans on a report; the engine restarts; the step comes.
 * Cause: a step that doesn't say for which incarnation it is.
 */
static void step_for_a_former_life_is_refused(void **state)
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
 * Symptom: an engine that has just restarted isn't given the model that is
 * waited for until seconds later. Sequence: the agent tells the new start
 * before it has asked for the id; the leader's next step is there first.
 * Cause: a step for the new start passed for one of another engine.
 */
static void step_for_a_start_not_yet_known_waits(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	f.started_ms = 100;
	report(&f, 3, "big");
	engine_lost(f.e, f.now);
	f.planned_ms = 200;
	step(&f, 7, 1, "", "small");
	expect(&f, "");
	f.started_ms = 200;
	report(&f, 0, "");
	expect(&f, "load small @0 #7;");
	fix_close(&f);
}

struct late_case {
	const char *label;
	const char *lost; /* its load @3 got no answer */
	const char *id;	  /* after the restart */
	int64_t pass_ms;
	uint64_t orders;
	const char *held, *load, *want;
};

static const struct late_case late_cases[] = {
	{ "it may still come", "small", "i-1", 0, 1, "big", "other",
	  "step 2 no_memory;" },
	{ "its time is over", "small", "i-1", LATE_ORDER_MS, 1, "big", "other",
	  "load other @1 #7;" },
	{ "it names another id", "small", "i-2", 0, 1, "big", "other",
	  "load other @1 #7;" },
	{ "its count has passed", "small", "i-1", 0, 4, "big", "other",
	  "load other @4 #7;" },
	{ "only one of both can come now", "small", "i-1", 0, 3, "big", "other",
	  "load other @3 #7;" },
	{ "it is the same", "other", "i-1", 0, 1, "big", "other",
	  "load other @1 #7;" },
	{ "it holds already", "other", "i-1", 0, 2, "other", "big",
	  "load big @2 #7;" },
	{ "both fit", "small", "i-1", 0, 1, "big", "small",
	  "load small @1 #7;" },
};

/*
 * Symptom: an engine is ordered to hold more than fits, and crashes.
 * Sequence: a load gets no answer; the engine restarts under its id and is
 * filled anew; the load is carried out seconds later, when the new count has
 * reached what it expects. Cause: the id and the count named no incarnation.
 */
static void late_order_of_a_former_life_has_room(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(late_cases); i++) {
		const struct late_case *c = &late_cases[i];
		struct fix f;

		fix_open(&f);
		f.started_ms = 100;
		report(&f, 3, "big");
		step(&f, 7, 1, "", c->lost);
		engine_answered(f.e, FLEET_ORDER_UNKNOWN, f.now);
		f.started_ms = 200;
		f.id = c->id;
		report(&f, 0, "");
		f.now += ENGINE_SETTLE_MS + c->pass_ms;
		report(&f, c->orders, c->held);
		g_string_truncate(f.out, 0);
		step(&f, 7, 2, "", c->load);
		if (strcmp(f.out->str, c->want))
			fail_msg("%s: %s", c->label, f.out->str);
		fix_close(&f);
	}
}

/* The same for adapters: the engine has two slots for them. */
static void late_adapter_of_a_former_life_has_room(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	f.started_ms = 100;
	report(&f, 3, "big");
	engine_need_adapter(f.e, 1, SS_LIT("big"), SS_LIT("a2"), f.now + 100,
			    f.now);
	engine_answered(f.e, FLEET_ORDER_UNKNOWN, f.now);
	f.started_ms = 200;
	report(&f, 0, "");
	f.now += ENGINE_SETTLE_MS;
	report(&f, 1, "big/a3");
	g_string_truncate(f.out, 0);
	engine_need_adapter(f.e, 2, SS_LIT("big"), SS_LIT("a4"), f.now + 400,
			    f.now);
	expect(&f, "unload big/a3 @1 #1;");
	fix_close(&f);
}

/*
 * Symptom: as above. Sequence: the engine restarts while the order is out;
 * its report comes before it is known that no answer will. Cause: the order
 * counted as one of the new life.
 */
static void order_out_during_a_restart_has_room(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f);
	f.started_ms = 100;
	report(&f, 3, "big");
	step(&f, 7, 1, "", "small");
	f.started_ms = 200;
	report(&f, 0, "");
	engine_answered(f.e, FLEET_ORDER_UNKNOWN, f.now);
	f.now += ENGINE_SETTLE_MS;
	report(&f, 1, "big");
	g_string_truncate(f.out, 0);
	step(&f, 7, 2, "", "other");
	expect(&f, "step 2 no_memory;");
	fix_close(&f);
}

/*
 * Symptom: an engine sees a lower fence after a higher one; one that checks
 * fences refuses what callers need, one that doesn't may be ordered by two
 * leaders' steps in the wrong order. Sequence: an agent has ordered with fence
 * 3, ends and starts again; a call needs an adapter before any leader has told
 * its term; the agent orders with fence 1, then with 3. Cause: a process that
 * had just started took the smallest fence for one that it knew.
 */
static void fresh_agent_waits_for_a_term(void **state)
{
	struct fix f;

	(void)state;
	fix_open_fresh(&f);
	report(&f, 4, "big");
	engine_need_adapter(f.e, 7, SS_LIT("big"), SS_LIT("a1"), f.now + 5000,
			    f.now);
	step(&f, 3, 1, "", "small");
	report(&f, 4, "big");
	expect(&f, "step 1 fenced;");
	engine_term(f.e, 3, f.now);
	expect(&f, "load big/a1 @4 #3;");
	/* The word of an earlier leader, held up by a link. */
	engine_answered(f.e, FLEET_ORDER_TAKEN, f.now);
	engine_term(f.e, 2, f.now);
	report(&f, 5, "big/a1");
	step(&f, 3, 2, "", "small");
	expect(&f, "adapter 7 ok;load small @5 #3;");
	fix_close(&f);
}

/* One who waits is told in time that nothing came, leader or not. */
static void need_ends_without_a_term(void **state)
{
	struct fix f;

	(void)state;
	fix_open_fresh(&f);
	report(&f, 4, "big");
	engine_need_adapter(f.e, 7, SS_LIT("big"), SS_LIT("a1"), f.now + 100,
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
		cmocka_unit_test(report_of_before_an_order_says_nothing),
		cmocka_unit_test(never_more_than_fits),
		cmocka_unit_test(unanswered_order_settles_first),
		cmocka_unit_test(old_leaders_are_refused),
		cmocka_unit_test(refused_fence_isnt_used_again),
		cmocka_unit_test(adapters_wait_for_a_busy_engine),
		cmocka_unit_test(least_used_adapter_leaves),
		cmocka_unit_test(adapter_comes_in_time_or_is_refused),
		cmocka_unit_test(lost_engine_ends_the_step),
		cmocka_unit_test(restart_ends_the_step),
		cmocka_unit_test(restart_forgets_the_refused_fence),
		cmocka_unit_test(restart_ends_the_wait_for_an_adapter),
		cmocka_unit_test(late_report_changes_nothing),
		cmocka_unit_test(step_for_a_former_life_is_refused),
		cmocka_unit_test(step_for_a_start_not_yet_known_waits),
		cmocka_unit_test(late_order_of_a_former_life_has_room),
		cmocka_unit_test(late_adapter_of_a_former_life_has_room),
		cmocka_unit_test(order_out_during_a_restart_has_room),
		cmocka_unit_test(fresh_agent_waits_for_a_term),
		cmocka_unit_test(need_ends_without_a_term),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
