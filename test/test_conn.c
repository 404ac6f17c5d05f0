/* Frames and connections between processes, with bad input and bad peers. */
#include "unit.h"

#include "../src/node/conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

/* A message is the same after encoding and decoding. */
static void message_round_trip(void **state)
{
	struct header h[] = { { SS_LIT("a"), SS_LIT("1") },
			      { SS_LIT("b"), SS_LIT("") } };
	struct msg_call m = { .sub = 1,
			      .entry = UINT64_MAX,
			      .seq = 3,
			      .model = SS_LIT("m\0x"),
			      .headers = { h, 2 },
			      .body = SS_LIT("{}"),
			      .deadline_ms = -5,
			      .once = true };
	GString *out = g_string_new(NULL);
	struct frame f;
	const struct msg_call *got = &f.u.call;
	const struct header *gh;

	(void)state;
	frame_add(out, MSG_CALL, &m);
	assert_int_equal(frame_length((uint8_t *)out->str, out->len, NULL),
			 out->len);
	assert_true(frame_decode((uint8_t *)out->str, out->len, &f, NULL));
	gh = got->headers.items;
	assert_int_equal(f.kind, MSG_CALL);
	assert_true(got->entry == UINT64_MAX && got->seq == 3 && got->once);
	assert_int_equal(got->deadline_ms, -5);
	assert_true(ss_str_eq(got->model, m.model));
	assert_int_equal(got->headers.n, 2);
	assert_true(ss_str_eq(gh[0].value, SS_LIT("1")));
	assert_int_equal(gh[1].value.n, 0);
	frame_done(&f);
	g_string_free(out, TRUE);
}

struct bad_frame {
	const char *label;
	struct ss_str bytes;
	bool skipped; /* an unknown kind is skipped, not an error */
};

static const struct bad_frame bad_frames[] = {
	{ "no kind", SS_LIT("\0\0\0\1\xc0"), false },
	{ "kind zero", SS_LIT("\0\0\0\2\0\x80"), false },
	{ "a kind of a later version", SS_LIT("\0\0\0\2\x7f\x80"), true },
	{ "a number for the map", SS_LIT("\0\0\0\2\x02\x05"), false },
	{ "truncated", SS_LIT("\0\0\0\3\x01\x82\x01"), false },
	{ "a string for a number", SS_LIT("\0\0\0\5\x01\x81\x01\xa1x"), false },
	{ "a number for a string", SS_LIT("\0\0\0\4\x01\x81\x04\x05"), false },
	{ "an array of a hundred gigabytes, in eleven bytes",
	  SS_LIT("\0\0\0\7\x01\x81\x01\xdd\xff\xff\xff"), false },
	{ "a huge array after an extension",
	  SS_LIT("\0\0\0\x0b\x01\x81\xd4\x02\x01\xdd\xb5\0\0\0\0"), false },
	{ "a key that isn't a number", SS_LIT("\0\0\0\5\x01\x81\xa1x\x01"),
	  false },
};

static void bad_frames_are_rejected(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(bad_frames); i++) {
		const struct bad_frame *b = &bad_frames[i];
		GError *error = NULL;
		struct frame f;

		assert_false(frame_decode((const uint8_t *)b->bytes.p,
					  b->bytes.n, &f, &error));
		if (b->skipped != (error == NULL))
			fail_msg("%s", b->label);
		if (error)
			assert_int_equal(error->code, SS_ERROR_FRAME);
		g_clear_error(&error);
	}
}

/* A listener whose peer is a plain socket. */
struct peer {
	struct event_base *base;
	struct ss_clock clock;
	struct msg_hello self;
	struct listener *l;
	int fd;
	struct conn *conn; /* the listener's end, when open */
	int opened, closed, got;
	int code;
};

static void on_open(void *arg, struct conn *c)
{
	((struct peer *)arg)->opened++;
	((struct peer *)arg)->conn = c;
}

static void on_message(void *arg, struct conn *c, struct frame *f)
{
	(void)c;
	(void)f;
	((struct peer *)arg)->got++;
}

static void on_closed(void *arg, struct conn *c, const GError *why)
{
	struct peer *p = arg;

	(void)c;
	p->closed++;
	p->code = why ? why->code : 0;
	event_base_loopbreak(p->base);
}

static const struct conn_ops conn_table = { on_open, on_message, on_closed };

static void peer_start(struct peer *p, uint64_t group)
{
	struct conn_options o = { .self = &p->self,
				  .clock = &p->clock,
				  .ops = &conn_table,
				  .arg = p,
				  .ping_ms = 50,
				  .silent_ms = 400 };
	struct sockaddr_in sin = { .sin_family = AF_INET };
	int one = 1;

	memset(p, 0, sizeof(*p));
	ss_clock_init(&p->clock);
	p->self = (struct msg_hello){ .version = CONN_PROTOCOL,
				      .group = group,
				      .name = SS_LIT("here") };
	o.base = p->base = event_base_new();
	p->l = conn_listen(&o, "127.0.0.1:0", NULL);
	assert_non_null(p->l);
	sin.sin_port = htons(conn_listener_port(p->l));
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	p->fd = socket(AF_INET, SOCK_STREAM, 0);
	/* Otherwise the kernel delays single bytes by tens of ms. */
	setsockopt(p->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	assert_int_equal(connect(p->fd, (struct sockaddr *)&sin, sizeof(sin)),
			 0);
}

static void peer_stop(struct peer *p)
{
	close(p->fd);
	conn_listener_free(p->l);
	event_base_free(p->base);
}

static void peer_send(struct peer *p, enum msg_kind kind, const void *msg)
{
	GString *out = g_string_new(NULL);

	frame_add(out, kind, msg);
	assert_int_equal(write(p->fd, out->str, out->len), out->len);
	g_string_free(out, TRUE);
}

struct peer_case {
	const char *label;
	struct ss_str bytes;	/* sent verbatim; if empty, */
	struct msg_hello hello; /* this hello is sent */
	int code;
};

static const struct peer_case peers[] = {
	{ "another version",
	  { 0 },
	  { .version = CONN_PROTOCOL + 1, .name = SS_LIT("x") },
	  SS_ERROR_VERSION },
	{ "another group",
	  { 0 },
	  { .version = CONN_PROTOCOL, .group = 8, .name = SS_LIT("x") },
	  SS_ERROR_CONFLICT },
	{ "an empty frame", SS_LIT("\0\0\0\0"), { 0 }, SS_ERROR_FRAME },
	{ "a frame over the size limit",
	  SS_LIT("\xff\xff\xff\xff"),
	  { 0 },
	  SS_ERROR_FRAME },
	{ "a message before the hello",
	  SS_LIT("\0\0\0\2\x02\x80"),
	  { 0 },
	  SS_ERROR_FRAME },
	{ "another protocol",
	  SS_LIT("GET / HTTP/1.1\r\n\r\n"),
	  { 0 },
	  SS_ERROR_FRAME },
	{ "a partial frame, then silence",
	  SS_LIT("\0\0\0\x20\1"),
	  { 0 },
	  SS_ERROR_LOST },
};

static void bad_peers_are_refused(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(peers); i++) {
		struct peer p;

		peer_start(&p, 7);
		if (peers[i].bytes.n)
			assert_int_equal(write(p.fd, peers[i].bytes.p,
					       peers[i].bytes.n),
					 peers[i].bytes.n);
		else
			peer_send(&p, MSG_HELLO, &peers[i].hello);
		event_base_dispatch(p.base);
		if (p.code != peers[i].code || p.opened)
			fail_msg("%s: code %d", peers[i].label, p.code);
		peer_stop(&p);
	}
}

/*
 * A middlebox drops the state of a connection, so that neither end gets an
 * error. The silence must be detected, or calls hang on the open connection.
 */
static void silent_connection_is_closed(void **state)
{
	struct msg_hello h = { .version = CONN_PROTOCOL,
			       .group = 7,
			       .name = SS_LIT("x") };
	struct peer p;

	(void)state;
	peer_start(&p, 7);
	peer_send(&p, MSG_HELLO, &h);
	event_base_dispatch(p.base);
	assert_int_equal(p.opened, 1);
	assert_int_equal(p.code, SS_ERROR_LOST);
	peer_stop(&p);
}

/* Frames may arrive in single bytes, or several in one segment. */
static void frames_arrive_in_any_split(void **state)
{
	struct msg_hello h = { .version = CONN_PROTOCOL, .name = SS_LIT("x") };
	struct msg_cancel m = { .sub = 4 };
	GString *out = g_string_new(NULL);
	struct peer p;

	(void)state;
	peer_start(&p, 7);
	frame_add(out, MSG_HELLO, &h);
	frame_add(out, MSG_CANCEL, &m);
	for (gsize i = 0; i < out->len; i++) {
		assert_int_equal(write(p.fd, out->str + i, 1), 1);
		event_base_loop(p.base, EVLOOP_NONBLOCK);
	}
	g_string_truncate(out, 0);
	frame_add(out, MSG_CANCEL, &m);
	frame_add(out, MSG_CANCEL, &m);
	assert_int_equal(write(p.fd, out->str, out->len), out->len);
	event_base_dispatch(p.base);
	if (p.got != 3)
		fail_msg("got %d, opened %d, code %d", p.got, p.opened, p.code);
	g_string_free(out, TRUE);
	peer_stop(&p);
}

/*
 * A member's process waits half a second for its disk, and others that connect
 * to it give up after 0.3 s without its hello: no leader is elected while disks
 * are slow. A busy process must not be taken for a VM that is down; its
 * kernel completes the TCP handshake immediately.
 */
static void busy_peer_is_connected(void **state)
{
	static const struct conn_ops none = { 0 };
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t n = sizeof(sin);
	int listening = socket(AF_INET, SOCK_STREAM, 0);
	struct event_base *base = event_base_new();
	struct ss_clock clock;
	struct msg_hello self = { .version = CONN_PROTOCOL };
	struct conn_options o = {
		.base = base, .clock = &clock, .self = &self, .ops = &none
	};
	struct conn *c;
	char addr[32];

	(void)state;
	ss_clock_init(&clock);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(listening, (struct sockaddr *)&sin, n), 0);
	assert_int_equal(listen(listening, 1), 0);
	assert_int_equal(getsockname(listening, (struct sockaddr *)&sin, &n),
			 0);
	g_snprintf(addr, sizeof(addr), "127.0.0.1:%u", ntohs(sin.sin_port));
	c = conn_connect(&o, addr);
	assert_false(conn_is_connected(c));
	while (!conn_is_connected(c))
		event_base_loop(base, EVLOOP_ONCE);
	assert_false(conn_is_open(c));
	conn_close(c);
	event_base_free(base);
	close(listening);
}

/*
 * Peers are frozen, or their links are slower than what is sent to them. The
 * bytes buffered for each need a limit that hundreds of peers can reach at
 * once, or a control VM exceeds its memory limit.
 */
static void backlog_of_a_stalled_peer_is_bounded(void **state)
{
	struct msg_hello hello = { .version = CONN_PROTOCOL,
				   .name = SS_LIT("x") };
	char *bytes = g_malloc(1 << 20);
	struct msg_config m = { .body = { bytes, 1 << 20 } };
	uint64_t seed = 1;
	struct peer p;
	int sent = 0;

	(void)state;
	/* Random bytes, which compression doesn't shorten. */
	for (size_t i = 0; i < m.body.n; i++)
		bytes[i] = (char)ss_random(&seed);
	peer_start(&p, 0);
	peer_send(&p, MSG_HELLO, &hello);
	while (!p.conn)
		event_base_loop(p.base, EVLOOP_ONCE);
	while (conn_send(p.conn, MSG_CONFIG, &m)) {
		assert_in_range(++sent, 1, 64);
		event_base_loop(p.base, EVLOOP_NONBLOCK);
	}
	assert_in_range(conn_backlog(p.conn), CONN_BACKLOG_MAX,
			CONN_BACKLOG_MAX + (2 << 20));
	conn_close(p.conn);
	peer_stop(&p);
	g_free(bytes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(message_round_trip),
		cmocka_unit_test(bad_frames_are_rejected),
		cmocka_unit_test(bad_peers_are_refused),
		cmocka_unit_test(silent_connection_is_closed),
		cmocka_unit_test(busy_peer_is_connected),
		cmocka_unit_test(frames_arrive_in_any_split),
		cmocka_unit_test(backlog_of_a_stalled_peer_is_bounded),
	};

	return cmocka_run_group_tests_name("conn", tests, NULL, NULL);
}
