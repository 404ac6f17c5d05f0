/* Applies changes to the routing in small steps. */
#include "routing_follow.h"

#include "../../platform/platform.h"

struct routing_follow {
	struct routing_follow_options o;
	struct routing_follower *follower;
	struct event *step_event;
	/* When the oldest change that isn't in force was received. */
	int64_t received_ms;
};

static int64_t now_ms(const struct routing_follow *f)
{
	return ss_clock_now(&f->o.daemon->clock);
}

static void schedule_step(struct routing_follow *f)
{
	static const struct timeval at_once = { 0, 0 };

	event_add(f->step_event, &at_once);
}

static void on_step(evutil_socket_t fd, short what, void *arg)
{
	struct routing_follow *f = arg;
	struct routing *r = routing_follower_table(f->follower);
	GError *error = NULL;

	(void)fd;
	(void)what;
	if (routing_follower_step(f->follower, &error)) {
		log_info("routing",
			 "version=%" PRIu64
			 " routes=%u services=%u ms=%" PRId64,
			 r->version, r->route_count, r->services->len,
			 now_ms(f) - f->received_ms);
		f->received_ms = now_ms(f);
		f->o.applied(f->o.arg, r);
	}
	if (error) {
		/* This is a fault of the program: changes are checked before
		 * they are accepted. */
		log_error("routing_unreadable", "why=\"%s\"", error->message);
		g_error_free(error);
		f->o.unreadable(f->o.arg,
				routing_follower_version(f->follower));
	}
	if (routing_follower_busy(f->follower))
		schedule_step(f);
}

struct routing_follow *
routing_follow_new(const struct routing_follow_options *o)
{
	struct routing_follow *f = g_new0(struct routing_follow, 1);

	f->o = *o;
	f->follower = routing_follower_new(users_platform.routing);
	f->step_event = evtimer_new(o->daemon->base, on_step, f);
	return f;
}

void routing_follow_free(struct routing_follow *f)
{
	if (!f)
		return;
	event_free(f->step_event);
	routing_follower_free(f->follower);
	g_free(f);
}

struct routing *routing_follow_table(const struct routing_follow *f)
{
	return routing_follower_table(f->follower);
}

bool routing_follow_add(struct routing_follow *f, struct ss_str packed)
{
	bool idle = !routing_follower_busy(f->follower);
	GError *error = NULL;

	if (!routing_follower_add(f->follower, packed, &error)) {
		log_warn("routing_useless", "type=%s why=\"%s\"",
			 ss_error_name((enum ss_error)error->code),
			 error->message);
		g_error_free(error);
		return false;
	}
	if (idle) {
		f->received_ms = now_ms(f);
		schedule_step(f);
	}
	return true;
}
