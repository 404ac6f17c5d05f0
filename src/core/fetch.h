/*
 * Getting the routing from a control VM that has it.
 *
 * The leader's word says which version is in force, after a majority has
 * confirmed it; so it doesn't matter whose copy is fetched, as long as it is
 * that version or a later one. Who asks whom follows from names alone, without
 * agreement: processes spread evenly, few move when a member goes, and the
 * leader, who has its heartbeats to send, is asked last.
 */
#ifndef SS_FETCH_H
#define SS_FETCH_H

#include "msg.h"

/* Without an answer for so long, in ms, the next control VM is asked: four
 * heartbeats, since one that is sound may have to hear of the version first. */
#define FETCH_TRY_MS 400
/* One that has it and serves others first gets so long, in ms: all of a large
 * fleet at once, over the slowest link that is planned. */
#define FETCH_TURN_MS 3000
/* After one that refuses or has ended, in ms: a few round trips, so that all of
 * them aren't asked in a loop while none can answer. */
#define FETCH_AGAIN_MS 50

struct fetch;

struct fetch_ops {
	/* Addresses of the control VMs that are known (char *). */
	void (*sources)(void *arg, GPtrArray *out);
	/* Address of the leader; NULL: unknown. */
	const char *(*leader)(void *arg);
	/* Ask one; only the answer of the one asked last counts. */
	void (*ask)(void *arg, const char *addr, const struct msg_fetch *m);
	/* Tell the one asked last that its answer has come. */
	void (*acknowledge)(void *arg, const struct msg_fetch *m);
	/* Changes up to a newer version have come; false where they are of no
	 * use. They needn't be read before it returns. */
	bool (*take)(void *arg, const struct msg_routing *m);
};

struct fetch_options {
	const struct fetch_ops *ops;
	void *arg;
	const char *self; /* name of this process; copied */
	bool services;	  /* no routes; versions are those of services */
};

struct fetch *fetch_new(const struct fetch_options *o);
void fetch_free(struct fetch *f);

/* The version in force, by the leader's word. */
void fetch_want(struct fetch *f, uint64_t version, int64_t now);
/* The version that has come; 0: none. */
uint64_t fetch_version(const struct fetch *f);
/* What came after a version can't be read: the whole is needed. */
void fetch_useless(struct fetch *f, uint64_t have, int64_t now);

/* The one asked last has answered; its connection has ended. */
void fetch_answered(struct fetch *f, const struct msg_routing *m, int64_t now);
void fetch_failed(struct fetch *f, int64_t now);
void fetch_tick(struct fetch *f, int64_t now);

#endif
