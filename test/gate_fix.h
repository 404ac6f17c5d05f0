/*
 * Test fixture of the data path on loopback: a gate, endpoints with scripted
 * answers, and callers that write raw bytes. One event loop drives them all;
 * every wait is for a condition, and the gate's clock is a fake one.
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
#define WAIT_ROUNDS 2000 /* of 1 ms, until a condition counts as failed */

/* Scripted answer to one request. */
struct reply {
	const char *text;  /* "": close at once; NULL: no answer */
	bool close, reset; /* after the text */
};

struct endpoint {
	struct fix *f;
	struct evconnlistener *listener; /* NULL: its process ended */
	int port_fd; /* reserves the port while nothing listens */
	char addr[32], id[16];
	int starts;
	bool leaving; /* reported to the gate as draining */
	GPtrArray *conns;
	int64_t started_ms;	 /* reported to the gate; 0: unknown */
	const char *version;	 /* reported to the gate; NULL: unknown */
	bool empty;		 /* reported without any model */
	struct reply replies[4]; /* one per request; the last one repeats */
	int n_replies, requests, opened, closed;
	int reset;		    /* connections that the gate reset */
	GString *seen;		    /* all bytes received */
	struct bufferevent *newest; /* newest connection; NULL: it is closed */
};

struct conn {
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
	struct gate_options options; /* used to create the gate */
	struct endpoint eps[ENDPOINTS];
	struct endpoint_limit limits[ENDPOINTS]; /* known to the leader */
	GPtrArray *callers;
	int at;		/* endpoint with less load, which answers streams */
	int demands;	/* calls of the gate's demand callback */
	bool agents;	/* agents can be reached */
	uint64_t asked; /* ticket of the last adapter request; 0: none */
	bool leads;	/* a leader is known */
	struct msg_trial trial;		  /* last request for a trial run */
	struct msg_stream_request stream; /* last query for a version */
	int stream_requests;
};

/* Opens a gate. service: of both endpoints; NULL: the gate doesn't know the
 * fleet. */
void fix_open(struct fix *f, const char *service, const char *model);
/* Opens a gate that knows neither routing nor fleet. */
void fix_open_fresh(struct fix *f);
struct fix_options {
	int64_t keys_trust_ms; /* how long keys stay valid without a leader */
	size_t memory;
	/* 0: more retries than a test needs, from the first request on */
	double retry_ratio;
	int64_t retry_slack;
};
void fix_open_with(struct fix *f, const struct fix_options *x);
void fix_close(struct fix *f);

/* Puts the fixture's own routing in force. */
void set_default_routing(struct fix *f);
/* Puts a routing in force, from its JSON text. */
void set_routing(struct fix *f, const char *json);

/* Reports both endpoints to the gate; model: loaded on both; empty: none. */
void report_fleet(struct fix *f, const char *service, const char *model);
/* Ends the endpoint's process: resets its connections and stops listening. */
void crash_endpoint(struct fix *f, int i);
/* The same in single steps. reset_oldest() resets one connection; false: there
 * is none. */
void stop_listening(struct fix *f, int i);
bool reset_oldest(struct fix *f, int i);
/* Starts a new incarnation, without a report to the gate. */
void start_endpoint(struct fix *f, int i);

/* Adds the endpoint's next answer. */
void script_answer(struct fix *f, int i, const char *text, bool close,
		   bool reset);

/* Sends more of the current answer on the endpoint's newest connection. */
void endpoint_send(struct fix *f, int i, const char *text);

/* Opens a caller's connection and sends text on it. */
struct caller *call(struct fix *f, const char *text);
/* Sends text on an open connection without buffering. */
void caller_send(struct caller *c, const char *text);
void caller_leave(struct caller *c);
/* Whether the bytes received contain text, or end with it. */
bool has_received(const struct caller *c, const char *text);
bool received_ends_with(const struct caller *c, const char *text);

/* Sends a request after reporting f->at as the endpoint with less load. */
struct caller *call_endpoint(struct fix *f, const char *model,
			     const char *text);
/* Sends events of that endpoint's current answer, gap_ms apart. */
void send_events(struct fix *f, struct caller *c, int from, int to,
		 int64_t gap_ms);
/* Ends the answer after its last event. */
void send_stream_end(struct fix *f, struct caller *c);
/* Runs a stream of 100 tokens from its request to its end. */
void run_one_stream(struct fix *f, int64_t first_ms, int64_t gap_ms);
/* Runs a stream of one event, which comes after first_ms of the endpoint that
 * the gate chooses. Returns the endpoint's index. */
int run_one_event(struct fix *f, const char *text,
		  const int64_t first_ms[ENDPOINTS]);

/* Captures the process's log between begin and end. */
struct log_capture {
	FILE *to;
	int stdout_fd;
};

void log_capture_begin(struct log_capture *l);
/* Returns at most the first LOG_CAPTURE_BYTES; the caller frees the text with
 * g_free(). */
#define LOG_CAPTURE_BYTES 8192
char *log_capture_end(struct log_capture *l);

/* Runs the loop once, for at most 1 ms, and then the gate's tick. */
void run_loop_once(struct fix *f);

/* Runs the loop until the condition holds; fails after WAIT_ROUNDS. */
#define UNTIL(f, cond)                                                         \
	do {                                                                   \
		int rounds = 0;                                                \
		while (!(cond)) {                                              \
			if (++rounds > WAIT_ROUNDS)                            \
				fail_msg("never came: %s", #cond);             \
			run_loop_once(f);                                      \
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
#define TOKENS_PER_EVENT 6
#define EVENTS_FOR(tokens)                                                     \
	(((tokens) + TOKENS_PER_EVENT - 1) / TOKENS_PER_EVENT)
/* A stream whose caller is expected to leave after 2 s without an event. */
#define POST_BRIEF                                                             \
	REQ("POST", "/brief/x")                                                \
	"X-Model: m\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n"
#define POST_NIGHT                                                             \
	REQ("POST", "/night/x") "X-Model: m\r\nContent-Length: 2\r\n\r\nhi"

#endif
