/*
 * Allotments at an entry: what spending them (quota_purse.c) and asking for
 * them (quota_purse_ask.c) share. For these files only.
 */
#ifndef SS_QUOTA_PURSE_INT_H
#define SS_QUOTA_PURSE_INT_H

#include "../core/pace.h"
#include "quota_classes.h"
#include "quota_lease.h"

/* An allotment is for so long of an entry's demand, in s: several answers'
 * time, so that mostly no request waits. */
#define PURSE_AHEAD_S 0.4
/* Demand is the mean of the last seconds, in ms: one request alone says that
 * no other will come while an allotment lasts. */
#define PURSE_DEMAND_MS 3000
/* A customer that sends nothing here for so long, in ms, gets its allotment
 * back. */
#define PURSE_IDLE_MS 4000

/* Requests of one class. */
struct purse_class {
	double mean;	 /* cost of one */
	double got;	 /* by the place, a second */
	double first;	 /* cost of the first that waits, or that is overdue */
	int64_t by_ms;	 /* objective of the first that waits */
	int64_t none_ms; /* the place has none before then */
};

struct purse {
	struct entry *e; /* that it belongs to */
	char *name;
	double tokens;
	int64_t until_ms; /* that they may be spent */
	/* Alone it may go on at a rate a second, and spend so much beyond the
	 * tokens, which are then below 0; until a time. */
	double rate, reserve;
	int64_t rate_ms;
	double alone;	  /* of the tokens, not told yet */
	int64_t alone_ms; /* until when they were added up */
	double demand;	  /* a second */
	int64_t demand_ms;
	double mean;	/* cost of a request */
	double waiting; /* cost of all requests that wait */
	double wanted;	/* when it was asked for last */
	double refused; /* since then */
	uint64_t number;
	bool up;	  /* its place is reached, ... */
	int64_t lost_ms;  /* ... or not, since then */
	int64_t found_ms; /* when it was found last */
	bool told;	  /* that place knows what is held here */
	bool asked;	  /* and hasn't answered yet, ... */
	int64_t asked_ms;
	int64_t silent_ms; /* ... since then */
	int64_t none_ms;   /* the place has none for any class before then */
	int64_t next_ms; /* it had less than was wanted: no sooner than then */
	int64_t used_ms;
	bool due; /* in the list of those that have something to ask */
	struct quota_classes shares;		   /* of the tokens */
	struct purse_class classes[QUOTA_CLASSES]; /* of requests */
	struct quota_part parts[QUOTA_CLASSES];	   /* of the last ask */
};

struct entry {
	GHashTable *purses;	      /* name -> struct purse */
	GPtrArray *due;		      /* struct purse */
	struct pace_estimate answers; /* time that places take to */
	bool up;
	int64_t lost_ms, found_ms; /* as of a purse */
	int64_t sweep_ms;
};

/* Brings the tokens and the demand up to now. */
void purse_settle(struct purse *u, int64_t now);
/* It has something to ask. */
void purse_make_due(struct entry *e, struct purse *u);
/* The place may have some again, for any class. */
void purse_clear_waits(struct purse *u);
/* What is to be held at the least before more is asked for. */
double purse_low(const struct purse *u);
/* The same for a class: no whole request, which it may have of the others'
 * tokens. */
double purse_class_low(const struct purse *u, int class_id);
/* Less is held, in all or for a class. */
bool purse_is_low(const struct purse *u);

#endif
