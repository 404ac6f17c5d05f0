/*
 * HTTP API of a fleet's own operators, beside the platform's calls: the status,
 * and lifting a quarantine. Only a leader that a majority has confirmed since
 * the request arrived answers.
 */
#ifndef SS_FLEET_HTTP_H
#define SS_FLEET_HTTP_H

#include "routing_http.h"

/* Returns true if the request is one of this API. */
bool fleet_http_knows(struct evhttp_request *req);
/* Answers such a request; this VM leads. */
void fleet_http_answer(const struct routing_http_ops *ops, void *arg,
		       struct evhttp_request *req);

#endif
