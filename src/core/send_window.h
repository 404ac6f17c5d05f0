/*
 * How much bulk a process may have on its way at a time, over all of its
 * connections: what its link carries in half a heartbeat.
 *
 * What the kernel has taken counts as sent for the sender, but stands before
 * all that is written later: heartbeats, votes, orders. A leader that hands out
 * more than its link carries is taken for dead while it works. So bulk counts
 * until its receiver acknowledges it. Where as much arrives whatever the
 * window, the link is full, and the window follows what arrived. Where what
 * arrives follows the window, the window is what binds, and it grows: receivers
 * may take longer to acknowledge than it looks back.
 */
#ifndef SS_SEND_WINDOW_H
#define SS_SEND_WINDOW_H

#include <sapphireshift/base.h>

/* What is on its way is to arrive within this time, in ms: half a heartbeat,
 * so that a heartbeat that stands behind it isn't missed. */
#define SEND_WINDOW_MS 50
/* The window at the start, and the least, in bytes: half of what 10 Mbit/s
 * carry in that time, the slowest link that is planned, so that it may grow
 * once before anything is known. */
#define SEND_WINDOW_LEAST (32u * 1024)
/* The most, in bytes: what 1,000 Mbit/s carry in that time. */
#define SEND_WINDOW_MOST (6u * 1024 * 1024)
/* Bulk that isn't acknowledged after so long, in ms, is at a receiver that
 * stands still or on a slower link, and holds up nobody else. */
#define SEND_WINDOW_LOST_MS 250

/* What arrives has followed the window where it changed by this factor. */
#define SEND_WINDOW_FOLLOWED 1.6
/* How much the window grows at a time: more than what few and large pieces may
 * make the rate seem to change. */
#define SEND_WINDOW_GROWS 2.0

struct send_window {
	size_t size;	  /* bytes */
	size_t in_flight; /* sent, not acknowledged */
	size_t most;	  /* of that, since since_ms */
	size_t carried;	  /* acknowledged since since_ms */
	bool full;	  /* something had to wait since then */
	bool answered;	  /* something sent since then was acknowledged */
	int64_t since_ms;
	double rate; /* bytes a ms that arrived last; 0: it was at rest */
};

void send_window_init(struct send_window *w, int64_t now);

/* Whether so many bytes may be sent now; one send always may. */
bool send_window_open(struct send_window *w, size_t bytes);
void send_window_sent(struct send_window *w, size_t bytes);
/* sent_ms: when they were sent. */
void send_window_acked(struct send_window *w, size_t bytes, int64_t sent_ms);
/* They aren't waited for any more: the receiver is gone, or silent. */
void send_window_lost(struct send_window *w, size_t bytes);

/* Follow what was carried; called at least each SEND_WINDOW_MS. */
void send_window_tick(struct send_window *w, int64_t now);

#endif
