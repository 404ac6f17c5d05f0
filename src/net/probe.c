/* A non-blocking connect() whose outcome shows whether a process listens. */
#include "probe.h"

#include "../base/timeval.h"
#include "addr.h"

#include <errno.h>
#include <event2/util.h>
#include <unistd.h>

struct probe {
	evutil_socket_t fd;
	struct event *ev;
	enum probe_result result; /* valid if immediate */
	bool immediate;		  /* connect() finished without waiting */
	void (*done)(void *arg, enum probe_result r);
	void *arg;
};

void probe_cancel(struct probe *p)
{
	if (p->ev)
		event_free(p->ev);
	if (p->fd >= 0)
		close(p->fd);
	g_free(p);
}

static enum probe_result result_of(int error)
{
	if (error == 0)
		return PROBE_LISTENS;
	return error == ECONNREFUSED ? PROBE_REFUSED : PROBE_SILENT;
}

static void on_ready(evutil_socket_t fd, short what, void *arg)
{
	struct probe *p = arg;
	enum probe_result r = PROBE_SILENT;
	void (*done)(void *, enum probe_result) = p->done;
	void *done_arg = p->arg;
	socklen_t len = sizeof(int);
	int error = 0;

	if (p->immediate)
		r = p->result;
	else if ((what & EV_WRITE) &&
		 getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0)
		r = result_of(error);
	probe_cancel(p);
	done(done_arg, r);
}

static void set_immediate(struct probe *p, enum probe_result r)
{
	p->immediate = true;
	p->result = r;
}

static void start_connect(struct probe *p, const char *addr)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);

	if (!addr_parse(addr, &ss, &len)) {
		set_immediate(p, PROBE_SILENT);
		return;
	}
	p->fd = socket(ss.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
		       0);
	if (p->fd < 0)
		set_immediate(p, PROBE_SILENT);
	else if (connect(p->fd, (struct sockaddr *)&ss, (socklen_t)len) == 0)
		set_immediate(p, PROBE_LISTENS);
	else if (errno != EINPROGRESS)
		set_immediate(p, result_of(errno));
}

struct probe *probe_start(struct event_base *base, const char *addr,
			  int64_t wait_ms,
			  void (*done)(void *arg, enum probe_result r),
			  void *arg)
{
	struct probe *p = g_new0(struct probe, 1);
	struct timeval wait;

	p->fd = -1;
	p->done = done;
	p->arg = arg;
	start_connect(p, addr);
	wait = timeval_from_ms(p->immediate ? 0 : wait_ms);
	p->ev = event_new(base, p->immediate ? -1 : p->fd,
			  p->immediate ? 0 : EV_WRITE, on_ready, p);
	event_add(p->ev, &wait);
	return p;
}
