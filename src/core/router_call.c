/* Router: creating, queueing and ending calls. */
#include "router_int.h"

static struct ss_str copy_str(struct ss_str s)
{
	char *p = g_malloc(s.n + 1);

	if (s.n)
		memcpy(p, s.p, s.n);
	p[s.n] = 0;
	return (struct ss_str){ p, s.n };
}

static void free_str(struct ss_str *s)
{
	g_free((char *)s->p);
}

void rcall_free(struct rcall *c)
{
	struct header *h = c->m.headers.items;

	for (size_t i = 0; i < c->m.headers.n; i++) {
		free_str(&h[i].name);
		free_str(&h[i].value);
	}
	g_free(h);
	free_str(&c->m.method);
	free_str(&c->m.path);
	free_str(&c->m.body);
	free_str(&c->key);
	free_str(&c->item.customer);
	g_free(c);
}

void router_end_attempt(struct router *r, struct rcall *c)
{
	struct replica_view *v = c->counted ? route_view(c->route, c->replica) :
					      NULL;

	if (v && v->t.own_calls)
		v->t.own_calls--;
	if (v && v->t.sent_since)
		v->t.sent_since--;
	c->counted = false;
	if (c->sub)
		g_hash_table_remove(r->by_sub, &c->sub);
	c->sub = 0;
}

void router_remove_call(struct router *r, struct rcall *c)
{
	if (c->state == RCALL_QUEUED && c->item.flow) {
		ss_queue_remove(c->route->queue, &c->item);
		r->waiting--;
	}
	router_end_attempt(r, c);
	if (c->deadline)
		g_sequence_remove(c->deadline);
	c->deadline = NULL;
}

static void end_call(struct router *r, struct rcall *c,
		     const struct router_result *e)
{
	if (r->submitting == c)
		r->submitting = NULL;
	router_remove_call(r, c);
	r->o.ops->finish(r->o.arg, c, e);
	rcall_free(c);
}

void router_finish(struct router *r, struct rcall *c, enum ss_error code,
		   enum outcome outcome, const char *text,
		   int64_t retry_after_ms)
{
	/* The outcome covers all attempts of the call, not only the last. */
	bool unknown = outcome == OUTCOME_NOT_RUN && c->maybe_ran;
	struct router_result e = { .code = code,
				   .outcome = unknown ? OUTCOME_UNKNOWN :
							outcome,
				   .text = text,
				   .retry_after_ms = retry_after_ms };

	end_call(r, c, &e);
}

void router_finish_ok(struct router *r, struct rcall *c)
{
	struct router_result e = { .outcome = OUTCOME_RAN, .text = "" };

	end_call(r, c, &e);
}

void router_refuse_deadline(struct router *r, struct rcall *c, int64_t wait,
			    const char *text)
{
	r->stats.refused_early++;
	router_finish(r, c, SS_ERROR_DEADLINE, OUTCOME_NOT_RUN, text,
		      MAX(wait, RETRY_AFTER_MIN_MS));
}

void router_set_sub(struct router *r, struct rcall *c)
{
	c->sub = ++r->last_sub;
	g_hash_table_insert(r->by_sub, &c->sub, c);
}

void router_enqueue(struct router *r, struct rcall *c)
{
	GError *error = NULL;

	c->state = RCALL_QUEUED;
	c->agent = NULL;
	if (ss_queue_push(c->route->queue, &c->item, &error)) {
		r->waiting++;
		return;
	}
	router_finish(r, c, SS_ERROR_OVERLOAD, OUTCOME_NOT_RUN, error->message,
		      MAX((int64_t)c->route->service_mean_ms,
			  RETRY_AFTER_MIN_MS));
	g_error_free(error);
}

gint router_by_deadline(gconstpointer a, gconstpointer b, gpointer data)
{
	int64_t x = ((const struct rcall *)a)->item.deadline_ms;
	int64_t y = ((const struct rcall *)b)->item.deadline_ms;

	(void)data;
	return x < y ? -1 : x > y;
}

struct rcall *rcall_new(const struct router_call *o)
{
	struct rcall *c = g_new0(struct rcall, 1);
	struct header *h = g_new0(struct header, o->n_headers);

	for (size_t i = 0; i < o->n_headers; i++) {
		h[i].name = copy_str(o->headers[i].name);
		h[i].value = copy_str(o->headers[i].value);
	}
	c->m.headers = (struct wire_list){ h, o->n_headers };
	c->m.method = copy_str(o->method);
	c->m.path = copy_str(o->path);
	c->m.body = copy_str(o->body);
	c->m.once = o->once;
	c->key = copy_str(o->key);
	c->fingerprint = o->fingerprint;
	c->prefix = o->prefix;
	c->data = o->data;
	c->item.deadline_ms = o->deadline_ms;
	c->item.priority = o->priority;
	c->item.customer = copy_str(o->customer);
	return c;
}

void *rcall_data(const struct rcall *c)
{
	return c->data;
}

void rcall_id(const struct rcall *c, uint64_t *entry, uint64_t *seq)
{
	*entry = c->entry;
	*seq = c->seq;
}
