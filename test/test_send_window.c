/* Bulk to hundreds of receivers: how long it takes, and what stands behind it
 * on the sender's own link. */
#include "unit.h"

#include "../src/core/send_window.h"

#define HEARTBEAT_MS 100
/* One way, between two VMs. */
#define WAY_MS 3
#define RECEIVERS_MAX 720

struct link_case {
	const char *label;
	int receivers;
	double bytes;	    /* for each */
	double own, theirs; /* links, bytes a ms */
	int64_t confirm_ms; /* after it has arrived */
	int silent;	    /* so many never confirm */
	int64_t most_ms;    /* until the last one has it */
};

static const struct link_case cases[] = {
	{ "360 entries on thin links", 360, 40e3, 125e3, 1250, 10, 0, 1000 },
	{ "720 entries, twice as much for each", 720, 80e3, 125e3, 1250, 10, 0,
	  2000 },
	{ "receivers that are slow to confirm", 360, 40e3, 125e3, 1250, 60, 0,
	  1500 },
	{ "a sender's link of 100 Mbit/s", 100, 15e3, 12.5e3, 1250, 10, 0,
	  1000 },
	{ "a thin link for all", 100, 15e3, 1250, 1250, 10, 0, 3000 },
	{ "some that stand still", 360, 40e3, 125e3, 1250, 10, 60, 1500 },
};

struct receiver {
	bool sent, confirmed;
	int64_t sent_ms, here_ms;
};

static int64_t arrival(const struct link_case *c, double own_free)
{
	return (int64_t)(own_free + c->bytes / c->theirs) + WAY_MS;
}

static void confirm(const struct link_case *c, struct send_window *w,
		    struct receiver *r, int i, int64_t now)
{
	if (!r->sent || r->confirmed)
		return;
	if (now - r->sent_ms > SEND_WINDOW_LOST_MS) {
		send_window_lost(w, (size_t)c->bytes);
		r->confirmed = true;
	} else if (i >= c->silent &&
		   now >= r->here_ms + c->confirm_ms + WAY_MS) {
		send_window_acked(w, (size_t)c->bytes, r->sent_ms);
		r->confirmed = true;
	}
}

static void bulk_reaches_all_soon(void **state)
{
	static struct receiver all[RECEIVERS_MAX];

	(void)state;
	for (size_t k = 0; k < G_N_ELEMENTS(cases); k++) {
		const struct link_case *c = &cases[k];
		double own_free = 0, longest = 0;
		int64_t last = 0;
		struct send_window w;

		memset(all, 0, sizeof(all));
		send_window_init(&w, 0);
		for (int64_t now = 1; now < 60000; now++) {
			for (int i = 0; i < c->receivers; i++)
				confirm(c, &w, &all[i], i, now);
			for (int i = 0; i < c->receivers; i++) {
				struct receiver *r = &all[i];

				if (r->sent ||
				    !send_window_open(&w, (size_t)c->bytes))
					continue;
				own_free = MAX(own_free, (double)now) +
					   c->bytes / c->own;
				longest = MAX(longest, own_free - (double)now);
				*r = (struct receiver){ true, false, now,
							arrival(c, own_free) };
				last = MAX(last, r->here_ms);
				send_window_sent(&w, (size_t)c->bytes);
			}
			send_window_tick(&w, now);
		}
		if (last > c->most_ms || longest > HEARTBEAT_MS)
			fail_msg("%s: the last after %" PRId64
				 " ms, a heartbeat stood for %.0f ms",
				 c->label, last, longest);
		for (int i = 0; i < c->receivers; i++)
			assert_true(all[i].sent);
		assert_int_equal(w.in_flight, 0);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bulk_reaches_all_soon),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
