/* Tests of the fleet leader's work and messages at two fleet sizes. The leader
 * is the real one, the entries and engines are simulated; the work is measured
 * by the leader's own counters. */
#include "unit.h"

#include "../src/core/msg.h"
#include "../src/customer/quota.h"

#include "fleet_world.h"

#define SECOND_MS 1000
/* Interval at which the leader sends loads. */
#define LOAD_PUSH_MS 200
/* Maximum of unsent bytes for one entry. */
#define BACKLOG_MAX (64u << 10)
/* Maximum of table rows visited per message: those that the message names, and
 * those of the message before it from the same peer. */
#define VISITS_PER_MESSAGE 8

static const struct size {
	int entries, engines;
} sizes[] = { { 20, 40 }, { 200, 400 } };

static struct fleet_world *world_of(const struct size *s)
{
	struct fleet_world_options o = { .entries = s->entries,
					 .engines = s->engines,
					 .models = 60,
					 .calls_per_s = s->entries,
					 .call_ms = 1000,
					 .seed = 5 };

	return fleet_world_new(&o);
}

/* Guards against a leader whose work grows with entries times endpoints. */
static void message_cost_is_independent_of_fleet_size(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet_world *w = world_of(&sizes[i]);
		uint64_t visits, messages;

		fleet_world_run(w, SECOND_MS);
		fleet_world_work(w, "visits");
		fleet_world_work(w, "reports");
		fleet_world_run(w, SECOND_MS);
		visits = fleet_world_work(w, "visits");
		messages = fleet_world_work(w, "reports");
		assert_true(messages >= (uint64_t)sizes[i].entries * 2);
		if (visits > messages * VISITS_PER_MESSAGE)
			fail_msg("%d entries: %" PRIu64 " rows for %" PRIu64
				 " messages",
				 sizes[i].entries, visits, messages);
		fleet_world_free(w);
	}
}

/* Guards against a leader that visits all endpoints and models for each closed
 * connection: a loss of power closes all connections at once. */
static void disconnect_cost_is_independent_of_fleet_size(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet_world *w = world_of(&sizes[i]);
		uint64_t visits;

		fleet_world_run(w, SECOND_MS);
		fleet_world_work(w, "visits");
		for (int k = 0; k < 10; k++) {
			fleet_world_restart_entry(w, k);
			fleet_world_restart_agent(w, k);
		}
		visits = fleet_world_work(w, "visits");
		if (visits > 20 * VISITS_PER_MESSAGE)
			fail_msg("%d entries: %" PRIu64
				 " rows for 20 disconnects",
				 sizes[i].entries, visits);
		fleet_world_free(w);
	}
}

/* Guards against one message to all entries for each adapter that an engine
 * loads, although the entry that asked for the adapter knows of it. */
static void adapters_are_sent_with_the_loads(void **state)
{
	const int adapters = 50, every_ms = 20;
	struct fleet_world *w = world_of(&sizes[1]);
	uint64_t sends;

	(void)state;
	fleet_world_run(w, 2 * SECOND_MS);
	fleet_world_work(w, "sends");
	fleet_world_work(w, "endpoints");
	for (int i = 0; i < adapters; i++) {
		fleet_world_add_adapter(w, i);
		fleet_world_run(w, every_ms);
	}
	fleet_world_run(w, LOAD_PUSH_MS);
	/* All adapters are sent, and no more often than loads. */
	assert_true(fleet_world_work(w, "endpoints") >= (uint64_t)adapters);
	sends = fleet_world_work(w, "sends");
	assert_true(sends <= (uint64_t)sizes[1].entries *
				     (2 + adapters * every_ms / LOAD_PUSH_MS));
	fleet_world_free(w);
}

/* Guards against changes that pile up for entries that read nothing, and
 * against an entry that missed changes and keeps its outdated state. */
static void entry_that_reads_nothing_gets_snapshot_later(void **state)
{
	struct fleet_world *w = world_of(&sizes[1]);
	size_t before, after;
	int snapshots;

	(void)state;
	fleet_world_run(w, SECOND_MS);
	snapshots = fleet_world_snapshots(w, 0);
	fleet_world_stop_entry(w, 0);
	for (int i = 0; i < 40 * SECOND_MS / LOAD_PUSH_MS; i++) {
		fleet_world_add_adapter(w, i);
		fleet_world_run(w, LOAD_PUSH_MS);
	}
	before = fleet_world_backlog(w, 0);
	assert_in_range(before, BACKLOG_MAX / 2, 2 * BACKLOG_MAX);
	fleet_world_run(w, 2 * SECOND_MS);
	after = fleet_world_backlog(w, 0);
	assert_int_equal(before, after);
	fleet_world_continue_entry(w, 0);
	fleet_world_run(w, SECOND_MS);
	assert_int_equal(fleet_world_snapshots(w, 0), snapshots + 1);
	fleet_world_free(w);
}

/* Guards against a reconnected entry that gets no snapshot, and a reconnected
 * agent that gets no orders. */
static void reconnected_peers_get_the_whole_state(void **state)
{
	struct fleet_world *w = world_of(&sizes[0]);
	int waiting;

	(void)state;
	fleet_world_run(w, SECOND_MS);
	assert_int_equal(fleet_world_informed(w), sizes[0].entries);
	for (int k = 0; k < sizes[0].entries; k++)
		fleet_world_restart_entry(w, k);
	for (int k = 0; k < sizes[0].engines; k++)
		fleet_world_restart_agent(w, k);
	assert_int_equal(fleet_world_informed(w), 0);
	fleet_world_run(w, SECOND_MS);
	assert_int_equal(fleet_world_informed(w), sizes[0].entries);
	/* Requested models are loaded over the new connections. */
	for (int m = 0; m < 60; m++)
		fleet_world_call(w, m % sizes[0].entries, m);
	waiting = fleet_world_waiting(w);
	fleet_world_run(w, 3 * SECOND_MS);
	assert_true(fleet_world_waiting(w) <= waiting / 2);
	fleet_world_free(w);
}

/* Guards against an endpoint's limit that only the entry with the answer knows,
 * while the other entries, or one that has just started, go on sending. */
static void limit_is_sent_to_all_entries(void **state)
{
	const int engine = 3;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet_world *w = world_of(&sizes[i]);
		int granted = 0;

		fleet_world_run(w, 2 * SECOND_MS);
		fleet_world_work(w, "endpoints");
		fleet_world_report_limit(w, 0, engine, 2);
		fleet_world_run(w, LOAD_PUSH_MS);
		assert_int_equal(fleet_world_count_informed(w, engine),
				 sizes[i].entries);
		fleet_world_restart_entry(w, 1);
		fleet_world_run(w, SECOND_MS);
		assert_int_equal(fleet_world_count_informed(w, engine),
				 sizes[i].entries);
		for (int k = 0; k < sizes[i].entries; k++)
			granted += fleet_world_request_grant(w, k, engine);
		/* All grants come from one bucket, within its overage. */
		assert_in_range(granted, 1, 5 * QUOTA_MILLI);
		/* Of an endpoint that states no limit, nothing is granted. */
		assert_int_equal(fleet_world_request_grant(w, 0, engine + 1),
				 0);
		fleet_world_free(w);
	}
}

/* Guards against an endpoint's draining signal that only the entry with the
 * answer knows. */
static void draining_is_sent_to_all_entries(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet_world *w = world_of(&sizes[i]);

		fleet_world_run(w, 2 * SECOND_MS);
		fleet_world_report_draining(w, 0, 5);
		fleet_world_run(w, LOAD_PUSH_MS);
		assert_int_equal(fleet_world_count_informed(w, 5),
				 sizes[i].entries);
		fleet_world_free(w);
	}
}

/* Guards against a control VM that polls an engine four times a second during a
 * backoff that the engine asked the entry on the same VM for. */
static void engine_in_backoff_is_polled_by_no_control_vm(void **state)
{
	const int engine = 5, backoff_ms = 3 * SECOND_MS;
	struct fleet_world_options o = { .entries = 10,
					 .engines = engine + 1,
					 .models = 10,
					 .calls_per_s = 10,
					 .call_ms = 1000,
					 .agents_missing = 1,
					 .seed = 5 };
	struct fleet_world *w = fleet_world_new(&o);

	(void)state;
	fleet_world_run(w, 6 * SECOND_MS);
	assert_true(fleet_world_is_remote(w, engine));
	fleet_world_report_backoff(w, 3, engine, backoff_ms);
	fleet_world_run(w, SECOND_MS / 4);
	for (int at = SECOND_MS / 4; at < backoff_ms; at += 50) {
		assert_false(fleet_world_is_remote(w, engine));
		fleet_world_run(w, 50);
	}
	fleet_world_run(w, SECOND_MS);
	assert_true(fleet_world_is_remote(w, engine));
	fleet_world_free(w);
}

/* Guards against a limit that an endpoint has stated to its agent alone, which
 * no entry knows before its own first answer. */
static void limit_stated_to_an_agent_reaches_all_entries(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet_world *w = world_of(&sizes[i]);

		fleet_world_run(w, 2 * SECOND_MS);
		fleet_world_state_limit_to_agent(w, 3, 2);
		fleet_world_run(w, LOAD_PUSH_MS + 100);
		assert_int_equal(fleet_world_count_informed(w, 3),
				 sizes[i].entries);
		fleet_world_free(w);
	}
}

/* Guards against a restarted endpoint that is held to the limit of its earlier
 * incarnation. */
static void limit_ends_with_its_incarnation(void **state)
{
	struct fleet_world *w = world_of(&sizes[0]);

	(void)state;
	fleet_world_run(w, SECOND_MS);
	fleet_world_report_limit(w, 0, 3, 2);
	fleet_world_run(w, SECOND_MS);
	assert_in_range(fleet_world_request_grant(w, 1, 3), 1, 5 * QUOTA_MILLI);
	fleet_world_restart_engine(w, 3);
	fleet_world_run(w, 2 * SECOND_MS);
	assert_int_equal(fleet_world_request_grant(w, 2, 3), 0);
	fleet_world_free(w);
}

/* Guards against models being loaded into an engine whose limit is too low to
 * serve them. */
static void engine_with_low_limit_gets_no_models(void **state)
{
	const struct size one = { 20, 6 };
	struct fleet_world *w = world_of(&one);
	int before, others = 0;

	(void)state;
	fleet_world_run(w, SECOND_MS);
	fleet_world_report_limit(w, 0, 3, 0.5);
	fleet_world_run(w, SECOND_MS);
	before = fleet_world_orders(w, 3);
	for (int k = 0; k < 10; k++) {
		/* The engine repeats its limit in each answer. */
		fleet_world_report_limit(w, k, 3, 0.5);
		for (int m = 0; m < 60; m++)
			fleet_world_call(w, k, m);
		fleet_world_run(w, SECOND_MS);
	}
	assert_int_equal(fleet_world_orders(w, 3), before);
	for (int i = 0; i < one.engines; i++)
		others += i != 3 && fleet_world_orders(w, i) > 0;
	assert_true(others > 0);
	fleet_world_free(w);
}

/* Guards against a stream's version being lost with the entry that began the
 * stream or with the leader, so that the stream can't be resumed anywhere. */
static void stream_versions_outlive_their_entry_and_the_leader(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet_world *w = world_of(&sizes[i]);
		const char *version;

		(void)state;
		fleet_world_set_version(w, sizes[i].engines / 2, "v2");
		fleet_world_run(w, 2 * SECOND_MS);
		fleet_world_streams(w, 0, 100, 50, "v1");
		fleet_world_streams(w, 1, 200, 50, "v2");
		assert_int_equal(fleet_world_request_stream(w, 2, 130,
							    &version),
				 STREAM_KNOWN);
		assert_string_equal(version, "v1");
		/* Time for the replication to followers. */
		fleet_world_run(w, 100);
		fleet_world_restart_entry(w, 0);
		fleet_world_lose_leader(w);
		assert_int_equal(fleet_world_request_stream(w, 2, 130,
							    &version),
				 STREAM_KNOWN);
		assert_string_equal(version, "v1");
		assert_int_equal(fleet_world_request_stream(w, 2, 230,
							    &version),
				 STREAM_KNOWN);
		assert_string_equal(version, "v2");
		fleet_world_free(w);
	}
}

/* Guards against a leader that guesses a stream's version: a new one without
 * reports, or one that sees endpoints of two versions. */
static void leader_guesses_no_version(void **state)
{
	struct fleet_world *w = world_of(&sizes[0]);
	const char *version;

	(void)state;
	assert_int_equal(fleet_world_request_stream(w, 0, 7, &version),
			 STREAM_PENDING);
	fleet_world_run(w, 2 * SECOND_MS);
	assert_int_equal(fleet_world_request_stream(w, 0, 7, &version),
			 STREAM_SOLE_VERSION);
	assert_string_equal(version, "v1");
	fleet_world_set_version(w, 20, "v2");
	fleet_world_run(w, 2 * SECOND_MS);
	assert_int_equal(fleet_world_request_stream(w, 0, 7, &version),
			 STREAM_UNKNOWN);
	/* The last endpoint of v1 is gone, but its streams may be resumed. */
	fleet_world_set_version(w, 0, "v2");
	fleet_world_run(w, 2 * SECOND_MS);
	assert_int_equal(fleet_world_request_stream(w, 0, 7, &version),
			 STREAM_UNKNOWN);
	fleet_world_lose_leader(w);
	fleet_world_run(w, 2 * SECOND_MS);
	assert_int_equal(fleet_world_request_stream(w, 0, 7, &version),
			 STREAM_UNKNOWN);
	fleet_world_run(w, 60 * SECOND_MS);
	assert_int_equal(fleet_world_request_stream(w, 0, 7, &version),
			 STREAM_SOLE_VERSION);
	assert_string_equal(version, "v2");
	fleet_world_free(w);
}

/* Guards against a stream that is resumed at the only version that is listed,
 * or at none, after all entries and control VMs were killed. */
static void stream_versions_outlive_all_processes(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet_world *w = world_of(&sizes[i]);
		const char *version;

		(void)state;
		fleet_world_run(w, 2 * SECOND_MS);
		fleet_world_streams(w, 0, 100, 50, "v1");
		fleet_world_set_version(w, sizes[i].engines / 2, "v2");
		fleet_world_run(w, 2 * SECOND_MS);
		fleet_world_streams(w, 1, 256, 50, "v2");
		fleet_world_run(w, SECOND_MS);
		fleet_world_lose_all(w);
		assert_int_equal(fleet_world_request_stream(w, 2, 130,
							    &version),
				 STREAM_KNOWN);
		assert_string_equal(version, "v1");
		assert_int_equal(fleet_world_request_stream(w, 2, 300,
							    &version),
				 STREAM_KNOWN);
		assert_string_equal(version, "v2");
		/* The last endpoint of v1 leaves, and all are lost again. */
		fleet_world_set_version(w, 0, "v2");
		fleet_world_run(w, 2 * SECOND_MS);
		fleet_world_lose_all(w);
		fleet_world_run(w, 2 * SECOND_MS);
		assert_int_equal(fleet_world_request_stream(w, 2, 7, &version),
				 STREAM_UNKNOWN);
		fleet_world_run(w, 60 * SECOND_MS);
		assert_int_equal(fleet_world_request_stream(w, 2, 7, &version),
				 STREAM_SOLE_VERSION);
		assert_string_equal(version, "v2");
		fleet_world_free(w);
	}
}

/* Guards against callers who wait for a model at their stream's version while
 * the model is loaded into engines of another version. */
static void model_is_loaded_into_the_version_waited_for(void **state)
{
	const struct size few = { 4, 8 };
	struct fleet_world *w = world_of(&few);

	(void)state;
	fleet_world_set_version(w, 6, "v2");
	fleet_world_run(w, 4 * SECOND_MS);
	for (int m = 40; m < 44; m++) {
		for (int k = 0; k < 20 && !fleet_world_holds_at(w, m, "v2");
		     k++) {
			fleet_world_wait_at(w, 1, m, "v2");
			fleet_world_run(w, SECOND_MS / 4);
		}
		if (!fleet_world_holds_at(w, m, "v2"))
			fail_msg("model %d isn't loaded at v2", m);
	}
	fleet_world_free(w);
}

/* Reports one slow answer from each entry within a second. */
static void report_slow(struct fleet_world *w, int engine, double ratio)
{
	for (int k = 0; k < sizes[0].entries; k++) {
		fleet_world_report_slowness(w, k, engine, ratio);
		fleet_world_run(w, SECOND_MS / sizes[0].entries);
	}
	fleet_world_run(w, LOAD_PUSH_MS);
}

/* Returns true if one more slow answer doesn't make the leader send a ratio. */
static bool is_forgotten(struct fleet_world *w, int engine)
{
	fleet_world_sent_slowness(w, engine);
	fleet_world_run(w, SECOND_MS);
	fleet_world_report_slowness(w, 0, engine, 6);
	fleet_world_run(w, LOAD_PUSH_MS);
	return !fleet_world_sent_slowness(w, engine);
}

/* Guards against a slow engine that each entry detects only by a late call of
 * its own, and against a ratio that outlives the engine's incarnation or that a
 * new leader sends without reports. */
static void slowness_is_combined_and_sent_to_all_entries(void **state)
{
	struct fleet_world *w = world_of(&sizes[0]);

	(void)state;
	fleet_world_run(w, SECOND_MS);
	report_slow(w, 1, 1.2);
	assert_int_equal(fleet_world_sent_slowness(w, 1), 0);
	report_slow(w, 3, 6);
	assert_in_range(fleet_world_sent_slowness(w, 3), 4000, 6000);
	/* Without reports, the leader stops sending the ratio. */
	fleet_world_run(w, 20 * SECOND_MS);
	fleet_world_sent_slowness(w, 3);
	fleet_world_run(w, 2 * SECOND_MS);
	assert_int_equal(fleet_world_sent_slowness(w, 3), 0);
	report_slow(w, 3, 6);
	fleet_world_lose_leader(w);
	fleet_world_run(w, SECOND_MS);
	assert_true(is_forgotten(w, 3));
	report_slow(w, 3, 6);
	assert_in_range(fleet_world_sent_slowness(w, 3), 4000, 6000);
	fleet_world_restart_engine(w, 3);
	fleet_world_run(w, SECOND_MS);
	assert_true(is_forgotten(w, 3));
	fleet_world_free(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			stream_versions_outlive_their_entry_and_the_leader),
		cmocka_unit_test(leader_guesses_no_version),
		cmocka_unit_test(stream_versions_outlive_all_processes),
		cmocka_unit_test(model_is_loaded_into_the_version_waited_for),
		cmocka_unit_test(limit_is_sent_to_all_entries),
		cmocka_unit_test(slowness_is_combined_and_sent_to_all_entries),
		cmocka_unit_test(draining_is_sent_to_all_entries),
		cmocka_unit_test(engine_in_backoff_is_polled_by_no_control_vm),
		cmocka_unit_test(engine_with_low_limit_gets_no_models),
		cmocka_unit_test(limit_stated_to_an_agent_reaches_all_entries),
		cmocka_unit_test(limit_ends_with_its_incarnation),
		cmocka_unit_test(message_cost_is_independent_of_fleet_size),
		cmocka_unit_test(disconnect_cost_is_independent_of_fleet_size),
		cmocka_unit_test(adapters_are_sent_with_the_loads),
		cmocka_unit_test(entry_that_reads_nothing_gets_snapshot_later),
		cmocka_unit_test(reconnected_peers_get_the_whole_state),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
