/*
 * How much bulk a process may have on its way at a time, over all of its
 * connections: what its link has been seen to carry in half a heartbeat.
 *
 * What the kernel has taken counts as sent for the sender, but stands before
 * all that is written later: heartbeats, votes, orders. A leader that hands out
 * more than its link carries is taken for dead while it works. So bulk counts
 * until its receiver acknowledges it, and the window follows what was
 * acknowledged, whatever the link.
 */
#ifndef SS_SEND_WINDOW_H
#define SS_SEND_WINDOW_H

#include <sapphireshift/base.h>

/* What is on its way is to arrive within this time, in ms: half a heartbeat,
 * so that a heartbeat that stands behind it isn't missed. */
#define SEND_WINDOW_MS 50
/* The window at the start, and the least, in bytes: what 10 Mbit/s carry in
 * that time, the slowest link that is planned. */
#define SEND_WINDOW_LEAST (64u * 1024)
/* The most, in bytes: what 1,000 Mbit/s carry in that time. */
#define SEND_WINDOW_MOST (6u * 1024 * 1024)
/* Bulk that isn't acknowledged after so long, in ms, is at a receiver that
 * stands still or on a slower link, and holds up nobody else. */
#define SEND_WINDOW_LOST_MS 250

struct send_window {
	size_t size;	  /* bytes; what is carried in SEND_WINDOW_MS */
	size_t in_flight; /* sent, not acknowledged */
	size_t carried;	  /* acknowledged since since_ms */
	bool full;	  /* something had to wait since then */
	int64_t since_ms;
};

void send_window_init(struct send_window *w, int64_t now);

/* Whether so many bytes may be sent now; one send always may. */
bool send_window_open(struct send_window *w, size_t bytes);
void send_window_sent(struct send_window *w, size_t bytes);
void send_window_acked(struct send_window *w, size_t bytes);
/* They aren't waited for any more: the receiver is gone, or silent. */
void send_window_lost(struct send_window *w, size_t bytes);

/* Follow what was carried; called at least each SEND_WINDOW_MS. */
void send_window_tick(struct send_window *w, int64_t now);

#endif
