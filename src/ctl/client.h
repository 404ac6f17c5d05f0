/* Requests to the operators' interface, to whichever VM leads. */
#ifndef SS_CLIENT_H
#define SS_CLIENT_H

#include "../net/http.h"

struct client {
	char **addrs; /* of the control VMs' operators' interfaces */
	char *token;
	char *change_id; /* sent with every change, also when sent again */
	char *author;
	int64_t timeout_ms;
};

/*
 * Ask until a leader answers or the time is over. The answer's JSON, NULL
 * where nobody answered; status gets its HTTP status. A change whose
 * answer was lost is sent again under the same change id.
 */
struct json_object *client_ask(struct client *c, const char *method,
			       const char *path, struct json_object *body,
			       int *status);

#endif
