/*
 * Tracks whether the routing of a process is current enough to answer by it.
 *
 * Once an operator was informed that a change is in force, it has to hold in
 * every process, also in one that is slow, was stalled or lost the leader. Each
 * process knows when it may be behind: the leader announced a newer version,
 * or no leader is connected. It then doesn't state that a route is missing. If
 * it still doesn't hold the announced version after the time that a change
 * normally takes, it no longer acts on the version that it holds.
 */
#ifndef SS_FRESHNESS_H
#define SS_FRESHNESS_H

#include <sapphireshift/base.h>

/* From the announcement of a version until the older one is no longer used, in
 * ms: several times what a process on a tenth of a core takes to apply it. */
#define FRESHNESS_APPLY_MS 1000
/* A lost leader is found again or replaced within this time, in ms. */
#define FRESHNESS_LEADER_LOST_MS 300
/* An event loop without an iteration for this time, in ms, counts as stalled.
 */
#define FRESHNESS_STALL_MS 500
/* Time after a stall, in ms, in which the loop first reads the messages that
 * arrived meanwhile. */
#define FRESHNESS_CATCH_UP_MS 200
/* How much longer requests are held, in ms, by a process that is still behind
 * after FRESHNESS_APPLY_MS or has no leader after FRESHNESS_LEADER_LOST_MS. */
#define FRESHNESS_HOLD_MS 500
/* Maximum number of announced versions that are stored until they are held.
 * Further ones count as announced together with the last of them. */
#define FRESHNESS_PENDING_MAX 8

enum freshness_level {
	FRESHNESS_CURRENT,   /* the version held is in force */
	FRESHNESS_UNCERTAIN, /* a route may be missing */
	FRESHNESS_STALE, /* another version has been in force for too long */
};

struct announced_version {
	uint64_t version;
	int64_t at_ms;
};

struct freshness {
	bool announced; /* a leader has announced a version */
	uint64_t held;
	/* Announced and not held yet, in ascending order. */
	struct announced_version pending[FRESHNESS_PENDING_MAX];
	size_t n_pending;
	int64_t leader_lost_ms; /* when it was lost; SS_NEVER: it was not */
	int64_t tick_ms;	/* of the last loop iteration */
	int64_t resumed_ms;	/* when the loop last resumed after a stall */
};

void freshness_init(struct freshness *f, int64_t now);
/* Records that a confirmed leader has announced the version in force. */
void freshness_received(struct freshness *f, uint64_t version, int64_t now);
/* Records that this process holds a version now. */
void freshness_applied(struct freshness *f, uint64_t version);
void freshness_leader_lost(struct freshness *f, int64_t now);
/* Records an iteration of the event loop; to be called in each. */
void freshness_tick(struct freshness *f, int64_t now);

/* Returns the time without a leader, in ms; 0 if one is connected. */
int64_t freshness_disconnected_ms(const struct freshness *f, int64_t now);

/* Returns the level, and in *until the time until which a request may wait for
 * a better one. If that isn't later than now, the request may not wait. */
enum freshness_level freshness_level(const struct freshness *f, int64_t now,
				     int64_t *until);

#endif
