/*
 * Customers: who may send requests, at which priority, and how much each may
 * request. Operators configure them with the routing. A customer is immutable
 * and reference-counted: requests hold a reference.
 */
#ifndef SS_CUSTOMER_H
#define SS_CUSTOMER_H

#include <sapphireshift/base.h>

/* Digest of an API key. Processes that accept requests keep nothing else of a
 * key, so that neither their memory nor a core dump reveals one. */
#define CUSTOMER_KEY_BYTES 32
struct customer_key {
	guint8 digest[CUSTOMER_KEY_BYTES]; /* SHA-256 */
};

/* A customer's limit over all entries together: a token bucket. */
struct customer_limit {
	double per_s;	       /* 0: no limit */
	double burst;	       /* size of the bucket */
	bool tokens;	       /* counted in tokens, otherwise in requests */
	double default_tokens; /* tokens of a request that states none */
};

struct customer {
	int refs;
	char *name;
	GArray *keys;	  /* struct customer_key; empty: no access */
	int64_t priority; /* of its requests, 0 is highest; -1: as the route's
			   */
	struct customer_limit limit;
	bool removing; /* the change that is being checked removes it */
};

struct customer *customer_new(void);
struct customer *customer_ref(struct customer *c);
void customer_unref(struct customer *c);
void customer_add_key(struct customer *c, struct ss_str key);

/* Returns a request's cost against the limit; tokens is 0 where the request
 * states none. */
double customer_cost(const struct customer *c, int64_t tokens);

/* The table of customers, by name and by key. */
struct customers {
	GHashTable *by_name; /* name -> struct customer */
	GHashTable *by_key;  /* struct customer_key -> struct customer */
};

void customers_init(struct customers *t);
void customers_clear(struct customers *t);

/* Returns the customer that has the key, or NULL. */
struct customer *customers_find(const struct customers *t, struct ss_str key);
struct customer *customers_named(const struct customers *t, const char *name);

enum customers_conflict {
	CUSTOMERS_NO_CONFLICT,
	CUSTOMERS_NAME,
	CUSTOMERS_KEY
};
/*
 * Checks whether customers can be added once those marked as removed are gone.
 * On a conflict, added[*at] has the same name or a key as *other, which is
 * either in the table and stays, or comes earlier in the list.
 */
enum customers_conflict customers_check(const struct customers *t,
					const GPtrArray *added, guint *at,
					const struct customer **other);

/* Adds a customer; the table takes over the reference. Customers that are
 * marked as removed must be removed first. */
void customers_add(struct customers *t, struct customer *c);
void customers_remove(struct customers *t, struct customer *c);

#endif
