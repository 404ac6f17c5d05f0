/* What the system's processes tell each other, as plain structs. */
#ifndef SS_MSG_H
#define SS_MSG_H

#include <sapphireshift/raft.h>

#include "../base/wire.h"
#include "../customer/quota.h"

enum msg_kind {
	MSG_HELLO = 1, /* first on a connection, both ways */
	MSG_PING,      /* nothing else was sent for a while */
	MSG_RAFT,      /* control to control */
	MSG_JOIN,      /* a control VM without a group asks to be taken in */
	MSG_JOINED,    /* its answer */
	MSG_LEADER,    /* control to others: who leads */
	MSG_REGISTER,  /* agent to leader: what this endpoint is and holds */
	MSG_ASSIGN,    /* leader to agent: what it is to hold */
	MSG_REPORT,    /* agent to leader: what it holds and does */
	MSG_CONFIG,    /* leader to entry and agent: the preset in force */
	MSG_ACK,       /* back: that version is in force here */
	MSG_WATCH,     /* entry to leader: who waits for a model */
	MSG_ROUTE,     /* leader to entry: where a model stands */
	MSG_CLAIM,     /* entry to leader: may this call run? */
	MSG_CLAIMED,   /* its answer */
	MSG_MODELS,    /* entry to leader: names of the models */
	MSG_MODEL_LIST,
	MSG_CALL,   /* entry to agent */
	MSG_REPLY,  /* agent to entry: a piece of the answer */
	MSG_CANCEL, /* entry to agent: nobody waits any more */
	MSG_ATTACH, /* entry to agent: what became of this call? */
	/* Of a fleet whose endpoints are called directly. */
	MSG_ENDPOINT,	  /* agent to leader: what its endpoint holds */
	MSG_LOAD,	  /* leader to agent: what to unload and load */
	MSG_LOADED,	  /* its answer, once that has ended */
	MSG_FLEET,	  /* leader to entry: endpoints that changed */
	MSG_DEMAND,	  /* entry to leader: what is asked for and runs */
	MSG_ROUTING,	  /* control to others: the routing, if fetched */
	MSG_ADAPTER,	  /* entry to agent: an adapter is needed */
	MSG_ADAPTER_DONE, /* its answer */
	MSG_TERM,	  /* leader to others: its term, once confirmed */
	MSG_FETCH,  /* others to any control VM: what they hold and want */
	MSG_REMOTE, /* leader to control: engines to run agents for */
	MSG_ENDS,   /* entry to leader: requests under which endpoints ended */
	MSG_QUARANTINE, /* leader to entry: requests that aren't to be run */
	MSG_TRIAL,	/* entry to leader: may this one run? and its answer */
	MSG_QUOTA_ASK,	/* entry to leader: what customers need there */
	MSG_QUOTA_WORD, /* its answer */
	MSG_LIMIT_ASK,	/* entry to leader: what endpoints' own limits allow */
	MSG_LIMIT_WORD, /* its answer */
	MSG_STREAMS, /* entry to leader, leader to members: what began streams
		      */
	MSG_STREAM_ASK,	 /* entry to leader: what began this one? */
	MSG_STREAM_WORD, /* its answer */
	MSG_KINDS
};

/* A relay is a control VM without a disk: it votes for nobody, and is told who
 * leads like an entry. A reader is the connection on which an entry or agent
 * fetches the routing: it is led and told of nothing. */
enum role { ROLE_ENTRY = 1, ROLE_AGENT, ROLE_CONTROL, ROLE_RELAY, ROLE_READER };

struct msg_hello {
	uint64_t version; /* of this protocol */
	uint64_t group;	  /* 0: doesn't know one */
	int64_t role;	  /* enum role */
	struct ss_str name;
	struct ss_str domain;
	uint64_t incarnation; /* a new one at each start */
	uint64_t config;      /* version of the preset in force here */
};

/* A control VM that looks for its group. */
struct msg_join {
	uint64_t id; /* of its data folder */
	struct ss_str name;
	struct ss_str addr;
};

struct msg_leader {
	uint64_t group;
	struct ss_str addr;	  /* empty: nobody known */
	bool here;		  /* it is the sender */
	struct wire_list members; /* struct control_addr, all that count */
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

enum held_state {
	HELD_LOADING = 1,
	HELD_READY,
	HELD_UNLOADING,
	HELD_FAILED, /* loads failed; nothing is held */
	HELD_GONE,   /* it was to go, and the endpoint no longer has it */
};

/* A model in an endpoint's memory, or a replica as its agent sees it. */
struct held {
	uint64_t replica; /* 0: nobody decided it */
	struct ss_str model;
	uint64_t bytes;
	int64_t state;	 /* enum held_state */
	int64_t load_ms; /* how long the load took */
	uint64_t active; /* calls on it */
	uint64_t served; /* calls since the agent started */
	int64_t idle_ms; /* since the last call ended, or since ready */
};

struct msg_register {
	struct ss_str name, pool, domain, addr;
	int64_t kind; /* enum node_kind */
	uint64_t incarnation;
	uint64_t bytes, slots;
	struct wire_list held;	 /* struct held */
	struct wire_list cached; /* struct cached */
};

/* Where a checkpoint is near. */
struct cached {
	struct ss_str model;
	int64_t tier; /* enum ss_tier */
};

/* One replica that an agent is to hold. */
struct order {
	uint64_t replica;
	struct ss_str model;
	struct ss_str base;
	uint64_t bytes;
	uint64_t slots;
	bool unload; /* finish its calls, unload it, report it gone */
};

struct msg_assign {
	uint64_t fence; /* only grows for a node; old ones are refused */
	uint64_t incarnation;
	bool draining;
	struct wire_list orders; /* struct order */
};

struct msg_report {
	uint64_t incarnation;
	uint64_t fence; /* newest it took */
	uint64_t active;
	bool draining;		 /* takes no new calls */
	struct wire_list held;	 /* struct held */
	struct wire_list cached; /* struct cached, where it changed */
};

struct msg_config {
	uint64_t version;
	struct ss_str name;
	struct ss_str body;
};

struct msg_watch {
	struct ss_str model; /* or "/svc/" and a pool */
	uint64_t waiting;
	int64_t deadline_ms; /* left to the earliest deadline */
	int64_t priority;    /* highest class that waits */
	uint64_t arrivals;   /* since the last watch */
	bool done;	     /* no calls lately: send no more changes */
};

struct route_replica {
	uint64_t replica;
	struct ss_str node, addr, domain;
	uint64_t incarnation;
	uint64_t slots;
	int64_t age_ms; /* since it was ready */
};

struct msg_route {
	struct ss_str model;  /* as it was asked for */
	struct ss_str target; /* the name that its agents know */
	int64_t code;	      /* 0, or an enum ss_error: no such model */
	int64_t eta_ms;	      /* until a replica stands; -1: unknown */
	uint64_t version;
	struct wire_list replicas; /* struct route_replica */
};

struct msg_claim {
	uint64_t sub; /* echoed */
	struct ss_str key;
	uint64_t fingerprint;
	uint64_t entry, seq;
	uint64_t dead_entry, dead_seq;
	struct ss_str node;
	uint64_t incarnation;
};

struct msg_claimed {
	uint64_t sub;
	int64_t code; /* 0: run it; SS_ERROR_CONFLICT: it is this one's */
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
	uint64_t entry, seq;  /* the call's id, unique for ever */
	uint64_t incarnation; /* of the agent that may run it */
	struct ss_str model;
	struct ss_str method, path;
	struct wire_list headers; /* struct header */
	struct ss_str body;
	int64_t deadline_ms; /* left when sent */
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
	bool end;	 /* the answer is whole, or code says why not */
	int64_t code;	 /* enum ss_error */
	int64_t outcome; /* enum outcome, with code */
	struct ss_str text;
	uint64_t active; /* calls on the replica, for choosing */
};

struct msg_cancel {
	uint64_t sub;
};

struct msg_attach {
	uint64_t sub;
	uint64_t entry, seq;
	uint64_t incarnation;
	uint64_t have; /* pieces that arrived already */
};

/* A name in a list. */
struct name_item {
	struct ss_str name;
};

/* A model in an engine's accelerator memory. */
struct held_model {
	struct ss_str model;
	struct wire_list adapters; /* struct name_item */
	int64_t calls;		   /* entry to leader only: under way */
};

struct msg_endpoint {
	struct ss_str addr;  /* of the endpoint */
	struct ss_str agent; /* of the sender's listener */
	bool reachable;
	bool busy, leaving;
	int64_t remaining_ms; /* until it is taken away; 0: not told */
	uint64_t orders;
	int64_t running, waiting;
	int64_t tokens_used, tokens_total;
	struct wire_list held;	    /* struct held_model */
	struct wire_list in_memory; /* struct name_item */
	struct wire_list on_disk;   /* struct name_item */
	int64_t started_ms;	    /* as in struct fleet_incarnation */
	bool remote;		    /* a control VM speaks for it */
	struct ss_str id;	    /* of the incarnation; empty: not known */
};

/* One step of a plan for an endpoint: first unload, then load. */
struct msg_load {
	uint64_t fence;		 /* of the leadership; only grows */
	uint64_t step;		 /* echoed */
	struct wire_list unload; /* struct name_item */
	struct ss_str load;	 /* empty: nothing */
	int64_t started_ms;	 /* of the incarnation it is planned for */
};

struct msg_loaded {
	uint64_t fence, step;
	int64_t code; /* 0, or an enum ss_error */
	struct ss_str text;
	int64_t took_ms; /* from the first order on */
};

struct fleet_endpoint {
	struct ss_str addr, id, service, domain;
	struct ss_str agent; /* empty: none is known */
	int64_t slots;
	bool leaving, gone;
	int64_t running, waiting;
	int64_t tokens_used, tokens_total;
	struct wire_list held; /* struct held_model, open for new calls */
	int64_t age_ms;	       /* of its load */
	bool busy;	    /* it loads or unloads: no adapter can be loaded */
	int64_t started_ms; /* as in struct fleet_incarnation */
	int64_t failing;    /* by what all entries see, as in failing.h */
	int64_t limit, limit_age; /* as in endpoint_limit.h */
	struct ss_str version;	  /* as in struct fleet_incarnation */
	bool ending;  /* it leaves for good, and not only until it is back */
	int64_t slow; /* by what all entries see, as in slow_pool.h */
};

struct fleet_eta {
	struct ss_str service, model;
	int64_t eta_ms;	       /* until it can be called; -1: nobody can tell */
	struct ss_str version; /* for streams that it began; empty: for all */
};

/* Of an endpoint whose load alone has changed. */
struct fleet_load {
	struct ss_str addr;
	int64_t running, waiting;
	int64_t tokens_used, tokens_total;
	int64_t age_ms;
	int64_t failing; /* as in struct fleet_endpoint */
	int64_t slow;	 /* the same */
};

struct msg_fleet {
	uint64_t fence;
	uint64_t round;		    /* confirmed by the next demand */
	bool whole;		    /* what isn't listed doesn't exist */
	struct wire_list endpoints; /* struct fleet_endpoint */
	struct wire_list etas;	    /* struct fleet_eta */
	uint64_t entries;	    /* that the leader hears */
	struct wire_list loads;	    /* struct fleet_load */
};

struct model_demand {
	struct ss_str service, model;
	uint64_t arrivals; /* since the last message */
	uint64_t waiting;
	int64_t slack_ms;      /* to the earliest time that one must be begun */
	struct ss_str version; /* as in struct fleet_eta */
};

struct endpoint_calls {
	struct ss_str addr;
	struct wire_list models; /* struct held_model */
	int64_t started_ms;	 /* of the incarnation that runs them */
};

/* How calls ended at an endpoint since the last message: told of those that
 * fail some; and how long they took, told of those that are slower or faster
 * than others. */
struct endpoint_ends {
	struct ss_str addr;
	int64_t started_ms; /* as in struct endpoint_calls */
	uint64_t failed, answered;
	int64_t slow_ln; /* sum, as in slow_pool.h, of so many answers */
	uint64_t slow_n;
};

/* What an endpoint has said of itself in its answers. */
struct endpoint_word {
	struct ss_str addr, id;
	int64_t started_ms;	  /* as in struct endpoint_calls */
	int64_t limit, limit_age; /* as in endpoint_limit.h */
	int64_t rest_ms; /* left of the rest that it asked an entry for */
	bool leaving;	 /* it is about to end */
};

struct msg_demand {
	uint64_t round;		 /* of the newest fleet message in force here */
	uint64_t routing;	 /* version in force here */
	struct wire_list models; /* struct model_demand, what changed */
	struct wire_list calls;	 /* struct endpoint_calls, all */
	struct wire_list ends;	 /* struct endpoint_ends */
	struct wire_list words;	 /* struct endpoint_word */
};

/* Versions of the routing that the sender holds (0: none) and wants. Where it
 * wants none, it only acknowledges. */
struct msg_fetch {
	uint64_t have, want;
	bool services; /* wants no routes; versions are those of services */
};

struct routing_bytes {
	struct ss_str packed; /* a document's change */
};

/* The answer, once the control VM holds the version that is wanted. Without
 * changes it says that these will come, after others'. */
struct msg_routing {
	uint64_t version;
	uint64_t base;		  /* version that they begin at; 0: whole */
	struct wire_list changes; /* struct routing_bytes, in order */
};

/* A majority has confirmed this leadership since the connection came. */
struct msg_term {
	uint64_t fence;
	uint64_t routing; /* version in force */
};

/* All engines that have no agent beside them and are this control VM's. */
struct msg_remote {
	uint64_t fence;		  /* of the leadership */
	struct wire_list engines; /* struct name_item: their addresses */
};

struct msg_adapter {
	uint64_t sub;		/* echoed */
	struct ss_str endpoint; /* address of the engine */
	struct ss_str model, adapter;
	int64_t wait_ms;
};

struct msg_adapter_done {
	uint64_t sub;
	int64_t code; /* 0: it is loaded */
	struct ss_str text;
};

/* One thing that an entry has seen, as struct end_seen. */
struct end_item {
	uint64_t print_hi, print_lo;
	int64_t kind; /* enum end_kind */
	uint64_t life;
	int64_t age_ms;
};

/* What is told of a suspected request, as struct suspect_word. */
struct suspect_item {
	uint64_t print_hi, print_lo;
	bool cleared;
	int64_t left_ms;
	uint64_t trials;
};

struct msg_ends {
	struct wire_list ends;	   /* struct end_item */
	struct wire_list recalled; /* struct suspect_item; to a new leader */
};

struct msg_quarantine {
	uint64_t fence;		/* of the leadership */
	struct wire_list words; /* struct suspect_item, what changed */
};

struct msg_trial {
	uint64_t sub; /* echoed */
	uint64_t print_hi, print_lo;
	int64_t leave;	 /* in the answer: enum suspect_leave */
	int64_t wait_ms; /* with SUSPECT_WAIT: before it can make sense */
};

struct msg_quota_ask {
	struct wire_list asks; /* struct quota_ask */
};

struct msg_quota_word {
	struct wire_list words; /* struct quota_word */
};

/* Streams that one version of a service began; without keys, that the version
 * serves. */
struct stream_group {
	struct ss_str service, version;
	int64_t life_ms;    /* that is left of it */
	struct ss_str keys; /* as in stream_log.h, eight bytes each */
};

struct msg_streams {
	struct wire_list groups; /* struct stream_group */
};

struct msg_stream_ask {
	uint64_t sub; /* echoed */
	uint64_t key; /* 0: its caller doesn't name it */
	struct ss_str service;
};

enum stream_word {
	STREAM_KNOWN = 1, /* it was begun there */
	STREAM_ONLY,	  /* nobody knows; no other version has served */
	STREAM_LATER,	  /* it may yet be told of */
	STREAM_UNKNOWN,	  /* nobody knows, and there were several */
};

struct msg_stream_word {
	uint64_t sub;
	int64_t word; /* enum stream_word */
	struct ss_str service, version;
};

struct msg_ping {
	uint64_t active;
};

/* The table of a kind; NULL for none. */
const struct wire_type *msg_type(enum msg_kind kind);

#endif
