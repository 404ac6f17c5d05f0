/* The gate's own tables; only for the files of that part. */
#ifndef SS_GATE_INT_H
#define SS_GATE_INT_H

#include <sapphireshift/limit.h>
#include <sapphireshift/queue.h>

#include "../core/admission.h"
#include "../core/balance.h"
#include "../core/end_log.h"
#include "../core/endpoint_limit.h"
#include "../core/failing.h"
#include "../core/fleet.h"
#include "../core/freshness.h"
#include "../core/pace.h"
#include "../core/retry_budget.h"
#include "../core/return_turns.h"
#include "../core/slow_pool.h"
#include "../core/speed.h"
#include "../core/start_limit.h"
#include "../core/suspects.h"
#include "callers.h"
#include "events.h"
#include "gate.h"
#include "upstream.h"

/* A model that an endpoint holds, open for calls. */
struct gate_held {
	char *model;
	GHashTable *adapters; /* set of names */
};

/* What an endpoint says of itself: it holds for one incarnation. */
struct gate_words {
	int64_t leaving_ms;	 /* since when; 0: it doesn't say so */
	int64_t leaving_told_ms; /* when the leader was told; 0: not yet */
	int64_t rest_until_ms;	 /* it wants nothing before; 0: it didn't ask */
	bool rest_told;		 /* to the leader */
	int64_t trial_ms; /* when one was sent after a rest; 0: none was */
	struct endpoint_limit limit;
	bool limit_owed;	/* the leader says something else, or nothing */
	int64_t limit_told_ms;	/* when it was told; 0: not yet */
	int64_t limit_heard_ms; /* in an answer here; 0: never */
	int64_t permit_ms;	/* none is to be had before then */
	double seat; /* permits that a request here waits for; 0: none does */
	int64_t seat_ms; /* when it was heard of last */
};

struct gate_ep {
	char *addr, *service, *domain, *agent;
	struct fleet_incarnation self;
	uint64_t life; /* this gate's own number of that incarnation */
	int64_t slots;
	bool known; /* listed, and not gone */
	bool leaving;
	bool ending;	   /* for good, and not only until it is back */
	int64_t unread_ms; /* since when its entry can't be read; 0: it can */
	bool busy; /* it loads or unloads a model: no adapter can be loaded */
	GHashTable *held;  /* model -> struct gate_held */
	GHashTable *calls; /* model -> GINT count of this gate's, under way */
	int64_t own;
	int64_t reported, since; /* as struct balance_node */
	int64_t reported_ms;
	double failing;		   /* by what this gate has seen */
	struct failing told;	   /* by what all have seen */
	uint64_t answered, failed; /* since the last report */
	struct ss_breaker breaker;
	int64_t shut_until_ms; /* no connection could be made */
	struct gate_words words;
	struct pace pace; /* of its streams, all models */
	struct start_limit start_limit;
	int64_t starts; /* this gate's prompts there without an event yet */
	int64_t start_logged_ms; /* a fall of the limit; 0: not yet */
	struct pace_open open;
	int64_t began_ms; /* this incarnation was first told of; 0: with all */
	struct speed speed;
	double own_ratio; /* of it, as looked at last; 0: not known */
	double ratio;	  /* the same, or as told */
	struct slow_seen slow_seen;
	struct slow_told slow_told;
	struct speed_rest slow_rest;
};

enum forward_state {
	FORWARD_QUOTA,	 /* waits for an allotment of its customer's */
	FORWARD_WAITS,	 /* in its lane, for an endpoint */
	FORWARD_LOOKS,	 /* for the version that began the stream it takes up */
	FORWARD_ASKS,	 /* the leader whether it may run as a trial */
	FORWARD_ADAPTER, /* an agent loads its adapter */
	FORWARD_SENT,	 /* no byte of an answer yet */
	FORWARD_ANSWERS, /* the answer comes in */
};

/* One caller's request. */
struct forward {
	struct ss_queue_item item; /* in its lane */
	struct gate *g;
	struct caller_call *caller;
	struct ss_str body;
	uint64_t routing; /* version that it came under */
	struct routing_route *route;
	struct routing_service *service;
	struct customer *customer; /* NULL: none is known, or needed */
	bool keyed;		   /* by the routing that it came under */
	double cost;		   /* against the customer's limit */
	int64_t charged_ms;	   /* when that was spent; -1: it isn't */
	int64_t quota_ms;	   /* that it waited for that */
	GQueue *quota_line;	   /* that it waits in; NULL: none */
	struct quota_rank rank;	   /* among its customer's requests */
	struct platform_call call; /* views into the caller's head */
	char *id, *model, *adapter;
	uint64_t affinity;
	bool has_print;
	struct fingerprint print; /* once it is asked for */
	bool trial;		  /* quarantined, and may run this once */
	bool trial_told;	  /* how that ended is told, or will be */
	int64_t start_ms, deadline_ms, objective_ms; /* on the clock */
	int64_t begin_by_ms; /* later its caller has left */
	enum forward_state state;
	struct lane *home; /* the lane that it waits in when it waits */
	/* Of its service's streams; of a plain request: of its route. */
	struct pace *pace;
	struct lane *lane;	  /* NULL: it doesn't wait */
	enum admission_turn turn; /* by which it was sent last */
	/* Sends. */
	GPtrArray *tried; /* struct fleet_incarnation, that it was sent to */
	unsigned int sends, asks;
	const char *held_for; /* what it waited for when last tried, for a log
				 line; NULL: nothing */
	char *ep_addr, *ep_id;
	char *version;	  /* of the endpoint it was sent to last; NULL: none */
	uint64_t ep_life; /* of ep_addr, when it took its place there */
	/*
	 * The version that its stream began at, once its caller has an event of
	 * it: it goes on there or nowhere. Empty: not told yet, so only that
	 * incarnation will do. NULL: nothing has begun.
	 */
	char *began_version, *began_addr;
	uint64_t began_life;
	uint64_t
		taken_up; /* key of the stream that it takes up; 0: not named */
	int64_t look_ms, asked_ms; /* when it looked for that first, and last */
	int64_t heard_ms; /* when the leader last said that it may yet know */
	int64_t lost_ms;  /* when its endpoint is known to be gone; 0: it isn't
			   */
	uint64_t ticket;
	bool starting;	   /* it counts among its endpoint's starts */
	bool start_waited; /* for engines to read other prompts */
	int64_t lane_ms;   /* when it came into its lane */
	int64_t sent_ms;
	/* Its time, as gate_speed.c compares it, when it was last counted as
	 * slow while under way; 0: it wasn't. */
	double seen_ms;
	double limit_per_s;   /* of its endpoint when it was sent; -1: none */
	double permits;	      /* taken for its endpoint, and not used yet */
	int64_t retry_ms;     /* when it took a retry that isn't used yet; 0: it
				 has none */
	int64_t open_ms;      /* no endpoint admits it before; 0: nobody says */
	int64_t waited_ms;    /* until it was first sent; -1: not yet */
	int64_t first_ms;     /* until the answer began; -1: not yet */
	int64_t stop_left_ms; /* of a planned stop when sent; -1: none */
	/* How long its answer was thought to take, as asked last; SS_NEVER: it
	 * wasn't asked, or couldn't be told. */
	int64_t expected_ms;
	struct upstream_call *up;
	bool unknown; /* an earlier send may have run */
	const char *why;
	int64_t back_ms; /* until it may return, as told; 0: not told */
	/* The answer. */
	int status;
	bool is_events, started;
	bool paused; /* no more is read of it until the caller has caught up */
	GString *headers; /* to be passed on */
	GString *held;	  /* bytes kept back until the answer is sure */
	int64_t length;
	struct events events;
	struct pace_mark mark; /* of this send; zeroed: no event yet */
	/* Its newest event, and the longest time between two that came. */
	uint64_t event;
	int64_t event_ms, pause_ms;
	bool slowed; /* since that event its caller has held it up */
};

/* Metrics of one customer; of all that came after the first hundreds. */
struct customer_counts {
	uint64_t *requests, *spent, *over;
};

/* Requests for one model of a service that wait; with a version, those that go
 * on with what it began. */
struct lane {
	char *service, *model, *version;
	struct ss_queue *waits; /* struct forward */
	int64_t eta_ms;		/* on the clock; SS_NEVER: not told */
	uint64_t arrivals;	/* since the last report */
	struct fleet_rate rate; /* of arrivals here */
	uint64_t told;		/* waiting, by the last report */
	bool changed;
	int64_t starts_ms;	 /* since when requests wait for engines to read
				    other prompts; 0: they don't */
	int64_t starts_first_ms; /* that a first event will take there */
	struct pace pace;	 /* of the model's streams */
	struct pace_open open;
	struct lane_group *group;
	GList link; /* in the group's list, while a request waits here */
	/* The last pump in which its first couldn't be sent; the same of one
	 * that went before it by time. */
	uint64_t passed, passed_by_time;
};

/* A stream that was sent to an incarnation whose version isn't told yet. */
struct unnamed_stream {
	uint64_t key, life;
	int64_t until_ms;
};

struct gate {
	struct gate_options o;
	struct callers *callers;
	struct upstream *upstream;
	struct routing *routing;
	uint64_t routing_version; /* of it, when it was last set */
	struct freshness freshness;
	GHashTable *eps;       /* addr -> struct gate_ep */
	GHashTable *lanes;     /* "service\nmodel\nversion" -> struct lane */
	GHashTable *groups;    /* service -> struct lane_group */
	GQueue groups_waiting; /* those in which a request waits */
	uint64_t pumps;	       /* of groups, until now */
	GHashTable *retries;   /* service -> struct service_retries */
	/* service -> struct pace, of its streams; "service\nroute" -> of
	 * plain answers: a slow route hides among a fast one's many. */
	GHashTable *paces;
	GHashTable *forwards;
	GHashTable *tickets; /* &ticket -> struct forward */
	GHashTable *hists;   /* route name -> struct hist */
	uint64_t seed, ticket, round, fence, lives;
	GArray *early;	    /* requests from before it knew where they lead */
	GPtrArray *endings; /* struct ending */
	struct suspects *suspects;
	struct end_log end_log;
	uint64_t recall; /* mark of the suspects that the leader knows of */
	struct stream_log *streams; /* begun here, and versions seen here */
	GArray *unnamed;	    /* struct unnamed_stream */
	uint64_t streams_told, streams_sent; /* marks */
	struct return_turns *turns;	     /* of those who are refused */
	uint64_t *n_turns_given, *n_turns_beyond;
	int64_t since_ms; /* of this process's start */
	uint64_t
		entries; /* that share the slack of retries, the most told of */
	bool fleet_known;
	bool pumping;	/* a request that ends meanwhile pumps no more */
	int64_t end_ms; /* of a planned stop; 0: none */
	int64_t tidy_ms;
	uint64_t report_print; /* of the last report */
	struct gate_speeds *speeds;
	void *quota;		 /* the entry's side of customers' limits */
	void *limits;		 /* and of endpoints' own */
	int64_t seats_ms;	 /* when seats were last looked through */
	GHashTable *quota_lines; /* customer -> struct quota_line */
	guint quota_waiting;	 /* in all of them */
	GHashTable *counts;	 /* customer -> struct customer_counts */
	uint64_t *n_requests, *n_ok, *n_refused, *n_failed, *n_gone, *n_retries,
		*n_retries_refused, *n_waiting, *n_adapters, *n_bad, *n_cut,
		*n_no_room, *n_held, *n_unread, *n_ended, *n_quarantined,
		*n_taken_up, *n_taken_up_refused, *n_over_quota, *n_limited,
		*n_rests, *n_sent_resting, *n_sent_leaving, *n_raised,
		*n_examined, *n_waiting_by[SS_QUEUE_PRIORITIES], *n_start_waits,
		*n_start_cuts;
	struct hist *start_limits; /* in force at prompts that were sent */
	/* By class; NULL: none yet. */
	uint64_t *n_class_spent[QUOTA_CLASSES], *n_class_over[QUOTA_CLASSES];
};

static inline int64_t gate_now(const struct gate *g)
{
	return ss_clock_now(g->o.clock);
}

/* gate_endpoints.c */
struct gate_ep *gate_ep_at(const struct gate *g, const char *addr);
/* Where the request has its place; NULL where that incarnation is over. */
struct gate_ep *gate_ep_of(const struct forward *f);
bool gate_ep_has_adapter(const struct gate_ep *ep, const char *model,
			 const char *adapter);
void gate_ep_add_adapter(struct gate_ep *ep, const char *model,
			 const char *adapter);
/* It said that it doesn't hold a model, or not an adapter of it. */
void gate_ep_lacks(struct gate_ep *ep, const char *model, const char *adapter);
void gate_ep_begin(struct gate_ep *ep, const char *model);
void gate_ep_end(struct gate_ep *ep, const char *model);
void gate_ep_note(struct gate *g, struct gate_ep *ep, bool failed);
void gate_ep_load(struct gate *g, struct gate_ep *ep,
		  const struct platform_answer *a);
void gate_ep_free(void *ep);

/* gate_choose.c */
/* The endpoint for a request, with the permits that it needs there, or NULL
 * with the reason. */
struct gate_ep *gate_choose(struct gate *g, struct forward *f,
			    enum balance_none *none);

/* Calls that an endpoint may have there, in multiples of its slots. */
double gate_fill(const struct forward *f);

/* gate_speed.c: how slow endpoints are beside each other */
struct gate_speeds *gate_speeds_new(struct metrics *m);
void gate_speeds_free(struct gate_speeds *x);
/* The first event or the plain answer has come, and isn't in f->pace yet. */
void gate_speed_answered(struct forward *f);
/* It leaves its endpoint; counts where neither has come. */
void gate_speed_left(struct forward *f);
/* The leader's word, in thousandths; 0 says nothing. */
void gate_speed_told(struct gate *g, struct gate_ep *ep, int64_t ratio);
/* What its answers have shown since the last report, if others are to know;
 * false: nothing. */
bool gate_speed_report(struct gate *g, struct gate_ep *ep,
		       struct endpoint_ends *e);
/* Set what the nodes' speeds mean for the request; those that are too slow for
 * it, and rest, are no longer usable. eps: struct gate_ep of each. */
void gate_speed_weigh(struct forward *f, struct balance_node *n,
		      const GPtrArray *eps);

/* gate_words.c: what endpoints say of themselves */
/* What an answer says; what the leader says of a limit. */
void gate_words_heard(struct forward *f, struct gate_ep *ep,
		      const struct platform_answer *a);
void gate_limit_told(struct gate *g, struct gate_ep *ep, int64_t limit,
		     int64_t age);
/* Another incarnation is there. */
void gate_words_reset(struct gate *g, struct gate_ep *ep);
/* They hold though it is no longer listed. */
bool gate_words_hold(const struct gate *g, const struct gate_ep *ep);
/* A request is sent there. */
void gate_words_sent(struct gate *g, struct gate_ep *ep, int64_t now);
/* Whether it takes requests of this entry at all now, ... */
bool gate_words_admit(const struct gate *g, const struct gate_ep *ep);
/* ... and this one; the permits for it are taken. */
bool gate_limit_admits(struct forward *f, struct gate_ep *ep);
/* It isn't sent there after all. */
void gate_limit_unused(struct forward *f, struct gate_ep *ep);
/* Add what the leader is to be told, as struct endpoint_word. */
void gate_words_report(struct gate *g, struct gate_ep *ep, GArray *words);
void gate_limits_tick(struct gate *g, int64_t now);

/* gate_starts.c: prompts that engines read for this entry */
/* Another incarnation is there: it has no limit, and reads none. */
void gate_starts_reset(struct gate_ep *ep);
/* It takes its place there: a stream's prompt counts until its first event. */
void gate_start_begin(struct forward *f, struct gate_ep *ep);
/* Its first event came, or it leaves; any number of times. */
void gate_start_done(struct forward *f);
/* The first event came so long after it was sent. */
void gate_start_first(struct forward *f, int64_t ms);
/* The engine let so long pass between two events of one send. */
void gate_start_pause(struct forward *f, int64_t ms);
/* Whether the engine may read its prompt beside those that it reads. */
bool gate_start_admits(const struct forward *f, const struct gate_ep *ep);
/* No engine that has room may read its prompt; first_ms: what a first event
 * takes there. True where it waits; else it is to be sent all the same. */
bool gate_start_waits(struct forward *f, int64_t first_ms);
/* It isn't sent now for this reason. Where it is the first of its lane and the
 * reason isn't a start limit, the lane no longer waits for one. */
void gate_start_held(struct forward *f, enum balance_none none);
/* Its lane waits for start limits, and its own time to do so is over. */
bool gate_start_wait_over(const struct forward *f, int64_t now);

/* early.c */
GArray *early_new(void);
/* Keep a request that came before it is known where it leads; false where
 * nothing more is waited for, and it is to be refused. */
bool early_hold(struct gate *g, struct caller_call *c, struct ss_str body,
		int64_t came_ms);
/* The same until a time on the clock, of a process that may be behind. */
bool early_hold_until(struct gate *g, struct caller_call *c, struct ss_str body,
		      int64_t came_ms, int64_t until_ms);
/* Its caller has left. */
void early_gone(struct gate *g, const struct caller_call *c);
/* Begin them anew: they are taken, held further or refused. */
void early_tick(struct gate *g);

/* endings.c: requests under which an endpoint has ended */
/* The endpoint has closed the connection before its answer was whole. */
void endings_note(struct forward *f);
void endings_tick(struct gate *g, int64_t now);
void ending_free(void *ending);

/* quarantine.c: requests that endpoints ended under too often */
const struct fingerprint *forward_print(struct forward *f);
/* An endpoint has ended under it; life tells its incarnation. */
void quarantine_end(struct gate *g, const struct fingerprint *print,
		    uint64_t life);
/* Its answer is whole. */
void quarantine_answered(struct forward *f);
/*
 * True where it isn't to be sent now: it was refused, or the leader is asked. f
 * may be freed.
 */
bool quarantine_stops(struct forward *f);
/* It is being freed: tell how its trial ended. */
void quarantine_leave(struct forward *f);
void quarantine_ask_tick(struct forward *f, int64_t now);
void quarantine_tick(struct gate *g, int64_t now);

/* begin.c */
/* A request that came at a time on the clock. */
void forward_begin(struct gate *g, struct caller_call *c, struct ss_str body,
		   int64_t came_ms);
/* What it is for is one of this service's. */
void forward_set_service(struct forward *f, struct routing_service *s);
/* Where it waits for an endpoint, or goes there at once. */
void forward_enter_lane(struct forward *f);

/* gate_quota.c: customers' limits */
/* A customer's requests that wait for allotments. */
void quota_line_free(void *line);
struct customer_counts *gate_customer_counts(struct gate *g, const char *name);
/* Its customer has a limit. */
bool quota_limits(const struct forward *f);
/* It waits for an allotment, has gone on to its lane, or is refused and freed.
 */
void quota_begin(struct forward *f);
/* It is being freed: it waits no longer for an allotment. */
void forward_leave_quota(struct forward *f);
/* It ends without having run. */
void forward_refund(struct forward *f);
/* Try those that wait for allotments. */
void quota_tick(struct gate *g);

/* forward.c */
/* The request that brought the first event of the stream that it takes up, for
 * a log line. */
struct ss_str forward_resumes(const struct forward *f);
/* 0 is first. */
int64_t forward_priority(const struct forward *f);
/* Its customer's name; empty: it has none. */
const char *forward_customer(const struct forward *f);
void forward_gone(struct forward *f);
/* Try to send a request that waits; false where it goes on waiting. */
bool forward_try(struct forward *f);
/* Of one that waits: it is refused if it isn't sent by then, on the clock. */
int64_t forward_latest_ms(const struct forward *f);
void forward_tick(struct forward *f, int64_t now);
void forward_adapter(struct forward *f, int64_t code, struct ss_str text);
/* The process ends: answer what can be said. */
void forward_give_up(struct forward *f);

/* Of a lane: the version that began its streams isn't told yet. */
#define GO_ON_UNNAMED "?"

/* go_on.c: at which endpoints a stream that has begun may go on */
/* It is sent there: for whoever takes it up. */
void go_on_note(struct forward *f, const struct gate_ep *ep);
/* What is known of an endpoint's version before it may change; after. */
void go_on_seen(struct gate *g, const struct gate_ep *ep);
void go_on_named(struct gate *g, const struct gate_ep *ep);
/*
 * True where it takes a stream up, and it isn't known yet which version began
 * that: it looks for that, or was refused and freed.
 */
bool go_on_looks(struct forward *f);
/* Where it waits. */
struct lane *go_on_lane(struct forward *f);
void go_on_tick(struct forward *f, int64_t now);
void go_on_tidy(struct gate *g, int64_t now);
/* The first event of its answer is about to go out. */
void go_on_begins(struct forward *f);
bool go_on_fits(const struct forward *f, const struct gate_ep *ep);
/* It waits, and nobody who might go on with it is left. */
bool go_on_hopeless(struct forward *f);

/* times.c: how long requests take here, and what that lets begin */
/* Events of the answer, its end, or our leaving before it, have come. */
void times_note_events(struct forward *f);
void times_note_end(struct forward *f);
void times_note_left(struct forward *f);
/* In a planned stop: see how long what was sent has been waited for. */
void times_look_at_open(struct gate *g, int64_t now);
/* Time that an answer takes at least until it begins, once sent. */
int64_t times_first_ms(const struct forward *f);
/* True for a request that isn't begun and whose answer would be cut by the end
 * of a planned stop. ep: where it would go; NULL: not chosen yet. */
bool times_stop_cuts(struct forward *f, const struct gate_ep *ep);

/* turns.c: when those who are refused are to return, in ms from now, at random
 * within the spread; the least is for one alone */
/* Its model, or plain service, is full or absent. */
int64_t turns_model_ms(struct forward *f, int64_t least_ms, int64_t spread_ms);
/* Its customer's limit is reached. */
int64_t turns_quota_ms(struct forward *f, int64_t least_ms, int64_t spread_ms);
/* It is sent for the first time. */
void turns_served(struct forward *f);

/* answer.c */
extern const struct upstream_ops forward_upstream_ops;
/* The caller has read all that was written: read on. */
void forward_drained(struct forward *f);

/* Shared by begin.c, forward.c and answer.c. */
/* Into its lane. */
void forward_wait(struct forward *f);
/* This process ends before the answer would. */
void forward_refuse_for_stop(struct forward *f);
enum forward_outcome { FORWARD_NOT_RUN, FORWARD_UNKNOWN };
/* End with an answer of our own; f is freed. */
void forward_refuse(struct forward *f, int status, const char *type,
		    const char *why, int64_t retry_after_ms);
/* The send came to nothing: send again, wait, or end. f may be freed. */
void forward_again(struct forward *f, bool not_run, const char *why);
/* The answer is out, whole or cut; f is freed. */
void forward_end(struct forward *f, bool whole, const char *why);
/* No connection was made: it counts as never sent. f may be freed. */
void forward_not_sent(struct forward *f);
/* Leave the endpoint: it doesn't work on this any more. */
void forward_leave(struct forward *f);

/* lanes.c */
struct lane *gate_lane(struct gate *g, const char *service, const char *model);
/* version: empty for those who may go to any. */
struct lane *gate_lane_of(struct gate *g, const char *service,
			  const char *model, const char *version);
void lane_add(struct lane *l, struct forward *f);
/* It is sent: its customer's turn. */
void lane_take(struct forward *f);
void lane_remove(struct forward *f);
/* The next to be sent; NULL: nobody waits. */
struct forward *lane_next(const struct lane *l, int64_t now);
/* Send what can be sent of the lanes of a service. */
void gate_pump(struct gate *g, const char *service);
/* By which rule it was sent, for a log line. */
const char *lane_turn(const struct forward *f);
void lanes_init(struct gate *g);
void lanes_clear(struct gate *g);

/* gate.c */
struct pace *gate_pace(struct gate *g, const struct forward *f);

/* gate_retries.c */
/* So many entries there are, as the leader knows. */
void gate_note_entries(struct gate *g, uint64_t entries);
/* A request has come: it allows for retries of its service's requests. */
void forward_count_request(struct forward *f);
/* It has been sent before; false where it may not be sent again now. */
bool forward_take_retry(struct forward *f);
/* The retry that it has taken isn't used after all; nothing without one. */
void forward_return_retry(struct forward *f);

#endif
