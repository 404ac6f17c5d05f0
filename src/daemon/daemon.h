/* State and functions shared by all roles of the daemon: event loop, clock,
 * metrics, shutdown. */
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
	/* Bytes sent and received between processes of the system. */
	uint64_t *bytes_out, *bytes_in;
};

/* The functions of a role, called by main.c. */
struct role_ops {
	const char *name;
	void *(*start)(struct daemon *d, GError **error);
	/* Starts a planned stop, at whose end the role calls daemon_exit(). */
	void (*stop)(void *role);
	bool (*ready)(void *role);
	void (*free)(void *role);
};

/* Roles of a system whose endpoints are called through agents. */
extern const struct role_ops entry_role, agent_role, control_role;
/* Roles of a fleet whose entries call endpoints directly. */
extern const struct role_ops fleet_entry_role, fleet_agent_role, relay_role;

/*
 * Delay in ms between the last write and the exit. A process that exits with
 * unread bytes on a connection resets it, and what the peer hasn't read yet is
 * lost.
 */
#define DAEMON_LINGER_MS 200

/* Exit codes of the process, beside 0 for success. */
enum daemon_exit_code {
	DAEMON_EXIT_SETTINGS = 2, /* the settings are unusable */
	DAEMON_EXIT_START = 3,	  /* the start failed */
	DAEMON_EXIT_DISK = 4	  /* the disk failed */
};

/* Stops the event loop; the process exits with this code. */
void daemon_exit(struct daemon *d, int code);

/* Returns the options of a connection between processes of the system. */
struct conn_options daemon_conn_options(struct daemon *d,
					const struct conn_ops *ops, void *arg);

/* Creates and starts a repeating timer. */
struct event *daemon_every(struct daemon *d, int64_t ms, event_callback_fn fn,
			   void *arg);

/* Returns the address under which others reach this process; the caller frees
 * it. */
char *daemon_advertised_addr(const struct daemon *d, const struct listener *l);

/* Replies to /healthz, /readyz and /metrics; returns false for other paths. */
bool daemon_status_request(struct daemon *d, struct evhttp_request *req,
			   bool ready);
void daemon_metrics_text(struct daemon *d, GString *out);

/* Updates the metrics of this process's CPU time and memory. */
void daemon_update_process_metrics(struct daemon *d);

#endif
