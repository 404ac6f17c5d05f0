/* Polls of the list of endpoints over loopback, page by page. */
#include "unit.h"

#include "../platform/platform.h"
#include "../src/base/log.h"
#include "../src/net/addr.h"
#include "../src/net/http.h"
#include "../src/vmlist/instances.h"

#include <event2/http.h>
#include <unistd.h>

#define WAIT_ROUNDS 4000 /* of 1 ms, before the test fails */
#define PAGES 3
#define LOG_BYTES (64 << 10)

#define ITEM(id)                                                               \
	"{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\","          \
	"\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","                  \
	"\"coldLeftMs\":0,\"id\":\"" id "\"}"
#define PAGE(items, next) "{\"instances\":[" items "],\"next\":" next "}"

struct fixture {
	struct event_base *base;
	struct evhttp *server;
	struct metrics *metrics;
	struct instances *list;
	const char *const *pages; /* by the last digit of the token, from 1 */
	int polls;		  /* completed */
	GString *ids;		  /* of the last poll */
	bool complete;		  /* the last poll */
};

static void on_request(struct evhttp_request *req, void *arg)
{
	struct fixture *f = arg;
	const char *uri = evhttp_request_get_uri(req);
	const char *token = strstr(uri, "pageToken=p-");
	int page = token ? atoi(strrchr(token, '-') + 1) : 1;

	if (page > PAGES || !f->pages[page - 1])
		http_reply(req, 500, "text/plain", SS_LIT("no"));
	else
		http_reply(req, 200, "application/json",
			   ss_str(f->pages[page - 1]));
}

static void on_list(void *arg, struct fleet_list *list)
{
	struct fixture *f = arg;

	f->polls++;
	f->complete = list->complete;
	g_string_truncate(f->ids, 0);
	for (guint i = 0; i < list->instances->len; i++)
		g_string_append_printf(f->ids, "%s ",
				       g_array_index(list->instances,
						     struct fleet_instance, i)
					       .id);
}

static void start_fixture(struct fixture *f, const char *const *pages)
{
	struct instances_options o = { .platform = &users_platform,
				       .poll_interval_ms = 1,
				       .list = on_list,
				       .arg = f };
	struct evhttp_bound_socket *s;
	char addr[32];

	memset(f, 0, sizeof(*f));
	f->pages = pages;
	f->ids = g_string_new(NULL);
	f->base = event_base_new();
	f->metrics = metrics_new();
	f->server = evhttp_new(f->base);
	s = evhttp_bind_socket_with_handle(f->server, "127.0.0.1", 0);
	assert_non_null(s);
	evhttp_set_gencb(f->server, on_request, f);
	g_snprintf(addr, sizeof(addr), "127.0.0.1:%u",
		   addr_port(evhttp_bound_socket_get_fd(s)));
	o.base = f->base;
	o.metrics = f->metrics;
	o.addr = addr;
	f->list = instances_new(&o);
	instances_set_polling(f->list, true);
}

static void run_loop(struct fixture *f)
{
	struct timeval ms = { 0, 1000 };

	event_base_loopexit(f->base, &ms);
	event_base_loop(f->base, EVLOOP_ONCE);
}

static void await_polls(struct fixture *f, int n)
{
	for (int i = 0; f->polls < n; i++) {
		if (i == WAIT_ROUNDS)
			fail_msg("%d polls completed, not %d", f->polls, n);
		run_loop(f);
	}
}

static void stop_fixture(struct fixture *f)
{
	instances_free(f->list);
	/* A request in flight frees the list in its callback. */
	for (int i = 0; i < 50; i++)
		run_loop(f);
	evhttp_free(f->server);
	metrics_free(f->metrics);
	event_base_free(f->base);
	g_string_free(f->ids, TRUE);
}

struct list_case {
	const char *label;
	const char *pages[PAGES];
	const char *ids;
	bool complete;
	uint64_t unreadable, incomplete; /* counts of one poll */
};

static const struct list_case cases[] = {
	{ "two pages",
	  { PAGE(ITEM("i-1"), "\"p-2\""), PAGE(ITEM("i-2"), "null") },
	  "i-1 i-2 ",
	  true,
	  0,
	  0 },
	{ "invalid items on both pages",
	  { PAGE("{}," ITEM("i-1"), "\"p-2\""),
	    PAGE(ITEM("i-2") ",{},7", "null") },
	  "i-1 i-2 ",
	  true,
	  3,
	  0 },
	{ "a torn page before a valid one",
	  { PAGE("{\"id\":," ITEM("i-1"), "\"p-2\""),
	    PAGE(ITEM("i-2"), "null") },
	  "i-1 i-2 ",
	  true,
	  1,
	  0 },
	{ "a token of another type",
	  { PAGE(ITEM("i-1"), "2"), PAGE(ITEM("i-2"), "null") },
	  "i-1 ",
	  false,
	  0,
	  1 },
	{ "the second page is truncated",
	  { PAGE(ITEM("i-1"), "\"p-2\""),
	    "{\"instances\":[" ITEM("i-2") ",{\"id", PAGE("", "null") },
	  "i-1 i-2 ",
	  false,
	  1,
	  1 },
};

/*
 * Guards against dropping the endpoints on all pages after one that has an
 * invalid or torn item or token. That happens if the poll ends there and is
 * taken as complete.
 */
static void polls_report_whether_they_are_complete(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const struct list_case *c = &cases[i];
		uint64_t *unreadable, *incomplete;
		struct fixture f;

		start_fixture(&f, c->pages);
		await_polls(&f, 1);
		if (strcmp(f.ids->str, c->ids) || f.complete != c->complete)
			fail_msg("%s: %s complete %d", c->label, f.ids->str,
				 f.complete);
		unreadable = metrics_value(f.metrics,
					   "ss_list_unreadable_total", "");
		incomplete =
			metrics_value(f.metrics, "ss_list_parts_total", "");
		if (*unreadable != c->unreadable * (uint64_t)f.polls ||
		    *incomplete != c->incomplete * (uint64_t)f.polls)
			fail_msg("%s: counted %" PRIu64 " and %" PRIu64,
				 c->label, *unreadable, *incomplete);
		stop_fixture(&f);
	}
}

/* Returns the log of twenty polls of each list. */
static char *log_of(const char *const *first, const char *const *second)
{
	FILE *to = tmpfile();
	int out = dup(STDOUT_FILENO);
	char *text = g_malloc0(LOG_BYTES);
	struct fixture f;

	assert_non_null(to);
	fflush(stdout);
	dup2(fileno(to), STDOUT_FILENO);
	log_open("test", "INFO");
	start_fixture(&f, first);
	await_polls(&f, 20);
	stop_fixture(&f);
	start_fixture(&f, second);
	await_polls(&f, 20);
	stop_fixture(&f);
	log_close();
	dup2(out, STDOUT_FILENO);
	close(out);
	rewind(to);
	assert_true(fread(text, 1, LOG_BYTES - 1, to) > 0);
	fclose(to);
	return text;
}

static int count_of(const char *text, const char *what)
{
	int n = 0;

	while ((text = strstr(text, what))) {
		text++;
		n++;
	}
	return n;
}

/*
 * Guards against a log that is flooded by items that stay invalid, which
 * happens if every poll logs all of them.
 */
static void unreadable_items_are_logged_rarely(void **state)
{
	static const char *const invalid[PAGES] = { PAGE(
		"{},{\"id\":\"i-7\",\"service\":7},{},{},{},{},{},{}",
		"null") };
	static const char *const valid[PAGES] = { PAGE(ITEM("i-1"), "null") };
	char *text = log_of(invalid, valid);

	(void)state;
	assert_int_equal(count_of(text, "event=list_unreadable "), 1);
	assert_int_equal(count_of(text, "entries=8 readable=0 whole=1"), 1);
	assert_int_equal(count_of(text, "event=list_entry_unreadable "), 4);
	assert_int_equal(count_of(text, "id=i-7 at=- why=\"service: expected "
					"a name, found 7\""),
			 1);
	g_free(text);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(polls_report_whether_they_are_complete),
		cmocka_unit_test(unreadable_items_are_logged_rarely),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
