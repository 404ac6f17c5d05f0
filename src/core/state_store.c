/* The replicated state: tables, snapshots and read access. */
#include "state_int.h"

/* Copies a record with its strings, which the wire table locates. */
static void *rec_dup(const struct wire_type *t, const void *rec)
{
	char *copy = g_memdup2(rec, t->size);

	for (size_t i = 0; i < t->n; i++) {
		struct ss_str *s = (void *)(copy + t->fields[i].offset);

		if (t->fields[i].kind == WIRE_STR)
			s->p = ss_str_dup(*s);
	}
	return copy;
}

static void rec_free(const struct wire_type *t, void *rec)
{
	for (size_t i = 0; i < t->n; i++)
		if (t->fields[i].kind == WIRE_STR)
			g_free((char *)((struct ss_str *)((char *)rec +
							  t->fields[i].offset))
				       ->p);
	g_free(rec);
}

static void free_preset(void *r)
{
	rec_free(&preset_wire, r);
}

static void free_model(void *r)
{
	rec_free(&model_wire, r);
}

static void free_node(void *r)
{
	rec_free(&node_wire, r);
}

static void free_replica(void *r)
{
	rec_free(&replica_wire, r);
}

static void free_claim(void *r)
{
	rec_free(&claim_wire, r);
}

static void free_change(void *r)
{
	rec_free(&change_wire, r);
}

static guint claim_hash(const void *p)
{
	const struct ss_str *s = p;
	guint h = 5381;

	for (size_t i = 0; i < s->n; i++)
		h = h * 33 + (unsigned char)s->p[i];
	return h;
}

static gboolean claim_equal(const void *a, const void *b)
{
	return ss_str_eq(*(const struct ss_str *)a, *(const struct ss_str *)b);
}

static void free_streams(void *r)
{
	rec_free(&stream_rec_wire, r);
}

static GHashTable *index_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     (GDestroyNotify)g_ptr_array_unref);
}

struct ss_state *ss_state_new(void)
{
	struct ss_state *s = g_new0(struct ss_state, 1);

	s->presets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   free_preset);
	s->models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  free_model);
	s->nodes =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_node);
	s->replicas = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    free_replica);
	s->by_node = index_new();
	s->by_model = index_new();
	s->claims = g_hash_table_new(claim_hash, claim_equal);
	s->changes = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&s->claim_order);
	g_queue_init(&s->history);
	g_queue_init(&s->quarantines);
	g_queue_init(&s->streams);
	s->in_force = g_strdup("");
	s->routing = document_new();
	s->routing_change = g_string_new(NULL);
	return s;
}

static void state_clear(struct ss_state *s)
{
	g_hash_table_remove_all(s->by_node);
	g_hash_table_remove_all(s->by_model);
	g_hash_table_remove_all(s->presets);
	g_hash_table_remove_all(s->models);
	g_hash_table_remove_all(s->nodes);
	g_hash_table_remove_all(s->replicas);
	g_hash_table_remove_all(s->claims);
	g_hash_table_remove_all(s->changes);
	g_queue_clear_full(&s->claim_order, free_claim);
	g_queue_clear_full(&s->history, free_change);
	g_queue_clear_full(&s->quarantines, g_free);
	g_queue_clear_full(&s->streams, free_streams);
	g_free(s->in_force);
	s->in_force = g_strdup("");
	s->config_version = 0;
	document_free(s->routing);
	s->routing = document_new();
	g_string_truncate(s->routing_change, 0);
}

void ss_state_free(struct ss_state *s)
{
	if (!s)
		return;
	state_clear(s);
	document_free(s->routing);
	g_string_free(s->routing_change, TRUE);
	g_hash_table_unref(s->by_node);
	g_hash_table_unref(s->by_model);
	g_hash_table_unref(s->presets);
	g_hash_table_unref(s->models);
	g_hash_table_unref(s->nodes);
	g_hash_table_unref(s->replicas);
	g_hash_table_unref(s->claims);
	g_hash_table_unref(s->changes);
	g_free(s->in_force);
	g_free(s);
}

static void index_add(GHashTable *index, const char *name,
		      struct replica_rec *r)
{
	GPtrArray *list = g_hash_table_lookup(index, name);

	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(index, g_strdup(name), list);
	}
	g_ptr_array_add(list, r);
}

static void index_remove(GHashTable *index, const char *name,
			 struct replica_rec *r)
{
	GPtrArray *list = g_hash_table_lookup(index, name);

	if (!list)
		return;
	g_ptr_array_remove(list, r);
	if (list->len == 0)
		g_hash_table_remove(index, name);
}

void state_put_preset(struct ss_state *s, const struct preset_rec *p)
{
	struct preset_rec *copy = rec_dup(&preset_wire, p);

	g_hash_table_replace(s->presets, (char *)copy->name.p, copy);
}

void state_put_model(struct ss_state *s, const struct model_rec *m)
{
	struct model_rec *copy = rec_dup(&model_wire, m);

	g_hash_table_replace(s->models, (char *)copy->name.p, copy);
}

void state_put_node(struct ss_state *s, const struct node_rec *n)
{
	struct node_rec *copy = rec_dup(&node_wire, n);

	g_hash_table_replace(s->nodes, (char *)copy->name.p, copy);
}

void state_put_replica(struct ss_state *s, const struct replica_rec *r)
{
	struct replica_rec *copy = rec_dup(&replica_wire, r);

	g_hash_table_insert(s->replicas, &copy->id, copy);
	index_add(s->by_node, copy->node.p, copy);
	index_add(s->by_model, copy->model.p, copy);
}

void state_drop_replica(struct ss_state *s, struct replica_rec *r)
{
	index_remove(s->by_node, r->node.p, r);
	index_remove(s->by_model, r->model.p, r);
	g_hash_table_remove(s->replicas, &r->id);
}

void state_drop_claim(struct ss_state *s, struct claim_rec *c)
{
	g_hash_table_remove(s->claims, &c->key);
	free_claim(c);
}

void state_put_claim(struct ss_state *s, const struct claim_rec *c)
{
	struct claim_rec *copy = rec_dup(&claim_wire, c);
	struct claim_rec *old;

	/* A key may hold zero bytes, so it is copied by length; an empty key
	 * may be a null pointer. */
	if (c->key.n)
		memcpy((char *)copy->key.p, c->key.p, c->key.n);
	g_hash_table_insert(s->claims, &copy->key, copy);
	g_queue_push_tail(&s->claim_order, copy);
	while ((old = g_queue_peek_head(&s->claim_order)) &&
	       (s->claim_order.length > STATE_CLAIMS_MAX ||
		old->at_ms < c->at_ms - STATE_CLAIM_AGE_MS)) {
		g_queue_pop_head(&s->claim_order);
		state_drop_claim(s, old);
	}
}

void state_put_change(struct ss_state *s, const struct change_rec *c)
{
	struct change_rec *copy = rec_dup(&change_wire, c);

	if (copy->id.n)
		g_hash_table_insert(s->changes, (char *)copy->id.p, copy);
	g_queue_push_tail(&s->history, copy);
	while (s->history.length > STATE_CHANGES_MAX) {
		struct change_rec *old = g_queue_pop_head(&s->history);

		if (g_hash_table_lookup(s->changes, old->id.p) == old)
			g_hash_table_remove(s->changes, old->id.p);
		free_change(old);
	}
}

bool state_put_routing(struct ss_state *s, const struct routing_rec *r,
		       GError **error)
{
	struct document_patch *patch;
	bool ok;

	g_string_truncate(s->routing_change, 0);
	if (!r->change.n) {
		document_set_text(s->routing, r->version, r->body);
		return true;
	}
	patch = document_unpack(r->change, error);
	ok = patch && patch->change.version == r->version &&
	     document_apply(s->routing, &patch->change, error);
	if (!ok && error && !*error)
		g_set_error(error, SS_ERROR, SS_ERROR_FRAME,
			    "a change to another version than it says");
	if (ok && patch->change.base) {
		s->routing_base = patch->change.base;
		g_string_append_len(s->routing_change, r->change.p,
				    (gssize)r->change.n);
	}
	document_patch_free(patch);
	return ok;
}

static GList *find_quarantine(struct ss_state *s,
			      const struct quarantine_rec *q)
{
	for (GList *p = s->quarantines.head; p; p = p->next) {
		const struct quarantine_rec *x = p->data;

		if (x->fingerprint_hi == q->fingerprint_hi &&
		    x->fingerprint_lo == q->fingerprint_lo)
			return p;
	}
	return NULL;
}

void state_drop_quarantine(struct ss_state *s, const struct quarantine_rec *q)
{
	GList *p = find_quarantine(s, q);

	if (!p)
		return;
	g_free(p->data);
	g_queue_delete_link(&s->quarantines, p);
}

void state_put_quarantine(struct ss_state *s, const struct quarantine_rec *q)
{
	GList *p = find_quarantine(s, q);

	if (p) {
		*(struct quarantine_rec *)p->data = *q;
		return;
	}
	g_queue_push_tail(&s->quarantines, g_memdup2(q, sizeof(*q)));
	if (s->quarantines.length > STATE_QUARANTINES_MAX)
		g_free(g_queue_pop_head(&s->quarantines));
}

static GList *find_version(const struct ss_state *s, struct ss_str service,
			   struct ss_str version)
{
	for (GList *p = s->streams.head; p; p = p->next) {
		const struct stream_rec *x = p->data;

		if (!x->keys.n && ss_str_eq(x->service, service) &&
		    ss_str_eq(x->version, version))
			return p;
	}
	return NULL;
}

static void drop_streams(struct ss_state *s, GList *p)
{
	free_streams(p->data);
	g_queue_delete_link(&s->streams, p);
}

void state_drop_version(struct ss_state *s, const struct stream_rec *x)
{
	GList *p = find_version(s, x->service, x->version);

	if (p)
		drop_streams(s, p);
}

void state_expire_streams(struct ss_state *s, int64_t wall_ms)
{
	GList *p = s->streams.head;

	while (p) {
		const struct stream_rec *x = p->data;
		GList *next = p->next;

		if (x->keys.n && x->until_ms <= wall_ms)
			drop_streams(s, p);
		p = next;
	}
}

static void drop_oldest_streams(struct ss_state *s)
{
	for (GList *p = s->streams.head; p; p = p->next)
		if (((const struct stream_rec *)p->data)->keys.n) {
			drop_streams(s, p);
			return;
		}
}

void state_put_streams(struct ss_state *s, const struct stream_rec *x)
{
	struct stream_rec *copy;

	if (!x->keys.n && find_version(s, x->service, x->version))
		return;
	copy = rec_dup(&stream_rec_wire, x);
	g_queue_push_tail(&s->streams, copy);
	if (s->streams.length > STATE_STREAMS_MAX)
		drop_oldest_streams(s);
}

/* Copies the records to an array, for encoding; the copies are shallow. */
static struct wire_list collect(GList *recs, const struct wire_type *t)
{
	struct wire_list l = { 0 };
	size_t i = 0;

	l.n = g_list_length(recs);
	l.items = g_malloc0(MAX(l.n, 1) * t->size);
	for (GList *p = recs; p; p = p->next)
		memcpy((char *)l.items + t->size * i++, p->data, t->size);
	return l;
}

static struct wire_list collect_table(GHashTable *h, const struct wire_type *t)
{
	GList *recs = g_hash_table_get_values(h);
	struct wire_list l = collect(recs, t);

	g_list_free(recs);
	return l;
}

GString *ss_state_snapshot(const struct ss_state *s)
{
	struct state_snapshot snap = { .in_force = ss_str(s->in_force),
				       .config_version = s->config_version };
	struct routing_rec routing = { .version =
					       document_version(s->routing) };
	GString *out, *full = NULL;

	if (routing.version) {
		full = document_pack_full(s->routing, true);
		routing.change = ss_str_gs(full);
	}

	snap.presets = collect_table(s->presets, &preset_wire);
	snap.models = collect_table(s->models, &model_wire);
	snap.nodes = collect_table(s->nodes, &node_wire);
	snap.replicas = collect_table(s->replicas, &replica_wire);
	snap.claims = collect(s->claim_order.head, &claim_wire);
	snap.changes = collect(s->history.head, &change_wire);
	snap.quarantines = collect(s->quarantines.head, &quarantine_wire);
	snap.streams = collect(s->streams.head, &stream_rec_wire);
	snap.routing = (struct wire_list){ &routing, full != NULL };
	out = wire_encode(&snapshot_wire, &snap);
	if (full)
		g_string_free(full, TRUE);
	g_free(snap.presets.items);
	g_free(snap.models.items);
	g_free(snap.nodes.items);
	g_free(snap.replicas.items);
	g_free(snap.claims.items);
	g_free(snap.changes.items);
	g_free(snap.quarantines.items);
	g_free(snap.streams.items);
	return out;
}

bool ss_state_restore(struct ss_state *s, struct ss_str bytes)
{
	struct wire_buf buf;
	struct state_snapshot snap;
	bool ok = wire_decode(&buf, bytes, &snapshot_wire, &snap);

	if (!ok)
		goto out;
	state_clear(s);
	g_free(s->in_force);
	s->in_force = ss_str_dup(snap.in_force);
	s->config_version = snap.config_version;
	for (size_t i = 0; i < snap.presets.n; i++)
		state_put_preset(s,
				 (struct preset_rec *)snap.presets.items + i);
	for (size_t i = 0; i < snap.models.n; i++)
		state_put_model(s, (struct model_rec *)snap.models.items + i);
	for (size_t i = 0; i < snap.nodes.n; i++)
		state_put_node(s, (struct node_rec *)snap.nodes.items + i);
	for (size_t i = 0; i < snap.replicas.n; i++)
		state_put_replica(s, (struct replica_rec *)snap.replicas.items +
					     i);
	for (size_t i = 0; i < snap.claims.n; i++)
		state_put_claim(s, (struct claim_rec *)snap.claims.items + i);
	for (size_t i = 0; i < snap.changes.n; i++)
		state_put_change(s,
				 (struct change_rec *)snap.changes.items + i);
	for (size_t i = 0; i < snap.quarantines.n; i++)
		state_put_quarantine(
			s, (struct quarantine_rec *)snap.quarantines.items + i);
	for (size_t i = 0; i < snap.streams.n; i++)
		state_put_streams(s,
				  (struct stream_rec *)snap.streams.items + i);
	ok = !snap.routing.n || state_put_routing(s, snap.routing.items, NULL);
out:
	wire_buf_clear(&buf);
	return ok;
}

const struct preset_rec *ss_state_in_force(const struct ss_state *s)
{
	return g_hash_table_lookup(s->presets, s->in_force);
}

uint64_t ss_state_config_version(const struct ss_state *s)
{
	return s->config_version;
}

struct ss_str ss_state_routing_change(const struct ss_state *s, uint64_t *base)
{
	*base = s->routing_base;
	return ss_str_gs(s->routing_change);
}

const struct document *ss_state_routing(const struct ss_state *s)
{
	return s->routing;
}

const struct preset_rec *ss_state_preset(const struct ss_state *s,
					 const char *name)
{
	return g_hash_table_lookup(s->presets, name);
}

const struct model_rec *ss_state_model(const struct ss_state *s,
				       const char *name)
{
	return g_hash_table_lookup(s->models, name);
}

const struct node_rec *ss_state_node(const struct ss_state *s, const char *name)
{
	return g_hash_table_lookup(s->nodes, name);
}

const struct replica_rec *ss_state_replica(const struct ss_state *s,
					   uint64_t id)
{
	return g_hash_table_lookup(s->replicas, &id);
}

GHashTable *ss_state_presets(const struct ss_state *s)
{
	return s->presets;
}

GHashTable *ss_state_models(const struct ss_state *s)
{
	return s->models;
}

GHashTable *ss_state_nodes(const struct ss_state *s)
{
	return s->nodes;
}

GHashTable *ss_state_replicas(const struct ss_state *s)
{
	return s->replicas;
}

GQueue *ss_state_history(const struct ss_state *s)
{
	return (GQueue *)&s->history;
}

GPtrArray *ss_state_node_replicas(const struct ss_state *s, const char *node)
{
	return g_hash_table_lookup(s->by_node, node);
}

GPtrArray *ss_state_model_replicas(const struct ss_state *s, const char *model)
{
	return g_hash_table_lookup(s->by_model, model);
}

GQueue *ss_state_quarantines(const struct ss_state *s)
{
	return (GQueue *)&s->quarantines;
}

uint64_t ss_state_quarantines_version(const struct ss_state *s)
{
	return s->quarantines_version;
}

GQueue *ss_state_streams(const struct ss_state *s)
{
	return (GQueue *)&s->streams;
}

bool ss_state_has_version(const struct ss_state *s, const char *service,
			  const char *version)
{
	return find_version(s, ss_str(service), ss_str(version)) != NULL;
}

size_t ss_state_claims(const struct ss_state *s)
{
	return s->claim_order.length;
}
