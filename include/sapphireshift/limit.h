/* Limits on retries: a budget for all calls and a circuit breaker per
 * endpoint. */
#ifndef SAPPHIRESHIFT_LIMIT_H
#define SAPPHIRESHIFT_LIMIT_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Retry budget: allows retries as a share of fresh calls. When many calls fail
 * at once, retries add to the load that makes them fail; the budget bounds what
 * they add.
 */
struct ss_budget {
	int64_t percent;       /* retries allowed per 100 fresh calls */
	int64_t balance_centi; /* balance, in hundredths of a retry */
	int64_t max_retries;   /* maximum balance, in retries */
};

void ss_budget_init(struct ss_budget *b, int64_t percent, int64_t max_retries);
/* Adds the share of one fresh call to the balance. */
void ss_budget_fresh(struct ss_budget *b);
/* Takes one retry from the balance; false if there is none left. */
bool ss_budget_retry(struct ss_budget *b);

/*
 * Circuit breaker: stops sending to an endpoint after consecutive failures, and
 * probes it with a single call after a pause that grows with each failed probe.
 */
struct ss_breaker {
	unsigned int failures; /* consecutive */
	int64_t until_ms;      /* the breaker is open until then */
	int64_t pause_ms;      /* last pause; 0: not open since a success */
	bool probing;	       /* the probe is in flight */
};

/* Consecutive failures that open a breaker. A single failure may be an
 * accident, and two may have the same cause. */
#define SS_BREAKER_FAILURES 3
/*
 * First pause, in ms: a few times what a restarted process takes to listen
 * again. The pause doubles up to the maximum, at which an endpoint is probed
 * four times a minute.
 */
#define SS_BREAKER_PAUSE_MS 500
#define SS_BREAKER_PAUSE_MAX_MS 15000

/* Returns whether a call may be sent to the endpoint. */
bool ss_breaker_allows(const struct ss_breaker *b, int64_t now);
/* Records that a call was sent; while the breaker is half open, that call is
 * the probe. */
void ss_breaker_sent(struct ss_breaker *b);
/* Records the result of a call. */
void ss_breaker_result(struct ss_breaker *b, bool ok, int64_t now);

#ifdef __cplusplus
}
#endif
#endif
