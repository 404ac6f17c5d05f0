/*
 * The fleet leader. It polls the list of endpoints, receives the reports of
 * agents and entries, orders models to be loaded and unloaded, and sends
 * entries the placement. Its tables start empty with each leadership and fill
 * within a second or two; agents' reports are authoritative.
 */
#ifndef SS_FLEET_LEADER_H
#define SS_FLEET_LEADER_H

#include "leader.h"

extern const struct leader_ops fleet_leader_ops;

#endif
