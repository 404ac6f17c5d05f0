/* An entry's decisions: the state, and what its parts share. Only for
 * router*.c. */
#ifndef SS_ROUTER_INT_H
#define SS_ROUTER_INT_H

#include "route.h"
#include "router.h"

/* Prompt prefixes whose replica is remembered, by hash: 64 KiB of memory, some
 * forty for each of a hundred models. */
#define PREFIX_TABLE 4096
/* Coming back sooner than this finds the same queue; in ms. */
#define COMEBACK_MIN_MS 500

enum rcall_state {
	RCALL_QUEUED,
	RCALL_CLAIMING, /* the leader is asked whether it may run */
	RCALL_SENT,
	RCALL_ASKING, /* its agent is asked what became of it */
};

struct rcall {
	struct ss_queue_item item; /* first: the queue gives it back */
	enum rcall_state state;
	struct route *route;
	struct agent *agent;
	uint64_t replica;
	uint64_t sub;	     /* of the attempt under way; 0: none */
	uint64_t entry, seq; /* id of that attempt on its agent */
	uint64_t incarnation;
	uint64_t dead_entry, dead_seq; /* an attempt known not to run */
	uint64_t next;		       /* the piece that comes next */
	unsigned int attempts;
	bool claimed;
	bool counted;	/* in its view's own calls */
	bool maybe_ran; /* an attempt ended without anybody knowing how */
	int64_t sent_ms, asked_ms;
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
	uint64_t subs, seqs;
	struct {
		uint64_t prefix, replica;
	} prefixes[PREFIX_TABLE];
	struct router_stats stats;
	size_t waiting;
	struct rcall *submitting; /* NULL again once it has ended */
};

/* router.c */
/* Found, or made; its address is brought up to date. */
struct agent *router_agent_named(struct router *r, const char *node,
				 struct ss_str addr, struct ss_str domain);
/* Tell the leader what waits on a route. */
void router_watch(struct router *r, struct route *rt, int64_t now);
/* Send what can be sent. */
void router_pump(struct router *r, struct route *rt, int64_t now);
void router_pump_all(struct router *r, int64_t now);

/* router_call.c */
void rcall_free(struct rcall *c);
/* The attempt is over: give back its slot, forget its sub. */
void router_end_attempt(struct router *r, struct rcall *c);
/* Out of the queue, or off its agent. */
void router_leave(struct router *r, struct rcall *c);
/* End with an error; comeback in ms, 0: none. The call is freed. */
void router_finish(struct router *r, struct rcall *c, enum ss_error code,
		   enum outcome outcome, const char *text, int64_t comeback);
void router_finish_ok(struct router *r, struct rcall *c);
/* Refuse a call that its deadline would find waiting. */
void router_refuse_late(struct router *r, struct rcall *c, int64_t wait,
			const char *text);
void router_set_sub(struct router *r, struct rcall *c);
void router_enqueue(struct router *r, struct rcall *c);
gint router_by_deadline(gconstpointer a, gconstpointer b, gpointer data);
struct rcall *rcall_new(const struct router_call *o);

/* router_attempt.c */
/* The agent stops the attempt. */
void router_send_cancel(struct router *r, struct rcall *c);
/* Ask the agent what became of the attempt, and for what is left. */
void router_send_attach(struct router *r, struct rcall *c);
/* Ask the leader whether a keyed call may run. */
void router_claim(struct router *r, struct rcall *c, int64_t now);
/* Take a place on a replica and go. */
void router_dispatch(struct router *r, struct rcall *c, struct view *v,
		     int64_t now);
/* Nobody can say what became of the call's attempt. */
void router_resolve_lost(struct router *r, struct rcall *c, const char *text,
			 int64_t now);

#endif
