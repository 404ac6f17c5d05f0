/* The operators' HTTP API: JSON, authenticated by a bearer token. */
#ifndef SS_OPERATOR_H
#define SS_OPERATOR_H

#include "../core/state.h"
#include "../net/http.h"

/* Called with the result of a change. */
struct operator_callback {
	void (*fn)(void *arg, const struct command_result *r,
		   const GError *error);
	void *arg;
};

/* What the API needs from the control VM. */
struct operator_ops {
	/* Proposes a change to the group. */
	void (*change)(void *arg, struct command *c,
		       struct operator_callback done);
	/* Calls fn when a majority has confirmed that this VM leads, or with ok
	 * false. */
	void (*confirm)(void *arg, void (*fn)(void *fn_arg, bool ok),
			void *fn_arg);
	const struct ss_state *(*state)(void *arg);
	/* Adds the state of processes, replicas and queues. */
	void (*status)(void *arg, struct json_object *o);
	/* Explains a model's state; NULL if there is no such model. */
	struct json_object *(*explain)(void *arg, const char *model);
	struct json_object *(*members)(void *arg);
	bool (*remove_member)(void *arg, uint64_t id, GError **error);
	/* Replies to /healthz, /readyz and /metrics, which need no token. False
	 * for other paths. */
	bool (*serve_public)(void *arg, struct evhttp_request *req);
};

struct operator_options {
	struct event_base *base;
	const char *addr;
	const char *token_file;
	const struct operator_ops *ops;
	void *arg;
	uint64_t *denied; /* counter of requests without a valid token */
};

struct operator_http;

/* SS_ERROR_AUTH if the token file is missing or empty. */
struct operator_http *operator_new(const struct operator_options *o,
				   GError **error);
void operator_free(struct operator_http *h);

/* Reads a token, the first line of a file. The caller frees it. */
char *operator_read_token(const char *file, GError **error);

#endif
