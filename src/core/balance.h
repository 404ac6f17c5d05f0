/*
 * Which endpoint gets a call: a function of what an entry knows of each.
 * The load it answers: calls of a second or two on engines that batch, bursts
 * that many entries see at once on reports some 100 ms old, and endpoints that
 * differ in speed several times over: one that takes twice as long gets half
 * as many calls.
 */
#ifndef SS_BALANCE_H
#define SS_BALANCE_H

#include <sapphireshift/base.h>

struct balance_node {
	bool usable;	   /* listed, not leaving, not given up */
	bool near;	   /* in the entry's failure domain */
	bool has_adapter;  /* or none is needed */
	bool tried;	   /* this call was there and came back */
	int64_t slots;	   /* calls it runs at a time */
	int64_t reported;  /* calls running and waiting there, as told last */
	int64_t since;	   /* sent by this entry since then */
	int64_t own;	   /* of this entry, under way */
	double unseen;	   /* calls that others may have sent since */
	double failing;	   /* share of calls that failed lately, decayed */
	uint64_t affinity; /* larger: its prompt cache is more likely warm */
	double slow;	   /* times as slow as others; 0: not known, as 1 */
	double late;	   /* part of the caller's objective that passes until
			      it answers; 0: not known */
};

/* Why none was chosen. */
enum balance_none {
	BALANCE_NOBODY = -1,
	BALANCE_FULL = -2,
	BALANCE_LIMITED = -3, /* by what an endpoint itself admits */
	BALANCE_RESTING = -4, /* an endpoint has asked for rest */
	BALANCE_STARTS = -5,  /* engines read as many prompts as they may */
};

/* Index of the node, or an enum balance_none; tie breaks equal scores. */
int balance_choose(const struct balance_node *n, size_t count, double fill,
		   uint64_t tie);

/*
 * The same for a model that is called often. An engine's calls wait while the
 * prompt of another is read; one that has just loaded the model is the
 * emptiest in all reports until the next, would get dozens of prompts at once,
 * and the events of all its calls would pause. So calls are drawn by the room
 * that nodes have below twice the mean: an emptier one gets more, and fills
 * within the time of a call or two. Where nothing runs the best one is taken.
 * The room of a slower one fills with fewer calls. What it runs isn't weighted
 * besides: its calls stay longer, and so count for longer.
 */
int balance_share(const struct balance_node *n, size_t count, double fill,
		  uint64_t tie);

/* Whether a call more fits there. */
bool balance_has_room(const struct balance_node *n, double fill);

/* Calls that a node has by the entry's estimate. */
int64_t balance_load(const struct balance_node *n);

/* At random, from 0 up to 1. */
double balance_draw(uint64_t *seed);

/* A decayed share of failures. */
void balance_note(double *failing, bool failed);

#endif
