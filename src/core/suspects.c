/* Requests under which endpoints end. */
#include "suspects.h"

/* An end counts for so long, in ms: a job that comes each quarter of an hour
 * still adds up. */
#define END_COUNTS_MS (60 * 60 * 1000LL)
/*
 * Terms by the trials that have ended an endpoint, in ms. Each trial of a
 * guilty request costs the answers of all who are beside it; a version of the
 * endpoint that bears it comes in hours or days. The first trial that fails
 * proves little: another guilty one may have ended that endpoint, too.
 */
static const int64_t terms[] = { 10 * 60 * 1000LL, 10 * 60 * 1000LL,
				 60 * 60 * 1000LL, 6 * 60 * 60 * 1000LL,
				 24 * 60 * 60 * 1000LL };
/* Where nearly the same ends speak against several requests, most of them are
 * innocent and their callers wait: the first trial comes as soon as the
 * endpoints are back, in ms. */
#define TIED_MS 3000
/* Ends that two requests have in common by no chance. */
#define TIED_ENDS 2
/* A quarantined request that nobody has sent for so long after its term is
 * forgotten, in ms. */
#define KEEP_MS (24 * 60 * 60 * 1000LL)
/* So long it is told to those that missed it that a request is cleared. */
#define CLEARED_MS 60000
/* Told to those who wait for somebody else's trial, in ms. */
#define NEXT_TRIAL_MS 1000
/* Trials at a time, at the most. It begins with one, and doubles with each that
 * is answered: where many are innocent they needn't wait for each other. */
#define WINDOW_MAX 64
#define TICK_MS 10000

struct suspect {
	struct fingerprint print;
	uint64_t ends[SUSPECT_ENDS]; /* incarnations of endpoints */
	unsigned int n_ends;
	uint64_t last; /* the newest of all ends */
	int64_t last_ms;
	bool cleared, quarantined;
	int64_t until_ms; /* of its term */
	uint64_t trials;  /* that have ended an endpoint */
	int64_t trial_ms; /* when the open one began; 0: none */
	uint64_t changed; /* mark */
};

struct suspects {
	struct suspects_options o;
	GHashTable *all; /* struct suspect, by its print */
	size_t quarantined;
	uint64_t mark;
	unsigned int window; /* trials at a time */
	int64_t quiet_until_ms;
	int64_t tick_ms;
};

struct suspects *suspects_new(const struct suspects_options *o, int64_t now)
{
	struct suspects *s = g_new0(struct suspects, 1);

	s->o = *o;
	s->window = 1;
	s->quiet_until_ms = now + o->quiet_ms;
	s->tick_ms = now;
	s->all = g_hash_table_new_full(fingerprint_hash, fingerprint_equal,
				       NULL, g_free);
	return s;
}

void suspects_free(struct suspects *s)
{
	if (!s)
		return;
	g_hash_table_unref(s->all);
	g_free(s);
}

static struct suspect *find(const struct suspects *s,
			    const struct fingerprint *print)
{
	return g_hash_table_lookup(s->all, print);
}

static void set_quarantined(struct suspects *s, struct suspect *x, bool on)
{
	s->quarantined += (size_t)on;
	s->quarantined -= (size_t)x->quarantined;
	x->quarantined = on;
}

static void drop(struct suspects *s, struct suspect *x)
{
	set_quarantined(s, x, false);
	g_hash_table_remove(s->all, &x->print);
}

static void note_change(struct suspects *s, struct suspect *x)
{
	x->changed = ++s->mark;
}

/* The one that is missed least first. */
static gint by_worth(gconstpointer a, gconstpointer b)
{
	const struct suspect *x = *(struct suspect *const *)a;
	const struct suspect *y = *(struct suspect *const *)b;

	if (x->quarantined != y->quarantined)
		return x->quarantined ? 1 : -1;
	if (x->n_ends != y->n_ends)
		return x->n_ends < y->n_ends ? -1 : 1;
	return x->last_ms < y->last_ms ? -1 : x->last_ms > y->last_ms;
}

static GPtrArray *everyone(const struct suspects *s)
{
	GPtrArray *out = g_ptr_array_new();
	GHashTableIter it;
	void *x;

	g_hash_table_iter_init(&it, s->all);
	while (g_hash_table_iter_next(&it, NULL, &x))
		g_ptr_array_add(out, x);
	return out;
}

/* A quarter at a time, so that a flood isn't sorted once for each of it. */
static void make_room(struct suspects *s)
{
	GPtrArray *all;

	if (g_hash_table_size(s->all) < s->o.most)
		return;
	all = everyone(s);
	g_ptr_array_sort(all, by_worth);
	for (guint i = 0; i <= all->len / 4 && i < all->len; i++)
		drop(s, all->pdata[i]);
	g_ptr_array_unref(all);
}

static struct suspect *find_or_add(struct suspects *s,
				   const struct fingerprint *print)
{
	struct suspect *x = find(s, print);

	if (x)
		return x;
	make_room(s);
	x = g_new0(struct suspect, 1);
	x->print = *print;
	g_hash_table_insert(s->all, &x->print, x);
	return x;
}

static int64_t term(const struct suspect *x)
{
	return terms[MIN(x->trials, G_N_ELEMENTS(terms) - 1)];
}

static bool has_end(const struct suspect *x, uint64_t life)
{
	for (unsigned int i = 0; i < x->n_ends; i++)
		if (x->ends[i] == life)
			return true;
	return x->n_ends && x->last == life;
}

static bool are_tied(const struct suspect *x, const struct suspect *y)
{
	unsigned int common = 0;

	for (unsigned int i = 0; i < x->n_ends; i++)
		common += has_end(y, x->ends[i]);
	return common >= TIED_ENDS;
}

static void bring_trial_near(struct suspects *s, struct suspect *x, int64_t now)
{
	x->until_ms = MIN(x->until_ms, now + TIED_MS);
	note_change(s, x);
}

/* They can't be told apart but by trials. */
static void look_for_ties(struct suspects *s, struct suspect *x, int64_t now)
{
	bool tied = false;
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, s->all);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct suspect *y = p;

		if (y == x || !y->quarantined || y->trials || !are_tied(x, y))
			continue;
		tied = true;
		bring_trial_near(s, y, now);
	}
	if (tied)
		bring_trial_near(s, x, now);
}

static void quarantine(struct suspects *s, struct suspect *x, int64_t now)
{
	set_quarantined(s, x, true);
	x->until_ms = now + term(x);
	note_change(s, x);
	look_for_ties(s, x, now);
}

static void clear(struct suspects *s, struct suspect *x, int64_t now)
{
	set_quarantined(s, x, false);
	x->cleared = true;
	x->n_ends = 0;
	x->trials = 0;
	x->last_ms = now;
	note_change(s, x);
}

static void take_end_off(struct suspect *x, uint64_t life)
{
	for (unsigned int i = x->n_ends; i-- > 0;)
		if (x->ends[i] == life)
			x->ends[i] = x->ends[--x->n_ends];
}

/* What it has ended speaks against nobody else any more. */
static void excuse_others(struct suspects *s, const struct suspect *guilty,
			  int64_t now)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, s->all);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct suspect *x = p;
		unsigned int before = x->n_ends;

		if (x == guilty || x->trials)
			continue;
		for (unsigned int i = 0; i < guilty->n_ends; i++)
			take_end_off(x, guilty->ends[i]);
		take_end_off(x, guilty->last);
		/* By another's word it is quarantined without them. */
		if (x->quarantined && before == SUSPECT_ENDS &&
		    x->n_ends < before)
			clear(s, x, now);
	}
}

/* Its trial has ended an endpoint, or it was under way before it was known. */
static void prolong(struct suspects *s, struct suspect *x, int64_t now)
{
	if (x->trial_ms || now >= x->until_ms) {
		x->trials++;
		x->trial_ms = 0;
		s->window = 1;
		excuse_others(s, x, now);
	}
	x->until_ms = MAX(x->until_ms, now + term(x));
	note_change(s, x);
}

unsigned int suspects_end(struct suspects *s, const struct fingerprint *print,
			  uint64_t life, int64_t now)
{
	struct suspect *x = find_or_add(s, print);

	if (x->cleared) {
		x->cleared = false;
		x->n_ends = 0;
	}
	if (has_end(x, life))
		return x->n_ends;
	x->last = life;
	x->last_ms = now;
	if (x->n_ends < SUSPECT_ENDS)
		x->ends[x->n_ends++] = life;
	if (x->quarantined)
		prolong(s, x, now);
	else if (x->n_ends == SUSPECT_ENDS)
		quarantine(s, x, now);
	return x->n_ends;
}

bool suspects_answered(struct suspects *s, const struct fingerprint *print,
		       int64_t now)
{
	struct suspect *x = find(s, print);

	if (!x || x->cleared)
		return false;
	if (x->trial_ms)
		s->window = MIN(s->window * 2, WINDOW_MAX);
	x->trial_ms = 0;
	clear(s, x, now);
	return true;
}

void suspects_told(struct suspects *s, const struct suspect_word *w,
		   int64_t now)
{
	struct suspect *x = find(s, &w->print);

	if (w->cleared) {
		if (x)
			drop(s, x);
		return;
	}
	x = find_or_add(s, &w->print);
	set_quarantined(s, x, true);
	x->cleared = false;
	x->until_ms = now + MAX(w->left_ms, 0);
	x->trials = w->trials;
	x->last_ms = MAX(x->last_ms, now);
	note_change(s, x);
}

void suspects_recalled(struct suspects *s, const struct suspect_word *w,
		       int64_t now)
{
	int64_t until = now + MAX(w->left_ms, 0);
	struct suspect *x = find(s, &w->print);

	/* What was cleared here is told to those who don't know it yet. */
	if (w->cleared || (x && x->cleared))
		return;
	x = find_or_add(s, &w->print);
	if (!x->quarantined || w->trials > x->trials) {
		set_quarantined(s, x, true);
		x->trials = w->trials;
		x->until_ms = until;
		x->last_ms = now;
		note_change(s, x);
	}
	/* The same word from hundreds is no news. */
	if (w->trials == x->trials)
		x->until_ms = MAX(x->until_ms, until);
}

int64_t suspects_term(const struct suspects *s, const struct fingerprint *print,
		      int64_t now)
{
	const struct suspect *x = find(s, print);

	if (!x || !x->quarantined)
		return -1;
	return MAX(x->until_ms - now, 0);
}

bool suspects_any(const struct suspects *s)
{
	return g_hash_table_size(s->all) > 0;
}

bool suspects_any_quarantined(const struct suspects *s)
{
	return s->quarantined > 0;
}

size_t suspects_count(const struct suspects *s)
{
	return g_hash_table_size(s->all);
}

size_t suspects_quarantined(const struct suspects *s)
{
	return s->quarantined;
}

/* Trials. */

static bool trial_open(const struct suspect *x, int64_t now)
{
	return x->trial_ms && now - x->trial_ms < SUSPECT_TRIAL_MS;
}

static unsigned int open_trials(const struct suspects *s, int64_t now)
{
	unsigned int n = 0;
	GHashTableIter it;
	void *x;

	g_hash_table_iter_init(&it, s->all);
	while (g_hash_table_iter_next(&it, NULL, &x))
		n += trial_open(x, now);
	return n;
}

enum suspect_leave suspects_ask(struct suspects *s,
				const struct fingerprint *print, int64_t now,
				int64_t *wait_ms)
{
	struct suspect *x = find(s, print);
	int64_t from;

	if (!x || !x->quarantined)
		return SUSPECT_FREE;
	from = MAX(x->until_ms, s->quiet_until_ms);
	*wait_ms = MAX(from - now, 0);
	if (*wait_ms)
		return SUSPECT_WAIT;
	if (trial_open(x, now) || open_trials(s, now) >= s->window) {
		*wait_ms = NEXT_TRIAL_MS;
		return SUSPECT_WAIT;
	}
	x->trial_ms = now;
	return SUSPECT_TRIAL;
}

void suspects_trial_over(struct suspects *s, const struct fingerprint *print)
{
	struct suspect *x = find(s, print);

	if (x)
		x->trial_ms = 0;
}

/* News. */

static gint by_mark(gconstpointer a, gconstpointer b)
{
	const struct suspect *x = *(struct suspect *const *)a;
	const struct suspect *y = *(struct suspect *const *)b;

	return x->changed < y->changed ? -1 : x->changed > y->changed;
}

uint64_t suspects_mark(const struct suspects *s)
{
	return s->mark;
}

uint64_t suspects_news(const struct suspects *s, uint64_t mark, size_t most,
		       int64_t now, GArray *out)
{
	uint64_t upto = s->mark;
	GPtrArray *all;

	if (mark >= s->mark)
		return s->mark;
	all = everyone(s);
	g_ptr_array_sort(all, by_mark);
	for (guint i = 0; i < all->len; i++) {
		const struct suspect *x = all->pdata[i];
		struct suspect_word w = { .print = x->print,
					  .cleared = x->cleared,
					  .left_ms = MAX(x->until_ms - now, 0),
					  .trials = x->trials };

		if (x->changed <= mark || !(x->quarantined || x->cleared))
			continue;
		if (out->len == most)
			break;
		g_array_append_val(out, w);
		upto = out->len == most ? x->changed : s->mark;
	}
	g_ptr_array_unref(all);
	return upto;
}

/* Time. */

static bool is_old(const struct suspect *x, int64_t now)
{
	if (x->cleared)
		return now - x->last_ms > CLEARED_MS;
	if (x->quarantined)
		return now - x->until_ms > KEEP_MS;
	return now - x->last_ms > END_COUNTS_MS;
}

void suspects_tick(struct suspects *s, int64_t now)
{
	GPtrArray *all;

	if (now - s->tick_ms < TICK_MS)
		return;
	s->tick_ms = now;
	all = everyone(s);
	for (guint i = 0; i < all->len; i++)
		if (is_old(all->pdata[i], now))
			drop(s, all->pdata[i]);
	g_ptr_array_unref(all);
}
