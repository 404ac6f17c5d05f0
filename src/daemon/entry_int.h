/* Private declarations of the entry role. */
#ifndef SS_ENTRY_INT_H
#define SS_ENTRY_INT_H

#include "../caller/caller.h"
#include "../core/router.h"
#include "daemon.h"

/* Retry-After of a request for the list of models without an answering leader,
 * in ms. */
#define ENTRY_RETRY_AFTER_MS 1000

/* An outgoing connection to an agent. */
struct agent_conn {
	char *node, *addr;
	struct conn *conn;
	bool open;
	int64_t tried_ms, used_ms; /* last connection attempt, last use */
};

struct entry_role {
	struct daemon *d;
	struct caller *caller;
	struct router *router;
	struct link *link;
	struct event *tick;
	GHashTable *agents; /* node -> struct agent_conn */
	GHashTable *hists;  /* "customer\nclass" -> struct hist */
	struct preset preset;
	uint64_t config; /* version of the preset in force; 0: built in */
	char *config_name;
	uint64_t requests; /* last number given to a request */
	GQueue listings;   /* struct request for the models, not answered yet */
	bool draining;
	int64_t stop_ms;    /* start of a planned stop; 0: none */
	int64_t pending_ms; /* when work was last pending during the stop */
	uint64_t *n_requests, *n_ok, *n_gone, *n_bad, *n_waiting, *n_calls,
		*n_conns, *n_cut, *n_config;
};

/* A caller's request. */
struct request {
	struct entry_role *e;
	struct caller_req *req;
	struct rcall *call;
	char *id, *customer, *class_name, *model;
	bool sse;	  /* the answer is a stream of server-sent events */
	uint64_t listing; /* number of a request for the list of models */
	int64_t start_ms;
};

int64_t entry_now(const struct entry_role *e);

/* Answers with a typed error and frees the request. */
void entry_refuse(struct request *q, enum ss_error code, const char *text,
		  enum outcome outcome, int64_t retry_after_ms);
void entry_request_free(struct request *q);

bool entry_ready(void *role);

/* entry_request.c */
extern const struct caller_ops entry_caller_ops;

#endif
