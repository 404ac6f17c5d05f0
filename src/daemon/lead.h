/*
 * What a leader knows beside the replicated state, and does by it: who is
 * connected, who waits for what, what to load and unload, what to tell
 * whom. It starts empty with each leadership and fills within seconds.
 */
#ifndef SS_LEAD_H
#define SS_LEAD_H

#include "leader.h"

struct lead;
struct vm;

extern const struct leader_ops lead_ops;

/* The newest list of VMs. */
void lead_vms(struct lead *l, const struct vm *vms, size_t n);

/* Why a model stands where it stands; free it with json_object_put(). */
struct json_object *lead_why(struct lead *l, const char *model);

#endif
