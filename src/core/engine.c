/* Orders to one model engine. */
#include "engine.h"

#include "late.h"

/* Adapters whose last use is remembered, to choose which one leaves. */
#define USES_MAX 256

struct need {
	uint64_t ticket;
	char *model, *adapter;
	int64_t until_ms;
	bool ordered; /* a load of it was taken */
};

struct use {
	char *model, *adapter;
	int64_t at_ms;
};

/* The order that is out. */
struct order_out {
	bool load, former; /* former: the engine has restarted since */
	char *model, *adapter;
	uint64_t expect;
	double mb; /* that a load takes */
};

struct engine {
	struct engine_options o;
	char *holder;
	const struct routing_service *service;
	const struct fleet_report *report; /* NULL: nothing is known */
	/* Who reported last, and how many orders; kept while report is NULL. */
	struct fleet_incarnation self;
	uint64_t orders;
	struct late_orders *late;
	uint64_t fence;	 /* 0: no leader has told its term */
	uint64_t fenced; /* the fence that the engine refused; 0: none */
	bool asking;
	struct order_out out; /* while asking */
	bool stale;	      /* the report is older than the last order */
	int64_t quiet_ms;     /* no order before: an unanswered one settles */
	/* The count that a report has by which the order that was taken last
	 * shows, and until when it is waited for. */
	uint64_t due;
	int64_t due_ms;
	/* The step under way. */
	bool on;
	uint64_t step_fence, step;
	GPtrArray *unload; /* char *, what is left of it */
	char *load;	   /* NULL: nothing */
	bool load_taken;
	int64_t planned_ms; /* start of the engine that it is for; 0: any */
	int64_t begun_ms, progress_ms;
	GArray *needs; /* struct need */
	GArray *uses;  /* struct use */
};

static void need_clear(void *p)
{
	struct need *n = p;

	g_free(n->model);
	g_free(n->adapter);
}

static void use_clear(void *p)
{
	struct use *u = p;

	g_free(u->model);
	g_free(u->adapter);
}

struct engine *engine_new(const struct engine_options *o)
{
	struct engine *e = g_new0(struct engine, 1);

	e->o = *o;
	e->holder = g_strdup(o->holder);
	e->late = late_new();
	e->unload = g_ptr_array_new_with_free_func(g_free);
	e->needs = g_array_new(FALSE, TRUE, sizeof(struct need));
	g_array_set_clear_func(e->needs, need_clear);
	e->uses = g_array_new(FALSE, TRUE, sizeof(struct use));
	g_array_set_clear_func(e->uses, use_clear);
	return e;
}

static void out_clear(struct order_out *o)
{
	g_free(o->model);
	g_free(o->adapter);
	memset(o, 0, sizeof(*o));
}

void engine_free(struct engine *e)
{
	if (!e)
		return;
	out_clear(&e->out);
	late_free(e->late);
	fleet_incarnation_clear(&e->self);
	g_free(e->holder);
	g_free(e->load);
	g_ptr_array_unref(e->unload);
	g_array_unref(e->needs);
	g_array_unref(e->uses);
	g_free(e);
}

void engine_set_service(struct engine *e, const struct routing_service *s)
{
	e->service = s;
}

bool engine_asking(const struct engine *e)
{
	return e->asking;
}

bool engine_busy(const struct engine *e)
{
	return e->on || e->asking || e->stale || e->needs->len > 0;
}

static void end_step(struct engine *e, int code, const char *text, int64_t now)
{
	e->on = false;
	g_ptr_array_set_size(e->unload, 0);
	g_clear_pointer(&e->load, g_free);
	e->o.ops->step_done(e->o.arg, e->step_fence, e->step, code, text,
			    now - e->begun_ms);
}

static const struct fleet_held *held(const struct engine *e, const char *model)
{
	for (guint i = 0; e->report && i < e->report->held->len; i++) {
		const struct fleet_held *h =
			&g_array_index(e->report->held, struct fleet_held, i);

		if (!strcmp(h->model, model))
			return h;
	}
	return NULL;
}

static bool has_adapter(const struct fleet_held *h, const char *adapter)
{
	return h && g_ptr_array_find_with_equal_func(h->adapters, adapter,
						     g_str_equal, NULL);
}

static bool is_pending(const struct engine *e, const char *model,
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
		n += g_array_index(e->report->held, struct fleet_held, i)
			     .adapters->len;
	return n;
}

/* Of a model, or of an adapter of it; 0 where the model isn't known. */
static double size_mb(const struct engine *e, const char *model,
		      const char *adapter)
{
	const struct routing_model *m = routing_model(e->service, model);

	if (!m)
		return 0;
	return adapter ? m->adapter_mb : m->weights_mb;
}

/*
 * Memory in use by the report; negative where a size isn't known, and then
 * nothing can be loaded safely.
 */
static double used_mb(const struct engine *e)
{
	const GPtrArray *pending = e->report->loading_adapters;
	double sum = 0;

	for (guint i = 0; i < e->report->held->len; i++) {
		const struct fleet_held *h =
			&g_array_index(e->report->held, struct fleet_held, i);
		const struct routing_model *m =
			routing_model(e->service, h->model);

		if (!m)
			return -1;
		sum += m->weights_mb + m->adapter_mb * h->adapters->len;
	}
	for (guint i = 0; pending && i < pending->len; i++) {
		char *model = g_strdup(pending->pdata[i]);
		char *slash = strchr(model, '/');

		if (slash)
			*slash = 0;
		sum += size_mb(e, model, slash ? slash + 1 : "");
		g_free(model);
	}
	return sum;
}

/* Room for it beside what is held and what may still be carried out. */
static bool fits(const struct engine *e, const char *model, const char *adapter,
		 int64_t now)
{
	struct late_room late =
		late_room(e->late, e->report, model, adapter, now);
	double used = used_mb(e);

	if (used < 0 || !routing_model(e->service, model))
		return false;
	if (adapter && adapter_count(e) + late.adapters >=
			       (size_t)e->service->adapter_slots)
		return false;
	return used + late.mb + size_mb(e, model, adapter) <=
	       e->service->weights_mb;
}

static void order(struct engine *e, bool load, const char *model,
		  const char *adapter)
{
	struct fleet_order o = { .load = load,
				 .model = model,
				 .adapter = adapter,
				 .expect = e->report->orders,
				 .holder = e->holder,
				 .fence = e->fence };

	e->asking = true;
	out_clear(&e->out);
	e->out = (struct order_out){ .load = load,
				     .model = g_strdup(model),
				     .adapter = g_strdup(adapter),
				     .expect = o.expect,
				     .mb = size_mb(e, model, adapter) };
	e->o.ops->order(e->o.arg, &o);
}

/* Steps. */

static void advance_load(struct engine *e, int64_t now)
{
	if (!e->load || held(e, e->load)) {
		end_step(e, 0, "", now);
		return;
	}
	if (e->report->busy) {
		e->progress_ms = now;
		return;
	}
	if (e->load_taken) {
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
	order(e, true, e->load, NULL);
}

static void advance_step(struct engine *e, int64_t now)
{
	while (e->unload->len && !held(e, e->unload->pdata[0])) {
		g_ptr_array_remove_index(e->unload, 0);
		e->progress_ms = now;
	}
	if (now - e->progress_ms > ENGINE_STUCK_MS)
		end_step(e, SS_ERROR_DEADLINE, "no progress", now);
	else if (!e->unload->len)
		advance_load(e, now);
	else if (!e->report->busy)
		order(e, false, e->unload->pdata[0], NULL);
}

/* Adapters. */

static void note_use(struct engine *e, const char *model, const char *adapter,
		     int64_t now)
{
	struct use u = { NULL, NULL, now };

	for (guint i = 0; i < e->uses->len; i++) {
		struct use *at = &g_array_index(e->uses, struct use, i);

		if (strcmp(at->model, model) || strcmp(at->adapter, adapter))
			continue;
		at->at_ms = now;
		return;
	}
	if (e->uses->len == USES_MAX)
		g_array_remove_index(e->uses, 0);
	u.model = g_strdup(model);
	u.adapter = g_strdup(adapter);
	g_array_append_val(e->uses, u);
}

static int64_t last_use(const struct engine *e, const char *model,
			const char *adapter)
{
	for (guint i = 0; i < e->uses->len; i++) {
		const struct use *at = &g_array_index(e->uses, struct use, i);

		if (!strcmp(at->model, model) && !strcmp(at->adapter, adapter))
			return at->at_ms;
	}
	return INT64_MIN;
}

static bool is_needed(const struct engine *e, const char *model,
		      const char *adapter)
{
	for (guint i = 0; i < e->needs->len; i++) {
		const struct need *n = &g_array_index(e->needs, struct need, i);

		if (!strcmp(n->model, model) && !strcmp(n->adapter, adapter))
			return true;
	}
	return false;
}

/* Unload the adapter that wasn't asked for the longest. */
static bool drop_adapter(struct engine *e)
{
	const char *model = NULL, *adapter = NULL;
	int64_t oldest = INT64_MAX;

	for (guint i = 0; i < e->report->held->len; i++) {
		const struct fleet_held *h =
			&g_array_index(e->report->held, struct fleet_held, i);

		for (guint k = 0; k < h->adapters->len; k++) {
			int64_t at =
				last_use(e, h->model, h->adapters->pdata[k]);

			if (at >= oldest ||
			    is_needed(e, h->model, h->adapters->pdata[k]))
				continue;
			oldest = at;
			model = h->model;
			adapter = h->adapters->pdata[k];
		}
	}
	if (model)
		order(e, false, model, adapter);
	return model != NULL;
}

static void end_need(struct engine *e, guint i, int code, const char *text)
{
	uint64_t ticket = g_array_index(e->needs, struct need, i).ticket;

	g_array_remove_index(e->needs, i);
	e->o.ops->adapter_done(e->o.arg, ticket, code, text);
}

/* True where it has ended, one way or the other. */
static bool settle_need(struct engine *e, guint i, int64_t now)
{
	const struct need *n = &g_array_index(e->needs, struct need, i);
	const struct fleet_held *h = e->report ? held(e, n->model) : NULL;

	if (has_adapter(h, n->adapter))
		end_need(e, i, 0, "");
	else if (now >= n->until_ms)
		end_need(e, i, SS_ERROR_DEADLINE, "not loaded in time");
	else if (e->report && !h &&
		 !(e->on && e->load && !strcmp(e->load, n->model)))
		end_need(e, i, SS_ERROR_UNKNOWN_MODEL,
			 "its model isn't held here");
	else
		return false;
	return true;
}

static bool leaves(const struct engine *e, const char *model)
{
	return g_ptr_array_find_with_equal_func(e->unload, model, g_str_equal,
						NULL);
}

/* True where an order was given. */
static bool advance_need(struct engine *e, const struct need *n, int64_t now)
{
	if (!held(e, n->model) || leaves(e, n->model) ||
	    is_pending(e, n->model, n->adapter))
		return false;
	if (!fits(e, n->model, n->adapter, now))
		return drop_adapter(e);
	order(e, true, n->model, n->adapter);
	return true;
}

static void advance(struct engine *e, int64_t now)
{
	for (guint i = e->needs->len; i-- > 0;)
		settle_need(e, i, now);
	if (e->asking || e->stale || !e->report || !e->service ||
	    now < e->quiet_ms || !e->fence || e->fenced >= e->fence)
		return;
	/* While a model loads or leaves, adapters are refused. */
	for (guint i = 0; i < e->needs->len && !e->asking && !e->report->busy;
	     i++)
		advance_need(e, &g_array_index(e->needs, struct need, i), now);
	if (e->on && !e->asking)
		advance_step(e, now);
}

/*
 * Nothing that was ordered counts, and what the step was planned on is gone.
 * What may yet be carried out of it is remembered.
 */
static void restarted(struct engine *e, const struct fleet_report *r,
		      int64_t now)
{
	e->fenced = 0;
	e->due = 0;
	e->out.former = e->asking;
	if (fleet_other_id(&e->self, &r->self))
		late_forget(e->late);
	else
		late_restarted(e->late);
	if (e->on && !(e->planned_ms && e->planned_ms == r->self.started_ms))
		end_step(e, SS_ERROR_UNAVAILABLE, "the engine has restarted",
			 now);
}

void engine_term(struct engine *e, uint64_t fence, int64_t now)
{
	e->fence = MAX(e->fence, fence);
	advance(e, now);
}

void engine_report(struct engine *e, const struct fleet_report *r, int64_t now)
{
	switch (fleet_report_judge(&e->self, e->orders, r)) {
	case FLEET_LATE:
		return;
	case FLEET_RESTARTED:
		e->report = r;
		restarted(e, r, now);
		break;
	case FLEET_SAME:
		break;
	}
	fleet_incarnation_learn(&e->self, &r->self);
	e->orders = r->orders;
	e->report = r;
	/* It says nothing of the order: read from afar, a report may be of
	 * before, and the load would pass for ended. */
	if (r->orders < e->due && now < e->due_ms)
		return;
	e->stale = false;
	advance(e, now);
}

void engine_lost(struct engine *e, int64_t now)
{
	e->report = NULL;
	if (e->on)
		end_step(e, SS_ERROR_UNAVAILABLE, "the engine can't be read",
			 now);
	advance(e, now);
}

/* The leader planned it on a report of an earlier incarnation. One for a start
 * that hasn't come here yet waits for the report. */
static bool is_misplaced(const struct engine *e, const struct engine_step *s)
{
	struct fleet_incarnation planned = { .started_ms = s->started_ms };

	return fleet_incarnation_judge(&e->self, &planned) == FLEET_LATE;
}

void engine_step(struct engine *e, const struct engine_step *s, int64_t now)
{
	if (is_misplaced(e, s)) {
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
	if (e->on) {
		e->o.ops->step_done(e->o.arg, s->fence, s->step,
				    SS_ERROR_OVERLOAD,
				    "another step is under way", 0);
		return;
	}
	e->fence = s->fence;
	e->on = true;
	e->step_fence = s->fence;
	e->step = s->step;
	e->planned_ms = s->started_ms;
	e->begun_ms = e->progress_ms = now;
	e->load_taken = false;
	for (size_t i = 0; i < s->n_unload; i++)
		g_ptr_array_add(e->unload, ss_str_dup(s->unload[i]));
	e->load = s->load.n ? ss_str_dup(s->load) : NULL;
	advance(e, now);
}

void engine_need_adapter(struct engine *e, uint64_t ticket, struct ss_str model,
			 struct ss_str adapter, int64_t until_ms, int64_t now)
{
	struct need n = { .ticket = ticket,
			  .model = ss_str_dup(model),
			  .adapter = ss_str_dup(adapter),
			  .until_ms = until_ms };

	note_use(e, n.model, n.adapter, now);
	g_array_append_val(e->needs, n);
	advance(e, now);
}

/* A load without a clear answer may yet be carried out. */
static void remember_late(struct engine *e, int64_t now)
{
	const struct order_out *out = &e->out;
	struct fleet_order o = { .model = out->model,
				 .adapter = out->adapter,
				 .expect = out->expect };

	if (out->load)
		late_add(e->late, &o, out->mb, out->former, now);
}

void engine_answered(struct engine *e, enum fleet_order_answer a, int64_t now)
{
	bool load = e->out.load && !e->out.adapter && !e->out.former;

	e->asking = false;
	e->stale = true;
	if (a == FLEET_ORDER_TAKEN && !e->out.former) {
		e->due = e->out.expect + 1;
		e->due_ms = now + ENGINE_LAG_MS;
	}
	switch (a) {
	case FLEET_ORDER_TAKEN:
	case FLEET_ORDER_HOLDS:
		e->progress_ms = now;
		e->load_taken |= load && a == FLEET_ORDER_TAKEN;
		break;
	case FLEET_ORDER_FENCED:
		/* Asking again with the same number can't help. */
		e->fenced = e->fence;
		if (e->on)
			end_step(e, SS_ERROR_FENCED,
				 "the engine has seen a newer order", now);
		break;
	case FLEET_ORDER_INVALID:
		if (e->on)
			end_step(e, SS_ERROR_BAD_REQUEST,
				 "the engine refused the order", now);
		break;
	case FLEET_ORDER_UNKNOWN:
		remember_late(e, now);
		e->quiet_ms = now + ENGINE_SETTLE_MS;
		break;
	case FLEET_ORDER_MISPLACED:
		e->quiet_ms = now + ENGINE_SETTLE_MS;
		break;
	case FLEET_ORDER_BUSY:
		break;
	}
}

void engine_tick(struct engine *e, int64_t now)
{
	if (e->on && now - e->progress_ms > ENGINE_STUCK_MS)
		end_step(e, SS_ERROR_DEADLINE, "no progress", now);
	advance(e, now);
}
