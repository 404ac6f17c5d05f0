/* Compares the response times of a service's endpoints, and weights or ejects
 * the slow ones. */
#include "gate_int.h"

#include "../base/log.h"

/* Medians and ratios are recomputed at this interval. */
#define UPDATE_INTERVAL_MS 100
/* An engine's time to the first event has a part that grows with the prompt,
 * and a fixed part that equals the prefill of this many tokens. */
#define FIXED_COST_TOKENS 500.0
/* Longer prompts count as this long, as the token count is the caller's claim
 * and isn't checked. */
#define PROMPT_TOKENS_MAX 32768
/* Answers after which the mean of a plain route is known. Later answers are
 * compared over all routes, each divided by its route's mean. */
#define ROUTE_MIN_ANSWERS 8
/* The slowness histogram is in percent of the median. */
#define PERCENT 100.0
/* A pending request is reported to the other entries as slow from this many
 * times the median on, and again each time that its age has doubled. */
#define PENDING_SLOW_RATIO 2.0

/* Response times of the endpoints of one service. */
struct service_speed {
	GArray *ms; /* double, of the listed endpoints */
	double median;
};

struct gate_speeds {
	GHashTable *services; /* name -> struct service_speed */
	int64_t updated_ms;
	uint64_t *n_ejections, *n_reported_slow;
	struct hist *slowness;
};

static void service_speed_free(void *p)
{
	struct service_speed *s = p;

	g_array_unref(s->ms);
	g_free(s);
}

struct gate_speeds *gate_speeds_new(struct metrics *m)
{
	struct gate_speeds *x = g_new0(struct gate_speeds, 1);

	x->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    service_speed_free);
	x->n_ejections = metrics_value(m, "ss_gate_slow_rests_total", "");
	x->n_reported_slow = metrics_value(m, "ss_gate_told_slow_total", "");
	x->slowness = metrics_hist(m, "ss_gate_endpoint_slowness", "");
	return x;
}

void gate_speeds_free(struct gate_speeds *x)
{
	g_hash_table_unref(x->services);
	g_free(x);
}

static struct service_speed *service_at(struct gate_speeds *x, const char *name)
{
	struct service_speed *s = g_hash_table_lookup(x->services, name);

	if (s)
		return s;
	s = g_new0(struct service_speed, 1);
	s->ms = g_array_new(FALSE, FALSE, sizeof(double));
	g_hash_table_insert(x->services, g_strdup(name), s);
	return s;
}

/* The divisor that makes response times comparable; 0: not known yet. */
static double scale_of(const struct forward *f)
{
	if (f->route->kind == ROUTE_STREAM)
		return 1 + (double)MIN(f->call.tokens_in, PROMPT_TOKENS_MAX) /
				   FIXED_COST_TOKENS;
	return f->timing->first.n >= ROUTE_MIN_ANSWERS ?
		       f->timing->first.mean_ms :
		       0;
}

/* The time since the request was sent, at least one step of the clock, divided
 * by its scale; 0: the scale isn't known yet. */
static double normalized_ms(const struct forward *f, int64_t now)
{
	double scale = scale_of(f);

	return scale > 0 ? (double)MAX(now - f->sent_ms, 1) / scale : 0;
}

/* Whether the endpoint has the request and has sent no event, and isn't delayed
 * by a slow caller. */
static bool is_pending(const struct forward *f)
{
	return f->state >= FORWARD_SENT && !f->event_mark.events &&
	       !f->reading_paused;
}

/* Adds the ratio of a response time to the next report to the other entries. */
static void record_ratio(struct gate_ep *ep, double ms, double median)
{
	if (median > 0)
		slowness_observed_add(&ep->slowness_observed, ms / median);
}

static void record_pending(struct gate_ep *ep, struct forward *f, double ms,
			   double median)
{
	/* The request was sent again. */
	if (ms < f->slow_counted_ms)
		f->slow_counted_ms = 0;
	if (ms < PENDING_SLOW_RATIO * MAX(median, f->slow_counted_ms))
		return;
	f->slow_counted_ms = ms;
	record_ratio(ep, ms, median);
}

static void sample_forward(struct gate *g, struct forward *f, int64_t now)
{
	struct gate_ep *ep = gate_ep_of(f);
	double ms = normalized_ms(f, now), median;

	if (!ep || ms <= 0 || !is_pending(f))
		return;
	median = service_at(g->speeds, ep->service)->median;
	speed_pending_add(&ep->speed, ms, median, now);
	record_pending(ep, f, ms, median);
}

static void sample_pending(struct gate *g, int64_t now)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p))
		speed_pending_reset(&((struct gate_ep *)p)->speed);
	g_hash_table_iter_init(&it, g->forwards);
	while (g_hash_table_iter_next(&it, &p, NULL))
		sample_forward(g, p, now);
}

static void update_medians(struct gate *g, int64_t now)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct gate_ep *ep = p;
		double ms = ep->known ? speed_ms(&ep->speed, now) : 0;

		if (ms > 0)
			g_array_append_val(
				service_at(g->speeds, ep->service)->ms, ms);
	}
	g_hash_table_iter_init(&it, g->speeds->services);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct service_speed *s = p;

		s->median = speed_median((double *)s->ms->data, s->ms->len);
		g_array_set_size(s->ms, 0);
	}
}

static void update_ratio(struct gate_ep *ep, double median, int64_t now)
{
	ep->own_slowness = speed_ratio(&ep->speed, median, now);
	ep->slowness =
		slowness_effective(&ep->slowness_received, ep->own_slowness,
				   speed_sample_weight(&ep->speed, now), now);
}

static void update_speeds(struct gate *g, int64_t now)
{
	GHashTableIter it;
	void *p;

	if (now - g->speeds->updated_ms < UPDATE_INTERVAL_MS)
		return;
	g->speeds->updated_ms = now;
	sample_pending(g, now);
	update_medians(g, now);
	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct gate_ep *ep = p;

		update_ratio(ep, service_at(g->speeds, ep->service)->median,
			     now);
	}
}

static bool is_unusual(double ratio)
{
	return ratio > 0 && speed_load_factor(ratio) != 1;
}

static void begin_ejection(struct gate *g, struct gate_ep *ep, double median_ms)
{
	int64_t now = gate_now(g);

	ejection_begin(&ep->ejection, now);
	if (speed_load_factor(
		    slowness_received_ratio(&ep->slowness_received, now)) > 1)
		ejection_spread(&ep->ejection, MAX(g->entries, 1),
				balance_random(&g->seed), now);
	(*g->speeds->n_ejections)++;
	log_info("endpoint_slow",
		 "addr=%s id=%s ratio=%.1f first_ms=%.0f median_ms=%.0f "
		 "ms=%" PRId64,
		 ep->addr, ep->self.id, ep->slowness, ep->slowness * median_ms,
		 median_ms, ep->ejection.until_ms - now);
}

void gate_speed_answered(struct forward *f)
{
	struct gate *g = f->g;
	struct gate_ep *ep = gate_ep_of(f);
	int64_t now = gate_now(g);
	double ms = normalized_ms(f, now), median;

	if (!ep || ms <= 0)
		return;
	speed_record(&ep->speed, ms, now);
	median = service_at(g->speeds, ep->service)->median;
	update_ratio(ep, median, now);
	record_ratio(ep, ms, median);
	if (ep->own_slowness > 0)
		hist_add(g->speeds->slowness,
			 (uint64_t)(ep->own_slowness * PERCENT));
	if (ejection_call_answered(&ep->ejection, ep->own_slowness))
		begin_ejection(g, ep, median * scale_of(f));
}

void gate_speed_abandoned(struct forward *f)
{
	struct gate_ep *ep = gate_ep_of(f);
	int64_t now = gate_now(f->g);
	double ms = normalized_ms(f, now), median;

	if (!ep || ms <= 0 || !is_pending(f))
		return;
	median = service_at(f->g->speeds, ep->service)->median;
	speed_record_at_least(&ep->speed, ms, median, now);
	record_pending(ep, f, ms, median);
}

void gate_speed_received(struct gate *g, struct gate_ep *ep, int64_t ratio)
{
	int64_t now = gate_now(g);
	double before = slowness_received_ratio(&ep->slowness_received, now),
	       reported;

	slowness_received_set(&ep->slowness_received, ratio, now);
	reported = slowness_received_ratio(&ep->slowness_received, now);
	if (speed_load_factor(reported) <= 1 || speed_load_factor(before) > 1)
		return;
	(*g->speeds->n_reported_slow)++;
	log_info("endpoint_told_slow", "addr=%s id=%s ratio=%.1f own=%.1f",
		 ep->addr, ep->self.id, reported, ep->own_slowness);
}

bool gate_speed_report(struct gate *g, struct gate_ep *ep,
		       struct endpoint_results *e)
{
	bool unusual = is_unusual(ep->own_slowness) ||
		       is_unusual(slowness_received_ratio(
			       &ep->slowness_received, gate_now(g)));

	if (unusual) {
		e->slowness_ln = slowness_observed_sum(&ep->slowness_observed);
		e->slowness_count = ep->slowness_observed.n;
	}
	/* An endpoint of usual speed takes no space in the report. */
	ep->slowness_observed = (struct slowness_observed){ 0 };
	return e->slowness_count;
}

/* The route has an objective that is shorter than its timeout. */
static bool has_objective(const struct forward *f)
{
	return f->route->objective_ms < f->route->timeout_ms;
}

static double effective_ratio(const struct forward *f, const struct gate_ep *ep,
			      int64_t now)
{
	double reported =
		f->service->engine ? 0 : speed_work_ratio(&ep->speed, now);

	if (reported > 0)
		return reported;
	return has_objective(f) ? ep->slowness : 0;
}

static double slow_start_share(const struct forward *f,
			       const struct gate_ep *ep, int64_t now)
{
	return has_objective(f) && ep->first_reported_ms ?
		       speed_slow_start(now - ep->first_reported_ms,
					ep->speed.n) :
		       1;
}

static void set_node_speed(const struct forward *f, const struct gate_ep *ep,
			   struct balance_node *n, double median_ms)
{
	int64_t now = gate_now(f->g);
	double ratio = effective_ratio(f, ep, now),
	       start = slow_start_share(f, ep, now);

	n->slowness = speed_load_factor(ratio);
	if (start < 1)
		n->slowness = MAX(n->slowness, 1) / start;
	if (has_objective(f))
		n->objective_used = (ratio > 0 ? ratio : 1) * median_ms /
				    (double)f->route->objective_ms;
}

/* Whether the endpoint is too slow for this request by the ratio that entries
 * measure. The work time that the endpoint reports never ejects it. */
static bool is_too_slow(const struct forward *f, const struct gate_ep *ep,
			double median_ms)
{
	return has_objective(f) &&
	       ejection_is_needed(ep->slowness, ep->slowness * median_ms,
				  f->route->objective_ms);
}

static int slowest_first(const void *a, const void *b)
{
	const struct gate_ep *x = *(struct gate_ep *const *)a;
	const struct gate_ep *y = *(struct gate_ep *const *)b;

	return (x->slowness < y->slowness) - (x->slowness > y->slowness);
}

/* Limits ejections to the slowest half of the usable endpoints, so that the
 * others aren't overloaded. Ejects none if no endpoint is faster. */
static void limit_ejections(GPtrArray *slow, guint usable)
{
	if (slow->len >= usable) {
		g_ptr_array_set_size(slow, 0);
		return;
	}
	g_ptr_array_sort(slow, slowest_first);
	g_ptr_array_set_size(slow, (gint)MIN(slow->len, usable / 2));
}

static void eject(struct gate *g, GPtrArray *slow, double median_ms)
{
	int64_t now = gate_now(g);

	for (guint i = 0; i < slow->len; i++) {
		struct gate_ep *ep = slow->pdata[i];

		if (ejection_is_due(&ep->ejection, now))
			begin_ejection(g, ep, median_ms);
	}
}

static bool is_ejected(const struct gate_ep *ep, GPtrArray *slow, int64_t now)
{
	return ejection_is_active(&ep->ejection, now) &&
	       g_ptr_array_find(slow, ep, NULL);
}

/* Excludes ejected endpoints, unless no other has room: a slow answer is better
 * than none. */
static void exclude_ejected(const struct forward *f, struct balance_node *n,
			    const GPtrArray *eps, GPtrArray *slow, int64_t now)
{
	double fill = gate_fill_factor(f);
	bool room = false;

	for (guint i = 0; !room && i < eps->len; i++)
		room = n[i].usable && balance_has_room(&n[i], fill) &&
		       !is_ejected(eps->pdata[i], slow, now);
	for (guint i = 0; room && slow->len && i < eps->len; i++)
		if (is_ejected(eps->pdata[i], slow, now))
			n[i].usable = false;
}

void gate_speed_weigh(struct forward *f, struct balance_node *n,
		      const GPtrArray *eps)
{
	struct gate *g = f->g;
	int64_t now = gate_now(g);
	GPtrArray *slow = g_ptr_array_new();
	double median_ms;
	guint usable = 0;

	update_speeds(g, now);
	median_ms =
		service_at(g->speeds, f->service->name)->median * scale_of(f);
	for (guint i = 0; i < eps->len; i++) {
		set_node_speed(f, eps->pdata[i], &n[i], median_ms);
		usable += n[i].usable;
		if (n[i].usable && is_too_slow(f, eps->pdata[i], median_ms))
			g_ptr_array_add(slow, eps->pdata[i]);
	}
	limit_ejections(slow, usable);
	eject(g, slow, median_ms);
	exclude_ejected(f, n, eps, slow, now);
	g_ptr_array_unref(slow);
}
