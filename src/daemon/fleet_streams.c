/* The fleet leader as the one that knows which versions began streams, and its
 * followers as those who will when it is lost. */
#include "fleet_lead_int.h"

#include "../core/stream_wire.h"

/* Followers are told this often, in ms: what one lost VM takes along of both
 * the leader's and an entry's is no older. */
#define SPREAD_MS 50
#define SPREAD_MOST 1024
#define TIDY_MS 1000
/* Entries have found a new leader and told it what they know after so long, in
 * ms. */
#define YOUNG_MS 1000

void fleet_streams_begin(struct fleet_lead *l, struct stream_log *log)
{
	l->streams = log;
	l->streams_told = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free);
	l->n_streams = metrics_value(l->d->metrics, "ss_fleet_streams", "");
	l->n_stream_asks =
		metrics_value(l->d->metrics, "ss_fleet_stream_asks_total", "");
}

void fleet_streams_end(struct fleet_lead *l)
{
	g_hash_table_unref(l->streams_told);
}

void fleet_streams_seen(struct fleet_lead *l, const struct fleet_ep *ep)
{
	struct stream_item x = { 0, ep->service, fleet_version(&ep->self),
				 STREAM_LIFETIME_MAX_MS };

	if (*x.version)
		stream_log_add(l->streams, &x, fleet_lead_now(l));
}

void fleet_streams_take(struct fleet_lead *l, const struct msg_streams *m)
{
	fleet_work(l, WORK_STREAMS,
		   stream_wire_apply(l->streams, m, fleet_lead_now(l)));
}

static void answer(struct fleet_lead *l, struct conn *c, uint64_t sub,
		   enum stream_reply word, const struct stream_item *x)
{
	struct msg_stream_reply m = { .sub = sub, .result = word };

	if (x) {
		m.service = ss_str(x->service);
		m.version = ss_str(x->version);
	}
	if (g_hash_table_contains(l->peers, c))
		conn_send(c, MSG_STREAM_REPLY, &m);
}

static bool answer_known(struct fleet_lead *l, struct conn *c, uint64_t sub,
			 uint64_t key)
{
	struct stream_item x;

	if (!key || !stream_log_find(l->streams, key, fleet_lead_now(l), &x))
		return false;
	answer(l, c, sub, STREAM_KNOWN, &x);
	return true;
}

struct stream_ask {
	struct fleet_lead *l;
	struct conn *conn;
	uint64_t sub, key;
	char *service;
};

/* A leader that was replaced doesn't hear what is begun now: that it knows of
 * no stream, and of one version, says something only while it leads. */
static void on_confirmed(void *arg, bool ok)
{
	struct stream_ask *k = arg;
	struct fleet_lead *l = k->l;
	struct stream_item x = { .service = k->service };

	if (ok && !answer_known(l, k->conn, k->sub, k->key)) {
		int64_t now = fleet_lead_now(l);

		x.version =
			stream_log_sole_version(l->streams, k->service, now);
		if (now - l->since_ms < YOUNG_MS || !l->list_seen)
			answer(l, k->conn, k->sub, STREAM_PENDING, NULL);
		else if (x.version)
			answer(l, k->conn, k->sub, STREAM_SOLE_VERSION, &x);
		else
			answer(l, k->conn, k->sub, STREAM_UNKNOWN, NULL);
	}
	g_free(k->service);
	g_free(k);
}

void fleet_streams_ask(struct fleet_lead *l, struct conn *c,
		       const struct msg_stream_request *m)
{
	struct stream_ask *k;

	(*l->n_stream_asks)++;
	if (answer_known(l, c, m->sub, m->key))
		return;
	k = g_new0(struct stream_ask, 1);
	k->l = l;
	k->conn = c;
	k->sub = m->sub;
	k->key = m->key;
	k->service = ss_str_dup(m->service);
	group_confirm(l->g, (struct read_done){ on_confirmed, k });
}

/* What a follower wasn't told; all of it again once it wasn't reached. */
static void spread_to(struct fleet_lead *l, uint64_t id, int64_t now)
{
	uint64_t *told = g_hash_table_lookup(l->streams_told, &id);
	struct stream_wire w;
	GArray *items;
	uint64_t mark;

	if (!told) {
		told = g_new0(uint64_t, 1);
		g_hash_table_insert(l->streams_told, g_memdup2(&id, sizeof(id)),
				    told);
	}
	if (stream_log_is_reported(l->streams, *told))
		return;
	items = g_array_new(FALSE, FALSE, sizeof(struct stream_item));
	mark = stream_log_changes(l->streams, *told, SPREAD_MOST, now, items);
	stream_wire_pack(&w, items);
	*told = group_tell(l->g, id, MSG_STREAMS, &w.m) ? mark : 0;
	fleet_work(l, WORK_SPREADS, 1);
	stream_wire_clear(&w);
	g_array_unref(items);
}

void fleet_streams_tick(struct fleet_lead *l, int64_t now)
{
	const struct ss_raft *r = group_raft(l->g);
	const struct ss_raft_members *all = ss_raft_members(r);

	if (now - l->streams_tidied_ms >= TIDY_MS) {
		l->streams_tidied_ms = now;
		stream_log_expire(l->streams, now);
		*l->n_streams = stream_log_length(l->streams);
	}
	if (now - l->streams_ms < SPREAD_MS)
		return;
	l->streams_ms = now;
	for (size_t i = 0; i < all->n; i++)
		if (all->m[i].id != ss_raft_leader(r))
			spread_to(l, all->m[i].id, now);
}
