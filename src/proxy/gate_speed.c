/* How slow endpoints are beside each other, and what that lets be sent. */
#include "gate_int.h"

#include "../base/log.h"

/* Medians are taken anew this often, in ms. */
#define LOOK_MS 100
/* An engine's time to the first event has a fixed part, as long as it takes to
 * read so many tokens, and a part for each token of the prompt. */
#define FIXED_TOKENS 500.0
/* A longer prompt is compared as one of so many tokens: callers may say
 * anything. */
#define TOKENS_MAX 32768
/* Answers of a plain route by which its mean is known: later ones of all
 * routes are then compared, each with its own. */
#define ROUTE_ANSWERS 8
/* The histogram of slowness is in percent of the median. */
#define PERCENT 100.0
/* A call under way is counted as slow for the other entries from this many
 * times the median on, and again each time that its time has doubled. */
#define OPEN_SLOW 2.0

/* Endpoints of one service. */
struct service_speed {
	GArray *ms; /* double, of those that are known */
	double median;
};

struct gate_speeds {
	GHashTable *services; /* name -> struct service_speed */
	int64_t look_ms;
	uint64_t *n_rests, *n_told;
	struct hist *slowness;
};

static void service_free(void *p)
{
	struct service_speed *s = p;

	g_array_unref(s->ms);
	g_free(s);
}

struct gate_speeds *gate_speeds_new(struct metrics *m)
{
	struct gate_speeds *x = g_new0(struct gate_speeds, 1);

	x->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    service_free);
	x->n_rests = metrics_value(m, "ss_gate_slow_rests_total", "");
	x->n_told = metrics_value(m, "ss_gate_told_slow_total", "");
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

/* Times are compared after division by this; 0: they can't be yet. */
static double scale_of(const struct forward *f)
{
	if (f->route->kind == ROUTE_STREAM)
		return 1 + (double)MIN(f->call.tokens_in, TOKENS_MAX) /
				   FIXED_TOKENS;
	return f->pace->first.n >= ROUTE_ANSWERS ? f->pace->first.mean_ms : 0;
}

/* The time since it was sent, at least the clock's own step, as it is compared;
 * 0: it can't be yet. */
static double compared_ms(const struct forward *f, int64_t now)
{
	double scale = scale_of(f);

	return scale > 0 ? (double)MAX(now - f->sent_ms, 1) / scale : 0;
}

/* Its endpoint has it, and no event has come; not held up by its caller. */
static bool is_open(const struct forward *f)
{
	return f->state >= FORWARD_SENT && !f->mark.events && !f->paused;
}

/* Counts a time for the report to the other entries. */
static void note_seen(struct gate_ep *ep, double ms, double median)
{
	if (median > 0)
		slow_seen_note(&ep->slow_seen, ms / median);
}

static void note_seen_open(struct gate_ep *ep, struct forward *f, double ms,
			   double median)
{
	/* It was sent anew. */
	if (ms < f->seen_ms)
		f->seen_ms = 0;
	if (ms < OPEN_SLOW * MAX(median, f->seen_ms))
		return;
	f->seen_ms = ms;
	note_seen(ep, ms, median);
}

static void look_at_forward(struct gate *g, struct forward *f, int64_t now)
{
	struct gate_ep *ep = gate_ep_of(f);
	double ms = compared_ms(f, now), median;

	if (!ep || ms <= 0 || !is_open(f))
		return;
	median = service_at(g->speeds, ep->service)->median;
	speed_open(&ep->speed, ms, median, now);
	note_seen_open(ep, f, ms, median);
}

static void look_at_open(struct gate *g, int64_t now)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p))
		speed_open_begin(&((struct gate_ep *)p)->speed);
	g_hash_table_iter_init(&it, g->forwards);
	while (g_hash_table_iter_next(&it, &p, NULL))
		look_at_forward(g, p, now);
}

static void take_medians(struct gate *g, int64_t now)
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

static void take_ratio(struct gate_ep *ep, double median, int64_t now)
{
	ep->own_ratio = speed_ratio(&ep->speed, median, now);
	ep->ratio = slow_told_or_own(&ep->slow_told, ep->own_ratio,
				     speed_known(&ep->speed, now), now);
}

static void look(struct gate *g, int64_t now)
{
	GHashTableIter it;
	void *p;

	if (now - g->speeds->look_ms < LOOK_MS)
		return;
	g->speeds->look_ms = now;
	look_at_open(g, now);
	take_medians(g, now);
	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct gate_ep *ep = p;

		take_ratio(ep, service_at(g->speeds, ep->service)->median, now);
	}
}

static bool is_uneven(double ratio)
{
	return ratio > 0 && speed_weight(ratio) != 1;
}

static void begin_rest(struct gate *g, struct gate_ep *ep, double median_ms)
{
	int64_t now = gate_now(g);

	speed_rest_begin(&ep->slow_rest, now);
	if (speed_weight(slow_told_ratio(&ep->slow_told, now)) > 1)
		speed_rest_share(&ep->slow_rest, MAX(g->entries, 1),
				 balance_draw(&g->seed), now);
	(*g->speeds->n_rests)++;
	log_info("endpoint_slow",
		 "addr=%s id=%s ratio=%.1f first_ms=%.0f median_ms=%.0f "
		 "ms=%" PRId64,
		 ep->addr, ep->self.id, ep->ratio, ep->ratio * median_ms,
		 median_ms, ep->slow_rest.until_ms - now);
}

void gate_speed_answered(struct forward *f)
{
	struct gate *g = f->g;
	struct gate_ep *ep = gate_ep_of(f);
	int64_t now = gate_now(g);
	double ms = compared_ms(f, now), median;

	if (!ep || ms <= 0)
		return;
	speed_note(&ep->speed, ms, now);
	median = service_at(g->speeds, ep->service)->median;
	take_ratio(ep, median, now);
	note_seen(ep, ms, median);
	if (ep->own_ratio > 0)
		hist_add(g->speeds->slowness,
			 (uint64_t)(ep->own_ratio * PERCENT));
	if (speed_rest_answered(&ep->slow_rest, ep->own_ratio))
		begin_rest(g, ep, median * scale_of(f));
}

void gate_speed_left(struct forward *f)
{
	struct gate_ep *ep = gate_ep_of(f);
	int64_t now = gate_now(f->g);
	double ms = compared_ms(f, now), median;

	if (!ep || ms <= 0 || !is_open(f))
		return;
	median = service_at(f->g->speeds, ep->service)->median;
	speed_note_least(&ep->speed, ms, median, now);
	note_seen_open(ep, f, ms, median);
}

void gate_speed_told(struct gate *g, struct gate_ep *ep, int64_t ratio)
{
	int64_t now = gate_now(g);
	double before = slow_told_ratio(&ep->slow_told, now), told;

	slow_told_take(&ep->slow_told, ratio, now);
	told = slow_told_ratio(&ep->slow_told, now);
	if (speed_weight(told) <= 1 || speed_weight(before) > 1)
		return;
	(*g->speeds->n_told)++;
	log_info("endpoint_told_slow", "addr=%s id=%s ratio=%.1f own=%.1f",
		 ep->addr, ep->self.id, told, ep->own_ratio);
}

bool gate_speed_report(struct gate *g, struct gate_ep *ep,
		       struct endpoint_ends *e)
{
	bool news = is_uneven(ep->own_ratio) ||
		    is_uneven(slow_told_ratio(&ep->slow_told, gate_now(g)));

	if (news) {
		e->slow_ln = slow_seen_sum(&ep->slow_seen);
		e->slow_n = ep->slow_seen.n;
	}
	/* An endpoint that is even costs no byte. */
	ep->slow_seen = (struct slow_seen){ 0 };
	return e->slow_n;
}

/* Its callers are to be answered sooner than by its end. */
static bool has_objective(const struct forward *f)
{
	return f->route->objective_ms < f->route->timeout_ms;
}

static double ratio_of(const struct forward *f, const struct gate_ep *ep,
		       int64_t now)
{
	double told = f->service->engine ? 0 : speed_reported(&ep->speed, now);

	if (told > 0)
		return told;
	return has_objective(f) ? ep->ratio : 0;
}

static double start_of(const struct forward *f, const struct gate_ep *ep,
		       int64_t now)
{
	return has_objective(f) && ep->began_ms ?
		       speed_start(now - ep->began_ms, ep->speed.n) :
		       1;
}

static void weigh(const struct forward *f, const struct gate_ep *ep,
		  struct balance_node *n, double median_ms)
{
	int64_t now = gate_now(f->g);
	double ratio = ratio_of(f, ep, now), start = start_of(f, ep, now);

	n->slow = speed_weight(ratio);
	if (start < 1)
		n->slow = MAX(n->slow, 1) / start;
	if (has_objective(f))
		n->late = (ratio > 0 ? ratio : 1) * median_ms /
			  (double)f->route->objective_ms;
}

/* Too slow for this request, by what entries have seen: an endpoint's own word
 * brings no rest. */
static bool is_too_slow(const struct forward *f, const struct gate_ep *ep,
			double median_ms)
{
	return has_objective(f) &&
	       speed_needs_rest(ep->ratio, ep->ratio * median_ms,
				f->route->objective_ms);
}

static int slowest_first(const void *a, const void *b)
{
	const struct gate_ep *x = *(struct gate_ep *const *)a;
	const struct gate_ep *y = *(struct gate_ep *const *)b;

	return (x->ratio < y->ratio) - (x->ratio > y->ratio);
}

/* Those that are too slow, without the ones that the others need beside them:
 * half of all, and where nobody is faster, all. */
static void keep_half(GPtrArray *slow, guint usable)
{
	if (slow->len >= usable) {
		g_ptr_array_set_size(slow, 0);
		return;
	}
	g_ptr_array_sort(slow, slowest_first);
	g_ptr_array_set_size(slow, (gint)MIN(slow->len, usable / 2));
}

static void rest(struct gate *g, GPtrArray *slow, double median_ms)
{
	int64_t now = gate_now(g);

	for (guint i = 0; i < slow->len; i++) {
		struct gate_ep *ep = slow->pdata[i];

		if (speed_rest_is_due(&ep->slow_rest, now))
			begin_rest(g, ep, median_ms);
	}
}

static bool is_left_out(const struct gate_ep *ep, GPtrArray *slow, int64_t now)
{
	return speed_is_resting(&ep->slow_rest, now) &&
	       g_ptr_array_find(slow, ep, NULL);
}

/* Where no other has room, a slow answer is better than none. */
static void leave_out_resting(const struct forward *f, struct balance_node *n,
			      const GPtrArray *eps, GPtrArray *slow,
			      int64_t now)
{
	double fill = gate_fill(f);
	bool room = false;

	for (guint i = 0; !room && i < eps->len; i++)
		room = n[i].usable && balance_has_room(&n[i], fill) &&
		       !is_left_out(eps->pdata[i], slow, now);
	for (guint i = 0; room && slow->len && i < eps->len; i++)
		if (is_left_out(eps->pdata[i], slow, now))
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

	look(g, now);
	median_ms =
		service_at(g->speeds, f->service->name)->median * scale_of(f);
	for (guint i = 0; i < eps->len; i++) {
		weigh(f, eps->pdata[i], &n[i], median_ms);
		usable += n[i].usable;
		if (n[i].usable && is_too_slow(f, eps->pdata[i], median_ms))
			g_ptr_array_add(slow, eps->pdata[i]);
	}
	keep_half(slow, usable);
	rest(g, slow, median_ms);
	leave_out_resting(f, n, eps, slow, now);
	g_ptr_array_unref(slow);
}
