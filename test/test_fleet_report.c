/* Reports of engines: comparison, incarnations, and conversion to wire messages
 * and back. */
#include "unit.h"

#include "../src/core/fleet_wire.h"

static GPtrArray *split_names(const char *list)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	char **parts = g_strsplit(list, " ", -1);

	for (char **n = parts; *n; n++)
		if (**n)
			g_ptr_array_add(names, g_strdup(*n));
	g_strfreev(parts);
	return names;
}

static void add_held(GArray *held, const char *model, const char *adapters)
{
	struct fleet_held_model h = { .model = g_strdup(model),
				      .adapters = split_names(adapters) };

	g_array_append_val(held, h);
}

struct same_case {
	const char *label;
	const char *model[2], *adapters[2]; /* NULL: no such model */
	bool same;
};

static const struct same_case same_cases[] = {
	{ "equal", { "m", "m" }, { "a b", "a b" }, true },
	{ "no models", { NULL, NULL }, { "", "" }, true },
	{ "an additional model", { "m", NULL }, { "", "" }, false },
	{ "a different model", { "m", "n" }, { "", "" }, false },
	{ "a different adapter", { "m", "m" }, { "a", "b" }, false },
	{ "an additional adapter", { "m", "m" }, { "a", "a b" }, false },
	{ "a different order of adapters",
	  { "m", "m" },
	  { "b a", "a b" },
	  false },
};

static void held_models_are_compared(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(same_cases); i++) {
		const struct same_case *c = &same_cases[i];
		struct fleet_report r[2] = { 0 };

		for (int k = 0; k < 2; k++) {
			r[k].held = g_array_new(
				FALSE, FALSE, sizeof(struct fleet_held_model));
			if (c->model[k])
				add_held(r[k].held, c->model[k],
					 c->adapters[k]);
		}
		if (fleet_same_held(r[0].held, r[1].held) != c->same)
			fail_msg("%s", c->label);
		fleet_report_clear(&r[0]);
		fleet_report_clear(&r[1]);
	}
	assert_false(fleet_same_held(NULL, NULL));
	assert_false(fleet_same_names(NULL, NULL));
}

/* Guards against a leader that plans with something else than what the agent
 * has read from the engine. */
static void report_is_encoded_unchanged(void **state)
{
	struct fleet_report r = { .held = g_array_new(
					  FALSE, FALSE,
					  sizeof(struct fleet_held_model)),
				  .in_memory = split_names("x y"),
				  .on_disk = split_names("z") };
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
	add_held(r.held, "m", "a b");
	add_held(r.held, "n", "");
	for (guint i = 0; i < r.held->len; i++)
		fleet_wire_add_held(held, lists,
				    &g_array_index(r.held,
						   struct fleet_held_model, i));
	m.held = (struct wire_list){ held->data, held->len };
	fleet_report_read(&got, &m);
	assert_true(fleet_same_held(r.held, got.held));
	assert_true(fleet_same_names(r.in_memory, got.in_memory));
	assert_true(fleet_same_names(r.on_disk, got.on_disk));
	assert_true(got.busy && !got.draining && got.orders == 7);
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

struct incarnation_case {
	const char *label;
	struct fleet_incarnation known, reported;
	enum fleet_relation expected;
	struct fleet_incarnation updated; /* known, after the update */
};

/*
 * Guards against orders, calls and state of an earlier incarnation of an engine
 * that are applied to a later one. This happens if the id alone identifies the
 * incarnation: an engine restarts with the same id while messages about its
 * earlier incarnation are still in transit.
 */
static const struct incarnation_case incarnation_cases[] = {
	{ "equal",
	  { "a", 5, NULL },
	  { "a", 5, NULL },
	  FLEET_SAME,
	  { "a", 5, NULL } },
	{ "restarted",
	  { "a", 5, NULL },
	  { "a", 6, NULL },
	  FLEET_RESTARTED,
	  { "a", 6, NULL } },
	{ "stale",
	  { "a", 6, NULL },
	  { "a", 5, NULL },
	  FLEET_STALE,
	  { "a", 6, NULL } },
	{ "a different id",
	  { "a", 5, NULL },
	  { "b", 6, NULL },
	  FLEET_RESTARTED,
	  { "b", 6, NULL } },
	{ "a different id, on a VM whose clock is behind",
	  { "a", 6, NULL },
	  { "b", 5, NULL },
	  FLEET_RESTARTED,
	  { "b", 5, NULL } },
	{ "a different id without a start",
	  { "a", 5, NULL },
	  { "b", 0, NULL },
	  FLEET_RESTARTED,
	  { "b", 0, NULL } },
	{ "no start reported",
	  { "a", 5, NULL },
	  { "a", 0, NULL },
	  FLEET_SAME,
	  { "a", 5, NULL } },
	{ "no start known",
	  { "a", 0, NULL },
	  { "a", 5, NULL },
	  FLEET_SAME,
	  { "a", 5, NULL } },
	{ "no id reported",
	  { "a", 5, NULL },
	  { NULL, 6, NULL },
	  FLEET_RESTARTED,
	  { "a", 6, NULL } },
	{ "stale without an id",
	  { "a", 6, NULL },
	  { NULL, 5, NULL },
	  FLEET_STALE,
	  { "a", 6, NULL } },
	{ "stale, with an id that wasn't known",
	  { "", 6, NULL },
	  { "a", 5, NULL },
	  FLEET_STALE,
	  { "a", 6, NULL } },
	{ "nothing known",
	  { NULL, 0, NULL },
	  { "a", 5, NULL },
	  FLEET_SAME,
	  { "a", 5, NULL } },
	{ "nothing reported",
	  { "a", 5, NULL },
	  { "", 0, NULL },
	  FLEET_SAME,
	  { "a", 5, NULL } },
	{ "the version is reported",
	  { "a", 5, NULL },
	  { "a", 5, "1" },
	  FLEET_SAME,
	  { "a", 5, "1" } },
	{ "no version reported",
	  { "a", 5, "1" },
	  { "a", 5, NULL },
	  FLEET_SAME,
	  { "a", 5, "1" } },
	{ "restarted, version not reported yet",
	  { "a", 5, "1" },
	  { "a", 6, NULL },
	  FLEET_RESTARTED,
	  { "a", 6, NULL } },
	{ "a different version with the same start",
	  { "a", 5, "1" },
	  { "a", 5, "2" },
	  FLEET_SAME,
	  { "a", 5, "1" } },
	{ "a different version with the same id, no start",
	  { "a", 0, "1" },
	  { "a", 0, "2" },
	  FLEET_RESTARTED,
	  { "a", 0, "2" } },
	{ "the earlier version, stale",
	  { "a", 6, "2" },
	  { "a", 5, "1" },
	  FLEET_STALE,
	  { "a", 6, "2" } },
	{ "the earlier version, stale, and the current one isn't known",
	  { "a", 6, NULL },
	  { "a", 5, "1" },
	  FLEET_STALE,
	  { "a", 6, NULL } },
	{ "a different id, version not reported yet",
	  { "a", 5, "1" },
	  { "b", 0, NULL },
	  FLEET_RESTARTED,
	  { "b", 0, NULL } },
};

static void incarnations_are_compared(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(incarnation_cases); i++) {
		const struct incarnation_case *c = &incarnation_cases[i];
		struct fleet_incarnation k = {
			.id = g_strdup(c->known.id),
			.started_ms = c->known.started_ms,
			.version = g_strdup(c->known.version),
		};

		if (fleet_incarnation_compare(&k, &c->reported) != c->expected)
			fail_msg("%s: wrong relation", c->label);
		fleet_incarnation_update(&k, &c->reported);
		if (g_strcmp0(k.version, c->updated.version))
			fail_msg("%s: updated version %s", c->label, k.version);
		if (g_strcmp0(k.id, c->updated.id) ||
		    k.started_ms != c->updated.started_ms)
			fail_msg("%s: updated to %s %" PRId64, c->label, k.id,
				 k.started_ms);
		fleet_incarnation_clear(&k);
	}
}

struct order_count_case {
	const char *label;
	int64_t known_ms, reported_ms;
	uint64_t known, reported;
	enum fleet_relation expected;
};

static const struct order_count_case order_count_cases[] = {
	{ "one additional order", 5, 5, 2, 3, FLEET_SAME },
	{ "an older report", 5, 5, 3, 2, FLEET_STALE },
	{ "the count restarts, no start reported", 0, 0, 3, 0,
	  FLEET_RESTARTED },
	{ "the count restarts, start known", 5, 0, 3, 0, FLEET_RESTARTED },
	{ "restarted, with a higher count", 5, 6, 3, 4, FLEET_RESTARTED },
	{ "the earlier incarnation, with a higher count", 6, 5, 0, 9,
	  FLEET_STALE },
};

static void report_order_counts_are_compared(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(order_count_cases); i++) {
		const struct order_count_case *c = &order_count_cases[i];
		struct fleet_incarnation k = { .id = "a",
					       .started_ms = c->known_ms };
		struct fleet_report r = { .self = { .started_ms =
							    c->reported_ms },
					  .orders = c->reported };

		if (fleet_report_compare(&k, c->known, &r) != c->expected)
			fail_msg("%s", c->label);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(held_models_are_compared),
		cmocka_unit_test(report_is_encoded_unchanged),
		cmocka_unit_test(incarnations_are_compared),
		cmocka_unit_test(report_order_counts_are_compared),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
