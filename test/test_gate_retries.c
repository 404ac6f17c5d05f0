/* What a gate sends again, in the process's first seconds and later. */
#include "gate_fix.h"

#define WINDOW_MS 10000
#define REQUESTS 40
#define FAILS "HTTP/1.1 500 No\r\n" HEAD "Content-Length: 0\r\n\r\n"
#define ENTRIES 20

struct retries_case {
	const char *label;
	int64_t age_ms; /* of the process */
	uint64_t entries;
	int retries;
};

static const struct retries_case cases[] = {
	{ "a process that has just started", 0, ENTRIES, 3 },
	{ "one that starts, and isn't told of others", 0, 0, 3 },
	{ "one that has run for less than a window", WINDOW_MS - 1, ENTRIES,
	  3 },
	{ "one that has run for a window", WINDOW_MS + 500, ENTRIES, 6 },
	{ "the same, and it isn't told of others", WINDOW_MS + 500, 0, 3 },
};

/* A fifth of the requests, and some more. */
static const struct fix_options bound = { .retry_ratio = 0.2,
					  .retry_slack = 60 };

static int arrivals(const struct fix *f)
{
	return f->eps[0].requests + f->eps[1].requests;
}

static void fail_all(struct fix *f, const struct retries_case *x)
{
	struct msg_fleet m = { .fence = 1, .entries = x->entries };

	tell_routing(f);
	tell_fleet(f, "web", "");
	gate_take_fleet(f->gate, &m);
	for (int i = 0; i < ENDPOINTS; i++)
		script(f, i, FAILS, false, false);
	f->clock.fake_ms += x->age_ms;
	for (int i = 0; i < REQUESTS; i++) {
		struct caller *c = call(f, GET_SAFE);

		UNTIL(f, got(c, "HTTP/1.1 500 ") || got(c, "HTTP/1.1 502 "));
	}
}

/* Guards against a process that starts with retries that the one before it on
 * its VM may have spent. */
static void started_process_earns_its_retries(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fix f;

		fix_open_with(&f, &bound);
		fail_all(&f, &cases[i]);
		if (arrivals(&f) - REQUESTS != cases[i].retries)
			fail_msg("%s: %d", cases[i].label,
				 arrivals(&f) - REQUESTS);
		fix_close(&f);
	}
}

/* Guards against retries that are used up by connections that aren't made. */
static void send_that_never_left_costs_no_retry(void **state)
{
	const struct retries_case x = { "", WINDOW_MS + 500, ENTRIES, 0 };
	struct fix f;

	(void)state;
	fix_open_with(&f, &bound);
	stop_listening(&f, 1);
	fail_all(&f, &x);
	assert_int_equal(arrivals(&f) - REQUESTS, 6);
	fix_close(&f);
}

/* Guards against refusals that don't tell a spent budget from a new one. */
static void refused_retries_are_logged(void **state)
{
	const struct retries_case x = { "", 2000, ENTRIES, 0 };
	struct log_capture log;
	struct fix f;
	char *text;

	(void)state;
	fix_open_with(&f, &bound);
	log_capture_begin(&log);
	fail_all(&f, &x);
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
		cmocka_unit_test(started_process_earns_its_retries),
		cmocka_unit_test(send_that_never_left_costs_no_retry),
		cmocka_unit_test(refused_retries_are_logged),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
