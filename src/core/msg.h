/* Messages between the processes of the system, as plain structs. */
#ifndef SS_MSG_H
#define SS_MSG_H

#include <sapphireshift/raft.h>

#include "../base/wire.h"
#include "../customer/quota.h"

enum msg_kind {
	MSG_HELLO = 1, /* first on a connection, in both directions */
	MSG_PING,      /* keepalive on an idle connection */
	MSG_RAFT,      /* control to control */
	MSG_JOIN,   /* control VM to a member: join request, or planned stop */
	MSG_JOINED, /* reply to MSG_JOIN */
	MSG_LEADER, /* control to others: the current leader */
	MSG_REGISTER,	/* agent to leader: the endpoint and what it holds */
	MSG_ASSIGN,	/* leader to agent: replicas that it is to hold */
	MSG_REPORT,	/* agent to leader: replicas that it holds, and load */
	MSG_CONFIG,	/* leader to entry and agent: the preset in force */
	MSG_ACK,	/* reply to MSG_CONFIG: that version is applied */
	MSG_WATCH,	/* entry to leader: callers that wait for a model */
	MSG_ROUTE,	/* leader to entry: replicas of a model */
	MSG_CLAIM,	/* entry to leader: asks to run a call at most once */
	MSG_CLAIMED,	/* reply to MSG_CLAIM */
	MSG_MODELS,	/* entry to leader: asks for the model names */
	MSG_MODEL_LIST, /* reply to MSG_MODELS */
	MSG_CALL,	/* entry to agent: runs a request */
	MSG_REPLY,	/* agent to entry: a piece of the reply */
	MSG_CANCEL,	/* entry to agent: the caller has gone */
	MSG_ATTACH,	/* entry to agent: asks for the rest of a reply */
	/* For a fleet whose endpoints are called directly: */
	MSG_ENDPOINT,	  /* agent to leader: state of its endpoint */
	MSG_LOAD,	  /* leader to agent: models to unload and load */
	MSG_LOADED,	  /* reply to MSG_LOAD, once the step has ended */
	MSG_FLEET,	  /* leader to entry: endpoints that changed */
	MSG_DEMAND,	  /* entry to leader: demand and calls in flight */
	MSG_ROUTING,	  /* reply to MSG_FETCH: the routing */
	MSG_ADAPTER,	  /* entry to agent: asks for an adapter */
	MSG_ADAPTER_DONE, /* reply to MSG_ADAPTER */
	MSG_TERM,	  /* leader to others: its term, once confirmed */
	MSG_FETCH,  /* to any control VM: routing versions held and wanted */
	MSG_REMOTE, /* leader to control: engines to run agents for */
	MSG_RUN_OUTCOMES, /* entry to leader: outcomes of suspected requests */
	MSG_QUARANTINE,	  /* leader to entry: requests that must not run */
	MSG_TRIAL, /* entry to leader: asks to run a suspected request; and the
		      reply */
	MSG_QUOTA_REQUEST,  /* entry to leader: grants that customers need */
	MSG_QUOTA_REPLY,    /* reply to MSG_QUOTA_REQUEST */
	MSG_LIMIT_REQUEST,  /* entry to leader: grants within the rate limits
			       of endpoints */
	MSG_LIMIT_REPLY,    /* reply to MSG_LIMIT_REQUEST */
	MSG_STREAMS,	    /* entry to leader and leader to members: origins of
			       streams */
	MSG_STREAM_REQUEST, /* entry to leader: asks which version began a
			       stream */
	MSG_STREAM_REPLY,   /* reply to MSG_STREAM_REQUEST */
	MSG_KINDS
};

/*
 * Kind of peer. A relay is a control VM without a disk: it has no vote and
 * learns the leader's address as an entry does. A reader is the connection on
 * which an entry or agent fetches the routing: it receives neither orders nor
 * the leader's address.
 */
enum role { ROLE_ENTRY = 1, ROLE_AGENT, ROLE_CONTROL, ROLE_RELAY, ROLE_READER };

struct msg_hello {
	uint64_t version; /* of the protocol */
	uint64_t group;	  /* 0: none known */
	int64_t role;	  /* enum role */
	struct ss_str name;
	struct ss_str domain;
	uint64_t incarnation; /* a new one on each start */
	uint64_t config;      /* version of the preset that it applies */
};

/* Sent by a control VM that is in no group or no longer a member, and by a
 * member that ends. */
struct msg_join {
	uint64_t id; /* of its data directory */
	struct ss_str name;
	struct ss_str addr;
	bool leaving; /* a planned stop has begun: nothing is joined */
};

struct msg_leader {
	uint64_t group;
	struct ss_str addr;	  /* empty: no leader known */
	bool from_leader;	  /* the sender is the leader */
	bool may_end;		  /* reply to a planned stop: it may exit */
	struct wire_list members; /* struct control_addr: the Raft group */
};

struct control_addr {
	struct ss_str addr;
};

struct msg_raft {
	int64_t kind;
	uint64_t from, to, term, index, log_term, commit, round;
	uint64_t offset, total;
	bool ok, transfer;
	struct wire_list entries; /* struct ss_raft_entry */
	struct ss_str members;	  /* encoded */
	struct ss_str data;
};

enum held_replica_state {
	HELD_LOADING = 1,
	HELD_READY,
	HELD_UNLOADING,
	HELD_FAILED, /* too many loads failed; nothing is in memory */
	HELD_GONE,   /* was to be unloaded and is no longer in memory */
};

/* A model in an endpoint's memory, or a replica as its agent reports it. */
struct held_replica {
	uint64_t replica; /* 0: loaded without an order */
	struct ss_str model;
	uint64_t bytes;
	int64_t state;	 /* enum held_replica_state */
	int64_t load_ms; /* duration of the load */
	uint64_t active; /* calls in flight */
	uint64_t served; /* calls since the start of the agent */
	int64_t idle_ms; /* since its last call ended, or since it was ready */
};

struct msg_register {
	struct ss_str name, pool, domain, addr;
	int64_t kind; /* enum node_kind */
	uint64_t incarnation;
	uint64_t bytes, slots;
	struct wire_list held;	 /* struct held_replica */
	struct wire_list cached; /* struct cached_checkpoint */
};

/* A copy of a checkpoint near the endpoint, and the tier that holds it. */
struct cached_checkpoint {
	struct ss_str model;
	int64_t tier; /* enum ss_tier */
};

/* Orders an agent to hold a replica, or to unload it. */
struct replica_order {
	uint64_t replica;
	struct ss_str model;
	struct ss_str base;
	uint64_t bytes;
	uint64_t slots;
	bool unload; /* after its calls have ended; then report HELD_GONE */
};

struct msg_assign {
	uint64_t fence; /* increases for each node; lower ones are refused */
	uint64_t incarnation;
	bool draining;
	struct wire_list orders; /* struct replica_order */
};

struct msg_report {
	uint64_t incarnation;
	uint64_t fence; /* of the newest orders accepted */
	uint64_t active;
	bool draining;		 /* accepts no new calls */
	struct wire_list held;	 /* struct held_replica */
	struct wire_list cached; /* struct cached_checkpoint; sent on change */
};

struct msg_config {
	uint64_t version;
	struct ss_str name;
	struct ss_str body;
};

struct msg_watch {
	struct ss_str model; /* or "/svc/" followed by a pool */
	uint64_t waiting;
	int64_t deadline_ms; /* until the earliest deadline */
	int64_t priority;    /* highest priority that waits */
	uint64_t arrivals;   /* since the last message */
	bool done;	     /* unsubscribes: no recent calls */
};

struct route_replica {
	uint64_t replica;
	struct ss_str node, addr, domain;
	uint64_t incarnation;
	uint64_t slots;
	int64_t age_ms; /* since it became ready */
};

struct msg_route {
	struct ss_str model;  /* name in the request */
	struct ss_str target; /* name at the agents */
	int64_t code;	      /* 0, or an enum ss_error: no such model */
	int64_t eta_ms;	      /* until a replica is ready; -1: unknown */
	uint64_t version;
	struct wire_list replicas; /* struct route_replica */
};

struct msg_claim {
	uint64_t sub; /* echoed */
	struct ss_str key;
	uint64_t fingerprint;
	uint64_t entry, seq;
	uint64_t dead_entry, dead_seq; /* as in struct command */
	struct ss_str node;
	uint64_t incarnation;
};

struct msg_claimed {
	uint64_t sub;
	int64_t code; /* 0: run it; SS_ERROR_CONFLICT: held by the call below */
	struct ss_str text;
	uint64_t entry, seq;
	struct ss_str node, addr;
	uint64_t incarnation;
};

struct msg_models {
	uint64_t sub;
};

struct model_name {
	struct ss_str name;
	struct ss_str base;
};

struct msg_model_list {
	uint64_t sub;
	struct wire_list models; /* struct model_name */
};

struct header {
	struct ss_str name, value;
};

struct msg_call {
	uint64_t sub;	      /* the entry's handle, echoed in replies */
	uint64_t entry, seq;  /* the call's id, never reused */
	uint64_t incarnation; /* of the agent that may run it */
	struct ss_str model;
	struct ss_str method, path;
	struct wire_list headers; /* struct header */
	struct ss_str body;
	int64_t deadline_ms; /* remaining when sent */
	int64_t priority;
	bool once; /* must not run twice */
};

enum outcome { OUTCOME_RAN, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN };

struct msg_reply {
	uint64_t sub;
	uint64_t seq;	/* of this piece, from 0 */
	int64_t status; /* HTTP status, on piece 0 */
	struct wire_list headers;
	struct ss_str data;
	bool end;	 /* the reply is complete, or failed with code */
	int64_t code;	 /* enum ss_error */
	int64_t outcome; /* enum outcome; set with code */
	struct ss_str text;
	uint64_t active; /* calls in flight on the replica, for balancing */
};

struct msg_cancel {
	uint64_t sub;
};

struct msg_attach {
	uint64_t sub;
	uint64_t entry, seq;
	uint64_t incarnation;
	uint64_t have; /* number of pieces received */
};

/* An item of a list of names. */
struct name_item {
	struct ss_str name;
};

/* A model in an engine's accelerator memory. */
struct held_model {
	struct ss_str model;
	struct wire_list adapters; /* struct name_item */
	int64_t calls;		   /* in flight; entry to leader only */
};

struct msg_endpoint {
	struct ss_str addr;  /* of the endpoint */
	struct ss_str agent; /* address of the agent's listener */
	bool reachable;
	bool busy, draining;
	int64_t remaining_ms; /* until the VM is taken away; 0: unknown */
	uint64_t orders;      /* number accepted since its start */
	int64_t running, waiting;
	int64_t tokens_used, tokens_total;
	struct wire_list held;	    /* struct held_model */
	struct wire_list in_memory; /* struct name_item */
	struct wire_list on_disk;   /* struct name_item */
	int64_t started_ms;	    /* as in struct fleet_incarnation */
	bool remote;		    /* its agent runs on a control VM */
	struct ss_str id;	    /* of the incarnation; empty: unknown */
	/* The rate limit in its latest answer to the agent and the age of that,
	 * as in struct endpoint_signals; 0: none. */
	int64_t limit, limit_age;
};

/* One step of an endpoint's plan: unload first, then load. */
struct msg_load {
	uint64_t fence;		 /* of the leadership; only increases */
	uint64_t step;		 /* echoed */
	struct wire_list unload; /* struct name_item */
	struct ss_str load;	 /* empty: no load */
	int64_t started_ms; /* start of the incarnation that the step is for */
};

struct msg_loaded {
	uint64_t fence, step;
	int64_t code; /* 0, or an enum ss_error */
	struct ss_str text;
	int64_t took_ms; /* duration since the first order */
};

struct fleet_endpoint {
	struct ss_str addr, id, service, domain;
	struct ss_str agent; /* empty: unknown */
	int64_t slots;
	bool unusable; /* accepts no new calls, perhaps only for a time */
	bool gone;     /* no longer listed */
	int64_t running, waiting;
	int64_t tokens_used, tokens_total;
	struct wire_list held; /* struct held_model that accept new calls */
	int64_t age_ms;	       /* of the load figures */
	bool busy; /* loads or unloads a model: can't load an adapter */
	int64_t started_ms; /* as in struct fleet_incarnation */
	/* Failure rate over all entries, in parts of FAILURE_RATE_SCALE. */
	int64_t failure_rate;
	/* The endpoint's rate limit and the age of its signal, as of
	 * endpoint_limit_wire() and endpoint_limit_wire_age(). */
	int64_t limit, limit_age;
	struct ss_str version; /* as in struct fleet_incarnation */
	bool draining;	       /* about to stop for good */
	/* Slowness over all entries, in parts of SLOWNESS_SCALE. */
	int64_t slowness;
};

struct fleet_eta {
	struct ss_str service, model;
	int64_t eta_ms;	       /* until it can be called; -1: unknown */
	struct ss_str version; /* for streams begun by it; empty: for all */
};

/* An endpoint of which only the load has changed. */
struct fleet_load {
	struct ss_str addr;
	int64_t running, waiting;
	int64_t tokens_used, tokens_total;
	int64_t age_ms;
	int64_t failure_rate, slowness; /* as in struct fleet_endpoint */
};

struct msg_fleet {
	uint64_t fence;
	uint64_t round;		    /* echoed in the next MSG_DEMAND */
	bool full;		    /* endpoints not listed no longer exist */
	struct wire_list endpoints; /* struct fleet_endpoint */
	struct wire_list etas;	    /* struct fleet_eta */
	uint64_t entries;	    /* number connected to the leader */
	struct wire_list loads;	    /* struct fleet_load */
};

struct model_demand {
	struct ss_str service, model;
	uint64_t arrivals; /* since the last message */
	uint64_t waiting;
	int64_t slack_ms;      /* until the first waiting call must start */
	struct ss_str version; /* as in struct fleet_eta */
};

struct endpoint_calls {
	struct ss_str addr;
	struct wire_list models; /* struct held_model */
	int64_t started_ms;	 /* start of the incarnation that runs them */
};

/*
 * Results of an endpoint's calls since the last message. Counts are sent only
 * if some calls failed, durations only if the endpoint is slower or faster than
 * the others of its service.
 */
struct endpoint_results {
	struct ss_str addr;
	int64_t started_ms; /* as in struct endpoint_calls */
	uint64_t failed, answered;
	int64_t slowness_ln;	 /* sum as of slowness_observed_sum() */
	uint64_t slowness_count; /* answers in that sum */
};

/* Signals from an endpoint's answers. */
struct endpoint_signals {
	struct ss_str addr, id;
	int64_t started_ms;	  /* as in struct endpoint_calls */
	int64_t limit, limit_age; /* as in struct fleet_endpoint */
	int64_t backoff_ms;	  /* remaining backoff that it asked for */
	bool draining;		  /* it is about to stop */
};

struct msg_demand {
	uint64_t round;		  /* of the newest MSG_FLEET applied */
	uint64_t routing;	  /* version applied */
	struct wire_list models;  /* struct model_demand that changed */
	struct wire_list calls;	  /* struct endpoint_calls: all */
	struct wire_list results; /* struct endpoint_results */
	struct wire_list signals; /* struct endpoint_signals */
};

/* Routing versions that the sender holds (0: none) and wants (0: none, the
 * message only acknowledges). */
struct msg_fetch {
	uint64_t have, want;
	/* Wants no routes; the versions are those of the services. */
	bool services;
};

struct routing_bytes {
	struct ss_str packed; /* struct document_change, packed */
};

/* Reply to MSG_FETCH, once the control VM holds the wanted version. A reply
 * without changes announces that they follow once other peers are served. */
struct msg_routing {
	uint64_t version;
	uint64_t base; /* version that the changes apply to; 0: full copy */
	struct wire_list changes; /* struct routing_bytes, in order */
};

/* States that a majority has confirmed this leadership since the connection was
 * opened. */
struct msg_term {
	uint64_t fence;
	uint64_t routing; /* current version */
};

/* All engines without an agent of their own that this control VM serves. */
struct msg_remote {
	uint64_t fence;		  /* of the leadership */
	struct wire_list engines; /* struct name_item: addresses */
};

struct msg_adapter {
	uint64_t sub;		/* echoed */
	struct ss_str endpoint; /* address of the engine */
	struct ss_str model, adapter;
	int64_t wait_ms;
};

struct msg_adapter_done {
	uint64_t sub;
	int64_t code; /* 0: loaded */
	struct ss_str text;
};

/* An outcome that an entry reports of a suspect, as struct run_outcome; ages in
 * ms when it is sent. */
struct run_outcome_item {
	uint64_t fingerprint_hi, fingerprint_lo;
	int64_t kind; /* enum run_outcome_kind */
	uint64_t incarnation_hash;
	int64_t age_ms;
	int64_t began_age_ms; /* of the run's start */
	/* With a crash: age of the start of the newest run that the entry knows
	 * was answered, plus 1; 0: none. */
	int64_t answered_age_ms;
	uint64_t count; /* of OUTCOME_REFUSED: requests since the last report */
};

/* State of a suspect, as struct suspect_state. */
struct suspect_item {
	uint64_t fingerprint_hi, fingerprint_lo;
	bool cleared;
	int64_t remaining_ms;
	uint64_t failed_trials;
};

struct msg_run_outcomes {
	struct wire_list outcomes; /* struct run_outcome_item */
	struct wire_list suspects; /* struct suspect_item, for a new leader */
};

struct msg_quarantine {
	uint64_t fence;		   /* of the leadership */
	struct wire_list suspects; /* struct suspect_item that changed */
};

struct msg_trial {
	uint64_t sub; /* echoed */
	uint64_t fingerprint_hi, fingerprint_lo;
	int64_t admission; /* in the reply: enum suspect_admission */
	int64_t wait_ms;   /* with SUSPECT_WAIT: until the next request */
};

struct msg_quota_request {
	struct wire_list requests; /* struct quota_request */
};

struct msg_quota_reply {
	struct wire_list replies; /* struct quota_reply */
};

/* Streams begun by one version of a service; without keys it only states that
 * the version serves. */
struct stream_group {
	struct ss_str service, version;
	int64_t ttl_ms;	    /* remaining time to live */
	struct ss_str keys; /* as of stream_key(), eight bytes each */
};

struct msg_streams {
	struct wire_list groups; /* struct stream_group */
};

struct msg_stream_request {
	uint64_t sub; /* echoed */
	uint64_t key; /* 0: the caller doesn't name the stream */
	struct ss_str service;
};

enum stream_reply {
	STREAM_KNOWN = 1,    /* begun by the version in the reply */
	STREAM_SOLE_VERSION, /* not recorded; only one version has served */
	STREAM_PENDING,	     /* not recorded yet; a record may still arrive */
	STREAM_UNKNOWN,	     /* not recorded; several versions have served */
};

struct msg_stream_reply {
	uint64_t sub;
	int64_t result; /* enum stream_reply */
	struct ss_str service, version;
};

struct msg_ping {
	uint64_t active;
};

/* The wire table of a kind; NULL for an unknown kind. */
const struct wire_type *msg_type(enum msg_kind kind);

#endif
