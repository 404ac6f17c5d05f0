/* Timeline of one request from the logs of many processes. */
#include "explain.h"

#include "logline.h"

#include <json-c/json.h>

/*
 * How far before the request's arrival related events are included. What
 * decided its outcome may have begun earlier: a model load from the store takes
 * up to 13 s, and the group may lack a leader for one or two seconds.
 */
#define LOOKBACK_MS 5000

/* Criterion by which a line without the request's id is relevant to it. */
enum relation {
	RELATION_MODEL,
	RELATION_ENDPOINT,
	RELATION_NODE,
	RELATION_ANY
};

struct related_event {
	const char *event;
	const char *key;   /* field that is compared */
	const char *value; /* required value, for RELATION_ANY */
	enum relation relation;
};

static const struct related_event related_events[] = {
	{ "step", "load", NULL, RELATION_MODEL },
	{ "step_done", "load", NULL, RELATION_MODEL },
	{ "model_blocked", "model", NULL, RELATION_MODEL },
	{ "order", "model", NULL, RELATION_MODEL },
	{ "endpoint", "id", NULL, RELATION_ENDPOINT },
	{ "endpoint_gone", "id", NULL, RELATION_ENDPOINT },
	{ "endpoint_rests", "id", NULL, RELATION_ENDPOINT },
	{ "role", "role", "leader", RELATION_ANY },
	{ "leader_found", "node", NULL, RELATION_NODE },
	{ "leader_lost", "node", NULL, RELATION_NODE },
	{ "routing", "node", NULL, RELATION_NODE },
	{ "start", "node", NULL, RELATION_NODE },
	{ "stop", "node", NULL, RELATION_NODE },
};

struct explain {
	char *request;
	bool found;
	GHashTable *streams;	/* set of ids of requests for the same stream */
	int64_t from_ms, to_ms; /* Unix time of arrival and of the last line */
	GHashTable *models, *endpoints, *nodes; /* sets of names */
	GPtrArray *lines;			/* struct log_line */
};

/* Reading of logs. */

static void add_name(GHashTable *set, const char *name)
{
	if (*name && strcmp(name, "-"))
		g_hash_table_add(set, g_strdup(name));
}

/* A request that resumes a stream logs the id of the one that began it. */
static void scan_stream(struct explain *e, const struct log_line *l)
{
	const char *resumes = log_line_get(l, "resumes");

	if (!strcmp(resumes, e->request))
		add_name(e->streams, log_line_get(l, "request"));
	else if (!strcmp(log_line_get(l, "request"), e->request))
		add_name(e->streams, resumes);
}

void explain_scan(struct explain *e, const char *line)
{
	struct log_line *l;
	int64_t from;

	/* Skip most lines cheaply: they concern other requests. */
	if (!strstr(line, e->request) || !(l = log_line_read(line)))
		return;
	scan_stream(e, l);
	if (!strcmp(log_line_get(l, "request"), e->request)) {
		from = l->ts_ms -
		       g_ascii_strtoll(log_line_get(l, "ms"), NULL, 10);
		e->from_ms = e->found ? MIN(e->from_ms, from) : from;
		e->to_ms = MAX(e->to_ms, l->ts_ms);
		e->found = true;
		add_name(e->models, log_line_get(l, "model"));
		add_name(e->endpoints, log_line_get(l, "endpoint"));
		add_name(e->nodes, log_line_get(l, "node"));
	}
	log_line_free(l);
}

bool explain_found(const struct explain *e)
{
	return e->found;
}

static bool matches_event(const struct explain *e,
			  const struct related_event *r,
			  const struct log_line *l)
{
	const char *value = log_line_get(l, r->key);

	switch (r->relation) {
	case RELATION_MODEL:
		return g_hash_table_contains(e->models, value);
	case RELATION_ENDPOINT:
		return g_hash_table_contains(e->endpoints, value);
	case RELATION_NODE:
		return g_hash_table_contains(e->nodes, value);
	case RELATION_ANY:
		break;
	}
	return !strcmp(value, r->value);
}

static bool is_relevant(const struct explain *e, const struct log_line *l)
{
	const char *request = log_line_get(l, "request");

	if (!strcmp(request, e->request) ||
	    g_hash_table_contains(e->streams, request))
		return true;
	if (l->ts_ms < e->from_ms - LOOKBACK_MS || l->ts_ms > e->to_ms)
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(related_events); i++)
		if (!strcmp(log_line_get(l, "event"),
			    related_events[i].event) &&
		    matches_event(e, &related_events[i], l))
			return true;
	return false;
}

void explain_collect(struct explain *e, const char *line)
{
	struct log_line *l = e->found ? log_line_read(line) : NULL;

	if (!l)
		return;
	if (is_relevant(e, l))
		g_ptr_array_add(e->lines, l);
	else
		log_line_free(l);
}

/* Output. */

static gint compare_time(gconstpointer a, gconstpointer b)
{
	const struct log_line *x = *(struct log_line *const *)a;
	const struct log_line *y = *(struct log_line *const *)b;

	return x->ts_ms < y->ts_ms ? -1 : x->ts_ms > y->ts_ms;
}

static bool is_header_key(const char *key)
{
	return !strcmp(key, "ts") || !strcmp(key, "level") ||
	       !strcmp(key, "node") || !strcmp(key, "event");
}

static void format_line(const struct explain *e, const struct log_line *l,
			GString *out)
{
	g_string_append_printf(out, "%+9.3f  %-22s %-14s",
			       (double)(l->ts_ms - e->from_ms) / 1000.0,
			       log_line_get(l, "node"),
			       log_line_get(l, "event"));
	for (guint i = 0; i < l->fields->len; i++) {
		const struct log_field *f =
			&g_array_index(l->fields, struct log_field, i);

		if (!is_header_key(f->key))
			g_string_append_printf(
				out,
				strchr(f->value, ' ') ? " %s=\"%s\"" : " %s=%s",
				f->key, f->value);
	}
	g_string_append_c(out, '\n');
}

static json_object *line_to_json(const struct explain *e,
				 const struct log_line *l)
{
	json_object *o = json_object_new_object();

	json_object_object_add(o, "at_ms",
			       json_object_new_int64(l->ts_ms - e->from_ms));
	for (guint i = 0; i < l->fields->len; i++) {
		const struct log_field *f =
			&g_array_index(l->fields, struct log_field, i);

		json_object_object_add(o, f->key,
				       json_object_new_string(f->value));
	}
	return o;
}

char *explain_format(struct explain *e, bool json)
{
	GString *out = g_string_new(NULL);
	json_object *all = json_object_new_array();

	g_ptr_array_sort(e->lines, compare_time);
	for (guint i = 0; i < e->lines->len; i++)
		if (json)
			json_object_array_add(
				all, line_to_json(e, e->lines->pdata[i]));
		else
			format_line(e, e->lines->pdata[i], out);
	if (json)
		g_string_append_printf(out, "%s\n",
				       json_object_to_json_string_ext(
					       all, JSON_C_TO_STRING_PRETTY));
	json_object_put(all);
	return g_string_free(out, FALSE);
}

struct explain *explain_new(const char *request)
{
	struct explain *e = g_new0(struct explain, 1);

	e->request = g_strdup(request);
	e->streams =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->models =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->lines = g_ptr_array_new_with_free_func(log_line_free);
	return e;
}

void explain_free(struct explain *e)
{
	g_free(e->request);
	g_hash_table_unref(e->streams);
	g_hash_table_unref(e->models);
	g_hash_table_unref(e->endpoints);
	g_hash_table_unref(e->nodes);
	g_ptr_array_unref(e->lines);
	g_free(e);
}
