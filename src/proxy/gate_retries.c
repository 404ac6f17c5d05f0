/* The retry budgets of an entry, one for each service. */
#include "gate_int.h"

#include "../base/log.h"

/* Part of the allowed ratio that is used. Some sends are delayed and reach
 * their endpoint in one window with those that were sent after them. */
#define RETRY_RATIO_SHARE 0.85
/* Least time between two log lines about refused retries of a service. */
#define REFUSAL_LOG_INTERVAL_MS 1000

struct service_retries {
	struct retry_budget budget;
	int64_t logged_ms; /* when a refusal was logged; 0: never */
};

static struct service_retries *retries_of(struct gate *g, const char *service)
{
	struct service_retries *s = g_hash_table_lookup(g->retries, service);
	struct retry_options o = { .window_ms = g->o.retry_window_ms,
				   .ratio =
					   g->o.retry_ratio * RETRY_RATIO_SHARE,
				   .start_ms = g->since_ms };

	if (s)
		return s;
	s = g_new0(struct service_retries, 1);
	retry_budget_init(&s->budget, &o);
	g_hash_table_insert(g->retries, g_strdup(service), s);
	return s;
}

/* Never lowers the number: an entry that is no longer counted may be
 * partitioned and still use its part of the slack. */
void gate_note_entries(struct gate *g, uint64_t entries)
{
	g->entries = MAX(g->entries, entries);
}

void forward_count_request(struct forward *f)
{
	struct service_retries *s = retries_of(f->g, f->service->name);

	retry_budget_request(&s->budget, gate_now(f->g));
}

static void log_refused(struct gate *g, const char *service,
			struct service_retries *s, int64_t slack)
{
	int64_t now = gate_now(g);
	struct retry_counts n = retry_budget_counts(&s->budget, now);

	if (s->logged_ms && now - s->logged_ms < REFUSAL_LOG_INTERVAL_MS)
		return;
	s->logged_ms = now;
	log_info("retries_refused",
		 "service=%s retries=%" PRIu64 " requests=%" PRIu64
		 " slack=%" PRId64 " entries=%" PRIu64 " up_ms=%" PRId64,
		 service, n.retries, n.requests, slack, g->entries,
		 now - g->since_ms);
}

bool forward_take_retry(struct forward *f)
{
	struct gate *g = f->g;
	struct service_retries *s = retries_of(g, f->service->name);
	int64_t slack = retry_slack(g->o.retry_slack, g->entries);

	if (retry_budget_take(&s->budget, slack, gate_now(g))) {
		(*g->n_retries)++;
		f->retry_taken_ms = gate_now(g);
		return true;
	}
	(*g->n_retries_refused)++;
	log_refused(g, f->service->name, s, slack);
	return false;
}

void forward_return_retry(struct forward *f)
{
	if (!f->retry_taken_ms)
		return;
	retry_budget_refund(&retries_of(f->g, f->service->name)->budget,
			    f->retry_taken_ms);
	f->retry_taken_ms = 0;
}
