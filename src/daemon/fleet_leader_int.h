/* The fleet leader's tables; private to the src/daemon/fleet_* files. */
#ifndef SS_FLEET_LEADER_INT_H
#define SS_FLEET_LEADER_INT_H

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
#include "fleet_leader.h"

/* Age in ms at which an engine's report is stale: five times the longest pause
 * between two reports of its agent. */
#define FLEET_REPORT_MAX_AGE_MS 2500

/* A placement step in progress: models that an engine unloads, and the one
 * that it loads. */
struct step_run {
	bool active;
	uint64_t number;
	struct fleet_step plan;
	GPtrArray *unload; /* char * */
	char *load;
	bool sent;	/* to the agent */
	uint64_t round; /* entries that acknowledged it send no new calls to
			   the models to unload */
	int64_t since_ms, sent_ms;
	size_t concurrent_loads; /* store loads in progress when this
				    step was sent, including its own */
	bool slow; /* the store's estimate already counts this load as slow */
};

/* Running calls on one model of an endpoint. */
struct model_calls {
	char *model;
	int64_t calls;
};

struct fleet_ep {
	char *addr, *service, *domain;
	char *agent; /* address to which entries send requests for adapters */
	/* The id is from the list, which lags behind; the start time is the
	 * first one that the list or the agent reported. */
	struct fleet_incarnation self;
	int64_t slots;
	bool listed, listed_draining;
	int64_t listed_ms;	      /* when the list last had this endpoint */
	int64_t unreadable_since_ms;  /* when its list item ceased to be valid;
				       * 0: the item is valid */
	int64_t unreadable_logged_ms; /* last log line about the invalid item */
	GPtrArray *listed_models;     /* char *, models in the list's item */
	struct owner owner;
	uint64_t remote_member; /* member assigned to run its agent; 0: none */
	struct conn *conn;	/* connection of its agent; NULL: none */
	bool unreachable;	/* its agent can't reach it */
	bool reported;
	int64_t report_ms;
	struct fleet_report report;
	GHashTable *calls; /* conn of an entry -> GArray of model_calls */
	struct failure_rate failures;	   /* over the reports of all entries */
	struct failure_rate failures_sent; /* as last sent to entries */
	struct fleet_slowness slowness;	   /* over the reports of all entries */
	struct endpoint_limit limit;
	int64_t backoff_until_ms; /* end of the backoff that its signals to
				     entries request */
	bool signals_draining;	  /* an entry received its draining signal */
	struct step_run step;
	bool changed;	       /* entries need the whole endpoint */
	bool load_changed;     /* entries need only its load */
	bool adapters_changed; /* its adapters changed, but not its models; the
				* entry whose request loaded an adapter already
				* has the change */
	GHashTable *failed_loads; /* model -> last failed load, ms */
};

/* Requests of one entry that wait for one model. */
struct entry_wait {
	uint64_t waiting;    /* number of requests */
	int64_t due_ms;	     /* earliest deadline among them */
	int64_t reported_ms; /* when the entry reported them */
};

/* Demand for one model. With a version, only the demand of streams that this
 * version began. */
struct fleet_demand {
	char *service, *model, *version;
	struct fleet_rate rate;
	GHashTable *waits; /* conn of an entry -> struct entry_wait */
	int64_t eta_ms;	   /* clock time; -1: unknown */
	bool eta_changed;
	int64_t blocked_ms; /* last log line about the blocked model */
};

/*
 * A connected agent or entry. The record refers to the endpoints and models of
 * this peer, so that the cost of a message or a disconnect is proportional to
 * their number rather than to the size of the fleet.
 */
struct fleet_peer {
	struct conn *conn;
	bool entry;
	GPtrArray *owned; /* struct fleet_ep that the peer is the agent of */
	GPtrArray *called_addrs; /* char *, addresses of endpoints with its
				    calls */
	GHashTable *demands;	 /* set of struct fleet_demand with its waits */
	bool confirmed;	   /* a majority of the control VMs has answered this
			      leader since the peer connected */
	bool has_snapshot; /* the peer was sent a snapshot and all later
			      changes */
	size_t snapshot_bytes;	   /* size of the last snapshot sent */
	size_t snapshot_in_flight; /* bytes of that snapshot without
				      acknowledgement */
	uint64_t snapshot_round;   /* round whose acknowledgement covers them */
	int64_t snapshot_ms;	   /* time at which the snapshot was sent */
	uint64_t routing_sent;	   /* last routing version sent to the peer */
	uint64_t routing;	   /* routing version that the peer reports */
	uint64_t round;		   /* last round that the peer acknowledged */
	uint64_t suspects; /* mark in the changes of suspects, up to which they
			      were sent */
};

/* Counters of the leader's work. */
enum fleet_work {
	WORK_REPORTS,	   /* reports of entries */
	WORK_AGENTS,	   /* reports of agents */
	WORK_FRAMES,	   /* frames for entries, each encoded once */
	WORK_SENDS,	   /* sends of changes, one per receiver */
	WORK_BYTES,	   /* bytes of these sends */
	WORK_ENDPOINTS,	   /* endpoints in frames */
	WORK_LOADS,	   /* endpoints in frames with only their load */
	WORK_ETAS,	   /* wake times in frames */
	WORK_SNAPSHOTS,	   /* snapshots sent */
	WORK_PLANS,	   /* placement passes */
	WORK_STREAMS,	   /* streams that entries reported */
	WORK_REPLICATIONS, /* messages that replicate streams to followers */
	WORK_VISITS,	   /* rows visited for a message or a lost connection */
	FLEET_WORKS
};

struct fleet_leader {
	struct daemon *d;
	struct group *g;
	struct instances *list;
	struct routing *routing;
	struct preset preset;
	uint64_t preset_version;
	GHashTable *peers;	 /* conn -> struct fleet_peer */
	uint64_t entries;	 /* number of peers that are entries */
	uint64_t entries_behind; /* entries behind routing_sent */
	GHashTable *eps;	 /* addr -> struct fleet_ep */
	GHashTable
		*demands; /* "service\nmodel\nversion" -> struct fleet_demand */
	uint64_t fence;	  /* term of this leadership */
	uint64_t round;	  /* newest round; each set of snapshots has its own */
	uint64_t step_round; /* newest round of a step; sent with changes */
	uint64_t steps;	     /* number of the newest step */
	int64_t since_ms;    /* start of this leadership */
	int64_t plan_ms, push_ms, load_push_ms; /* when each was last done */
	int64_t plan_took_ms, push_took_ms;	/* duration of the last one */
	bool list_received;
	bool dirty;		 /* changes wait to be sent to entries */
	bool urgent;		 /* the pause before planning is shortened */
	bool loads_pending;	 /* load changes wait for the next load push */
	int64_t routing_read_ms; /* when the version in force was read */
	uint64_t routing_sent;	 /* routing version in force */
	uint64_t routing_everywhere; /* version that all entries follow */
	struct send_window window;   /* of snapshots in flight */
	struct fleet_store store;
	double store_tokens;	/* loads from the store that may start now */
	int64_t store_ms;	/* when store_tokens was last refilled */
	int64_t remote_sent_ms; /* when members were last sent the engines whose
				 * agents they run */
	int64_t remote_assigned_ms; /* when engines were last assigned */
	struct suspects *suspects;
	/* Quarantines in the replicated log: struct quarantine_log_item, by
	 * their fingerprints. */
	GHashTable *quarantine_log;
	uint64_t suspects_logged;     /* mark up to which they were proposed */
	uint64_t quarantines_version; /* of the state, when last compared */
	uint64_t *n_suspects, *n_quarantined, *n_quarantined_parts; /* gauges */
	uint64_t *n_steps, *n_store, *n_disk, *n_memory, *n_failed;
	struct hist *load_hist;
	struct stream_log *streams; /* not owned; outlives the leadership */
	GHashTable *streams_sent;   /* member -> mark of what was sent to it */
	int64_t streams_sent_ms, streams_expired_ms;
	uint64_t *n_streams, *n_stream_requests;
	uint64_t streams_logged; /* mark of what was proposed to the log */
	bool streams_pending;	 /* a proposal isn't applied yet */
	int64_t streams_proposed_ms, versions_checked_ms;
	void *quota_allocator;	 /* of grants from customers' limits */
	void *limit_allocator;	 /* of grants from endpoints' own limits */
	int64_t quota_pruned_ms; /* when both were last pruned */
	uint64_t *n_quota_requests, *n_limit_requests;
	uint64_t *n_work[FLEET_WORKS];
	uint64_t work_logged[FLEET_WORKS]; /* counts at the last log line */
	int64_t work_ms;
};

static inline int64_t fleet_leader_now(const struct fleet_leader *l)
{
	return ss_clock_now(&l->d->clock);
}

static inline void fleet_work_add(struct fleet_leader *l, enum fleet_work w,
				  uint64_t n)
{
	*l->n_work[w] += n;
}

/* fleet_work.c */
void fleet_work_begin(struct fleet_leader *l);
void fleet_work_tick(struct fleet_leader *l, int64_t now);

/* fleet_table.c */
/* Returns the endpoint at an address; adds it where there is none. */
struct fleet_ep *fleet_ep_for(struct fleet_leader *l, const char *addr);
void fleet_ep_free(void *ep);
/* Sets the connection of the endpoint's agent; NULL: none. */
void fleet_ep_set_conn(struct fleet_leader *l, struct fleet_ep *ep,
		       struct conn *c);
/* Adds an entry's running calls at the endpoint, which has none of that entry
 * yet. */
void fleet_ep_add_calls(struct fleet_ep *ep, struct fleet_peer *p,
			const struct wire_list *models);
/* Removes an entry's calls at all endpoints. */
void fleet_drop_calls(struct fleet_leader *l, struct fleet_peer *p);
uint32_t fleet_ep_calls(const struct fleet_ep *ep, const char *model);

/* Adds or removes an entry that waits for a model. */
void fleet_demand_add_entry(struct fleet_demand *w, struct fleet_peer *p,
			    const struct entry_wait *wait);
void fleet_demand_drop_entry(struct fleet_leader *l, struct fleet_demand *w,
			     struct fleet_peer *p);
/* Removes an entry from all models that it waits for. */
void fleet_drop_waits(struct fleet_leader *l, struct fleet_peer *p);

struct fleet_peer *fleet_peer_new(struct conn *c);
void fleet_peer_free(void *peer);

/* Returns a model's demand; adds it where there is none. An empty version
 * stands for all versions. */
struct fleet_demand *fleet_demand_for(struct fleet_leader *l,
				      const char *service, const char *model,
				      const char *version);
/* True if entries may send the endpoint new calls. */
bool fleet_ep_usable(const struct fleet_leader *l, const struct fleet_ep *ep);
/* True while the endpoint is draining for good. */
bool fleet_ep_is_draining(const struct fleet_leader *l,
			  const struct fleet_ep *ep);
/* True while the endpoint's list item can't be parsed, but its agent still
 * reports the endpoint. */
bool fleet_ep_suspended(const struct fleet_leader *l,
			const struct fleet_ep *ep);
/* True while the endpoint's own signals, a low limit or a backoff, make it
 * unfit to hold more models. */
bool fleet_ep_throttled(const struct fleet_leader *l,
			const struct fleet_ep *ep);
/* True while the last report of the endpoint's agent is fresh. */
bool fleet_ep_reported(const struct fleet_leader *l, const struct fleet_ep *ep);
void fleet_demand_free(void *demand);
/* Returns the fencing token that the owner of an engine puts on its orders. It
 * increases with each owner and with each leader. */
uint64_t fleet_ep_fence(const struct fleet_leader *l,
			const struct fleet_ep *ep);

/* fleet_peers.c */
void fleet_peer_open(struct fleet_leader *l, struct conn *c);
void fleet_peer_closed(struct fleet_leader *l, struct conn *c);
/* Returns the engine that the peer is the agent of; NULL: none. */
struct fleet_ep *fleet_peer_engine(const struct fleet_peer *p);
void fleet_send_term(struct fleet_leader *l, struct fleet_peer *p);
/* Sends the routing version in force to all peers that don't have it. */
void fleet_send_routing(struct fleet_leader *l);
/* Records the routing version that an entry reports to follow. */
void fleet_peer_set_routing(struct fleet_leader *l, struct fleet_peer *p,
			    uint64_t version);

/* fleet_reports.c */
void fleet_apply_agent_report(struct fleet_leader *l, struct conn *c,
			      const struct msg_endpoint *m);
void fleet_apply_entry_report(struct fleet_leader *l, struct conn *c,
			      const struct msg_demand *m);
/* Drops reports of waiting requests that entries haven't repeated in time. */
void fleet_expire_demand(struct fleet_leader *l, int64_t now);

/* fleet_listed.c */
void fleet_apply_list(struct fleet_leader *l, struct fleet_list *all);
/* Applies a reported incarnation to an endpoint, and drops the state of an
 * earlier one that no longer holds. */
enum fleet_relation
fleet_ep_set_incarnation(struct fleet_leader *l, struct fleet_ep *ep,
			 const struct fleet_incarnation *reported);

/* fleet_unreadable.c */
/* Handle an endpoint whose list item can't be parsed, can be parsed, or is
 * missing from the list. */
void fleet_ep_unreadable(struct fleet_leader *l, struct fleet_ep *ep,
			 int64_t now);
void fleet_ep_readable(struct fleet_leader *l, struct fleet_ep *ep,
		       int64_t now);
void fleet_ep_unlisted(struct fleet_leader *l, struct fleet_ep *ep,
		       const struct fleet_list *all, int64_t now);

/* fleet_steps.c */
void fleet_steps_plan(struct fleet_leader *l, int64_t now);
/* Sends each step once the models that it unloads have no more calls, or a
 * timeout has passed; abandons lost steps. */
void fleet_steps_run(struct fleet_leader *l, int64_t now);
void fleet_steps_done(struct fleet_leader *l, struct fleet_ep *ep,
		      const struct msg_loaded *m);
/* True while a step is to unload the model, which gets no new calls. */
bool fleet_step_unloads(const struct fleet_ep *ep, const char *model);
void fleet_step_clear(struct fleet_ep *ep);
/* Abandons the step that was planned for an engine's earlier incarnation. */
void fleet_step_restarted(struct fleet_leader *l, struct fleet_ep *ep);

/* fleet_remote.c */
void fleet_remote_tick(struct fleet_leader *l, int64_t now);

/* fleet_quarantine_log.c: quarantines in the replicated log */
void fleet_quarantine_log_begin(struct fleet_leader *l);
void fleet_quarantine_log_end(struct fleet_leader *l);
/* Proposes the quarantines that have changed. */
void fleet_quarantine_log_tick(struct fleet_leader *l, int64_t now);
/* Proposes one quarantine as it is, with the trial run that may be open; then
 * calls done, unless the leadership was lost. ok: it is in the log. */
void fleet_quarantine_log_put(
	struct fleet_leader *l, const struct fingerprint *fp,
	void (*done)(struct fleet_leader *l, void *arg, bool ok), void *arg);
/* Lifts the quarantines that operators have deleted. */
void fleet_quarantine_log_applied(struct fleet_leader *l);

/* fleet_suspects.c: what endpoints crash under */
void fleet_suspects_begin(struct fleet_leader *l);
/* Handle an entry's outcomes of runs, and its request for a trial run. */
void fleet_suspects_apply(struct fleet_leader *l,
			  const struct msg_run_outcomes *m);
void fleet_suspects_request(struct fleet_leader *l, struct conn *c,
			    const struct msg_trial *m);
void fleet_suspects_end(struct fleet_leader *l);
/* Sends entries the suspects that they don't have yet. */
void fleet_suspects_tick(struct fleet_leader *l, int64_t now);
void fleet_suspects_status(const struct fleet_leader *l, json_object *o);

/* fleet_quota.c */
void fleet_quota_begin(struct fleet_leader *l);
void fleet_quota_end(struct fleet_leader *l);
/* Handles an entry's requests for grants of customers' limits; replies. */
void fleet_quota_request(struct fleet_leader *l, struct conn *c,
			 const struct msg_quota_request *m);
/* Does the same for endpoints' own limits. */
void fleet_limit_request(struct fleet_leader *l, struct conn *c,
			 const struct msg_quota_request *m);
/* Handles a closed connection, which is still in the table of peers. */
void fleet_quota_client_lost(struct fleet_leader *l, const struct conn *c);
void fleet_quota_tick(struct fleet_leader *l, int64_t now);
void fleet_quota_status(struct fleet_leader *l, json_object *o);

/* fleet_streams.c: the versions that began streams */
void fleet_streams_begin(struct fleet_leader *l, struct stream_log *log);
void fleet_streams_end(struct fleet_leader *l);
/* Records that an endpoint serves its version. */
void fleet_streams_add_version(struct fleet_leader *l,
			       const struct fleet_ep *ep);
/* Handle the streams that an entry reports, and its requests for a stream's
 * version. */
void fleet_streams_apply(struct fleet_leader *l, const struct msg_streams *m);
void fleet_streams_request(struct fleet_leader *l, struct conn *c,
			   const struct msg_stream_request *m);
void fleet_streams_tick(struct fleet_leader *l, int64_t now);

/* fleet_streams_log.c: versions and streams in the replicated log */
void fleet_streams_log_begin(struct fleet_leader *l);
/* Proposes the versions and streams that have changed. */
void fleet_streams_log_tick(struct fleet_leader *l, int64_t now);

/* fleet_push.c */
/* Sends a snapshot of the fleet to the entries that have none. */
void fleet_push_snapshots(struct fleet_leader *l);
/* Update the send window after an entry has acknowledged a round, and after its
 * snapshot in flight is lost or has timed out. */
void fleet_push_acked(struct fleet_leader *l, struct fleet_peer *p);
void fleet_push_lost(struct fleet_leader *l, struct fleet_peer *p);
void fleet_push_tick(struct fleet_leader *l, int64_t now);
/* Sends the changes to all other entries; loads: also endpoints of which only
 * the load or the adapters changed. */
void fleet_push_changes(struct fleet_leader *l, bool loads);

#endif
