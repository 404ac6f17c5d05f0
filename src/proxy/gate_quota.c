/* Customers' limits at the gate: requests wait for their allotments. */
#include "gate_int.h"

#include "../base/log.h"

/* Who is over its limit isn't told to stay away for longer, in ms: others may
 * ask for less. Those refused together return within the spread. */
#define QUOTA_BACK_MAX_MS 4000
#define QUOTA_SPREAD_MS 300
/* Of its objective: a request waits for tokens that are expected within that,
 * so that who asks for too much has some served in time, not all too late. */
#define QUOTA_HOLD_SHARE 0.5
/* What was spent for a request that hasn't run is given back for so long. */
#define REFUND_MS 500
/* Customers with metrics of their own. */
#define COUNTED_MOST 200

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

/* True where it waits on; else it has been sent on, or is refused and freed. */
static bool quota_waits(struct forward *f, bool waits)
{
	struct gate *g = f->g;
	int64_t now = gate_now(g), back_ms = 0;
	struct quota_view view;
	struct quota_need need = { f->cost, waits,
				   (int64_t)((double)f->route->objective_ms *
					     QUOTA_HOLD_SHARE) };

	switch (quota_lease.take(g->quota, f->customer, &need, now, &back_ms)) {
	case QUOTA_WAIT:
		return true;
	case QUOTA_YES:
		f->charged_ms = now;
		f->quota_ms = now - f->start_ms;
		*gate_customer_counts(g, f->customer->name)->spent +=
			(uint64_t)f->cost;
		leave_line(f);
		forward_enter_lane(f);
		return false;
	case QUOTA_NO:
		break;
	}
	leave_line(f);
	(*g->n_over_quota)++;
	(*gate_customer_counts(g, f->customer->name)->over)++;
	view = quota_lease.look(g->quota, f->customer->name, now);
	log_info("over_quota",
		 "request=%s customer=%s cost=%.0f held=%.0f age_ms=%" PRId64
		 " alone=%d waited_ms=%" PRId64 " back_ms=%" PRId64
		 " per_s=%.0f burst=%.0f routing=%" PRIu64,
		 f->id, f->customer->name, f->cost, view.held, view.age_ms,
		 view.alone, now - f->start_ms, back_ms,
		 f->customer->limit.per_s, f->customer->limit.burst,
		 f->routing);
	forward_refuse(
		f, 429, "quota", "its customer's limit is reached",
		MIN(back_ms, QUOTA_BACK_MAX_MS) +
			(int64_t)(ss_random(&g->seed) % QUOTA_SPREAD_MS));
	return false;
}

void quota_begin(struct forward *f)
{
	struct gate *g = f->g;
	GQueue *line;

	f->cost = customer_cost(f->customer,
				f->call.tokens_in + f->call.tokens_out);
	f->state = FORWARD_QUOTA;
	if (!quota_waits(f, false))
		return;
	line = g_hash_table_lookup(g->quota_lines, f->customer->name);
	if (!line) {
		line = g_queue_new();
		g_hash_table_insert(g->quota_lines, g_strdup(f->customer->name),
				    line);
	}
	f->quota_line = line;
	g->quota_waiting++;
	g_queue_push_tail(line, f);
}

static void quota_pump(GQueue *line)
{
	struct forward *f;

	while ((f = g_queue_peek_head(line)) && !quota_waits(f, true))
		;
}

void forward_leave_quota(struct forward *f)
{
	if (!f->quota_line)
		return;
	leave_line(f);
	quota_lease.leave(f->g->quota, f->customer, f->cost);
}

void forward_refund(struct forward *f)
{
	struct gate *g = f->g;

	/* What was taken long ago would come on top of what came since. */
	if (f->charged_ms < 0 || gate_now(g) - f->charged_ms > REFUND_MS)
		return;
	quota_lease.give_back(g->quota, f->customer, f->cost, gate_now(g));
	f->charged_ms = -1;
}

void quota_tick(struct gate *g)
{
	GList *lines;

	if (!g->quota_waiting)
		return;
	lines = g_hash_table_get_values(g->quota_lines);
	for (GList *l = lines; l; l = l->next)
		quota_pump(l->data);
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
		GQueue *line = g_hash_table_lookup(g->quota_lines, name);

		quota_lease.word(g->quota, &w[i], gate_now(g));
		if (line)
			quota_pump(line);
		g_free(name);
	}
}
