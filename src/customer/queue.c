/* Admission queue: weighted fair queueing between customers within a priority,
 * and earliest deadline first within a customer. */
#include <sapphireshift/queue.h>

/* Default of the option raise_ms: an item with less time left than this goes
 * ahead of its priority. About the time of a common answer. */
#define PROMOTE_MS 2000
/* Virtual time charged per item to a customer with a weight of 1. */
#define VIRTUAL_TIME_UNIT 1000000000
/* Number of flows of a priority above which a flow is removed when it becomes
 * empty. */
#define PRUNE_MIN_FLOWS 64

/* A customer's items of one priority. */
struct flow {
	struct ss_str customer;
	int priority;
	GSequence *items;      /* by deadline, then by arrival */
	uint64_t virtual_time; /* the flow with the lowest is served first */
};

struct ss_queue {
	struct ss_queue_options o;
	GPtrArray *flows[SS_QUEUE_PRIORITIES];
	size_t counts[SS_QUEUE_PRIORITIES];
	size_t length;
	uint64_t order;
};

static void flow_free(void *p)
{
	struct flow *f = p;

	g_sequence_free(f->items);
	g_free((char *)f->customer.p);
	g_free(f);
}

struct ss_queue *ss_queue_new(const struct ss_queue_options *o)
{
	struct ss_queue *q = g_new0(struct ss_queue, 1);

	q->o = *o;
	q->o.raise_ms = o->raise_ms ? o->raise_ms : PROMOTE_MS;
	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++)
		q->flows[p] = g_ptr_array_new_with_free_func(flow_free);
	return q;
}

void ss_queue_free(struct ss_queue *q)
{
	if (!q)
		return;
	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++)
		g_ptr_array_unref(q->flows[p]);
	g_free(q);
}

static gint by_deadline(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct ss_queue_item *x = a, *y = b;

	(void)data;
	if (x->deadline_ms != y->deadline_ms)
		return x->deadline_ms < y->deadline_ms ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

static struct ss_queue_item *first_item(const struct flow *f)
{
	GSequenceIter *it = g_sequence_get_begin_iter(f->items);

	return g_sequence_iter_is_end(it) ? NULL : g_sequence_get(it);
}

/* Returns the lowest virtual time of all non-empty flows of a priority; 0 for
 * none. */
static uint64_t lowest_virtual_time(GPtrArray *flows)
{
	uint64_t least = UINT64_MAX;

	for (guint i = 0; i < flows->len; i++) {
		const struct flow *f = flows->pdata[i];

		if (first_item(f))
			least = MIN(least, f->virtual_time);
	}
	return least == UINT64_MAX ? 0 : least;
}

static struct flow *find_or_add_flow(struct ss_queue *q, struct ss_str customer,
				     int priority)
{
	GPtrArray *flows = q->flows[priority];
	struct flow *f;

	for (guint i = 0; i < flows->len; i++) {
		f = flows->pdata[i];
		if (ss_str_eq(f->customer, customer))
			return f;
	}
	f = g_new0(struct flow, 1);
	f->customer = (struct ss_str){ ss_str_dup(customer), customer.n };
	f->priority = priority;
	f->items = g_sequence_new(NULL);
	g_ptr_array_add(flows, f);
	return f;
}

static size_t customer_count(const struct ss_queue *q, struct ss_str customer)
{
	size_t n = 0;

	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++)
		for (guint i = 0; i < q->flows[p]->len; i++) {
			const struct flow *f = q->flows[p]->pdata[i];

			if (ss_str_eq(f->customer, customer))
				n += (size_t)g_sequence_get_length(f->items);
		}
	return n;
}

bool ss_queue_push(struct ss_queue *q, struct ss_queue_item *i, GError **error)
{
	int priority = CLAMP(i->priority, 0, SS_QUEUE_PRIORITIES - 1);
	size_t limit = q->o.limit ? q->o.limit(q->o.arg, i->customer) :
				    SIZE_MAX;
	struct flow *f;

	if (customer_count(q, i->customer) >= limit) {
		g_set_error(error, SS_ERROR, SS_ERROR_OVERLOAD,
			    "%zu calls of this customer wait already", limit);
		return false;
	}
	f = find_or_add_flow(q, i->customer, priority);
	/* An idle customer accumulates no credit. */
	if (!first_item(f))
		f->virtual_time = MAX(f->virtual_time,
				      lowest_virtual_time(q->flows[priority]));
	i->priority = priority;
	i->order = ++q->order;
	i->flow = f;
	i->iter = g_sequence_insert_sorted(f->items, i, by_deadline, NULL);
	q->counts[priority]++;
	q->length++;
	return true;
}

void ss_queue_remove(struct ss_queue *q, struct ss_queue_item *i)
{
	struct flow *f = i->flow;

	if (!f)
		return;
	g_sequence_remove(i->iter);
	i->iter = NULL;
	i->flow = NULL;
	q->counts[f->priority]--;
	q->length--;
	/* Operations scan all flows, including empty ones: remove those once
	 * there are many. */
	if (!first_item(f) && q->flows[f->priority]->len > PRUNE_MIN_FLOWS)
		g_ptr_array_remove_fast(q->flows[f->priority], f);
}

static struct ss_queue_item *earliest(GPtrArray *flows)
{
	struct ss_queue_item *best = NULL;

	for (guint i = 0; i < flows->len; i++) {
		struct ss_queue_item *item = first_item(flows->pdata[i]);

		if (item && (!best || by_deadline(item, best, NULL) < 0))
			best = item;
	}
	return best;
}

/* Returns the next item of a priority by fair shares. */
static struct ss_queue_item *fairest(GPtrArray *flows)
{
	struct flow *best = NULL;

	for (guint i = 0; i < flows->len; i++) {
		struct flow *f = flows->pdata[i];

		if (first_item(f) &&
		    (!best || f->virtual_time < best->virtual_time))
			best = f;
	}
	return best ? first_item(best) : NULL;
}

static void charge(struct ss_queue *q, const struct ss_queue_item *i)
{
	struct flow *f = i->flow;
	unsigned int share = i->share;

	if (!share)
		share = q->o.share ? q->o.share(q->o.arg, f->customer) : 1;

	f->virtual_time += VIRTUAL_TIME_UNIT / MAX(share, 1);
}

struct ss_queue_item *ss_queue_peek(const struct ss_queue *q, int64_t now,
				    int least_priority)
{
	struct ss_queue_item *best = NULL;

	for (int p = SS_QUEUE_PRIORITIES - 1; p >= MAX(least_priority, 0);
	     p--) {
		struct ss_queue_item *e;

		if (q->counts[p] == 0)
			continue;
		if (!best) {
			best = fairest(q->flows[p]);
			continue;
		}
		e = earliest(q->flows[p]);
		if (e->deadline_ms - now < q->o.raise_ms &&
		    e->deadline_ms < best->deadline_ms)
			best = e;
	}
	return best;
}

struct ss_queue_item *ss_queue_fairest(const struct ss_queue *q, int priority)
{
	return q->counts[priority] ? fairest(q->flows[priority]) : NULL;
}

struct ss_queue_item *ss_queue_earliest(const struct ss_queue *q, int priority)
{
	return q->counts[priority] ? earliest(q->flows[priority]) : NULL;
}

void ss_queue_take(struct ss_queue *q, struct ss_queue_item *i)
{
	charge(q, i);
	ss_queue_remove(q, i);
}

struct ss_queue_item *ss_queue_pop(struct ss_queue *q, int64_t now,
				   int least_priority)
{
	struct ss_queue_item *best = ss_queue_peek(q, now, least_priority);

	if (best)
		ss_queue_take(q, best);
	return best;
}

struct ss_queue_item *ss_queue_expired(struct ss_queue *q, int64_t now)
{
	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++) {
		struct ss_queue_item *e = q->counts[p] ? earliest(q->flows[p]) :
							 NULL;

		if (e && e->deadline_ms <= now) {
			ss_queue_remove(q, e);
			return e;
		}
	}
	return NULL;
}

int64_t ss_queue_deadline(const struct ss_queue *q)
{
	int64_t least = SS_NEVER;

	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++) {
		struct ss_queue_item *e = q->counts[p] ? earliest(q->flows[p]) :
							 NULL;

		if (e)
			least = MIN(least, e->deadline_ms);
	}
	return least;
}

int ss_queue_priority(const struct ss_queue *q)
{
	for (int p = SS_QUEUE_PRIORITIES - 1; p >= 0; p--)
		if (q->counts[p])
			return p;
	return -1;
}

size_t ss_queue_length(const struct ss_queue *q)
{
	return q->length;
}

size_t ss_queue_ahead(const struct ss_queue *q, int priority,
		      int64_t deadline_ms)
{
	size_t n = 0;

	for (int p = priority + 1; p < SS_QUEUE_PRIORITIES; p++)
		n += q->counts[p];
	for (guint i = 0; i < q->flows[priority]->len; i++) {
		const struct flow *f = q->flows[priority]->pdata[i];
		struct ss_queue_item probe = { .deadline_ms = deadline_ms,
					       .order = UINT64_MAX };
		GSequenceIter *it =
			g_sequence_search(f->items, &probe, by_deadline, NULL);

		n += (size_t)g_sequence_iter_get_position(it);
	}
	return n;
}
