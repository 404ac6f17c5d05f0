/*
 * An entry's route to one model: its queue, its replicas by the leader's last
 * message, and the state of their agents.
 */
#ifndef SS_ROUTE_H
#define SS_ROUTE_H

#include <sapphireshift/limit.h>
#include <sapphireshift/queue.h>

#include "choose.h"
#include "msg.h"

struct agent {
	char *node, *addr, *domain;
	uint64_t incarnation; /* last reported by the agent or the leader */
	bool up;
	int64_t down_ms; /* when the connection was lost; valid while not up */
	struct ss_breaker breaker;
};

/* A replica as this entry sees it. */
struct replica_view {
	uint64_t replica;
	struct agent *agent;
	struct target t;
	int64_t ready_ms;
	int64_t backoff_until_ms; /* no calls before then */
	unsigned int refusals;	  /* in a row */
	/* Its agent doesn't hold it, or is draining it. Cleared by the next
	 * message of the leader. */
	bool gone;
};

struct route {
	char *model;	/* name used by callers */
	char *target;	/* name used by its agents */
	bool known;	/* the leader has sent a route */
	int64_t code;	/* 0, or an enum ss_error: no such model or pool */
	int64_t eta_ms; /* when a replica is expected; SS_NEVER: unknown */
	uint64_t version;
	GArray *views; /* struct replica_view */
	struct ss_queue *queue;
	uint64_t arrivals;	   /* not yet reported to the leader */
	uint64_t reported_waiting; /* queue length in the last report */
	int64_t watch_sent_ms;	   /* when the last report was sent */
	int64_t used_ms;	   /* when a call last arrived or waited */
	double service_mean_ms;	   /* moving average of a call's duration */
};

struct route *route_new(const char *model, const struct ss_queue_options *q,
			int64_t now);
void route_free(void *route);

/* Finds the view of a replica, or NULL. */
struct replica_view *route_view(struct route *rt, uint64_t replica);

/* Replaces the replicas by those of the leader's message, keeping the state of
 * known ones; agent_of finds the agent of each. */
void route_update(struct route *rt, const struct msg_route *m,
		  struct agent *(*agent_of)(void *arg,
					    const struct route_replica *r),
		  void *arg, int64_t now);

/* Chooses the best replica for a call; NULL if none has a free slot.
 * prefix_replica: the replica that last got the call's prompt prefix, or 0. */
struct replica_view *route_choose(struct route *rt, const char *domain,
				  uint64_t prefix_replica, uint64_t tie,
				  int64_t now);

/* Counts the slots of the connected replicas, in total and free ones. */
void route_slots(struct route *rt, int64_t now, uint64_t *slots,
		 uint64_t *free_slots);

/* Returns the estimated time until a call starts, with that many calls ahead of
 * it; 0 if there are no replicas and none is known to be coming. */
int64_t route_wait_ms(struct route *rt, size_t ahead, int64_t now);

#endif
