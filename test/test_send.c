/* send_now(): writes, partial writes and errors. */
#include "unit.h"

#include "../src/net/send.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

/* FULL_MAX exceeds the buffers of a socket pair, so that some bytes remain. */
#define PIECE (64u << 10)
#define FULL_MAX (64u << 20)
/* Iterations of the event loop; each writes up to the size of the buffers. */
#define ROUNDS_MAX 10000

struct pair {
	struct event_base *base;
	struct bufferevent *bev;
	int peer;
	short ended;
	GString *sent, *got;
};

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	((struct pair *)arg)->ended = what;
}

static void open_pair(struct pair *p)
{
	int fds[2];

	memset(p, 0, sizeof(*p));
	assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
	evutil_make_socket_nonblocking(fds[0]);
	evutil_make_socket_nonblocking(fds[1]);
	p->base = event_base_new();
	p->bev = bufferevent_socket_new(p->base, fds[0], BEV_OPT_CLOSE_ON_FREE);
	p->peer = fds[1];
	p->sent = g_string_new(NULL);
	p->got = g_string_new(NULL);
	bufferevent_setcb(p->bev, NULL, NULL, on_event, p);
	bufferevent_enable(p->bev, EV_WRITE);
}

static void close_pair(struct pair *p)
{
	bufferevent_free(p->bev);
	event_base_free(p->base);
	if (p->peer >= 0)
		close(p->peer);
	g_string_free(p->sent, TRUE);
	g_string_free(p->got, TRUE);
}

static size_t unsent(const struct pair *p)
{
	return evbuffer_get_length(bufferevent_get_output(p->bev));
}

/* Numbered lines, so that no two parts are equal. */
static void send_piece(struct pair *p)
{
	size_t from = p->sent->len;

	while (p->sent->len - from < PIECE)
		g_string_append_printf(p->sent, "%015zu\n", p->sent->len);
	send_now(p->bev,
		 (struct ss_str){ p->sent->str + from, p->sent->len - from });
}

static void read_peer(struct pair *p)
{
	char bytes[4096];
	ssize_t n;

	while ((n = read(p->peer, bytes, sizeof(bytes))) > 0)
		g_string_append_len(p->got, bytes, n);
}

static void writable_socket_is_written_immediately(void **state)
{
	struct pair p;

	(void)state;
	open_pair(&p);
	g_string_assign(p.sent, "event");
	send_now(p.bev, ss_str_gs(p.sent));
	assert_int_equal(unsent(&p), 0);
	read_peer(&p);
	assert_string_equal(p.got->str, "event");
	close_pair(&p);
}

/*
 * The socket is full and bytes are buffered; the reader makes room, and more is
 * sent before the event loop runs. The new bytes must not overtake the buffered
 * ones.
 */
static void buffered_bytes_are_sent_first(void **state)
{
	struct pair p;

	(void)state;
	open_pair(&p);
	while (!unsent(&p) && p.sent->len < FULL_MAX)
		send_piece(&p);
	assert_true(unsent(&p) > 0);
	read_peer(&p);
	send_piece(&p);
	for (int i = 0; i < ROUNDS_MAX && unsent(&p); i++) {
		event_base_loop(p.base, EVLOOP_NONBLOCK);
		read_peer(&p);
	}
	assert_int_equal(p.got->len, p.sent->len);
	assert_memory_equal(p.got->str, p.sent->str, p.sent->len);
	close_pair(&p);
}

/*
 * A send after the peer has closed must not kill the process by SIGPIPE, nor
 * call the error handler from inside send_now(), which could free a connection
 * that the caller still uses.
 */
static void error_is_left_to_the_loop(void **state)
{
	struct pair p;

	(void)state;
	open_pair(&p);
	close(p.peer);
	p.peer = -1;
	send_piece(&p);
	assert_int_equal(p.ended, 0);
	assert_int_equal(unsent(&p), p.sent->len);
	/* As in the daemon, for writes from the event loop. */
	signal(SIGPIPE, SIG_IGN);
	for (int i = 0; i < ROUNDS_MAX && !p.ended; i++)
		event_base_loop(p.base, EVLOOP_NONBLOCK);
	assert_true(p.ended & BEV_EVENT_ERROR);
	close_pair(&p);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(writable_socket_is_written_immediately),
		cmocka_unit_test(buffered_bytes_are_sent_first),
		cmocka_unit_test(error_is_left_to_the_loop),
	};

	return cmocka_run_group_tests_name("send", tests, NULL, NULL);
}
