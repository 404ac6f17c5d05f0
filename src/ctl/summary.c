/* Requests that missed their objective, by reason and by second. */
#include "summary.h"

#include "logline.h"

/* Number of seconds listed: those with the most missed requests. */
#define SECONDS_LISTED_MAX 10

/* Whether a request met its objective, and if not, why. */
enum reason {
	REASON_IN_TIME,
	REASON_QUOTA,	       /* late: waited for its customer's limit */
	REASON_NO_LEADER,      /* late: entry just started, no leader known */
	REASON_MODEL,	       /* late: waited for an engine with its model */
	REASON_VERSION,	       /* late: no engine with its stream's version */
	REASON_ENDPOINT_FULL,  /* late: waited for a slot on a full endpoint */
	REASON_ENDPOINT_LIMIT, /* late: waited for an endpoint's own limit */
	REASON_BACKOFF, /* late: waited for the end of an endpoint's backoff */
	REASON_PREFILL, /* late: waited for the limit on prompts in prefill */
	REASON_ADAPTER, /* late: its adapter had to be loaded */
	REASON_RETRIED, /* late: sent more than once */
	REASON_ENDPOINT_SLOW, /* late: endpoint slow to start responding */
	REASON_PAUSE,	      /* pause between stream events over the limit */
	REASON_FAILED,	      /* error response of the endpoint, passed on */
	REASON_REFUSED,	      /* rejected without running */
	REASON_INTERRUPTED,   /* interrupted, or unknown whether it ran */
	REASON_DISCONNECTED,  /* caller disconnected */
	REASONS
};

static const char *const reason_names[REASONS] = {
	[REASON_IN_TIME] = "in time",
	[REASON_QUOTA] = "late: its customer's limit",
	[REASON_NO_LEADER] = "late: nobody led yet",
	[REASON_MODEL] = "late: no engine had its model",
	[REASON_VERSION] = "late: its stream's version",
	[REASON_ENDPOINT_FULL] = "late: full endpoint",
	[REASON_ENDPOINT_LIMIT] = "late: its endpoint's own limit",
	[REASON_BACKOFF] = "late: its endpoint rested",
	[REASON_PREFILL] = "late: limit of prompts",
	[REASON_ADAPTER] = "late: adapter",
	[REASON_RETRIED] = "late: sent again",
	[REASON_ENDPOINT_SLOW] = "late: slow endpoint",
	[REASON_PAUSE] = "late: a pause between events",
	[REASON_FAILED] = "failed",
	[REASON_REFUSED] = "refused",
	[REASON_INTERRUPTED] = "cut or unknown",
	[REASON_DISCONNECTED] = "caller left",
};

struct route_row {
	char *name;
	uint64_t n[REASONS];
};

struct second_row {
	int64_t s; /* Unix time of arrival, in seconds */
	uint64_t n[REASONS];
};

/* A request that resumed a stream. */
struct resumed_stream {
	char *stream;  /* id of the request that began the stream */
	char *version; /* of the endpoint that resumed it, or "-" */
	bool completed;
};

struct summary {
	GArray *resumed;      /* struct resumed_stream */
	GHashTable *versions; /* request id -> char * of its endpoint */
	GArray *routes;	      /* struct route_row */
	GArray *seconds;      /* struct second_row, by time */
	GHashTable *refused;  /* why -> GUINT count */
};

static void route_clear(void *p)
{
	g_free(((struct route_row *)p)->name);
}

static void resumed_clear(void *p)
{
	g_free(((struct resumed_stream *)p)->stream);
	g_free(((struct resumed_stream *)p)->version);
}

struct summary *summary_new(void)
{
	struct summary *s = g_new0(struct summary, 1);

	s->resumed = g_array_new(FALSE, TRUE, sizeof(struct resumed_stream));
	g_array_set_clear_func(s->resumed, resumed_clear);
	s->versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	s->routes = g_array_new(FALSE, TRUE, sizeof(struct route_row));
	g_array_set_clear_func(s->routes, route_clear);
	s->seconds = g_array_new(FALSE, TRUE, sizeof(struct second_row));
	s->refused =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return s;
}

void summary_free(struct summary *s)
{
	g_array_unref(s->resumed);
	g_hash_table_unref(s->versions);
	g_array_unref(s->routes);
	g_array_unref(s->seconds);
	g_hash_table_unref(s->refused);
	g_free(s);
}

static int64_t number(const struct log_line *l, const char *key)
{
	return g_ascii_strtoll(log_line_get(l, key), NULL, 10);
}

static enum reason wait_reason(const char *held_for)
{
	if (!strcmp(held_for, "version"))
		return REASON_VERSION;
	if (!strcmp(held_for, "place"))
		return REASON_ENDPOINT_FULL;
	if (!strcmp(held_for, "limit"))
		return REASON_ENDPOINT_LIMIT;
	if (!strcmp(held_for, "rest"))
		return REASON_BACKOFF;
	if (!strcmp(held_for, "starts"))
		return REASON_PREFILL;
	return strcmp(held_for, "model") ? REASON_NO_LEADER : REASON_MODEL;
}

/* Returns whether a pause between stream events exceeded the route's limit. */
static bool pause_exceeded(const struct log_line *l)
{
	int64_t limit_ms = number(l, "pause_most_ms");

	return limit_ms > 0 && number(l, "pause_ms") > limit_ms;
}

/* Returns the reason of an answered request: the dominant delay if late. */
static enum reason answered_reason(const struct log_line *l)
{
	int64_t first = number(l, "first_ms");
	int64_t waited = number(l, "waited_ms");

	if (first <= number(l, "objective_ms"))
		return pause_exceeded(l) ? REASON_PAUSE : REASON_IN_TIME;
	if (number(l, "sends") > 1)
		return REASON_RETRIED;
	if (number(l, "quota_ms") * 2 > first)
		return REASON_QUOTA;
	if (waited * 2 > first)
		return wait_reason(log_line_get(l, "held_for"));
	return number(l, "asks") > 0 ? REASON_ADAPTER : REASON_ENDPOINT_SLOW;
}

static enum reason reason_of(const struct log_line *l)
{
	const char *outcome = log_line_get(l, "outcome");

	if (!strcmp(outcome, "caller_left"))
		return REASON_DISCONNECTED;
	if (!strcmp(outcome, "not_run"))
		return REASON_REFUSED;
	if (strcmp(outcome, "answered"))
		return REASON_INTERRUPTED;
	return number(l, "status") / 100 == 2 ? answered_reason(l) :
						REASON_FAILED;
}

static struct route_row *find_or_add_route(struct summary *s, const char *name)
{
	struct route_row row = { 0 };

	for (guint i = 0; i < s->routes->len; i++) {
		struct route_row *r =
			&g_array_index(s->routes, struct route_row, i);

		if (!strcmp(r->name, name))
			return r;
	}
	row.name = g_strdup(name);
	g_array_append_val(s->routes, row);
	return &g_array_index(s->routes, struct route_row, s->routes->len - 1);
}

/* Searches from the end, as logs are mostly in time order. */
static struct second_row *find_or_add_second(struct summary *s, int64_t at)
{
	struct second_row row = { .s = at };
	guint i = s->seconds->len;

	while (i > 0 &&
	       g_array_index(s->seconds, struct second_row, i - 1).s > at)
		i--;
	if (i == 0 ||
	    g_array_index(s->seconds, struct second_row, i - 1).s != at) {
		g_array_insert_val(s->seconds, i, row);
		i++;
	}
	return &g_array_index(s->seconds, struct second_row, i - 1);
}

/* Records the version that began a stream, or one that resumed it. */
static void add_version(struct summary *s, const struct log_line *l)
{
	const char *version = log_line_get(l, "version");
	bool answered = !strcmp(log_line_get(l, "outcome"), "answered");
	struct resumed_stream t = { .completed = answered &&
						 number(l, "status") == 200 };

	if (!*version)
		return;
	if (number(l, "after") < 0) {
		g_hash_table_replace(s->versions,
				     g_strdup(log_line_get(l, "request")),
				     g_strdup(version));
		return;
	}
	t.stream = g_strdup(log_line_get(l, "resumes"));
	t.version = g_strdup(version);
	g_array_append_val(s->resumed, t);
}

void summary_add(struct summary *s, const char *line)
{
	struct log_line *l;
	enum reason reason;
	const char *route;

	if (!strstr(line, "event=request ") || !(l = log_line_read(line)))
		return;
	route = log_line_get(l, "route");
	reason = reason_of(l);
	find_or_add_route(s, *route ? route : "-")->n[reason]++;
	add_version(s, l);
	find_or_add_second(s, (l->ts_ms - number(l, "ms")) / 1000)->n[reason]++;
	if (reason == REASON_REFUSED) {
		const char *text = log_line_get(l, "why");
		guint n =
			GPOINTER_TO_UINT(g_hash_table_lookup(s->refused, text));

		g_hash_table_insert(s->refused, g_strdup(text),
				    GUINT_TO_POINTER(n + 1));
	}
	log_line_free(l);
}

/* Output. */

static uint64_t total(const uint64_t *n)
{
	uint64_t sum = 0;

	for (int i = 0; i < REASONS; i++)
		sum += n[i];
	return sum;
}

static uint64_t missed(const uint64_t *n)
{
	return total(n) - n[REASON_IN_TIME];
}

static void format_reasons(const struct summary *s, GString *out)
{
	g_string_append_printf(out, "%-30s", "requests");
	for (guint i = 0; i < s->routes->len; i++)
		g_string_append_printf(
			out, " %14s",
			g_array_index(s->routes, struct route_row, i).name);
	for (int reason = 0; reason < REASONS; reason++) {
		g_string_append_printf(out, "\n%-30s", reason_names[reason]);
		for (guint i = 0; i < s->routes->len; i++)
			g_string_append_printf(
				out, " %14" PRIu64,
				g_array_index(s->routes, struct route_row, i)
					.n[reason]);
	}
	g_string_append_c(out, '\n');
}

static gint compare_count(gconstpointer a, gconstpointer b, gpointer counts)
{
	guint x = GPOINTER_TO_UINT(g_hash_table_lookup(counts, a));
	guint y = GPOINTER_TO_UINT(g_hash_table_lookup(counts, b));

	return x != y ? (x > y ? -1 : 1) : strcmp(a, b);
}

static void format_refused(const struct summary *s, GString *out)
{
	GList *all = g_list_sort_with_data(g_hash_table_get_keys(s->refused),
					   compare_count, s->refused);

	for (GList *p = all; p; p = p->next)
		g_string_append_printf(out, "refused %6u  %s\n",
				       GPOINTER_TO_UINT(g_hash_table_lookup(
					       s->refused, p->data)),
				       (char *)p->data);
	g_list_free(all);
}

static gint compare_missed(gconstpointer a, gconstpointer b)
{
	const struct second_row *x = *(struct second_row *const *)a;
	const struct second_row *y = *(struct second_row *const *)b;

	if (missed(x->n) != missed(y->n))
		return missed(x->n) > missed(y->n) ? -1 : 1;
	return x->s < y->s ? -1 : x->s > y->s;
}

static enum reason most_frequent_reason(const uint64_t *n)
{
	enum reason most = REASON_NO_LEADER;

	for (int i = REASON_NO_LEADER; i < REASONS; i++)
		if (n[i] > n[most])
			most = (enum reason)i;
	return most;
}

static void format_seconds(const struct summary *s, GString *out)
{
	GPtrArray *all = g_ptr_array_new();

	for (guint i = 0; i < s->seconds->len; i++)
		g_ptr_array_add(all, &g_array_index(s->seconds,
						    struct second_row, i));
	g_ptr_array_sort(all, compare_missed);
	for (guint i = 0; i < MIN(all->len, SECONDS_LISTED_MAX); i++) {
		const struct second_row *r = all->pdata[i];
		GDateTime *t = g_date_time_new_from_unix_utc(r->s);
		char *text;

		if (!missed(r->n)) {
			g_date_time_unref(t);
			break;
		}
		text = g_date_time_format(t, "%FT%TZ");
		g_string_append_printf(out,
				       "%s  %5" PRIu64 " of %5" PRIu64
				       "  mostly: %s (%" PRIu64 ")\n",
				       text, missed(r->n), total(r->n),
				       reason_names[most_frequent_reason(r->n)],
				       r->n[most_frequent_reason(r->n)]);
		g_free(text);
		g_date_time_unref(t);
	}
	g_ptr_array_unref(all);
}

/*
 * Counts the streams that were resumed at another version. The version that
 * began a stream is unknown if its entry was killed, as no line for the first
 * request was written.
 */
static void format_resumed(const struct summary *s, GString *out)
{
	guint completed = 0, known = 0, mixed = 0;

	for (guint i = 0; i < s->resumed->len; i++) {
		const struct resumed_stream *t =
			&g_array_index(s->resumed, struct resumed_stream, i);
		const char *began = g_hash_table_lookup(s->versions, t->stream);
		bool sent = strcmp(t->version, "-") != 0;

		completed += t->completed;
		known += began && sent;
		mixed += began && sent && strcmp(began, t->version) != 0;
	}
	if (s->resumed->len)
		g_string_append_printf(
			out,
			"streams taken up %u, whole %u, of two versions %u of "
			"%u whose first request is in the logs\n",
			s->resumed->len, completed, mixed, known);
}

char *summary_format(const struct summary *s)
{
	GString *out = g_string_new(NULL);

	format_reasons(s, out);
	format_resumed(s, out);
	format_refused(s, out);
	format_seconds(s, out);
	return g_string_free(out, FALSE);
}
