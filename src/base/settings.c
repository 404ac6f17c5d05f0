/* Table-driven reader for settings in JSON with comments. */
#include "settings.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <math.h>

/* Bounds the parser's recursion; the settings nest four levels deep. */
#define DEPTH_MAX 16
/* 2^53: a double represents every integer up to here exactly. */
#define EXACT_INT_MAX 9007199254740992.0

/*
 * Returns a copy with comments replaced by spaces, so that a search for a key
 * can't match inside a comment. Offsets and lines stay the same.
 */
static GString *without_comments(struct ss_str text)
{
	GString *out = g_string_new_len(text.p, (gssize)text.n);
	char in = 0; /* 0, or '"' in a string, '/' or '*' in a comment */

	for (size_t i = 0; i < out->len; i++) {
		char c = out->str[i];
		char next = i + 1 < out->len ? out->str[i + 1] : 0;

		if (in == '"') {
			if (c == '\\')
				i++;
			else if (c == '"')
				in = 0;
		} else if (in == 0) {
			if (c == '"')
				in = '"';
			else if (c == '/' && (next == '/' || next == '*'))
				in = next;
		} else if (in == '*' && c == '*' && next == '/') {
			out->str[i] = out->str[i + 1] = ' ';
			in = 0;
		} else if (in == '/' && c == '\n') {
			in = 0;
		}
		if (in == '/' || in == '*')
			out->str[i] = out->str[i] == '\n' ? '\n' : ' ';
	}
	return out;
}

static unsigned int line_number(const char *text, size_t offset)
{
	unsigned int line = 1;

	for (size_t i = 0; i < offset && text[i]; i++)
		line += text[i] == '\n';
	return line;
}

struct reader {
	struct setting_errors *errors;
	GString *bare; /* text without comments */
	size_t offset; /* in bare, where the search for the next key starts */
	GString *path;
	unsigned int line;
};

G_GNUC_PRINTF(2, 3)
static void add_error(struct reader *r, const char *fmt, ...)
{
	struct setting_errors *e = r->errors;
	va_list ap;

	g_string_append_printf(e->out, "%s%s:%u: %s: ", e->count ? "\n" : "",
			       e->file, r->line, r->path->str);
	va_start(ap, fmt);
	g_string_append_vprintf(e->out, fmt, ap);
	va_end(ap);
	e->count++;
}

/*
 * Finds the line of a key for error messages. json-c keeps no positions but
 * iterates over keys in text order, so the key is at its next occurrence that
 * is followed by a colon.
 */
static void seek_key(struct reader *r, const char *key)
{
	char *quoted = g_strdup_printf("\"%s\"", key);
	const char *from = r->bare->str + r->offset;
	const char *hit = from;

	while ((hit = strstr(hit, quoted))) {
		const char *after = hit + strlen(quoted);

		while (g_ascii_isspace(*after))
			after++;
		if (*after == ':')
			break;
		hit++;
	}
	g_free(quoted);
	if (!hit)
		return;
	r->offset = (size_t)(hit - r->bare->str) + 1;
	r->line = line_number(r->bare->str, r->offset);
}

static GPtrArray *list_at(void *into, const struct setting *f)
{
	return *(GPtrArray **)((char *)into + f->offset);
}

void settings_defaults(const struct setting_type *t, void *into)
{
	memset(into, 0, t->size);
	for (size_t i = 0; i < t->n; i++) {
		const struct setting *f = &t->fields[i];
		void *at = (char *)into + f->offset;

		switch (f->kind) {
		case SETTING_INT:
			*(int64_t *)at = f->default_int;
			break;
		case SETTING_BOOL:
			*(bool *)at = f->default_int != 0;
			break;
		case SETTING_NUM:
			*(double *)at = (double)f->default_int;
			break;
		case SETTING_STR:
			*(char **)at = g_strdup(f->default_str);
			break;
		case SETTING_CHOICE:
			for (int c = 0; f->default_str && f->choices[c]; c++)
				if (!strcmp(f->choices[c], f->default_str))
					*(int *)at = c;
			break;
		case SETTING_STRS:
			*(GPtrArray **)at =
				g_ptr_array_new_with_free_func(g_free);
			break;
		case SETTING_OBJECT:
			settings_defaults(f->type, at);
			break;
		case SETTING_MAP:
			*(GPtrArray **)at = g_ptr_array_new();
			break;
		}
	}
}

void settings_clear(const struct setting_type *t, void *s)
{
	for (size_t i = 0; i < t->n; i++) {
		const struct setting *f = &t->fields[i];
		void *at = (char *)s + f->offset;
		GPtrArray *list;

		switch (f->kind) {
		case SETTING_STR:
			g_free(*(char **)at);
			break;
		case SETTING_STRS:
			if (*(GPtrArray **)at)
				g_ptr_array_unref(*(GPtrArray **)at);
			break;
		case SETTING_OBJECT:
			settings_clear(f->type, at);
			break;
		case SETTING_MAP:
			list = *(GPtrArray **)at;
			for (guint k = 0; list && k < list->len; k++) {
				void *item = list->pdata[k];
				char *name = *(char **)item;

				settings_clear(f->type, item);
				g_free(name);
				g_free(item);
			}
			if (list)
				g_ptr_array_unref(list);
			break;
		default:
			break;
		}
	}
	memset(s, 0, t->size);
}

static void read_object(struct reader *r, const struct setting_type *t,
			void *into, json_object *o, int depth);

/* Returns true for 250.0 and 2.5e2 as well, as templates may produce them. */
static bool is_integer(json_object *v)
{
	double d = json_object_get_double(v);

	return json_object_is_type(v, json_type_int) ||
	       (json_object_is_type(v, json_type_double) && d == floor(d) &&
		fabs(d) <= EXACT_INT_MAX);
}

static void read_int(struct reader *r, const struct setting *f, void *at,
		     json_object *v)
{
	int64_t n;

	if (!is_integer(v)) {
		add_error(r, "expected a whole number from %.15g to %.15g",
			  f->min, f->max);
		return;
	}
	n = json_object_get_int64(v);
	if ((double)n < f->min || (double)n > f->max) {
		add_error(r, "%" PRId64 " is out of range: %.15g to %.15g", n,
			  f->min, f->max);
		return;
	}
	*(int64_t *)at = n;
}

static void read_num(struct reader *r, const struct setting *f, void *at,
		     json_object *v)
{
	double n = json_object_get_double(v);

	if ((!json_object_is_type(v, json_type_int) &&
	     !json_object_is_type(v, json_type_double)) ||
	    !(n >= f->min && n <= f->max)) {
		add_error(r, "expected a number from %.15g to %.15g", f->min,
			  f->max);
		return;
	}
	*(double *)at = n;
}

static void read_choice(struct reader *r, const struct setting *f, void *at,
			json_object *v)
{
	const char *s = json_object_get_string(v);
	GString *all = g_string_new(NULL);

	for (int c = 0; f->choices[c]; c++) {
		if (json_object_is_type(v, json_type_string) &&
		    !strcmp(f->choices[c], s)) {
			*(int *)at = c;
			g_string_free(all, TRUE);
			return;
		}
		g_string_append_printf(all, "%s%s", c ? ", " : "",
				       f->choices[c]);
	}
	add_error(r, "expected one of %s", all->str);
	g_string_free(all, TRUE);
}

static void read_strs(struct reader *r, const struct setting *f, void *into,
		      json_object *v)
{
	GPtrArray *list = list_at(into, f);

	if (!json_object_is_type(v, json_type_array)) {
		add_error(r, "expected a list of strings");
		return;
	}
	for (size_t i = 0; i < json_object_array_length(v); i++) {
		json_object *e = json_object_array_get_idx(v, i);

		if (!json_object_is_type(e, json_type_string)) {
			add_error(r, "item %zu: expected a string", i);
			return;
		}
		g_ptr_array_add(list, g_strdup(json_object_get_string(e)));
	}
	if (f->max > 0 && list->len > f->max)
		add_error(r, "%u items; at most %.15g", list->len, f->max);
}

static void read_map(struct reader *r, const struct setting *f, void *into,
		     json_object *v, int depth)
{
	GPtrArray *list = list_at(into, f);

	if (!json_object_is_type(v, json_type_object)) {
		add_error(r, "expected an object");
		return;
	}
	json_object_object_foreach(v, key, item) {
		gsize len = r->path->len;
		void *s = g_malloc0(f->type->size);

		settings_defaults(f->type, s);
		*(char **)s = g_strdup(key);
		g_ptr_array_add(list, s);
		seek_key(r, key);
		g_string_append_printf(r->path, ".%s", key);
		read_object(r, f->type, s, item, depth + 1);
		g_string_truncate(r->path, len);
	}
}

static void read_field(struct reader *r, const struct setting *f, void *into,
		       json_object *v, int depth)
{
	void *at = (char *)into + f->offset;

	switch (f->kind) {
	case SETTING_INT:
		read_int(r, f, at, v);
		break;
	case SETTING_NUM:
		read_num(r, f, at, v);
		break;
	case SETTING_BOOL:
		if (json_object_is_type(v, json_type_boolean))
			*(bool *)at = json_object_get_boolean(v);
		else
			add_error(r, "expected true or false");
		break;
	case SETTING_STR:
		if (!json_object_is_type(v, json_type_string)) {
			add_error(r, "expected a string");
			break;
		}
		g_free(*(char **)at);
		*(char **)at = g_strdup(json_object_get_string(v));
		break;
	case SETTING_CHOICE:
		read_choice(r, f, at, v);
		break;
	case SETTING_STRS:
		read_strs(r, f, into, v);
		break;
	case SETTING_OBJECT:
		read_object(r, f->type, at, v, depth + 1);
		break;
	case SETTING_MAP:
		read_map(r, f, into, v, depth);
		break;
	}
}

static const struct setting *find_field(const struct setting_type *t,
					const char *name)
{
	for (size_t i = 0; i < t->n; i++)
		if (!strcmp(t->fields[i].name, name))
			return &t->fields[i];
	return NULL;
}

static void read_object(struct reader *r, const struct setting_type *t,
			void *into, json_object *o, int depth)
{
	unsigned int line = r->line;
	gsize len = r->path->len;

	if (!json_object_is_type(o, json_type_object) || depth > DEPTH_MAX) {
		add_error(r, "expected an object");
		return;
	}
	json_object_object_foreach(o, key, value) {
		const struct setting *f = find_field(t, key);

		seek_key(r, key);
		g_string_append_printf(r->path, "%s%s", len ? "." : "", key);
		if (f)
			read_field(r, f, into, value, depth);
		else
			add_error(r, "unknown setting");
		g_string_truncate(r->path, len);
	}
	for (size_t i = 0; i < t->n; i++) {
		const struct setting *f = &t->fields[i];

		if (!f->required || json_object_object_get_ex(o, f->name, NULL))
			continue;
		r->line = line;
		g_string_append_printf(r->path, "%s%s", len ? "." : "",
				       f->name);
		add_error(r, "missing, and it has no default");
		g_string_truncate(r->path, len);
	}
}

/* Parses to a tree; on a syntax error returns NULL and reports the line. */
static json_object *parse_tree(const char *file, struct ss_str text,
			       GError **error)
{
	json_tokener *tok = json_tokener_new_ex(DEPTH_MAX);
	json_object *o;
	enum json_tokener_error e;

	o = json_tokener_parse_ex(tok, text.p, (int)MIN(text.n, INT_MAX));
	e = json_tokener_get_error(tok);
	if (e == json_tokener_continue)
		e = json_tokener_error_parse_eof;
	if (e != json_tokener_success) {
		char *copy = ss_str_dup(text);

		g_set_error(error, SS_ERROR, SS_ERROR_SETTINGS,
			    "%s:%u: not JSON: %s", file,
			    line_number(copy, json_tokener_get_parse_end(tok)),
			    json_tokener_error_desc(e));
		g_free(copy);
		json_object_put(o);
		o = NULL;
	}
	json_tokener_free(tok);
	return o;
}

bool settings_parse(const struct setting_type *t, void *into, const char *file,
		    struct ss_str text, GError **error)
{
	struct setting_errors errors = { .file = file, .text = text };
	struct reader r = { .errors = &errors, .line = 1 };
	json_object *o;

	settings_defaults(t, into);
	o = parse_tree(file, text, error);
	if (!o) {
		settings_clear(t, into);
		return false;
	}
	errors.out = g_string_new(NULL);
	r.bare = without_comments(text);
	r.path = g_string_new(NULL);
	read_object(&r, t, into, o, 0);
	if (errors.count) {
		g_set_error(error, SS_ERROR, SS_ERROR_SETTINGS, "%s",
			    errors.out->str);
		settings_clear(t, into);
	}
	json_object_put(o);
	g_string_free(errors.out, TRUE);
	g_string_free(r.bare, TRUE);
	g_string_free(r.path, TRUE);
	return errors.count == 0;
}

bool settings_load(const struct setting_type *t, void *into, const char *file,
		   GError **error)
{
	GError *e = NULL;
	char *text;
	gsize n;
	bool ok;

	if (!g_file_get_contents(file, &text, &n, &e)) {
		g_set_error(error, SS_ERROR, SS_ERROR_IO, "%s", e->message);
		g_error_free(e);
		return false;
	}
	ok = settings_parse(t, into, file, (struct ss_str){ text, n }, error);
	g_free(text);
	return ok;
}

char *settings_plain_json(const char *file, struct ss_str text, GError **error)
{
	json_object *o = parse_tree(file, text, error);
	char *plain;

	if (!o)
		return NULL;
	plain = g_strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return plain;
}
