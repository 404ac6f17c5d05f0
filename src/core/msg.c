/* Wire tables of the messages. A tag is never reused for another meaning. */
#include "msg.h"

#define F(tag, kind, type, member)                                             \
	{                                                                      \
		tag, kind, offsetof(struct type, member), NULL                 \
	}
#define L(tag, type, member, sub)                                              \
	{                                                                      \
		tag, WIRE_LIST, offsetof(struct type, member), &(sub)          \
	}
#define T(type, table) WIRE_TYPE(struct type, table)

static const struct wire_field hello_fields[] = {
	F(1, WIRE_UINT, msg_hello, version),
	F(2, WIRE_UINT, msg_hello, group),
	F(3, WIRE_INT, msg_hello, role),
	F(4, WIRE_STR, msg_hello, name),
	F(5, WIRE_STR, msg_hello, domain),
	F(6, WIRE_UINT, msg_hello, incarnation),
	F(7, WIRE_UINT, msg_hello, config),
};
static const struct wire_field ping_fields[] = {
	F(1, WIRE_UINT, msg_ping, active),
};
static const struct wire_field entry_fields[] = {
	F(1, WIRE_UINT, ss_raft_entry, index),
	F(2, WIRE_UINT, ss_raft_entry, term),
	F(3, WIRE_INT, ss_raft_entry, kind),
	F(4, WIRE_STR, ss_raft_entry, data),
};
static const struct wire_type entry_type = T(ss_raft_entry, entry_fields);
static const struct wire_field raft_fields[] = {
	F(1, WIRE_INT, msg_raft, kind),
	F(2, WIRE_UINT, msg_raft, from),
	F(3, WIRE_UINT, msg_raft, to),
	F(4, WIRE_UINT, msg_raft, term),
	F(5, WIRE_UINT, msg_raft, index),
	F(6, WIRE_UINT, msg_raft, log_term),
	F(7, WIRE_UINT, msg_raft, commit),
	F(8, WIRE_UINT, msg_raft, round),
	F(9, WIRE_UINT, msg_raft, offset),
	F(10, WIRE_UINT, msg_raft, total),
	F(11, WIRE_BOOL, msg_raft, ok),
	F(12, WIRE_BOOL, msg_raft, transfer),
	L(13, msg_raft, entries, entry_type),
	F(14, WIRE_STR, msg_raft, members),
	F(15, WIRE_STR, msg_raft, data),
};
static const struct wire_field join_fields[] = {
	F(1, WIRE_UINT, msg_join, id),
	F(2, WIRE_STR, msg_join, name),
	F(3, WIRE_STR, msg_join, addr),
	F(4, WIRE_BOOL, msg_join, leaving),
};
static const struct wire_field control_addr_fields[] = {
	F(1, WIRE_STR, control_addr, addr),
};
static const struct wire_type control_addr_type =
	T(control_addr, control_addr_fields);
static const struct wire_field leader_fields[] = {
	F(1, WIRE_UINT, msg_leader, group),
	F(2, WIRE_STR, msg_leader, addr),
	F(3, WIRE_BOOL, msg_leader, from_leader),
	L(4, msg_leader, members, control_addr_type),
	F(5, WIRE_BOOL, msg_leader, may_end),
};
static const struct wire_field held_fields[] = {
	F(1, WIRE_UINT, held_replica, replica),
	F(2, WIRE_STR, held_replica, model),
	F(3, WIRE_UINT, held_replica, bytes),
	F(4, WIRE_INT, held_replica, state),
	F(5, WIRE_INT, held_replica, load_ms),
	F(6, WIRE_UINT, held_replica, active),
	F(7, WIRE_UINT, held_replica, served),
	F(8, WIRE_INT, held_replica, idle_ms),
};
static const struct wire_type held_type = T(held_replica, held_fields);
static const struct wire_field cached_fields[] = {
	F(1, WIRE_STR, cached_checkpoint, model),
	F(2, WIRE_INT, cached_checkpoint, tier),
};
static const struct wire_type cached_type = T(cached_checkpoint, cached_fields);
static const struct wire_field register_fields[] = {
	F(1, WIRE_STR, msg_register, name),
	F(2, WIRE_STR, msg_register, pool),
	F(3, WIRE_STR, msg_register, domain),
	F(4, WIRE_STR, msg_register, addr),
	F(5, WIRE_INT, msg_register, kind),
	F(6, WIRE_UINT, msg_register, incarnation),
	F(7, WIRE_UINT, msg_register, bytes),
	F(8, WIRE_UINT, msg_register, slots),
	L(9, msg_register, held, held_type),
	L(10, msg_register, cached, cached_type),
};
static const struct wire_field order_fields[] = {
	F(1, WIRE_UINT, replica_order, replica),
	F(2, WIRE_STR, replica_order, model),
	F(3, WIRE_STR, replica_order, base),
	F(4, WIRE_UINT, replica_order, bytes),
	F(5, WIRE_UINT, replica_order, slots),
	F(6, WIRE_BOOL, replica_order, unload),
};
static const struct wire_type order_type = T(replica_order, order_fields);
static const struct wire_field assign_fields[] = {
	F(1, WIRE_UINT, msg_assign, fence),
	F(2, WIRE_UINT, msg_assign, incarnation),
	F(3, WIRE_BOOL, msg_assign, draining),
	L(4, msg_assign, orders, order_type),
};
static const struct wire_field report_fields[] = {
	F(1, WIRE_UINT, msg_report, incarnation),
	F(2, WIRE_UINT, msg_report, fence),
	F(3, WIRE_UINT, msg_report, active),
	F(4, WIRE_BOOL, msg_report, draining),
	L(5, msg_report, held, held_type),
	L(6, msg_report, cached, cached_type),
};
static const struct wire_field config_fields[] = {
	F(1, WIRE_UINT, msg_config, version),
	F(2, WIRE_STR, msg_config, name),
	F(3, WIRE_STR, msg_config, body),
};
static const struct wire_field watch_fields[] = {
	F(1, WIRE_STR, msg_watch, model),
	F(2, WIRE_UINT, msg_watch, waiting),
	F(3, WIRE_INT, msg_watch, deadline_ms),
	F(4, WIRE_INT, msg_watch, priority),
	F(5, WIRE_UINT, msg_watch, arrivals),
	F(6, WIRE_BOOL, msg_watch, done),
};
static const struct wire_field route_replica_fields[] = {
	F(1, WIRE_UINT, route_replica, replica),
	F(2, WIRE_STR, route_replica, node),
	F(3, WIRE_STR, route_replica, addr),
	F(4, WIRE_STR, route_replica, domain),
	F(5, WIRE_UINT, route_replica, incarnation),
	F(6, WIRE_UINT, route_replica, slots),
	F(7, WIRE_INT, route_replica, age_ms),
};
static const struct wire_type route_replica_type =
	T(route_replica, route_replica_fields);
static const struct wire_field route_fields[] = {
	F(1, WIRE_STR, msg_route, model),
	F(2, WIRE_INT, msg_route, code),
	F(3, WIRE_INT, msg_route, eta_ms),
	F(4, WIRE_UINT, msg_route, version),
	L(5, msg_route, replicas, route_replica_type),
	F(6, WIRE_STR, msg_route, target),
};
static const struct wire_field claim_fields[] = {
	F(1, WIRE_UINT, msg_claim, sub),
	F(2, WIRE_STR, msg_claim, key),
	F(3, WIRE_UINT, msg_claim, fingerprint),
	F(4, WIRE_UINT, msg_claim, entry),
	F(5, WIRE_UINT, msg_claim, seq),
	F(6, WIRE_UINT, msg_claim, dead_entry),
	F(7, WIRE_UINT, msg_claim, dead_seq),
	F(8, WIRE_STR, msg_claim, node),
	F(9, WIRE_UINT, msg_claim, incarnation),
};
static const struct wire_field claimed_fields[] = {
	F(1, WIRE_UINT, msg_claimed, sub),
	F(2, WIRE_INT, msg_claimed, code),
	F(3, WIRE_STR, msg_claimed, text),
	F(4, WIRE_UINT, msg_claimed, entry),
	F(5, WIRE_UINT, msg_claimed, seq),
	F(6, WIRE_STR, msg_claimed, node),
	F(7, WIRE_STR, msg_claimed, addr),
	F(8, WIRE_UINT, msg_claimed, incarnation),
};
static const struct wire_field models_fields[] = {
	F(1, WIRE_UINT, msg_models, sub),
};
static const struct wire_field model_name_fields[] = {
	F(1, WIRE_STR, model_name, name),
	F(2, WIRE_STR, model_name, base),
};
static const struct wire_type model_name_type =
	T(model_name, model_name_fields);
static const struct wire_field model_list_fields[] = {
	F(1, WIRE_UINT, msg_model_list, sub),
	L(2, msg_model_list, models, model_name_type),
};
static const struct wire_field header_fields[] = {
	F(1, WIRE_STR, header, name),
	F(2, WIRE_STR, header, value),
};
static const struct wire_type header_type = T(header, header_fields);
static const struct wire_field call_fields[] = {
	F(1, WIRE_UINT, msg_call, sub),
	F(2, WIRE_UINT, msg_call, entry),
	F(3, WIRE_UINT, msg_call, seq),
	F(4, WIRE_UINT, msg_call, incarnation),
	F(5, WIRE_STR, msg_call, model),
	F(6, WIRE_STR, msg_call, method),
	F(7, WIRE_STR, msg_call, path),
	L(8, msg_call, headers, header_type),
	F(9, WIRE_STR, msg_call, body),
	F(10, WIRE_INT, msg_call, deadline_ms),
	F(11, WIRE_INT, msg_call, priority),
	F(12, WIRE_BOOL, msg_call, once),
};
static const struct wire_field reply_fields[] = {
	F(1, WIRE_UINT, msg_reply, sub),
	F(2, WIRE_UINT, msg_reply, seq),
	F(3, WIRE_INT, msg_reply, status),
	L(4, msg_reply, headers, header_type),
	F(5, WIRE_STR, msg_reply, data),
	F(6, WIRE_BOOL, msg_reply, end),
	F(7, WIRE_INT, msg_reply, code),
	F(8, WIRE_INT, msg_reply, outcome),
	F(9, WIRE_STR, msg_reply, text),
	F(10, WIRE_UINT, msg_reply, active),
};
static const struct wire_field cancel_fields[] = {
	F(1, WIRE_UINT, msg_cancel, sub),
};
static const struct wire_field attach_fields[] = {
	F(1, WIRE_UINT, msg_attach, sub),
	F(2, WIRE_UINT, msg_attach, entry),
	F(3, WIRE_UINT, msg_attach, seq),
	F(4, WIRE_UINT, msg_attach, incarnation),
	F(5, WIRE_UINT, msg_attach, have),
};

static const struct wire_field name_fields[] = {
	F(1, WIRE_STR, name_item, name),
};
static const struct wire_type name_type = T(name_item, name_fields);
static const struct wire_field held_model_fields[] = {
	F(1, WIRE_STR, held_model, model),
	L(2, held_model, adapters, name_type),
	F(3, WIRE_INT, held_model, calls),
};
static const struct wire_type held_model_type =
	T(held_model, held_model_fields);
static const struct wire_field endpoint_fields[] = {
	F(1, WIRE_STR, msg_endpoint, addr),
	F(2, WIRE_STR, msg_endpoint, agent),
	F(3, WIRE_BOOL, msg_endpoint, reachable),
	F(4, WIRE_BOOL, msg_endpoint, busy),
	F(5, WIRE_BOOL, msg_endpoint, draining),
	F(6, WIRE_INT, msg_endpoint, remaining_ms),
	F(7, WIRE_UINT, msg_endpoint, orders),
	F(8, WIRE_INT, msg_endpoint, running),
	F(9, WIRE_INT, msg_endpoint, waiting),
	F(10, WIRE_INT, msg_endpoint, tokens_used),
	F(11, WIRE_INT, msg_endpoint, tokens_total),
	L(12, msg_endpoint, held, held_model_type),
	L(13, msg_endpoint, in_memory, name_type),
	L(14, msg_endpoint, on_disk, name_type),
	F(15, WIRE_INT, msg_endpoint, started_ms),
	F(16, WIRE_BOOL, msg_endpoint, remote),
	F(17, WIRE_STR, msg_endpoint, id),
	F(18, WIRE_INT, msg_endpoint, limit),
	F(19, WIRE_INT, msg_endpoint, limit_age),
};
static const struct wire_field load_fields[] = {
	F(1, WIRE_UINT, msg_load, fence),     F(2, WIRE_UINT, msg_load, step),
	L(3, msg_load, unload, name_type),    F(4, WIRE_STR, msg_load, load),
	F(5, WIRE_INT, msg_load, started_ms),
};
static const struct wire_field loaded_fields[] = {
	F(1, WIRE_UINT, msg_loaded, fence),  F(2, WIRE_UINT, msg_loaded, step),
	F(3, WIRE_INT, msg_loaded, code),    F(4, WIRE_STR, msg_loaded, text),
	F(5, WIRE_INT, msg_loaded, took_ms),
};
static const struct wire_field fleet_endpoint_fields[] = {
	F(1, WIRE_STR, fleet_endpoint, addr),
	F(2, WIRE_STR, fleet_endpoint, id),
	F(3, WIRE_STR, fleet_endpoint, service),
	F(4, WIRE_STR, fleet_endpoint, domain),
	F(5, WIRE_STR, fleet_endpoint, agent),
	F(6, WIRE_INT, fleet_endpoint, slots),
	F(7, WIRE_BOOL, fleet_endpoint, unusable),
	F(8, WIRE_BOOL, fleet_endpoint, gone),
	F(9, WIRE_INT, fleet_endpoint, running),
	F(10, WIRE_INT, fleet_endpoint, waiting),
	F(11, WIRE_INT, fleet_endpoint, tokens_used),
	F(12, WIRE_INT, fleet_endpoint, tokens_total),
	L(13, fleet_endpoint, held, held_model_type),
	F(14, WIRE_INT, fleet_endpoint, age_ms),
	F(15, WIRE_BOOL, fleet_endpoint, busy),
	F(16, WIRE_INT, fleet_endpoint, started_ms),
	F(17, WIRE_INT, fleet_endpoint, failure_rate),
	F(18, WIRE_INT, fleet_endpoint, limit),
	F(19, WIRE_INT, fleet_endpoint, limit_age),
	F(20, WIRE_STR, fleet_endpoint, version),
	F(21, WIRE_BOOL, fleet_endpoint, draining),
	F(22, WIRE_INT, fleet_endpoint, slowness),
};
static const struct wire_type fleet_endpoint_type =
	T(fleet_endpoint, fleet_endpoint_fields);
static const struct wire_field fleet_eta_fields[] = {
	F(1, WIRE_STR, fleet_eta, service),
	F(2, WIRE_STR, fleet_eta, model),
	F(3, WIRE_INT, fleet_eta, eta_ms),
	F(4, WIRE_STR, fleet_eta, version),
};
static const struct wire_type fleet_eta_type = T(fleet_eta, fleet_eta_fields);
static const struct wire_field fleet_load_fields[] = {
	F(1, WIRE_STR, fleet_load, addr),
	F(2, WIRE_INT, fleet_load, running),
	F(3, WIRE_INT, fleet_load, waiting),
	F(4, WIRE_INT, fleet_load, tokens_used),
	F(5, WIRE_INT, fleet_load, tokens_total),
	F(6, WIRE_INT, fleet_load, age_ms),
	F(7, WIRE_INT, fleet_load, failure_rate),
	F(8, WIRE_INT, fleet_load, slowness),
};
static const struct wire_type fleet_load_type =
	T(fleet_load, fleet_load_fields);
static const struct wire_field fleet_fields[] = {
	F(1, WIRE_UINT, msg_fleet, fence),
	F(2, WIRE_UINT, msg_fleet, round),
	F(3, WIRE_BOOL, msg_fleet, full),
	L(4, msg_fleet, endpoints, fleet_endpoint_type),
	L(5, msg_fleet, etas, fleet_eta_type),
	F(6, WIRE_UINT, msg_fleet, entries),
	L(7, msg_fleet, loads, fleet_load_type),
};
static const struct wire_field model_demand_fields[] = {
	F(1, WIRE_STR, model_demand, service),
	F(2, WIRE_STR, model_demand, model),
	F(3, WIRE_UINT, model_demand, arrivals),
	F(4, WIRE_UINT, model_demand, waiting),
	F(5, WIRE_INT, model_demand, slack_ms),
	F(6, WIRE_STR, model_demand, version),
};
static const struct wire_type model_demand_type =
	T(model_demand, model_demand_fields);
static const struct wire_field endpoint_calls_fields[] = {
	F(1, WIRE_STR, endpoint_calls, addr),
	L(2, endpoint_calls, models, held_model_type),
	F(3, WIRE_INT, endpoint_calls, started_ms),
};
static const struct wire_type endpoint_calls_type =
	T(endpoint_calls, endpoint_calls_fields);
static const struct wire_field endpoint_results_fields[] = {
	F(1, WIRE_STR, endpoint_results, addr),
	F(2, WIRE_INT, endpoint_results, started_ms),
	F(3, WIRE_UINT, endpoint_results, failed),
	F(4, WIRE_UINT, endpoint_results, answered),
	F(5, WIRE_INT, endpoint_results, slowness_ln),
	F(6, WIRE_UINT, endpoint_results, slowness_count),
};
static const struct wire_type endpoint_results_type =
	T(endpoint_results, endpoint_results_fields);
static const struct wire_field endpoint_signals_fields[] = {
	F(1, WIRE_STR, endpoint_signals, addr),
	F(2, WIRE_STR, endpoint_signals, id),
	F(3, WIRE_INT, endpoint_signals, started_ms),
	F(4, WIRE_INT, endpoint_signals, limit),
	F(5, WIRE_INT, endpoint_signals, limit_age),
	F(6, WIRE_INT, endpoint_signals, backoff_ms),
	F(7, WIRE_BOOL, endpoint_signals, draining),
};
static const struct wire_type endpoint_signals_type =
	T(endpoint_signals, endpoint_signals_fields);
static const struct wire_field demand_fields[] = {
	F(1, WIRE_UINT, msg_demand, round),
	F(2, WIRE_UINT, msg_demand, routing),
	L(3, msg_demand, models, model_demand_type),
	L(4, msg_demand, calls, endpoint_calls_type),
	L(5, msg_demand, results, endpoint_results_type),
	L(6, msg_demand, signals, endpoint_signals_type),
};
static const struct wire_field routing_bytes_fields[] = {
	F(1, WIRE_STR, routing_bytes, packed),
};
static const struct wire_type routing_bytes_type =
	WIRE_TYPE(struct routing_bytes, routing_bytes_fields);
static const struct wire_field routing_fields[] = {
	F(1, WIRE_UINT, msg_routing, version),
	F(3, WIRE_UINT, msg_routing, base),
	L(5, msg_routing, changes, routing_bytes_type),
};
static const struct wire_field fetch_fields[] = {
	F(1, WIRE_UINT, msg_fetch, have),
	F(2, WIRE_UINT, msg_fetch, want),
	F(3, WIRE_BOOL, msg_fetch, services),
};
static const struct wire_field term_fields[] = {
	F(1, WIRE_UINT, msg_term, fence),
	F(2, WIRE_UINT, msg_term, routing),
};
static const struct wire_field adapter_fields[] = {
	F(1, WIRE_UINT, msg_adapter, sub),
	F(2, WIRE_STR, msg_adapter, model),
	F(3, WIRE_STR, msg_adapter, adapter),
	F(4, WIRE_INT, msg_adapter, wait_ms),
	F(5, WIRE_STR, msg_adapter, endpoint),
};
static const struct wire_field remote_fields[] = {
	F(1, WIRE_UINT, msg_remote, fence),
	L(2, msg_remote, engines, name_type),
};
static const struct wire_field adapter_done_fields[] = {
	F(1, WIRE_UINT, msg_adapter_done, sub),
	F(2, WIRE_INT, msg_adapter_done, code),
	F(3, WIRE_STR, msg_adapter_done, text),
};

static const struct wire_field run_outcome_fields[] = {
	F(1, WIRE_UINT, run_outcome_item, fingerprint_hi),
	F(2, WIRE_UINT, run_outcome_item, fingerprint_lo),
	F(3, WIRE_INT, run_outcome_item, kind),
	F(4, WIRE_UINT, run_outcome_item, incarnation_hash),
	F(5, WIRE_INT, run_outcome_item, age_ms),
	F(6, WIRE_INT, run_outcome_item, began_age_ms),
	F(7, WIRE_INT, run_outcome_item, answered_age_ms),
	F(8, WIRE_UINT, run_outcome_item, count),
};
static const struct wire_type run_outcome_type =
	T(run_outcome_item, run_outcome_fields);
static const struct wire_field suspect_item_fields[] = {
	F(1, WIRE_UINT, suspect_item, fingerprint_hi),
	F(2, WIRE_UINT, suspect_item, fingerprint_lo),
	F(3, WIRE_BOOL, suspect_item, cleared),
	F(4, WIRE_INT, suspect_item, remaining_ms),
	F(5, WIRE_UINT, suspect_item, failed_trials),
};
static const struct wire_type suspect_item_type =
	T(suspect_item, suspect_item_fields);
static const struct wire_field run_outcomes_fields[] = {
	L(1, msg_run_outcomes, outcomes, run_outcome_type),
	L(2, msg_run_outcomes, suspects, suspect_item_type),
};
static const struct wire_field quarantine_fields[] = {
	F(1, WIRE_UINT, msg_quarantine, fence),
	L(2, msg_quarantine, suspects, suspect_item_type),
};
static const struct wire_field trial_fields[] = {
	F(1, WIRE_UINT, msg_trial, sub),
	F(2, WIRE_UINT, msg_trial, fingerprint_hi),
	F(3, WIRE_UINT, msg_trial, fingerprint_lo),
	F(4, WIRE_INT, msg_trial, admission),
	F(5, WIRE_INT, msg_trial, wait_ms),
};

static const struct wire_field quota_class_fields[] = {
	F(1, WIRE_INT, quota_class_item, class_id),
	F(2, WIRE_INT, quota_class_item, demand),
	F(3, WIRE_INT, quota_class_item, served),
	F(4, WIRE_INT, quota_class_item, want),
	F(5, WIRE_INT, quota_class_item, shortfall),
	F(6, WIRE_INT, quota_class_item, grant),
	F(7, WIRE_INT, quota_class_item, retry_after_ms),
};
static const struct wire_type quota_class_type =
	T(quota_class_item, quota_class_fields);
static const struct wire_field quota_request_item_fields[] = {
	F(1, WIRE_STR, quota_request, customer),
	F(2, WIRE_UINT, quota_request, number),
	F(3, WIRE_INT, quota_request, balance),
	F(4, WIRE_INT, quota_request, want),
	F(5, WIRE_INT, quota_request, shortfall),
	F(6, WIRE_INT, quota_request, demand),
	F(7, WIRE_INT, quota_request, disconnected_spent),
	F(8, WIRE_INT, quota_request, disconnected_rate),
	F(9, WIRE_INT, quota_request, returned),
	F(10, WIRE_INT, quota_request, mean_cost),
	F(11, WIRE_INT, quota_request, overdraft),
	F(12, WIRE_INT, quota_request, refused),
	L(13, quota_request, classes, quota_class_type),
};
static const struct wire_type quota_request_type =
	T(quota_request, quota_request_item_fields);
static const struct wire_field quota_reply_item_fields[] = {
	F(1, WIRE_STR, quota_reply, customer),
	F(2, WIRE_UINT, quota_reply, number),
	F(3, WIRE_INT, quota_reply, grant),
	F(4, WIRE_INT, quota_reply, disconnected_rate),
	F(5, WIRE_INT, quota_reply, retry_after_ms),
	F(6, WIRE_INT, quota_reply, overdraft),
	L(7, quota_reply, classes, quota_class_type),
};
static const struct wire_type quota_reply_type =
	T(quota_reply, quota_reply_item_fields);
static const struct wire_field quota_request_fields[] = {
	L(1, msg_quota_request, requests, quota_request_type),
};
static const struct wire_field quota_reply_fields[] = {
	L(1, msg_quota_reply, replies, quota_reply_type),
};

static const struct wire_field stream_group_fields[] = {
	F(1, WIRE_STR, stream_group, service),
	F(2, WIRE_STR, stream_group, version),
	F(3, WIRE_INT, stream_group, ttl_ms),
	F(4, WIRE_STR, stream_group, keys),
};
static const struct wire_type stream_group_type =
	T(stream_group, stream_group_fields);
static const struct wire_field streams_fields[] = {
	L(1, msg_streams, groups, stream_group_type),
};
static const struct wire_field stream_request_fields[] = {
	F(1, WIRE_UINT, msg_stream_request, sub),
	F(2, WIRE_UINT, msg_stream_request, key),
	F(3, WIRE_STR, msg_stream_request, service),
};
static const struct wire_field stream_reply_fields[] = {
	F(1, WIRE_UINT, msg_stream_reply, sub),
	F(2, WIRE_INT, msg_stream_reply, result),
	F(3, WIRE_STR, msg_stream_reply, service),
	F(4, WIRE_STR, msg_stream_reply, version),
};

static const struct wire_type types[MSG_KINDS] = {
	[MSG_HELLO] = T(msg_hello, hello_fields),
	[MSG_PING] = T(msg_ping, ping_fields),
	[MSG_RAFT] = T(msg_raft, raft_fields),
	[MSG_JOIN] = T(msg_join, join_fields),
	[MSG_JOINED] = T(msg_leader, leader_fields),
	[MSG_LEADER] = T(msg_leader, leader_fields),
	[MSG_REGISTER] = T(msg_register, register_fields),
	[MSG_ASSIGN] = T(msg_assign, assign_fields),
	[MSG_REPORT] = T(msg_report, report_fields),
	[MSG_CONFIG] = T(msg_config, config_fields),
	[MSG_ACK] = T(msg_config, config_fields),
	[MSG_WATCH] = T(msg_watch, watch_fields),
	[MSG_ROUTE] = T(msg_route, route_fields),
	[MSG_CLAIM] = T(msg_claim, claim_fields),
	[MSG_CLAIMED] = T(msg_claimed, claimed_fields),
	[MSG_MODELS] = T(msg_models, models_fields),
	[MSG_MODEL_LIST] = T(msg_model_list, model_list_fields),
	[MSG_CALL] = T(msg_call, call_fields),
	[MSG_REPLY] = T(msg_reply, reply_fields),
	[MSG_CANCEL] = T(msg_cancel, cancel_fields),
	[MSG_ATTACH] = T(msg_attach, attach_fields),
	[MSG_ENDPOINT] = T(msg_endpoint, endpoint_fields),
	[MSG_LOAD] = T(msg_load, load_fields),
	[MSG_LOADED] = T(msg_loaded, loaded_fields),
	[MSG_FLEET] = T(msg_fleet, fleet_fields),
	[MSG_DEMAND] = T(msg_demand, demand_fields),
	[MSG_ROUTING] = T(msg_routing, routing_fields),
	[MSG_ADAPTER] = T(msg_adapter, adapter_fields),
	[MSG_ADAPTER_DONE] = T(msg_adapter_done, adapter_done_fields),
	[MSG_TERM] = T(msg_term, term_fields),
	[MSG_FETCH] = T(msg_fetch, fetch_fields),
	[MSG_REMOTE] = T(msg_remote, remote_fields),
	[MSG_RUN_OUTCOMES] = T(msg_run_outcomes, run_outcomes_fields),
	[MSG_QUARANTINE] = T(msg_quarantine, quarantine_fields),
	[MSG_TRIAL] = T(msg_trial, trial_fields),
	[MSG_QUOTA_REQUEST] = T(msg_quota_request, quota_request_fields),
	[MSG_QUOTA_REPLY] = T(msg_quota_reply, quota_reply_fields),
	[MSG_LIMIT_REQUEST] = T(msg_quota_request, quota_request_fields),
	[MSG_LIMIT_REPLY] = T(msg_quota_reply, quota_reply_fields),
	[MSG_STREAMS] = T(msg_streams, streams_fields),
	[MSG_STREAM_REQUEST] = T(msg_stream_request, stream_request_fields),
	[MSG_STREAM_REPLY] = T(msg_stream_reply, stream_reply_fields),
};

const struct wire_type *msg_type(enum msg_kind kind)
{
	if (kind <= 0 || kind >= MSG_KINDS)
		return NULL;
	return &types[kind];
}
