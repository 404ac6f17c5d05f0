/*
 * The leader of replicas behind agents: decides which models to load and
 * unload, and sends orders to agents and routes to entries. Beside the
 * replicated state it uses the connected processes and the waiting requests.
 * This part isn't replicated: it starts empty with each leadership and is
 * rebuilt from reports within seconds.
 */
#ifndef SS_REPLICA_LEADER_H
#define SS_REPLICA_LEADER_H

#include "leader.h"

struct replica_leader;
struct vm;

extern const struct leader_ops replica_leader_ops;

/* Applies the latest list of VMs from the platform. */
void leader_set_vms(struct replica_leader *l, const struct vm *vms, size_t n);

/* Explains the placement of a model; NULL if unknown. The caller frees it with
 * json_object_put(). */
struct json_object *leader_explain(struct replica_leader *l, const char *model);

#endif
