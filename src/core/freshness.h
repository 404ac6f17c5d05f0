/*
 * Whether a process may answer by the routing that it holds.
 *
 * An operator who was told that a change is in force is owed that by every
 * process, also by one that is slow, stood still or lost the leader. Each knows
 * when it may be behind: it was told of a newer version, or hears nobody who
 * would tell. Then it doesn't say that a route isn't there; and once it has
 * been told for longer than a change takes, it does nothing by what it holds.
 */
#ifndef SS_FRESHNESS_H
#define SS_FRESHNESS_H

#include <sapphireshift/base.h>

/* From being told of a version until nothing is done by an older one, in ms:
 * several times what a process on a tenth of a core takes to follow. */
#define FRESHNESS_TAKE_MS 1000
/* A leader that was lost is found again, or replaced, within this, in ms. */
#define FRESHNESS_LOST_MS 300
/* A process whose loop stood still for so long, in ms, ... */
#define FRESHNESS_STILL_MS 500
/* ... reads first what came meanwhile, for so long. */
#define FRESHNESS_WAKE_MS 200
/* Requests wait for a process that is behind until so long after that became
 * a fault of its own, in ms. */
#define FRESHNESS_HOLD_MS 500
/* Versions that it was told of and doesn't hold; what comes beyond counts as
 * told with the last of them. */
#define FRESHNESS_TOLD 8

enum freshness_level {
	FRESHNESS_SURE,	  /* what it holds is in force */
	FRESHNESS_UNSURE, /* a route may be missing */
	FRESHNESS_STALE,  /* another version has been in force for long */
};

struct freshness_told {
	uint64_t version;
	int64_t ms;
};

struct freshness {
	bool on; /* a leader has told it something */
	uint64_t held;
	struct freshness_told told[FRESHNESS_TOLD]; /* and not held, in order */
	size_t n_told;
	int64_t lost_ms; /* when the leader was lost; SS_NEVER: it wasn't */
	int64_t turn_ms; /* of the last turn of the loop */
	int64_t woke_ms; /* when the loop last went on after standing still */
};

void freshness_init(struct freshness *f, int64_t now);
/* A confirmed leader tells the version in force. */
void freshness_hear(struct freshness *f, uint64_t version, int64_t now);
void freshness_take(struct freshness *f, uint64_t version);
void freshness_lose(struct freshness *f, int64_t now);
/* Called in each turn of the loop. */
void freshness_turn(struct freshness *f, int64_t now);

/* For how long no leader has told it anything; 0: one does. */
int64_t freshness_alone_ms(const struct freshness *f, int64_t now);

/* until: a request may wait for better so long; now or before: it shall not. */
enum freshness_level freshness_level(const struct freshness *f, int64_t now,
				     int64_t *until);

#endif
