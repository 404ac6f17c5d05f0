/*
 * Allotments as quota_lease hands them out, but each customer's by the entry
 * that its name leads to: rendezvous hashing over those that are reached.
 */
#include "quota_lease.h"

#include <xxhash.h>

static uint64_t owner_home(struct ss_str customer, uint64_t leader,
			   const uint64_t *entries, size_t n)
{
	uint64_t best = 0, home = 0;

	(void)leader;
	for (size_t i = 0; i < n; i++) {
		uint64_t h = XXH3_64bits_withSeed(customer.p, customer.n,
						  entries[i]);

		if (i == 0 || h > best) {
			best = h;
			home = entries[i];
		}
	}
	return home;
}

const struct quota_way quota_owner = {
	.name = "owner",
	.home = owner_home,
	QUOTA_LEASE_SIDES,
};
