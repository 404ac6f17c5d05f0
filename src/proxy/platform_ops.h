/*
 * What the product needs of the platform it runs on: a table of functions
 * that translate between its wire forms and the product's types. They keep
 * no state and decide nothing.
 */
#ifndef SS_PLATFORM_OPS_H
#define SS_PLATFORM_OPS_H

#include "../core/fleet_list.h"
#include "../core/routing.h"
#include "http1.h"

/* What a caller's head says of its request; views into the head. */
struct platform_call {
	struct ss_str id;
	struct ss_str model;   /* empty: not for a model */
	struct ss_str adapter; /* empty: none */
	struct ss_str prompt;  /* parts of the prompt, as the caller sent */
	int64_t deadline_ms;   /* that the caller will wait; 0: not told */
	int64_t tokens_in, tokens_out; /* 0: not told */
	int64_t after_event; /* resume behind this event; -1: from the start */
	/* Id of the request whose answer brought the stream's first event,
	 * where another one is taken up; empty: not told. */
	struct ss_str resumes;
	struct ss_str key; /* its customer's; empty: none, or none readable */
	bool keys_clash;   /* it carries more than one */
};

/* What the system sets on a request that it forwards. */
struct platform_send {
	int64_t deadline_ms;	/* left */
	struct ss_str instance; /* that must answer; empty: any */
	int64_t priority;	/* 0 (first) to 9 */
	int64_t after_event;	/* resume behind this event; -1: don't */
	bool keyed;		/* callers' keys and names don't go on */
	struct ss_str customer; /* that sent it; empty: not known */
};

/* What an endpoint's answer says beside its status and body. */
struct platform_answer {
	bool not_run;	/* the endpoint vouches that it didn't run it */
	bool authentic; /* it bears the endpoint's signature */
	bool encoded;	/* the body isn't the endpoint's own bytes */
	struct ss_str id;
	int64_t idle_ms; /* how long it keeps the connection; 0: not told */
	bool has_load;
	int64_t running, waiting, slots;
	/* Time that a piece of work takes there at the moment, in percent of
	 * the usual; 0: not reported, or not to be read. */
	int64_t work_percent;
	/* It takes no more requests a second than this, of all VMs together;
	 * -1: it names no limit. */
	double limit_per_s;
	bool leaving; /* it is about to end: no new requests */
	/* It turned the request away, and wants nothing from this VM for so
	 * long; 0: it doesn't say so. */
	int64_t rest_ms;
};

struct platform_ops {
	/* Paths of calls that come in. */
	const char *path_put, *path_get, *path_ready;
	/* Paths of an engine's report and orders. */
	const char *path_report, *path_order;
	/* The header by which a call names the incarnation it is for, and
	 * the one by which an endpoint tells its own in a health check. */
	const char *header_expect, *header_instance;
	const char *path_health; /* where the routing names none */

	/* An operator's configuration. */
	const struct routing_format *routing;

	/* The path that lists endpoints; page is NULL for the first one. */
	char *(*list_path)(const char *page);
	/*
	 * Add a page's entries to out, also those of a page that is torn;
	 * next is the following page's name, NULL on the last. Where that
	 * can't be read, next is NULL and out no longer whole. False with
	 * SS_ERROR_BAD_REQUEST where it is no page at all.
	 */
	bool (*read_list)(struct ss_str json, struct fleet_list *out,
			  char **next, GError **error);

	bool (*read_report)(struct ss_str json, struct fleet_report *out,
			    GError **error);
	/* The body of an order, and what the answer's status says. */
	GString *(*write_order)(const struct fleet_order *o);
	enum fleet_order_answer (*order_answer)(int status);

	/* SS_ERROR_BAD_REQUEST where a header can't be read. */
	bool (*read_call)(const struct http1_head *h, struct platform_call *c,
			  GError **error);
	/* Append a request's head with the headers that may go on. */
	void (*write_request)(GString *out, const struct http1_head *h,
			      const struct platform_send *s, size_t body_bytes);
	void (*read_answer)(const struct http1_head *h,
			    struct platform_answer *a);
	/* Whether an answer's header goes on to the caller. */
	bool (*answer_header)(struct ss_str name);
};

#endif
