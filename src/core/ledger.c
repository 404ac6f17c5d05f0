/* An agent's ledger of replicas and memory. */
#include "ledger.h"

struct ledger {
	struct ledger_options o;
	uint64_t bytes;
	GPtrArray *replicas; /* struct ledger_replica */
	uint64_t fence;
	bool truth; /* the endpoint has been read since the start */
	bool draining_order, draining_self;
	int64_t leader_ms; /* when a leader was last heard */
	uint64_t reads;	   /* numbers reads and orders in one row */
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

static struct ledger_replica *at(const struct ledger *l, guint i)
{
	return l->replicas->pdata[i];
}

static struct ledger_replica *find(const struct ledger *l, struct ss_str model)
{
	for (guint i = 0; i < l->replicas->len; i++)
		if (ss_str_eq(ss_str(at(l, i)->model), model))
			return at(l, i);
	return NULL;
}

static struct ledger_replica *add(struct ledger *l, struct ss_str model)
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
		if (at(l, i)->have != HAVE_NOTHING)
			sum += at(l, i)->bytes;
	return sum;
}

static bool base_ready(const struct ledger *l, const struct ledger_replica *r)
{
	const struct ledger_replica *base;

	if (!*r->base)
		return true;
	base = find(l, ss_str(r->base));
	return base && base->have == HAVE_READY && !base->unload;
}

static bool has_adapters(const struct ledger *l, const struct ledger_replica *r)
{
	for (guint i = 0; i < l->replicas->len; i++)
		if (!strcmp(at(l, i)->base, r->model) &&
		    at(l, i)->have != HAVE_NOTHING)
			return true;
	return false;
}

static bool may_load(const struct ledger *l, const struct ledger_replica *r,
		     int64_t now)
{
	/*
	 * A process that was frozen wakes with orders from long ago; the
	 * leader's silence shows it, and it asks before it acts.
	 */
	if (now - l->leader_ms > LEDGER_LEASE_MS)
		return false;
	return l->truth && !r->unload && r->ordered && !r->asking &&
	       r->have == HAVE_NOTHING && now >= r->retry_ms &&
	       r->failures < LEDGER_FAILURES_MAX && base_ready(l, r) &&
	       ledger_bytes(l) + r->bytes <= l->bytes;
}

static bool may_unload(const struct ledger *l, const struct ledger_replica *r)
{
	return l->truth && r->unload && !r->asking && r->active == 0 &&
	       r->have == HAVE_READY && !has_adapters(l, r);
}

void ledger_tick(struct ledger *l, int64_t now)
{
	for (guint i = 0; i < l->replicas->len; i++) {
		struct ledger_replica *r = at(l, i);

		if (may_unload(l, r)) {
			r->have = HAVE_UNLOADING;
			r->asking = true;
			l->o.ops->unload(l->o.arg, r, l->fence);
		} else if (may_load(l, r, now)) {
			r->have = HAVE_LOADING;
			r->asking = true;
			r->load_start_ms = now;
			l->o.ops->load(l->o.arg, r, l->fence);
		}
	}
}

void ledger_leader_heard(struct ledger *l, int64_t now)
{
	l->leader_ms = now;
}

/* Forget what is neither wanted nor held. */
static void sweep(struct ledger *l)
{
	for (guint i = l->replicas->len; i-- > 0;) {
		struct ledger_replica *r = at(l, i);

		if (!r->ordered && r->have == HAVE_NOTHING && !r->asking &&
		    r->active == 0)
			g_ptr_array_remove_index(l->replicas, i);
	}
}

static void take_order(struct ledger *l, const struct order *o)
{
	struct ledger_replica *r = find(l, o->model);

	if (!r)
		r = add(l, o->model);
	if (r->id != o->replica)
		r->failures = 0;
	r->id = o->replica;
	g_free(r->base);
	r->base = ss_str_dup(o->base);
	r->bytes = o->bytes;
	r->slots = MAX(o->slots, 1);
	r->unload = o->unload;
	r->ordered = true;
}

bool ledger_assign(struct ledger *l, const struct msg_assign *a, int64_t now,
		   GError **error)
{
	const struct order *o = a->orders.items;

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
	l->draining_order = a->draining;
	ledger_leader_heard(l, now);
	if (l->o.service)
		return true;
	for (guint i = 0; i < l->replicas->len; i++) {
		at(l, i)->ordered = false;
		at(l, i)->unload = true;
	}
	for (size_t i = 0; i < a->orders.n; i++)
		take_order(l, &o[i]);
	sweep(l);
	ledger_tick(l, now);
	return true;
}

uint64_t ledger_read_begin(struct ledger *l)
{
	return ++l->reads;
}

static void failed(struct ledger *l, struct ledger_replica *r, int64_t now)
{
	r->have = HAVE_NOTHING;
	r->retry_ms = now + (LEDGER_RETRY_MS << MIN(r->failures, 8));
	r->failures++;
	l->o.ops->changed(l->o.arg);
}

/* The endpoint says that it holds this model. */
static void seen(struct ledger *l, const struct held *h, int64_t now)
{
	static const enum have_state states[] = {
		[HELD_LOADING] = HAVE_LOADING,
		[HELD_READY] = HAVE_READY,
		[HELD_UNLOADING] = HAVE_UNLOADING,
	};
	struct ledger_replica *r = find(l, h->model);
	enum have_state before;

	if (h->state < HELD_LOADING || h->state > HELD_UNLOADING)
		return;
	if (!r) {
		r = add(l, h->model);
		/* Known to nobody: once an assignment has come, it goes. */
		r->unload = l->fence > 0;
	}
	before = r->have;
	r->have = states[h->state];
	r->bytes = MAX(r->bytes, h->bytes);
	if (r->have == before)
		return;
	if (r->have == HAVE_READY) {
		r->failures = 0;
		r->idle_ms = now;
		if (before == HAVE_LOADING)
			r->load_ms = now - r->load_start_ms;
	}
	l->o.ops->changed(l->o.arg);
}

static bool listed(const struct held *held, size_t n, const char *model)
{
	for (size_t i = 0; i < n; i++)
		if (ss_str_eq(held[i].model, ss_str(model)))
			return true;
	return false;
}

void ledger_read_done(struct ledger *l, uint64_t read, const struct held *held,
		      size_t n, int64_t now)
{
	l->truth = true;
	if (l->o.service)
		return;
	for (size_t i = 0; i < n; i++) {
		struct ledger_replica *r = find(l, held[i].model);

		if (!r || (!r->asking && read > r->asked))
			seen(l, &held[i], now);
	}
	for (guint i = 0; i < l->replicas->len; i++) {
		struct ledger_replica *r = at(l, i);

		if (r->asking || read <= r->asked || r->have == HAVE_NOTHING ||
		    listed(held, n, r->model))
			continue;
		if (r->have == HAVE_LOADING) {
			failed(l, r, now);
		} else {
			r->have = HAVE_NOTHING;
			l->o.ops->changed(l->o.arg);
		}
	}
	sweep(l);
	ledger_tick(l, now);
}

void ledger_answered(struct ledger *l, const char *model, bool ok, int64_t now)
{
	struct ledger_replica *r = find(l, ss_str(model));

	if (!r || !r->asking)
		return;
	r->asking = false;
	/*
	 * Also after a refusal, or no answer at all, only what the endpoint
	 * says in a read asked from now on tells what it holds: "no answer"
	 * is not "not loaded", and its memory stays counted until then.
	 */
	r->asked = ++l->reads;
	if (!ok && r->have == HAVE_LOADING)
		l->o.ops->changed(l->o.arg);
	(void)now;
}

struct ledger_replica *ledger_begin(struct ledger *l, struct ss_str model,
				    GError **error)
{
	struct ledger_replica *r;

	if (ledger_draining(l)) {
		g_set_error(error, SS_ERROR, SS_ERROR_DRAINING,
			    "the endpoint is leaving");
		return NULL;
	}
	r = find(l, model);
	if (l->o.service && !r) {
		r = add(l, model);
		r->ordered = true;
		r->slots = MAX(l->o.slots, 1);
		r->have = HAVE_READY;
	}
	if (!r || r->have != HAVE_READY || r->unload || !r->ordered) {
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

void ledger_end(struct ledger *l, struct ledger_replica *r, int64_t now)
{
	r->active--;
	l->active--;
	r->idle_ms = now;
	if (r->unload && r->active == 0)
		ledger_tick(l, now);
}

void ledger_drain(struct ledger *l)
{
	l->draining_self = true;
}

bool ledger_draining(const struct ledger *l)
{
	return l->draining_self || l->draining_order;
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
		if (at(l, i)->asking || at(l, i)->have == HAVE_LOADING ||
		    at(l, i)->have == HAVE_UNLOADING)
			return true;
	return !l->truth;
}

static int64_t reported_state(const struct ledger_replica *r)
{
	switch (r->have) {
	case HAVE_LOADING:
		return HELD_LOADING;
	case HAVE_READY:
		return HELD_READY;
	case HAVE_UNLOADING:
		return HELD_UNLOADING;
	case HAVE_NOTHING:
		break;
	}
	if (r->unload)
		return HELD_GONE;
	return r->failures >= LEDGER_FAILURES_MAX ? HELD_FAILED : 0;
}

GArray *ledger_report(const struct ledger *l, int64_t now)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct held));

	/* Before the endpoint was read, silence would pass for "nothing". */
	for (guint i = 0; l->truth && i < l->replicas->len; i++) {
		const struct ledger_replica *r = at(l, i);
		struct held h = { .replica = r->id,
				  .model = ss_str(r->model),
				  .bytes = r->bytes,
				  .state = reported_state(r),
				  .load_ms = r->load_ms,
				  .active = r->active,
				  .served = r->served };

		h.idle_ms = r->active ? 0 : now - r->idle_ms;
		g_array_append_val(out, h);
	}
	return out;
}
