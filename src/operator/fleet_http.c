/* HTTP API of a fleet's own operators. */
#include "fleet_http.h"

#include <json-c/json.h>

#include "../base/log.h"
#include "../core/fingerprint.h"

#define PATH_STATUS "/v1/status"
#define PATH_QUARANTINES "/v1/quarantines/"

struct fleet_request {
	const struct routing_http_ops *ops;
	void *arg;
	struct evhttp_request *req;
	struct fingerprint lifted;
};

static const char *path_of(struct evhttp_request *req)
{
	return evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
}

static bool is_status(struct evhttp_request *req)
{
	return evhttp_request_get_command(req) == EVHTTP_REQ_GET &&
	       !strcmp(path_of(req), PATH_STATUS);
}

static bool is_lift(struct evhttp_request *req)
{
	return evhttp_request_get_command(req) == EVHTTP_REQ_DELETE &&
	       g_str_has_prefix(path_of(req), PATH_QUARANTINES);
}

bool fleet_http_knows(struct evhttp_request *req)
{
	return is_status(req) || is_lift(req);
}

static void fail(struct fleet_request *r, enum ss_error code, const char *text)
{
	GError *e = g_error_new(SS_ERROR, (gint)code, "%s", text);

	http_reply_error(r->req, e);
	g_error_free(e);
	g_free(r);
}

static void on_lifted(void *arg, const struct command_result *result,
		      const GError *error)
{
	struct fleet_request *r = arg;
	char text[FINGERPRINT_TEXT_SIZE];

	if (error || result->code) {
		fail(r, SS_ERROR_UNAVAILABLE,
		     error ? error->message : result->text);
		return;
	}
	log_info("quarantine_deleted", "print=%s",
		 fingerprint_text(&r->lifted, text));
	http_reply(r->req, 200, "application/json", SS_LIT("{}"));
	g_free(r);
}

static bool is_quarantined(const struct fleet_request *r)
{
	const struct ss_state *s = r->ops->state(r->arg);

	for (GList *p = ss_state_quarantines(s)->head; p; p = p->next) {
		const struct quarantine_rec *q = p->data;

		if (q->fingerprint_hi == r->lifted.hi &&
		    q->fingerprint_lo == r->lifted.lo)
			return true;
	}
	return false;
}

static void lift(struct fleet_request *r)
{
	struct quarantine_rec rec = { .removed = true };
	struct command c = { .kind = COMMAND_QUARANTINES_PUT,
			     .quarantines = &rec,
			     .n_quarantines = 1 };
	const char *name = path_of(r->req) + strlen(PATH_QUARANTINES);

	if (!fingerprint_read(ss_str(name), &r->lifted)) {
		fail(r, SS_ERROR_BAD_REQUEST, "not a print of a quarantine");
		return;
	}
	if (!is_quarantined(r)) {
		fail(r, SS_ERROR_NOT_FOUND, "no such quarantine");
		return;
	}
	rec.fingerprint_hi = r->lifted.hi;
	rec.fingerprint_lo = r->lifted.lo;
	r->ops->change(r->arg, &c, (struct operator_callback){ on_lifted, r });
}

static void on_confirmed(void *arg, bool ok)
{
	struct fleet_request *r = arg;
	json_object *o;

	if (!ok) {
		fail(r, SS_ERROR_NOT_LEADER,
		     "this VM doesn't lead, or no majority confirms it");
	} else if (is_lift(r->req)) {
		lift(r);
	} else {
		o = json_object_new_object();
		r->ops->status(r->arg, o);
		http_reply_json(r->req, 200, o);
		g_free(r);
	}
}

void fleet_http_answer(const struct routing_http_ops *ops, void *arg,
		       struct evhttp_request *req)
{
	struct fleet_request *r = g_new0(struct fleet_request, 1);

	r->ops = ops;
	r->arg = arg;
	r->req = req;
	ops->confirm(arg, on_confirmed, r);
}
