/* Checks by a TCP connection whether a process listens on an address. */
#ifndef SS_PROBE_H
#define SS_PROBE_H

#include <event2/event.h>
#include <sapphireshift/base.h>

enum probe_result {
	PROBE_LISTENS, /* the connection was accepted; it is closed again */
	PROBE_REFUSED, /* the VM is up and no process listens */
	PROBE_SILENT,  /* no answer in time, or another network error */
};

struct probe;

/*
 * Starts a probe. done is called once, from the event loop, unless
 * probe_cancel() is called before; either frees the probe. wait_ms: time limit
 * for an answer.
 */
struct probe *probe_start(struct event_base *base, const char *addr,
			  int64_t wait_ms,
			  void (*done)(void *arg, enum probe_result r),
			  void *arg);
void probe_cancel(struct probe *p);

#endif
