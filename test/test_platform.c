/* Tests of the platform's formats: configurations, reports, orders and the
 * headers of requests and answers. */
#include "unit.h"

#include "../platform/platform.h"

#define ROUTE_HEAD "{\"name\":\"r1\",\"host\":\"h.example\","
#define SERVICES "\"services\":[{\"name\":\"s1\"},{\"name\":\"s2\"}]"
#define KEYED(customers)                                                       \
	"{\"version\":1,\"routes\":[]," SERVICES ",\"tenants\":[" customers "]}"

struct routing_case {
	const char *label, *json;
	const char *error; /* part of the message; NULL: it is accepted */
};

static const struct routing_case routings[] = {
	{ "the minimum", "{\"version\":1,\"routes\":[]," SERVICES "}", NULL },
	{ "a route to one service, and unknown fields",
	  "{\"version\":7,\"new\":{},\"routes\":[" ROUTE_HEAD
	  "\"prefix\":\"/a/\",\"type\":\"safe\",\"timeoutMs\":10,"
	  "\"service\":\"s1\",\"other\":[1]}]," SERVICES "}",
	  NULL },
	{ "a split",
	  "{\"version\":7,\"routes\":[" ROUTE_HEAD
	  "\"prefix\":\"/a/\",\"type\":\"stream\",\"timeoutMs\":10,"
	  "\"split\":[{\"service\":\"s1\",\"weight\":9},"
	  "{\"service\":\"s2\",\"weight\":1}]}]," SERVICES "}",
	  NULL },
	{ "truncated", "{\"version\":7,\"routes\":[", "not a whole JSON" },
	{ "two documents", "{} {}", "not a whole JSON" },
	{ "not an object", "[1]", "not a whole JSON" },
	{ "empty", "", "not a whole JSON" },
	{ "no version", "{\"routes\":[]," SERVICES "}", "version" },
	{ "a version of 0", "{\"version\":0,\"routes\":[]," SERVICES "}",
	  "version" },
	{ "no routes", "{\"version\":1," SERVICES "}", "routes" },
	{ "no services", "{\"version\":1,\"routes\":[]}", "services" },
	{ "an unknown service",
	  "{\"version\":7,\"routes\":[" ROUTE_HEAD
	  "\"prefix\":\"/a/\",\"type\":\"safe\",\"timeoutMs\":10,"
	  "\"service\":\"s9\"}]," SERVICES "}",
	  "routes[0].service: there is no service s9" },
	{ "two routes with the same host and prefix",
	  "{\"version\":7,\"routes\":[" ROUTE_HEAD
	  "\"prefix\":\"/a/\",\"type\":\"safe\",\"timeoutMs\":10,"
	  "\"service\":\"s1\"}," ROUTE_HEAD
	  "\"prefix\":\"/a/\",\"type\":\"safe\",\"timeoutMs\":10,"
	  "\"service\":\"s2\"}]," SERVICES "}",
	  "prefix /a/ twice" },
	{ "weights that add up to 0",
	  "{\"version\":7,\"routes\":[" ROUTE_HEAD
	  "\"prefix\":\"/a/\",\"type\":\"safe\",\"timeoutMs\":10,"
	  "\"split\":[{\"service\":\"s1\",\"weight\":0}]}]," SERVICES "}",
	  "weights add up to 0" },
	{ "an empty split",
	  "{\"version\":7,\"routes\":[" ROUTE_HEAD
	  "\"prefix\":\"/a/\",\"type\":\"safe\",\"timeoutMs\":10,"
	  "\"split\":[]}]," SERVICES "}",
	  "weights add up to 0" },
	{ "a negative weight",
	  "{\"version\":7,\"routes\":[" ROUTE_HEAD
	  "\"prefix\":\"/a/\",\"type\":\"safe\",\"timeoutMs\":10,"
	  "\"split\":[{\"service\":\"s1\",\"weight\":-1}]}]," SERVICES "}",
	  "weight" },
	{ "no timeout",
	  "{\"version\":7,\"routes\":[" ROUTE_HEAD
	  "\"prefix\":\"/a/\",\"type\":\"safe\",\"timeoutMs\":0,"
	  "\"service\":\"s1\"}]," SERVICES "}",
	  "timeout must be over 0" },
	{ "a timeout that is text",
	  "{\"version\":7,\"routes\":[" ROUTE_HEAD
	  "\"prefix\":\"/a/\",\"type\":\"safe\",\"timeoutMs\":\"9\","
	  "\"service\":\"s1\"}]," SERVICES "}",
	  "routes[0].timeoutMs" },
	{ "a prefix without its slash",
	  "{\"version\":7,\"routes\":[" ROUTE_HEAD
	  "\"prefix\":\"/a\",\"type\":\"safe\",\"timeoutMs\":10,"
	  "\"service\":\"s1\"}]," SERVICES "}",
	  "slash" },
	{ "a host that is invalid UTF-8",
	  "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"h\xff\","
	  "\"prefix\":\"/a/\",\"type\":\"safe\",\"timeoutMs\":10,"
	  "\"service\":\"s1\"}]," SERVICES "}",
	  "routes[0].host" },
	{ "a timeout out of range",
	  "{\"version\":7,\"routes\":[" ROUTE_HEAD
	  "\"prefix\":\"/a/\",\"type\":\"safe\",\"timeoutMs\":1e300,"
	  "\"service\":\"s1\"}]," SERVICES "}",
	  "routes[0].timeoutMs" },
	{ "a duplicate service",
	  "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\"},"
	  "{\"name\":\"s\"}]}",
	  "stands twice" },
	{ "customers",
	  KEYED("{\"name\":\"a\",\"keys\":[\"k1\",\"k2\"],\"priority\":1,"
		"\"unit\":\"token\",\"rawTokens\":200,\"ratePerS\":0.5,"
		"\"burst\":0},{\"name\":\"b\",\"keys\":[]}"),
	  NULL },
	{ "customers that aren't a list",
	  "{\"version\":1,\"routes\":[]," SERVICES ",\"tenants\":{}}",
	  "tenants" },
	{ "customers that are null",
	  "{\"version\":1,\"routes\":[]," SERVICES ",\"tenants\":null}",
	  "tenants" },
	{ "a customer without keys", KEYED("{\"name\":\"a\"}"),
	  "tenants[0].keys" },
	{ "a key that isn't a string", KEYED("{\"name\":\"a\",\"keys\":[7]}"),
	  "tenants[0].keys[0]" },
	{ "an empty key", KEYED("{\"name\":\"a\",\"keys\":[\"k1\",\"\"]}"),
	  "tenants[0].keys[1]" },
	{ "a name that would inject a header",
	  KEYED("{\"name\":\"a\\r\\nX-Hold: 1\",\"keys\":[]}"),
	  "tenants[0].name" },
	{ "two customers with the same key",
	  KEYED("{\"name\":\"a\",\"keys\":[\"k1\"]},{\"name\":\"b\","
		"\"keys\":[\"k2\",\"k1\"]}"),
	  "tenants[1]: shares a key with tenants[0]" },
	{ "two customers with the same name",
	  KEYED("{\"name\":\"a\",\"keys\":[\"k1\"]},{\"name\":\"a\","
		"\"keys\":[]}"),
	  "tenants[1]: has the name of tenants[0]" },
	{ "a negative limit",
	  KEYED("{\"name\":\"a\",\"keys\":[],\"ratePerS\":-1}"),
	  "tenants[0].ratePerS" },
	{ "a limit out of range",
	  KEYED("{\"name\":\"a\",\"keys\":[],\"ratePerS\":1e18}"),
	  "tenants[0].ratePerS" },
	{ "a burst that is text",
	  KEYED("{\"name\":\"a\",\"keys\":[],\"burst\":\"9\"}"),
	  "tenants[0].burst" },
	{ "a model without its size",
	  "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\","
	  "\"engine\":{\"models\":[{\"name\":\"m\"}]}}]}",
	  "weightsMb" },
};

static void routings_are_checked(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(routings); i++) {
		const struct routing_case *c = &routings[i];
		GError *error = NULL;
		struct routing *r = routing_read(users_platform.routing,
						 ss_str(c->json), &error);

		if (!c->error && !r)
			fail_msg("%s: refused: %s", c->label, error->message);
		if (c->error && r)
			fail_msg("%s: accepted", c->label);
		if (c->error && (error->code != SS_ERROR_BAD_REQUEST ||
				 !strstr(error->message, c->error)))
			fail_msg("%s: \"%s\"", c->label, error->message);
		g_clear_error(&error);
		routing_unref(r);
	}
}

/* Limits are read as they are written; an absent one means no limit. */
static void limits_are_read(void **state)
{
	static const char json[] =
		KEYED("{\"name\":\"a\",\"keys\":[\"k1\"],\"unit\":\"token\","
		      "\"rawTokens\":200,\"ratePerS\":161091,\"burst\":0.5},"
		      "{\"name\":\"b\",\"keys\":[],\"ratePerS\":3},"
		      "{\"name\":\"c\",\"keys\":[],\"priority\":0}");
	static const struct {
		const char *name;
		struct customer_limit limit;
		int64_t priority;
	} rows[] = {
		{ "a", { 161091, 0.5, true, 200 }, -1 },
		{ "b", { 3, 0, false, 1 }, -1 },
		{ "c", { 0, 0, false, 1 }, 0 },
	};
	struct routing *r =
		routing_read(users_platform.routing, ss_str(json), NULL);

	(void)state;
	assert_non_null(r);
	assert_true(r->needs_key);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct customer *c =
			customers_named(&r->customers, rows[i].name);

		assert_non_null(c);
		assert_true(c->limit.per_s == rows[i].limit.per_s);
		assert_true(c->limit.burst == rows[i].limit.burst);
		assert_int_equal(c->limit.tokens, rows[i].limit.tokens);
		assert_true(c->limit.default_tokens ==
			    rows[i].limit.default_tokens);
		assert_int_equal(c->priority, rows[i].priority);
	}
	assert_ptr_equal(customers_find(&r->customers, SS_LIT("k1")),
			 customers_named(&r->customers, "a"));
	routing_unref(r);
}

struct match_case {
	const char *host, *path, *route; /* NULL: none */
};

static const struct match_case matches[] = {
	{ "h.example", "/a/x", "short" },  { "h.example", "/a/b/x", "long" },
	{ "H.Example", "/a/b/", "long" },  { "h.example:80", "/a/", "short" },
	{ "h.example", "/a", NULL },	   { "h.example", "/c/", NULL },
	{ "other.example", "/a/x", NULL },
};

static void longest_prefix_wins(void **state)
{
	static const char json[] =
		"{\"version\":1,\"routes\":["
		"{\"name\":\"short\",\"host\":\"h.example\",\"prefix\":\"/a/\","
		"\"type\":\"safe\",\"timeoutMs\":10,\"service\":\"s1\"},"
		"{\"name\":\"long\",\"host\":\"h.example\","
		"\"prefix\":\"/a/b/\",\"type\":\"stream\",\"timeoutMs\":10,"
		"\"service\":\"s1\"}]," SERVICES "}";
	struct routing *r =
		routing_read(users_platform.routing, ss_str(json), NULL);

	(void)state;
	assert_non_null(r);
	for (size_t i = 0; i < G_N_ELEMENTS(matches); i++) {
		const struct routing_route *rt = routing_match(
			r, ss_str(matches[i].host), ss_str(matches[i].path));
		const char *name = rt ? rt->name : NULL;

		if (g_strcmp0(name, matches[i].route))
			fail_msg("%s%s: %s", matches[i].host, matches[i].path,
				 name);
	}
	routing_unref(r);
}

static void splits_follow_their_weights(void **state)
{
	static const char json[] =
		"{\"version\":1,\"routes\":[" ROUTE_HEAD
		"\"prefix\":\"/a/\",\"type\":\"safe\",\"timeoutMs\":10,"
		"\"split\":[{\"service\":\"s1\",\"weight\":90},"
		"{\"service\":\"s2\",\"weight\":10}]}]," SERVICES "}";
	struct routing *r =
		routing_read(users_platform.routing, ss_str(json), NULL);
	const struct routing_route *rt =
		routing_match(r, SS_LIT("h.example"), SS_LIT("/a/"));
	int second = 0;

	(void)state;
	for (uint64_t i = 0; i < 1000; i++)
		second += !strcmp(routing_pick(r, rt, i)->name, "s2");
	assert_int_equal(second, 100);
	routing_unref(r);
}

struct start_case {
	const char *label, *text; /* the field as JSON; "": absent */
	int64_t started_ms;
	bool item_valid; /* an item of the list with this field */
};

static const struct start_case starts[] = {
	{ "a whole number", "\"born\":1765000000123,", 1765000000123, true },
	{ "absent", "", 0, true },
	{ "of another type", "\"born\":\"1765000000123\",", 0, false },
	{ "not an integer", "\"born\":1765000000123.5,", 0, false },
	{ "negative", "\"born\":-4,", 0, false },
	{ "out of range", "\"born\":1e300,", 0, false },
	{ "null", "\"born\":null,", 0, false },
};

/*
 * A report comes from the engine itself, so only an invalid start time is
 * ignored. An item of the list may come from another program, so an invalid
 * start time makes the item unreadable.
 */
static void start_times_are_read(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(starts); i++) {
		const struct start_case *c = &starts[i];
		char *page = g_strdup_printf(
			"{\"instances\":[{%s\"id\":\"i\",\"service\":\"s\","
			"\"addr\":\"a:1\",\"zone\":\"z\",\"version\":\"v\","
			"\"slots\":1,\"coldLeftMs\":0,\"state\":\"ready\"}],"
			"\"next\":null}",
			c->text);
		char *json = g_strdup_printf(
			"{%s\"seq\":1,\"busy\":false,\"models\":[]}", c->text);
		struct fleet_list out;
		struct fleet_report r;
		char *next = NULL;
		bool read;

		fleet_list_init(&out);
		assert_true(users_platform.read_list(ss_str(page), &out, &next,
						     NULL));
		assert_true(users_platform.read_report(ss_str(json), &r, NULL));
		read = out.instances->len == 1 &&
		       g_array_index(out.instances, struct fleet_instance, 0)
				       .started_ms == c->started_ms;
		if (read != c->item_valid ||
		    out.unreadable->len != (c->item_valid ? 0 : 1) ||
		    r.self.started_ms != c->started_ms)
			fail_msg("%s", c->label);
		fleet_report_clear(&r);
		fleet_list_clear(&out);
		g_free(json);
		g_free(page);
	}
}

struct report_case {
	const char *label, *json;
	bool ok;
	unsigned int held, loading_adapters;
	bool busy;
};

static const struct report_case reports[] = {
	{ "a typical report",
	  "{\"phase\":\"mixed\",\"models\":[{\"name\":\"m\",\"version\":1,"
	  "\"adapters\":[\"a1\"]}],\"busy\":true,\"seq\":2,\"queued\":1,"
	  "\"active\":12,\"kvUsed\":41000,\"kvTotal\":90000,"
	  "\"pending\":[\"m/a2@1\"],\"available\":{\"resident\":[\"m\"],"
	  "\"onDisk\":[\"m\",\"n\"]}}",
	  true, 1, 1, true },
	{ "unknown and invalid fields",
	  "{\"seq\":1,\"models\":[],\"busy\":false,\"active\":\"many\","
	  "\"queued\":null,\"pending\":7,\"available\":[],\"x\":[]}",
	  true, 0, 0, false },
	{ "models that aren't a list",
	  "{\"seq\":1,\"models\":\"none\",\"busy\":false}", false, 0, 0,
	  false },
	{ "no models", "{\"seq\":1,\"busy\":false}", false, 0, 0, false },
	{ "a model without a name",
	  "{\"seq\":1,\"models\":[{\"name\":\"m\"},{}],\"busy\":false}", false,
	  0, 0, false },
	{ "a model name that is invalid UTF-8",
	  "{\"seq\":1,\"models\":[{\"name\":\"\xff\"}],\"busy\":false}", false,
	  0, 0, false },
	{ "adapters that aren't a list",
	  "{\"seq\":1,\"models\":[{\"name\":\"m\",\"adapters\":7}],"
	  "\"busy\":true}",
	  true, 1, 0, true },
	{ "busy of another type", "{\"seq\":1,\"models\":[],\"busy\":7}", false,
	  0, 0, false },
	{ "a count that isn't an integer",
	  "{\"seq\":1.5,\"models\":[],\"busy\":false}", false, 0, 0, false },
	{ "a count out of range",
	  "{\"seq\":1e300,\"models\":[],\"busy\":false}", false, 0, 0, false },
	{ "a count that isn't a number",
	  "{\"seq\":NaN,\"models\":[],\"busy\":false}", false, 0, 0, false },
	{ "an absent count of orders", "{\"models\":[]}", false, 0, 0, false },
	{ "a negative count", "{\"seq\":-1}", false, 0, 0, false },
	{ "truncated", "{\"seq\":1", false, 0, 0, false },
};

static void reports_are_read(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(reports); i++) {
		const struct report_case *c = &reports[i];
		struct fleet_report r;
		GError *error = NULL;
		bool ok =
			users_platform.read_report(ss_str(c->json), &r, &error);

		if (ok != c->ok)
			fail_msg("%s: %d", c->label, ok);
		if (ok && (r.held->len != c->held || r.busy != c->busy ||
			   r.loading_adapters->len != c->loading_adapters))
			fail_msg("%s: read wrongly", c->label);
		if (ok && c->loading_adapters)
			assert_string_equal(r.loading_adapters->pdata[0],
					    "m/a2");
		g_clear_error(&error);
		fleet_report_clear(&r);
	}
}

struct number_case {
	const char *value;
	int64_t running, remaining_ms;
};

/* Both numbers are read, or count as absent if they are invalid. */
static const struct number_case report_numbers[] = {
	{ "12", 12, 12 },
	{ "0", 0, 0 },
	{ "-1", 0, -1 },
	{ "1e300", 0, -1 },
	{ "-1e300", 0, -1 },
	{ "NaN", 0, -1 },
	{ "Infinity", 0, -1 },
	{ "-Infinity", 0, -1 },
	{ "\"NaN\"", 0, -1 },
	{ "2.5", 0, -1 },
	{ "null", 0, -1 },
	{ "[]", 0, -1 },
	{ "{}", 0, -1 },
	{ "true", 0, -1 },
	{ "\"12\"", 0, -1 },
	{ "99999999999999999999", 0, -1 },
	{ "9223372036854775807", 0, -1 },
};

/*
 * Guards against an arbitrary engine load that differs between processors. That
 * happens if a number in a report that doesn't fit an integer is converted
 * without a range check.
 */
static void out_of_range_numbers_are_ignored(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(report_numbers); i++) {
		const struct number_case *c = &report_numbers[i];
		char *json = g_strdup_printf(
			"{\"seq\":1,\"models\":[],\"busy\":false,"
			"\"active\":%s,\"remainingMs\":%s}",
			c->value, c->value);
		struct fleet_report r;

		if (!users_platform.read_report(ss_str(json), &r, NULL))
			fail_msg("%s: refused", c->value);
		if (r.running != c->running ||
		    r.remaining_ms != c->remaining_ms)
			fail_msg("%s: read as %" PRId64 " and %" PRId64,
				 c->value, r.running, r.remaining_ms);
		fleet_report_clear(&r);
		g_free(json);
	}
}

/* Only the state "draining" means that an engine drains. */
static void unknown_states_do_not_drain(void **state)
{
	static const struct {
		const char *value;
		bool draining;
	} rows[] = { { "\"ready\"", false },	    { "\"draining\"", true },
		     { "\"gone\"", false },	    { "7", false },
		     { "\"draining\xff\"", false }, { "null", false } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *json = g_strdup_printf("{\"seq\":1,\"models\":[],"
					     "\"busy\":false,\"state\":%s}",
					     rows[i].value);
		struct fleet_report r;

		assert_true(users_platform.read_report(ss_str(json), &r, NULL));
		if (r.draining != rows[i].draining)
			fail_msg("%s: %d", rows[i].value, r.draining);
		fleet_report_clear(&r);
		g_free(json);
	}
}

static void orders_are_written(void **state)
{
	struct fleet_order o = { .load = true,
				 .model = "m",
				 .adapter = "a3",
				 .expect = 2,
				 .holder = "vm",
				 .fence = 41 };
	GString *s = users_platform.write_order(&o);

	(void)state;
	assert_string_equal(s->str,
			    "{\"op\":\"load\",\"model\":\"m\",\"adapter\":"
			    "\"a3\",\"expect\":2,\"holder\":\"vm\",\"fence\":"
			    "41}");
	g_string_free(s, TRUE);
}

static void order_answers_are_mapped(void **state)
{
	static const struct {
		int status;
		enum fleet_order_answer answer;
	} rows[] = { { 202, FLEET_ORDER_ACCEPTED },
		     { 200, FLEET_ORDER_UNCHANGED },
		     { 409, FLEET_ORDER_BUSY },
		     { 412, FLEET_ORDER_FENCED },
		     { 421, FLEET_ORDER_MISDIRECTED },
		     { 400, FLEET_ORDER_INVALID },
		     { 500, FLEET_ORDER_UNKNOWN },
		     { 0, FLEET_ORDER_UNKNOWN } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		assert_int_equal(users_platform.order_answer(rows[i].status),
				 rows[i].answer);
}

/* Heads are parsed from bytes, as on the wire. */

struct heads {
	struct platform_call call;
	struct platform_answer answer;
	bool call_ok;
	GString *sent;
	const struct platform_request_headers *send;
};

static void on_head(void *arg, const struct http1_head *h)
{
	struct heads *x = arg;

	if (!h->request) {
		users_platform.read_answer(h, &x->answer);
		/* Its strings are views into the head: only their presence may
		 * be checked later. */
		return;
	}
	x->call_ok = users_platform.read_call(h, &x->call, NULL);
	if (x->send)
		users_platform.write_request(x->sent, h, x->send, 3);
}

static void on_body(void *arg, struct ss_str piece)
{
	(void)arg;
	(void)piece;
}

static void on_done(void *arg)
{
	(void)arg;
}

static const struct http1_ops head_ops = { on_head, on_body, on_done };

static void read_head(struct heads *x, bool request, const char *text)
{
	struct http1_options o = {
		.request = request, .head_max = 4096, .ops = &head_ops, .arg = x
	};
	struct http1_reader *r = http1_reader_new(&o);
	struct evbuffer *in = evbuffer_new();

	evbuffer_add(in, text, strlen(text));
	assert_true(http1_read(r, in, NULL));
	evbuffer_free(in);
	http1_reader_free(r);
}

struct call_case {
	const char *label, *headers;
	bool ok;
	int64_t deadline_ms, in, out, after;
};

static const struct call_case calls[] = {
	{ "all headers",
	  "X-Deadline-Ms: 12000\r\nX-Token-Usage: 1460,80\r\n"
	  "Last-Event-Id: 7\r\n",
	  true, 12000, 1460, 80, 7 },
	{ "no headers", "", true, 0, 0, 0, -1 },
	{ "a deadline that isn't a number", "X-Deadline-Ms: soon\r\n", false, 0,
	  0, 0, -1 },
	{ "a negative deadline", "X-Deadline-Ms: -5\r\n", false, 0, 0, 0, -1 },
	{ "one of two token counts", "X-Token-Usage: 12\r\n", false, 0, 12, 0,
	  -1 },
	{ "an event that isn't a number", "Last-Event-Id: x\r\n", false, 0, 0,
	  0, -1 },
};

static void calls_are_read(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
		const struct call_case *c = &calls[i];
		char *text = g_strdup_printf("GET /a HTTP/1.1\r\nHost: h\r\n"
					     "%s\r\n",
					     c->headers);
		struct heads x = { 0 };

		read_head(&x, true, text);
		if (x.call_ok != c->ok)
			fail_msg("%s: %d", c->label, x.call_ok);
		if (c->ok &&
		    (x.call.deadline_ms != c->deadline_ms ||
		     x.call.tokens_in != c->in || x.call.tokens_out != c->out ||
		     x.call.after_event != c->after))
			fail_msg("%s: read wrongly", c->label);
		g_free(text);
	}
}

/* Internal headers of a caller and hop-by-hop headers aren't forwarded; all
 * others are, unchanged. */
static void internal_headers_are_replaced(void **state)
{
	struct platform_request_headers send = { .deadline_ms = 1500,
						 .instance = SS_LIT("i-1"),
						 .priority = 2,
						 .after_event = -1 };
	struct heads x = { .sent = g_string_new(NULL), .send = &send };

	(void)state;
	read_head(&x, true,
		  "POST /p/q?r=1 HTTP/1.1\r\nHost: h.example\r\n"
		  "X-Request-Id: 9c\r\nX-Hold: stolen\r\nX-Pin-Ms: 9\r\n"
		  "Kv-From: x\r\nX-Kv-Backup: y\r\nX-Priority-Class: 0\r\n"
		  "X-Expect-Instance: i-9\r\nX-Deadline-Ms: 99999\r\n"
		  "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: x\r\n"
		  "X-Other: kept\r\nContent-Length: 3\r\n\r\nabc");
	assert_string_equal(
		x.sent->str,
		"POST /p/q?r=1 HTTP/1.1\r\nHost: h.example\r\n"
		"X-Request-Id: 9c\r\nX-Other: kept\r\n"
		"X-Deadline-Ms: 1500\r\nX-Priority-Class: 2\r\n"
		"X-Expect-Instance: i-1\r\nContent-Length: 3\r\n\r\n");
	g_string_free(x.sent, TRUE);
}

struct answer_case {
	const char *label, *text;
	bool not_run, authentic, encoded, has_load;
	int64_t keep_alive_ms;
	double limit_per_s;
	bool draining;
	int64_t backoff_ms;
};

static const struct answer_case answers[] = {
	{ "a signed answer",
	  "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Server-Load: 3,1,8\r\n"
	  "Keep-Alive: timeout=5, max=10\r\nContent-Length: 0\r\n\r\n",
	  false, true, false, true, 5000, -1, false, 0 },
	{ "a full endpoint",
	  "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	  true, false, false, false, 0, -1, false, 0 },
	{ "503 without X-Not-Executed",
	  "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false, false, false,
	  false, 0, -1, false, 0 },
	{ "another incarnation", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n",
	  true, false, false, false, 0, -1, false, 0 },
	{ "an encoded body",
	  "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Encoding: gzip\r\n"
	  "Content-Length: 0\r\n\r\n",
	  false, true, true, false, 0, -1, false, 0 },
	{ "a load with the processing time",
	  "HTTP/1.1 200 OK\r\nX-Signature: s\r\n"
	  "X-Server-Load: 3,1,8,140\r\nContent-Length: 0\r\n\r\n",
	  false, true, false, true, 0, -1, false, 0 },
	{ "an invalid load",
	  "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Server-Load: a,,\r\n"
	  "Keep-Alive: timeout=x\r\nContent-Length: 0\r\n\r\n",
	  false, true, false, false, 0, -1, false, 0 },
	{ "a rate limit",
	  "HTTP/1.1 200 OK\r\nX-Signature: s\r\nServer-Limit: 1.4\r\n"
	  "Content-Length: 0\r\n\r\n",
	  false, true, false, false, 0, 1.4, false, 0 },
	{ "a rate limit in a refusal",
	  "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nserver-limit: 0\r\n"
	  "Content-Length: 0\r\n\r\n",
	  true, false, false, false, 0, 0, false, 0 },
	{ "a rate limit that isn't a number",
	  "HTTP/1.1 200 OK\r\nX-Signature: s\r\nServer-Limit: 2x\r\n"
	  "Content-Length: 0\r\n\r\n",
	  false, true, false, false, 0, -1, false, 0 },
	{ "a draining endpoint",
	  "HTTP/1.1 200 OK\r\nX-Signature: s\r\nServer-Leaving: 1\r\n"
	  "Content-Length: 0\r\n\r\n",
	  false, true, false, false, 0, -1, true, 0 },
	{ "an endpoint that states it isn't draining",
	  "HTTP/1.1 200 OK\r\nX-Signature: s\r\nServer-Leaving: 0\r\n"
	  "Content-Length: 0\r\n\r\n",
	  false, true, false, false, 0, -1, false, 0 },
	{ "a backoff in seconds",
	  "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nRetry-After: 2.5\r\n"
	  "Content-Length: 0\r\n\r\n",
	  true, false, false, false, 0, -1, false, 2500 },
	{ "a backoff with 429",
	  "HTTP/1.1 429 No\r\nX-Not-Executed: 1\r\nRetry-After: 1\r\n"
	  "Content-Length: 0\r\n\r\n",
	  true, false, false, false, 0, -1, false, 1000 },
	{ "a fractional backoff, rounded up",
	  "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nRetry-After: 0.0305\r\n"
	  "Content-Length: 0\r\n\r\n",
	  true, false, false, false, 0, -1, false, 31 },
	{ "a backoff of two days, limited to one",
	  "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nRetry-After: 172800\r\n"
	  "Content-Length: 0\r\n\r\n",
	  true, false, false, false, 0, -1, false, 24 * 3600 * 1000 },
	{ "a backoff that is a date",
	  "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n"
	  "Retry-After: Wed, 21 Oct 2026 07:28:00 GMT\r\n"
	  "Content-Length: 0\r\n\r\n",
	  true, false, false, false, 0, -1, false, 0 },
	{ "a Retry-After with 200",
	  "HTTP/1.1 200 OK\r\nX-Signature: s\r\nRetry-After: 3\r\n"
	  "Content-Length: 0\r\n\r\n",
	  false, true, false, false, 0, -1, false, 0 },
	{ "a rate limit out of range",
	  "HTTP/1.1 200 OK\r\nX-Signature: s\r\nServer-Limit: 1e99\r\n"
	  "Content-Length: 0\r\n\r\n",
	  false, true, false, false, 0, -1, false, 0 },
	{ "a negative rate limit",
	  "HTTP/1.1 200 OK\r\nX-Signature: s\r\nServer-Limit: -1\r\n"
	  "Content-Length: 0\r\n\r\n",
	  false, true, false, false, 0, -1, false, 0 },
};

/* All loads above have the same first three numbers. */
static bool load_is_read(const struct platform_answer *a)
{
	return a->running == 3 && a->waiting == 1 && a->slots == 8;
}

static void answer_headers_are_read(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		const struct answer_case *c = &answers[i];
		struct heads x = { 0 };

		read_head(&x, false, c->text);
		if (x.answer.not_run != c->not_run ||
		    x.answer.authentic != c->authentic ||
		    x.answer.encoded != c->encoded ||
		    x.answer.has_load != c->has_load ||
		    (c->has_load && !load_is_read(&x.answer)) ||
		    x.answer.keep_alive_ms != c->keep_alive_ms ||
		    x.answer.limit_per_s != c->limit_per_s ||
		    x.answer.draining != c->draining ||
		    x.answer.backoff_ms != c->backoff_ms)
			fail_msg("%s: read wrongly", c->label);
	}
}

struct work_case {
	const char *load;
	int64_t percent;
};

/* Guards against accepting a truncated or invalid fourth number of the load,
 * and against discarding the three valid ones before it. */
static void work_time_is_read_or_not_reported(void **state)
{
	static const struct work_case cases[] = {
		{ "3,1,8,140", 140 },
		{ "3,1,8,1000000", 1000000 },
		{ "3,1,8", 0 },
		{ "3,1,8,", 0 },
		{ "3,1,8,-50", 0 },
		{ "3,1,8,1e2", 0 },
		{ "3,1,8,14.5", 0 },
		{ "3,1,8,99999999999999999999", 0 },
		{ "3,1,8,1 40", 0 },
		{ "3,1,8,NaN", 0 },
		{ "3,1,8,120,more", 120 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct work_case *c = &cases[i];
		char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n"
					     "X-Server-Load: %s\r\n"
					     "Content-Length: 0\r\n\r\n",
					     c->load);
		struct heads x = { 0 };

		read_head(&x, false, text);
		if (!x.answer.has_load || !load_is_read(&x.answer) ||
		    x.answer.work_time_percent != c->percent)
			fail_msg("%s: %" PRId64, c->load,
				 x.answer.work_time_percent);
		g_free(text);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(routings_are_checked),
		cmocka_unit_test(limits_are_read),
		cmocka_unit_test(longest_prefix_wins),
		cmocka_unit_test(splits_follow_their_weights),
		cmocka_unit_test(start_times_are_read),
		cmocka_unit_test(reports_are_read),
		cmocka_unit_test(out_of_range_numbers_are_ignored),
		cmocka_unit_test(unknown_states_do_not_drain),
		cmocka_unit_test(orders_are_written),
		cmocka_unit_test(order_answers_are_mapped),
		cmocka_unit_test(calls_are_read),
		cmocka_unit_test(internal_headers_are_replaced),
		cmocka_unit_test(answer_headers_are_read),
		cmocka_unit_test(work_time_is_read_or_not_reported),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
