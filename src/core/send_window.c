/* How much bulk may be on its way. */
#include "send_window.h"

void send_window_init(struct send_window *w, int64_t now)
{
	memset(w, 0, sizeof(*w));
	w->size = SEND_WINDOW_LEAST;
	w->since_ms = now;
}

bool send_window_open(struct send_window *w, size_t bytes)
{
	if (w->in_flight == 0 || w->in_flight + bytes <= w->size)
		return true;
	w->full = true;
	return false;
}

void send_window_sent(struct send_window *w, size_t bytes)
{
	w->in_flight += bytes;
	w->most = MAX(w->most, w->in_flight);
}

void send_window_lost(struct send_window *w, size_t bytes)
{
	w->in_flight -= MIN(bytes, w->in_flight);
}

void send_window_acked(struct send_window *w, size_t bytes, int64_t sent_ms)
{
	send_window_lost(w, bytes);
	w->carried += bytes;
	w->answered |= bytes && sent_ms >= w->since_ms;
}

/* What arrived in a round in which something had to wait. */
static void follow(struct send_window *w, double rate)
{
	bool binds = rate >= w->rate * SEND_WINDOW_FOLLOWED ||
		     rate * SEND_WINDOW_FOLLOWED <= w->rate;
	double size = rate * SEND_WINDOW_MS;

	/* One piece may be larger than the window. */
	if (binds)
		size = MAX(size,
			   SEND_WINDOW_GROWS * (double)MAX(w->size, w->most));
	w->rate = rate;
	w->size = (size_t)CLAMP(size, SEND_WINDOW_LEAST, SEND_WINDOW_MOST);
}

void send_window_tick(struct send_window *w, int64_t now)
{
	int64_t age = now - w->since_ms;

	/* What arrives earlier was sent by the window before. */
	if (age < SEND_WINDOW_MS ||
	    (w->full && !w->answered && age < SEND_WINDOW_LOST_MS))
		return;
	/* A link that wasn't used in full shows nothing of what it carries. */
	if (w->full)
		follow(w, (double)w->carried / (double)age);
	else
		w->rate = 0;
	w->carried = 0;
	w->most = w->in_flight;
	w->full = w->answered = false;
	w->since_ms = now;
}
