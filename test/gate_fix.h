/*
 * The data path on loopback: a gate, endpoints that answer by a script, and
 * callers who write raw bytes. One loop drives them all; every wait is on a
 * condition, and the gate's clock is a fake one.
 */
#ifndef SS_GATE_FIX_H
#define SS_GATE_FIX_H

#include "unit.h"

#include "../platform/platform.h"
#include "../src/core/endpoint_limit.h"
#include "../src/net/addr.h"
#include "../src/proxy/gate.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#define ENDPOINTS 2
#define WAIT_ROUNDS 2000 /* of 1 ms: a condition that never comes */

/* What an endpoint does with a request. */
struct reply {
	const char *text;  /* "" : close; NULL: stay silent */
	bool close, reset; /* after the text */
};

struct endpoint {
	struct fix *f;
	struct evconnlistener *listener; /* NULL: it has ended */
	int port_fd; /* keeps the port while nobody listens */
	char addr[32], id[16];
	int starts;
	bool leaving; /* as told of it */
	GPtrArray *lines;
	int64_t started_ms;	 /* as told of it; 0: not told */
	const char *version;	 /* the same; NULL: not told */
	bool empty;		 /* holds no model, as told of it */
	struct reply replies[4]; /* one a request, the last for the rest */
	int n_replies, requests, opened, closed;
	int reset;		    /* connections that the gate broke off */
	GString *seen;		    /* all bytes */
	struct bufferevent *newest; /* of its connections; NULL: it is gone */
};

struct line {
	struct endpoint *e;
	struct bufferevent *bev;
	bool reset;
};

struct caller {
	struct bufferevent *bev;
	GString *got;
	bool ended;
};

struct fix {
	struct event_base *base;
	struct ss_clock clock;
	struct metrics *metrics;
	struct gate *gate;
	struct gate_options options; /* that it was made with */
	struct endpoint eps[ENDPOINTS];
	struct endpoint_limit limits[ENDPOINTS]; /* as the leader knows them */
	GPtrArray *callers;
	int at; /* the endpoint that is emptier, and speaks */
	int demands;
	bool agents;		      /* they can be reached */
	uint64_t asked;		      /* the last adapter that was asked for */
	bool leads;		      /* a leader can be asked */
	struct msg_trial trial;	      /* the last that was asked for */
	struct msg_stream_ask stream; /* the same */
	int streams_asked;
};

/* service: what the endpoints belong to; NULL: the gate knows no fleet. */
void fix_open(struct fix *f, const char *service, const char *model);
/* A gate that knows neither routing nor fleet. */
void fix_open_fresh(struct fix *f);
struct fix_options {
	int64_t keys_trust_ms; /* keys are believed so long without a leader */
	size_t memory;
	/* 0: more retries than a test needs, from the first request on */
	double retry_ratio;
	int64_t retry_slack;
};
void fix_open_with(struct fix *f, const struct fix_options *x);
void fix_close(struct fix *f);

void tell_routing(struct fix *f);
/* Put the routing of this text in force. */
void set_routing(struct fix *f, const char *json);

/* Tell the gate of both endpoints; model: what they hold. */
void tell_fleet(struct fix *f, const char *service, const char *model);
/* The endpoint's process ends: its connections are reset, nobody listens. */
void end_endpoint(struct fix *f, int i);
/* The same a step at a time. */
void stop_listening(struct fix *f, int i);
bool reset_oldest(struct fix *f, int i);
/* Another incarnation starts there; the gate isn't told. */
void start_endpoint(struct fix *f, int i);

/* The endpoint's next answer. */
void script(struct fix *f, int i, const char *text, bool close, bool reset);

/* More of the answer in progress on the endpoint's newest connection. */
void say(struct fix *f, int i, const char *text);

/* A new connection that sends text. */
struct caller *call(struct fix *f, const char *text);
/* Into the kernel at once, on a connection that stands. */
void tell(struct caller *c, const char *text);
void leave(struct caller *c);
bool got(const struct caller *c, const char *text);
bool ends(const struct caller *c, const char *text);

/* A request while f->at is known to be the emptier endpoint. */
struct caller *ask(struct fix *f, const char *model, const char *text);
/* Events of that endpoint's answer in progress, one each so many ms. */
void say_events(struct fix *f, struct caller *c, int from, int to,
		int64_t gap_ms);
/* The answer's end, after its last event. */
void say_end(struct fix *f, struct caller *c);
/* A stream of 100 tokens, from its request to its end. */
void carry_stream(struct fix *f, int64_t first_ms, int64_t gap_ms);
/* A stream of one event, which comes after the time of the endpoint that the
 * gate chooses; the index of that. */
int carry_event(struct fix *f, const char *text,
		const int64_t first_ms[ENDPOINTS]);

/* What the process writes to its log between begin and end. */
struct log_capture {
	FILE *to;
	int stdout_fd;
};

void log_capture_begin(struct log_capture *l);
/* Its text, for g_free(); at most the first LOG_CAPTURE_BYTES. */
#define LOG_CAPTURE_BYTES 8192
char *log_capture_end(struct log_capture *l);

/* One round of the loop, of a millisecond at the most. */
void turn(struct fix *f);

/* Run the loop until the condition holds; fail where it never does. */
#define UNTIL(f, cond)                                                         \
	do {                                                                   \
		int rounds = 0;                                                \
		while (!(cond)) {                                              \
			if (++rounds > WAIT_ROUNDS)                            \
				fail_msg("never came: %s", #cond);             \
			turn(f);                                               \
		}                                                              \
	} while (0)

#define HEAD "X-Request-Id: q1\r\nX-Signature: sig\r\n"
#define OK_TEXT "HTTP/1.1 200 OK\r\n" HEAD "Content-Length: 5\r\n\r\nhello"
#define EVENTS                                                                 \
	"HTTP/1.1 200 OK\r\n" HEAD "Content-Type: text/event-stream\r\n"       \
	"Transfer-Encoding: chunked\r\n\r\n"
#define REQ(method, path)                                                      \
	method " " path " HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\n"
#define GET_SAFE REQ("GET", "/safe/x") "\r\n"
#define POST_ONCE REQ("POST", "/once/x") "Content-Length: 3\r\n\r\nabc"
#define POST_CHAT                                                              \
	REQ("POST", "/chat/x") "X-Model: m\r\nContent-Length: 2\r\n\r\nhi"
#define STREAM(path, tokens)                                                   \
	REQ("POST", path)                                                      \
	"X-Model: m\r\nX-Token-Usage: 9," tokens "\r\n"                        \
	"Content-Length: 0\r\n\r\n"
#define TOKENS_AN_EVENT 6
#define EVENTS_FOR(tokens) (((tokens) + TOKENS_AN_EVENT - 1) / TOKENS_AN_EVENT)
/* Its caller leaves after 2 s without an event. */
#define POST_BRIEF                                                             \
	REQ("POST", "/brief/x")                                                \
	"X-Model: m\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n"
#define POST_NIGHT                                                             \
	REQ("POST", "/night/x") "X-Model: m\r\nContent-Length: 2\r\n\r\nhi"

#endif
