/*
 * Model placement: decides which engine of a fleet loads which model. The
 * leader's decisions are a function of a view of one service.
 *
 * The expected load: a few models get most calls and need several replicas; a
 * hundred others are called now and then and have to be ready within a second
 * or two. All models together exceed the accelerators' memory, but fit on the
 * engines' disks, and a load from disk takes a tenth of the time of one from
 * the store. A requested model is therefore loaded on an engine that has a
 * copy, in place of the idle replica that serves the fewest calls, and the
 * store's capacity is spent on models without any copy.
 */
#ifndef SS_FLEET_H
#define SS_FLEET_H

#include "plan.h"
#include "routing.h"

/* Victims of one step; more can't be needed to fit the largest model. */
#define FLEET_VICTIMS_MAX 8

struct fleet_model {
	const struct routing_model *spec;
	double rate;	  /* arriving calls per second, decayed */
	uint32_t waiting; /* calls that no endpoint can accept */
	int64_t slack_ms; /* until the first of them is late */
	uint32_t calls;	  /* running on all endpoints */
	/* Out: until it can be called; -1: no load is running or queued. */
	int64_t eta_ms;
};

/* A replica: a model in the accelerator memory of an engine. */
struct fleet_replica {
	uint32_t model; /* index */
	uint32_t calls; /* running, as reported by the entries */
	bool unloading; /* about to be unloaded: gets no new calls */
};

/*
 * Callers who wait for a model on engines of one software version, because
 * that version began their streams and no other can resume them.
 */
struct fleet_pin {
	uint32_t model; /* index */
	const char *version;
	uint32_t waiting;
	int64_t slack_ms; /* as in struct fleet_model */
	int64_t eta_ms;	  /* out: as in struct fleet_model */
};

/* An engine of the service. */
struct fleet_node {
	const char *domain;
	const char *version; /* of its software; NULL: not reported */
	bool usable;	     /* its models can be called */
	/* Healthy, but not usable for now: gets no new calls and no steps. */
	bool suspended;
	bool accepts_step; /* accepts a step now */
	int loading;	   /* index of the model; -1: none */
	enum ss_tier loading_tier;
	int64_t loading_left_ms; /* expected remaining time */
	double free_mb;		 /* free memory for weights */
	int64_t running, slots;
	bool foreign_order;  /* runs an order that this leader didn't give */
	GArray *replicas;    /* struct fleet_replica */
	const uint8_t *tier; /* enum ss_tier of each model */
};

/* A step for one engine: it unloads the victims, then loads a model. */
struct fleet_step {
	uint32_t node;
	int load; /* index of the model */
	enum ss_tier tier;
	uint32_t victims[FLEET_VICTIMS_MAX]; /* models to unload first */
	size_t n_victims;
	int64_t expected_ms;
	const char *why; /* static text */
};

struct fleet_view {
	struct fleet_model *models;
	size_t n_models;
	struct fleet_pin *pins;
	size_t n_pins;
	struct fleet_node *nodes;
	size_t n_nodes;
	int64_t slots;	       /* of one engine */
	size_t store_parallel; /* loads that the store serves at full speed */
	double store_tokens;   /* loads from the store that may begin now */
	bool all_reported;     /* every engine has reported its copies */
	bool preload;	       /* preload models that have no copy */
};

/* Why a model that callers wait for can't be loaded now: counts of the usable
 * engines by what prevents it. */
struct fleet_blocked {
	uint32_t waiting; /* callers that wait */
	int64_t slack_ms;
	const char *version;	   /* that the callers need; NULL: any */
	uint32_t copies;	   /* engines that have a copy */
	uint32_t copies_busy;	   /* of these: can't accept a step now */
	uint32_t copies_full;	   /* of these: can't unload enough */
	uint32_t store_candidates; /* engines that could load it from the store
				    */
	bool store_closed;	   /* the store accepts no load now */
};

struct fleet_plan_ops {
	void (*step)(void *arg, const struct fleet_step *s);
	/* May be NULL. */
	void (*blocked)(void *arg, uint32_t model,
			const struct fleet_blocked *b);
};

/* Plans the steps of one pass: at most one for each node. Sets the estimates
 * (eta_ms) in the view. */
void fleet_plan(struct fleet_view *v, const struct fleet_plan_ops *ops,
		void *arg);

/*
 * Returns the pause after work that took took_ms: ratio times as long, within
 * min_ms and max_ms. It bounds the share of time that a periodic pass over the
 * whole fleet takes, as the duration of a pass grows with the fleet.
 */
int64_t fleet_pause_ms(int64_t took_ms, int64_t ratio, int64_t min_ms,
		       int64_t max_ms);

/* Returns the expected duration of a load from a tier. */
int64_t fleet_load_ms(const struct routing_model *m, enum ss_tier tier);

/*
 * Estimate of how many parallel loads the store serves at full speed, learned
 * from the duration of loads. Beyond that number each load takes longer in
 * proportion, so the throughput doesn't grow and the engines are occupied for
 * longer. Initialize with {0}.
 */
struct fleet_store {
	size_t max_loads; /* 0: nothing learned yet */
};

/* Returns the present bound; limit is the maximum that the settings allow. */
size_t fleet_store_max_loads(const struct fleet_store *s, size_t limit);
/* Records that a load has taken took_ms so far, or until it was done. n loads
 * were running when it began, itself included; a load that runs alone takes
 * alone_ms. */
void fleet_store_observe(struct fleet_store *s, size_t n, int64_t took_ms,
			 int64_t alone_ms, bool done);
/* Returns the duration above which a load counts as slowed down by others. */
int64_t fleet_store_slow_ms(int64_t alone_ms);

/* An event rate, averaged with exponential decay over several seconds. */
struct fleet_rate {
	double per_s;
	int64_t at_ms; /* 0: nothing counted yet */
};

/* Counts events that arrived now. */
void fleet_rate_add(struct fleet_rate *r, uint64_t arrivals, int64_t now);
/* Returns the rate per second. */
double fleet_rate_at(const struct fleet_rate *r, int64_t now);

#endif
