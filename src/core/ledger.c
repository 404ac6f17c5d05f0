/* An agent's ledger of replicas and accelerator memory. */
#include "ledger.h"

/* Limit of doublings of LEDGER_RETRY_MS. */
#define RETRY_DOUBLINGS_MAX 8

struct ledger {
	struct ledger_options o;
	uint64_t bytes;
	GPtrArray *replicas; /* struct ledger_replica */
	uint64_t fence;
	bool read_done; /* the endpoint has been read at least once */
	bool draining_by_leader, draining_self;
	int64_t leader_ms; /* time of the leader's last message */
	uint64_t last_seq; /* of a read or an answered order */
	uint64_t active;
};

static void replica_free(void *p)
{
	struct ledger_replica *r = p;

	g_free(r->model);
	g_free(r->base);
	g_free(r);
}

struct ledger *ledger_new(const struct ledger_options *o)
{
	struct ledger *l = g_new0(struct ledger, 1);

	l->o = *o;
	l->replicas = g_ptr_array_new_with_free_func(replica_free);
	l->leader_ms = INT64_MIN / 2;
	return l;
}

void ledger_free(struct ledger *l)
{
	if (!l)
		return;
	g_ptr_array_unref(l->replicas);
	g_free(l);
}

void ledger_set_bytes(struct ledger *l, uint64_t bytes)
{
	l->bytes = bytes;
}

static struct ledger_replica *replica_at(const struct ledger *l, guint i)
{
	return l->replicas->pdata[i];
}

static struct ledger_replica *find_replica(const struct ledger *l,
					   struct ss_str model)
{
	for (guint i = 0; i < l->replicas->len; i++)
		if (ss_str_eq(ss_str(replica_at(l, i)->model), model))
			return replica_at(l, i);
	return NULL;
}

static struct ledger_replica *add_replica(struct ledger *l, struct ss_str model)
{
	struct ledger_replica *r = g_new0(struct ledger_replica, 1);

	r->model = ss_str_dup(model);
	r->base = g_strdup("");
	g_ptr_array_add(l->replicas, r);
	return r;
}

uint64_t ledger_bytes(const struct ledger *l)
{
	uint64_t sum = 0;

	for (guint i = 0; i < l->replicas->len; i++)
		if (replica_at(l, i)->state != LEDGER_UNLOADED)
			sum += replica_at(l, i)->bytes;
	return sum;
}

static bool base_ready(const struct ledger *l, const struct ledger_replica *r)
{
	const struct ledger_replica *base;

	if (!*r->base)
		return true;
	base = find_replica(l, ss_str(r->base));
	return base && base->state == LEDGER_READY && !base->unload;
}

static bool has_adapters(const struct ledger *l, const struct ledger_replica *r)
{
	for (guint i = 0; i < l->replicas->len; i++)
		if (!strcmp(replica_at(l, i)->base, r->model) &&
		    replica_at(l, i)->state != LEDGER_UNLOADED)
			return true;
	return false;
}

static bool may_load(const struct ledger *l, const struct ledger_replica *r,
		     int64_t now)
{
	/*
	 * A process that was suspended may hold an outdated assignment. The
	 * time since the leader's last message shows it; no load starts
	 * before the next one.
	 */
	if (now - l->leader_ms > LEDGER_LEASE_MS)
		return false;
	return l->read_done && !r->unload && r->assigned && !r->order_pending &&
	       r->state == LEDGER_UNLOADED && now >= r->next_retry_ms &&
	       r->failures < LEDGER_FAILURES_MAX && base_ready(l, r) &&
	       ledger_bytes(l) + r->bytes <= l->bytes;
}

static bool may_unload(const struct ledger *l, const struct ledger_replica *r)
{
	return l->read_done && r->unload && !r->order_pending &&
	       r->active == 0 && r->state == LEDGER_READY &&
	       !has_adapters(l, r);
}

void ledger_tick(struct ledger *l, int64_t now)
{
	for (guint i = 0; i < l->replicas->len; i++) {
		struct ledger_replica *r = replica_at(l, i);

		if (may_unload(l, r)) {
			r->state = LEDGER_UNLOADING;
			r->order_pending = true;
			l->o.ops->unload(l->o.arg, r, l->fence);
		} else if (may_load(l, r, now)) {
			r->state = LEDGER_LOADING;
			r->order_pending = true;
			r->load_start_ms = now;
			l->o.ops->load(l->o.arg, r, l->fence);
		}
	}
}

void ledger_leader_contact(struct ledger *l, int64_t now)
{
	l->leader_ms = now;
}

/* Removes replicas that are neither assigned nor held. */
static void remove_unused(struct ledger *l)
{
	for (guint i = l->replicas->len; i-- > 0;) {
		struct ledger_replica *r = replica_at(l, i);

		if (!r->assigned && r->state == LEDGER_UNLOADED &&
		    !r->order_pending && r->active == 0)
			g_ptr_array_remove_index(l->replicas, i);
	}
}

static void apply_order(struct ledger *l, const struct replica_order *o)
{
	struct ledger_replica *r = find_replica(l, o->model);

	if (!r)
		r = add_replica(l, o->model);
	if (r->id != o->replica)
		r->failures = 0;
	r->id = o->replica;
	g_free(r->base);
	r->base = ss_str_dup(o->base);
	r->bytes = o->bytes;
	r->slots = MAX(o->slots, 1);
	r->unload = o->unload;
	r->assigned = true;
}

bool ledger_assign(struct ledger *l, const struct msg_assign *a, int64_t now,
		   GError **error)
{
	const struct replica_order *o = a->orders.items;

	if (a->incarnation != l->o.incarnation) {
		g_set_error(error, SS_ERROR, SS_ERROR_FENCED,
			    "order for another incarnation");
		return false;
	}
	if (a->fence < l->fence) {
		g_set_error(error, SS_ERROR, SS_ERROR_FENCED,
			    "order %" PRIu64 " is older than %" PRIu64,
			    a->fence, l->fence);
		return false;
	}
	l->fence = a->fence;
	l->draining_by_leader = a->draining;
	ledger_leader_contact(l, now);
	if (l->o.service)
		return true;
	for (guint i = 0; i < l->replicas->len; i++) {
		replica_at(l, i)->assigned = false;
		replica_at(l, i)->unload = true;
	}
	for (size_t i = 0; i < a->orders.n; i++)
		apply_order(l, &o[i]);
	remove_unused(l);
	ledger_tick(l, now);
	return true;
}

uint64_t ledger_read_begin(struct ledger *l)
{
	return ++l->last_seq;
}

static void load_failed(struct ledger *l, struct ledger_replica *r, int64_t now)
{
	r->state = LEDGER_UNLOADED;
	r->next_retry_ms = now + (LEDGER_RETRY_MS
				  << MIN(r->failures, RETRY_DOUBLINGS_MAX));
	r->failures++;
	l->o.ops->changed(l->o.arg);
}

/* Updates a replica that a read of the endpoint lists. */
static void apply_held(struct ledger *l, const struct held_replica *h,
		       int64_t now)
{
	static const enum ledger_state states[] = {
		[HELD_LOADING] = LEDGER_LOADING,
		[HELD_READY] = LEDGER_READY,
		[HELD_UNLOADING] = LEDGER_UNLOADING,
	};
	struct ledger_replica *r = find_replica(l, h->model);
	enum ledger_state before;

	if (h->state < HELD_LOADING || h->state > HELD_UNLOADING)
		return;
	if (!r) {
		r = add_replica(l, h->model);
		/* Not assigned: unloaded if an assignment has arrived. */
		r->unload = l->fence > 0;
	}
	before = r->state;
	r->state = states[h->state];
	r->bytes = MAX(r->bytes, h->bytes);
	if (r->state == before)
		return;
	if (r->state == LEDGER_READY) {
		r->failures = 0;
		r->idle_since_ms = now;
		if (before == LEDGER_LOADING)
			r->load_ms = now - r->load_start_ms;
	}
	l->o.ops->changed(l->o.arg);
}

static bool is_listed(const struct held_replica *held, size_t n,
		      const char *model)
{
	for (size_t i = 0; i < n; i++)
		if (ss_str_eq(held[i].model, ss_str(model)))
			return true;
	return false;
}

void ledger_read_done(struct ledger *l, uint64_t read,
		      const struct held_replica *held, size_t n, int64_t now)
{
	l->read_done = true;
	if (l->o.service)
		return;
	for (size_t i = 0; i < n; i++) {
		struct ledger_replica *r = find_replica(l, held[i].model);

		if (!r || (!r->order_pending && read > r->order_seq))
			apply_held(l, &held[i], now);
	}
	for (guint i = 0; i < l->replicas->len; i++) {
		struct ledger_replica *r = replica_at(l, i);

		if (r->order_pending || read <= r->order_seq ||
		    r->state == LEDGER_UNLOADED || is_listed(held, n, r->model))
			continue;
		if (r->state == LEDGER_LOADING) {
			load_failed(l, r, now);
		} else {
			r->state = LEDGER_UNLOADED;
			l->o.ops->changed(l->o.arg);
		}
	}
	remove_unused(l);
	ledger_tick(l, now);
}

void ledger_answered(struct ledger *l, const char *model, bool ok, int64_t now)
{
	struct ledger_replica *r = find_replica(l, ss_str(model));

	if (!r || !r->order_pending)
		return;
	r->order_pending = false;
	/*
	 * Only a read requested from now on shows what the endpoint holds,
	 * also after a refusal or without an answer. A load without an answer
	 * may have happened, so its memory stays counted until that read.
	 */
	r->order_seq = ++l->last_seq;
	if (!ok && r->state == LEDGER_LOADING)
		l->o.ops->changed(l->o.arg);
	(void)now;
}

struct ledger_replica *ledger_begin_call(struct ledger *l, struct ss_str model,
					 GError **error)
{
	struct ledger_replica *r;

	if (ledger_draining(l)) {
		g_set_error(error, SS_ERROR, SS_ERROR_DRAINING,
			    "the endpoint is leaving");
		return NULL;
	}
	r = find_replica(l, model);
	if (l->o.service && !r) {
		r = add_replica(l, model);
		r->assigned = true;
		r->slots = MAX(l->o.slots, 1);
		r->state = LEDGER_READY;
	}
	if (!r || r->state != LEDGER_READY || r->unload || !r->assigned) {
		g_set_error(error, SS_ERROR, SS_ERROR_UNKNOWN_MODEL,
			    "no replica of it is ready here");
		return NULL;
	}
	if (r->active >= r->slots) {
		g_set_error(error, SS_ERROR, SS_ERROR_OVERLOAD,
			    "all %" PRIu64 " slots are taken", r->slots);
		return NULL;
	}
	r->active++;
	r->served++;
	l->active++;
	return r;
}

void ledger_end_call(struct ledger *l, struct ledger_replica *r, int64_t now)
{
	r->active--;
	l->active--;
	r->idle_since_ms = now;
	if (r->unload && r->active == 0)
		ledger_tick(l, now);
}

void ledger_drain(struct ledger *l)
{
	l->draining_self = true;
}

bool ledger_draining(const struct ledger *l)
{
	return l->draining_self || l->draining_by_leader;
}

uint64_t ledger_fence(const struct ledger *l)
{
	return l->fence;
}

uint64_t ledger_active(const struct ledger *l)
{
	return l->active;
}

bool ledger_busy(const struct ledger *l)
{
	for (guint i = 0; i < l->replicas->len; i++)
		if (replica_at(l, i)->order_pending ||
		    replica_at(l, i)->state == LEDGER_LOADING ||
		    replica_at(l, i)->state == LEDGER_UNLOADING)
			return true;
	return !l->read_done;
}

static int64_t reported_state(const struct ledger_replica *r)
{
	switch (r->state) {
	case LEDGER_LOADING:
		return HELD_LOADING;
	case LEDGER_READY:
		return HELD_READY;
	case LEDGER_UNLOADING:
		return HELD_UNLOADING;
	case LEDGER_UNLOADED:
		break;
	}
	if (r->unload)
		return HELD_GONE;
	return r->failures >= LEDGER_FAILURES_MAX ? HELD_FAILED : 0;
}

GArray *ledger_report(const struct ledger *l, int64_t now)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct held_replica));

	/* Before the first read it isn't known what the endpoint holds. */
	for (guint i = 0; l->read_done && i < l->replicas->len; i++) {
		const struct ledger_replica *r = replica_at(l, i);
		struct held_replica h = { .replica = r->id,
					  .model = ss_str(r->model),
					  .bytes = r->bytes,
					  .state = reported_state(r),
					  .load_ms = r->load_ms,
					  .active = r->active,
					  .served = r->served };

		h.idle_ms = r->active ? 0 : now - r->idle_since_ms;
		g_array_append_val(out, h);
	}
	return out;
}
