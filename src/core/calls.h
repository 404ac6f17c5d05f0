/*
 * An agent's table of calls: each id runs at most once, its answer is kept
 * in pieces, and an entry that lost its connection can ask what became of
 * it and read on.
 */
#ifndef SS_CALLS_H
#define SS_CALLS_H

#include "msg.h"

/* How long a finished call can still be asked for. */
#define CALLS_KEEP_ONCE_MS 600000
#define CALLS_KEEP_MS 5000
/* A refused id goes on being refused. */
#define CALLS_KEEP_DEAD_MS 600000
/* Answers held in all; over it the oldest finished are forgotten. */
#define CALLS_BYTES_MAX (64u * 1024 * 1024)
#define CALLS_COUNT_MAX 200000
/* A repeatable call that nobody is connected for is cancelled after: */
#define CALLS_ORPHAN_MS 5000

struct call;

struct calls_ops {
	/* Hand the call to the endpoint. The message's strings go after. */
	void (*start)(void *arg, struct call *c, const struct msg_call *m);
	/* Nobody wants it any more: stop it there. */
	void (*cancel)(void *arg, struct call *c);
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
 * A call came from a peer. If its id is new and refusal is NULL it starts
 * with data set; a refusal marks it dead for good, so that "not run" stays
 * true.
 */
void calls_call(struct calls *t, void *peer, const struct msg_call *m,
		const GError *refusal, void *data, int64_t now);

/* True where the id is known, in whatever state. */
bool calls_known(const struct calls *t, uint64_t entry, uint64_t seq);

/*
 * What became of a call? Running or done: its pieces from have on follow.
 * Never seen: marked dead, and answered not run. Of another incarnation,
 * or forgotten: unknown.
 */
void calls_attach(struct calls *t, void *peer, const struct msg_attach *m,
		  int64_t now);

void calls_cancel(struct calls *t, void *peer, uint64_t sub, int64_t now);
void calls_peer_gone(struct calls *t, void *peer, int64_t now);

/* The endpoint's answer, piece by piece; the last has end set. */
void calls_piece(struct calls *t, struct call *c, struct msg_reply *piece,
		 int64_t now);

void calls_tick(struct calls *t, int64_t now);

/* What the shell keeps with a call. */
void *call_data(const struct call *c);
uint64_t call_entry(const struct call *c);
uint64_t call_seq(const struct call *c);
/* Pieces so far. */
size_t call_pieces(const struct call *c);

size_t calls_running(const struct calls *t);
size_t calls_count(const struct calls *t);

#endif
