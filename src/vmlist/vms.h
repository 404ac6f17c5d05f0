/* Polls the platform's list of VMs, which lags behind the actual state. */
#ifndef SS_VMS_H
#define SS_VMS_H

#include <event2/event.h>
#include <sapphireshift/base.h>

enum vm_state { VM_LIVE = 1, VM_DRAINING };

struct vm {
	struct ss_str name;
	enum vm_state state;
};

struct vms;

struct vms_options {
	struct event_base *base;
	const char *addr;	  /* "ip:port" */
	int64_t poll_interval_ms; /* 0: 1000 */
	/* A list was received; its strings are valid until return. */
	void (*list)(void *arg, const struct vm *vms, size_t n);
	void *arg;
};

struct vms *vms_new(const struct vms_options *o);
void vms_free(struct vms *v);

#endif
