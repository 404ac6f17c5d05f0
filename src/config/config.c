/* Process settings: field tables and validation. */
#include "config.h"

#include "../core/state.h"
#include "../net/addr.h"

#define HOUR_MS (3600 * 1000LL)
#define PETABYTE (1LL << 50)

static const char *const roles[] = { "entry", "agent", "control", NULL };
static const char *const kinds[] = { "engine", "service", NULL };
static const char *const levels[] = { "error", "warn", "info", "debug", NULL };

#define STR(key, type, member, value)                                          \
	{                                                                      \
		key, SETTING_STR, offsetof(struct type, member), 0, 0, 0,      \
			value, NULL, NULL, false                               \
	}
#define INT(key, type, member, min, max, value)                                \
	{                                                                      \
		key, SETTING_INT, offsetof(struct type, member), min, max,     \
			value, NULL, NULL, NULL, false                         \
	}
#define NUM(key, type, member, min, max, value)                                \
	{                                                                      \
		key, SETTING_NUM, offsetof(struct type, member), min, max,     \
			value, NULL, NULL, NULL, false                         \
	}
#define BOOL(key, type, member)                                                \
	{                                                                      \
		key, SETTING_BOOL, offsetof(struct type, member), 0, 1, 0,     \
			NULL, NULL, NULL, false                                \
	}
#define SUB(key, type, member, sub)                                            \
	{                                                                      \
		key, SETTING_OBJECT, offsetof(struct type, member), 0, 0, 0,   \
			NULL, NULL, &(sub), false                              \
	}

static const struct setting rule_fields[] = {
	STR("method", config_rule, method, ""),
	STR("path", config_rule, path, "/"),
	{ "repeatable", SETTING_BOOL, offsetof(struct config_rule, repeatable),
	  0, 1, 0, NULL, NULL, NULL, true },
};
static const struct setting_type rule_type =
	SETTING_TYPE(struct config_rule, rule_fields);

static const struct setting header_fields[] = {
	STR("deadline", config_headers, deadline, "X-Deadline-Ms"),
	STR("class", config_headers, class_name, "X-Class"),
	STR("customer", config_headers, customer, "X-Tenant"),
	STR("once", config_headers, once, "X-Run-Once"),
};
static const struct setting_type header_type =
	SETTING_TYPE(struct config_headers, header_fields);

static const struct setting entry_fields[] = {
	STR("listen", config_entry, listen, "127.0.0.1:8080"),
	INT("max_body_bytes", config_entry, max_body_bytes, 1, 15 << 20,
	    4 << 20),
	INT("receive_ms", config_entry, receive_ms, 100, HOUR_MS, 10000),
	INT("drain_ms", config_entry, drain_ms, 0, HOUR_MS, 1000),
	INT("drain_max_ms", config_entry, drain_max_ms, 0, 24 * HOUR_MS,
	    10 * 60 * 1000),
	SUB("headers", config_entry, headers, header_type),
	{ "rules", SETTING_MAP, offsetof(struct config_entry, rules), 0, 0, 0,
	  NULL, NULL, &rule_type, false },
};
static const struct setting_type entry_type =
	SETTING_TYPE(struct config_entry, entry_fields);

static const struct setting agent_fields[] = {
	{ "kind", SETTING_CHOICE, offsetof(struct config_agent, kind), 0, 0, 0,
	  "engine", kinds, NULL, false },
	STR("pool", config_agent, pool, "default"),
	STR("endpoint", config_agent, endpoint, "127.0.0.1:8000"),
	INT("slots", config_agent, slots, 1, 100000, 16),
	INT("drain_max_ms", config_agent, drain_max_ms, 0, 24 * HOUR_MS,
	    10 * 60 * 1000),
};
static const struct setting_type agent_type =
	SETTING_TYPE(struct config_agent, agent_fields);

static const struct setting control_fields[] = {
	STR("data", config_control, data, "data"),
	STR("operator_listen", config_control, operator_listen,
	    "127.0.0.1:7300"),
	STR("token_file", config_control, token_file, ""),
	STR("platform", config_control, platform, ""),
	STR("models_file", config_control, models_file, ""),
	STR("presets_dir", config_control, presets_dir, ""),
	STR("first_preset", config_control, first_preset, ""),
	INT("snapshot_entries", config_control, snapshot_entries, 16, 1000000,
	    2000),
	BOOL("found_group", config_control, found_group),
};
static const struct setting_type control_type =
	SETTING_TYPE(struct config_control, control_fields);

static const struct setting fleet_fields[] = {
	BOOL("on", config_fleet, on),
	STR("listen", config_fleet, listen, ""),
	STR("ready_listen", config_fleet, ready_listen, ""),
	STR("operator_listen", config_fleet, operator_listen, ""),
	STR("vm_list", config_fleet, vm_list, ""),
	NUM("lease_ms", config_fleet, lease_ms, 0, HOUR_MS, 3000),
	STR("endpoint", config_fleet, endpoint, ""),
	STR("holder", config_fleet, holder, ""),
	NUM("grace_s", config_fleet, grace_s, 0, 3600, 8),
	INT("accept_ms", config_fleet, accept_ms, 0, HOUR_MS, 2600),
	NUM("retry_ratio", config_fleet, retry_ratio, 0, 10, 0),
	NUM("retry_window_s", config_fleet, retry_window_s, 0.1, 3600, 10),
	NUM("retry_slack", config_fleet, retry_slack, 0, 1000000, 0),
	NUM("quota_window_s", config_fleet, quota_window_s, 0.1, 3600, 1),
	NUM("quota_overage", config_fleet, quota_overage, 0, 10, 0),
	NUM("quota_extra", config_fleet, quota_extra, 0, 1e12, 0),
	INT("adapter_wait_ms", config_fleet, adapter_wait_ms, 1, HOUR_MS, 400),
	INT("patience_ms", config_fleet, patience_ms, 1, HOUR_MS, 2000),
	INT("patience_objectives", config_fleet, patience_objectives, 0, 1000,
	    4),
	INT("patience_pauses", config_fleet, patience_pauses, 0, 1000, 8),
	NUM("keys_trust_ms", config_fleet, keys_trust_ms, 0, HOUR_MS, 0),
	NUM("memory_mb", config_fleet, memory_mb, 0, 1e9, 0),
};
static const struct setting_type fleet_type =
	SETTING_TYPE(struct config_fleet, fleet_fields);

static const struct setting config_fields[] = {
	{ "role", SETTING_CHOICE, offsetof(struct config, role), 0, 0, 0,
	  "entry", roles, NULL, true },
	{ "name", SETTING_STR, offsetof(struct config, name), 0, 0, 0, "", NULL,
	  NULL, true },
	STR("domain", config, domain, ""),
	STR("listen", config, listen, "127.0.0.1:7100"),
	STR("advertise", config, advertise, ""),
	STR("status_listen", config, status_listen, ""),
	STR("log_level", config, log_level, "info"),
	{ "control", SETTING_STRS, offsetof(struct config, control), 0, 64, 0,
	  NULL, NULL, NULL, true },
	INT("control_port", config, control_port, 0, 65535, 0),
	SUB("fleet", config, fleet, fleet_type),
	SUB("entry", config, entry, entry_type),
	SUB("agent", config, agent, agent_type),
	SUB("control_vm", config, ctl, control_type),
};
const struct setting_type config_type =
	SETTING_TYPE(struct config, config_fields);

static void add_fault(GString *faults, const char *file, const char *field,
		      const char *text)
{
	g_string_append_printf(faults, "%s%s:1: %s: %s",
			       faults->len ? "\n" : "", file, field, text);
}

static void check_addr(GString *faults, const char *file, const char *field,
		       const char *addr)
{
	GError *e = NULL;

	if (!*addr || addr_check(addr, &e))
		return;
	add_fault(faults, file, field, e->message);
	g_error_free(e);
}

static bool is_log_level(const char *level)
{
	for (int i = 0; levels[i]; i++)
		if (!strcmp(levels[i], level))
			return true;
	return false;
}

static void check(const struct config *c, const char *file, GString *faults)
{
	if (!*c->name)
		add_fault(faults, file, "name", "must not be empty");
	if (!is_log_level(c->log_level))
		add_fault(faults, file, "log_level",
			  "expected one of error, warn, info, debug");
	check_addr(faults, file, "listen", c->listen);
	check_addr(faults, file, "advertise", c->advertise);
	check_addr(faults, file, "status_listen", c->status_listen);
	check_addr(faults, file, "entry.listen", c->entry.listen);
	check_addr(faults, file, "agent.endpoint", c->agent.endpoint);
	check_addr(faults, file, "control_vm.operator_listen",
		   c->ctl.operator_listen);
	check_addr(faults, file, "control_vm.platform", c->ctl.platform);
	for (guint i = 0; i < c->control->len; i++)
		check_addr(faults, file, "control", c->control->pdata[i]);
	check_addr(faults, file, "fleet.listen", c->fleet.listen);
	check_addr(faults, file, "fleet.ready_listen", c->fleet.ready_listen);
	check_addr(faults, file, "fleet.operator_listen",
		   c->fleet.operator_listen);
	check_addr(faults, file, "fleet.vm_list", c->fleet.vm_list);
	check_addr(faults, file, "fleet.endpoint", c->fleet.endpoint);
	if (c->role == CONFIG_CONTROL && !*c->ctl.token_file && !c->fleet.on)
		add_fault(faults, file, "control_vm.token_file",
			  "missing: operators need a token");
}

/* Replaces the port of each control address: the platform lists control VMs
 * with a port that isn't the one for frames. */
static void set_control_port(struct config *c)
{
	for (guint i = 0; c->control_port && i < c->control->len; i++) {
		char *old = c->control->pdata[i];
		char *colon = strrchr(old, ':');

		if (colon)
			*colon = 0;
		c->control->pdata[i] =
			g_strdup_printf("%s:%" PRId64, old, c->control_port);
		g_free(old);
	}
}

bool config_load(struct config *c, const char *file, GError **error)
{
	GString *faults;
	bool ok;

	if (!settings_load(&config_type, c, file, error))
		return false;
	faults = g_string_new(NULL);
	check(c, file, faults);
	ok = faults->len == 0;
	if (ok)
		set_control_port(c);
	if (!ok) {
		g_set_error(error, SS_ERROR, SS_ERROR_SETTINGS, "%s",
			    faults->str);
		config_clear(c);
	}
	g_string_free(faults, TRUE);
	return ok;
}

void config_clear(struct config *c)
{
	settings_clear(&config_type, c);
}

static const struct setting model_fields[] = {
	STR("base", config_model, base, ""),
	STR("pool", config_model, pool, ""),
	{ "bytes", SETTING_INT, offsetof(struct config_model, bytes), 1,
	  PETABYTE, 0, NULL, NULL, NULL, true },
	INT("slots", config_model, slots, 1, 100000, 8),
};
static const struct setting_type model_type =
	SETTING_TYPE(struct config_model, model_fields);

static const struct setting models_fields[] = {
	{ "models", SETTING_MAP, offsetof(struct config_models, models), 0, 0,
	  0, NULL, NULL, &model_type, true },
};
static const struct setting_type models_type =
	SETTING_TYPE(struct config_models, models_fields);

bool config_models_parse(struct config_models *m, const char *file,
			 struct ss_str text, GError **error)
{
	return settings_parse(&models_type, m, file, text, error);
}

void config_models_clear(struct config_models *m)
{
	settings_clear(&models_type, m);
}

struct model_rec *config_models_records(const struct config_models *m)
{
	struct model_rec *recs = g_new0(struct model_rec, m->models->len);

	for (guint i = 0; i < m->models->len; i++) {
		const struct config_model *x = m->models->pdata[i];

		recs[i].name = ss_str(x->name);
		recs[i].base = ss_str(x->base);
		recs[i].pool = ss_str(x->pool);
		recs[i].bytes = (uint64_t)x->bytes;
		recs[i].slots = (uint64_t)x->slots;
	}
	return recs;
}
