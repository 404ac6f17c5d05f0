/* Probes of loopback addresses. */
#include "unit.h"

#include "../src/net/addr.h"
#include "../src/net/probe.h"

#include <event2/event.h>
#include <netinet/in.h>
#include <unistd.h>

struct probe_outcome {
	struct event_base *base;
	int calls;
	enum probe_result r;
};

static void on_probe(void *arg, enum probe_result r)
{
	struct probe_outcome *s = arg;

	s->calls++;
	s->r = r;
	event_base_loopbreak(s->base);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	(void)l;
	(void)sa;
	(void)len;
	(void)arg;
	close(fd);
}

#define ADDR_BYTES 32

static struct evconnlistener *listen_at(struct event_base *base,
					char addr[ADDR_BYTES])
{
	struct evconnlistener *l =
		addr_listen(base, "127.0.0.1:0", -1, on_accept, NULL, NULL);

	assert_non_null(l);
	g_snprintf(addr, ADDR_BYTES, "127.0.0.1:%u",
		   addr_port(evconnlistener_get_fd(l)));
	return l;
}

/* Binds a port without listening on it, so that no other process gets it. */
static int hold_port(char addr[ADDR_BYTES])
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	g_snprintf(addr, ADDR_BYTES, "127.0.0.1:%u", addr_port(fd));
	return fd;
}

static void probe_reports_whether_a_process_listens(void **state)
{
	struct probe_outcome s = { .base = event_base_new() };
	char up[ADDR_BYTES], down[ADDR_BYTES];
	struct evconnlistener *l = listen_at(s.base, up);
	int held = hold_port(down);
	const struct {
		const char *addr;
		enum probe_result r;
	} cases[] = { { up, PROBE_LISTENS },
		      { down, PROBE_REFUSED },
		      { "nowhere", PROBE_SILENT } };

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		s.calls = 0;
		probe_start(s.base, cases[i].addr, 1000, on_probe, &s);
		assert_int_equal(s.calls, 0);
		event_base_dispatch(s.base);
		assert_int_equal(s.calls, 1);
		assert_int_equal(s.r, cases[i].r);
	}
	close(held);
	evconnlistener_free(l);
	event_base_free(s.base);
}

static void cancelled_probe_is_silent(void **state)
{
	struct probe_outcome s = { .base = event_base_new() };
	char addr[ADDR_BYTES];
	struct evconnlistener *l = listen_at(s.base, addr);

	(void)state;
	probe_cancel(probe_start(s.base, addr, 1000, on_probe, &s));
	evconnlistener_free(l);
	event_base_dispatch(s.base);
	assert_int_equal(s.calls, 0);
	event_base_free(s.base);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(probe_reports_whether_a_process_listens),
		cmocka_unit_test(cancelled_probe_is_silent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
