/* Suspects as entries, other processes and operators see them: quarantines,
 * trial runs, changes. */
#include "suspects_int.h"

/* Wait before a request asks for a trial run again while others are open, in
 * ms. */
#define TRIAL_RETRY_MS 1000

int64_t suspects_remaining_ms(const struct suspects *s,
			      const struct fingerprint *fp, int64_t now)
{
	const struct suspect *x = suspects_find(s, fp);

	if (!x || !x->quarantined)
		return -1;
	return MAX(x->until_ms - now, 0);
}

int64_t suspects_since_ms(const struct suspects *s,
			  const struct fingerprint *fp, int64_t now)
{
	const struct suspect *x = suspects_find(s, fp);

	return x && x->quarantined ? x->since_ms : now;
}

/* Refused requests. */

void suspects_add_refused(struct suspects *s, const struct fingerprint *fp,
			  uint64_t n)
{
	struct suspect *x = suspects_find(s, fp);

	if (!x)
		return;
	x->refused += n;
	s->any_refused = true;
}

void suspects_note_refused(struct suspects *s, const struct fingerprint *fp)
{
	suspects_add_refused(s, fp, 1);
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

size_t suspects_quarantined_parts(const struct suspects *s)
{
	return s->quarantined_parts;
}

/* Trial runs. */

static bool trial_open(const struct suspect *x, int64_t now)
{
	return x->trial_ms && now - x->trial_ms < SUSPECT_TRIAL_TIMEOUT_MS;
}

uint64_t suspects_trials(const struct suspects *s, const struct fingerprint *fp,
			 int64_t now)
{
	const struct suspect *x = suspects_find(s, fp);

	return x ? x->failed_trials + trial_open(x, now) : 0;
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

enum suspect_admission suspects_admit(struct suspects *s,
				      const struct fingerprint *fp, int64_t now,
				      int64_t *wait_ms)
{
	struct suspect *x = suspects_find(s, fp);
	int64_t allowed_ms;

	if (!x || !x->quarantined)
		return SUSPECT_FREE;
	allowed_ms = MAX(x->until_ms, s->no_trial_until_ms);
	*wait_ms = MAX(allowed_ms - now, 0);
	if (*wait_ms)
		return SUSPECT_WAIT;
	if (trial_open(x, now) || open_trials(s, now) >= s->window) {
		*wait_ms = TRIAL_RETRY_MS;
		return SUSPECT_WAIT;
	}
	x->trial_ms = now;
	return SUSPECT_TRIAL;
}

void suspects_cancel_trial(struct suspects *s, const struct fingerprint *fp)
{
	struct suspect *x = suspects_find(s, fp);

	if (x)
		x->trial_ms = 0;
}

/* Changes. */

static struct suspect_state state_of(const struct suspect *x, int64_t now)
{
	return (struct suspect_state){ .fingerprint = x->fp,
				       .cleared = !x->quarantined,
				       .remaining_ms =
					       MAX(x->until_ms - now, 0),
				       .failed_trials = x->failed_trials };
}

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

uint64_t suspects_changes(const struct suspects *s, uint64_t mark, size_t max,
			  int64_t now, GArray *out)
{
	uint64_t end = s->mark;
	GPtrArray *all;

	if (mark >= s->mark)
		return s->mark;
	all = suspects_all(s);
	g_ptr_array_sort(all, by_mark);
	for (guint i = 0; i < all->len; i++) {
		const struct suspect *x = all->pdata[i];
		struct suspect_state st = state_of(x, now);

		if (x->changed <= mark || !(x->quarantined || x->cleared))
			continue;
		if (out->len == max)
			break;
		g_array_append_val(out, st);
		end = out->len == max ? x->changed : s->mark;
	}
	g_ptr_array_unref(all);
	return end;
}

static struct suspect_info info_of(const struct suspect *x, int64_t now)
{
	return (struct suspect_info){ state_of(x, now), x->since_ms,
				      x->n_crashes, x->refused };
}

void suspects_list(const struct suspects *s, size_t max, int64_t now,
		   GArray *out)
{
	GPtrArray *all = suspects_all(s);

	g_ptr_array_sort(all, by_mark);
	for (guint i = 0; i < all->len && out->len < max; i++) {
		const struct suspect *x = all->pdata[i];
		struct suspect_info info = info_of(x, now);

		if (x->quarantined)
			g_array_append_val(out, info);
	}
	g_ptr_array_unref(all);
}

void suspects_take_refused(struct suspects *s, size_t max, GArray *out)
{
	GHashTableIter it;
	void *p;

	if (!s->any_refused)
		return;
	s->any_refused = false;
	g_hash_table_iter_init(&it, s->all);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct suspect *x = p;
		struct suspect_info info = info_of(x, 0);

		if (!x->refused)
			continue;
		if (out->len == max) {
			s->any_refused = true;
			return;
		}
		g_array_append_val(out, info);
		x->refused = 0;
	}
}
