/* Order of requests for several models on one engine with one slot. */
#include "gate_fix.h"

#define IDLE_MODELS 300

/* Routes: U is urgent, P has low priority, S the same with a short timeout. */
static const char routing_text[] =
	"{\"version\":2,\"routes\":["
	"{\"name\":\"U\",\"host\":\"h\",\"prefix\":\"/U/\",\"type\":\"stream\","
	"\"attempts\":1,\"service\":\"lm\",\"timeoutMs\":9000,"
	"\"priority\":0},"
	"{\"name\":\"P\",\"host\":\"h\",\"prefix\":\"/P/\",\"type\":\"stream\","
	"\"attempts\":1,\"service\":\"lm\",\"timeoutMs\":9000,"
	"\"priority\":2},"
	"{\"name\":\"S\",\"host\":\"h\",\"prefix\":\"/S/\",\"type\":\"stream\","
	"\"attempts\":1,\"service\":\"lm\",\"timeoutMs\":1500,"
	"\"priority\":2}],"
	"\"services\":[{\"name\":\"lm\",\"engine\":{\"slots\":1,"
	"\"weightsMb\":80,\"models\":["
	"{\"name\":\"m\",\"weightsMb\":9,\"loadS\":6},"
	"{\"name\":\"n\",\"weightsMb\":9,\"loadS\":6},"
	"{\"name\":\"x\",\"weightsMb\":9,\"loadS\":6}]}}],"
	"\"limits\":{\"maxHeaderBytes\":2048,\"maxBodyBytes\":4096,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static uint64_t metric(struct fix *f, const char *name, const char *labels)
{
	return *metrics_value(f->metrics, name, labels);
}

static uint64_t waiting(struct fix *f)
{
	return metric(f, "ss_gate_waiting", "");
}

/* Reports one engine with the models m and n; x is loaded nowhere. */
static void engine_open(struct fix *f)
{
	struct held_model held[] = { { .model = SS_LIT("m") },
				     { .model = SS_LIT("n") } };
	struct fleet_endpoint e = { .service = SS_LIT("lm"),
				    .domain = SS_LIT("here"),
				    .slots = 1,
				    .tokens_total = 1000,
				    .limit = ENDPOINT_LIMIT_NONE,
				    .held = { held, 2 } };
	struct msg_fleet m = { .fence = 1,
			       .full = true,
			       .endpoints = { &e, 1 } };

	fix_open_fresh(f);
	set_routing(f, routing_text);
	e.addr = ss_str(f->eps[0].addr);
	e.id = ss_str(f->eps[0].id);
	gate_fleet_received(f->gate, &m);
}

/* Sends a request; what: route and model, as "Um" for an urgent one for m. */
static struct caller *send_request(struct fix *f, const char *what, char name)
{
	char *text = g_strdup_printf("POST /%c/%c HTTP/1.1\r\nHost: h\r\n"
				     "X-Request-Id: q1\r\nX-Model: %c\r\n"
				     "Content-Length: 0\r\n\r\n",
				     what[0], name, what[1]);
	struct caller *c = call(f, text);

	g_free(text);
	return c;
}

static char last_received(const struct fix *f)
{
	const char *at = g_strrstr(f->eps[0].seen->str, "POST /");

	return at[strlen("POST /U/")];
}

/* Sends all requests while the engine is busy; then it takes service_ms for
 * each. got: the order in which they are sent to it. */
static void run_requests(struct fix *f, const char *requests_text,
			 int64_t service_ms, GString *got)
{
	size_t n = strlen(requests_text) / 2;

	send_request(f, "Um", '-');
	UNTIL(f, f->eps[0].requests == 1);
	for (size_t i = 0; i < n; i++) {
		send_request(f, requests_text + 2 * i, (char)('a' + i));
		UNTIL(f, waiting(f) == i + 1);
		f->clock.fake_ms++;
	}
	while (n) {
		int before = f->eps[0].requests;
		int rounds = 0;

		f->clock.fake_ms += service_ms;
		gate_tick(f->gate);
		endpoint_send(f, 0, OK_TEXT);
		while (f->eps[0].requests == before && ++rounds < 50)
			run_loop_once(f);
		if (f->eps[0].requests == before)
			return;
		g_string_append_c(got, last_received(f));
		n--;
	}
}

struct order_case {
	const char *label, *requests_text;
	int64_t service_ms;
	const char *want;
	uint64_t raised, left;
};

static const struct order_case orders[] = {
	{ "one queue and one priority: in order of arrival", "PmPmPm", 1, "abc",
	  0, 0 },
	{ "a shorter deadline goes first", "PmSmPm", 1, "bac", 0, 0 },
	{ "two queues: in order of arrival", "PmPnPmPn", 1, "abcd", 0, 0 },
	{ "urgent ones first, whatever their model", "PmPnUmUn", 1, "cdab", 0,
	  0 },
	{ "a model that isn't loaded blocks no other", "UxPmPn", 1, "bc", 0,
	  1 },
	{ "every fourth slot for less urgent ones", "PnUmUmUmUmUm", 1, "bcdaef",
	  0, 0 },
	{ "the same in one queue", "PmUmUmUmUmUm", 1, "bcdaef", 0, 0 },
	{ "raised before it is too late to begin", "SnUmUmUmUm", 400, "abcde",
	  1, 0 },
	{ "raising uses up the next fourth slot", "SnPnUmUmUmUmUmUm", 400,
	  "acdefghb", 1, 0 },
};

/* Guards against these failures: the table order of model queues decides who
 * goes first; one queue blocks the others; less urgent requests starve, or are
 * refused although their share of the slots is unused. */
static void one_order_over_all_model_queues(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
		const struct order_case *x = &orders[i];
		GString *got = g_string_new(NULL);
		struct fix f;

		engine_open(&f);
		run_requests(&f, x->requests_text, x->service_ms, got);
		if (strcmp(got->str, x->want))
			fail_msg("%s: %s, not %s", x->label, got->str, x->want);
		assert_int_equal(metric(&f, "ss_gate_raised_total", ""),
				 x->raised);
		assert_int_equal(waiting(&f), x->left);
		g_string_free(got, TRUE);
		fix_close(&f);
	}
}

/* Guards against a dispatch that examines the queues of all models ever
 * requested. */
static void dispatch_examines_only_nonempty_queues(void **state)
{
	struct fleet_eta etas[IDLE_MODELS] = { 0 };
	struct msg_fleet m = { .fence = 1, .etas = { etas, IDLE_MODELS } };
	char names[IDLE_MODELS][8];
	uint64_t before;
	struct fix f;

	(void)state;
	engine_open(&f);
	for (int i = 0; i < IDLE_MODELS; i++) {
		g_snprintf(names[i], sizeof(names[i]), "i%d", i);
		etas[i].service = SS_LIT("lm");
		etas[i].model = ss_str(names[i]);
		etas[i].eta_ms = -1;
	}
	gate_fleet_received(f.gate, &m);
	send_request(&f, "Px", 'a');
	send_request(&f, "Um", 'b');
	UNTIL(&f, f.eps[0].requests == 1);
	send_request(&f, "Un", 'c');
	UNTIL(&f, waiting(&f) == 2);
	assert_int_equal(
		metric(&f, "ss_gate_waiting_by_priority", "priority=\"0\""), 1);
	assert_int_equal(
		metric(&f, "ss_gate_waiting_by_priority", "priority=\"2\""), 1);
	before = metric(&f, "ss_gate_lanes_examined_total", "");
	gate_tick(f.gate);
	assert_int_equal(metric(&f, "ss_gate_lanes_examined_total", ""),
			 before + 2);
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_order_over_all_model_queues),
		cmocka_unit_test(dispatch_examines_only_nonempty_queues),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
