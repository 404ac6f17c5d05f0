/*
 * Orders that an engine may still carry out after a restart.
 *
 * An order without an answer may be carried out seconds later. An order states
 * the count of orders that it expects the engine to have accepted, so within
 * one incarnation of the engine it isn't accepted after newer orders. An engine
 * that restarts under the same id counts from 0 again and forgets fencing
 * tokens: an order sent before the restart is accepted once the new count
 * reaches the one it expects. If memory was filled in the meantime, the engine
 * is made to load more than fits, and crashes. So the memory that such an order
 * needs is kept free until the order can no longer be carried out.
 */
#ifndef SS_DELAYED_ORDERS_H
#define SS_DELAYED_ORDERS_H

#include "fleet_types.h"

/* An order without an answer may be carried out for this long: the platform
 * delays a call by at most 12 s. */
#define ORDER_DELAY_MAX_MS 12000

struct delayed_orders;

struct delayed_orders *delayed_orders_new(void);
void delayed_orders_free(struct delayed_orders *l);

/* Adds a load order that got no clear answer. prior_incarnation: the engine has
 * restarted since the order was sent. */
void delayed_orders_add(struct delayed_orders *l, const struct fleet_order *o,
			double mb, bool prior_incarnation, int64_t now);
/* Records that the engine has restarted under the same id. */
void delayed_orders_restarted(struct delayed_orders *l);
/* Drops all orders, as the endpoint has another id and refuses orders that name
 * the previous one. */
void delayed_orders_clear(struct delayed_orders *l);

/* Room that has to stay free beside what the engine holds. */
struct delayed_room {
	double mb;
	size_t adapters;
};

/*
 * Returns the room for delayed orders that may be carried out after the next
 * order, which loads the given model or adapter. A delayed order that expects
 * the current count is carried out instead of the next order, never in
 * addition. One whose model or adapter the engine holds, or which loads the
 * same as the next order, needs no room of its own. Of several that expect the
 * same count only one is accepted.
 */
struct delayed_room delayed_orders_room(const struct delayed_orders *l,
					const struct fleet_report *r,
					const char *model, const char *adapter,
					int64_t now);

#endif
