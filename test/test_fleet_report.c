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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(holdings_are_compared),
		cmocka_unit_test(report_comes_over_whole),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
