/*
 * Entries that keep customers' limits together, in simulated time: the real
 * decisions, with delays, cuts, freezes, restarts, slow VMs and lost places
 * between them. What it shows is what callers and operators would see.
 */
#ifndef SS_QUOTA_WORLD_H
#define SS_QUOTA_WORLD_H

#include "../src/customer/quota.h"

enum world_kind {
	WORLD_CUT,     /* entries are cut off from all others */
	WORLD_FREEZE,  /* they stand still */
	WORLD_RESTART, /* they start anew, for_ms later */
	WORLD_SLOW,    /* their loop turns five times slower */
	WORLD_LEADER,  /* the leader is lost, another comes for_ms later */
	WORLD_POWER,   /* all processes are lost, and come for_ms later */
	WORLD_LIMIT,   /* limits are x times what they were */
	WORLD_HOT,     /* a customer sends x times as much, from one domain */
	WORLD_JOIN,    /* entries that weren't there before come */
};

struct world_event {
	int64_t at_ms; /* from the first callers on */
	enum world_kind kind;
	int64_t for_ms;
	int first, count; /* entries; of WORLD_HOT and WORLD_LIMIT: customers */
	double x;
};

/* Requests of one class. */
struct world_class {
	int class_id; /* 0 is first */
	int64_t objective_ms;
	double share; /* of the requests */
	double cost;  /* in the mean */
};

/* Urgent requests, and patient ones that may wait for tokens for long. */
#define WORLD_TWO_CLASSES 2
extern const struct world_class world_two_classes[WORLD_TWO_CLASSES];
/* Three classes, one of them of two kinds. */
#define WORLD_THREE_CLASSES 4
extern const struct world_class world_three_classes[WORLD_THREE_CLASSES];

/* What is told of classes. */
enum world_sharing {
	WORLD_BY_CLASS, /* all: entries ask, and the place grants, by class */
	WORLD_AT_ENTRY, /* the place isn't told */
	WORLD_IN_ORDER, /* nothing: first come, first served */
};

struct world_options {
	const struct quota_way *way;
	int entries, customers, domains;
	int64_t length_ms;
	double requests_per_s; /* of all customers together */
	double limit_x;	       /* limits against what customers send */
	double floor_per_s;    /* the least limit */
	struct quota_slack slack;
	double delay_ms;  /* one way, between failure domains */
	double cpu_share; /* of a place */
	double drift;	  /* of clocks, at most */
	uint64_t seed;
	const struct world_event *events;
	size_t n_events;
	const struct world_class *classes; /* NULL: all are alike */
	size_t n_classes;
	enum world_sharing sharing;
};

/* A caller of plain requests wants an answer within this, in ms. */
#define WORLD_LATE_MS 100

struct world_share {
	double asked;	/* tokens */
	double served;	/* part of that */
	double in_time; /* part that waited half of its objective at most */
};

struct world_result {
	double worst;	      /* of all windows, against what is allowed */
	char worst_at[96];    /* where and when that was */
	double refused;	      /* share of what was owed and wasn't admitted */
	double worst_refused; /* of one customer with some traffic */
	double served;	      /* share of the requests */
	double waited;	      /* share of the requests that waited ... */
	double waited_ms;     /* ... for so long in the mean */
	double late;	      /* share that waited longer than WORLD_LATE_MS */
	double messages, bytes, far_bytes; /* a second, over all links */
	double place_asks;		   /* a second, at the busiest place */
	double place_us;		   /* processor time of one ask there */
	struct world_share classes[QUOTA_CLASSES]; /* as in the options */
};

void world_run(const struct world_options *o, struct world_result *r);

#endif
