/* The fleet leader's own tables; only for the files of that part. */
#ifndef SS_FLEET_LEAD_INT_H
#define SS_FLEET_LEAD_INT_H

#include <json-c/json_types.h>

#include "../core/fleet.h"
#include "../core/fleet_wire.h"
#include "../core/owner.h"
#include "../core/preset.h"
#include "../core/send_window.h"
#include "../core/crash_log.h"
#include "../core/endpoint_limit.h"
#include "../core/failure_rate.h"
#include "../core/fleet_slowness.h"
#include "../core/stream_log.h"
#include "../core/suspects.h"
#include "../vmlist/instances.h"
#include "fleet_lead.h"

/* A report older than this no longer tells what an engine holds: five of
 * its agent's longest pauses between two. */
#define FLEET_REPORT_MS 2500

/* A model on its way out of, or into, an engine. */
struct step_run {
	bool on;
	uint64_t number;
	struct fleet_step plan;
	GPtrArray *unload; /* char * */
	char *load;
	bool sent;	/* to the agent */
	uint64_t round; /* entries that confirmed it send no new calls */
	int64_t since_ms, sent_ms;
	size_t beside; /* loads from the store when it was sent, with it */
	bool slow;     /* and it was seen to take longer by that */
};

/* Calls on one model of an endpoint. */
struct model_calls {
	char *model;
	int64_t calls;
};

struct fleet_ep {
	char *addr, *service, *domain, *agent;
	/* The id by the list, which lags; the start by who told it first. */
	struct fleet_incarnation self;
	int64_t slots;
	bool listed, leaving_listed;
	int64_t listed_ms; /* when the list last had it */
	int64_t unread_ms; /* since when its entry can't be read; 0: it can */
	int64_t unread_told_ms; /* when that was last logged */
	GPtrArray *on_list;	/* char *, models by the list */
	struct owner owner;
	uint64_t remote_at; /* member that is to run its agent; 0: none */
	struct conn *conn;  /* of its owner; NULL: none */
	bool down;	    /* its agent can't reach it */
	bool reported;
	int64_t report_ms;
	struct fleet_report report;
	GHashTable *calls; /* conn of an entry -> GArray of model_calls */
	struct failure_rate failing;	  /* by what all entries see */
	struct failure_rate failing_told; /* as they were told last */
	struct fleet_slowness slow;	  /* by what all entries see */
	struct endpoint_limit limit;
	int64_t rest_until_ms; /* that it has asked some entry for */
	bool says_leaving;     /* in its answers to some entry */
	struct step_run step;
	bool changed;	       /* what entries are told of it */
	bool load_changed;     /* only its load */
	bool adapters_changed; /* not its models: entries that wait know it */
	GHashTable *refused;   /* model -> when a load of it failed, ms */
};

/* What one entry waits for. */
struct wait_at {
	uint64_t waiting;
	int64_t due_ms; /* when the first of them is late */
	int64_t at_ms;
};

/* One model's demand; with a version, of those whose stream that began. */
struct fleet_want {
	char *service, *model, *version;
	struct fleet_rate rate;
	GHashTable *waits; /* conn of an entry -> struct wait_at */
	int64_t eta_ms;	   /* on the clock; -1: unknown */
	bool eta_changed;
	int64_t blocked_ms; /* when that was last logged */
};

/*
 * What a peer has a part in is kept with it, so that its messages and its end
 * cost what they are about, and not all endpoints and models that there are.
 */
struct fleet_peer {
	struct conn *conn;
	bool entry;
	GPtrArray *owned;      /* struct fleet_ep whose conn it is */
	GPtrArray *called;     /* char *, addresses where its calls are */
	GHashTable *wants;     /* set of struct fleet_want that it waits for */
	bool confirmed;	       /* a majority has answered since it came */
	bool whole;	       /* has been sent the whole fleet */
	size_t whole_bytes;    /* of the last that it was sent */
	size_t whole_sent;     /* bytes of it that it hasn't confirmed */
	uint64_t whole_round;  /* that confirms them */
	int64_t whole_ms;      /* when it was sent */
	uint64_t routing_told; /* version that it was told of */
	uint64_t routing;      /* version that it follows, by its own word */
	uint64_t round;	       /* confirmed */
	uint64_t suspects;     /* mark of those that it was told of */
};

/* What a leader does, by count. */
enum fleet_work {
	WORK_REPORTS,	/* of entries */
	WORK_AGENTS,	/* reports of agents */
	WORK_FRAMES,	/* to entries, each made once */
	WORK_SENDS,	/* of these, to one receiver each */
	WORK_BYTES,	/* of these sends */
	WORK_ENDPOINTS, /* told in frames */
	WORK_LOADS,	/* told without more of their endpoints */
	WORK_ETAS,	/* wake times told */
	WORK_WHOLES,	/* whole fleets sent */
	WORK_PLANS,	/* passes of placing */
	WORK_STREAMS,	/* streams that entries told of */
	WORK_SPREADS,	/* messages on them to followers */
	WORK_VISITS,	/* rows looked at to take a message, or a loss */
	FLEET_WORKS
};

struct fleet_lead {
	struct daemon *d;
	struct group *g;
	struct instances *list;
	struct routing *routing;
	struct preset preset;
	uint64_t preset_version;
	GHashTable *peers; /* conn -> struct fleet_peer */
	uint64_t entries;  /* of them */
	uint64_t behind;   /* entries that don't follow routing_told yet */
	GHashTable *eps;   /* addr -> struct fleet_ep */
	GHashTable *wants; /* "service\nmodel\nversion" -> struct fleet_want */
	uint64_t fence;	   /* of this leadership */
	uint64_t round;	   /* the newest; a whole fleet has one of its own */
	uint64_t step_round; /* that all entries are to confirm */
	uint64_t steps;
	int64_t since_ms, plan_ms, push_ms, load_push_ms;
	int64_t plan_took_ms, push_took_ms;
	bool list_seen;
	bool dirty, urgent;
	bool loads_left;       /* changes that go out with the next loads */
	int64_t routing_ms;    /* when the version in force was read */
	uint64_t routing_told; /* that version */
	uint64_t routing_everywhere; /* version that all entries follow */
	struct send_window window;   /* of whole fleets on their way */
	struct fleet_store store;
	double store_tokens;
	int64_t store_ms;
	int64_t remote_ms; /* when members were last told whose agents they run
			    */
	int64_t remote_looked_ms; /* when engines were last looked through */
	struct suspects *suspects;
	uint64_t *n_suspects, *n_quarantined; /* now */
	uint64_t *n_steps, *n_store, *n_disk, *n_memory, *n_failed;
	struct hist *load_hist;
	struct stream_log *streams; /* it outlives the leadership */
	GHashTable *streams_told;   /* member -> mark of what it was told */
	int64_t streams_ms, streams_tidied_ms;
	uint64_t *n_streams, *n_stream_asks;
	void *quota;	  /* place of customers' allotments */
	void *limits;	  /* and of what endpoints' own limits allow */
	int64_t quota_ms; /* when it was last tidied */
	uint64_t *n_quota_asks, *n_limit_asks;
	uint64_t *n_work[FLEET_WORKS];
	uint64_t work_told[FLEET_WORKS]; /* in the last line */
	int64_t work_ms;
};

static inline int64_t fleet_lead_now(const struct fleet_lead *l)
{
	return ss_clock_now(&l->d->clock);
}

static inline void fleet_work(struct fleet_lead *l, enum fleet_work w,
			      uint64_t n)
{
	*l->n_work[w] += n;
}

/* fleet_work.c */
void fleet_work_begin(struct fleet_lead *l);
void fleet_work_tick(struct fleet_lead *l, int64_t now);

/* fleet_table.c */
/* The endpoint at an address, made where there is none. */
struct fleet_ep *fleet_ep_for(struct fleet_lead *l, const char *addr);
void fleet_ep_free(void *ep);
/* Its agent speaks by this connection from now on; NULL: by none. */
void fleet_ep_owned_by(struct fleet_lead *l, struct fleet_ep *ep,
		       struct conn *c);
/* The calls of an entry there, of which none were known. */
void fleet_ep_add_calls(struct fleet_ep *ep, struct fleet_peer *p,
			const struct wire_list *models);
/* All calls of an entry, at any endpoint, are over. */
void fleet_drop_calls(struct fleet_lead *l, struct fleet_peer *p);
uint32_t fleet_ep_calls(const struct fleet_ep *ep, const char *model);

/* An entry waits for a model; it waits no more. */
void fleet_want_add(struct fleet_want *w, struct fleet_peer *p,
		    const struct wait_at *at);
void fleet_want_drop(struct fleet_lead *l, struct fleet_want *w,
		     struct fleet_peer *p);
/* It waits for nothing more. */
void fleet_drop_wants(struct fleet_lead *l, struct fleet_peer *p);

struct fleet_peer *fleet_peer_new(struct conn *c);
void fleet_peer_free(void *peer);

/* A model's demand, made where there is none; version: empty for all. */
struct fleet_want *fleet_want_for(struct fleet_lead *l, const char *service,
				  const char *model, const char *version);
bool fleet_ep_usable(const struct fleet_lead *l, const struct fleet_ep *ep);
/* It is about to leave for good. */
bool fleet_ep_ends(const struct fleet_lead *l, const struct fleet_ep *ep);
/* Alive by its agent's word while its entry in the list can't be read. */
bool fleet_ep_suspended(const struct fleet_lead *l, const struct fleet_ep *ep);
/* By its own word it takes so little, or rests, that models are to stand
 * elsewhere. */
bool fleet_ep_strained(const struct fleet_lead *l, const struct fleet_ep *ep);
/* Its agent's last report is fresh enough to be believed. */
bool fleet_ep_reported(const struct fleet_lead *l, const struct fleet_ep *ep);
void fleet_want_free(void *want);
/* What the owner of an engine orders with: higher for each owner, and for each
 * leader. */
uint64_t fleet_ep_fence(const struct fleet_lead *l, const struct fleet_ep *ep);

/* fleet_peers.c */
void fleet_peer_open(struct fleet_lead *l, struct conn *c);
void fleet_peer_closed(struct fleet_lead *l, struct conn *c);
/* The engine that it speaks for; NULL: none. */
struct fleet_ep *fleet_peer_engine(const struct fleet_peer *p);
void fleet_tell_term(struct fleet_lead *l, struct fleet_peer *p);
/* To all that don't know the version in force. */
void fleet_tell_routing(struct fleet_lead *l);
void fleet_peer_follows(struct fleet_lead *l, struct fleet_peer *p,
			uint64_t version);

/* fleet_reports.c */
void fleet_take_endpoint(struct fleet_lead *l, struct conn *c,
			 const struct msg_endpoint *m);
void fleet_take_demand(struct fleet_lead *l, struct conn *c,
		       const struct msg_demand *m);
/* What entries waited for too long ago to be true. */
void fleet_forget_wants(struct fleet_lead *l, int64_t now);

/* fleet_listed.c */
void fleet_take_list(struct fleet_lead *l, struct fleet_list *all);
/* An endpoint's start was told of: what of a former one no longer holds is
 * forgotten. */
enum fleet_relation fleet_ep_learn(struct fleet_lead *l, struct fleet_ep *ep,
				   const struct fleet_incarnation *told);

/* fleet_unread.c */
/* Its entry can't be read; is read; none of the entries names it. */
void fleet_ep_unreadable(struct fleet_lead *l, struct fleet_ep *ep,
			 int64_t now);
void fleet_ep_readable(struct fleet_lead *l, struct fleet_ep *ep, int64_t now);
void fleet_ep_unlisted(struct fleet_lead *l, struct fleet_ep *ep,
		       const struct fleet_list *all, int64_t now);

/* fleet_steps.c */
void fleet_steps_plan(struct fleet_lead *l, int64_t now);
/* Send the steps that every entry has confirmed, give up lost ones. */
void fleet_steps_run(struct fleet_lead *l, int64_t now);
void fleet_steps_done(struct fleet_lead *l, struct fleet_ep *ep,
		      const struct msg_loaded *m);
/* True where a model is about to leave, and gets no new calls. */
bool fleet_step_closes(const struct fleet_ep *ep, const char *model);
void fleet_step_clear(struct fleet_ep *ep);
/* Its engine has restarted: a step that was planned for it is given up. */
void fleet_step_restarted(struct fleet_lead *l, struct fleet_ep *ep);

/* fleet_remote.c */
void fleet_remote_tick(struct fleet_lead *l, int64_t now);

/* fleet_suspects.c: requests under which endpoints end */
void fleet_suspects_begin(struct fleet_lead *l);
/* What an entry has seen; what it asks. */
void fleet_suspects_take(struct fleet_lead *l,
			 const struct msg_run_outcomes *m);
void fleet_suspects_ask(struct fleet_lead *l, struct conn *c,
			const struct msg_trial *m);
/* Tell entries what they don't know yet. */
void fleet_suspects_tick(struct fleet_lead *l, int64_t now);
void fleet_suspects_status(const struct fleet_lead *l, json_object *o);

/* fleet_quota.c */
void fleet_quota_begin(struct fleet_lead *l);
void fleet_quota_end(struct fleet_lead *l);
/* What an entry needs of customers' limits; it is answered. */
void fleet_quota_ask(struct fleet_lead *l, struct conn *c,
		     const struct msg_quota_request *m);
/* The same of endpoints' own limits. */
void fleet_limit_ask(struct fleet_lead *l, struct conn *c,
		     const struct msg_quota_request *m);
/* The connection is gone, but still in the table of peers. */
void fleet_quota_gone(struct fleet_lead *l, const struct conn *c);
void fleet_quota_tick(struct fleet_lead *l, int64_t now);
void fleet_quota_status(struct fleet_lead *l, json_object *o);

/* fleet_streams.c: which versions began streams */
void fleet_streams_begin(struct fleet_lead *l, struct stream_log *log);
void fleet_streams_end(struct fleet_lead *l);
/* An endpoint of its version serves. */
void fleet_streams_seen(struct fleet_lead *l, const struct fleet_ep *ep);
/* What an entry has begun; what it asks. */
void fleet_streams_take(struct fleet_lead *l, const struct msg_streams *m);
void fleet_streams_ask(struct fleet_lead *l, struct conn *c,
		       const struct msg_stream_request *m);
void fleet_streams_tick(struct fleet_lead *l, int64_t now);

/* fleet_push.c */
/* Entries that know nothing yet get all of it. */
void fleet_push_whole(struct fleet_lead *l);
/* An entry has told its round; its connection is gone. */
void fleet_push_confirmed(struct fleet_lead *l, struct fleet_peer *p);
void fleet_push_lost(struct fleet_lead *l, struct fleet_peer *p);
void fleet_push_tick(struct fleet_lead *l, int64_t now);
/* The others get what has changed; loads: also where only that changed. */
void fleet_push_changes(struct fleet_lead *l, bool loads);

#endif
