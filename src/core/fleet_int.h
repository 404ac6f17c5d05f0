/* State of one planning pass, shared by fleet.c and fleet_eta.c. */
#ifndef SS_FLEET_INT_H
#define SS_FLEET_INT_H

#include "fleet.h"

/* Counts of one model in a planning pass. */
struct tally {
	uint32_t serving;   /* replicas that accept calls */
	uint32_t suspended; /* replicas on suspended engines */
	uint32_t loading;   /* replicas being loaded, including new steps */
	uint32_t copies;    /* engines that have it in memory or on disk */
	int64_t ready_ms;   /* until the first of the loads is done */
};

struct pass {
	struct fleet_view *v;
	const struct fleet_plan_ops *ops;
	void *arg;
	struct tally *tally;
	uint32_t *sole_copies; /* by node: models with no copy elsewhere */
	size_t store_loads;    /* running loads from the store */
	uint32_t calls;	       /* running on all engines */
	double max_starts;     /* calls that a replica may start per second */
	GArray *needs;	       /* struct replica_need, by priority */
};

static inline struct fleet_replica *fleet_replica_at(const struct fleet_node *n,
						     guint i)
{
	return &g_array_index(n->replicas, struct fleet_replica, i);
}

/* A model that needs another replica. */
struct replica_need {
	uint32_t model;
	uint32_t waiting;
	int64_t slack_ms;
	const char *version; /* required engine version; NULL: any */
	size_t pin;	     /* index of the pin if version is set */
};

static inline bool fleet_has_version(const struct fleet_node *n,
				     const char *version)
{
	return n->version && !strcmp(n->version, version);
}

/* Counts of a pin's model on engines of the pin's version. */
struct pin_tally {
	uint32_t serving, loading, calls;
	int64_t ready_ms; /* until the first of the loads is done */
};

/* fleet_eta.c */

/* Counts the replicas and loads of a pin's model on engines of its version. */
struct pin_tally fleet_count_pinned(const struct pass *s,
				    const struct fleet_pin *pin);
/* Sets the eta_ms of all models and pins in the view. */
void fleet_set_etas(struct pass *s);

#endif
