/* Whether a process listens at an address, found out by one connection. */
#ifndef SS_PROBE_H
#define SS_PROBE_H

#include <event2/event.h>
#include <sapphireshift/base.h>

enum probe_result {
	PROBE_LISTENS, /* it took the connection, which is closed again */
	PROBE_REFUSED, /* its VM is up, and nobody listens */
	PROBE_SILENT,  /* no answer in time, or another fault on the way */
};

struct probe;

/*
 * Begin; then is called once, never from within, unless probe_cancel() comes
 * first. wait_ms: for an answer. The probe is freed after either.
 */
struct probe *probe_start(struct event_base *base, const char *addr,
			  int64_t wait_ms,
			  void (*then)(void *arg, enum probe_result r),
			  void *arg);
void probe_cancel(struct probe *p);

#endif
