/*
 * Router of an entry. It queues calls, sends them to replicas, retries them,
 * recovers attempts after a lost connection, and ends each call with a reply or
 * a typed error that states whether the work was run.
 */
#ifndef SS_ROUTER_H
#define SS_ROUTER_H

#include <sapphireshift/limit.h>
#include <sapphireshift/queue.h>

#include "msg.h"
#include "preset.h"

/* An attempt is given up if its agent stays unreachable this long. */
#define ROUTER_AGENT_LOST_MS 3000
/* An unused route is dropped after this long. */
#define ROUTER_ROUTE_IDLE_MS 60000
/* The same for unknown models; shorter, as callers can send any name. */
#define ROUTER_UNKNOWN_IDLE_MS 5000
/* Interval of the reports of a route's demand to the leader. */
#define ROUTER_WATCH_MS 1000
/* Shorter interval for the report that a queue has become empty. */
#define ROUTER_EMPTY_WATCH_MS 100
/* First backoff from a replica that refused a call; it doubles with each
 * further refusal, up to 64 times this. */
#define ROUTER_FULL_BACKOFF_MS 20
/* Backoff from a replica that its agent doesn't hold, or that is draining. */
#define ROUTER_GONE_BACKOFF_MS 250

/* A call in the router. */
struct rcall;

/* How a call ended. */
struct router_result {
	int64_t code; /* 0: the whole reply was delivered */
	enum outcome outcome;
	const char *text;
	int64_t retry_after_ms; /* 0: don't retry */
};

/* Actions of the router, carried out by its owner. */
struct router_ops {
	/* Starts connecting to the agent unless that is under way. */
	void (*connect)(void *arg, const char *node, const char *addr);
	/* Sends a message to an agent. Returns false if the agent isn't
	 * connected: nothing was sent. */
	bool (*send)(void *arg, const char *node, enum msg_kind kind,
		     const void *msg);
	/* Sends a route's demand to the leader. */
	void (*watch)(void *arg, const struct msg_watch *w);
	/* Sends a claim to the leader. Returns false if no leader is known; the
	 * router sends the claim again later. */
	bool (*claim)(void *arg, const struct msg_claim *c);
	/* Passes on the next piece of the reply. */
	void (*deliver)(void *arg, struct rcall *c, const struct msg_reply *m);
	/* Passes on the result of a call; c is freed on return. */
	void (*finish)(void *arg, struct rcall *c,
		       const struct router_result *e);
};

struct router_options {
	uint64_t incarnation; /* of this entry; first part of call ids */
	const char *domain;
	const struct router_ops *ops;
	void *arg;
	uint64_t seed;
};

/* A caller's request; strings are copied. */
struct router_call {
	struct ss_str model; /* or "/svc/" and a pool's name */
	struct ss_str customer;
	struct ss_str method, path;
	const struct header *headers;
	size_t n_headers;
	struct ss_str body;
	int64_t deadline_ms; /* absolute, on the clock of the now parameters */
	int priority;
	bool once;	   /* must not run twice */
	struct ss_str key; /* idempotency key's hash; empty: none */
	uint64_t fingerprint;
	uint64_t prefix; /* hash of the prompt's start; 0: none */
	void *data;
};

struct router;

struct router *router_new(const struct router_options *o);
void router_free(struct router *r);

/* Sets the preset in force. It isn't copied: it must stay valid until it is
 * replaced. */
void router_set_preset(struct router *r, const struct preset *p);

/* Accepts a call. Returns NULL if it has already ended through finish(). */
struct rcall *router_submit(struct router *r, const struct router_call *c,
			    int64_t now);
/* Ends a call whose caller has disconnected, without finish(). */
void router_cancel(struct router *r, struct rcall *c);

/* Messages and events. */
void router_update_route(struct router *r, const struct msg_route *m,
			 int64_t now);
void router_claimed(struct router *r, const struct msg_claimed *m, int64_t now);
void router_agent_up(struct router *r, const char *node, uint64_t incarnation,
		     int64_t now);
void router_agent_down(struct router *r, const char *node, int64_t now);
void router_reply(struct router *r, const char *node, const struct msg_reply *m,
		  int64_t now);
void router_tick(struct router *r, int64_t now);
/* Reports the demand of all routes to a new leader. */
void router_leader_changed(struct router *r, int64_t now);

void *rcall_data(const struct rcall *c);
/* Gets the id of the latest attempt, for logs; zero before the first. */
void rcall_id(const struct rcall *c, uint64_t *entry, uint64_t *seq);
/* Return the number of calls in any state, and of those in a queue. */
size_t router_calls(const struct router *r);
size_t router_waiting(const struct router *r);

struct router_stats {
	uint64_t retries, retries_refused, attaches, claims;
	uint64_t late_pieces;	/* of an ended attempt, or received twice */
	uint64_t refused_early; /* before a deadline that can't be met */
};

const struct router_stats *router_stats(const struct router *r);

#endif
