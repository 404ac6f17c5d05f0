/* Timeline of one request from several logs. */
#include "unit.h"

#include "../src/ctl/explain.h"

#define AT "ts=2026-06-07T09:51:"
#define ENTRY " level=INFO node=entry-1 event="
#define CONTROL " level=INFO node=control-1 event="

/* Not in time order, so that the timeline has to be sorted. */
static const char *const logs[] = {
	AT "49.000Z" ENTRY "request request=r1 route=chat model=m endpoint=i-7 "
	   "outcome=cut ms=3000 why=\"this process ends\"\n",
	AT "47.100Z" ENTRY "send_failed request=r1 endpoint=i-8 why=\"silent\"",
	AT "47.200Z" ENTRY "request request=r10 model=m ms=1 why=\"\"",
	AT "47.300Z" ENTRY "request request=r2 model=other ms=1",
	AT "46.500Z" CONTROL "step step=3 endpoint=1.2.3.4:5 load=m from=disk",
	AT "46.600Z" CONTROL "step step=4 endpoint=1.2.3.4:6 load=other",
	AT "40.900Z" CONTROL "step step=2 endpoint=1.2.3.4:5 load=m",
	AT "49.100Z" CONTROL "step step=9 endpoint=1.2.3.4:5 load=m",
	"  7.1 collector/x " AT "47.150Z" CONTROL "role role=leader term=4",
	AT "47.160Z" CONTROL "role role=follower term=4",
	AT "48.000Z" CONTROL "endpoint_gone addr=1.2.3.4:5 id=i-7",
	AT "48.100Z" CONTROL "endpoint_gone addr=1.2.3.4:9 id=i-9",
	AT "48.200Z" ENTRY "routing version=7",
	AT "50.000Z" ENTRY "taken_up request=r6 resumes=r5 version=v1 ms=2",
	AT "52.000Z" ENTRY "request request=r6 resumes=r5 after=4 model=s ms=9",
	AT "49.500Z" ENTRY "send_failed request=r5 endpoint=i-3 version=v1",
	AT "49.700Z" ENTRY "request request=r5 resumes=- after=-1 model=s ms=5",
	"not a log line",
	"ts=nonsense node=entry-1 event=request request=r1",
	"",
	"event=log_left_out lines=3",
};

static char *timeline(const char *request, bool json, bool *found)
{
	struct explain *e = explain_new(request);
	char *text;

	for (size_t i = 0; i < G_N_ELEMENTS(logs); i++)
		explain_scan(e, logs[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(logs); i++)
		explain_collect(e, logs[i]);
	*found = explain_found(e);
	text = explain_format(e, json);
	explain_free(e);
	return text;
}

static void timeline_is_sorted_and_complete(void **state)
{
	static const char *const want[] = {
		"   +0.500  control-1              step           step=3 ",
		"   +1.100  entry-1                send_failed    ",
		"   +1.150  control-1              role           role=leader ",
		"   +2.000  control-1              endpoint_gone  ",
		"   +2.200  entry-1                routing        version=7",
		"   +3.000  entry-1                request        request=r1 ",
	};
	bool found;
	char *text = timeline("r1", false, &found);
	char **lines = g_strsplit(text, "\n", -1);

	(void)state;
	assert_true(found);
	assert_int_equal(g_strv_length(lines), G_N_ELEMENTS(want) + 1);
	for (size_t i = 0; i < G_N_ELEMENTS(want); i++)
		if (!g_str_has_prefix(lines[i], want[i]))
			fail_msg("line \"%s\" doesn't start with \"%s\"",
				 lines[i], want[i]);
	assert_non_null(strstr(text, "why=\"this process ends\""));
	g_strfreev(lines);
	g_free(text);
}

static void json_has_every_field(void **state)
{
	bool found;
	char *text = timeline("r2", true, &found);

	(void)state;
	assert_true(found);
	assert_non_null(strstr(text, "\"at_ms\":1"));
	assert_non_null(strstr(text, "\"model\":\"other\""));
	assert_null(strstr(text, "r1"));
	g_free(text);
}

/*
 * Guards against a timeline that shows only one of the requests for a stream
 * that broke off and was resumed by another request.
 */
static void resumed_stream_shows_all_requests(void **state)
{
	static const char *const requests[] = { "r5", "r6" };
	bool found;

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		char *text = timeline(requests[i], false, &found);

		assert_non_null(strstr(text, "send_failed    request=r5"));
		assert_non_null(strstr(text, "taken_up       request=r6"));
		assert_non_null(strstr(text, "request        request=r5"));
		assert_non_null(strstr(text, "request        request=r6"));
		g_free(text);
	}
}

static void unknown_request_is_not_found(void **state)
{
	bool found;
	char *text = timeline("r3", false, &found);

	(void)state;
	assert_false(found);
	assert_string_equal(text, "");
	g_free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(resumed_stream_shows_all_requests),
		cmocka_unit_test(timeline_is_sorted_and_complete),
		cmocka_unit_test(json_has_every_field),
		cmocka_unit_test(unknown_request_is_not_found),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
