/*
 * Connections between the system's own processes: frames over TCP, a hello
 * both ways, and heartbeats, so that a connection which has gone silent is
 * found by both ends.
 */
#ifndef SS_CONN_H
#define SS_CONN_H

#include <event2/event.h>

#include "frame.h"

/* Told in the hello; another one is refused. */
#define CONN_PROTOCOL 2
/* A silent peer is asked this often and given up after the second, in ms: five
 * pings, so that a busy process isn't taken for a dead one. */
#define CONN_PING_MS 500
#define CONN_SILENT_MS 2500
/*
 * Between processes that a change must reach within two seconds, also where
 * a silent cut takes the leader away: a second to see that it is gone, and
 * less than another to elect and to find the next one.
 */
#define CONN_FAST_PING_MS 200
#define CONN_FAST_SILENT_MS 900
/*
 * A connection that the peer's VM hasn't answered after so long, in ms, is
 * better begun anew: that VM wasn't up when it was asked, and the kernel asks
 * again only after a second. Ten times the longest round trip between regions.
 * One that is answered is kept, however long the hello takes: a process that
 * waits for its disk would never be heard.
 */
#define CONN_ANSWER_MS 300
/* A peer that reads nothing can't make this process hold more for it, in bytes:
 * what a link of 100 Mbit/s carries in a third of a second. A control VM has
 * six such peers in its group and 160 MB; what it sends to hundreds of others
 * is bounded where it is made. One longer message is sent all the same. */
#define CONN_BACKLOG_MAX (4u * 1024 * 1024)

struct conn;

struct conn_ops {
	/* The peer's hello has come; messages may be sent. */
	void (*open)(void *arg, struct conn *c);
	void (*message)(void *arg, struct conn *c, struct frame *f);
	/* Gone, with the reason; c is freed on return. Always called once
	 * for a connection that conn_close() didn't end. */
	void (*closed)(void *arg, struct conn *c, const GError *why);
};

struct conn_options {
	struct event_base *base;
	const struct ss_clock *clock;
	struct msg_hello *self; /* read at each connection */
	const struct conn_ops *ops;
	void *arg;
	/* The peer is quiet; told with each ping of ours. It doesn't close c;
	 * NULL: nobody wants to know. */
	void (*quiet)(void *arg, struct conn *c);
	int64_t ping_ms;		/* 0: CONN_PING_MS */
	int64_t silent_ms;		/* 0: CONN_SILENT_MS */
	uint64_t *bytes_out, *bytes_in; /* counters, may be NULL */
};

/* Start to connect to "ip:port"; a failure comes through closed. */
struct conn *conn_connect(const struct conn_options *o, const char *addr);

struct listener;

/* Accept on "ip:port"; port 0 lets the kernel choose. */
struct listener *conn_listen(const struct conn_options *o, const char *addr,
			     GError **error);
uint16_t conn_listener_port(const struct listener *l);
/* Take no more connections; those that exist go on. */
void conn_listener_free(struct listener *l);

/* False where the connection isn't open, or its backlog is over. */
bool conn_send(struct conn *c, enum msg_kind kind, const void *msg);
/* The same with a whole frame made by frame_add(), for many receivers. */
bool conn_send_frame(struct conn *c, const GString *frame);
void conn_close(struct conn *c);

bool conn_is_open(const struct conn *c);
/* Its VM has answered a connection made here: a busy process may take longer
 * until it is open. */
bool conn_is_connected(const struct conn *c);
/* The peer's hello; its strings live as long as c. */
const struct msg_hello *conn_peer(const struct conn *c);
void conn_set_data(struct conn *c, void *data);
void *conn_data(const struct conn *c);
/* Bytes that wait to be written. */
size_t conn_backlog(const struct conn *c);
/* Milliseconds since the peer was last heard. */
int64_t conn_quiet_ms(const struct conn *c);
/* Two of the peer's pings are missing, or more. */
bool conn_is_quiet(const struct conn *c);

#endif
