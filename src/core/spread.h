/*
 * Handing one large message from a leader to all of its peers: who gets it
 * now. The load it answers: a message of a few hundred KB for some hundred
 * peers on one link. Sent to all at once it keeps the link so long that
 * heartbeats come too late, and the leader is taken for dead in the midst
 * of it.
 */
#ifndef SS_SPREAD_H
#define SS_SPREAD_H

#include <sapphireshift/base.h>

struct spread_peer {
	bool first;	 /* needs it before the others */
	bool needs;	 /* hasn't been sent it */
	size_t backlog;	 /* bytes that wait to be written to it */
	int64_t sent_ms; /* when it was last sent one */
	bool send;	 /* out: now */
};

/* Mark those that get it now; bytes: its size. True where some are left. */
bool spread_choose(struct spread_peer *p, size_t n, size_t bytes, int64_t now);

#endif
