/* Propagation delays of state to the processes, measured from their logs. */
#include "spread.h"

#include "logline.h"

enum delay {
	DELAY_ROUTING,		/* from the leader's acceptance of a change */
	DELAY_FIRST_ROUTING,	/* first routing of a process, from its start */
	DELAY_FIRST_LEADER,	/* first leader, from a process's start */
	DELAY_NEXT_LEADER,	/* next leader, from the loss of the last one */
	DELAY_FLEET_STATE,	/* all endpoints, from an entry's start */
	DELAY_ENDPOINT_RESTART, /* restart, from its first report */
	DELAYS
};

static const char *const delay_names[DELAYS] = {
	[DELAY_ROUTING] = "change of the routing",
	[DELAY_FIRST_ROUTING] = "first routing after a start",
	[DELAY_FIRST_LEADER] = "leader after a start",
	[DELAY_NEXT_LEADER] = "next leader after a loss",
	[DELAY_FLEET_STATE] = "endpoints after a start",
	[DELAY_ENDPOINT_RESTART] = "endpoint's restart",
};

struct process {
	char *name;
	/* Unix time of its start, and of the loss of its leader; 0: none. */
	int64_t start_ms, lost_ms;
};

struct sample {
	int64_t ms;
	const char *process; /* name; owned by struct process */
};

struct spread {
	GHashTable *processes;	   /* name -> struct process */
	GHashTable *first_seen_ms; /* "kind id" -> int64_t, Unix time */
	GArray *samples[DELAYS];   /* struct sample */
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
	s->first_seen_ms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (int i = 0; i < DELAYS; i++)
		s->samples[i] =
			g_array_new(FALSE, FALSE, sizeof(struct sample));
	return s;
}

void spread_free(struct spread *s)
{
	g_hash_table_unref(s->processes);
	g_hash_table_unref(s->first_seen_ms);
	for (int i = 0; i < DELAYS; i++)
		g_array_unref(s->samples[i]);
	g_free(s);
}

/*
 * Returns the name of the process that wrote a line: the last field of the log
 * collector's prefix, if there is one, as processes on one VM log the same node
 * name.
 */
static char *process_name(const char *line, const struct log_line *l)
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

static struct process *find_or_add_process(struct spread *s, const char *line,
					   const struct log_line *l)
{
	char *name = process_name(line, l);
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

static void add_sample(struct spread *s, enum delay kind,
		       const struct process *p, int64_t ms)
{
	struct sample x = { MAX(ms, 0), p->name };

	g_array_append_val(s->samples[kind], x);
}

/* Returns when a change was first logged; records now for a new change. */
static int64_t first_seen(struct spread *s, const char *kind, const char *id,
			  int64_t now)
{
	char *key = g_strdup_printf("%s %s", kind, id);
	const int64_t *at = g_hash_table_lookup(s->first_seen_ms, key);

	if (at) {
		g_free(key);
		return *at;
	}
	g_hash_table_insert(s->first_seen_ms, key,
			    g_memdup2(&now, sizeof(now)));
	return now;
}

static void add_routing(struct spread *s, struct process *p,
			const struct log_line *l)
{
	int64_t at =
		first_seen(s, "routing", log_line_get(l, "version"), l->ts_ms);

	if (p->start_ms > at)
		add_sample(s, DELAY_FIRST_ROUTING, p, l->ts_ms - p->start_ms);
	else
		add_sample(s, DELAY_ROUTING, p, l->ts_ms - at);
}

static void add_leader_found(struct spread *s, struct process *p,
			     const struct log_line *l)
{
	if (p->lost_ms)
		add_sample(s, DELAY_NEXT_LEADER, p, l->ts_ms - p->lost_ms);
	else if (p->start_ms)
		add_sample(s, DELAY_FIRST_LEADER, p, l->ts_ms - p->start_ms);
	p->lost_ms = 0;
}

static void add_endpoint_restarted(struct spread *s, struct process *p,
				   const struct log_line *l)
{
	char *id = g_strdup_printf("%s %s", log_line_get(l, "addr"),
				   log_line_get(l, "started"));

	add_sample(s, DELAY_ENDPOINT_RESTART, p,
		   l->ts_ms - first_seen(s, "restart", id, l->ts_ms));
	g_free(id);
}

static void add_line(struct spread *s, const char *line,
		     const struct log_line *l)
{
	struct process *p = find_or_add_process(s, line, l);
	const char *event = log_line_get(l, "event");

	if (!strcmp(event, "start")) {
		p->start_ms = l->ts_ms;
		p->lost_ms = 0;
	} else if (!strcmp(event, "leader_lost")) {
		p->lost_ms = l->ts_ms;
	} else if (!strcmp(event, "leader_found")) {
		add_leader_found(s, p, l);
	} else if (!strcmp(event, "routing_accepted")) {
		first_seen(s, "routing", log_line_get(l, "version"), l->ts_ms);
	} else if (!strcmp(event, "routing")) {
		add_routing(s, p, l);
	} else if (!strcmp(event, "endpoint_restarted")) {
		add_endpoint_restarted(s, p, l);
	} else if (!strcmp(event, "fleet_known")) {
		add_sample(s, DELAY_FLEET_STATE, p,
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

static gint compare_ms(gconstpointer a, gconstpointer b)
{
	const struct sample *x = a, *y = b;

	return x->ms < y->ms ? -1 : x->ms > y->ms;
}

static int64_t quantile(const GArray *sorted, double q)
{
	guint at = (guint)((double)(sorted->len - 1) * q);

	return g_array_index(sorted, struct sample, at).ms;
}

char *spread_format(const struct spread *s)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(out, "%-28s %8s %8s %8s %8s  %s\n", "ms until",
			       "known", "p50", "p99", "last", "by");
	for (int i = 0; i < DELAYS; i++) {
		GArray *all = s->samples[i];

		if (!all->len)
			continue;
		g_array_sort(all, compare_ms);
		g_string_append_printf(
			out,
			"%-28s %8u %8" PRId64 " %8" PRId64 " %8" PRId64
			"  %s\n",
			delay_names[i], all->len, quantile(all, 0.5),
			quantile(all, 0.99), quantile(all, 1),
			g_array_index(all, struct sample, all->len - 1)
				.process);
	}
	return g_string_free(out, FALSE);
}
