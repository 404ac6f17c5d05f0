/*
 * Discovery of the control group's leader: a process queries the configured
 * addresses and those it has received from other processes, several at a
 * time.
 *
 * No single source is enough. The configuration has three addresses, but
 * those VMs are replaced over time, may be down, or may all be relays, which
 * know only what they have received. Received addresses are kept in memory
 * only and are lost if all processes lose power at once. So members announce
 * themselves to the configured addresses, which pass this on to whoever
 * queries them, and each process keeps it in addition to its configuration.
 */
#ifndef SS_DISCOVERY_H
#define SS_DISCOVERY_H

#include <sapphireshift/base.h>

/* Minimum ms between two queries to one address. Faster polling gains
 * nothing: a VM that knows no leader reports one to the processes that have
 * an open query as soon as it learns of one. */
#define DISCOVERY_RETRY_MS 300
/* The same for an address reported as the leader, which is queried at once
 * otherwise: a few round trips, so that processes with outdated state that
 * report each other as the leader aren't queried in a tight loop. */
#define DISCOVERY_HINT_RETRY_MS 50
/* Addresses kept in addition to the configured ones: twice the largest planned
 * group, with two relays for each of its members. */
#define DISCOVERY_MAX_KNOWN 36

struct discovery;

/* configured: the configured addresses (char *). The array is borrowed, and its
 * content may change at any time. */
struct discovery *discovery_new(const GPtrArray *configured, uint64_t seed);
void discovery_free(struct discovery *s);

/*
 * Records what a process reported in its answer or announcement: the leader
 * (empty: unknown) and a member (empty: none). The report may be outdated, so
 * it isn't trusted: the reported addresses are only queried, the leader's
 * first.
 */
void discovery_received(struct discovery *s, struct ss_str leader,
			struct ss_str member);

/*
 * Returns the next address to query; the query counts as open until
 * discovery_query_done(). NULL if every address has an open or a recent query.
 * The string is valid until the next call.
 */
const char *discovery_next(struct discovery *s, int64_t now);
void discovery_query_done(struct discovery *s, const char *addr);

/* Returns the received addresses (char *), to be passed on: the one reported
 * least recently is first. */
const GPtrArray *discovery_known(const struct discovery *s);

#endif
