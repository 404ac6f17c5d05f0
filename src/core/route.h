/* What an entry knows of one model's replicas, and of their agents. */
#ifndef SS_ROUTE_H
#define SS_ROUTE_H

#include <sapphireshift/limit.h>
#include <sapphireshift/queue.h>

#include "choose.h"
#include "msg.h"

struct agent {
	char *node, *addr, *domain;
	uint64_t incarnation; /* as the leader or the agent said last */
	bool up;
	int64_t down_ms; /* since when; valid while not up */
	struct ss_breaker breaker;
};

struct view {
	uint64_t replica;
	struct agent *agent;
	struct target t;
	int64_t ready_ms;
	int64_t full_ms; /* leave it alone until then */
	unsigned int refusals;
	bool gone; /* the agent said that it isn't there */
};

struct route {
	char *model;  /* as callers name it */
	char *target; /* as its agents know it */
	bool known;   /* the leader has answered */
	int64_t code;
	int64_t eta_ms; /* when a replica is expected; SS_NEVER: unknown */
	uint64_t version;
	GArray *views; /* struct view */
	struct ss_queue *queue;
	uint64_t arrivals; /* not told to the leader yet */
	uint64_t told;	   /* how many it was last told that wait */
	int64_t watch_ms;  /* when it was last told */
	int64_t used_ms;
	double service_ms; /* mean time that a call takes a slot */
};

struct route *route_new(const char *model, const struct ss_queue_options *q,
			int64_t now);
void route_free(void *route);

struct view *route_view(struct route *rt, uint64_t replica);

/* Take the leader's word; agent_of gives the agent of each replica. */
void route_update(struct route *rt, const struct msg_route *m,
		  struct agent *(*agent_of)(void *arg,
					    const struct route_replica *r),
		  void *arg, int64_t now);

/* The best replica for a call; NULL where none has room. */
struct view *route_choose(struct route *rt, const char *domain,
			  uint64_t prefix_replica, uint64_t tie, int64_t now);

/* Slots on connected replicas, and how many of them are free. */
void route_slots(struct route *rt, int64_t now, uint64_t *slots,
		 uint64_t *free_slots);

/* When a call with so many before it would be done, from now; or NEVER. */
int64_t route_wait_ms(struct route *rt, size_t ahead, int64_t now);

#endif
