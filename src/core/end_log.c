/* What an entry tells of endpoints that ended. */
#include "end_log.h"

void end_log_init(struct end_log *l, size_t most)
{
	l->seen = g_array_new(FALSE, FALSE, sizeof(struct end_seen));
	l->untold = 0;
	l->most = most;
}

void end_log_clear(struct end_log *l)
{
	g_array_unref(l->seen);
}

static struct end_seen *at(const struct end_log *l, size_t i)
{
	return &g_array_index(l->seen, struct end_seen, i);
}

static void remove_at(struct end_log *l, size_t i)
{
	g_array_remove_index(l->seen, (guint)i);
	l->untold -= i < l->untold;
}

void end_log_add(struct end_log *l, const struct end_seen *e)
{
	if (e->kind != END_UNDER)
		end_log_drop(l, &e->print);
	if (l->seen->len == l->most)
		remove_at(l, 0);
	g_array_append_val(l->seen, *e);
}

void end_log_drop(struct end_log *l, const struct fingerprint *print)
{
	for (size_t i = l->seen->len; i-- > 0;)
		if (at(l, i)->kind == END_UNDER &&
		    fingerprint_equal(&at(l, i)->print, print))
			remove_at(l, i);
}

void end_log_again(struct end_log *l)
{
	for (size_t i = l->untold; i-- > 0;)
		if (at(l, i)->kind != END_UNDER)
			remove_at(l, i);
	l->untold = 0;
}

const struct end_seen *end_log_next(const struct end_log *l, size_t most,
				    size_t *n)
{
	*n = MIN(l->seen->len - l->untold, most);
	return *n ? at(l, l->untold) : NULL;
}

void end_log_told(struct end_log *l, size_t n)
{
	l->untold += n;
}

void end_log_forget(struct end_log *l, int64_t before_ms)
{
	while (l->seen->len && at(l, 0)->at_ms < before_ms)
		remove_at(l, 0);
}
