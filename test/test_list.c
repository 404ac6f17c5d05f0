/* Tests of reading the list of endpoints, and of which endpoints it reports as
 * present, unreadable or gone. */
#include "unit.h"

#include "../platform/platform.h"

#define ITEM(id, addr)                                                         \
	"{\"service\":\"s\",\"addr\":\"" addr "\",\"zone\":\"z\","             \
	"\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","                  \
	"\"coldLeftMs\":0,\"phase\":\"mixed\",\"models\":[{\"name\":\"m\","    \
	"\"version\":1,\"adapters\":[]}],\"id\":\"" id "\"}"
#define ONE ITEM("i-1", "10.0.0.1:80")
#define TWO ITEM("i-2", "10.0.0.2:80")
#define THREE ITEM("i-3", "10.0.0.3:80")
#define PAGE(items, next) "{\"instances\":[" items "],\"next\":" next "}"

/* Returns the ids of the instances in a list, each followed by a space. */
static char *ids_of(const struct fleet_list *l)
{
	GString *out = g_string_new(NULL);

	for (guint i = 0; i < l->instances->len; i++)
		g_string_append_printf(out, "%s ",
				       g_array_index(l->instances,
						     struct fleet_instance, i)
					       .id);
	return g_string_free(out, FALSE);
}

static const struct fleet_unreadable *unreadable(const struct fleet_list *l,
						 guint i)
{
	return &g_array_index(l->unreadable, struct fleet_unreadable, i);
}

static void valid_items_are_read(void **state)
{
	static const char json[] =
		PAGE("{\"id\":\"i-9\",\"service\":\"s\",\"addr\":\"a:1\","
		     "\"zone\":\"z\",\"version\":\"v\",\"slots\":7,"
		     "\"state\":\"draining\",\"coldLeftMs\":12.5,\"new\":{},"
		     "\"models\":[{\"name\":\"m\"},{\"name\":\"n\"}]}," ONE,
		     "\"p-2\"");
	const struct fleet_instance *x;
	struct fleet_list l;
	char *next;

	(void)state;
	fleet_list_init(&l);
	assert_true(users_platform.read_list(SS_LIT(json), &l, &next, NULL));
	assert_int_equal(l.instances->len, 2);
	assert_int_equal(l.unreadable->len, 0);
	assert_true(l.complete && !l.torn);
	assert_string_equal(next, "p-2");
	x = &g_array_index(l.instances, struct fleet_instance, 0);
	assert_string_equal(x->id, "i-9");
	assert_string_equal(x->service, "s");
	assert_string_equal(x->addr, "a:1");
	assert_string_equal(x->domain, "z");
	assert_int_equal(x->slots, 7);
	assert_true(x->draining);
	assert_int_equal(x->models->len, 2);
	assert_string_equal(x->models->pdata[1], "n");
	assert_false(
		g_array_index(l.instances, struct fleet_instance, 1).draining);
	g_free(next);
	fleet_list_clear(&l);
}

/* Invalid values of a field, as JSON; "": the field is absent. */
struct field_case {
	const char *key;
	const char *values[16];
};

static const struct field_case field_cases[] = {
	{ "id",
	  { "", "null", "true", "7", "[]", "{}", "\"\"", "\"a b\"", "\"a\\nb\"",
	    "\"\xff\xfe\"", "\"a\\u0000b\"" } },
	{ "service",
	  { "", "null", "false", "7", "[]", "{}", "\"\"", "\"\xc3\"" } },
	{ "addr",
	  { "", "null", "true", "7", "[]", "{}", "\"\"", "\"10.0.0.2\"",
	    "\"10.0.0.2:\"", "\":80\"", "\"10.0.0.2:0\"", "\"10.0.0.2:99999\"",
	    "\"10.0.0.2:8x\"", "\"\xff:80\"" } },
	{ "zone", { "", "null", "true", "7", "[]", "{}", "\"\x80\"" } },
	{ "version", { "", "null", "true", "7", "[]", "{}", "\"\xf0\x9f\"" } },
	{ "slots",
	  { "", "null", "true", "\"4\"", "[]", "{}", "0", "-1", "2.5", "1e300",
	    "-1e300", "NaN", "Infinity", "99999999999999999999999" } },
	{ "state",
	  { "", "null", "true", "7", "[]", "{}", "\"\"", "\"gone\"",
	    "\"Ready\"", "\"ready\\u0000\"" } },
	{ "coldLeftMs",
	  { "", "null", "true", "\"0\"", "[]", "{}", "NaN", "1e300" } },
	{ "phase", { "null", "7", "[]", "\"\xff\"" } },
	{ "models",
	  { "null", "7", "\"m\"", "{}", "[7]", "[\"m\"]", "[{}]",
	    "[{\"name\":7}]", "[{\"name\":\"\xff\"}]" } },
};

/* Returns an item i-2 at 10.0.0.2:80 in which one field has this value. */
static char *item_with(const char *key, const char *value)
{
	static const char *const rest[][2] = {
		{ "id", "\"i-2\"" },	       { "service", "\"s\"" },
		{ "addr", "\"10.0.0.2:80\"" }, { "zone", "\"z\"" },
		{ "version", "\"v1\"" },       { "slots", "4" },
		{ "state", "\"ready\"" },      { "coldLeftMs", "0" },
	};
	GString *out = g_string_new("{");

	if (*value)
		g_string_append_printf(out, "\"%s\":%s,", key, value);
	for (size_t i = 0; i < G_N_ELEMENTS(rest); i++)
		if (strcmp(rest[i][0], key))
			g_string_append_printf(out, "\"%s\":%s,", rest[i][0],
					       rest[i][1]);
	g_string_append(out, "\"x\":0}");
	return g_string_free(out, FALSE);
}

static void check_invalid_field(const char *key, const char *value)
{
	char *item = item_with(key, value);
	char *page = g_strdup_printf(PAGE(ONE ",%s," THREE, "\"p-2\""), item);
	struct fleet_list l;
	char *next = NULL, *ids;

	fleet_list_init(&l);
	if (!users_platform.read_list(ss_str(page), &l, &next, NULL))
		fail_msg("%s %s: the page was refused", key, value);
	ids = ids_of(&l);
	if (strcmp(ids, "i-1 i-3 "))
		fail_msg("%s %s: instances are %s", key, value, ids);
	if (g_strcmp0(next, "p-2") || !l.complete || l.torn)
		fail_msg("%s %s: next %s", key, value, next);
	if (l.unreadable->len != 1 ||
	    !g_str_has_prefix(unreadable(&l, 0)->why, key))
		fail_msg("%s %s: the reason is missing", key, value);
	if (g_strcmp0(unreadable(&l, 0)->id,
		      strcmp(key, "id") ? "i-2" : NULL) ||
	    g_strcmp0(unreadable(&l, 0)->addr,
		      strcmp(key, "addr") ? "10.0.0.2:80" : NULL))
		fail_msg("%s %s: attributed to another endpoint", key, value);
	g_free(ids);
	g_free(next);
	g_free(page);
	g_free(item);
	fleet_list_clear(&l);
}

/*
 * Guards against losing all endpoints, so that every caller is refused, when
 * another program writes an item to the list in which a field is missing, of
 * another type or out of range. That happens if one such item invalidates the
 * whole list.
 */
static void invalid_item_affects_no_other(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(field_cases); i++)
		for (const char *const *v = field_cases[i].values; *v; v++)
			check_invalid_field(field_cases[i].key, *v);
}

struct page_case {
	const char *label, *json;
	const char *ids; /* NULL: not a page */
	int unreadable;
	const char *next;
	bool complete, torn;
};

static const struct page_case pages[] = {
	{ "the last page", PAGE(ONE, "null"), "i-1 ", 0, NULL, true, false },
	{ "a page before another", PAGE("", "\"p-2\""), "", 0, "p-2", true,
	  false },
	{ "no valid item", PAGE("{},7,null,[],\"x\"", "null"), "", 5, NULL,
	  true, false },
	{ "no list", "{\"next\":null}", NULL, 0, NULL, true, false },
	{ "a list of another type", "{\"instances\":{},\"next\":null}", NULL, 0,
	  NULL, true, false },
	{ "an empty body", "", NULL, 0, NULL, true, false },
	{ "an HTML page", "<html>oops</html>", NULL, 0, NULL, true, false },
	{ "no token", "{\"instances\":[" ONE "]}", "i-1 ", 0, NULL, false,
	  false },
	{ "a token that is a number", PAGE(ONE, "7"), "i-1 ", 0, NULL, false,
	  false },
	{ "a token that is a list", PAGE(ONE, "[]"), "i-1 ", 0, NULL, false,
	  false },
	{ "an empty token", PAGE(ONE, "\"\""), "i-1 ", 0, NULL, false, false },
	{ "a token that is invalid UTF-8", PAGE(ONE, "\"p\xff\""), "i-1 ", 0,
	  NULL, false, false },
	{ "an item without its end",
	  PAGE(ONE ",{\"id\":\"i-2\",\"service\":\"s\"," THREE, "\"p-2\""),
	  "i-1 i-3 ", 1, "p-2", true, true },
	{ "an item that ends within a string",
	  PAGE(ONE ",{\"id\":\"i-2\",\"addr\":\"10.0.0." THREE, "\"p-2\""),
	  "i-1 i-3 ", 1, "p-2", true, true },
	{ "an item that ends after a backslash",
	  PAGE(ONE ",{\"id\":\"i-2\",\"addr\":\"10\\}," THREE, "\"p-2\""),
	  "i-1 i-3 ", 1, "p-2", true, true },
	{ "an item without its beginning",
	  PAGE(ONE ",vice\":\"s\",\"id\":\"i-2\"}," THREE, "\"p-2\""),
	  "i-1 i-3 ", 1, "p-2", true, true },
	{ "an item that lost the end of its models",
	  PAGE(ONE ",{\"id\":\"i-2\",\"models\":[{\"name\":\"m\"}," THREE,
	       "\"p-2\""),
	  "i-1 i-3 ", 1, "p-2", true, true },
	{ "an item whose torn models seem to end the list",
	  PAGE(ONE ",{\"addr\":\"10.0.0.2:80\",\"x:[{x\":\"m\"}],"
		   "\"id\":\"i-2\"}," THREE,
	       "\"p-2\""),
	  "i-1 i-3 ", 2, "p-2", true, true },
	{ "bytes instead of an item",
	  PAGE(ONE ",\xff\xfe\x80\x01," THREE, "\"p-2\""), "i-1 i-3 ", 1, "p-2",
	  true, true },
	{ "the first item is torn", PAGE("{\"id\":\"i-1\"," TWO, "\"p-2\""),
	  "i-2 ", 1, "p-2", true, true },
	{ "the last item is torn",
	  PAGE(ONE ",{\"id\":\"i-2\",\"addr\":\"1", "\"p-2\""), "i-1 ", 1,
	  "p-2", true, true },
	{ "a torn page that is the last", PAGE("{\"id\":," TWO, "null"), "i-2 ",
	  1, NULL, true, true },
	{ "one item is torn, another is invalid",
	  PAGE("{\"id\":," TWO ",{\"id\":\"i-3\"}", "\"p-2\""), "i-2 ", 2,
	  "p-2", true, true },
	{ "only the last byte of the page is missing",
	  "{\"instances\":[" ONE "],\"next\":null", "i-1 ", 0, NULL, false,
	  false },
	{ "truncated within an item", "{\"instances\":[" ONE ",{\"id\":\"i",
	  "i-1 ", 1, NULL, false, true },
	{ "truncated between two items", "{\"instances\":[" ONE ",", "i-1 ", 0,
	  NULL, false, false },
	{ "truncated, with the token before the list",
	  "{\"next\":\"p-2\",\"instances\":[" ONE, "i-1 ", 0, NULL, false,
	  false },
	{ "torn, with the token before the list",
	  "{\"next\":\"p-2\",\"instances\":[{\"id\":," ONE "]}", "i-1 ", 1,
	  "p-2", true, true },
	{ "truncated within the token",
	  "{\"instances\":[" ONE "],\"next\":\"p-", "i-1 ", 0, NULL, false,
	  false },
	{ "only torn fragments", "{\"instances\":[{{{[[\"", "", 1, NULL, false,
	  true },
};

/*
 * Guards against dropping all endpoints, or those on the pages after one, when
 * an item is torn in the middle so that its page isn't JSON, or when the token
 * of the next page can't be read. That happens if the page as a whole is
 * refused, or is taken for the last one.
 */
static void torn_pages_keep_valid_items(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
		const struct page_case *c = &pages[i];
		GError *error = NULL;
		struct fleet_list l;
		char *next, *ids;
		bool ok;

		fleet_list_init(&l);
		ok = users_platform.read_list(ss_str(c->json), &l, &next,
					      &error);
		ids = ids_of(&l);
		if (ok != (c->ids != NULL))
			fail_msg("%s: %d", c->label, ok);
		if (!ok && error->code != SS_ERROR_BAD_REQUEST)
			fail_msg("%s: %s", c->label, error->message);
		if (ok && (strcmp(ids, c->ids) || g_strcmp0(next, c->next) ||
			   (int)l.unreadable->len != c->unreadable ||
			   l.complete != c->complete || l.torn != c->torn))
			fail_msg("%s: read %s, unreadable %u, next %s, "
				 "complete %d, torn %d",
				 c->label, ids, l.unreadable->len, next,
				 l.complete, l.torn);
		g_clear_error(&error);
		g_free(ids);
		g_free(next);
		fleet_list_clear(&l);
	}
}

/* A torn fragment with an id or address is attributed to that endpoint. */
static void torn_item_is_attributed(void **state)
{
	static const char json[] = PAGE(
		"{\"id\":\"i-1\",\"addr\":\"10.0.0.1:80\",\"zo," TWO, "null");
	struct fleet_list l;
	char *next;

	(void)state;
	fleet_list_init(&l);
	assert_true(users_platform.read_list(SS_LIT(json), &l, &next, NULL));
	assert_string_equal(unreadable(&l, 0)->id, "i-1");
	assert_string_equal(unreadable(&l, 0)->addr, "10.0.0.1:80");
	fleet_list_clear(&l);
}

/* What a list reports of the endpoint i-1 at a:1, which none of its instances
 * names. */
struct presence_case {
	const char *label;
	struct {
		const char *id, *addr;
	} unreadable[2];
	int n;
	bool complete, torn;
	int64_t unread_ms;
	enum fleet_presence presence;
};

static const struct presence_case presences[] = {
	{ "nothing is unreadable", { { 0 } }, 0, true, false, 0, FLEET_GONE },
	{ "its own unreadable item, by its id",
	  { { "i-1", NULL } },
	  1,
	  true,
	  false,
	  10 * FLEET_UNREADABLE_GRACE_MS,
	  FLEET_UNREADABLE },
	{ "its own unreadable item, by its address",
	  { { NULL, "a:1" } },
	  1,
	  true,
	  false,
	  10 * FLEET_UNREADABLE_GRACE_MS,
	  FLEET_UNREADABLE },
	{ "its address under another id",
	  { { "i-7", "a:1" } },
	  1,
	  true,
	  false,
	  0,
	  FLEET_UNREADABLE },
	{ "unreadable items of others",
	  { { "i-2", "a:2" }, { "i-3", NULL } },
	  2,
	  true,
	  false,
	  0,
	  FLEET_GONE },
	{ "an item of an unknown endpoint",
	  { { "i-2", "a:2" }, { NULL, NULL } },
	  2,
	  true,
	  false,
	  FLEET_UNREADABLE_GRACE_MS - 1,
	  FLEET_UNREADABLE },
	{ "an item of an unknown endpoint, for too long",
	  { { NULL, NULL } },
	  1,
	  true,
	  false,
	  FLEET_UNREADABLE_GRACE_MS,
	  FLEET_GONE },
	{ "a torn fragment that names another, and may contain more",
	  { { "i-2", NULL } },
	  1,
	  true,
	  true,
	  0,
	  FLEET_UNREADABLE },
	{ "an incomplete list", { { 0 } }, 0, false, false, 0, FLEET_UNKNOWN },
	{ "an incomplete list, for long",
	  { { NULL, NULL } },
	  1,
	  false,
	  true,
	  10 * FLEET_UNREADABLE_GRACE_MS,
	  FLEET_UNKNOWN },
	{ "an incomplete list, with its own unreadable item",
	  { { "i-1", "a:1" } },
	  1,
	  false,
	  false,
	  0,
	  FLEET_UNREADABLE },
};

/*
 * Guards against taking a working engine for gone, so that its models are
 * loaded again elsewhere and its connections closed, while its item in the
 * list is corrupt. That happens if an unreadable item counts as absent.
 */
static void unreadable_is_not_gone(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(presences); i++) {
		const struct presence_case *c = &presences[i];
		struct fleet_list l;
		enum fleet_presence got;

		fleet_list_init(&l);
		l.complete = c->complete;
		l.torn = c->torn;
		for (int k = 0; k < c->n; k++)
			fleet_list_add_unreadable(
				&l, g_strdup(c->unreadable[k].id),
				g_strdup(c->unreadable[k].addr), g_strdup("x"));
		got = fleet_list_presence(&l, "i-1", "a:1", c->unread_ms);
		if (got != c->presence)
			fail_msg("%s: %d", c->label, got);
		fleet_list_clear(&l);
	}
}

struct conflict_case {
	const char *label;
	const char *items[3]; /* "id addr service" */
	const char *ids;      /* of the remaining ones */
};

static const struct conflict_case conflict_cases[] = {
	{ "all of configured services",
	  { "i-1 a:1 web", "i-2 a:2 lm" },
	  "i-1 i-2 " },
	{ "an unconfigured service without a conflict",
	  { "i-1 a:1 web", "i-2 a:2 other" },
	  "i-1 i-2 " },
	{ "an item of an unconfigured service has the same address",
	  { "i-1 a:1 web", "i-2 a:1 other" },
	  "i-1 " },
	{ "an item of an unconfigured service has the same id, and is first",
	  { "i-1 a:2 other", "i-1 a:1 web" },
	  "i-1 " },
	{ "neither service is configured",
	  { "i-1 a:1 other", "i-2 a:1 third" },
	  "i-1 i-2 " },
	{ "both are configured: a list that lags has two incarnations",
	  { "i-1 a:1 web", "i-2 a:1 web" },
	  "i-1 i-2 " },
};

static void add_item(struct fleet_list *l, const char *text)
{
	char **part = g_strsplit(text, " ", 3);
	struct fleet_instance x = { .id = g_strdup(part[0]),
				    .addr = g_strdup(part[1]),
				    .service = g_strdup(part[2]),
				    .models = g_ptr_array_new_with_free_func(
					    g_free) };

	g_array_append_val(l->instances, x);
	g_strfreev(part);
}

/*
 * Guards against an endpoint that gets no more work although the list has it as
 * ready, after another program wrote an item with the same address and a
 * service that isn't configured. That happens if the later item replaces the
 * first.
 */
static void configured_services_take_precedence(void **state)
{
	struct routing *r = routing_read(
		users_platform.routing,
		SS_LIT("{\"version\":1,\"routes\":[],\"services\":["
		       "{\"name\":\"web\"},{\"name\":\"lm\"}]}"),
		NULL);

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(conflict_cases); i++) {
		const struct conflict_case *c = &conflict_cases[i];
		struct fleet_list l;
		char *ids;

		fleet_list_init(&l);
		for (int k = 0; k < 3 && c->items[k]; k++)
			add_item(&l, c->items[k]);
		fleet_list_drop_conflicts(&l, NULL);
		fleet_list_drop_conflicts(&l, r);
		ids = ids_of(&l);
		if (strcmp(ids, c->ids))
			fail_msg("%s: %s", c->label, ids);
		g_free(ids);
		fleet_list_clear(&l);
	}
	assert_true(fleet_service_corrupt(r, "web", "other"));
	assert_false(fleet_service_corrupt(r, "web", "lm"));
	assert_false(fleet_service_corrupt(r, "third", "other"));
	assert_false(fleet_service_corrupt(NULL, "web", "other"));
	routing_unref(r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(valid_items_are_read),
		cmocka_unit_test(invalid_item_affects_no_other),
		cmocka_unit_test(torn_pages_keep_valid_items),
		cmocka_unit_test(torn_item_is_attributed),
		cmocka_unit_test(unreadable_is_not_gone),
		cmocka_unit_test(configured_services_take_precedence),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
