/* Propagation delays measured from the logs of processes. */
#include "unit.h"

#include "../src/ctl/spread.h"

#define AT(ms) "ts=2026-06-07T09:51:40." ms "Z level=INFO "

static const struct {
	const char *label;
	const char *lines[5];
	const char *want; /* a row: label, known, p50, p99, last, by */
} cases[] = {
	{ "routing change applied by two processes",
	  { AT("100") "node=c event=routing_accepted version=7 ms=1",
	    AT("130") "node=a event=routing version=7 routes=1",
	    AT("350") "node=b event=routing version=7 routes=1" },
	  "change of the routing 2 30 30 250 b" },
	{ "process that starts after the change isn't late",
	  { AT("100") "node=c event=routing_accepted version=7 ms=1",
	    AT("500") "node=a event=start role=entry",
	    AT("540") "node=a event=routing version=7 routes=1" },
	  "first routing after a start 1 40 40 40 a" },
	{ "first leader after a start",
	  { AT("500") "node=a event=start role=entry",
	    AT("540") "node=a event=leader_found group=1" },
	  "leader after a start 1 40 40 40 a" },
	{ "next leader after a loss",
	  { AT("500") "node=a event=start role=entry",
	    AT("540") "node=a event=leader_found group=1",
	    AT("600") "node=a event=leader_lost why=\"quiet\"",
	    AT("900") "node=a event=leader_found group=1" },
	  "next leader after a loss 1 300 300 300 a" },
	{ "two processes on one VM",
	  { "1.0 a/entry " AT("500") "node=a event=leader_lost why=\"x\"",
	    "1.0 a/control " AT("500") "node=a event=leader_lost why=\"x\"",
	    "1.1 a/entry " AT("600") "node=a event=leader_found group=1",
	    "1.2 a/control " AT("700") "node=a event=leader_found addr=1" },
	  "next leader after a loss 2 100 100 200 a/control" },
	{ "state of the fleet",
	  { AT("500") "node=a event=fleet_known endpoints=3 ms=45" },
	  "endpoints after a start 1 45 45 45 a" },
	{ "endpoint restart, with a second start time",
	  { AT("100") "node=c event=endpoint_restarted addr=1 id=x started=5",
	    AT("120") "node=a event=endpoint_restarted addr=1 id=x started=5",
	    AT("190") "node=a event=endpoint_restarted addr=1 id=x started=9" },
	  "endpoint's restart 3 0 0 20 a" },
	{ "unrelated and malformed lines",
	  { AT("100") "node=a event=request request=1 ms=3", "event=start ", "",
	    "ts=yesterday node=a event=start role=entry" },
	  "ms until known p50 p99 last by" },
};

/* Collapses each run of spaces into one space. */
static char *collapse_spaces(const char *text)
{
	GString *out = g_string_new(NULL);

	for (; *text; text++)
		if (*text != ' ' || (out->len && text[1] != ' '))
			g_string_append_c(out, *text);
	return g_string_free(out, FALSE);
}

static void propagation_delays(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct spread *s = spread_new();
		char *text, *plain;

		for (int k = 0; k < 5 && cases[i].lines[k]; k++)
			spread_add(s, cases[i].lines[k]);
		text = spread_format(s);
		plain = collapse_spaces(text);
		if (!strstr(plain, cases[i].want))
			fail_msg("%s:\n%s", cases[i].label, text);
		g_free(plain);
		g_free(text);
		spread_free(s);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(propagation_delays),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
