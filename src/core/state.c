/* The replicated state. */
#include "state.h"

#include "state_codec.h"

struct ss_state {
	GHashTable *presets, *models, *nodes; /* name -> record */
	GHashTable *replicas;		      /* &id -> record */
	GHashTable *by_node, *by_model;	      /* name -> GPtrArray */
	GHashTable *claims;		      /* key (GBytes) -> record */
	GQueue claim_order;		      /* records, oldest first */
	GHashTable *changes;		      /* id -> record in history */
	GQueue history;			      /* struct change_rec, all */
	char *in_force;
	uint64_t config_version;
	struct routing_rec *routing; /* NULL before the first one */
};

/* Records as owned copies: the strings are found by the wire table. */
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

static void free_routing(void *r)
{
	if (r)
		rec_free(&routing_wire, r);
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
	s->in_force = g_strdup("");
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
	g_free(s->in_force);
	s->in_force = g_strdup("");
	s->config_version = 0;
	g_clear_pointer(&s->routing, free_routing);
}

void ss_state_free(struct ss_state *s)
{
	if (!s)
		return;
	state_clear(s);
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

static void put_preset(struct ss_state *s, const struct preset_rec *p)
{
	struct preset_rec *copy = rec_dup(&preset_wire, p);

	g_hash_table_replace(s->presets, (char *)copy->name.p, copy);
}

static void put_model(struct ss_state *s, const struct model_rec *m)
{
	struct model_rec *copy = rec_dup(&model_wire, m);

	g_hash_table_replace(s->models, (char *)copy->name.p, copy);
}

static void put_node(struct ss_state *s, const struct node_rec *n)
{
	struct node_rec *copy = rec_dup(&node_wire, n);

	g_hash_table_replace(s->nodes, (char *)copy->name.p, copy);
}

static void put_replica(struct ss_state *s, const struct replica_rec *r)
{
	struct replica_rec *copy = rec_dup(&replica_wire, r);

	g_hash_table_insert(s->replicas, &copy->id, copy);
	index_add(s->by_node, copy->node.p, copy);
	index_add(s->by_model, copy->model.p, copy);
}

static void drop_replica(struct ss_state *s, struct replica_rec *r)
{
	index_remove(s->by_node, r->node.p, r);
	index_remove(s->by_model, r->model.p, r);
	g_hash_table_remove(s->replicas, &r->id);
}

static void drop_claim(struct ss_state *s, struct claim_rec *c)
{
	g_hash_table_remove(s->claims, &c->key);
	free_claim(c);
}

static void put_claim(struct ss_state *s, const struct claim_rec *c)
{
	struct claim_rec *copy = rec_dup(&claim_wire, c);
	struct claim_rec *old;

	/* A key is bytes, so the copy by length matters. */
	memcpy((char *)copy->key.p, c->key.p, c->key.n);
	g_hash_table_insert(s->claims, &copy->key, copy);
	g_queue_push_tail(&s->claim_order, copy);
	while ((old = g_queue_peek_head(&s->claim_order)) &&
	       (s->claim_order.length > STATE_CLAIMS_MAX ||
		old->at_ms < c->at_ms - STATE_CLAIM_AGE_MS)) {
		g_queue_pop_head(&s->claim_order);
		drop_claim(s, old);
	}
}

static void put_change(struct ss_state *s, const struct change_rec *c)
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

static struct node_rec *node_of(struct ss_state *s, struct ss_str name)
{
	char *key = ss_str_dup(name);
	struct node_rec *n = g_hash_table_lookup(s->nodes, key);

	g_free(key);
	return n;
}

/* Orders to a node are numbered by the log, so that they only grow. */
static void touch_node(struct ss_state *s, struct ss_str name, uint64_t index)
{
	struct node_rec *n = node_of(s, name);

	if (n)
		n->changed = index;
}

static void refuse(struct command_result *r, enum ss_error code,
		   uint64_t version, const char *text)
{
	r->code = code;
	r->version = version;
	r->text = text;
}

/* A wire list of at most one record, as a pointer or NULL. */
static void *only(const struct wire_list *l)
{
	return l->n == 1 ? l->items : NULL;
}

static void apply_preset_put(struct ss_state *s, uint64_t index,
			     const struct command_wire *c,
			     struct command_result *r)
{
	struct preset_rec *p = only(&c->preset);
	const struct preset_rec *old;
	char *name;

	if (!p || !p->name.n) {
		refuse(r, SS_ERROR_BAD_REQUEST, 0, "a preset needs a name");
		return;
	}
	name = ss_str_dup(p->name);
	old = g_hash_table_lookup(s->presets, name);
	g_free(name);
	if ((old ? old->version : 0) != c->expect) {
		refuse(r, SS_ERROR_CONFLICT, old ? old->version : 0,
		       "the preset has another version");
		return;
	}
	p->version = index;
	if (ss_str_eq(p->name, ss_str(s->in_force)))
		s->config_version = index;
	put_preset(s, p);
	r->version = index;
}

static void apply_preset_switch(struct ss_state *s, uint64_t index,
				const struct command_wire *c,
				struct command_result *r)
{
	struct preset_rec *p = only(&c->preset);
	char *name = p ? ss_str_dup(p->name) : g_strdup("");

	if (!g_hash_table_contains(s->presets, name)) {
		refuse(r, SS_ERROR_NOT_FOUND, 0, "no such preset");
	} else if (c->expect != s->config_version) {
		refuse(r, SS_ERROR_CONFLICT, s->config_version,
		       "the configuration has another version");
	} else {
		g_free(s->in_force);
		s->in_force = g_strdup(name);
		s->config_version = index;
		r->version = index;
	}
	g_free(name);
}

static void apply_preset_delete(struct ss_state *s,
				const struct command_wire *c,
				struct command_result *r)
{
	struct preset_rec *p = only(&c->preset);
	char *name = p ? ss_str_dup(p->name) : g_strdup("");
	const struct preset_rec *old = g_hash_table_lookup(s->presets, name);

	if (!old)
		refuse(r, SS_ERROR_NOT_FOUND, 0, "no such preset");
	else if (!strcmp(name, s->in_force))
		refuse(r, SS_ERROR_CONFLICT, old->version,
		       "the preset is in force");
	else if (old->version != c->expect)
		refuse(r, SS_ERROR_CONFLICT, old->version,
		       "the preset has another version");
	else
		g_hash_table_remove(s->presets, name);
	g_free(name);
}

static void apply_models_put(struct ss_state *s, uint64_t index,
			     const struct command_wire *c,
			     struct command_result *r)
{
	const struct model_rec *m = c->models.items;

	for (size_t i = 0; i < c->models.n; i++) {
		char *name = ss_str_dup(m[i].name);

		if (m[i].removed)
			g_hash_table_remove(s->models, name);
		else if (m[i].name.n)
			put_model(s, &m[i]);
		g_free(name);
	}
	r->version = index;
}

static void apply_node_put(struct ss_state *s, uint64_t index,
			   const struct command_wire *c,
			   struct command_result *r)
{
	struct node_rec *n = only(&c->node);
	struct node_rec *old;
	char *name;

	if (!n || !n->name.n) {
		refuse(r, SS_ERROR_BAD_REQUEST, 0, "a node needs a name");
		return;
	}
	name = ss_str_dup(n->name);
	old = g_hash_table_lookup(s->nodes, name);
	g_free(name);
	/* A drain ordered before a restart holds after it. */
	n->state = old && old->state == NODE_DRAINING ? NODE_DRAINING :
							NODE_LIVE;
	n->changed = index;
	put_node(s, n);
	r->version = index;
}

static void drop_node_replicas(struct ss_state *s, const char *node)
{
	GPtrArray *list;

	while ((list = g_hash_table_lookup(s->by_node, node)))
		drop_replica(s, list->pdata[0]);
}

static void apply_node_state(struct ss_state *s, uint64_t index,
			     const struct command_wire *c,
			     struct command_result *r)
{
	const struct node_rec *n = only(&c->node);
	char *name = n ? ss_str_dup(n->name) : g_strdup("");
	struct node_rec *old = g_hash_table_lookup(s->nodes, name);

	g_free(name);
	if (!n || !old) {
		refuse(r, SS_ERROR_NOT_FOUND, 0, "no such node");
		return;
	}
	/* What is said of one incarnation doesn't hold for the next. */
	if (n->incarnation && n->incarnation != old->incarnation) {
		refuse(r, SS_ERROR_CONFLICT, old->changed,
		       "the node has another incarnation");
		return;
	}
	old->state = n->state;
	old->changed = index;
	r->version = index;
	if (old->state == NODE_GONE) {
		drop_node_replicas(s, old->name.p);
		g_hash_table_remove(s->nodes, old->name.p);
	}
}

uint64_t ss_state_reserved(const struct ss_state *s, const char *node)
{
	GPtrArray *list = g_hash_table_lookup(s->by_node, node);
	uint64_t sum = 0;

	for (guint i = 0; list && i < list->len; i++)
		sum += ((struct replica_rec *)list->pdata[i])->bytes;
	return sum;
}

static bool on_node(const struct ss_state *s, struct ss_str model,
		    const struct node_rec *n)
{
	GPtrArray *list = g_hash_table_lookup(s->by_node, n->name.p);

	for (guint i = 0; list && i < list->len; i++)
		if (ss_str_eq(((struct replica_rec *)list->pdata[i])->model,
			      model))
			return true;
	return false;
}

/*
 * Memory and count are checked here, on the replicated state, so that two
 * decisions taken on old knowledge can't both be accepted.
 */
static void apply_replica_add(struct ss_state *s, uint64_t index,
			      const struct command_wire *c,
			      struct command_result *r)
{
	struct replica_rec *p = only(&c->replica);
	struct node_rec *n = p ? node_of(s, p->node) : NULL;
	GPtrArray *list;
	char *model;

	if (!n || n->state != NODE_LIVE) {
		refuse(r, SS_ERROR_UNAVAILABLE, 0, "the node takes no work");
		return;
	}
	model = ss_str_dup(p->model);
	list = g_hash_table_lookup(s->by_model, model);
	g_free(model);
	if (c->expect != (list ? list->len : 0)) {
		refuse(r, SS_ERROR_CONFLICT, list ? list->len : 0,
		       "the model has another count of replicas");
	} else if (on_node(s, p->model, n)) {
		refuse(r, SS_ERROR_CONFLICT, 0, "the node has this model");
	} else if (p->base.n && !on_node(s, p->base, n)) {
		refuse(r, SS_ERROR_CONFLICT, 0, "the base isn't there");
	} else if (ss_state_reserved(s, n->name.p) + p->bytes > n->bytes) {
		refuse(r, SS_ERROR_MEMORY, 0, "not enough memory");
	} else {
		p->id = index;
		p->state = REPLICA_LOADING;
		p->at_ms = c->at_ms;
		put_replica(s, p);
		n->changed = index;
		r->version = index;
	}
}

/* Adapters on a base that goes away go with it. */
static void unload_adapters(struct ss_state *s, const struct replica_rec *base)
{
	GPtrArray *list = g_hash_table_lookup(s->by_node, base->node.p);

	for (guint i = 0; list && i < list->len; i++) {
		struct replica_rec *a = list->pdata[i];

		if (ss_str_eq(a->base, base->model))
			a->state = REPLICA_UNLOADING;
	}
}

static void apply_replica_state(struct ss_state *s, uint64_t index,
				const struct command_wire *c,
				struct command_result *r)
{
	const struct replica_rec *p = only(&c->replica);
	struct replica_rec *old = p ? g_hash_table_lookup(s->replicas, &p->id) :
				      NULL;

	if (!old) {
		refuse(r, SS_ERROR_NOT_FOUND, 0, "no such replica");
		return;
	}
	/* A load that ends after the unload was decided changes nothing. */
	if (old->state == REPLICA_UNLOADING && p->state != REPLICA_GONE) {
		refuse(r, SS_ERROR_CONFLICT, old->id, "it is being unloaded");
		return;
	}
	if (p->state == REPLICA_GONE && old->state != REPLICA_UNLOADING) {
		refuse(r, SS_ERROR_CONFLICT, old->id, "nobody unloaded it");
		return;
	}
	old->state = p->state;
	old->load_ms = p->load_ms ? p->load_ms : old->load_ms;
	r->version = index;
	touch_node(s, old->node, index);
	if (old->state == REPLICA_UNLOADING)
		unload_adapters(s, old);
	if (old->state == REPLICA_GONE)
		drop_replica(s, old);
}

static void apply_claim(struct ss_state *s, uint64_t index,
			const struct command_wire *c, struct command_result *r)
{
	struct claim_rec *want = only(&c->claim);
	struct claim_rec *old;

	if (!want || !want->key.n) {
		refuse(r, SS_ERROR_BAD_REQUEST, 0, "a claim needs a key");
		return;
	}
	old = g_hash_table_lookup(s->claims, &want->key);
	if (old && old->fingerprint != want->fingerprint) {
		refuse(r, SS_ERROR_BAD_REQUEST, 0,
		       "the key was used for another request");
	} else if (old &&
		   (old->entry != c->dead_entry || old->seq != c->dead_seq)) {
		/* The same call asking twice holds its own claim. */
		if (old->entry != want->entry || old->seq != want->seq)
			refuse(r, SS_ERROR_CONFLICT, 0, "claimed");
		r->claim = *old;
	} else {
		if (old) {
			g_queue_remove(&s->claim_order, old);
			drop_claim(s, old);
		}
		want->at_ms = c->at_ms;
		put_claim(s, want);
		r->claim =
			*(struct claim_rec *)g_queue_peek_tail(&s->claim_order);
		r->version = index;
	}
}

/*
 * The highest version wins. What arrives late, or again, is answered like
 * the first and changes nothing, so that an operator who lost the answer
 * may send it to anyone.
 */
static void apply_routing_put(struct ss_state *s, const struct command_wire *c,
			      struct command_result *r)
{
	const struct routing_rec *p = only(&c->routing);

	if (!p || p->version == 0) {
		refuse(r, SS_ERROR_BAD_REQUEST, 0, "a routing needs a version");
		return;
	}
	if (!s->routing || p->version > s->routing->version) {
		free_routing(s->routing);
		s->routing = rec_dup(&routing_wire, p);
	}
	r->version = s->routing->version;
}

static void apply_kind(struct ss_state *s, uint64_t index,
		       const struct command_wire *c, struct command_result *r)
{
	switch ((enum command_kind)c->kind) {
	case COMMAND_PRESET_PUT:
		apply_preset_put(s, index, c, r);
		return;
	case COMMAND_PRESET_SWITCH:
		apply_preset_switch(s, index, c, r);
		return;
	case COMMAND_PRESET_DELETE:
		apply_preset_delete(s, c, r);
		return;
	case COMMAND_MODELS_PUT:
		apply_models_put(s, index, c, r);
		return;
	case COMMAND_NODE_PUT:
		apply_node_put(s, index, c, r);
		return;
	case COMMAND_NODE_STATE:
		apply_node_state(s, index, c, r);
		return;
	case COMMAND_REPLICA_ADD:
		apply_replica_add(s, index, c, r);
		return;
	case COMMAND_REPLICA_STATE:
		apply_replica_state(s, index, c, r);
		return;
	case COMMAND_CLAIM:
		apply_claim(s, index, c, r);
		return;
	case COMMAND_ROUTING_PUT:
		apply_routing_put(s, c, r);
		return;
	}
	refuse(r, SS_ERROR_BAD_REQUEST, 0, "unknown command");
}

static const char *describe(const struct command_wire *c, char *buf, size_t n)
{
	static const char *const verbs[] = {
		[COMMAND_PRESET_PUT] = "put preset",
		[COMMAND_PRESET_SWITCH] = "switch to",
		[COMMAND_PRESET_DELETE] = "delete preset",
		[COMMAND_MODELS_PUT] = "put models",
		[COMMAND_NODE_STATE] = "set node",
	};
	struct ss_str name = { 0 };

	if (c->preset.n)
		name = ((struct preset_rec *)c->preset.items)->name;
	else if (c->node.n)
		name = ((struct node_rec *)c->node.items)->name;
	if (c->kind < 0 || c->kind >= (int64_t)G_N_ELEMENTS(verbs) ||
	    !verbs[c->kind])
		return "change";
	snprintf(buf, n, "%s %.*s", verbs[c->kind], SS_FMT(name));
	return buf;
}

/* The answer to a change id that was applied before. */
static bool answer_resend(struct ss_state *s, const struct command_wire *c,
			  struct command_result *r)
{
	char *id = ss_str_dup(c->change_id);
	const struct change_rec *old = g_hash_table_lookup(s->changes, id);

	g_free(id);
	if (!old)
		return false;
	r->code = old->code;
	r->version = old->version;
	r->text = old->text.p;
	r->resend = true;
	return true;
}

void ss_state_apply(struct ss_state *s, uint64_t index, struct ss_str bytes,
		    struct command_result *result)
{
	struct command_wire c;
	struct wire_buf buf;
	char what[160];

	memset(result, 0, sizeof(*result));
	result->text = "";
	if (!wire_decode(&buf, bytes, &command_wire_type, &c)) {
		refuse(result, SS_ERROR_CORRUPT, 0, "unreadable command");
	} else if (c.change_id.n == 0) {
		apply_kind(s, index, &c, result);
	} else if (!answer_resend(s, &c, result)) {
		struct change_rec change = { .id = c.change_id,
					     .author = c.author,
					     .index = index,
					     .at_ms = c.at_ms };

		apply_kind(s, index, &c, result);
		change.what = ss_str(describe(&c, what, sizeof(what)));
		change.code = result->code;
		change.version = result->version;
		change.text = ss_str(result->text);
		put_change(s, &change);
	}
	wire_done(&buf);
}

GString *ss_command_encode(const struct command *c)
{
	struct command_wire w = { .kind = c->kind,
				  .change_id = c->change_id,
				  .author = c->author,
				  .at_ms = c->at_ms,
				  .expect = c->expect,
				  .dead_entry = c->dead_entry,
				  .dead_seq = c->dead_seq,
				  .preset = { c->preset, c->preset != NULL },
				  .models = { c->models, c->n_models },
				  .node = { c->node, c->node != NULL },
				  .replica = { c->replica, c->replica != NULL },
				  .claim = { c->claim, c->claim != NULL },
				  .routing = { c->routing,
					       c->routing != NULL } };

	return wire_encode(&command_wire_type, &w);
}

/* Records in one array, as a list is encoded; items are shallow copies. */
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
	struct image im = { .in_force = ss_str(s->in_force),
			    .config_version = s->config_version };
	GString *out;

	im.presets = collect_table(s->presets, &preset_wire);
	im.models = collect_table(s->models, &model_wire);
	im.nodes = collect_table(s->nodes, &node_wire);
	im.replicas = collect_table(s->replicas, &replica_wire);
	im.claims = collect(s->claim_order.head, &claim_wire);
	im.changes = collect(s->history.head, &change_wire);
	im.routing = (struct wire_list){ s->routing, s->routing != NULL };
	out = wire_encode(&image_wire, &im);
	g_free(im.presets.items);
	g_free(im.models.items);
	g_free(im.nodes.items);
	g_free(im.replicas.items);
	g_free(im.claims.items);
	g_free(im.changes.items);
	return out;
}

bool ss_state_restore(struct ss_state *s, struct ss_str bytes)
{
	struct wire_buf buf;
	struct image im;
	bool ok = wire_decode(&buf, bytes, &image_wire, &im);

	if (!ok)
		goto out;
	state_clear(s);
	g_free(s->in_force);
	s->in_force = ss_str_dup(im.in_force);
	s->config_version = im.config_version;
	for (size_t i = 0; i < im.presets.n; i++)
		put_preset(s, (struct preset_rec *)im.presets.items + i);
	for (size_t i = 0; i < im.models.n; i++)
		put_model(s, (struct model_rec *)im.models.items + i);
	for (size_t i = 0; i < im.nodes.n; i++)
		put_node(s, (struct node_rec *)im.nodes.items + i);
	for (size_t i = 0; i < im.replicas.n; i++)
		put_replica(s, (struct replica_rec *)im.replicas.items + i);
	for (size_t i = 0; i < im.claims.n; i++)
		put_claim(s, (struct claim_rec *)im.claims.items + i);
	for (size_t i = 0; i < im.changes.n; i++)
		put_change(s, (struct change_rec *)im.changes.items + i);
	if (im.routing.n)
		s->routing = rec_dup(&routing_wire, im.routing.items);
out:
	wire_done(&buf);
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

const struct routing_rec *ss_state_routing(const struct ss_state *s)
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

size_t ss_state_claims(const struct ss_state *s)
{
	return s->claim_order.length;
}
