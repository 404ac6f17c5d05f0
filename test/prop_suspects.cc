/*
 * Properties of the quarantine of poison requests under any interleaving of
 * faults: entries that restart or are disconnected, leaders that change or are
 * missing, endpoints that crash for other reasons, messages that are lost. The
 * tables and crash logs of entries and leader are the real ones; the exchange
 * of messages between them is simulated.
 */
#include <rapidcheck.h>

extern "C" {
#include "../src/core/crash_log.h"
#include "../src/core/suspects.h"
}

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace
{

const int64_t kStepMs = 50;
/* Time from a request's threshold crash until all connected entries know. */
const int64_t kSpreadMs = 3000;
/* Runs of a poison request that are allowed after that. */
const size_t kMaxLateRuns = 3;
const int kEndpoints = 6;
const int kPoison = 2, kHarmless = 6; /* requests */
const int64_t kRestartMs = 2000;      /* of an endpoint */

struct Entry {
	suspects *s = nullptr;
	crash_log log;
	uint64_t reported_to = 0; /* leadership that gets its reports */
	uint64_t merged = 0; /* mark up to which the leader has its state */
	int64_t connected_since = 0; /* running, with the same leader */
	int64_t disconnected_until = 0;

	void start(int64_t now)
	{
		suspects_options o = { 256, 0 };

		s = suspects_new(&o, now);
		crash_log_init(&log, 256);
		reported_to = merged = 0;
		connected_since = now;
	}

	void stop()
	{
		suspects_free(s);
		crash_log_clear(&log);
	}
};

/* A run of a request on an endpoint. */
struct Run {
	int entry;
	uint64_t request;
	int64_t began, until;
	bool trial;
};

struct Endpoint {
	uint64_t incarnation_no = 0;
	int64_t down_until = 0;
	std::vector<Run> runs;
};

/* The simulated processes, and what the properties check. Times are in ms. */
struct World {
	std::vector<Entry> entries;
	std::vector<Endpoint> eps;
	suspects *leader = nullptr;
	uint64_t leadership = 0, incarnations = 0;
	int64_t no_leader_until = 0;
	std::map<int, uint64_t> marks; /* of entries, at the leader */
	int64_t now = 1000;
	/* Of poison requests: the time of the threshold crash, all crashes, and
	 * those sent by connected entries kSpreadMs after it or later. */
	std::map<uint64_t, int64_t> threshold_at;
	std::map<uint64_t, size_t> crashes, late_crashes;
	std::set<uint64_t> answered; /* harmless requests */

	explicit World(int n)
	{
		entries.resize(static_cast<size_t>(n));
		eps.resize(kEndpoints);
		for (auto &e : entries)
			e.start(now);
		for (auto &p : eps)
			p.incarnation_no = ++incarnations;
		elect();
	}

	~World()
	{
		for (auto &e : entries)
			e.stop();
		suspects_free(leader);
	}

	static bool is_poison(uint64_t request)
	{
		return request < kPoison;
	}

	static fingerprint fingerprint_no(uint64_t request)
	{
		return { 1, request };
	}

	void elect()
	{
		suspects_options o = { 256, SUSPECT_TRIAL_TIMEOUT_MS };

		suspects_free(leader);
		leader = suspects_new(&o, now);
		leadership++;
		marks.clear();
	}

	void lose_leader(int64_t ms)
	{
		suspects_free(leader);
		leader = nullptr;
		no_leader_until = now + ms;
		for (auto &e : entries)
			e.connected_since = now + ms;
	}

	bool reaches(const Entry &e) const
	{
		return leader && e.disconnected_until <= now;
	}

	bool is_connected(const Entry &e) const
	{
		return reaches(e) && now - e.connected_since > kSpreadMs;
	}

	/* Entries report to the leader, and receive its changes. */
	void exchange()
	{
		for (size_t i = 0; i < entries.size(); i++)
			if (reaches(entries[i]))
				exchange_with(static_cast<int>(i));
	}

	void exchange_with(int i)
	{
		Entry &e = entries[static_cast<size_t>(i)];
		GArray *states =
			g_array_new(FALSE, FALSE, sizeof(suspect_state));
		size_t n;

		if (e.reported_to != leadership) {
			crash_log_rewind(&e.log);
			e.merged = 0;
			e.reported_to = leadership;
		}
		e.merged = suspects_changes(e.s, e.merged, 1000, now, states);
		for (guint k = 0; k < states->len; k++)
			suspects_merge(
				leader, &g_array_index(states, suspect_state, k),
				now);
		const run_outcome *outcomes = crash_log_next(&e.log, 1000, &n);
		for (size_t k = 0; k < n; k++)
			receive(outcomes[k]);
		crash_log_reported(&e.log, n);
		g_array_set_size(states, 0);
		marks[i] = suspects_changes(leader, marks[i], 1000, now, states);
		for (guint k = 0; k < states->len; k++) {
			auto *st = &g_array_index(states, suspect_state, k);

			suspects_apply(e.s, st, now);
			if (st->cleared)
				crash_log_remove_crashes(&e.log, &st->fingerprint, INT64_MAX);
		}
		e.merged = suspects_mark(e.s);
		g_array_unref(states);
	}

	void receive(const run_outcome &x)
	{
		if (x.kind == OUTCOME_CRASHED)
			count(leader, x.fingerprint, x.incarnation_hash, x.at_ms);
		else if (x.kind == OUTCOME_ANSWERED)
			suspects_answered(leader, &x.fingerprint, x.began_ms, now);
		else
			suspects_cancel_trial(leader, &x.fingerprint);
	}

	void count(suspects *s, const fingerprint &fp, uint64_t incarnation_no,
		   int64_t crashed_ms)
	{
		suspect_crash c = { incarnation_no, crashed_ms, crashed_ms,
				    SS_NEVER };

		suspects_add_crash(s, &fp, &c, now);
	}

	void log_outcome(Entry &e, uint64_t request, run_outcome_kind kind,
			 uint64_t incarnation_no, int64_t began)
	{
		run_outcome x = { fingerprint_no(request), kind, incarnation_no,
			       now, began };

		crash_log_add(&e.log, &x);
	}

	/* The endpoint's process crashes, and its VM reports that to all
	 * entries that wait for an answer. */
	void crash(Endpoint &p)
	{
		for (const Run &r : p.runs) {
			Entry &e = entries[static_cast<size_t>(r.entry)];
			fingerprint fp = fingerprint_no(r.request);

			log_outcome(e, r.request, OUTCOME_CRASHED, p.incarnation_no,
				    r.began);
			count(e.s, fp, p.incarnation_no, now);
		}
		power_off(p);
	}

	/* The endpoint's VM loses power: no entry gets a report. */
	void power_off(Endpoint &p)
	{
		p.runs.clear();
		p.incarnation_no = ++incarnations;
		p.down_until = now + kRestartMs;
	}

	Endpoint *any_up(uint64_t choice)
	{
		for (size_t k = 0; k < eps.size(); k++) {
			Endpoint &p = eps[(choice + k) % eps.size()];

			if (p.down_until <= now)
				return &p;
		}
		return nullptr;
	}

	/* A caller's request arrives at an entry. */
	void arrive(int i, uint64_t request, uint64_t choice)
	{
		Entry &e = entries[static_cast<size_t>(i)];
		fingerprint fp = fingerprint_no(request);
		int64_t remaining = suspects_remaining_ms(e.s, &fp, now), wait;
		Endpoint *p = any_up(choice);
		bool trial = false;

		if (!p || remaining > 0)
			return;
		if (remaining == 0) {
			if (!reaches(e))
				return;
			auto admission = suspects_admit(leader, &fp, now, &wait);
			if (admission == SUSPECT_WAIT)
				return;
			trial = admission == SUSPECT_TRIAL;
		}
		p->runs.push_back({ i, request, now, now + 6 * kStepMs, trial });
		if (is_poison(request))
			crash_by(*p, e, request);
	}

	/* A poison request crashes its endpoint. */
	void crash_by(Endpoint &p, const Entry &e, uint64_t request)
	{
		if (threshold_at.count(request) &&
		    now - threshold_at[request] > kSpreadMs && is_connected(e))
			late_crashes[request]++;
		if (++crashes[request] == SUSPECT_CRASH_THRESHOLD)
			threshold_at[request] = now;
		crash(p);
	}

	/* Runs that are due are answered. */
	void answer()
	{
		for (Endpoint &p : eps)
			for (size_t k = p.runs.size(); k-- > 0;) {
				Run r = p.runs[k];
				Entry &e =
					entries[static_cast<size_t>(r.entry)];
				fingerprint fp = fingerprint_no(r.request);

				if (r.until > now)
					continue;
				p.runs.erase(p.runs.begin() +
					     static_cast<long>(k));
				answered.insert(r.request);
				if (suspects_answered(e.s, &fp, r.began, now))
					log_outcome(e, r.request, OUTCOME_ANSWERED,
						    0, r.began);
				else if (r.trial)
					log_outcome(e, r.request, OUTCOME_INCONCLUSIVE,
						    0, r.began);
			}
	}

	void restart(int i)
	{
		Entry &e = entries[static_cast<size_t>(i)];

		for (Endpoint &p : eps)
			for (size_t k = p.runs.size(); k-- > 0;)
				if (p.runs[k].entry == i)
					p.runs.erase(p.runs.begin() +
						     static_cast<long>(k));
		e.stop();
		e.start(now);
		marks.erase(i);
	}

	void disconnect(int i, int64_t ms)
	{
		Entry &e = entries[static_cast<size_t>(i)];

		e.disconnected_until = now + ms;
		e.connected_since = now + ms;
	}

	void step()
	{
		now += kStepMs;
		if (!leader && now >= no_leader_until)
			elect();
		exchange();
		answer();
		for (auto &e : entries)
			suspects_tick(e.s, now);
		if (leader)
			suspects_tick(leader, now);
	}
};

/* A request or a fault. */
struct Event {
	int kind, entry;
	uint64_t choice; /* of requests, endpoints and durations */
};

rc::Gen<Event> event()
{
	return rc::gen::construct<Event>(rc::gen::inRange(0, 40),
					 rc::gen::inRange(0, 6),
					 rc::gen::arbitrary<uint64_t>());
}

/* How many faults that lose the state of a process may still occur. They are
 * few: a crash that is lost by all processes that observed it can't count. */
struct Faults {
	int leaders = 1, restarts = 2;
};

void apply(World &w, const Event &e, Faults &faults)
{
	int i = e.entry % static_cast<int>(w.entries.size());

	if (e.kind < 12)
		w.arrive(i, e.choice % kPoison, e.choice / 7);
	else if (e.kind < 30)
		w.arrive(i, kPoison + e.choice % kHarmless, e.choice / 7);
	else if (e.kind == 30)
		w.power_off(w.eps[e.choice % kEndpoints]);
	else if (e.kind == 31)
		w.crash(w.eps[e.choice % kEndpoints]);
	else if (e.kind == 32)
		w.disconnect(i, static_cast<int64_t>(e.choice % 4000));
	else if (e.kind == 33 && faults.restarts-- > 0)
		w.restart(i);
	else if (e.kind == 34 && w.leader && faults.leaders-- > 0)
		w.lose_leader(static_cast<int64_t>(e.choice % 4000));
	w.step();
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("a poison request stops reaching endpoints", [] {
		World w(*rc::gen::inRange(1, 7));
		Faults faults;

		for (const Event &e :
		     *rc::gen::container<std::vector<Event>>(600, event()))
			apply(w, e, faults);
		for (const auto &l : w.late_crashes)
			RC_ASSERT(l.second <= kMaxLateRuns);
	});
	ok &= rc::check("harmless requests are answered again", [] {
		World w(*rc::gen::inRange(1, 7));
		Faults faults;
		uint64_t k = 0;

		for (const Event &e :
		     *rc::gen::container<std::vector<Event>>(200, event()))
			apply(w, e, faults);
		/* No more faults; the longest first quarantine period and the
		 * time in which a new leader opens no trial run pass. */
		w.now += 11 * 60 * 1000;
		w.answered.clear();
		for (int n = 0; n < 2000; n++) {
			w.arrive(static_cast<int>(k % w.entries.size()),
				 kPoison + k % kHarmless, k / 3);
			k++;
			w.step();
		}
		RC_ASSERT(w.answered.size() == kHarmless);
	});
	return ok ? 0 : 1;
}
