/*
 * Admission: which of the requests that wait for the endpoints of a service is
 * tried next. It handles requests for several models, of different urgency,
 * that wait for engines which all these models share.
 *
 * Streams that have begun go first, then the most urgent, then customers in
 * proportion to their shares, then who must be started soonest. Where more and
 * less urgent requests wait, one turn in ADMISSION_PART is guaranteed to the
 * less urgent, in order of the latest start: a class that offers more than the
 * engines serve leaves the others that much, and has three times it. A request
 * that can't wait for the next guaranteed turn takes it in advance, so that it
 * is started while its caller is there; as the turn is counted, the less urgent
 * don't get more than their part by it.
 *
 * Pure; times are in ms on the caller's clock.
 */
#ifndef SS_ADMISSION_H
#define SS_ADMISSION_H

#include <sapphireshift/queue.h>

/* Of the turns for which both wait, one in so many is for the less urgent. */
#define ADMISSION_PART 4

/* By which rule a request was chosen. */
enum admission_turn {
	ADMISSION_NONE, /* it didn't wait, or its stream has begun */
	ADMISSION_ORDER,
	ADMISSION_GUARANTEED,
	ADMISSION_RAISED,
};

/* A request that may be tried: of each lane the next of each priority. */
struct admission_head {
	bool begun;	   /* its stream has; its turn isn't counted */
	int priority;	   /* 0 (first) to SS_QUEUE_PRIORITIES - 1 */
	uint64_t share;	   /* admission_share() of its customer */
	int64_t latest_ms; /* its latest start, on the clock */
	/* Which turns it may have: by the order, as the next by its lane's
	 * shares; and by time, the guaranteed and the raised. */
	bool by_order, by_time;
	const void *lane;
	void *request; /* the caller's own */
};

/* The turns of a service. */
struct admission {
	size_t waiting[SS_QUEUE_PRIORITIES];
	/* Turns of more urgent requests towards the next guaranteed one; below
	 * 0 where one was taken in advance. */
	int credit;
	double turn_ms;	 /* mean time between turns while both wait */
	int64_t last_ms; /* last turn, or since both wait; 0: they don't */
	/* Customer -> virtual time, and the least that any customer has. */
	GHashTable *served[SS_QUEUE_PRIORITIES];
	uint64_t base[SS_QUEUE_PRIORITIES];
	enum admission_turn turn; /* by which the last was chosen */
	bool contended;		  /* less urgent ones could have had it */
};

void admission_init(struct admission *a);
void admission_clear(struct admission *a);

/* A request whose stream hasn't begun waits from now on; no longer. */
void admission_enter(struct admission *a, int priority, int64_t now);
void admission_leave(struct admission *a, int priority);

/* The key of a customer's share for a head: the lower one goes first. */
uint64_t admission_share(const struct admission *a, int priority,
			 const char *customer);

/* Index of the head to try next; -1: there is none. */
int admission_next(struct admission *a, const struct admission_head *heads,
		   size_t n, int64_t now);

/*
 * What became of the last one that was chosen. It was sent: its turn counts,
 * also for its customer, with this share of turns; the rule that chose it.
 */
enum admission_turn admission_taken(struct admission *a,
				    const struct admission_head *h,
				    const char *customer, unsigned int share,
				    int64_t now);
/*
 * It can't be sent now: its lane has no more turns of that kind, and none at
 * all where it was chosen by the order. Returns how many are left. What is less
 * urgent doesn't stop what is more urgent in its own lane.
 */
size_t admission_passed(const struct admission *a, struct admission_head *heads,
			size_t n, size_t at);

#endif
