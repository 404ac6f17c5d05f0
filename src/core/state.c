/* The replicated state: applies the commands of the log. */
#include "state_int.h"

static struct node_rec *find_node(struct ss_state *s, struct ss_str name)
{
	char *key = ss_str_dup(name);
	struct node_rec *n = g_hash_table_lookup(s->nodes, key);

	g_free(key);
	return n;
}

/* Orders to a node are numbered by log index, so that their fencing token
 * increases. */
static void mark_node_changed(struct ss_state *s, struct ss_str name,
			      uint64_t index)
{
	struct node_rec *n = find_node(s, name);

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

/* Returns the record of a list that holds exactly one; otherwise NULL. */
static void *single_record(const struct wire_list *l)
{
	return l->n == 1 ? l->items : NULL;
}

static void apply_preset_put(struct ss_state *s, uint64_t index,
			     const struct command_wire *c,
			     struct command_result *r)
{
	struct preset_rec *p = single_record(&c->preset);
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
	state_put_preset(s, p);
	r->version = index;
}

static void apply_preset_switch(struct ss_state *s, uint64_t index,
				const struct command_wire *c,
				struct command_result *r)
{
	struct preset_rec *p = single_record(&c->preset);
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
	struct preset_rec *p = single_record(&c->preset);
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
			state_put_model(s, &m[i]);
		g_free(name);
	}
	r->version = index;
}

static void apply_node_put(struct ss_state *s, uint64_t index,
			   const struct command_wire *c,
			   struct command_result *r)
{
	struct node_rec *n = single_record(&c->node);
	struct node_rec *old;
	char *name;

	if (!n || !n->name.n) {
		refuse(r, SS_ERROR_BAD_REQUEST, 0, "a node needs a name");
		return;
	}
	name = ss_str_dup(n->name);
	old = g_hash_table_lookup(s->nodes, name);
	g_free(name);
	/* Draining persists across a restart of the agent. */
	n->state = old && old->state == NODE_DRAINING ? NODE_DRAINING :
							NODE_LIVE;
	n->changed = index;
	state_put_node(s, n);
	r->version = index;
}

static void drop_node_replicas(struct ss_state *s, const char *node)
{
	GPtrArray *list;

	while ((list = g_hash_table_lookup(s->by_node, node)))
		state_drop_replica(s, list->pdata[0]);
}

static void apply_node_state(struct ss_state *s, uint64_t index,
			     const struct command_wire *c,
			     struct command_result *r)
{
	const struct node_rec *n = single_record(&c->node);
	char *name = n ? ss_str_dup(n->name) : g_strdup("");
	struct node_rec *old = g_hash_table_lookup(s->nodes, name);

	g_free(name);
	if (!n || !old) {
		refuse(r, SS_ERROR_NOT_FOUND, 0, "no such node");
		return;
	}
	/* A state of an earlier incarnation doesn't apply to this one. */
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

static bool node_has_model(const struct ss_state *s, struct ss_str model,
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
 * Memory and the replica count are checked here, against the replicated state,
 * so that two commands based on the same old state can't both be accepted.
 */
static void apply_replica_add(struct ss_state *s, uint64_t index,
			      const struct command_wire *c,
			      struct command_result *r)
{
	struct replica_rec *p = single_record(&c->replica);
	struct node_rec *n = p ? find_node(s, p->node) : NULL;
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
	} else if (node_has_model(s, p->model, n)) {
		refuse(r, SS_ERROR_CONFLICT, 0, "the node has this model");
	} else if (p->base.n && !node_has_model(s, p->base, n)) {
		refuse(r, SS_ERROR_CONFLICT, 0, "the base isn't there");
	} else if (ss_state_reserved(s, n->name.p) + p->bytes > n->bytes) {
		refuse(r, SS_ERROR_MEMORY, 0, "not enough memory");
	} else {
		p->id = index;
		p->state = REPLICA_LOADING;
		p->at_ms = c->at_ms;
		state_put_replica(s, p);
		n->changed = index;
		r->version = index;
	}
}

/* An adapter can't outlive its base model, so both are unloaded. */
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
	const struct replica_rec *p = single_record(&c->replica);
	struct replica_rec *old = p ? g_hash_table_lookup(s->replicas, &p->id) :
				      NULL;

	if (!old) {
		refuse(r, SS_ERROR_NOT_FOUND, 0, "no such replica");
		return;
	}
	/* A load that ended after the unload was ordered is ignored. */
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
	mark_node_changed(s, old->node, index);
	if (old->state == REPLICA_UNLOADING)
		unload_adapters(s, old);
	if (old->state == REPLICA_GONE)
		state_drop_replica(s, old);
}

static void apply_claim(struct ss_state *s, uint64_t index,
			const struct command_wire *c, struct command_result *r)
{
	struct claim_rec *want = single_record(&c->claim);
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
		/* A repeated claim of the holder succeeds. */
		if (old->entry != want->entry || old->seq != want->seq)
			refuse(r, SS_ERROR_CONFLICT, 0, "claimed");
		r->claim = *old;
	} else {
		if (old) {
			g_queue_remove(&s->claim_order, old);
			state_drop_claim(s, old);
		}
		want->at_ms = c->at_ms;
		state_put_claim(s, want);
		r->claim =
			*(struct claim_rec *)g_queue_peek_tail(&s->claim_order);
		r->version = index;
	}
}

/*
 * The highest version wins. An older or repeated version changes nothing and
 * gets the current version as a successful result, so that an operator who lost
 * the answer may resend to any control VM. A change that is based on another
 * version than the current one is refused; the leader computes it again.
 */
static void apply_routing_put(struct ss_state *s, const struct command_wire *c,
			      struct command_result *r)
{
	const struct routing_rec *p = single_record(&c->routing);
	GError *error = NULL;

	if (!p || p->version == 0) {
		refuse(r, SS_ERROR_BAD_REQUEST, 0, "a routing needs a version");
		return;
	}
	if (p->version > document_version(s->routing) &&
	    !state_put_routing(s, p, &error)) {
		refuse(r, SS_ERROR_CONFLICT, document_version(s->routing),
		       "another routing came before");
		g_error_free(error);
		return;
	}
	r->version = document_version(s->routing);
}

static void apply_streams_put(struct ss_state *s, uint64_t index,
			      const struct command_wire *c,
			      struct command_result *r)
{
	const struct stream_rec *x = c->streams.items;

	state_expire_streams(s, c->at_ms);
	for (size_t i = 0; i < c->streams.n; i++)
		if (x[i].removed)
			state_drop_version(s, &x[i]);
		else
			state_put_streams(s, &x[i]);
	r->version = index;
}

static void apply_quarantines_put(struct ss_state *s, uint64_t index,
				  const struct command_wire *c,
				  struct command_result *r)
{
	const struct quarantine_rec *q = c->quarantines.items;

	for (size_t i = 0; i < c->quarantines.n; i++)
		if (q[i].removed)
			state_drop_quarantine(s, &q[i]);
		else
			state_put_quarantine(s, &q[i]);
	s->quarantines_version = index;
	r->version = index;
}

static void apply_command(struct ss_state *s, uint64_t index,
			  const struct command_wire *c,
			  struct command_result *r)
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
	case COMMAND_QUARANTINES_PUT:
		apply_quarantines_put(s, index, c, r);
		return;
	case COMMAND_STREAMS_PUT:
		apply_streams_put(s, index, c, r);
		return;
	}
	refuse(r, SS_ERROR_BAD_REQUEST, 0, "unknown command");
}

static const char *describe_change(const struct command_wire *c, char *buf,
				   size_t n)
{
	static const char *const verbs[] = {
		[COMMAND_PRESET_PUT] = "put preset",
		[COMMAND_PRESET_SWITCH] = "switch to",
		[COMMAND_PRESET_DELETE] = "delete preset",
		[COMMAND_MODELS_PUT] = "put models",
		[COMMAND_NODE_STATE] = "set node",
		[COMMAND_QUARANTINES_PUT] = "change quarantines",
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

/* Answers a resent change with its stored result; returns false if the id is
 * new. */
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
		apply_command(s, index, &c, result);
	} else if (!answer_resend(s, &c, result)) {
		struct change_rec change = { .id = c.change_id,
					     .author = c.author,
					     .index = index,
					     .at_ms = c.at_ms };

		apply_command(s, index, &c, result);
		change.what = ss_str(describe_change(&c, what, sizeof(what)));
		change.code = result->code;
		change.version = result->version;
		change.text = ss_str(result->text);
		state_put_change(s, &change);
	}
	wire_buf_clear(&buf);
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
				  .routing = { c->routing, c->routing != NULL },
				  .quarantines = { c->quarantines,
						   c->n_quarantines },
				  .streams = { c->streams, c->n_streams } };

	return wire_encode(&command_wire_type, &w);
}
