/* An entry's route to one model: its replicas, and the choice among them. */
#include "route.h"

/* Assumed mean duration of a call until the first one completes. */
#define SERVICE_MS_INITIAL 200.0

struct route *route_new(const char *model, const struct ss_queue_options *q,
			int64_t now)
{
	struct route *rt = g_new0(struct route, 1);

	rt->model = g_strdup(model);
	rt->target = g_strdup(model);
	rt->views = g_array_new(FALSE, FALSE, sizeof(struct replica_view));
	rt->queue = ss_queue_new(q);
	rt->eta_ms = SS_NEVER;
	rt->watch_sent_ms = INT64_MIN / 2;
	rt->used_ms = now;
	rt->service_mean_ms = SERVICE_MS_INITIAL;
	return rt;
}

void route_free(void *route)
{
	struct route *rt = route;

	g_free(rt->model);
	g_free(rt->target);
	g_array_unref(rt->views);
	ss_queue_free(rt->queue);
	g_free(rt);
}

static struct replica_view *view_at(struct route *rt, guint i)
{
	return &g_array_index(rt->views, struct replica_view, i);
}

struct replica_view *route_view(struct route *rt, uint64_t replica)
{
	for (guint i = 0; i < rt->views->len; i++)
		if (view_at(rt, i)->replica == replica)
			return view_at(rt, i);
	return NULL;
}

void route_update(struct route *rt, const struct msg_route *m,
		  struct agent *(*agent_of)(void *arg,
					    const struct route_replica *r),
		  void *arg, int64_t now)
{
	const struct route_replica *rr = m->replicas.items;
	GArray *views = g_array_new(FALSE, FALSE, sizeof(struct replica_view));

	rt->known = true;
	rt->code = m->code;
	rt->version = m->version;
	if (m->target.n && !ss_str_eq(m->target, ss_str(rt->target))) {
		g_free(rt->target);
		rt->target = ss_str_dup(m->target);
	}
	rt->eta_ms = m->eta_ms < 0 ? SS_NEVER : now + m->eta_ms;
	for (size_t i = 0; i < m->replicas.n; i++) {
		struct replica_view v = { .replica = rr[i].replica };
		struct replica_view *old = route_view(rt, v.replica);

		if (old)
			v = *old;
		v.agent = agent_of(arg, &rr[i]);
		v.gone = false;
		v.t.slots = rr[i].slots;
		v.ready_ms = now - rr[i].age_ms;
		g_array_append_val(views, v);
	}
	g_array_unref(rt->views);
	rt->views = views;
}

/* Updates the fields of a view's target that depend on time and connections. */
static void refresh(struct replica_view *v, const char *domain,
		    bool ignore_breakers, int64_t now)
{
	v->t.age_ms = now - v->ready_ms;
	v->t.same_domain = !strcmp(v->agent->domain, domain);
	v->t.usable =
		v->agent->up && !v->gone && now >= v->backoff_until_ms &&
		(ignore_breakers || ss_breaker_allows(&v->agent->breaker, now));
}

struct replica_view *route_choose(struct route *rt, const char *domain,
				  uint64_t prefix_replica, uint64_t tie,
				  int64_t now)
{
	struct target *t = g_newa(struct target, MAX(rt->views->len, 1));
	int best = -1;

	/* If the breakers leave no usable replica, a second pass ignores them.
	 */
	for (int pass = 0; pass < 2 && best < 0; pass++) {
		bool any = false;

		for (guint i = 0; i < rt->views->len; i++) {
			struct replica_view *v = view_at(rt, i);

			refresh(v, domain, pass, now);
			v->t.prefix_cached = prefix_replica &&
					     v->replica == prefix_replica;
			any |= v->t.usable;
			t[i] = v->t;
		}
		best = choose_target(t, rt->views->len, tie);
		if (any)
			break;
	}
	return best < 0 ? NULL : view_at(rt, (guint)best);
}

void route_slots(struct route *rt, int64_t now, uint64_t *slots,
		 uint64_t *free_slots)
{
	*slots = *free_slots = 0;
	for (guint i = 0; i < rt->views->len; i++) {
		struct replica_view *v = view_at(rt, i);

		if (!v->agent->up || v->gone)
			continue;
		refresh(v, "", true, now);
		*slots += v->t.slots;
		*free_slots += target_free_slots(&v->t);
	}
}

int64_t route_wait_ms(struct route *rt, size_t ahead, int64_t now)
{
	uint64_t slots = 0;
	int64_t start = 0;

	for (guint i = 0; i < rt->views->len; i++)
		slots += view_at(rt, i)->gone ? 0 : view_at(rt, i)->t.slots;
	if (slots == 0) {
		if (rt->eta_ms == SS_NEVER)
			return 0; /* unknown: don't refuse on a guess */
		start = MAX(rt->eta_ms - now, 0);
		slots = 1;
	}
	return start +
	       (int64_t)((double)ahead * rt->service_mean_ms / (double)slots);
}
