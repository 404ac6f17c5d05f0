/* Limits the bulk data in flight over all connections of a process. */
#include "send_window.h"

void send_window_init(struct send_window *w, int64_t now)
{
	memset(w, 0, sizeof(*w));
	w->size = SEND_WINDOW_MIN_BYTES;
	w->round_start_ms = now;
}

bool send_window_allows(struct send_window *w, size_t bytes)
{
	if (w->in_flight == 0 || w->in_flight + bytes <= w->size)
		return true;
	w->blocked = true;
	return false;
}

void send_window_sent(struct send_window *w, size_t bytes)
{
	w->in_flight += bytes;
	w->max_in_flight = MAX(w->max_in_flight, w->in_flight);
}

void send_window_lost(struct send_window *w, size_t bytes)
{
	w->in_flight -= MIN(bytes, w->in_flight);
}

void send_window_acked(struct send_window *w, size_t bytes, int64_t sent_ms)
{
	send_window_lost(w, bytes);
	w->acked += bytes;
	w->current_acked |= bytes && sent_ms >= w->round_start_ms;
}

/* Sets the window from the rate of a round in which a send was blocked. */
static void adapt_size(struct send_window *w, double rate)
{
	bool is_window_bound = rate >= w->rate * SEND_WINDOW_RATE_CHANGE ||
			       rate * SEND_WINDOW_RATE_CHANGE <= w->rate;
	double size = rate * SEND_WINDOW_TRANSIT_MS;

	/* A single send may be larger than the window. */
	if (is_window_bound)
		size = MAX(size,
			   SEND_WINDOW_GROWTH *
				   (double)MAX(w->size, w->max_in_flight));
	w->rate = rate;
	w->size = (size_t)CLAMP(size, SEND_WINDOW_MIN_BYTES,
				SEND_WINDOW_MAX_BYTES);
}

void send_window_tick(struct send_window *w, int64_t now)
{
	int64_t age = now - w->round_start_ms;

	/* A round in which a send was blocked lasts until data sent in it is
	 * acknowledged: acknowledgements before that are of data sent under the
	 * previous window. */
	if (age < SEND_WINDOW_TRANSIT_MS ||
	    (w->blocked && !w->current_acked && age < SEND_WINDOW_TIMEOUT_MS))
		return;
	/* The rate of a link that was not saturated says nothing about its
	 * capacity. */
	if (w->blocked)
		adapt_size(w, (double)w->acked / (double)age);
	else
		w->rate = 0;
	w->acked = 0;
	w->max_in_flight = w->in_flight;
	w->blocked = w->current_acked = false;
	w->round_start_ms = now;
}
