/* Customers' limits at the gate: requests wait for their allotments. */
#include "gate_int.h"

#include "../base/log.h"

#include <stdio.h>

/* Of what is expected, no more counts for who is over its limit, in ms: others
 * may ask for less. Its turn may be later. Those of one turn return within the
 * spread. */
#define QUOTA_BACK_MAX_MS 4000
#define QUOTA_SPREAD_MS 300
/* Of its objective: a request waits for tokens that are expected within that,
 * so that who asks for too much has some served in time, not all too late. */
#define QUOTA_HOLD_SHARE 0.5
/* What was spent for a request that hasn't run is given back for so long. */
#define REFUND_MS 500
/* Customers with metrics of their own. */
#define COUNTED_MOST 200

/* A customer's requests that wait, by class. */
struct quota_line {
	GQueue classes[QUOTA_CLASSES]; /* struct forward, by objective */
};

void quota_line_free(void *line)
{
	struct quota_line *l = line;

	for (int i = 0; i < QUOTA_CLASSES; i++)
		g_queue_clear(&l->classes[i]);
	g_free(l);
}

/* A customer's own, or those of all others: labels are bounded. */
struct customer_counts *gate_customer_counts(struct gate *g, const char *name)
{
	struct customer_counts *n = g_hash_table_lookup(g->counts, name);
	struct metrics *m = g->o.metrics;
	char *labels;

	if (!n && g_hash_table_size(g->counts) >= COUNTED_MOST)
		name = "";
	if (!n)
		n = g_hash_table_lookup(g->counts, name);
	if (n)
		return n;
	n = g_new0(struct customer_counts, 1);
	labels = g_strdup_printf("customer=\"%s\"", name);
	n->requests =
		metrics_value(m, "ss_gate_customer_requests_total", labels);
	n->spent = metrics_value(m, "ss_gate_customer_spent_total", labels);
	n->over = metrics_value(m, "ss_gate_customer_over_quota_total", labels);
	g_hash_table_insert(g->counts, g_strdup(name), n);
	g_free(labels);
	return n;
}

bool quota_limits(const struct forward *f)
{
	return f->customer && f->customer->limit.per_s > 0;
}

static void leave_line(struct forward *f)
{
	if (!f->quota_line)
		return;
	g_queue_remove(f->quota_line, f);
	f->quota_line = NULL;
	f->g->quota_waiting--;
}

/* It waits only for what is expected within this. */
static int64_t hold_ms(const struct forward *f)
{
	return (int64_t)((double)f->route->objective_ms * QUOTA_HOLD_SHARE);
}

static uint64_t *class_count(struct gate *g, uint64_t **counts,
			     const char *name, int class)
{
	char labels[32];

	if (!counts[class]) {
		snprintf(labels, sizeof(labels), "class=\"%d\"", class);
		counts[class] = metrics_value(g->o.metrics, name, labels);
	}
	return counts[class];
}

static void count_spent(struct forward *f)
{
	struct gate *g = f->g;

	*gate_customer_counts(g, f->customer->name)->spent += (uint64_t)f->cost;
	*class_count(g, g->n_class_spent, "ss_gate_quota_class_spent_total",
		     f->rank.class_id) += (uint64_t)f->cost;
}

static void note_over(struct forward *f, int64_t back_ms)
{
	struct gate *g = f->g;
	const struct customer *c = f->customer;
	int64_t now = gate_now(g);
	struct quota_view view = quota_lease.look(g->quota, c->name, now);

	(*g->n_over_quota)++;
	(*gate_customer_counts(g, c->name)->over)++;
	(*class_count(g, g->n_class_over, "ss_gate_quota_class_over_total",
		      f->rank.class_id))++;
	log_info("over_quota",
		 "request=%s customer=%s class=%d share=%.3f cost=%.0f "
		 "held=%.0f age_ms=%" PRId64 " alone=%d waited_ms=%" PRId64
		 " back_ms=%" PRId64 " per_s=%.0f burst=%.0f routing=%" PRIu64,
		 f->id, c->name, f->rank.class_id, view.share[f->rank.class_id],
		 f->cost, view.held, view.age_ms, view.alone, now - f->start_ms,
		 back_ms, c->limit.per_s, c->limit.burst, f->routing);
}

/* True where it waits on; else it has been sent on, or is refused and freed. */
static bool quota_waits(struct forward *f, bool waits)
{
	struct gate *g = f->g;
	int64_t now = gate_now(g), back_ms = 0;
	struct quota_need need = { f->cost, waits, hold_ms(f) };

	switch (quota_lease.take_ranked(g->quota, f->customer, &need, &f->rank,
					now, &back_ms)) {
	case QUOTA_WAIT:
		return true;
	case QUOTA_YES:
		f->charged_ms = now;
		f->quota_ms = now - f->start_ms;
		count_spent(f);
		leave_line(f);
		forward_enter_lane(f);
		return false;
	case QUOTA_NO:
		break;
	}
	leave_line(f);
	note_over(f, back_ms);
	forward_refuse(f, 429, "quota", "its customer's limit is reached",
		       turns_quota_ms(f, MIN(back_ms, QUOTA_BACK_MAX_MS),
				      QUOTA_SPREAD_MS));
	return false;
}

static GQueue *line_of(struct forward *f)
{
	GHashTable *lines = f->g->quota_lines;
	struct quota_line *l = g_hash_table_lookup(lines, f->customer->name);

	if (!l) {
		l = g_new0(struct quota_line, 1);
		g_hash_table_insert(lines, g_strdup(f->customer->name), l);
	}
	return &l->classes[f->rank.class_id];
}

/* Of those that have the same the first stays first. */
static gint by_objective(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct forward *x = a, *y = b;

	(void)data;
	return x->rank.by_ms <= y->rank.by_ms ? -1 : 1;
}

void quota_begin(struct forward *f)
{
	f->cost = customer_cost(f->customer,
				f->call.tokens_in + f->call.tokens_out);
	f->rank.class_id = (int)CLAMP(f->route->priority, 0, QUOTA_CLASSES - 1);
	f->rank.by_ms = f->objective_ms;
	f->state = FORWARD_QUOTA;
	if (!quota_waits(f, false))
		return;
	f->quota_line = line_of(f);
	f->g->quota_waiting++;
	g_queue_insert_sorted(f->quota_line, f, by_objective, NULL);
}

/* The first of a class, and after it those that can't wait for it longer. */
static void pump_class(GQueue *line, int64_t now)
{
	struct forward *f;
	GList *next;

	while ((f = g_queue_peek_head(line)) && !quota_waits(f, true))
		;
	for (GList *l = f ? line->head->next : NULL; l; l = next) {
		f = l->data;
		next = l->next;
		if (now >= f->rank.by_ms - hold_ms(f))
			quota_waits(f, true);
	}
}

static void quota_pump(struct quota_line *l, int64_t now)
{
	for (int i = 0; i < QUOTA_CLASSES; i++)
		pump_class(&l->classes[i], now);
}

void forward_leave_quota(struct forward *f)
{
	if (!f->quota_line)
		return;
	leave_line(f);
	quota_lease.leave_ranked(f->g->quota, f->customer, f->cost, &f->rank);
}

void forward_refund(struct forward *f)
{
	struct gate *g = f->g;

	/* What was taken long ago would come on top of what came since. */
	if (f->charged_ms < 0 || gate_now(g) - f->charged_ms > REFUND_MS)
		return;
	quota_lease.give_back(g->quota, f->customer, f->cost, &f->rank,
			      gate_now(g));
	f->charged_ms = -1;
}

void quota_tick(struct gate *g)
{
	GList *lines;

	if (!g->quota_waiting)
		return;
	lines = g_hash_table_get_values(g->quota_lines);
	for (GList *l = lines; l; l = l->next)
		quota_pump(l->data, gate_now(g));
	g_list_free(lines);
}

void gate_quota_asks(struct gate *g, GArray *out)
{
	quota_lease.asks(g->quota, gate_now(g), out);
}

void gate_take_quota(struct gate *g, const struct msg_quota_word *m)
{
	const struct quota_word *w = m->words.items;

	for (size_t i = 0; i < m->words.n; i++) {
		char *name = ss_str_dup(w[i].customer);
		struct quota_line *line =
			g_hash_table_lookup(g->quota_lines, name);

		quota_lease.word(g->quota, &w[i], gate_now(g));
		if (line)
			quota_pump(line, gate_now(g));
		g_free(name);
	}
}
