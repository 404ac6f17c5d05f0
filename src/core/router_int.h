/* Internal state of the router and functions shared by router*.c. */
#ifndef SS_ROUTER_INT_H
#define SS_ROUTER_INT_H

#include "route.h"
#include "router.h"

/* Size of the table of prompt prefixes and the replicas that last got them:
 * 64 KiB, about 40 prefixes for each of 100 models. */
#define PREFIX_TABLE_SIZE 4096
/* Minimum retry_after_ms: an earlier retry would find the same queue. */
#define RETRY_AFTER_MIN_MS 500

enum rcall_state {
	RCALL_QUEUED,
	RCALL_CLAIMING, /* waits for the leader to grant its key */
	RCALL_SENT,
	RCALL_RECOVERING, /* waits to attach to its attempt again */
};

struct rcall {
	struct ss_queue_item item; /* first: cast back from the queue's item */
	enum rcall_state state;
	struct route *route;
	struct agent *agent;
	uint64_t replica;
	uint64_t sub;	      /* handle of the current attempt; 0: none */
	uint64_t entry, seq;  /* id of that attempt */
	uint64_t incarnation; /* of the agent */
	/* Id of an attempt that is known not to run, for claims. */
	uint64_t dead_entry, dead_seq;
	uint64_t next; /* expected piece of the reply */
	unsigned int attempts;
	bool claimed;
	bool counted;	/* in own_calls and sent_since of the replica */
	bool maybe_ran; /* an attempt ended with an unknown outcome */
	int64_t sent_ms;
	int64_t query_ms; /* time of the last claim, or start of the recovery */
	GSequenceIter *deadline;
	struct msg_call m; /* strings owned */
	struct ss_str key;
	uint64_t fingerprint;
	uint64_t prefix;
	void *data;
};

struct router {
	struct router_options o;
	const struct preset *preset;
	GHashTable *routes;   /* model -> struct route */
	GHashTable *agents;   /* node -> struct agent */
	GHashTable *by_sub;   /* &sub -> struct rcall */
	GSequence *deadlines; /* all calls */
	struct ss_budget budget;
	struct ss_queue_options queue;
	uint64_t last_sub, last_seq;
	struct {
		uint64_t prefix, replica;
	} prefixes[PREFIX_TABLE_SIZE]; /* by hash; a collision replaces */
	struct router_stats stats;
	size_t waiting;
	/* The call in router_submit(); NULL: none, or it has ended. */
	struct rcall *submitting;
};

/* router.c */
/* Finds or adds an agent, and updates its address and failure domain. */
struct agent *router_get_agent(struct router *r, const char *node,
			       struct ss_str addr, struct ss_str domain);
/* Reports a route's demand to the leader. */
void router_send_watch(struct router *r, struct route *rt, int64_t now);
/* Starts queued calls while a replica has a free slot. */
void router_dispatch_queue(struct router *r, struct route *rt, int64_t now);
/* Does so for all routes. */
void router_dispatch_all(struct router *r, int64_t now);

/* router_call.c */
void rcall_free(struct rcall *c);
/* Ends the current attempt: frees its slot and its handle. */
void router_end_attempt(struct router *r, struct rcall *c);
/* Removes a call from its queue or agent, and from the list of calls. */
void router_remove_call(struct router *r, struct rcall *c);
/* Ends a call with an error and frees it. retry_after_ms 0: don't retry. */
void router_finish(struct router *r, struct rcall *c, enum ss_error code,
		   enum outcome outcome, const char *text,
		   int64_t retry_after_ms);
void router_finish_ok(struct router *r, struct rcall *c);
/* Refuses a call before its deadline, which it can't meet. */
void router_refuse_deadline(struct router *r, struct rcall *c, int64_t wait,
			    const char *text);
/* Assigns a new handle to the attempt. */
void router_set_sub(struct router *r, struct rcall *c);
void router_enqueue(struct router *r, struct rcall *c);
/* GCompareDataFunc for the list of calls. */
gint router_by_deadline(gconstpointer a, gconstpointer b, gpointer data);
struct rcall *rcall_new(const struct router_call *o);

/* router_attempt.c */
/* Requests that the agent stop the attempt. */
void router_send_cancel(struct router *r, struct rcall *c);
/* Requests the attempt's outcome and the rest of its reply from the agent. */
void router_send_attach(struct router *r, struct rcall *c);
/* Requests the leader's permission to run a call with an idempotency key. */
void router_claim(struct router *r, struct rcall *c, int64_t now);
/* Takes a slot on a replica and starts an attempt there. */
void router_start_attempt(struct router *r, struct rcall *c,
			  struct replica_view *v, int64_t now);
/* Retries a call whose attempt has an unknown outcome, or ends it. */
void router_resolve_lost(struct router *r, struct rcall *c, const char *text,
			 int64_t now);

#endif
