/*
 * Which engine of a fleet holds which model: the leader's decisions, as a
 * function of a view of one service.
 *
 * The load it answers: a few models take most calls and need several
 * replicas; a hundred others are asked for now and then and have to be
 * ready within a second or two. All of them together are larger than the
 * accelerators' memory, but not than the engines' disks, and a load from
 * disk takes a tenth of one from the store. So a model that is asked for is
 * loaded where a copy is near, the replica leaves that serves the fewest calls
 * and none just now, and the store's time is used up for models that have no
 * copy anywhere.
 */
#ifndef SS_FLEET_H
#define SS_FLEET_H

#include "plan.h"
#include "routing.h"

/* Victims of one step; more can't be needed to fit the largest model. */
#define FLEET_VICTIMS_MAX 8

struct fleet_model {
	const struct routing_model *spec;
	double rate;	  /* calls that arrive in a second, decayed */
	uint32_t waiting; /* calls that no endpoint can take */
	int64_t slack_ms; /* until the first of them is late */
	uint32_t calls;	  /* under way on all endpoints */
	/* Out: until it can be called; -1: nothing is under way. */
	int64_t eta_ms;
};

/* A model in the memory of an engine. */
struct fleet_place {
	uint32_t model; /* index */
	uint32_t calls; /* under way, as the entries told */
	bool closing;	/* about to leave: gets no new calls */
};

/*
 * Callers whose stream one version of the engines' software began, and who wait
 * for a model there: no other will do.
 */
struct fleet_pin {
	uint32_t model; /* index */
	const char *version;
	uint32_t waiting;
	int64_t slack_ms; /* as of a model */
	int64_t eta_ms;	  /* the same, out */
};

struct fleet_node {
	const char *domain;
	const char *version; /* of its software; NULL: not told */
	bool usable;	     /* its models can be called */
	/* Else: sound, but for now it gets no new calls and no step. */
	bool suspended;
	bool free;   /* it can take a step now */
	int loading; /* index of the model; -1: none */
	enum ss_tier loading_tier;
	int64_t loading_left_ms; /* expected */
	double free_mb;		 /* of memory for weights */
	int64_t running, slots;
	bool engaged;	     /* by an order that this leader didn't give */
	GArray *places;	     /* struct fleet_place */
	const uint8_t *tier; /* enum ss_tier of each model */
};

struct fleet_step {
	uint32_t node;
	int load; /* model */
	enum ss_tier tier;
	uint32_t victims[FLEET_VICTIMS_MAX]; /* models to unload first */
	size_t n_victims;
	int64_t expected_ms;
	const char *why;
};

struct fleet_view {
	struct fleet_model *models;
	size_t n_models;
	struct fleet_pin *pins;
	size_t n_pins;
	struct fleet_node *nodes;
	size_t n_nodes;
	int64_t slots;	       /* of one engine */
	size_t store_parallel; /* loads from the store at full speed */
	double store_tokens;   /* loads from it that may begin now */
	bool all_known;	       /* every engine has told of its copies */
	bool ahead; /* load models without a copy before anyone asks */
};

/* Why a model that callers wait for can't be loaded now: engines that are
 * usable, by what stands in the way. */
struct fleet_blocked {
	/* The callers, and the version that they need; NULL: any. */
	uint32_t waiting;
	int64_t slack_ms;
	const char *version;
	uint32_t copies;      /* engines that have a copy */
	uint32_t copies_busy; /* of these: taken up */
	uint32_t copies_full; /* of these: nothing may leave them */
	uint32_t free;	      /* engines that could load it from the store */
	bool store;	      /* which the store doesn't allow now */
};

struct fleet_plan_ops {
	void (*step)(void *arg, const struct fleet_step *s);
	/* May be NULL. */
	void (*blocked)(void *arg, uint32_t model,
			const struct fleet_blocked *b);
};

/* Decide. Each node gets one step at most; etas are set in the view. */
void fleet_plan(struct fleet_view *v, const struct fleet_plan_ops *ops,
		void *arg);

/*
 * The pause after work that took so long, so that it takes one part in so many
 * of the time: what a pass over the whole costs grows with the fleet, and is
 * the leader's to see.
 */
int64_t fleet_pause_ms(int64_t took_ms, int64_t part, int64_t least_ms,
		       int64_t most_ms);

/* How long a load from a tier takes. */
int64_t fleet_load_ms(const struct routing_model *m, enum ss_tier tier);

/*
 * How many loads the store serves at full speed. Beyond that each one takes
 * longer in proportion, brings nothing more in the same time, and holds its
 * engine; so what is told of loads sets the bound. Start with {0}.
 */
struct fleet_store {
	size_t most;
};

/* The bound now; limit: what the settings allow at the most. */
size_t fleet_store_most(const struct fleet_store *s, size_t limit);
/* A load that began with n under way, itself counted, has taken took_ms so
 * far, or is done; alone it takes alone_ms. */
void fleet_store_seen(struct fleet_store *s, size_t n, int64_t took_ms,
		      int64_t alone_ms, bool done);
/* Longer than this, and a load is slowed down by others; in ms. */
int64_t fleet_store_slow_ms(int64_t alone_ms);

/* A rate with a memory of some seconds. */
struct fleet_rate {
	double per_s;
	int64_t at_ms; /* 0: nothing counted yet */
};

void fleet_rate_add(struct fleet_rate *r, uint64_t arrivals, int64_t now);
double fleet_rate_at(const struct fleet_rate *r, int64_t now);

#endif
