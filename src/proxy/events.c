/* Splits a stream of server-sent events. */
#include "events.h"

void events_init(struct events *e, int64_t last_id)
{
	e->partial = g_string_new(NULL);
	e->last_id = last_id;
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

/* Returns the number in the event's id field; -1: none, or not a number. */
static int64_t event_id(const char *p, size_t n)
{
	static const char key[] = "id:";
	size_t at = 0;

	while (at < n) {
		const char *end = memchr(p + at, '\n', n - at);
		size_t len = end ? (size_t)(end - p) - at : n - at;

		if (len > 3 && !memcmp(p + at, key, 3)) {
			char *digits = g_strndup(p + at + 3, len - 3);
			char *stop;
			int64_t id =
				g_ascii_strtoll(g_strstrip(digits), &stop, 10);
			bool ok = stop != digits && *stop == 0;

			g_free(digits);
			return ok ? id : -1;
		}
		at += len + 1;
	}
	return -1;
}

bool events_add(struct events *e, struct ss_str bytes, GString *out)
{
	bool buffered = e->partial->len > 0;
	struct ss_str rest = bytes;
	size_t n;

	/* Bytes are copied only if an incomplete event is buffered; usually a
	 * piece is exactly one event. */
	if (buffered) {
		g_string_append_len(e->partial, bytes.p, (gssize)bytes.n);
		rest = ss_str_gs(e->partial);
	}
	while ((n = event_length(rest))) {
		int64_t id = event_id(rest.p, n);

		/* A gap or a repeated id means that the events come from two
		 * different runs of the request. */
		if (id >= 0 && e->last_id >= 0 && id != e->last_id + 1)
			return false;
		if (id >= 0)
			e->last_id = id;
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
	return e->partial->len <= EVENT_MAX;
}

bool events_at_end(const struct events *e)
{
	return e->partial->len == 0;
}

void events_drop_partial(struct events *e)
{
	g_string_truncate(e->partial, 0);
}
