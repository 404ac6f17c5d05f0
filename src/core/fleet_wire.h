/* An endpoint's report between the agent, the leader and the entries. */
#ifndef SS_FLEET_WIRE_H
#define SS_FLEET_WIRE_H

#include "fleet_types.h"
#include "msg.h"

/* An array of struct name_item that points into names (char *, or NULL for
 * none); free it with g_array_unref(). */
GArray *fleet_wire_names(const GPtrArray *names);

/* Add x to held (struct held_model). It points into x, and into an array
 * that lists takes. */
void fleet_wire_held(GArray *held, GPtrArray *lists,
		     const struct fleet_held *x);

/* A copy of what an agent reported; free it with fleet_report_clear(). */
void fleet_report_read(struct fleet_report *r, const struct msg_endpoint *m);

#endif
