/*
 * An agent's table of calls. Each call id runs at most once. The reply is
 * stored in pieces, so that an entry that lost its connection can attach to
 * the call again, learn its outcome and read the rest of the reply.
 */
#ifndef SS_CALLS_H
#define SS_CALLS_H

#include "msg.h"

/* How long a finished call that must not run twice is kept. */
#define CALLS_KEEP_ONCE_MS 600000
/* How long any other finished call is kept. */
#define CALLS_KEEP_MS 5000
/* How long a refused id is kept, so that it stays refused. */
#define CALLS_KEEP_REFUSED_MS 600000
/* Limits of the stored replies and of the number of calls; the oldest finished
 * calls are evicted. */
#define CALLS_BYTES_MAX (64u * 1024 * 1024)
#define CALLS_COUNT_MAX 200000
/* A call that may run twice is cancelled if the connection of its last
 * subscriber was lost this long ago. */
#define CALLS_ORPHAN_MS 5000

struct call;

struct calls_ops {
	/* Passes the call to the endpoint; m is valid during start() only. */
	void (*start)(void *arg, struct call *c, const struct msg_call *m);
	/* Stops the call at the endpoint; it has no subscriber left. */
	void (*cancel)(void *arg, struct call *c);
	/* Sends a piece of a reply to a peer. */
	void (*reply)(void *arg, void *peer, const struct msg_reply *r);
};

struct calls_options {
	uint64_t incarnation;
	const struct calls_ops *ops;
	void *arg;
};

struct calls;

struct calls *calls_new(const struct calls_options *o);
void calls_free(struct calls *t);

/*
 * Takes a call from a peer. A new id starts with the given data if refusal is
 * NULL; otherwise it is recorded as refused, so that a repeated call with this
 * id can't run and OUTCOME_NOT_RUN stays true. An id that is known, evicted or
 * of another incarnation is answered as by calls_attach(), from the first
 * piece.
 */
void calls_submit(struct calls *t, void *peer, const struct msg_call *m,
		  const GError *refusal, void *data, int64_t now);

/* Returns whether the id was seen before, in any state or evicted. */
bool calls_known(const struct calls *t, uint64_t entry, uint64_t seq);

/*
 * Subscribes a peer to a call. A running or finished call sends its pieces
 * from the number "have" on. An id that was never seen is recorded as refused
 * and answered OUTCOME_NOT_RUN. An evicted id, or one of another incarnation,
 * is answered OUTCOME_UNKNOWN.
 */
void calls_attach(struct calls *t, void *peer, const struct msg_attach *m,
		  int64_t now);

/* Removes a subscription, and cancels the call if it was the last one. */
void calls_cancel(struct calls *t, void *peer, uint64_t sub, int64_t now);
/* Removes all subscriptions of a disconnected peer. A call that is left without
 * one is cancelled after CALLS_ORPHAN_MS, unless it must not run twice. */
void calls_peer_gone(struct calls *t, void *peer, int64_t now);

/* Stores and forwards a piece of the endpoint's reply; the last has end set. */
void calls_add_piece(struct calls *t, struct call *c, struct msg_reply *piece,
		     int64_t now);

/* Evicts expired calls and cancels orphaned ones. */
void calls_tick(struct calls *t, int64_t now);

/* Returns the data given to calls_submit(); NULL once the call has finished. */
void *call_data(const struct call *c);
uint64_t call_entry(const struct call *c);
uint64_t call_seq(const struct call *c);
/* Returns the number of pieces stored so far. */
size_t call_pieces(const struct call *c);

size_t calls_running(const struct calls *t);
/* Returns the number of calls in any state, refused ones included. */
size_t calls_count(const struct calls *t);

#endif
