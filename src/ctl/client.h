/* HTTP client of the operator API that finds the current leader. */
#ifndef SS_CLIENT_H
#define SS_CLIENT_H

#include "../net/http.h"

struct client {
	char **addrs; /* operator API addresses of the control VMs */
	char *token;
	char *change_id; /* idempotency key, sent with every attempt */
	char *author;
	int64_t timeout_ms; /* for all attempts of one request */
};

/*
 * Sends a request to the control VMs in turn until a leader responds or the
 * timeout expires. Returns the JSON body of the last response, or NULL if
 * there was none, and sets *status to its HTTP status, or 0. A change whose
 * response was lost is resent with the same change id, so that it is applied
 * only once.
 */
struct json_object *client_request(struct client *c, const char *method,
				   const char *path, struct json_object *body,
				   int *status);

#endif
