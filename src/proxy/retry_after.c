/*
 * Retry-After of refused requests: return slots by the cause of the refusal, a
 * full model or a customer's limit.
 */
#include "gate_int.h"

#include <xxhash.h>

/* A caller follows a Retry-After up to this fraction, 1/n, of its remaining
 * time. */
#define MAX_WAIT_DIVISOR 3

static uint64_t hash(const char *s, uint64_t seed)
{
	return XXH3_64bits_withSeed(s, strlen(s), seed);
}

/* Names of models and customers contain no line break. */
static uint64_t model_key(const struct forward *f)
{
	return hash(f->model, hash(f->service->name, hash("model\n", 0)));
}

/* Each class of a customer has its own part of the limit. */
static uint64_t quota_key(const struct forward *f)
{
	uint64_t class_id = (uint64_t)f->rank.class_id;

	return hash(f->customer->name, hash("customer\n", class_id));
}

/* Callers of one slot are spread over it, so that they don't return at the same
 * moment. */
static int64_t assign_slot(struct forward *f, struct return_request *a,
			   int64_t spread_ms)
{
	struct gate *g = f->g;
	int64_t now = gate_now(g);
	struct return_slot slot;

	a->max_ms = (f->deadline_ms - now) / MAX_WAIT_DIVISOR;
	slot = return_slots_assign(g->refused_slots, a, now);
	if (slot.width_ms > 0) {
		spread_ms = MIN(spread_ms, slot.width_ms);
		(*(slot.reserved ? g->n_slots_given : g->n_slots_beyond))++;
	}
	return slot.delay_ms +
	       (int64_t)(ss_random(&g->seed) % (uint64_t)spread_ms);
}

int64_t retry_after_model_ms(struct forward *f, int64_t least_ms,
			     int64_t spread_ms)
{
	struct return_request a = { .key = model_key(f),
				    .priority = (int)forward_priority(f),
				    .cost = 1,
				    .min_ms = least_ms };

	return assign_slot(f, &a, spread_ms);
}

int64_t retry_after_quota_ms(struct forward *f, int64_t least_ms,
			     int64_t spread_ms)
{
	struct return_request a = { .key = quota_key(f),
				    .cost = f->cost,
				    .per_s = f->customer->limit.per_s,
				    .min_ms = least_ms };

	return assign_slot(f, &a, spread_ms);
}

void retry_after_served(struct forward *f)
{
	struct gate *g = f->g;
	int64_t now = gate_now(g);

	return_slots_served(g->refused_slots, model_key(f), 1, now);
	if (f->charged_ms >= 0)
		return_slots_served(g->refused_slots, quota_key(f), f->cost,
				    now);
}
