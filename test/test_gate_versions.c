/* Streams at endpoints of several software versions, as one gate sees them. */
#include "gate_fix.h"

#define EVENT(n) "14\r\nid: " n "\ndata: event" n "\n\n\r\n"
#define BEGINS EVENTS EVENT("1") EVENT("2")
#define GOES_ON EVENTS EVENT("3") "0\r\n\r\n"

static void script_all(struct fix *f)
{
	script(f, 0, BEGINS, true, false);
	script(f, 0, GOES_ON, false, false);
	script(f, 1, GOES_ON, false, false);
}

struct answer_case {
	const char *label;
	const char *versions[ENDPOINTS];
	bool ends; /* the first one is gone with the stream that it broke off */
	int goes_on; /* the endpoint that the rest comes from; -1: none */
};

static const struct answer_case answers[] = {
	{ "the other one is of the same", { "v1", "v1" }, true, 1 },
	{ "the first one goes on by itself", { "v1", "v2" }, false, 0 },
	{ "only another version is left", { "v1", "v2" }, true, -1 },
	{ "the other one's isn't told", { "v1", NULL }, true, -1 },
};

/* Symptom: an answer begins at one version and goes on at another. */
static void answer_goes_on_at_its_version(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		const struct answer_case *x = &answers[i];
		struct caller *c;
		struct fix f;
		bool whole;

		fix_open_fresh(&f);
		for (int k = 0; k < ENDPOINTS; k++)
			f.eps[k].version = x->versions[k];
		script_all(&f);
		tell_routing(&f);
		c = ask(&f, "m", POST_NIGHT);
		UNTIL(&f, got(c, "event2"));
		if (x->ends)
			end_endpoint(&f, 0);
		f.at = x->goes_on > 0 ? 1 : 0;
		/* Until the end of its time, if nobody may go on with it. */
		for (int k = 0; k < 1000 && !c->ended && !got(c, "event3");
		     k++) {
			f.clock.fake_ms += 10;
			if (k % 20 == 0)
				tell_fleet(&f, "lm", "m");
			turn(&f);
		}
		whole = got(c, "event3");
		if (whole != (x->goes_on >= 0))
			fail_msg("%s: whole %d", x->label, whole);
		if (f.eps[1].requests != (x->goes_on == 1))
			fail_msg("%s: %d sends to the other one", x->label,
				 f.eps[1].requests);
		fix_close(&f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(answer_goes_on_at_its_version),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
