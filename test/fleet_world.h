/*
 * The real leader of a fleet with all its peers in one process, in simulated
 * time: entries with calls, engines that load what they are told to, and the
 * platform's list. What it shows is what the leader does, by its own counters
 * and by processor time.
 */
#ifndef SS_FLEET_WORLD_H
#define SS_FLEET_WORLD_H

#include <sapphireshift/base.h>

struct fleet_world_options {
	int entries, engines, models;
	double calls_per_s; /* of all entries */
	int64_t call_ms;
	int agents_missing; /* the last engines have none beside them */
	int limited; /* the first engines may name limits, one a second each */
	uint64_t seed;
};

/* Processor time of the leader, in ms, by what it was called for. */
struct fleet_world_cost {
	double reports, agents, ticks, limits;
};

struct fleet_world;

struct fleet_world *fleet_world_new(const struct fleet_world_options *o);
void fleet_world_free(struct fleet_world *w);

/* Go on for so long, in simulated ms. */
void fleet_world_run(struct fleet_world *w, int64_t ms);

/* A counter of the leader's work since the last call for it. */
uint64_t fleet_world_work(struct fleet_world *w, const char *what);
/* Since the last call. */
struct fleet_world_cost fleet_world_cost(struct fleet_world *w);

/* Entries that hold the whole fleet. */
int fleet_world_informed(const struct fleet_world *w);
/* An entry's process ends; another comes in its place. */
void fleet_world_restart_entry(struct fleet_world *w, int entry);
/* An engine's agent ends, and comes back. */
void fleet_world_restart_agent(struct fleet_world *w, int engine);
/* A call for a model begins at an entry. */
void fleet_world_call(struct fleet_world *w, int entry, int model);
/* An engine has loaded an adapter of its first model, and says so. */
void fleet_world_adapter(struct fleet_world *w, int engine);
/* An engine has named a limit in an answer at an entry, or said that it leaves;
 * entries that the leader has told so; the thousandths of permits that an entry
 * gets there when it asks for one. */
void fleet_world_limit(struct fleet_world *w, int entry, int engine,
		       double per_s);
void fleet_world_leave(struct fleet_world *w, int entry, int engine);
int fleet_world_told(const struct fleet_world *w, int engine);
int fleet_world_permits(struct fleet_world *w, int entry, int engine);
/* An engine's answer took so many times an entry's median; the ratio, in
 * thousandths, that entries were told since the last call; 0: none. */
void fleet_world_slow(struct fleet_world *w, int entry, int engine,
		      double ratio);
int64_t fleet_world_told_slow(struct fleet_world *w, int engine);
/* An engine has asked an entry for rest; a control VM is to read it. */
void fleet_world_rest(struct fleet_world *w, int entry, int engine, int64_t ms);
bool fleet_world_is_remote(const struct fleet_world *w, int engine);
/* They do so from now on, and all entries want to send there all the time:
 * requests that were admitted, and asks of the leader for them, since. */
void fleet_world_name_limits(struct fleet_world *w);
int fleet_world_admitted(const struct fleet_world *w);
int fleet_world_asked(const struct fleet_world *w);
/* Another start of it, with an id of its own and nothing else that tells. */
void fleet_world_restart_engine(struct fleet_world *w, int engine);
/* Steps that an engine was sent. */
int fleet_world_orders(const struct fleet_world *w, int engine);
/* Engines from this one on are of another version than those before. */
void fleet_world_version(struct fleet_world *w, int engine,
			 const char *version);
/* An entry has begun so many streams, from this key on, at a version. */
void fleet_world_streams(struct fleet_world *w, int entry, uint64_t key,
			 uint64_t n, const char *version);
/* What an entry is told of one; its version, or "" with the word. */
int64_t fleet_world_ask_stream(struct fleet_world *w, int entry, uint64_t key,
			       const char **version);
/* Its follower leads from now on, and all entries come to it. */
void fleet_world_lose_leader(struct fleet_world *w);
/* Messages on streams and their bytes, to the leader and to its follower, since
 * the last call; streams that the leader keeps. */
struct fleet_world_streams {
	uint64_t told, told_bytes, spread, spread_bytes;
	size_t kept;
};
struct fleet_world_streams fleet_world_stream_cost(struct fleet_world *w);
/* Callers of an entry wait for a model at a version; steps that engines of it
 * were sent since. */
void fleet_world_wait_at(struct fleet_world *w, int entry, int model,
			 const char *version);
/* An engine of that version holds the model. */
bool fleet_world_holds_at(const struct fleet_world *w, int model,
			  const char *version);
/* The entry reads nothing from now on, and says nothing; it reads on. */
void fleet_world_stop_entry(struct fleet_world *w, int entry);
void fleet_world_continue_entry(struct fleet_world *w, int entry);
/* Bytes that wait for it. */
size_t fleet_world_backlog(const struct fleet_world *w, int entry);
/* Whole fleets that it has read. */
int fleet_world_wholes(const struct fleet_world *w, int entry);
/* Steps that were sent to engines, and callers that wait for a model. */
int fleet_world_steps(const struct fleet_world *w);
int fleet_world_waiting(const struct fleet_world *w);

#endif
