/* Which endpoint gets a call. */
#include "balance.h"

/* Scores are calls: how many more a node may have and be preferred all the
 * same. */
#define FAR_SCORE 0.7	   /* bytes between failure domains are priced */
#define ADAPTER_SCORE 3.0  /* a load of 6 ms, and another adapter leaves */
#define AFFINITY_SCORE 1.5 /* reading a shared prompt again, some 5 ms */
#define FAILING_SCORE 20.0 /* a tenth of failures: as two calls more */
#define TRIED_SCORE 10.0
/* Engines have room up to this multiple of their mean: what they run turns over
 * once while calls as many as that come. */
#define ROOM_OVER_MEAN 2.0
/* Near ones fill up from this part of their callers' objective on. */
#define LATE_FROM 0.5
/* Weight of the newest call in the share of failures. */
#define FAILING_ALPHA 0.15

int64_t balance_load(const struct balance_node *n)
{
	return MAX(n->own, n->reported + n->since);
}

double balance_draw(uint64_t *seed)
{
	return (double)(ss_random(seed) >> 11) / (double)(1ULL << 53);
}

/* What all nodes of one choice are compared by. */
struct comparison {
	uint64_t most_affine;
	double far; /* how much worse a far node is, in calls */
};

/* How much a node is worse than another with as many calls, in calls. */
static double penalty(const struct balance_node *n, const struct comparison *c)
{
	double s = FAILING_SCORE * n->failing;

	if (!n->near)
		s += c->far;
	if (!n->has_adapter)
		s += ADAPTER_SCORE;
	if (n->affinity != c->most_affine)
		s += AFFINITY_SCORE;
	if (n->tried)
		s += TRIED_SCORE;
	return s;
}

static double slowness(const struct balance_node *n)
{
	return n->slow > 0 ? n->slow : 1;
}

/*
 * A slow node's calls count for as many as others run in the same time, also
 * the one that is to be sent: idle nodes that are faster go first. A slow node
 * with which the comparison begins is taken to be like others in one case of
 * so many, or it would get no calls and never be seen to recover.
 */
static double weighed_load(const struct balance_node *n, bool begins,
			   uint64_t *seed)
{
	double load = (double)balance_load(n), slow = slowness(n);

	if (slow > 1 && begins && balance_draw(seed) < 1 / slow)
		return load;
	return load * slow + MAX(slow - 1, 0);
}

/*
 * Entries that all take the emptiest by reports of the same age send a hundred
 * calls to one node before the next report. How many others have sent since,
 * and where, nobody knows; so each draws it anew, up to as many as come, and
 * nodes that differ by less than that get their share of calls by chance.
 */
static double score(const struct balance_node *n, const struct comparison *c,
		    bool begins, uint64_t *seed)
{
	double load = weighed_load(n, begins, seed);

	return load + n->unseen * balance_draw(seed) + penalty(n, c);
}

static uint64_t most_affine_of(const struct balance_node *n, size_t count)
{
	uint64_t most = 0;

	for (size_t i = 0; i < count; i++)
		if (n[i].usable)
			most = MAX(most, n[i].affinity);
	return most;
}

static bool is_full(const struct balance_node *n, double fill)
{
	return (double)balance_load(n) >= (double)MAX(n->slots, 1) * fill;
}

/* A call is better off far away than late: the nearer the best of the near
 * ones comes to that, the less the distance counts. */
static double far_score(const struct balance_node *n, size_t count, double fill)
{
	double late = -1;

	for (size_t i = 0; i < count; i++) {
		if (!n[i].usable || !n[i].near || is_full(&n[i], fill))
			continue;
		late = late < 0 ? n[i].late : MIN(late, n[i].late);
	}
	if (late <= LATE_FROM)
		return FAR_SCORE;
	return FAR_SCORE * MAX(1 - late, 0) / (1 - LATE_FROM);
}

static struct comparison comparison_of(const struct balance_node *n,
				       size_t count, double fill)
{
	struct comparison c = { most_affine_of(n, count),
				far_score(n, count, fill) };

	return c;
}

bool balance_has_room(const struct balance_node *n, double fill)
{
	return !is_full(n, fill);
}

int balance_choose(const struct balance_node *n, size_t count, double fill,
		   uint64_t tie)
{
	struct comparison c = comparison_of(n, count, fill);
	uint64_t seed = tie;
	double best_score = 0;
	int best = BALANCE_NOBODY;

	for (size_t k = 0; k < count; k++) {
		size_t i = (k + tie) % count;
		double s;

		if (!n[i].usable)
			continue;
		if (is_full(&n[i], fill)) {
			if (best == BALANCE_NOBODY)
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

/* The mean of those that have room; 0: none has. */
static double mean_load(const struct balance_node *n, size_t count, double fill)
{
	double sum = 0;
	size_t open = 0;

	for (size_t i = 0; i < count; i++) {
		if (!n[i].usable || is_full(&n[i], fill))
			continue;
		sum += (double)balance_load(&n[i]);
		open++;
	}
	return open ? sum / (double)open : 0;
}

int balance_share(const struct balance_node *n, size_t count, double fill,
		  uint64_t tie)
{
	struct comparison c = comparison_of(n, count, fill);
	uint64_t seed = tie;
	double level = ROOM_OVER_MEAN * mean_load(n, count, fill);
	double *room = g_newa(double, count + 1);
	double all = 0, at;

	for (size_t i = 0; i < count; i++) {
		room[i] = level - (double)balance_load(&n[i]) -
			  penalty(&n[i], &c);
		room[i] /= slowness(&n[i]);
		if (!n[i].usable || is_full(&n[i], fill))
			room[i] = 0;
		room[i] = MAX(room[i], 0);
		all += room[i];
	}
	if (all <= 0)
		return balance_choose(n, count, fill, tie);
	at = balance_draw(&seed) * all;
	for (size_t i = 0; i < count; i++) {
		if (room[i] > at)
			return (int)i;
		at -= room[i];
	}
	return balance_choose(n, count, fill, tie);
}

void balance_note(double *failing, bool failed)
{
	*failing += FAILING_ALPHA * ((failed ? 1.0 : 0.0) - *failing);
}
