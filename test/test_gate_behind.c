/* What a gate answers that may be behind. */
#include "gate_fix.h"

#include "../platform/platform.h"
#include "../src/core/freshness.h"

#define NEW_ROUTE REQ("GET", "/new/x") "\r\n"

/* A gate whose endpoints both answer. */
static void open_served(struct fix *f)
{
	fix_open(f, "web", "");
	script(f, 0, OK_TEXT, false, false);
	script(f, 1, OK_TEXT, false, false);
}

static void tell_newer(struct fix *f)
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

/* Time passes in steps that are no stand-still. */
static void pass(struct fix *f, int64_t ms)
{
	for (; ms > 0; ms -= 100) {
		f->clock.fake_ms += MIN(ms, 100);
		turn(f);
	}
}

/* 404 for a route that was confirmed, by an entry that was told of it. */
static void new_route_waits_for_its_version(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_served(&f);
	gate_routing_told(f.gate, 9);
	c = call(&f, NEW_ROUTE);
	pass(&f, 300);
	assert_int_equal(c->got->len, 0);
	tell_newer(&f);
	UNTIL(&f, ends(c, "hello"));
	/* Now it is known what isn't there. */
	c = call(&f, REQ("GET", "/none/x") "\r\n");
	UNTIL(&f, got(c, "HTTP/1.1 404 "));
	fix_close(&f);
}

/* An entry that goes on by an old version for ever. */
static void entry_that_stays_behind_refuses(void **state)
{
	struct caller *old, *new, *late;
	struct fix f;

	(void)state;
	open_served(&f);
	gate_routing_told(f.gate, 9);
	old = call(&f, GET_SAFE);
	UNTIL(&f, ends(old, "hello"));
	new = call(&f, NEW_ROUTE);
	pass(&f, FRESHNESS_TAKE_MS + FRESHNESS_HOLD_MS + 100);
	UNTIL(&f, got(new, "HTTP/1.1 503 "));
	assert_true(got(new, "Retry-After: 0.2"));
	assert_true(got(new, "not_run"));
	assert_true(gate_is_stale(f.gate));
	late = call(&f, GET_SAFE);
	UNTIL(&f, got(late, "HTTP/1.1 503 "));
	tell_newer(&f);
	assert_false(gate_is_stale(f.gate));
	late = call(&f, NEW_ROUTE);
	UNTIL(&f, ends(late, "hello"));
	fix_close(&f);
}

/* 404 by an entry that nobody tells what is in force. */
static void entry_without_a_leader_serves_what_it_knows(void **state)
{
	struct caller *old, *unknown;
	struct fix f;

	(void)state;
	open_served(&f);
	gate_routing_told(f.gate, 1);
	gate_leader_lost(f.gate);
	pass(&f, FRESHNESS_LOST_MS);
	unknown = call(&f, NEW_ROUTE);
	old = call(&f, GET_SAFE);
	UNTIL(&f, ends(old, "hello"));
	assert_int_equal(unknown->got->len, 0);
	pass(&f, FRESHNESS_HOLD_MS);
	UNTIL(&f, got(unknown, "HTTP/1.1 503 "));
	unknown = call(&f, NEW_ROUTE);
	UNTIL(&f, got(unknown, "HTTP/1.1 503 "));
	/* Another leader confirms that nothing has changed. */
	gate_routing_told(f.gate, 1);
	unknown = call(&f, NEW_ROUTE);
	UNTIL(&f, got(unknown, "HTTP/1.1 404 "));
	fix_close(&f);
}

/* An entry that stood still answers before it has read what it missed. */
static void woken_entry_reads_first(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_served(&f);
	gate_routing_told(f.gate, 1);
	turn(&f);
	f.clock.fake_ms += 3000;
	c = call(&f, NEW_ROUTE);
	for (int i = 0; i < 20; i++)
		turn(&f);
	assert_int_equal(c->got->len, 0);
	gate_routing_told(f.gate, 9);
	tell_newer(&f);
	pass(&f, FRESHNESS_WAKE_MS);
	UNTIL(&f, ends(c, "hello"));
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(new_route_waits_for_its_version),
		cmocka_unit_test(entry_that_stays_behind_refuses),
		cmocka_unit_test(entry_without_a_leader_serves_what_it_knows),
		cmocka_unit_test(woken_entry_reads_first),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
