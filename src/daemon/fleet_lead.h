/*
 * What a leader knows of a fleet, and does by it: it reads the list of
 * endpoints, hears agents and entries, has models loaded and unloaded, and
 * tells entries what stands where. It starts empty with each leadership
 * and fills within a second or two; agents' reports are the truth.
 */
#ifndef SS_FLEET_LEAD_H
#define SS_FLEET_LEAD_H

#include "group.h"

struct fleet_lead;
struct json_object;

struct fleet_lead *fleet_lead_new(struct daemon *d, struct group *g);
void fleet_lead_free(struct fleet_lead *l);

/* Connections of entries and agents. */
void fleet_lead_open(struct fleet_lead *l, struct conn *c);
void fleet_lead_closed(struct fleet_lead *l, struct conn *c);
void fleet_lead_message(struct fleet_lead *l, struct conn *c, struct frame *f);

/* The state has changed. */
void fleet_lead_applied(struct fleet_lead *l);
void fleet_lead_tick(struct fleet_lead *l);

/* Add what is known to a status. */
void fleet_lead_status(const struct fleet_lead *l, struct json_object *o);

#endif
