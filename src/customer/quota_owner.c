/*
 * Scheme "owner": grants as in quota_lease, but a customer's allocator is the
 * entry that the customer's name hashes to, by rendezvous hashing over the
 * reachable entries.
 */
#include "quota_lease.h"

#include <xxhash.h>

static uint64_t owner_allocator_for(struct ss_str customer, uint64_t leader,
				    const uint64_t *entries, size_t n)
{
	uint64_t best = 0, owner = 0;

	(void)leader;
	for (size_t i = 0; i < n; i++) {
		uint64_t h = XXH3_64bits_withSeed(customer.p, customer.n,
						  entries[i]);

		if (i == 0 || h > best) {
			best = h;
			owner = entries[i];
		}
	}
	return owner;
}

const struct quota_scheme quota_owner = {
	.name = "owner",
	.allocator_for = owner_allocator_for,
	QUOTA_LEASE_FUNCTIONS,
};
