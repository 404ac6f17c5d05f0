/* Runs one stand-in per process: an engine, service, store or platform. */
#include "standin.h"

#include "../base/timeval.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

static const struct {
	const char *name;
	struct http_server *(*start)(struct standin *s, GError **error);
} roles[] = {
	{ "engine", engine_start },
	{ "service", service_start },
	{ "store", store_start },
	{ "platform", platform_start },
};

void standin_journal(struct standin *s, const char *event, json_object *o)
{
	const char *text;
	char *line;

	if (s->journal_fd < 0) {
		json_object_put(o);
		return;
	}
	json_object_object_add(o, "event", json_object_new_string(event));
	json_object_object_add(o, "at", json_object_new_int64(ss_wall_ms()));
	text = json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
	line = g_strdup_printf("%s\n", text);
	/* One write() per line, so that a killed process leaves whole lines. */
	if (write(s->journal_fd, line, strlen(line)) < 0)
		abort();
	g_free(line);
	json_object_put(o);
}

void standin_schedule(struct standin *s, int64_t ms,
		      void (*fn)(evutil_socket_t fd, short what, void *arg),
		      void *arg)
{
	struct timeval tv = timeval_from_ms(ms);

	event_base_once(s->base, -1, EV_TIMEOUT, fn, arg, &tv);
}

const char *standin_header(struct evhttp_request *req, const char *name)
{
	const char *v =
		evhttp_find_header(evhttp_request_get_input_headers(req), name);

	return v ? v : "";
}

void standin_mark(const struct standin *s, struct evhttp_request *req)
{
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	const char *id = standin_header(req, "X-Request-Id");

	if (*s->mark)
		evhttp_add_header(h, s->mark, "standin");
	if (*id)
		evhttp_add_header(h, "X-Request-Id", id);
}

long long standin_query(struct evhttp_request *req, const char *key,
			long long fallback)
{
	const char *query =
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	struct evkeyvalq params;
	const char *v = NULL;
	long long n = fallback;

	if (!query || evhttp_parse_query_str(query, &params))
		return fallback;
	v = evhttp_find_header(&params, key);
	if (v)
		n = atoll(v);
	evhttp_clear_headers(&params);
	return n;
}

static void on_term(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	event_base_loopbreak(arg);
}

/* libevent's default timer has a resolution of 4 ms, too coarse for tokens. */
static struct event_base *precise_base(void)
{
	struct event_config *c = event_config_new();
	struct event_base *base;

	event_config_set_flag(c, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(c);
	event_config_free(c);
	return base;
}

static int run(struct standin *s, const char *role)
{
	struct http_server *http = NULL;
	GError *error = NULL;
	struct event *term;

	for (size_t i = 0; i < G_N_ELEMENTS(roles); i++)
		if (role && !strcmp(roles[i].name, role))
			http = roles[i].start(s, &error);
	if (!http) {
		fprintf(stderr, "standin: %s\n",
			error ? error->message :
				"engine, service, store or platform");
		return 2;
	}
	term = evsignal_new(s->base, SIGTERM, on_term, s->base);
	event_add(term, NULL);
	event_base_dispatch(s->base);
	return 0;
}

int main(int argc, const char **argv)
{
	struct standin s = { .listen = "127.0.0.1:0",
			     .store = "",
			     .journal = "",
			     .vms = "",
			     .mark = "",
			     .bytes = 64LL << 30,
			     .token_ms = 5,
			     .load_mbps = 20000,
			     .store_mbps = 10000,
			     .store_parallel = 4,
			     .cached = 4,
			     .journal_fd = -1 };
	struct poptOption options[] = {
		{ "listen", 'l', POPT_ARG_STRING, &s.listen, 0, "ip:port",
		  NULL },
		{ "store", 0, POPT_ARG_STRING, &s.store, 0,
		  "the weight store of an engine", NULL },
		{ "journal", 0, POPT_ARG_STRING, &s.journal, 0,
		  "file that gets a line for each event", NULL },
		{ "vms", 0, POPT_ARG_STRING, &s.vms, 0,
		  "names of the VMs, separated by commas", NULL },
		{ "mark", 0, POPT_ARG_STRING, &s.mark, 0,
		  "header by which answers show whose they are", NULL },
		{ "bytes", 0, POPT_ARG_LONGLONG, &s.bytes, 0,
		  "accelerator memory of an engine", NULL },
		{ "checks-fence", 0, POPT_ARG_NONE, &s.checks_fence, 0,
		  "refuse orders with an old fencing number", NULL },
		{ "token-ms", 0, POPT_ARG_INT, &s.token_ms, 0,
		  "time between two tokens", NULL },
		{ "load-mbps", 0, POPT_ARG_INT, &s.load_mbps, 0,
		  "MB/s of a load from disk or without a store", NULL },
		{ "store-mbps", 0, POPT_ARG_INT, &s.store_mbps, 0,
		  "MB/s of the store for one load", NULL },
		{ "store-parallel", 0, POPT_ARG_INT, &s.store_parallel, 0,
		  "loads at a time at full speed", NULL },
		{ "cached", 0, POPT_ARG_INT, &s.cached, 0,
		  "checkpoints that an engine's disk keeps", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx = poptGetContext("standin", argc, argv, options, 0);
	int rc = poptGetNextOpt(ctx);

	poptSetOtherOptionHelp(ctx, "engine|service|store|platform");
	if (rc < -1) {
		fprintf(stderr, "standin: %s\n", poptStrerror(rc));
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	ss_clock_init(&s.clock);
	s.base = precise_base();
	if (*s.journal)
		s.journal_fd =
			open(s.journal, O_WRONLY | O_CREAT | O_APPEND, 0600);
	return run(&s, poptGetArg(ctx));
}
