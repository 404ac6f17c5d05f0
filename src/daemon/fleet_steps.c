/* Plans steps, which load and unload models, and runs them. */
#include "fleet_leader_int.h"

/* Longest time for which a new leader waits for all agents to connect before it
 * plans: models that aren't reported yet would count as lost. No lease has to
 * expire first, as an engine's orders come from its own agent under any leader.
 */
#define AGENT_WAIT_MS 500
/* Time for which a new leader preloads no models. Within the first, entries
 * report their running calls and agents the replicas that they hold; a needless
 * load from the store occupies an engine for many seconds. The second bounds
 * the wait for an agent that never connects. */
#define PRELOAD_DELAY_MS 1000
#define PRELOAD_MAX_DELAY_MS 3000
/* Longest wait for the entries' acknowledgement, which takes a round trip. An
 * entry that doesn't acknowledge has lost its connection; the engine then
 * refuses its calls with a specific error. */
#define ACK_WAIT_MS 300
/* Longest time for which an unload waits for running calls. After that it is
 * sent, and the engine waits for them itself. */
#define UNLOAD_WAIT_MS 3000
/* A step is abandoned after STEP_TIMEOUT_FACTOR times its expected duration,
 * plus this time. Its agent keeps reporting while it runs the step. */
#define STEP_TIMEOUT_FACTOR 3
#define STEP_SLACK_MS 6000
/* Time after a failed load before it is retried on the same engine. */
#define LOAD_RETRY_MS 2000
/* Share of the store's load rate that is used. The rest covers loads that begin
 * later than they were ordered. */
#define STORE_SHARE 0.8
/* Memory reserved for adapters, as a multiple of the largest one. */
#define RESERVED_ADAPTERS 4
/* Smallest change of a wake time that is reported to entries. */
#define ETA_STEP_MS 100
/* Minimum interval between log lines about one blocked model. */
#define BLOCKED_LOG_MS 1000

/* A placement pass over one service: the view that it plans with, and the
 * arrays that the view points to. */
struct service_view {
	struct fleet_leader *l;
	const struct routing_service *service;
	struct fleet_view v;
	GArray *models;	   /* struct fleet_model */
	GArray *pins;	   /* struct fleet_pin */
	GPtrArray *pinned; /* struct fleet_demand of each pin */
	GArray *nodes;	   /* struct fleet_node */
	GPtrArray *eps;	   /* struct fleet_ep of each node */
	GPtrArray *tiers;  /* uint8_t * of each node: enum ss_tier by model */
	int64_t now;
};

void fleet_step_clear(struct fleet_ep *ep)
{
	struct step_run *s = &ep->step;

	if (s->unload)
		g_ptr_array_unref(s->unload);
	g_free(s->load);
	memset(s, 0, sizeof(*s));
}

bool fleet_step_unloads(const struct fleet_ep *ep, const char *model)
{
	return ep->step.active &&
	       g_ptr_array_find_with_equal_func(ep->step.unload, model,
						g_str_equal, NULL);
}

static int model_index(const struct service_view *w, const char *name)
{
	const struct routing_model *m = routing_model(w->service, name);

	return m ? (int)(m - (struct routing_model *)w->service->models->data) :
		   -1;
}

/* Returns the number of requests that wait at all entries; sets *slack_ms to
 * the time until their earliest deadline. */
static uint32_t sum_waits(const struct fleet_demand *demand, int64_t now,
			  int64_t *slack_ms)
{
	uint32_t waiting = 0;
	GHashTableIter it;
	void *v;

	*slack_ms = INT64_MAX;
	g_hash_table_iter_init(&it, demand->waits);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct entry_wait *wait = v;

		waiting += (uint32_t)wait->waiting;
		*slack_ms = MIN(*slack_ms, wait->due_ms - now);
	}
	return waiting;
}

static void add_pins(struct service_view *w)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, w->l->demands);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fleet_demand *demand = p;
		int m = *demand->version && g_hash_table_size(demand->waits) &&
					!strcmp(demand->service,
						w->service->name) ?
				model_index(w, demand->model) :
				-1;
		struct fleet_pin pin = { .version = demand->version };

		if (m < 0)
			continue;
		pin.model = (uint32_t)m;
		pin.waiting = sum_waits(demand, w->now, &pin.slack_ms);
		g_array_append_val(w->pins, pin);
		g_ptr_array_add(w->pinned, demand);
	}
}

static void add_models(struct service_view *w)
{
	for (guint i = 0; i < w->service->models->len; i++) {
		struct fleet_model m = {
			.spec = &g_array_index(w->service->models,
					       struct routing_model, i),
			.eta_ms = -1,
		};
		struct fleet_demand *demand = fleet_demand_for(
			w->l, w->service->name, m.spec->name, "");
		m.rate = fleet_rate_at(&demand->rate, w->now);
		m.waiting = sum_waits(demand, w->now, &m.slack_ms);
		g_array_append_val(w->models, m);
	}
}

static double adapters_mb(const struct routing_service *s)
{
	double max_mb = 0;

	for (guint i = 0; i < s->models->len; i++)
		max_mb = MAX(max_mb,
			     g_array_index(s->models, struct routing_model, i)
				     .adapter_mb);
	return max_mb * (double)MIN(s->adapter_slots, RESERVED_ADAPTERS);
}

static void add_replicas(struct service_view *w, const struct fleet_ep *ep,
			 struct fleet_node *n)
{
	const GArray *held = ep->report.held;

	n->free_mb = w->service->weights_mb - adapters_mb(w->service);
	for (guint i = 0; held && i < held->len; i++) {
		const struct fleet_held_model *h =
			&g_array_index(held, struct fleet_held_model, i);
		struct fleet_replica p = { 0 };
		int m = model_index(w, h->model);

		if (m < 0)
			continue;
		p.model = (uint32_t)m;
		p.calls = fleet_ep_calls(ep, h->model);
		p.unloading = fleet_step_unloads(ep, h->model);
		g_array_index(w->models, struct fleet_model, m).calls +=
			p.calls;
		n->free_mb -= g_array_index(w->models, struct fleet_model, m)
				      .spec->weights_mb;
		g_array_append_val(n->replicas, p);
	}
}

static void mark_tier(const struct service_view *w, uint8_t *tiers,
		      const GPtrArray *names, enum ss_tier tier)
{
	for (guint i = 0; names && i < names->len; i++) {
		int m = model_index(w, names->pdata[i]);

		if (m >= 0)
			tiers[m] = (uint8_t)tier;
	}
}

static int64_t step_remaining_ms(const struct fleet_ep *ep, int64_t now)
{
	const struct step_run *s = &ep->step;
	int64_t end = (s->sent ? s->sent_ms : now) + s->plan.expected_ms;

	return MAX(end - now, 0);
}

/* True if the engine's agent reports it, so that its memory use is known, and
 * nothing else occupies it. */
static bool accepts_step(const struct fleet_leader *l,
			 const struct fleet_ep *ep, int64_t now)
{
	return ep->conn && ep->reported && !ep->step.active &&
	       !ep->report.busy &&
	       now - ep->report_ms < FLEET_REPORT_MAX_AGE_MS &&
	       fleet_ep_usable(l, ep) && !fleet_ep_throttled(l, ep);
}

/* True if the engine executes an order that this leader didn't send. */
static bool has_foreign_order(const struct fleet_leader *l,
			      const struct fleet_ep *ep)
{
	return !ep->step.active && fleet_ep_reported(l, ep) && ep->report.busy;
}

static void add_node(struct service_view *w, struct fleet_ep *ep)
{
	bool usable = fleet_ep_usable(w->l, ep);
	bool throttled = fleet_ep_throttled(w->l, ep);
	struct fleet_node n = { .domain = ep->domain,
				.version = ep->self.version,
				.usable = usable && !throttled,
				.suspended = fleet_ep_suspended(w->l, ep) ||
					     (usable && throttled),
				.loading = -1,
				.slots = w->service->slots,
				.running = ep->report.running +
					   ep->report.waiting };
	uint8_t *tiers = g_new0(uint8_t, w->models->len + 1);

	n.replicas = g_array_new(FALSE, FALSE, sizeof(struct fleet_replica));
	n.foreign_order = has_foreign_order(w->l, ep);
	n.accepts_step = accepts_step(w->l, ep, w->now);
	n.tier = tiers;
	if (ep->reported)
		add_replicas(w, ep, &n);
	mark_tier(w, tiers, ep->report.on_disk, TIER_DISK);
	mark_tier(w, tiers, ep->report.in_memory, TIER_MEMORY);
	if (ep->step.active && ep->step.load) {
		n.loading = model_index(w, ep->step.load);
		n.loading_tier = ep->step.plan.tier;
		n.loading_left_ms = step_remaining_ms(ep, w->now);
	}
	g_array_append_val(w->nodes, n);
	g_ptr_array_add(w->eps, ep);
	g_ptr_array_add(w->tiers, tiers);
}

static const char *model_name(const struct service_view *w, uint32_t model)
{
	return g_array_index(w->models, struct fleet_model, model).spec->name;
}

static bool load_failed_recently(const struct fleet_ep *ep, const char *model,
				 int64_t now)
{
	const int64_t *at = g_hash_table_lookup(ep->failed_loads, model);

	return at && now - *at < LOAD_RETRY_MS;
}

static void begin_step(void *arg, const struct fleet_step *s)
{
	static const char *const tiers[] = { "store", "disk", "memory" };
	struct service_view *w = arg;
	struct fleet_ep *ep = w->eps->pdata[s->node];
	const char *model = model_name(w, (uint32_t)s->load);
	struct step_run *r = &ep->step;

	if (load_failed_recently(ep, model, w->now))
		return;
	fleet_step_clear(ep);
	r->active = true;
	r->number = ++w->l->steps;
	r->plan = *s;
	r->unload = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < s->n_victims; i++)
		g_ptr_array_add(r->unload,
				g_strdup(model_name(w, s->victims[i])));
	r->load = g_strdup(model);
	r->since_ms = w->now;
	if (s->n_victims) {
		r->round = w->l->step_round = ++w->l->round;
		ep->changed = w->l->dirty = true;
	}
	(*w->l->n_steps)++;
	(*(s->tier == TIER_REMOTE ? w->l->n_store :
	   s->tier == TIER_DISK	  ? w->l->n_disk :
				    w->l->n_memory))++;
	log_info("step",
		 "step=%" PRIu64 " endpoint=%s load=%s from=%s unloads=%zu "
		 "expected_ms=%" PRId64 " why=\"%s\"",
		 r->number, ep->addr, model, tiers[s->tier], s->n_victims,
		 s->expected_ms, s->why);
}

/* Logs a blocked model at most once a second, as long as callers wait. */
static void on_blocked(void *arg, uint32_t model, const struct fleet_blocked *b)
{
	struct service_view *w = arg;
	struct fleet_demand *demand =
		fleet_demand_for(w->l, w->service->name, model_name(w, model),
				 b->version ? b->version : "");

	if (w->now - demand->blocked_ms < BLOCKED_LOG_MS)
		return;
	demand->blocked_ms = w->now;
	log_info("model_blocked",
		 "model=%s version=%s waiting=%u slack_ms=%" PRId64
		 " copies=%u busy=%u full=%u others=%u store_closed=%d",
		 demand->model, b->version ? b->version : "-", b->waiting,
		 b->slack_ms, b->copies, b->copies_busy, b->copies_full,
		 b->store_candidates, b->store_closed);
}

static const struct fleet_plan_ops plan_table = { begin_step, on_blocked };

static void update_eta(struct service_view *w, struct fleet_demand *demand,
		       int64_t eta_ms)
{
	int64_t eta = eta_ms < 0 ? -1 : w->now + eta_ms;

	if ((eta < 0) != (demand->eta_ms < 0) ||
	    ABS(eta - demand->eta_ms) > ETA_STEP_MS) {
		demand->eta_changed = true;
		w->l->dirty |= g_hash_table_size(demand->waits) > 0;
	}
	demand->eta_ms = eta;
}

static void update_etas(struct service_view *w)
{
	for (guint i = 0; i < w->models->len; i++) {
		const struct fleet_model *m =
			&g_array_index(w->models, struct fleet_model, i);

		update_eta(w,
			   fleet_demand_for(w->l, w->service->name,
					    m->spec->name, ""),
			   m->eta_ms);
	}
	for (guint i = 0; i < w->pins->len; i++)
		update_eta(w, w->pinned->pdata[i],
			   g_array_index(w->pins, struct fleet_pin, i).eta_ms);
}

static void node_clear(void *p)
{
	g_array_unref(((struct fleet_node *)p)->replicas);
}

/* True if every engine in the VM list has a connected agent. */
static bool all_reported(const struct fleet_leader *l)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct fleet_ep *ep = p;
		const struct routing_service *s =
			routing_service(l->routing, ep->service);

		if (ep->listed && !ep->conn && s && s->engine)
			return false;
	}
	return true;
}

static bool may_preload(const struct fleet_leader *l, int64_t now)
{
	int64_t age = now - l->since_ms;

	return l->preset.wake_ahead && age >= PRELOAD_DELAY_MS &&
	       (age >= PRELOAD_MAX_DELAY_MS || all_reported(l));
}

static void plan_service(struct fleet_leader *l,
			 const struct routing_service *service, int64_t now)
{
	struct service_view w = { .l = l, .service = service, .now = now };
	GHashTableIter it;
	void *p;

	w.models = g_array_new(FALSE, FALSE, sizeof(struct fleet_model));
	w.pins = g_array_new(FALSE, FALSE, sizeof(struct fleet_pin));
	w.pinned = g_ptr_array_new();
	w.nodes = g_array_new(FALSE, FALSE, sizeof(struct fleet_node));
	g_array_set_clear_func(w.nodes, node_clear);
	w.eps = g_ptr_array_new();
	w.tiers = g_ptr_array_new_with_free_func(g_free);
	add_models(&w);
	add_pins(&w);
	g_hash_table_iter_init(&it, l->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fleet_ep *ep = p;

		if (ep->listed && !strcmp(ep->service, service->name))
			add_node(&w, ep);
	}
	w.v = (struct fleet_view){
		.models = (struct fleet_model *)w.models->data,
		.n_models = w.models->len,
		.pins = (struct fleet_pin *)w.pins->data,
		.n_pins = w.pins->len,
		.nodes = (struct fleet_node *)w.nodes->data,
		.n_nodes = w.nodes->len,
		.slots = service->slots,
		.store_parallel = fleet_store_max_loads(
			&l->store, (size_t)l->preset.store_parallel),
		.store_tokens = l->store_tokens,
		.all_reported = all_reported(l),
		.preload = may_preload(l, now),
	};
	fleet_plan(&w.v, &plan_table, &w);
	l->store_tokens = w.v.store_tokens;
	update_etas(&w);
	g_array_unref(w.models);
	g_array_unref(w.pins);
	g_ptr_array_unref(w.pinned);
	g_array_unref(w.nodes);
	g_ptr_array_unref(w.eps);
	g_ptr_array_unref(w.tiers);
}

/*
 * Refills the token bucket that limits loads from the store over all engines,
 * which the store bounds in a sliding window. A new leader doesn't know the
 * loads that its predecessor began, so it starts with an empty bucket; the
 * bucket holds at most one second's loads.
 */
static void refill_store(struct fleet_leader *l,
			 const struct routing_service *s, int64_t now)
{
	double rate = s->loads_per_s * STORE_SHARE;
	double preset = (double)l->preset.store_per_minute / 60.0;

	if (rate <= 0 || preset < rate)
		rate = preset;
	l->store_tokens += rate * (double)(now - l->store_ms) / 1000.0;
	l->store_tokens = MIN(l->store_tokens, MAX(rate, 1));
	l->store_ms = now;
}

void fleet_steps_plan(struct fleet_leader *l, int64_t now)
{
	if (!l->list_received ||
	    (now - l->since_ms < AGENT_WAIT_MS && !all_reported(l)))
		return;
	for (guint i = 0; i < l->routing->services->len; i++) {
		const struct routing_service *s =
			l->routing->services->pdata[i];

		if (!s->engine || s->models->len == 0)
			continue;
		refill_store(l, s, now);
		plan_service(l, s, now);
	}
}

/* Running steps. */

static bool acknowledged_by_all(const struct fleet_leader *l, uint64_t round)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct fleet_peer *peer = p;

		if (peer->entry && peer->has_snapshot && peer->round < round)
			return false;
	}
	return true;
}

/* True if the engine's agent has been sent the term that a step carries. */
static bool agent_knows_term(const struct fleet_leader *l,
			     const struct fleet_ep *ep)
{
	const struct fleet_peer *p = g_hash_table_lookup(l->peers, ep->conn);

	return p && p->confirmed;
}

static uint32_t victim_calls(const struct fleet_ep *ep)
{
	uint32_t n = 0;

	for (guint i = 0; i < ep->step.unload->len; i++)
		n += fleet_ep_calls(ep, ep->step.unload->pdata[i]);
	return n;
}

/*
 * A model is unloaded once every entry has acknowledged that it sends no new
 * calls to it, and its running calls have ended. Otherwise these calls would be
 * refused or delay the engine's next order.
 */
static bool may_send(const struct fleet_leader *l, const struct fleet_ep *ep,
		     int64_t now)
{
	int64_t age = now - ep->step.since_ms;

	if (!agent_knows_term(l, ep))
		return false;
	if (ep->step.unload->len == 0 || age > UNLOAD_WAIT_MS)
		return true;
	if (!acknowledged_by_all(l, ep->step.round) && age < ACK_WAIT_MS)
		return false;
	return victim_calls(ep) == 0;
}

/* False if the step's model has been removed from the routing since it was
 * planned. */
static bool model_is_routed(const struct fleet_leader *l,
			    const struct fleet_ep *ep)
{
	const struct routing_service *s =
		routing_service(l->routing, ep->service);

	return s && routing_model(s, ep->step.load);
}

/* Returns the number of loads from the store that are running. */
static size_t count_store_loads(const struct fleet_leader *l)
{
	GHashTableIter it;
	size_t n = 0;
	void *p;

	g_hash_table_iter_init(&it, l->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct fleet_ep *ep = p;

		n += has_foreign_order(l, ep) ||
		     (ep->step.active && ep->step.sent &&
		      ep->step.plan.tier == TIER_REMOTE);
	}
	return n;
}

/* Updates the estimate of the store's speed from a load, once: as soon as the
 * load takes too long, or else when it ends. */
static void observe_store(struct fleet_leader *l, struct step_run *s,
			  int64_t took_ms, bool done)
{
	int64_t expected_ms = s->plan.expected_ms;
	size_t before = l->store.max_loads;

	if (!s->sent || s->plan.tier != TIER_REMOTE || s->slow ||
	    (!done && took_ms <= fleet_store_slow_ms(expected_ms)))
		return;
	s->slow = !done;
	fleet_store_observe(&l->store, s->concurrent_loads, took_ms,
			    expected_ms, done);
	if (l->store.max_loads != before)
		log_info("store_speed",
			 "at_once=%zu step=%" PRIu64 " beside=%zu ms=%" PRId64
			 " alone_ms=%" PRId64 " done=%d",
			 l->store.max_loads, s->number, s->concurrent_loads,
			 took_ms, expected_ms, done);
}

static void send_step(struct fleet_leader *l, struct fleet_ep *ep, int64_t now)
{
	struct step_run *s = &ep->step;
	GArray *names = fleet_wire_names(s->unload);
	struct msg_load m = { .fence = fleet_ep_fence(l, ep),
			      .step = s->number,
			      .load = ss_str(s->load),
			      .started_ms = ep->self.started_ms };

	m.unload = (struct wire_list){ names->data, names->len };
	if (model_is_routed(l, ep) && conn_send(ep->conn, MSG_LOAD, &m)) {
		s->sent = true;
		s->sent_ms = now;
		s->concurrent_loads = count_store_loads(l);
		ep->changed = l->dirty = true;
	}
	g_array_unref(names);
}

static void end_step(struct fleet_leader *l, struct fleet_ep *ep)
{
	fleet_step_clear(ep);
	ep->changed = l->dirty = l->urgent = true;
}

void fleet_step_restarted(struct fleet_leader *l, struct fleet_ep *ep)
{
	if (!ep->step.active)
		return;
	log_warn("step_lost", "step=%" PRIu64 " endpoint=%s restarted=1",
		 ep->step.number, ep->addr);
	(*l->n_failed)++;
	end_step(l, ep);
}

static void run_step(struct fleet_leader *l, struct fleet_ep *ep, int64_t now)
{
	struct step_run *s = &ep->step;
	int64_t timeout_ms =
		s->plan.expected_ms * STEP_TIMEOUT_FACTOR + STEP_SLACK_MS;

	if (!ep->conn || now - s->since_ms > timeout_ms + UNLOAD_WAIT_MS) {
		/* The next report shows how much of the step was done. */
		log_warn("step_lost", "step=%" PRIu64 " endpoint=%s agent=%d",
			 s->number, ep->addr, ep->conn != NULL);
		(*l->n_failed)++;
		end_step(l, ep);
		return;
	}
	if (!s->sent && may_send(l, ep, now))
		send_step(l, ep, now);
	observe_store(l, s, now - s->sent_ms, false);
}

void fleet_steps_run(struct fleet_leader *l, int64_t now)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->eps);
	while (g_hash_table_iter_next(&it, NULL, &p))
		if (((struct fleet_ep *)p)->step.active)
			run_step(l, p, now);
}

void fleet_steps_done(struct fleet_leader *l, struct fleet_ep *ep,
		      const struct msg_loaded *m)
{
	struct step_run *s = &ep->step;
	int64_t now = fleet_leader_now(l);

	if (!s->active || s->number != m->step ||
	    m->fence != fleet_ep_fence(l, ep))
		return;
	log_info("step_done",
		 "step=%" PRIu64 " endpoint=%s load=%s ms=%" PRId64
		 " expected_ms=%" PRId64 " error=%s why=\"%.*s\"",
		 s->number, ep->addr, s->load, m->took_ms, s->plan.expected_ms,
		 m->code ? ss_error_name((enum ss_error)m->code) : "none",
		 SS_FMT(m->text));
	if (m->code) {
		(*l->n_failed)++;
		g_hash_table_replace(ep->failed_loads, g_strdup(s->load),
				     g_memdup2(&now, sizeof(now)));
	} else {
		observe_store(l, s, m->took_ms, true);
		hist_add(l->load_hist, (uint64_t)MAX(m->took_ms, 0));
	}
	end_step(l, ep);
}
