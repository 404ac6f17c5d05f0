/*
 * The rate limit that an endpoint signals in its answers. It holds for all VMs
 * together, for as long as the endpoint signals it. Entries share it as they
 * share a customer's limit (quota.h), with the endpoint as the customer. If
 * each entry enforced the whole limit by itself, the endpoint would get up to
 * the limit from each of them.
 */
#ifndef SS_ENDPOINT_LIMIT_H
#define SS_ENDPOINT_LIMIT_H

#include "../customer/quota.h"

#define ENDPOINT_LIMIT_NONE (-1.0)

struct endpoint_limit {
	double per_s;	   /* requests per second, or ENDPOINT_LIMIT_NONE */
	int64_t signal_ms; /* time of the last signal; 0: none yet */
};

/* Records the limit that the endpoint signaled at a time. Returns whether the
 * limit changed; a signal older than the known one is ignored. */
bool endpoint_limit_update(struct endpoint_limit *l, double per_s,
			   int64_t at_ms);

/* Return the limit in wire format: the rate in thousandths of a request per
 * second plus one, 0 for none; the age of the signal in ms plus one, 0 if there
 * was none. */
int64_t endpoint_limit_wire(const struct endpoint_limit *l);
int64_t endpoint_limit_wire_age(const struct endpoint_limit *l, int64_t now);
/* Records a limit received in wire format. Returns whether it changed. */
bool endpoint_limit_received(struct endpoint_limit *l, int64_t wire,
			     int64_t age, int64_t now);

/*
 * Returns whether the limit is so low that an engine with that many slots can't
 * be filled; such an engine gets no further models. This expires: an endpoint
 * that gets no requests can't signal that its limit was raised.
 */
bool endpoint_limit_is_low(const struct endpoint_limit *l, int64_t slots,
			   int64_t now);

/* Returns the interval at which an agent polls the endpoint beside the callers'
 * requests; at least min_ms. */
int64_t endpoint_limit_poll_ms(const struct endpoint_limit *l, int64_t min_ms);

/* Returns the limit as that of a customer; the result points to addr. */
struct customer endpoint_limit_as_customer(const struct endpoint_limit *l,
					   char *addr);
/* By how much all entries together may exceed the limit. */
extern const struct quota_options endpoint_limit_quota;

#endif
