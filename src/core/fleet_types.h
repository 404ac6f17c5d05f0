/* Incarnations and reports of a fleet's endpoints, and orders to engines. */
#ifndef SS_FLEET_TYPES_H
#define SS_FLEET_TYPES_H

#include <sapphireshift/base.h>

/*
 * One run of an endpoint, from its start to its end. A restarted endpoint may
 * keep its id, so the id alone doesn't show whether it still holds its models,
 * nor which orders its counter includes.
 */
struct fleet_incarnation {
	char *id; /* NULL or empty: not reported */
	/* Unix time by the endpoint's own clock; 0: not reported. */
	int64_t started_ms;
	char *version; /* of its software; NULL or empty: not reported */
};

/* Relation of a reported incarnation to the one known at that address. */
enum fleet_relation {
	FLEET_SAME,	 /* the known incarnation */
	FLEET_RESTARTED, /* a later one: invalidates all that is known */
	FLEET_STALE,	 /* an earlier one: changes nothing that is known */
};

/*
 * Compares a reported incarnation with the known one. A different id is another
 * incarnation, whatever the start times: they may come from two VMs, whose
 * clocks differ. With the same id, or if an id isn't reported, the later start
 * is the later incarnation; if a start isn't reported, a different version is.
 * A part that isn't reported proves nothing: a message without a start is
 * compared by its other parts, and leaves the known start as it is.
 */
enum fleet_relation
fleet_incarnation_compare(const struct fleet_incarnation *known,
			  const struct fleet_incarnation *reported);
/* Returns the version; an empty string if it isn't known. */
const char *fleet_version(const struct fleet_incarnation *i);
/* Returns whether both ids are known and differ. */
bool fleet_id_differs(const struct fleet_incarnation *known,
		      const struct fleet_incarnation *reported);
/*
 * Updates the known incarnation with the reported one. An id that isn't known
 * yet is accepted from any report, also a stale one; the start only grows,
 * unless the id differs.
 */
void fleet_incarnation_update(struct fleet_incarnation *known,
			      const struct fleet_incarnation *reported);
void fleet_incarnation_clear(struct fleet_incarnation *i);
struct fleet_incarnation *
fleet_incarnation_dup(const struct fleet_incarnation *i);
void fleet_incarnation_free(void *incarnation);

/* An endpoint in the platform's list of endpoints, which lags behind the actual
 * state. */
struct fleet_instance {
	char *id;
	int64_t started_ms; /* as in struct fleet_incarnation */
	char *version;	    /* as in struct fleet_incarnation */
	char *service;
	char *addr;
	char *domain;
	int64_t slots;
	bool draining;
	GPtrArray *models; /* char *, held in accelerator memory */
};

void fleet_instance_clear(void *instance);
/* Returns the incarnation of an instance; its strings are borrowed. */
struct fleet_incarnation
fleet_instance_incarnation(const struct fleet_instance *i);
/*
 * Returns one instance for each address: addr -> const struct fleet_instance,
 * borrowed from the list. An endpoint that crashed stays listed for some
 * seconds, beside the one that has its address now: the instance with the later
 * start is used, or the last one in the list if a start isn't reported.
 */
GHashTable *fleet_instances_by_addr(const GArray *instances);

/* A model in an engine's accelerator memory. */
struct fleet_held_model {
	char *model;
	int64_t version;
	GPtrArray *adapters; /* char * */
};

/* An engine's report about itself. */
struct fleet_report {
	/* The engine reports its start; its agent adds the id. */
	struct fleet_incarnation self;
	bool busy;		  /* runs an order */
	uint64_t orders;	  /* accepted since its start */
	int64_t running, waiting; /* calls */
	int64_t tokens_used, tokens_total;
	bool draining;
	int64_t remaining_ms;	     /* until it is removed; -1: not reported */
	GArray *held;		     /* struct fleet_held_model */
	GPtrArray *loading_adapters; /* char *, "model/adapter" */
	GPtrArray *in_memory;	     /* char *, copies of weights */
	GPtrArray *on_disk;	     /* char * */
};

void fleet_report_clear(struct fleet_report *r);

/*
 * Compares a report with the known incarnation and its count of orders. The
 * count only grows within one incarnation: a lower one is an older report if
 * both have the same start, and a restart if a start isn't reported.
 */
enum fleet_relation fleet_report_compare(const struct fleet_incarnation *known,
					 uint64_t orders,
					 const struct fleet_report *r);

/* Returns whether two lists have the same names (char *) in the same order;
 * false if a list is NULL. The two functions below compare lists likewise. */
bool fleet_same_names(const GPtrArray *a, const GPtrArray *b);
/* Compares models and adapters (struct fleet_held_model). */
bool fleet_same_held(const GArray *a, const GArray *b);
/* Compares models without their adapters. */
bool fleet_same_models(const GArray *a, const GArray *b);

struct fleet_order {
	bool load; /* else unload */
	const char *model;
	const char *adapter; /* NULL: the model itself */
	uint64_t expect;     /* orders accepted so far, as last reported */
	const char *holder;  /* name of the ordering VM; constant for each VM */
	uint64_t fence;	     /* only grows */
};

enum fleet_order_answer {
	FLEET_ORDER_ACCEPTED,	 /* accepted and being carried out */
	FLEET_ORDER_UNCHANGED,	 /* nothing to do: already in this state */
	FLEET_ORDER_BUSY,	 /* another order runs, or expect is outdated */
	FLEET_ORDER_FENCED,	 /* its fencing token is outdated */
	FLEET_ORDER_MISDIRECTED, /* another incarnation answered */
	FLEET_ORDER_INVALID,
	FLEET_ORDER_UNKNOWN, /* no clear answer: it may still be accepted */
};

#endif
