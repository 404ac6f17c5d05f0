/* Entries that keep customers' limits together, in simulated time. */
#include "quota_world.h"

#include "../src/node/frame.h"

#include <math.h>
#include <stdio.h>
#include <time.h>

#define TICK_MS 10
/* Callers come once all has started, in ms. */
#define CALLERS_MS 7000
#define SLOW_TURNS 5
/* A silent peer is given up after so long, and found again, in ms. */
#define SILENT_MS 900
#define FOUND_MS 100
/* Entries hear of members that came or went within this, in ms. */
#define SPREAD_MS 200
/* A request waits no longer for an allotment, in ms. */
#define WAIT_MS 2500
/* It waits for tokens that are expected within this, in ms. */
#define HOLD_MS 300
/* After a change of limits a window is judged once it has been in force for a
 * window's length and the time that a change takes, in ms. */
#define APPLY_MS 2500
/* Cost of a request: most are near the mean, some several times as large. */
#define COST_MEAN 1500
#define COST_MAX 9000
/* Only the largest customers become hot. */
#define HOT_MOST 16
/* Above the customers of any world: line_of() counts classes in these. */
#define CUSTOMERS_MOST 1000000

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
	int kind; /* of the options' classes */
	int64_t hold_ms;
	struct quota_rank rank;
};

struct node {
	void *entry;
	void *place;	   /* of a way with owners */
	GHashTable *taken; /* customers that it owns -> their own place */
	uint64_t id;	   /* a new one at each start */
	int domain;
	bool there, running, frozen, cut;
	bool link;	    /* as it believes */
	bool held_by_place; /* as the place believes */
	int slow;
	double clock; /* of the true time */
	int64_t offset;
	int64_t busy_us;   /* a place is busy until then */
	GHashTable *waits; /* line_of() -> GQueue of struct request */
	int64_t next_ms;
};

struct admitted {
	int64_t at_ms;
	double cost;
};

struct person {
	struct customer *c;
	GArray *admitted;     /* struct admitted */
	double rate;	      /* requests a second */
	double weight, up_to; /* of all, in order */
	double bucket;	      /* of one place that sees all */
	int64_t bucket_ms;
	double owed, served, asked;
	int home_shift;
	double hot;
	int hot_domain;
	GArray *limits; /* struct limit_at */
};

struct limit_at {
	int64_t at_ms;
	struct customer_limit limit;
};

enum deed {
	DEED_ASK,
	DEED_WORD,
	DEED_DOWN,
	DEED_UP,
	DEED_GONE,
	DEED_BACK,
	DEED_LEADER,
	DEED_EVENT
};

struct action {
	int64_t at_us;
	uint64_t order;
	enum deed deed;
	int node;	   /* who acts */
	uint64_t id, peer; /* incarnations that it is for */
	const struct world_event *event;
	char *customer;
	struct quota_ask ask;
	struct quota_word word;
	void *parts; /* of either */
};

struct world {
	const struct world_options *o;
	struct node *n;
	struct person *p;
	void *leader; /* the place, of ways with one; NULL: none leads */
	uint64_t leader_id;
	int64_t leader_busy_us;
	GSequence *actions;
	uint64_t order, ids, seed;
	int64_t now;
	uint64_t messages, bytes, far, asks, waited, late, requests, served;
	double waited_ms;
	GHashTable *asked_at; /* place -> asks */
	double place_s;
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

/* A copy of the list, which the action frees. */
static struct wire_list copy_parts(struct action *a,
				   const struct wire_list *parts)
{
	if (!parts->n)
		return (struct wire_list){ 0 };
	a->parts =
		g_memdup2(parts->items, parts->n * sizeof(struct quota_part));
	return (struct wire_list){ a->parts, parts->n };
}

static struct action *plan(struct world *w, int64_t at_us, enum deed deed,
			   int node)
{
	struct action *a = g_new0(struct action, 1);

	a->at_us = at_us;
	a->order = ++w->order;
	a->deed = deed;
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
	return n->offset + (int64_t)((double)w->now * n->clock);
}

static bool reaches(const struct node *n)
{
	return n->there && n->running && !n->frozen && !n->cut;
}

/* Places. */

/* The index of the node that hands out a customer's allotments; -1: the
 * leader; -2: nobody. */
static int home_of(struct world *w, const struct person *p)
{
	uint64_t ids[512];
	int at[512];
	size_t n = 0;
	uint64_t home;

	if (!w->o->way->home)
		return -2;
	if (w->o->way == &quota_lease)
		return -1;
	for (int i = 0; i < w->o->entries; i++)
		/* Members are told of those that went after a second. */
		if (w->n[i].there && w->n[i].held_by_place) {
			ids[n] = (uint64_t)i + 1;
			at[n++] = i;
		}
	if (!n)
		return -2;
	home = w->o->way->home(ss_str(p->c->name), 0, ids, n);
	for (size_t i = 0; i < n; i++)
		if (ids[i] == home)
			return at[i];
	return -2;
}

static void *place_at(struct world *w, int home, const char *customer)
{
	struct quota_options qo = { w->o->slack };
	void *place;

	if (home == -1)
		return w->leader;
	place = g_hash_table_lookup(w->n[home].taken, customer);
	if (!place) {
		place = w->o->way->place_new(&qo, clock_of(w, &w->n[home]));
		g_hash_table_insert(w->n[home].taken, g_strdup(customer),
				    place);
	}
	return place;
}

static void count_message(struct world *w, enum msg_kind kind, const void *one,
			  bool far)
{
	struct wire_list one_of = { (void *)one, 1 };
	GString *frame = g_string_new(NULL);
	size_t n;

	frame_add(frame, kind, &one_of);
	n = frame->len;
	g_string_free(frame, TRUE);
	w->messages++;
	w->bytes += n;
	w->far += far ? n : 0;
}

static double cpu_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static struct person *person_of(struct world *w, struct ss_str name)
{
	char *s = ss_str_dup(name);
	int i = atoi(s + 1);

	g_free(s);
	return &w->p[i];
}

static int64_t delay_us(struct world *w, bool far)
{
	double ms = far ? w->o->delay_ms : w->o->delay_ms / 4;

	return (int64_t)(1000 * ms * (1 + draw(w)));
}

static void on_ask(struct world *w, struct action *a)
{
	struct person *p = person_of(w, a->ask.customer);
	int home = home_of(w, p);
	struct node *from = &w->n[a->node],
		    *at = home >= 0 ? &w->n[home] : NULL;
	struct quota_word word = { 0 };
	int64_t *busy = at ? &at->busy_us : &w->leader_busy_us;
	int64_t work_us, now;
	struct action *back;
	gint64 *asked;
	bool answers;
	void *place;
	double t;

	if (home == -2 || (home == -1 && !w->leader) || (at && !reaches(at)) ||
	    !reaches(from) || from->id != a->id ||
	    (home == -1 && a->peer != w->leader_id))
		return;
	place = place_at(w, home, p->c->name);
	now = at ? clock_of(w, at) : w->now;
	t = cpu_s();
	answers = w->o->way->place_ask(place, a->id, p->c, &a->ask, now, &word);
	w->place_s += cpu_s() - t;
	w->asks++;
	asked = g_hash_table_lookup(w->asked_at, GINT_TO_POINTER(home + 2));
	if (!asked) {
		asked = g_new0(gint64, 1);
		g_hash_table_insert(w->asked_at, GINT_TO_POINTER(home + 2),
				    asked);
	}
	(*asked)++;
	if (!answers)
		return;
	/* Some 10 us of a core, of which the place has a share. */
	work_us = (int64_t)(10 / w->o->cpu_share);
	*busy = MAX(*busy, a->at_us) + work_us;
	back = plan(w, *busy + delay_us(w, !at || at->domain != from->domain),
		    DEED_WORD, a->node);
	back->customer = g_strdup(p->c->name);
	back->word = word;
	back->word.customer = ss_str(back->customer);
	back->word.parts = copy_parts(back, &word.parts);
	count_message(w, MSG_QUOTA_WORD, &word,
		      !at || at->domain != from->domain);
	add(w, back);
}

/* Requests. */

static void admit(struct world *w, struct person *p, const struct request *q)
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

/* A customer's line of a class. */
static void *line_of(int customer, int class)
{
	return GINT_TO_POINTER(class * CUSTOMERS_MOST + customer);
}

/* True where it waits on. */
static bool waits_on(struct world *w, struct node *n, const struct request *q)
{
	struct quota_need need = { q->cost, true, q->hold_ms };
	struct person *p = &w->p[q->customer];
	int64_t back;

	switch (w->o->way->take_ranked(n->entry, p->c, &need, &q->rank,
				       clock_of(w, n), &back)) {
	case QUOTA_YES:
		admit(w, p, q);
		return false;
	case QUOTA_NO:
		return false;
	case QUOTA_WAIT:
		break;
	}
	if (w->now - q->at_ms < WAIT_MS)
		return true;
	w->o->way->leave_ranked(n->entry, p->c, q->cost, &q->rank);
	return false;
}

/* The first of a line, and after it those whose hold is over. */
static void try_line(struct world *w, struct node *n, void *line)
{
	GQueue *all = g_hash_table_lookup(n->waits, line);
	GList *next;

	while (all && all->head && !waits_on(w, n, all->head->data))
		g_free(g_queue_pop_head(all));
	for (GList *l = all && all->head ? all->head->next : NULL; l;
	     l = next) {
		const struct request *q = l->data;

		next = l->next;
		if (!q->rank.by_ms || w->now - q->at_ms < q->hold_ms ||
		    waits_on(w, n, q))
			continue;
		g_free(l->data);
		g_queue_delete_link(all, l);
	}
	if (all && !all->head)
		g_hash_table_remove(n->waits, line);
}

static void try_waiting(struct world *w, struct node *n, int customer)
{
	for (int k = 0; k < QUOTA_CLASSES; k++)
		try_line(w, n, line_of(customer, k));
}

static gint by_objective(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct request *x = a, *y = b;

	(void)data;
	/* Of those that have the same the first stays first. */
	return x->rank.by_ms <= y->rank.by_ms ? -1 : 1;
}

static void add_waiting(struct node *n, const struct request *q)
{
	void *line = line_of(q->customer, q->rank.class_id);
	GQueue *all = g_hash_table_lookup(n->waits, line);

	if (!all) {
		all = g_queue_new();
		g_hash_table_insert(n->waits, line, all);
	}
	g_queue_insert_sorted(all, g_memdup2(q, sizeof(*q)), by_objective,
			      NULL);
}

static void waits_free(void *all)
{
	g_queue_free_full(all, g_free);
}

static void owe(struct world *w, struct person *p, double cost)
{
	const struct customer_limit *l = &p->c->limit;

	p->bucket += l->per_s * (double)(w->now - p->bucket_ms) / 1000;
	p->bucket = MIN(p->bucket, l->burst);
	p->bucket_ms = w->now;
	p->asked += cost;
	if (p->bucket < MIN(cost, l->burst))
		return;
	p->bucket -= cost;
	p->owed += cost;
}

/* Make it one of the classes. */
static void draw_class(struct world *w, const struct node *n, struct request *q)
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
	if (w->o->sharing != WORLD_IN_ORDER)
		q->rank =
			(struct quota_rank){ k->class_id,
					     clock_of(w, n) + k->objective_ms };
}

static void on_request(struct world *w, int customer, int entry, double cost)
{
	struct person *p = &w->p[customer];
	struct node *n = &w->n[entry];
	struct request q = { .at_ms = w->now,
			     .customer = customer,
			     .cost = cost,
			     .hold_ms = HOLD_MS };
	struct quota_need need = { 0 };
	int64_t back;

	/* Callers don't reach it: nobody's quota is at fault. */
	if (!n->there || !n->running || n->frozen)
		return;
	w->requests++;
	if (w->o->n_classes)
		draw_class(w, n, &q);
	owe(w, p, q.cost);
	w->shares[q.kind].asked += q.cost;
	need.cost = q.cost;
	need.hold_ms = q.hold_ms;
	switch (w->o->way->take_ranked(n->entry, p->c, &need, &q.rank,
				       clock_of(w, n), &back)) {
	case QUOTA_YES:
		admit(w, p, &q);
		break;
	case QUOTA_WAIT:
		add_waiting(n, &q);
		break;
	case QUOTA_NO:
		break;
	}
}

static void on_word(struct world *w, struct action *a)
{
	struct node *n = &w->n[a->node];

	if (!reaches(n) || n->id != a->id || !n->link)
		return;
	w->o->way->word(n->entry, &a->word, clock_of(w, n));
	try_waiting(w, n, (int)(person_of(w, a->word.customer) - w->p));
}

/* Links. */

static void tell_link(struct world *w, struct node *n, bool up)
{
	if (!n->entry || n->link == up)
		return;
	n->link = up;
	w->o->way->entry_link(n->entry, NULL, up, clock_of(w, n));
}

/* A place that isn't a customer's any more begins anew if it is again. */
static void drop_former(struct world *w)
{
	for (int k = 0; k < w->o->entries && w->o->way == &quota_owner; k++) {
		GHashTableIter it;
		void *name;

		g_hash_table_iter_init(&it, w->n[k].taken);
		while (g_hash_table_iter_next(&it, &name, NULL))
			if (home_of(w, person_of(w, ss_str(name))) != k)
				g_hash_table_iter_remove(&it);
	}
}

static void places_lose(struct world *w, int i)
{
	struct node *n = &w->n[i];
	GHashTableIter it;
	void *place;

	if (!n->held_by_place)
		return;
	n->held_by_place = false;
	if (w->leader)
		w->o->way->place_gone(w->leader, n->id, w->now);
	for (int k = 0; k < w->o->entries && w->o->way == &quota_owner; k++) {
		g_hash_table_iter_init(&it, w->n[k].taken);
		while (g_hash_table_iter_next(&it, NULL, &place))
			w->o->way->place_gone(place, n->id,
					      clock_of(w, &w->n[k]));
	}
	/* What it owned is another's. */
	g_hash_table_remove_all(n->taken);
	drop_former(w);
}

static bool place_stands(const struct world *w)
{
	return w->o->way == &quota_owner || w->leader;
}

static void start_node(struct world *w, int i)
{
	struct node *n = &w->n[i];
	struct quota_options qo = { w->o->slack };

	n->id = ++w->ids;
	n->there = n->running = true;
	n->frozen = false;
	n->link = false;
	n->entry = w->o->way->entry_new(&qo, clock_of(w, n));
	w->o->way->entry_count(n->entry, (uint64_t)w->o->entries);
	n->next_ms = w->now + (int64_t)(draw(w) * TICK_MS);
	add(w, plan(w,
		    (w->now + FOUND_MS) * 1000 +
			    (int64_t)(draw(w) * SPREAD_MS * 1000),
		    DEED_UP, i));
}

static void stop_node(struct world *w, int i)
{
	struct node *n = &w->n[i];

	n->running = false;
	places_lose(w, i);
	g_hash_table_remove_all(n->waits);
	if (n->entry)
		w->o->way->entry_free(n->entry);
	n->entry = NULL;
}

static void lose_leader(struct world *w, int64_t for_ms)
{
	struct action *a = plan(w, (w->now + for_ms) * 1000, DEED_LEADER, -1);

	if (w->o->way != &quota_lease) {
		g_free(a);
		return;
	}
	if (w->leader)
		w->o->way->place_free(w->leader);
	w->leader = NULL;
	for (int i = 0; i < w->o->entries; i++) {
		w->n[i].held_by_place = false;
		if (w->n[i].running)
			add(w, plan(w,
				    (w->now + (int64_t)(draw(w) * SILENT_MS)) *
					    1000,
				    DEED_DOWN, i));
	}
	add(w, a);
}

static void on_leader(struct world *w)
{
	struct quota_options qo = { w->o->slack };

	if (w->leader)
		return;
	w->leader = w->o->way->place_new(&qo, w->now);
	w->leader_id = ++w->ids;
	for (int i = 0; i < w->o->entries; i++)
		if (w->n[i].running)
			add(w,
			    plan(w,
				 (w->now + FOUND_MS) * 1000 +
					 (int64_t)(draw(w) * SPREAD_MS * 1000),
				 DEED_UP, i));
}

static void begin_event(struct world *w, const struct world_event *e)
{
	for (int i = e->first; i < e->first + e->count; i++) {
		struct node *n = &w->n[i % w->o->entries];
		struct person *p = &w->p[i % w->o->customers];
		struct limit_at l;
		struct customer *c;
		int at = i % w->o->entries;

		switch (e->kind) {
		case WORLD_CUT:
			n->cut = true;
			add(w, plan(w, (w->now + SILENT_MS) * 1000, DEED_DOWN,
				    at));
			add(w, plan(w, (w->now + SILENT_MS) * 1000, DEED_GONE,
				    at));
			break;
		case WORLD_FREEZE:
			n->frozen = true;
			add(w, plan(w, (w->now + SILENT_MS) * 1000, DEED_GONE,
				    at));
			break;
		case WORLD_RESTART:
			if (n->running)
				stop_node(w, at);
			break;
		case WORLD_SLOW:
			n->slow = SLOW_TURNS;
			break;
		case WORLD_JOIN:
			if (!n->there)
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
	if (e->kind == WORLD_LEADER || e->kind == WORLD_POWER)
		lose_leader(w, e->for_ms);
	for (int i = 0; i < w->o->entries && e->kind == WORLD_POWER; i++)
		if (w->n[i].running)
			stop_node(w, i);
}

static void end_event(struct world *w, const struct world_event *e)
{
	for (int i = e->first; i < e->first + e->count; i++) {
		int at = i % w->o->entries;
		struct node *n = &w->n[at];

		switch (e->kind) {
		case WORLD_CUT:
			n->cut = false;
			add(w,
			    plan(w, (w->now + FOUND_MS) * 1000, DEED_UP, at));
			break;
		case WORLD_FREEZE:
			n->frozen = false;
			/* Its loop sees that everybody was silent. */
			if (e->for_ms >= SILENT_MS) {
				add(w, plan(w, w->now * 1000 + 5000, DEED_DOWN,
					    at));
				add(w, plan(w, (w->now + FOUND_MS) * 1000,
					    DEED_UP, at));
			}
			break;
		case WORLD_RESTART:
			if (!n->running && n->there)
				start_node(w, at);
			break;
		case WORLD_SLOW:
			n->slow = 1;
			break;
		case WORLD_HOT:
			w->p[i % w->o->customers].hot = 1;
			break;
		default:
			break;
		}
	}
	for (int i = 0; i < w->o->entries && e->kind == WORLD_POWER; i++)
		if (!w->n[i].running && w->n[i].there)
			start_node(w, i);
}

static void act(struct world *w, struct action *a)
{
	struct node *n = a->node >= 0 ? &w->n[a->node] : NULL;

	switch (a->deed) {
	case DEED_ASK:
		on_ask(w, a);
		break;
	case DEED_WORD:
		on_word(w, a);
		break;
	case DEED_DOWN:
		if (n->id == a->id && n->running && !n->frozen &&
		    (n->cut || !place_stands(w) || n->held_by_place == false))
			tell_link(w, n, false);
		break;
	case DEED_GONE:
		if (n->id == a->id && (n->cut || n->frozen))
			places_lose(w, a->node);
		break;
	case DEED_UP:
		if (n->id == a->id && reaches(n) && place_stands(w)) {
			n->held_by_place = true;
			drop_former(w);
			tell_link(w, n, true);
		}
		break;
	case DEED_LEADER:
		on_leader(w);
		break;
	case DEED_EVENT:
		begin_event(w, a->event);
		break;
	case DEED_BACK:
		end_event(w, a->event);
		break;
	}
}

static void turn(struct world *w, int i)
{
	struct node *n = &w->n[i];
	GList *waiting;
	GArray *out;

	if (!n->running || n->frozen || w->now < n->next_ms)
		return;
	n->next_ms = w->now + TICK_MS * MAX(n->slow, 1);
	waiting = g_hash_table_get_keys(n->waits);
	for (GList *l = waiting; l; l = l->next)
		try_line(w, n, l->data);
	g_list_free(waiting);
	out = g_array_new(FALSE, FALSE, sizeof(struct quota_ask));
	w->o->way->asks(n->entry, clock_of(w, n), out);
	for (guint k = 0; k < out->len; k++) {
		const struct quota_ask *q =
			&g_array_index(out, struct quota_ask, k);
		struct person *p = person_of(w, q->customer);
		int home = home_of(w, p);
		bool far = home < 0 || w->n[home].domain != n->domain;
		struct action *a =
			plan(w, w->now * 1000 + delay_us(w, far), DEED_ASK, i);

		a->ask = *q;
		a->peer = w->leader_id;
		a->customer = g_strdup(p->c->name);
		a->ask.customer = ss_str(a->customer);
		if (w->o->sharing == WORLD_BY_CLASS)
			a->ask.parts = copy_parts(a, &q->parts);
		else
			a->ask.parts = (struct wire_list){ 0 };
		count_message(w, MSG_QUOTA_ASK, &a->ask, far);
		add(w, a);
	}
	g_array_unref(out);
}

/* Traffic. */

static double cost_of(struct world *w)
{
	/* Of two draws one is often small: a mean of COST_MEAN, a long tail. */
	double u = MAX(draw(w), 1e-6);

	return CLAMP(-log(u) * COST_MEAN, 50, COST_MAX);
}

/* Each customer's callers come to a few entries more than to others. */
static int entry_for(struct world *w, struct person *p, bool hot)
{
	int n = w->o->entries;

	if (hot) {
		int k = (int)(draw(w) * n / w->o->domains);

		return (k * w->o->domains + p->hot_domain) % n;
	}
	return (p->home_shift + (int)(draw(w) * draw(w) * n)) % n;
}

static int customer_for(struct world *w)
{
	double at = draw(w) * w->p[w->o->customers - 1].up_to;
	int low = 0, high = w->o->customers - 1;

	while (low < high) {
		int mid = (low + high) / 2;

		if (w->p[mid].up_to < at)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/* How many come in a millisecond, of so many a second. */
static int arrivals(struct world *w, double per_s)
{
	double most = exp(-per_s / 1000), p = draw(w);
	int n = 0;

	for (; p > most; n++)
		p *= draw(w);
	return n;
}

static void traffic(struct world *w)
{
	for (int n = arrivals(w, w->o->requests_per_s); n > 0; n--) {
		int c = customer_for(w);

		on_request(w, c, entry_for(w, &w->p[c], false), cost_of(w));
	}
	for (int c = 0; c < MIN(w->o->customers, HOT_MOST); c++) {
		struct person *p = &w->p[c];
		int n = p->hot > 1 ? arrivals(w, p->rate * (p->hot - 1)) : 0;

		for (; n > 0; n--)
			on_request(w, c, entry_for(w, p, true), cost_of(w));
	}
}

/* Judging. */

static const struct limit_at *limit_for(const struct person *p, int64_t from,
					int64_t window)
{
	const struct limit_at *best =
		&g_array_index(p->limits, struct limit_at, 0);

	/* The highest that may count for a window that begins there. */
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

static void judge(const struct world *w, struct person *p,
		  struct world_result *r)
{
	const struct quota_slack *s = &w->o->slack;
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

static void sum_up(const struct world *w, struct world_result *r)
{
	double owed = 0, lacks = 0, s = (double)w->o->length_ms / 1000;
	GHashTableIter it;
	void *n;

	memset(r, 0, sizeof(*r));
	for (int c = 0; c < w->o->customers; c++) {
		struct person *p = &w->p[c];
		double lack = MAX(p->owed - p->served, 0);

		judge(w, p, r);
		owed += p->owed;
		lacks += lack;
		/* Single requests of a rare customer say little. */
		if (p->owed > 50 * COST_MEAN)
			r->worst_refused =
				MAX(r->worst_refused, lack / p->owed);
	}
	r->refused = owed > 0 ? lacks / owed : 0;
	r->served = w->requests ? (double)w->served / (double)w->requests : 1;
	r->waited = w->requests ? (double)w->waited / (double)w->requests : 0;
	r->late = w->requests ? (double)w->late / (double)w->requests : 0;
	r->waited_ms = w->waited ? w->waited_ms / (double)w->waited : 0;
	r->messages = (double)w->messages / s;
	r->bytes = (double)w->bytes / s;
	r->far_bytes = (double)w->far / s;
	r->place_us = w->asks ? w->place_s * 1e6 / (double)w->asks : 0;
	for (int k = 0; k < QUOTA_CLASSES; k++) {
		const struct world_share *x = &w->shares[k];

		r->classes[k].asked = x->asked;
		r->classes[k].served = x->served / MAX(x->asked, 1);
		r->classes[k].in_time = x->in_time / MAX(x->asked, 1);
	}
	g_hash_table_iter_init(&it, w->asked_at);
	while (g_hash_table_iter_next(&it, NULL, &n))
		r->place_asks = MAX(r->place_asks, (double)*(gint64 *)n / s);
}

/* Making it. */

static double mean_cost(const struct world *w)
{
	double sum = 0;

	for (size_t i = 0; i < w->o->n_classes; i++)
		sum += w->o->classes[i].share * w->o->classes[i].cost;
	return w->o->n_classes ? sum : COST_MEAN;
}

static void make_people(struct world *w)
{
	double all = 0;

	w->p = g_new0(struct person, (gsize)w->o->customers);
	for (int c = 0; c < w->o->customers; c++) {
		w->p[c].weight = 1 / pow(c + 1, 1.1);
		all += w->p[c].weight;
		w->p[c].up_to = all;
	}
	for (int c = 0; c < w->o->customers; c++) {
		struct person *p = &w->p[c];
		struct limit_at l = { 0 };

		p->rate = w->o->requests_per_s * p->weight / all;
		p->hot = 1;
		p->home_shift = (int)(draw(w) * w->o->entries);
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

static void make_nodes(struct world *w)
{
	w->n = g_new0(struct node, (gsize)w->o->entries);
	for (int i = 0; i < w->o->entries; i++) {
		struct node *n = &w->n[i];

		n->domain = i % w->o->domains;
		n->slow = 1;
		n->clock = 1 + w->o->drift * (2 * draw(w) - 1);
		n->offset = (int64_t)(draw(w) * 100000);
		n->waits = g_hash_table_new_full(NULL, NULL, NULL, waits_free);
		n->taken = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, w->o->way->place_free);
	}
	if (w->o->way == &quota_lease)
		on_leader(w);
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

static void end_world(struct world *w)
{
	for (int i = 0; i < w->o->entries; i++)
		if (w->n[i].entry)
			stop_node(w, i);
	for (int i = 0; i < w->o->entries; i++) {
		g_hash_table_unref(w->n[i].taken);
		g_hash_table_unref(w->n[i].waits);
	}
	if (w->leader)
		w->o->way->place_free(w->leader);
	for (int c = 0; c < w->o->customers; c++) {
		customer_unref(w->p[c].c);
		g_array_unref(w->p[c].limits);
		g_array_unref(w->p[c].admitted);
	}
	g_sequence_free(w->actions);
	g_hash_table_unref(w->asked_at);
	g_free(w->n);
	g_free(w->p);
}

static void due_actions(struct world *w)
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
		act(w, &copy);
		g_free(copy.customer);
		g_free(copy.parts);
	}
}

void world_run(const struct world_options *o, struct world_result *r)
{
	struct world w = { .o = o, .seed = o->seed, .now = 0 };

	w.actions = g_sequence_new(action_free);
	w.asked_at = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	make_people(&w);
	make_nodes(&w);
	for (size_t k = 0; k < o->n_events; k++) {
		const struct world_event *e = &o->events[k];
		struct action *a = plan(&w, (CALLERS_MS + e->at_ms) * 1000,
					DEED_EVENT, -1);

		a->event = e;
		add(&w, a);
		a = plan(&w, (CALLERS_MS + e->at_ms + e->for_ms) * 1000,
			 DEED_BACK, -1);
		a->event = e;
		if (e->for_ms)
			add(&w, a);
		else
			action_free(a);
	}
	for (; w.now < CALLERS_MS + o->length_ms; w.now++) {
		due_actions(&w);
		if (w.now >= CALLERS_MS)
			traffic(&w);
		for (int i = 0; i < o->entries; i++)
			turn(&w, i);
	}
	sum_up(&w, r);
	end_world(&w);
}
