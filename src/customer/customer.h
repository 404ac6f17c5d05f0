/*
 * Customers: who may send requests, how urgent these are, and how much each
 * may ask for. Operators tell them with the routing; a customer is immutable
 * and lives while a request holds it.
 */
#ifndef SS_CUSTOMER_H
#define SS_CUSTOMER_H

#include <sapphireshift/base.h>

/* Of a key only this is kept where requests are taken, so that neither memory
 * nor a dump of it tells one. */
#define CUSTOMER_KEY_BYTES 32
struct customer_key {
	guint8 digest[CUSTOMER_KEY_BYTES]; /* SHA-256 */
};

/* How much a customer may ask for, over all entries. */
struct customer_limit {
	double per_s; /* 0: no limit */
	double burst; /* beside that, at any moment */
	bool tokens;  /* counted in tokens, else in requests */
	double plain; /* tokens that a request counts as that tells none */
};

struct customer {
	int refs;
	char *name;
	GArray *keys;	  /* struct customer_key; empty: nobody may send */
	int64_t priority; /* of its requests, 0 is first; -1: their route's */
	struct customer_limit limit;
	bool leaves; /* with a change that is being checked */
};

struct customer *customer_new(void);
struct customer *customer_ref(struct customer *c);
void customer_unref(struct customer *c);
void customer_add_key(struct customer *c, struct ss_str key);

/* What a request counts against the limit; 0 tokens: it told none. */
double customer_cost(const struct customer *c, int64_t tokens);

/* Customers by name and by key. */
struct customers {
	GHashTable *by_name; /* name -> struct customer */
	GHashTable *by_key;  /* struct customer_key -> struct customer */
};

void customers_init(struct customers *t);
void customers_clear(struct customers *t);

/* NULL where nobody holds the key. */
struct customer *customers_find(const struct customers *t, struct ss_str key);
struct customer *customers_named(const struct customers *t, const char *name);

/*
 * Whether customers may be added once those that leave are gone. The first
 * clash: added[*at] has the name or a key of *other, whether that stays or
 * comes before it.
 */
enum customers_clash { CUSTOMERS_FIT, CUSTOMERS_NAME, CUSTOMERS_KEY };
enum customers_clash customers_check(const struct customers *t,
				     const GPtrArray *added, guint *at,
				     const struct customer **other);

/* The table takes the reference; what fits is added after what leaves. */
void customers_add(struct customers *t, struct customer *c);
void customers_remove(struct customers *t, struct customer *c);

#endif
