/* Tests of the settings templates in deploy/: filled in as the platform does
 * it, the programs accept them. */
#include "unit.h"

#include <json-c/json.h>
#include <math.h>
#include <unistd.h>

#include "../src/config/config.h"

/* Rounds; each fills the template with new random numbers. */
#define FILL_ROUNDS 2000

/* Returns the value at a path such as "bounds.graceS"; NULL if it is absent. */
static json_object *value_at_path(json_object *o, const char *path)
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

/* Fills a section: once per item of a list, or once for any other value except
 * false. */
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
	json_object *v = strcmp(name, ".") ? value_at_path(all, name) : item;

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
				     value_at_path(all, name + 1));
			after = close + strlen(mark);
			g_free(mark);
		} else {
			fill_name(out, name, all, item, last);
		}
		g_free(name);
		text = after;
	}
}

/* Returns the values that the platform gives to a process. */
static json_object *platform_values(const char *bounds)
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
		fail_msg("not valid values of the platform: %s", text);
	g_free(text);
	return o;
}

/* Returns the filled template, as the process reads it. */
static GString *fill_template(const char *file, const char *bounds)
{
	json_object *all = platform_values(bounds);
	GString *out = g_string_new(NULL);
	char *template;
	gsize n;

	assert_true(g_file_get_contents(file, &template, &n, NULL));
	fill(out, template, template + n, all, NULL, true);
	g_free(template);
	json_object_put(all);
	return out;
}

/* Ways to write a bound; NULL: it is absent. */
static const struct number {
	const char *text;
	double value; /* NAN: not a number */
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
	double min, max;
} bounds[] = {
	{ "graceS", "fleet.grace_s", 0, 3600 },
	{ "retryRatio", "fleet.retry_ratio", 0, 10 },
	{ "retryWindowS", "fleet.retry_window_s", 0.1, 3600 },
	{ "retrySlack", "fleet.retry_slack", 0, 1000000 },
};

/* Draws some bounds, at most one of them out of range, and returns the setting
 * of that one or NULL. */
static const char *draw_bounds(GString *out, uint64_t *seed)
{
	const char *invalid_setting = NULL;

	for (size_t k = 0; k < G_N_ELEMENTS(bounds); k++) {
		const struct bound *b = &bounds[k];
		const struct number *v =
			&numbers[ss_random(seed) % G_N_ELEMENTS(numbers)];
		bool valid = v->value >= b->min && v->value <= b->max;

		if (!v->text || (!valid && invalid_setting))
			continue;
		if (!valid)
			invalid_setting = b->setting;
		g_string_append_printf(out, "%s\"%s\":%s", out->len ? "," : "",
				       b->key, v->text);
	}
	return invalid_setting;
}

/* Checks that the error names the file, and also the field unless the file
 * isn't JSON. */
static void check_fault(const GError *error, const char *invalid_setting)
{
	if (error->code != SS_ERROR_SETTINGS ||
	    !g_str_has_prefix(error->message, "node.json:") ||
	    (!strstr(error->message, invalid_setting) &&
	     !strstr(error->message, "not JSON")))
		fail_msg("%s isn't in the error: %s", invalid_setting,
			 error->message);
}

/*
 * Guards against processes that exit at every start because a small deployment
 * has a bound of 6.25 or lacks a bound. That happens if the settings require an
 * integer, or the template a value for each bound.
 */
static void templates_accept_any_bound(void **state)
{
	uint64_t seed = 20261203;

	(void)state;
	for (int i = 0; i < FILL_ROUNDS; i++) {
		GString *drawn = g_string_new(NULL);
		const char *invalid_setting = draw_bounds(drawn, &seed);
		GString *text = fill_template("deploy/entry.json", drawn->str);
		GError *error = NULL;
		struct config c;

		if (settings_parse(&config_type, &c, "node.json",
				   ss_str_gs(text), &error)) {
			if (invalid_setting)
				fail_msg("%s was accepted: %s", invalid_setting,
					 drawn->str);
			config_clear(&c);
		} else if (invalid_setting) {
			check_fault(error, invalid_setting);
		} else {
			fail_msg("%s: %s", drawn->str, error->message);
		}
		g_clear_error(&error);
		g_string_free(drawn, TRUE);
		g_string_free(text, TRUE);
	}
}

static void every_template_is_valid(void **state)
{
	static const char *const files[] = { "deploy/entry.json",
					     "deploy/control.json",
					     "deploy/agent.json" };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
		GString *text = fill_template(files[i],
					      "\"graceS\":8,\"leaseMs\":2.5e3");
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
 * Guards against an entry that truncates all its answers as soon as a planned
 * stop begins. That happens if the template turns a grace time of 2.5 s into
 * milliseconds by appending zeros, "2.5000": bounds may be fractional.
 */
static void grace_time_may_be_fractional(void **state)
{
	GString *s = fill_template("deploy/entry.json",
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

/* A bound on retries applies to all processes together, so the share of one may
 * be fractional and must not be rounded. */
static void fractional_bounds_are_kept_exact(void **state)
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
		cmocka_unit_test(templates_accept_any_bound),
		cmocka_unit_test(every_template_is_valid),
		cmocka_unit_test(grace_time_may_be_fractional),
		cmocka_unit_test(fractional_bounds_are_kept_exact),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
