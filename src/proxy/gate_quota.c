/* Customers' limits at the gate: requests wait until their cost is granted. */
#include "gate_int.h"

#include "../base/log.h"

#include <stdio.h>

/* Caps the expected wait for grants from which a refused caller's return slot
 * is chosen, as other callers may need less meanwhile. The slot may be later.
 */
#define QUOTA_RETRY_MAX_MS 4000
/* Callers of one slot return spread over this time. */
#define QUOTA_RETRY_SPREAD_MS 300
/* A request whose grant isn't expected within this part of its objective is
 * refused: a customer that sends too much then has some requests served in time
 * instead of all too late. */
#define QUOTA_WAIT_SHARE 0.5
/* A request that hasn't run is refunded if it was charged within this time. */
#define REFUND_WINDOW_MS 500
/* Customers with metrics of their own; bounds the number of labels. */
#define MAX_CUSTOMER_METRICS 200

/* A customer's waiting requests, by class. */
struct quota_queues {
	GQueue classes[QUOTA_CLASSES]; /* struct forward, by objective */
};

void quota_queues_free(void *queues)
{
	struct quota_queues *l = queues;

	for (int i = 0; i < QUOTA_CLASSES; i++)
		g_queue_clear(&l->classes[i]);
	g_free(l);
}

/* The customer's own counters, or the shared ones, with an empty name, beyond
 * MAX_CUSTOMER_METRICS customers. */
struct customer_counts *gate_customer_counts(struct gate *g, const char *name)
{
	struct customer_counts *n =
		g_hash_table_lookup(g->counts_by_customer, name);
	struct metrics *m = g->o.metrics;
	char *labels;

	if (!n &&
	    g_hash_table_size(g->counts_by_customer) >= MAX_CUSTOMER_METRICS)
		name = "";
	if (!n)
		n = g_hash_table_lookup(g->counts_by_customer, name);
	if (n)
		return n;
	n = g_new0(struct customer_counts, 1);
	labels = g_strdup_printf("customer=\"%s\"", name);
	n->requests =
		metrics_value(m, "ss_gate_customer_requests_total", labels);
	n->spent = metrics_value(m, "ss_gate_customer_spent_total", labels);
	n->over = metrics_value(m, "ss_gate_customer_over_quota_total", labels);
	g_hash_table_insert(g->counts_by_customer, g_strdup(name), n);
	g_free(labels);
	return n;
}

bool quota_applies(const struct forward *f)
{
	return f->customer && f->customer->limit.per_s > 0;
}

static void leave_queue(struct forward *f)
{
	if (!f->quota_queue)
		return;
	g_queue_remove(f->quota_queue, f);
	f->quota_queue = NULL;
	f->g->quota_waiting--;
}

/* Longest time that the request waits for a grant. */
static int64_t max_wait_ms(const struct forward *f)
{
	return (int64_t)((double)f->route->objective_ms * QUOTA_WAIT_SHARE);
}

static uint64_t *class_counter(struct gate *g, uint64_t **counts,
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
	*class_counter(g, g->n_class_spent, "ss_gate_quota_class_spent_total",
		       f->rank.class_id) += (uint64_t)f->cost;
}

static void record_over_quota(struct forward *f, int64_t retry_after_ms)
{
	struct gate *g = f->g;
	const struct customer *c = f->customer;
	int64_t now = gate_now(g);
	struct quota_client_view view =
		quota_lease.clients_view(g->quota_client, c->name, now);

	(*g->n_over_quota)++;
	(*gate_customer_counts(g, c->name)->over)++;
	(*class_counter(g, g->n_class_over, "ss_gate_quota_class_over_total",
			f->rank.class_id))++;
	log_info("over_quota",
		 "request=%s customer=%s class=%d share=%.3f cost=%.0f "
		 "held=%.0f age_ms=%" PRId64 " alone=%d waited_ms=%" PRId64
		 " back_ms=%" PRId64 " per_s=%.0f burst=%.0f routing=%" PRIu64,
		 f->id, c->name, f->rank.class_id,
		 view.served_ratio[f->rank.class_id], f->cost, view.balance,
		 view.age_ms, view.disconnected, now - f->start_ms,
		 retry_after_ms, c->limit.per_s, c->limit.burst,
		 f->routing_version);
}

/* Charges the request to its customer and passes it on. True if it has to wait;
 * otherwise it was passed on, or refused and freed. queued: it waited before.
 */
static bool charge_or_wait(struct forward *f, bool queued)
{
	struct gate *g = f->g;
	int64_t now = gate_now(g), retry_after_ms = 0;
	struct quota_need need = { f->cost, queued, max_wait_ms(f) };

	switch (quota_lease.take_ranked(g->quota_client, f->customer, &need,
					&f->rank, now, &retry_after_ms)) {
	case QUOTA_WAIT:
		return true;
	case QUOTA_ADMIT:
		f->charged_ms = now;
		f->quota_waited_ms = now - f->start_ms;
		count_spent(f);
		leave_queue(f);
		forward_queue_or_send(f);
		return false;
	case QUOTA_REFUSE:
		break;
	}
	leave_queue(f);
	record_over_quota(f, retry_after_ms);
	forward_refuse(
		f, 429, "quota", "its customer's limit is reached",
		retry_after_quota_ms(f, MIN(retry_after_ms, QUOTA_RETRY_MAX_MS),
				     QUOTA_RETRY_SPREAD_MS));
	return false;
}

static GQueue *queue_of(struct forward *f)
{
	GHashTable *queues = f->g->quota_queues;
	struct quota_queues *l = g_hash_table_lookup(queues, f->customer->name);

	if (!l) {
		l = g_new0(struct quota_queues, 1);
		g_hash_table_insert(queues, g_strdup(f->customer->name), l);
	}
	return &l->classes[f->rank.class_id];
}

/* Orders by objective; requests with the same objective stay in their order. */
static gint compare_objectives(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct forward *x = a, *y = b;

	(void)data;
	return x->rank.due_ms <= y->rank.due_ms ? -1 : 1;
}

void quota_begin(struct forward *f)
{
	f->cost = customer_cost(f->customer,
				f->call.tokens_in + f->call.tokens_out);
	f->rank.class_id = (int)CLAMP(f->route->priority, 0, QUOTA_CLASSES - 1);
	f->rank.due_ms = f->objective_ms;
	f->state = FORWARD_WAIT_QUOTA;
	if (!charge_or_wait(f, false))
		return;
	f->quota_queue = queue_of(f);
	f->g->quota_waiting++;
	g_queue_insert_sorted(f->quota_queue, f, compare_objectives, NULL);
}

/* Dispatches requests from the head of a class, then tries those behind it that
 * can't wait any longer. */
static void dispatch_class(GQueue *queue, int64_t now)
{
	struct forward *f;
	GList *next;

	while ((f = g_queue_peek_head(queue)) && !charge_or_wait(f, true))
		;
	for (GList *l = f ? queue->head->next : NULL; l; l = next) {
		f = l->data;
		next = l->next;
		if (now >= f->rank.due_ms - max_wait_ms(f))
			charge_or_wait(f, true);
	}
}

static void dispatch_customer(struct quota_queues *l, int64_t now)
{
	for (int i = 0; i < QUOTA_CLASSES; i++)
		dispatch_class(&l->classes[i], now);
}

void forward_leave_quota_queue(struct forward *f)
{
	if (!f->quota_queue)
		return;
	leave_queue(f);
	quota_lease.cancel_ranked(f->g->quota_client, f->customer, f->cost,
				  &f->rank);
}

void forward_refund(struct forward *f)
{
	struct gate *g = f->g;

	/* A refund of an old charge would come on top of later grants. */
	if (f->charged_ms < 0 || gate_now(g) - f->charged_ms > REFUND_WINDOW_MS)
		return;
	quota_lease.refund(g->quota_client, f->customer, f->cost, &f->rank,
			   gate_now(g));
	f->charged_ms = -1;
}

void quota_tick(struct gate *g)
{
	GList *queues;

	if (!g->quota_waiting)
		return;
	queues = g_hash_table_get_values(g->quota_queues);
	for (GList *l = queues; l; l = l->next)
		dispatch_customer(l->data, gate_now(g));
	g_list_free(queues);
}

void gate_quota_requests(struct gate *g, GArray *out)
{
	quota_lease.clients_requests(g->quota_client, gate_now(g), out);
}

void gate_quota_reply_received(struct gate *g, const struct msg_quota_reply *m)
{
	const struct quota_reply *w = m->replies.items;

	for (size_t i = 0; i < m->replies.n; i++) {
		char *name = ss_str_dup(w[i].customer);
		struct quota_queues *queues =
			g_hash_table_lookup(g->quota_queues, name);

		quota_lease.clients_reply(g->quota_client, &w[i], gate_now(g));
		if (queues)
			dispatch_customer(queues, gate_now(g));
		g_free(name);
	}
}
