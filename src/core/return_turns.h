/*
 * When refused callers are to return: as many at a time as can be served then.
 *
 * The load: hundreds of callers a second who are refused for one cause, a
 * customer's limit or a model that is full. Told one time, they return in one
 * moment, and most are refused again. So each takes a turn, at the rate at
 * which its cause was served lately. What is served while nobody is refused
 * shows what callers ask for, not what they could get, and doesn't count.
 * Turns of different causes don't affect each other.
 */
#ifndef SS_RETURN_TURNS_H
#define SS_RETURN_TURNS_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Width of a turn, in ms: callers of one turn that wait for each other still
 * meet an objective of a tenth of a second. */
#define RETURN_TURN_MS 100
/* Turns are given for so long ahead, in ms: a third of what the most patient
 * callers have left, some 40 s. */
#define RETURN_AHEAD_MS 12800
/* Causes that are remembered, some 700 bytes each. */
#define RETURN_CAUSES_MOST 1024

struct return_turns;

/* What is known of a caller that is refused. */
struct return_ask {
	uint64_t key; /* of the cause */
	int priority; /* 0 is first */
	double cost;  /* as the cause counts: requests, or a limit's units */
	double per_s; /* of that, the most that is served; 0: not known */
	int64_t least_ms; /* it can't be served before */
	int64_t most_ms;  /* it returns no later */
};

struct return_turn {
	int64_t ms;	  /* from now until it begins */
	int64_t width_ms; /* 0: no rate is known, and ms is least_ms */
	bool taken;	  /* false: it begins after most_ms, and stays free for
			     others */
};

struct return_turns *return_turns_new(void);
void return_turns_free(struct return_turns *t);

/* The next turn of its cause; more urgent callers get earlier ones. */
struct return_turn return_turns_give(struct return_turns *t,
				     const struct return_ask *a, int64_t now);
/* A request was served that could have been refused for this cause. */
void return_turns_served(struct return_turns *t, uint64_t key, double cost,
			 int64_t now);
/* Forget causes that nobody was refused for while their turns last. */
void return_turns_tidy(struct return_turns *t, int64_t now);
/* Causes that are remembered. */
size_t return_turns_count(const struct return_turns *t);

#ifdef __cplusplus
}
#endif
#endif
