/*
 * Admission queue: waiting calls, ordered by priority, customer and deadline.
 *
 * The highest priority is served first. Within a priority, customers get
 * weighted fair shares; within a customer, the earliest deadline is served
 * first. An item whose deadline is near is served ahead of its priority, so
 * that low priorities don't starve.
 */
#ifndef SAPPHIRESHIFT_QUEUE_H
#define SAPPHIRESHIFT_QUEUE_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Number of priorities: 0 to 7, as in the presets. */
#define SS_QUEUE_PRIORITIES 8

/* A queue item, to be embedded in the caller's struct. The caller sets the
 * first four members and leaves the rest at zero. */
struct ss_queue_item {
	int64_t deadline_ms;
	int priority;		/* 0 (lowest) to SS_QUEUE_PRIORITIES - 1 */
	struct ss_str customer; /* must stay valid while the item waits */
	unsigned int share;	/* weight in fair shares; 0: from the options */
	/* Set by the queue. */
	GSequenceIter *iter;
	void *flow; /* NULL while the item isn't queued */
	uint64_t order;
};

struct ss_queue_options {
	int64_t raise_ms; /* time left at which an item is promoted; 0: 2000 */
	/* Return a customer's weight (NULL: 1), and its maximum number of
	 * waiting items (NULL: no limit). */
	unsigned int (*share)(void *arg, struct ss_str customer);
	size_t (*limit)(void *arg, struct ss_str customer);
	void *arg;
};

struct ss_queue;

struct ss_queue *ss_queue_new(const struct ss_queue_options *o);
/* Frees the queue, but not the items that it still holds. */
void ss_queue_free(struct ss_queue *q);

/* Adds an item. Fails with SS_ERROR_OVERLOAD where the customer's limit is
 * reached. */
bool ss_queue_push(struct ss_queue *q, struct ss_queue_item *i, GError **error);

/* Returns the next item with at least this priority and leaves it in the queue;
 * NULL for none. */
struct ss_queue_item *ss_queue_peek(const struct ss_queue *q, int64_t now,
				    int least_priority);
/* Return the next item of one priority by fair shares, and its item with the
 * earliest deadline, without promotion and without removing the item; NULL for
 * none. */
struct ss_queue_item *ss_queue_fairest(const struct ss_queue *q, int priority);
struct ss_queue_item *ss_queue_earliest(const struct ss_queue *q, int priority);
/* Removes an item and charges it to its customer's fair share. */
void ss_queue_take(struct ss_queue *q, struct ss_queue_item *i);
/* Calls ss_queue_peek(), and ss_queue_take() for the item found. */
struct ss_queue_item *ss_queue_pop(struct ss_queue *q, int64_t now,
				   int least_priority);
/* Removes an item without charging its customer. */
void ss_queue_remove(struct ss_queue *q, struct ss_queue_item *i);

/* Removes and returns one item whose deadline isn't after now; NULL for
 * none. */
struct ss_queue_item *ss_queue_expired(struct ss_queue *q, int64_t now);

/* Returns the earliest deadline; SS_NEVER for an empty queue. */
int64_t ss_queue_deadline(const struct ss_queue *q);
/* Returns the highest priority with a waiting item; -1 for an empty queue. */
int ss_queue_priority(const struct ss_queue *q);

size_t ss_queue_length(const struct ss_queue *q);
/* Returns how many items have a higher priority, or the same priority and no
 * later deadline. Fair shares and promotion may serve others first. */
size_t ss_queue_ahead(const struct ss_queue *q, int priority,
		      int64_t deadline_ms);

#ifdef __cplusplus
}
#endif
#endif
