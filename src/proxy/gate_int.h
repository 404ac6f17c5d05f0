/*
 * Internal state of the gate: endpoints, model queues and the requests being
 * forwarded. Only for the files of the gate.
 */
#ifndef SS_GATE_INT_H
#define SS_GATE_INT_H

#include <sapphireshift/limit.h>
#include <sapphireshift/queue.h>

#include "../core/admission.h"
#include "../core/answer_history.h"
#include "../core/balance.h"
#include "../core/crash_log.h"
#include "../core/endpoint_limit.h"
#include "../core/failure_rate.h"
#include "../core/fleet.h"
#include "../core/freshness.h"
#include "../core/prompt.h"
#include "../core/stream_timing.h"
#include "../core/retry_budget.h"
#include "../core/return_slots.h"
#include "../core/fleet_slowness.h"
#include "../core/speed.h"
#include "../core/start_limit.h"
#include "../core/suspects.h"
#include "callers.h"
#include "events.h"
#include "gate.h"
#include "upstream.h"

/* A model that is loaded on an endpoint and accepts requests. */
struct gate_model {
	char *model;
	GHashTable *adapters; /* set of names */
};

/* Signals that an endpoint states in its answers; valid for one incarnation. */
struct gate_signals {
	int64_t draining_ms;	      /* since when; 0: not draining */
	int64_t draining_reported_ms; /* reported to the leader; 0: no */
	int64_t backoff_until_ms;     /* 0: no backoff was requested */
	bool backoff_reported;	      /* to the leader */
	int64_t probe_ms; /* when the probe after a backoff was sent; 0: none */
	struct endpoint_limit limit;
	/* The limit that the leader knows is out of date or missing. */
	bool limit_unreported;
	int64_t limit_reported_ms; /* to the leader; 0: not yet */
	int64_t limit_received_ms; /* in an answer here; 0: never */
	int64_t next_grant_ms;	   /* no grant is available earlier */
	double reserved; /* grants reserved for a waiting request; 0: none */
	int64_t reserved_ms; /* when a request last confirmed it */
};

/* An endpoint, as this gate knows it. */
struct gate_ep {
	char *addr, *service, *domain, *agent;
	struct fleet_incarnation self;
	uint64_t incarnation_no; /* in this gate's own count */
	int64_t slots;
	bool known; /* listed and not gone */
	bool draining;
	bool removing;	       /* drains for removal, not for a restart */
	int64_t unreadable_ms; /* list item unreadable since; 0: readable */
	bool loading; /* or unloading a model; can't load an adapter then */
	GHashTable *models; /* model -> struct gate_model */
	GHashTable *calls;  /* model -> GINT count of this gate's open calls */
	int64_t own_calls;  /* open calls of this gate, all models */
	int64_t reported_calls, sent_since; /* as in struct balance_node */
	int64_t reported_ms;
	double failure_rate;			   /* seen by this gate */
	struct failure_rate reported_failure_rate; /* seen by all entries */
	uint64_t answered, failed;		   /* since the last report */
	struct ss_breaker breaker;
	int64_t unreachable_until_ms; /* no connects before, as one failed */
	struct gate_signals signals;
	struct stream_timing timing; /* timing of its streams, all models */
	struct start_limit start_limit;
	/* Prompts of this gate's streams there, until their first event. */
	int64_t open_prompts;
	int64_t start_logged_ms; /* last log line of a cut of it; 0: none */
	struct timing_pending pending_timing;
	/* When this incarnation was first reported; 0: before the fleet was
	 * known. */
	int64_t first_reported_ms;
	struct speed speed;
	double own_slowness; /* latest own slowness ratio; 0: not known */
	double slowness;     /* slowness ratio in use: own or reported */
	struct slowness_observed slowness_observed;
	struct slowness_received slowness_received;
	struct ejection ejection; /* ejection as an outlier */
};

/* In the order that a request passes them. */
enum forward_state {
	FORWARD_WAIT_QUOTA,    /* waits for a grant of its customer's limit */
	FORWARD_WAIT_ENDPOINT, /* waits in its model queue for an endpoint */
	FORWARD_WAIT_VERSION,  /* looks up the version of a stream to resume */
	FORWARD_WAIT_TRIAL,    /* waits for the leader to allow a trial run */
	FORWARD_WAIT_ADAPTER,  /* waits for an agent to load its adapter */
	FORWARD_SENT,	       /* sent; no byte of an answer yet */
	FORWARD_ANSWERING,     /* the answer arrives */
};

/* One caller's request. */
struct forward {
	struct ss_queue_item item; /* in its model queue; first member */
	struct gate *g;
	struct caller_call *caller;
	struct ss_str body;
	uint64_t routing_version; /* when it was accepted */
	struct routing_route *route;
	struct routing_service *service;
	struct customer *customer; /* NULL: unknown or not needed */
	bool keyed;		   /* that routing version has customer keys */
	double cost;		   /* against the customer's limit */
	int64_t charged_ms;	   /* when the cost was spent; -1: not spent */
	int64_t quota_waited_ms;   /* time spent waiting for a grant */
	GQueue *quota_queue;	   /* queue for a grant; NULL: none */
	struct quota_rank rank;	   /* among its customer's requests */
	struct platform_call call; /* views into the caller's head */
	char *id, *model, *adapter;
	uint64_t affinity;
	bool has_fingerprint;
	struct fingerprint fingerprint;	      /* computed on first use */
	struct fingerprint trial_fingerprint; /* of the suspect on trial */
	bool trial_run;	     /* quarantined, and allowed one trial run */
	bool trial_reported; /* its result is reported or will be */
	int64_t start_ms, deadline_ms, objective_ms; /* on the clock */
	int64_t begin_by_ms; /* the caller is expected to leave after this */
	enum forward_state state;
	/* Model queue that it uses when it waits. */
	struct model_queue *home_queue;
	/* Timing of a stream's service, or of a plain request's route. */
	struct stream_timing *timing;
	struct model_queue *queue;     /* NULL: not queued */
	enum admission_rule sent_rule; /* of the last send */
	/* Sends. */
	GPtrArray *tried; /* struct fleet_incarnation of endpoints tried */
	unsigned int sends;
	unsigned int adapter_requests; /* sent to agents */
	/* Why the last try to send failed, for a log line; NULL: no reason. */
	const char *blocked_by;
	char *ep_addr, *ep_id;
	char *version;		    /* of the endpoint tried last; NULL: none */
	uint64_t ep_incarnation_no; /* at ep_addr when it was sent */
	/*
	 * Version that began the stream, once the caller has an event of it:
	 * the stream can be resumed only there. Empty: the version isn't known
	 * yet, so only that incarnation will do. NULL: nothing has begun.
	 */
	char *began_version, *began_addr;
	uint64_t began_incarnation_no;
	uint64_t resumed_key; /* key of the stream it resumes; 0: not named */
	/* First and latest lookup of the version of the stream it resumes. */
	int64_t lookup_first_ms, lookup_last_ms;
	/* Latest reply of a leader that may still learn that version. */
	int64_t leader_reply_ms;
	/* When a request whose endpoint is gone is retried, if it may be; 0:
	 * its endpoint isn't gone. */
	int64_t lost_ms;
	uint64_t ticket;   /* key of an agent's or the leader's pending reply */
	bool prompt_open;  /* counts among its endpoint's open prompts */
	bool start_waited; /* has waited for a start limit */
	int64_t queued_ms; /* when it entered its model queue */
	int64_t sent_ms;
	/* Response time, as gate_speed.c compares it, when the pending request
	 * was last counted as slow; 0: never. */
	double slow_counted_ms;
	double limit_per_s;	/* of its endpoint when sent; -1: none */
	double grants;		/* grants taken for its endpoint, unused */
	int64_t retry_taken_ms; /* of an unused retry; 0: none */
	int64_t admit_ms;	/* earliest at any endpoint; 0: not known */
	int64_t waited_ms;	/* until it was first sent; -1: not yet */
	int64_t first_ms;	/* until the answer began; -1: not yet */
	int64_t stop_left_ms;	/* of a planned stop when sent; -1: none */
	/* Latest estimate of how long its answer takes; SS_NEVER: no estimate,
	 * or none possible. */
	int64_t expected_ms;
	struct upstream_call *up;
	bool may_have_run;	/* an earlier send may have run */
	const char *why;	/* reason of its end, for a log line */
	int64_t retry_after_ms; /* retry delay given to the caller; 0: none */
	/* The answer. */
	int status;
	bool is_events, started;
	bool reading_paused; /* until the caller has caught up */
	GString *headers;    /* to be passed on */
	GString *withheld;   /* body bytes not passed on yet */
	size_t answer_bytes; /* of a plain answer's body so far */
	int64_t length;	     /* of the body, as the answer's head states it */
	struct events events;
	struct timing_mark event_mark; /* of this send; zeroed: no event yet */
	int64_t first_event_ms;	       /* of this send; 0: no event yet */
	bool answer_proved; /* of this send: its endpoint withstands it */
	/* The newest event, and the longest time between two events. */
	uint64_t last_event;
	int64_t last_event_ms, longest_pause_ms;
	bool caller_delayed; /* since that event the caller read too slowly */
};

/* Metrics of a customer; customers beyond a limit share one set. */
struct customer_counts {
	uint64_t *requests, *spent, *over;
};

/* Queue of requests for one model of a service. With a version: requests that
 * resume streams which that version began. */
struct model_queue {
	char *service, *model, *version;
	struct ss_queue *waiting; /* struct forward */
	int64_t eta_ms;		  /* on the clock; SS_NEVER: not known */
	uint64_t arrivals;	  /* since the last report */
	struct fleet_rate rate;	  /* of arrivals at this gate */
	uint64_t reported;	  /* queue length in the last report */
	bool changed;
	/* Since when requests wait for a start limit; 0: none wait. */
	int64_t start_wait_ms;
	int64_t start_first_event_ms; /* estimated time to a first event */
	struct stream_timing timing;  /* of the model's streams */
	struct timing_pending pending_timing;
	struct model_queue_group *group;
	GList link; /* in the group's list, while a request waits here */
	/* Last dispatch round in which its head couldn't be sent; the same for
	 * a head that was tried out of order because of its deadline. */
	uint64_t blocked_round, time_blocked_round;
};

/* A stream sent to an incarnation whose version isn't known yet. */
struct unversioned_stream {
	uint64_t key, incarnation_no;
	int64_t until_ms;
};

/* The gate of one entry. */
struct gate {
	struct gate_options o;
	struct callers *callers;
	struct upstream *upstream;
	struct routing *routing;
	uint64_t routing_version; /* of the routing set last */
	struct freshness freshness;
	GHashTable *eps; /* addr -> struct gate_ep */
	/* "service\nmodel\nversion" -> struct model_queue */
	GHashTable *model_queues;
	GHashTable *groups;	 /* service -> struct model_queue_group */
	GQueue groups_waiting;	 /* groups in which a request waits */
	uint64_t dispatch_round; /* counts dispatches of groups */
	GHashTable *retries;	 /* service -> struct service_retries */
	/* service -> struct stream_timing of its streams; "service\nroute" ->
	 * of plain answers, as the many answers of a fast route would hide a
	 * slow one. */
	GHashTable *timings;
	GHashTable *forwards;	   /* set of struct forward */
	GHashTable *tickets;	   /* &ticket -> struct forward */
	GHashTable *latency_hists; /* route name -> struct hist */
	uint64_t seed;
	uint64_t ticket; /* last one given out */
	uint64_t round;	 /* of the newest leader's latest fleet message */
	uint64_t fence;	 /* of the newest leader that sent one */
	uint64_t last_incarnation_no;
	GArray *startup_hold;	 /* until routing and fleet are known */
	GPtrArray *crash_checks; /* struct crash_check: suspected crashes */
	struct suspects *suspects;
	struct crash_log crash_log;
	struct answer_history *answered_parts; /* of prompts */
	int64_t refused_reported_ms;
	uint64_t suspects_mark;	    /* up to which the leader knows them */
	struct stream_log *streams; /* begun here, and versions seen here */
	GArray *unversioned;	    /* struct unversioned_stream */
	/* Marks in it: up to which the leader knows the streams, and up to
	 * which the report in progress has them. */
	uint64_t streams_reported, streams_sent;
	struct return_slots *refused_slots;
	uint64_t *n_slots_given, *n_slots_beyond;
	int64_t since_ms; /* start of this process */
	/* While no leader is in contact: when this process read a complete list
	 * last, and since when it has done so without a gap; 0: not yet. */
	int64_t listed_ms, listed_since_ms;
	/* Largest reported number of entries, which share the slack of retries.
	 */
	uint64_t entries;
	bool fleet_known;
	/* While a dispatch runs, requests that end don't start another. */
	bool dispatching;
	int64_t stop_end_ms;  /* end of a planned stop; 0: none */
	int64_t tidy_ms;      /* last removal of expired state */
	uint64_t report_hash; /* of the last report */
	struct gate_speeds *speeds;
	void *quota_client;		/* of customers' limits */
	void *limit_client;		/* of endpoints' limits */
	int64_t reservations_ms;	/* last checked */
	GHashTable *quota_queues;	/* customer -> struct quota_queues */
	guint quota_waiting;		/* in all of them */
	GHashTable *counts_by_customer; /* customer -> struct customer_counts */
	uint64_t *n_requests, *n_ok, *n_refused, *n_failed, *n_callers_left,
		*n_retries, *n_retries_refused, *n_waiting, *n_adapters, *n_bad,
		*n_cut, *n_no_room, *n_held, *n_unread, *n_crashes,
		*n_quarantined, *n_resumed, *n_resume_refused, *n_over_quota,
		*n_limited, *n_backoffs, *n_sent_in_backoff, *n_sent_draining,
		*n_raised, *n_examined, *n_waiting_by[SS_QUEUE_PRIORITIES],
		*n_start_waits, *n_start_cuts;
	struct hist *start_limits; /* in force when a prompt was sent */
	/* By class; NULL: not created yet. */
	uint64_t *n_class_spent[QUOTA_CLASSES], *n_class_over[QUOTA_CLASSES];
};

static inline int64_t gate_now(const struct gate *g)
{
	return ss_clock_now(g->o.clock);
}

/* gate_endpoints.c */
struct gate_ep *gate_ep_at(const struct gate *g, const char *addr);
/* Returns true if this process has read the list itself, without a gap, for
 * that time until now. */
bool gate_has_followed_list(const struct gate *g, int64_t ms);
/* Endpoint that the request was sent to; NULL: that incarnation is over. */
struct gate_ep *gate_ep_of(const struct forward *f);
bool gate_ep_has_adapter(const struct gate_ep *ep, const char *model,
			 const char *adapter);
void gate_ep_add_adapter(struct gate_ep *ep, const char *model,
			 const char *adapter);
/* Removes a model that the endpoint reports as missing, or only an adapter of
 * it. */
void gate_ep_remove_model(struct gate_ep *ep, const char *model,
			  const char *adapter);
void gate_ep_begin_call(struct gate_ep *ep, const char *model);
void gate_ep_end_call(struct gate_ep *ep, const char *model);
/* Updates the failure rate and the breaker. */
void gate_ep_note_result(struct gate *g, struct gate_ep *ep, bool failed);
/* Takes the load that an answer reports. */
void gate_ep_update_load(struct gate *g, struct gate_ep *ep,
			 const struct platform_answer *a);
void gate_ep_free(void *ep);

/* gate_choose.c */
/* Chooses an endpoint and takes the grants that the request needs there; NULL
 * with the reason in none. */
struct gate_ep *gate_choose(struct gate *g, struct forward *f,
			    enum balance_refusal *none);

/* Calls that an endpoint of the request's service may have, in multiples of its
 * slots. */
double gate_fill_factor(const struct forward *f);

/* gate_speed.c: slowness of endpoints relative to each other */
struct gate_speeds *gate_speeds_new(struct metrics *m);
void gate_speeds_free(struct gate_speeds *x);
/* Called for the first event or a plain answer, before f->timing includes it.
 */
void gate_speed_answered(struct forward *f);
/* Records the age of a request that leaves its endpoint before
 * gate_speed_answered() was called for it. */
void gate_speed_abandoned(struct forward *f);
/* Takes a slowness ratio that the leader reported, in thousandths; 0: no
 * information. */
void gate_speed_received(struct gate *g, struct gate_ep *ep, int64_t ratio);
/* Adds the slowness seen since the last report if other entries need it;
 * false: nothing to add. */
bool gate_speed_report(struct gate *g, struct gate_ep *ep,
		       struct endpoint_results *e);
/* Sets the nodes' slowness for a request; ejected endpoints that are too slow
 * for it become unusable. eps: struct gate_ep of each node. */
void gate_speed_weigh(struct forward *f, struct balance_node *n,
		      const GPtrArray *eps);

/* gate_signals.c: signals that endpoints state in their answers */
/* Takes the signals of an answer; takes a limit that the leader reported. */
void gate_signals_received(struct forward *f, struct gate_ep *ep,
			   const struct platform_answer *a);
void gate_limit_received(struct gate *g, struct gate_ep *ep, int64_t limit,
			 int64_t age);
/* Clears the signals of an endpoint that has a new incarnation. */
void gate_signals_reset(struct gate *g, struct gate_ep *ep);
/* Whether signals stay in force though the endpoint is no longer listed. */
bool gate_signals_in_force(const struct gate *g, const struct gate_ep *ep);
/* Counts a request that is sent to the endpoint; the first after a backoff is a
 * probe. */
void gate_signals_on_send(struct gate *g, struct gate_ep *ep, int64_t now);
/* Whether the endpoint takes any requests of this entry now. */
bool gate_signals_admit(const struct gate *g, const struct gate_ep *ep);
/* Whether its limit admits this request; takes the grants if so. */
bool gate_limit_admits(struct forward *f, struct gate_ep *ep);
/* Returns the grants of a request that isn't sent after all. */
void gate_limit_release(struct forward *f, struct gate_ep *ep);
/* Adds signals to be reported to the leader, as struct endpoint_signals. */
void gate_signals_report(struct gate *g, struct gate_ep *ep, GArray *signals);
void gate_limits_tick(struct gate *g, int64_t now);

/* gate_starts.c: limits of prompts in flight on engines */
/* Clears the start limit and the count of prompts, for a new incarnation. */
void gate_starts_reset(struct gate_ep *ep);
/* Counts a stream's prompt at the endpoint until its first event. */
void gate_start_begin(struct forward *f, struct gate_ep *ep);
/* Ends that count, at the first event or when the request leaves; may be called
 * repeatedly. */
void gate_start_done(struct forward *f);
/* Takes the time from sending to the first event. */
void gate_start_first_event(struct forward *f, int64_t ms);
/* Takes the time between two events of one send. */
void gate_start_pause(struct forward *f, int64_t ms);
/* Whether the engine's start limit allows this prompt. */
bool gate_start_admits(const struct forward *f, const struct gate_ep *ep);
/* Whether the request waits, as every engine with room is at its start limit;
 * false: it is sent regardless. first_ms: expected time to a first event there.
 */
bool gate_start_waits(struct forward *f, int64_t first_ms);
/* Notes why the request isn't sent. If it heads its model queue and the reason
 * isn't a start limit, the queue no longer waits for one. */
void gate_start_blocked(struct forward *f, enum balance_refusal none);
/* Whether the request has waited long enough in a model queue that waits for
 * start limits. */
bool gate_start_wait_over(const struct forward *f, int64_t now);

/* startup_hold.c: requests held until the routing and the fleet are known */
GArray *startup_hold_new(void);
/* Holds a request until the routing and the fleet are known; false: no more
 * requests are held, and it is to be refused. */
bool startup_hold_request(struct gate *g, struct caller_call *c,
			  struct ss_str body, int64_t received_ms);
/* Holds a request until a time on the clock, for a process whose routing may be
 * out of date. */
bool startup_hold_until(struct gate *g, struct caller_call *c,
			struct ss_str body, int64_t received_ms,
			int64_t until_ms);
/* Drops the held request of a caller that has left. */
void startup_hold_drop(struct gate *g, const struct caller_call *c);
/* Begins held requests anew: they are accepted, held further or refused. */
void startup_hold_tick(struct gate *g);

/* crash_checks.c: detects endpoints that crashed while running requests */
/* Begins to check whether the endpoint crashed: it closed the connection before
 * its answer was complete. */
void crash_check_begin(struct forward *f);
void crash_checks_tick(struct gate *g, int64_t now);
void crash_check_free(void *p);

/* quarantine.c: requests, and parts of prompts, that endpoints crashed under
 * too often */
const struct fingerprint *forward_fingerprint(struct forward *f);
/* Records that an endpoint crashed while running a suspect, and the end of the
 * suspects of one crash. incarnation_hash: the same for that incarnation in all
 * processes; began_ms: start of the suspect's newest run there. */
void quarantine_note_crash(struct gate *g, const struct fingerprint *fp,
			   uint64_t incarnation_hash, int64_t began_ms);
void quarantine_end_crash(struct gate *g);
/* Records that the request's answer is complete. */
void quarantine_note_answer(struct forward *f);
/* Called for the events of a stream: one that goes on proves its prompt. */
void quarantine_note_events(struct forward *f);
/* Returns the start of a part's newest run that is known to be answered, in ms;
 * SS_NEVER: none, and this entry would know. */
int64_t quarantine_answered_ms(const struct gate *g,
			       const struct fingerprint *fp);
/* True: the request was refused and freed, as it can't even be tried yet. */
bool quarantine_refuses(struct forward *f);
/*
 * True: the request isn't to be sent now, as it was refused or the leader is
 * asked for a trial run. May free f.
 */
bool quarantine_blocks(struct forward *f);
/* Refuses the requests that a change of the suspects has quarantined, or asks
 * the leader for their trial runs. */
void quarantine_stop_requests(struct gate *g);
/* Reports the result of a trial run, before f is freed. */
void quarantine_end_trial(struct forward *f);
void quarantine_trial_tick(struct forward *f, int64_t now);
void quarantine_tick(struct gate *g, int64_t now);

/* begin.c */
/* Accepts a request that was received at a time on the clock. */
void forward_begin(struct gate *g, struct caller_call *c, struct ss_str body,
		   int64_t received_ms);
/* Binds the request to one of its route's services. */
void forward_set_service(struct forward *f, struct routing_service *s);
/* Sends the request, or queues it for an endpoint. */
void forward_queue_or_send(struct forward *f);

/* gate_quota.c: customers' limits */
/* Frees a customer's queues of requests that wait for grants. */
void quota_queues_free(void *queues);
struct customer_counts *gate_customer_counts(struct gate *g, const char *name);
/* Whether the request's customer has a limit. */
bool quota_applies(const struct forward *f);
/* Queues the request for a grant, passes it on to its model queue, or refuses
 * and frees it. */
void quota_begin(struct forward *f);
/* Removes the request from the queue for grants, before f is freed. */
void forward_leave_quota_queue(struct forward *f);
/* Returns the cost of a request that didn't run. */
void forward_refund(struct forward *f);
/* Retries the requests that wait for grants. */
void quota_tick(struct gate *g);

/* forward.c */
/* Id of the request that got the first event of the stream it resumes, for a
 * log line. */
struct ss_str forward_resumed_request(const struct forward *f);
/* Priority of the request; 0 is the most urgent. */
int64_t forward_priority(const struct forward *f);
/* Name of the request's customer; empty: none. */
const char *forward_customer(const struct forward *f);
void forward_caller_left(struct forward *f);
/* Tries to send a waiting request; false: it still waits. */
bool forward_try_send(struct forward *f);
/* Time on the clock after which a waiting request is refused. */
int64_t forward_latest_send_ms(const struct forward *f);
void forward_tick(struct forward *f, int64_t now);
void forward_adapter_reply(struct forward *f, int64_t code, struct ss_str text);
/* Ends the request with the process; answers the caller if that is still
 * possible. */
void forward_abort(struct forward *f);

/* Version of a model queue while the version that began its streams isn't
 * known. */
#define RESUME_UNVERSIONED "?"

/* resume.c: resuming streams at endpoints of the version that began them */
/* Records that a stream is sent to an endpoint, for requests that resume it. */
void resume_note_stream(struct forward *f, const struct gate_ep *ep);
/* Called before an endpoint's version may change, and after. */
void resume_note_version(struct gate *g, const struct gate_ep *ep);
void resume_version_known(struct gate *g, const struct gate_ep *ep);
/*
 * True if the request resumes a stream whose version isn't known yet: the
 * lookup has begun, or it was refused and freed.
 */
bool resume_lookup(struct forward *f);
/* Model queue in which the request waits. */
struct model_queue *resume_queue(struct forward *f);
void resume_tick(struct forward *f, int64_t now);
void resume_tidy(struct gate *g, int64_t now);
/* Called before the first event of the answer is passed on. */
void resume_note_begin(struct forward *f);
/* Whether the stream may be begun or resumed at the endpoint. */
bool resume_fits(const struct forward *f, const struct gate_ep *ep);
/* Whether the request waits and no endpoint is left that could resume it. */
bool resume_is_impossible(struct forward *f);

/* answer_times.c: how long requests take, and which may begin before a stop */
/* Called when events of the answer arrive, when it ends, and when the request
 * is abandoned before that. */
void times_note_events(struct forward *f);
void times_note_end(struct forward *f);
void times_note_aborted(struct forward *f);
/* In a planned stop: accounts for the time that sent requests have waited. */
void times_update_pending(struct gate *g, int64_t now);
/* Least time from sending until an answer begins. */
int64_t times_first_ms(const struct forward *f);
/* Whether the end of a planned stop would cut the answer of a request that
 * isn't begun. ep: where it would go; NULL: not chosen yet. */
bool times_stop_would_cut(struct forward *f, const struct gate_ep *ep);

/* retry_after.c: return slots of refused callers, as a delay in ms from now,
 * random within spread_ms; least_ms: for a single caller */
/* Returns the delay if the request's model, or plain service, is full or
 * absent. */
int64_t retry_after_model_ms(struct forward *f, int64_t least_ms,
			     int64_t spread_ms);
/* Returns the delay if the limit of the request's customer is reached. */
int64_t retry_after_quota_ms(struct forward *f, int64_t least_ms,
			     int64_t spread_ms);
/* Counts a request that is sent for the first time as served. */
void retry_after_served(struct forward *f);

/* answer.c */
extern const struct upstream_ops forward_upstream_ops;
/* Resumes reading the answer, as the caller has read all output. */
void forward_unpause(struct forward *f);

/* Shared by begin.c, forward.c and answer.c. */
/* Adds the request to its model queue. */
void forward_enqueue(struct forward *f);
/* Refuses a request whose answer would outlast this process. */
void forward_refuse_draining(struct forward *f);
enum forward_outcome { FORWARD_NOT_RUN, FORWARD_UNKNOWN };
/* Ends with an answer of the gate itself and frees f. */
void forward_refuse(struct forward *f, int status, const char *type,
		    const char *why, int64_t retry_after_ms);
/* Sends again, waits or ends after a failed send. May free f. */
void forward_retry(struct forward *f, bool not_run, const char *why);
/* Ends a request whose answer was passed on, complete or cut; frees f. */
void forward_end(struct forward *f, bool whole, const char *why);
/* Retries a send for which no connection was made; it counts neither as a send
 * nor as a retry. May free f. */
void forward_not_sent(struct forward *f);
/* Aborts what is pending for the request at its endpoint, an agent or the
 * leader; the endpoint no longer counts it. */
void forward_leave_endpoint(struct forward *f);

/* model_queues.c */
struct model_queue *gate_model_queue(struct gate *g, const char *service,
				     const char *model);
/* version: empty for requests that may go to any version. */
struct model_queue *gate_version_queue(struct gate *g, const char *service,
				       const char *model, const char *version);
void model_queue_add(struct model_queue *l, struct forward *f);
/* Removes a request that is sent, and counts that for its customer's share. */
void model_queue_take(struct forward *f);
void model_queue_remove(struct forward *f);
/* The next request to be sent; NULL: the queue is empty. */
struct forward *model_queue_next(const struct model_queue *l, int64_t now);
/* Sends what can be sent from a service's model queues; service NULL: from all.
 */
void gate_dispatch(struct gate *g, const char *service);
/* Name of the rule by which a request was sent, for a log line. */
const char *model_queue_rule(const struct forward *f);
void model_queues_init(struct gate *g);
void model_queues_clear(struct gate *g);

/* gate.c */
/* Returns the timing of the service for a stream, of the route for a plain
 * request. */
struct stream_timing *gate_timing(struct gate *g, const struct forward *f);

/* gate_retries.c */
/* Takes the number of entries that the leader reported. */
void gate_note_entries(struct gate *g, uint64_t entries);
/* Adds a new request to its service's retry budget. */
void forward_count_request(struct forward *f);
/* Takes a retry for a request sent before; false: it may not be sent again now.
 */
bool forward_take_retry(struct forward *f);
/* Returns an unused retry; no effect without one. */
void forward_return_retry(struct forward *f);

#endif
