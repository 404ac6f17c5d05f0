/*
 * The routing table, built from the operators' configuration document: which
 * request goes to which service, which requests may be retried, the models
 * that a service's engines can load, and the customers whose requests are
 * accepted. The table is updated in place by each change of the document. Its
 * routes, services and customers are immutable and reference counted, so that
 * a request can use them after they have left the table.
 */
#ifndef SS_ROUTING_H
#define SS_ROUTING_H

#include "../customer/customer.h"
#include "document.h"

/* Whether a request of a route may be executed more than once. */
enum route_kind {
	ROUTE_SAFE,   /* may run more than once */
	ROUTE_ONCE,   /* runs at most once */
	ROUTE_STREAM, /* an event stream; at most once unless it is resumable */
};

struct routing_model {
	char *name;
	double weights_mb;
	double adapter_mb;
	int64_t adapters;
	/* Time to load it from the weight store, local disk or memory. */
	int64_t store_load_ms, disk_load_ms, memory_load_ms;
};

struct routing_service {
	int refs;
	char *name;
	char *health_path;
	int64_t max_conns; /* per endpoint, over all callers; 0: unknown */
	bool engine;	   /* of model engines; false: a plain service */
	int64_t slots;
	int64_t token_capacity; /* prompt and generated tokens held in memory */
	double weights_mb;	/* accelerator memory for weights */
	int64_t adapter_slots;
	/* Loads from the weight store, over all endpoints; 0: no limit. */
	double loads_per_s;
	GArray *models;	     /* struct routing_model */
	GHashTable *by_name; /* name -> struct routing_model */
	/* State of the table that holds it. */
	guint route_shares;   /* number of shares of routes that name it */
	guint shares_removed; /* of these, removed by the change under check */
	bool removing;	      /* the change under check removes it */
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
	int64_t objective_ms; /* until the first byte; later counts as late */
	int64_t max_event_gap_ms; /* maximum gap between events; 0: not set */
	int64_t priority;	  /* 0 is the highest */
	int64_t attempts;	  /* endpoints that a request may be sent to */
	bool resumable;
	bool is_public; /* requests need no customer's key */
	GArray *shares; /* struct routing_share */
	int64_t total_weight;
	char *lookup_key; /* lower-case host, space, prefix */
	bool removing;	  /* the change under check removes it */
};

struct routing_limits {
	int64_t head_bytes, body_bytes;
	int64_t head_ms; /* timeout for a complete request head */
	int64_t idle_ms; /* idle timeout of a caller's connection */
};

/* Settings of a configuration outside of its lists. */
struct routing_settings {
	uint64_t version;
	struct routing_limits limits;
	bool needs_key; /* requests need a customer's key */
};

/* The platform's format of a configuration. */
struct routing_format {
	/* Names of the members that hold the items of each part. */
	const char *lists[DOCUMENT_PARTS];
	/*
	 * Parse an item. Return NULL with SS_ERROR_BAD_REQUEST on failure; the
	 * message names the item by its path in the document.
	 */
	struct routing_route *(*read_route)(struct ss_str text,
					    const char *path, GError **error);
	struct routing_service *(*read_service)(struct ss_str text,
						const char *path,
						GError **error);
	struct customer *(*read_customer)(struct ss_str text, const char *path,
					  GError **error);
	/* Parses the settings from a text whose lists are empty. */
	bool (*read_settings)(struct ss_str text,
			      struct routing_settings *settings,
			      GError **error);
};

struct routing {
	int refs;
	uint64_t version;    /* 0: no configuration yet */
	guint route_count;   /* number of routes */
	GPtrArray *services; /* struct routing_service */
	struct routing_limits limits;
	bool needs_key; /* requests need a customer's key */
	struct customers customers;
	GHashTable *routes_by_key; /* lookup_key -> struct routing_route */
	size_t longest_prefix;	   /* in bytes, of any route so far */
	/* The pieces of the document, each with its route, service, customer or
	 * text. */
	struct document_pieces pieces;
};

struct routing *routing_new(void);
struct routing *routing_ref(struct routing *r);
void routing_unref(struct routing *r);

struct routing_route *routing_route_new(void);
struct routing_route *routing_route_ref(struct routing_route *rt);
void routing_route_unref(struct routing_route *rt);
/*
 * Validates the members that were set, and sets the derived ones. Fails with
 * SS_ERROR_BAD_REQUEST and the reason.
 */
bool routing_route_finish(struct routing_route *rt, GError **error);

struct routing_service *routing_service_new(void);
struct routing_service *routing_service_ref(struct routing_service *s);
void routing_service_unref(struct routing_service *s);
/* Appends a zeroed model. The service owns the strings that are set in it. */
struct routing_model *routing_add_model(struct routing_service *s);
/* Does the same as routing_route_finish() for a service. */
bool routing_service_finish(struct routing_service *s, GError **error);

/* Returns whether the route sends a share of its requests to the service. */
bool routing_route_targets(const struct routing_route *rt, const char *service);

/*
 * Builds a table from a full text. Returns NULL with SS_ERROR_BAD_REQUEST on
 * failure; the message names the invalid item by its path.
 */
struct routing *routing_read(const struct routing_format *f, struct ss_str text,
			     GError **error);

/* Finds a service by name, or NULL. */
struct routing_service *routing_service(const struct routing *r,
					const char *name);

/* Finds the host's route with the longest prefix of the path, or NULL. */
struct routing_route *routing_match(const struct routing *r, struct ss_str host,
				    struct ss_str path);

/* Picks a service by a random number and the weights of the route's shares. */
struct routing_service *routing_pick(const struct routing *r,
				     const struct routing_route *rt,
				     uint64_t random);

/* Finds a model by name, or NULL. */
const struct routing_model *routing_model(const struct routing_service *s,
					  const char *name);

#endif
