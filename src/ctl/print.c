/* Prints responses of the operator API as human-readable text. */
#include "print.h"

#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static json_object *get(json_object *o, const char *key)
{
	json_object *v = NULL;

	json_object_object_get_ex(o, key, &v);
	return v;
}

static const char *get_text(json_object *o, const char *key)
{
	const char *s = json_object_get_string(get(o, key));

	return s ? s : "";
}

static int64_t get_number(json_object *o, const char *key)
{
	return json_object_get_int64(get(o, key));
}

static size_t length(json_object *list)
{
	return list ? json_object_array_length(list) : 0;
}

static void for_each(json_object *o, const char *key,
		     void (*fn)(json_object *item))
{
	json_object *list = get(o, key);

	for (size_t i = 0; i < length(list); i++)
		fn(json_object_array_get_idx(list, i));
}

void print_version(json_object *o)
{
	if (!get(o, "version"))
		return;
	printf("version %" PRId64 "%s\n", get_number(o, "version"),
	       json_object_get_boolean(get(o, "resend")) ?
		       " (sent before; not applied again)" :
		       "");
}

static void print_preset_row(json_object *p)
{
	printf("%-24s version %" PRId64 "\n", get_text(p, "name"),
	       get_number(p, "version"));
}

void print_presets(json_object *o)
{
	for_each(o, "presets", print_preset_row);
	printf("in force: %s (version %" PRId64 ")\n", get_text(o, "in_force"),
	       get_number(o, "version"));
}

void print_preset(json_object *o)
{
	print_preset_row(o);
	printf("%s\n", json_object_to_json_string_ext(get(o, "body"),
						      JSON_C_TO_STRING_PRETTY));
}

static void print_change(json_object *c)
{
	time_t at = (time_t)(get_number(c, "at_ms") / 1000);
	char timestamp[32];
	struct tm tm;

	localtime_r(&at, &tm);
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%d %H:%M:%S", &tm);
	printf("%8" PRId64 "  %s  %-10s %-10s %s\n", get_number(c, "version"),
	       timestamp, get_text(c, "author"), get_text(c, "result"),
	       get_text(c, "what"));
}

void print_history(json_object *o)
{
	for_each(o, "history", print_change);
}

static void print_model(json_object *m)
{
	printf("%-40s %-16s %12" PRId64 " bytes %4" PRId64 " slots  %s\n",
	       get_text(m, "name"), get_text(m, "pool"), get_number(m, "bytes"),
	       get_number(m, "slots"), get_text(m, "base"));
}

void print_models(json_object *o)
{
	for_each(o, "models", print_model);
}

static void print_member(json_object *m)
{
	printf("  %-16s %s  %-22s %-8s match %" PRId64 "%s\n",
	       get_text(m, "name"), get_text(m, "id"), get_text(m, "addr"),
	       json_object_get_boolean(get(m, "voter")) ? "voter" : "learner",
	       get_number(m, "match"),
	       json_object_get_boolean(get(m, "leads")) ? "  leads" : "");
}

void print_members(json_object *o)
{
	for_each(o, "members", print_member);
}

static void print_process(json_object *p)
{
	printf("  %-16s %-8s %-14s configuration %" PRId64 "\n",
	       get_text(p, "name"), get_text(p, "role"), get_text(p, "domain"),
	       get_number(p, "config"));
}

static void print_node(json_object *n)
{
	printf("  %-16s %-14s %-14s %-9s %s %" PRId64 " of %" PRId64 " bytes\n",
	       get_text(n, "name"), get_text(n, "pool"), get_text(n, "domain"),
	       get_text(n, "state"),
	       json_object_get_boolean(get(n, "usable")) ? "usable  " :
							   "unusable",
	       get_number(n, "reserved"), get_number(n, "bytes"));
}

static void print_replica(json_object *r)
{
	printf("  %-8" PRId64 " %-32s on %-16s %-9s active %" PRId64
	       " idle %" PRId64 " ms, loaded in %" PRId64 " ms\n",
	       get_number(r, "id"), get_text(r, "model"), get_text(r, "node"),
	       get_text(r, "state"), get_number(r, "active"),
	       get_number(r, "idle_ms"), get_number(r, "load_ms"));
}

static void print_queue(json_object *q)
{
	printf("  %-32s %" PRId64 " waiting at %" PRId64 " entries\n",
	       get_text(q, "model"), get_number(q, "waiting"),
	       get_number(q, "entries"));
}

void print_status(json_object *o)
{
	printf("leader %s, term %" PRId64 ", log applied to %" PRId64 "\n",
	       get_text(o, "leader"), get_number(o, "term"),
	       get_number(o, "applied"));
	printf("in force: %s (version %" PRId64 ")\n", get_text(o, "in_force"),
	       get_number(o, "version"));
	printf("control:\n");
	for_each(o, "members", print_member);
	printf("processes:\n");
	for_each(o, "processes", print_process);
	printf("endpoints:\n");
	for_each(o, "nodes", print_node);
	printf("replicas:\n");
	for_each(o, "replicas", print_replica);
	printf("queues:\n");
	for_each(o, "queues", print_queue);
}

static void print_customer(json_object *c)
{
	printf("%-24s %4" PRId64 " %-8s %12" PRId64 " %12" PRId64 " %12" PRId64
	       " %12" PRId64 " %7" PRId64 " %14" PRId64 " %14" PRId64 "\n",
	       get_text(c, "name"), get_number(c, "keys"), get_text(c, "unit"),
	       get_number(c, "per_s"), get_number(c, "burst"),
	       get_number(c, "left"), get_number(c, "held"),
	       get_number(c, "entries"), get_number(c, "granted"),
	       get_number(c, "refused"));
}

void print_customers(json_object *o)
{
	printf("%-24s %4s %-8s %12s %12s %12s %12s %7s %14s %14s\n", "customer",
	       "keys", "unit", "a second", "burst", "left", "held", "entries",
	       "granted", "refused");
	for_each(o, "customers", print_customer);
}

static void print_quarantine(json_object *q)
{
	char since[32], left[32];
	time_t t = (time_t)(get_number(q, "since_ms") / 1000);
	int64_t left_ms = get_number(q, "left_ms");
	struct tm tm;

	strftime(since, sizeof(since), "%Y-%m-%d %H:%M:%S",
		 localtime_r(&t, &tm));
	if (left_ms < 0)
		g_snprintf(left, sizeof(left), "until lifted");
	else
		g_snprintf(left, sizeof(left), "%" PRId64 " s", left_ms / 1000);
	printf("%-34s %s %14s %7" PRId64 " %7" PRId64 " %10" PRId64 "\n",
	       get_text(q, "print"), since, left, get_number(q, "crashes"),
	       get_number(q, "trials"), get_number(q, "refused"));
}

void print_quarantines(json_object *o)
{
	printf("%-34s %-19s %14s %7s %7s %10s\n", "print", "since",
	       "next trial in", "crashes", "trials", "refused");
	for_each(o, "quarantined", print_quarantine);
}

void print_why(json_object *o)
{
	printf("%s: %" PRId64 " waiting; %s\n", get_text(o, "model"),
	       get_number(o, "waiting"), get_text(o, "why"));
	if (get(o, "eta_ms"))
		printf("a replica is expected in %" PRId64 " ms\n",
		       get_number(o, "eta_ms"));
	if (get(o, "last_unload_why"))
		printf("last unloaded %" PRId64 " ms ago: %s\n",
		       get_number(o, "last_unload_ms_ago"),
		       get_text(o, "last_unload_why"));
	printf("%" PRId64 " bytes; its last load took %" PRId64 " ms\n",
	       get_number(o, "bytes"), get_number(o, "load_ms"));
	for_each(o, "replicas", print_replica);
}

static void print_diff_line(char sign, const char *path, json_object *v)
{
	printf("%c %s: %s\n", sign, path,
	       json_object_to_json_string_ext(v, JSON_C_TO_STRING_PLAIN));
}

static void diff_key(const char *path, const char *key, json_object *a,
		     json_object *b)
{
	char *full_path = *path ? g_strdup_printf("%s.%s", path, key) :
				  g_strdup(key);
	json_object *x = get(a, key), *y = get(b, key);

	if (x && y && json_object_is_type(x, json_type_object) &&
	    json_object_is_type(y, json_type_object)) {
		print_diff(full_path, x, y);
	} else if (!json_object_equal(x, y)) {
		if (x)
			print_diff_line('-', full_path, x);
		if (y)
			print_diff_line('+', full_path, y);
	}
	g_free(full_path);
}

void print_diff(const char *path, json_object *a, json_object *b)
{
	json_object_object_foreach(a, key, unused_a) {
		(void)unused_a;
		diff_key(path, key, a, b);
	}
	json_object_object_foreach(b, other, unused_b) {
		(void)unused_b;
		if (!get(a, other))
			diff_key(path, other, a, b);
	}
}
