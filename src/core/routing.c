/* The routing table: services, routes, and their lookup. */
#include "routing.h"

#include "routing_update.h"

static void model_clear(void *p)
{
	g_free(((struct routing_model *)p)->name);
}

static void share_clear(void *p)
{
	g_free(((struct routing_share *)p)->service);
}

/* Services. */

struct routing_service *routing_service_new(void)
{
	struct routing_service *s = g_new0(struct routing_service, 1);

	s->refs = 1;
	s->models = g_array_new(FALSE, TRUE, sizeof(struct routing_model));
	g_array_set_clear_func(s->models, model_clear);
	return s;
}

struct routing_service *routing_service_ref(struct routing_service *s)
{
	if (s)
		s->refs++;
	return s;
}

void routing_service_unref(struct routing_service *s)
{
	if (!s || --s->refs)
		return;
	g_free(s->name);
	g_free(s->health_path);
	if (s->by_name)
		g_hash_table_unref(s->by_name);
	g_array_unref(s->models);
	g_free(s);
}

struct routing_model *routing_add_model(struct routing_service *s)
{
	g_array_set_size(s->models, s->models->len + 1);
	return &g_array_index(s->models, struct routing_model,
			      s->models->len - 1);
}

G_GNUC_PRINTF(3, 4)
static bool invalid(GError **error, const char *what, const char *fmt, ...)
{
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_set_error(error, SS_ERROR, SS_ERROR_BAD_REQUEST, "%s: %s", what,
		    text);
	g_free(text);
	return false;
}

bool routing_service_finish(struct routing_service *s, GError **error)
{
	s->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; i < s->models->len; i++) {
		struct routing_model *m =
			&g_array_index(s->models, struct routing_model, i);

		if (!g_hash_table_insert(s->by_name, m->name, m))
			return invalid(error, s->name, "model %s stands twice",
				       m->name);
	}
	return true;
}

const struct routing_model *routing_model(const struct routing_service *s,
					  const char *name)
{
	return s->by_name ? g_hash_table_lookup(s->by_name, name) : NULL;
}

/* Routes. */

struct routing_route *routing_route_new(void)
{
	struct routing_route *rt = g_new0(struct routing_route, 1);

	rt->refs = 1;
	rt->shares = g_array_new(FALSE, TRUE, sizeof(struct routing_share));
	g_array_set_clear_func(rt->shares, share_clear);
	return rt;
}

struct routing_route *routing_route_ref(struct routing_route *rt)
{
	rt->refs++;
	return rt;
}

void routing_route_unref(struct routing_route *rt)
{
	if (!rt || --rt->refs)
		return;
	g_free(rt->name);
	g_free(rt->host);
	g_free(rt->prefix);
	g_free(rt->lookup_key);
	g_array_unref(rt->shares);
	g_free(rt);
}

static bool prefix_valid(const char *prefix)
{
	size_t n = strlen(prefix);

	return n > 0 && prefix[0] == '/' && prefix[n - 1] == '/';
}

bool routing_route_finish(struct routing_route *rt, GError **error)
{
	char *host;

	if (!prefix_valid(rt->prefix))
		return invalid(error, rt->name,
			       "prefix \"%s\" must begin and end with a slash",
			       rt->prefix);
	if (rt->timeout_ms <= 0)
		return invalid(error, rt->name, "timeout must be over 0");
	rt->total_weight = 0;
	for (guint i = 0; i < rt->shares->len; i++) {
		const struct routing_share *s =
			&g_array_index(rt->shares, struct routing_share, i);

		if (s->weight < 0)
			return invalid(error, rt->name,
				       "share %u is out of range", i);
		rt->total_weight += s->weight;
	}
	if (rt->total_weight <= 0)
		return invalid(error, rt->name, "weights add up to 0");
	host = g_ascii_strdown(rt->host, -1);
	rt->lookup_key = g_strdup_printf("%s %s", host, rt->prefix);
	g_free(host);
	return true;
}

/* Table. */

struct routing *routing_new(void)
{
	struct routing *r = g_new0(struct routing, 1);

	r->refs = 1;
	r->services = g_ptr_array_new_with_free_func(
		(GDestroyNotify)routing_service_unref);
	r->routes_by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)routing_route_unref);
	customers_init(&r->customers);
	document_pieces_init(&r->pieces);
	return r;
}

/* Frees text only: the table's other members own the references to items. */
static void free_text(void *arg, enum document_part part, void *item)
{
	(void)arg;
	if (part == DOCUMENT_OTHER)
		g_free(item);
}

static const struct document_piece_ops free_text_ops = { NULL, free_text,
							 NULL };

struct routing *routing_ref(struct routing *r)
{
	if (r)
		r->refs++;
	return r;
}

void routing_unref(struct routing *r)
{
	if (!r || --r->refs)
		return;
	document_pieces_clear(&r->pieces, &free_text_ops);
	g_hash_table_unref(r->routes_by_key);
	g_ptr_array_unref(r->services);
	customers_clear(&r->customers);
	g_free(r);
}

struct routing *routing_read(const struct routing_format *f, struct ss_str text,
			     GError **error)
{
	struct document *empty = document_new();
	struct document_patch *patch =
		document_compare(empty, text, f->lists, error);
	struct routing *r = NULL;
	struct routing_update *u;
	enum routing_step step = ROUTING_MORE;

	document_free(empty);
	if (!patch)
		return NULL;
	r = routing_new();
	u = routing_update_new(r, f, patch);
	while (step == ROUTING_MORE)
		step = routing_update_step(u, error);
	if (step == ROUTING_VALID)
		routing_update_commit(u);
	routing_update_free(u);
	if (step == ROUTING_VALID)
		return r;
	routing_unref(r);
	return NULL;
}

struct routing_service *routing_service(const struct routing *r,
					const char *name)
{
	for (guint i = 0; i < r->services->len; i++) {
		struct routing_service *s = r->services->pdata[i];

		if (!strcmp(s->name, name))
			return s;
	}
	return NULL;
}

/*
 * Finds the route with the longest prefix: key holds the host, of host_len
 * bytes with the space, and the path. Each prefix ends with a slash, so only
 * positions behind a slash are tried. Overwrites the key.
 */
static struct routing_route *find_longest_prefix(const struct routing *r,
						 char *key, size_t host_len,
						 size_t n)
{
	for (; n > host_len; n--) {
		struct routing_route *rt;

		if (key[n - 1] != '/')
			continue;
		key[n] = '\0';
		rt = g_hash_table_lookup(r->routes_by_key, key);
		if (rt)
			return rt;
	}
	return NULL;
}

struct routing_route *routing_match(const struct routing *r, struct ss_str host,
				    struct ss_str path)
{
	const char *colon = host.n ? memchr(host.p, ':', host.n) : NULL;
	size_t n = colon ? (size_t)(colon - host.p) : host.n;
	GString *key = g_string_sized_new(n + r->longest_prefix + 2);
	struct routing_route *rt;

	g_string_append_len(key, host.p, (gssize)n);
	g_string_ascii_down(key);
	g_string_append_c(key, ' ');
	if (path.n)
		g_string_append_len(key, path.p,
				    (gssize)MIN(path.n, r->longest_prefix));
	rt = find_longest_prefix(r, key->str, n + 1, key->len);
	g_string_free(key, TRUE);
	return rt;
}

bool routing_route_targets(const struct routing_route *rt, const char *service)
{
	for (guint i = 0; i < rt->shares->len; i++) {
		const struct routing_share *s =
			&g_array_index(rt->shares, struct routing_share, i);

		if (s->weight > 0 && !strcmp(s->service, service))
			return true;
	}
	return false;
}

struct routing_service *routing_pick(const struct routing *r,
				     const struct routing_route *rt,
				     uint64_t random)
{
	int64_t at = (int64_t)(random % (uint64_t)rt->total_weight);

	for (guint i = 0; i < rt->shares->len; i++) {
		const struct routing_share *s =
			&g_array_index(rt->shares, struct routing_share, i);

		if (at < s->weight)
			return routing_service(r, s->service);
		at -= s->weight;
	}
	g_assert_not_reached();
}
