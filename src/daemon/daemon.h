/* What the three roles share: the loop, the clock, counters, stopping. */
#ifndef SS_DAEMON_H
#define SS_DAEMON_H

#include "../base/log.h"
#include "../base/metrics.h"
#include "../net/http.h"
#include "../node/link.h"
#include "../config/config.h"

struct daemon {
	struct event_base *base;
	struct ss_clock clock;
	struct metrics *metrics;
	struct config config;
	struct msg_hello hello;
	uint64_t seed;
	int exit_code;
	uint64_t *bytes_out, *bytes_in; /* of own connections */
};

/* One role: the loop calls it through this table. */
struct role_ops {
	const char *name;
	void *(*start)(struct daemon *d, GError **error);
	/* A planned stop begins; the role ends the loop when it is done. */
	void (*stop)(void *role);
	bool (*ready)(void *role);
	void (*free)(void *role);
};

extern const struct role_ops entry_role, agent_role, control_role;
/* The same of a fleet whose endpoints are called directly. */
extern const struct role_ops fleet_entry_role, fleet_agent_role, relay_role;

/*
 * A process that ends at once with unread bytes on a connection resets it,
 * and what the peer hasn't read yet is lost. So the end comes this long
 * after everything was written.
 */
#define DAEMON_LINGER_MS 200

/* End the loop now. */
void daemon_exit(struct daemon *d, int code);

/* The options of a connection between own processes. */
struct conn_options daemon_conn_options(struct daemon *d,
					const struct conn_ops *ops, void *arg);

/* A timer that repeats. */
struct event *daemon_every(struct daemon *d, int64_t ms, event_callback_fn fn,
			   void *arg);

/* The address that others use for this process. */
char *daemon_advertised(const struct daemon *d, const struct listener *l);

/* Answer /healthz, /readyz and /metrics; false for any other path. */
bool daemon_status_request(struct daemon *d, struct evhttp_request *req,
			   bool ready);
void daemon_metrics_text(struct daemon *d, GString *out);

/* CPU time and memory of this process, as gauges. */
void daemon_sample_self(struct daemon *d);

#endif
