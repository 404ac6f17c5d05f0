/*
 * Simulation of entries that enforce customers' limits together. It runs the
 * real code in simulated time, with message delays, partitions, freezes,
 * restarts, slow VMs and lost allocators. Its results are what callers and
 * operators would see.
 */
#ifndef SS_QUOTA_WORLD_H
#define SS_QUOTA_WORLD_H

#include "../src/customer/quota.h"

enum world_event_kind {
	WORLD_PARTITION,   /* entries are partitioned from all others */
	WORLD_FREEZE,	   /* entries are suspended */
	WORLD_RESTART,	   /* entries stop and start again for_ms later */
	WORLD_SLOW,	   /* event loops of entries are five times slower */
	WORLD_LEADER_LOSS, /* the leader is lost, and replaced for_ms later */
	WORLD_POWER_LOSS, /* all processes are lost, and restart for_ms later */
	WORLD_LIMIT,	  /* limits are multiplied by x */
	WORLD_HOT,	  /* a customer sends x times as much, in one domain */
	WORLD_JOIN,	  /* new entries start */
};

struct world_event {
	int64_t at_ms; /* since the first requests */
	enum world_event_kind kind;
	int64_t for_ms;	  /* duration; 0: permanent */
	int first, count; /* entries; of WORLD_HOT and WORLD_LIMIT: customers */
	double x;
};

/* A kind of requests. */
struct world_class {
	int class_id; /* 0 is the most urgent */
	int64_t objective_ms;
	double share; /* of the requests */
	double cost;  /* mean */
};

/* Urgent requests, and patient ones that may wait long for tokens. */
#define WORLD_TWO_CLASSES 2
extern const struct world_class world_two_classes[WORLD_TWO_CLASSES];
/* Three classes, one of which has two kinds of requests. */
#define WORLD_THREE_CLASSES 4
extern const struct world_class world_three_classes[WORLD_THREE_CLASSES];

/* How far classes are taken into account. */
enum world_sharing {
	WORLD_BY_CLASS, /* requests and grants are by class */
	WORLD_AT_ENTRY, /* by entries only: the allocator gets no classes */
	WORLD_FIFO,	/* not at all: first in, first out */
};

struct world_options {
	const struct quota_scheme *scheme;
	int entries, customers, domains;
	int64_t length_ms;
	double requests_per_s; /* of all customers */
	double limit_x; /* limits relative to the rate that customers send */
	double floor_per_s; /* lower bound of limits */
	struct quota_max_overage overage;
	double delay_ms;  /* one way, between failure domains */
	double cpu_share; /* fraction of a core for an allocator */
	double drift;	  /* maximum drift of clocks */
	uint64_t seed;
	const struct world_event *events;
	size_t n_events;
	const struct world_class
		*classes; /* NULL: all requests are of one class */
	size_t n_classes;
	enum world_sharing sharing;
};

/* A request that waited longer than this counts as late, in ms: callers of
 * requests without classes expect an answer within it. */
#define WORLD_LATE_MS 100

struct world_share {
	double requested; /* in tokens */
	double served;	  /* fraction of the requested tokens */
	double in_time; /* fraction that waited at most half of its objective */
};

struct world_result {
	double worst;	   /* highest use of a window, relative to its bound */
	char worst_at[96]; /* customer and time of that window */
	double refused; /* fraction of the tokens within the limit that wasn't
			   admitted */
	double worst_refused; /* the highest such fraction of a customer with
				 enough traffic */
	double served;	      /* fraction of the requests */
	double waited;	      /* fraction of the requests that waited */
	double waited_ms;     /* their mean wait */
	double late; /* fraction that waited longer than WORLD_LATE_MS */
	double messages, bytes,
		cross_domain_bytes; /* per second, over all links */
	double allocator_requests;  /* per second, at the busiest allocator */
	double allocator_us;	    /* CPU time per request to an allocator */
	struct world_share
		classes[QUOTA_CLASSES]; /* in the order of the options */
};

void world_run(const struct world_options *o, struct world_result *r);

#endif
