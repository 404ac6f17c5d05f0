/* Incremental HTTP/1.1 parser. */
#include "http1.h"

#include "../core/http_head.h"

#include <strings.h>

/* Maximum number of headers in a message; no client sends more, and each takes
 * memory. */
#define HEADER_FIELDS_MAX 128

/* Positions of a header's name and value in the reader's text, which may move
 * as it grows. */
struct header_span {
	size_t name, name_n, value, value_n;
};

struct http1_reader {
	struct http1_options o;
	struct http_head grammar; /* checks the head */
	http_parser p;
	GString *text;	/* target, then names and values of headers */
	GArray *spans;	/* struct header_span */
	GArray *fields; /* struct http1_field, views into text */
	struct http1_head head;
	size_t target_n;
	size_t head_bytes;
	size_t frame_bytes; /* since the last byte of a body: sizes of chunks,
			     * their extensions, trailers */
	bool in_value, headers_done, no_body, started, complete, too_large;
	bool got_body; /* in the piece that is being read */
};

bool http1_name_is(struct ss_str name, const char *other)
{
	return name.n == strlen(other) &&
	       strncasecmp(name.p, other, name.n) == 0;
}

struct ss_str http1_value(const struct http1_head *h, const char *name)
{
	for (size_t i = 0; i < h->n_fields; i++)
		if (http1_name_is(h->fields[i].name, name))
			return h->fields[i].value;
	return (struct ss_str){ 0 };
}

bool http1_number(struct ss_str s, int64_t max, int64_t *out)
{
	int64_t v = 0;

	if (s.n == 0)
		return false;
	for (size_t i = 0; i < s.n; i++) {
		if (!g_ascii_isdigit(s.p[i]))
			return false;
		v = v * 10 + (s.p[i] - '0');
		if (v > max)
			return false;
	}
	*out = v;
	return true;
}

const char *http1_reason(int status)
{
	const char *s = http_status_str((enum http_status)status);

	return strcmp(s, "<unknown>") ? s : "Other";
}

static struct header_span *last_span(struct http1_reader *r)
{
	return &g_array_index(r->spans, struct header_span, r->spans->len - 1);
}

static int on_url(http_parser *p, const char *at, size_t n)
{
	struct http1_reader *r = p->data;

	g_string_append_len(r->text, at, (gssize)n);
	r->target_n += n;
	return 0;
}

static int on_field(http_parser *p, const char *at, size_t n)
{
	struct http1_reader *r = p->data;

	/* Trailers of a chunked body are ignored. */
	if (r->headers_done)
		return 0;
	if (r->in_value || r->spans->len == 0) {
		struct header_span s = { .name = r->text->len };

		if (r->spans->len == HEADER_FIELDS_MAX)
			return 1;
		g_array_append_val(r->spans, s);
		r->in_value = false;
	}
	g_string_append_len(r->text, at, (gssize)n);
	last_span(r)->name_n += n;
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	struct http1_reader *r = p->data;

	if (r->headers_done)
		return 0;
	if (!r->in_value)
		last_span(r)->value = r->text->len;
	r->in_value = true;
	g_string_append_len(r->text, at, (gssize)n);
	last_span(r)->value_n += n;
	return 0;
}

static void fill_head(struct http1_reader *r)
{
	const char *text = r->text->str;
	struct http1_head *h = &r->head;

	g_array_set_size(r->fields, 0);
	for (guint i = 0; i < r->spans->len; i++) {
		const struct header_span *s =
			&g_array_index(r->spans, struct header_span, i);
		struct http1_field f = { { text + s->name, s->name_n },
					 { text + s->value, s->value_n } };

		g_array_append_val(r->fields, f);
	}
	memset(h, 0, sizeof(*h));
	h->request = r->o.request;
	if (h->request) {
		h->method = ss_str(http_method_str(r->p.method));
		h->target = (struct ss_str){ text, r->target_n };
	}
	h->status = r->o.request ? 0 : (int)r->p.status_code;
	h->fields = (struct http1_field *)r->fields->data;
	h->n_fields = r->fields->len;
	h->keep_alive = http_should_keep_alive(&r->p);
	h->chunked = (r->p.flags & F_CHUNKED) != 0;
	h->length = r->p.content_length == UINT64_MAX ?
			    -1 :
			    (int64_t)r->p.content_length;
}

/* http_parser would wait for a body of the stated length. */
static bool has_no_body(int status)
{
	return status / 100 == 1 || status == 204 || status == 304;
}

static int on_headers(http_parser *p)
{
	struct http1_reader *r = p->data;

	r->headers_done = true;
	/* http1_read() checks the size only between pieces. A head that came
	 * in one piece is checked here: its names and values, plus 4 bytes
	 * for each header's colon, space and CRLF. */
	if (r->text->len + 4 * r->spans->len > r->o.head_max) {
		r->too_large = true;
		return -1;
	}
	/* Protocol upgrades aren't supported; the message is parsed as a
	 * plain one. */
	p->upgrade = 0;
	fill_head(r);
	r->o.ops->head(r->o.arg, &r->head);
	return r->no_body || has_no_body(r->head.status) ? 1 : 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	struct http1_reader *r = p->data;

	r->frame_bytes = 0;
	r->got_body = true;
	r->o.ops->body(r->o.arg, (struct ss_str){ at, n });
	return 0;
}

static int on_complete(http_parser *p)
{
	struct http1_reader *r = p->data;

	r->complete = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void http1_reader_reset(struct http1_reader *r, bool no_body)
{
	http_parser_init(&r->p, r->o.request ? HTTP_REQUEST : HTTP_RESPONSE);
	r->p.data = r;
	if (r->o.request)
		http_head_init_request(&r->grammar);
	else
		http_head_init(&r->grammar);
	g_string_truncate(r->text, 0);
	g_array_set_size(r->spans, 0);
	r->target_n = r->head_bytes = r->frame_bytes = 0;
	r->in_value = r->headers_done = r->started = r->complete = false;
	r->too_large = false;
	r->no_body = no_body;
}

struct http1_reader *http1_reader_new(const struct http1_options *o)
{
	struct http1_reader *r = g_new0(struct http1_reader, 1);

	r->o = *o;
	r->text = g_string_sized_new(1024);
	r->spans = g_array_new(FALSE, FALSE, sizeof(struct header_span));
	r->fields = g_array_new(FALSE, FALSE, sizeof(struct http1_field));
	http1_reader_reset(r, false);
	return r;
}

void http1_reader_free(struct http1_reader *r)
{
	if (!r)
		return;
	g_string_free(r->text, TRUE);
	g_array_unref(r->spans);
	g_array_unref(r->fields);
	g_free(r);
}

bool http1_reader_at_start(const struct http1_reader *r)
{
	return !r->started;
}

static bool fail(struct http1_reader *r, GError **error)
{
	enum http_errno e = HTTP_PARSER_ERRNO(&r->p);

	if (e == HPE_HEADER_OVERFLOW || r->too_large ||
	    (!r->headers_done && r->head_bytes > r->o.head_max) ||
	    e == HPE_CB_header_field)
		g_set_error(error, SS_ERROR, SS_ERROR_TOO_LARGE,
			    "the head is larger than %zu bytes", r->o.head_max);
	else
		g_set_error(error, SS_ERROR, SS_ERROR_BAD_REQUEST,
			    "not an HTTP message: %s",
			    r->grammar.state == HTTP_HEAD_INVALID ?
				    "the head is invalid" :
				    http_errno_description(e));
	return false;
}

/* http_parser takes any number up to 999 for a status, and blanks inside the
 * names of headers. */
static bool is_valid_head(struct http1_reader *r, struct ss_str in)
{
	http_head_read(&r->grammar, in);
	return r->grammar.state != HTTP_HEAD_INVALID;
}

bool http1_read(struct http1_reader *r, struct evbuffer *in, GError **error)
{
	while (!r->complete && evbuffer_get_length(in) > 0) {
		struct evbuffer_iovec v;
		bool in_head = !r->headers_done;
		size_t n;

		if (evbuffer_peek(in, -1, NULL, &v, 1) < 1)
			return true;
		r->started = true;
		r->got_body = false;
		if (in_head &&
		    !is_valid_head(r, (struct ss_str){ v.iov_base, v.iov_len }))
			return fail(r, error);
		n = http_parser_execute(&r->p, &settings, v.iov_base,
					v.iov_len);
		evbuffer_drain(in, n);
		if (in_head)
			r->head_bytes += n;
		else if (!r->got_body)
			r->frame_bytes += n;
		if (r->complete)
			break;
		if (HTTP_PARSER_ERRNO(&r->p) != HPE_OK ||
		    (!r->headers_done && r->head_bytes > r->o.head_max) ||
		    r->frame_bytes > r->o.head_max)
			return fail(r, error);
	}
	if (r->complete) {
		r->started = false;
		r->o.ops->done(r->o.arg);
	}
	return true;
}

bool http1_read_eof(struct http1_reader *r)
{
	if (r->complete || !r->headers_done ||
	    HTTP_PARSER_ERRNO(&r->p) != HPE_OK)
		return false;
	http_parser_execute(&r->p, &settings, NULL, 0);
	if (!r->complete)
		return false;
	r->o.ops->done(r->o.arg);
	return true;
}
