/* Polls the platform's list of endpoints. */
#include "instances.h"

#include "../base/log.h"
#include "../base/timeval.h"
#include "../net/http.h"

/* Timeout of one page. After a lost answer, the next poll still completes
 * within the 3 s in which traffic must leave a draining endpoint. */
#define PAGE_TIMEOUT_MS 1500
/* Guards against a faulty server whose list never ends. */
#define PAGES_MAX 2000
/* The server limits the rate of all its clients together. A page that it
 * refuses is requested again after a pause. Starting over would spend that rate
 * on pages that are read already, and might never complete. */
#define RATE_LIMITED_PAUSE_MS 60
#define RATE_LIMITED_RETRIES_MAX 100
#define STATUS_TOO_MANY_REQUESTS 429
/* Unreadable items are logged at this interval, and up to this many of a
 * poll: a faulty writer may corrupt all of them for hours. */
#define UNREADABLE_LOG_INTERVAL_MS 10000
#define UNREADABLE_LOG_ITEMS_MAX 4

struct instances {
	struct instances_options o;
	char *addr;
	struct event *poll_timer, *retry_timer;
	struct ss_clock clock;
	struct fleet_list list; /* items of the pages read so far */
	char *page; /* token of the requested page; NULL: the first */
	/* Pages read and requests refused in this poll. */
	unsigned int pages, rate_limited;
	bool enabled, in_progress, freed;
	bool failed;	   /* the last poll failed, which is logged once */
	int64_t logged_ms; /* last log of unreadable items; 0: never */
	uint64_t *n_unreadable, *n_incomplete;
};

static void reset_poll(struct instances *v)
{
	fleet_list_clear(&v->list);
	v->pages = v->rate_limited = 0;
	g_clear_pointer(&v->page, g_free);
}

static void destroy(struct instances *v)
{
	reset_poll(v);
	event_free(v->poll_timer);
	event_free(v->retry_timer);
	g_free(v->addr);
	g_free(v);
}

static void request_page(struct instances *v);

static void fail_poll(struct instances *v, const char *why)
{
	if (!v->failed)
		log_warn("list_lost", "addr=%s why=\"%s\"", v->addr, why);
	v->failed = true;
	reset_poll(v);
}

static void report_unreadable(struct instances *v)
{
	const GArray *u = v->list.unreadable;
	int64_t now = ss_clock_now(&v->clock);

	*v->n_unreadable += u->len;
	*v->n_incomplete += !v->list.complete;
	if ((!u->len && v->list.complete) ||
	    (v->logged_ms && now - v->logged_ms < UNREADABLE_LOG_INTERVAL_MS))
		return;
	v->logged_ms = now;
	log_warn("list_unreadable", "addr=%s entries=%u readable=%u whole=%d",
		 v->addr, u->len, v->list.instances->len, v->list.complete);
	for (guint i = 0; i < MIN(u->len, UNREADABLE_LOG_ITEMS_MAX); i++) {
		const struct fleet_unreadable *x =
			&g_array_index(u, struct fleet_unreadable, i);

		log_warn("list_entry_unreadable", "id=%s at=%s why=\"%s\"",
			 x->id ? x->id : "-", x->addr ? x->addr : "-", x->why);
	}
}

static void process_page(struct instances *v, struct ss_str body)
{
	GError *error = NULL;
	char *next = NULL;

	if (!v->o.platform->read_list(body, &v->list, &next, &error)) {
		fail_poll(v, error->message);
		g_error_free(error);
		return;
	}
	if (next && ++v->pages < PAGES_MAX) {
		g_free(v->page);
		v->page = next;
		request_page(v);
		return;
	}
	v->list.complete &= !next;
	g_free(next);
	if (v->failed)
		log_info("list_back", "addr=%s", v->addr);
	v->failed = false;
	report_unreadable(v);
	if (v->enabled)
		v->o.list(v->o.arg, &v->list);
	reset_poll(v);
}

static void on_page(void *arg, int status, struct ss_str body,
		    const GError *error)
{
	struct instances *v = arg;
	char why[32];

	v->in_progress = false;
	if (v->freed) {
		destroy(v);
		return;
	}
	if (status == 200) {
		process_page(v, body);
		return;
	}
	if (status == STATUS_TOO_MANY_REQUESTS &&
	    v->rate_limited++ < RATE_LIMITED_RETRIES_MAX) {
		struct timeval pause = { 0, RATE_LIMITED_PAUSE_MS * 1000 };

		v->in_progress = true;
		event_add(v->retry_timer, &pause);
		return;
	}
	g_snprintf(why, sizeof(why), "status %d", status);
	fail_poll(v, error ? error->message : why);
}

static void request_page(struct instances *v)
{
	char *path = v->o.platform->list_path(v->page);
	struct http_request_options get = { .base = v->o.base,
					    .addr = v->addr,
					    .method = "GET",
					    .path = path,
					    .timeout_ms = PAGE_TIMEOUT_MS,
					    .done = on_page,
					    .arg = v };

	v->in_progress = true;
	http_request(&get);
	g_free(path);
}

static void on_retry_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	request_page(arg);
}

static void on_poll_timer(evutil_socket_t fd, short what, void *arg)
{
	struct instances *v = arg;

	(void)fd;
	(void)what;
	if (v->in_progress || !v->enabled)
		return;
	reset_poll(v);
	fleet_list_init(&v->list);
	request_page(v);
}

struct instances *instances_new(const struct instances_options *o)
{
	struct instances *v = g_new0(struct instances, 1);

	v->o = *o;
	v->addr = g_strdup(o->addr);
	ss_clock_init(&v->clock);
	v->n_unreadable =
		metrics_value(o->metrics, "ss_list_unreadable_total", "");
	v->n_incomplete = metrics_value(o->metrics, "ss_list_parts_total", "");
	v->poll_timer = event_new(o->base, -1, EV_PERSIST, on_poll_timer, v);
	v->retry_timer = evtimer_new(o->base, on_retry_timer, v);
	return v;
}

void instances_set_polling(struct instances *v, bool enabled)
{
	struct timeval interval = timeval_from_ms(v->o.poll_interval_ms);

	if (v->enabled == enabled)
		return;
	v->enabled = enabled;
	if (enabled) {
		event_add(v->poll_timer, &interval);
		on_poll_timer(-1, 0, v);
	} else {
		event_del(v->poll_timer);
	}
}

void instances_free(struct instances *v)
{
	if (!v)
		return;
	v->freed = true;
	v->enabled = false;
	event_del(v->poll_timer);
	/* A request in flight frees v in its callback; a pending retry is
	 * dropped. */
	if (!v->in_progress || evtimer_pending(v->retry_timer, NULL))
		destroy(v);
}
