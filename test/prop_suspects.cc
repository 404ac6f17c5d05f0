/*
 * Properties of stopping guilty requests under any interleaving: entries that
 * restart or are cut off, leaders that change or are missing, endpoints that end
 * for other reasons, messages that are lost. The real tables of entries and
 * leader; between them what the processes do with their messages.
 */
#include <rapidcheck.h>

extern "C" {
#include "../src/core/end_log.h"
#include "../src/core/suspects.h"
}

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace
{

const int64_t kStep = 50;      /* ms */
const int64_t kContact = 3000; /* after the third end it is known everywhere */
const size_t kLater = 3;       /* sends after that */
const int kEndpoints = 6;
const int kGuilty = 2, kInnocent = 6;
const int64_t kBack = 2000; /* until an endpoint has started again */

struct Entry {
	suspects *s = nullptr;
	end_log log;
	uint64_t told_by = 0; /* leadership that it has introduced itself to */
	uint64_t recall = 0;
	int64_t calm_since = 0; /* it ran and reached the same leader */
	int64_t cut_until = 0;

	void start(int64_t now)
	{
		suspects_options o = { 256, 0 };

		s = suspects_new(&o, now);
		end_log_init(&log, 256);
		told_by = recall = 0;
		calm_since = now;
	}

	void stop()
	{
		suspects_free(s);
		end_log_clear(&log);
	}
};

/* A request that runs on an endpoint. */
struct Run {
	int entry;
	uint64_t request;
	int64_t until;
	bool trial;
};

struct Endpoint {
	uint64_t life = 0;
	int64_t down_until = 0;
	std::vector<Run> runs;
};

struct World {
	std::vector<Entry> entries;
	std::vector<Endpoint> eps;
	suspects *leader = nullptr;
	uint64_t leadership = 0, lives = 0;
	int64_t no_leader_until = 0;
	std::map<int, uint64_t> marks; /* of entries, at the leader */
	int64_t now = 1000;
	std::map<uint64_t, int64_t> third;	 /* guilty: its third end */
	std::map<uint64_t, size_t> ends, later; /* guilty */
	std::set<uint64_t> answered;		 /* innocent */

	explicit World(int n)
	{
		entries.resize(static_cast<size_t>(n));
		eps.resize(kEndpoints);
		for (auto &e : entries)
			e.start(now);
		for (auto &p : eps)
			p.life = ++lives;
		lead();
	}

	~World()
	{
		for (auto &e : entries)
			e.stop();
		suspects_free(leader);
	}

	static bool guilty(uint64_t request)
	{
		return request < kGuilty;
	}

	static fingerprint print(uint64_t request)
	{
		return { 1, request };
	}

	void lead()
	{
		suspects_options o = { 256, SUSPECT_TRIAL_MS };

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
			e.calm_since = now + ms;
	}

	bool reaches(const Entry &e) const
	{
		return leader && e.cut_until <= now;
	}

	bool in_touch(const Entry &e) const
	{
		return reaches(e) && now - e.calm_since > kContact;
	}

	/* What entries tell, and what the leader answers. */
	void talk()
	{
		for (size_t i = 0; i < entries.size(); i++)
			if (reaches(entries[i]))
				talk_to(static_cast<int>(i));
	}

	void talk_to(int i)
	{
		Entry &e = entries[static_cast<size_t>(i)];
		GArray *words =
			g_array_new(FALSE, FALSE, sizeof(suspect_word));
		size_t n;

		if (e.told_by != leadership) {
			end_log_again(&e.log);
			e.recall = 0;
			e.told_by = leadership;
		}
		e.recall = suspects_news(e.s, e.recall, 1000, now, words);
		for (guint k = 0; k < words->len; k++)
			suspects_recalled(leader,
					  &g_array_index(words, suspect_word,
							 k),
					  now);
		const end_seen *seen = end_log_next(&e.log, 1000, &n);
		for (size_t k = 0; k < n; k++)
			take(seen[k]);
		end_log_told(&e.log, n);
		g_array_set_size(words, 0);
		marks[i] = suspects_news(leader, marks[i], 1000, now, words);
		for (guint k = 0; k < words->len; k++) {
			auto *w = &g_array_index(words, suspect_word, k);

			suspects_told(e.s, w, now);
			if (w->cleared)
				end_log_drop(&e.log, &w->print);
		}
		e.recall = suspects_mark(e.s);
		g_array_unref(words);
	}

	void take(const end_seen &x)
	{
		if (x.kind == END_UNDER)
			suspects_end(leader, &x.print, x.life, now);
		else if (x.kind == END_ANSWERED)
			suspects_answered(leader, &x.print, now);
		else
			suspects_trial_over(leader, &x.print);
	}

	void see(Entry &e, uint64_t request, end_kind kind, uint64_t life)
	{
		end_seen x = { print(request), kind, life, now };

		end_log_add(&e.log, &x);
	}

	/* The process ends, and its VM says so to all who wait. */
	void crash(Endpoint &p)
	{
		for (const Run &r : p.runs) {
			Entry &e = entries[static_cast<size_t>(r.entry)];
			fingerprint f = print(r.request);

			see(e, r.request, END_UNDER, p.life);
			suspects_end(e.s, &f, p.life, now);
		}
		power_off(p);
	}

	/* Nobody hears anything. */
	void power_off(Endpoint &p)
	{
		p.runs.clear();
		p.life = ++lives;
		p.down_until = now + kBack;
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

	/* A caller's request comes to an entry. */
	void arrive(int i, uint64_t request, uint64_t choice)
	{
		Entry &e = entries[static_cast<size_t>(i)];
		fingerprint f = print(request);
		int64_t left = suspects_term(e.s, &f, now), wait;
		Endpoint *p = any_up(choice);
		bool trial = false;

		if (!p || left > 0)
			return;
		if (left == 0) {
			if (!reaches(e))
				return;
			auto leave = suspects_ask(leader, &f, now, &wait);
			if (leave == SUSPECT_WAIT)
				return;
			trial = leave == SUSPECT_TRIAL;
		}
		p->runs.push_back({ i, request, now + 6 * kStep, trial });
		if (guilty(request))
			end_by(*p, e, request);
	}

	void end_by(Endpoint &p, const Entry &e, uint64_t request)
	{
		if (third.count(request) &&
		    now - third[request] > kContact && in_touch(e))
			later[request]++;
		if (++ends[request] == SUSPECT_ENDS)
			third[request] = now;
		crash(p);
	}

	void answer()
	{
		for (Endpoint &p : eps)
			for (size_t k = p.runs.size(); k-- > 0;) {
				Run r = p.runs[k];
				Entry &e =
					entries[static_cast<size_t>(r.entry)];
				fingerprint f = print(r.request);

				if (r.until > now)
					continue;
				p.runs.erase(p.runs.begin() +
					     static_cast<long>(k));
				answered.insert(r.request);
				if (suspects_answered(e.s, &f, now))
					see(e, r.request, END_ANSWERED, 0);
				else if (r.trial)
					see(e, r.request, END_NOTHING, 0);
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

	void cut(int i, int64_t ms)
	{
		Entry &e = entries[static_cast<size_t>(i)];

		e.cut_until = now + ms;
		e.calm_since = now + ms;
	}

	void step()
	{
		now += kStep;
		if (!leader && now >= no_leader_until)
			lead();
		talk();
		answer();
		for (auto &e : entries)
			suspects_tick(e.s, now);
		if (leader)
			suspects_tick(leader, now);
	}
};

struct Event {
	int what, who;
	uint64_t choice;
};

rc::Gen<Event> event()
{
	return rc::gen::construct<Event>(rc::gen::inRange(0, 40),
					 rc::gen::inRange(0, 6),
					 rc::gen::arbitrary<uint64_t>());
}

/* Faults that lose what processes know: few of them, since what all of those
 * that saw something have forgotten can't be known. */
struct Faults {
	int leaders = 1, restarts = 2;
};

void play(World &w, const Event &e, Faults &left)
{
	int i = e.who % static_cast<int>(w.entries.size());

	if (e.what < 12)
		w.arrive(i, e.choice % kGuilty, e.choice / 7);
	else if (e.what < 30)
		w.arrive(i, kGuilty + e.choice % kInnocent, e.choice / 7);
	else if (e.what == 30)
		w.power_off(w.eps[e.choice % kEndpoints]);
	else if (e.what == 31)
		w.crash(w.eps[e.choice % kEndpoints]);
	else if (e.what == 32)
		w.cut(i, static_cast<int64_t>(e.choice % 4000));
	else if (e.what == 33 && left.restarts-- > 0)
		w.restart(i);
	else if (e.what == 34 && w.leader && left.leaders-- > 0)
		w.lose_leader(static_cast<int64_t>(e.choice % 4000));
	w.step();
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("a guilty request stops reaching endpoints", [] {
		World w(*rc::gen::inRange(1, 7));
		Faults left;

		for (const Event &e : *rc::gen::container<std::vector<Event>>(
			     600, event()))
			play(w, e, left);
		for (const auto &l : w.later)
			RC_ASSERT(l.second <= kLater);
	});
	ok &= rc::check("the innocent are answered again", [] {
		World w(*rc::gen::inRange(1, 7));
		Faults left;
		uint64_t k = 0;

		for (const Event &e : *rc::gen::container<std::vector<Event>>(
			     200, event()))
			play(w, e, left);
		/* Faults end; the longest first term, and a new leader's
		 * quiet time. */
		w.now += 11 * 60 * 1000;
		w.answered.clear();
		for (int n = 0; n < 2000; n++) {
			w.arrive(static_cast<int>(
					 k % w.entries.size()),
				 kGuilty + k % kInnocent, k / 3);
			k++;
			w.step();
		}
		RC_ASSERT(w.answered.size() == kInnocent);
	});
	return ok ? 0 : 1;
}
