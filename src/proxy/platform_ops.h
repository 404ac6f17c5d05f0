/*
 * Interface to the platform: a table of functions that convert between the
 * platform's wire formats and internal types. They keep no state and make no
 * decisions.
 */
#ifndef SS_PLATFORM_OPS_H
#define SS_PLATFORM_OPS_H

#include "../core/fleet_list.h"
#include "../core/routing.h"
#include "http1.h"

/* A request's metadata, from its head; strings are views into the head. */
struct platform_call {
	struct ss_str id;
	struct ss_str model;   /* empty: the request needs no model */
	struct ss_str adapter; /* empty: none */
	struct ss_str prompt;  /* its parts, as prompt.h describes them */
	int64_t deadline_ms;   /* how long the caller waits; 0: not stated */
	int64_t tokens_in, tokens_out; /* 0: not stated */
	int64_t after_event; /* resume after this event; -1: from the start */
	/* For a resumed stream, the id of the request whose response delivered
	 * its first event; empty: not stated. */
	struct ss_str resumed_id;
	struct ss_str key; /* customer's key; empty: none, or unreadable */
	bool several_keys; /* the request has more than one key */
};

/* Headers that the gate sets on a request that it forwards. */
struct platform_request_headers {
	int64_t deadline_ms;	/* time left until the deadline */
	struct ss_str instance; /* id of the required instance; empty: any */
	int64_t priority;	/* 0 (first) to 9 */
	int64_t after_event;	/* resume after this event; -1: don't */
	bool drop_keys;		/* drop the caller's key and customer headers */
	struct ss_str customer; /* sender of the request; empty: unknown */
};

/* Metadata of an endpoint's response, from its headers. */
struct platform_answer {
	bool not_run;	/* the endpoint states that it didn't run the request */
	bool authentic; /* the endpoint's signature is present */
	/* The body has a content coding, such as gzip, so its bytes aren't the
	 * endpoint's own. */
	bool encoded;
	struct ss_str id;
	int64_t keep_alive_ms; /* keep-alive timeout; 0: not stated */
	bool has_load;
	int64_t running, waiting, slots;
	/* Current duration of a unit of work on the endpoint, in percent of
	 * the usual; 0: not reported, or unreadable. */
	int64_t work_time_percent;
	/* Rate limit that the endpoint states, in requests per second over all
	 * VMs; -1: none. */
	double limit_per_s;
	bool draining; /* the endpoint is draining: no new requests */
	/* Backoff that the endpoint asks of this VM as it refuses a request;
	 * 0: none. */
	int64_t backoff_ms;
};

struct platform_ops {
	/* Paths of requests that write and read the routing configuration, and
	 * of readiness checks. */
	const char *path_put, *path_get, *path_ready;
	/* Paths of an engine's load report and of orders to it. */
	const char *path_report, *path_order;
	/* The header in which a request names the required instance, and
	 * the one in which an endpoint states its own in a health check. */
	const char *header_expect, *header_instance;
	const char *path_health; /* default, if the routing sets none */

	/* Format of the operator's routing configuration. */
	const struct routing_format *routing;

	/* Returns the path of a page of the endpoint list; page is NULL for the
	 * first. */
	char *(*list_path)(const char *page);
	/*
	 * Appends a page's items to out, also those of a truncated page. Sets
	 * next to the name of the following page, or to NULL on the last one.
	 * If that name is unreadable, next is NULL and out is marked as
	 * incomplete. Fails with SS_ERROR_BAD_REQUEST if json is not a page.
	 */
	bool (*read_list)(struct ss_str json, struct fleet_list *out,
			  char **next, GError **error);

	bool (*read_report)(struct ss_str json, struct fleet_report *out,
			    GError **error);
	/* Returns the body of an order, and the meaning of a response's
	 * status. */
	GString *(*write_order)(const struct fleet_order *o);
	enum fleet_order_answer (*order_answer)(int status);

	/* Fails with SS_ERROR_BAD_REQUEST if a header is unreadable. */
	bool (*read_call)(const struct http1_head *h, struct platform_call *c,
			  GError **error);
	/* Appends a request's head, with the headers that may be forwarded. */
	void (*write_request)(GString *out, const struct http1_head *h,
			      const struct platform_request_headers *s,
			      size_t body_bytes);
	void (*read_answer)(const struct http1_head *h,
			    struct platform_answer *a);
	/* Returns true if a response's header is forwarded to the caller. */
	bool (*forwards_header)(struct ss_str name);
};

#endif
