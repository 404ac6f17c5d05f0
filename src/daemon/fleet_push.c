/* Sends entries the state of the fleet: a snapshot first, then the changes. */
#include "fleet_leader_int.h"

/* Unsent bytes for a peer, beyond the size of its last snapshot, above which
 * its changes are dropped: 50 ms of a 10 Mbit/s link, and 20 MB for 340 peers.
 */
#define PEER_BACKLOG_MAX (64u * 1024)

/*
 * A peer that reads nothing, or too slowly, gets no more changes, which would
 * pile up here for hundreds of such peers. It gets a new snapshot once it has
 * read what it was sent, since the older changes are useless to it by then. The
 * last snapshot is allowed on top of PEER_BACKLOG_MAX, which it may exceed by
 * itself: each snapshot in flight would otherwise be followed by another.
 */
static bool has_backlog_room(const struct fleet_peer *p)
{
	return conn_backlog(p->conn) <= PEER_BACKLOG_MAX + p->snapshot_bytes;
}

/* Adds the models of the endpoint that take new calls. */
static void add_open_models(const struct fleet_leader *l,
			    const struct fleet_ep *ep, GArray *held,
			    GPtrArray *lists)
{
	if (!fleet_ep_reported(l, ep)) {
		for (guint i = 0; i < ep->listed_models->len; i++) {
			struct held_model h = {
				.model = ss_str(ep->listed_models->pdata[i])
			};

			if (!fleet_step_unloads(ep, h.model.p))
				g_array_append_val(held, h);
		}
		return;
	}
	for (guint i = 0; i < ep->report.held->len; i++) {
		const struct fleet_held_model *x = &g_array_index(
			ep->report.held, struct fleet_held_model, i);

		if (!fleet_step_unloads(ep, x->model))
			fleet_wire_add_held(held, lists, x);
	}
}

struct push {
	GArray *eps;	  /* struct fleet_endpoint */
	GPtrArray *lists; /* GArray of held models and adapters */
	GArray *loads;	  /* struct fleet_load */
	GArray *etas;
};

/* Adds only the load, failure rate and slowness of an endpoint: a tenth of its
 * full state, and the part that changes most. Plain services report no load. */
static void push_load(struct fleet_leader *l, struct push *p,
		      const struct fleet_ep *ep)
{
	int64_t now = fleet_leader_now(l);
	struct fleet_load x = {
		.addr = ss_str(ep->addr),
		.failure_rate = failure_rate_permille(&ep->failures, now),
		.slowness = fleet_slowness_ratio(&ep->slowness, now)
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

static void push_endpoint(struct fleet_leader *l, struct push *p,
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
		.busy = ep->report.busy || (ep->step.active && ep->step.sent),
		.failure_rate = failure_rate_permille(&ep->failures,
						      fleet_leader_now(l)),
		.slowness = fleet_slowness_ratio(&ep->slowness,
						 fleet_leader_now(l)),
		.limit = endpoint_limit_wire(&ep->limit),
		.limit_age = endpoint_limit_wire_age(&ep->limit,
						     fleet_leader_now(l)),
		.draining = fleet_ep_is_draining(l, ep),
		.version = ss_str(fleet_version(&ep->self)),
	};

	if (fleet_ep_reported(l, ep)) {
		e.running = ep->report.running;
		e.waiting = ep->report.waiting;
		e.tokens_used = ep->report.tokens_used;
		e.tokens_total = ep->report.tokens_total;
		e.age_ms = fleet_leader_now(l) - ep->report_ms;
	}
	g_ptr_array_add(p->lists, held);
	add_open_models(l, ep, held, p->lists);
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

static void add_etas(struct fleet_leader *l, struct push *p, bool all)
{
	int64_t now = fleet_leader_now(l);
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, l->demands);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct fleet_demand *w = v;
		struct fleet_eta e = { ss_str(w->service), ss_str(w->model), -1,
				       ss_str(w->version) };

		if (!g_hash_table_size(w->waits) || !(all || w->eta_changed))
			continue;
		if (w->eta_ms >= 0)
			e.eta_ms = MAX(w->eta_ms - now, 0);
		g_array_append_val(p->etas, e);
	}
}

/* Encodes one frame for all receivers, which may be hundreds of entries. */
static GString *encode_frame(struct fleet_leader *l, const struct push *p,
			     bool snapshot)
{
	struct msg_fleet m = { .fence = l->fence,
			       .entries = l->entries,
			       .round = snapshot ? l->round : l->step_round,
			       .full = snapshot,
			       .endpoints = { p->eps->data, p->eps->len },
			       .etas = { p->etas->data, p->etas->len },
			       .loads = { p->loads->data, p->loads->len } };
	GString *frame = g_string_new(NULL);

	frame_add(frame, MSG_FLEET, &m);
	fleet_work_add(l, WORK_FRAMES, 1);
	fleet_work_add(l, WORK_ENDPOINTS, p->eps->len);
	fleet_work_add(l, WORK_LOADS, p->loads->len);
	fleet_work_add(l, WORK_ETAS, p->etas->len);
	return frame;
}

static bool needs_snapshot(const struct fleet_peer *p)
{
	return p->entry && p->confirmed && !p->has_snapshot &&
	       !p->snapshot_in_flight;
}

/* Sends a snapshot if the send window has room; otherwise a later tick does. */
static void send_snapshot(struct fleet_leader *l, struct fleet_peer *peer,
			  const GString *frame)
{
	if (!has_backlog_room(peer) ||
	    !send_window_allows(&l->window, frame->len))
		return;
	peer->has_snapshot = conn_send_frame(peer->conn, frame);
	if (!peer->has_snapshot)
		return;
	fleet_work_add(l, WORK_SNAPSHOTS, 1);
	peer->snapshot_in_flight = peer->snapshot_bytes = frame->len;
	peer->snapshot_round = l->round;
	peer->snapshot_ms = fleet_leader_now(l);
	send_window_sent(&l->window, frame->len);
}

void fleet_push_snapshots(struct fleet_leader *l)
{
	GHashTableIter it, at;
	struct push p;
	GString *frame;
	void *v, *e;
	bool any = false;

	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		any |= needs_snapshot(v);
	/* Before the first list, a snapshot would be wrongly empty. */
	if (!any || !l->list_received)
		return;
	push_begin(&p);
	g_hash_table_iter_init(&at, l->eps);
	while (g_hash_table_iter_next(&at, NULL, &e))
		push_endpoint(l, &p, e);
	add_etas(l, &p, true);
	/* The snapshot gets a round of its own, so that a report which
	 * acknowledges it can't have been sent before the snapshot arrived. */
	l->round++;
	frame = encode_frame(l, &p, true);
	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &v))
		if (needs_snapshot(v))
			send_snapshot(l, v, frame);
	g_string_free(frame, TRUE);
	push_end(&p);
}

void fleet_push_acked(struct fleet_leader *l, struct fleet_peer *p)
{
	if (!p->snapshot_in_flight || p->round < p->snapshot_round)
		return;
	send_window_acked(&l->window, p->snapshot_in_flight, p->snapshot_ms);
	p->snapshot_in_flight = 0;
	/* Other entries may wait for room in the send window. */
	l->dirty = true;
}

void fleet_push_lost(struct fleet_leader *l, struct fleet_peer *p)
{
	send_window_lost(&l->window, p->snapshot_in_flight);
	p->snapshot_in_flight = 0;
	l->dirty = true;
}

void fleet_push_tick(struct fleet_leader *l, int64_t now)
{
	GHashTableIter it;
	void *v;

	send_window_tick(&l->window, now);
	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct fleet_peer *p = v;

		if (p->snapshot_in_flight &&
		    now - p->snapshot_ms > SEND_WINDOW_TIMEOUT_MS)
			fleet_push_lost(l, p);
		if (needs_snapshot(p))
			l->dirty = true;
	}
}

static void send_changes(struct fleet_leader *l, const struct push *p)
{
	GString *frame = encode_frame(l, p, false);
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct fleet_peer *peer = v;

		/* An entry that misses a change gets a snapshot next time. */
		if (!peer->entry || !peer->has_snapshot)
			continue;
		peer->has_snapshot = has_backlog_room(peer) &&
				     conn_send_frame(peer->conn, frame);
		fleet_work_add(l, WORK_SENDS, 1);
		fleet_work_add(l, WORK_BYTES, frame->len);
	}
	g_string_free(frame, TRUE);
}

void fleet_push_changes(struct fleet_leader *l, bool loads)
{
	GHashTableIter it;
	struct push p;
	bool pending = false;
	void *v;

	push_begin(&p);
	g_hash_table_iter_init(&it, l->eps);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct fleet_ep *ep = v;

		if (ep->changed || (loads && ep->adapters_changed))
			push_endpoint(l, &p, ep);
		else if (loads && ep->load_changed)
			push_load(l, &p, ep);
		else {
			pending |= ep->load_changed || ep->adapters_changed;
			continue;
		}
		ep->changed = ep->load_changed = false;
		ep->adapters_changed = false;
		ep->failures_sent = ep->failures;
		fleet_slowness_sent(&ep->slowness, fleet_leader_now(l));
	}
	add_etas(l, &p, false);
	g_hash_table_iter_init(&it, l->demands);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct fleet_demand *)v)->eta_changed = false;
	if (p.eps->len || p.loads->len || p.etas->len)
		send_changes(l, &p);
	l->loads_pending = pending;
	push_end(&p);
}
