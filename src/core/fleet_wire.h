/* Conversion of an endpoint's report to and from the messages between the
 * agent, the leader and the entries. */
#ifndef SS_FLEET_WIRE_H
#define SS_FLEET_WIRE_H

#include "fleet_types.h"
#include "msg.h"

/* Returns an array of struct name_item whose strings are borrowed from names
 * (char *; NULL: empty). Free it with g_array_unref(). */
GArray *fleet_wire_names(const GPtrArray *names);

/* Appends x to held (struct held_model). The item borrows its strings from x
 * and its adapter list from a GArray that is added to lists. */
void fleet_wire_add_held(GArray *held, GPtrArray *lists,
			 const struct fleet_held_model *x);

/* Copies an agent's report into r; free it with fleet_report_clear(). */
void fleet_report_read(struct fleet_report *r, const struct msg_endpoint *m);

#endif
