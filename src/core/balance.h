/*
 * Load balancing: selects the endpoint that serves a call, from what an entry
 * knows of each candidate.
 *
 * Calls take a second or two on engines that batch. Many entries see a burst at
 * once, by reports that are some 100 ms old. Endpoints differ in speed several
 * times over: one that takes twice as long gets half as many calls.
 */
#ifndef SS_BALANCE_H
#define SS_BALANCE_H

#include <sapphireshift/base.h>

struct balance_node {
	bool usable;	     /* listed, not draining, not excluded */
	bool near;	     /* in the entry's failure domain */
	bool has_adapter;    /* holds the adapter, or the call needs none */
	bool tried;	     /* has refused or failed this call */
	int64_t slots;	     /* calls that it runs concurrently */
	int64_t reported;    /* running and queued calls in its last report */
	int64_t sent_since;  /* calls sent by this entry since that report */
	int64_t own_calls;   /* calls of this entry in flight */
	double unreported;   /* calls that other entries may have sent since */
	double failure_rate; /* recent failure rate, a moving average */
	uint64_t affinity;   /* higher: its prompt cache is more likely warm */
	/* Response time / that of other nodes; 0: unknown, counts as 1. */
	double slowness;
	/* Expected time to its answer / latency objective; 0: unknown. */
	double objective_used;
};

/* The reason why no endpoint was chosen. */
enum balance_refusal {
	BALANCE_NO_ENDPOINT = -1,
	BALANCE_FULL = -2,
	BALANCE_LIMITED = -3, /* by the rate limit that an endpoint states */
	BALANCE_BACKOFF = -4, /* an endpoint asked for a backoff */
	BALANCE_START_LIMIT = -5, /* engines run as many prefills as allowed */
};

/* Returns the index of the chosen node or an enum balance_refusal. fill: the
 * part of its slots that a node may use; tie: breaks ties between equal
 * scores. */
int balance_choose(const struct balance_node *n, size_t count, double fill,
		   uint64_t tie);

/*
 * Does the same for a model with a high call rate. An engine's calls wait
 * during the prefill of another prompt. An engine that has just loaded the
 * model has the lowest reported load until its next report. If all entries
 * chose it, it would get dozens of prompts at once, and the streams of all its
 * calls would pause.
 *
 * So the node is drawn at random, weighted by its room: what its load is below
 * twice the mean load. A node with less load gets more calls and fills up
 * within the duration of a call or two. If no calls run, the best node is
 * chosen. The room of a slow node is divided by its slowness. Its load isn't
 * weighted in addition: its calls run for longer and so count for longer.
 */
int balance_choose_weighted(const struct balance_node *n, size_t count,
			    double fill, uint64_t tie);

/* Returns whether the node has room for another call. */
bool balance_has_room(const struct balance_node *n, double fill);

/* Returns the number of calls at a node, by the entry's estimate. */
int64_t balance_load(const struct balance_node *n);

/* Returns a random number from 0 to below 1. */
double balance_random(uint64_t *seed);

/* Adds the result of a call to a moving average of failures. */
void balance_record_result(double *rate, bool failed);

#endif
