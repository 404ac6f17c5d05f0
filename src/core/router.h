/*
 * An entry's decisions: calls wait here, go to a replica, come back, are
 * asked after when a connection is lost, and end with an answer or a
 * typed refusal that says whether the work was run.
 */
#ifndef SS_ROUTER_H
#define SS_ROUTER_H

#include <sapphireshift/limit.h>
#include <sapphireshift/queue.h>

#include "msg.h"
#include "preset.h"

/* An agent that can't be reached again for so long is given up. */
#define ROUTER_LOST_MS 3000
/* A route without calls for so long is dropped. */
#define ROUTER_ROUTE_IDLE_MS 60000
/* One for a model that doesn't exist goes sooner: names cost nothing. */
#define ROUTER_UNKNOWN_IDLE_MS 5000
/* How often a waiting route is told to the leader again. */
#define ROUTER_WATCH_MS 1000
/* How soon it is told that nobody waits any more. */
#define ROUTER_CALM_MS 100
/* After a refusal for want of slots the replica is left alone for: */
#define ROUTER_FULL_MS 20
/* After it said that it isn't there, or is leaving: */
#define ROUTER_GONE_MS 250

struct rcall;

/* How a call ended. */
struct router_end {
	int64_t code; /* 0: the whole answer was delivered */
	enum outcome outcome;
	const char *text;
	int64_t retry_after_ms; /* 0: coming back makes no sense */
};

struct router_ops {
	/* See to it that a connection to the agent is being made. */
	void (*connect)(void *arg, const char *node, const char *addr);
	bool (*send)(void *arg, const char *node, enum msg_kind kind,
		     const void *msg);
	void (*watch)(void *arg, const struct msg_watch *w);
	/* False where no leader is known; asked again later. */
	bool (*claim)(void *arg, const struct msg_claim *c);
	/* The next piece of the answer. */
	void (*deliver)(void *arg, struct rcall *c, const struct msg_reply *m);
	/* The end of the call; c is freed on return. */
	void (*finish)(void *arg, struct rcall *c, const struct router_end *e);
};

struct router_options {
	uint64_t incarnation; /* of this entry: the first part of call ids */
	const char *domain;
	const struct router_ops *ops;
	void *arg;
	uint64_t seed;
};

/* What a caller asks; strings are copied. */
struct router_call {
	struct ss_str model; /* or "/svc/" and a pool */
	struct ss_str customer;
	struct ss_str method, path;
	const struct header *headers;
	size_t n_headers;
	struct ss_str body;
	int64_t deadline_ms; /* on the clock */
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

/* The preset in force; it must outlive its use here. */
void router_set_preset(struct router *r, const struct preset *p);

/* NULL where the call has ended already, through finish. */
struct rcall *router_submit(struct router *r, const struct router_call *c,
			    int64_t now);
/* The caller went away: no finish comes any more. */
void router_cancel(struct router *r, struct rcall *c);

void router_route(struct router *r, const struct msg_route *m, int64_t now);
void router_claimed(struct router *r, const struct msg_claimed *m, int64_t now);
void router_agent_up(struct router *r, const char *node, uint64_t incarnation,
		     int64_t now);
void router_agent_down(struct router *r, const char *node, int64_t now);
void router_reply(struct router *r, const char *node, const struct msg_reply *m,
		  int64_t now);
void router_tick(struct router *r, int64_t now);
/* A new leader is known: tell it what waits. */
void router_leader(struct router *r, int64_t now);

void *rcall_data(const struct rcall *c);
/* For logs: the call's id on its agent; zero before it was sent. */
void rcall_id(const struct rcall *c, uint64_t *entry, uint64_t *seq);
size_t router_calls(const struct router *r);
size_t router_waiting(const struct router *r);

struct router_stats {
	uint64_t retries, retries_refused, attaches, claims, late_pieces;
	uint64_t refused_early;
};

const struct router_stats *router_stats(const struct router *r);

#endif
