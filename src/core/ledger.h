/*
 * An agent's ledger: the replicas that its endpoint is assigned, those that
 * it holds, and the accelerator memory that they use. The ledger refuses
 * assignments with an old fencing token, starts no load or unload before the
 * endpoint's state has been read, and never loads more than the memory holds.
 */
#ifndef SS_LEDGER_H
#define SS_LEDGER_H

#include "msg.h"

/* No load starts if the leader's last message is older than this. */
#define LEDGER_LEASE_MS 5000
/* Delay before a failed load is retried; doubled for each further failure. */
#define LEDGER_RETRY_MS 500
/* Failures after which a load isn't retried but reported to the leader as
 * failed, so that the leader decides again. */
#define LEDGER_FAILURES_MAX 3

/* State of a replica at the endpoint. */
enum ledger_state {
	LEDGER_UNLOADED,
	LEDGER_LOADING,
	LEDGER_READY,
	LEDGER_UNLOADING,
};

/* A replica; read by the ops, changed by the ledger only. */
struct ledger_replica {
	uint64_t id; /* 0: held by the endpoint without an assignment */
	char *model;
	char *base; /* base model of an adapter, else empty */
	uint64_t bytes;
	uint64_t slots;
	bool unload;	    /* to be unloaded */
	bool assigned;	    /* in the leader's last assignment */
	bool order_pending; /* the endpoint hasn't answered an order */
	enum ledger_state state;
	uint64_t order_seq; /* reads up to this number are out of date */
	unsigned int failures;
	int64_t next_retry_ms; /* no load starts before this time */
	int64_t load_start_ms; /* time of the last load's order */
	int64_t load_ms;       /* duration of the last load */
	uint64_t active, served;
	int64_t idle_since_ms; /* the last call's end, or becoming ready */
};

struct ledger_ops {
	/* Sends an order to the endpoint; answered by ledger_answered(). */
	void (*load)(void *arg, const struct ledger_replica *r, uint64_t fence);
	void (*unload)(void *arg, const struct ledger_replica *r,
		       uint64_t fence);
	/* Called when the state has changed in a way to report to the leader.
	 */
	void (*changed)(void *arg);
};

struct ledger_options {
	uint64_t incarnation;
	bool service;	/* the endpoint is a plain service without models */
	uint64_t slots; /* of a plain service */
	const struct ledger_ops *ops;
	void *arg;
};

struct ledger;

struct ledger *ledger_new(const struct ledger_options *o);
void ledger_free(struct ledger *l);

/* Sets the size of the accelerator memory, as reported by the endpoint. */
void ledger_set_bytes(struct ledger *l, uint64_t bytes);

/*
 * Applies the leader's assignment. Fails with SS_ERROR_FENCED if its fencing
 * token is lower than one applied before, or if it is for another
 * incarnation.
 */
bool ledger_assign(struct ledger *l, const struct msg_assign *a, int64_t now,
		   GError **error);

/* Records that a message of the leader has arrived. */
void ledger_leader_contact(struct ledger *l, int64_t now);

/* Returns the number of a read of the models that the endpoint holds, when it
 * is requested. */
uint64_t ledger_read_begin(struct ledger *l);
/*
 * Applies the result of a read. For a replica with an order that is pending, or
 * was answered after the read was requested, it is out of date and ignored.
 */
void ledger_read_done(struct ledger *l, uint64_t read,
		      const struct held_replica *held, size_t n, int64_t now);

/* Records the endpoint's answer to an order; ok: it accepted the order. */
void ledger_answered(struct ledger *l, const char *model, bool ok, int64_t now);

/*
 * Begins a call on a model and takes one of its slots. Errors:
 * SS_ERROR_DRAINING, SS_ERROR_UNKNOWN_MODEL if no replica is ready here,
 * SS_ERROR_OVERLOAD if all slots are taken.
 */
struct ledger_replica *ledger_begin_call(struct ledger *l, struct ss_str model,
					 GError **error);
void ledger_end_call(struct ledger *l, struct ledger_replica *r, int64_t now);

/* Starts the loads and unloads that are possible now. */
void ledger_tick(struct ledger *l, int64_t now);

/* Refuses all new calls, as the endpoint or the process is to stop. */
void ledger_drain(struct ledger *l);
bool ledger_draining(const struct ledger *l);

uint64_t ledger_fence(const struct ledger *l);
uint64_t ledger_active(const struct ledger *l);
/* Returns the memory of all replicas not known to be unloaded, assigned or not.
 */
uint64_t ledger_bytes(const struct ledger *l);
/* Returns whether a load or unload is in progress, or no read is done yet. */
bool ledger_busy(const struct ledger *l);

/*
 * Returns the replicas as reported to the leader (struct held_replica). The
 * caller frees the array; its strings belong to the ledger.
 */
GArray *ledger_report(const struct ledger *l, int64_t now);

#endif
