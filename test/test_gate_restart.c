/* Tests the gate with endpoints that restart and keep their id. */
#include "gate_fix.h"

#define CHAT_ADAPTER                                                           \
	REQ("POST", "/chat/x") "X-Model: m/a1\r\nContent-Length: 2\r\n\r\nhi"
#define FIRST_EVENT EVENTS "f\r\nid: 1\ndata: a\n\n\r\n"
#define LAST_EVENT EVENTS "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"
#define NOT_HELD                                                               \
	"HTTP/1.1 421 Misdirected Request\r\n" HEAD                            \
	"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

/* Opens a gate that knows both endpoints' start times. */
static void open_with_starts(struct fix *f, const char *service,
			     const char *model)
{
	fix_open(f, NULL, "");
	f->eps[0].started_ms = f->eps[1].started_ms = 100;
	report_fleet(f, service, model);
}

/* Reports a new incarnation of the first endpoint. */
static void restart(struct fix *f, const char *service, const char *model)
{
	f->eps[0].started_ms = 200;
	report_fleet(f, service, model);
}

/* Returns the number of requests in progress; gate_busy() counts each one and
 * its connection. */
static size_t requests_in_progress(const struct fix *f)
{
	return gate_busy(f->gate) / 2;
}

static void run_loop(struct fix *f, int n)
{
	while (n-- > 0)
		run_loop_once(f);
}

/*
 * Guards against a stream that hangs until its caller leaves. An endpoint's VM
 * fails without closing its connections, and the endpoint restarts with the
 * same id. If the same id is taken for the same incarnation, the gate keeps
 * waiting on the dead connection.
 */
static void silent_stream_is_resumed_elsewhere(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_with_starts(&f, "lm", "m");
	script_answer(&f, 0, FIRST_EVENT, false, false);
	script_answer(&f, 1, LAST_EVENT, false, false);
	c = call(&f, POST_NIGHT);
	UNTIL(&f, has_received(c, "data: a"));
	f.eps[0].empty = true;
	restart(&f, "lm", "m");
	f.clock.fake_ms += 499;
	run_loop(&f, 3);
	assert_int_equal(f.eps[1].requests, 0);
	f.clock.fake_ms += 1;
	UNTIL(&f, received_ends_with(c, "0\r\n\r\n"));
	assert_non_null(strstr(f.eps[1].seen->str, "Last-Event-Id: 1"));
	fix_close(&f);
}

/*
 * A request that isn't repeatable stays with the incarnation that it was sent
 * to: the gate doesn't retry it, and would still forward a late answer.
 */
static void unrepeatable_request_isnt_retried(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_with_starts(&f, "web", "");
	script_answer(&f, 0, NULL, false, false);
	script_answer(&f, 1, OK_TEXT, false, false);
	c = call(&f, POST_ONCE);
	UNTIL(&f, f.eps[0].requests == 1);
	restart(&f, "web", "");
	f.clock.fake_ms += 1000;
	run_loop(&f, 3);
	assert_int_equal(c->got->len, 0);
	f.clock.fake_ms += 1000;
	UNTIL(&f, has_received(c, "HTTP/1.1 504 "));
	assert_int_equal(f.eps[0].requests, 1);
	assert_int_equal(f.eps[1].requests, 0);
	fix_close(&f);
}

/*
 * Guards against sending a request to more endpoints than its route allows. An
 * endpoint refuses the request, restarts with the same id and holds the model.
 * If ids are counted instead of incarnations, the restarted endpoint isn't
 * counted as another one.
 */
static void restarted_endpoint_counts_as_another(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	open_with_starts(&f, "lm", "m");
	script_answer(&f, 0, NOT_HELD, false, false);
	script_answer(&f, 0, LAST_EVENT, false, false);
	c = call(&f, POST_CHAT);
	UNTIL(&f, f.eps[0].requests == 1 && requests_in_progress(&f) > 0);
	run_loop(&f, 3);
	restart(&f, "lm", "m");
	run_loop(&f, 3);
	assert_int_equal(f.eps[0].requests, 1);
	f.clock.fake_ms += 9000;
	UNTIL(&f, has_received(c, "HTTP/1.1 503 "));
	assert_int_equal(f.eps[1].requests, 0);
	fix_close(&f);
}

/*
 * Guards against sending a request to an endpoint that doesn't hold its
 * adapter. An agent loads the adapter, the endpoint restarts with the same id,
 * and the agent's reply arrives after that. A reply that doesn't identify the
 * incarnation would be applied to the new one.
 */
static void adapter_of_previous_incarnation_is_ignored(void **state)
{
	struct msg_adapter_done done = { .code = 0 };
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, NULL, "");
	f.agents = true;
	f.eps[1].empty = true;
	f.eps[0].started_ms = 100;
	report_fleet(&f, "lm", "m");
	c = call(&f, CHAT_ADAPTER);
	UNTIL(&f, f.asked);
	done.sub = f.asked;
	f.eps[0].empty = true;
	restart(&f, "lm", "m");
	gate_adapter_done(f.gate, &done);
	run_loop(&f, 3);
	assert_int_equal(f.eps[0].requests, 0);
	assert_int_equal(c->got->len, 0);
	assert_int_equal(requests_in_progress(&f), 1);
	fix_close(&f);
}

/*
 * Guards against sending requests to an endpoint that lost the model in a
 * restart. A report about the previous incarnation arrives after one about the
 * new incarnation and is taken for the newer one.
 */
static void outdated_report_is_ignored(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f, NULL, "");
	f.eps[0].started_ms = 200;
	f.eps[0].empty = f.eps[1].empty = true;
	report_fleet(&f, "lm", "m");
	f.eps[0].started_ms = 100;
	f.eps[0].empty = false;
	report_fleet(&f, "lm", "m");
	call(&f, POST_CHAT);
	UNTIL(&f, requests_in_progress(&f) > 0);
	run_loop(&f, 3);
	assert_int_equal(f.eps[0].requests, 0);
	/* The endpoint is still known, and can report the model later. */
	f.eps[0].started_ms = 200;
	report_fleet(&f, "lm", "m");
	UNTIL(&f, f.eps[0].requests == 1);
	fix_close(&f);
}

struct list_case {
	const char *label;
	struct {
		const char *id;
		int64_t started_ms;
		bool holds;
	} entries[2];
	size_t n;
	bool is_used;
};

/* Before each list the gate knows i-0, started at 200, without a model. */
static const struct list_case list_cases[] = {
	{ "of the previous incarnation", { { "i-0", 100, true } }, 1, false },
	{ "of the known incarnation", { { "i-0", 200, true } }, 1, true },
	{ "of a later incarnation", { { "i-0", 300, true } }, 1, true },
	{ "without a start time", { { "i-0", 0, true } }, 1, true },
	{ "of another id", { { "i-9", 100, true } }, 1, true },
	{ "a crashed incarnation is still listed, first",
	  { { "i-0", 100, true }, { "i-0", 300, false } },
	  2,
	  false },
	{ "a crashed incarnation is still listed, last",
	  { { "i-0", 300, false }, { "i-0", 100, true } },
	  2,
	  false },
};

static void add_entry(struct fix *f, GArray *list, const char *id,
		      int64_t started_ms, bool holds)
{
	struct fleet_instance i = {
		.id = g_strdup(id),
		.started_ms = started_ms,
		.service = g_strdup("lm"),
		.addr = g_strdup(f->eps[0].addr),
		.domain = g_strdup("here"),
		.slots = 8,
		.models = g_ptr_array_new_with_free_func(g_free),
	};

	if (holds)
		g_ptr_array_add(i.models, g_strdup("m"));
	g_array_append_val(list, i);
}

static void list_is_compared_by_start_time(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(list_cases); i++) {
		const struct list_case *c = &list_cases[i];
		struct fleet_list list;
		struct fix f;

		fleet_list_init(&list);
		fix_open(&f, NULL, "");
		f.eps[0].started_ms = 200;
		f.eps[0].empty = f.eps[1].empty = true;
		report_fleet(&f, "lm", "m");
		for (size_t k = 0; k < c->n; k++)
			add_entry(&f, list.instances, c->entries[k].id,
				  c->entries[k].started_ms,
				  c->entries[k].holds);
		gate_list_received(f.gate, &list);
		call(&f, POST_CHAT);
		UNTIL(&f, requests_in_progress(&f) > 0);
		run_loop(&f, 5);
		if ((f.eps[0].requests == 1) != c->is_used)
			fail_msg("%s: %d requests", c->label,
				 f.eps[0].requests);
		fix_close(&f);
		fleet_list_clear(&list);
	}
}

/*
 * Guards against an endpoint that gets no requests after a restart. It fails
 * until its breaker opens, then restarts with the same id. The failures of the
 * previous incarnation must not count.
 */
static void restart_closes_the_breaker(void **state)
{
	struct caller *c;
	struct fix f;
	int before;

	(void)state;
	open_with_starts(&f, "web", "");
	script_answer(&f, 0, "", true, false);
	script_answer(&f, 1, OK_TEXT, false, false);
	for (int i = 0; i < 10; i++) {
		c = call(&f, GET_SAFE);
		UNTIL(&f, received_ends_with(c, "hello"));
	}
	before = f.eps[0].requests;
	c = call(&f, GET_SAFE);
	UNTIL(&f, received_ends_with(c, "hello"));
	assert_int_equal(f.eps[0].requests, before);
	f.eps[0].replies[0] = (struct reply){ OK_TEXT, false, false };
	restart(&f, "web", "");
	c = call(&f, GET_SAFE);
	UNTIL(&f, received_ends_with(c, "hello"));
	assert_int_equal(f.eps[0].requests, before + 1);
	fix_close(&f);
}

/*
 * Guards against callers that wait for an idle endpoint. All its slots are in
 * use when it restarts with the same id, and the requests of the previous
 * incarnation still count until their connections close. When these close, the
 * count of the new incarnation must not change either.
 */
static void requests_of_previous_incarnation_dont_count(void **state)
{
	enum { SLOTS = 8 };
	struct caller *callers[SLOTS];
	struct fix f;

	(void)state;
	fix_open(&f, NULL, "");
	f.eps[1].empty = true;
	f.eps[0].started_ms = 100;
	report_fleet(&f, "lm", "m");
	script_answer(&f, 0, NULL, false, false);
	for (int i = 0; i < SLOTS; i++)
		callers[i] = call(&f, POST_CHAT);
	UNTIL(&f, f.eps[0].requests == SLOTS);
	for (int i = 0; i < SLOTS; i++)
		call(&f, POST_CHAT);
	UNTIL(&f, requests_in_progress(&f) == SLOTS + SLOTS);
	assert_int_equal(f.eps[0].requests, SLOTS);
	restart(&f, "lm", "m");
	UNTIL(&f, f.eps[0].requests == SLOTS + SLOTS);
	for (int i = 0; i < SLOTS; i++)
		caller_leave(callers[i]);
	UNTIL(&f, requests_in_progress(&f) == SLOTS);
	/* Still full: the callers that left used no slots of the new
	 * incarnation. */
	call(&f, POST_CHAT);
	UNTIL(&f, requests_in_progress(&f) == SLOTS + 1);
	run_loop(&f, 5);
	assert_int_equal(f.eps[0].requests, SLOTS + SLOTS);
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(silent_stream_is_resumed_elsewhere),
		cmocka_unit_test(unrepeatable_request_isnt_retried),
		cmocka_unit_test(restarted_endpoint_counts_as_another),
		cmocka_unit_test(adapter_of_previous_incarnation_is_ignored),
		cmocka_unit_test(outdated_report_is_ignored),
		cmocka_unit_test(list_is_compared_by_start_time),
		cmocka_unit_test(restart_closes_the_breaker),
		cmocka_unit_test(requests_of_previous_incarnation_dont_count),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
