/* What a leader knows of a fleet. */
#include "fleet_lead_int.h"

#include <json-c/json.h>
#include <math.h>

#include "../../platform/platform.h"

/* How often the list is read: a third of the time in which a leaving
 * endpoint must be left, so that one lost answer does no harm. */
#define LIST_EVERY_MS 900
/* An endpoint that the list and its agent have both forgotten is dropped. */
#define LIST_GONE_MS 2500
/* Changes are gathered for so long; a call waits for no more than that. */
#define PUSH_EVERY_MS 20
/* Load alone is told this often: entries add what they send themselves. */
#define LOAD_EVERY_MS 200
/* And no more of the leader's time than a tenth; but for a fleet that is larger
 * than any that is planned a change waits no longer than this. */
#define PUSH_PART 10
#define PUSH_MOST_MS 100
/* So often is planned where nobody waits: a seventh of a load from disk, the
 * step that is over first. A pass over a large fleet takes its time, and what
 * it finds changes no faster: it gets a fiftieth of the leader's. */
#define PLAN_EVERY_MS 50
#define PLAN_PART 50
#define PLAN_MOST_MS 500
/* Where callers wait, at the next tick, and a tenth of its time. */
#define PLAN_URGENT_PART 10
#define PLAN_URGENT_MOST_MS 100
/* A new leader begins with a list that isn't whole after so long: three
 * readings, and it waits no longer for its agents either. */
#define LIST_PARTS_MS 3000
/* A share of failures that differs by more is told: as one call more there. */
#define FAILING_NEWS 0.05
/* What an entry said of its queue holds for so long. */
#define WANT_MS 3000

/* The configuration. */

static void read_state(struct fleet_lead *l)
{
	const struct ss_state *s = group_state(l->g);
	const struct preset_rec *p = ss_state_in_force(s);
	struct preset preset;
	GError *error = NULL;

	if (l->preset_version == ss_state_config_version(s) &&
	    l->preset.classes)
		return;
	/* It was checked before it was accepted. */
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

static struct fleet_ep *ep_of_agent(const struct fleet_peer *p)
{
	return p && p->owned->len ? p->owned->pdata[0] : NULL;
}

/* An agent needs the services only, and is told when these change. */
static uint64_t routing_for(const struct fleet_lead *l,
			    const struct fleet_peer *p)
{
	const struct document *d = ss_state_routing(group_state(l->g));

	return p->entry ? document_version(d) : document_services(d);
}

/*
 * The version in force, of which all fetch the routing from the control VMs;
 * and to the owner of an engine its fence. An agent that owns none hears
 * nothing: it may order nothing.
 */
static void tell_term(struct fleet_lead *l, struct fleet_peer *p)
{
	const struct fleet_ep *ep = p->entry ? NULL : ep_of_agent(p);
	struct msg_term m = { .routing = routing_for(l, p) };

	if (!p->entry && !ep)
		return;
	m.fence = ep ? fleet_ep_fence(l, ep) : l->fence;
	if (conn_send(p->conn, MSG_TERM, &m))
		p->routing_told = m.routing;
}

static bool is_behind(const struct fleet_lead *l, const struct fleet_peer *p)
{
	return p->entry && p->routing < l->routing_told;
}

static void count_behind(struct fleet_lead *l)
{
	GHashTableIter it;
	void *p;

	l->behind = 0;
	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		l->behind += is_behind(l, p);
}

static void tell_routing(struct fleet_lead *l)
{
	uint64_t version =
		document_version(ss_state_routing(group_state(l->g)));
	GHashTableIter it;
	void *v;

	if (version != l->routing_told) {
		l->routing_told = version;
		l->routing_ms = fleet_lead_now(l);
		count_behind(l);
	}
	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct fleet_peer *p = v;

		if (p->confirmed && p->routing_told < routing_for(l, p))
			tell_term(l, p);
	}
}

/* Log once when all entries that are heard follow the version in force. */
static void note_routing(struct fleet_lead *l)
{
	uint64_t version = l->routing_told;

	if (l->behind || l->routing_everywhere == version)
		return;
	l->routing_everywhere = version;
	log_info("routing_everywhere", "version=%" PRIu64 " ms=%" PRId64,
		 version, fleet_lead_now(l) - l->routing_ms);
}

/* An entry has told what it follows. */
static void take_version(struct fleet_lead *l, struct fleet_peer *p,
			 uint64_t version)
{
	l->behind -= is_behind(l, p);
	p->routing = version;
	l->behind += is_behind(l, p);
	note_routing(l);
}

/* Connections. */

struct confirm {
	struct fleet_lead *l;
	struct conn *conn;
};

static void on_confirmed(void *arg, bool ok)
{
	struct confirm *k = arg;
	struct fleet_peer *p;

	/* Not ok: the leadership has ended, and l with it. */
	if (ok) {
		p = g_hash_table_lookup(k->l->peers, k->conn);
		if (p) {
			p->confirmed = true;
			tell_term(k->l, p);
			k->l->dirty = k->l->urgent = true;
		}
	}
	g_free(k);
}

/*
 * A process that has just started would believe a leader that doesn't know
 * of its end. So it is told nothing before a majority has answered this
 * leader since it came.
 */
static void on_open(void *arg, struct conn *c)
{
	struct fleet_lead *l = arg;
	struct fleet_peer *p = fleet_peer_new(c);
	struct confirm *k = g_new0(struct confirm, 1);

	p->entry = conn_peer(c)->role == ROLE_ENTRY;
	g_hash_table_insert(l->peers, c, p);
	l->entries += p->entry;
	l->behind += is_behind(l, p);
	k->l = l;
	k->conn = c;
	group_confirm(l->g, (struct read_done){ on_confirmed, k });
}

static void lose_agent(struct fleet_lead *l, struct fleet_ep *ep)
{
	log_info("agent_lost", "endpoint=%s", ep->addr);
	fleet_ep_owned_by(l, ep, NULL);
	ep->down = false;
	ep->changed = true;
}

static void on_closed(void *arg, struct conn *c)
{
	struct fleet_lead *l = arg;
	struct fleet_peer *gone = g_hash_table_lookup(l->peers, c);

	if (!gone)
		return;
	fleet_push_lost(l, gone);
	if (gone->entry)
		fleet_quota_gone(l, c);
	l->entries -= gone->entry;
	l->behind -= is_behind(l, gone);
	fleet_drop_calls(l, gone);
	fleet_drop_wants(l, gone);
	while (gone->owned->len)
		lose_agent(l, gone->owned->pdata[0]);
	g_hash_table_remove(l->peers, c);
	note_routing(l);
	l->dirty = true;
}

/* Incarnations. */

/* Nothing that is known or was ordered of the former one holds. */
static void forget_former(struct fleet_lead *l, struct fleet_ep *ep,
			  int64_t started_ms)
{
	log_info("endpoint_restarted",
		 "addr=%s id=%s started=%" PRId64 " before=%" PRId64, ep->addr,
		 ep->self.id, started_ms, ep->self.started_ms);
	fleet_step_restarted(l, ep);
	g_hash_table_remove_all(ep->calls);
	memset(&ep->failing, 0, sizeof(ep->failing));
	memset(&ep->failing_told, 0, sizeof(ep->failing_told));
	g_hash_table_remove_all(ep->refused);
	fleet_report_clear(&ep->report);
	ep->reported = ep->leaving_listed = false;
	g_ptr_array_unref(ep->on_list);
	ep->on_list = g_ptr_array_new_with_free_func(g_free);
	ep->changed = l->dirty = l->urgent = true;
}

/*
 * Whose word it is. The list tells a new id long after the agent told the new
 * start: what has come since of that start holds, only the id is news.
 */
static enum fleet_told learn(struct fleet_lead *l, struct fleet_ep *ep,
			     const struct fleet_incarnation *told)
{
	enum fleet_told how = fleet_incarnation_judge(&ep->self, told);

	if (how == FLEET_RESTARTED && ep->self.started_ms && told->started_ms &&
	    ep->self.started_ms != told->started_ms)
		forget_former(l, ep, told->started_ms);
	fleet_incarnation_learn(&ep->self, told);
	return how;
}

/* Agents. */

/* Whether it may speak for the engine; a new owner is told its fence. */
static bool owns(struct fleet_lead *l, struct fleet_ep *ep, struct conn *c,
		 bool remote)
{
	char *name = ss_str_dup(conn_peer(c)->name);
	enum owner_claim claim =
		owner_hear(&ep->owner, name, remote, fleet_lead_now(l));
	struct fleet_peer *p = g_hash_table_lookup(l->peers, c);

	if (claim == OWNER_TAKES)
		log_info("engine_owner",
			 "endpoint=%s name=%s remote=%d fence=%" PRIu64,
			 ep->addr, name, remote, fleet_ep_fence(l, ep));
	g_free(name);
	if (claim == OWNER_WAITS)
		return false;
	if (ep->conn == c)
		return true;
	fleet_ep_owned_by(l, ep, c);
	if (p && p->confirmed)
		tell_term(l, p);
	return true;
}

static void take_endpoint(struct fleet_lead *l, struct conn *c,
			  const struct msg_endpoint *m)
{
	char *addr = ss_str_dup(m->addr);
	struct fleet_ep *ep = fleet_ep_for(l, addr);
	struct fleet_report r;
	enum fleet_told how;

	g_free(addr);
	if (!owns(l, ep, c, m->remote))
		return;
	fleet_work(l, WORK_AGENTS, 1);
	ss_str_set(&ep->agent, m->agent);
	if (!m->reachable) {
		if (ep->reported)
			log_info("endpoint_silent", "endpoint=%s", ep->addr);
		ep->reported = false;
		ep->down = ep->changed = l->dirty = true;
		return;
	}
	ep->down = false;
	fleet_report_read(&r, m);
	how = learn(l, ep, &r.self);
	if (how == FLEET_LATE) {
		fleet_report_clear(&r);
		return;
	}
	if (how == FLEET_RESTARTED || !ep->reported ||
	    ep->report.leaving != r.leaving || ep->report.busy != r.busy ||
	    !fleet_same_models(ep->report.held, r.held))
		ep->changed = l->urgent = true;
	ep->adapters_changed |= !fleet_same_held(ep->report.held, r.held);
	ep->load_changed |= ep->report.running != r.running ||
			    ep->report.waiting != r.waiting;
	fleet_report_clear(&ep->report);
	ep->report = r;
	ep->reported = true;
	ep->report_ms = fleet_lead_now(l);
	l->dirty = true;
}

/* Entries. */

static void take_wait(struct fleet_lead *l, struct fleet_peer *p,
		      const struct model_demand *m)
{
	char *service = ss_str_dup(m->service), *model = ss_str_dup(m->model);
	struct fleet_want *w = fleet_want_for(l, service, model);
	int64_t now = fleet_lead_now(l);
	struct wait_at at = { .waiting = m->waiting,
			      .due_ms = now + m->slack_ms,
			      .at_ms = now };

	g_free(service);
	g_free(model);
	if (m->arrivals)
		fleet_rate_add(&w->rate, m->arrivals, now);
	fleet_want_drop(l, w, p);
	if (m->waiting) {
		fleet_want_add(w, p, &at);
		/* An entry that waits wants to hear at once when. */
		w->eta_changed = true;
		l->urgent = true;
	}
	l->dirty = true;
}

/* Calls of a former incarnation have ended with it. */
static bool is_former(const struct fleet_ep *ep, int64_t started_ms)
{
	struct fleet_incarnation told = { NULL, started_ms };

	return fleet_incarnation_judge(&ep->self, &told) == FLEET_LATE;
}

static void take_calls(struct fleet_lead *l, struct fleet_peer *p,
		       const struct wire_list *list)
{
	const struct endpoint_calls *e = list->items;

	fleet_drop_calls(l, p);
	fleet_work(l, WORK_VISITS, list->n);
	for (size_t i = 0; i < list->n; i++) {
		char *addr = ss_str_dup(e[i].addr);
		struct fleet_ep *ep = g_hash_table_lookup(l->eps, addr);

		g_free(addr);
		if (ep && !is_former(ep, e[i].started_ms))
			fleet_ep_add_calls(ep, p, &e[i].models);
	}
}

/*
 * One entry of a hundred calls an endpoint so seldom that it learns nothing of
 * it by itself; so what each has seen is added up, and told to all.
 */
static void take_ends(struct fleet_lead *l, const struct wire_list *list)
{
	const struct endpoint_ends *e = list->items;
	int64_t now = fleet_lead_now(l);

	for (size_t i = 0; i < list->n; i++) {
		char *addr = ss_str_dup(e[i].addr);
		struct fleet_ep *ep = g_hash_table_lookup(l->eps, addr);

		g_free(addr);
		if (!ep || is_former(ep, e[i].started_ms))
			continue;
		failing_note(&ep->failing, e[i].failed, e[i].answered, now);
		if (fabs(failing_share(&ep->failing, now) -
			 failing_share(&ep->failing_told, now)) > FAILING_NEWS)
			ep->load_changed = true;
	}
}

static void take_demand(struct fleet_lead *l, struct conn *c,
			const struct msg_demand *m)
{
	struct fleet_peer *p = g_hash_table_lookup(l->peers, c);
	const struct model_demand *d = m->models.items;

	if (!p)
		return;
	fleet_work(l, WORK_REPORTS, 1);
	p->round = MAX(p->round, m->round);
	take_version(l, p, m->routing);
	fleet_push_confirmed(l, p);
	for (size_t i = 0; i < m->models.n; i++)
		take_wait(l, p, &d[i]);
	take_calls(l, p, &m->calls);
	take_ends(l, &m->ends);
	l->dirty = true;
}

static void on_message(void *arg, struct conn *c, struct frame *f)
{
	struct fleet_lead *l = arg;
	struct fleet_ep *ep;

	switch (f->kind) {
	case MSG_ENDPOINT:
		take_endpoint(l, c, &f->u.endpoint);
		break;
	case MSG_LOADED:
		ep = ep_of_agent(g_hash_table_lookup(l->peers, c));
		if (ep)
			fleet_steps_done(l, ep, &f->u.loaded);
		break;
	case MSG_DEMAND:
		take_demand(l, c, &f->u.demand);
		break;
	case MSG_ENDS:
		fleet_suspects_take(l, &f->u.ends);
		break;
	case MSG_TRIAL:
		fleet_suspects_ask(l, c, &f->u.trial);
		break;
	case MSG_QUOTA_ASK:
		fleet_quota_ask(l, c, &f->u.quota_ask);
		break;
	default:
		break;
	}
}

/* The list. */

/*
 * The list tells of a restart a second late and more, while the engine's agent
 * asks the engine itself. Requests name the id: by the list's the engine would
 * refuse all of them until then.
 */
static bool is_outdated(const struct fleet_lead *l, const struct fleet_ep *ep,
			const struct fleet_incarnation *listed)
{
	return ep->conn && fleet_ep_reported(l, ep) &&
	       fleet_other_id(&ep->report.self, listed);
}

/*
 * An entry of a former incarnation still tells whose the address is, and that
 * it is listed; what it held and that it was leaving is over.
 */
static void take_instance(struct fleet_lead *l, const struct fleet_instance *i,
			  int64_t now)
{
	static const GPtrArray none;
	struct fleet_ep *ep = fleet_ep_for(l, i->addr);
	struct fleet_incarnation told = fleet_instance_self(i);
	bool first = !*ep->self.id;
	bool late, leaving, news;
	enum fleet_told how;
	const GPtrArray *models;

	if (ep->listed &&
	    fleet_incarnation_judge(&ep->self, &told) == FLEET_SAME &&
	    fleet_service_spoiled(l->routing, ep->service, i->service)) {
		fleet_ep_unreadable(l, ep, now);
		return;
	}
	fleet_ep_readable(l, ep, now);
	how = is_outdated(l, ep, &told) ? FLEET_LATE : learn(l, ep, &told);
	late = how == FLEET_LATE;
	leaving = i->leaving && !late;
	models = late ? &none : i->models;
	news = first || how == FLEET_RESTARTED ||
	       strcmp(ep->service, i->service) || !ep->listed ||
	       ep->leaving_listed != leaving;
	if (news || (!ep->reported && !fleet_same_names(ep->on_list, models)))
		ep->changed = l->dirty = true;
	if (news)
		log_info("endpoint",
			 "addr=%s id=%s started=%" PRId64
			 " service=%s leaving=%d models=%u late=%d",
			 i->addr, i->id, i->started_ms, i->service, leaving,
			 models->len, late);
	ss_str_set(&ep->service, ss_str(i->service));
	ss_str_set(&ep->domain, ss_str(i->domain ? i->domain : ""));
	ep->slots = i->slots;
	ep->listed = true;
	ep->leaving_listed = leaving;
	ep->listed_ms = now;
	g_ptr_array_unref(ep->on_list);
	ep->on_list = late ? g_ptr_array_new_with_free_func(g_free) :
			     g_ptr_array_ref(i->models);
}

static void on_list(void *arg, struct fleet_list *all)
{
	struct fleet_lead *l = arg;
	int64_t now = fleet_lead_now(l);
	GHashTable *by_addr;
	GHashTableIter it;
	void *p;

	fleet_list_settle(all, l->routing);
	by_addr = fleet_instances_by_addr(all->instances);
	g_hash_table_iter_init(&it, by_addr);
	while (g_hash_table_iter_next(&it, NULL, &p))
		take_instance(l, p, now);
	g_hash_table_unref(by_addr);
	g_hash_table_iter_init(&it, l->eps);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		struct fleet_ep *ep = p;

		/* The whole list gets one time, so that none of it looks
		 * older than the rest. */
		if (ep->listed && ep->listed_ms != now)
			fleet_ep_unlisted(l, ep, all, now);
		if (!ep->listed && !ep->conn && !ep->step.on && !ep->changed &&
		    now - ep->listed_ms > LIST_GONE_MS)
			g_hash_table_iter_remove(&it);
	}
	/* What is missing from a list in parts would pass for gone. */
	l->list_seen |= all->whole || now - l->since_ms > LIST_PARTS_MS;
}

/* Time. */

static void on_applied(void *arg)
{
	struct fleet_lead *l = arg;

	read_state(l);
	tell_routing(l);
	l->dirty = true;
}

/* What was told so long ago. */
static void forget_waits(struct fleet_lead *l, struct fleet_want *w,
			 int64_t now)
{
	GHashTableIter it;
	void *c, *v;

	g_hash_table_iter_init(&it, w->waits);
	while (g_hash_table_iter_next(&it, &c, &v)) {
		struct fleet_peer *p = g_hash_table_lookup(l->peers, c);

		if (now - ((struct wait_at *)v)->at_ms <= WANT_MS)
			continue;
		g_hash_table_iter_remove(&it);
		if (p)
			g_hash_table_remove(p->wants, w);
	}
}

static void forget_old_waits(struct fleet_lead *l, int64_t now)
{
	GHashTableIter it;
	void *w;

	g_hash_table_iter_init(&it, l->wants);
	while (g_hash_table_iter_next(&it, NULL, &w))
		if (g_hash_table_size(((struct fleet_want *)w)->waits))
			forget_waits(l, w, now);
}

static bool plan_is_due(const struct fleet_lead *l, int64_t now)
{
	int64_t pause = l->urgent ? fleet_pause_ms(l->plan_took_ms,
						   PLAN_URGENT_PART, 0,
						   PLAN_URGENT_MOST_MS) :
				    fleet_pause_ms(l->plan_took_ms, PLAN_PART,
						   PLAN_EVERY_MS, PLAN_MOST_MS);

	return now - l->plan_ms >= pause;
}

static void plan(struct fleet_lead *l, int64_t now)
{
	l->urgent = false;
	fleet_work(l, WORK_PLANS, 1);
	forget_old_waits(l, now);
	fleet_steps_plan(l, now);
	l->plan_ms = fleet_lead_now(l);
	l->plan_took_ms = l->plan_ms - now;
}

static void push(struct fleet_lead *l, int64_t now)
{
	bool loads = now - l->load_push_ms >= LOAD_EVERY_MS;
	int64_t pause = fleet_pause_ms(l->push_took_ms, PUSH_PART,
				       PUSH_EVERY_MS, PUSH_MOST_MS);

	l->dirty |= loads && l->loads_left;
	if (!l->dirty || (!loads && now - l->push_ms < pause))
		return;
	l->dirty = false;
	if (loads)
		l->load_push_ms = now;
	fleet_push_changes(l, loads);
	fleet_push_whole(l);
	l->push_ms = fleet_lead_now(l);
	l->push_took_ms = l->push_ms - now;
}

static void on_tick(void *arg)
{
	struct fleet_lead *l = arg;
	int64_t now = fleet_lead_now(l);

	if (plan_is_due(l, now))
		plan(l, now);
	fleet_steps_run(l, now);
	fleet_push_tick(l, now);
	fleet_remote_tick(l, now);
	fleet_suspects_tick(l, now);
	fleet_quota_tick(l, now);
	fleet_work_tick(l, now);
	push(l, now);
}

static void *begin(struct daemon *d, struct group *g, struct routing *r)
{
	struct fleet_lead *l = g_new0(struct fleet_lead, 1);
	struct metrics *m = d->metrics;
	struct instances_options o = { .base = d->base,
				       .platform = &users_platform,
				       .addr = d->config.fleet.vm_list,
				       .every_ms = LIST_EVERY_MS,
				       .metrics = m,
				       .list = on_list,
				       .arg = l };

	l->d = d;
	l->g = g;
	l->routing = routing_ref(r);
	l->fence = ss_raft_term(group_raft(g));
	l->since_ms = fleet_lead_now(l);
	send_window_init(&l->window, l->since_ms);
	l->store_ms = l->since_ms;
	l->peers = g_hash_table_new_full(NULL, NULL, NULL, fleet_peer_free);
	l->eps = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				       fleet_ep_free);
	l->wants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 fleet_want_free);
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
	read_state(l);
	tell_routing(l);
	l->list = instances_new(&o);
	instances_run(l->list, true);
	return l;
}

static void end(void *arg)
{
	struct fleet_lead *l = arg;

	instances_free(l->list);
	g_hash_table_unref(l->peers);
	g_hash_table_unref(l->eps);
	g_hash_table_unref(l->wants);
	suspects_free(l->suspects);
	fleet_quota_end(l);
	routing_unref(l->routing);
	preset_clear(&l->preset);
	g_free(l);
}

static void on_status(void *arg, json_object *o)
{
	struct fleet_lead *l = arg;
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

const struct leader_ops fleet_lead_ops = { begin,     end,	  on_open,
					   on_closed, on_message, on_applied,
					   on_tick,   on_status };
