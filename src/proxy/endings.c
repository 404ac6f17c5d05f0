/*
 * Requests under which an endpoint has ended.
 *
 * A connection that the endpoint's VM closes before the answer is whole says
 * little: the answer may have broken off, the connection may have been reset,
 * or the endpoint has ended with all that it ran. It has ended where nobody
 * listens at its address just after that, and no other connection to it is
 * left when those that its end closed have been looked at.
 */
#include "gate_int.h"

#include "../base/log.h"
#include "../net/probe.h"

#include <xxhash.h>

/* The endpoint's VM answers by then, in ms, also where the first packet was
 * lost; an endpoint takes longer to start again. */
#define PROBE_WAIT_MS 1500
/* A process that is short of time has looked at all closed connections by then,
 * in ms; calls that go on without a listener are under way for longer. */
#define CLOSED_WAIT_MS 200
/* Requests kept of one end: more than any endpoint runs at a time. */
#define PRINTS_MAX 512

struct ending {
	struct gate *g;
	char *addr, *id;
	uint64_t life;	       /* the gate's number of that incarnation */
	uint64_t global_life;  /* the same in all processes */
	struct probe *probe;   /* NULL: nobody listens */
	int64_t wait_until_ms; /* for other connections to be closed, then */
	GArray *prints;	       /* struct fingerprint, each once */
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

static void confirm(const struct ending *e)
{
	log_warn("endpoint_ended", "addr=%s id=%s requests=%u", e->addr, e->id,
		 e->prints->len);
	(*e->g->n_ended)++;
	for (guint i = 0; i < e->prints->len; i++)
		quarantine_end(e->g,
			       &g_array_index(e->prints, struct fingerprint, i),
			       e->global_life);
}

static void on_probe(void *arg, enum probe_result r)
{
	struct ending *e = arg;
	struct gate *g = e->g;

	e->probe = NULL;
	e->wait_until_ms = gate_now(g) + CLOSED_WAIT_MS;
	if (r == PROBE_REFUSED && upstream_reaches(g->upstream, e->addr))
		return;
	if (r == PROBE_REFUSED)
		confirm(e);
	g_ptr_array_remove_fast(g->endings, e);
}

void endings_tick(struct gate *g, int64_t now)
{
	for (guint i = g->endings->len; i-- > 0;) {
		struct ending *e = g->endings->pdata[i];
		bool alone = !upstream_reaches(g->upstream, e->addr);

		if (e->probe || (!alone && now < e->wait_until_ms))
			continue;
		if (alone)
			confirm(e);
		g_ptr_array_remove_index_fast(g->endings, i);
	}
}

/* By its id; by its start too, which one that keeps its id tells. */
static uint64_t life_of(const struct gate_ep *ep)
{
	char *text = g_strdup_printf("%s\n%s\n%" PRId64, ep->addr, ep->self.id,
				     ep->self.started_ms);
	uint64_t life = XXH3_64bits(text, strlen(text));

	g_free(text);
	return life;
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
	e->global_life = life_of(ep);
	e->prints = g_array_new(FALSE, FALSE, sizeof(struct fingerprint));
	e->probe = probe_start(g->o.base, e->addr, PROBE_WAIT_MS, on_probe, e);
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
	add_print(e, forward_print(f));
	f->trial_told = true;
	log_info("closed_by_endpoint",
		 "request=%s endpoint=%s print=%s ms=%" PRId64, f->id,
		 ep->self.id, fingerprint_text(&f->print, text),
		 gate_now(g) - f->sent_ms);
}
