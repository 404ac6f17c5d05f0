/* What a fleet's leader does at a size, by its own counters: the real one
 * between played entries and engines. */
#include "unit.h"

#include "../src/core/msg.h"
#include "../src/customer/quota.h"

#include "fleet_world.h"

#define SECOND_MS 1000
/* Loads are told this often. */
#define LOADS_MS 200
/* What may wait for one entry, in bytes. */
#define BACKLOG_MOST (64u << 10)
/* Rows that one message may cost: those it names, and those of the one before
 * it from the same peer. */
#define VISITS_A_MESSAGE 8

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

/* A leader whose work grows with entries times endpoints. */
static void a_message_costs_what_it_is_about(void **state)
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
		if (visits > messages * VISITS_A_MESSAGE)
			fail_msg("%d entries: %" PRIu64 " rows for %" PRIu64
				 " messages",
				 sizes[i].entries, visits, messages);
		fleet_world_free(w);
	}
}

/* A loss of power ends all connections at once, and each end walked through
 * all endpoints and models. */
static void an_end_costs_what_it_had(void **state)
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
		if (visits > 20 * VISITS_A_MESSAGE)
			fail_msg("%d entries: %" PRIu64 " rows for 20 ends",
				 sizes[i].entries, visits);
		fleet_world_free(w);
	}
}

/* Each adapter that some engine loads is told to all entries by itself, though
 * the one that asked knows it. */
static void adapters_go_out_with_the_loads(void **state)
{
	const int news = 50, every_ms = 20;
	struct fleet_world *w = world_of(&sizes[1]);
	uint64_t sends;

	(void)state;
	fleet_world_run(w, 2 * SECOND_MS);
	fleet_world_work(w, "sends");
	fleet_world_work(w, "endpoints");
	for (int i = 0; i < news; i++) {
		fleet_world_adapter(w, i);
		fleet_world_run(w, every_ms);
	}
	fleet_world_run(w, LOADS_MS);
	/* All are told, and no more often than loads are. */
	assert_true(fleet_world_work(w, "endpoints") >= (uint64_t)news);
	sends = fleet_world_work(w, "sends");
	assert_true(sends <= (uint64_t)sizes[1].entries *
				     (2 + news * every_ms / LOADS_MS));
	fleet_world_free(w);
}

/* Changes pile up for an entry that reads nothing, for hundreds of them; and
 * one that missed some goes on by what it knew. */
static void who_reads_nothing_is_told_all_later(void **state)
{
	struct fleet_world *w = world_of(&sizes[1]);
	size_t before, after;
	int wholes;

	(void)state;
	fleet_world_run(w, SECOND_MS);
	wholes = fleet_world_wholes(w, 0);
	fleet_world_stop_entry(w, 0);
	for (int i = 0; i < 40 * SECOND_MS / LOADS_MS; i++) {
		fleet_world_adapter(w, i);
		fleet_world_run(w, LOADS_MS);
	}
	before = fleet_world_backlog(w, 0);
	assert_in_range(before, BACKLOG_MOST / 2, 2 * BACKLOG_MOST);
	fleet_world_run(w, 2 * SECOND_MS);
	after = fleet_world_backlog(w, 0);
	assert_int_equal(before, after);
	fleet_world_continue_entry(w, 0);
	fleet_world_run(w, SECOND_MS);
	assert_int_equal(fleet_world_wholes(w, 0), wholes + 1);
	fleet_world_free(w);
}

/* A peer that comes back is left without what it needs. */
static void who_comes_back_is_told_all(void **state)
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
	/* Models that are called for are loaded, by the new connections. */
	for (int m = 0; m < 60; m++)
		fleet_world_call(w, m % sizes[0].entries, m);
	waiting = fleet_world_waiting(w);
	fleet_world_run(w, 3 * SECOND_MS);
	assert_true(fleet_world_waiting(w) <= waiting / 2);
	fleet_world_free(w);
}

/* What an endpoint tells one entry's callers stays with that entry, and the
 * others send on; one that starts anew knows nothing either. */
static void limit_is_told_to_all(void **state)
{
	const int engine = 3;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet_world *w = world_of(&sizes[i]);
		int granted = 0;

		fleet_world_run(w, 2 * SECOND_MS);
		fleet_world_work(w, "endpoints");
		fleet_world_limit(w, 0, engine, 2);
		fleet_world_run(w, LOADS_MS);
		assert_int_equal(fleet_world_told(w, engine), sizes[i].entries);
		fleet_world_restart_entry(w, 1);
		fleet_world_run(w, SECOND_MS);
		assert_int_equal(fleet_world_told(w, engine), sizes[i].entries);
		for (int k = 0; k < sizes[i].entries; k++)
			granted += fleet_world_permits(w, k, engine);
		/* Of one bucket: what its slack lets entries hold. */
		assert_in_range(granted, 1, 5 * QUOTA_MILLI);
		/* Of an endpoint that names none there is nothing to grant. */
		assert_int_equal(fleet_world_permits(w, 0, engine + 1), 0);
		fleet_world_free(w);
	}
}

/* Only the entry that an endpoint has answered so knows that it leaves. */
static void leaving_is_told_to_all(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet_world *w = world_of(&sizes[i]);

		fleet_world_run(w, 2 * SECOND_MS);
		fleet_world_leave(w, 0, 5);
		fleet_world_run(w, LOADS_MS);
		assert_int_equal(fleet_world_told(w, 5), sizes[i].entries);
		fleet_world_free(w);
	}
}

/* A control VM reads an engine that has asked the entry on the same VM for
 * rest, four times a second. */
static void resting_engine_is_read_by_no_control_vm(void **state)
{
	const int engine = 5, rest_ms = 3 * SECOND_MS;
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
	fleet_world_rest(w, 3, engine, rest_ms);
	fleet_world_run(w, SECOND_MS / 4);
	for (int at = SECOND_MS / 4; at < rest_ms; at += 50) {
		assert_false(fleet_world_is_remote(w, engine));
		fleet_world_run(w, 50);
	}
	fleet_world_run(w, SECOND_MS);
	assert_true(fleet_world_is_remote(w, engine));
	fleet_world_free(w);
}

/* An endpoint that starts anew is kept to the limit of the one before it. */
static void limit_ends_with_its_incarnation(void **state)
{
	struct fleet_world *w = world_of(&sizes[0]);

	(void)state;
	fleet_world_run(w, SECOND_MS);
	fleet_world_limit(w, 0, 3, 2);
	fleet_world_run(w, SECOND_MS);
	assert_in_range(fleet_world_permits(w, 1, 3), 1, 5 * QUOTA_MILLI);
	fleet_world_restart_engine(w, 3);
	fleet_world_run(w, 2 * SECOND_MS);
	assert_int_equal(fleet_world_permits(w, 2, 3), 0);
	fleet_world_free(w);
}

/* An engine in need is filled with models that it can't serve. */
static void limited_engine_is_loaded_with_nothing(void **state)
{
	const struct size one = { 20, 6 };
	struct fleet_world *w = world_of(&one);
	int before, free = 0;

	(void)state;
	fleet_world_run(w, SECOND_MS);
	fleet_world_limit(w, 0, 3, 0.5);
	fleet_world_run(w, SECOND_MS);
	before = fleet_world_orders(w, 3);
	for (int k = 0; k < 10; k++) {
		/* Its word is repeated while callers come. */
		fleet_world_limit(w, k, 3, 0.5);
		for (int m = 0; m < 60; m++)
			fleet_world_call(w, k, m);
		fleet_world_run(w, SECOND_MS);
	}
	assert_int_equal(fleet_world_orders(w, 3), before);
	for (int i = 0; i < one.engines; i++)
		free += i != 3 && fleet_world_orders(w, i) > 0;
	assert_true(free > 0);
	fleet_world_free(w);
}

/* Symptom: who knows a stream's version is lost with the entry that began it,
 * or with the leader, and it can go on nowhere. */
static void begun_streams_outlive_their_entry_and_the_leader(void **state)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet_world *w = world_of(&sizes[i]);
		const char *version;

		(void)state;
		fleet_world_version(w, sizes[i].engines / 2, "v2");
		fleet_world_run(w, 2 * SECOND_MS);
		fleet_world_streams(w, 0, 100, 50, "v1");
		fleet_world_streams(w, 1, 200, 50, "v2");
		assert_int_equal(fleet_world_ask_stream(w, 2, 130, &version),
				 STREAM_KNOWN);
		assert_string_equal(version, "v1");
		/* Followers have it a moment later. */
		fleet_world_run(w, 100);
		fleet_world_restart_entry(w, 0);
		fleet_world_lose_leader(w);
		assert_int_equal(fleet_world_ask_stream(w, 2, 130, &version),
				 STREAM_KNOWN);
		assert_string_equal(version, "v1");
		assert_int_equal(fleet_world_ask_stream(w, 2, 230, &version),
				 STREAM_KNOWN);
		assert_string_equal(version, "v2");
		fleet_world_free(w);
	}
}

/* Symptom: a leader that has just begun, or sees two versions, answers as if it
 * knew. */
static void leader_guesses_no_version(void **state)
{
	struct fleet_world *w = world_of(&sizes[0]);
	const char *version;

	(void)state;
	assert_int_equal(fleet_world_ask_stream(w, 0, 7, &version),
			 STREAM_PENDING);
	fleet_world_run(w, 2 * SECOND_MS);
	assert_int_equal(fleet_world_ask_stream(w, 0, 7, &version),
			 STREAM_SOLE_VERSION);
	assert_string_equal(version, "v1");
	fleet_world_version(w, 20, "v2");
	fleet_world_run(w, 2 * SECOND_MS);
	assert_int_equal(fleet_world_ask_stream(w, 0, 7, &version),
			 STREAM_UNKNOWN);
	/* The last of them has gone, its streams may yet come. */
	fleet_world_version(w, 0, "v2");
	fleet_world_run(w, 2 * SECOND_MS);
	assert_int_equal(fleet_world_ask_stream(w, 0, 7, &version),
			 STREAM_UNKNOWN);
	fleet_world_lose_leader(w);
	fleet_world_run(w, 2 * SECOND_MS);
	assert_int_equal(fleet_world_ask_stream(w, 0, 7, &version),
			 STREAM_UNKNOWN);
	fleet_world_run(w, 60 * SECOND_MS);
	assert_int_equal(fleet_world_ask_stream(w, 0, 7, &version),
			 STREAM_SOLE_VERSION);
	assert_string_equal(version, "v2");
	fleet_world_free(w);
}

/* Symptom: callers wait in vain for engines of their stream's version, and
 * another version is given the model. */
static void model_comes_to_the_version_that_is_waited_for(void **state)
{
	const struct size few = { 4, 8 };
	struct fleet_world *w = world_of(&few);

	(void)state;
	fleet_world_version(w, 6, "v2");
	fleet_world_run(w, 4 * SECOND_MS);
	for (int m = 40; m < 44; m++) {
		for (int k = 0; k < 20 && !fleet_world_holds_at(w, m, "v2");
		     k++) {
			fleet_world_wait_at(w, 1, m, "v2");
			fleet_world_run(w, SECOND_MS / 4);
		}
		if (!fleet_world_holds_at(w, m, "v2"))
			fail_msg("model %d isn't loaded there", m);
	}
	fleet_world_free(w);
}

/* One answer from each entry, in a second. */
static void report_slow(struct fleet_world *w, int engine, double ratio)
{
	for (int k = 0; k < sizes[0].entries; k++) {
		fleet_world_slow(w, k, engine, ratio);
		fleet_world_run(w, SECOND_MS / sizes[0].entries);
	}
	fleet_world_run(w, LOADS_MS);
}

/* One more answer is not enough for the leader to tell of it. */
static bool is_forgotten(struct fleet_world *w, int engine)
{
	fleet_world_told_slow(w, engine);
	fleet_world_run(w, SECOND_MS);
	fleet_world_slow(w, 0, engine, 6);
	fleet_world_run(w, LOADS_MS);
	return !fleet_world_told_slow(w, engine);
}

/* Guards against a slow engine that each entry finds out by itself, with a call
 * that is late; and against a ratio that outlives the engine's incarnation or
 * that a new leader makes up. */
static void slowness_of_all_entries_is_told_to_all(void **state)
{
	struct fleet_world *w = world_of(&sizes[0]);

	(void)state;
	fleet_world_run(w, SECOND_MS);
	report_slow(w, 1, 1.2);
	assert_int_equal(fleet_world_told_slow(w, 1), 0);
	report_slow(w, 3, 6);
	assert_in_range(fleet_world_told_slow(w, 3), 4000, 6000);
	/* Without reports it isn't told for ever. */
	fleet_world_run(w, 20 * SECOND_MS);
	fleet_world_told_slow(w, 3);
	fleet_world_run(w, 2 * SECOND_MS);
	assert_int_equal(fleet_world_told_slow(w, 3), 0);
	report_slow(w, 3, 6);
	fleet_world_lose_leader(w);
	fleet_world_run(w, SECOND_MS);
	assert_true(is_forgotten(w, 3));
	report_slow(w, 3, 6);
	assert_in_range(fleet_world_told_slow(w, 3), 4000, 6000);
	fleet_world_restart_engine(w, 3);
	fleet_world_run(w, SECOND_MS);
	assert_true(is_forgotten(w, 3));
	fleet_world_free(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			begun_streams_outlive_their_entry_and_the_leader),
		cmocka_unit_test(leader_guesses_no_version),
		cmocka_unit_test(model_comes_to_the_version_that_is_waited_for),
		cmocka_unit_test(limit_is_told_to_all),
		cmocka_unit_test(slowness_of_all_entries_is_told_to_all),
		cmocka_unit_test(leaving_is_told_to_all),
		cmocka_unit_test(resting_engine_is_read_by_no_control_vm),
		cmocka_unit_test(limited_engine_is_loaded_with_nothing),
		cmocka_unit_test(limit_ends_with_its_incarnation),
		cmocka_unit_test(a_message_costs_what_it_is_about),
		cmocka_unit_test(an_end_costs_what_it_had),
		cmocka_unit_test(adapters_go_out_with_the_loads),
		cmocka_unit_test(who_reads_nothing_is_told_all_later),
		cmocka_unit_test(who_comes_back_is_told_all),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
