/*
 * Admission: selects which of the requests that wait for the endpoints of a
 * service is dispatched next. The requests are for several models and of
 * different priority, and wait for engines that all these models share.
 *
 * Requests that resume a stream go first, then higher priorities, then
 * customers in proportion to their shares, then the earliest latest start.
 * While requests of lower priority wait as well, one dispatch in
 * ADMISSION_ROUND is guaranteed to them, in order of the latest start: a class
 * that offers more load than the engines serve leaves that part to the others,
 * and gets three times as much itself. A request that would be too late for the
 * next guaranteed dispatch takes it in advance, so that it is started while its
 * caller still waits. Such a raised dispatch is counted, so lower priorities
 * get no more than their guaranteed part.
 *
 * The code does no I/O; times are in ms on the caller's clock.
 */
#ifndef SS_ADMISSION_H
#define SS_ADMISSION_H

#include <sapphireshift/queue.h>

/* Dispatches in a round, one of which is guaranteed to lower priorities that
 * wait. */
#define ADMISSION_ROUND 4

/* Rule by which a request was selected. */
enum admission_rule {
	ADMISSION_NONE, /* the request didn't wait, or resumes a stream */
	ADMISSION_ORDER,
	ADMISSION_GUARANTEED,
	ADMISSION_RAISED,
};

/* A candidate for dispatch: the first request of each priority in a model
 * queue. */
struct admission_head {
	bool resumes; /* it resumes a stream; its dispatch isn't counted */
	/* 0 (highest) to SS_QUEUE_PRIORITIES - 1; the reverse of the order in
	 * struct ss_queue_item. */
	int priority;
	uint64_t virtual_time; /* admission_virtual_time() of its customer */
	int64_t latest_ms;     /* its latest start */
	/* Rules that may select it: by_order as the next by the shares of its
	 * model queue, by_time as the guaranteed or raised request. */
	bool by_order, by_time;
	const void *model_queue;
	void *request; /* opaque to admission */
};

/* Admission state of a service. */
struct admission {
	size_t waiting[SS_QUEUE_PRIORITIES];
	/* Dispatches of higher priority since the last guaranteed one; below 0
	 * after a guaranteed dispatch was taken in advance. */
	int credit;
	/* Mean time between dispatches while several priorities wait. */
	double interval_ms;
	/* Time of the last dispatch, or when a second priority began to wait;
	 * 0: fewer than two priorities wait. */
	int64_t last_ms;
	/* Customer -> virtual time, and the lower bound that applies to all
	 * customers: the virtual time of the last one dispatched. */
	GHashTable *virtual_time[SS_QUEUE_PRIORITIES];
	uint64_t virtual_now[SS_QUEUE_PRIORITIES];
	/* Of the last selection: its rule, and whether a request of lower
	 * priority could have been selected. */
	enum admission_rule rule;
	bool contended;
};

void admission_init(struct admission *a);
void admission_clear(struct admission *a);

/* Counts a request that starts or stops waiting. Requests that resume a stream
 * aren't counted. */
void admission_enter(struct admission *a, int priority, int64_t now);
void admission_leave(struct admission *a, int priority);

/* Returns the virtual time of a customer, for use in a head: the lowest goes
 * first. */
uint64_t admission_virtual_time(const struct admission *a, int priority,
				const char *customer);

/* Selects the head to try next and returns its index; -1: there is none. */
int admission_next(struct admission *a, const struct admission_head *heads,
		   size_t n, int64_t now);

/* Records that the head that was selected last was sent: charges its customer,
 * who has this share, and counts the dispatch. Returns the rule that selected
 * the head. */
enum admission_rule admission_dispatched(struct admission *a,
					 const struct admission_head *h,
					 const char *customer,
					 unsigned int share, int64_t now);

/*
 * Removes heads from the array, as the one that was selected last, at index at,
 * can't be sent now. If it was selected by order, all heads of its model queue
 * are removed; otherwise its model queue keeps those that may be selected by
 * order: a request of lower priority that can't be sent doesn't block higher
 * priorities. Returns how many heads are left.
 */
size_t admission_skipped(const struct admission *a,
			 struct admission_head *heads, size_t n, size_t at);

#endif
