/* Selects the endpoint that serves a call. */
#include "balance.h"

/* Penalties are in calls: a node without one is preferred while it has at most
 * that many calls more. */
#define FAR_PENALTY 0.7	     /* traffic between failure domains is charged */
#define ADAPTER_PENALTY 3.0  /* a load takes 6 ms and evicts an adapter */
#define AFFINITY_PENALTY 1.5 /* about 5 ms to prefill a shared prompt again */
#define FAILURE_PENALTY 20.0 /* a failure rate of 10 % weighs as two calls */
#define TRIED_PENALTY 10.0
/* An engine takes calls up to this multiple of the mean load: all of its calls
 * are replaced once while as many new ones arrive. */
#define ROOM_PER_MEAN_LOAD 2.0
/* The distance penalty shrinks once the fastest nearby node needs more than
 * this part of the latency objective. */
#define FAR_DISCOUNT_FROM 0.5
/* Weight of the newest call in the moving average of failures. */
#define FAILURE_ALPHA 0.15

int64_t balance_load(const struct balance_node *n)
{
	return MAX(n->own_calls, n->reported + n->sent_since);
}

double balance_random(uint64_t *seed)
{
	return (double)(ss_random(seed) >> 11) / (double)(1ULL << 53);
}

/* Values common to all candidates of one choice. */
struct choice_context {
	uint64_t max_affinity;
	double far_penalty; /* distance penalty of a far node, in calls */
};

/* Returns the penalty of a node against another with the same load, in calls.
 */
static double penalty(const struct balance_node *n,
		      const struct choice_context *c)
{
	double s = FAILURE_PENALTY * n->failure_rate;

	if (!n->near)
		s += c->far_penalty;
	if (!n->has_adapter)
		s += ADAPTER_PENALTY;
	if (n->affinity != c->max_affinity)
		s += AFFINITY_PENALTY;
	if (n->tried)
		s += TRIED_PENALTY;
	return s;
}

static double slowness(const struct balance_node *n)
{
	return n->slowness > 0 ? n->slowness : 1;
}

/*
 * Returns the load of a node in calls of a node of usual speed. The call to be
 * sent is included for a slow node, so that faster idle nodes come first. If
 * the comparison starts with a slow node, that node is treated as one of usual
 * speed with probability 1/slowness: without any calls its recovery would not
 * be noticed.
 */
static double weighted_load(const struct balance_node *n, bool is_first,
			    uint64_t *seed)
{
	double load = (double)balance_load(n), slow = slowness(n);

	if (slow > 1 && is_first && balance_random(seed) < 1 / slow)
		return load;
	return load * slow + MAX(slow - 1, 0);
}

/*
 * Returns load plus penalty plus a random term. If all entries chose the least
 * loaded node by reports of the same age, a hundred calls would go to one node
 * before the next report. An entry doesn't know how many calls the others have
 * sent since the last report, or where. It draws that number at random up to
 * the expected one, and nodes that differ by less share the calls.
 */
static double score(const struct balance_node *n,
		    const struct choice_context *c, bool is_first,
		    uint64_t *seed)
{
	double load = weighted_load(n, is_first, seed);

	return load + n->unreported * balance_random(seed) + penalty(n, c);
}

static uint64_t max_affinity_of(const struct balance_node *n, size_t count)
{
	uint64_t max = 0;

	for (size_t i = 0; i < count; i++)
		if (n[i].usable)
			max = MAX(max, n[i].affinity);
	return max;
}

static bool is_full(const struct balance_node *n, double fill)
{
	return (double)balance_load(n) >= (double)MAX(n->slots, 1) * fill;
}

/* Returns the distance penalty. A call is better served far away than late, so
 * the penalty falls to 0 as the fastest nearby node with room approaches the
 * latency objective. */
static double far_penalty_of(const struct balance_node *n, size_t count,
			     double fill)
{
	double used = -1;

	for (size_t i = 0; i < count; i++) {
		if (!n[i].usable || !n[i].near || is_full(&n[i], fill))
			continue;
		used = used < 0 ? n[i].objective_used :
				  MIN(used, n[i].objective_used);
	}
	if (used <= FAR_DISCOUNT_FROM)
		return FAR_PENALTY;
	return FAR_PENALTY * MAX(1 - used, 0) / (1 - FAR_DISCOUNT_FROM);
}

static struct choice_context choice_context_of(const struct balance_node *n,
					       size_t count, double fill)
{
	struct choice_context c = { max_affinity_of(n, count),
				    far_penalty_of(n, count, fill) };

	return c;
}

bool balance_has_room(const struct balance_node *n, double fill)
{
	return !is_full(n, fill);
}

int balance_choose(const struct balance_node *n, size_t count, double fill,
		   uint64_t tie)
{
	struct choice_context c = choice_context_of(n, count, fill);
	uint64_t seed = tie;
	double best_score = 0;
	int best = BALANCE_NO_ENDPOINT;

	for (size_t k = 0; k < count; k++) {
		size_t i = (k + tie) % count;
		double s;

		if (!n[i].usable)
			continue;
		if (is_full(&n[i], fill)) {
			if (best == BALANCE_NO_ENDPOINT)
				best = BALANCE_FULL;
			continue;
		}
		s = score(&n[i], &c, k == 0, &seed);
		if (best >= 0 && s >= best_score)
			continue;
		best = (int)i;
		best_score = s;
	}
	return best;
}

/* Returns the mean load of the nodes that have room; 0 if none has. */
static double mean_load(const struct balance_node *n, size_t count, double fill)
{
	double sum = 0;
	size_t n_open = 0;

	for (size_t i = 0; i < count; i++) {
		if (!n[i].usable || is_full(&n[i], fill))
			continue;
		sum += (double)balance_load(&n[i]);
		n_open++;
	}
	return n_open ? sum / (double)n_open : 0;
}

int balance_choose_weighted(const struct balance_node *n, size_t count,
			    double fill, uint64_t tie)
{
	struct choice_context c = choice_context_of(n, count, fill);
	uint64_t seed = tie;
	double level = ROOM_PER_MEAN_LOAD * mean_load(n, count, fill);
	double *room = g_newa(double, count + 1);
	double total = 0, rest;

	for (size_t i = 0; i < count; i++) {
		room[i] = level - (double)balance_load(&n[i]) -
			  penalty(&n[i], &c);
		room[i] /= slowness(&n[i]);
		if (!n[i].usable || is_full(&n[i], fill))
			room[i] = 0;
		room[i] = MAX(room[i], 0);
		total += room[i];
	}
	if (total <= 0)
		return balance_choose(n, count, fill, tie);
	rest = balance_random(&seed) * total;
	for (size_t i = 0; i < count; i++) {
		if (room[i] > rest)
			return (int)i;
		rest -= room[i];
	}
	return balance_choose(n, count, fill, tie);
}

void balance_record_result(double *rate, bool failed)
{
	*rate += FAILURE_ALPHA * ((failed ? 1.0 : 0.0) - *rate);
}
