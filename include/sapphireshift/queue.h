/*
 * Admission queue: calls that wait, by class, customer and deadline.
 *
 * The highest priority goes first; within it customers get fair shares, and
 * within a customer the earliest deadline goes first. An item whose deadline
 * comes near is raised above its class, so that nothing low starves.
 */
#ifndef SAPPHIRESHIFT_QUEUE_H
#define SAPPHIRESHIFT_QUEUE_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

/* 0 to 7, as the presets tell them. */
#define SS_QUEUE_PRIORITIES 8

/* Embed it in what waits; set the first fields, leave the rest at zero. */
struct ss_queue_item {
	int64_t deadline_ms;
	int priority;		/* 0 (lowest) to SS_QUEUE_PRIORITIES - 1 */
	struct ss_str customer; /* must live as long as the item waits */
	unsigned int share;	/* of turns; 0: as the options tell */
	/* The queue's own. */
	GSequenceIter *iter;
	void *lane;
	uint64_t order;
};

struct ss_queue_options {
	int64_t raise_ms; /* slack at which an item is raised; 0: 2000 */
	/* A customer's share (1 where NULL) and limit (none where NULL). */
	unsigned int (*share)(void *arg, struct ss_str customer);
	size_t (*limit)(void *arg, struct ss_str customer);
	void *arg;
};

struct ss_queue;

struct ss_queue *ss_queue_new(const struct ss_queue_options *o);
/* Items that still wait are forgotten, not freed. */
void ss_queue_free(struct ss_queue *q);

/* SS_ERROR_OVERLOAD where the customer's limit is reached. */
bool ss_queue_push(struct ss_queue *q, struct ss_queue_item *i, GError **error);

/* The next item with at least this priority; NULL for none. It stays. */
struct ss_queue_item *ss_queue_peek(const struct ss_queue *q, int64_t now,
				    int least_priority);
/* Of just one priority, without raising: the next by shares, and the one with
 * the earliest deadline; NULL for none. They stay. */
struct ss_queue_item *ss_queue_fairest(const struct ss_queue *q, int priority);
struct ss_queue_item *ss_queue_earliest(const struct ss_queue *q, int priority);
/* Take an item: it counts as its customer's turn. */
void ss_queue_take(struct ss_queue *q, struct ss_queue_item *i);
/* Both. */
struct ss_queue_item *ss_queue_pop(struct ss_queue *q, int64_t now,
				   int least_priority);
/* It leaves, and that was nobody's turn. */
void ss_queue_remove(struct ss_queue *q, struct ss_queue_item *i);

/* Take one item whose deadline isn't after now; NULL for none. */
struct ss_queue_item *ss_queue_expired(struct ss_queue *q, int64_t now);

/* The earliest deadline; SS_NEVER for an empty queue. */
int64_t ss_queue_deadline(const struct ss_queue *q);
/* The highest priority that waits; -1 for an empty queue. */
int ss_queue_priority(const struct ss_queue *q);

size_t ss_queue_length(const struct ss_queue *q);
/* How many would go before one of this priority and deadline. */
size_t ss_queue_ahead(const struct ss_queue *q, int priority,
		      int64_t deadline_ms);

#ifdef __cplusplus
}
#endif
#endif
