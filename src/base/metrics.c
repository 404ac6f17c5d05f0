/* Registry of counters, gauges and histograms by name and labels. */
#include "metrics.h"

struct metrics {
	GTree *values; /* "name{labels}" -> uint64_t */
	GTree *hists;  /* "name\nlabels" -> struct hist */
};

/* Upper bounds of the buckets that are exported. */
static const uint64_t bounds_ms[] = { 1,     2,	    5,	   10,	  20,	50,
				      100,   200,   500,   1000,  2000, 5000,
				      10000, 20000, 60000, 300000 };

static int compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

struct metrics *metrics_new(void)
{
	struct metrics *m = g_new0(struct metrics, 1);

	m->values = g_tree_new_full(compare_keys, NULL, g_free, g_free);
	m->hists = g_tree_new_full(compare_keys, NULL, g_free, g_free);
	return m;
}

void metrics_free(struct metrics *m)
{
	if (!m)
		return;
	g_tree_destroy(m->values);
	g_tree_destroy(m->hists);
	g_free(m);
}

static void *find_or_add(GTree *tree, char *key, size_t size)
{
	void *v = g_tree_lookup(tree, key);

	if (v) {
		g_free(key);
		return v;
	}
	v = g_malloc0(size);
	g_tree_insert(tree, key, v);
	return v;
}

uint64_t *metrics_value(struct metrics *m, const char *name, const char *labels)
{
	char *key = *labels ? g_strdup_printf("%s{%s}", name, labels) :
			      g_strdup(name);

	return find_or_add(m->values, key, sizeof(uint64_t));
}

struct hist *metrics_hist(struct metrics *m, const char *name,
			  const char *labels)
{
	char *key = g_strdup_printf("%s\n%s", name, labels);

	return find_or_add(m->hists, key, sizeof(struct hist));
}

static gboolean print_value(gpointer key, gpointer value, gpointer out)
{
	g_string_append_printf(out, "%s %" PRIu64 "\n", (char *)key,
			       *(uint64_t *)value);
	return FALSE;
}

static gboolean print_hist(gpointer key, gpointer value, gpointer out)
{
	const struct hist *h = value;
	const char *labels = strchr(key, '\n') + 1;
	int n = (int)(labels - 1 - (char *)key);
	const char *comma = *labels ? "," : "";

	for (size_t i = 0; i < G_N_ELEMENTS(bounds_ms); i++)
		g_string_append_printf(out,
				       "%.*s_bucket{%s%sle=\"%" PRIu64
				       "\"} %" PRIu64 "\n",
				       n, (char *)key, labels, comma,
				       bounds_ms[i],
				       hist_count_le(h, bounds_ms[i]));
	g_string_append_printf(out,
			       "%.*s_bucket{%s%sle=\"+Inf\"} %" PRIu64
			       "\n%.*s_sum{%s} %" PRIu64
			       "\n%.*s_count{%s} %" PRIu64 "\n",
			       n, (char *)key, labels, comma, h->count, n,
			       (char *)key, labels, h->sum, n, (char *)key,
			       labels, h->count);
	return FALSE;
}

void metrics_print(const struct metrics *m, GString *out)
{
	g_tree_foreach(m->values, print_value, out);
	g_tree_foreach(m->hists, print_hist, out);
}
