/* Choosing a replica for a call, from load that is always a little old. */
#ifndef SS_CHOOSE_H
#define SS_CHOOSE_H

#include <sapphireshift/base.h>

/* A fresh replica gets its full share of calls after so long. */
#define CHOOSE_SLOW_START_MS 2000

struct target {
	uint64_t slots;
	uint64_t own;	     /* calls of this entry on it */
	uint64_t reported;   /* calls on it when it last answered */
	uint64_t sent_since; /* calls sent after that answer left it */
	int64_t age_ms;	     /* since it was ready */
	bool same_domain;
	bool prefix; /* holds the call's prompt prefix, by our memory */
	bool usable; /* connected, and its breaker allows a call */
};

/* Calls on it by the best knowledge: the report, and what followed it. */
uint64_t target_load(const struct target *t);
/* How many more it can take now. */
uint64_t target_room(const struct target *t);

/* The best one with room, or -1. Equal ones alternate by tie. */
int choose_target(const struct target *t, size_t n, uint64_t tie);

#endif
