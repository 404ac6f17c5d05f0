/* Creation of a new control group: its initial log on disk. */
#include "bootstrap.h"

#include "../core/preset.h"
#include "../core/state.h"
#include "../disk/disk.h"

#include <stdio.h>
#include <xxhash.h>

struct initial_log {
	GArray *entries; /* struct ss_raft_entry with data owned */
};

static void add_entry(struct initial_log *s, int64_t kind, GString *data)
{
	struct ss_raft_entry e = { .index = s->entries->len + 1,
				   .term = 1,
				   .kind = kind };

	e.data.n = data->len;
	e.data.p = g_string_free(data, FALSE);
	g_array_append_val(s->entries, e);
}

static void add_command(struct initial_log *s, struct command *c)
{
	/* No timestamp: all founders must write identical entries. */
	c->author = SS_LIT("bootstrap");
	add_entry(s, SS_RAFT_DATA, ss_command_encode(c));
}

static void add_members(struct initial_log *s, const struct config *c,
			uint64_t id)
{
	const char *addr = *c->advertise ? c->advertise : c->listen;
	struct ss_raft_member self = { .id = id,
				       .name = ss_str(c->name),
				       .addr = ss_str(addr),
				       .voter = true };
	struct ss_raft_members all = { &self, 1 };

	add_entry(s, SS_RAFT_MEMBERS, ss_raft_encode_members(&all));
}

static bool read_text(const char *file, char **text, gsize *n, GError **error)
{
	GError *e = NULL;

	if (g_file_get_contents(file, text, n, &e))
		return true;
	g_set_error(error, SS_ERROR, SS_ERROR_IO, "%s", e->message);
	g_error_free(e);
	return false;
}

static bool add_preset(struct initial_log *s, const char *name,
		       const char *file, struct ss_str text, GError **error)
{
	struct preset_rec rec = { .name = ss_str(name) };
	struct command c = { .kind = COMMAND_PRESET_PUT, .preset = &rec };
	struct preset p;
	char *plain;

	if (!preset_parse(&p, file, text, error))
		return false;
	preset_clear(&p);
	plain = settings_plain_json(file, text, error);
	if (!plain)
		return false;
	rec.body = ss_str(plain);
	add_command(s, &c);
	g_free(plain);
	return true;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static bool add_presets(struct initial_log *s, const char *folder,
			GError **error)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	GPtrArray *names;
	const char *entry;
	bool ok = true;

	if (!dir) {
		g_set_error(error, SS_ERROR, SS_ERROR_IO, "can't read %s",
			    folder);
		return false;
	}
	/* Sorted by name, so that the order is the same on every VM. */
	names = g_ptr_array_new_with_free_func(g_free);
	while ((entry = g_dir_read_name(dir)))
		g_ptr_array_add(names, g_strdup(entry));
	g_ptr_array_sort(names, compare_names);
	for (guint i = 0; ok && i < names->len; i++) {
		char *file = g_build_filename(folder, names->pdata[i], NULL);
		char *name = g_strdup(names->pdata[i]);
		char *dot = strrchr(name, '.');
		char *text;
		gsize n;

		if (dot && !strcmp(dot, ".json")) {
			*dot = 0;
			ok = read_text(file, &text, &n, error);
			if (ok) {
				ok = add_preset(s, name, file,
						(struct ss_str){ text, n },
						error);
				g_free(text);
			}
		}
		g_free(name);
		g_free(file);
	}
	g_ptr_array_unref(names);
	g_dir_close(dir);
	return ok;
}

static bool add_models(struct initial_log *s, const char *file, GError **error)
{
	struct config_models m;
	struct command c = { .kind = COMMAND_MODELS_PUT };
	struct model_rec *recs;
	char *text;
	gsize n;
	bool ok;

	if (!read_text(file, &text, &n, error))
		return false;
	ok = config_models_parse(&m, file, (struct ss_str){ text, n }, error);
	g_free(text);
	if (!ok)
		return false;
	recs = config_models_records(&m);
	c.models = recs;
	c.n_models = m.models->len;
	add_command(s, &c);
	g_free(recs);
	config_models_clear(&m);
	return true;
}

static void add_preset_switch(struct initial_log *s, const char *name)
{
	struct preset_rec rec = { .name = ss_str(name) };
	struct command c = { .kind = COMMAND_PRESET_SWITCH, .preset = &rec };

	add_command(s, &c);
}

static bool add_settings(struct initial_log *s, const struct config *c,
			 GError **error)
{
	if (*c->ctl.models_file && !add_models(s, c->ctl.models_file, error))
		return false;
	if (*c->ctl.presets_dir && !add_presets(s, c->ctl.presets_dir, error))
		return false;
	if (*c->ctl.first_preset)
		add_preset_switch(s, c->ctl.first_preset);
	return true;
}

static void clear_entry(void *e)
{
	g_free((char *)((struct ss_raft_entry *)e)->data.p);
}

bool bootstrap_group(const struct config *c, GError **error)
{
	struct disk_options o = { .folder = c->ctl.data };
	struct initial_log s;
	struct disk_state st;
	struct disk *d;
	bool ok = false;

	if (c->role != CONFIG_CONTROL) {
		g_set_error(error, SS_ERROR, SS_ERROR_SETTINGS,
			    "only a control VM makes a group");
		return false;
	}
	d = disk_open(&o, &st, error);
	if (!d)
		return false;
	s.entries = g_array_new(FALSE, FALSE, sizeof(struct ss_raft_entry));
	g_array_set_clear_func(s.entries, clear_entry);
	if (st.group || st.n_entries) {
		g_set_error(error, SS_ERROR, SS_ERROR_CONFLICT,
			    "%s belongs to a group already", c->ctl.data);
		goto out;
	}
	add_members(&s, c, st.id);
	if (!add_settings(&s, c, error))
		goto out;
	ok = disk_append(d, (struct ss_raft_entry *)s.entries->data,
			 s.entries->len, error) &&
	     disk_sync(d, error) && disk_save_vote(d, 1, st.id, error) &&
	     disk_set_group(d, ss_unique_id(), error);
	if (ok)
		printf("%s: group made with %u entries\n", c->ctl.data,
		       s.entries->len);
out:
	g_array_unref(s.entries);
	disk_close(d);
	return ok;
}

static uint64_t founder_id(const char *addr)
{
	/* Never 0, which stands for no member. */
	return XXH3_64bits(addr, strlen(addr)) | 1;
}

static void add_founders(struct initial_log *s, const GPtrArray *addrs)
{
	struct ss_raft_members all = { 0 };

	all.m = g_new0(struct ss_raft_member, addrs->len);
	for (guint i = 0; i < addrs->len; i++) {
		all.m[all.n].id = founder_id(addrs->pdata[i]);
		all.m[all.n].name = ss_str(addrs->pdata[i]);
		all.m[all.n].addr = ss_str(addrs->pdata[i]);
		all.m[all.n++].voter = true;
	}
	add_entry(s, SS_RAFT_MEMBERS, ss_raft_encode_members(&all));
	g_free(all.m);
}

static uint64_t founders_group_id(const GPtrArray *addrs)
{
	GString *all = g_string_new(NULL);
	uint64_t id;

	for (guint i = 0; i < addrs->len; i++)
		g_string_append_printf(all, "%s ", (char *)addrs->pdata[i]);
	id = XXH3_64bits(all->str, all->len) | 1;
	g_string_free(all, TRUE);
	return id;
}

static GPtrArray *sorted_copy(const GPtrArray *addrs)
{
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < addrs->len; i++)
		g_ptr_array_add(out, addrs->pdata[i]);
	g_ptr_array_sort(out, compare_names);
	return out;
}

bool bootstrap_founders(const struct config *c, const char *addr,
			struct disk **disk, struct disk_state *st,
			GError **error)
{
	struct disk_options o = { .folder = c->ctl.data };
	GPtrArray *addrs;
	struct initial_log s;
	bool ok;

	if (!c->ctl.found_group || st->group ||
	    !g_ptr_array_find_with_equal_func(c->control, addr, g_str_equal,
					      NULL))
		return true;
	addrs = sorted_copy(c->control);
	s.entries = g_array_new(FALSE, FALSE, sizeof(struct ss_raft_entry));
	g_array_set_clear_func(s.entries, clear_entry);
	add_founders(&s, addrs);
	/* Overwrites what an interrupted start left. The group id is written
	 * last, so that it exists only together with the complete log. */
	ok = add_settings(&s, c, error) && disk_truncate(*disk, 1, error) &&
	     disk_append(*disk, (struct ss_raft_entry *)s.entries->data,
			 s.entries->len, error) &&
	     disk_sync(*disk, error) && disk_save_vote(*disk, 1, 0, error) &&
	     disk_found_group(*disk, founders_group_id(addrs), founder_id(addr),
			      error);
	g_ptr_array_unref(addrs);
	g_array_unref(s.entries);
	if (!ok)
		return false;
	disk_close(*disk);
	*disk = disk_open(&o, st, error);
	return *disk != NULL;
}
