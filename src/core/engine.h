/*
 * Orders to one model engine: the agent beside it carries out the leader's
 * steps and loads the adapters that calls need. A state machine without I/O.
 *
 * Only the engine's own reports state what it holds. One order is pending at a
 * time. Each order names the number of orders that the engine had accepted
 * when the order was decided, so the engine refuses one that is delayed past
 * newer ones. A load is ordered only if the memory in the last report can hold
 * it, together with delayed orders to an earlier incarnation that the engine
 * may still carry out (struct delayed_orders).
 */
#ifndef SS_ENGINE_H
#define SS_ENGINE_H

#include "fleet_types.h"
#include "routing.h"

/* Wait after an order without an answer, which may still be accepted: the
 * first report after the wait shows whether it was. Reports lag by up to
 * 100 ms. */
#define ENGINE_SETTLE_MS 250
/* For this long after an order was accepted, a report that doesn't count it is
 * taken for one made before: reports lag by some hundred ms. */
#define ENGINE_REPORT_LAG_MS 1000
/* A step without progress for longer is aborted. */
#define ENGINE_STEP_STALL_MS 20000

/* A step of the leader: unloads models, then loads one. */
struct engine_step {
	uint64_t fence, step;
	const struct ss_str *unload;
	size_t n_unload;
	struct ss_str load; /* empty: nothing */
	int64_t started_ms; /* start of the intended incarnation; 0: unknown */
};

struct engine_ops {
	/* Sends the order; the answer goes to engine_order_answered(). */
	void (*order)(void *arg, const struct fleet_order *o);
	/* A step has ended; code 0 or an enum ss_error. */
	void (*step_done)(void *arg, uint64_t fence, uint64_t step, int code,
			  const char *text, int64_t took_ms);
	/* An adapter that a call needs is loaded, or can't be. */
	void (*adapter_done)(void *arg, uint64_t ticket, int code,
			     const char *text);
};

struct engine_options {
	const char *holder; /* this VM's name, sent with every order */
	const struct engine_ops *ops;
	void *arg;
};

struct engine;

struct engine *engine_new(const struct engine_options *o);
void engine_free(struct engine *e);

/* Sets the service of the routing in force, which states the sizes of models;
 * NULL while none is known. */
void engine_set_service(struct engine *e, const struct routing_service *s);

/*
 * Sets a leader's term, which a majority has confirmed since this process
 * started. Orders carry the newest term as their fencing token. Before the
 * first one nothing is ordered and steps are refused: before a restart, this
 * agent may have ordered with a fencing token that it no longer knows, and a
 * leader that was cut off since may not know of a newer one.
 */
void engine_set_term(struct engine *e, uint64_t fence, int64_t now);

/*
 * Handles a report of the engine, requested after the last order was answered.
 * The caller owns it, and keeps it until the next report or engine_free(). A
 * report of an earlier incarnation, or one older than the last, is ignored and
 * isn't referenced. A restart aborts the step and clears the refused fencing
 * token.
 */
void engine_report_received(struct engine *e, const struct fleet_report *r,
			    int64_t now);

/* Records that the engine can't be read, and aborts the step: the engine's
 * state is unknown, and it may have restarted. */
void engine_unavailable(struct engine *e, int64_t now);

/* Starts a step. A refusal is passed to step_done: SS_ERROR_UNAVAILABLE,
 * SS_ERROR_FENCED or SS_ERROR_OVERLOAD. */
void engine_step(struct engine *e, const struct engine_step *s, int64_t now);

/* Requests an adapter for a call that waits for it until the time until_ms. */
void engine_request_adapter(struct engine *e, uint64_t ticket,
			    struct ss_str model, struct ss_str adapter,
			    int64_t until_ms, int64_t now);

/* Handles the answer to the pending order. */
void engine_order_answered(struct engine *e, enum fleet_order_answer a,
			   int64_t now);
void engine_tick(struct engine *e, int64_t now);

/* Returns whether work is in progress, so that the engine should be read
 * often. */
bool engine_busy(const struct engine *e);
/* Returns whether an order is pending, so that a report may be older than the
 * order's effect. */
bool engine_order_pending(const struct engine *e);

#endif
