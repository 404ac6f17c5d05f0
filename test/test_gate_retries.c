/* Retry budgets of a gate, in the process's first seconds and later. */
#include "gate_fix.h"

#define WINDOW_MS 10000
#define REQUESTS 40
#define FAILURE "HTTP/1.1 500 No\r\n" HEAD "Content-Length: 0\r\n\r\n"
#define ENTRIES 20

struct retries_case {
	const char *label;
	int64_t age_ms; /* of the process */
	uint64_t entries;
	int retries;
};

static const struct retries_case cases[] = {
	{ "a process that has just started", 0, ENTRIES, 3 },
	{ "a new one that doesn't know the number of entries", 0, 0, 3 },
	{ "one that has run for less than a window", WINDOW_MS - 1, ENTRIES,
	  3 },
	{ "one that has run for a window", WINDOW_MS + 500, ENTRIES, 6 },
	{ "the same, without the number of entries", WINDOW_MS + 500, 0, 3 },
};

/* A fifth of the requests, plus the slack that all entries share. */
static const struct fix_options budget = { .retry_ratio = 0.2,
					   .retry_slack = 60 };

static int arrivals(const struct fix *f)
{
	return f->eps[0].requests + f->eps[1].requests;
}

static void send_failing_requests(struct fix *f, const struct retries_case *x)
{
	struct msg_fleet m = { .fence = 1, .entries = x->entries };

	set_default_routing(f);
	report_fleet(f, "web", "");
	gate_fleet_received(f->gate, &m);
	for (int i = 0; i < ENDPOINTS; i++)
		script_answer(f, i, FAILURE, false, false);
	f->clock.fake_ms += x->age_ms;
	for (int i = 0; i < REQUESTS; i++) {
		struct caller *c = call(f, GET_SAFE);

		UNTIL(f, has_received(c, "HTTP/1.1 500 ") ||
				 has_received(c, "HTTP/1.1 502 "));
	}
}

/* Guards against a process that starts with a full budget although its
 * predecessor on the VM may have used it already. */
static void new_process_builds_up_its_budget(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fix f;

		fix_open_with(&f, &budget);
		send_failing_requests(&f, &cases[i]);
		if (arrivals(&f) - REQUESTS != cases[i].retries)
			fail_msg("%s: %d retries", cases[i].label,
				 arrivals(&f) - REQUESTS);
		fix_close(&f);
	}
}

/* Guards against failed connections that use up retries. */
static void failed_connection_costs_no_retry(void **state)
{
	const struct retries_case x = { "", WINDOW_MS + 500, ENTRIES, 0 };
	struct fix f;

	(void)state;
	fix_open_with(&f, &budget);
	stop_listening(&f, 1);
	send_failing_requests(&f, &x);
	assert_int_equal(arrivals(&f) - REQUESTS, 6);
	fix_close(&f);
}

/* Guards against log lines that don't distinguish a spent budget from a new
 * one. */
static void refused_retries_are_logged(void **state)
{
	const struct retries_case x = { "", 2000, ENTRIES, 0 };
	struct log_capture log;
	struct fix f;
	char *text;

	(void)state;
	fix_open_with(&f, &budget);
	log_capture_begin(&log);
	send_failing_requests(&f, &x);
	text = log_capture_end(&log);
	assert_non_null(strstr(text, "event=retries_refused service=web "
				     "retries=0 requests=1 slack=3 entries=20 "
				     "up_ms=2000"));
	g_free(text);
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(new_process_builds_up_its_budget),
		cmocka_unit_test(failed_connection_costs_no_retry),
		cmocka_unit_test(refused_retries_are_logged),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
