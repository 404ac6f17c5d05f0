/*
 * A customer's limit, enforced by all entries together.
 *
 * An entry spends from a grant that it holds, without a message per request.
 * A scheme decides which process hands out grants, and what an entry may spend
 * while it is disconnected: a table of functions, one file per scheme. All of
 * it is pure: the caller provides time, links and messages.
 */
#ifndef SS_QUOTA_H
#define SS_QUOTA_H

#include <sapphireshift/queue.h>

#include "../base/wire.h"
#include "customer.h"

/* By how much a customer may exceed its limit within a window. The overage
 * covers the balances that entries hold. */
struct quota_max_overage {
	double window_s;
	double ratio; /* of what the limit allows per window */
	double extra; /* in addition, in the limit's unit */
};

struct quota_options {
	struct quota_max_overage overage;
};

/* Classes of a customer's requests; less urgent ones count as the last. */
#define QUOTA_CLASSES SS_QUEUE_PRIORITIES

/* State of an entry's quota client for a customer. */
struct quota_client_view {
	double balance;
	int64_t age_ms;	   /* since the last request with a reply; -1: none */
	bool disconnected; /* the allocator is unreachable or silent */
	/* Fraction of each class's recent demand that was served here; 1 where
	 * there was none. */
	double served_ratio[QUOTA_CLASSES];
};

/* An allocator's account of a customer, for monitoring. */
struct quota_account_view {
	double level;		 /* available for grants; below 0: a debt */
	double outstanding;	 /* granted to entries and unspent by their last
				    report */
	double granted, refused; /* since the allocator started */
	uint64_t entries;	 /* with a balance, or possibly with one */
};

/* A request that the limit is to admit. */
struct quota_need {
	double cost;
	bool queued;	 /* QUOTA_WAIT was returned for it before */
	int64_t hold_ms; /* longest expected wait that the caller accepts */
};

/*
 * The order of a customer's requests: a more urgent class goes first, and
 * within a class the earlier objective. A rank of zeros is that of all requests
 * of a limit without classes.
 */
struct quota_rank {
	int class_id;	/* 0 is the most urgent */
	int64_t due_ms; /* time of its objective */
};

enum quota_decision {
	QUOTA_ADMIT,
	QUOTA_REFUSE,
	QUOTA_WAIT, /* for a grant that is being requested */
};

/* Amounts in messages are in thousandths of the limit's unit. */
#define QUOTA_MILLI 1000

/*
 * One class of a customer's requests, in a request or a reply. Only classes in
 * use are listed, the most urgent first; with fewer than two there is no list,
 * and all requests are of one class.
 */
struct quota_class_item {
	int64_t class_id;
	/* In a request. */
	int64_t demand; /* recently, per second */
	int64_t served; /* the part of the demand that was served */
	int64_t want; /* additional amount, for waiting and expected requests */
	int64_t shortfall; /* shortfall of the first waiting request */
	/* In a reply. */
	int64_t grant;
	int64_t retry_after_ms; /* retry delay while a shortfall remains */
};

/* An entry's request to the allocator of a customer. */
struct quota_request {
	struct ss_str customer;
	uint64_t number;	    /* echoed in the reply */
	int64_t balance;	    /* below 0: overdrawn while disconnected */
	int64_t want;		    /* additional amount */
	int64_t shortfall;	    /* shortfall of the first waiting request */
	int64_t demand;		    /* recently, per second */
	int64_t mean_cost;	    /* mean cost of a request */
	int64_t disconnected_spent; /* spent at the rate below since the last
				       request */
	int64_t disconnected_rate;  /* may be spent per second while
				       disconnected, ... */
	int64_t overdraft;	    /* ... and this much beyond the balance */
	int64_t returned;	    /* returned balance */
	int64_t refused; /* refused to callers since the last request */
	/* struct quota_class_item; valid until the entry's next call. The
	 * amounts above are totals of all classes. */
	struct wire_list classes;
};

/* The allocator's reply. */
struct quota_reply {
	struct ss_str customer;
	uint64_t number;
	int64_t grant;
	int64_t disconnected_rate; /* may be spent per second while
				      disconnected, ... */
	int64_t overdraft;	   /* ... and this much beyond the balance */
	int64_t retry_after_ms;	   /* retry delay while a shortfall remains */
	/* struct quota_class_item, whose grants add up to the grant above;
	 * valid until the allocator's next call for that customer. */
	struct wire_list classes;
};

struct quota_scheme {
	const char *name;
	/*
	 * Returns the id of the member that allocates a customer's grants, out
	 * of the reachable ones. A scheme without an allocator has NULL here.
	 * Ids are opaque.
	 */
	uint64_t (*allocator_for)(struct ss_str customer, uint64_t leader,
				  const uint64_t *entries, size_t n);

	/* The entry's side: a quota client for each customer. */
	void *(*clients_new)(const struct quota_options *o, int64_t now);
	void (*clients_free)(void *clients);
	/* Sets the number of entries that share the limits; 0: unknown. */
	void (*clients_set_entries)(void *clients, uint64_t n);
	/* Records that a customer's allocator became reachable or unreachable;
	 * customer NULL: the allocator of all customers. */
	void (*clients_link)(void *clients, const char *customer, bool up,
			     int64_t now);
	/*
	 * Decides whether a request may run. With QUOTA_ADMIT its cost is
	 * spent. With QUOTA_WAIT the caller queues it and tries again. With
	 * QUOTA_REFUSE, *retry_after_ms is the time until a retry may succeed.
	 */
	enum quota_decision (*take)(void *clients, const struct customer *c,
				    const struct quota_need *n, int64_t now,
				    int64_t *retry_after_ms);
	/*
	 * The same for a request with a rank. Callers first try the first
	 * request of each class, in the order of ranks, and then the requests
	 * whose hold_ms have passed: these are admitted as soon as there is
	 * enough for them.
	 */
	enum quota_decision (*take_ranked)(void *clients,
					   const struct customer *c,
					   const struct quota_need *n,
					   const struct quota_rank *r,
					   int64_t now,
					   int64_t *retry_after_ms);
	/* Removes a waiting request that its caller cancelled. */
	void (*cancel)(void *clients, const struct customer *c, double cost);
	void (*cancel_ranked)(void *clients, const struct customer *c,
			      double cost, const struct quota_rank *r);
	/* Refunds the cost of a request that was admitted but wasn't run. */
	void (*refund)(void *clients, const struct customer *c, double cost,
		       const struct quota_rank *r, int64_t now);
	/* Appends the requests to the allocator that are due, as struct
	 * quota_request; their strings are valid until the entry's next call.
	 */
	void (*clients_requests)(void *clients, int64_t now, GArray *out);
	/* Handles an allocator's reply. */
	void (*clients_reply)(void *clients, const struct quota_reply *reply,
			      int64_t now);
	/* Returns the state for a customer, for monitoring. */
	struct quota_client_view (*clients_view)(const void *clients,
						 const char *customer,
						 int64_t now);

	/* The allocator's side. */
	void *(*allocator_new)(const struct quota_options *o, int64_t now);
	void (*allocator_free)(void *allocator);
	/* Handles an entry's request and fills in the reply. holder is the
	 * entry's incarnation. Returns false where no reply is to be sent. */
	bool (*allocator_request)(void *allocator, uint64_t holder,
				  const struct customer *c,
				  const struct quota_request *req, int64_t now,
				  struct quota_reply *out);
	/* Records that an entry is disconnected. */
	void (*allocator_client_lost)(void *allocator, uint64_t holder,
				      int64_t now);
	/* Fills in the account of a customer, for monitoring. Returns false
	 * where there is none. */
	bool (*allocator_view)(void *allocator, const char *customer,
			       int64_t now, struct quota_account_view *out);
	/* Drops accounts that a new one would equal; to be called
	 * periodically. */
	void (*allocator_prune)(void *allocator, int64_t now);
};

/* Each entry has an equal part of every limit, without messages. */
extern const struct quota_scheme quota_even;
/* The leader grants by demand. */
extern const struct quota_scheme quota_lease;
/* Grants by demand, from the entry that a customer's name hashes to. */
extern const struct quota_scheme quota_owner;

#endif
