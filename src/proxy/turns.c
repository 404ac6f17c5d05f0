/* When those who are refused are to return: turns of the gate's causes. */
#include "gate_int.h"

#include <xxhash.h>

/* A caller honours a time to return up to this part of what it has left. */
#define LEFT_PARTS 3

static uint64_t hash(const char *s, uint64_t seed)
{
	return XXH3_64bits_withSeed(s, strlen(s), seed);
}

/* Names of models and customers hold no line break. */
static uint64_t model_key(const struct forward *f)
{
	return hash(f->model, hash(f->service->name, hash("model\n", 0)));
}

/* Each class of a customer gets its own part of the limit. */
static uint64_t quota_key(const struct forward *f)
{
	uint64_t class_id = (uint64_t)f->rank.class_id;

	return hash(f->customer->name, hash("customer\n", class_id));
}

/* Those of one turn don't return in one moment. */
static int64_t give(struct forward *f, struct return_ask *a, int64_t spread_ms)
{
	struct gate *g = f->g;
	int64_t now = gate_now(g);
	struct return_turn turn;

	a->most_ms = (f->deadline_ms - now) / LEFT_PARTS;
	turn = return_turns_give(g->turns, a, now);
	if (turn.width_ms > 0) {
		spread_ms = MIN(spread_ms, turn.width_ms);
		(*(turn.taken ? g->n_turns_given : g->n_turns_beyond))++;
	}
	return turn.ms + (int64_t)(ss_random(&g->seed) % (uint64_t)spread_ms);
}

int64_t turns_model_ms(struct forward *f, int64_t least_ms, int64_t spread_ms)
{
	struct return_ask a = { .key = model_key(f),
				.priority = (int)forward_priority(f),
				.cost = 1,
				.least_ms = least_ms };

	return give(f, &a, spread_ms);
}

int64_t turns_quota_ms(struct forward *f, int64_t least_ms, int64_t spread_ms)
{
	struct return_ask a = { .key = quota_key(f),
				.cost = f->cost,
				.per_s = f->customer->limit.per_s,
				.least_ms = least_ms };

	return give(f, &a, spread_ms);
}

void turns_served(struct forward *f)
{
	struct gate *g = f->g;
	int64_t now = gate_now(g);

	return_turns_served(g->turns, model_key(f), 1, now);
	if (f->charged_ms >= 0)
		return_turns_served(g->turns, quota_key(f), f->cost, now);
}
