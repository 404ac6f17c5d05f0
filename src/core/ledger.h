/*
 * An agent's ledger: which replicas its endpoint is to hold, which it
 * holds, and how much accelerator memory that takes. It refuses orders
 * with an old fencing number, acts on none before it has read what the
 * endpoint truly holds, and never lets loads exceed the memory.
 */
#ifndef SS_LEDGER_H
#define SS_LEDGER_H

#include "msg.h"

/* Without a word from a leader for so long, no load is started. */
#define LEDGER_LEASE_MS 5000
/* After a failed load; doubled for each failure. */
#define LEDGER_RETRY_MS 500
/* Failures after which the leader is told, so that it decides anew. */
#define LEDGER_FAILURES_MAX 3

enum have_state {
	HAVE_NOTHING,
	HAVE_LOADING,
	HAVE_READY,
	HAVE_UNLOADING,
};

/* One replica; ops see it, only the ledger changes it. */
struct ledger_replica {
	uint64_t id; /* 0: found in the endpoint, decided by nobody */
	char *model;
	char *base; /* of an adapter, else empty */
	uint64_t bytes;
	uint64_t slots;
	bool unload;  /* wanted gone */
	bool ordered; /* still in the leader's assignment */
	bool asking;  /* an order to the endpoint is unanswered */
	enum have_state have;
	uint64_t asked; /* truth older than this says nothing of it */
	unsigned int failures;
	int64_t retry_ms;
	int64_t load_start_ms, load_ms;
	uint64_t active, served;
	int64_t idle_ms; /* when the last call ended, or it became ready */
};

struct ledger_ops {
	/* Order the endpoint; answer with ledger_answered(). */
	void (*load)(void *arg, const struct ledger_replica *r, uint64_t fence);
	void (*unload)(void *arg, const struct ledger_replica *r,
		       uint64_t fence);
	/* Something the leader should hear of. */
	void (*changed)(void *arg);
};

struct ledger_options {
	uint64_t incarnation;
	bool service;	/* a plain service: holds no models */
	uint64_t slots; /* of a plain service */
	const struct ledger_ops *ops;
	void *arg;
};

struct ledger;

struct ledger *ledger_new(const struct ledger_options *o);
void ledger_free(struct ledger *l);

/* The accelerator memory, once the endpoint has told it. */
void ledger_set_bytes(struct ledger *l, uint64_t bytes);

/*
 * Take the leader's assignment. SS_ERROR_FENCED where its number is older
 * than one taken before, or it is for another incarnation.
 */
bool ledger_assign(struct ledger *l, const struct msg_assign *a, int64_t now,
		   GError **error);

/* A leader is known to be alive at this time. */
void ledger_leader_heard(struct ledger *l, int64_t now);

/*
 * What the endpoint says it holds. The read is numbered when it is asked,
 * so that an answer which an order has overtaken isn't taken for news.
 */
uint64_t ledger_read_begin(struct ledger *l);
void ledger_read_done(struct ledger *l, uint64_t read, const struct held *held,
		      size_t n, int64_t now);

/* The endpoint answered an order; ok: it took it. */
void ledger_answered(struct ledger *l, const char *model, bool ok, int64_t now);

/*
 * A call on a model begins. Errors: SS_ERROR_DRAINING,
 * SS_ERROR_UNKNOWN_MODEL where no replica is ready here,
 * SS_ERROR_OVERLOAD where all slots are taken.
 */
struct ledger_replica *ledger_begin(struct ledger *l, struct ss_str model,
				    GError **error);
void ledger_end(struct ledger *l, struct ledger_replica *r, int64_t now);

/* Start what may be started now. */
void ledger_tick(struct ledger *l, int64_t now);

/* The endpoint or the process is to stop: refuse all new calls. */
void ledger_drain(struct ledger *l);
bool ledger_draining(const struct ledger *l);

uint64_t ledger_fence(const struct ledger *l);
uint64_t ledger_active(const struct ledger *l);
/* Bytes held or being loaded, whoever decided it. */
uint64_t ledger_bytes(const struct ledger *l);
/* True while a load or unload is under way. */
bool ledger_busy(const struct ledger *l);

/* All replicas as the leader is told; free the array, not its strings. */
GArray *ledger_report(const struct ledger *l, int64_t now);

#endif
