/*
 * Checks the head of an HTTP/1.1 message byte by byte against the grammar of
 * RFC 9112. Parsers of common libraries are lenient, and not all in the same
 * way: what one takes for a header named "Content-Length ", another one takes
 * for the body's length.
 */
#ifndef SS_HTTP_HEAD_H
#define SS_HTTP_HEAD_H

#include <sapphireshift/base.h>

enum http_head_state {
	HTTP_HEAD_START, /* empty lines before the status line are skipped */
	HTTP_HEAD_REQUEST_START,
	HTTP_HEAD_REQUEST_LINE,
	HTTP_HEAD_STATUS,
	HTTP_HEAD_STATUS_END, /* behind the three digits */
	HTTP_HEAD_REASON,
	HTTP_HEAD_STATUS_LF, /* behind the CR of the status line */
	HTTP_HEAD_FIRST_LINE,
	HTTP_HEAD_LINE, /* behind a header line, which may be folded */
	HTTP_HEAD_NAME,
	HTTP_HEAD_VALUE,
	HTTP_HEAD_VALUE_LF, /* behind the CR of a header line */
	HTTP_HEAD_END_LF,   /* behind the CR of the empty line */
	HTTP_HEAD_COMPLETE,
	HTTP_HEAD_INVALID,
};

struct http_head {
	enum http_head_state state;
	size_t at;  /* position in the status line */
	int status; /* 100 to 599, once it has been read */
};

/* Prepares for the head of an answer. */
void http_head_init(struct http_head *h);
/* Prepares for the head of a request; its first line isn't checked. */
void http_head_init_request(struct http_head *h);

/* Reads the next bytes up to the end of the head, and returns how many it has
 * read. The state then tells whether the head is complete or invalid. */
size_t http_head_read(struct http_head *h, struct ss_str in);

#endif
