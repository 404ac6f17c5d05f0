/*
 * The gate: the data path of an entry. It accepts callers' requests under the
 * routing in force, queues those that no endpoint can take yet, forwards each
 * to an endpoint directly and streams the answer back.
 */
#ifndef SS_GATE_H
#define SS_GATE_H

#include "../core/msg.h"
#include "../core/routing.h"
#include "../core/stream_wire.h"
#include "../base/metrics.h"
#include "platform_ops.h"

#include <event2/event.h>

struct gate;

struct gate_ops {
	/* Requests an adapter from an agent; false: it can't be reached. */
	bool (*request_adapter)(void *arg, const char *agent,
				const struct msg_adapter *m);
	/* Called when demand has changed; a report is due soon. */
	void (*demand_changed)(void *arg);
	/* Asks the leader to allow a trial run of a quarantined request; false:
	 * no leader is known. */
	bool (*request_trial)(void *arg, const struct msg_trial *m);
	/* Asks the leader which version began a stream; false as above. */
	bool (*request_stream)(void *arg, const struct msg_stream_request *m);
};

/*
 * Longest gap after which callers of a stream are expected to leave, also
 * before its first event: the maximum of a fixed time, a multiple of the
 * route's objective and a multiple of the pause that the route allows.
 */
struct gate_patience {
	int64_t ms, objectives, pauses;
};

struct gate_options {
	struct event_base *base;
	const struct ss_clock *clock;
	const struct platform_ops *platform;
	struct metrics *metrics;
	const char *addr;   /* listens for callers */
	const char *domain; /* failure domain of this entry */
	size_t memory;	    /* bytes for requests and answers; 0: unlimited */
	double retry_ratio;
	int64_t retry_window_ms, retry_slack;
	int64_t adapter_wait_ms; /* for an agent to load an adapter */
	struct gate_patience patience;
	/* How long customers' keys stay valid without contact to a leader; 0:
	 * forever. */
	int64_t keys_trust_ms;
	uint64_t seed;
	const struct gate_ops *ops;
	void *arg;
};

struct gate *gate_new(const struct gate_options *o, GError **error);
void gate_free(struct gate *g);
uint16_t gate_port(const struct gate *g);

/* Puts a routing in force unless its version is older or the same. The gate
 * takes a reference. */
void gate_set_routing(struct gate *g, struct routing *r);
uint64_t gate_routing_version(const struct gate *g);
/* Called when a confirmed leader has reported the version in force, and when
 * the leader was lost. The gate derives from these whether its routing may be
 * out of date. */
void gate_routing_version_received(struct gate *g, uint64_t version);
void gate_leader_lost(struct gate *g);
/* Whether its routing is so old that it refuses all requests. */
bool gate_is_stale(const struct gate *g);

/* Takes the leader's report on endpoints and models. */
void gate_fleet_received(struct gate *g, const struct msg_fleet *m);
/* Takes the list of endpoints itself, while no leader is in contact. May drop
 * items from the list. */
void gate_list_received(struct gate *g, struct fleet_list *list);
bool gate_knows_fleet(const struct gate *g);

void gate_adapter_done(struct gate *g, const struct msg_adapter_done *m);
/* Called when the connection to an agent is lost, and with it pending
 * replies. */
void gate_agent_lost(struct gate *g, const char *agent);

/* Report of demand and open calls. Filled by gate_report(); the caller sends it
 * and frees it with gate_report_done(). */
struct gate_report {
	struct msg_demand m;
	/* The report differs from the last one, or has arrivals, waiting
	 * requests, call results or signals. */
	bool must_send;
	GArray *models, *calls, *results, *signals;
	GPtrArray *call_lists;
};
void gate_report(struct gate *g, struct gate_report *r);
void gate_report_done(struct gate_report *r);

/* Requests on which endpoints crash, and their quarantine. */

/* Called when a new leader was found, which has no reports of this entry
 * yet. */
void gate_leader_found(struct gate *g);
void gate_quarantine_received(struct gate *g, const struct msg_quarantine *m);
void gate_trial_received(struct gate *g, const struct msg_trial *m);
/*
 * Crash reports that the leader doesn't have yet, a piece at a time; false:
 * there are none. gate_crash_report_done() frees the piece, and marks it as
 * reported if it was sent.
 */
struct gate_crash_report {
	struct msg_run_outcomes m;
	GArray *crashes, *recalled;
	size_t n_refused; /* items in crashes that aren't in the crash log */
	uint64_t recall;  /* mark up to which suspects are reported again */
};
bool gate_crash_report(struct gate *g, struct gate_crash_report *r);
void gate_crash_report_done(struct gate *g, struct gate_crash_report *r,
			    bool sent);

/* Streams begun here that the leader doesn't have yet; false: there are none.
 * Free it with gate_stream_report_done(). */
bool gate_stream_report(struct gate *g, struct stream_wire *w);
void gate_stream_report_done(struct gate *g, struct stream_wire *w, bool sent);
void gate_stream_reply_received(struct gate *g,
				const struct msg_stream_reply *m);

/* Customers' limits: adds the requests for grants that are due, as struct
 * quota_request; their strings live until the next call. Takes the reply. */
void gate_quota_requests(struct gate *g, GArray *out);
void gate_quota_reply_received(struct gate *g, const struct msg_quota_reply *m);

/* Adds the requests for grants of limits that endpoints state, by address;
 * takes the reply. */
void gate_limit_requests(struct gate *g, GArray *out);
void gate_limit_reply_received(struct gate *g, const struct msg_quota_reply *m);

void gate_tick(struct gate *g);

/*
 * Begins a planned stop that ends at a time on the clock: connections close
 * after the current answer, and a stream that the end would cut isn't begun.
 */
void gate_drain(struct gate *g, int64_t end_ms);
/* Stops accepting callers; to be called at each tick from then on. True once no
 * connection can bring another request. */
bool gate_close(struct gate *g);
/* Number of requests and answers in progress. */
size_t gate_busy(const struct gate *g);
/* Ends all remaining requests at once. */
void gate_abort(struct gate *g);

#endif
