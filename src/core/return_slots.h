/*
 * Return slots: when refused callers are to return, so that each slot gets as
 * many as can be served in it.
 *
 * The load is hundreds of callers a second that are refused for one cause, such
 * as a customer's limit or a model at capacity. If all were given the same
 * time, they would return at once, and most would be refused again. So each
 * caller gets a slot, at the rate at which its cause was recently served. Only
 * what is served while callers are refused counts for the rate: at other times
 * it shows what callers request, not what they could get. Slots of different
 * causes are independent.
 */
#ifndef SS_RETURN_SLOTS_H
#define SS_RETURN_SLOTS_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Width of a slot, in ms: callers that return in one slot and wait for each
 * other still meet an objective of a tenth of a second. */
#define RETURN_SLOT_MS 100
/* Slots are assigned this far ahead, in ms: a third of what the most patient
 * callers have left, some 40 s. */
#define RETURN_HORIZON_MS 12800
/* Maximum number of tracked causes; each takes some 700 bytes. */
#define RETURN_CAUSES_MAX 1024

struct return_slots;

/* A refused caller. Times are from now. */
struct return_request {
	uint64_t key; /* identifies the cause */
	int priority; /* 0 is the highest */
	double cost;  /* in units of the cause: requests, or a limit's units */
	double per_s; /* maximum rate, in units per second; 0: unknown */
	int64_t min_ms; /* the caller can't be served earlier */
	int64_t max_ms; /* the caller won't return later */
};

/* An assigned slot. */
struct return_slot {
	int64_t delay_ms; /* from now to its start */
	/* 0: the rate is unknown, and the slot starts as soon as the caller can
	 * be served. */
	int64_t width_ms;
	/* False: the slot is too late for the caller and stays free for
	 * others. */
	bool reserved;
};

struct return_slots *return_slots_new(void);
void return_slots_free(struct return_slots *t);

/* Assigns the next slot of the cause; callers of higher priority get earlier
 * ones. */
struct return_slot return_slots_assign(struct return_slots *t,
				       const struct return_request *a,
				       int64_t now);
/* Records that a request was served that could have been refused for this
 * cause. */
void return_slots_served(struct return_slots *t, uint64_t key, double cost,
			 int64_t now);
/* Drops causes without a refusal within the last RETURN_HORIZON_MS. */
void return_slots_expire(struct return_slots *t, int64_t now);
/* Returns the number of tracked causes. */
size_t return_slots_count(const struct return_slots *t);

#ifdef __cplusplus
}
#endif
#endif
