/* Return slots: when refused callers are to return. */
#include "return_slots.h"

#include <sapphireshift/queue.h>

#include <math.h>

#define SLOTS (RETURN_HORIZON_MS / RETURN_SLOT_MS)
/* A cause counts as saturated for this time after a refusal, in ms: entries get
 * grants, and endpoints become free, several times a second. */
#define SATURATED_MS 1000
/* A cause that serves nothing for longer, in ms, has an outage rather than a
 * low rate: its former rate holds. */
#define OUTAGE_MS 2000
/* A rate is known once its cause was observed for this time, in ms: about two
 * grants, or a few calls of a plain service. */
#define RATE_MIN_MS 500
/* Decay time of the rate, in ms: an added or lost engine shows within some
 * seconds. */
#define RATE_DECAY_MS 4000.0
/* Decay time of the demand by priority, in ms: about as long as callers with
 * short deadlines take to return. */
#define DEMAND_DECAY_MS 2000.0
/*
 * In each slot, higher priorities have this many times their share of the
 * refused demand reserved: their slots then come within half the time, and when
 * such callers stop coming most of each slot is still in use.
 */
#define URGENT_FACTOR 2.0
/* Largest part of a slot that is reserved for higher priorities; lower ones
 * have the rest, at least a quarter. */
#define URGENT_MAX 0.75
/* A slot that starts within this time, in ms, is open to all priorities: its
 * reserved part would go unused. */
#define RELEASE_MS 300
/* A slot has room for a caller if it has this part of the cost: the callers of
 * several slots fill up what is left of each. */
#define ROOM_MIN 0.5

struct cause {
	uint64_t key;
	GList link;
	int64_t refused_ms; /* time of the last refusal */
	/* Refused cost of each priority; decays. */
	double demand[SS_QUEUE_PRIORITIES];
	int64_t saturated_until_ms; /* the cause is saturated until then */
	/* Units served in the time observed, both decaying. */
	double served, observed_ms;
	/* Time of the last served request, or of the refusal after which the
	 * cause became saturated. */
	int64_t observed_until_ms;
	int64_t first_slot;    /* number of the slot at reserved[0] */
	float reserved[SLOTS]; /* units */
};

struct return_slots {
	GHashTable *causes; /* &key -> struct cause */
	GQueue by_age;	    /* the least recently refused is first */
};

struct return_slots *return_slots_new(void)
{
	struct return_slots *t = g_new0(struct return_slots, 1);

	t->causes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  g_free);
	return t;
}

void return_slots_free(struct return_slots *t)
{
	if (!t)
		return;
	g_hash_table_unref(t->causes);
	g_free(t);
}

size_t return_slots_count(const struct return_slots *t)
{
	return g_hash_table_size(t->causes);
}

/* The links are embedded in the causes, so the queue frees none. */
static void drop_cause(struct return_slots *t, struct cause *c)
{
	g_queue_unlink(&t->by_age, &c->link);
	g_hash_table_remove(t->causes, &c->key);
}

static struct cause *new_cause(struct return_slots *t, uint64_t key,
			       int64_t now)
{
	struct cause *c;

	if (return_slots_count(t) >= RETURN_CAUSES_MAX)
		drop_cause(t, g_queue_peek_head(&t->by_age));
	c = g_new0(struct cause, 1);
	c->key = key;
	c->link.data = c;
	c->refused_ms = c->saturated_until_ms = c->observed_until_ms = now;
	c->first_slot = now / RETURN_SLOT_MS;
	g_hash_table_insert(t->causes, &c->key, c);
	return c;
}

/* Finds or adds a cause, and makes it the last one to be dropped. */
static struct cause *cause_of(struct return_slots *t, uint64_t key, int64_t now)
{
	struct cause *c = g_hash_table_lookup(t->causes, &key);

	if (c)
		g_queue_unlink(&t->by_age, &c->link);
	else
		c = new_cause(t, key, now);
	g_queue_push_tail_link(&t->by_age, &c->link);
	return c;
}

/* Adds a served cost, and the time since the last one was served. */
static void add_served(struct cause *c, double cost, int64_t now)
{
	int64_t ms = now - c->observed_until_ms;
	double fade = exp(-(double)ms / RATE_DECAY_MS);

	c->observed_until_ms = now;
	if (ms > OUTAGE_MS)
		return;
	c->served = c->served * fade + MAX(cost, 0);
	c->observed_ms = c->observed_ms * fade + RATE_DECAY_MS * (1 - fade);
}

/* Returns the rate served, in units per second and at most max; 0: unknown. */
static double rate_of(const struct cause *c, double max)
{
	double per_s;

	if (c->observed_ms < RATE_MIN_MS)
		return 0;
	per_s = c->served * 1000 / c->observed_ms;
	return max > 0 ? MIN(per_s, max) : per_s;
}

static int priority_of(const struct return_request *a)
{
	return CLAMP(a->priority, 0, SS_QUEUE_PRIORITIES - 1);
}

static void record_refusal(struct cause *c, const struct return_request *a,
			   int64_t now)
{
	double fade = exp(-(double)(now - c->refused_ms) / DEMAND_DECAY_MS);

	if (now > c->saturated_until_ms)
		c->observed_until_ms = now;
	c->saturated_until_ms = now + SATURATED_MS;
	for (int i = 0; i < SS_QUEUE_PRIORITIES; i++)
		c->demand[i] *= fade;
	c->demand[priority_of(a)] += MAX(a->cost, 0);
	c->refused_ms = now;
}

/* Drops slots that have passed. */
static void advance(struct cause *c, int64_t now)
{
	int64_t passed = now / RETURN_SLOT_MS - c->first_slot;
	size_t n = (size_t)CLAMP(passed, 0, SLOTS);

	memmove(c->reserved, c->reserved + n,
		(SLOTS - n) * sizeof(*c->reserved));
	memset(c->reserved + SLOTS - n, 0, n * sizeof(*c->reserved));
	c->first_slot += MAX(passed, 0);
}

/* Returns the part of a slot that is reserved for higher priorities. */
static double urgent_share(const struct cause *c, int priority)
{
	double urgent = 0, total = 0;

	for (int i = 0; i < SS_QUEUE_PRIORITIES; i++) {
		total += c->demand[i];
		urgent += i < priority ? c->demand[i] : 0;
	}
	return total > 0 ? MIN(urgent / total * URGENT_FACTOR, URGENT_MAX) : 0;
}

/* The slots of a cause, for callers of one priority. */
struct slots_view {
	struct cause *c;
	double capacity; /* of a slot, in units */
	double urgent;	 /* of the capacity, reserved for higher priorities */
	int64_t now;
};

static int64_t starts_in_ms(const struct slots_view *v, int64_t i)
{
	return (v->c->first_slot + i) * RETURN_SLOT_MS - v->now;
}

static double room(const struct slots_view *v, int64_t i)
{
	double urgent = starts_in_ms(v, i) < RELEASE_MS ? 0 : v->urgent;

	return MAX(v->capacity - urgent - (double)v->c->reserved[i], 0);
}

/* Reserves a cost; one that exceeds a slot's room takes from later slots,
 * too. */
static void reserve(const struct slots_view *v, int64_t i, double cost)
{
	for (; i < SLOTS && cost > 0; i++) {
		double n = MIN(room(v, i), cost);

		v->c->reserved[i] += (float)n;
		cost -= n;
	}
}

static int64_t slot_at(const struct cause *c, int64_t ms)
{
	return CLAMP(ms / RETURN_SLOT_MS - c->first_slot, 0, SLOTS);
}

static struct return_slot assign_slot(const struct slots_view *v,
				      const struct return_request *a)
{
	int64_t from = slot_at(v->c, v->now + a->min_ms), i = from;
	double needs = MIN(a->cost, v->capacity - v->urgent) * ROOM_MIN;
	struct return_slot slot = { .width_ms = RETURN_SLOT_MS };

	while (i < SLOTS && room(v, i) < needs)
		i++;
	slot.delay_ms = MAX(starts_in_ms(v, i), a->min_ms);
	slot.reserved = slot.delay_ms <= a->max_ms;
	if (slot.reserved)
		reserve(v, from, a->cost);
	return slot;
}

/* Without a rate the caller returns as early as it can be served. */
static struct return_slot
slot_without_rate(struct cause *c, const struct return_request *a, int64_t now)
{
	int64_t i = slot_at(c, now + a->min_ms);

	if (a->min_ms <= a->max_ms && i < SLOTS)
		c->reserved[i] += (float)MAX(a->cost, 0);
	return (struct return_slot){ .delay_ms = a->min_ms };
}

struct return_slot return_slots_assign(struct return_slots *t,
				       const struct return_request *a,
				       int64_t now)
{
	struct cause *c = cause_of(t, a->key, now);
	struct slots_view v = { .c = c, .now = now };
	double rate;

	record_refusal(c, a, now);
	advance(c, now);
	rate = rate_of(c, a->per_s);
	if (rate <= 0)
		return slot_without_rate(c, a, now);
	v.capacity = rate * RETURN_SLOT_MS / 1000;
	v.urgent = v.capacity * urgent_share(c, priority_of(a));
	return assign_slot(&v, a);
}

void return_slots_served(struct return_slots *t, uint64_t key, double cost,
			 int64_t now)
{
	struct cause *c = g_hash_table_lookup(t->causes, &key);

	if (c && now <= c->saturated_until_ms)
		add_served(c, cost, now);
}

void return_slots_expire(struct return_slots *t, int64_t now)
{
	struct cause *c;

	while ((c = g_queue_peek_head(&t->by_age)) &&
	       now - c->refused_ms >= RETURN_HORIZON_MS)
		drop_cause(t, c);
}
