/*
 * Grants by demand, handed out by one allocator and leased to entries: what the
 * two sides share, and the functions of both. Private to this directory.
 *
 * The allocator has a token bucket for each customer and takes grants out of
 * it. No more than the limit is ever handed out, whatever becomes of a grant
 * (lost, spent late, spent by a disconnected entry); the balances of entries
 * are bounded by the permitted overage. An entry that loses the allocator
 * continues at the rate of its last reply for the length of a lease, and the
 * allocator takes that out of the bucket until the entry reports what it spent.
 * Entries may also overdraw their balance against the level of the bucket. The
 * next allocator doesn't inherit that level: a new allocator starts with part
 * of the permitted overage, and for the length of a lease it reserves what
 * entries that haven't reported to it may spend.
 */
#ifndef SS_QUOTA_LEASE_H
#define SS_QUOTA_LEASE_H

#include "quota.h"

/* Balances, and the right to spend while disconnected, expire this long after
 * the request for them, in ms: longer than the replacement of an allocator
 * mostly takes. */
#define QUOTA_LEASE_MS 5000
/* A quota client without requests for this long, in ms, is dropped, as the
 * customer's bucket is full again by then. An allocator drops no account until
 * this long after its start, when the bucket of a new account would be full. */
#define QUOTA_FORGET_MS 60000
/* Minimum retry delay that callers and entries get, in ms. */
#define QUOTA_RETRY_MIN_MS 100
/* Retry delay where no rate is known, in ms. */
#define QUOTA_RETRY_DEFAULT_MS 500

/* Returns the time until an amount has accrued at a rate per second. */
static inline int64_t quota_retry_ms(double shortfall, double per_s)
{
	if (per_s <= 0)
		return QUOTA_RETRY_DEFAULT_MS;
	return MAX((int64_t)(shortfall * 1000 / per_s), QUOTA_RETRY_MIN_MS);
}

/* Converts an amount to the unit of messages. Amounts above 0 are rounded down,
 * so that no tokens are created. */
static inline int64_t quota_to_milli(double n)
{
	return (int64_t)(n * QUOTA_MILLI);
}

static inline double quota_from_milli(int64_t n)
{
	return (double)n / QUOTA_MILLI;
}

void *quota_clients_new(const struct quota_options *o, int64_t now);
void quota_clients_free(void *clients);
void quota_clients_set_entries(void *clients, uint64_t n);
void quota_clients_link(void *clients, const char *customer, bool up,
			int64_t now);
enum quota_decision quota_clients_take(void *clients, const struct customer *c,
				       const struct quota_need *n, int64_t now,
				       int64_t *retry_after_ms);
enum quota_decision quota_clients_take_ranked(
	void *clients, const struct customer *c, const struct quota_need *n,
	const struct quota_rank *r, int64_t now, int64_t *retry_after_ms);
void quota_clients_cancel(void *clients, const struct customer *c, double cost);
void quota_clients_cancel_ranked(void *clients, const struct customer *c,
				 double cost, const struct quota_rank *r);
void quota_clients_refund(void *clients, const struct customer *c, double cost,
			  const struct quota_rank *r, int64_t now);
void quota_clients_requests(void *clients, int64_t now, GArray *out);
void quota_clients_reply(void *clients, const struct quota_reply *reply,
			 int64_t now);
struct quota_client_view quota_clients_view(const void *clients,
					    const char *customer, int64_t now);
void *quota_allocator_new(const struct quota_options *o, int64_t now);
void quota_allocator_free(void *allocator);
bool quota_allocator_request(void *allocator, uint64_t holder,
			     const struct customer *c,
			     const struct quota_request *req, int64_t now,
			     struct quota_reply *out);
bool quota_allocator_view(void *allocator, const char *customer, int64_t now,
			  struct quota_account_view *out);
void quota_allocator_client_lost(void *allocator, uint64_t holder, int64_t now);
void quota_allocator_prune(void *allocator, int64_t now);

/* The functions of both sides, for schemes that differ only in the choice of
 * the allocator. */
#define QUOTA_LEASE_FUNCTIONS                                                  \
	.clients_new = quota_clients_new, .clients_free = quota_clients_free,  \
	.clients_set_entries = quota_clients_set_entries,                      \
	.clients_link = quota_clients_link, .take = quota_clients_take,        \
	.take_ranked = quota_clients_take_ranked,                              \
	.cancel = quota_clients_cancel,                                        \
	.cancel_ranked = quota_clients_cancel_ranked,                          \
	.refund = quota_clients_refund,                                        \
	.clients_requests = quota_clients_requests,                            \
	.clients_reply = quota_clients_reply,                                  \
	.clients_view = quota_clients_view,                                    \
	.allocator_new = quota_allocator_new,                                  \
	.allocator_free = quota_allocator_free,                                \
	.allocator_request = quota_allocator_request,                          \
	.allocator_client_lost = quota_allocator_client_lost,                  \
	.allocator_view = quota_allocator_view,                                \
	.allocator_prune = quota_allocator_prune

#endif
