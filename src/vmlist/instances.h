/* Polls the platform's list of endpoints, page by page. */
#ifndef SS_INSTANCES_H
#define SS_INSTANCES_H

#include <event2/event.h>

#include "../base/metrics.h"
#include "../proxy/platform_ops.h"

struct instances;

struct instances_options {
	struct event_base *base;
	const struct platform_ops *platform;
	const char *addr; /* "ip:port" */
	int64_t poll_interval_ms;
	struct metrics *metrics;
	/* A poll completed; the list of all its pages is valid until return. */
	void (*list)(void *arg, struct fleet_list *list);
	void *arg;
};

struct instances *instances_new(const struct instances_options *o);
void instances_free(struct instances *v);

/* Starts or stops polling; initially stopped. Starting polls at once. */
void instances_set_polling(struct instances *v, bool enabled);

#endif
