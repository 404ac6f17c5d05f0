/* Settings and presets: error messages, defaults and the example files. */
#include "unit.h"

#include "../src/config/config.h"
#include "../src/core/preset.h"

struct error_case {
	const char *label, *text, *want;
};

static const struct error_case preset_errors[] = {
	{ "not JSON", "{\"classes\": {", "p:1: not JSON" },
	{ "line of a syntax error", "{\n\n  \"cold_weight\": ]\n}",
	  "p:3: not JSON" },
	{ "unknown setting",
	  "{\"classes\":{\"interactive\":{"
	  "\"deadline_ms\":1}},\n\"cold_wait\": 3}",
	  "p:2: cold_wait: unknown setting" },
	{ "range",
	  "{\n\"cold_weight\": 101,\n\"classes\":{\"interactive\":{"
	  "\"deadline_ms\":1}}}",
	  "p:2: cold_weight: 101 is out of range: 0 to 100" },
	{ "type",
	  "{\"cold_weight\": \"much\",\"classes\":{\"interactive\":{"
	  "\"deadline_ms\":1}}}",
	  "p:1: cold_weight: expected a whole number from 0 to 100" },
	{ "missing", "{}", "p:1: classes: missing, and it has no default" },
	{ "nested",
	  "{\"classes\": {\n  \"interactive\": {\n"
	  "    \"deadline_ms\": 0\n  }\n}}",
	  "p:3: classes.interactive.deadline_ms: 0 is out of range" },
	{ "the comment isn't the setting",
	  "{ // \"cold_weight\": 1\n/* \"cold_weight\": 2,\n*/\n"
	  "\"cold_weight\": -1,"
	  "\"classes\":{\"interactive\":{\"deadline_ms\":1}}}",
	  "p:4: cold_weight: -1 is out of range" },
	{ "default class",
	  "{\"default_class\":\"x\",\"classes\":{"
	  "\"interactive\":{\"deadline_ms\":1}}}",
	  "default_class: \"x\" is not among the classes" },
	{ "bounds",
	  "{\"keep_min_ms\":9,\"keep_max_ms\":8,\"classes\":{"
	  "\"interactive\":{\"deadline_ms\":1}}}",
	  "keep_min_ms: greater than keep_max_ms" },
	{ "a list where an object belongs", "[]", "expected an object" },
};

static void preset_errors_are_reported(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(preset_errors); i++) {
		struct preset p;
		GError *error = NULL;

		assert_false(preset_parse(
			&p, "p", ss_str(preset_errors[i].text), &error));
		if (!strstr(error->message, preset_errors[i].want))
			fail_msg("%s: %s", preset_errors[i].label,
				 error->message);
		assert_int_equal(error->code, SS_ERROR_SETTINGS);
		g_error_free(error);
	}
}

/* One parse reports all errors of a file, each with its line. */
static void all_errors_are_reported_at_once(void **state)
{
	static const char text[] =
		"{\n\"role\": \"clerk\",\n\"name\": 5,\n\"domian\": \"x\",\n"
		"\"log_level\": 3,\n\"control\": \"a\",\n\"entry\": {\n"
		"\"listen\": 8080,\n\"max_body_bytes\": 0,\n"
		"\"receive_ms\": 1,\n\"drain_ms\": -1,\n\"headers\": [],\n"
		"\"rules\": {\n\"r\": {\n\"method\": 1,\n\"repeat\": true\n"
		"}}},\n\"agent\": {\n\"kind\": \"oven\",\n\"slots\": 0\n},\n"
		"\"control_vm\": {\n\"snapshot_entries\": 1,\n"
		"\"data\": false\n}\n}\n";
	static const char *const want[] = {
		":2: role: expected one of entry, agent, control",
		":3: name: expected a string",
		":4: domian: unknown setting",
		":5: log_level: expected a string",
		":6: control: expected a list of strings",
		":8: entry.listen: expected a string",
		":9: entry.max_body_bytes: 0 is out of range",
		":10: entry.receive_ms: 1 is out of range",
		":11: entry.drain_ms: -1 is out of range",
		":12: entry.headers: expected an object",
		":15: entry.rules.r.method: expected a string",
		":16: entry.rules.r.repeat: unknown setting",
		":14: entry.rules.r.repeatable: missing",
		":19: agent.kind: expected one of engine, service",
		":20: agent.slots: 0 is out of range",
		":23: control_vm.snapshot_entries: 1 is out of range",
		":24: control_vm.data: expected a string",
	};
	struct config c;
	GError *error = NULL;

	(void)state;
	assert_false(
		settings_parse(&config_type, &c, "f", ss_str(text), &error));
	for (size_t i = 0; i < G_N_ELEMENTS(want); i++)
		if (!strstr(error->message, want[i]))
			fail_msg("missing \"%s\" in\n%s", want[i],
				 error->message);
	g_error_free(error);
}

static void defaults_and_comments(void **state)
{
	static const char text[] =
		"{ // a comment\n\"role\": \"entry\", /* and\nanother */\n"
		"\"name\": \"e // no comment\", \"control\": []}";
	struct config c;
	GError *error = NULL;

	(void)state;
	if (!settings_parse(&config_type, &c, "f", ss_str(text), &error))
		fail_msg("%s", error->message);
	assert_string_equal(c.name, "e // no comment");
	assert_string_equal(c.entry.listen, "127.0.0.1:8080");
	assert_string_equal(c.entry.headers.deadline, "X-Deadline-Ms");
	assert_int_equal(c.ctl.snapshot_entries, 2000);
	config_clear(&c);
}

static const char *const config_files[] = {
	"conf/dotace/control.json",    "conf/dotace/entry.json",
	"conf/dotace/agent.json",      "conf/dotace/service.json",
	"conf/tanfolyam/control.json", "conf/tanfolyam/entry.json",
	"conf/tanfolyam/agent.json",   "conf/tanfolyam/service.json",
	"conf/fleet/control.json",     "conf/fleet/entry.json",
	"conf/fleet/agent.json",
};

/*
 * Guards against an upgrade that makes presets in the log unreadable because
 * they use the field names of an older version.
 */
static void old_presets_are_readable(void **state)
{
	static const char text[] =
		"{\"classes\":{\"interactive\":{\"deadline_ms\":9}},"
		"\"tenant_max_waiting\":7,\"tenants\":{\"a\":{\"share\":3}}}";
	struct preset p;

	(void)state;
	assert_true(preset_parse(&p, "p", ss_str(text), NULL));
	assert_int_equal(p.customer_max_waiting, 7);
	assert_int_equal(preset_customer_of(&p, SS_LIT("a"))->share, 3);
	preset_clear(&p);
}

static const char *const preset_files[] = {
	"conf/dotace/presets/ordinary.json",
	"conf/dotace/presets/peak.json",
	"conf/dotace/presets/maintenance.json",
	"conf/tanfolyam/presets/ordinary.json",
	"conf/tanfolyam/presets/peak.json",
	"conf/tanfolyam/presets/maintenance.json",
	"conf/fleet/presets/ordinary.json",
	"conf/fleet/presets/peak.json",
	"conf/fleet/presets/maintenance.json",
};

static void example_files_are_valid(void **state)
{
	GError *error = NULL;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(config_files); i++) {
		struct config c;

		if (!config_load(&c, config_files[i], &error))
			fail_msg("%s", error->message);
		config_clear(&c);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(preset_files); i++) {
		struct preset p;
		char *text;
		gsize n;

		assert_true(
			g_file_get_contents(preset_files[i], &text, &n, NULL));
		if (!preset_parse(&p, preset_files[i],
				  (struct ss_str){ text, n }, &error))
			fail_msg("%s", error->message);
		preset_clear(&p);
		g_free(text);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(preset_errors_are_reported),
		cmocka_unit_test(old_presets_are_readable),
		cmocka_unit_test(all_errors_are_reported_at_once),
		cmocka_unit_test(defaults_and_comments),
		cmocka_unit_test(example_files_are_valid),
	};

	return cmocka_run_group_tests_name("settings", tests, NULL, NULL);
}
