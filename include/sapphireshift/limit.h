/* Limits on retries: a budget for all, and a breaker for each endpoint. */
#ifndef SAPPHIRESHIFT_LIMIT_H
#define SAPPHIRESHIFT_LIMIT_H

#include <sapphireshift/base.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Retries as a share of fresh calls. When much fails at once, retries add
 * to the load that makes it fail; the budget bounds what they can add.
 */
struct ss_budget {
	int64_t percent; /* retries allowed for 100 fresh calls */
	int64_t centi;	 /* tokens, in hundredths of a retry */
	int64_t most;	 /* tokens that may be saved up, in retries */
};

void ss_budget_init(struct ss_budget *b, int64_t percent, int64_t most);
void ss_budget_fresh(struct ss_budget *b);
/* Take one retry; false where none is left. */
bool ss_budget_retry(struct ss_budget *b);

/*
 * Stops sending to an endpoint that fails again and again, and tries it
 * with one call after a pause that grows with each failed trial.
 */
struct ss_breaker {
	unsigned int failures; /* in a row */
	int64_t until_ms;      /* open until then */
	int64_t pause_ms;
	bool trial; /* the one call is on its way */
};

/* Failures in a row that open a breaker: one is an accident, two may be one
 * cause seen twice. */
#define SS_BREAKER_FAILURES 3
/* The first pause, in ms: a few times what a restarted process takes to listen
 * again; doubled up to the longest, after which an endpoint is asked four times
 * a minute. Chosen, not measured. */
#define SS_BREAKER_PAUSE_MS 500
#define SS_BREAKER_PAUSE_MAX_MS 15000

bool ss_breaker_allows(const struct ss_breaker *b, int64_t now);
/* A call is sent; while half open that is the trial. */
void ss_breaker_sent(struct ss_breaker *b);
void ss_breaker_result(struct ss_breaker *b, bool ok, int64_t now);

#ifdef __cplusplus
}
#endif
#endif
