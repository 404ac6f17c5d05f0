/* Keep-alive and preload decisions from a model's history of arrivals. */
#include <sapphireshift/keep.h>

#include <math.h>

/* Upper bound of the histogram's first bucket. */
#define GAP_MIN_MS 1000.0
#define GAP_STEPS 4 /* buckets per doubling */
/*
 * Factor on the counts of old gaps at each arrival, so that a changed pattern
 * of use shows within some days.
 */
#define GAP_DECAY 0.98f
/* Weight of the gaps of all models, in arrivals. */
#define PRIOR_ARRIVALS 3.0
#define SLOT_MS (15 * 60 * 1000)
#define DAY_SLOTS SS_KEEP_SLOTS
#define DAY_MS ((int64_t)DAY_SLOTS * SLOT_MS)
#define WEEK_DAYS 7
/* 1970-01-01 was a Thursday, 3 days after a Monday. */
#define EPOCH_WEEKDAY 3
#define WORKDAYS 5	/* Monday to Friday */
#define SLOT_ALPHA 0.3f /* weight of the newest day */
/* A preload may start once it would end at most twice this time before the
 * expected arrival. */
#define PRELOAD_MARGIN_MS 60000
/* Time after the earliest start of a preload in which it may still start. */
#define PRELOAD_WINDOW_MS (4 * PRELOAD_MARGIN_MS)
/* Days of a kind to count before its slots are used. */
#define DAYS_MIN 2
/*
 * Cost of a second that a caller waits for a cold start, in seconds of an
 * occupied accelerator, at equal weights.
 */
#define COLD_START_COST 30.0

static size_t gap_bucket(double gap_ms)
{
	double b;

	if (gap_ms <= GAP_MIN_MS)
		return 0;
	b = log2(gap_ms / GAP_MIN_MS) * GAP_STEPS + 1;
	return b >= SS_KEEP_GAPS - 1 ? SS_KEEP_GAPS - 1 : (size_t)b;
}

struct slot {
	int kind; /* 0: workday, 1: weekend */
	int day;  /* local days since 1970 */
	int slot;
	int64_t into_ms; /* since the slot began */
};

static struct slot slot_at(struct ss_wall at)
{
	/* A clock that was never set is before 1970 in zones west of UTC. */
	int64_t local = MAX(at.ms + at.utc_offset_ms, 0);
	int day = (int)(local / DAY_MS);
	int weekday = (day + EPOCH_WEEKDAY) % WEEK_DAYS;

	return (struct slot){ .kind = weekday >= WORKDAYS,
			      .day = day,
			      .slot = (int)(local % DAY_MS / SLOT_MS),
			      .into_ms = local % SLOT_MS };
}

/*
 * Counts the first arrival of a day in a slot. The first arrival of a day
 * decays the shares of all slots of that kind of day once, however many days
 * without arrivals have passed since.
 */
static void add_slot(struct ss_arrivals *a, struct ss_wall at)
{
	struct slot s = slot_at(at);
	int32_t code = s.day * DAY_SLOTS + s.slot;
	float *share = &a->slots[s.kind][s.slot];
	float *offset = &a->offsets[s.kind][s.slot];
	float into = (float)s.into_ms;

	if (a->first_day == 0)
		a->first_day = s.day;
	if (code == a->slot_day)
		return;
	if (a->slot_day / DAY_SLOTS != s.day || a->slot_day == 0) {
		/* A new day: decays all slots of its kind. */
		for (int i = 0; i < DAY_SLOTS; i++)
			a->slots[s.kind][i] *= 1 - SLOT_ALPHA;
		if (a->days[s.kind] < UINT16_MAX)
			a->days[s.kind]++;
	}
	*offset = *share > 0 ? *offset + SLOT_ALPHA * (into - *offset) : into;
	*share += SLOT_ALPHA;
	a->slot_day = code;
}

static void add_gap(struct ss_arrivals *a, int64_t gap_ms)
{
	for (size_t i = 0; i < SS_KEEP_GAPS; i++)
		a->gaps[i] *= GAP_DECAY;
	a->total = a->total * GAP_DECAY + 1;
	a->gaps[gap_bucket((double)gap_ms)] += 1;
}

void ss_arrivals_add(struct ss_arrivals *a, struct ss_arrivals *all,
		     struct ss_wall at)
{
	if (a->last_ms && at.ms > a->last_ms) {
		add_gap(a, at.ms - a->last_ms);
		if (all)
			add_gap(all, at.ms - a->last_ms);
	}
	a->last_ms = MAX(a->last_ms, at.ms);
	add_slot(a, at);
}

int64_t ss_keep_ms(const struct ss_arrivals *a, const struct ss_arrivals *prior,
		   const struct ss_keep_costs *c)
{
	double p[SS_KEEP_GAPS];
	double sum = 0, beyond, occupied = 0, best_cost;
	double idle_rate = (1 - c->cold_weight) * c->share;
	double cold = c->cold_weight * COLD_START_COST * (double)c->load_ms;
	double best = 0, from = 0, top = GAP_MIN_MS;
	double step = exp2(1.0 / GAP_STEPS);

	for (size_t i = 0; i < SS_KEEP_GAPS; i++) {
		p[i] = (double)a->gaps[i];
		if (prior && prior->total > 0)
			p[i] += PRIOR_ARRIVALS *
				(double)(prior->gaps[i] / prior->total);
		sum += p[i];
	}
	if (sum <= 0)
		return c->min_ms;
	/*
	 * The cost of keeping a model for t is the memory occupied for
	 * min(gap, t), and a cold start where the gap is longer than t. The
	 * last bucket is unbounded, so its end is no candidate for t.
	 */
	beyond = 1;
	best_cost = cold;
	for (size_t i = 0; i + 1 < SS_KEEP_GAPS; i++) {
		double here = p[i] / sum;
		double cost;

		occupied += here * (from + top) / 2;
		beyond -= here;
		cost = idle_rate * (occupied + beyond * top) + cold * beyond;
		if (cost < best_cost) {
			best_cost = cost;
			best = top;
		}
		/* The next bucket's bounds. */
		from = top;
		top *= step;
	}
	return CLAMP((int64_t)best, c->min_ms, c->max_ms);
}

bool ss_wake_ahead(const struct ss_arrivals *a, struct ss_wall now,
		   const struct ss_keep_costs *c)
{
	/* Uses the current UTC offset; a later call sees a change of it. */
	struct ss_wall at = { now.ms + c->load_ms + PRELOAD_MARGIN_MS,
			      now.utc_offset_ms };
	struct slot s = slot_at(at);
	double into = (double)s.into_ms;
	double share, begin, idle, cold;

	if (a->days[s.kind] < DAYS_MIN)
		return false;
	share = (double)a->slots[s.kind][s.slot];
	begin = (double)a->offsets[s.kind][s.slot] - PRELOAD_MARGIN_MS;
	if (share <= 0 || into < begin || into > begin + PRELOAD_WINDOW_MS)
		return false;
	/* Without an arrival the model stays loaded until the slot ends. */
	idle = (1 - c->cold_weight) * c->share *
	       (share * 2 * PRELOAD_MARGIN_MS +
		(1 - MIN(share, 1)) * (SLOT_MS - MAX(begin, 0)));
	cold = c->cold_weight * COLD_START_COST * (double)c->load_ms * share;
	return cold > idle;
}
