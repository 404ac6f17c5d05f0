/* Fixture: a gate between scripted endpoints and callers. */
#include "gate_fix.h"

#include "../src/base/log.h"

/* Endpoints. */

static void conn_free(struct conn *c)
{
	if (c->reset) {
		struct linger now = { 1, 0 };

		setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_LINGER,
			   &now, sizeof(now));
	}
	if (c->e->newest == c->bev)
		c->e->newest = NULL;
	g_ptr_array_remove_fast(c->e->conns, c);
	bufferevent_free(c->bev);
	c->e->closed++;
	g_free(c);
}

static void conn_written(struct bufferevent *bev, void *arg)
{
	(void)bev;
	conn_free(arg);
}

static void answer(struct conn *c)
{
	struct endpoint *e = c->e;
	const struct reply *r = &e->replies[MIN(e->requests, e->n_replies - 1)];

	e->requests++;
	c->reset = r->reset;
	if (!r->text)
		return;
	bufferevent_write(c->bev, r->text, strlen(r->text));
	if (!*r->text)
		conn_free(c);
	else if (r->close || r->reset)
		bufferevent_setcb(c->bev, NULL, conn_written, NULL, c);
}

static void conn_read(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t n = evbuffer_get_length(in);
	char *p = (char *)evbuffer_pullup(in, -1);
	char *end = g_strstr_len(p, (gssize)n, "\r\n\r\n");

	/* Test requests have no body, or a complete one in the same write. */
	if (!end)
		return;
	g_string_append_len(c->e->seen, p, (gssize)n);
	evbuffer_drain(in, n);
	answer(c);
}

static void conn_event(struct bufferevent *bev, short what, void *arg)
{
	struct conn *c = arg;

	(void)bev;
	c->e->reset += (what & BEV_EVENT_ERROR) != 0;
	conn_free(c);
}

static void on_accept(struct evconnlistener *ev, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	struct endpoint *e = arg;
	struct conn *c = g_new0(struct conn, 1);

	(void)ev;
	(void)sa;
	(void)len;
	c->e = e;
	e->opened++;
	c->bev = bufferevent_socket_new(e->f->base, fd, BEV_OPT_CLOSE_ON_FREE);
	e->newest = c->bev;
	g_ptr_array_add(e->conns, c);
	bufferevent_setcb(c->bev, conn_read, NULL, conn_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/* Binds a socket that doesn't listen, which reserves the port: connections to
 * it are refused. */
static int reserve_port(void)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0), one = 1;

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	assert_int_equal(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	return fd;
}

void start_endpoint(struct fix *f, int i)
{
	struct endpoint *e = &f->eps[i];
	struct sockaddr_in sin = { .sin_family = AF_INET };

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons(addr_port(e->port_fd));
	e->listener = evconnlistener_new_bind(
		f->base, on_accept, e,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 8,
		(struct sockaddr *)&sin, sizeof(sin));
	assert_non_null(e->listener);
	if (e->starts++)
		g_snprintf(e->id, sizeof(e->id), "i-%d.%d", i, e->starts);
}

void crash_endpoint(struct fix *f, int i)
{
	stop_listening(f, i);
	while (reset_oldest(f, i))
		continue;
}

bool reset_oldest(struct fix *f, int i)
{
	GPtrArray *conns = f->eps[i].conns;
	struct conn *c;

	if (!conns->len)
		return false;
	c = conns->pdata[0];
	c->reset = true;
	conn_free(c);
	return true;
}

void stop_listening(struct fix *f, int i)
{
	evconnlistener_free(f->eps[i].listener);
	f->eps[i].listener = NULL;
}

static void endpoint_open(struct fix *f, int i)
{
	struct endpoint *e = &f->eps[i];

	e->f = f;
	e->seen = g_string_new(NULL);
	e->conns = g_ptr_array_new();
	e->port_fd = reserve_port();
	g_snprintf(e->id, sizeof(e->id), "i-%d", i);
	e->version = "v1";
	start_endpoint(f, i);
	g_snprintf(e->addr, sizeof(e->addr), "127.0.0.1:%u",
		   addr_port(e->port_fd));
	e->replies[0] = (struct reply){ NULL, false, false };
	e->n_replies = 1;
}

void script_answer(struct fix *f, int i, const char *text, bool close,
		   bool reset)
{
	struct endpoint *e = &f->eps[i];

	if (e->n_replies == 1 && !e->replies[0].text && !e->requests &&
	    !e->replies[0].close)
		e->n_replies = 0;
	e->replies[e->n_replies++] = (struct reply){ text, close, reset };
}

void endpoint_send(struct fix *f, int i, const char *text)
{
	assert_non_null(f->eps[i].newest);
	bufferevent_write(f->eps[i].newest, text, strlen(text));
}

/* The gate. */

static bool request_adapter(void *arg, const char *agent,
			    const struct msg_adapter *m)
{
	struct fix *f = arg;

	(void)agent;
	f->asked = m->sub;
	return f->agents;
}

static void demand_changed(void *arg)
{
	((struct fix *)arg)->demands++;
}

static bool request_trial(void *arg, const struct msg_trial *m)
{
	struct fix *f = arg;

	f->trial = *m;
	return f->leads;
}

static bool request_stream(void *arg, const struct msg_stream_request *m)
{
	struct fix *f = arg;

	f->stream = *m;
	f->stream_requests++;
	return f->leads;
}

static const struct gate_ops gate_ops_table = { request_adapter, demand_changed,
						request_trial, request_stream };

static const char routing_json[] =
	"{\"version\":1,\"routes\":["
	"{\"name\":\"safe\",\"host\":\"h\",\"prefix\":\"/safe/\","
	"\"type\":\"safe\",\"timeoutMs\":2000,\"attempts\":2,"
	"\"service\":\"web\"},"
	"{\"name\":\"once\",\"host\":\"h\",\"prefix\":\"/once/\","
	"\"type\":\"unsafe\",\"timeoutMs\":2000,\"attempts\":1,"
	"\"service\":\"web\"},"
	"{\"name\":\"chat\",\"host\":\"h\",\"prefix\":\"/chat/\","
	"\"type\":\"stream\",\"timeoutMs\":9000,\"attempts\":1,"
	"\"service\":\"lm\"},"
	"{\"name\":\"night\",\"host\":\"h\",\"prefix\":\"/night/\","
	"\"type\":\"stream\",\"timeoutMs\":9000,\"attempts\":2,"
	"\"resumable\":true,\"service\":\"lm\"},"
	"{\"name\":\"split\",\"host\":\"h\",\"prefix\":\"/split/\","
	"\"type\":\"stream\",\"timeoutMs\":9000,\"attempts\":2,"
	"\"resumable\":true,\"split\":[{\"service\":\"lm\",\"weight\":1},"
	"{\"service\":\"lm2\",\"weight\":99}]},"
	"{\"name\":\"brief\",\"host\":\"h\",\"prefix\":\"/brief/\","
	"\"type\":\"stream\",\"timeoutMs\":9000,\"goalMs\":300,"
	"\"itlTargetMs\":250,\"attempts\":1,\"service\":\"lm\"}],"
	"\"services\":[{\"name\":\"web\"},{\"name\":\"lm\",\"engine\":"
	"{\"slots\":8,\"weightsMb\":80,\"models\":[{\"name\":\"m\","
	"\"weightsMb\":30,\"loadS\":6},{\"name\":\"n\",\"weightsMb\":30,"
	"\"loadS\":6}]}},{\"name\":\"lm2\",\"engine\":{\"slots\":8,"
	"\"weightsMb\":80,\"models\":[{\"name\":\"m\",\"weightsMb\":30,"
	"\"loadS\":6}]}}],"
	"\"limits\":{\"maxHeaderBytes\":2048,\"maxBodyBytes\":4096,"
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

void report_fleet(struct fix *f, const char *service, const char *model)
{
	struct held_model held = { .model = ss_str(model) };
	struct fleet_endpoint e[ENDPOINTS] = { 0 };
	struct msg_fleet m = { .fence = 1,
			       .full = true,
			       .endpoints = { e, ENDPOINTS } };

	for (int i = 0; i < ENDPOINTS; i++) {
		e[i].addr = ss_str(f->eps[i].addr);
		e[i].id = ss_str(f->eps[i].id);
		e[i].service = ss_str(service);
		/* The gate prefers the endpoint with less load. */
		e[i].domain = ss_str("here");
		e[i].slots = 8;
		e[i].running = i == f->at ? 0 : 6;
		e[i].tokens_total = 1000;
		e[i].started_ms = f->eps[i].started_ms;
		e[i].version =
			ss_str(f->eps[i].version ? f->eps[i].version : "");
		e[i].unusable = f->eps[i].leaving;
		e[i].limit = endpoint_limit_wire(&f->limits[i]);
		e[i].limit_age = endpoint_limit_wire_age(&f->limits[i],
							 f->clock.fake_ms);
		e[i].held = (struct wire_list){
			&held, *model && !f->eps[i].empty ? 1 : 0
		};
	}
	gate_fleet_received(f->gate, &m);
}

void set_routing(struct fix *f, const char *json)
{
	struct routing *r =
		routing_read(users_platform.routing, ss_str(json), NULL);

	assert_non_null(r);
	gate_set_routing(f->gate, r);
	routing_unref(r);
}

void set_default_routing(struct fix *f)
{
	set_routing(f, routing_json);
}

void fix_open_with(struct fix *f, const struct fix_options *x)
{
	struct gate_options o = {
		.platform = &users_platform,
		.addr = "127.0.0.1:0",
		.domain = "here",
		.retry_ratio = x->retry_ratio > 0 ? x->retry_ratio : 10,
		.retry_window_ms = 10000,
		.retry_slack = x->retry_slack,
		.adapter_wait_ms = 400,
		.patience = { .ms = 2000, .objectives = 4, .pauses = 8 },
		.keys_trust_ms = x->keys_trust_ms,
		.memory = x->memory,
		.seed = 7,
		.ops = &gate_ops_table,
		.arg = f
	};

	memset(f, 0, sizeof(*f));
	f->clock.fake_ms = 100000;
	f->base = event_base_new();
	f->metrics = metrics_new();
	f->callers = g_ptr_array_new();
	o.base = f->base;
	o.clock = &f->clock;
	o.metrics = f->metrics;
	for (int i = 0; i < ENDPOINTS; i++) {
		endpoint_open(f, i);
		f->limits[i].per_s = ENDPOINT_LIMIT_NONE;
	}
	f->options = o;
	f->gate = gate_new(&o, NULL);
	assert_non_null(f->gate);
}

void fix_open_fresh(struct fix *f)
{
	fix_open_with(f, &(struct fix_options){ 0 });
}

void fix_open(struct fix *f, const char *service, const char *model)
{
	fix_open_fresh(f);
	set_default_routing(f);
	if (service)
		report_fleet(f, service, model);
}

static void caller_free(struct caller *c)
{
	if (c->bev)
		bufferevent_free(c->bev);
	g_string_free(c->got, TRUE);
	g_free(c);
}

void fix_close(struct fix *f)
{
	for (guint i = 0; i < f->callers->len; i++)
		caller_free(f->callers->pdata[i]);
	g_ptr_array_unref(f->callers);
	gate_free(f->gate);
	/* Endpoints' connections are freed when they see the gate close. */
	for (int i = 0; i < 50; i++)
		event_base_loop(f->base, EVLOOP_NONBLOCK);
	for (int i = 0; i < ENDPOINTS; i++) {
		if (f->eps[i].listener)
			evconnlistener_free(f->eps[i].listener);
		close(f->eps[i].port_fd);
		g_ptr_array_unref(f->eps[i].conns);
		g_string_free(f->eps[i].seen, TRUE);
	}
	metrics_free(f->metrics);
	event_base_free(f->base);
}

/* Callers. */

static void caller_read(struct bufferevent *bev, void *arg)
{
	struct caller *c = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t n = evbuffer_get_length(in);

	g_string_append_len(c->got, (char *)evbuffer_pullup(in, -1), (gssize)n);
	evbuffer_drain(in, n);
}

static void caller_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		((struct caller *)arg)->ended = true;
}

struct caller *call(struct fix *f, const char *text)
{
	struct caller *c = g_new0(struct caller, 1);
	struct sockaddr_in sin = { .sin_family = AF_INET };

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons(gate_port(f->gate));
	c->got = g_string_new(NULL);
	c->bev = bufferevent_socket_new(f->base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, caller_read, NULL, caller_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	assert_int_equal(bufferevent_socket_connect(
				 c->bev, (struct sockaddr *)&sin, sizeof(sin)),
			 0);
	bufferevent_write(c->bev, text, strlen(text));
	g_ptr_array_add(f->callers, c);
	return c;
}

void caller_send(struct caller *c, const char *text)
{
	ssize_t n = (ssize_t)strlen(text);

	assert_int_equal(send(bufferevent_getfd(c->bev), text, (size_t)n, 0),
			 n);
}

void caller_leave(struct caller *c)
{
	bufferevent_free(c->bev);
	c->bev = NULL;
}

void run_loop_once(struct fix *f)
{
	struct timeval ms = { 0, 1000 };

	event_base_loopexit(f->base, &ms);
	event_base_loop(f->base, EVLOOP_ONCE);
	gate_tick(f->gate);
}

bool has_received(const struct caller *c, const char *text)
{
	return strstr(c->got->str, text) != NULL;
}

bool received_ends_with(const struct caller *c, const char *text)
{
	return g_str_has_suffix(c->got->str, text);
}

/* Streams with timed events. */

struct caller *call_endpoint(struct fix *f, const char *model, const char *text)
{
	report_fleet(f, *model ? "lm" : "web", model);
	return call(f, text);
}

void send_events(struct fix *f, struct caller *c, int from, int to,
		 int64_t gap_ms)
{
	for (int i = from; i <= to; i++) {
		char *event = g_strdup_printf("id: %d\ndata: e%d\n\n", i, i);
		char *chunk =
			g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

		f->clock.fake_ms += gap_ms;
		endpoint_send(f, f->at, chunk);
		UNTIL(f, has_received(c, event));
		g_free(chunk);
		g_free(event);
	}
}

void send_stream_end(struct fix *f, struct caller *c)
{
	endpoint_send(f, f->at, "0\r\n\r\n");
	UNTIL(f, received_ends_with(c, "0\r\n\r\n"));
}

void run_one_stream(struct fix *f, int64_t first_ms, int64_t gap_ms)
{
	int before = f->eps[f->at].requests;
	struct caller *c = call_endpoint(f, "m", STREAM("/chat/x", "100"));

	UNTIL(f, f->eps[f->at].requests == before + 1);
	send_events(f, c, 1, 1, first_ms);
	send_events(f, c, 2, EVENTS_FOR(100), gap_ms);
	send_stream_end(f, c);
}

int run_one_event(struct fix *f, const char *text,
		  const int64_t first_ms[ENDPOINTS])
{
	int before[ENDPOINTS] = { f->eps[0].requests, f->eps[1].requests };
	struct caller *c = call_endpoint(f, "m", text);
	int at;

	UNTIL(f,
	      f->eps[0].requests + f->eps[1].requests > before[0] + before[1]);
	at = f->eps[0].requests > before[0] ? 0 : 1;
	f->clock.fake_ms += first_ms[at];
	endpoint_send(f, at,
		      "1b\r\nid: 1\ndata: 0123456789abc\n\n\r\n0\r\n\r\n");
	UNTIL(f, received_ends_with(c, "0\r\n\r\n"));
	return at;
}

/* Log capture. */

void log_capture_begin(struct log_capture *l)
{
	l->to = tmpfile();
	assert_non_null(l->to);
	fflush(stdout);
	l->stdout_fd = dup(STDOUT_FILENO);
	dup2(fileno(l->to), STDOUT_FILENO);
	log_open("test", "INFO");
}

char *log_capture_end(struct log_capture *l)
{
	char *text = g_malloc0(LOG_CAPTURE_BYTES + 1);

	log_close();
	dup2(l->stdout_fd, STDOUT_FILENO);
	close(l->stdout_fd);
	rewind(l->to);
	assert_true(fread(text, 1, LOG_CAPTURE_BYTES, l->to) > 0);
	fclose(l->to);
	return text;
}
