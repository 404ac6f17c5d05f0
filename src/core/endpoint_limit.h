/*
 * How many requests a second an endpoint takes, by its own word: of all VMs
 * together, for as long as it says so. Entries share it out as a customer's
 * limit (quota.h), with the endpoint in the customer's place.
 *
 * Kept by each entry for itself the endpoint would get it as many times as
 * there are entries.
 */
#ifndef SS_ENDPOINT_LIMIT_H
#define SS_ENDPOINT_LIMIT_H

#include "../customer/quota.h"

#define ENDPOINT_LIMIT_NONE (-1.0)

struct endpoint_limit {
	double per_s;	 /* ENDPOINT_LIMIT_NONE: it names none */
	int64_t said_ms; /* on the clock, when it said so last; 0: never */
};

/* The endpoint has said so at a time. True where that is news; an older word
 * than the one that is known changes nothing. */
bool endpoint_limit_say(struct endpoint_limit *l, double per_s, int64_t at_ms);

/* As it travels: the rate in thousandths and one, 0 for none; the word's age
 * in ms and one, 0 where nothing was ever said. */
int64_t endpoint_limit_wire(const struct endpoint_limit *l);
int64_t endpoint_limit_age(const struct endpoint_limit *l, int64_t now);
/* Take over what was told so; true where that is news. */
bool endpoint_limit_told(struct endpoint_limit *l, int64_t wire, int64_t age,
			 int64_t now);

/*
 * So low that an engine with so many slots can't be filled: no place for
 * further models. Not for ever: an endpoint that nobody calls can't say that
 * its need is over.
 */
bool endpoint_limit_is_narrow(const struct endpoint_limit *l, int64_t slots,
			      int64_t now);

/* The pause between two reads of it by its agent, beside what callers send: at
 * least so long. */
int64_t endpoint_limit_pause_ms(const struct endpoint_limit *l,
				int64_t least_ms);

/* The limit as a customer's; it points to addr. */
struct customer endpoint_limit_account(const struct endpoint_limit *l,
				       char *addr);
/* By how much all entries together may exceed it. */
extern const struct quota_options endpoint_limit_quota;

#endif
