/* Orders to one model engine. */
#include "engine.h"

#include "delayed_orders.h"

/* Adapters whose last use is kept, to choose the one to unload. */
#define ADAPTER_USES_MAX 256

struct adapter_request {
	uint64_t ticket;
	char *model, *adapter;
	int64_t until_ms;
	bool ordered; /* a load of it was accepted */
};

struct adapter_use {
	char *model, *adapter;
	int64_t at_ms;
};

/* The order that awaits its answer. */
struct pending_order {
	bool load;
	bool prior_incarnation; /* the engine has restarted since it was sent */
	char *model, *adapter;
	uint64_t expect;
	double mb; /* memory that a load takes */
};

struct engine {
	struct engine_options o;
	char *holder;
	const struct routing_service *service;
	const struct fleet_report *report; /* NULL: state unknown */
	/* Incarnation and order count that were reported last; kept while
	 * report is NULL. */
	struct fleet_incarnation incarnation;
	uint64_t orders;
	struct delayed_orders *delayed;
	uint64_t fence;		/* newest term; 0: none received */
	uint64_t refused_fence; /* refused by the engine; 0: none */
	bool order_pending;
	struct pending_order pending; /* while order_pending */
	bool report_stale;	      /* report is older than the last order */
	/* No order is sent before this time, as the last one may still be
	 * accepted. */
	int64_t hold_until_ms;
	/* Order count of a report that includes the last accepted order, and
	 * until when a report with a lower count is ignored. */
	uint64_t expected_orders;
	int64_t expected_until_ms;
	/* The current step. */
	bool step_active;
	uint64_t step_fence, step;
	GPtrArray *unload;  /* char *, models still to unload */
	char *load;	    /* NULL: nothing */
	bool load_accepted; /* the engine has accepted the step's load */
	/* Start of the incarnation that the step is for; 0: any. */
	int64_t step_started_ms;
	int64_t begun_ms, progress_ms; /* when it began, and last progressed */
	GArray *requests;	       /* struct adapter_request */
	GArray *uses;		       /* struct adapter_use */
};

static void adapter_request_clear(void *p)
{
	struct adapter_request *r = p;

	g_free(r->model);
	g_free(r->adapter);
}

static void adapter_use_clear(void *p)
{
	struct adapter_use *u = p;

	g_free(u->model);
	g_free(u->adapter);
}

struct engine *engine_new(const struct engine_options *o)
{
	struct engine *e = g_new0(struct engine, 1);

	e->o = *o;
	e->holder = g_strdup(o->holder);
	e->delayed = delayed_orders_new();
	e->unload = g_ptr_array_new_with_free_func(g_free);
	e->requests = g_array_new(FALSE, TRUE, sizeof(struct adapter_request));
	g_array_set_clear_func(e->requests, adapter_request_clear);
	e->uses = g_array_new(FALSE, TRUE, sizeof(struct adapter_use));
	g_array_set_clear_func(e->uses, adapter_use_clear);
	return e;
}

static void pending_order_clear(struct pending_order *o)
{
	g_free(o->model);
	g_free(o->adapter);
	memset(o, 0, sizeof(*o));
}

void engine_free(struct engine *e)
{
	if (!e)
		return;
	pending_order_clear(&e->pending);
	delayed_orders_free(e->delayed);
	fleet_incarnation_clear(&e->incarnation);
	g_free(e->holder);
	g_free(e->load);
	g_ptr_array_unref(e->unload);
	g_array_unref(e->requests);
	g_array_unref(e->uses);
	g_free(e);
}

void engine_set_service(struct engine *e, const struct routing_service *s)
{
	e->service = s;
}

bool engine_order_pending(const struct engine *e)
{
	return e->order_pending;
}

bool engine_busy(const struct engine *e)
{
	return e->step_active || e->order_pending || e->report_stale ||
	       e->requests->len > 0;
}

static void end_step(struct engine *e, int code, const char *text, int64_t now)
{
	e->step_active = false;
	g_ptr_array_set_size(e->unload, 0);
	g_clear_pointer(&e->load, g_free);
	e->o.ops->step_done(e->o.arg, e->step_fence, e->step, code, text,
			    now - e->begun_ms);
}

static const struct fleet_held_model *find_held(const struct engine *e,
						const char *model)
{
	for (guint i = 0; e->report && i < e->report->held->len; i++) {
		const struct fleet_held_model *h = &g_array_index(
			e->report->held, struct fleet_held_model, i);

		if (!strcmp(h->model, model))
			return h;
	}
	return NULL;
}

static bool has_adapter(const struct fleet_held_model *h, const char *adapter)
{
	return h && g_ptr_array_find_with_equal_func(h->adapters, adapter,
						     g_str_equal, NULL);
}

static bool is_adapter_loading(const struct engine *e, const char *model,
			       const char *adapter)
{
	const GPtrArray *list = e->report->loading_adapters;
	size_t n = strlen(model);

	for (guint i = 0; list && i < list->len; i++) {
		const char *s = list->pdata[i];

		if (!strncmp(s, model, n) && s[n] == '/' &&
		    !strcmp(s + n + 1, adapter))
			return true;
	}
	return false;
}

static size_t adapter_count(const struct engine *e)
{
	size_t n = e->report->loading_adapters ?
			   e->report->loading_adapters->len :
			   0;

	for (guint i = 0; i < e->report->held->len; i++)
		n += g_array_index(e->report->held, struct fleet_held_model, i)
			     .adapters->len;
	return n;
}

/* Returns the size of a model, or of one of its adapters if adapter is set; 0
 * if the model is unknown. */
static double size_mb(const struct engine *e, const char *model,
		      const char *adapter)
{
	const struct routing_model *m = routing_model(e->service, model);

	if (!m)
		return 0;
	return adapter ? m->adapter_mb : m->weights_mb;
}

/*
 * Returns the memory in use according to the report, or a negative value if a
 * size is unknown: then nothing can be loaded safely.
 */
static double used_mb(const struct engine *e)
{
	const GPtrArray *loading = e->report->loading_adapters;
	double sum = 0;

	for (guint i = 0; i < e->report->held->len; i++) {
		const struct fleet_held_model *h = &g_array_index(
			e->report->held, struct fleet_held_model, i);
		const struct routing_model *m =
			routing_model(e->service, h->model);

		if (!m)
			return -1;
		sum += m->weights_mb + m->adapter_mb * h->adapters->len;
	}
	for (guint i = 0; loading && i < loading->len; i++) {
		char *model = g_strdup(loading->pdata[i]);
		char *slash = strchr(model, '/');

		if (slash)
			*slash = 0;
		sum += size_mb(e, model, slash ? slash + 1 : "");
		g_free(model);
	}
	return sum;
}

/* Returns whether a model or adapter fits beside what is held and what delayed
 * orders may still load. */
static bool fits(const struct engine *e, const char *model, const char *adapter,
		 int64_t now)
{
	struct delayed_room delayed =
		delayed_orders_room(e->delayed, e->report, model, adapter, now);
	double used = used_mb(e);

	if (used < 0 || !routing_model(e->service, model))
		return false;
	if (adapter && adapter_count(e) + delayed.adapters >=
			       (size_t)e->service->adapter_slots)
		return false;
	return used + delayed.mb + size_mb(e, model, adapter) <=
	       e->service->weights_mb;
}

static void send_order(struct engine *e, bool load, const char *model,
		       const char *adapter)
{
	struct fleet_order o = { .load = load,
				 .model = model,
				 .adapter = adapter,
				 .expect = e->report->orders,
				 .holder = e->holder,
				 .fence = e->fence };

	e->order_pending = true;
	pending_order_clear(&e->pending);
	e->pending = (struct pending_order){ .load = load,
					     .model = g_strdup(model),
					     .adapter = g_strdup(adapter),
					     .expect = o.expect,
					     .mb = size_mb(e, model, adapter) };
	e->o.ops->order(e->o.arg, &o);
}

/* Steps. */

static void advance_load(struct engine *e, int64_t now)
{
	if (!e->load || find_held(e, e->load)) {
		end_step(e, 0, "", now);
		return;
	}
	if (e->report->busy) {
		e->progress_ms = now;
		return;
	}
	if (e->load_accepted) {
		end_step(e, SS_ERROR_ENDPOINT,
			 "the load ended, and the model isn't there", now);
		return;
	}
	if (!fits(e, e->load, NULL, now)) {
		end_step(e, SS_ERROR_MEMORY,
			 "the model doesn't fit beside what is held, or may "
			 "still be loaded",
			 now);
		return;
	}
	send_order(e, true, e->load, NULL);
}

static void advance_step(struct engine *e, int64_t now)
{
	while (e->unload->len && !find_held(e, e->unload->pdata[0])) {
		g_ptr_array_remove_index(e->unload, 0);
		e->progress_ms = now;
	}
	if (now - e->progress_ms > ENGINE_STEP_STALL_MS)
		end_step(e, SS_ERROR_DEADLINE, "no progress", now);
	else if (!e->unload->len)
		advance_load(e, now);
	else if (!e->report->busy)
		send_order(e, false, e->unload->pdata[0], NULL);
}

/* Adapters. */

static void record_use(struct engine *e, const char *model, const char *adapter,
		       int64_t now)
{
	struct adapter_use u = { NULL, NULL, now };

	for (guint i = 0; i < e->uses->len; i++) {
		struct adapter_use *at =
			&g_array_index(e->uses, struct adapter_use, i);

		if (strcmp(at->model, model) || strcmp(at->adapter, adapter))
			continue;
		at->at_ms = now;
		return;
	}
	if (e->uses->len == ADAPTER_USES_MAX)
		g_array_remove_index(e->uses, 0);
	u.model = g_strdup(model);
	u.adapter = g_strdup(adapter);
	g_array_append_val(e->uses, u);
}

static int64_t last_use(const struct engine *e, const char *model,
			const char *adapter)
{
	for (guint i = 0; i < e->uses->len; i++) {
		const struct adapter_use *at =
			&g_array_index(e->uses, struct adapter_use, i);

		if (!strcmp(at->model, model) && !strcmp(at->adapter, adapter))
			return at->at_ms;
	}
	return INT64_MIN;
}

static bool is_requested(const struct engine *e, const char *model,
			 const char *adapter)
{
	for (guint i = 0; i < e->requests->len; i++) {
		const struct adapter_request *r =
			&g_array_index(e->requests, struct adapter_request, i);

		if (!strcmp(r->model, model) && !strcmp(r->adapter, adapter))
			return true;
	}
	return false;
}

/* Unloads the least recently used adapter that no call waits for. Returns false
 * if there is none. */
static bool unload_lru_adapter(struct engine *e)
{
	const char *model = NULL, *adapter = NULL;
	int64_t oldest = INT64_MAX;

	for (guint i = 0; i < e->report->held->len; i++) {
		const struct fleet_held_model *h = &g_array_index(
			e->report->held, struct fleet_held_model, i);

		for (guint k = 0; k < h->adapters->len; k++) {
			int64_t at =
				last_use(e, h->model, h->adapters->pdata[k]);

			if (at >= oldest ||
			    is_requested(e, h->model, h->adapters->pdata[k]))
				continue;
			oldest = at;
			model = h->model;
			adapter = h->adapters->pdata[k];
		}
	}
	if (model)
		send_order(e, false, model, adapter);
	return model != NULL;
}

static void end_request(struct engine *e, guint i, int code, const char *text)
{
	uint64_t ticket =
		g_array_index(e->requests, struct adapter_request, i).ticket;

	g_array_remove_index(e->requests, i);
	e->o.ops->adapter_done(e->o.arg, ticket, code, text);
}

/* Ends a request that has succeeded, expired or can't succeed. Returns whether
 * it ended. */
static bool finish_request(struct engine *e, guint i, int64_t now)
{
	const struct adapter_request *r =
		&g_array_index(e->requests, struct adapter_request, i);
	const struct fleet_held_model *h = e->report ? find_held(e, r->model) :
						       NULL;

	if (has_adapter(h, r->adapter))
		end_request(e, i, 0, "");
	else if (now >= r->until_ms)
		end_request(e, i, SS_ERROR_DEADLINE, "not loaded in time");
	else if (e->report && !h &&
		 !(e->step_active && e->load && !strcmp(e->load, r->model)))
		end_request(e, i, SS_ERROR_UNKNOWN_MODEL,
			    "its model isn't held here");
	else
		return false;
	return true;
}

static bool is_being_unloaded(const struct engine *e, const char *model)
{
	return g_ptr_array_find_with_equal_func(e->unload, model, g_str_equal,
						NULL);
}

/* Returns whether an order was sent. */
static bool advance_request(struct engine *e, const struct adapter_request *r,
			    int64_t now)
{
	if (!find_held(e, r->model) || is_being_unloaded(e, r->model) ||
	    is_adapter_loading(e, r->model, r->adapter))
		return false;
	if (!fits(e, r->model, r->adapter, now))
		return unload_lru_adapter(e);
	send_order(e, true, r->model, r->adapter);
	return true;
}

static void advance(struct engine *e, int64_t now)
{
	for (guint i = e->requests->len; i-- > 0;)
		finish_request(e, i, now);
	if (e->order_pending || e->report_stale || !e->report || !e->service ||
	    now < e->hold_until_ms || !e->fence || e->refused_fence >= e->fence)
		return;
	/* The engine refuses adapters while it loads or unloads a model. */
	for (guint i = 0;
	     i < e->requests->len && !e->order_pending && !e->report->busy; i++)
		advance_request(e,
				&g_array_index(e->requests,
					       struct adapter_request, i),
				now);
	if (e->step_active && !e->order_pending)
		advance_step(e, now);
}

/*
 * Handles a restart of the engine. Orders accepted before it had no lasting
 * effect, and the state that the step was planned on is gone. Orders that may
 * still be carried out are kept as delayed orders.
 */
static void handle_restart(struct engine *e, const struct fleet_report *r,
			   int64_t now)
{
	e->refused_fence = 0;
	e->expected_orders = 0;
	e->pending.prior_incarnation = e->order_pending;
	if (fleet_id_differs(&e->incarnation, &r->self))
		delayed_orders_clear(e->delayed);
	else
		delayed_orders_restarted(e->delayed);
	if (e->step_active &&
	    !(e->step_started_ms && e->step_started_ms == r->self.started_ms))
		end_step(e, SS_ERROR_UNAVAILABLE, "the engine has restarted",
			 now);
}

void engine_set_term(struct engine *e, uint64_t fence, int64_t now)
{
	e->fence = MAX(e->fence, fence);
	advance(e, now);
}

void engine_report_received(struct engine *e, const struct fleet_report *r,
			    int64_t now)
{
	switch (fleet_report_compare(&e->incarnation, e->orders, r)) {
	case FLEET_STALE:
		return;
	case FLEET_RESTARTED:
		e->report = r;
		handle_restart(e, r, now);
		break;
	case FLEET_SAME:
		break;
	}
	fleet_incarnation_update(&e->incarnation, &r->self);
	e->orders = r->orders;
	e->report = r;
	/* The report predates the accepted order, as it may where the engine is
	 * read remotely; it would make the load look finished. */
	if (r->orders < e->expected_orders && now < e->expected_until_ms)
		return;
	e->report_stale = false;
	advance(e, now);
}

void engine_unavailable(struct engine *e, int64_t now)
{
	e->report = NULL;
	if (e->step_active)
		end_step(e, SS_ERROR_UNAVAILABLE, "the engine can't be read",
			 now);
	advance(e, now);
}

/* Returns whether the leader planned the step for an earlier incarnation. A
 * step for one that hasn't reported here yet is accepted and waits for its
 * report. */
static bool is_for_earlier_start(const struct engine *e,
				 const struct engine_step *s)
{
	struct fleet_incarnation planned = { .started_ms = s->started_ms };

	return fleet_incarnation_compare(&e->incarnation, &planned) ==
	       FLEET_STALE;
}

void engine_step(struct engine *e, const struct engine_step *s, int64_t now)
{
	if (is_for_earlier_start(e, s)) {
		e->o.ops->step_done(e->o.arg, s->fence, s->step,
				    SS_ERROR_UNAVAILABLE,
				    "it is for an earlier start of the engine",
				    0);
		return;
	}
	if (!e->fence || s->fence < e->fence) {
		e->o.ops->step_done(e->o.arg, s->fence, s->step,
				    SS_ERROR_FENCED,
				    e->fence ? "a newer leader is known" :
					       "no leader has told its term",
				    0);
		return;
	}
	if (e->step_active) {
		e->o.ops->step_done(e->o.arg, s->fence, s->step,
				    SS_ERROR_OVERLOAD,
				    "another step is under way", 0);
		return;
	}
	e->fence = s->fence;
	e->step_active = true;
	e->step_fence = s->fence;
	e->step = s->step;
	e->step_started_ms = s->started_ms;
	e->begun_ms = e->progress_ms = now;
	e->load_accepted = false;
	for (size_t i = 0; i < s->n_unload; i++)
		g_ptr_array_add(e->unload, ss_str_dup(s->unload[i]));
	e->load = s->load.n ? ss_str_dup(s->load) : NULL;
	advance(e, now);
}

void engine_request_adapter(struct engine *e, uint64_t ticket,
			    struct ss_str model, struct ss_str adapter,
			    int64_t until_ms, int64_t now)
{
	struct adapter_request r = { .ticket = ticket,
				     .model = ss_str_dup(model),
				     .adapter = ss_str_dup(adapter),
				     .until_ms = until_ms };

	record_use(e, r.model, r.adapter, now);
	g_array_append_val(e->requests, r);
	advance(e, now);
}

/* Records that a load without a clear answer may still be carried out. */
static void record_delayed(struct engine *e, int64_t now)
{
	const struct pending_order *p = &e->pending;
	struct fleet_order o = { .model = p->model,
				 .adapter = p->adapter,
				 .expect = p->expect };

	if (p->load)
		delayed_orders_add(e->delayed, &o, p->mb, p->prior_incarnation,
				   now);
}

void engine_order_answered(struct engine *e, enum fleet_order_answer a,
			   int64_t now)
{
	bool model_load = e->pending.load && !e->pending.adapter &&
			  !e->pending.prior_incarnation;

	e->order_pending = false;
	e->report_stale = true;
	if (a == FLEET_ORDER_ACCEPTED && !e->pending.prior_incarnation) {
		e->expected_orders = e->pending.expect + 1;
		e->expected_until_ms = now + ENGINE_REPORT_LAG_MS;
	}
	switch (a) {
	case FLEET_ORDER_ACCEPTED:
	case FLEET_ORDER_UNCHANGED:
		e->progress_ms = now;
		e->load_accepted |= model_load && a == FLEET_ORDER_ACCEPTED;
		break;
	case FLEET_ORDER_FENCED:
		/* The engine would refuse any order with this fencing token. */
		e->refused_fence = e->fence;
		if (e->step_active)
			end_step(e, SS_ERROR_FENCED,
				 "the engine has seen a newer order", now);
		break;
	case FLEET_ORDER_INVALID:
		if (e->step_active)
			end_step(e, SS_ERROR_BAD_REQUEST,
				 "the engine refused the order", now);
		break;
	case FLEET_ORDER_UNKNOWN:
		record_delayed(e, now);
		e->hold_until_ms = now + ENGINE_SETTLE_MS;
		break;
	case FLEET_ORDER_MISDIRECTED:
		e->hold_until_ms = now + ENGINE_SETTLE_MS;
		break;
	case FLEET_ORDER_BUSY:
		break;
	}
}

void engine_tick(struct engine *e, int64_t now)
{
	if (e->step_active && now - e->progress_ms > ENGINE_STEP_STALL_MS)
		end_step(e, SS_ERROR_DEADLINE, "no progress", now);
	advance(e, now);
}
