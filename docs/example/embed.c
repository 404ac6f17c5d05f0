/*
 * Example of embedding the admission queue in another program: a libevent loop
 * that queues sample calls with a priority, a deadline and a customer, and
 * serves them one at a time.
 */
#include <event2/event.h>
#include <sapphireshift/limit.h>
#include <sapphireshift/queue.h>
#include <stdio.h>

struct call {
	struct ss_queue_item item; /* first: the queue returns its address */
	const char *name;
};

struct server {
	struct event_base *base;
	struct ss_clock clock;
	struct ss_queue *queue;
};

static void serve_next(evutil_socket_t fd, short what, void *arg)
{
	struct server *s = arg;
	struct call *c = (struct call *)ss_queue_pop(
		s->queue, ss_clock_now(&s->clock), 0);

	(void)fd;
	(void)what;
	if (!c) {
		event_base_loopbreak(s->base);
		return;
	}
	printf("%s (customer %.*s, priority %d)\n", c->name,
	       SS_FMT(c->item.customer), c->item.priority);
}

int main(void)
{
	struct ss_queue_options o = { .raise_ms = 1000 };
	struct timeval interval = { 0, 1000 };
	struct server s = { .base = event_base_new(),
			    .queue = ss_queue_new(&o) };
	struct call calls[] = {
		{ { .priority = 1,
		    .deadline_ms = 60000,
		    .customer = SS_LIT("desk") },
		  "nightly summary" },
		{ { .priority = 5,
		    .deadline_ms = 9000,
		    .customer = SS_LIT("desk") },
		  "draft" },
		{ { .priority = 6,
		    .deadline_ms = 4000,
		    .customer = SS_LIT("phone") },
		  "status query" },
	};
	struct event *timer = event_new(s.base, -1, EV_PERSIST, serve_next, &s);

	ss_clock_init(&s.clock);
	for (size_t i = 0; i < sizeof(calls) / sizeof(*calls); i++) {
		GError *error = NULL;

		calls[i].item.deadline_ms += ss_clock_now(&s.clock);
		if (!ss_queue_push(s.queue, &calls[i].item, &error)) {
			printf("%s: refused, %s\n", calls[i].name,
			       error->message);
			g_error_free(error);
		}
	}
	event_add(timer, &interval);
	event_base_dispatch(s.base);
	event_free(timer);
	ss_queue_free(s.queue);
	event_base_free(s.base);
	return 0;
}
