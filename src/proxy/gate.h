/*
 * The gate: an entry's data path. It takes callers' requests by the routing
 * in force, holds those that no endpoint can take yet, forwards each to an
 * endpoint directly, and carries the answer back as it comes.
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
	/* Ask the agent at addr for an adapter; false where it isn't reached.
	 */
	bool (*need_adapter)(void *arg, const char *agent,
			     const struct msg_adapter *m);
	/* Demand has changed: report it soon. */
	void (*demand)(void *arg);
	/* Ask the leader whether a quarantined request may run as a trial;
	 * false where nobody is known to lead. */
	bool (*ask_trial)(void *arg, const struct msg_trial *m);
	/* Ask it which version began a stream; the same. */
	bool (*ask_stream)(void *arg, const struct msg_stream_ask *m);
};

/*
 * Callers of a stream leave after a gap of so long, also before its first
 * event: the longest of a fixed time, of so many of the route's objectives and
 * of so many of the pauses that it allows.
 */
struct gate_patience {
	int64_t ms, objectives, pauses;
};

struct gate_options {
	struct event_base *base;
	const struct ss_clock *clock;
	const struct platform_ops *platform;
	struct metrics *metrics;
	const char *addr;   /* callers connect to it */
	const char *domain; /* failure domain of this entry */
	size_t memory; /* for requests and answers, in bytes; 0: no bound */
	double retry_ratio;
	int64_t retry_window_ms, retry_slack;
	int64_t adapter_wait_ms; /* for an agent to load an adapter */
	struct gate_patience patience;
	/* Without a leader's word, customers' keys are believed for so long; 0:
	 * for ever. */
	int64_t keys_trust_ms;
	uint64_t seed;
	const struct gate_ops *ops;
	void *arg;
};

struct gate *gate_new(const struct gate_options *o, GError **error);
void gate_free(struct gate *g);
uint16_t gate_port(const struct gate *g);

/* A newer routing, or a newer version of the same; older ones are ignored. The
 * gate takes a reference. */
void gate_set_routing(struct gate *g, struct routing *r);
uint64_t gate_routing_version(const struct gate *g);
/* A confirmed leader's word on the version in force, and the loss of it: by
 * these a gate knows when it may be behind. */
void gate_routing_told(struct gate *g, uint64_t version);
void gate_leader_lost(struct gate *g);
/* It is so far behind that it refuses everything. */
bool gate_is_stale(const struct gate *g);

/* The leader's word on endpoints and models. */
void gate_take_fleet(struct gate *g, const struct msg_fleet *m);
/* The list itself, while no leader is heard; entries may be dropped from it. */
void gate_take_list(struct gate *g, struct fleet_list *list);
bool gate_knows_fleet(const struct gate *g);

void gate_adapter_done(struct gate *g, const struct msg_adapter_done *m);
/* The connection to an agent is gone: its answers won't come. */
void gate_agent_lost(struct gate *g, const char *agent);

/*
 * Fill a report of demand and calls under way; the caller sends it and then
 * frees it with gate_report_done().
 */
struct gate_report {
	struct msg_demand m;
	/* It says something else than the last one, or tells of arrivals,
	 * waits or ends. */
	bool news;
	GArray *models, *calls, *ends, *words;
	GPtrArray *lists;
};
void gate_report(struct gate *g, struct gate_report *r);
void gate_report_done(struct gate_report *r);

/* Requests under which endpoints end. */

/* A leader that has heard nothing of this entry yet. */
void gate_leader_found(struct gate *g);
void gate_take_quarantine(struct gate *g, const struct msg_quarantine *m);
void gate_take_trial(struct gate *g, const struct msg_trial *m);
/*
 * What the leader wasn't told yet, a piece at a time; false where that is
 * nothing. Once it is sent it counts as told; free it with gate_ends_done().
 */
struct gate_ends {
	struct msg_ends m;
	GArray *ends, *recalled;
	uint64_t recall; /* mark up to which suspects are recalled */
};
bool gate_ends(struct gate *g, struct gate_ends *r);
void gate_ends_done(struct gate *g, struct gate_ends *r, bool sent);

/* Streams that were begun here and the leader wasn't told of yet; false where
 * there are none. Free it with gate_streams_done(). */
bool gate_streams(struct gate *g, struct stream_wire *w);
void gate_streams_done(struct gate *g, struct stream_wire *w, bool sent);
void gate_take_stream(struct gate *g, const struct msg_stream_word *m);

/* Customers' limits: asks that are due, as struct quota_ask, for the leader;
 * their strings live until the next call. Its answer. */
void gate_quota_asks(struct gate *g, GArray *out);
void gate_take_quota(struct gate *g, const struct msg_quota_word *m);

/* The same for endpoints' own limits, by address. */
void gate_limit_asks(struct gate *g, GArray *out);
void gate_take_limit(struct gate *g, const struct msg_quota_word *m);

void gate_tick(struct gate *g);

/*
 * A planned stop that ends at a time on the clock: answers end their
 * connections, and a stream that would be cut by the end isn't begun.
 */
void gate_drain(struct gate *g, int64_t end_ms);
/* No more callers are taken; to be called at each tick from then on. True once
 * nobody can bring another request. */
bool gate_close(struct gate *g);
/* Requests and answers under way. */
size_t gate_busy(const struct gate *g);
/* End what is left: nothing more can be waited for. */
void gate_give_up(struct gate *g);

#endif
