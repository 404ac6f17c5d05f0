/* What an engine holds: compared, and carried to the leader and back. */
#include "unit.h"

#include "../src/core/fleet_wire.h"

static GPtrArray *names(const char *list)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
	char **all = g_strsplit(list, " ", -1);

	for (char **n = all; *n; n++)
		if (**n)
			g_ptr_array_add(out, g_strdup(*n));
	g_strfreev(all);
	return out;
}

static void hold(GArray *held, const char *model, const char *adapters)
{
	struct fleet_held h = { .model = g_strdup(model),
				.adapters = names(adapters) };

	g_array_append_val(held, h);
}

struct same_case {
	const char *label;
	const char *model[2], *adapters[2]; /* NULL: no such model */
	bool same;
};

static const struct same_case same_cases[] = {
	{ "alike", { "m", "m" }, { "a b", "a b" }, true },
	{ "nothing", { NULL, NULL }, { "", "" }, true },
	{ "one more", { "m", NULL }, { "", "" }, false },
	{ "another model", { "m", "n" }, { "", "" }, false },
	{ "another adapter", { "m", "m" }, { "a", "b" }, false },
	{ "an adapter more", { "m", "m" }, { "a", "a b" }, false },
	{ "another order", { "m", "m" }, { "b a", "a b" }, false },
};

static void holdings_are_compared(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(same_cases); i++) {
		const struct same_case *c = &same_cases[i];
		struct fleet_report r[2] = { 0 };

		for (int k = 0; k < 2; k++) {
			r[k].held = g_array_new(FALSE, FALSE,
						sizeof(struct fleet_held));
			if (c->model[k])
				hold(r[k].held, c->model[k], c->adapters[k]);
		}
		if (fleet_same_held(r[0].held, r[1].held) != c->same)
			fail_msg("%s", c->label);
		fleet_report_clear(&r[0]);
		fleet_report_clear(&r[1]);
	}
	assert_false(fleet_same_held(NULL, NULL));
	assert_false(fleet_same_names(NULL, NULL));
}

/* What the leader plans on is what the agent has read. */
static void report_comes_over_whole(void **state)
{
	struct fleet_report r = {
		.held = g_array_new(FALSE, FALSE, sizeof(struct fleet_held)),
		.in_memory = names("x y"),
		.on_disk = names("z")
	};
	GArray *held = g_array_new(FALSE, FALSE, sizeof(struct held_model));
	GPtrArray *lists =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
	GArray *memory = fleet_wire_names(r.in_memory);
	GArray *disk = fleet_wire_names(r.on_disk);
	GArray *none = fleet_wire_names(NULL);
	struct msg_endpoint m = { .busy = true,
				  .orders = 7,
				  .started_ms = 4000,
				  .running = 3,
				  .waiting = 2,
				  .tokens_used = 50,
				  .tokens_total = 90,
				  .in_memory = { memory->data, memory->len },
				  .on_disk = { disk->data, disk->len } };
	struct fleet_report got;

	(void)state;
	hold(r.held, "m", "a b");
	hold(r.held, "n", "");
	for (guint i = 0; i < r.held->len; i++)
		fleet_wire_held(held, lists,
				&g_array_index(r.held, struct fleet_held, i));
	m.held = (struct wire_list){ held->data, held->len };
	fleet_report_read(&got, &m);
	assert_true(fleet_same_held(r.held, got.held));
	assert_true(fleet_same_names(r.in_memory, got.in_memory));
	assert_true(fleet_same_names(r.on_disk, got.on_disk));
	assert_true(got.busy && !got.leaving && got.orders == 7);
	assert_true(got.self.started_ms == 4000);
	assert_true(got.running == 3 && got.waiting == 2);
	assert_true(got.tokens_used == 50 && got.tokens_total == 90);
	assert_int_equal(none->len, 0);
	g_array_unref(held);
	g_ptr_array_unref(lists);
	g_array_unref(memory);
	g_array_unref(disk);
	g_array_unref(none);
	fleet_report_clear(&r);
	fleet_report_clear(&got);
}

struct judge_case {
	const char *label;
	struct fleet_incarnation known, told;
	enum fleet_told want;
	struct fleet_incarnation then; /* known, with what is told learned */
};

/*
 * Symptom: orders, calls and beliefs meet a server that knows nothing of
 * them. Sequence: it restarts under the id that it had; words of its former
 * life are still on their way. Cause: the id taken for the incarnation.
 */
static const struct judge_case judge_cases[] = {
	{ "alike",
	  { "a", 5, NULL },
	  { "a", 5, NULL },
	  FLEET_SAME,
	  { "a", 5, NULL } },
	{ "restarted",
	  { "a", 5, NULL },
	  { "a", 6, NULL },
	  FLEET_RESTARTED,
	  { "a", 6, NULL } },
	{ "late",
	  { "a", 6, NULL },
	  { "a", 5, NULL },
	  FLEET_LATE,
	  { "a", 6, NULL } },
	{ "another id",
	  { "a", 5, NULL },
	  { "b", 6, NULL },
	  FLEET_RESTARTED,
	  { "b", 6, NULL } },
	{ "of a VM whose clock is behind",
	  { "a", 6, NULL },
	  { "b", 5, NULL },
	  FLEET_RESTARTED,
	  { "b", 5, NULL } },
	{ "another id without a start",
	  { "a", 5, NULL },
	  { "b", 0, NULL },
	  FLEET_RESTARTED,
	  { "b", 0, NULL } },
	{ "no start told",
	  { "a", 5, NULL },
	  { "a", 0, NULL },
	  FLEET_SAME,
	  { "a", 5, NULL } },
	{ "no start known",
	  { "a", 0, NULL },
	  { "a", 5, NULL },
	  FLEET_SAME,
	  { "a", 5, NULL } },
	{ "no id told",
	  { "a", 5, NULL },
	  { NULL, 6, NULL },
	  FLEET_RESTARTED,
	  { "a", 6, NULL } },
	{ "late without an id",
	  { "a", 6, NULL },
	  { NULL, 5, NULL },
	  FLEET_LATE,
	  { "a", 6, NULL } },
	{ "late, and its id is all we have",
	  { "", 6, NULL },
	  { "a", 5, NULL },
	  FLEET_LATE,
	  { "a", 6, NULL } },
	{ "nothing known",
	  { NULL, 0, NULL },
	  { "a", 5, NULL },
	  FLEET_SAME,
	  { "a", 5, NULL } },
	{ "nothing told",
	  { "a", 5, NULL },
	  { "", 0, NULL },
	  FLEET_SAME,
	  { "a", 5, NULL } },
	{ "its version",
	  { "a", 5, NULL },
	  { "a", 5, "1" },
	  FLEET_SAME,
	  { "a", 5, "1" } },
	{ "no version told",
	  { "a", 5, "1" },
	  { "a", 5, NULL },
	  FLEET_SAME,
	  { "a", 5, "1" } },
	{ "restarted, its version not told yet",
	  { "a", 5, "1" },
	  { "a", 6, NULL },
	  FLEET_RESTARTED,
	  { "a", 6, NULL } },
	{ "another version of one start",
	  { "a", 5, "1" },
	  { "a", 5, "2" },
	  FLEET_SAME,
	  { "a", 5, "1" } },
	{ "another version under its id",
	  { "a", 0, "1" },
	  { "a", 0, "2" },
	  FLEET_RESTARTED,
	  { "a", 0, "2" } },
	{ "the former version, late",
	  { "a", 6, "2" },
	  { "a", 5, "1" },
	  FLEET_LATE,
	  { "a", 6, "2" } },
	{ "the former version, late, and this one's not told",
	  { "a", 6, NULL },
	  { "a", 5, "1" },
	  FLEET_LATE,
	  { "a", 6, NULL } },
	{ "another id, its version not told yet",
	  { "a", 5, "1" },
	  { "b", 0, NULL },
	  FLEET_RESTARTED,
	  { "b", 0, NULL } },
};

static void incarnations_are_judged(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(judge_cases); i++) {
		const struct judge_case *c = &judge_cases[i];
		struct fleet_incarnation k = {
			.id = g_strdup(c->known.id),
			.started_ms = c->known.started_ms,
			.version = g_strdup(c->known.version),
		};

		if (fleet_incarnation_judge(&k, &c->told) != c->want)
			fail_msg("%s: judged wrongly", c->label);
		fleet_incarnation_learn(&k, &c->told);
		if (g_strcmp0(k.version, c->then.version))
			fail_msg("%s: learned version %s", c->label, k.version);
		if (g_strcmp0(k.id, c->then.id) ||
		    k.started_ms != c->then.started_ms)
			fail_msg("%s: learned %s %" PRId64, c->label, k.id,
				 k.started_ms);
		fleet_incarnation_clear(&k);
	}
}

struct count_case {
	const char *label;
	int64_t known_ms, told_ms;
	uint64_t known, told;
	enum fleet_told want;
};

static const struct count_case count_cases[] = {
	{ "one order more", 5, 5, 2, 3, FLEET_SAME },
	{ "an older report", 5, 5, 3, 2, FLEET_LATE },
	{ "counts anew, no start told", 0, 0, 3, 0, FLEET_RESTARTED },
	{ "counts anew, start known", 5, 0, 3, 0, FLEET_RESTARTED },
	{ "restarted, and counted further", 5, 6, 3, 4, FLEET_RESTARTED },
	{ "of the former life, counted further", 6, 5, 0, 9, FLEET_LATE },
};

static void reports_are_judged(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(count_cases); i++) {
		const struct count_case *c = &count_cases[i];
		struct fleet_incarnation k = { .id = "a",
					       .started_ms = c->known_ms };
		struct fleet_report r = { .self = { .started_ms = c->told_ms },
					  .orders = c->told };

		if (fleet_report_judge(&k, c->known, &r) != c->want)
			fail_msg("%s", c->label);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(holdings_are_compared),
		cmocka_unit_test(report_comes_over_whole),
		cmocka_unit_test(incarnations_are_judged),
		cmocka_unit_test(reports_are_judged),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
