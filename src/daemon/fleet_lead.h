/*
 * What a leader knows of a fleet, and does by it: it reads the list of
 * endpoints, hears agents and entries, has models loaded and unloaded, and
 * tells entries what stands where. It starts empty with each leadership
 * and fills within a second or two; agents' reports are the truth.
 */
#ifndef SS_FLEET_LEAD_H
#define SS_FLEET_LEAD_H

#include "leader.h"

extern const struct leader_ops fleet_lead_ops;

#endif
