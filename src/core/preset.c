/* Presets: their settings, defaults and checks. */
#include "preset.h"

#include <sapphireshift/queue.h>

#define DAY_MS (24 * 3600 * 1000LL)

static const struct setting class_fields[] = {
	{ "deadline_ms", SETTING_INT,
	  offsetof(struct preset_class, deadline_ms), 1, DAY_MS, 30000, NULL,
	  NULL, NULL, true },
	{ "priority", SETTING_INT, offsetof(struct preset_class, priority), 0,
	  SS_QUEUE_PRIORITIES - 1, 4, NULL, NULL, NULL, false },
	{ "reserve_percent", SETTING_INT,
	  offsetof(struct preset_class, reserve_percent), 0, 90, 0, NULL, NULL,
	  NULL, false },
};
static const struct setting_type class_type =
	SETTING_TYPE(struct preset_class, class_fields);

static const struct setting customer_fields[] = {
	{ "share", SETTING_INT, offsetof(struct preset_customer, share), 1,
	  1000, 1, NULL, NULL, NULL, false },
	{ "max_waiting", SETTING_INT,
	  offsetof(struct preset_customer, max_waiting), 1, 1000000, 1000, NULL,
	  NULL, NULL, false },
};
static const struct setting_type customer_type =
	SETTING_TYPE(struct preset_customer, customer_fields);

static const struct setting preset_fields[] = {
	{ "cold_weight", SETTING_INT, offsetof(struct preset, cold_weight), 0,
	  100, 50, NULL, NULL, NULL, false },
	{ "keep_min_ms", SETTING_INT, offsetof(struct preset, keep_min_ms), 0,
	  DAY_MS, 5000, NULL, NULL, NULL, false },
	{ "keep_max_ms", SETTING_INT, offsetof(struct preset, keep_max_ms), 0,
	  DAY_MS, 3600000, NULL, NULL, NULL, false },
	{ "wake_ahead", SETTING_BOOL, offsetof(struct preset, wake_ahead), 0, 1,
	  1, NULL, NULL, NULL, false },
	{ "max_replicas", SETTING_INT, offsetof(struct preset, max_replicas), 1,
	  1000, 4, NULL, NULL, NULL, false },
	{ "store_per_minute", SETTING_INT,
	  offsetof(struct preset, store_per_minute), 1, 100000, 600, NULL, NULL,
	  NULL, false },
	{ "store_parallel", SETTING_INT,
	  offsetof(struct preset, store_parallel), 1, 1000, 4, NULL, NULL, NULL,
	  false },
	{ "retry_percent", SETTING_INT, offsetof(struct preset, retry_percent),
	  0, 100, 10, NULL, NULL, NULL, false },
	{ "customer_max_waiting", SETTING_INT,
	  offsetof(struct preset, customer_max_waiting), 1, 1000000, 1000, NULL,
	  NULL, NULL, false },
	{ "default_class", SETTING_STR, offsetof(struct preset, default_class),
	  0, 0, 0, "interactive", NULL, NULL, false },
	{ "classes", SETTING_MAP, offsetof(struct preset, classes), 0, 0, 0,
	  NULL, NULL, &class_type, true },
	{ "customers", SETTING_MAP, offsetof(struct preset, customers), 0, 0, 0,
	  NULL, NULL, &customer_type, false },
	{ "pinned", SETTING_STRS, offsetof(struct preset, pinned), 0, 1000, 0,
	  NULL, NULL, NULL, false },
};
const struct setting_type preset_type =
	SETTING_TYPE(struct preset, preset_fields);

const char preset_built_in[] =
	"{\"classes\":{\"interactive\":{\"deadline_ms\":30000,\"priority\":5},"
	"\"query\":{\"deadline_ms\":10000,\"priority\":6},"
	"\"check\":{\"deadline_ms\":300000,\"priority\":3},"
	"\"batch\":{\"deadline_ms\":28800000,\"priority\":1}}}";

static const struct preset_class *find_class(const struct preset *p,
					     struct ss_str name)
{
	for (guint i = 0; i < p->classes->len; i++) {
		const struct preset_class *c = p->classes->pdata[i];

		if (ss_str_eq(ss_str(c->name), name))
			return c;
	}
	return NULL;
}

/* Presets in old logs use the former name of customers, tenants. */
static GString *rename_legacy_settings(struct ss_str text)
{
	GString *s = g_string_new_len(text.p, (gssize)text.n);

	g_string_replace(s, "\"tenants\"", "\"customers\"", 0);
	g_string_replace(s, "\"tenant_max_waiting\"",
			 "\"customer_max_waiting\"", 0);
	return s;
}

bool preset_parse(struct preset *p, const char *file, struct ss_str text,
		  GError **error)
{
	GString *renamed;
	bool ok;

	if (text.n > PRESET_BYTES_MAX) {
		g_set_error(error, SS_ERROR, SS_ERROR_TOO_LARGE,
			    "%s: %zu bytes; a preset has at most %d", file,
			    text.n, PRESET_BYTES_MAX);
		return false;
	}
	renamed = rename_legacy_settings(text);
	ok = settings_parse(&preset_type, p, file, ss_str_gs(renamed), error);
	g_string_free(renamed, TRUE);
	if (!ok)
		return false;
	if (!find_class(p, ss_str(p->default_class))) {
		g_set_error(error, SS_ERROR, SS_ERROR_SETTINGS,
			    "%s:1: default_class: \"%s\" is not among the "
			    "classes",
			    file, p->default_class);
		preset_clear(p);
		return false;
	}
	if (p->keep_min_ms > p->keep_max_ms) {
		g_set_error(error, SS_ERROR, SS_ERROR_SETTINGS,
			    "%s:1: keep_min_ms: greater than keep_max_ms",
			    file);
		preset_clear(p);
		return false;
	}
	return true;
}

void preset_clear(struct preset *p)
{
	settings_clear(&preset_type, p);
}

const struct preset_class *preset_class_of(const struct preset *p,
					   struct ss_str name)
{
	const struct preset_class *c = find_class(p, name);

	return c ? c : find_class(p, ss_str(p->default_class));
}

const struct preset_customer *preset_customer_of(const struct preset *p,
						 struct ss_str name)
{
	for (guint i = 0; i < p->customers->len; i++) {
		const struct preset_customer *c = p->customers->pdata[i];

		if (ss_str_eq(ss_str(c->name), name))
			return c;
	}
	return NULL;
}

bool preset_pins(const struct preset *p, struct ss_str model)
{
	for (guint i = 0; i < p->pinned->len; i++)
		if (ss_str_eq(ss_str(p->pinned->pdata[i]), model))
			return true;
	return false;
}
