/*
 * Tests of the configuration document: changes between its versions, the
 * routing table that applies them, and their replication.
 */
#include "unit.h"

#include "../platform/platform.h"
#include "../src/core/routing_update.h"
#include "../src/core/state.h"

#define SERVICES "\"services\":[{\"name\":\"s1\"},{\"name\":\"s2\"}]"
#define ROUTE(n, service)                                                      \
	"{\"name\":\"" n "\",\"host\":\"h.example\",\"prefix\":\"/" n          \
	"/\",\"type\":\"safe\",\"timeoutMs\":10,\"service\":\"" service "\"}"
#define TEXT(version, routes)                                                  \
	"{\"version\":" version ",\"routes\":[" routes "]," SERVICES "}"

static const char *const *lists(void)
{
	return users_platform.routing->lists;
}

/* Changes a document into a text, by a packed change, which is returned. */
static GString *update_document(struct document *d, const char *text,
				uint64_t version)
{
	struct document_patch *n =
		document_compare(d, ss_str(text), lists(), NULL);
	GString *packed, *held;

	if (!n)
		fail_msg("refused: %s", text);
	n->change.version = version;
	packed = document_pack(&n->change);
	document_patch_free(n);
	n = document_unpack(ss_str_gs(packed), NULL);
	assert_non_null(n);
	assert_true(document_apply(d, &n->change, NULL));
	document_patch_free(n);
	held = document_text(d);
	assert_string_equal(held->str, text);
	assert_int_equal(held->len, strlen(text));
	g_string_free(held, TRUE);
	return packed;
}

static const struct {
	const char *label, *before, *after;
	guint pieces; /* maximum number in the change */
} changes[] = {
	{ "only the version", TEXT("1", ROUTE("a", "s1")),
	  TEXT("2", ROUTE("a", "s1")), 1 },
	{ "an item appended", TEXT("1", ROUTE("a", "s1")),
	  TEXT("2", ROUTE("a", "s1") "," ROUTE("b", "s1")), 2 },
	{ "an item prepended", TEXT("1", ROUTE("a", "s1")),
	  TEXT("2", ROUTE("b", "s1") "," ROUTE("a", "s1")), 3 },
	{ "an item inserted", TEXT("1", ROUTE("a", "s1") "," ROUTE("c", "s1")),
	  TEXT("2", ROUTE("a", "s1") "," ROUTE("b", "s1") "," ROUTE("c", "s1")),
	  2 },
	{ "an item replaced", TEXT("1", ROUTE("a", "s1") "," ROUTE("c", "s1")),
	  TEXT("2", ROUTE("a", "s2") "," ROUTE("c", "s1")), 2 },
	{ "an item removed",
	  TEXT("1", ROUTE("a", "s1") "," ROUTE("b", "s1") "," ROUTE("c", "s1")),
	  TEXT("2", ROUTE("a", "s1") "," ROUTE("c", "s1")), 1 },
	{ "all items removed", TEXT("1", ROUTE("a", "s1") "," ROUTE("b", "s1")),
	  TEXT("2", ""), 1 },
	{ "first items", TEXT("1", ""),
	  TEXT("2", ROUTE("a", "s1") "," ROUTE("b", "s1")), 3 },
	{ "two items swapped", TEXT("1", ROUTE("a", "s1") "," ROUTE("b", "s1")),
	  TEXT("2", ROUTE("b", "s1") "," ROUTE("a", "s1")), 3 },
	{ "spaces", TEXT("1", ROUTE("a", "s1") "," ROUTE("b", "s1")),
	  " { \"version\" : 2 , \"routes\" : [ " ROUTE("a", "s1") " ,\n " ROUTE(
		  "b", "s1") " ] , " SERVICES " } ",
	  5 },
	{ "the lists in another order", TEXT("1", ROUTE("a", "s1")),
	  "{" SERVICES ",\"routes\":[" ROUTE("a", "s1") "],\"version\":2}", 6 },
	{ "brackets and quotes in text", TEXT("1", ROUTE("a", "s1")),
	  "{\"version\":2,\"note\":\"]}\\\"[,\",\"routes\":[{\"x\":\"]\\\\\"},"
	  "{\"y\":[1,{\"z\":\"}\"}]}]}",
	  6 },
};

/*
 * Fails if a change doesn't result in the text that operators sent, or carries
 * pieces that the document holds already.
 */
static void changes_reproduce_the_text(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
		struct document *d = document_new();
		struct document_patch *n;
		guint pieces = 0;

		g_string_free(update_document(d, changes[i].before, 1), TRUE);
		n = document_compare(d, ss_str(changes[i].after), lists(),
				     NULL);
		assert_non_null(n);
		for (size_t k = 0; k < n->change.edits.n; k++)
			pieces += (guint)((struct document_edit *)
						  n->change.edits.items)[k]
					  .pieces.n;
		if (pieces > changes[i].pieces)
			fail_msg("%s: %u pieces", changes[i].label, pieces);
		document_patch_free(n);
		g_string_free(update_document(d, changes[i].after, 2), TRUE);
		document_free(d);
	}
}

static const struct {
	const char *label, *text;
} corrupt[] = {
	{ "empty text", "" },
	{ "not an object", "[1]" },
	{ "truncated in an item", "{\"version\":2,\"routes\":[{\"a\":1" },
	{ "truncated in a string", "{\"version\":2,\"routes\":[{\"a\":\"1" },
	{ "truncated after an escape", "{\"version\":2,\"x\":\"1\\" },
	{ "truncated after a list", "{\"version\":2,\"routes\":[{\"a\":1}]" },
	{ "trailing data", "{\"version\":2}}" },
	{ "leading comma", "{\"routes\":[,{\"a\":1}]}" },
	{ "trailing comma", "{\"routes\":[{\"a\":1},]}" },
	{ "two commas", "{\"routes\":[{\"a\":1},,{\"a\":1}]}" },
	{ "missing comma", "{\"routes\":[{\"a\":1}{\"a\":1}]}" },
	{ "duplicate list", "{\"routes\":[],\"routes\":[]}" },
	{ "missing colon", "{\"routes\"[]}" },
};

/* Fails if a text is accepted that isn't one whole JSON object. */
static void corrupt_texts_are_refused(void **state)
{
	struct document *d = document_new();

	(void)state;
	/* The document holds items of the texts, to cover kept items too. */
	g_string_free(update_document(d, "{\"routes\":[{\"a\":1},{\"a\":1}]}",
				      1),
		      TRUE);
	for (size_t i = 0; i < G_N_ELEMENTS(corrupt); i++) {
		GError *error = NULL;

		if (document_compare(d, ss_str(corrupt[i].text), lists(),
				     &error))
			fail_msg("%s was accepted", corrupt[i].label);
		assert_int_equal(error->code, SS_ERROR_BAD_REQUEST);
		g_error_free(error);
	}
	document_free(d);
}

/* A text with the given number of routes, numbered from first on. */
static GString *numbered_routes(uint64_t version, int first, int routes)
{
	GString *s = g_string_new(NULL);

	g_string_append_printf(s, "{\"version\":%" PRIu64 ",\"routes\":[",
			       version);
	for (int i = first; i < first + routes; i++)
		g_string_append_printf(
			s,
			"%s{\"name\":\"r%d\",\"host\":\"h%d.example\","
			"\"prefix\":\"/p%d/\",\"type\":\"safe\","
			"\"timeoutMs\":10,\"service\":\"s%d\"}",
			i > first ? "," : "", i, i % 40, i, i % 2 + 1);
	g_string_append(s, "]," SERVICES "}");
	return s;
}

/* The packed size of a change that adds routes to a document with some. */
static size_t change_bytes(int held, int added)
{
	struct document *d = document_new();
	GString *before = numbered_routes(1, 0, held);
	GString *after = numbered_routes(2, 0, held + added);
	GString *change;
	size_t n;

	g_string_free(update_document(d, before->str, 1), TRUE);
	change = update_document(d, after->str, 2);
	n = change->len;
	g_string_free(change, TRUE);
	g_string_free(before, TRUE);
	g_string_free(after, TRUE);
	document_free(d);
	return n;
}

/* Fails if the size of a change grows with the size of the document. */
static void change_size_is_independent_of_document(void **state)
{
	(void)state;
	assert_true(change_bytes(12000, 1) < 2 * change_bytes(50, 1));
	assert_true(change_bytes(12000, 100) < 2 * change_bytes(50, 100));
}

/* Routing table. */

static bool follow_text(struct routing_follower *w, struct document *d,
			const char *text, uint64_t version, GError **error)
{
	GString *packed = update_document(d, text, version);
	bool ok = routing_follower_add(w, ss_str_gs(packed), error);

	g_string_free(packed, TRUE);
	while (ok && routing_follower_busy(w))
		if (!routing_follower_step(w, error) && error && *error)
			return false;
	return ok;
}

static void assert_same_table(const struct routing *a, const struct routing *b)
{
	GHashTableIter it;
	void *key, *v;

	assert_int_equal(a->version, b->version);
	assert_int_equal(a->route_count, b->route_count);
	assert_int_equal(g_hash_table_size(a->routes_by_key), b->route_count);
	assert_int_equal(a->services->len, b->services->len);
	g_hash_table_iter_init(&it, b->routes_by_key);
	while (g_hash_table_iter_next(&it, &key, &v)) {
		const struct routing_route *x =
			g_hash_table_lookup(a->routes_by_key, key);

		assert_non_null(x);
		assert_string_equal(x->name, ((struct routing_route *)v)->name);
	}
	for (guint i = 0; i < b->services->len; i++) {
		const struct routing_service *s = b->services->pdata[i];
		const struct routing_service *x = routing_service(a, s->name);

		assert_non_null(x);
		assert_int_equal(x->route_shares, s->route_shares);
		assert_int_equal(x->shares_removed, 0);
	}
}

/* A text with random variants of up to 60 routes and 2 services. */
static GString *random_text(uint64_t *seed, uint64_t version)
{
	GString *s = g_string_new(NULL);
	const char *comma = "";
	bool third = ss_random(seed) % 3 == 0;

	g_string_append_printf(s, "{\"version\":%" PRIu64 ",\"routes\":[",
			       version);
	for (int i = 0; i < 60; i++) {
		uint64_t x = ss_random(seed);

		if (x % 10 == 0)
			continue;
		g_string_append_printf(s,
				       "%s{\"name\":\"r%d\",\"host\":\"h\","
				       "\"prefix\":\"/%d/\","
				       "\"type\":\"safe\",\"timeoutMs\":%d,"
				       "\"service\":\"%s\"}",
				       comma, i, i, x % 7 == 0 ? 20 : 10,
				       x % 11 == 0 && third ? "s3" : "s1");
		comma = ",";
	}
	g_string_append_printf(s,
			       "],\"services\":[{\"name\":\"s1\",\"maxConns\""
			       ":%d}%s]}",
			       (int)(ss_random(seed) % 2),
			       third ? ",{\"name\":\"s3\"}" : "");
	return s;
}

/*
 * Fails if a table that applied a series of random changes differs from one
 * that is built from the last text.
 */
static void table_follows_any_series(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 30; seed++) {
		struct routing_follower *w =
			routing_follower_new(users_platform.routing);
		struct document *d = document_new();
		uint64_t random = seed;

		for (uint64_t v = 1; v <= 20; v++) {
			GString *text = random_text(&random, v);
			struct routing *expected = routing_read(
				users_platform.routing, ss_str_gs(text), NULL);

			assert_non_null(expected);
			assert_true(follow_text(w, d, text->str, v, NULL));
			assert_same_table(routing_follower_table(w), expected);
			routing_unref(expected);
			g_string_free(text, TRUE);
		}
		routing_follower_free(w);
		document_free(d);
	}
}

static const struct {
	const char *label, *text;
	const char *error; /* NULL: the change is accepted */
} table_changes[] = {
	{ "two routes with one host and prefix",
	  TEXT("2", ROUTE("a", "s1") "," ROUTE("b", "s1") "," ROUTE("a", "s2")),
	  "has prefix /a/ twice" },
	{ "a missing service", TEXT("2", ROUTE("a", "s1") "," ROUTE("b", "s9")),
	  "no service s9" },
	{ "a removed service that a kept route names",
	  "{\"version\":2,\"routes\":[" ROUTE("a", "s1") "," ROUTE(
		  "b", "s2") "],\"services\":[{\"name\":\"s1\"}]}",
	  "s2" },
	{ "a service listed twice",
	  "{\"version\":2,\"routes\":[" ROUTE(
		  "a",
		  "s1") "],\"services\":[{\"name\":\"s1\"},{\"name\":\"s1\"}]}",
	  "stands twice" },
	{ "a replaced service that kept routes name",
	  "{\"version\":2,\"routes\":[" ROUTE("a", "s1") "," ROUTE(
		  "b", "s2") "],\"services\":[{\"name\":\"s1\",\"maxConns\":9},"
			     "{\"name\":\"s2\"}]}",
	  NULL },
	{ "an invalid item",
	  TEXT("2", ROUTE("a", "s1") "," ROUTE("b", "s2") ",{\"name\":3}"),
	  "routes[2].name" },
	{ "a service and its routes removed",
	  "{\"version\":2,\"routes\":[" ROUTE(
		  "a", "s1") "],\"services\":[{\"name\":\"s1\"}]}",
	  NULL },
	{ "routes in another order",
	  TEXT("2", ROUTE("b", "s2") "," ROUTE("a", "s1")), NULL },
	{ "no version", "{\"routes\":[" ROUTE("a", "s1") "]," SERVICES "}",
	  "version" },
};

/* A series of changes to the customers, each based on the previous one. */
#define CUSTOMER(name, keys) "{\"name\":\"" name "\",\"keys\":[" keys "]}"
#define KEYED(version, customers)                                              \
	"{\"version\":" version                                                \
	",\"routes\":[" ROUTE("a", "s1") "]," SERVICES                         \
					 ",\"tenants\":[" customers "]}"
static const struct {
	const char *label, *text;
	uint64_t version;
	const char *key, *holder; /* customer with the key; NULL: none */
	const char *error;
} customer_changes[] = {
	{ "first customers",
	  KEYED("1", CUSTOMER("a", "\"k1\"") "," CUSTOMER("b", "\"k2\"")), 1,
	  "k2", "b", NULL },
	{ "a key moves to another customer",
	  KEYED("2", CUSTOMER("a", "\"k1\",\"k2\"") "," CUSTOMER("b", "")), 2,
	  "k2", "a", NULL },
	{ "a key moves back as a customer is added",
	  KEYED("3", CUSTOMER("c", "\"k3\"") "," CUSTOMER(
			     "a", "\"k1\"") "," CUSTOMER("b", "\"k2\"")),
	  3, "k2", "b", NULL },
	{ "a customer is removed, another gets its key",
	  KEYED("5", CUSTOMER("c", "\"k3\"") "," CUSTOMER(
			     "b", "\"k2\"") "," CUSTOMER("d", "\"k1\"")),
	  5, "k1", "d", NULL },
	{ "all keys are removed",
	  KEYED("6",
		CUSTOMER("c", "") "," CUSTOMER("b", "") "," CUSTOMER("d", "")),
	  6, "k1", NULL, NULL },
	{ "no customers", KEYED("7", ""), 7, "k1", NULL, NULL },
	{ "customers are added",
	  KEYED("8", CUSTOMER("c", "\"k3\"") "," CUSTOMER("a", "\"k1\"")), 8,
	  "k1", "a", NULL },
	{ "a key of an unchanged customer",
	  KEYED("9",
		CUSTOMER("e", "\"k9\"") "," CUSTOMER(
			"c",
			"\"k3\"") "," CUSTOMER("a",
					       "\"k1\"") "," CUSTOMER("d",
								      "\"k1"
								      "\"")),
	  9, "k1", "a", "tenants[3]: shares a key with tenants[2]" },
};

/* Fails if a key stays with its former customer, or is lost when it moves. */
static void keys_follow_any_series(void **state)
{
	struct routing_follower *w =
		routing_follower_new(users_platform.routing);
	struct routing *r = routing_follower_table(w);
	struct document *d = document_new();

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(customer_changes); i++) {
		const struct customer *c;
		GError *error = NULL;
		bool ok = follow_text(w, d, customer_changes[i].text,
				      customer_changes[i].version, &error);

		if (ok == (customer_changes[i].error != NULL) ||
		    (error &&
		     !strstr(error->message, customer_changes[i].error)))
			fail_msg("%s: %s", customer_changes[i].label,
				 error ? error->message : "accepted");
		if (error && strstr(error->message, "k1"))
			fail_msg("%s: the error contains a key",
				 customer_changes[i].label);
		g_clear_error(&error);
		c = customers_find(&r->customers,
				   ss_str(customer_changes[i].key));
		if (g_strcmp0(c ? c->name : NULL, customer_changes[i].holder))
			fail_msg("%s: %s", customer_changes[i].label,
				 c ? c->name : "-");
		assert_true(r->needs_key);
	}
	routing_follower_free(w);
	document_free(d);
}

/* Fails if agents receive customers' keys, which they don't need. */
static void agents_receive_no_customers(void **state)
{
	struct document *d = document_new();
	struct document_patch *n;
	GString *full;

	(void)state;
	g_string_free(update_document(d, KEYED("1", CUSTOMER("a", "\"k1\"")),
				      1),
		      TRUE);
	full = document_pack_full(d, false);
	n = document_unpack(ss_str_gs(full), NULL);
	assert_non_null(n);
	assert_null(
		g_strstr_len(n->unpacked->str, (gssize)n->unpacked->len, "k1"));
	document_patch_free(n);
	g_string_free(full, TRUE);
	document_free(d);
}

/* Fails if an invalid change is accepted, or modifies the table. */
static void changes_are_checked_before_commit(void **state)
{
	static const char first[] =
		TEXT("1", ROUTE("a", "s1") "," ROUTE("b", "s2"));

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(table_changes); i++) {
		struct routing_follower *w =
			routing_follower_new(users_platform.routing);
		struct routing *before = routing_read(users_platform.routing,
						      ss_str(first), NULL);
		struct document *d = document_new();
		GError *error = NULL;
		bool ok;

		assert_true(follow_text(w, d, first, 1, NULL));
		ok = follow_text(w, d, table_changes[i].text, 2, &error);
		if (ok == (table_changes[i].error != NULL) ||
		    (error && !strstr(error->message, table_changes[i].error)))
			fail_msg("%s: %s", table_changes[i].label,
				 error ? error->message : "accepted");
		if (!ok) {
			assert_same_table(routing_follower_table(w), before);
			assert_int_equal(routing_follower_version(w), 1);
		}
		g_clear_error(&error);
		routing_unref(before);
		routing_follower_free(w);
		document_free(d);
	}
}

/* Fails if a request loses its route and service when a change removes them. */
static void requests_keep_their_route(void **state)
{
	struct routing_follower *w =
		routing_follower_new(users_platform.routing);
	struct routing *r = routing_follower_table(w);
	struct document *d = document_new();
	struct routing_service *s;
	struct routing_route *rt;

	(void)state;
	assert_true(follow_text(w, d, TEXT("1", ROUTE("a", "s1")), 1, NULL));
	rt = routing_route_ref(
		routing_match(r, SS_LIT("h.example"), SS_LIT("/a/x")));
	s = routing_service_ref(routing_pick(r, rt, 0));
	assert_true(follow_text(
		w, d,
		"{\"version\":2,\"routes\":[],\"services\":[{\"name\":"
		"\"s2\"}]}",
		2, NULL));
	assert_null(routing_match(r, SS_LIT("h.example"), SS_LIT("/a/x")));
	assert_string_equal(rt->name, "a");
	assert_string_equal(s->name, "s1");
	routing_route_unref(rt);
	routing_service_unref(s);
	routing_follower_free(w);
	document_free(d);
}

static guint reads;

static struct routing_route *
read_counted_route(struct ss_str text, const char *path, GError **error)
{
	reads++;
	return users_platform.routing->read_route(text, path, error);
}

/* Guards against blocking the event loop while many routes are parsed. */
static void few_items_are_read_at_a_time(void **state)
{
	struct routing_format f = *users_platform.routing;
	struct routing_follower *w;
	struct document *d = document_new();
	GString *text = numbered_routes(1, 0, 12000), *packed;
	guint all = 0;

	(void)state;
	f.read_route = read_counted_route;
	w = routing_follower_new(&f);
	packed = update_document(d, text->str, 1);
	assert_true(routing_follower_add(w, ss_str_gs(packed), NULL));
	while (routing_follower_busy(w)) {
		reads = 0;
		routing_follower_step(w, NULL);
		assert_true(reads <= ROUTING_ITEMS_PER_STEP);
		all += reads;
	}
	assert_int_equal(all, 12000);
	assert_int_equal(routing_follower_table(w)->route_count, 12000);
	g_string_free(packed, TRUE);
	g_string_free(text, TRUE);
	routing_follower_free(w);
	document_free(d);
}

/* Fails if a change is queued that is truncated or has another base. */
static void inapplicable_changes_are_refused(void **state)
{
	struct routing_follower *w =
		routing_follower_new(users_platform.routing);
	struct document *d = document_new();
	GString *one = update_document(d, TEXT("1", ROUTE("a", "s1")), 1);
	GString *two = update_document(d, TEXT("2", ROUTE("b", "s1")), 2);
	GString *three = update_document(d, TEXT("3", ROUTE("c", "s1")), 3);
	GError *error = NULL;

	(void)state;
	assert_true(routing_follower_add(w, ss_str_gs(one), NULL));
	assert_false(routing_follower_add(w, ss_str_gs(three), &error));
	assert_int_equal(error->code, SS_ERROR_FRAME);
	g_clear_error(&error);
	assert_int_equal(routing_follower_version(w), 1);
	assert_true(routing_follower_add(w, ss_str_gs(two), NULL));
	g_string_truncate(three, three->len - 1);
	assert_false(routing_follower_add(w, ss_str_gs(three), &error));
	assert_int_equal(error->code, SS_ERROR_FRAME);
	g_clear_error(&error);
	while (routing_follower_busy(w))
		routing_follower_step(w, NULL);
	assert_int_equal(routing_follower_table(w)->version, 2);
	g_string_free(one, TRUE);
	g_string_free(two, TRUE);
	g_string_free(three, TRUE);
	routing_follower_free(w);
	document_free(d);
}

/* Replicated state. */

static int64_t apply(struct ss_state *s, const struct routing_rec *rec,
		     uint64_t *version)
{
	struct command c = { .kind = COMMAND_ROUTING_PUT,
			     .routing = (struct routing_rec *)rec };
	GString *bytes = ss_command_encode(&c);
	struct command_result r;

	ss_state_apply(s, 1, ss_str_gs(bytes), &r);
	g_string_free(bytes, TRUE);
	*version = r.version;
	return r.code;
}

static int64_t apply_text(struct ss_state *s, const char *text,
			  uint64_t version, struct document *base)
{
	struct document_patch *n = document_compare(
		base ? base : ss_state_routing(s), ss_str(text), lists(), NULL);
	struct routing_rec rec = { .version = version };
	GString *packed;
	int64_t code;

	n->change.version = version;
	packed = document_pack(&n->change);
	rec.change = ss_str_gs(packed);
	code = apply(s, &rec, &version);
	document_patch_free(n);
	g_string_free(packed, TRUE);
	return code;
}

static void assert_text(const struct ss_state *s, const char *text)
{
	GString *held = document_text(ss_state_routing(s));

	assert_string_equal(held->str, text);
	g_string_free(held, TRUE);
}

/*
 * Guards against a document that no operator sent: of two changes with the same
 * base version, the second must not be applied to the result of the first.
 */
static void conflicting_change_is_refused(void **state)
{
	struct ss_state *s = ss_state_new();
	struct document *one = document_new();

	(void)state;
	g_string_free(update_document(one, TEXT("1", ""), 1), TRUE);
	assert_int_equal(apply_text(s, TEXT("1", ""), 1, NULL), 0);
	assert_int_equal(apply_text(s, TEXT("2", ROUTE("a", "s1")), 2, one), 0);
	assert_int_equal(apply_text(s, TEXT("3", ROUTE("b", "s1")), 3, one),
			 SS_ERROR_CONFLICT);
	assert_text(s, TEXT("2", ROUTE("a", "s1")));
	assert_int_equal(apply_text(s, TEXT("3", ROUTE("b", "s1")), 3, NULL),
			 0);
	/* A change to an older version is ignored, and not refused. */
	assert_int_equal(apply_text(s, TEXT("2", ROUTE("a", "s1")), 2, one), 0);
	assert_text(s, TEXT("3", ROUTE("b", "s1")));
	document_free(one);
	ss_state_free(s);
}

/* Fails if the full text of a record in an old log isn't applied, or a change
 * can't be based on it. */
static void full_texts_of_old_logs_are_applied(void **state)
{
	static const char old[] = TEXT("4", ROUTE("a", "s1"));
	struct routing_rec rec = { .version = 4, .body = SS_LIT(old) };
	struct ss_state *s = ss_state_new();
	struct routing_follower *w =
		routing_follower_new(users_platform.routing);
	uint64_t version;
	GString *full;

	(void)state;
	assert_int_equal(apply(s, &rec, &version), 0);
	assert_int_equal(version, 4);
	assert_text(s, old);
	full = document_pack_full(ss_state_routing(s), true);
	assert_true(routing_follower_add(w, ss_str_gs(full), NULL));
	while (routing_follower_busy(w))
		routing_follower_step(w, NULL);
	assert_int_equal(routing_follower_table(w)->route_count, 1);
	assert_int_equal(apply_text(s, TEXT("5", ROUTE("b", "s1")), 5, NULL),
			 0);
	assert_text(s, TEXT("5", ROUTE("b", "s1")));
	g_string_free(full, TRUE);
	routing_follower_free(w);
	ss_state_free(s);
}

/*
 * Fails if a snapshot loses the version of the services, on which all members
 * of the group have to agree.
 */
static void snapshots_keep_the_routing(void **state)
{
	static const char last[] =
		TEXT("3", ROUTE("a", "s1") "," ROUTE("b", "s1"));
	struct ss_state *s = ss_state_new(), *copy = ss_state_new();
	GString *snapshot;

	(void)state;
	assert_int_equal(apply_text(s, TEXT("1", ""), 1, NULL), 0);
	assert_int_equal(apply_text(s, TEXT("2", ROUTE("a", "s1")), 2, NULL),
			 0);
	assert_int_equal(apply_text(s, last, 3, NULL), 0);
	assert_int_equal(document_services_version(ss_state_routing(s)), 1);
	snapshot = ss_state_snapshot(s);
	assert_true(ss_state_restore(copy, ss_str_gs(snapshot)));
	assert_text(copy, last);
	assert_int_equal(document_version(ss_state_routing(copy)), 3);
	assert_int_equal(document_services_version(ss_state_routing(copy)), 1);
	g_string_free(snapshot, TRUE);
	ss_state_free(s);
	ss_state_free(copy);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(changes_reproduce_the_text),
		cmocka_unit_test(corrupt_texts_are_refused),
		cmocka_unit_test(change_size_is_independent_of_document),
		cmocka_unit_test(table_follows_any_series),
		cmocka_unit_test(changes_are_checked_before_commit),
		cmocka_unit_test(keys_follow_any_series),
		cmocka_unit_test(agents_receive_no_customers),
		cmocka_unit_test(requests_keep_their_route),
		cmocka_unit_test(few_items_are_read_at_a_time),
		cmocka_unit_test(inapplicable_changes_are_refused),
		cmocka_unit_test(conflicting_change_is_refused),
		cmocka_unit_test(full_texts_of_old_logs_are_applied),
		cmocka_unit_test(snapshots_keep_the_routing),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
