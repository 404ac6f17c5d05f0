/* Settings as the platform fills them in, from deploy/, read by the programs.
 */
#include "unit.h"

#include <json-c/json.h>
#include <math.h>
#include <unistd.h>

#include "../src/config/config.h"

/* Fillings of each template; each draws all numbers anew. */
#define FILLINGS 2000

/* What stands at a path such as "bounds.graceS"; NULL: nothing. */
static json_object *at_path(json_object *o, const char *path)
{
	char **keys = g_strsplit(path, ".", -1);

	for (char **k = keys; o && *k; k++) {
		json_object *next = NULL;

		if (json_object_is_type(o, json_type_array))
			next = json_object_array_get_idx(
				o, (size_t)g_ascii_strtoull(*k, NULL, 10));
		else
			json_object_object_get_ex(o, *k, &next);
		o = next;
	}
	g_strfreev(keys);
	return o;
}

static void fill(GString *out, const char *text, const char *end,
		 json_object *all, json_object *item, bool last);

/* A section: once for each item of a list, or once where there is a value. */
static void fill_section(GString *out, const char *text, const char *end,
			 json_object *all, json_object *v)
{
	size_t n;

	if (!v || (json_object_is_type(v, json_type_boolean) &&
		   !json_object_get_boolean(v)))
		return;
	if (!json_object_is_type(v, json_type_array)) {
		fill(out, text, end, all, v, true);
		return;
	}
	n = json_object_array_length(v);
	for (size_t i = 0; i < n; i++)
		fill(out, text, end, all, json_object_array_get_idx(v, i),
		     i + 1 == n);
}

static void fill_name(GString *out, const char *name, json_object *all,
		      json_object *item, bool last)
{
	json_object *v = strcmp(name, ".") ? at_path(all, name) : item;

	if (!strcmp(name, ",")) {
		g_string_append(out, last ? "" : ",");
		return;
	}
	if (v)
		g_string_append(out, json_object_get_string(v));
}

static void fill(GString *out, const char *text, const char *end,
		 json_object *all, json_object *item, bool last)
{
	while (text < end) {
		const char *open = strstr(text, "{{"), *close, *after;
		char *name, *mark;

		if (!open || open >= end) {
			g_string_append_len(out, text, end - text);
			return;
		}
		g_string_append_len(out, text, open - text);
		close = strstr(open, "}}");
		assert_non_null(close);
		name = g_strndup(open + 2, (gsize)(close - open - 2));
		after = close + 2;
		if (*name == '#') {
			mark = g_strdup_printf("{{/%s}}", name + 1);
			close = strstr(after, mark);
			assert_non_null(close);
			fill_section(out, after, close, all,
				     at_path(all, name + 1));
			after = close + strlen(mark);
			g_free(mark);
		} else {
			fill_name(out, name, all, item, last);
		}
		g_free(name);
		text = after;
	}
}

/* All that the platform tells a process, with these bounds. */
static json_object *told_with(const char *bounds)
{
	char *text = g_strdup_printf(
		"{\"node\":\"vm-1\",\"zone\":\"za\",\"ip\":\"127.0.0.1\","
		"\"portRange\":[7380,7395],\"app\":\"127.0.0.1:8000\","
		"\"seeds\":[\"127.0.0.1:8144\",\"127.0.0.2:8144\"],"
		"\"listen\":{\"front\":\"127.0.0.1:8149\","
		"\"ready\":\"127.0.0.1:8141\","
		"\"control\":\"127.0.0.1:8144\"},\"bootstrap\":true,"
		"\"dataDir\":\"/data/c\","
		"\"limits\":{\"memoryLimitMb\":160.5},"
		"\"cloud\":{\"addr\":\"127.0.0.1:8142\"},\"bounds\":{%s}}",
		bounds);
	json_object *o = json_tokener_parse(text);

	if (!o)
		fail_msg("not what the platform tells: %s", text);
	g_free(text);
	return o;
}

/* A template as a process finds it. */
static GString *filled(const char *file, const char *bounds)
{
	json_object *all = told_with(bounds);
	GString *out = g_string_new(NULL);
	char *template;
	gsize n;

	assert_true(g_file_get_contents(file, &template, &n, NULL));
	fill(out, template, template + n, all, NULL, true);
	g_free(template);
	json_object_put(all);
	return out;
}

/* How a bound may be written; NULL: it isn't told. */
static const struct number {
	const char *text;
	double value; /* NAN: it is no number */
} numbers[] = {
	{ NULL, 0 },	    { "0", 0 },	      { "1", 1 },
	{ "250", 250 },	    { "6.25", 6.25 }, { "0.1", 0.1 },
	{ "250.0", 250 },   { "2.5e2", 250 }, { "1e1", 10 },
	{ "62", 62 },	    { "1e-1", 0.1 },  { "1e300", 1e300 },
	{ "-1", -1 },	    { "-0.5", -0.5 }, { "\"ten\"", NAN },
	{ "\"1 0\"", NAN },
};

static const struct bound {
	const char *key, *setting;
	double least, most;
} bounds[] = {
	{ "graceS", "fleet.grace_s", 0, 3600 },
	{ "retryRatio", "fleet.retry_ratio", 0, 10 },
	{ "retryWindowS", "fleet.retry_window_s", 0.1, 3600 },
	{ "retrySlack", "fleet.retry_slack", 0, 1000000 },
};

/* Some bounds, of which one at the most doesn't fit: its setting, or NULL. */
static const char *draw_bounds(GString *out, uint64_t *seed)
{
	const char *wrong = NULL;

	for (size_t k = 0; k < G_N_ELEMENTS(bounds); k++) {
		const struct bound *b = &bounds[k];
		const struct number *v =
			&numbers[ss_random(seed) % G_N_ELEMENTS(numbers)];
		bool fits = v->value >= b->least && v->value <= b->most;

		if (!v->text || (!fits && wrong))
			continue;
		if (!fits)
			wrong = b->setting;
		g_string_append_printf(out, "%s\"%s\":%s", out->len ? "," : "",
				       b->key, v->text);
	}
	return wrong;
}

/* A fault is named with its file, and its field unless the file is no JSON. */
static void check_fault(const GError *error, const char *wrong)
{
	if (error->code != SS_ERROR_SETTINGS ||
	    !g_str_has_prefix(error->message, "node.json:") ||
	    (!strstr(error->message, wrong) &&
	     !strstr(error->message, "not JSON")))
		fail_msg("%s isn't named: %s", wrong, error->message);
}

/*
 * Symptom: every process ends at its start, again and again. Sequence: a
 * deployment at a small size has a bound of 6.25, or lacks one. Cause: the
 * settings wanted a whole number, and the template a value for each.
 */
static void templates_take_any_bound(void **state)
{
	uint64_t seed = 20261203;

	(void)state;
	for (int i = 0; i < FILLINGS; i++) {
		GString *drawn = g_string_new(NULL);
		const char *wrong = draw_bounds(drawn, &seed);
		GString *text = filled("deploy/entry.json", drawn->str);
		GError *error = NULL;
		struct config c;

		if (settings_parse(&config_type, &c, "node.json",
				   ss_str_gs(text), &error)) {
			if (wrong)
				fail_msg("%s was taken: %s", wrong, drawn->str);
			config_clear(&c);
		} else if (wrong) {
			check_fault(error, wrong);
		} else {
			fail_msg("%s: %s", drawn->str, error->message);
		}
		g_clear_error(&error);
		g_string_free(drawn, TRUE);
		g_string_free(text, TRUE);
	}
}

static void every_template_is_whole(void **state)
{
	static const char *const files[] = { "deploy/entry.json",
					     "deploy/control.json",
					     "deploy/agent.json" };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
		GString *text =
			filled(files[i], "\"graceS\":8,\"leaseMs\":2.5e3");
		GError *error = NULL;
		struct config c;

		if (!settings_parse(&config_type, &c, files[i], ss_str_gs(text),
				    &error))
			fail_msg("%s", error->message);
		assert_int_equal(c.control->len, 2);
		assert_int_equal(c.control_port, 7380);
		assert_true(c.fleet.on);
		assert_true(c.fleet.lease_ms ==
			    (c.role == CONFIG_CONTROL ? 2500 : 3000));
		assert_true(c.fleet.memory_mb ==
			    (c.role == CONFIG_ENTRY ? 160.5 : 0));
		config_clear(&c);
		g_string_free(text, TRUE);
	}
}

/*
 * Symptom: an entry cuts all its answers as soon as a planned stop begins.
 * Sequence: the platform's grace time is 2.5 s; the template makes milliseconds
 * of it by writing zeros behind the figure, "2.5000". Cause: bounds needn't be
 * whole numbers.
 */
static void seconds_need_not_be_whole(void **state)
{
	GString *s = filled("deploy/entry.json",
			    "\"graceS\":2.5,\"retryRatio\":0.2,"
			    "\"retryWindowS\":0.5,\"retrySlack\":64");
	char *name = g_strdup("settings-XXXXXX");
	GError *error = NULL;
	struct config c;
	char *path;
	int fd;

	(void)state;
	fd = g_file_open_tmp(name, &path, NULL);
	assert_true(fd >= 0);
	assert_int_equal(write(fd, s->str, s->len), (ssize_t)s->len);
	close(fd);
	if (!config_load(&c, path, &error))
		fail_msg("%s", error->message);
	assert_true(c.fleet.grace_s == 2.5);
	assert_true(c.fleet.retry_window_s == 0.5);
	config_clear(&c);
	unlink(path);
	g_string_free(s, TRUE);
	g_free(path);
	g_free(name);
}

/* A share of a repeat is no repeat: what all together may send is a bound. */
static void share_of_a_bound_is_kept_exact(void **state)
{
	static const char text[] =
		"{\"role\":\"entry\",\"name\":\"e\",\"control\":[],"
		"\"control_port\":7380.0,"
		"\"fleet\":{\"on\":true,\"retry_slack\":6.25}}";
	struct config c;
	GError *error = NULL;

	(void)state;
	if (!settings_parse(&config_type, &c, "f", ss_str(text), &error))
		fail_msg("%s", error->message);
	assert_true(c.fleet.retry_slack == 6.25);
	assert_int_equal(c.control_port, 7380);
	config_clear(&c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(templates_take_any_bound),
		cmocka_unit_test(every_template_is_whole),
		cmocka_unit_test(seconds_need_not_be_whole),
		cmocka_unit_test(share_of_a_bound_is_kept_exact),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
