/* Wire tables of the replicated state's commands, records and snapshots. */
#include "state_codec.h"

#define F(tag, kind, type, member)                                             \
	{                                                                      \
		tag, kind, offsetof(struct type, member), NULL                 \
	}
#define L(tag, type, member, sub)                                              \
	{                                                                      \
		tag, WIRE_LIST, offsetof(struct type, member), &(sub)          \
	}

static const struct wire_field preset_fields[] = {
	F(1, WIRE_STR, preset_rec, name),
	F(2, WIRE_STR, preset_rec, body),
	F(3, WIRE_UINT, preset_rec, version),
};
const struct wire_type preset_wire =
	WIRE_TYPE(struct preset_rec, preset_fields);

static const struct wire_field model_fields[] = {
	F(1, WIRE_STR, model_rec, name),   F(2, WIRE_STR, model_rec, base),
	F(3, WIRE_STR, model_rec, pool),   F(4, WIRE_UINT, model_rec, bytes),
	F(5, WIRE_UINT, model_rec, slots), F(6, WIRE_BOOL, model_rec, removed),
};
const struct wire_type model_wire = WIRE_TYPE(struct model_rec, model_fields);

static const struct wire_field node_fields[] = {
	F(1, WIRE_STR, node_rec, name),
	F(2, WIRE_STR, node_rec, pool),
	F(3, WIRE_STR, node_rec, domain),
	F(4, WIRE_STR, node_rec, addr),
	F(5, WIRE_INT, node_rec, kind),
	F(6, WIRE_INT, node_rec, state),
	F(7, WIRE_UINT, node_rec, incarnation),
	F(8, WIRE_UINT, node_rec, bytes),
	F(9, WIRE_UINT, node_rec, slots),
	F(10, WIRE_UINT, node_rec, changed),
};
const struct wire_type node_wire = WIRE_TYPE(struct node_rec, node_fields);

static const struct wire_field replica_fields[] = {
	F(1, WIRE_UINT, replica_rec, id),
	F(2, WIRE_STR, replica_rec, model),
	F(3, WIRE_STR, replica_rec, base),
	F(4, WIRE_STR, replica_rec, node),
	F(5, WIRE_UINT, replica_rec, bytes),
	F(6, WIRE_UINT, replica_rec, slots),
	F(7, WIRE_INT, replica_rec, state),
	F(8, WIRE_INT, replica_rec, at_ms),
	F(9, WIRE_INT, replica_rec, load_ms),
};
const struct wire_type replica_wire =
	WIRE_TYPE(struct replica_rec, replica_fields);

static const struct wire_field claim_fields[] = {
	F(1, WIRE_STR, claim_rec, key),
	F(2, WIRE_UINT, claim_rec, fingerprint),
	F(3, WIRE_UINT, claim_rec, entry),
	F(4, WIRE_UINT, claim_rec, seq),
	F(5, WIRE_STR, claim_rec, node),
	F(6, WIRE_UINT, claim_rec, incarnation),
	F(7, WIRE_INT, claim_rec, at_ms),
};
const struct wire_type claim_wire = WIRE_TYPE(struct claim_rec, claim_fields);

static const struct wire_field change_fields[] = {
	F(1, WIRE_STR, change_rec, id),	  F(2, WIRE_STR, change_rec, author),
	F(3, WIRE_STR, change_rec, what), F(4, WIRE_UINT, change_rec, index),
	F(5, WIRE_INT, change_rec, code), F(6, WIRE_UINT, change_rec, version),
	F(7, WIRE_STR, change_rec, text), F(8, WIRE_INT, change_rec, at_ms),
};
const struct wire_type change_wire =
	WIRE_TYPE(struct change_rec, change_fields);

static const struct wire_field routing_fields[] = {
	F(1, WIRE_UINT, routing_rec, version),
	F(2, WIRE_STR, routing_rec, body),
	F(3, WIRE_STR, routing_rec, change),
};
const struct wire_type routing_wire =
	WIRE_TYPE(struct routing_rec, routing_fields);

static const struct wire_field quarantine_fields[] = {
	F(1, WIRE_UINT, quarantine_rec, fingerprint_hi),
	F(2, WIRE_UINT, quarantine_rec, fingerprint_lo),
	F(3, WIRE_INT, quarantine_rec, since_ms),
	F(4, WIRE_INT, quarantine_rec, until_ms),
	F(5, WIRE_UINT, quarantine_rec, trials),
	F(6, WIRE_BOOL, quarantine_rec, removed),
};
const struct wire_type quarantine_wire =
	WIRE_TYPE(struct quarantine_rec, quarantine_fields);

static const struct wire_field stream_rec_fields[] = {
	F(1, WIRE_STR, stream_rec, service),
	F(2, WIRE_STR, stream_rec, version),
	F(3, WIRE_STR, stream_rec, keys),
	F(4, WIRE_INT, stream_rec, until_ms),
	F(5, WIRE_BOOL, stream_rec, removed),
};
const struct wire_type stream_rec_wire =
	WIRE_TYPE(struct stream_rec, stream_rec_fields);

static const struct wire_field command_fields[] = {
	F(1, WIRE_INT, command_wire, kind),
	F(2, WIRE_STR, command_wire, change_id),
	F(3, WIRE_STR, command_wire, author),
	F(4, WIRE_INT, command_wire, at_ms),
	F(5, WIRE_UINT, command_wire, expect),
	F(6, WIRE_UINT, command_wire, dead_entry),
	F(7, WIRE_UINT, command_wire, dead_seq),
	L(8, command_wire, preset, preset_wire),
	L(9, command_wire, models, model_wire),
	L(10, command_wire, node, node_wire),
	L(11, command_wire, replica, replica_wire),
	L(12, command_wire, claim, claim_wire),
	L(13, command_wire, routing, routing_wire),
	L(14, command_wire, quarantines, quarantine_wire),
	L(15, command_wire, streams, stream_rec_wire),
};
const struct wire_type command_wire_type =
	WIRE_TYPE(struct command_wire, command_fields);

static const struct wire_field snapshot_fields[] = {
	F(1, WIRE_STR, state_snapshot, in_force),
	F(2, WIRE_UINT, state_snapshot, config_version),
	L(3, state_snapshot, presets, preset_wire),
	L(4, state_snapshot, models, model_wire),
	L(5, state_snapshot, nodes, node_wire),
	L(6, state_snapshot, replicas, replica_wire),
	L(7, state_snapshot, claims, claim_wire),
	L(8, state_snapshot, changes, change_wire),
	L(9, state_snapshot, routing, routing_wire),
	L(10, state_snapshot, quarantines, quarantine_wire),
	L(11, state_snapshot, streams, stream_rec_wire),
};
const struct wire_type snapshot_wire =
	WIRE_TYPE(struct state_snapshot, snapshot_fields);
