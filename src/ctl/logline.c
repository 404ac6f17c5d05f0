/* Parser for log lines of key=value fields. */
#include "logline.h"

static void field_clear(void *p)
{
	g_free(((struct log_field *)p)->key);
	g_free(((struct log_field *)p)->value);
}

void log_line_free(void *p)
{
	g_array_unref(((struct log_line *)p)->fields);
	g_free(p);
}

const char *log_line_get(const struct log_line *l, const char *key)
{
	for (guint i = 0; i < l->fields->len; i++) {
		const struct log_field *f =
			&g_array_index(l->fields, struct log_field, i);

		if (!strcmp(f->key, key))
			return f->value;
	}
	return "";
}

static int64_t parse_time(const char *text)
{
	GDateTime *t = g_date_time_new_from_iso8601(text, NULL);
	int64_t ms;

	if (!t)
		return -1;
	ms = g_date_time_to_unix(t) * 1000 +
	     g_date_time_get_microsecond(t) / 1000;
	g_date_time_unref(t);
	return ms;
}

/* Reads a value up to the next space, or up to the closing quote. */
static const char *read_value(const char *p, char **value)
{
	char stop = *p == '"' ? '"' : ' ';
	const char *end;

	if (stop == '"')
		p++;
	end = strchr(p, stop);
	if (!end)
		end = p + strcspn(p, "\r\n");
	*value = g_strndup(p, (gsize)(end - p));
	return *end == '"' ? end + 1 : end;
}

/* Reads all fields of a line; words without "=" between them are skipped. */
static GArray *read_fields(const char *p)
{
	GArray *fields = g_array_new(FALSE, FALSE, sizeof(struct log_field));

	g_array_set_clear_func(fields, field_clear);
	while (*p && *p != '\r' && *p != '\n') {
		size_t n = strcspn(p, " =\r\n");
		struct log_field f;

		if (p[n] != '=') {
			p += n + (p[n] == ' ');
			continue;
		}
		f.key = g_strndup(p, n);
		p = read_value(p + n + 1, &f.value);
		g_array_append_val(fields, f);
	}
	return fields;
}

struct log_line *log_line_read(const char *text)
{
	const char *at = strstr(text, "ts=");
	struct log_line *l;

	if (!at)
		return NULL;
	l = g_new0(struct log_line, 1);
	l->fields = read_fields(at);
	l->ts_ms = parse_time(log_line_get(l, "ts"));
	if (l->ts_ms >= 0)
		return l;
	log_line_free(l);
	return NULL;
}
