/* Exchange of stream logs between processes. */
#include "stream_wire.h"

/* Lifetimes are rounded up to this step, in ms, so that more streams share a
 * group. */
#define LIFETIME_STEP_MS 5000

static int64_t round_up(int64_t ms)
{
	return (ms + LIFETIME_STEP_MS - 1) / LIFETIME_STEP_MS *
	       LIFETIME_STEP_MS;
}

/* Returns the index of the item's group. A version has one of its own: a group
 * with streams doesn't tell that its version serves. */
static guint group_of(struct stream_wire *w, const struct stream_item *x)
{
	struct stream_group g = { .service = ss_str(x->service),
				  .version = ss_str(x->version),
				  .ttl_ms = round_up(x->ttl_ms) };

	for (guint i = 0; i < w->groups->len; i++) {
		const struct stream_group *other =
			&g_array_index(w->groups, struct stream_group, i);
		const GString *keys = w->keys->pdata[i];

		if (!keys->len == !x->key && other->ttl_ms == g.ttl_ms &&
		    ss_str_eq(other->service, g.service) &&
		    ss_str_eq(other->version, g.version))
			return i;
	}
	g_array_append_val(w->groups, g);
	g_ptr_array_add(w->keys, g_string_new(NULL));
	return w->groups->len - 1;
}

static void keys_free(void *p)
{
	g_string_free(p, TRUE);
}

void stream_wire_pack(struct stream_wire *w, const GArray *items)
{
	w->groups = g_array_new(FALSE, FALSE, sizeof(struct stream_group));
	w->keys = g_ptr_array_new_with_free_func(keys_free);
	for (guint i = 0; i < items->len; i++) {
		const struct stream_item *x =
			&g_array_index(items, struct stream_item, i);
		uint64_t key = GUINT64_TO_LE(x->key);
		guint group = group_of(w, x);
		GString *keys = w->keys->pdata[group];

		if (key)
			g_string_append_len(keys, (char *)&key, sizeof(key));
	}
	for (guint i = 0; i < w->groups->len; i++)
		g_array_index(w->groups, struct stream_group, i).keys =
			ss_str_gs(w->keys->pdata[i]);
	w->m.groups = (struct wire_list){ w->groups->data, w->groups->len };
}

void stream_wire_clear(struct stream_wire *w)
{
	g_array_unref(w->groups);
	g_ptr_array_unref(w->keys);
}

size_t stream_wire_apply(struct stream_log *l, const struct msg_streams *m,
			 int64_t now)
{
	const struct stream_group *g = m->groups.items;
	size_t n = 0;

	for (size_t i = 0; i < m->groups.n; i++) {
		char *service = ss_str_dup(g[i].service);
		char *version = ss_str_dup(g[i].version);
		struct stream_item x = { .service = service,
					 .version = version,
					 .ttl_ms = g[i].ttl_ms };

		if (!g[i].keys.n)
			stream_log_add(l, &x, now);
		for (size_t at = 0; at + sizeof(x.key) <= g[i].keys.n;
		     at += sizeof(x.key)) {
			memcpy(&x.key, g[i].keys.p + at, sizeof(x.key));
			x.key = GUINT64_FROM_LE(x.key);
			if (!x.key)
				continue;
			stream_log_add(l, &x, now);
			n++;
		}
		g_free(service);
		g_free(version);
	}
	return n;
}
