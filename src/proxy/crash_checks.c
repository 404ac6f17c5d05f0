/*
 * Detects endpoints that crashed, and the requests that they were running.
 *
 * An endpoint's VM may close a connection before the answer is complete
 * because the answer broke off, the connection was reset, or the endpoint
 * crashed. The close counts as a crash if nothing listens at the endpoint's
 * address right after it, and no other connection to the endpoint remains once
 * those that a crash would have closed were handled.
 */
#include "gate_int.h"

#include "../base/log.h"
#include "../net/probe.h"

#include <xxhash.h>

/* Timeout of a probe. The endpoint's VM answers sooner even if the first packet
 * is lost, and an endpoint takes longer to restart. */
#define PROBE_TIMEOUT_MS 1500
/* Time that the other connections to an endpoint have to close. Even a process
 * short of CPU has by then handled those that a crash closed, while calls that
 * continue without a listener run for longer. */
#define CLOSED_WAIT_MS 200
/* Suspects kept for one crash: more than the requests that an endpoint runs at
 * a time, and the parts of their prompts. */
#define SUSPECTS_PER_CRASH_MAX 4096
/* Maximum length of the list of a prompt's parts in a log line, in bytes. */
#define PARTS_LOG_MAX 256

/* An endpoint that may have crashed. */
struct crash_check {
	struct gate *g;
	char *addr, *id;
	uint64_t incarnation_no;   /* this gate's number of it */
	uint64_t incarnation_hash; /* the same in all processes */
	struct probe *probe;	   /* NULL: done; nothing listens there */
	/* End of the wait for other connections to close; set once the probe
	 * is done. */
	int64_t wait_until_ms;
	GHashTable *runs; /* struct crashed_run, by its fingerprint */
	unsigned int requests;
};

/* The newest run of a suspect on the endpoint. */
struct crashed_run {
	struct fingerprint fp;
	int64_t began_ms;
};

void crash_check_free(void *p)
{
	struct crash_check *c = p;

	if (c->probe)
		probe_cancel(c->probe);
	g_hash_table_unref(c->runs);
	g_free(c->addr);
	g_free(c->id);
	g_free(c);
}

/* Reports the crash with the requests that were running. */
static void report_crash(const struct crash_check *c)
{
	GHashTableIter it;
	void *p;

	log_warn("endpoint_ended", "addr=%s id=%s requests=%u", c->addr, c->id,
		 c->requests);
	(*c->g->n_crashes)++;
	g_hash_table_iter_init(&it, c->runs);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct crashed_run *r = p;

		quarantine_note_crash(c->g, &r->fp, c->incarnation_hash,
				      r->began_ms);
	}
	quarantine_end_crash(c->g);
}

static void on_probe(void *arg, enum probe_result r)
{
	struct crash_check *c = arg;
	struct gate *g = c->g;

	c->probe = NULL;
	c->wait_until_ms = gate_now(g) + CLOSED_WAIT_MS;
	if (r == PROBE_REFUSED && upstream_is_connected(g->upstream, c->addr))
		return;
	if (r == PROBE_REFUSED)
		report_crash(c);
	g_ptr_array_remove_fast(g->crash_checks, c);
}

void crash_checks_tick(struct gate *g, int64_t now)
{
	for (guint i = g->crash_checks->len; i-- > 0;) {
		struct crash_check *c = g->crash_checks->pdata[i];
		bool no_connection =
			!upstream_is_connected(g->upstream, c->addr);

		if (c->probe || (!no_connection && now < c->wait_until_ms))
			continue;
		if (no_connection)
			report_crash(c);
		g_ptr_array_remove_index_fast(g->crash_checks, i);
	}
}

/* Hashes an incarnation's address, id and start time. The start time
 * distinguishes the incarnations of an endpoint that keeps its id over a
 * restart. */
static uint64_t hash_incarnation(const struct gate_ep *ep)
{
	char *text = g_strdup_printf("%s\n%s\n%" PRId64, ep->addr, ep->self.id,
				     ep->self.started_ms);
	uint64_t hash = XXH3_64bits(text, strlen(text));

	g_free(text);
	return hash;
}

/* Returns the check of an endpoint's incarnation; starts one if there is
 * none. */
static struct crash_check *crash_check_of(struct gate *g,
					  const struct gate_ep *ep)
{
	struct crash_check *c;

	for (guint i = 0; i < g->crash_checks->len; i++) {
		c = g->crash_checks->pdata[i];
		if (c->incarnation_no == ep->incarnation_no)
			return c;
	}
	c = g_new0(struct crash_check, 1);
	c->g = g;
	c->addr = g_strdup(ep->addr);
	c->id = g_strdup(ep->self.id);
	c->incarnation_no = ep->incarnation_no;
	c->incarnation_hash = hash_incarnation(ep);
	c->runs = g_hash_table_new_full(fingerprint_hash, fingerprint_equal,
					NULL, g_free);
	c->probe =
		probe_start(g->o.base, c->addr, PROBE_TIMEOUT_MS, on_probe, c);
	g_ptr_array_add(g->crash_checks, c);
	return c;
}

static void add_run(struct crash_check *c, const struct fingerprint *fp,
		    int64_t began_ms)
{
	struct crashed_run *r = g_hash_table_lookup(c->runs, fp);

	if (!r && g_hash_table_size(c->runs) == SUSPECTS_PER_CRASH_MAX)
		return;
	if (!r) {
		r = g_new0(struct crashed_run, 1);
		r->fp = *fp;
		r->began_ms = began_ms;
		g_hash_table_insert(c->runs, &r->fp, r);
	}
	r->began_ms = MAX(r->began_ms, began_ms);
}

/* Adds a request and the shared parts of its prompt. */
static void add_request(struct crash_check *c, struct forward *f)
{
	struct ss_str parts = prompt_shared(f->call.prompt);
	struct fingerprint fp;

	c->requests++;
	add_run(c, forward_fingerprint(f), f->sent_ms);
	while (prompt_next_fingerprint(&parts, &fp))
		add_run(c, &fp, f->sent_ms);
}

/* Returns the ids of a prompt's shared parts for a log line, "-" if it has
 * none. */
static GString *parts_text(struct ss_str prompt)
{
	struct ss_str rest = prompt_shared(prompt), id;
	GString *s = g_string_new(NULL);

	while (s->len < PARTS_LOG_MAX && prompt_next(&rest, &id))
		g_string_append_printf(s, "%s%.*s", s->len ? "," : "",
				       SS_FMT(id));
	g_string_truncate(s, MIN(s->len, PARTS_LOG_MAX));
	return s->len ? s : g_string_append_c(s, '-');
}

void crash_check_begin(struct forward *f)
{
	const struct gate_ep *ep = gate_ep_of(f);
	struct gate *g = f->g;
	char text[FINGERPRINT_TEXT_SIZE];
	struct crash_check *c;
	GString *parts;

	/* A draining endpoint ends as planned, and doesn't crash. */
	if (!ep || ep->draining)
		return;
	c = crash_check_of(g, ep);
	add_request(c, f);
	f->trial_reported = true;
	parts = parts_text(f->call.prompt);
	log_info("closed_by_endpoint",
		 "request=%s endpoint=%s print=%s parts=%s started=%d "
		 "ms=%" PRId64,
		 f->id, ep->self.id, fingerprint_text(&f->fingerprint, text),
		 parts->str, f->started, gate_now(g) - f->sent_ms);
	g_string_free(parts, TRUE);
}
