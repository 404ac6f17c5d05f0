/* Telling entries what stands where in a fleet. */
#include "fleet_lead_int.h"

/* Bytes that wait for a peer, beside the whole fleet that it was sent last,
 * before its changes are dropped: 50 ms of a link of 10 Mbit/s, and 20 MB over
 * 340 peers. */
#define PEER_BACKLOG_MAX (64u * 1024)

/*
 * One that takes nothing, or too slowly, gets no more changes: they would pile
 * up here for hundreds of such peers. It gets all of it once it has taken what
 * it was sent, since the oldest state is of no use to it by then. The whole
 * fleet may be larger than what else may wait; counted, each one that is still
 * on its way would be followed by another.
 */
static bool takes_more(const struct fleet_peer *p)
{
	return conn_backlog(p->conn) <= PEER_BACKLOG_MAX + p->whole_bytes;
}

/* What is open for new calls there. */
static void add_open(const struct fleet_lead *l, const struct fleet_ep *ep,
		     GArray *held, GPtrArray *lists)
{
	if (!fleet_ep_reported(l, ep)) {
		for (guint i = 0; i < ep->on_list->len; i++) {
			struct held_model h = {
				.model = ss_str(ep->on_list->pdata[i])
			};

			if (!fleet_step_closes(ep, h.model.p))
				g_array_append_val(held, h);
		}
		return;
	}
	for (guint i = 0; i < ep->report.held->len; i++) {
		const struct fleet_held_model *x = &g_array_index(
			ep->report.held, struct fleet_held_model, i);

		if (!fleet_step_closes(ep, x->model))
			fleet_wire_add_held(held, lists, x);
	}
}

struct push {
	GArray *eps;	  /* struct fleet_endpoint */
	GPtrArray *lists; /* GArray of what they point to */
	GArray *loads;	  /* struct fleet_load */
	GArray *etas;
};

/* Its load and failures alone: a tenth of what there is to tell of an
 * endpoint, and what changes most. Plain services report no load. */
static void push_load(struct fleet_lead *l, struct push *p,
		      const struct fleet_ep *ep)
{
	int64_t now = fleet_lead_now(l);
	struct fleet_load x = {
		.addr = ss_str(ep->addr),
		.failure_rate = failure_rate_permille(&ep->failing, now),
		.slowness = fleet_slowness_ratio(&ep->slow, now)
	};

	if (fleet_ep_reported(l, ep)) {
		x.running = ep->report.running;
		x.waiting = ep->report.waiting;
		x.tokens_used = ep->report.tokens_used;
		x.tokens_total = ep->report.tokens_total;
		x.age_ms = now - ep->report_ms;
	}
	g_array_append_val(p->loads, x);
}

static void push_add(struct fleet_lead *l, struct push *p,
		     const struct fleet_ep *ep)
{
	GArray *held = g_array_new(FALSE, FALSE, sizeof(struct held_model));
	struct fleet_endpoint e = {
		.addr = ss_str(ep->addr),
		.id = ss_str(ep->self.id),
		.started_ms = ep->self.started_ms,
		.service = ss_str(ep->service),
		.domain = ss_str(ep->domain),
		.agent = ss_str(ep->conn ? ep->agent : ""),
		.slots = ep->slots,
		.unusable = !fleet_ep_usable(l, ep),
		.gone = !ep->listed,
		.busy = ep->report.busy || (ep->step.on && ep->step.sent),
		.failure_rate =
			failure_rate_permille(&ep->failing, fleet_lead_now(l)),
		.slowness = fleet_slowness_ratio(&ep->slow, fleet_lead_now(l)),
		.limit = endpoint_limit_wire(&ep->limit),
		.limit_age =
			endpoint_limit_wire_age(&ep->limit, fleet_lead_now(l)),
		.draining = fleet_ep_ends(l, ep),
		.version = ss_str(fleet_version(&ep->self)),
	};

	if (fleet_ep_reported(l, ep)) {
		e.running = ep->report.running;
		e.waiting = ep->report.waiting;
		e.tokens_used = ep->report.tokens_used;
		e.tokens_total = ep->report.tokens_total;
		e.age_ms = fleet_lead_now(l) - ep->report_ms;
	}
	g_ptr_array_add(p->lists, held);
	add_open(l, ep, held, p->lists);
	e.held = (struct wire_list){ held->data, held->len };
	g_array_append_val(p->eps, e);
}

static void push_begin(struct push *p)
{
	p->eps = g_array_new(FALSE, FALSE, sizeof(struct fleet_endpoint));
	p->lists =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
	p->loads = g_array_new(FALSE, FALSE, sizeof(struct fleet_load));
	p->etas = g_array_new(FALSE, FALSE, sizeof(struct fleet_eta));
}

static void push_end(struct push *p)
{
	g_array_unref(p->eps);
	g_ptr_array_unref(p->lists);
	g_array_unref(p->loads);
	g_array_unref(p->etas);
}

static void add_etas(struct fleet_lead *l, struct push *p, bool all)
{
	int64_t now = fleet_lead_now(l);
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, l->wants);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct fleet_want *w = v;
		struct fleet_eta e = { ss_str(w->service), ss_str(w->model), -1,
				       ss_str(w->version) };

		if (!g_hash_table_size(w->waits) || !(all || w->eta_changed))
			continue;
		if (w->eta_ms >= 0)
			e.eta_ms = MAX(w->eta_ms - now, 0);
		g_array_append_val(p->etas, e);
	}
}

/* One frame for all of them: hundreds of entries get the same bytes. */
static GString *push_frame(struct fleet_lead *l, const struct push *p,
			   bool whole)
{
	struct msg_fleet m = { .fence = l->fence,
			       .entries = l->entries,
			       .round = whole ? l->round : l->step_round,
			       .full = whole,
			       .endpoints = { p->eps->data, p->eps->len },
			       .etas = { p->etas->data, p->etas->len },
			       .loads = { p->loads->data, p->loads->len } };
	GString *frame = g_string_new(NULL);

	frame_add(frame, MSG_FLEET, &m);
	fleet_work(l, WORK_FRAMES, 1);
	fleet_work(l, WORK_ENDPOINTS, p->eps->len);
	fleet_work(l, WORK_LOADS, p->loads->len);
	fleet_work(l, WORK_ETAS, p->etas->len);
	return frame;
}

static bool wants_whole(const struct fleet_peer *p)
{
	return p->entry && p->confirmed && !p->whole && !p->whole_sent;
}

/* As much as the link carries; the rest at the next ticks. */
static void send_whole(struct fleet_lead *l, struct fleet_peer *peer,
		       const GString *frame)
{
	if (!takes_more(peer) || !send_window_allows(&l->window, frame->len))
		return;
	peer->whole = conn_send_frame(peer->conn, frame);
	if (!peer->whole)
		return;
	fleet_work(l, WORK_WHOLES, 1);
	peer->whole_sent = peer->whole_bytes = frame->len;
	peer->whole_round = l->round;
	peer->whole_ms = fleet_lead_now(l);
	send_window_sent(&l->window, frame->len);
}

void fleet_push_whole(struct fleet_lead *l)
{
	GHashTableIter it, at;
	struct push p;
	GString *frame;
	void *v, *e;
	bool any = false;

	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		any |= wants_whole(v);
	/* Before the first list, "nothing exists" would be a lie. */
	if (!any || !l->list_seen)
		return;
	push_begin(&p);
	g_hash_table_iter_init(&at, l->eps);
	while (g_hash_table_iter_next(&at, NULL, &e))
		push_add(l, &p, e);
	add_etas(l, &p, true);
	/* What confirms it can't have been sent before it arrived. */
	l->round++;
	frame = push_frame(l, &p, true);
	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (wants_whole(v))
			send_whole(l, v, frame);
	g_string_free(frame, TRUE);
	push_end(&p);
}

void fleet_push_confirmed(struct fleet_lead *l, struct fleet_peer *p)
{
	if (!p->whole_sent || p->round < p->whole_round)
		return;
	send_window_acked(&l->window, p->whole_sent, p->whole_ms);
	p->whole_sent = 0;
	/* Others may wait for room. */
	l->dirty = true;
}

void fleet_push_lost(struct fleet_lead *l, struct fleet_peer *p)
{
	send_window_lost(&l->window, p->whole_sent);
	p->whole_sent = 0;
	l->dirty = true;
}

void fleet_push_tick(struct fleet_lead *l, int64_t now)
{
	GHashTableIter it;
	void *v;

	send_window_tick(&l->window, now);
	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct fleet_peer *p = v;

		if (p->whole_sent && now - p->whole_ms > SEND_WINDOW_TIMEOUT_MS)
			fleet_push_lost(l, p);
		if (wants_whole(p))
			l->dirty = true;
	}
}

static void send_changes(struct fleet_lead *l, const struct push *p)
{
	GString *frame = push_frame(l, p, false);
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct fleet_peer *peer = v;

		/* One that missed a change gets all of it next time. */
		if (!peer->entry || !peer->whole)
			continue;
		peer->whole = takes_more(peer) &&
			      conn_send_frame(peer->conn, frame);
		fleet_work(l, WORK_SENDS, 1);
		fleet_work(l, WORK_BYTES, frame->len);
	}
	g_string_free(frame, TRUE);
}

void fleet_push_changes(struct fleet_lead *l, bool loads)
{
	GHashTableIter it;
	struct push p;
	bool left = false;
	void *v;

	push_begin(&p);
	g_hash_table_iter_init(&it, l->eps);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct fleet_ep *ep = v;

		if (ep->changed || (loads && ep->adapters_changed))
			push_add(l, &p, ep);
		else if (loads && ep->load_changed)
			push_load(l, &p, ep);
		else {
			left |= ep->load_changed || ep->adapters_changed;
			continue;
		}
		ep->changed = ep->load_changed = false;
		ep->adapters_changed = false;
		ep->failing_told = ep->failing;
		fleet_slowness_sent(&ep->slow, fleet_lead_now(l));
	}
	add_etas(l, &p, false);
	g_hash_table_iter_init(&it, l->wants);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct fleet_want *)v)->eta_changed = false;
	if (p.eps->len || p.loads->len || p.etas->len)
		send_changes(l, &p);
	l->loads_left = left;
	push_end(&p);
}
