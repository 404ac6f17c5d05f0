/* Crash log of an entry. */
#include "end_log.h"

void end_log_init(struct end_log *l, size_t capacity)
{
	l->outcomes = g_array_new(FALSE, FALSE, sizeof(struct end_seen));
	l->n_reported = 0;
	l->capacity = capacity;
}

void end_log_clear(struct end_log *l)
{
	g_array_unref(l->outcomes);
}

static struct end_seen *at(const struct end_log *l, size_t i)
{
	return &g_array_index(l->outcomes, struct end_seen, i);
}

static void remove_at(struct end_log *l, size_t i)
{
	g_array_remove_index(l->outcomes, (guint)i);
	l->n_reported -= i < l->n_reported;
}

void end_log_add(struct end_log *l, const struct end_seen *e)
{
	if (e->kind != END_UNDER)
		end_log_drop(l, &e->print);
	if (l->outcomes->len == l->capacity)
		remove_at(l, 0);
	g_array_append_val(l->outcomes, *e);
}

void end_log_drop(struct end_log *l, const struct fingerprint *fp)
{
	for (size_t i = l->outcomes->len; i-- > 0;)
		if (at(l, i)->kind == END_UNDER &&
		    fingerprint_equal(&at(l, i)->print, fp))
			remove_at(l, i);
}

void end_log_again(struct end_log *l)
{
	for (size_t i = l->n_reported; i-- > 0;)
		if (at(l, i)->kind != END_UNDER)
			remove_at(l, i);
	l->n_reported = 0;
}

const struct end_seen *end_log_next(const struct end_log *l, size_t max,
				    size_t *n)
{
	*n = MIN(l->outcomes->len - l->n_reported, max);
	return *n ? at(l, l->n_reported) : NULL;
}

void end_log_told(struct end_log *l, size_t n)
{
	l->n_reported += n;
}

void end_log_forget(struct end_log *l, int64_t before_ms)
{
	while (l->outcomes->len && at(l, 0)->at_ms < before_ms)
		remove_at(l, 0);
}
