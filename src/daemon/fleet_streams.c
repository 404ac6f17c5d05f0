/* The fleet leader's record of which version began each stream, and its
 * replication to the followers, so that it survives the loss of the leader. */
#include "fleet_leader_int.h"

#include "../core/stream_wire.h"

/* Replication interval, in ms. It bounds the age of the streams that are lost
 * if the leader and an entry fail together on one VM. */
#define REPLICATE_INTERVAL_MS 50
/* Maximum number of streams in one message to a follower. */
#define REPLICATE_MAX 1024
#define EXPIRE_INTERVAL_MS 1000
/* Time in ms within which entries find a new leader and report their streams to
 * it. */
#define LEADER_STARTUP_MS 1000

void fleet_streams_begin(struct fleet_leader *l, struct stream_log *log)
{
	l->streams = log;
	l->streams_sent = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free);
	l->n_streams = metrics_value(l->d->metrics, "ss_fleet_streams", "");
	l->n_stream_requests =
		metrics_value(l->d->metrics, "ss_fleet_stream_asks_total", "");
}

void fleet_streams_end(struct fleet_leader *l)
{
	g_hash_table_unref(l->streams_sent);
}

void fleet_streams_add_version(struct fleet_leader *l,
			       const struct fleet_ep *ep)
{
	struct stream_item x = { 0, ep->service, fleet_version(&ep->self),
				 STREAM_LIFETIME_MAX_MS };

	if (*x.version)
		stream_log_add(l->streams, &x, fleet_leader_now(l));
}

void fleet_streams_apply(struct fleet_leader *l, const struct msg_streams *m)
{
	fleet_work_add(l, WORK_STREAMS,
		       stream_wire_apply(l->streams, m, fleet_leader_now(l)));
}

static void send_reply(struct fleet_leader *l, struct conn *c, uint64_t sub,
		       enum stream_reply result, const struct stream_item *x)
{
	struct msg_stream_reply m = { .sub = sub, .result = result };

	if (x) {
		m.service = ss_str(x->service);
		m.version = ss_str(x->version);
	}
	if (g_hash_table_contains(l->peers, c))
		conn_send(c, MSG_STREAM_REPLY, &m);
}

static bool reply_if_known(struct fleet_leader *l, struct conn *c, uint64_t sub,
			   uint64_t key)
{
	struct stream_item x;

	if (!key || !stream_log_find(l->streams, key, fleet_leader_now(l), &x))
		return false;
	send_reply(l, c, sub, STREAM_KNOWN, &x);
	return true;
}

struct version_request {
	struct fleet_leader *l;
	struct conn *conn;
	uint64_t sub, key;
	char *service;
};

/* A deposed leader doesn't receive the streams that begin now. So the replies
 * "no such stream" and "the service has one version" are sent only after a
 * majority has confirmed the leadership. */
static void on_confirmed(void *arg, bool ok)
{
	struct version_request *k = arg;
	struct fleet_leader *l = k->l;
	struct stream_item x = { .service = k->service };

	if (ok && !reply_if_known(l, k->conn, k->sub, k->key)) {
		int64_t now = fleet_leader_now(l);

		x.version =
			stream_log_sole_version(l->streams, k->service, now);
		if (now - l->since_ms < LEADER_STARTUP_MS || !l->list_received)
			send_reply(l, k->conn, k->sub, STREAM_PENDING, NULL);
		else if (x.version)
			send_reply(l, k->conn, k->sub, STREAM_SOLE_VERSION, &x);
		else
			send_reply(l, k->conn, k->sub, STREAM_UNKNOWN, NULL);
	}
	g_free(k->service);
	g_free(k);
}

void fleet_streams_request(struct fleet_leader *l, struct conn *c,
			   const struct msg_stream_request *m)
{
	struct version_request *k;

	(*l->n_stream_requests)++;
	if (reply_if_known(l, c, m->sub, m->key))
		return;
	k = g_new0(struct version_request, 1);
	k->l = l;
	k->conn = c;
	k->sub = m->sub;
	k->key = m->key;
	k->service = ss_str_dup(m->service);
	group_confirm(l->g, (struct read_done){ on_confirmed, k });
}

/* Sends a follower the changes since the last message to it, or all streams if
 * that message couldn't be sent. */
static void replicate_to(struct fleet_leader *l, uint64_t id, int64_t now)
{
	uint64_t *sent_mark = g_hash_table_lookup(l->streams_sent, &id);
	struct stream_wire w;
	GArray *items;
	uint64_t mark;

	if (!sent_mark) {
		sent_mark = g_new0(uint64_t, 1);
		g_hash_table_insert(l->streams_sent, g_memdup2(&id, sizeof(id)),
				    sent_mark);
	}
	if (stream_log_is_reported(l->streams, *sent_mark))
		return;
	items = g_array_new(FALSE, FALSE, sizeof(struct stream_item));
	mark = stream_log_changes(l->streams, *sent_mark, REPLICATE_MAX, now,
				  items);
	stream_wire_pack(&w, items);
	*sent_mark = group_send(l->g, id, MSG_STREAMS, &w.m) ? mark : 0;
	fleet_work_add(l, WORK_REPLICATIONS, 1);
	stream_wire_clear(&w);
	g_array_unref(items);
}

void fleet_streams_tick(struct fleet_leader *l, int64_t now)
{
	const struct ss_raft *r = group_raft(l->g);
	const struct ss_raft_members *all = ss_raft_members(r);

	if (now - l->streams_expired_ms >= EXPIRE_INTERVAL_MS) {
		l->streams_expired_ms = now;
		stream_log_expire(l->streams, now);
		*l->n_streams = stream_log_length(l->streams);
	}
	if (now - l->streams_sent_ms < REPLICATE_INTERVAL_MS)
		return;
	l->streams_sent_ms = now;
	for (size_t i = 0; i < all->n; i++)
		if (all->m[i].id != ss_raft_leader(r))
			replicate_to(l, all->m[i].id, now);
}
