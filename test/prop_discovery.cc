/*
 * Every process finds the leader, however the addresses of the settings and
 * the members were exchanged before, in any order, with losses and starts.
 *
 * What is played beside the real decisions is what the programs do with them:
 * ask the next address each 100 ms, tell on what is known, announce.
 */
#include <rapidcheck.h>

extern "C" {
#include "../src/core/discovery.h"
}

#include <map>
#include <set>
#include <string>
#include <vector>

namespace
{

const int kMembers = 3, kRelays = 4, kClients = 3;
const int64_t kStepMs = 100;
/* The bound: so long after the last link is there. */
const int64_t kFoundMs = 1000;
/* A connection to a VM that is down is given up after so long. */
const int64_t kOpenMs = 300;

const struct ss_str kNone = { nullptr, 0 };

enum Kind { MEMBER, RELAY, CLIENT };

struct Open {
	std::string addr;
	int64_t since;
};

struct Proc {
	Kind kind;
	std::string addr;
	bool up = true;
	bool wiped = false;		  /* a member without its log */
	bool found = false;
	std::string hint;		  /* a wiped one's */
	std::vector<std::string> members; /* of a member's log */
	std::vector<Open> asks;
	discovery *s = nullptr;
};

struct ss_str view(const std::string &s)
{
	struct ss_str v = { s.data(), s.size() };

	return v;
}

struct World {
	std::vector<Proc> procs;
	std::vector<std::string> members; /* as the newest log has it */
	std::vector<std::string> seeds;	  /* of all settings files */
	GPtrArray *settings = g_ptr_array_new_with_free_func(g_free);
	int64_t now = 0;
	int addrs = 0;

	~World()
	{
		for (auto &p : procs)
			discovery_free(p.s);
		g_ptr_array_unref(settings);
	}

	std::string new_addr()
	{
		return "10.0.0." + std::to_string(++addrs) + ":7";
	}

	Proc *at(const std::string &addr)
	{
		for (auto &p : procs)
			if (p.up && p.addr == addr)
				return &p;
		return nullptr;
	}

	/* The first member that is up and has its log, with a majority. */
	Proc *leader()
	{
		Proc *first = nullptr;
		size_t n = 0;

		for (auto &a : members) {
			Proc *p = at(a);

			if (!p || p->kind != MEMBER || p->wiped)
				continue;
			first = first ? first : p;
			n++;
		}
		return n * 2 > members.size() ? first : nullptr;
	}

	void set_seeds(const std::vector<std::string> &new_seeds)
	{
		seeds = new_seeds;
		g_ptr_array_set_size(settings, 0);
		for (auto &a : seeds)
			g_ptr_array_add(settings, g_strdup(a.c_str()));
	}

	/* A start knows nothing but its settings and, with a disk, its log. */
	void start(Proc &p)
	{
		discovery_free(p.s);
		p.s = p.kind == MEMBER ?
			      nullptr :
			      discovery_new(settings, (uint64_t)now + procs.size());
		p.up = true;
		p.found = false;
		p.hint.clear();
		p.asks.clear();
	}

	void told(Proc &p, const std::string &leader_addr,
		  const std::vector<std::string> &known)
	{
		if (p.kind == MEMBER && p.wiped && !leader_addr.empty())
			p.hint = leader_addr;
		if (!p.s)
			return;
		for (auto &a : known)
			discovery_told(p.s, kNone, view(a));
		discovery_told(p.s, view(leader_addr), kNone);
	}

	/* What one who is asked answers. */
	void answer(Proc &from, Proc &to)
	{
		Proc *l = leader();
		std::vector<std::string> known = from.members;

		if (&from == l) {
			to.found = true;
			return;
		}
		if (from.kind == RELAY) {
			const GPtrArray *all = discovery_known(from.s);

			for (guint i = 0; i < all->len; i++)
				known.push_back((char *)all->pdata[i]);
		}
		if (from.kind != CLIENT)
			told(to, knows(from, l) ? l->addr : "", known);
	}

	static bool knows(const Proc &p, const Proc *l)
	{
		return l && (p.kind == MEMBER ? !p.wiped : p.found);
	}

	void announce(Proc &p)
	{
		Proc *l = leader();

		for (auto &a : seeds) {
			Proc *q = at(a);

			if (q && q != &p)
				told(*q, l ? l->addr : "", p.members);
		}
	}

	void ask(Proc &p)
	{
		const char *addr = discovery_next(p.s, now);

		if (addr)
			p.asks.push_back({ addr, now });
	}

	/* Those that it asked answer, and go on doing so. */
	void hear(Proc &p)
	{
		std::vector<Open> left;

		for (auto &o : p.asks) {
			Proc *q = at(o.addr);

			if (q && q->kind != CLIENT && q != &p)
				answer(*q, p);
			if (q || now - o.since < kOpenMs)
				left.push_back(o);
			else
				discovery_ended(p.s, o.addr.c_str());
		}
		p.asks = left;
	}

	void step()
	{
		now += kStepMs;
		for (auto &p : procs) {
			if (!p.up)
				continue;
			if (p.kind == MEMBER && !p.wiped)
				announce(p);
			/* One that lost its disk asks its settings. */
			for (auto &a : seeds) {
				Proc *q = at(a);

				if (p.kind == MEMBER && p.wiped && q &&
				    q != &p)
					answer(*q, p);
			}
		}
		for (auto &p : procs) {
			if (!p.up || p.kind == MEMBER || p.found)
				continue;
			ask(p);
			hear(p);
		}
	}

	void run(int64_t ms)
	{
		for (int64_t i = 0; i < ms; i += kStepMs)
			step();
	}
};

void open_world(World &w)
{
	std::vector<std::string> first;

	for (int i = 0; i < kMembers + kRelays + kClients; i++) {
		Proc p;

		p.kind = i < kMembers ? MEMBER :
			 i < kMembers + kRelays ? RELAY : CLIENT;
		p.addr = w.new_addr();
		w.procs.push_back(p);
		if (p.kind == MEMBER)
			first.push_back(p.addr);
	}
	w.members = first;
	w.set_seeds(first);
	for (auto &p : w.procs) {
		if (p.kind == MEMBER)
			p.members = first;
		w.start(p);
	}
}

std::vector<std::string> any_controls(World &w)
{
	std::vector<std::string> all, out;

	for (auto &p : w.procs)
		if (p.kind != CLIENT)
			all.push_back(p.addr);
	for (int i = 0; i < 3; i++) {
		int at = *rc::gen::inRange(0, (int)all.size());

		out.push_back(all[at]);
	}
	return out;
}

/* A member is gone for good, another one comes at a new address; a relay may
 * start where it was. One that is down has the former list in its log. */
void replace_member(World &w)
{
	int i = *rc::gen::inRange(0, kMembers);
	std::string old = w.procs[i].addr;

	if (*rc::gen::arbitrary<bool>()) {
		Proc &r = w.procs[kMembers +
				  *rc::gen::inRange(0, kRelays)];

		r.addr = old;
		w.start(r);
	}
	w.procs[i].addr = w.new_addr();
	w.procs[i].wiped = false;
	for (auto &a : w.members)
		if (a == old)
			a = w.procs[i].addr;
	w.start(w.procs[i]);
	for (int k = 0; k < kMembers; k++)
		if (w.procs[k].up || k == i)
			w.procs[k].members = w.members;
}

/* The leader takes the change before anything else happens. */
bool has_leader(World &w)
{
	return w.leader() != nullptr;
}

void any_event(World &w)
{
	int i = *rc::gen::inRange(0, (int)w.procs.size());

	switch (*rc::gen::inRange(0, 6)) {
	case 0:
		w.set_seeds(any_controls(w));
		break;
	case 1:
		w.procs[i].up = false;
		break;
	case 2:
		w.start(w.procs[i]);
		break;
	case 3:
		for (auto &p : w.procs)
			w.start(p);
		break;
	case 4:
		if (has_leader(w))
			replace_member(w);
		break;
	case 5:
		/* A second lost disk before the first is back has no
		 * majority, which nothing here can mend. */
		i %= kMembers;
		for (int k = 0; k < kMembers; k++)
			if (w.procs[k].wiped)
				return;
		w.procs[i].wiped = true;
		w.start(w.procs[i]);
		break;
	}
}

/* At the end all lose power, some seeds stay down. */
void lose_power(World &w, unsigned int down)
{
	size_t left = w.seeds.size();

	for (auto &p : w.procs)
		w.start(p);
	for (size_t i = 0; i < w.seeds.size(); i++) {
		Proc *p = w.at(w.seeds[i]);

		if (!p || p->kind == MEMBER) {
			left -= !p;
			continue;
		}
		if (!(down >> i & 1) || left == 1)
			continue;
		p->up = false;
		left--;
	}
}

bool a_seed_is_up(World &w)
{
	for (auto &a : w.seeds)
		if (w.at(a) && w.at(a)->kind != CLIENT)
			return true;
	return false;
}

} // namespace

int main()
{
	bool ok = rc::check("every process finds the leader within a second",
			    [] {
		World w;
		int events = *rc::gen::inRange(0, 12);

		open_world(w);
		w.run(kFoundMs);
		for (int i = 0; i < events; i++) {
			any_event(w);
			w.run(*rc::gen::element(100, 500, 2000));
		}
		lose_power(w, *rc::gen::inRange(0u, 8u));
		RC_PRE(has_leader(w) && a_seed_is_up(w));
		w.run(kFoundMs);
		for (auto &p : w.procs) {
			if (p.up && p.kind != MEMBER)
				RC_ASSERT(p.found);
			if (p.up && p.wiped)
				RC_ASSERT(p.found || p.hint == w.leader()->addr);
		}
	});

	ok &= rc::check("no address is asked twice at a time", [] {
		GPtrArray *settings = g_ptr_array_new();
		discovery *s;
		std::set<std::string> open;
		int64_t now = 0;

		for (int i = 0; i < 3; i++)
			g_ptr_array_add(settings,
					(char *)(i == 0 ? "a" :
						 i == 1 ? "b" : "c"));
		s = discovery_new(settings, 1);
		for (int i = 0; i < 100; i++) {
			int what = *rc::gen::inRange(0, 3);
			std::string any(1, (char)('a' + *rc::gen::inRange(
							       0, 26)));
			const char *addr;

			now += 20;
			if (what == 0)
				discovery_told(s, view(any), view(any));
			if (what == 1 && !open.empty()) {
				discovery_ended(s, open.begin()->c_str());
				open.erase(open.begin());
			}
			addr = discovery_next(s, now);
			if (addr) {
				RC_ASSERT(open.count(addr) == 0);
				open.insert(addr);
			}
			RC_ASSERT(discovery_known(s)->len <= DISCOVERY_KEPT);
		}
		discovery_free(s);
		g_ptr_array_unref(settings);
	});
	return ok ? 0 : 1;
}
