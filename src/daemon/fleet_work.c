/* Counters of the leader's work, for metrics, a log line each second, and
 * tests. */
#include "fleet_leader_int.h"

/* Interval of the log line. */
#define WORK_LOG_MS 1000

static const char *const names[FLEET_WORKS] = {
	[WORK_REPORTS] = "reports",	 [WORK_AGENTS] = "agents",
	[WORK_FRAMES] = "frames",	 [WORK_SENDS] = "sends",
	[WORK_BYTES] = "bytes",		 [WORK_ENDPOINTS] = "endpoints",
	[WORK_LOADS] = "loads",		 [WORK_ETAS] = "etas",
	[WORK_SNAPSHOTS] = "wholes",	 [WORK_PLANS] = "plans",
	[WORK_VISITS] = "visits",	 [WORK_STREAMS] = "streams",
	[WORK_REPLICATIONS] = "spreads",
};

void fleet_work_begin(struct fleet_leader *l)
{
	for (int i = 0; i < FLEET_WORKS; i++) {
		char *label = g_strdup_printf("what=\"%s\"", names[i]);

		l->n_work[i] = metrics_value(l->d->metrics,
					     "ss_fleet_work_total", label);
		l->work_logged[i] = *l->n_work[i];
		g_free(label);
	}
}

void fleet_work_tick(struct fleet_leader *l, int64_t now)
{
	GString *text;

	if (now - l->work_ms < WORK_LOG_MS)
		return;
	text = g_string_new(NULL);
	for (int i = 0; i < FLEET_WORKS; i++) {
		g_string_append_printf(text, " %s=%" PRIu64, names[i],
				       *l->n_work[i] - l->work_logged[i]);
		l->work_logged[i] = *l->n_work[i];
	}
	log_info("lead_work", "ms=%" PRId64 " peers=%u%s",
		 l->work_ms ? now - l->work_ms : 0, g_hash_table_size(l->peers),
		 text->str);
	l->work_ms = now;
	g_string_free(text, TRUE);
}
