/* How long news took to reach the processes. */
#include "spread.h"

#include "logline.h"

enum news {
	NEWS_ROUTING,	/* from the leader's word that it is accepted */
	NEWS_FIRST,	/* the first routing of a process, from its start */
	NEWS_FOUND,	/* a leader, from a process's start */
	NEWS_NEXT,	/* the next leader, from the loss of the last one */
	NEWS_FLEET,	/* all endpoints, from an entry's start */
	NEWS_RESTARTED, /* an endpoint's, from the first that knew */
	NEWS
};

static const char *const names[NEWS] = {
	[NEWS_ROUTING] = "change of the routing",
	[NEWS_FIRST] = "first routing after a start",
	[NEWS_FOUND] = "leader after a start",
	[NEWS_NEXT] = "next leader after a loss",
	[NEWS_FLEET] = "endpoints after a start",
	[NEWS_RESTARTED] = "endpoint's restart",
};

struct process {
	char *name;
	int64_t start_ms, lost_ms; /* Unix; 0: it wasn't seen */
};

struct sample {
	int64_t ms;
	const char *process; /* its name */
};

struct spread {
	GHashTable *processes; /* name -> struct process */
	GHashTable *origins;   /* what is news -> int64_t, Unix ms */
	GArray *samples[NEWS]; /* struct sample */
};

static void process_free(void *p)
{
	g_free(((struct process *)p)->name);
	g_free(p);
}

struct spread *spread_new(void)
{
	struct spread *s = g_new0(struct spread, 1);

	s->processes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     process_free);
	s->origins =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (int i = 0; i < NEWS; i++)
		s->samples[i] =
			g_array_new(FALSE, FALSE, sizeof(struct sample));
	return s;
}

void spread_free(struct spread *s)
{
	g_hash_table_unref(s->processes);
	g_hash_table_unref(s->origins);
	for (int i = 0; i < NEWS; i++)
		g_array_unref(s->samples[i]);
	g_free(s);
}

/* Two processes of one VM bear its name; a collector tells them apart by the
 * word that it puts before the line. */
static char *name_of(const char *line, const struct log_line *l)
{
	const char *end = strstr(line, "ts=");
	const char *from;

	while (end > line && g_ascii_isspace(end[-1]))
		end--;
	from = end;
	while (from > line && !g_ascii_isspace(from[-1]))
		from--;
	if (from == end)
		return g_strdup(log_line_get(l, "node"));
	return g_strndup(from, (gsize)(end - from));
}

static struct process *process_for(struct spread *s, const char *line,
				   const struct log_line *l)
{
	char *name = name_of(line, l);
	struct process *p = g_hash_table_lookup(s->processes, name);

	if (p) {
		g_free(name);
		return p;
	}
	p = g_new0(struct process, 1);
	p->name = name;
	g_hash_table_insert(s->processes, p->name, p);
	return p;
}

static void sample(struct spread *s, enum news n, const struct process *p,
		   int64_t ms)
{
	struct sample x = { MAX(ms, 0), p->name };

	g_array_append_val(s->samples[n], x);
}

/* When it was known first; now, where nobody has said so before. */
static int64_t origin(struct spread *s, const char *kind, const char *what,
		      int64_t now)
{
	char *key = g_strdup_printf("%s %s", kind, what);
	const int64_t *at = g_hash_table_lookup(s->origins, key);

	if (at) {
		g_free(key);
		return *at;
	}
	g_hash_table_insert(s->origins, key, g_memdup2(&now, sizeof(now)));
	return now;
}

static void add_routing(struct spread *s, struct process *p,
			const struct log_line *l)
{
	int64_t at = origin(s, "routing", log_line_get(l, "version"), l->ts_ms);

	if (p->start_ms > at)
		sample(s, NEWS_FIRST, p, l->ts_ms - p->start_ms);
	else
		sample(s, NEWS_ROUTING, p, l->ts_ms - at);
}

static void add_found(struct spread *s, struct process *p,
		      const struct log_line *l)
{
	if (p->lost_ms)
		sample(s, NEWS_NEXT, p, l->ts_ms - p->lost_ms);
	else if (p->start_ms)
		sample(s, NEWS_FOUND, p, l->ts_ms - p->start_ms);
	p->lost_ms = 0;
}

static void add_restarted(struct spread *s, struct process *p,
			  const struct log_line *l)
{
	char *what = g_strdup_printf("%s %s", log_line_get(l, "addr"),
				     log_line_get(l, "started"));

	sample(s, NEWS_RESTARTED, p,
	       l->ts_ms - origin(s, "restart", what, l->ts_ms));
	g_free(what);
}

static void add_line(struct spread *s, const char *line,
		     const struct log_line *l)
{
	struct process *p = process_for(s, line, l);
	const char *event = log_line_get(l, "event");

	if (!strcmp(event, "start")) {
		p->start_ms = l->ts_ms;
		p->lost_ms = 0;
	} else if (!strcmp(event, "leader_lost")) {
		p->lost_ms = l->ts_ms;
	} else if (!strcmp(event, "leader_found")) {
		add_found(s, p, l);
	} else if (!strcmp(event, "routing_accepted")) {
		origin(s, "routing", log_line_get(l, "version"), l->ts_ms);
	} else if (!strcmp(event, "routing")) {
		add_routing(s, p, l);
	} else if (!strcmp(event, "endpoint_restarted")) {
		add_restarted(s, p, l);
	} else if (!strcmp(event, "fleet_known")) {
		sample(s, NEWS_FLEET, p,
		       g_ascii_strtoll(log_line_get(l, "ms"), NULL, 10));
	}
}

void spread_add(struct spread *s, const char *line)
{
	static const char *const events[] = {
		"event=start ",	       "event=leader_lost ",
		"event=leader_found ", "event=routing_accepted ",
		"event=routing ",      "event=endpoint_restarted ",
		"event=fleet_known ",
	};
	struct log_line *l;

	for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
		if (!strstr(line, events[i]))
			continue;
		l = log_line_read(line);
		if (l)
			add_line(s, line, l);
		if (l)
			log_line_free(l);
		return;
	}
}

static gint by_ms(gconstpointer a, gconstpointer b)
{
	const struct sample *x = a, *y = b;

	return x->ms < y->ms ? -1 : x->ms > y->ms;
}

static int64_t part(const GArray *sorted, double share)
{
	guint at = (guint)((double)(sorted->len - 1) * share);

	return g_array_index(sorted, struct sample, at).ms;
}

char *spread_tell(const struct spread *s)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(out, "%-28s %8s %8s %8s %8s  %s\n", "ms until",
			       "known", "p50", "p99", "last", "by");
	for (int i = 0; i < NEWS; i++) {
		GArray *all = s->samples[i];

		if (!all->len)
			continue;
		g_array_sort(all, by_ms);
		g_string_append_printf(out,
				       "%-28s %8u %8" PRId64 " %8" PRId64
				       " %8" PRId64 "  %s\n",
				       names[i], all->len, part(all, 0.5),
				       part(all, 0.99), part(all, 1),
				       g_array_index(all, struct sample,
						     all->len - 1)
					       .process);
	}
	return g_string_free(out, FALSE);
}
