/* Operators' HTTP with JSON, guarded by a token. */
#ifndef SS_OPERATOR_H
#define SS_OPERATOR_H

#include "../core/state.h"
#include "../net/http.h"

struct operator_done {
	void (*fn)(void *arg, const struct command_result *r,
		   const GError *error);
	void *arg;
};

/* What the interface needs of the control VM. */
struct operator_ops {
	void (*change)(void *arg, struct command *c, struct operator_done done);
	/* Called back once a majority has confirmed that this VM leads. */
	void (*confirm)(void *arg, void (*fn)(void *fn_arg, bool ok),
			void *fn_arg);
	const struct ss_state *(*state)(void *arg);
	/* Add what is known of processes, replicas, queues. */
	void (*status)(void *arg, struct json_object *o);
	/* Explain a model's state; NULL where there is no such model. */
	struct json_object *(*why)(void *arg, const char *model);
	struct json_object *(*members)(void *arg);
	bool (*remove_member)(void *arg, uint64_t id, GError **error);
	/* /healthz, /readyz and /metrics, open to all. */
	bool (*plain)(void *arg, struct evhttp_request *req);
};

struct operator_options {
	struct event_base *base;
	const char *addr;
	const char *token_file;
	const struct operator_ops *ops;
	void *arg;
	uint64_t *denied; /* counter */
};

struct operator_http;

/* SS_ERROR_AUTH where the token file is missing or empty. */
struct operator_http *operator_new(const struct operator_options *o,
				   GError **error);
void operator_free(struct operator_http *h);

/* Read a token: the first line of a file. */
char *operator_read_token(const char *file, GError **error);

#endif
