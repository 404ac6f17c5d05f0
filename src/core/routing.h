/*
 * The routing that operators put in force: which request goes to which
 * service, what may be repeated, and the models that a service's engines
 * can load. Immutable once built; a new version is a new one.
 */
#ifndef SS_ROUTING_H
#define SS_ROUTING_H

#include <sapphireshift/base.h>

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
};

struct routing_share {
	uint32_t service; /* index */
	int64_t weight;
};

struct routing_route {
	char *name, *host, *prefix;
	enum route_kind kind;
	int64_t timeout_ms;
	int64_t objective_ms; /* to the first byte; later is late */
	int64_t pause_ms;     /* longest between events; 0: not told */
	int64_t priority;     /* 0 is first */
	int64_t attempts;     /* endpoints that one request may be sent to */
	bool resumable;
	GArray *shares; /* struct routing_share */
	int64_t total;	/* of the weights */
};

struct routing_limits {
	int64_t head_bytes, body_bytes;
	int64_t head_ms; /* for a whole head to arrive */
	int64_t idle_ms; /* of a caller's connection */
};

struct routing {
	int refs;
	uint64_t version;
	GArray *routes;	  /* struct routing_route */
	GArray *services; /* struct routing_service */
	struct routing_limits limits;
	GHashTable *hosts; /* host -> GArray of route index, longest first */
};

struct routing *routing_new(void);
struct routing *routing_ref(struct routing *r);
void routing_unref(struct routing *r);

/* Zeroed ones at the end; the strings then belong to the routing. */
struct routing_route *routing_add_route(struct routing *r);
struct routing_service *routing_add_service(struct routing *r);
struct routing_model *routing_add_model(struct routing_service *s);

/*
 * Check and index what was added. SS_ERROR_BAD_REQUEST, with the place and
 * the reason, for two routes on one host and prefix, weights that add up
 * to nothing, a timeout of zero, a prefix without its slashes, or names
 * that stand twice. A routing that failed can only be freed.
 */
bool routing_finish(struct routing *r, GError **error);

/* Index of a service by name; -1 for none. */
int routing_service_index(const struct routing *r, const char *name);
/* The same, as a pointer; NULL where none has the name. */
const struct routing_service *routing_service(const struct routing *r,
					      const char *name);

/* The route with the longest prefix of the path; NULL for none. */
const struct routing_route *
routing_match(const struct routing *r, struct ss_str host, struct ss_str path);

/* The service that a random number picks, by the weights. */
const struct routing_service *routing_pick(const struct routing *r,
					   const struct routing_route *rt,
					   uint64_t random);

const struct routing_model *routing_model(const struct routing_service *s,
					  const char *name);

#endif
