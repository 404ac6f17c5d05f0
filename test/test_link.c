/* The connection to the leader: suspension, and replacement of the leader. */
#include "unit.h"

#include "../src/node/link.h"

#include <event2/event.h>

#define GROUP 7
#define NEVER_MS 600000

/* A leader on a loopback address and a link that searches for it. */
struct link_fixture {
	struct event_base *base;
	struct ss_clock clock;
	struct msg_hello self, leader;
	struct listener *listener;
	GPtrArray *control;
	struct link *link;
	int opened, closed; /* connections at the leader */
	int up, down;	    /* calls of the link's up and down */
};

static void leader_open(void *arg, struct conn *c)
{
	struct link_fixture *f = arg;
	struct msg_leader m = { .group = GROUP, .from_leader = true };

	f->opened++;
	conn_send(c, MSG_LEADER, &m);
}

static void leader_message(void *arg, struct conn *c, struct frame *frame)
{
	(void)arg;
	(void)c;
	(void)frame;
}

static void leader_closed(void *arg, struct conn *c, const GError *why)
{
	struct link_fixture *f = arg;

	(void)c;
	(void)why;
	f->closed++;
}

static const struct conn_ops leader_conn_ops = { leader_open, leader_message,
						 leader_closed };

static void link_up(void *arg, uint64_t group)
{
	struct link_fixture *f = arg;

	assert_int_equal(group, GROUP);
	f->up++;
}

static void link_message(void *arg, struct frame *frame)
{
	(void)arg;
	(void)frame;
}

static void link_down(void *arg)
{
	((struct link_fixture *)arg)->down++;
}

static const struct link_ops fixture_link_ops = { link_up, link_message,
						  link_down };

static void setup(struct link_fixture *f)
{
	struct conn_options lo = { .self = &f->leader,
				   .ops = &leader_conn_ops,
				   .arg = f };
	struct link_options o = { .ops = &fixture_link_ops,
				  .arg = f,
				  .seed = 1 };

	memset(f, 0, sizeof(*f));
	f->base = event_base_new();
	ss_clock_init(&f->clock);
	f->self = (struct msg_hello){ .version = CONN_PROTOCOL,
				      .role = ROLE_RELAY,
				      .name = SS_LIT("relay") };
	f->leader = (struct msg_hello){ .version = CONN_PROTOCOL,
					.role = ROLE_CONTROL,
					.name = SS_LIT("leader") };
	lo.base = f->base;
	lo.clock = &f->clock;
	f->listener = conn_listen(&lo, "127.0.0.1:0", NULL);
	assert_non_null(f->listener);
	f->control = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(f->control,
			g_strdup_printf("127.0.0.1:%u",
					conn_listener_port(f->listener)));
	o.conn = (struct conn_options){ .base = f->base,
					.clock = &f->clock,
					.self = &f->self };
	o.control = f->control;
	f->link = link_new(&o);
}

static void teardown(struct link_fixture *f)
{
	link_free(f->link);
	conn_listener_free(f->listener);
	/* Runs until the leader's ends of all connections are closed, including
	 * those that didn't receive a hello. */
	event_base_dispatch(f->base);
	event_base_free(f->base);
	g_ptr_array_unref(f->control);
}

static void run_until(struct link_fixture *f, const int *count, int n)
{
	while (*count < n)
		event_base_loop(f->base, EVLOOP_ONCE);
}

/*
 * A hundred relays start, and each needs the leader about once a day. If they
 * keep their connections, the leader of a large fleet spends its time on their
 * heartbeats.
 */
static void suspended_link_has_no_connection(void **state)
{
	struct link_fixture f;

	(void)state;
	setup(&f);
	run_until(&f, &f.up, 1);
	assert_true(link_is_up(f.link));
	link_suspend(f.link);
	assert_false(link_is_up(f.link));
	run_until(&f, &f.closed, f.opened);
	/* A suspended link hasn't lost its leader. */
	assert_int_equal(f.down, 0);
	teardown(&f);
}

static void resumed_link_finds_the_leader(void **state)
{
	struct link_fixture f;

	(void)state;
	setup(&f);
	link_suspend(f.link);
	link_suspend(f.link);
	link_resume(f.link);
	link_resume(f.link);
	run_until(&f, &f.up, 1);
	link_suspend(f.link);
	link_resume(f.link);
	run_until(&f, &f.up, 2);
	assert_string_equal(link_leader(f.link), f.control->pdata[0]);
	teardown(&f);
}

/* Announced members are stored; no connection is made. */
static void suspended_link_stores_announced_members(void **state)
{
	struct control_addr a = { SS_LIT("127.0.0.1:1") };
	struct msg_leader m = { .group = GROUP,
				.addr = a.addr,
				.members = { &a, 1 } };
	struct link_fixture f;
	GArray *known;

	(void)state;
	setup(&f);
	link_suspend(f.link);
	link_leader_announced(f.link, &m);
	known = link_control_addrs(f.link);
	assert_int_equal(known->len, 1);
	g_array_unref(known);
	assert_int_equal(f.opened, 0);
	teardown(&f);
}

/* One of several control VMs; it sends reply to each new connection. */
struct member {
	struct link_fixture *f;
	struct msg_hello self;
	struct listener *listener;
	char *addr;
	GPtrArray *conns;
	struct msg_leader reply;
};

static void member_open(void *arg, struct conn *c)
{
	struct member *m = arg;

	g_ptr_array_add(m->conns, c);
	conn_send(c, MSG_LEADER, &m->reply);
}

static void member_message(void *arg, struct conn *c, struct frame *frame)
{
	(void)arg;
	(void)c;
	(void)frame;
}

static void member_closed(void *arg, struct conn *c, const GError *why)
{
	struct member *m = arg;

	(void)why;
	g_ptr_array_remove(m->conns, c);
}

static const struct conn_ops member_conn_ops = { member_open, member_message,
						 member_closed };

static void member_start(struct member *m, struct link_fixture *f,
			 int64_t ping_ms)
{
	struct conn_options o = { .base = f->base,
				  .clock = &f->clock,
				  .self = &m->self,
				  .ops = &member_conn_ops,
				  .arg = m,
				  .ping_ms = ping_ms,
				  .silent_ms = NEVER_MS };

	m->f = f;
	m->conns = g_ptr_array_new();
	m->self = (struct msg_hello){ .version = CONN_PROTOCOL,
				      .role = ROLE_CONTROL,
				      .name = SS_LIT("member") };
	m->listener = conn_listen(&o, "127.0.0.1:0", NULL);
	assert_non_null(m->listener);
	m->addr = g_strdup_printf("127.0.0.1:%u",
				  conn_listener_port(m->listener));
}

static void member_stop(struct member *m)
{
	conn_listener_free(m->listener);
	g_ptr_array_unref(m->conns);
	g_free(m->addr);
}

struct quiet_case {
	const char *label;
	int64_t ping_ms; /* ping interval of the leader */
	int64_t step_ms; /* clock advance per loop iteration */
	int downs;
};

/*
 * A frozen leader is replaced by one that reports that it leads; a leader that
 * sends pings is kept. Without that, processes learn of the next leader only
 * when the connection to the frozen one times out.
 */
static void quiet_leader_is_replaced(void **state)
{
	static const struct quiet_case cases[] = {
		{ "frozen leader", NEVER_MS, 100, 1 },
		{ "live leader", 5, 0, 0 },
	};

	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct member old = { 0 }, next = { 0 };
		struct link_options o = { .ops = &fixture_link_ops, .seed = 1 };
		struct link_fixture f = { 0 };
		struct control_addr addr;
		struct msg_leader announced = { .group = GROUP };
		int rounds = 0;

		f.base = event_base_new();
		f.clock.fake_ms = 100000;
		f.self = (struct msg_hello){ .version = CONN_PROTOCOL,
					     .role = ROLE_RELAY,
					     .name = SS_LIT("relay") };
		member_start(&old, &f, cases[i].ping_ms);
		member_start(&next, &f, 5);
		old.reply = next.reply =
			(struct msg_leader){ .group = GROUP,
					     .from_leader = true };
		f.control = g_ptr_array_new();
		g_ptr_array_add(f.control, old.addr);
		o.conn = (struct conn_options){ .base = f.base,
						.clock = &f.clock,
						.self = &f.self,
						.ping_ms = 20,
						.silent_ms = NEVER_MS };
		o.control = f.control;
		o.arg = &f;
		f.link = link_new(&o);
		run_until(&f, &f.up, 1);
		addr.addr = ss_str(next.addr);
		announced.members = (struct wire_list){ &addr, 1 };
		link_leader_announced(f.link, &announced);
		/* Up to 400 iterations, with timers of both ends. */
		while (f.down < 1 && rounds++ < 400) {
			f.clock.fake_ms += cases[i].step_ms;
			event_base_loop(f.base, EVLOOP_ONCE);
		}
		if (f.down != cases[i].downs || !link_is_up(f.link))
			fail_msg("%s: %d downs", cases[i].label, f.down);
		assert_string_equal(link_leader(f.link),
				    cases[i].downs ? next.addr : old.addr);
		link_free(f.link);
		while (old.conns->len + next.conns->len)
			event_base_loop(f.base, EVLOOP_ONCE);
		member_stop(&old);
		member_stop(&next);
		g_ptr_array_unref(f.control);
		event_base_free(f.base);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(suspended_link_has_no_connection),
		cmocka_unit_test(resumed_link_finds_the_leader),
		cmocka_unit_test(suspended_link_stores_announced_members),
		cmocka_unit_test(quiet_leader_is_replaced),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
