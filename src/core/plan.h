/*
 * The leader's decisions on replicas: which model to load where, what to
 * unload, in which order the store is used. A function of a view of the
 * system; what it decides goes through the replicated log before anyone
 * acts on it.
 */
#ifndef SS_PLAN_H
#define SS_PLAN_H

#include <sapphireshift/keep.h>

#include "preset.h"

/* Where a checkpoint is near, from slow to fast. */
enum ss_tier { TIER_REMOTE, TIER_DISK, TIER_MEMORY };

struct plan_node {
	const char *name;
	const char *domain;
	const char *pool;
	uint64_t bytes;
	uint64_t used; /* decided and not known to be free */
	bool usable;   /* live, heard, takes new work */
	bool draining; /* heard, and to be emptied */
	unsigned int loading;
};

struct plan_replica {
	uint64_t id;
	const char *model;
	const char *base; /* of an adapter, else empty */
	int node;	  /* index */
	uint64_t bytes;
	uint64_t slots;
	int state; /* enum replica_state */
	uint64_t active;
	int64_t idle_ms;
	int64_t age_ms; /* since the decision */
	bool failed;	/* its agent gave up loading it */
};

struct plan_demand {
	const char *model;
	const char *base;
	const char *pool;
	uint64_t bytes;
	uint64_t slots;
	uint64_t waiting;
	int64_t slack_ms; /* to the earliest deadline */
	int priority;
	bool ahead;	 /* nobody waits yet: history expects it */
	int64_t load_ms; /* expected from the store; 0: unknown */
	int64_t eta_ms;	 /* out: until a replica stands; -1: unknown */
	const char *why; /* out: static text */
};

struct plan_view {
	int64_t now; /* clock */
	const struct preset *preset;
	struct plan_node *nodes;
	size_t n_nodes;
	const struct plan_replica *replicas;
	size_t n_replicas;
	struct plan_demand *demands;
	size_t n_demands;
	/* Nearness of a checkpoint to a node. */
	enum ss_tier (*tier)(void *arg, const char *model, const char *node);
	/* A model's arrivals, NULL for none; and those of all together. */
	const struct ss_arrivals *(*arrivals)(void *arg, const char *model);
	const struct ss_arrivals *prior;
	void *arg;
};

struct plan_ops {
	/* count: replicas that the model has by this view. */
	void (*load)(void *arg, const struct plan_demand *d,
		     const struct plan_node *n, size_t count);
	void (*unload)(void *arg, const struct plan_replica *r,
		       const char *why);
};

/* The store's pace: a token for each load, and loads at a time. */
struct pacer {
	double tokens;
	int64_t at_ms;
	double bytes_per_ms; /* observed of loads from the store */
};

void pacer_init(struct pacer *p, int64_t now);
/* A load has ended. */
void pacer_loaded(struct pacer *p, uint64_t bytes, int64_t took_ms);
/* How long a load from a tier takes. */
int64_t pacer_load_ms(const struct pacer *p, uint64_t bytes, enum ss_tier tier);

/* Decide. Call again whenever the view has changed, or some ms later. */
void plan_run(const struct plan_view *v, struct pacer *p,
	      const struct plan_ops *ops, void *arg);

/* How long an idle replica of a model is kept, by the view's preset. */
int64_t plan_keep_ms(const struct plan_view *v, const struct pacer *p,
		     const char *model, uint64_t bytes, uint64_t node_bytes);

#endif
