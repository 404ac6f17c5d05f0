/*
 * Raft: the election timeout. A fixed one that is shorter than an exchange with
 * the group elects nobody, and a leader would give up before its first
 * heartbeat can be answered.
 */
#include "raft_int.h"

/* Election timeout in exchanges: one is the answer, the others its variation.
 */
#define TIMEOUT_EXCHANGES 3
/* Limit of the election timeout, in timeouts of the options: a group that is
 * slower than that can't recover in time anyway. */
#define TIMEOUT_MAX 10
/* Time in ms for which a long exchange counts, and in exchanges beyond that:
 * a slow group has few of them. */
#define PACE_HOLD_MS 2000
#define PACE_HOLD_EXCHANGES 4
/* The same for the time between two messages of the leader, of which there are
 * more. */
#define PACE_HOLD_GAPS 2
/* Factor by which the election timeout grows each time it was too short. */
#define TIMEOUT_GROWTH 2
/* Limit in ms of a pause that is excused: after a longer one others may have
 * taken over. */
#define PAUSE_MAX_MS 1000

static void add_sample(struct ss_raft *r, int64_t ms, int64_t holds)
{
	struct raft_pace *p = &r->pace;

	ms = MIN(ms, raft_timeout_max_ms(r) / TIMEOUT_EXCHANGES);

	if (TIMEOUT_EXCHANGES * ms <= r->o.election_ms)
		return;
	p->samples[p->next] = (struct raft_sample){
		.ms = ms,
		.until_ms = r->now + PACE_HOLD_MS + holds * ms,
	};
	p->next = (p->next + 1) % PACE_SAMPLES;
}

void raft_pace_add(struct ss_raft *r, int64_t ms)
{
	add_sample(r, ms, PACE_HOLD_EXCHANGES);
}

/* Finds the longest exchange and the second longest one; 0: none. */
static void find_longest(const struct ss_raft *r, int64_t *longest,
			 int64_t *second)
{
	*longest = *second = 0;
	for (size_t i = 0; i < PACE_SAMPLES; i++) {
		const struct raft_sample *s = &r->pace.samples[i];

		if (r->now >= s->until_ms)
			continue;
		*second = MAX(*second, MIN(*longest, s->ms));
		*longest = MAX(*longest, s->ms);
	}
}

/* One pause between two contacts is excused: with all of them a process that
 * runs a tenth of the time would notice a loss ten times as late. A longer
 * pause isn't counted as a slow exchange at all. */
void ss_raft_paused(struct ss_raft *r, int64_t now, int64_t ms)
{
	if (r->broken)
		return;
	r->now = MAX(r->now, now);
	if (r->role == SS_RAFT_LEADER)
		raft_heartbeat(r);
	if (ms > PAUSE_MAX_MS) {
		r->heard_ms = MIN(r->heard_ms + ms, r->now);
		r->timed_ms = MIN(r->timed_ms + ms, r->now);
	}
	if (r->excused)
		return;
	r->excused = true;
	ms = CLAMP(ms, 0, PAUSE_MAX_MS);
	r->leader_contact_ms = MIN(r->leader_contact_ms + ms, r->now);
	for (guint i = 0; i < r->peers->len; i++) {
		struct peer *p = raft_peer_at(r, i);

		p->contact_ms = MIN(p->contact_ms + ms, r->now);
	}
}

int64_t raft_timeout_max_ms(const struct ss_raft *r)
{
	return TIMEOUT_MAX * r->o.election_ms;
}

/* Returns true while this member awaits the first answers in a new role, or the
 * leader that it has voted for: one long exchange counts then. */
static bool awaits_first(const struct ss_raft *r)
{
	if (r->role == SS_RAFT_CANDIDATE || r->role == SS_RAFT_LEADER)
		return !r->answered;
	return r->role == SS_RAFT_FOLLOWER && !r->leader && r->voted_ms;
}

int64_t raft_timeout_ms(const struct ss_raft *r)
{
	int64_t longest, second;

	find_longest(r, &longest, &second);
	return CLAMP(TIMEOUT_EXCHANGES * (awaits_first(r) ? longest : second),
		     r->o.election_ms, raft_timeout_max_ms(r));
}

void raft_pace_contact(struct ss_raft *r, const struct ss_raft_msg *m)
{
	r->excused = false;
	if (r->former == m->from && r->contact_term == m->term)
		add_sample(r, r->now - r->heard_ms, PACE_HOLD_GAPS);
	r->heard_ms = r->now;
}

void raft_pace_gave_up(struct ss_raft *r)
{
	r->gave_up_ms = raft_timeout_ms(r);
}

/* A leader that stepped down for lack of answers, and is elected again with
 * nobody elected in between, had too short a timeout: members with a small
 * share of a processor are silent for longer than any exchange that it has
 * measured.
 */
void raft_pace_elected(struct ss_raft *r)
{
	int64_t ms = TIMEOUT_GROWTH * r->gave_up_ms / TIMEOUT_EXCHANGES;

	/* One sample alone may be a pause, and counts only at first. */
	for (int i = 0; r->gave_up_ms && i < 2; i++)
		raft_pace_add(r, ms);
}

void raft_pace_round(struct ss_raft *r, uint64_t round)
{
	if (!r->timed_round || round < r->timed_round)
		return;
	r->timed_round = 0;
	r->answered = true;
	r->excused = false;
	raft_pace_add(r, r->now - r->timed_ms);
}
