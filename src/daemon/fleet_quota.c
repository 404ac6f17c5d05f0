/* The fleet leader as the allocator of grants: of customers' limits, and of
 * endpoints' own limits. */
#include "fleet_leader_int.h"

#include <json-c/json.h>

/* Time in ms after which an entry repeats a request for a customer that the
 * leader's routing lacks: the entry's routing may be newer. */
#define UNKNOWN_RETRY_MS 200
#define PRUNE_INTERVAL_MS 1000
/* Maximum number of customers in a status, about 100 KB. */
#define STATUS_CUSTOMERS_MAX 1000

void fleet_quota_begin(struct fleet_leader *l)
{
	const struct config_fleet *c = &l->d->config.fleet;
	struct quota_options o = { { c->quota_window_s, c->quota_overage,
				     c->quota_extra } };

	l->quota_allocator = quota_lease.allocator_new(&o, l->since_ms);
	l->n_quota_requests =
		metrics_value(l->d->metrics, "ss_fleet_quota_asks_total", "");
	l->limit_allocator =
		quota_lease.allocator_new(&endpoint_limit_quota, l->since_ms);
	l->n_limit_requests =
		metrics_value(l->d->metrics, "ss_fleet_limit_asks_total", "");
}

void fleet_quota_end(struct fleet_leader *l)
{
	quota_lease.allocator_free(l->quota_allocator);
	quota_lease.allocator_free(l->limit_allocator);
}

/* An allocator, and the function that finds its limits. */
struct quota_kind {
	enum msg_kind reply;
	void *allocator;
	/* Fills in the limit for the name in a request; returns false if the
	 * leader doesn't know the name. */
	bool (*find)(struct fleet_leader *l, const char *name,
		     struct customer *out);
};

static bool find_customer(struct fleet_leader *l, const char *name,
			  struct customer *out)
{
	const struct customer *c =
		customers_named(&l->routing->customers, name);

	if (c)
		*out = *c;
	return c != NULL;
}

static bool find_endpoint(struct fleet_leader *l, const char *name,
			  struct customer *out)
{
	const struct fleet_ep *ep = g_hash_table_lookup(l->eps, name);

	if (!ep || ep->limit.per_s < 0)
		return false;
	*out = endpoint_limit_as_customer(&ep->limit, ep->addr);
	return true;
}

static void reply_requests(struct fleet_leader *l, struct conn *conn,
			   const struct quota_kind *k,
			   const struct msg_quota_request *m)
{
	const struct quota_request *requests = m->requests.items;
	GArray *replies = g_array_new(FALSE, FALSE, sizeof(struct quota_reply));
	uint64_t holder = conn_peer(conn)->incarnation;
	struct msg_quota_reply out = { { 0 } };

	for (size_t i = 0; i < m->requests.n; i++) {
		struct quota_reply reply = { .customer = requests[i].customer,
					     .number = requests[i].number,
					     .retry_after_ms =
						     UNKNOWN_RETRY_MS };
		char *name = ss_str_dup(requests[i].customer);
		struct customer c;

		if (!k->find(l, name, &c) ||
		    quota_lease.allocator_request(k->allocator, holder, &c,
						  &requests[i],
						  fleet_leader_now(l), &reply))
			g_array_append_val(replies, reply);
		g_free(name);
	}
	out.replies = (struct wire_list){ replies->data, replies->len };
	if (replies->len)
		conn_send(conn, k->reply, &out);
	g_array_unref(replies);
}

void fleet_quota_request(struct fleet_leader *l, struct conn *conn,
			 const struct msg_quota_request *m)
{
	struct quota_kind k = { MSG_QUOTA_REPLY, l->quota_allocator,
				find_customer };

	*l->n_quota_requests += m->requests.n;
	reply_requests(l, conn, &k, m);
}

void fleet_limit_request(struct fleet_leader *l, struct conn *conn,
			 const struct msg_quota_request *m)
{
	struct quota_kind k = { MSG_LIMIT_REPLY, l->limit_allocator,
				find_endpoint };

	*l->n_limit_requests += m->requests.n;
	reply_requests(l, conn, &k, m);
}

/* Does nothing if the entry has a newer connection already. */
void fleet_quota_client_lost(struct fleet_leader *l, const struct conn *conn)
{
	uint64_t holder = conn_peer(conn)->incarnation;
	GHashTableIter it;
	void *other;

	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, &other, NULL))
		if (other != conn && conn_peer(other)->incarnation == holder)
			return;
	quota_lease.allocator_client_lost(l->quota_allocator, holder,
					  fleet_leader_now(l));
	quota_lease.allocator_client_lost(l->limit_allocator, holder,
					  fleet_leader_now(l));
}

void fleet_quota_tick(struct fleet_leader *l, int64_t now)
{
	if (now - l->quota_pruned_ms < PRUNE_INTERVAL_MS)
		return;
	l->quota_pruned_ms = now;
	quota_lease.allocator_prune(l->quota_allocator, now);
	quota_lease.allocator_prune(l->limit_allocator, now);
}

/* Returns a customer's status, which shows only the number of its keys. */
static json_object *status_of(struct fleet_leader *l, const struct customer *c)
{
	json_object *o = json_object_new_object();
	struct quota_account_view s = { 0 };

	quota_lease.allocator_view(l->quota_allocator, c->name,
				   fleet_leader_now(l), &s);
	json_object_object_add(o, "name", json_object_new_string(c->name));
	json_object_object_add(o, "keys", json_object_new_int64(c->keys->len));
	json_object_object_add(o, "unit",
			       json_object_new_string(c->limit.tokens ?
							      "tokens" :
							      "requests"));
	json_object_object_add(o, "per_s",
			       json_object_new_double(c->limit.per_s));
	json_object_object_add(o, "burst",
			       json_object_new_double(c->limit.burst));
	json_object_object_add(o, "left", json_object_new_double(s.level));
	json_object_object_add(o, "held",
			       json_object_new_double(s.outstanding));
	json_object_object_add(o, "entries",
			       json_object_new_int64((int64_t)s.entries));
	json_object_object_add(o, "granted", json_object_new_double(s.granted));
	json_object_object_add(o, "refused", json_object_new_double(s.refused));
	return o;
}

void fleet_quota_status(struct fleet_leader *l, json_object *o)
{
	json_object *list = json_object_new_array();
	GHashTableIter it;
	void *c;

	g_hash_table_iter_init(&it, l->routing->customers.by_name);
	while (json_object_array_length(list) < STATUS_CUSTOMERS_MAX &&
	       g_hash_table_iter_next(&it, NULL, &c))
		json_object_array_add(list, status_of(l, c));
	json_object_object_add(o, "customers", list);
}
