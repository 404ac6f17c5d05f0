/* The replicated state's records as bytes. */
#ifndef SS_STATE_CODEC_H
#define SS_STATE_CODEC_H

#include "../base/wire.h"
#include "state.h"

/* A command as it stands in the log: at most one of each record. */
struct command_wire {
	int64_t kind;
	struct ss_str change_id, author;
	int64_t at_ms;
	uint64_t expect, dead_entry, dead_seq;
	struct wire_list preset, models, node, replica, claim, routing;
};

/* The whole state, as it stands in a snapshot. */
struct image {
	struct ss_str in_force;
	uint64_t config_version;
	struct wire_list presets, models, nodes, replicas, claims, changes,
		routing;
};

extern const struct wire_type preset_wire, model_wire, node_wire, replica_wire,
	claim_wire, change_wire, routing_wire, command_wire_type, image_wire;

#endif
