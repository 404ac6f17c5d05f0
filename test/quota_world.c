/* Simulation of entries that enforce customers' limits together. */
#include "quota_world.h"

#include "../src/node/frame.h"

#include <math.h>
#include <stdio.h>
#include <time.h>

/* Interval of an entry's event loop, and the factor of that in WORLD_SLOW. */
#define TICK_MS 10
#define SLOWDOWN 5
/* Callers' requests start at this time, in ms, once all processes have
 * started. */
#define CALLERS_START_MS 7000
/* Time until a silent peer counts as lost, and until a reachable one is
 * connected, in ms. */
#define PEER_TIMEOUT_MS 900
#define RECONNECT_MS 100
/* Changes of members reach entries within this, in ms. */
#define SPREAD_MS 200
/* A request waits no longer than this for a grant, in ms. */
#define WAIT_MS 2500
/* A request accepts this expected wait for tokens, in ms. */
#define HOLD_MS 300
/* After a change of limits, a window is checked against the new one once that
 * has been in force for the length of a window and this time, which a change
 * takes, in ms. */
#define APPLY_MS 2500
/* Cost of a request, in tokens: most are near the mean, some are several times
 * as large. */
#define COST_MEAN 1500
#define COST_MAX 9000
/* Number of customers, by size, that may become hot. */
#define HOT_MAX 16
/* Exceeds the number of entries in any run. */
#define ENTRIES_MAX 512
/* Exceeds the number of customers in any run: queue_key() multiplies classes by
 * it. */
#define CUSTOMERS_MAX 1000000

const struct world_class world_two_classes[WORLD_TWO_CLASSES] = {
	{ 0, 500, 0.6, 600 },
	{ 2, 4000, 0.4, 1743 },
};
const struct world_class world_three_classes[WORLD_THREE_CLASSES] = {
	{ 0, 500, 0.4, 600 },
	{ 1, 600, 0.1, 900 },
	{ 2, 4000, 0.2, 1743 },
	{ 2, 150, 0.3, 200 },
};

struct request {
	int64_t at_ms;
	int customer;
	double cost;
	int kind; /* index into the options' classes */
	int64_t hold_ms;
	struct quota_rank rank;
};

struct node {
	void *clients;
	void *allocator;   /* unused with quota_lease */
	GHashTable *owned; /* customer -> its allocator */
	uint64_t id;	   /* incarnation */
	int domain;
	bool joined, running, frozen, cut;
	bool link;		 /* connected, in its own view */
	bool known_to_allocator; /* connected, in the allocator's view */
	int slowdown;
	double clock_rate;  /* speed relative to the true time */
	int64_t offset;	    /* of the clock, in ms */
	int64_t busy_us;    /* the allocator is busy until then */
	GHashTable *queues; /* queue_key() -> GQueue of struct request */
	int64_t next_ms;
};

struct admitted {
	int64_t at_ms;
	double cost;
};

struct sim_customer {
	struct customer *c;
	GArray *admitted;	   /* struct admitted */
	double rate;		   /* requests per second */
	double weight, cumulative; /* of all customers up to this one */
	double bucket; /* of an ideal limiter that sees all requests */
	int64_t bucket_ms;
	double entitled;	  /* tokens that the ideal limiter admits */
	double served, requested; /* in tokens */
	int entry_offset;
	double hot; /* factor of the rate; 1: not hot */
	int hot_domain;
	GArray *limits; /* struct limit_at */
};

struct limit_at {
	int64_t at_ms;
	struct customer_limit limit;
};

enum action_kind {
	ACTION_REQUEST,
	ACTION_REPLY,
	ACTION_LINK_DOWN,
	ACTION_LINK_UP,
	ACTION_CLIENT_LOST,
	ACTION_EVENT_END,
	ACTION_NEW_LEADER,
	ACTION_EVENT_START
};

struct action {
	int64_t at_us;
	uint64_t order;
	enum action_kind kind;
	int node;	   /* the node that acts */
	uint64_t id, peer; /* incarnations of the sender and the receiver */
	const struct world_event *event;
	char *customer;
	struct quota_request request;
	struct quota_reply reply;
	void *parts; /* classes of the request or the reply */
};

struct world {
	const struct world_options *o;
	struct node *n;
	struct sim_customer *p;
	void *leader; /* allocator of quota_lease; NULL: no leader */
	uint64_t leader_id;
	int64_t leader_busy_us;
	GSequence *actions;
	uint64_t order, ids, seed;
	int64_t now;
	uint64_t messages, bytes, cross_domain_bytes, allocator_requests,
		waited, late, requests, served;
	double waited_ms;
	GHashTable *requests_by_allocator; /* allocator -> number of requests */
	double allocator_s;
	struct world_share shares[QUOTA_CLASSES]; /* in tokens */
};

static double draw(struct world *w)
{
	return (double)(ss_random(&w->seed) >> 11) / (double)(1ULL << 53);
}

static gint by_time(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct action *x = a, *y = b;

	(void)data;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

static void action_free(void *p)
{
	struct action *a = p;

	g_free(a->customer);
	g_free(a->parts);
	g_free(a);
}

/* Copies a list of classes; the action frees the copy. */
static struct wire_list copy_parts(struct action *a,
				   const struct wire_list *parts)
{
	if (!parts->n)
		return (struct wire_list){ 0 };
	a->parts = g_memdup2(parts->items,
			     parts->n * sizeof(struct quota_class_item));
	return (struct wire_list){ a->parts, parts->n };
}

static struct action *plan(struct world *w, int64_t at_us,
			   enum action_kind kind, int node)
{
	struct action *a = g_new0(struct action, 1);

	a->at_us = at_us;
	a->order = ++w->order;
	a->kind = kind;
	a->node = node;
	a->id = node >= 0 ? w->n[node].id : 0;
	return a;
}

static void add(struct world *w, struct action *a)
{
	g_sequence_insert_sorted(w->actions, a, by_time, NULL);
}

static int64_t clock_of(const struct world *w, const struct node *n)
{
	return n->offset + (int64_t)((double)w->now * n->clock_rate);
}

static bool is_reachable(const struct node *n)
{
	return n->joined && n->running && !n->frozen && !n->cut;
}

/* Allocators. */

/* Returns the index of the node that allocates a customer's grants; -1: the
 * leader; -2: none. */
static int allocator_index(struct world *w, const struct sim_customer *p)
{
	uint64_t ids[ENTRIES_MAX];
	int at[ENTRIES_MAX];
	size_t n = 0;
	uint64_t owner;

	if (!w->o->scheme->allocator_for)
		return -2;
	if (w->o->scheme == &quota_lease)
		return -1;
	for (int i = 0; i < w->o->entries; i++)
		/* Members learn of lost members within a second. */
		if (w->n[i].joined && w->n[i].known_to_allocator) {
			ids[n] = (uint64_t)i + 1;
			at[n++] = i;
		}
	if (!n)
		return -2;
	owner = w->o->scheme->allocator_for(ss_str(p->c->name), 0, ids, n);
	for (size_t i = 0; i < n; i++)
		if (ids[i] == owner)
			return at[i];
	return -2;
}

static void *get_allocator(struct world *w, int owner, const char *customer)
{
	struct quota_options qo = { w->o->overage };
	void *allocator;

	if (owner == -1)
		return w->leader;
	allocator = g_hash_table_lookup(w->n[owner].owned, customer);
	if (!allocator) {
		allocator = w->o->scheme->allocator_new(
			&qo, clock_of(w, &w->n[owner]));
		g_hash_table_insert(w->n[owner].owned, g_strdup(customer),
				    allocator);
	}
	return allocator;
}

static void count_message(struct world *w, enum msg_kind kind, const void *one,
			  bool cross_domain)
{
	struct wire_list one_of = { (void *)one, 1 };
	GString *frame = g_string_new(NULL);
	size_t n;

	frame_add(frame, kind, &one_of);
	n = frame->len;
	g_string_free(frame, TRUE);
	w->messages++;
	w->bytes += n;
	w->cross_domain_bytes += cross_domain ? n : 0;
}

static double cpu_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static struct sim_customer *find_customer(struct world *w, struct ss_str name)
{
	char *s = ss_str_dup(name);
	int i = atoi(s + 1);

	g_free(s);
	return &w->p[i];
}

static int64_t delay_us(struct world *w, bool cross_domain)
{
	double ms = cross_domain ? w->o->delay_ms : w->o->delay_ms / 4;

	return (int64_t)(1000 * ms * (1 + draw(w)));
}

static void on_quota_request(struct world *w, struct action *a)
{
	struct sim_customer *p = find_customer(w, a->request.customer);
	int owner = allocator_index(w, p);
	struct node *from = &w->n[a->node],
		    *at = owner >= 0 ? &w->n[owner] : NULL;
	struct quota_reply reply = { 0 };
	int64_t *busy = at ? &at->busy_us : &w->leader_busy_us;
	int64_t work_us, now;
	struct action *sent;
	gint64 *count;
	bool answers;
	void *allocator;
	double t;

	if (owner == -2 || (owner == -1 && !w->leader) ||
	    (at && !is_reachable(at)) || !is_reachable(from) ||
	    from->id != a->id || (owner == -1 && a->peer != w->leader_id))
		return;
	allocator = get_allocator(w, owner, p->c->name);
	now = at ? clock_of(w, at) : w->now;
	t = cpu_s();
	answers = w->o->scheme->allocator_request(allocator, a->id, p->c,
						  &a->request, now, &reply);
	w->allocator_s += cpu_s() - t;
	w->allocator_requests++;
	count = g_hash_table_lookup(w->requests_by_allocator,
				    GINT_TO_POINTER(owner + 2));
	if (!count) {
		count = g_new0(gint64, 1);
		g_hash_table_insert(w->requests_by_allocator,
				    GINT_TO_POINTER(owner + 2), count);
	}
	(*count)++;
	if (!answers)
		return;
	/* A request takes about 10 us of a core, of which the allocator has a
	 * fraction. */
	work_us = (int64_t)(10 / w->o->cpu_share);
	*busy = MAX(*busy, a->at_us) + work_us;
	sent = plan(w, *busy + delay_us(w, !at || at->domain != from->domain),
		    ACTION_REPLY, a->node);
	sent->customer = g_strdup(p->c->name);
	sent->reply = reply;
	sent->reply.customer = ss_str(sent->customer);
	sent->reply.classes = copy_parts(sent, &reply.classes);
	count_message(w, MSG_QUOTA_REPLY, &reply,
		      !at || at->domain != from->domain);
	add(w, sent);
}

/* Requests. */

static void admit(struct world *w, struct sim_customer *p,
		  const struct request *q)
{
	struct admitted a = { w->now, q->cost };

	g_array_append_val(p->admitted, a);
	p->served += q->cost;
	w->served++;
	w->shares[q->kind].served += q->cost;
	if (w->now - q->at_ms <= q->hold_ms)
		w->shares[q->kind].in_time += q->cost;
	if (w->now > q->at_ms) {
		w->waited++;
		w->late += w->now - q->at_ms > WORLD_LATE_MS;
		w->waited_ms += (double)(w->now - q->at_ms);
	}
}

/* Returns the key of a customer's queue of a class. */
static void *queue_key(int customer, int class)
{
	return GINT_TO_POINTER(class * CUSTOMERS_MAX + customer);
}

/* Returns true if the request keeps waiting. */
static bool keeps_waiting(struct world *w, struct node *n,
			  const struct request *q)
{
	struct quota_need need = { q->cost, true, q->hold_ms };
	struct sim_customer *p = &w->p[q->customer];
	int64_t retry_after_ms;

	switch (w->o->scheme->take_ranked(n->clients, p->c, &need, &q->rank,
					  clock_of(w, n), &retry_after_ms)) {
	case QUOTA_ADMIT:
		admit(w, p, q);
		return false;
	case QUOTA_REFUSE:
		return false;
	case QUOTA_WAIT:
		break;
	}
	if (w->now - q->at_ms < WAIT_MS)
		return true;
	w->o->scheme->cancel_ranked(n->clients, p->c, q->cost, &q->rank);
	return false;
}

/* Tries the first request of a queue, and then those whose hold time has
 * passed. */
static void try_queue(struct world *w, struct node *n, void *key)
{
	GQueue *all = g_hash_table_lookup(n->queues, key);
	GList *next;

	while (all && all->head && !keeps_waiting(w, n, all->head->data))
		g_free(g_queue_pop_head(all));
	for (GList *l = all && all->head ? all->head->next : NULL; l;
	     l = next) {
		const struct request *q = l->data;

		next = l->next;
		if (!q->rank.due_ms || w->now - q->at_ms < q->hold_ms ||
		    keeps_waiting(w, n, q))
			continue;
		g_free(l->data);
		g_queue_delete_link(all, l);
	}
	if (all && !all->head)
		g_hash_table_remove(n->queues, key);
}

static void try_waiting(struct world *w, struct node *n, int customer)
{
	for (int k = 0; k < QUOTA_CLASSES; k++)
		try_queue(w, n, queue_key(customer, k));
}

static gint by_objective(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct request *x = a, *y = b;

	(void)data;
	/* Equal objectives stay in the order of arrival. */
	return x->rank.due_ms <= y->rank.due_ms ? -1 : 1;
}

static void add_waiting(struct node *n, const struct request *q)
{
	void *key = queue_key(q->customer, q->rank.class_id);
	GQueue *all = g_hash_table_lookup(n->queues, key);

	if (!all) {
		all = g_queue_new();
		g_hash_table_insert(n->queues, key, all);
	}
	g_queue_insert_sorted(all, g_memdup2(q, sizeof(*q)), by_objective,
			      NULL);
}

static void queue_free(void *all)
{
	g_queue_free_full(all, g_free);
}

static void add_entitled(struct world *w, struct sim_customer *p, double cost)
{
	const struct customer_limit *l = &p->c->limit;

	p->bucket += l->per_s * (double)(w->now - p->bucket_ms) / 1000;
	p->bucket = MIN(p->bucket, l->burst);
	p->bucket_ms = w->now;
	p->requested += cost;
	if (p->bucket < MIN(cost, l->burst))
		return;
	p->bucket -= cost;
	p->entitled += cost;
}

/* Draws the kind of a request. */
static void draw_kind(struct world *w, const struct node *n, struct request *q)
{
	const struct world_class *k = w->o->classes;
	double at = draw(w);

	while (q->kind + 1 < (int)w->o->n_classes && at >= k->share) {
		at -= k->share;
		q->kind++;
		k++;
	}
	q->cost = k->cost * (0.5 + draw(w));
	q->hold_ms = k->objective_ms / 2;
	if (w->o->sharing != WORLD_FIFO)
		q->rank =
			(struct quota_rank){ k->class_id,
					     clock_of(w, n) + k->objective_ms };
}

static void on_caller_request(struct world *w, int customer, int entry,
			      double cost)
{
	struct sim_customer *p = &w->p[customer];
	struct node *n = &w->n[entry];
	struct request q = { .at_ms = w->now,
			     .customer = customer,
			     .cost = cost,
			     .hold_ms = HOLD_MS };
	struct quota_need need = { 0 };
	int64_t retry_after_ms;

	/* Callers can't reach the entry, which is no fault of the limits. */
	if (!n->joined || !n->running || n->frozen)
		return;
	w->requests++;
	if (w->o->n_classes)
		draw_kind(w, n, &q);
	add_entitled(w, p, q.cost);
	w->shares[q.kind].requested += q.cost;
	need.cost = q.cost;
	need.hold_ms = q.hold_ms;
	switch (w->o->scheme->take_ranked(n->clients, p->c, &need, &q.rank,
					  clock_of(w, n), &retry_after_ms)) {
	case QUOTA_ADMIT:
		admit(w, p, &q);
		break;
	case QUOTA_WAIT:
		add_waiting(n, &q);
		break;
	case QUOTA_REFUSE:
		break;
	}
}

static void on_quota_reply(struct world *w, struct action *a)
{
	struct node *n = &w->n[a->node];

	if (!is_reachable(n) || n->id != a->id || !n->link)
		return;
	w->o->scheme->clients_reply(n->clients, &a->reply, clock_of(w, n));
	try_waiting(w, n, (int)(find_customer(w, a->reply.customer) - w->p));
}

/* Links. */

static void set_link(struct world *w, struct node *n, bool up)
{
	if (!n->clients || n->link == up)
		return;
	n->link = up;
	w->o->scheme->clients_link(n->clients, NULL, up, clock_of(w, n));
}

/* Frees the allocators of customers that a node no longer owns: the node starts
 * with a new one if it owns the customer again. */
static void drop_former_allocators(struct world *w)
{
	for (int k = 0; k < w->o->entries && w->o->scheme == &quota_owner;
	     k++) {
		GHashTableIter it;
		void *name;

		g_hash_table_iter_init(&it, w->n[k].owned);
		while (g_hash_table_iter_next(&it, &name, NULL))
			if (allocator_index(
				    w, find_customer(w, ss_str(name))) != k)
				g_hash_table_iter_remove(&it);
	}
}

static void lose_client(struct world *w, int i)
{
	struct node *n = &w->n[i];
	GHashTableIter it;
	void *allocator;

	if (!n->known_to_allocator)
		return;
	n->known_to_allocator = false;
	if (w->leader)
		w->o->scheme->allocator_client_lost(w->leader, n->id, w->now);
	for (int k = 0; k < w->o->entries && w->o->scheme == &quota_owner;
	     k++) {
		g_hash_table_iter_init(&it, w->n[k].owned);
		while (g_hash_table_iter_next(&it, NULL, &allocator))
			w->o->scheme->allocator_client_lost(
				allocator, n->id, clock_of(w, &w->n[k]));
	}
	/* Customers that the node owned have another owner. */
	g_hash_table_remove_all(n->owned);
	drop_former_allocators(w);
}

static bool has_allocator(const struct world *w)
{
	return w->o->scheme == &quota_owner || w->leader;
}

static void start_node(struct world *w, int i)
{
	struct node *n = &w->n[i];
	struct quota_options qo = { w->o->overage };

	n->id = ++w->ids;
	n->joined = n->running = true;
	n->frozen = false;
	n->link = false;
	n->clients = w->o->scheme->clients_new(&qo, clock_of(w, n));
	w->o->scheme->clients_set_entries(n->clients, (uint64_t)w->o->entries);
	n->next_ms = w->now + (int64_t)(draw(w) * TICK_MS);
	add(w, plan(w,
		    (w->now + RECONNECT_MS) * 1000 +
			    (int64_t)(draw(w) * SPREAD_MS * 1000),
		    ACTION_LINK_UP, i));
}

static void stop_node(struct world *w, int i)
{
	struct node *n = &w->n[i];

	n->running = false;
	lose_client(w, i);
	g_hash_table_remove_all(n->queues);
	if (n->clients)
		w->o->scheme->clients_free(n->clients);
	n->clients = NULL;
}

static void lose_leader(struct world *w, int64_t for_ms)
{
	struct action *a =
		plan(w, (w->now + for_ms) * 1000, ACTION_NEW_LEADER, -1);

	if (w->o->scheme != &quota_lease) {
		g_free(a);
		return;
	}
	if (w->leader)
		w->o->scheme->allocator_free(w->leader);
	w->leader = NULL;
	for (int i = 0; i < w->o->entries; i++) {
		w->n[i].known_to_allocator = false;
		if (w->n[i].running)
			add(w, plan(w,
				    (w->now +
				     (int64_t)(draw(w) * PEER_TIMEOUT_MS)) *
					    1000,
				    ACTION_LINK_DOWN, i));
	}
	add(w, a);
}

static void start_leader(struct world *w)
{
	struct quota_options qo = { w->o->overage };

	if (w->leader)
		return;
	w->leader = w->o->scheme->allocator_new(&qo, w->now);
	w->leader_id = ++w->ids;
	for (int i = 0; i < w->o->entries; i++)
		if (w->n[i].running)
			add(w,
			    plan(w,
				 (w->now + RECONNECT_MS) * 1000 +
					 (int64_t)(draw(w) * SPREAD_MS * 1000),
				 ACTION_LINK_UP, i));
}

static void begin_event(struct world *w, const struct world_event *e)
{
	for (int i = e->first; i < e->first + e->count; i++) {
		struct node *n = &w->n[i % w->o->entries];
		struct sim_customer *p = &w->p[i % w->o->customers];
		struct limit_at l;
		struct customer *c;
		int at = i % w->o->entries;

		switch (e->kind) {
		case WORLD_PARTITION:
			n->cut = true;
			add(w, plan(w, (w->now + PEER_TIMEOUT_MS) * 1000,
				    ACTION_LINK_DOWN, at));
			add(w, plan(w, (w->now + PEER_TIMEOUT_MS) * 1000,
				    ACTION_CLIENT_LOST, at));
			break;
		case WORLD_FREEZE:
			n->frozen = true;
			add(w, plan(w, (w->now + PEER_TIMEOUT_MS) * 1000,
				    ACTION_CLIENT_LOST, at));
			break;
		case WORLD_RESTART:
			if (n->running)
				stop_node(w, at);
			break;
		case WORLD_SLOW:
			n->slowdown = SLOWDOWN;
			break;
		case WORLD_JOIN:
			if (!n->joined)
				start_node(w, at);
			break;
		case WORLD_HOT:
			p->hot = e->x;
			p->hot_domain = i % w->o->domains;
			break;
		case WORLD_LIMIT:
			c = customer_new();
			c->name = g_strdup(p->c->name);
			c->limit = p->c->limit;
			c->limit.per_s *= e->x;
			c->limit.burst *= e->x;
			customer_unref(p->c);
			p->c = c;
			l = (struct limit_at){ w->now, c->limit };
			g_array_append_val(p->limits, l);
			break;
		default:
			break;
		}
	}
	if (e->kind == WORLD_LEADER_LOSS || e->kind == WORLD_POWER_LOSS)
		lose_leader(w, e->for_ms);
	for (int i = 0; i < w->o->entries && e->kind == WORLD_POWER_LOSS; i++)
		if (w->n[i].running)
			stop_node(w, i);
}

static void end_event(struct world *w, const struct world_event *e)
{
	for (int i = e->first; i < e->first + e->count; i++) {
		int at = i % w->o->entries;
		struct node *n = &w->n[at];

		switch (e->kind) {
		case WORLD_PARTITION:
			n->cut = false;
			add(w, plan(w, (w->now + RECONNECT_MS) * 1000,
				    ACTION_LINK_UP, at));
			break;
		case WORLD_FREEZE:
			n->frozen = false;
			/* When the node resumes, it sees that all peers were
			 * silent. */
			if (e->for_ms >= PEER_TIMEOUT_MS) {
				add(w, plan(w, w->now * 1000 + 5000,
					    ACTION_LINK_DOWN, at));
				add(w, plan(w, (w->now + RECONNECT_MS) * 1000,
					    ACTION_LINK_UP, at));
			}
			break;
		case WORLD_RESTART:
			if (!n->running && n->joined)
				start_node(w, at);
			break;
		case WORLD_SLOW:
			n->slowdown = 1;
			break;
		case WORLD_HOT:
			w->p[i % w->o->customers].hot = 1;
			break;
		default:
			break;
		}
	}
	for (int i = 0; i < w->o->entries && e->kind == WORLD_POWER_LOSS; i++)
		if (!w->n[i].running && w->n[i].joined)
			start_node(w, i);
}

static void run_action(struct world *w, struct action *a)
{
	struct node *n = a->node >= 0 ? &w->n[a->node] : NULL;

	switch (a->kind) {
	case ACTION_REQUEST:
		on_quota_request(w, a);
		break;
	case ACTION_REPLY:
		on_quota_reply(w, a);
		break;
	case ACTION_LINK_DOWN:
		if (n->id == a->id && n->running && !n->frozen &&
		    (n->cut || !has_allocator(w) ||
		     n->known_to_allocator == false))
			set_link(w, n, false);
		break;
	case ACTION_CLIENT_LOST:
		if (n->id == a->id && (n->cut || n->frozen))
			lose_client(w, a->node);
		break;
	case ACTION_LINK_UP:
		if (n->id == a->id && is_reachable(n) && has_allocator(w)) {
			n->known_to_allocator = true;
			drop_former_allocators(w);
			set_link(w, n, true);
		}
		break;
	case ACTION_NEW_LEADER:
		start_leader(w);
		break;
	case ACTION_EVENT_START:
		begin_event(w, a->event);
		break;
	case ACTION_EVENT_END:
		end_event(w, a->event);
		break;
	}
}

static void run_entry(struct world *w, int i)
{
	struct node *n = &w->n[i];
	GList *waiting;
	GArray *out;

	if (!n->running || n->frozen || w->now < n->next_ms)
		return;
	n->next_ms = w->now + TICK_MS * MAX(n->slowdown, 1);
	waiting = g_hash_table_get_keys(n->queues);
	for (GList *l = waiting; l; l = l->next)
		try_queue(w, n, l->data);
	g_list_free(waiting);
	out = g_array_new(FALSE, FALSE, sizeof(struct quota_request));
	w->o->scheme->clients_requests(n->clients, clock_of(w, n), out);
	for (guint k = 0; k < out->len; k++) {
		const struct quota_request *q =
			&g_array_index(out, struct quota_request, k);
		struct sim_customer *p = find_customer(w, q->customer);
		int owner = allocator_index(w, p);
		bool cross_domain = owner < 0 ||
				    w->n[owner].domain != n->domain;
		struct action *a =
			plan(w, w->now * 1000 + delay_us(w, cross_domain),
			     ACTION_REQUEST, i);

		a->request = *q;
		a->peer = w->leader_id;
		a->customer = g_strdup(p->c->name);
		a->request.customer = ss_str(a->customer);
		if (w->o->sharing == WORLD_BY_CLASS)
			a->request.classes = copy_parts(a, &q->classes);
		else
			a->request.classes = (struct wire_list){ 0 };
		count_message(w, MSG_QUOTA_REQUEST, &a->request, cross_domain);
		add(w, a);
	}
	g_array_unref(out);
}

/* Traffic. */

static double cost_of(struct world *w)
{
	/* Exponentially distributed: a mean of COST_MEAN and a long tail. */
	double u = MAX(draw(w), 1e-6);

	return CLAMP(-log(u) * COST_MEAN, 50, COST_MAX);
}

/* Draws the entry for a request. A customer's requests reach a few entries more
 * often than others. */
static int entry_for(struct world *w, struct sim_customer *p, bool hot)
{
	int n = w->o->entries;

	if (hot) {
		int k = (int)(draw(w) * n / w->o->domains);

		return (k * w->o->domains + p->hot_domain) % n;
	}
	return (p->entry_offset + (int)(draw(w) * draw(w) * n)) % n;
}

static int customer_for(struct world *w)
{
	double at = draw(w) * w->p[w->o->customers - 1].cumulative;
	int low = 0, high = w->o->customers - 1;

	while (low < high) {
		int mid = (low + high) / 2;

		if (w->p[mid].cumulative < at)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/* Draws the number of arrivals in a millisecond, Poisson distributed, at a rate
 * per second. */
static int arrivals(struct world *w, double per_s)
{
	double most = exp(-per_s / 1000), p = draw(w);
	int n = 0;

	for (; p > most; n++)
		p *= draw(w);
	return n;
}

static void generate_traffic(struct world *w)
{
	for (int n = arrivals(w, w->o->requests_per_s); n > 0; n--) {
		int c = customer_for(w);

		on_caller_request(w, c, entry_for(w, &w->p[c], false),
				  cost_of(w));
	}
	for (int c = 0; c < MIN(w->o->customers, HOT_MAX); c++) {
		struct sim_customer *p = &w->p[c];
		int n = p->hot > 1 ? arrivals(w, p->rate * (p->hot - 1)) : 0;

		for (; n > 0; n--)
			on_caller_request(w, c, entry_for(w, p, true),
					  cost_of(w));
	}
}

/* Results. */

/* Returns the highest limit that may apply to a window that begins at from. */
static const struct limit_at *limit_for(const struct sim_customer *p,
					int64_t from, int64_t window)
{
	const struct limit_at *best =
		&g_array_index(p->limits, struct limit_at, 0);

	for (guint i = 1; i < p->limits->len; i++) {
		const struct limit_at *l =
			&g_array_index(p->limits, struct limit_at, i);

		if (l->at_ms + APPLY_MS + window <= from)
			best = l;
		else if (l->limit.per_s > best->limit.per_s &&
			 l->at_ms <= from + window)
			best = l;
	}
	return best;
}

static void check_windows(const struct world *w, struct sim_customer *p,
			  struct world_result *r)
{
	const struct quota_max_overage *s = &w->o->overage;
	int64_t window = (int64_t)(s->window_s * 1000);
	double sum = 0;
	guint from = 0;

	for (guint i = 0; i < p->admitted->len; i++) {
		const struct admitted *a =
			&g_array_index(p->admitted, struct admitted, i);
		const struct limit_at *l;
		double most;

		sum += a->cost;
		while (g_array_index(p->admitted, struct admitted, from).at_ms <
		       a->at_ms - window)
			sum -= g_array_index(p->admitted, struct admitted,
					     from++)
				       .cost;
		l = limit_for(p, a->at_ms - window, window);
		most = (l->limit.per_s * s->window_s + l->limit.burst) *
			       (1 + s->ratio) +
		       s->extra;
		if (sum / most <= r->worst)
			continue;
		r->worst = sum / most;
		snprintf(r->worst_at, sizeof(r->worst_at),
			 "%s until %.1f s: %.0f of %.0f", p->c->name,
			 (double)a->at_ms / 1000, sum, most);
	}
}

static void summarize(const struct world *w, struct world_result *r)
{
	double entitled = 0, refused_sum = 0,
	       s = (double)w->o->length_ms / 1000;
	GHashTableIter it;
	void *n;

	memset(r, 0, sizeof(*r));
	for (int c = 0; c < w->o->customers; c++) {
		struct sim_customer *p = &w->p[c];
		double refused = MAX(p->entitled - p->served, 0);

		check_windows(w, p, r);
		entitled += p->entitled;
		refused_sum += refused;
		/* A customer with few requests isn't representative. */
		if (p->entitled > 50 * COST_MEAN)
			r->worst_refused =
				MAX(r->worst_refused, refused / p->entitled);
	}
	r->refused = entitled > 0 ? refused_sum / entitled : 0;
	r->served = w->requests ? (double)w->served / (double)w->requests : 1;
	r->waited = w->requests ? (double)w->waited / (double)w->requests : 0;
	r->late = w->requests ? (double)w->late / (double)w->requests : 0;
	r->waited_ms = w->waited ? w->waited_ms / (double)w->waited : 0;
	r->messages = (double)w->messages / s;
	r->bytes = (double)w->bytes / s;
	r->cross_domain_bytes = (double)w->cross_domain_bytes / s;
	r->allocator_us =
		w->allocator_requests ?
			w->allocator_s * 1e6 / (double)w->allocator_requests :
			0;
	for (int k = 0; k < QUOTA_CLASSES; k++) {
		const struct world_share *x = &w->shares[k];

		r->classes[k].requested = x->requested;
		r->classes[k].served = x->served / MAX(x->requested, 1);
		r->classes[k].in_time = x->in_time / MAX(x->requested, 1);
	}
	g_hash_table_iter_init(&it, w->requests_by_allocator);
	while (g_hash_table_iter_next(&it, NULL, &n))
		r->allocator_requests =
			MAX(r->allocator_requests, (double)*(gint64 *)n / s);
}

/* Setup. */

static double mean_cost(const struct world *w)
{
	double sum = 0;

	for (size_t i = 0; i < w->o->n_classes; i++)
		sum += w->o->classes[i].share * w->o->classes[i].cost;
	return w->o->n_classes ? sum : COST_MEAN;
}

static void create_customers(struct world *w)
{
	double all = 0;

	w->p = g_new0(struct sim_customer, (gsize)w->o->customers);
	for (int c = 0; c < w->o->customers; c++) {
		/* Customers' sizes follow a power law. */
		w->p[c].weight = 1 / pow(c + 1, 1.1);
		all += w->p[c].weight;
		w->p[c].cumulative = all;
	}
	for (int c = 0; c < w->o->customers; c++) {
		struct sim_customer *p = &w->p[c];
		struct limit_at l = { 0 };

		p->rate = w->o->requests_per_s * p->weight / all;
		p->hot = 1;
		p->entry_offset = (int)(draw(w) * w->o->entries);
		p->c = customer_new();
		p->c->name = g_strdup_printf("c%d", c);
		p->c->limit.tokens = true;
		p->c->limit.per_s = MAX(p->rate * mean_cost(w) * w->o->limit_x,
					w->o->floor_per_s);
		p->c->limit.burst = p->c->limit.per_s;
		l.limit = p->c->limit;
		p->bucket = l.limit.burst;
		p->limits = g_array_new(FALSE, FALSE, sizeof(l));
		g_array_append_val(p->limits, l);
		p->admitted =
			g_array_new(FALSE, FALSE, sizeof(struct admitted));
	}
}

static void create_nodes(struct world *w)
{
	w->n = g_new0(struct node, (gsize)w->o->entries);
	for (int i = 0; i < w->o->entries; i++) {
		struct node *n = &w->n[i];

		n->domain = i % w->o->domains;
		n->slowdown = 1;
		n->clock_rate = 1 + w->o->drift * (2 * draw(w) - 1);
		n->offset = (int64_t)(draw(w) * 100000);
		n->queues = g_hash_table_new_full(NULL, NULL, NULL, queue_free);
		n->owned = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free,
						 w->o->scheme->allocator_free);
	}
	if (w->o->scheme == &quota_lease)
		start_leader(w);
	for (int i = 0; i < w->o->entries; i++) {
		bool later = false;

		for (size_t k = 0; k < w->o->n_events; k++) {
			const struct world_event *e = &w->o->events[k];

			later |= e->kind == WORLD_JOIN && i >= e->first &&
				 i < e->first + e->count;
		}
		if (!later)
			start_node(w, i);
	}
}

static void free_world(struct world *w)
{
	for (int i = 0; i < w->o->entries; i++)
		if (w->n[i].clients)
			stop_node(w, i);
	for (int i = 0; i < w->o->entries; i++) {
		g_hash_table_unref(w->n[i].owned);
		g_hash_table_unref(w->n[i].queues);
	}
	if (w->leader)
		w->o->scheme->allocator_free(w->leader);
	for (int c = 0; c < w->o->customers; c++) {
		customer_unref(w->p[c].c);
		g_array_unref(w->p[c].limits);
		g_array_unref(w->p[c].admitted);
	}
	g_sequence_free(w->actions);
	g_hash_table_unref(w->requests_by_allocator);
	g_free(w->n);
	g_free(w->p);
}

static void run_due_actions(struct world *w)
{
	GSequenceIter *it;

	while (!g_sequence_iter_is_end(
		it = g_sequence_get_begin_iter(w->actions))) {
		struct action *a = g_sequence_get(it);
		struct action copy = *a;

		if (a->at_us > w->now * 1000 + 999)
			return;
		a->customer = NULL;
		a->parts = NULL;
		g_sequence_remove(it);
		run_action(w, &copy);
		g_free(copy.customer);
		g_free(copy.parts);
	}
}

void world_run(const struct world_options *o, struct world_result *r)
{
	struct world w = { .o = o, .seed = o->seed, .now = 0 };

	w.actions = g_sequence_new(action_free);
	w.requests_by_allocator =
		g_hash_table_new_full(NULL, NULL, NULL, g_free);
	create_customers(&w);
	create_nodes(&w);
	for (size_t k = 0; k < o->n_events; k++) {
		const struct world_event *e = &o->events[k];
		struct action *a = plan(&w,
					(CALLERS_START_MS + e->at_ms) * 1000,
					ACTION_EVENT_START, -1);

		a->event = e;
		add(&w, a);
		a = plan(&w, (CALLERS_START_MS + e->at_ms + e->for_ms) * 1000,
			 ACTION_EVENT_END, -1);
		a->event = e;
		if (e->for_ms)
			add(&w, a);
		else
			action_free(a);
	}
	for (; w.now < CALLERS_START_MS + o->length_ms; w.now++) {
		run_due_actions(&w);
		if (w.now >= CALLERS_START_MS)
			generate_traffic(&w);
		for (int i = 0; i < o->entries; i++)
			run_entry(&w, i);
	}
	summarize(&w, r);
	free_world(&w);
}
