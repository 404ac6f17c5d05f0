/*
 * Property: every process finds the leader, whatever order of changed
 * configured addresses, replaced members, crashes and restarts came before.
 *
 * The decisions are those of core/discovery.c. The test models what the
 * programs do with them: query the next address every 100 ms, pass on known
 * addresses, and announce members.
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
/* Time limit to find the leader after the last event. */
const int64_t kFindMs = 1000;
/* Connect timeout to a VM that is down. */
const int64_t kConnectTimeoutMs = 300;

const struct ss_str kNone = { nullptr, 0 };

enum Kind { MEMBER, RELAY, CLIENT };

struct Query {
	std::string addr;
	int64_t since;
};

struct Proc {
	Kind kind;
	std::string addr;
	bool up = true;
	bool wiped = false;		  /* a member that lost its log */
	bool found = false;
	std::string hint;		  /* leader reported to a wiped member */
	std::vector<std::string> members; /* according to its log */
	std::vector<Query> queries;
	discovery *s = nullptr;
};

struct ss_str view(const std::string &s)
{
	struct ss_str v = { s.data(), s.size() };

	return v;
}

struct World {
	std::vector<Proc> procs;
	std::vector<std::string> members; /* according to the newest log */
	std::vector<std::string> seeds;	  /* the configured addresses */
	/* The same as an array (char *), for discovery_new(). */
	GPtrArray *seed_array = g_ptr_array_new_with_free_func(g_free);
	int64_t now = 0;
	int addrs = 0;

	~World()
	{
		for (auto &p : procs)
			discovery_free(p.s);
		g_ptr_array_unref(seed_array);
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

	/* First member that is up with its log; needs a majority of such. */
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
		g_ptr_array_set_size(seed_array, 0);
		for (auto &a : seeds)
			g_ptr_array_add(seed_array, g_strdup(a.c_str()));
	}

	/* A restart keeps only the seeds and, on a member, the log. */
	void start(Proc &p)
	{
		discovery_free(p.s);
		p.s = p.kind == MEMBER ?
			      nullptr :
			      discovery_new(seed_array,
					    (uint64_t)now + procs.size());
		p.up = true;
		p.found = false;
		p.hint.clear();
		p.queries.clear();
	}

	void report(Proc &p, const std::string &leader_addr,
		    const std::vector<std::string> &known)
	{
		if (p.kind == MEMBER && p.wiped && !leader_addr.empty())
			p.hint = leader_addr;
		if (!p.s)
			return;
		for (auto &a : known)
			discovery_received(p.s, kNone, view(a));
		discovery_received(p.s, view(leader_addr), kNone);
	}

	/* Delivers the answer of a queried process. */
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
			report(to, knows_leader(from, l) ? l->addr : "", known);
	}

	static bool knows_leader(const Proc &p, const Proc *l)
	{
		return l && (p.kind == MEMBER ? !p.wiped : p.found);
	}

	void announce(Proc &p)
	{
		Proc *l = leader();

		for (auto &a : seeds) {
			Proc *q = at(a);

			if (q && q != &p)
				report(*q, l ? l->addr : "", p.members);
		}
	}

	void start_query(Proc &p)
	{
		const char *addr = discovery_next(p.s, now);

		if (addr)
			p.queries.push_back({ addr, now });
	}

	/* Queried processes answer in every step until the query ends. */
	void process_answers(Proc &p)
	{
		std::vector<Query> left;

		for (auto &query : p.queries) {
			Proc *q = at(query.addr);

			if (q && q->kind != CLIENT && q != &p)
				answer(*q, p);
			if (q || now - query.since < kConnectTimeoutMs)
				left.push_back(query);
			else
				discovery_query_done(p.s,
						     query.addr.c_str());
		}
		p.queries = left;
	}

	void step()
	{
		now += kStepMs;
		for (auto &p : procs) {
			if (!p.up)
				continue;
			if (p.kind == MEMBER && !p.wiped)
				announce(p);
			/* A wiped member queries the configured addresses. */
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
			start_query(p);
			process_answers(p);
		}
	}

	void run(int64_t ms)
	{
		for (int64_t i = 0; i < ms; i += kStepMs)
			step();
	}
};

void init_world(World &w)
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

std::vector<std::string> random_seeds(World &w)
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

/*
 * Replaces a member by one at a new address; a relay may take over the old
 * address. Members that are down keep the previous member list.
 */
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

/* The model applies a member change at once, so there must be a leader. */
bool has_leader(World &w)
{
	return w.leader() != nullptr;
}

void random_event(World &w)
{
	int i = *rc::gen::inRange(0, (int)w.procs.size());

	switch (*rc::gen::inRange(0, 6)) {
	case 0:
		w.set_seeds(random_seeds(w));
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
		/* Two lost disks at a time leave no majority, which discovery
		 * can't repair. */
		i %= kMembers;
		for (int k = 0; k < kMembers; k++)
			if (w.procs[k].wiped)
				return;
		w.procs[i].wiped = true;
		w.start(w.procs[i]);
		break;
	}
}

/* Final power loss: all processes restart, some seeds stay down. */
void restart_all(World &w, unsigned int down)
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

bool has_live_seed(World &w)
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

		init_world(w);
		w.run(kFindMs);
		for (int i = 0; i < events; i++) {
			random_event(w);
			w.run(*rc::gen::element(100, 500, 2000));
		}
		restart_all(w, *rc::gen::inRange(0u, 8u));
		RC_PRE(has_leader(w) && has_live_seed(w));
		w.run(kFindMs);
		for (auto &p : w.procs) {
			if (p.up && p.kind != MEMBER)
				RC_ASSERT(p.found);
			if (p.up && p.wiped)
				RC_ASSERT(p.found || p.hint == w.leader()->addr);
		}
	});

	ok &= rc::check("no address has two open queries", [] {
		GPtrArray *configured = g_ptr_array_new();
		discovery *s;
		std::set<std::string> open;
		int64_t now = 0;

		for (int i = 0; i < 3; i++)
			g_ptr_array_add(configured,
					(char *)(i == 0 ? "a" :
						 i == 1 ? "b" : "c"));
		s = discovery_new(configured, 1);
		for (int i = 0; i < 100; i++) {
			int what = *rc::gen::inRange(0, 3);
			std::string any(1, (char)('a' + *rc::gen::inRange(
							       0, 26)));
			const char *addr;

			now += 20;
			if (what == 0)
				discovery_received(s, view(any), view(any));
			if (what == 1 && !open.empty()) {
				discovery_query_done(s, open.begin()->c_str());
				open.erase(open.begin());
			}
			addr = discovery_next(s, now);
			if (addr) {
				RC_ASSERT(open.count(addr) == 0);
				open.insert(addr);
			}
			RC_ASSERT(discovery_known(s)->len <= DISCOVERY_MAX_KNOWN);
		}
		discovery_free(s);
		g_ptr_array_unref(configured);
	});
	return ok ? 0 : 1;
}
