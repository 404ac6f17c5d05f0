/* The fleet leader: its message dispatch, its periodic work and its status. */
#include "fleet_leader_int.h"

#include <json-c/json.h>

#include "../../platform/platform.h"

/* Poll interval of the VM list: a third of the time within which calls must
 * stop going to a draining endpoint, so that one lost answer does no harm. */
#define LIST_POLL_MS 900
/* Changes are batched for this long, which bounds the delay of a call. */
#define PUSH_INTERVAL_MS 20
/* Interval of pushes of changed loads. It is longer, as each entry adds the
 * calls that it sends itself. */
#define LOAD_PUSH_INTERVAL_MS 200
/* Updates to entries take at most 1/PUSH_TIME_SHARE of the leader's time, but
 * delay a change by PUSH_PAUSE_MAX_MS at most. */
#define PUSH_TIME_SHARE 10
#define PUSH_PAUSE_MAX_MS 100
/* Interval of placement passes while no caller waits: a seventh of a load from
 * disk, the shortest step. A pass over a large fleet takes longer and its
 * result changes no faster, so passes take at most 1/PLAN_TIME_SHARE of the
 * leader's time. */
#define PLAN_INTERVAL_MS 50
#define PLAN_TIME_SHARE 50
#define PLAN_PAUSE_MAX_MS 500
/* While callers wait, planning runs at the next tick and may take a tenth of
 * the leader's time. */
#define URGENT_TIME_SHARE 10
#define URGENT_PAUSE_MAX_MS 100

/* The configuration. */

static void update_preset(struct fleet_leader *l)
{
	const struct ss_state *s = group_state(l->g);
	const struct preset_rec *p = ss_state_in_force(s);
	struct preset preset;
	GError *error = NULL;

	if (l->preset_version == ss_state_config_version(s) &&
	    l->preset.classes)
		return;
	/* The preset was validated before it was accepted. */
	if (preset_parse(&preset, "preset",
			 p ? p->body : ss_str(preset_built_in), &error)) {
		preset_clear(&l->preset);
		l->preset = preset;
	} else {
		log_error("preset_unreadable", "why=\"%s\"", error->message);
		g_error_free(error);
	}
	l->preset_version = ss_state_config_version(s);
}

/* Peers. */

static void on_open(void *arg, struct conn *c)
{
	fleet_peer_open(arg, c);
}

static void on_closed(void *arg, struct conn *c)
{
	fleet_peer_closed(arg, c);
}

static void on_message(void *arg, struct conn *c, struct frame *f)
{
	struct fleet_leader *l = arg;
	struct fleet_ep *ep;

	switch (f->kind) {
	case MSG_ENDPOINT:
		fleet_apply_agent_report(l, c, &f->u.endpoint);
		break;
	case MSG_LOADED:
		ep = fleet_peer_engine(g_hash_table_lookup(l->peers, c));
		if (ep)
			fleet_steps_done(l, ep, &f->u.loaded);
		break;
	case MSG_DEMAND:
		fleet_apply_entry_report(l, c, &f->u.demand);
		break;
	case MSG_RUN_OUTCOMES:
		fleet_suspects_apply(l, &f->u.run_outcomes);
		break;
	case MSG_TRIAL:
		fleet_suspects_request(l, c, &f->u.trial);
		break;
	case MSG_STREAMS:
		fleet_streams_apply(l, &f->u.streams);
		break;
	case MSG_STREAM_REQUEST:
		fleet_streams_request(l, c, &f->u.stream_request);
		break;
	case MSG_QUOTA_REQUEST:
		fleet_quota_request(l, c, &f->u.quota_request);
		break;
	case MSG_LIMIT_REQUEST:
		fleet_limit_request(l, c, &f->u.quota_request);
		break;
	default:
		break;
	}
}

static void on_list(void *arg, struct fleet_list *all)
{
	fleet_apply_list(arg, all);
}

/* Periodic work. */

static void on_applied(void *arg)
{
	struct fleet_leader *l = arg;

	update_preset(l);
	fleet_send_routing(l);
	fleet_quarantine_log_applied(l);
	l->dirty = true;
}

static bool plan_is_due(const struct fleet_leader *l, int64_t now)
{
	int64_t pause =
		l->urgent ? fleet_pause_ms(l->plan_took_ms, URGENT_TIME_SHARE,
					   0, URGENT_PAUSE_MAX_MS) :
			    fleet_pause_ms(l->plan_took_ms, PLAN_TIME_SHARE,
					   PLAN_INTERVAL_MS, PLAN_PAUSE_MAX_MS);

	return now - l->plan_ms >= pause;
}

static void plan(struct fleet_leader *l, int64_t now)
{
	l->urgent = false;
	fleet_work_add(l, WORK_PLANS, 1);
	fleet_expire_demand(l, now);
	fleet_steps_plan(l, now);
	l->plan_ms = fleet_leader_now(l);
	l->plan_took_ms = l->plan_ms - now;
}

static void push(struct fleet_leader *l, int64_t now)
{
	bool load_due = now - l->load_push_ms >= LOAD_PUSH_INTERVAL_MS;
	int64_t pause = fleet_pause_ms(l->push_took_ms, PUSH_TIME_SHARE,
				       PUSH_INTERVAL_MS, PUSH_PAUSE_MAX_MS);

	l->dirty |= load_due && l->loads_pending;
	if (!l->dirty || (!load_due && now - l->push_ms < pause))
		return;
	l->dirty = false;
	if (load_due)
		l->load_push_ms = now;
	fleet_push_changes(l, load_due);
	fleet_push_snapshots(l);
	l->push_ms = fleet_leader_now(l);
	l->push_took_ms = l->push_ms - now;
}

static void on_tick(void *arg)
{
	struct fleet_leader *l = arg;
	int64_t now = fleet_leader_now(l);

	if (plan_is_due(l, now))
		plan(l, now);
	fleet_steps_run(l, now);
	fleet_push_tick(l, now);
	fleet_remote_tick(l, now);
	fleet_suspects_tick(l, now);
	fleet_quota_tick(l, now);
	fleet_streams_tick(l, now);
	fleet_streams_log_tick(l, now);
	fleet_work_tick(l, now);
	push(l, now);
}

static void *begin(struct daemon *d, struct group *g, struct routing *r,
		   struct stream_log *streams)
{
	struct fleet_leader *l = g_new0(struct fleet_leader, 1);
	struct metrics *m = d->metrics;
	struct instances_options o = { .base = d->base,
				       .platform = &users_platform,
				       .addr = d->config.fleet.vm_list,
				       .poll_interval_ms = LIST_POLL_MS,
				       .metrics = m,
				       .list = on_list,
				       .arg = l };

	l->d = d;
	l->g = g;
	l->routing = routing_ref(r);
	l->fence = ss_raft_term(group_raft(g));
	l->since_ms = fleet_leader_now(l);
	send_window_init(&l->window, l->since_ms);
	l->store_ms = l->since_ms;
	l->peers = g_hash_table_new_full(NULL, NULL, NULL, fleet_peer_free);
	l->eps = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				       fleet_ep_free);
	l->demands = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   fleet_demand_free);
	l->n_steps = metrics_value(m, "ss_fleet_steps_total", "");
	l->n_store = metrics_value(m, "ss_fleet_loads_total", "from=\"store\"");
	l->n_disk = metrics_value(m, "ss_fleet_loads_total", "from=\"disk\"");
	l->n_memory =
		metrics_value(m, "ss_fleet_loads_total", "from=\"memory\"");
	l->n_failed = metrics_value(m, "ss_fleet_steps_failed_total", "");
	l->load_hist = metrics_hist(m, "ss_fleet_load_ms", "");
	fleet_work_begin(l);
	fleet_suspects_begin(l);
	fleet_quota_begin(l);
	fleet_streams_begin(l, streams);
	fleet_streams_log_begin(l);
	update_preset(l);
	fleet_send_routing(l);
	l->list = instances_new(&o);
	instances_set_polling(l->list, true);
	return l;
}

static void end(void *arg)
{
	struct fleet_leader *l = arg;

	instances_free(l->list);
	g_hash_table_unref(l->peers);
	g_hash_table_unref(l->eps);
	g_hash_table_unref(l->demands);
	fleet_suspects_end(l);
	fleet_quota_end(l);
	fleet_streams_end(l);
	routing_unref(l->routing);
	preset_clear(&l->preset);
	g_free(l);
}

static void on_status(void *arg, json_object *o)
{
	struct fleet_leader *l = arg;
	json_object *list = json_object_new_array();
	GHashTableIter it;
	void *p;

	g_hash_table_iter_init(&it, l->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct fleet_ep *ep = p;
		json_object *e = json_object_new_object();

		json_object_object_add(e, "addr",
				       json_object_new_string(ep->addr));
		json_object_object_add(e, "id",
				       json_object_new_string(ep->self.id));
		json_object_object_add(e, "service",
				       json_object_new_string(ep->service));
		json_object_object_add(
			e, "usable",
			json_object_new_boolean(fleet_ep_usable(l, ep)));
		json_object_object_add(
			e, "agent", json_object_new_boolean(ep->conn != NULL));
		json_object_object_add(
			e, "rests",
			json_object_new_boolean(fleet_leader_now(l) <
						ep->backoff_until_ms));
		json_object_object_add(
			e, "says_leaving",
			json_object_new_boolean(ep->signals_draining));
		if (ep->limit.per_s >= 0)
			json_object_object_add(
				e, "limit_per_s",
				json_object_new_double(ep->limit.per_s));
		json_object_object_add(
			e, "loads",
			json_object_new_string(ep->step.load ? ep->step.load :
							       ""));
		json_object_array_add(list, e);
	}
	json_object_object_add(o, "endpoints", list);
	fleet_suspects_status(l, o);
	fleet_quota_status(l, o);
	json_object_object_add(
		o, "routing",
		json_object_new_int64((int64_t)l->routing->version));
}

const struct leader_ops fleet_leader_ops = { begin,	end,	    on_open,
					     on_closed, on_message, on_applied,
					     on_tick,	on_status };
