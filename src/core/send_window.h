/*
 * Limits the bulk data that a process has in flight, over all of its
 * connections, to what its link carries in half a heartbeat interval.
 *
 * Data that the kernel has accepted counts as written, but is queued before
 * everything that is written later: heartbeats, votes, orders. A leader that
 * sends more than its link carries is taken for dead while it works. Bulk data
 * therefore counts as in flight until the receiver acknowledges it.
 *
 * If the arrival rate doesn't change with the window, the link is saturated,
 * and the window is set from that rate. If the rate changes with the window,
 * the window is the limit, and it grows: acknowledgements may take longer than
 * one round of measurement.
 */
#ifndef SS_SEND_WINDOW_H
#define SS_SEND_WINDOW_H

#include <sapphireshift/base.h>

/* The time in which the data in flight is to arrive, in ms: half a heartbeat
 * interval, so that no heartbeat queued behind it is missed. Also the least
 * length of a round. */
#define SEND_WINDOW_TRANSIT_MS 50
/* The initial and smallest window, in bytes: half of what 10 Mbit/s, the
 * slowest supported link, carry in that time, so that the window may grow once
 * before the rate is known. */
#define SEND_WINDOW_MIN_BYTES (32u * 1024)
/* The largest window, in bytes: what 1,000 Mbit/s carry in that time. */
#define SEND_WINDOW_MAX_BYTES (6u * 1024 * 1024)
/* Bulk data that isn't acknowledged within this time, in ms, went to a receiver
 * that is stalled or has a slower link. It no longer counts as in flight, so
 * that it doesn't block the other receivers. */
#define SEND_WINDOW_TIMEOUT_MS 250

/* If the rate of arrival rose or fell by this factor from one round to the
 * next, the window is taken to be the limit, not the link. */
#define SEND_WINDOW_RATE_CHANGE 1.6
/* The factor by which the window grows: more than the rate may appear to change
 * when sends are few and large. */
#define SEND_WINDOW_GROWTH 2.0

struct send_window {
	size_t size;	      /* bytes allowed in flight */
	size_t in_flight;     /* bytes sent and not acknowledged */
	size_t max_in_flight; /* maximum of in_flight in this round */
	size_t acked;	      /* bytes acknowledged in this round */
	bool blocked;	      /* a send was blocked in this round */
	bool current_acked;   /* data sent in this round was acknowledged */
	int64_t round_start_ms;
	/* Bytes per ms acknowledged in the last round; 0: no send was blocked.
	 */
	double rate;
};

void send_window_init(struct send_window *w, int64_t now);

/* Returns whether that many bytes may be sent now; always true if nothing is in
 * flight. */
bool send_window_allows(struct send_window *w, size_t bytes);
void send_window_sent(struct send_window *w, size_t bytes);
/* Records an acknowledgement. sent_ms: when the bytes were sent. */
void send_window_acked(struct send_window *w, size_t bytes, int64_t sent_ms);
/* Stops counting bytes as in flight: their receiver is gone or silent. */
void send_window_lost(struct send_window *w, size_t bytes);

/* Ends a round if it is due and adapts the window. To be called at least every
 * SEND_WINDOW_TRANSIT_MS. */
void send_window_tick(struct send_window *w, int64_t now);

#endif
