/* Retry budget and circuit breaker. */
#include <sapphireshift/limit.h>

/* Balances are counted in hundredths of a retry, so that percentages of a retry
 * are integers. */
#define RETRY_CENTI 100

void ss_budget_init(struct ss_budget *b, int64_t percent, int64_t max_retries)
{
	b->percent = percent;
	b->max_retries = max_retries;
	b->balance_centi = max_retries * RETRY_CENTI;
}

void ss_budget_fresh(struct ss_budget *b)
{
	b->balance_centi = MIN(b->balance_centi + b->percent,
			       b->max_retries * RETRY_CENTI);
}

bool ss_budget_retry(struct ss_budget *b)
{
	if (b->balance_centi < RETRY_CENTI)
		return false;
	b->balance_centi -= RETRY_CENTI;
	return true;
}

bool ss_breaker_allows(const struct ss_breaker *b, int64_t now)
{
	if (b->failures < SS_BREAKER_FAILURES)
		return true;
	return now >= b->until_ms && !b->probing;
}

void ss_breaker_sent(struct ss_breaker *b)
{
	if (b->failures >= SS_BREAKER_FAILURES)
		b->probing = true;
}

void ss_breaker_result(struct ss_breaker *b, bool ok, int64_t now)
{
	b->probing = false;
	if (ok) {
		b->failures = 0;
		b->pause_ms = 0;
		return;
	}
	b->failures++;
	if (b->failures < SS_BREAKER_FAILURES)
		return;
	b->pause_ms = b->pause_ms ?
			      MIN(b->pause_ms * 2, SS_BREAKER_PAUSE_MAX_MS) :
			      SS_BREAKER_PAUSE_MS;
	b->until_ms = now + b->pause_ms;
}
