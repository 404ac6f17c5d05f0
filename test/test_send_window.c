/* Tests of bulk transfers to hundreds of receivers: their duration, and the
 * delay of what is queued behind them on the link of the sender. */
#include "unit.h"

#include "../src/core/send_window.h"

#define HEARTBEAT_MS 100
#define LATENCY_MS 3 /* one way, between two VMs */
#define RECEIVERS_MAX 720

struct link_case {
	const char *label;
	int receivers;
	double bytes;	      /* per receiver */
	double own_rate;      /* of the sender's link, bytes per ms */
	double receiver_rate; /* of each receiver's link, bytes per ms */
	int64_t ack_delay_ms; /* acknowledgement delay after arrival */
	int silent;	      /* receivers that never acknowledge */
	int64_t limit_ms;     /* limit until the last one has arrived */
};

static const struct link_case cases[] = {
	{ "360 entries on slow links", 360, 40e3, 125e3, 1250, 10, 0, 1000 },
	{ "720 entries, twice the bytes", 720, 80e3, 125e3, 1250, 10, 0, 2000 },
	{ "receivers that acknowledge late", 360, 40e3, 125e3, 1250, 60, 0,
	  1500 },
	{ "100 Mbit/s at the sender", 100, 15e3, 12.5e3, 1250, 10, 0, 1000 },
	{ "10 Mbit/s everywhere", 100, 15e3, 1250, 1250, 10, 0, 3000 },
	{ "some stalled receivers", 360, 40e3, 125e3, 1250, 10, 60, 1500 },
};

struct receiver {
	bool sent, acked;
	int64_t sent_ms, arrival_ms;
};

static int64_t arrival(const struct link_case *c, double link_free_ms)
{
	return (int64_t)(link_free_ms + c->bytes / c->receiver_rate) +
	       LATENCY_MS;
}

static void ack_or_drop(const struct link_case *c, struct send_window *w,
			struct receiver *r, int i, int64_t now)
{
	if (!r->sent || r->acked)
		return;
	if (now - r->sent_ms > SEND_WINDOW_TIMEOUT_MS) {
		send_window_lost(w, (size_t)c->bytes);
		r->acked = true;
	} else if (i >= c->silent &&
		   now >= r->arrival_ms + c->ack_delay_ms + LATENCY_MS) {
		send_window_acked(w, (size_t)c->bytes, r->sent_ms);
		r->acked = true;
	}
}

/* Guards against bulk data that delays the heartbeats queued behind it, and
 * against a window so small that the last receiver gets its data late. */
static void bulk_arrives_without_delaying_heartbeats(void **state)
{
	static struct receiver all[RECEIVERS_MAX];

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(cases); k++) {
		const struct link_case *c = &cases[k];
		double link_free_ms = 0, max_delay_ms = 0;
		int64_t last_arrival_ms = 0;
		struct send_window w;

		memset(all, 0, sizeof(all));
		send_window_init(&w, 0);
		for (int64_t now = 1; now < 60000; now++) {
			for (int i = 0; i < c->receivers; i++)
				ack_or_drop(c, &w, &all[i], i, now);
			for (int i = 0; i < c->receivers; i++) {
				struct receiver *r = &all[i];

				if (r->sent ||
				    !send_window_allows(&w, (size_t)c->bytes))
					continue;
				link_free_ms = MAX(link_free_ms, (double)now) +
					       c->bytes / c->own_rate;
				max_delay_ms = MAX(max_delay_ms,
						   link_free_ms - (double)now);
				*r = (struct receiver){ true, false, now,
							arrival(c,
								link_free_ms) };
				last_arrival_ms =
					MAX(last_arrival_ms, r->arrival_ms);
				send_window_sent(&w, (size_t)c->bytes);
			}
			send_window_tick(&w, now);
		}
		if (last_arrival_ms > c->limit_ms ||
		    max_delay_ms > HEARTBEAT_MS)
			fail_msg("%s: the last arrived after %" PRId64
				 " ms, a heartbeat waited for %.0f ms",
				 c->label, last_arrival_ms, max_delay_ms);
		for (int i = 0; i < c->receivers; i++)
			assert_true(all[i].sent);
		assert_int_equal(w.in_flight, 0);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bulk_arrives_without_delaying_heartbeats),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
