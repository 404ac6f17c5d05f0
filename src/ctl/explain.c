/* One request's story out of the logs of many processes. */
#include "explain.h"

#include "logline.h"

#include <json-c/json.h>

/* What led to a request's end may have begun before it came: a load that is
 * under way takes up to 13 s from the store, a leader is missed for one or
 * two. In ms. */
#define BEFORE_MS 5000

/* What ties a line to a request that it doesn't name. */
enum tie { TIE_MODEL, TIE_ENDPOINT, TIE_NODE, TIE_ANY };

struct related {
	const char *event;
	const char *key;   /* the field that is compared */
	const char *value; /* what it has to be, with TIE_ANY */
	enum tie tie;
};

static const struct related related[] = {
	{ "step", "load", NULL, TIE_MODEL },
	{ "step_done", "load", NULL, TIE_MODEL },
	{ "model_blocked", "model", NULL, TIE_MODEL },
	{ "order", "model", NULL, TIE_MODEL },
	{ "endpoint", "id", NULL, TIE_ENDPOINT },
	{ "endpoint_gone", "id", NULL, TIE_ENDPOINT },
	{ "endpoint_rests", "id", NULL, TIE_ENDPOINT },
	{ "role", "role", "leader", TIE_ANY },
	{ "leader_found", "node", NULL, TIE_NODE },
	{ "leader_lost", "node", NULL, TIE_NODE },
	{ "routing", "node", NULL, TIE_NODE },
	{ "start", "node", NULL, TIE_NODE },
	{ "stop", "node", NULL, TIE_NODE },
};

struct explain {
	char *request;
	bool found;
	GHashTable
		*streams; /* set of requests that are of one stream with it */
	int64_t from_ms, to_ms;
	GHashTable *models, *endpoints, *nodes; /* sets of names */
	GPtrArray *lines;			/* struct log_line */
};

/* Reading. */

static void note(GHashTable *set, const char *name)
{
	if (*name && strcmp(name, "-"))
		g_hash_table_add(set, g_strdup(name));
}

/* A caller's tries at one stream name the one that began it. */
static void learn_stream(struct explain *e, const struct log_line *l)
{
	const char *resumes = log_line_get(l, "resumes");

	if (!strcmp(resumes, e->request))
		note(e->streams, log_line_get(l, "request"));
	else if (!strcmp(log_line_get(l, "request"), e->request))
		note(e->streams, resumes);
}

void explain_learn(struct explain *e, const char *line)
{
	struct log_line *l;
	int64_t from;

	/* Most lines are of other requests. */
	if (!strstr(line, e->request) || !(l = log_line_read(line)))
		return;
	learn_stream(e, l);
	if (!strcmp(log_line_get(l, "request"), e->request)) {
		from = l->ts_ms -
		       g_ascii_strtoll(log_line_get(l, "ms"), NULL, 10);
		e->from_ms = e->found ? MIN(e->from_ms, from) : from;
		e->to_ms = MAX(e->to_ms, l->ts_ms);
		e->found = true;
		note(e->models, log_line_get(l, "model"));
		note(e->endpoints, log_line_get(l, "endpoint"));
		note(e->nodes, log_line_get(l, "node"));
	}
	log_line_free(l);
}

bool explain_found(const struct explain *e)
{
	return e->found;
}

static bool is_tied(const struct explain *e, const struct related *r,
		    const struct log_line *l)
{
	const char *value = log_line_get(l, r->key);

	switch (r->tie) {
	case TIE_MODEL:
		return g_hash_table_contains(e->models, value);
	case TIE_ENDPOINT:
		return g_hash_table_contains(e->endpoints, value);
	case TIE_NODE:
		return g_hash_table_contains(e->nodes, value);
	case TIE_ANY:
		break;
	}
	return !strcmp(value, r->value);
}

static bool belongs(const struct explain *e, const struct log_line *l)
{
	const char *request = log_line_get(l, "request");

	if (!strcmp(request, e->request) ||
	    g_hash_table_contains(e->streams, request))
		return true;
	if (l->ts_ms < e->from_ms - BEFORE_MS || l->ts_ms > e->to_ms)
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(related); i++)
		if (!strcmp(log_line_get(l, "event"), related[i].event) &&
		    is_tied(e, &related[i], l))
			return true;
	return false;
}

void explain_pick(struct explain *e, const char *line)
{
	struct log_line *l = e->found ? log_line_read(line) : NULL;

	if (!l)
		return;
	if (belongs(e, l))
		g_ptr_array_add(e->lines, l);
	else
		log_line_free(l);
}

/* Telling. */

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct log_line *x = *(struct log_line *const *)a;
	const struct log_line *y = *(struct log_line *const *)b;

	return x->ts_ms < y->ts_ms ? -1 : x->ts_ms > y->ts_ms;
}

static bool is_head(const char *key)
{
	return !strcmp(key, "ts") || !strcmp(key, "level") ||
	       !strcmp(key, "node") || !strcmp(key, "event");
}

static void tell_line(const struct explain *e, const struct log_line *l,
		      GString *out)
{
	g_string_append_printf(out, "%+9.3f  %-22s %-14s",
			       (double)(l->ts_ms - e->from_ms) / 1000.0,
			       log_line_get(l, "node"),
			       log_line_get(l, "event"));
	for (guint i = 0; i < l->fields->len; i++) {
		const struct log_field *f =
			&g_array_index(l->fields, struct log_field, i);

		if (!is_head(f->key))
			g_string_append_printf(
				out,
				strchr(f->value, ' ') ? " %s=\"%s\"" : " %s=%s",
				f->key, f->value);
	}
	g_string_append_c(out, '\n');
}

static json_object *line_json(const struct explain *e, const struct log_line *l)
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

char *explain_tell(struct explain *e, bool json)
{
	GString *out = g_string_new(NULL);
	json_object *all = json_object_new_array();

	g_ptr_array_sort(e->lines, by_time);
	for (guint i = 0; i < e->lines->len; i++)
		if (json)
			json_object_array_add(all,
					      line_json(e, e->lines->pdata[i]));
		else
			tell_line(e, e->lines->pdata[i], out);
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
