/* Log lines of the control group: who may vote, who was asked and what they
 * answered, how long disks and members take. */
#include "group_int.h"

/* Interval in ms at which a line is repeated though nothing has changed. */
#define REPEAT_MS 5000
/* Time in ms from which a sync or an answer counts as slow. */
#define SLOW_MS 200

static const char *const answer_names[] = {
	[SS_RAFT_NO_ANSWER] = "none",
	[SS_RAFT_GRANTED] = "granted",
	[SS_RAFT_REFUSED] = "refused",
	[SS_RAFT_BEHIND] = "behind",
	[SS_RAFT_HAS_LEADER] = "has_leader",
	[SS_RAFT_VOTED] = "voted",
	[SS_RAFT_OLD_TERM] = "old_term",
	[SS_RAFT_GOES_FIRST] = "goes_first",
};

void group_log_start(struct group *g)
{
	const struct ss_raft_members *all = ss_raft_members(g->raft);
	GString *s = g_string_new(NULL);

	for (size_t i = 0; i < all->n; i++)
		g_string_append_printf(s, "%s%.*s/%" PRIx64 "/%s", i ? "," : "",
				       SS_FMT(all->m[i].addr), all->m[i].id,
				       all->m[i].voter ? "voter" : "learner");
	log_info("group_loaded",
		 "id=%" PRIx64 " term=%" PRIu64 " first=%" PRIu64
		 " last=%" PRIu64 " members=%s",
		 g->loaded.id, ss_raft_term(g->raft), ss_raft_first(g->raft),
		 ss_raft_last(g->raft), s->str);
	g_string_free(s, TRUE);
}

void group_log_role(struct group *g)
{
	enum ss_raft_role role = ss_raft_role(g->raft);
	uint64_t term = ss_raft_term(g->raft);
	uint64_t leader = ss_raft_leader(g->raft);

	if (g->role_term == term && g->role_leader == leader &&
	    (g->role == SS_RAFT_LEADER) == (role == SS_RAFT_LEADER))
		return;
	g->role = role;
	g->role_term = term;
	g->role_leader = leader;
	log_info("role", "role=%s term=%" PRIu64 " leader=%" PRIx64,
		 role == SS_RAFT_LEADER ? "leader" : "follower", term, leader);
}

static bool is_reachable(struct group *g, const struct ss_raft_member *m)
{
	const struct member_conn *o =
		g_hash_table_lookup(g->member_conns, m->addr.p);

	return (o && o->conn && conn_is_open(o->conn)) ||
	       g_hash_table_contains(g->last_conns, &m->id);
}

/* Appends a voter's answer; times are left out of key. */
static void add_ballot(struct group *g, const struct ss_raft_member *m,
		       GString *text, GString *key)
{
	struct ss_raft_ballot b = ss_raft_ballot(g->raft, m->id);
	const char *what = answer_names[b.answer];

	if (b.answer == SS_RAFT_NO_ANSWER && !is_reachable(g, m))
		what = "no_connection";
	g_string_append_printf(text, " %.*s=%s", SS_FMT(m->addr), what);
	g_string_append_printf(key, " %.*s=%s", SS_FMT(m->addr), what);
	if (b.answer != SS_RAFT_NO_ANSWER && b.ms >= 0)
		g_string_append_printf(text, "/%" PRId64 "ms", b.ms);
}

void group_log_votes(struct group *g)
{
	const struct ss_raft_members *all = ss_raft_members(g->raft);
	int64_t now = group_now(g);
	GString *text = g_string_new(NULL);
	GString *key = g_string_new(NULL);

	for (size_t i = 0; i < all->n; i++)
		if (all->m[i].voter && all->m[i].id != g->loaded.id)
			add_ballot(g, &all->m[i], text, key);
	if (g_strcmp0(g->votes_text, key->str) ||
	    now - g->votes_ms >= REPEAT_MS) {
		log_info("votes", "term=%" PRIu64 " last=%" PRIu64 "%s",
			 ss_raft_term(g->raft), ss_raft_last(g->raft),
			 text->str);
		g_free(g->votes_text);
		g->votes_text = g_strdup(key->str);
		g->votes_ms = now;
	}
	g_string_free(text, TRUE);
	g_string_free(key, TRUE);
}

void group_log_waiting(struct group *g)
{
	int64_t now = group_now(g);
	const GPtrArray *control = g->d->config.control;
	size_t open = 0;

	if (g->waiting_ms && now - g->waiting_ms < REPEAT_MS)
		return;
	g->waiting_ms = now;
	for (guint i = 0; i < control->len; i++) {
		const struct member_conn *o =
			g_hash_table_lookup(g->member_conns, control->pdata[i]);

		open += o && o->conn && conn_is_open(o->conn);
	}
	log_info("no_group", "id=%" PRIx64 " asked=%u connected=%zu leader=%s",
		 g->loaded.id, control->len, open,
		 g->leader_hint ? g->leader_hint : "-");
}

/* Returns true if a slow sync or answer is to be logged now. */
static bool is_slow(struct group *g, int64_t ms)
{
	int64_t now = group_now(g);

	if (ms < SLOW_MS || (g->slow_ms && now - g->slow_ms < REPEAT_MS))
		return false;
	g->slow_ms = now;
	return true;
}

void group_note_sync(struct group *g, int64_t start_ms)
{
	int64_t ms = group_now(g) - start_ms;

	hist_add(g->sync_ms, (uint64_t)MAX(ms, 0));
	if (is_slow(g, ms))
		log_info("slow_sync", "ms=%" PRId64, ms);
}

void group_note_exchange(struct group *g, uint64_t id, int64_t ms)
{
	const struct ss_raft_member *m = ss_raft_member(g->raft, id);

	hist_add(g->exchange_ms, (uint64_t)MAX(ms, 0));
	if (m && is_slow(g, ms))
		log_info("slow_exchange", "with=%.*s ms=%" PRId64,
			 SS_FMT(m->addr), ms);
}

void group_note_pause(struct group *g, int64_t ms)
{
	if (is_slow(g, ms))
		log_info("paused", "ms=%" PRId64, ms);
}
