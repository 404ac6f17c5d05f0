/*
 * Polls the platform's list of VMs. GET /vms returns
 * {"vms":[{"name":"...","state":"live"|"leaving"}]}.
 */
#include "vms.h"

#include "../base/timeval.h"
#include "../net/http.h"

#include <json-c/json.h>

#define DEFAULT_INTERVAL_MS 1000
/* Time limit of one answer. */
#define TIMEOUT_MS 2000

struct vms {
	struct vms_options o;
	char *addr;
	struct event *timer;
	bool in_flight, freed;
};

static struct ss_str string_member(json_object *o, const char *key)
{
	json_object *v;

	if (!json_object_object_get_ex(o, key, &v))
		return SS_LIT("");
	return ss_str(json_object_get_string(v));
}

static void process_list(struct vms *v, json_object *list)
{
	GArray *vms = g_array_new(FALSE, FALSE, sizeof(struct vm));

	for (size_t i = 0; i < json_object_array_length(list); i++) {
		json_object *o = json_object_array_get_idx(list, i);
		struct vm vm = { .name = string_member(o, "name"),
				 .state = VM_LIVE };

		if (ss_str_eq(string_member(o, "state"), SS_LIT("leaving")))
			vm.state = VM_DRAINING;
		if (vm.name.n)
			g_array_append_val(vms, vm);
	}
	v->o.list(v->o.arg, (struct vm *)vms->data, vms->len);
	g_array_unref(vms);
}

static void on_list(void *arg, int status, struct ss_str body,
		    const GError *error)
{
	struct vms *v = arg;
	char *text = ss_str_dup(body);
	json_object *o = NULL, *list;

	(void)error;
	v->in_flight = false;
	if (v->freed) {
		g_free(v);
	} else if (status == 200) {
		o = json_tokener_parse(text);
		if (json_object_is_type(o, json_type_object) &&
		    json_object_object_get_ex(o, "vms", &list) &&
		    json_object_is_type(list, json_type_array))
			process_list(v, list);
	}
	json_object_put(o);
	g_free(text);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct vms *v = arg;
	struct http_request_options get = { .base = v->o.base,
					    .addr = v->addr,
					    .method = "GET",
					    .path = "/vms",
					    .timeout_ms = TIMEOUT_MS,
					    .done = on_list,
					    .arg = v };

	(void)fd;
	(void)what;
	if (v->in_flight)
		return;
	v->in_flight = true;
	http_request(&get);
}

struct vms *vms_new(const struct vms_options *o)
{
	struct vms *v = g_new0(struct vms, 1);
	int64_t ms = o->poll_interval_ms ? o->poll_interval_ms :
					   DEFAULT_INTERVAL_MS;
	struct timeval tv = timeval_from_ms(ms);

	v->o = *o;
	v->addr = g_strdup(o->addr);
	v->timer = event_new(o->base, -1, EV_PERSIST, on_timer, v);
	event_add(v->timer, &tv);
	return v;
}

void vms_free(struct vms *v)
{
	if (!v)
		return;
	event_free(v->timer);
	g_clear_pointer(&v->addr, g_free);
	/* A request in flight frees v in its callback. */
	if (v->in_flight)
		v->freed = true;
	else
		g_free(v);
}
