/* Crash log of an entry. */
#include "crash_log.h"

void crash_log_init(struct crash_log *l, size_t capacity)
{
	l->outcomes = g_array_new(FALSE, FALSE, sizeof(struct run_outcome));
	l->n_reported = 0;
	l->capacity = capacity;
}

void crash_log_clear(struct crash_log *l)
{
	g_array_unref(l->outcomes);
}

static struct run_outcome *at(const struct crash_log *l, size_t i)
{
	return &g_array_index(l->outcomes, struct run_outcome, i);
}

static void remove_at(struct crash_log *l, size_t i)
{
	g_array_remove_index(l->outcomes, (guint)i);
	l->n_reported -= i < l->n_reported;
}

void crash_log_add(struct crash_log *l, const struct run_outcome *e)
{
	if (e->kind != OUTCOME_CRASHED)
		crash_log_remove_crashes(
			l, &e->fingerprint,
			e->kind == OUTCOME_ANSWERED ? e->began_ms : INT64_MAX);
	if (l->outcomes->len == l->capacity)
		remove_at(l, 0);
	g_array_append_val(l->outcomes, *e);
}

void crash_log_remove_crashes(struct crash_log *l, const struct fingerprint *fp,
			      int64_t until_ms)
{
	for (size_t i = l->outcomes->len; i-- > 0;)
		if (at(l, i)->kind == OUTCOME_CRASHED &&
		    at(l, i)->at_ms <= until_ms &&
		    fingerprint_equal(&at(l, i)->fingerprint, fp))
			remove_at(l, i);
}

void crash_log_rewind(struct crash_log *l)
{
	for (size_t i = l->n_reported; i-- > 0;)
		if (at(l, i)->kind != OUTCOME_CRASHED)
			remove_at(l, i);
	l->n_reported = 0;
}

const struct run_outcome *crash_log_next(const struct crash_log *l, size_t max,
					 size_t *n)
{
	*n = MIN(l->outcomes->len - l->n_reported, max);
	return *n ? at(l, l->n_reported) : NULL;
}

void crash_log_reported(struct crash_log *l, size_t n)
{
	l->n_reported += n;
}

void crash_log_expire(struct crash_log *l, int64_t before_ms)
{
	while (l->outcomes->len && at(l, 0)->at_ms < before_ms)
		remove_at(l, 0);
}
