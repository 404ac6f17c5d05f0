/* What the fleet of endpoints tells of itself, and what it is ordered. */
#ifndef SS_FLEET_TYPES_H
#define SS_FLEET_TYPES_H

#include <sapphireshift/base.h>

/*
 * One start of an endpoint. A restarted endpoint may keep its id, so the id
 * alone doesn't tell what it still holds, nor which orders it counts.
 */
struct fleet_incarnation {
	char *id;	    /* NULL or empty: not told */
	int64_t started_ms; /* Unix, by the endpoint's own clock; 0: not told */
	char *version;	    /* of its software; NULL or empty: not told */
};

/* What is told of an endpoint, against the incarnation believed there. */
enum fleet_told {
	FLEET_SAME,	 /* of the incarnation believed */
	FLEET_RESTARTED, /* of a later one: nothing known before holds */
	FLEET_LATE,	 /* of an earlier one: it changes nothing */
};

/*
 * The rule. Another id is another incarnation, whatever the starts say: they
 * may be of two VMs, whose clocks differ. Under one id, or where one id isn't
 * told, the later start is the later incarnation, and where a start isn't told,
 * another version is. A part that isn't told proves nothing, so a message
 * without a start is taken as before starts were told, and doesn't undo the
 * start that is known.
 */
enum fleet_told fleet_incarnation_judge(const struct fleet_incarnation *known,
					const struct fleet_incarnation *told);
/* Its version; empty where that isn't told. */
const char *fleet_version(const struct fleet_incarnation *i);
/* Both ids are told, and they differ. */
bool fleet_other_id(const struct fleet_incarnation *known,
		    const struct fleet_incarnation *told);
/*
 * Take over what is told. An id that isn't known yet is taken from anyone; a
 * start only grows, but for another id's.
 */
void fleet_incarnation_learn(struct fleet_incarnation *known,
			     const struct fleet_incarnation *told);
void fleet_incarnation_clear(struct fleet_incarnation *i);
struct fleet_incarnation *
fleet_incarnation_dup(const struct fleet_incarnation *i);
void fleet_incarnation_free(void *incarnation);

/* One endpoint as the VM list shows it; the list lags. */
struct fleet_instance {
	char *id;
	int64_t started_ms; /* as in struct fleet_incarnation */
	char *version;	    /* the same */
	char *service;
	char *addr;
	char *domain;
	int64_t slots;
	bool leaving;
	GPtrArray *models; /* char *, held in accelerator memory */
};

void fleet_instance_clear(void *instance);
/* A view into it. */
struct fleet_incarnation fleet_instance_self(const struct fleet_instance *i);
/*
 * One entry for each address: addr -> const struct fleet_instance, views into
 * the list. One that crashed stays listed for some seconds, beside the one
 * that has its address now: the later start counts, and where one isn't
 * told, the later entry.
 */
GHashTable *fleet_instances_by_addr(const GArray *instances);

/* A model in an engine's accelerator memory. */
struct fleet_held {
	char *model;
	int64_t version;
	GPtrArray *adapters; /* char * */
};

/* An engine's report of itself. */
struct fleet_report {
	/* The engine tells its start; its agent adds the id. */
	struct fleet_incarnation self;
	bool busy;	 /* an order is being carried out */
	uint64_t orders; /* accepted since its start */
	int64_t running, waiting;
	int64_t tokens_used, tokens_total;
	bool leaving;
	int64_t remaining_ms;	     /* until it is taken away; -1: not told */
	GArray *held;		     /* struct fleet_held */
	GPtrArray *loading_adapters; /* char *, "model/adapter" */
	GPtrArray *in_memory;	     /* char *, copies of weights */
	GPtrArray *on_disk;	     /* char * */
};

void fleet_report_clear(struct fleet_report *r);

/*
 * A report against the incarnation and the count of orders believed. The
 * count only grows within one incarnation: a lower one is an older report
 * where both tell the same start, and a restart where a start isn't told.
 */
enum fleet_told fleet_report_judge(const struct fleet_incarnation *known,
				   uint64_t orders,
				   const struct fleet_report *r);

/* The same names (char *) in the same order; false where a list is NULL. */
bool fleet_same_names(const GPtrArray *a, const GPtrArray *b);
/* The same models and adapters (struct fleet_held) in the same order. */
bool fleet_same_held(const GArray *a, const GArray *b);
/* The same models, whatever their adapters. */
bool fleet_same_models(const GArray *a, const GArray *b);

struct fleet_order {
	bool load; /* else unload */
	const char *model;
	const char *adapter; /* NULL: the model itself */
	uint64_t expect;     /* orders accepted so far, as last reported */
	const char *holder;  /* who orders: one VM for good */
	uint64_t fence;	     /* only grows */
};

enum fleet_order_answer {
	FLEET_ORDER_TAKEN,     /* being carried out */
	FLEET_ORDER_HOLDS,     /* it is so already */
	FLEET_ORDER_BUSY,      /* another is under way, or expect is old */
	FLEET_ORDER_FENCED,    /* the fence is older than one seen */
	FLEET_ORDER_MISPLACED, /* another incarnation answers there */
	FLEET_ORDER_INVALID,
	FLEET_ORDER_UNKNOWN, /* no clear answer: it may still be taken */
};

#endif
