/*
 * Simulates a fleet in one process and in simulated time: the real leader with
 * simulated entries that have calls, engines that execute load orders, and the
 * platform's VM list. Measures the leader's work by its own counters and by
 * processor time.
 */
#ifndef SS_FLEET_WORLD_H
#define SS_FLEET_WORLD_H

#include <sapphireshift/base.h>

struct fleet_world_options {
	int entries, engines, models;
	double calls_per_s; /* of all entries together */
	int64_t call_ms;
	int agents_missing; /* the last engines have no agent of their own */
	int limited; /* the first engines may state limits, of 1/s each */
	uint64_t seed;
};

/* Processor time of the leader in ms, by what it handled. */
struct fleet_world_cost {
	double reports, agents, ticks, limits;
};

struct fleet_world;

struct fleet_world *fleet_world_new(const struct fleet_world_options *o);
void fleet_world_free(struct fleet_world *w);

/* Runs the simulation for ms of simulated time. */
void fleet_world_run(struct fleet_world *w, int64_t ms);

/* Returns the increase of a counter of the leader's work since the last call
 * for the same counter. */
uint64_t fleet_world_work(struct fleet_world *w, const char *what);
/* Returns the processor time since the last call. */
struct fleet_world_cost fleet_world_cost(struct fleet_world *w);

/* Returns the number of entries that have received a snapshot of the fleet. */
int fleet_world_informed(const struct fleet_world *w);
/* Stops an entry's process and starts another in its place. */
void fleet_world_restart_entry(struct fleet_world *w, int entry);
/* Restarts an engine's agent. */
void fleet_world_restart_agent(struct fleet_world *w, int engine);
/* Starts a call for a model at an entry. */
void fleet_world_call(struct fleet_world *w, int entry, int model);
/* Adds an adapter of the engine's first model, which its agent then reports. */
void fleet_world_add_adapter(struct fleet_world *w, int engine);
/* Makes an engine state a limit in its answers to its agent. */
void fleet_world_state_limit_to_agent(struct fleet_world *w, int engine,
				      double per_s);
/* Report, as an entry, that an engine has stated a limit, or that it is
 * draining. */
void fleet_world_report_limit(struct fleet_world *w, int entry, int engine,
			      double per_s);
void fleet_world_report_draining(struct fleet_world *w, int entry, int engine);
/* Returns the number of entries that the leader has sent the engine's limit or
 * draining state to. */
int fleet_world_count_informed(const struct fleet_world *w, int engine);
/* Requests a grant from an engine's limit, as an entry; returns the granted
 * requests, in thousandths. */
int fleet_world_request_grant(struct fleet_world *w, int entry, int engine);
/* Reports, as an entry, that an engine's answer took ratio times the entry's
 * median. */
void fleet_world_report_slowness(struct fleet_world *w, int entry, int engine,
				 double ratio);
/* Returns the ratio in thousandths that entries were sent since the last call;
 * 0: none. */
int64_t fleet_world_sent_slowness(struct fleet_world *w, int engine);
/* Reports, as an entry, that an engine has requested a backoff. */
void fleet_world_report_backoff(struct fleet_world *w, int entry, int engine,
				int64_t ms);
/* True if a control VM is assigned the engine's agent. */
bool fleet_world_is_remote(const struct fleet_world *w, int engine);
/* Makes the first engines state limits from now on; all entries always have
 * requests for them. */
void fleet_world_enable_limits(struct fleet_world *w);
/* Returns the number of requests admitted by these limits. */
int fleet_world_admitted(const struct fleet_world *w);
/* Returns the number of grant requests that the leader received for them. */
int fleet_world_grant_requests(const struct fleet_world *w);
/* Restarts an engine under a new id; nothing else shows the restart. */
void fleet_world_restart_engine(struct fleet_world *w, int engine);
/* Returns the number of steps that were sent to an engine. */
int fleet_world_orders(const struct fleet_world *w, int engine);
/* Restarts this engine and all after it with a version. */
void fleet_world_set_version(struct fleet_world *w, int engine,
			     const char *version);
/* Reports, as an entry, n streams that began at a version, with keys from key
 * on. */
void fleet_world_streams(struct fleet_world *w, int entry, uint64_t key,
			 uint64_t n, const char *version);
/* Returns the leader's reply to an entry's request for a stream; sets *version
 * to the stream's version, "" if the reply has none. */
int64_t fleet_world_request_stream(struct fleet_world *w, int entry,
				   uint64_t key, const char **version);
/* Replaces the leader by its follower, to which all entries and agents
 * connect. */
void fleet_world_lose_leader(struct fleet_world *w);
/* Restarts all entries and control VMs, which keep the replicated log. */
void fleet_world_lose_all(struct fleet_world *w);
/* Messages on streams and their bytes, from entries to the leader and
 * from the leader to its follower, since the last call; and the number
 * of streams that the leader keeps. */
struct fleet_world_streams {
	uint64_t to_leader, to_leader_bytes, to_follower, to_follower_bytes;
	size_t kept;
};
struct fleet_world_streams fleet_world_stream_cost(struct fleet_world *w);
/* Reports, as an entry, a request that waits for a model at a version. */
void fleet_world_wait_at(struct fleet_world *w, int entry, int model,
			 const char *version);
/* Returns true if an engine of that version holds the model. */
bool fleet_world_holds_at(const struct fleet_world *w, int model,
			  const char *version);
/* Stop an entry from reading and sending, and let it continue. */
void fleet_world_stop_entry(struct fleet_world *w, int entry);
void fleet_world_continue_entry(struct fleet_world *w, int entry);
/* Returns the bytes that wait to be read by a stopped entry. */
size_t fleet_world_backlog(const struct fleet_world *w, int entry);
/* Returns the number of snapshots that an entry has received. */
int fleet_world_snapshots(const struct fleet_world *w, int entry);
/* Returns the number of steps sent to all engines. */
int fleet_world_steps(const struct fleet_world *w);
/* Returns the number of calls that wait for a model. */
int fleet_world_waiting(const struct fleet_world *w);

#endif
