/*
 * The routing that operators put in force: which request goes to which
 * service, what may be repeated, the models that a service's engines can
 * load, and whose requests are taken. A table that follows the operators'
 * document change by change; its items are immutable, and live while a request
 * holds them.
 */
#ifndef SS_ROUTING_H
#define SS_ROUTING_H

#include "../customer/customer.h"
#include "document.h"

/* What of a route's requests may be repeated. */
enum route_kind {
	ROUTE_SAFE,   /* may run more than once */
	ROUTE_ONCE,   /* runs at most once */
	ROUTE_STREAM, /* events; at most once unless it may be resumed */
};

struct routing_model {
	char *name;
	double weights_mb;
	double adapter_mb;
	int64_t adapters;
	/* How long a load takes from the store, disk and memory. */
	int64_t store_ms, disk_ms, memory_ms;
};

struct routing_service {
	int refs;
	char *name;
	char *health_path;
	int64_t max_conns; /* of one endpoint, from all callers; 0: unknown */
	bool engine;	   /* model engines, else a plain service */
	int64_t slots;
	int64_t token_capacity; /* prompt and generated tokens in memory */
	double weights_mb;	/* accelerator memory for weights */
	int64_t adapter_slots;
	double loads_per_s; /* of the store, over all endpoints; 0: no limit */
	GArray *models;	    /* struct routing_model */
	GHashTable *by_name;
	/* Of the table that it is in. */
	guint uses;  /* shares of routes */
	guint ended; /* of these, by a change that is being checked */
	bool leaves; /* with that change */
};

struct routing_share {
	char *service;
	int64_t weight;
};

struct routing_route {
	int refs;
	char *name, *host, *prefix;
	enum route_kind kind;
	int64_t timeout_ms;
	int64_t objective_ms; /* to the first byte; later is late */
	int64_t pause_ms;     /* longest between events; 0: not told */
	int64_t priority;     /* 0 is first */
	int64_t attempts;     /* endpoints that one request may be sent to */
	bool resumable;
	bool open;	/* anybody may send, without a key */
	GArray *shares; /* struct routing_share */
	int64_t total;	/* of the weights */
	char *place;	/* host and prefix, as they are looked up */
	bool leaves;	/* with a change that is being checked */
};

struct routing_limits {
	int64_t head_bytes, body_bytes;
	int64_t head_ms; /* for a whole head to arrive */
	int64_t idle_ms; /* of a caller's connection */
};

/* What a configuration says beside its items. */
struct routing_rest {
	uint64_t version;
	struct routing_limits limits;
	bool keyed; /* requests need a customer's key */
};

/* How the platform writes a configuration. */
struct routing_format {
	const char *lists[DOCUMENT_PARTS]; /* members with the items */
	/* Read an item; NULL with SS_ERROR_BAD_REQUEST and the place. */
	struct routing_route *(*read_route)(struct ss_str text,
					    const char *place, GError **error);
	struct routing_service *(*read_service)(struct ss_str text,
						const char *place,
						GError **error);
	struct customer *(*read_customer)(struct ss_str text, const char *place,
					  GError **error);
	/* Read what is beside the items, with the lists empty. */
	bool (*read_rest)(struct ss_str text, struct routing_rest *rest,
			  GError **error);
};

struct routing {
	int refs;
	uint64_t version;    /* 0: none yet */
	guint routes;	     /* their number */
	GPtrArray *services; /* struct routing_service */
	struct routing_limits limits;
	bool keyed; /* requests need a customer's key */
	struct customers customers;
	GHashTable *places; /* place -> struct routing_route */
	size_t longest;	    /* prefix of any route so far, in bytes */
	/* What each piece of the document is: a route, a service or text. */
	struct document_pieces pieces;
};

struct routing *routing_new(void);
struct routing *routing_ref(struct routing *r);
void routing_unref(struct routing *r);

struct routing_route *routing_route_new(void);
struct routing_route *routing_route_ref(struct routing_route *rt);
void routing_route_unref(struct routing_route *rt);
/* Check what was filled in. SS_ERROR_BAD_REQUEST with the reason. */
bool routing_route_finish(struct routing_route *rt, GError **error);

struct routing_service *routing_service_new(void);
struct routing_service *routing_service_ref(struct routing_service *s);
void routing_service_unref(struct routing_service *s);
/* A zeroed one at the end; the strings then belong to the service. */
struct routing_model *routing_add_model(struct routing_service *s);
bool routing_service_finish(struct routing_service *s, GError **error);

/* Some of the route's requests go to that service. */
bool routing_leads_to(const struct routing_route *rt, const char *service);

/* A whole text read; NULL with SS_ERROR_BAD_REQUEST and the place. */
struct routing *routing_read(const struct routing_format *f, struct ss_str text,
			     GError **error);

/* NULL where none has the name. */
struct routing_service *routing_service(const struct routing *r,
					const char *name);

/* The route with the longest prefix of the path; NULL for none. */
struct routing_route *routing_match(const struct routing *r, struct ss_str host,
				    struct ss_str path);

/* The service that a random number picks, by the weights. */
struct routing_service *routing_pick(const struct routing *r,
				     const struct routing_route *rt,
				     uint64_t random);

const struct routing_model *routing_model(const struct routing_service *s,
					  const char *name);

#endif
