/* The list of endpoints, as read once from the platform. */
#ifndef SS_FLEET_LIST_H
#define SS_FLEET_LIST_H

#include "fleet_types.h"
#include "routing.h"

/*
 * How long an endpoint that isn't in the list is kept while some item of the
 * list can't be attributed to any endpoint: three times the duration of a load
 * from the store that runs alone (6 s), so that no engine is given up during a
 * load.
 */
#define FLEET_UNREADABLE_GRACE_MS 18000

/* An item that can't be read, so that its endpoint can't be used. */
struct fleet_unreadable {
	char *id, *addr; /* NULL: unreadable too */
	char *why;	 /* printable, without quotes */
};

struct fleet_list {
	GArray *instances;  /* struct fleet_instance */
	GArray *unreadable; /* struct fleet_unreadable */
	/* False if pages are missing: they may list further endpoints. */
	bool complete;
	/* A fragment that may hold any number of items couldn't be read. */
	bool torn;
};

/* Initializes an empty list, complete until a page is found to be missing. */
void fleet_list_init(struct fleet_list *l);
void fleet_list_clear(struct fleet_list *l);
/* Takes ownership of the strings. */
void fleet_list_add_unreadable(struct fleet_list *l, char *id, char *addr,
			       char *why);

/*
 * Drops items whose service isn't in the routing if another item has the
 * same id or address and a service of the routing: that item is the valid one.
 * Without a routing nothing is dropped.
 */
void fleet_list_drop_conflicts(struct fleet_list *l, const struct routing *r);

/* Returns whether the list moves an endpoint from a service of the routing to
 * one that isn't in the routing. Such an item counts as corrupt and proves
 * nothing about the endpoint. */
bool fleet_service_corrupt(const struct routing *r, const char *known,
			   const char *listed);

enum fleet_presence {
	FLEET_UNKNOWN,	  /* the list is incomplete: nothing changes */
	FLEET_UNREADABLE, /* present, but its item can't be read */
	FLEET_GONE,
};

/*
 * Returns the presence of an endpoint that isn't among the instances of the
 * list. unread_ms is the time for which its item has been unreadable without
 * any other sign that the endpoint is alive.
 */
enum fleet_presence fleet_list_presence(const struct fleet_list *l,
					const char *id, const char *addr,
					int64_t unread_ms);

#endif
