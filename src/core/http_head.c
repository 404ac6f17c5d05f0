/* Grammar of the head of an HTTP/1.1 message. */
#include "http_head.h"

/* A status line up to its status; '#' stands for a digit. */
static const char status_line[] = "HTTP/1.# ###";
#define STATUS_AT 9 /* of the status's first digit */

#define STATUS_MIN 100
#define STATUS_MAX 599

void http_head_init(struct http_head *h)
{
	memset(h, 0, sizeof(*h));
}

void http_head_init_request(struct http_head *h)
{
	http_head_init(h);
	h->state = HTTP_HEAD_REQUEST_START;
}

/* Characters of a header's name (RFC 9110, 5.6.2). */
static bool is_token(unsigned char b)
{
	return g_ascii_isalnum(b) || (b && strchr("!#$%&'*+-.^_`|~", b));
}

/* Characters of a header's value and of a reason (RFC 9110, 5.5). */
static bool is_text(unsigned char b)
{
	return b == '\t' || (b >= ' ' && b != 0x7f);
}

static bool is_blank(unsigned char b)
{
	return b == ' ' || b == '\t';
}

static enum http_head_state read_status(struct http_head *h, unsigned char b)
{
	char want = status_line[h->at];

	if (want == '#' ? !g_ascii_isdigit(b) : (char)b != want)
		return HTTP_HEAD_INVALID;
	if (h->at >= STATUS_AT)
		h->status = h->status * 10 + (b - '0');
	if (status_line[++h->at])
		return HTTP_HEAD_STATUS;
	return h->status >= STATUS_MIN && h->status <= STATUS_MAX ?
		       HTTP_HEAD_STATUS_END :
		       HTTP_HEAD_INVALID;
}

static enum http_head_state read_start(struct http_head *h, unsigned char b)
{
	return b == '\r' || b == '\n' ? HTTP_HEAD_START : read_status(h, b);
}

static enum http_head_state read_request_line(struct http_head *h,
					      unsigned char b)
{
	(void)h;
	return b == '\n' ? HTTP_HEAD_FIRST_LINE : HTTP_HEAD_REQUEST_LINE;
}

static enum http_head_state read_request_start(struct http_head *h,
					       unsigned char b)
{
	return b == '\r' || b == '\n' ? HTTP_HEAD_REQUEST_START :
					read_request_line(h, b);
}

static enum http_head_state read_status_end(struct http_head *h,
					    unsigned char b)
{
	(void)h;
	if (b == ' ')
		return HTTP_HEAD_REASON;
	if (b == '\r')
		return HTTP_HEAD_STATUS_LF;
	return b == '\n' ? HTTP_HEAD_FIRST_LINE : HTTP_HEAD_INVALID;
}

static enum http_head_state read_reason(struct http_head *h, unsigned char b)
{
	return is_text(b) ? HTTP_HEAD_REASON : read_status_end(h, b);
}

static enum http_head_state read_status_lf(struct http_head *h, unsigned char b)
{
	(void)h;
	return b == '\n' ? HTTP_HEAD_FIRST_LINE : HTTP_HEAD_INVALID;
}

static enum http_head_state read_first_line(struct http_head *h,
					    unsigned char b)
{
	(void)h;
	if (b == '\r')
		return HTTP_HEAD_END_LF;
	if (b == '\n')
		return HTTP_HEAD_COMPLETE;
	return is_token(b) ? HTTP_HEAD_NAME : HTTP_HEAD_INVALID;
}

static enum http_head_state read_line(struct http_head *h, unsigned char b)
{
	return is_blank(b) ? HTTP_HEAD_VALUE : read_first_line(h, b);
}

static enum http_head_state read_name(struct http_head *h, unsigned char b)
{
	(void)h;
	if (b == ':')
		return HTTP_HEAD_VALUE;
	return is_token(b) ? HTTP_HEAD_NAME : HTTP_HEAD_INVALID;
}

static enum http_head_state read_value(struct http_head *h, unsigned char b)
{
	(void)h;
	if (b == '\r')
		return HTTP_HEAD_VALUE_LF;
	if (b == '\n')
		return HTTP_HEAD_LINE;
	return is_text(b) ? HTTP_HEAD_VALUE : HTTP_HEAD_INVALID;
}

static enum http_head_state read_value_lf(struct http_head *h, unsigned char b)
{
	(void)h;
	return b == '\n' ? HTTP_HEAD_LINE : HTTP_HEAD_INVALID;
}

static enum http_head_state read_end_lf(struct http_head *h, unsigned char b)
{
	(void)h;
	return b == '\n' ? HTTP_HEAD_COMPLETE : HTTP_HEAD_INVALID;
}

/* Each reads one byte in its state and returns the next state. */
static enum http_head_state (*const readers[])(struct http_head *h,
					       unsigned char b) = {
	[HTTP_HEAD_START] = read_start,
	[HTTP_HEAD_REQUEST_START] = read_request_start,
	[HTTP_HEAD_REQUEST_LINE] = read_request_line,
	[HTTP_HEAD_STATUS] = read_status,
	[HTTP_HEAD_STATUS_END] = read_status_end,
	[HTTP_HEAD_REASON] = read_reason,
	[HTTP_HEAD_STATUS_LF] = read_status_lf,
	[HTTP_HEAD_FIRST_LINE] = read_first_line,
	[HTTP_HEAD_LINE] = read_line,
	[HTTP_HEAD_NAME] = read_name,
	[HTTP_HEAD_VALUE] = read_value,
	[HTTP_HEAD_VALUE_LF] = read_value_lf,
	[HTTP_HEAD_END_LF] = read_end_lf,
};

size_t http_head_read(struct http_head *h, struct ss_str in)
{
	size_t n = 0;

	while (n < in.n && h->state < HTTP_HEAD_COMPLETE) {
		h->state = readers[h->state](h, (unsigned char)in.p[n]);
		n++;
	}
	return n;
}
