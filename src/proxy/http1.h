/*
 * HTTP/1.1 messages read piece by piece, for both sides of the data path.
 *
 * evhttp and libevhtp hide what the data path has to see: whether an answer
 * without a length ended by a close or by a reset, bytes behind a whole
 * answer, and where one pipelined request ends. So this reads with
 * http_parser over plain buffers, and stops behind each message.
 */
#ifndef SS_HTTP1_H
#define SS_HTTP1_H

#include <event2/buffer.h>
#include <http_parser.h>
#include <sapphireshift/base.h>

/* One header; the views live as long as the head that holds them. */
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
	int64_t length; /* of the body; -1: not told */
};

/* NULL p where the header isn't there. */
struct ss_str http1_value(const struct http1_head *h, const char *name);
bool http1_name_is(struct ss_str name, const char *other);
/* What a status is called; "Other" where it has no name. */
const char *http1_reason(int status);
/* A whole decimal number from 0 to max. */
bool http1_number(struct ss_str s, int64_t max, int64_t *out);

struct http1_reader;

struct http1_ops {
	/* The head is whole. */
	void (*head)(void *arg, const struct http1_head *h);
	void (*body)(void *arg, struct ss_str piece);
	/* The message is whole; bytes behind it stay in the buffer. */
	void (*done)(void *arg);
};

struct http1_options {
	bool request;	 /* read requests, else answers */
	size_t head_max; /* bytes */
	const struct http1_ops *ops;
	void *arg;
};

struct http1_reader *http1_reader_new(const struct http1_options *o);
void http1_reader_free(struct http1_reader *r);

/* Begin the next message; to a HEAD request an answer has no body. */
void http1_reader_reset(struct http1_reader *r, bool no_body);

/*
 * Read what the buffer holds, up to the end of one message, and drain it.
 * SS_ERROR_TOO_LARGE for a head over its limit, SS_ERROR_BAD_REQUEST for
 * bytes that are no message. A callback may free neither reader nor buffer.
 */
bool http1_read(struct http1_reader *r, struct evbuffer *in, GError **error);

/*
 * The peer has closed orderly. True where that ends the message, as it does
 * one without a length; done has then been called.
 */
bool http1_read_eof(struct http1_reader *r);

/* Nothing of the next message was read yet. */
bool http1_reader_fresh(const struct http1_reader *r);

#endif
