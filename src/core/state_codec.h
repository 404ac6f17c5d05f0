/* Wire tables of the replicated state's commands, records and snapshots. */
#ifndef SS_STATE_CODEC_H
#define SS_STATE_CODEC_H

#include "../base/wire.h"
#include "state.h"

/* A command as encoded in the log: lists of models, quarantines and streams,
 * and at most one of each other record. */
struct command_wire {
	int64_t kind;
	struct ss_str change_id, author;
	int64_t at_ms;
	uint64_t expect, dead_entry, dead_seq;
	struct wire_list preset, models, node, replica, claim, routing,
		quarantines, streams;
};

/* The whole state, as encoded in a snapshot. */
struct state_snapshot {
	struct ss_str in_force;
	uint64_t config_version;
	struct wire_list presets, models, nodes, replicas, claims, changes,
		routing, quarantines, streams;
};

extern const struct wire_type preset_wire, model_wire, node_wire, replica_wire,
	claim_wire, change_wire, routing_wire, quarantine_wire, stream_rec_wire,
	command_wire_type, snapshot_wire;

#endif
