/*
 * Orders to one model engine: the agent beside it carries out a leader's
 * steps and loads adapters that calls need. A state machine without I/O.
 *
 * The engine's own reports are the truth. One order is out at a time, each
 * names the count of orders that the engine had accepted when it was
 * decided, so that one which is carried out late, after newer ones, is
 * refused; and none is given that the memory by the last report can't hold,
 * together with what an earlier incarnation of the engine was ordered and may
 * still come (late.h).
 */
#ifndef SS_ENGINE_H
#define SS_ENGINE_H

#include "fleet_types.h"
#include "routing.h"

/* An order without an answer may still be taken. The next report after so
 * long shows whether it was; the reports themselves lag by up to 100 ms. */
#define ENGINE_SETTLE_MS 250
/* So long after an order was taken, in ms, a report that doesn't count it is
 * taken for one of before: reports lag by some hundred. */
#define ENGINE_LAG_MS 1000
/* A leader's step that makes no progress for so long is given up. */
#define ENGINE_STUCK_MS 20000

struct engine_step {
	uint64_t fence, step;
	const struct ss_str *unload;
	size_t n_unload;
	struct ss_str load; /* empty: nothing */
	int64_t started_ms; /* of the incarnation it is for; 0: not told */
};

struct engine_ops {
	/* Send it, and answer with engine_answered(). */
	void (*order)(void *arg, const struct fleet_order *o);
	/* A step has ended; code 0 or an enum ss_error. */
	void (*step_done)(void *arg, uint64_t fence, uint64_t step, int code,
			  const char *text, int64_t took_ms);
	/* An adapter that a call needs is there, or can't be. */
	void (*adapter_done)(void *arg, uint64_t ticket, int code,
			     const char *text);
};

struct engine_options {
	const char *holder; /* this VM's name, on every order */
	const struct engine_ops *ops;
	void *arg;
};

struct engine;

struct engine *engine_new(const struct engine_options *o);
void engine_free(struct engine *e);

/* Sizes of models, from the routing in force; NULL while none is known. */
void engine_set_service(struct engine *e, const struct routing_service *s);

/*
 * A leader's term, told after a majority has confirmed it since this process
 * started. Orders carry the newest as their fence. Before the first, nothing
 * is ordered and steps are refused: a former life of this agent has ordered
 * with a fence that it can't know, and a leader that was cut off before may
 * not know of a newer one.
 */
void engine_term(struct engine *e, uint64_t fence, int64_t now);

/*
 * What the engine reports; asked for after the last order was answered. The
 * report stays the caller's and must live until the next one or the end. One
 * of an earlier incarnation, or older than the last, changes nothing and isn't
 * kept. After a restart the step is given up, and fences are forgotten.
 */
void engine_report(struct engine *e, const struct fleet_report *r, int64_t now);

/* The engine can't be read: nothing is known, and it may have restarted. */
void engine_lost(struct engine *e, int64_t now);

/* Begin a step; SS_ERROR_FENCED or SS_ERROR_OVERLOAD through step_done. */
void engine_step(struct engine *e, const struct engine_step *s, int64_t now);

/* A call needs an adapter until a time on the clock. */
void engine_need_adapter(struct engine *e, uint64_t ticket, struct ss_str model,
			 struct ss_str adapter, int64_t until_ms, int64_t now);

void engine_answered(struct engine *e, enum fleet_order_answer a, int64_t now);
void engine_tick(struct engine *e, int64_t now);

/* Something is under way: reports are worth asking for often. */
bool engine_busy(const struct engine *e);
/* An order is out, so a report now could be older than its effect. */
bool engine_asking(const struct engine *e);

#endif
