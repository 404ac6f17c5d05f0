/*
 * Versions of endpoints' software, and the streams that they began, in the
 * replicated log. Without these records the leader after a loss of all
 * processes would know the versions that are listed now only, and take a sole
 * one for that of all streams.
 *
 * A version is recorded from its first endpoint on until its streams can't be
 * resumed any more. Streams are recorded only while their service has several.
 */
#include "fleet_leader_int.h"

#include "../core/stream_wire.h"

/* Interval of proposals, in ms. It bounds the age of the streams that are lost
 * with all processes; each proposal is a sync at the control VMs. */
#define PROPOSE_INTERVAL_MS 100
/* A proposal without a result is given up after this time, in ms. */
#define PROPOSE_TIMEOUT_MS 2000
/* Interval at which versions that are gone are looked for, in ms. */
#define VERSIONS_CHECK_MS 1000
/* Streams in one command: 8 KB. */
#define STREAMS_PER_COMMAND 1024

/* Takes over what the log holds, from former leaders. */
static void restore(struct fleet_leader *l, const struct stream_rec *x)
{
	int64_t left_ms = x->keys.n ? x->until_ms - ss_wall_ms() :
				      STREAM_LIFETIME_MAX_MS;
	struct stream_group g = { .service = x->service,
				  .version = x->version,
				  .keys = x->keys,
				  .ttl_ms = CLAMP(left_ms, 0,
						  STREAM_LIFETIME_MAX_MS) };
	struct msg_streams m = { .groups = { &g, 1 } };

	stream_wire_apply(l->streams, &m, fleet_leader_now(l));
}

void fleet_streams_log_begin(struct fleet_leader *l)
{
	for (GList *p = ss_state_streams(group_state(l->g))->head; p;
	     p = p->next)
		restore(l, p->data);
}

/* A proposal, and the mark to return to if it fails. */
struct streams_proposal {
	struct fleet_leader *l;
	uint64_t mark;
};

static void on_proposed(void *arg, const struct command_result *r,
			const GError *error)
{
	struct streams_proposal *p = arg;

	(void)r;
	/* The leader's state is gone with its leadership. */
	if (!error || error->code != SS_ERROR_NOT_LEADER) {
		p->l->streams_pending = false;
		if (error)
			p->l->streams_logged = p->mark;
	}
	g_free(p);
}

static void propose(struct fleet_leader *l, GArray *recs, uint64_t mark,
		    int64_t now)
{
	struct command c = { .kind = COMMAND_STREAMS_PUT,
			     .streams = (struct stream_rec *)recs->data,
			     .n_streams = recs->len };
	struct streams_proposal *p = g_new0(struct streams_proposal, 1);

	p->l = l;
	p->mark = mark;
	l->streams_pending = true;
	l->streams_proposed_ms = now;
	group_change(l->g, &c, (struct change_done){ on_proposed, p });
}

static void add_version(GArray *recs, const char *service, const char *version,
			bool removed)
{
	struct stream_rec x = { .service = ss_str(service),
				.version = ss_str(version),
				.removed = removed };

	g_array_append_val(recs, x);
}

/* Adds the recorded versions whose streams can't be resumed any more. */
static void add_removed_versions(struct fleet_leader *l, GArray *recs,
				 int64_t now)
{
	if (now - l->versions_checked_ms < VERSIONS_CHECK_MS)
		return;
	l->versions_checked_ms = now;
	for (GList *p = ss_state_streams(group_state(l->g))->head; p;
	     p = p->next) {
		const struct stream_rec *x = p->data;

		/* The state's strings end in a zero byte. */
		if (!x->keys.n &&
		    !stream_log_has_version(l->streams, x->service.p,
					    x->version.p, now))
			add_version(recs, x->service.p, x->version.p, true);
	}
}

/* Adds new versions and keeps the streams of services with several versions in
 * items. Returns true if a version is new. */
static bool add_new_versions(struct fleet_leader *l, GArray *items,
			     GArray *recs, int64_t now)
{
	const struct ss_state *s = group_state(l->g);
	bool found = false;

	for (guint i = items->len; i-- > 0;) {
		const struct stream_item *x =
			&g_array_index(items, struct stream_item, i);

		if (!x->key &&
		    !ss_state_has_version(s, x->service, x->version)) {
			add_version(recs, x->service, x->version, false);
			found = true;
		}
		if (!x->key ||
		    stream_log_sole_version(l->streams, x->service, now))
			g_array_remove_index_fast(items, i);
	}
	return found;
}

static void add_streams(const struct stream_wire *w, GArray *recs)
{
	const struct stream_group *g = w->m.groups.items;

	for (size_t i = 0; i < w->m.groups.n; i++) {
		struct stream_rec x = { .service = g[i].service,
					.version = g[i].version,
					.keys = g[i].keys,
					.until_ms =
						ss_wall_ms() + g[i].ttl_ms };

		g_array_append_val(recs, x);
	}
}

static void propose_changes(struct fleet_leader *l, int64_t now)
{
	GArray *recs = g_array_new(FALSE, FALSE, sizeof(struct stream_rec));
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct stream_item));
	uint64_t mark = l->streams_logged;
	struct stream_wire w;

	add_removed_versions(l, recs, now);
	l->streams_logged = stream_log_changes(l->streams, mark,
					       STREAMS_PER_COMMAND, now, items);
	/* With a second version the streams of the first one count, too. */
	if (add_new_versions(l, items, recs, now)) {
		l->streams_logged = 0;
		g_array_set_size(items, 0);
	}
	stream_wire_pack(&w, items);
	add_streams(&w, recs);
	if (recs->len)
		propose(l, recs, mark, now);
	stream_wire_clear(&w);
	g_array_unref(items);
	g_array_unref(recs);
}

void fleet_streams_log_tick(struct fleet_leader *l, int64_t now)
{
	int64_t since_ms = now - l->streams_proposed_ms;

	if (since_ms < PROPOSE_INTERVAL_MS ||
	    (l->streams_pending && since_ms < PROPOSE_TIMEOUT_MS))
		return;
	if (now - l->versions_checked_ms >= VERSIONS_CHECK_MS ||
	    !stream_log_is_reported(l->streams, l->streams_logged))
		propose_changes(l, now);
}
