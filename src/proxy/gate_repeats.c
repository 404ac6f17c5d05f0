/* Which requests an entry may send once more. */
#include "gate_int.h"

#include "../base/log.h"

/* Part of the allowed ratio that is spent: the rest covers requests that
 * are counted in another window than their repeats. */
#define RATIO_SHARE 0.85
/* Refusals of a service are logged this often at most, in ms. */
#define REFUSED_LOG_MS 1000

struct service_repeats {
	struct repeat_budget budget;
	int64_t logged_ms; /* when a refusal was; 0: never */
};

static struct service_repeats *repeats_of(struct gate *g, const char *service)
{
	struct service_repeats *s = g_hash_table_lookup(g->repeats, service);
	struct repeat_options o = {
		.window_ms = g->o.retry_window_ms,
		.ratio = g->o.retry_ratio * RATIO_SHARE,
		.slack = repeat_slack(g->o.retry_slack, g->entries),
		.since_ms = g->since_ms,
	};

	if (s)
		return s;
	s = g_new0(struct service_repeats, 1);
	repeat_budget_init(&s->budget, &o);
	g_hash_table_insert(g->repeats, g_strdup(service), s);
	return s;
}

/* Those that were once there may be cut off and spend their part: the number
 * only grows. */
void gate_note_entries(struct gate *g, uint64_t entries)
{
	GHashTableIter it;
	void *s;

	if (entries <= g->entries)
		return;
	g->entries = entries;
	g_hash_table_iter_init(&it, g->repeats);
	while (g_hash_table_iter_next(&it, NULL, &s))
		((struct service_repeats *)s)->budget.slack =
			repeat_slack(g->o.retry_slack, entries);
}

void forward_count_first(struct forward *f)
{
	struct service_repeats *s = repeats_of(f->g, f->service->name);

	repeat_first(&s->budget, gate_now(f->g));
}

static void log_refused(struct gate *g, const char *service,
			struct service_repeats *s)
{
	int64_t now = gate_now(g);
	struct repeat_counts n = repeat_counts(&s->budget, now);

	if (s->logged_ms && now - s->logged_ms < REFUSED_LOG_MS)
		return;
	s->logged_ms = now;
	log_info("repeats_refused",
		 "service=%s repeats=%" PRIu64 " requests=%" PRIu64
		 " slack=%" PRId64 " entries=%" PRIu64 " up_ms=%" PRId64,
		 service, n.repeats, n.firsts, s->budget.slack, g->entries,
		 now - g->since_ms);
}

bool forward_take_repeat(struct forward *f)
{
	struct gate *g = f->g;
	struct service_repeats *s = repeats_of(g, f->service->name);

	if (repeat_take(&s->budget, gate_now(g))) {
		(*g->n_repeats)++;
		f->repeat_ms = gate_now(g);
		return true;
	}
	(*g->n_repeats_refused)++;
	log_refused(g, f->service->name, s);
	return false;
}

void forward_return_repeat(struct forward *f)
{
	if (!f->repeat_ms)
		return;
	repeat_give_back(&repeats_of(f->g, f->service->name)->budget,
			 f->repeat_ms);
	f->repeat_ms = 0;
}
