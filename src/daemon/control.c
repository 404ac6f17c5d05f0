/* The control role: a member of the control group, possibly its leader. */
#include "../../platform/platform.h"
#include "../core/mirror.h"
#include "../core/stream_wire.h"
#include "../operator/operator.h"
#include "../operator/routing_http.h"
#include "../vmlist/vms.h"
#include "fleet_leader.h"
#include "replica_leader.h"
#include "remote_agents.h"
#include "routing_follow.h"

#include <json-c/json.h>
#include <xxhash.h>

/* Timer interval in ms: a fifth of a heartbeat. Bounds the delay until a new
 * leader starts its work and is announced. */
#define TICK_MS 20
/* Time for the transfer of the leadership before a planned stop, in ms: three
 * heartbeats. */
#define TRANSFER_MS 300
/* Longest time in ms that a planned stop waits until the vote has been handed
 * over; the loss of a successor or leader is detected within it. */
#define HANDOVER_MAX_MS 3000
/* Interval at which a follower discards finished streams, in ms. */
#define STREAMS_EXPIRE_MS 1000

/* The control role's state. The leader's state is that of replicas behind
 * agents, or of a fleet. */
struct control_role {
	struct daemon *d;
	struct group *group;
	const struct leader_ops *ops;
	void *leader;	       /* NULL unless this process leads */
	struct mirror *mirror; /* a fleet's routing for other processes */
	struct routing_follow *follow;
	struct remote_agents *remote;
	struct stream_log *streams; /* routing version that each began under */
	int64_t streams_ms;	    /* last expiry */
	struct listener *listener;
	struct operator_http *operators;
	struct routing_http *routing;
	struct vms *vms;
	struct event *tick;
	GHashTable *conns;     /* open incoming connections */
	uint64_t sent_leader;  /* leader last announced to conns */
	uint64_t sent_members; /* hash of the members last announced */
	int64_t stop_ms;
	uint64_t *n_denied;
};

static void send_leader(struct control_role *k, struct conn *c)
{
	const char *addr = group_leader_hint(k->group);
	GArray *members = group_member_addrs(k->group);
	struct msg_leader m = { .group = group_id(k->group),
				.from_leader = k->leader != NULL,
				.members = { members->data, members->len } };

	if (!m.from_leader && addr)
		m.addr = ss_str(addr);
	conn_send(c, MSG_LEADER, &m);
	g_array_unref(members);
}

/* Returns true if a peer is sent the leader's address. */
static bool is_client(struct conn *c)
{
	int64_t role = conn_peer(c)->role;

	return role != ROLE_CONTROL && role != ROLE_READER;
}

/* Returns true if the leader exchanges further messages with a peer, beyond
 * sending it the leader's address. */
static bool is_managed(struct conn *c)
{
	return is_client(c) && conn_peer(c)->role != ROLE_RELAY;
}

/* Creates or frees the leader's state when the leadership changes. */
static void check_leadership(struct control_role *k)
{
	bool leads = group_leads(k->group);
	GHashTableIter it;
	void *c;

	if (leads == (k->leader != NULL))
		return;
	if (leads) {
		k->leader = k->ops->begin(k->d, k->group,
					  routing_follow_table(k->follow),
					  k->streams);
		log_info("lead", "begins");
	} else {
		k->ops->end(k->leader);
		k->leader = NULL;
		log_info("lead", "ends");
	}
	g_hash_table_iter_init(&it, k->conns);
	while (g_hash_table_iter_next(&it, &c, NULL)) {
		if (!is_client(c))
			continue;
		if (leads && is_managed(c))
			k->ops->open(k->leader, c);
		send_leader(k, c);
	}
}

/* Publishes the committed routing, from a log entry or a snapshot. */
static void follow_log(struct control_role *k)
{
	const struct ss_state *s = k->group ? group_state(k->group) : NULL;
	const struct document *d = s ? ss_state_routing(s) : NULL;
	struct mirror_version v = { 0 };
	GString *all;

	if (!d || document_version(d) <= mirror_version(k->mirror))
		return;
	v.version = document_version(d);
	v.services_version = document_services_version(d);
	v.change = ss_state_routing_change(s, &v.base);
	mirror_add_version(k->mirror, &v, ss_clock_now(&k->d->clock));
	log_info("routing_held", "version=%" PRIu64, v.version);
	if (v.change.n && routing_follow_add(k->follow, v.change))
		return;
	all = document_pack_full(d, true);
	routing_follow_add(k->follow, ss_str_gs(all));
	g_string_free(all, TRUE);
}

static void on_routing(void *arg, struct routing *r)
{
	struct control_role *k = arg;

	(void)r;
	remote_agents_set_routing(k->remote);
	if (k->leader)
		k->ops->applied(k->leader);
}

/* Does nothing: follow_log() adds the full routing with the next version. */
static void on_unreadable(void *arg, uint64_t have)
{
	(void)arg;
	(void)have;
}

static bool send_routing(void *arg, void *peer, const struct msg_routing *m)
{
	(void)arg;
	return conn_send(peer, MSG_ROUTING, m);
}

static GString *full_routing(void *arg, bool routes)
{
	struct control_role *k = arg;

	return document_pack_full(ss_state_routing(group_state(k->group)),
				  routes);
}

static const struct mirror_ops mirror_table = { send_routing, full_routing };

static void on_applied(void *arg, uint64_t index)
{
	struct control_role *k = arg;

	(void)index;
	follow_log(k);
	if (k->leader)
		k->ops->applied(k->leader);
}

static void on_changed(void *arg)
{
	struct control_role *k = arg;

	/* Frees the state of a lost leadership at once; all other changes wait
	 * for the tick. */
	if (k->group && !group_leads(k->group))
		check_leadership(k);
}

static const struct group_ops group_table = { on_applied, on_changed };

static void conn_open(void *arg, struct conn *c)
{
	struct control_role *k = arg;

	g_hash_table_add(k->conns, c);
	if (conn_peer(c)->role == ROLE_CONTROL)
		conn_set_silent_ms(c, GROUP_SILENT_MAX_MS);
	if (!is_client(c))
		return;
	if (k->leader && is_managed(c))
		k->ops->open(k->leader, c);
	send_leader(k, c);
}

static void conn_message(void *arg, struct conn *c, struct frame *f)
{
	struct control_role *k = arg;

	if (group_message(k->group, c, f))
		return;
	if (f->kind == MSG_FETCH) {
		mirror_request(k->mirror, c, &f->u.fetch,
			       ss_clock_now(&k->d->clock));
		return;
	}
	if (f->kind == MSG_REMOTE && conn_peer(c)->role == ROLE_CONTROL)
		remote_agents_assign(k->remote, &f->u.remote);
	else if (f->kind == MSG_STREAMS && conn_peer(c)->role == ROLE_CONTROL)
		stream_wire_apply(k->streams, &f->u.streams,
				  ss_clock_now(&k->d->clock));
	else if (f->kind == MSG_ADAPTER)
		remote_agents_request_adapter(k->remote, c, &f->u.adapter);
	else if (k->leader && is_managed(c))
		k->ops->message(k->leader, c, f);
}

static void conn_closed(void *arg, struct conn *c, const GError *why)
{
	struct control_role *k = arg;

	(void)why;
	g_hash_table_remove(k->conns, c);
	mirror_peer_closed(k->mirror, c, ss_clock_now(&k->d->clock));
	remote_agents_conn_closed(k->remote, c);
	group_conn_closed(k->group, c);
	if (k->leader)
		k->ops->closed(k->leader, c);
}

static const struct conn_ops conn_table = { conn_open, conn_message,
					    conn_closed };

/* Announces a new leader to clients, which may have connected before there was
 * one. */
static void announce_leader(struct control_role *k)
{
	const struct ss_raft *r = group_raft(k->group);
	uint64_t leader = r ? ss_raft_leader(r) : 0;
	GHashTableIter it;
	void *c;

	if (leader == k->sent_leader)
		return;
	k->sent_leader = leader;
	if (!leader || k->leader)
		return;
	g_hash_table_iter_init(&it, k->conns);
	while (g_hash_table_iter_next(&it, &c, NULL))
		if (is_client(c))
			send_leader(k, c);
}

/* Announces changed members. Entries and agents must also fetch from members
 * that joined after them; otherwise the first few would serve all of them. */
static void announce_members(struct control_role *k)
{
	GArray *all = group_member_addrs(k->group);
	uint64_t hash = 0;
	GHashTableIter it;
	void *c;

	for (guint i = 0; i < all->len; i++) {
		struct ss_str a =
			g_array_index(all, struct control_addr, i).addr;

		hash = XXH3_64bits_withSeed(a.p, a.n, hash);
	}
	g_array_unref(all);
	if (!k->leader || hash == k->sent_members)
		return;
	k->sent_members = hash;
	g_hash_table_iter_init(&it, k->conns);
	while (g_hash_table_iter_next(&it, &c, NULL))
		if (is_client(c))
			send_leader(k, c);
}

static void expire_streams(struct control_role *k)
{
	int64_t now = ss_clock_now(&k->d->clock);

	if (k->leader || now - k->streams_ms < STREAMS_EXPIRE_MS)
		return;
	k->streams_ms = now;
	stream_log_expire(k->streams, now);
}

/* Ends the process once nothing is left to hand over. */
static void end_when_handed_over(struct control_role *k)
{
	int64_t since_ms = ss_clock_now(&k->d->clock) - k->stop_ms;

	if (since_ms > HANDOVER_MAX_MS ||
	    (since_ms > TRANSFER_MS && group_may_end(k->group)))
		daemon_exit(k->d, 0);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct control_role *k = arg;

	(void)fd;
	(void)what;
	check_leadership(k);
	announce_leader(k);
	announce_members(k);
	follow_log(k);
	mirror_tick(k->mirror, ss_clock_now(&k->d->clock));
	remote_agents_tick(k->remote);
	expire_streams(k);
	if (k->leader)
		k->ops->tick(k->leader);
	if (k->stop_ms)
		end_when_handed_over(k);
}

static void on_vms(void *arg, const struct vm *vms, size_t n)
{
	struct control_role *k = arg;

	if (k->leader && !k->d->config.fleet.on)
		leader_set_vms(k->leader, vms, n);
}

/* Callbacks of the operator API. */

static void op_change(void *arg, struct command *c,
		      struct operator_callback done)
{
	struct control_role *k = arg;

	group_change(k->group, c, (struct change_done){ done.fn, done.arg });
}

static void op_confirm(void *arg, void (*fn)(void *fn_arg, bool ok),
		       void *fn_arg)
{
	struct control_role *k = arg;

	group_confirm(k->group, (struct read_done){ fn, fn_arg });
}

static const struct ss_state *op_state(void *arg)
{
	return group_state(((struct control_role *)arg)->group);
}

static json_object *op_members(void *arg)
{
	struct control_role *k = arg;
	const struct ss_raft *r = group_raft(k->group);
	const struct ss_raft_members *all = ss_raft_members(r);
	json_object *root = json_object_new_object();
	json_object *list = json_object_new_array();

	for (size_t i = 0; i < all->n; i++) {
		json_object *o = json_object_new_object();
		char id[24];

		g_snprintf(id, sizeof(id), "%016" PRIx64, all->m[i].id);
		json_object_object_add(o, "id", json_object_new_string(id));
		json_object_object_add(
			o, "name", json_object_new_string(all->m[i].name.p));
		json_object_object_add(
			o, "addr", json_object_new_string(all->m[i].addr.p));
		json_object_object_add(
			o, "voter", json_object_new_boolean(all->m[i].voter));
		json_object_object_add(
			o, "leads",
			json_object_new_boolean(all->m[i].id ==
						ss_raft_leader(r)));
		json_object_object_add(
			o, "match",
			json_object_new_int64(
				(int64_t)ss_raft_match(r, all->m[i].id)));
		json_object_array_add(list, o);
	}
	json_object_object_add(root, "members", list);
	return root;
}

static void op_status(void *arg, json_object *o)
{
	struct control_role *k = arg;
	const struct ss_state *s = group_state(k->group);
	const struct preset_rec *p = ss_state_in_force(s);
	const struct ss_raft *r = group_raft(k->group);
	json_object *members = op_members(k), *list;

	json_object_object_add(o, "leader",
			       json_object_new_string(k->d->config.name));
	json_object_object_add(o, "term",
			       json_object_new_int64((int64_t)ss_raft_term(r)));
	json_object_object_add(
		o, "applied",
		json_object_new_int64((int64_t)ss_raft_applied(r)));
	json_object_object_add(o, "in_force",
			       json_object_new_string(p ? p->name.p : ""));
	json_object_object_add(
		o, "version",
		json_object_new_int64((int64_t)ss_state_config_version(s)));
	if (json_object_object_get_ex(members, "members", &list))
		json_object_object_add(o, "members", json_object_get(list));
	json_object_put(members);
	if (k->leader)
		k->ops->status(k->leader, o);
}

static json_object *op_explain(void *arg, const char *model)
{
	struct control_role *k = arg;

	return k->leader && !k->d->config.fleet.on ?
		       leader_explain(k->leader, model) :
		       NULL;
}

static bool op_remove(void *arg, uint64_t id, GError **error)
{
	return group_remove_member(((struct control_role *)arg)->group, id,
				   error);
}

static bool control_ready(void *role)
{
	const struct control_role *k = role;

	return group_leader_addr(k->group) != NULL && !k->stop_ms;
}

static bool op_public(void *arg, struct evhttp_request *req)
{
	struct control_role *k = arg;

	return daemon_status_request(k->d, req, control_ready(k));
}

static const struct operator_ops operator_table = {
	.change = op_change,
	.confirm = op_confirm,
	.state = op_state,
	.status = op_status,
	.explain = op_explain,
	.members = op_members,
	.remove_member = op_remove,
	.serve_public = op_public,
};

/* Callbacks of the routing API. */

static bool routing_leads(void *arg)
{
	return group_leads(((struct control_role *)arg)->group);
}

static char *routing_leader(void *arg)
{
	struct control_role *k = arg;

	return routing_http_operator_addr(group_leader_addr(k->group),
					  k->d->config.fleet.operator_listen);
}

static const struct routing_http_ops routing_table = {
	.leads = routing_leads,
	.leader = routing_leader,
	.change = op_change,
	.confirm = op_confirm,
	.state = op_state,
	.status = op_status,
	.serve_public = op_public,
};

static bool start_routing(struct control_role *k, GError **error)
{
	struct routing_http_options o = {
		.base = k->d->base,
		.platform = &users_platform,
		.addr = k->d->config.fleet.operator_listen,
		.clock = &k->d->clock,
		.routing = routing_follow_table(k->follow),
		.ops = &routing_table,
		.arg = k
	};

	k->routing = routing_http_new(&o, error);
	return k->routing != NULL;
}

static void control_free(void *role)
{
	struct control_role *k = role;
	GHashTableIter it;
	void *c;

	if (k->tick)
		event_free(k->tick);
	vms_free(k->vms);
	operator_free(k->operators);
	routing_http_free(k->routing);
	conn_listener_free(k->listener);
	remote_agents_free(k->remote);
	g_hash_table_iter_init(&it, k->conns);
	while (g_hash_table_iter_next(&it, &c, NULL))
		conn_close(c);
	g_hash_table_unref(k->conns);
	group_free(k->group);
	if (k->leader)
		k->ops->end(k->leader);
	mirror_free(k->mirror);
	routing_follow_free(k->follow);
	stream_log_free(k->streams);
	g_free(k);
}

static bool start_parts(struct control_role *k, GError **error)
{
	struct daemon *d = k->d;
	struct conn_options conn = daemon_conn_options(d, &conn_table, k);
	struct operator_options oo = { .base = d->base,
				       .addr = d->config.ctl.operator_listen,
				       .token_file = d->config.ctl.token_file,
				       .ops = &operator_table,
				       .arg = k,
				       .denied = k->n_denied };
	struct vms_options vo = { .base = d->base,
				  .addr = d->config.ctl.platform,
				  .list = on_vms,
				  .arg = k };
	struct remote_agents_options ro = { .daemon = d };
	char *addr;

	k->group = group_new(d, &group_table, k, error);
	if (!k->group)
		return false;
	k->listener = conn_listen(&conn, d->config.listen, error);
	if (!k->listener)
		return false;
	addr = daemon_advertised_addr(d, k->listener);
	group_set_addr(k->group, addr);
	ro.adapter_addr = addr;
	ro.routing = routing_follow_table(k->follow);
	k->remote = remote_agents_new(&ro);
	g_free(addr);
	if (d->config.fleet.on)
		return start_routing(k, error);
	k->operators = operator_new(&oo, error);
	if (!k->operators)
		return false;
	if (*vo.addr)
		k->vms = vms_new(&vo);
	return true;
}

static void *control_start(struct daemon *d, GError **error)
{
	struct control_role *k = g_new0(struct control_role, 1);
	struct mirror_options mo = { .ops = &mirror_table, .arg = k };
	struct routing_follow_options fo = { d, on_routing, on_unreadable, k };

	k->d = d;
	k->mirror = mirror_new(&mo, ss_clock_now(&d->clock));
	k->follow = routing_follow_new(&fo);
	k->streams = stream_log_new(STREAM_LOG_CAPACITY);
	k->conns = g_hash_table_new(NULL, NULL);
	k->ops = d->config.fleet.on ? &fleet_leader_ops : &replica_leader_ops;
	k->n_denied = metrics_value(d->metrics, "ss_operator_denied_total", "");
	if (!start_parts(k, error)) {
		control_free(k);
		return NULL;
	}
	k->tick = daemon_every(d, TICK_MS, on_tick, k);
	return k;
}

static void control_stop(void *role)
{
	struct control_role *k = role;

	k->stop_ms = ss_clock_now(&k->d->clock);
	group_leave(k->group);
}

const struct role_ops control_role = { "control", control_start, control_stop,
				       control_ready, control_free };
