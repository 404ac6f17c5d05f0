/*
 * Quota clients, an entry's side of customers' limits: what spending grants
 * (quota_client.c) and requesting them (quota_client_request.c) share. Private
 * to these files.
 */
#ifndef SS_QUOTA_CLIENT_INT_H
#define SS_QUOTA_CLIENT_INT_H

#include "../core/stream_timing.h"
#include "quota_classes.h"
#include "quota_lease.h"

/* A grant covers an entry's demand for this time, in s: several round trips to
 * the allocator, so that most requests needn't wait. */
#define GRANT_DEMAND_S 0.4
/* Window over which the demand is averaged, in ms: long enough that after a
 * single request no other is expected while a grant lasts. */
#define DEMAND_WINDOW_MS 3000
/* After this time without requests of a customer, in ms, its balance is
 * returned to the allocator. */
#define IDLE_MS 4000

/* State of one class of requests. */
struct quota_client_class {
	double mean;	   /* mean cost of a request */
	double grant_rate; /* recently granted, per second */
	double first_cost; /* cost of the first waiting request, or of a smaller
			      overdue one */
	int64_t first_due_ms; /* time of its objective */
	int64_t retry_at_ms;  /* the allocator has no tokens before */
};

struct quota_client {
	struct quota_clients *clients; /* the table that holds it */
	char *name;
	double balance;
	int64_t balance_until_ms; /* when the balance expires */
	/* While disconnected, the entry may spend at this rate per second, and
	 * overdraw the balance by this amount, until rate_until_ms. */
	double rate, overdraft;
	int64_t rate_until_ms;
	double disconnected_spent; /* spent at that rate and not reported */
	int64_t accrued_ms;	   /* time up to which the rate is accrued */
	double demand;		   /* per second */
	int64_t demand_ms;
	double mean;		 /* mean cost of a request */
	double waiting;		 /* cost of all waiting requests */
	double wanted;		 /* amount wanted by the last request */
	double refused;		 /* since the last request */
	uint64_t number;	 /* of the last request */
	bool connected;		 /* the allocator is reachable, ... */
	int64_t disconnected_ms; /* ... or unreachable since then */
	int64_t connected_ms;	 /* when it last became reachable */
	bool reported;		 /* to the present allocator */
	bool pending;		 /* a request is unanswered */
	int64_t requested_ms;	 /* time of the last request */
	int64_t unanswered_ms;	 /* time of the first unanswered one */
	int64_t retry_at_ms;	 /* as in the classes, for all of them */
	int64_t scarce_until_ms; /* after a partial grant: no request before
				    then */
	int64_t used_ms;	 /* last request of a caller */
	bool due;		 /* in the list of clients with a request due */
	struct quota_classes shares; /* division of the balance */
	struct quota_client_class classes[QUOTA_CLASSES];
	struct quota_class_item parts[QUOTA_CLASSES]; /* of the last request */
};

struct quota_clients {
	GHashTable *by_name;		    /* name -> struct quota_client */
	GPtrArray *due;			    /* struct quota_client */
	struct timing_estimate reply_times; /* of allocators */
	bool connected;
	int64_t disconnected_ms, connected_ms; /* as in struct quota_client */
	int64_t sweep_ms; /* when idle clients were last checked */
};

/* Updates balance and demand to the present time. */
void quota_client_update(struct quota_client *u, int64_t now);
/* Adds a client to the list of those with a request due. */
void quota_client_make_due(struct quota_clients *e, struct quota_client *u);
/* Clears the retry times of all classes: the allocator may have tokens
 * again. */
void quota_client_clear_waits(struct quota_client *u);
/* Returns the balance below which more is requested. */
double quota_client_min_balance(const struct quota_client *u);
/* The same for a class. It needn't cover a whole request, as the class may use
 * tokens of others for that. */
double quota_client_class_min_balance(const struct quota_client *u,
				      int class_id);
/* Returns true if the balance is too low, in total or for a class. */
bool quota_client_is_low(const struct quota_client *u);

#endif
