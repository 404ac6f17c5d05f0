/* A pass of placing, for the files that are parts of it. */
#ifndef SS_FLEET_INT_H
#define SS_FLEET_INT_H

#include "fleet.h"

/* What a pass knows of a model beside the view. */
struct tally {
	uint32_t open;	  /* replicas that take calls */
	uint32_t paused;  /* that will again, on suspended engines */
	uint32_t loading; /* on their way, this pass's too */
	uint32_t copies;  /* engines that have it in memory or on disk */
	int64_t left_ms;  /* until the first of those on their way */
};

struct pass {
	struct fleet_view *v;
	const struct fleet_plan_ops *ops;
	void *arg;
	struct tally *tally;
	uint32_t *only; /* of each node: models that no other has a copy of */
	size_t from_store; /* loads from the store under way */
	uint32_t calls;	   /* under way on all engines */
	double starts;	   /* calls a second that a replica is to begin */
	GArray *needs;	   /* struct need, in order */
};

static inline struct fleet_place *fleet_place_at(const struct fleet_node *n,
						 guint i)
{
	return &g_array_index(n->places, struct fleet_place, i);
}

/* A model that a replica more is wanted of. */
struct need {
	uint32_t model;
	uint32_t waiting;
	int64_t slack_ms;
	const char *version; /* of the engines that will do; NULL: all */
	size_t pin;	     /* with a version: its index */
};

static inline bool fleet_is_of(const struct fleet_node *n, const char *version)
{
	return n->version && !strcmp(n->version, version);
}

/* Replicas of a pin's model on engines of its version. */
struct pinned {
	uint32_t open, loading, calls;
	int64_t left_ms; /* until the first of those on their way */
};

/* fleet_eta.c */
struct pinned fleet_count_pinned(const struct pass *s,
				 const struct fleet_pin *pin);
/* When models, and those of pins, can be called: into the view. */
void fleet_set_etas(struct pass *s);

#endif
