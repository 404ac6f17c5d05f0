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

/* Returns the number of entries that have received the whole fleet. */
int fleet_world_informed(const struct fleet_world *w);
/* Stops an entry's process and starts another in its place. */
void fleet_world_restart_entry(struct fleet_world *w, int entry);
/* Restarts an engine's agent. */
void fleet_world_restart_agent(struct fleet_world *w, int engine);
/* Starts a call for a model at an entry. */
void fleet_world_call(struct fleet_world *w, int entry, int model);
/* Adds an adapter of the engine's first model, which its agent then reports. */
void fleet_world_add_adapter(struct fleet_world *w, int engine);
/* An entry reports that an engine has stated a limit (fleet_world_report_limit)
 * or that it is draining (fleet_world_report_draining).
 * fleet_world_count_informed returns the number of entries that the leader has
 * sent this to, fleet_world_request_grant the thousandths of a grant that an
 * entry gets for the engine when it requests one. */
void fleet_world_report_limit(struct fleet_world *w, int entry, int engine,
			      double per_s);
void fleet_world_report_draining(struct fleet_world *w, int entry, int engine);
int fleet_world_count_informed(const struct fleet_world *w, int engine);
int fleet_world_request_grant(struct fleet_world *w, int entry, int engine);
/* fleet_world_report_slowness: an entry reports that an engine's answer took
 * ratio times the entry's median. fleet_world_sent_slowness returns the ratio
 * in thousandths that entries were sent since the last call; 0: none. */
void fleet_world_report_slowness(struct fleet_world *w, int entry, int engine,
				 double ratio);
int64_t fleet_world_sent_slowness(struct fleet_world *w, int engine);
/* fleet_world_report_backoff: an entry reports that an engine has requested a
 * backoff. fleet_world_is_remote returns true if a control VM is assigned the
 * engine's agent. */
void fleet_world_report_backoff(struct fleet_world *w, int entry, int engine,
				int64_t ms);
bool fleet_world_is_remote(const struct fleet_world *w, int engine);
/* fleet_world_enable_limits: the first engines state limits from now on, and
 * all entries always have requests for them. fleet_world_admitted returns the
 * number of admitted requests since, fleet_world_grant_requests the number of
 * grant requests to the leader. */
void fleet_world_enable_limits(struct fleet_world *w);
int fleet_world_admitted(const struct fleet_world *w);
int fleet_world_grant_requests(const struct fleet_world *w);
/* Restarts an engine under a new id; nothing else shows the restart. */
void fleet_world_restart_engine(struct fleet_world *w, int engine);
/* Returns the number of steps that were sent to an engine. */
int fleet_world_orders(const struct fleet_world *w, int engine);
/* Sets the version of this engine and all after it. */
void fleet_world_set_version(struct fleet_world *w, int engine,
			     const char *version);
/* An entry reports n streams that began at a version, with keys from key on. */
void fleet_world_streams(struct fleet_world *w, int entry, uint64_t key,
			 uint64_t n, const char *version);
/* Returns the leader's reply to an entry's request for a stream; sets *version
 * to the stream's version, "" if the reply has none. */
int64_t fleet_world_request_stream(struct fleet_world *w, int entry,
				   uint64_t key, const char **version);
/* Replaces the leader by its follower, to which all entries connect. */
void fleet_world_lose_leader(struct fleet_world *w);
/* Messages on streams and their bytes, from entries to the leader and
 * from the leader to its follower, since the last call; and the number
 * of streams that the leader keeps. */
struct fleet_world_streams {
	uint64_t to_leader, to_leader_bytes, to_follower, to_follower_bytes;
	size_t kept;
};
struct fleet_world_streams fleet_world_stream_cost(struct fleet_world *w);
/* An entry reports callers that wait for a model at a version. */
void fleet_world_wait_at(struct fleet_world *w, int entry, int model,
			 const char *version);
/* Returns true if an engine of that version holds the model. */
bool fleet_world_holds_at(const struct fleet_world *w, int model,
			  const char *version);
/* Stops an entry from reading and sending; lets it continue. */
void fleet_world_stop_entry(struct fleet_world *w, int entry);
void fleet_world_continue_entry(struct fleet_world *w, int entry);
/* Returns the bytes that wait to be read by a stopped entry. */
size_t fleet_world_backlog(const struct fleet_world *w, int entry);
/* Returns how many times an entry has received the whole fleet. */
int fleet_world_full_updates(const struct fleet_world *w, int entry);
/* Returns the steps sent to all engines, and the callers that wait for a model.
 */
int fleet_world_steps(const struct fleet_world *w);
int fleet_world_waiting(const struct fleet_world *w);

#endif
