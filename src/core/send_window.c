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
}

void send_window_lost(struct send_window *w, size_t bytes)
{
	w->in_flight -= MIN(bytes, w->in_flight);
}

void send_window_acked(struct send_window *w, size_t bytes)
{
	send_window_lost(w, bytes);
	w->carried += bytes;
}

void send_window_tick(struct send_window *w, int64_t now)
{
	int64_t age = now - w->since_ms;
	size_t carried;

	if (age < SEND_WINDOW_MS)
		return;
	/* A link that wasn't used in full shows nothing of what it carries. */
	if (w->full) {
		carried = w->carried * SEND_WINDOW_MS / (size_t)age;
		w->size = CLAMP(carried, SEND_WINDOW_LEAST, SEND_WINDOW_MOST);
	}
	w->carried = 0;
	w->full = false;
	w->since_ms = now;
}
