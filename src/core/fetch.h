/*
 * Fetches the routing from a control VM that has it.
 *
 * The leader reports which version is in force, after a majority has confirmed
 * it. So any control VM may serve the copy, as long as it is that version or a
 * later one. The order in which a process tries the control VMs follows from
 * names alone, without agreement: processes spread evenly, few change their
 * source when a member is removed, and the leader, which has heartbeats to
 * send, is tried last.
 */
#ifndef SS_FETCH_H
#define SS_FETCH_H

#include "msg.h"

/* Time for an answer before the next control VM is asked, in ms: four
 * heartbeats, since a healthy one may not have the version yet. */
#define FETCH_TIMEOUT_MS 400
/* The same for a control VM that has the version and serves others first, in
 * ms: enough for a large fleet at once over the slowest supported link. */
#define FETCH_QUEUED_TIMEOUT_MS 3000
/* Delay after a refusal or a closed connection, in ms: a few round trips, so
 * that the control VMs aren't asked in a tight loop while none can answer. */
#define FETCH_RETRY_MS 50

struct fetch;

struct fetch_ops {
	/* Addresses of the known control VMs (char *). */
	void (*sources)(void *arg, GPtrArray *out);
	/* Address of the leader; NULL: unknown. */
	const char *(*leader)(void *arg);
	/* Sends a request; only the answer to the last one counts. */
	void (*request)(void *arg, const char *addr, const struct msg_fetch *m);
	/* Sends an acknowledgement to the control VM that answered last. */
	void (*acknowledge)(void *arg, const struct msg_fetch *m);
	/* Applies changes up to a newer version; false if they are unusable.
	 * They may be parsed later: an error then leads to a call of
	 * fetch_require_full().
	 */
	bool (*apply)(void *arg, const struct msg_routing *m);
};

struct fetch_options {
	const struct fetch_ops *ops;
	void *arg;
	const char *self;   /* name of this process; copied */
	bool services_only; /* no routes; versions are those of services */
};

struct fetch *fetch_new(const struct fetch_options *o);
void fetch_free(struct fetch *f);

/* Sets the version in force, as reported by the leader. One that isn't newer
 * than the last is ignored. */
void fetch_want(struct fetch *f, uint64_t version, int64_t now);
/* Returns the newest version that was received; 0: none. */
uint64_t fetch_version(const struct fetch *f);
/* Requests a full copy, as the changes after the version "have" can't be read.
 */
void fetch_require_full(struct fetch *f, uint64_t have, int64_t now);

/* Handles the answer of the control VM that was asked last. */
void fetch_answered(struct fetch *f, const struct msg_routing *m, int64_t now);
/* Handles the loss of the connection to that control VM. */
void fetch_failed(struct fetch *f, int64_t now);
void fetch_tick(struct fetch *f, int64_t now);

#endif
