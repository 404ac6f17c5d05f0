/* What the fleet of endpoints tells of itself, and what it is ordered. */
#ifndef SS_FLEET_TYPES_H
#define SS_FLEET_TYPES_H

#include <sapphireshift/base.h>

/* One endpoint as the VM list shows it; the list lags. */
struct fleet_instance {
	char *id; /* of this incarnation */
	char *service;
	char *addr;
	char *domain;
	int64_t slots;
	bool leaving;
	GPtrArray *models; /* char *, held in accelerator memory */
};

void fleet_instance_clear(void *instance);

/* A model in an engine's accelerator memory. */
struct fleet_held {
	char *model;
	int64_t version;
	GPtrArray *adapters; /* char * */
};

/* An engine's report of itself. */
struct fleet_report {
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

/* The same names (char *) in the same order; false where a list is NULL. */
bool fleet_same_names(const GPtrArray *a, const GPtrArray *b);
/* The same models and adapters (struct fleet_held) in the same order. */
bool fleet_same_held(const GArray *a, const GArray *b);

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
