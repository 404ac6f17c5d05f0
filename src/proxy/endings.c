/*
 * Requests under which an endpoint has ended.
 *
 * A connection that the endpoint's VM closes before the answer is whole says
 * little: the answer may have broken off, the connection may have been reset, or
 * the endpoint has ended with all that it ran. It has ended where nobody listens
 * at its address just after that and no connection to it is left, or where
 * another incarnation is told soon after.
 */
#include "gate_int.h"

#include "../base/log.h"
#include "../net/probe.h"

/* An endpoint's VM answers a connection by then, in ms: fifty round trips. */
#define PROBE_WAIT_MS 500
/* Another incarnation is told of by then, in ms: it starts within some seconds,
 * and the list that tells of it lags. */
#define RESTART_TOLD_MS 10000
/* An end closes all connections at once: what was closed longer before, in ms,
 * has broken off by itself. */
#define TOGETHER_MS 500
/* Requests kept of one end: more than any endpoint runs at a time. */
#define PRINTS_MAX 512

struct ending {
	struct gate *g;
	char *addr, *id;
	uint64_t life;	     /* the gate's number of that incarnation */
	struct probe *probe; /* NULL: it has answered */
	int64_t since_ms;
	GArray *prints; /* struct fingerprint, each once */
};

void ending_free(void *p)
{
	struct ending *e = p;

	if (e->probe)
		probe_cancel(e->probe);
	g_array_unref(e->prints);
	g_free(e->addr);
	g_free(e->id);
	g_free(e);
}

const struct fingerprint *forward_print(struct forward *f)
{
	const struct http1_head *h = caller_call_head(f->caller);

	if (!f->has_print)
		f->print = fingerprint_of(h->method, http1_value(h, "Host"),
					  h->target, f->body);
	f->has_print = true;
	return &f->print;
}

/* The endpoint has ended, and these requests ran there; e is freed. */
static void confirm(struct ending *e, const char *how)
{
	log_warn("endpoint_ended",
		 "addr=%s id=%s requests=%u how=%s ms=%" PRId64, e->addr, e->id,
		 e->prints->len, how, gate_now(e->g) - e->since_ms);
	g_ptr_array_remove_fast(e->g->endings, e);
}

static void on_probe(void *arg, enum probe_result r)
{
	struct ending *e = arg;

	e->probe = NULL;
	if (r == PROBE_REFUSED && !upstream_reaches(e->g->upstream, e->addr))
		confirm(e, "refused");
	/* Its VM is gone with it: that is no request's doing. */
	else if (r == PROBE_SILENT)
		g_ptr_array_remove_fast(e->g->endings, e);
}

static struct ending *ending_of(struct gate *g, const struct gate_ep *ep)
{
	struct ending *e;

	for (guint i = 0; i < g->endings->len; i++) {
		e = g->endings->pdata[i];
		if (e->life == ep->life)
			return e;
	}
	e = g_new0(struct ending, 1);
	e->g = g;
	e->addr = g_strdup(ep->addr);
	e->id = g_strdup(ep->self.id);
	e->life = ep->life;
	e->prints = g_array_new(FALSE, FALSE, sizeof(struct fingerprint));
	g_ptr_array_add(g->endings, e);
	return e;
}

static void add_print(struct ending *e, const struct fingerprint *print)
{
	for (guint i = 0; i < e->prints->len; i++)
		if (fingerprint_equal(&g_array_index(e->prints,
						     struct fingerprint, i),
				      print))
			return;
	if (e->prints->len < PRINTS_MAX)
		g_array_append_val(e->prints, *print);
}

void endings_note(struct forward *f)
{
	const struct gate_ep *ep = gate_ep_of(f);
	struct gate *g = f->g;
	char text[FINGERPRINT_TEXT];
	struct ending *e;

	/* An endpoint that leaves ends as planned. */
	if (!ep || ep->leaving)
		return;
	e = ending_of(g, ep);
	if (gate_now(g) - e->since_ms > TOGETHER_MS)
		g_array_set_size(e->prints, 0);
	e->since_ms = gate_now(g);
	add_print(e, forward_print(f));
	if (!e->probe)
		e->probe = probe_start(g->o.base, e->addr, PROBE_WAIT_MS,
				       on_probe, e);
	log_info("closed_by_endpoint",
		 "request=%s endpoint=%s print=%s ms=%" PRId64, f->id,
		 ep->self.id, fingerprint_text(&f->print, text),
		 gate_now(g) - f->sent_ms);
}

void endings_restarted(struct gate *g, const struct gate_ep *former)
{
	for (guint i = 0; i < g->endings->len; i++) {
		struct ending *e = g->endings->pdata[i];

		if (e->life != former->life)
			continue;
		confirm(e, "restarted");
		return;
	}
}

void endings_tick(struct gate *g, int64_t now)
{
	for (guint i = g->endings->len; i-- > 0;) {
		const struct ending *e = g->endings->pdata[i];

		if (!e->probe && now - e->since_ms > RESTART_TOLD_MS)
			g_ptr_array_remove_index_fast(g->endings, i);
	}
}
