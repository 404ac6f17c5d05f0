/*
 * The endpoint of an agent: a model engine or a plain service. Each kind is a
 * table of functions and keeps its wire format, which is specified nowhere
 * else, in one file.
 */
#ifndef SS_ENDPOINT_H
#define SS_ENDPOINT_H

#include <event2/event.h>

#include "../core/ledger.h"

struct endpoint;
struct endpoint_call;

struct endpoint_options {
	struct event_base *base;
	const char *addr;   /* "ip:port" */
	int64_t timeout_ms; /* of orders and reads; 0: the default, 3000 */
};

struct endpoint_state {
	uint64_t bytes; /* accelerator memory */
	const struct held_replica *held;
	size_t n_held;
	const struct cached_checkpoint *cached;
	size_t n_cached;
};

struct endpoint_call_options {
	const struct msg_call *m;
	/*
	 * The next part of the answer; the last one has end set. Its outcome
	 * is OUTCOME_NOT_RUN if the endpoint could not be reached at all.
	 */
	void (*piece)(void *arg, struct msg_reply *m);
	void *arg;
};

struct endpoint_ops {
	struct endpoint *(*open)(const struct endpoint_options *o);
	void (*close)(struct endpoint *e);
	/* Orders; done gets ok false after a refusal or without an answer. */
	void (*load)(struct endpoint *e, const struct ledger_replica *r,
		     uint64_t fence, void (*done)(void *arg, bool ok),
		     void *arg);
	void (*unload)(struct endpoint *e, const struct ledger_replica *r,
		       uint64_t fence, void (*done)(void *arg, bool ok),
		       void *arg);
	/* Reads the state; done gets NULL if there is no answer. */
	void (*read)(struct endpoint *e,
		     void (*done)(void *arg, const struct endpoint_state *s),
		     void *arg);
	struct endpoint_call *(*call)(struct endpoint *e,
				      const struct endpoint_call_options *o);
	/* Cancels a call; piece isn't called any more. */
	void (*cancel)(struct endpoint_call *c);
};

extern const struct endpoint_ops engine_http_ops;
extern const struct endpoint_ops service_http_ops;

#endif
