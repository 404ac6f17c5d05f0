/*
 * The leader's planning of replicas: which model to load on which node, which
 * replica to unload, and in which order models are read from the weight store.
 * The plan depends only on a view of the system and the pacer, and updates both
 * by its decisions. Decisions are committed to the replicated log before they
 * are carried out.
 */
#ifndef SS_PLAN_H
#define SS_PLAN_H

#include <sapphireshift/keep.h>

#include "preset.h"

/* Nearest copy of a model's checkpoint to a node, from slow to fast. */
enum ss_tier { TIER_REMOTE, TIER_DISK, TIER_MEMORY };

struct plan_node {
	const char *name;
	const char *domain;
	const char *pool;
	uint64_t bytes;
	uint64_t used; /* bytes of replicas not known to be unloaded */
	bool usable;   /* live, has reported, accepts new work */
	bool draining; /* has reported, and its replicas are to be unloaded */
	unsigned int loading;
};

struct plan_replica {
	uint64_t id;
	const char *model;
	const char *base; /* base model of an adapter, else empty */
	int node;	  /* index into plan_view.nodes */
	uint64_t bytes;
	uint64_t slots;
	int state; /* enum replica_state */
	uint64_t active;
	int64_t idle_ms;
	int64_t age_ms; /* since the decision */
	bool failed;	/* the agent reported the load as failed */
};

/* Demand for a model: calls that wait, or that are predicted. */
struct plan_demand {
	const char *model;
	const char *base;
	const char *pool;
	uint64_t bytes;
	uint64_t slots;	  /* of one replica */
	uint64_t waiting; /* queued calls */
	int64_t slack_ms; /* to the earliest deadline */
	int priority;
	bool preload;	 /* no call waits; history predicts one */
	int64_t load_ms; /* expected from the store; 0: unknown */
	int64_t eta_ms;	 /* out: until a replica is ready; -1: unknown */
	const char *why; /* out: reason of the decision, static text */
};

struct plan_view {
	int64_t now; /* monotonic, in ms */
	const struct preset *preset;
	struct plan_node *nodes;
	size_t n_nodes;
	const struct plan_replica *replicas;
	size_t n_replicas;
	struct plan_demand *demands;
	size_t n_demands;
	/* Nearest copy of a model's checkpoint to a node. */
	enum ss_tier (*tier)(void *arg, const char *model, const char *node);
	/* Arrivals of a model, or NULL; prior: of all models together. */
	const struct ss_arrivals *(*arrivals)(void *arg, const char *model);
	const struct ss_arrivals *prior;
	void *arg;
};

struct plan_ops {
	/* Decides a load; count is the model's replicas in this view. */
	void (*load)(void *arg, const struct plan_demand *d,
		     const struct plan_node *n, size_t count);
	/* Decides an unload; why is static text. */
	void (*unload)(void *arg, const struct plan_replica *r,
		       const char *why);
};

/* Rate limiter of loads from the weight store: a token bucket. */
struct pacer {
	double tokens;	     /* one for each load */
	int64_t at_ms;	     /* time of the last refill */
	double bytes_per_ms; /* smoothed speed of the loads */
};

void pacer_init(struct pacer *p, int64_t now);
/* Records the duration of a load. */
void pacer_loaded(struct pacer *p, uint64_t bytes, int64_t took_ms);
/* Returns the expected duration of a load from a tier. */
int64_t pacer_load_ms(const struct pacer *p, uint64_t bytes, enum ss_tier tier);

/*
 * Makes one plan. Call it again after each change of the view, and every few
 * ms, as the store's tokens refill.
 */
void plan_run(const struct plan_view *v, struct pacer *p,
	      const struct plan_ops *ops, void *arg);

/* Returns how long an idle replica is kept under the view's preset. */
int64_t plan_keep_ms(const struct plan_view *v, const struct pacer *p,
		     const char *model, uint64_t bytes, uint64_t node_bytes);

#endif
