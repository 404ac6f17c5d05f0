/*
 * The leader of replicas behind agents. Its state beside the replicated one
 * holds connected processes and the requests that wait; from these it decides
 * what to load and unload and sends orders and routes. It starts empty with
 * each leadership and is rebuilt from reports within seconds.
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
