/* When refused callers are to return. */
#include "return_turns.h"

#include <sapphireshift/queue.h>

#include <math.h>

#define TURNS (RETURN_AHEAD_MS / RETURN_TURN_MS)
/* A cause counts as fully used for so long after a refusal, in ms: entries get
 * allotments, and endpoints places, several times in a second. */
#define FULL_MS 1000
/* A cause that serves nothing for longer, in ms, isn't slow but absent: the
 * rate at which it served before holds. */
#define ABSENT_MS 2000
/* The rate is known when it has been seen for so long, in ms: some two
 * allotments, or a few calls of a plain service. */
#define KNOWN_MS 500
/* Memory of the rate, in ms: an engine more or less shows within some seconds.
 */
#define RATE_MS 4000.0
/* Memory of what was asked by priority, in ms: as long as callers with short
 * deadlines take to return. */
#define ASKED_MS 2000.0
/* Of each turn, more urgent callers than the one that asks have so many times
 * their part of what is refused kept for them: their turns then come within
 * half the time, and when they stop coming most of each turn is in use. */
#define URGENT_PARTS 2.0
/* The rest, at least a quarter, is for the less urgent. */
#define URGENT_MOST 0.75
/* A turn that begins within so long, in ms, is anybody's: what is kept of it
 * would be lost. */
#define RELEASE_MS 300
/* A turn has room for a caller where it has for this part of what it needs:
 * the callers of several turns fill up what is left of each. */
#define ROOM_PART 0.5

struct cause {
	uint64_t key;
	GList link;
	int64_t asked_ms; /* of the last refusal */
	double asked[SS_QUEUE_PRIORITIES];
	int64_t full_ms; /* it counts as fully used until then */
	/* What was served in the time seen, both fading. */
	double served, seen_ms;
	int64_t seen_until_ms; /* when it served last, or refused anew */
	int64_t first;	       /* number of the turn that taken begins with */
	float taken[TURNS];
};

struct return_turns {
	GHashTable *causes; /* &key -> struct cause */
	GQueue order;	    /* the first was asked for longest ago */
};

struct return_turns *return_turns_new(void)
{
	struct return_turns *t = g_new0(struct return_turns, 1);

	t->causes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  g_free);
	return t;
}

void return_turns_free(struct return_turns *t)
{
	if (!t)
		return;
	g_hash_table_unref(t->causes);
	g_free(t);
}

size_t return_turns_count(const struct return_turns *t)
{
	return g_hash_table_size(t->causes);
}

/* Links live in their causes: the queue frees none. */
static void drop(struct return_turns *t, struct cause *c)
{
	g_queue_unlink(&t->order, &c->link);
	g_hash_table_remove(t->causes, &c->key);
}

static struct cause *cause_new(struct return_turns *t, uint64_t key,
			       int64_t now)
{
	struct cause *c;

	if (return_turns_count(t) >= RETURN_CAUSES_MOST)
		drop(t, g_queue_peek_head(&t->order));
	c = g_new0(struct cause, 1);
	c->key = key;
	c->link.data = c;
	c->asked_ms = c->full_ms = c->seen_until_ms = now;
	c->first = now / RETURN_TURN_MS;
	g_hash_table_insert(t->causes, &c->key, c);
	return c;
}

/* It becomes the last one to be dropped. */
static struct cause *cause_of(struct return_turns *t, uint64_t key, int64_t now)
{
	struct cause *c = g_hash_table_lookup(t->causes, &key);

	if (c)
		g_queue_unlink(&t->order, &c->link);
	else
		c = cause_new(t, key, now);
	g_queue_push_tail_link(&t->order, &c->link);
	return c;
}

/* It has served something: add the time since it did so last. */
static void add_served(struct cause *c, double cost, int64_t now)
{
	int64_t ms = now - c->seen_until_ms;
	double fade = exp(-(double)ms / RATE_MS);

	c->seen_until_ms = now;
	if (ms > ABSENT_MS)
		return;
	c->served = c->served * fade + MAX(cost, 0);
	c->seen_ms = c->seen_ms * fade + RATE_MS * (1 - fade);
}

/* What is served a second; 0: it isn't known. */
static double rate_of(const struct cause *c, double most)
{
	double per_s;

	if (c->seen_ms < KNOWN_MS)
		return 0;
	per_s = c->served * 1000 / c->seen_ms;
	return most > 0 ? MIN(per_s, most) : per_s;
}

static int rank_of(const struct return_ask *a)
{
	return CLAMP(a->priority, 0, SS_QUEUE_PRIORITIES - 1);
}

static void note_refusal(struct cause *c, const struct return_ask *a,
			 int64_t now)
{
	double fade = exp(-(double)(now - c->asked_ms) / ASKED_MS);

	if (now > c->full_ms)
		c->seen_until_ms = now;
	c->full_ms = now + FULL_MS;
	for (int i = 0; i < SS_QUEUE_PRIORITIES; i++)
		c->asked[i] *= fade;
	c->asked[rank_of(a)] += MAX(a->cost, 0);
	c->asked_ms = now;
}

/* Forget turns that have passed. */
static void advance(struct cause *c, int64_t now)
{
	int64_t by = now / RETURN_TURN_MS - c->first;
	size_t n = (size_t)CLAMP(by, 0, TURNS);

	memmove(c->taken, c->taken + n, (TURNS - n) * sizeof(*c->taken));
	memset(c->taken + TURNS - n, 0, n * sizeof(*c->taken));
	c->first += MAX(by, 0);
}

/* The part of a turn that is kept for more urgent callers. */
static double kept_share(const struct cause *c, int rank)
{
	double urgent = 0, all = 0;

	for (int i = 0; i < SS_QUEUE_PRIORITIES; i++) {
		all += c->asked[i];
		urgent += i < rank ? c->asked[i] : 0;
	}
	return all > 0 ? MIN(urgent / all * URGENT_PARTS, URGENT_MOST) : 0;
}

/* The turns of a cause, for callers of one priority. */
struct turns_view {
	struct cause *c;
	double holds; /* a turn, in all */
	double kept;  /* of that, for more urgent callers */
	int64_t now;
};

static int64_t begins_ms(const struct turns_view *v, int64_t i)
{
	return (v->c->first + i) * RETURN_TURN_MS - v->now;
}

static double room(const struct turns_view *v, int64_t i)
{
	double kept = begins_ms(v, i) < RELEASE_MS ? 0 : v->kept;

	return MAX(v->holds - kept - (double)v->c->taken[i], 0);
}

/* One that needs more than a turn holds takes of those after it, too. */
static void take(const struct turns_view *v, int64_t i, double cost)
{
	for (; i < TURNS && cost > 0; i++) {
		double n = MIN(room(v, i), cost);

		v->c->taken[i] += (float)n;
		cost -= n;
	}
}

static int64_t turn_at(const struct cause *c, int64_t ms)
{
	return CLAMP(ms / RETURN_TURN_MS - c->first, 0, TURNS);
}

static struct return_turn next_turn(const struct turns_view *v,
				    const struct return_ask *a)
{
	int64_t from = turn_at(v->c, v->now + a->least_ms), i = from;
	double needs = MIN(a->cost, v->holds - v->kept) * ROOM_PART;
	struct return_turn turn = { .width_ms = RETURN_TURN_MS };

	while (i < TURNS && room(v, i) < needs)
		i++;
	turn.ms = MAX(begins_ms(v, i), a->least_ms);
	turn.taken = turn.ms <= a->most_ms;
	if (turn.taken)
		take(v, from, a->cost);
	return turn;
}

/* It returns at the time that it is told, whatever can be served then. */
static struct return_turn unknown_turn(struct cause *c,
				       const struct return_ask *a, int64_t now)
{
	int64_t i = turn_at(c, now + a->least_ms);

	if (a->least_ms <= a->most_ms && i < TURNS)
		c->taken[i] += (float)MAX(a->cost, 0);
	return (struct return_turn){ .ms = a->least_ms };
}

struct return_turn return_turns_give(struct return_turns *t,
				     const struct return_ask *a, int64_t now)
{
	struct cause *c = cause_of(t, a->key, now);
	struct turns_view v = { .c = c, .now = now };
	double rate;

	note_refusal(c, a, now);
	advance(c, now);
	rate = rate_of(c, a->per_s);
	if (rate <= 0)
		return unknown_turn(c, a, now);
	v.holds = rate * RETURN_TURN_MS / 1000;
	v.kept = v.holds * kept_share(c, rank_of(a));
	return next_turn(&v, a);
}

void return_turns_served(struct return_turns *t, uint64_t key, double cost,
			 int64_t now)
{
	struct cause *c = g_hash_table_lookup(t->causes, &key);

	if (c && now <= c->full_ms)
		add_served(c, cost, now);
}

void return_turns_tidy(struct return_turns *t, int64_t now)
{
	struct cause *c;

	while ((c = g_queue_peek_head(&t->order)) &&
	       now - c->asked_ms >= RETURN_AHEAD_MS)
		drop(t, c);
}
