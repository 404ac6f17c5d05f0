/* Tests what a gate answers while its routing may be stale. */
#include "gate_fix.h"

#include "../platform/platform.h"
#include "../src/core/freshness.h"

#define NEW_ROUTE REQ("GET", "/new/x") "\r\n"

/* Opens a gate with two endpoints that answer. */
static void open_answering(struct fix *f)
{
	fix_open(f, "web", "");
	script_answer(f, 0, OK_TEXT, false, false);
	script_answer(f, 1, OK_TEXT, false, false);
}

static void set_newer_routing(struct fix *f)
{
	struct routing *r = routing_read(
		users_platform.routing,
		SS_LIT("{\"version\":9,\"routes\":["
		       "{\"name\":\"safe\",\"host\":\"h\",\"prefix\":\"/safe/"
		       "\","
		       "\"type\":\"safe\",\"timeoutMs\":4000,\"service\":"
		       "\"web\"},"
		       "{\"name\":\"new\",\"host\":\"h\",\"prefix\":\"/new/\","
		       "\"type\":\"safe\",\"timeoutMs\":4000,\"service\":"
		       "\"web\"}"
		       "],\"services\":[{\"name\":\"web\"}]}"),
		NULL);

	gate_set_routing(f->gate, r);
	routing_unref(r);
}

/* Advances the clock in steps too short to count as a stall of the process. */
static void advance_clock(struct fix *f, int64_t ms)
{
	for (; ms > 0; ms -= 100) {
		f->clock.fake_ms += MIN(ms, 100);
		run_loop_once(f);
	}
}

/* Failure: an entry that knows of a newer routing version, but hasn't received
 * it, answers 404 for a route which that version adds and which was already
 * confirmed to the operator. */
static void new_route_waits_for_its_version(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_answering(&f);
	gate_routing_version_received(f.gate, 9);
	c = call(&f, NEW_ROUTE);
	advance_clock(&f, 300);
	assert_int_equal(c->got->len, 0);
	set_newer_routing(&f);
	UNTIL(&f, received_ends_with(c, "hello"));
	/* With the current version a missing route is certain. */
	c = call(&f, REQ("GET", "/none/x") "\r\n");
	UNTIL(&f, has_received(c, "HTTP/1.1 404 "));
	fix_close(&f);
}

/* Failure: an entry that never receives a newer version keeps serving by the
 * old one. */
static void entry_that_stays_stale_refuses(void **state)
{
	struct caller *old, *new, *late;
	struct fix f;

	(void)state;
	open_answering(&f);
	gate_routing_version_received(f.gate, 9);
	old = call(&f, GET_SAFE);
	UNTIL(&f, received_ends_with(old, "hello"));
	new = call(&f, NEW_ROUTE);
	advance_clock(&f, FRESHNESS_APPLY_MS + FRESHNESS_HOLD_MS + 100);
	UNTIL(&f, has_received(new, "HTTP/1.1 503 "));
	assert_true(has_received(new, "Retry-After: 0.2"));
	assert_true(has_received(new, "not_run"));
	assert_true(gate_is_stale(f.gate));
	late = call(&f, GET_SAFE);
	UNTIL(&f, has_received(late, "HTTP/1.1 503 "));
	set_newer_routing(&f);
	assert_false(gate_is_stale(f.gate));
	late = call(&f, NEW_ROUTE);
	UNTIL(&f, received_ends_with(late, "hello"));
	fix_close(&f);
}

/* Failure: an entry without a leader answers 404, though a route may have been
 * added since. */
static void entry_without_leader_serves_known_routes(void **state)
{
	struct caller *old, *unknown;
	struct fix f;

	(void)state;
	open_answering(&f);
	gate_routing_version_received(f.gate, 1);
	gate_leader_lost(f.gate);
	advance_clock(&f, FRESHNESS_LEADER_LOST_MS);
	unknown = call(&f, NEW_ROUTE);
	old = call(&f, GET_SAFE);
	UNTIL(&f, received_ends_with(old, "hello"));
	assert_int_equal(unknown->got->len, 0);
	advance_clock(&f, FRESHNESS_HOLD_MS);
	UNTIL(&f, has_received(unknown, "HTTP/1.1 503 "));
	unknown = call(&f, NEW_ROUTE);
	UNTIL(&f, has_received(unknown, "HTTP/1.1 503 "));
	/* A new leader confirms that the version is unchanged. */
	gate_routing_version_received(f.gate, 1);
	unknown = call(&f, NEW_ROUTE);
	UNTIL(&f, has_received(unknown, "HTTP/1.1 404 "));
	fix_close(&f);
}

/* Failure: an entry that was stalled answers before it has read the messages
 * that came meanwhile. */
static void entry_reads_messages_first_after_stall(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_answering(&f);
	gate_routing_version_received(f.gate, 1);
	run_loop_once(&f);
	f.clock.fake_ms += 3000;
	c = call(&f, NEW_ROUTE);
	for (int i = 0; i < 20; i++)
		run_loop_once(&f);
	assert_int_equal(c->got->len, 0);
	gate_routing_version_received(f.gate, 9);
	set_newer_routing(&f);
	advance_clock(&f, FRESHNESS_CATCH_UP_MS);
	UNTIL(&f, received_ends_with(c, "hello"));
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(new_route_waits_for_its_version),
		cmocka_unit_test(entry_that_stays_stale_refuses),
		cmocka_unit_test(entry_without_leader_serves_known_routes),
		cmocka_unit_test(entry_reads_messages_first_after_stall),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
