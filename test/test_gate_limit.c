/* Several gates that share the rate limit which an endpoint states itself. */
#include "gate_fix.h"

#define GATES 9
/* The guarantee under test: from CONTACT_MS after the first request on, an
 * endpoint gets in any window of WINDOW_MS at most RATIO times what its limit
 * allows, and EXTRA requests more. */
#define CONTACT_MS 3000
#define WINDOW_MS 4000
#define RATIO 1.5
#define EXTRA 5.0
/* The wait that a leader replies with if it doesn't know of a limit. */
#define UNKNOWN_WAIT_MS 200

#define LIMIT(per_s) "Server-Limit: " per_s "\r\n"
#define OK_LIMIT(per_s)                                                        \
	"HTTP/1.1 200 OK\r\n" HEAD LIMIT(per_s) "Content-Length: 5\r\n\r\n"    \
						"hello"
#define FAILS_LIMIT(per_s)                                                     \
	"HTTP/1.1 500 No\r\n" HEAD LIMIT(per_s) "Content-Length: 0\r\n\r\n"
#define SHED_LIMIT(per_s)                                                      \
	"HTTP/1.1 503 No\r\nX-Request-Id: q1\r\nX-Not-Executed: 1\r\n" LIMIT(  \
		per_s) "Content-Length: 0\r\n\r\n"
/* A stream that ends after its first event. */
#define CUT_LIMIT(per_s)                                                       \
	"HTTP/1.1 200 OK\r\n" HEAD LIMIT(                                      \
		per_s) "Content-Type: text/event-stream\r\n\r\nid: 0\ndata: "  \
		       "x\n\n"

enum fault {
	NO_FAULT,
	ENTRY_RESTARTS,
	LEADER_LOST, /* and replaced by another */
};

struct limit_case {
	const char *label, *request, *answer, *service, *model;
	bool close; /* the connection, after the answer */
	double per_s;
	int gap_ms; /* between two requests */
	enum fault fault;
};

struct cluster {
	struct fix f;
	struct gate *gates[GATES];
	uint64_t holders[GATES]; /* incarnation numbers at the leader */
	uint64_t last_incarnation;
	void *allocator; /* the leader's, of grants; NULL: there is no leader */
	const struct limit_case *x;
	int grant_requests;
	GArray *arrivals[ENDPOINTS]; /* int64_t, time of each request */
	int64_t first_request_ms;    /* 0: there was none yet */
};

static void select_gate(struct cluster *c, int i)
{
	c->f.gate = c->gates[i];
}

static void introduce_gate(struct cluster *c, int i, const struct limit_case *x)
{
	select_gate(c, i);
	c->holders[i] = ++c->last_incarnation;
	set_default_routing(&c->f);
	report_fleet(&c->f, x->service, x->model);
	gate_leader_found(c->gates[i]);
}

/* The leader. */

static int endpoint_at(const struct cluster *c, struct ss_str addr)
{
	for (int i = 0; i < ENDPOINTS; i++)
		if (ss_str_eq(addr, ss_str(c->f.eps[i].addr)))
			return i;
	return -1;
}

static bool receive_signals(struct cluster *c, struct gate *g)
{
	const struct endpoint_signals *w;
	struct gate_report r;
	bool changed = false;

	gate_report(g, &r);
	w = r.m.signals.items;
	for (size_t k = 0; k < r.m.signals.n; k++) {
		int at = endpoint_at(c, w[k].addr);

		changed |= endpoint_limit_received(&c->f.limits[at], w[k].limit,
						   w[k].limit_age,
						   c->f.clock.fake_ms);
	}
	gate_report_done(&r);
	return changed;
}

static void reply_to_grant_requests(struct cluster *c, int i)
{
	GArray *grant_requests =
		g_array_new(FALSE, FALSE, sizeof(struct quota_request));
	GArray *replies = g_array_new(FALSE, FALSE, sizeof(struct quota_reply));
	struct msg_quota_reply m;

	gate_limit_requests(c->gates[i], grant_requests);
	for (guint k = 0; k < grant_requests->len; k++) {
		const struct quota_request *a =
			&g_array_index(grant_requests, struct quota_request, k);
		int at = endpoint_at(c, a->customer);
		struct customer who = endpoint_limit_as_customer(
			&c->f.limits[at], c->f.eps[at].addr);
		struct quota_reply w = { .customer = a->customer,
					 .number = a->number,
					 .retry_after_ms = UNKNOWN_WAIT_MS };

		if (c->f.limits[at].per_s >= 0)
			quota_lease.allocator_request(c->allocator,
						      c->holders[i], &who, a,
						      c->f.clock.fake_ms, &w);
		g_array_append_val(replies, w);
	}
	c->grant_requests += (int)grant_requests->len;
	m.replies = (struct wire_list){ replies->data, replies->len };
	if (replies->len)
		gate_limit_reply_received(c->gates[i], &m);
	g_array_unref(grant_requests);
	g_array_unref(replies);
}

static void run_leader(struct cluster *c)
{
	bool changed = false;

	if (!c->allocator)
		return;
	for (int i = 0; i < GATES; i++)
		changed |= receive_signals(c, c->gates[i]);
	for (int i = 0; changed && i < GATES; i++) {
		select_gate(c, i);
		report_fleet(&c->f, c->x->service, c->x->model);
	}
	for (int i = 0; i < GATES; i++)
		reply_to_grant_requests(c, i);
}

static void start_leader(struct cluster *c)
{
	c->allocator = quota_lease.allocator_new(&endpoint_limit_quota,
						 c->f.clock.fake_ms);
	for (int i = 0; i < ENDPOINTS; i++)
		c->f.limits[i] =
			(struct endpoint_limit){ .per_s = ENDPOINT_LIMIT_NONE };
}

static void cluster_open(struct cluster *c, const struct limit_case *x)
{
	fix_open_fresh(&c->f);
	c->first_request_ms = 0;
	c->x = x;
	c->grant_requests = 0;
	c->last_incarnation = 0;
	start_leader(c);
	for (int i = 0; i < ENDPOINTS; i++) {
		c->arrivals[i] = g_array_new(FALSE, FALSE, sizeof(int64_t));
		script_answer(&c->f, i, x->answer, x->close, false);
	}
	for (int i = 0; i < GATES; i++) {
		c->f.options.seed = (uint64_t)i + 1;
		c->gates[i] = i ? gate_new(&c->f.options, NULL) : c->f.gate;
		introduce_gate(c, i, x);
	}
}

static void cluster_close(struct cluster *c)
{
	for (int i = 1; i < GATES; i++)
		gate_free(c->gates[i]);
	select_gate(c, 0);
	fix_close(&c->f);
	quota_lease.allocator_free(c->allocator);
	for (int i = 0; i < ENDPOINTS; i++)
		g_array_unref(c->arrivals[i]);
}

static void record_arrivals(struct cluster *c)
{
	int64_t now = c->f.clock.fake_ms;

	for (int i = 0; i < ENDPOINTS; i++)
		while (c->arrivals[i]->len < (guint)c->f.eps[i].requests)
			g_array_append_val(c->arrivals[i], now);
	if (!c->first_request_ms && c->arrivals[0]->len + c->arrivals[1]->len)
		c->first_request_ms = now;
}

/* Runs a tick of all gates in simulated time, and delivers what is in flight.
 */
static void cluster_tick(struct cluster *c)
{
	c->f.clock.fake_ms += 10;
	for (int i = 0; i < GATES; i++)
		gate_tick(c->gates[i]);
	for (int k = 0; k < 4; k++)
		event_base_loop(c->f.base, EVLOOP_NONBLOCK);
	run_leader(c);
	record_arrivals(c);
}

static void inject_fault(struct cluster *c, const struct limit_case *x,
			 int64_t at)
{
	if (x->fault == ENTRY_RESTARTS && at % 2000 == 0) {
		int i = 1 + (int)(at / 2000) % (GATES - 1);

		gate_free(c->gates[i]);
		quota_lease.allocator_client_lost(c->allocator, c->holders[i],
						  c->f.clock.fake_ms);
		c->gates[i] = gate_new(&c->f.options, NULL);
		introduce_gate(c, i, x);
	}
	if (x->fault == LEADER_LOST && at == 5000) {
		quota_lease.allocator_free(c->allocator);
		c->allocator = NULL;
		for (int i = 0; i < GATES; i++)
			gate_leader_lost(c->gates[i]);
	}
	if (x->fault == LEADER_LOST && at == 6500) {
		start_leader(c);
		for (int i = 0; i < GATES; i++) {
			gate_leader_found(c->gates[i]);
			select_gate(c, i);
			report_fleet(&c->f, x->service, x->model);
		}
	}
}

/* The most requests in a window, from when the guarantee holds. */
static double max_in_window(const struct cluster *c, int endpoint)
{
	const GArray *a = c->arrivals[endpoint];
	guint most = 0, n;

	for (guint i = 0; i < a->len; i++) {
		int64_t from = g_array_index(a, int64_t, i);

		if (from < c->first_request_ms + CONTACT_MS)
			continue;
		for (n = i; n < a->len &&
			    g_array_index(a, int64_t, n) < from + WINDOW_MS;)
			n++;
		most = MAX(most, n - i);
	}
	return most;
}

static const struct limit_case cases[] = {
	{ "first tries", POST_ONCE, OK_LIMIT("1"), "web", "", false, 1, 50,
	  NO_FAULT },
	{ "a limit with a fraction", POST_ONCE, OK_LIMIT("2.5"), "web", "",
	  false, 2.5, 20, NO_FAULT },
	{ "fewer than one in a window", POST_ONCE, OK_LIMIT("0.1"), "web", "",
	  false, 0.1, 50, NO_FAULT },
	{ "retries", GET_SAFE, FAILS_LIMIT("1"), "web", "", false, 1, 50,
	  NO_FAULT },
	{ "refusals", GET_SAFE, SHED_LIMIT("1"), "web", "", false, 1, 50,
	  NO_FAULT },
	{ "streams that are resumed", POST_NIGHT, CUT_LIMIT("1"), "lm", "m",
	  true, 1, 50, NO_FAULT },
	{ "entries that restart", POST_ONCE, OK_LIMIT("1"), "web", "", false, 1,
	  50, ENTRY_RESTARTS },
	{ "a lost leader", POST_ONCE, OK_LIMIT("1"), "web", "", false, 1, 50,
	  LEADER_LOST },
};

/* Guards against entries that apply an endpoint's limit each on their own, or
 * not at all, so that the endpoint gets several times its limit. */
static void endpoint_limit_holds_over_all_entries(void **state)
{
	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(cases); k++) {
		const struct limit_case *x = &cases[k];
		double allowed = RATIO * x->per_s * WINDOW_MS / 1000 + EXTRA;
		struct cluster c;

		cluster_open(&c, x);
		for (int64_t at = 0; at < 16000; at += 10) {
			inject_fault(&c, x, at);
			if (at % x->gap_ms == 0) {
				select_gate(&c, (int)(at / x->gap_ms) % GATES);
				call(&c.f, x->request);
			}
			cluster_tick(&c);
		}
		for (int i = 0; i < ENDPOINTS; i++) {
			double most = max_in_window(&c, i);

			if (most > allowed)
				fail_msg("%s: %.0f in a window, allowed %.1f",
					 x->label, most, allowed);
			/* The endpoint must get at least half its limit. */
			if (c.arrivals[i]->len < x->per_s * 16 / 2)
				fail_msg("%s: %u requests in total", x->label,
					 c.arrivals[i]->len);
		}
		cluster_close(&c);
	}
}

/* The limit in the only signal that the gate reports; -1: it reports none. */
static int64_t reported_limit(struct fix *f)
{
	struct gate_report r;
	int64_t limit = -1;

	gate_report(f->gate, &r);
	if (r.m.signals.n)
		limit = ((const struct endpoint_signals *)r.m.signals.items)
				->limit;
	gate_report_done(&r);
	return limit;
}

/* Guards against a new leader that never learns of a limit because the entry
 * that received it first has stopped: it grants nothing, and the endpoint gets
 * no requests. */
static void limit_is_reported_to_the_next_leader(void **state)
{
	struct fix f;

	(void)state;
	fix_open(&f, "web", "");
	f.limits[0] = (struct endpoint_limit){ 2, f.clock.fake_ms };
	report_fleet(&f, "web", "");
	f.clock.fake_ms += 5000;
	/* The leader has it already. */
	assert_int_equal(reported_limit(&f), -1);
	f.limits[0] = (struct endpoint_limit){ .per_s = ENDPOINT_LIMIT_NONE };
	report_fleet(&f, "web", "");
	assert_int_equal(reported_limit(&f), 2 * QUOTA_MILLI + 1);
	/* Repeated at an interval until the leader has it. */
	assert_int_equal(reported_limit(&f), -1);
	f.clock.fake_ms += 1000;
	assert_int_equal(reported_limit(&f), 2 * QUOTA_MILLI + 1);
	f.limits[0] = (struct endpoint_limit){ 2, f.clock.fake_ms };
	report_fleet(&f, "web", "");
	f.clock.fake_ms += 5000;
	assert_int_equal(reported_limit(&f), -1);
	fix_close(&f);
}

/* Replies to the gate's grant requests with all that it wants. */
static void grant_all(struct fix *f)
{
	GArray *grant_requests =
		g_array_new(FALSE, FALSE, sizeof(struct quota_request));

	gate_limit_requests(f->gate, grant_requests);
	for (guint i = 0; i < grant_requests->len; i++) {
		const struct quota_request *a =
			&g_array_index(grant_requests, struct quota_request, i);
		struct quota_reply w = { .customer = a->customer,
					 .number = a->number,
					 .grant = a->want };
		struct msg_quota_reply m = { .replies = { &w, 1 } };

		gate_limit_reply_received(f->gate, &m);
	}
	g_array_unref(grant_requests);
}

/* Guards against a limit that expires at the leader although it is still in
 * force, so that the leader loads models there again. */
static void limit_is_reported_again_while_answers_come(void **state)
{
	struct caller *c;
	struct fix f;

	(void)state;
	fix_open(&f, "web", "");
	f.eps[1].leaving = true;
	f.limits[0] = (struct endpoint_limit){ 500, f.clock.fake_ms };
	script_answer(&f, 0, OK_LIMIT("500"), false, false);
	report_fleet(&f, "web", "");
	gate_leader_found(f.gate);
	for (int i = 0; i < 3; i++) {
		assert_int_equal(reported_limit(&f), -1);
		f.clock.fake_ms += 5000;
		/* No answer has come meanwhile. */
		assert_int_equal(reported_limit(&f), -1);
		c = call(&f, POST_ONCE);
		UNTIL(&f, (grant_all(&f), received_ends_with(c, "hello")));
		assert_int_equal(reported_limit(&f), 500 * QUOTA_MILLI + 1);
	}
	fix_close(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(endpoint_limit_holds_over_all_entries),
		cmocka_unit_test(limit_is_reported_to_the_next_leader),
		cmocka_unit_test(limit_is_reported_again_while_answers_come),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
