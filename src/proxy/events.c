/* Splits a stream of server-sent events. */
#include "events.h"

void events_init(struct events *e, int64_t last_id)
{
	*e = (struct events){ .partial = g_string_new(NULL),
			      .last_id = last_id };
}

void events_clear(struct events *e)
{
	if (e->partial)
		g_string_free(e->partial, TRUE);
	e->partial = NULL;
}

/* Returns the length of the first complete event, which ends in an empty line;
 * 0: none. */
static size_t event_length(struct ss_str s)
{
	const char *end = s.p + s.n;
	const char *at = s.p;

	while (at < end && (at = memchr(at, '\n', (size_t)(end - at)))) {
		at++;
		if (at < end && *at == '\n')
			return (size_t)(at + 1 - s.p);
		if (at + 1 < end && at[0] == '\r' && at[1] == '\n')
			return (size_t)(at + 2 - s.p);
	}
	return 0;
}

/* Finds a field of an event; returns false if it has none of that name. */
static bool find_field(struct ss_str event, const char *name,
		       struct ss_str *value)
{
	size_t len = strlen(name), at = 0;

	while (at < event.n) {
		const char *line = event.p + at;
		const char *end = memchr(line, '\n', event.n - at);
		size_t n = end ? (size_t)(end - line) : event.n - at;

		if (n >= len && !memcmp(line, name, len)) {
			*value = (struct ss_str){ line + len, n - len };
			return true;
		}
		at += n + 1;
	}
	return false;
}

/* Returns the number in an id field; -1: it isn't one. */
static int64_t parse_id(struct ss_str value)
{
	char *digits = g_strndup(value.p, value.n);
	char *stop;
	int64_t id = g_ascii_strtoll(g_strstrip(digits), &stop, 10);
	bool ok = stop != digits && *stop == 0;

	g_free(digits);
	return ok ? id : -1;
}

/* Notes an event that has no number. Returns false if it should have one. */
static bool add_unnumbered(struct events *e, bool has_id, struct ss_str event)
{
	struct ss_str data;

	if (has_id && e->last_id >= 0)
		return false;
	/* Comments keep a connection alive and may be repeated. */
	if (has_id || find_field(event, "data:", &data))
		e->position_unknown = true;
	return true;
}

/* Moves the position to the event. Returns false if the event doesn't follow:
 * a gap or a repeated id means that events of two different runs are mixed. */
static bool add_event(struct events *e, struct ss_str event)
{
	struct ss_str value;
	bool has_id = find_field(event, "id:", &value);
	int64_t id = has_id ? parse_id(value) : -1;

	if (id < 0)
		return add_unnumbered(e, has_id, event);
	if (e->last_id >= 0 && id - 1 != e->last_id) {
		e->position_unknown |= e->count > 0 && !e->confirmed;
		return false;
	}
	e->confirmed = e->last_id >= 0;
	e->last_id = id;
	return true;
}

bool events_add(struct events *e, struct ss_str bytes, GString *out)
{
	bool buffered = e->partial->len > 0, ok = true;
	struct ss_str rest = bytes;
	size_t n;

	/* Bytes are copied only if an incomplete event is buffered; usually a
	 * piece is exactly one event. */
	if (buffered) {
		g_string_append_len(e->partial, bytes.p, (gssize)bytes.n);
		rest = ss_str_gs(e->partial);
	}
	while (ok && (n = event_length(rest))) {
		ok = n <= EVENT_MAX &&
		     add_event(e, (struct ss_str){ rest.p, n });
		if (!ok)
			break;
		e->count++;
		g_string_append_len(out, rest.p, (gssize)n);
		rest.p += n;
		rest.n -= n;
	}
	if (buffered)
		g_string_erase(e->partial, 0,
			       (gssize)(e->partial->len - rest.n));
	else
		g_string_append_len(e->partial, rest.p, (gssize)rest.n);
	return ok && e->partial->len <= EVENT_MAX;
}

bool events_can_continue(const struct events *e)
{
	return e->count == 0 || (e->last_id >= 0 && !e->position_unknown);
}

bool events_at_end(const struct events *e)
{
	return e->partial->len == 0;
}

void events_drop_partial(struct events *e)
{
	g_string_truncate(e->partial, 0);
}
