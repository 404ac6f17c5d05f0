/*
 * Incremental HTTP/1.1 parser for requests of callers and responses of
 * endpoints.
 *
 * evhttp and libevhtp hide what the data path needs: whether a response without
 * a length ended in a close or a reset, surplus bytes after a response, and
 * where a pipelined request ends. So this runs http_parser on plain buffers and
 * stops after each message.
 */
#ifndef SS_HTTP1_H
#define SS_HTTP1_H

#include <event2/buffer.h>
#include <http_parser.h>
#include <sapphireshift/base.h>

/* A header field; its views are valid as long as the head. */
struct http1_field {
	struct ss_str name, value;
};

struct http1_head {
	bool request;
	int status;
	struct ss_str method, target;
	const struct http1_field *fields;
	size_t n_fields;
	bool keep_alive;
	bool chunked;
	int64_t length; /* of the body; -1: no Content-Length */
};

/* Returns the value of a header; its p is NULL if the header is missing. */
struct ss_str http1_value(const struct http1_head *h, const char *name);
bool http1_name_is(struct ss_str name, const char *other);
/* Returns the reason phrase of a status; "Other" if it has none. */
const char *http1_reason(int status);
/* Parses s as a decimal number from 0 to max; returns false if it isn't one. */
bool http1_number(struct ss_str s, int64_t max, int64_t *out);

struct http1_reader;

struct http1_ops {
	/* The head is complete. */
	void (*head)(void *arg, const struct http1_head *h);
	void (*body)(void *arg, struct ss_str piece);
	/* The message is complete; bytes after it stay in the buffer. */
	void (*done)(void *arg);
};

struct http1_options {
	bool request;	 /* parse requests, else responses */
	size_t head_max; /* size limit of the head, in bytes */
	const struct http1_ops *ops;
	void *arg;
};

struct http1_reader *http1_reader_new(const struct http1_options *o);
void http1_reader_free(struct http1_reader *r);

/* Prepares for the next message. no_body: a response to a HEAD request. */
void http1_reader_reset(struct http1_reader *r, bool no_body);

/*
 * Parses and drains the buffer up to the end of one message. Fails with
 * SS_ERROR_TOO_LARGE if the head exceeds its limit, SS_ERROR_BAD_REQUEST if the
 * bytes are not a valid message. Callbacks must not free the reader or the
 * buffer.
 */
bool http1_read(struct http1_reader *r, struct evbuffer *in, GError **error);

/*
 * Ends the input, as the peer closed the connection without a reset. Returns
 * true if that completes the message, as it does one without a length; done has
 * then been called.
 */
bool http1_read_eof(struct http1_reader *r);

/* Returns true if no byte of the next message has been parsed yet. */
bool http1_reader_at_start(const struct http1_reader *r);

#endif
