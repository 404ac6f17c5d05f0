/* The routing that operators put in force. */
#include "routing.h"

static void model_clear(void *p)
{
	g_free(((struct routing_model *)p)->name);
}

static void service_clear(void *p)
{
	struct routing_service *s = p;

	g_free(s->name);
	g_free(s->health_path);
	if (s->by_name)
		g_hash_table_unref(s->by_name);
	if (s->models)
		g_array_unref(s->models);
}

static void route_clear(void *p)
{
	struct routing_route *rt = p;

	g_free(rt->name);
	g_free(rt->host);
	g_free(rt->prefix);
	if (rt->shares)
		g_array_unref(rt->shares);
}

struct routing *routing_new(void)
{
	struct routing *r = g_new0(struct routing, 1);

	r->refs = 1;
	r->routes = g_array_new(FALSE, TRUE, sizeof(struct routing_route));
	g_array_set_clear_func(r->routes, route_clear);
	r->services = g_array_new(FALSE, TRUE, sizeof(struct routing_service));
	g_array_set_clear_func(r->services, service_clear);
	r->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 (GDestroyNotify)g_array_unref);
	return r;
}

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
	g_hash_table_unref(r->hosts);
	g_array_unref(r->routes);
	g_array_unref(r->services);
	g_free(r);
}

struct routing_route *routing_add_route(struct routing *r)
{
	g_array_set_size(r->routes, r->routes->len + 1);
	return &g_array_index(r->routes, struct routing_route,
			      r->routes->len - 1);
}

struct routing_service *routing_add_service(struct routing *r)
{
	struct routing_service *s;

	g_array_set_size(r->services, r->services->len + 1);
	s = &g_array_index(r->services, struct routing_service,
			   r->services->len - 1);
	s->models = g_array_new(FALSE, TRUE, sizeof(struct routing_model));
	g_array_set_clear_func(s->models, model_clear);
	return s;
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

static bool check_prefix(const char *prefix)
{
	size_t n = strlen(prefix);

	return n > 0 && prefix[0] == '/' && prefix[n - 1] == '/';
}

static bool check_route(const struct routing *r, struct routing_route *rt,
			GError **error)
{
	if (!check_prefix(rt->prefix))
		return invalid(error, rt->name,
			       "prefix \"%s\" must begin and end with a slash",
			       rt->prefix);
	if (rt->timeout_ms <= 0)
		return invalid(error, rt->name, "timeout must be over 0");
	rt->total = 0;
	for (guint i = 0; i < rt->shares->len; i++) {
		const struct routing_share *s =
			&g_array_index(rt->shares, struct routing_share, i);

		if (s->weight < 0 || s->service >= r->services->len)
			return invalid(error, rt->name,
				       "share %u is out of range", i);
		rt->total += s->weight;
	}
	if (rt->total <= 0)
		return invalid(error, rt->name, "weights add up to 0");
	return true;
}

static const struct routing_route *route_at(const struct routing *r, guint i)
{
	return &g_array_index(r->routes, struct routing_route, i);
}

static gint longest_first(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct routing *r = data;
	size_t x = strlen(route_at(r, *(const guint *)a)->prefix);
	size_t y = strlen(route_at(r, *(const guint *)b)->prefix);

	return x < y ? 1 : x > y ? -1 : 0;
}

static bool index_routes(struct routing *r, GError **error)
{
	GHashTable *places =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter it;
	void *list;
	bool ok = true;

	for (guint i = 0; i < r->routes->len && ok; i++) {
		const struct routing_route *rt = route_at(r, i);
		char *host = g_ascii_strdown(rt->host, -1);
		GArray *at = g_hash_table_lookup(r->hosts, host);

		if (!g_hash_table_add(places, g_strdup_printf("%s %s", host,
							      rt->prefix)))
			ok = invalid(error, rt->name,
				     "host %s has prefix %s twice", rt->host,
				     rt->prefix);
		if (!at) {
			at = g_array_new(FALSE, FALSE, sizeof(guint));
			g_hash_table_insert(r->hosts, g_strdup(host), at);
		}
		g_array_append_val(at, i);
		g_free(host);
	}
	g_hash_table_unref(places);
	g_hash_table_iter_init(&it, r->hosts);
	while (g_hash_table_iter_next(&it, NULL, &list))
		g_array_sort_with_data(list, longest_first, r);
	return ok;
}

static bool index_services(struct routing *r, GError **error)
{
	for (guint i = 0; i < r->services->len; i++) {
		struct routing_service *s =
			&g_array_index(r->services, struct routing_service, i);

		if (routing_service_index(r, s->name) != (int)i)
			return invalid(error, s->name,
				       "the service stands twice");
		s->by_name = g_hash_table_new(g_str_hash, g_str_equal);
		for (guint k = 0; k < s->models->len; k++) {
			struct routing_model *m = &g_array_index(
				s->models, struct routing_model, k);

			if (!g_hash_table_insert(s->by_name, m->name, m))
				return invalid(error, s->name,
					       "model %s stands twice",
					       m->name);
		}
	}
	return true;
}

bool routing_finish(struct routing *r, GError **error)
{
	if (!index_services(r, error))
		return false;
	for (guint i = 0; i < r->routes->len; i++)
		if (!check_route(r,
				 &g_array_index(r->routes, struct routing_route,
						i),
				 error))
			return false;
	return index_routes(r, error);
}

int routing_service_index(const struct routing *r, const char *name)
{
	for (guint i = 0; i < r->services->len; i++)
		if (!strcmp(g_array_index(r->services, struct routing_service,
					  i)
				    .name,
			    name))
			return (int)i;
	return -1;
}

const struct routing_service *routing_service(const struct routing *r,
					      const char *name)
{
	int at = routing_service_index(r, name);

	return at < 0 ? NULL :
			&g_array_index(r->services, struct routing_service, at);
}

static bool begins(struct ss_str path, const char *prefix)
{
	size_t n = strlen(prefix);

	return path.n >= n && memcmp(path.p, prefix, n) == 0;
}

const struct routing_route *
routing_match(const struct routing *r, struct ss_str host, struct ss_str path)
{
	const char *colon = memchr(host.p, ':', host.n);
	size_t n = colon ? (size_t)(colon - host.p) : host.n;
	char *key = g_ascii_strdown(host.p ? host.p : "", (gssize)n);
	GArray *at = g_hash_table_lookup(r->hosts, key);

	g_free(key);
	for (guint i = 0; at && i < at->len; i++) {
		const struct routing_route *rt =
			route_at(r, g_array_index(at, guint, i));

		if (begins(path, rt->prefix))
			return rt;
	}
	return NULL;
}

const struct routing_service *routing_pick(const struct routing *r,
					   const struct routing_route *rt,
					   uint64_t random)
{
	int64_t at = (int64_t)(random % (uint64_t)rt->total);

	for (guint i = 0; i < rt->shares->len; i++) {
		const struct routing_share *s =
			&g_array_index(rt->shares, struct routing_share, i);

		if (at < s->weight)
			return &g_array_index(r->services,
					      struct routing_service,
					      s->service);
		at -= s->weight;
	}
	g_assert_not_reached();
}

const struct routing_model *routing_model(const struct routing_service *s,
					  const char *name)
{
	return s->by_name ? g_hash_table_lookup(s->by_name, name) : NULL;
}
