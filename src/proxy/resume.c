/*
 * Resumed streams: which endpoints may continue a stream that has begun. The
 * output of two versions of the endpoints' software doesn't fit together, and
 * endpoints don't check for that.
 */
#include "gate_int.h"

#include "../base/log.h"

/* A crashed endpoint has restarted and is listed with its version within this
 * time after it left the list; its streams are held until then. */
#define EP_RESTART_MS 1500

/* A stream is resumed within its caller's timeout, which started before the
 * stream did, or at most this much later. */
#define RESUME_MARGIN_MS 5000
/* Maximum number of streams kept whose incarnation's version isn't known yet:
 * those of some seconds. */
#define UNVERSIONED_MAX 4096
/* Maximum number of streams and versions in one message: some 5 KB. */
#define STREAMS_PER_MESSAGE 512
/* Timeout of a lookup at the leader; another leader is elected by then. */
#define LOOKUP_TIMEOUT_MS 1500
/* A lookup is sent again after this time, as the request or its reply may be
 * lost. */
#define LOOKUP_RESEND_MS 100
/* Retry-After of a caller that this entry can't serve without a leader: another
 * entry may reach one. */
#define NO_LEADER_RETRY_AFTER_MS 200

/* Sets the version that began the stream once the incarnation that began it is
 * listed with one: an endpoint that has just restarted may be listed before its
 * version is known. */
static void learn_version(struct forward *f)
{
	const struct gate_ep *ep;

	if (!f->began_version || *f->began_version)
		return;
	ep = gate_ep_at(f->g, f->began_addr);
	if (!ep || ep->incarnation_no != f->began_incarnation_no)
		return;
	g_free(f->began_version);
	f->began_version = g_strdup(fleet_version(&ep->self));
}

void resume_note_begin(struct forward *f)
{
	const struct gate_ep *ep = gate_ep_of(f);

	if (f->began_version || !f->is_events)
		return;
	f->began_version = g_strdup(f->version);
	f->began_addr = g_strdup(f->ep_addr);
	f->began_incarnation_no = ep ? ep->incarnation_no : 0;
}

bool resume_fits(const struct forward *f, const struct gate_ep *ep)
{
	if (!f->began_version)
		return true;
	if (*f->began_version)
		return !strcmp(f->began_version, fleet_version(&ep->self));
	return ep->incarnation_no == f->began_incarnation_no;
}

/* Returns true if the endpoint runs the version that began the stream, or may
 * turn out to. An endpoint that is down counts, unless it is stopping for
 * good. */
static bool may_fit(const struct forward *f, const struct gate_ep *ep)
{
	return ep->known && !ep->removing && !ep->signals.draining_ms &&
	       !strcmp(ep->service, f->service->name) &&
	       (resume_fits(f, ep) ||
		(*f->began_version && !*fleet_version(&ep->self)));
}

bool resume_is_impossible(struct forward *f)
{
	struct gate *g = f->g;
	GHashTableIter it;
	int64_t seen;
	void *ep;

	if (!f->began_version)
		return false;
	learn_version(f);
	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &ep))
		if (may_fit(f, ep))
			return false;
	seen = stream_log_last_served(g->streams, f->service->name,
				      f->began_version);
	return gate_now(g) - MAX(seen, g->since_ms) >= EP_RESTART_MS;
}

/* Returns the queue for a request. Streams that wait for one version have a
 * queue of their own, so that they don't hold up requests which any endpoint
 * may run. */
struct model_queue *resume_queue(struct forward *f)
{
	learn_version(f);
	if (!f->began_version)
		return f->home_queue;
	return gate_version_queue(f->g, f->service->name, f->model,
				  *f->began_version ? f->began_version :
						      RESUME_UNVERSIONED);
}

/* Frees the queues of versions that are empty and were reported so, as versions
 * come and go. Queues of models are kept. */
static void drop_version_queues(struct gate *g)
{
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, g->model_queues);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct model_queue *l = p;

		if (*l->version && !ss_queue_length(l->waiting) && !l->reported)
			g_hash_table_iter_remove(&it);
	}
}

/* Streams that begin at this entry. */

/* Returns how long the stream may be resumed: a caller resumes it within its
 * timeout. */
static int64_t stream_resumable_ms(const struct forward *f)
{
	return MAX(f->route->timeout_ms, f->call.deadline_ms) +
	       RESUME_MARGIN_MS;
}

static void log_stream(struct gate *g, uint64_t key, const struct gate_ep *ep,
		       int64_t left_ms)
{
	struct stream_item item = { key, ep->service, fleet_version(&ep->self),
				    left_ms };

	stream_log_add(g->streams, &item, gate_now(g));
}

void resume_note_stream(struct forward *f, const struct gate_ep *ep)
{
	struct gate *g = f->g;
	struct unversioned_stream u = { .incarnation_no = ep->incarnation_no };

	if (f->route->kind != ROUTE_STREAM || !f->route->resumable ||
	    f->began_version || f->call.after_event >= 0 || !f->call.id.n)
		return;
	u.key = stream_key(ss_str(forward_customer(f)), f->call.id);
	if (*fleet_version(&ep->self)) {
		log_stream(g, u.key, ep, stream_resumable_ms(f));
		return;
	}
	u.until_ms = gate_now(g) + stream_resumable_ms(f);
	if (g->unversioned->len < UNVERSIONED_MAX)
		g_array_append_val(g->unversioned, u);
}

void resume_note_version(struct gate *g, const struct gate_ep *ep)
{
	if (ep->known && *fleet_version(&ep->self))
		log_stream(g, 0, ep, STREAM_LIFETIME_MAX_MS);
}

void resume_version_known(struct gate *g, const struct gate_ep *ep)
{
	if (!g->unversioned->len || !*fleet_version(&ep->self))
		return;
	for (guint i = g->unversioned->len; i-- > 0;) {
		const struct unversioned_stream *u = &g_array_index(
			g->unversioned, struct unversioned_stream, i);

		if (u->incarnation_no != ep->incarnation_no)
			continue;
		log_stream(g, u->key, ep, u->until_ms - gate_now(g));
		g_array_remove_index_fast(g->unversioned, i);
	}
}

void resume_tidy(struct gate *g, int64_t now)
{
	stream_log_expire(g->streams, now);
	drop_version_queues(g);
	for (guint i = g->unversioned->len; i-- > 0;)
		if (g_array_index(g->unversioned, struct unversioned_stream, i)
			    .until_ms <= now)
			g_array_remove_index_fast(g->unversioned, i);
}

bool gate_stream_report(struct gate *g, struct stream_wire *w)
{
	GArray *items;

	if (stream_log_is_reported(g->streams, g->streams_reported))
		return false;
	items = g_array_new(FALSE, FALSE, sizeof(struct stream_item));
	g->streams_sent = stream_log_changes(g->streams, g->streams_reported,
					     STREAMS_PER_MESSAGE, gate_now(g),
					     items);
	stream_wire_pack(w, items);
	g_array_unref(items);
	return true;
}

void gate_stream_report_done(struct gate *g, struct stream_wire *w, bool sent)
{
	if (sent)
		g->streams_reported = g->streams_sent;
	stream_wire_clear(w);
}

/* Streams that callers resume here. */

static void log_resume(struct forward *f, const char *from)
{
	int64_t now = gate_now(f->g);

	(*f->g->n_resumed)++;
	log_info("taken_up",
		 "request=%s resumes=%.*s after=%" PRId64
		 " service=%s version=%s from=%s ms=%" PRId64,
		 f->id, SS_FMT(forward_resumed_request(f)), f->call.after_event,
		 f->service->name, f->began_version, from,
		 f->lookup_first_ms ? now - f->lookup_first_ms : 0);
}

static void refuse(struct forward *f, const char *why, int64_t retry_after_ms)
{
	(*f->g->n_resume_refused)++;
	forward_refuse(f, 503, "unavailable", why, retry_after_ms);
}

/* Binds the request to the service that began its stream, as a route may be
 * split over several. Returns false if the route can't send the request
 * there. */
static bool switch_service(struct forward *f, const char *service)
{
	struct gate *g = f->g;
	struct routing_service *s = routing_service(g->routing, service);
	struct ss_str model = f->call.model;
	char *name = ss_str_dup(model);
	bool usable = s && routing_route_targets(f->route, service) &&
		      (!s->engine || !model.n || routing_model(s, name));

	g_free(name);
	if (!usable)
		return false;
	forward_set_service(f, s);
	f->home_queue = gate_model_queue(g, s->name, f->model);
	return true;
}

/* Binds the request to the service and version that began its stream. Returns
 * false if the route no longer leads to that service: f was refused and
 * freed. */
static bool bind_to_version(struct forward *f, const char *service,
			    const char *version, const char *from)
{
	if (strcmp(service, f->service->name) && !switch_service(f, service)) {
		refuse(f, "the route no longer leads to where it began", 0);
		return false;
	}
	f->began_version = g_strdup(version);
	log_resume(f, from);
	return true;
}

static void send_lookup(struct forward *f)
{
	struct gate *g = f->g;
	struct msg_stream_request m = { .sub = f->ticket,
					.key = f->resumed_key,
					.service = ss_str(f->service->name) };

	f->lookup_last_ms = gate_now(g);
	g->o.ops->request_stream(g->o.arg, &m);
}

bool resume_lookup(struct forward *f)
{
	struct gate *g = f->g;
	struct stream_item x;

	if (f->route->kind != ROUTE_STREAM || f->call.after_event < 0)
		return false;
	if (f->call.resumed_id.n)
		f->resumed_key = stream_key(ss_str(forward_customer(f)),
					    f->call.resumed_id);
	if (f->resumed_key &&
	    stream_log_find(g->streams, f->resumed_key, gate_now(g), &x))
		return !bind_to_version(f, x.service, x.version, "here");
	f->ticket = ++g->ticket;
	f->state = FORWARD_WAIT_VERSION;
	f->lookup_first_ms = gate_now(g);
	g_hash_table_insert(g->tickets, &f->ticket, f);
	send_lookup(f);
	return true;
}

/* Queues the request for the version that began its stream. */
static void resume_at_version(struct forward *f, const char *service,
			      const char *version, const char *from)
{
	struct gate *g = f->g;
	char *name;

	if (!bind_to_version(f, service, version, from))
		return;
	name = g_strdup(f->service->name);
	g_hash_table_remove(g->tickets, &f->ticket);
	forward_enqueue(f);
	gate_dispatch(g, name);
	g_free(name);
}

/*
 * Ends a lookup while no leader is elected or reachable. If this process has
 * followed the list for as long as a stream may be resumed, and only one
 * version has served, that version must have begun the stream. What it knew by
 * a leader that it has lost isn't enough: another version may have joined
 * before the loss was noticed, and begun the stream.
 */
static void resume_without_leader(struct forward *f)
{
	struct gate *g = f->g;
	int64_t now = gate_now(g);
	const char *only;
	GHashTableIter it;
	void *ep;

	g_hash_table_iter_init(&it, g->eps);
	while (g_hash_table_iter_next(&it, NULL, &ep))
		resume_note_version(g, ep);
	only = stream_log_sole_version(g->streams, f->service->name, now);
	if (only && gate_has_followed_list(g, STREAM_LIFETIME_MAX_MS))
		resume_at_version(f, f->service->name, only, "alone");
	else
		refuse(f, "nobody can tell which version began it",
		       NO_LEADER_RETRY_AFTER_MS);
}

void gate_stream_reply_received(struct gate *g,
				const struct msg_stream_reply *m)
{
	struct forward *f = g_hash_table_lookup(g->tickets, &m->sub);
	char *service, *version;

	if (!f || f->state != FORWARD_WAIT_VERSION)
		return;
	if (m->result == STREAM_PENDING) {
		f->leader_reply_ms = gate_now(g);
		return;
	}
	if (m->result == STREAM_UNKNOWN) {
		refuse(f, "nobody knows which version began it", 0);
		return;
	}
	service = ss_str_dup(m->service);
	version = ss_str_dup(m->version);
	resume_at_version(f, service, version,
			  m->result == STREAM_KNOWN ? "leader" : "only");
	g_free(service);
	g_free(version);
}

void resume_tick(struct forward *f, int64_t now)
{
	if (times_stop_would_cut(f, NULL))
		forward_refuse_draining(f);
	else if (now + times_first_ms(f) > f->begin_by_ms)
		refuse(f, "it can't be begun in time", 0);
	else if (now - MAX(f->lookup_first_ms, f->leader_reply_ms) >=
		 LOOKUP_TIMEOUT_MS)
		resume_without_leader(f);
	else if (now - f->lookup_last_ms >= LOOKUP_RESEND_MS)
		send_lookup(f);
}
