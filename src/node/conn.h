/*
 * Connections between the processes of this system: frames over TCP, with a
 * hello in both directions, and pings by which both ends detect a dead
 * connection.
 */
#ifndef SS_CONN_H
#define SS_CONN_H

#include <event2/event.h>

#include "frame.h"

/* Protocol version in the hello; peers with any other are refused. */
#define CONN_PROTOCOL 2
/* Interval of pings, and silence after which a connection is closed, in ms. The
 * second is five pings, so that a busy process isn't taken for a dead one. */
#define CONN_PING_MS 500
#define CONN_SILENT_MS 2500
/*
 * The same, in ms, between processes that a change must reach within 2 s even
 * if the leader is cut off without an error: 1 s to detect that, and less than
 * 1 s to elect and find the next leader.
 */
#define CONN_FAST_PING_MS 200
#define CONN_FAST_SILENT_MS 900
/*
 * Time limit for the TCP handshake, in ms, after which the connection is better
 * retried: the VM wasn't up at the first SYN, and the kernel resends that only
 * after a second. The limit is ten times the longest round trip between
 * regions. It doesn't cover the hello: a process that waits for its disk would
 * never get connected.
 */
#define CONN_CONNECT_MS 300
/* Limit of the bytes buffered for a peer that doesn't read: what a link of
 * 100 Mbit/s carries in a third of a second. A control VM has 160 MB and six
 * such peers in its group; what it sends to hundreds of others is bounded
 * where it is produced. A single message may exceed the limit. */
#define CONN_BACKLOG_MAX (4u * 1024 * 1024)

struct conn;

struct conn_ops {
	/* The peer's hello was received; messages may be sent. */
	void (*open)(void *arg, struct conn *c);
	void (*message)(void *arg, struct conn *c, struct frame *f);
	/* The connection is closed, with the reason; c is freed on return.
	 * Called exactly once unless conn_close() ended the connection. */
	void (*closed)(void *arg, struct conn *c, const GError *why);
};

struct conn_options {
	struct event_base *base;
	const struct ss_clock *clock;
	struct msg_hello *self; /* read for each new connection */
	const struct conn_ops *ops;
	void *arg;
	/* Called at each ping interval while the peer is quiet; must not close
	 * c. May be NULL. */
	void (*quiet)(void *arg, struct conn *c);
	int64_t ping_ms;		/* 0: CONN_PING_MS */
	int64_t silent_ms;		/* 0: CONN_SILENT_MS */
	uint64_t *bytes_out, *bytes_in; /* counters, may be NULL */
};

/* Starts to connect to "ip:port"; a failure is reported by closed. */
struct conn *conn_connect(const struct conn_options *o, const char *addr);

struct listener;

/* Listens on "ip:port"; with port 0 the kernel chooses one. */
struct listener *conn_listen(const struct conn_options *o, const char *addr,
			     GError **error);
uint16_t conn_listener_port(const struct listener *l);
/* Stops accepting connections; existing ones stay open. */
void conn_listener_free(struct listener *l);

/* Sends a message. False if the connection isn't open or its backlog exceeds
 * the limit. */
bool conn_send(struct conn *c, enum msg_kind kind, const void *msg);
/* Sends a frame encoded by frame_add(), for use with many receivers. */
bool conn_send_frame(struct conn *c, const GString *frame);
void conn_close(struct conn *c);

bool conn_is_open(const struct conn *c);
/* Returns true if the TCP handshake of an outgoing connection is done. A busy
 * process may take longer to send its hello, which opens the connection. */
bool conn_is_connected(const struct conn *c);
/* Returns the peer's hello; its strings are valid as long as c. */
const struct msg_hello *conn_peer(const struct conn *c);
void conn_set_data(struct conn *c, void *data);
void *conn_data(const struct conn *c);
/* Returns the number of bytes buffered for sending. */
size_t conn_backlog(const struct conn *c);
/* Returns the milliseconds since the last bytes from the peer. */
int64_t conn_quiet_ms(const struct conn *c);
/* Sets the silence in ms after which the connection is closed. */
void conn_set_silent_ms(struct conn *c, int64_t ms);
/* Returns true if at least two pings of the peer are overdue. */
bool conn_is_quiet(const struct conn *c);

#endif
