/* Admission queue. */
#include <sapphireshift/queue.h>

/* An item with less time left than this goes before its priority, in ms: a
 * common answer's time. Default of the option. */
#define RAISE_MS 2000
/* Virtual time that one item costs a customer with a share of one. */
#define SHARE_UNIT 1000000000

/* One customer's items of one priority. */
struct lane {
	struct ss_str customer;
	int priority;
	GSequence *items; /* by deadline, then order of arrival */
	uint64_t served;  /* virtual time: less goes first */
};

struct ss_queue {
	struct ss_queue_options o;
	GPtrArray *lanes[SS_QUEUE_PRIORITIES];
	size_t counts[SS_QUEUE_PRIORITIES];
	size_t length;
	uint64_t order;
};

static void lane_free(void *p)
{
	struct lane *l = p;

	g_sequence_free(l->items);
	g_free((char *)l->customer.p);
	g_free(l);
}

struct ss_queue *ss_queue_new(const struct ss_queue_options *o)
{
	struct ss_queue *q = g_new0(struct ss_queue, 1);

	q->o = *o;
	q->o.raise_ms = o->raise_ms ? o->raise_ms : RAISE_MS;
	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++)
		q->lanes[p] = g_ptr_array_new_with_free_func(lane_free);
	return q;
}

void ss_queue_free(struct ss_queue *q)
{
	if (!q)
		return;
	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++)
		g_ptr_array_unref(q->lanes[p]);
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

static struct ss_queue_item *first(const struct lane *l)
{
	GSequenceIter *it = g_sequence_get_begin_iter(l->items);

	return g_sequence_iter_is_end(it) ? NULL : g_sequence_get(it);
}

/* The virtual time of the lane that is served next at a priority. */
static uint64_t least_served(GPtrArray *lanes)
{
	uint64_t least = UINT64_MAX;

	for (guint i = 0; i < lanes->len; i++) {
		const struct lane *l = lanes->pdata[i];

		if (first(l))
			least = MIN(least, l->served);
	}
	return least == UINT64_MAX ? 0 : least;
}

static struct lane *lane_for(struct ss_queue *q, struct ss_str customer,
			     int priority)
{
	GPtrArray *lanes = q->lanes[priority];
	struct lane *l;

	for (guint i = 0; i < lanes->len; i++) {
		l = lanes->pdata[i];
		if (ss_str_eq(l->customer, customer))
			return l;
	}
	l = g_new0(struct lane, 1);
	l->customer = (struct ss_str){ ss_str_dup(customer), customer.n };
	l->priority = priority;
	l->items = g_sequence_new(NULL);
	g_ptr_array_add(lanes, l);
	return l;
}

static size_t customer_count(const struct ss_queue *q, struct ss_str customer)
{
	size_t n = 0;

	for (int p = 0; p < SS_QUEUE_PRIORITIES; p++)
		for (guint i = 0; i < q->lanes[p]->len; i++) {
			const struct lane *l = q->lanes[p]->pdata[i];

			if (ss_str_eq(l->customer, customer))
				n += (size_t)g_sequence_get_length(l->items);
		}
	return n;
}

bool ss_queue_push(struct ss_queue *q, struct ss_queue_item *i, GError **error)
{
	int priority = CLAMP(i->priority, 0, SS_QUEUE_PRIORITIES - 1);
	size_t limit = q->o.limit ? q->o.limit(q->o.arg, i->customer) :
				    SIZE_MAX;
	struct lane *l;

	if (customer_count(q, i->customer) >= limit) {
		g_set_error(error, SS_ERROR, SS_ERROR_OVERLOAD,
			    "%zu calls of this customer wait already", limit);
		return false;
	}
	l = lane_for(q, i->customer, priority);
	/* A customer that was away gets no credit for the time. */
	if (!first(l))
		l->served = MAX(l->served, least_served(q->lanes[priority]));
	i->priority = priority;
	i->order = ++q->order;
	i->lane = l;
	i->iter = g_sequence_insert_sorted(l->items, i, by_deadline, NULL);
	q->counts[priority]++;
	q->length++;
	return true;
}

void ss_queue_remove(struct ss_queue *q, struct ss_queue_item *i)
{
	struct lane *l = i->lane;

	if (!l)
		return;
	g_sequence_remove(i->iter);
	i->iter = NULL;
	i->lane = NULL;
	q->counts[l->priority]--;
	q->length--;
	/* A lane that stays empty would be walked for ever. */
	if (!first(l) && q->lanes[l->priority]->len > 64)
		g_ptr_array_remove_fast(q->lanes[l->priority], l);
}

static struct ss_queue_item *earliest(GPtrArray *lanes)
{
	struct ss_queue_item *best = NULL;

	for (guint i = 0; i < lanes->len; i++) {
		struct ss_queue_item *f = first(lanes->pdata[i]);

		if (f && (!best || by_deadline(f, best, NULL) < 0))
			best = f;
	}
	return best;
}

/* The item that fair shares give for a priority. */
static struct ss_queue_item *fairest(GPtrArray *lanes)
{
	struct lane *best = NULL;

	for (guint i = 0; i < lanes->len; i++) {
		struct lane *l = lanes->pdata[i];

		if (first(l) && (!best || l->served < best->served))
			best = l;
	}
	return best ? first(best) : NULL;
}

static void charge(struct ss_queue *q, const struct ss_queue_item *i)
{
	struct lane *l = i->lane;
	unsigned int share = i->share;

	if (!share)
		share = q->o.share ? q->o.share(q->o.arg, l->customer) : 1;

	l->served += SHARE_UNIT / MAX(share, 1);
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
			best = fairest(q->lanes[p]);
			continue;
		}
		e = earliest(q->lanes[p]);
		if (e->deadline_ms - now < q->o.raise_ms &&
		    e->deadline_ms < best->deadline_ms)
			best = e;
	}
	return best;
}

struct ss_queue_item *ss_queue_fairest(const struct ss_queue *q, int priority)
{
	return q->counts[priority] ? fairest(q->lanes[priority]) : NULL;
}

struct ss_queue_item *ss_queue_earliest(const struct ss_queue *q, int priority)
{
	return q->counts[priority] ? earliest(q->lanes[priority]) : NULL;
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
		struct ss_queue_item *e = q->counts[p] ? earliest(q->lanes[p]) :
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
		struct ss_queue_item *e = q->counts[p] ? earliest(q->lanes[p]) :
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
	for (guint i = 0; i < q->lanes[priority]->len; i++) {
		const struct lane *l = q->lanes[priority]->pdata[i];
		struct ss_queue_item probe = { .deadline_ms = deadline_ms,
					       .order = UINT64_MAX };
		GSequenceIter *it =
			g_sequence_search(l->items, &probe, by_deadline, NULL);

		n += (size_t)g_sequence_iter_get_position(it);
	}
	return n;
}
