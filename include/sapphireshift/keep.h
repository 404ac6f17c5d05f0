/*
 * Keep-alive policy of models: how long an idle model stays loaded, and when
 * to load one before its next request. Both follow from the model's history
 * of arrivals.
 */
#ifndef SAPPHIRESHIFT_KEEP_H
#define SAPPHIRESHIFT_KEEP_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Buckets of the histogram of gaps between arrivals: four per doubling, from
 * 1 s to 3 days.
 */
#define SS_KEEP_GAPS 72
/* Slots of 15 minutes in a day; workdays and weekends are counted apart. */
#define SS_KEEP_SLOTS 96

struct ss_arrivals {
	int64_t last_ms;	  /* wall time of the last arrival; 0: none */
	float gaps[SS_KEEP_GAPS]; /* histogram of gaps, decayed */
	float total;		  /* sum of the counts in gaps */
	/* Smoothed share of the days on which a slot had an arrival. */
	float slots[2][SS_KEEP_SLOTS];
	/* Smoothed time from a slot's start to its first arrival, in ms. */
	float offsets[2][SS_KEEP_SLOTS];
	uint16_t days[2];  /* days counted; 0: workdays, 1: weekends */
	int32_t slot_day;  /* day and slot of the last counted arrival */
	int32_t first_day; /* day of the first arrival */
};

/* Costs that the policy weighs; all times in ms. */
struct ss_keep_costs {
	double cold_weight; /* of cold starts against idle memory, 0 to 1 */
	int64_t load_ms;    /* duration of a cold start */
	double share;	    /* of an accelerator's memory that the model uses */
	int64_t min_ms, max_ms; /* bounds of ss_keep_ms() */
};

/*
 * Records an arrival in the slot of its local time. Also adds its gap to all,
 * the arrivals of all models together, unless NULL.
 */
void ss_arrivals_add(struct ss_arrivals *a, struct ss_arrivals *all,
		     struct ss_wall at);

/*
 * Returns the idle time after which unloading the model is cheaper than
 * keeping it. The prior (may be NULL) holds the gaps of all models. It weighs
 * as much as a few arrivals, so that a model with a short history gets a
 * reasonable result.
 */
int64_t ss_keep_ms(const struct ss_arrivals *a, const struct ss_arrivals *prior,
		   const struct ss_keep_costs *c);

/*
 * Returns whether to preload the model: its history predicts an arrival at
 * about the time at which a load started now would end, and the expected cold
 * start costs more than the expected idle time.
 */
bool ss_wake_ahead(const struct ss_arrivals *a, struct ss_wall now,
		   const struct ss_keep_costs *c);

#ifdef __cplusplus
}
#endif
#endif
