/* What many requests lost, and why. */
#include "summary.h"

#include "logline.h"

/* Seconds that are listed: those in which most requests were lost or late. */
#define SECONDS_MAX 10

/* Why a request wasn't answered within its objective. */
enum reason {
	REASON_IN_TIME,
	REASON_QUOTA,	/* late: it waited for its customer's limit */
	REASON_START,	/* late: its entry had just started, nobody led */
	REASON_MODEL,	/* late: it waited, and no engine had its model */
	REASON_VERSION, /* late: none of its stream's version had its model */
	REASON_PLACE,	/* late: it waited for a place on a full endpoint */
	REASON_LIMIT,	/* late: it waited for what an endpoint itself admits */
	REASON_REST,	/* late: it waited for the end of an endpoint's rest */
	REASON_STARTS,	/* late: it waited for engines to read prompts */
	REASON_ADAPTER, /* late: an adapter was loaded for it */
	REASON_AGAIN,	/* late: it was sent more than once */
	REASON_ENGINE,	/* late: its endpoint was slow to begin */
	REASON_PAUSE,	/* its events paused for too long */
	REASON_FAILED,	/* the endpoint's own failure, passed on */
	REASON_REFUSED, /* not run, and told so */
	REASON_CUT,	/* ended in its midst, or unknown whether it ran */
	REASON_LEFT,	/* its caller left */
	REASONS
};

static const char *const reasons[REASONS] = {
	[REASON_IN_TIME] = "in time",
	[REASON_QUOTA] = "late: its customer's limit",
	[REASON_START] = "late: nobody led yet",
	[REASON_MODEL] = "late: no engine had its model",
	[REASON_VERSION] = "late: its stream's version",
	[REASON_PLACE] = "late: full endpoint",
	[REASON_LIMIT] = "late: its endpoint's own limit",
	[REASON_REST] = "late: its endpoint rested",
	[REASON_STARTS] = "late: limit of prompts",
	[REASON_ADAPTER] = "late: adapter",
	[REASON_AGAIN] = "late: sent again",
	[REASON_ENGINE] = "late: slow endpoint",
	[REASON_PAUSE] = "late: a pause between events",
	[REASON_FAILED] = "failed",
	[REASON_REFUSED] = "refused",
	[REASON_CUT] = "cut or unknown",
	[REASON_LEFT] = "caller left",
};

struct route_row {
	char *name;
	uint64_t n[REASONS];
};

struct second_row {
	int64_t s; /* Unix time of arrival, in seconds */
	uint64_t n[REASONS];
};

/* A stream that was taken up: at which version, and what became of that. */
struct taken_up {
	char *stream, *version; /* the request that began it */
	bool whole;
};

struct summary {
	GArray *taken;	      /* struct taken_up */
	GHashTable *versions; /* request -> char *, of its endpoint */
	GArray *routes;	      /* struct route_row */
	GArray *seconds;      /* struct second_row, by time */
	GHashTable *refused;  /* why -> GUINT count */
};

static void route_clear(void *p)
{
	g_free(((struct route_row *)p)->name);
}

static void taken_clear(void *p)
{
	g_free(((struct taken_up *)p)->stream);
	g_free(((struct taken_up *)p)->version);
}

struct summary *summary_new(void)
{
	struct summary *s = g_new0(struct summary, 1);

	s->taken = g_array_new(FALSE, TRUE, sizeof(struct taken_up));
	g_array_set_clear_func(s->taken, taken_clear);
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
	g_array_unref(s->taken);
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

static enum reason waited_reason(const char *held_for)
{
	if (!strcmp(held_for, "version"))
		return REASON_VERSION;
	if (!strcmp(held_for, "place"))
		return REASON_PLACE;
	if (!strcmp(held_for, "limit"))
		return REASON_LIMIT;
	if (!strcmp(held_for, "rest"))
		return REASON_REST;
	if (!strcmp(held_for, "starts"))
		return REASON_STARTS;
	return strcmp(held_for, "model") ? REASON_START : REASON_MODEL;
}

/* A stream that began in time and then kept its caller waiting. */
static bool paused(const struct log_line *l)
{
	int64_t most = number(l, "pause_most_ms");

	return most > 0 && number(l, "pause_ms") > most;
}

/* Of an answer that came: in time, or what took longest before it began. */
static enum reason late_reason(const struct log_line *l)
{
	int64_t first = number(l, "first_ms");
	int64_t waited = number(l, "waited_ms");

	if (first <= number(l, "objective_ms"))
		return paused(l) ? REASON_PAUSE : REASON_IN_TIME;
	if (number(l, "sends") > 1)
		return REASON_AGAIN;
	if (number(l, "quota_ms") * 2 > first)
		return REASON_QUOTA;
	if (waited * 2 > first)
		return waited_reason(log_line_get(l, "held_for"));
	return number(l, "asks") > 0 ? REASON_ADAPTER : REASON_ENGINE;
}

static enum reason reason_of(const struct log_line *l)
{
	const char *outcome = log_line_get(l, "outcome");

	if (!strcmp(outcome, "caller_left"))
		return REASON_LEFT;
	if (!strcmp(outcome, "not_run"))
		return REASON_REFUSED;
	if (strcmp(outcome, "answered"))
		return REASON_CUT;
	return number(l, "status") / 100 == 2 ? late_reason(l) : REASON_FAILED;
}

static struct route_row *route_for(struct summary *s, const char *name)
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

/* Logs are mostly in time order, so the row is near the end. */
static struct second_row *second_for(struct summary *s, int64_t at)
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

/* Which version began a stream, and which went on with it. */
static void add_version(struct summary *s, const struct log_line *l)
{
	const char *version = log_line_get(l, "version");
	bool whole = !strcmp(log_line_get(l, "outcome"), "answered");
	struct taken_up t = { .whole = whole && number(l, "status") == 200 };

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
	g_array_append_val(s->taken, t);
}

void summary_add(struct summary *s, const char *line)
{
	struct log_line *l;
	enum reason why;
	const char *route;

	if (!strstr(line, "event=request ") || !(l = log_line_read(line)))
		return;
	route = log_line_get(l, "route");
	why = reason_of(l);
	route_for(s, *route ? route : "-")->n[why]++;
	add_version(s, l);
	second_for(s, (l->ts_ms - number(l, "ms")) / 1000)->n[why]++;
	if (why == REASON_REFUSED) {
		const char *text = log_line_get(l, "why");
		guint n =
			GPOINTER_TO_UINT(g_hash_table_lookup(s->refused, text));

		g_hash_table_insert(s->refused, g_strdup(text),
				    GUINT_TO_POINTER(n + 1));
	}
	log_line_free(l);
}

/* Telling. */

static uint64_t total(const uint64_t *n)
{
	uint64_t sum = 0;

	for (int i = 0; i < REASONS; i++)
		sum += n[i];
	return sum;
}

static uint64_t lost(const uint64_t *n)
{
	return total(n) - n[REASON_IN_TIME];
}

static void tell_reasons(const struct summary *s, GString *out)
{
	g_string_append_printf(out, "%-30s", "requests");
	for (guint i = 0; i < s->routes->len; i++)
		g_string_append_printf(
			out, " %14s",
			g_array_index(s->routes, struct route_row, i).name);
	for (int why = 0; why < REASONS; why++) {
		g_string_append_printf(out, "\n%-30s", reasons[why]);
		for (guint i = 0; i < s->routes->len; i++)
			g_string_append_printf(
				out, " %14" PRIu64,
				g_array_index(s->routes, struct route_row, i)
					.n[why]);
	}
	g_string_append_c(out, '\n');
}

static gint by_count(gconstpointer a, gconstpointer b, gpointer counts)
{
	guint x = GPOINTER_TO_UINT(g_hash_table_lookup(counts, a));
	guint y = GPOINTER_TO_UINT(g_hash_table_lookup(counts, b));

	return x != y ? (x > y ? -1 : 1) : strcmp(a, b);
}

static void tell_refused(const struct summary *s, GString *out)
{
	GList *all = g_list_sort_with_data(g_hash_table_get_keys(s->refused),
					   by_count, s->refused);

	for (GList *p = all; p; p = p->next)
		g_string_append_printf(out, "refused %6u  %s\n",
				       GPOINTER_TO_UINT(g_hash_table_lookup(
					       s->refused, p->data)),
				       (char *)p->data);
	g_list_free(all);
}

static gint by_loss(gconstpointer a, gconstpointer b)
{
	const struct second_row *x = *(struct second_row *const *)a;
	const struct second_row *y = *(struct second_row *const *)b;

	if (lost(x->n) != lost(y->n))
		return lost(x->n) > lost(y->n) ? -1 : 1;
	return x->s < y->s ? -1 : x->s > y->s;
}

static enum reason worst_of(const uint64_t *n)
{
	enum reason worst = REASON_START;

	for (int i = REASON_START; i < REASONS; i++)
		if (n[i] > n[worst])
			worst = (enum reason)i;
	return worst;
}

static void tell_seconds(const struct summary *s, GString *out)
{
	GPtrArray *all = g_ptr_array_new();

	for (guint i = 0; i < s->seconds->len; i++)
		g_ptr_array_add(all, &g_array_index(s->seconds,
						    struct second_row, i));
	g_ptr_array_sort(all, by_loss);
	for (guint i = 0; i < MIN(all->len, SECONDS_MAX); i++) {
		const struct second_row *r = all->pdata[i];
		GDateTime *t = g_date_time_new_from_unix_utc(r->s);
		char *text;

		if (!lost(r->n)) {
			g_date_time_unref(t);
			break;
		}
		text = g_date_time_format(t, "%FT%TZ");
		g_string_append_printf(out,
				       "%s  %5" PRIu64 " of %5" PRIu64
				       "  mostly: %s (%" PRIu64 ")\n",
				       text, lost(r->n), total(r->n),
				       reasons[worst_of(r->n)],
				       r->n[worst_of(r->n)]);
		g_free(text);
		g_date_time_unref(t);
	}
	g_ptr_array_unref(all);
}

/* An entry that is killed writes no line of what it had begun. */
static void tell_taken(const struct summary *s, GString *out)
{
	guint whole = 0, known = 0, mixed = 0;

	for (guint i = 0; i < s->taken->len; i++) {
		const struct taken_up *t =
			&g_array_index(s->taken, struct taken_up, i);
		const char *began = g_hash_table_lookup(s->versions, t->stream);
		bool sent = strcmp(t->version, "-") != 0;

		whole += t->whole;
		known += began && sent;
		mixed += began && sent && strcmp(began, t->version) != 0;
	}
	if (s->taken->len)
		g_string_append_printf(
			out,
			"streams taken up %u, whole %u, of two versions %u of "
			"%u whose first request is in the logs\n",
			s->taken->len, whole, mixed, known);
}

char *summary_tell(const struct summary *s)
{
	GString *out = g_string_new(NULL);

	tell_reasons(s, out);
	tell_taken(s, out);
	tell_refused(s, out);
	tell_seconds(s, out);
	return g_string_free(out, FALSE);
}
