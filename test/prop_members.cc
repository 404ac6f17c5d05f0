/*
 * The control group bears the loss of one VM after another (of two at once from
 * five VMs on), each as soon as the loss before it has been made good, whoever
 * leads: kills, power losses, freezes, cuts, lost disks and replacements. At
 * any moment beside them, all VMs are killed, lose power or are cut into
 * halves, and no more disks are lost than the group bears. Log, elections and
 * repair are the real ones; VMs, links, disks and the way to join are
 * simulated.
 */
#include "raft_world.hh"

#include <functional>
#include <iostream>

extern "C" {
#include "../src/core/repair.h"
}

namespace
{

using namespace raft_world;

const int64_t kStepMs = 10;
/* As in the daemon. */
const int64_t kTickMs = 20, kRepairMs = 200, kJoinMs = 500;
const int64_t kLeaderlessMs = 2000;
const int64_t kTransferMs = 300, kTransferEveryMs = 500;
const int64_t kHandoverMaxMs = 3000;
/* From a VM's return, or a successor's start, until the next loss. */
const int64_t kCatchUpMs = 4000;
/* Until all VMs of a new group have joined. */
const int64_t kFoundedMs = 8000;
/* Longest time without an accepted change. */
const int64_t kRecoverMs = 12000;
/* Longest time from the start of a successor until SIGTERM in a planned
 * replacement: also after the successor has caught up. */
const int64_t kPlannedMaxMs = 6000;
/* A large log: changes, bytes of each, and the interval of further ones. */
const size_t kManyChanges = 10000, kChangeBytes = 200;
const int64_t kBusyProposeMs = 20;
/* Changes of members that one absence of a VM may cause: two removals and two
 * promotions, of the VM and of the one that stands in for it, and a join. */
const size_t kChangesPerAbsence = 5;
/* From five VMs on, the group bears the loss of two. */
const size_t kBearsTwoFrom = 5;
/* Faults of all VMs: how long each is down, and until the next one. */
const int64_t kAllDownMinMs = 200, kAllDownMaxMs = 1500;
const int64_t kAllEveryMaxMs = 15000;
const int64_t kLinkMaxMs = 100;
const int64_t kFinalMaxMs = 40000;

struct Vm {
	Node *node = nullptr;
	std::string name, addr;
	bool running = false, joined = false, frozen = false;
	bool cut_in = false, cut_out = false;
	/* In a planned stop; and the leader has allowed its exit. */
	bool leaving = false, released = false;
	int64_t stop_ms = 0, transfer_ms = 0;
	std::function<void()> ended;
	int64_t join_ms = 0, repair_ms = 0, leader_ms = 0;
	/* The last time that each member has said that it ends. */
	std::map<uint64_t, int64_t> leaving_ms;
	bool lost = false;	/* until its loss has been made good */
	bool disk_lost = false; /* its loss is one of a disk */
	bool replaced = false;	/* its successor has started */
	bool gone = false;	/* removed for good */
	int half = 0;		/* of the group, while that is cut */
	int64_t back_ms = 0;	/* when its loss ends, as far as known */
	std::deque<Msg> held;	/* arrived while it was frozen */
};

struct Sim;

struct SimWorld : World {
	Sim *sim = nullptr;
};

struct Sim {
	SimWorld w;
	std::vector<std::unique_ptr<Vm>> vms;
	std::vector<Vm *> core; /* one in each place, successors included */
	std::multimap<int64_t, std::function<void()>> events;
	std::deque<std::pair<int64_t, Msg>> wire;
	int64_t link_ms = kStepMs;
	int64_t propose_every_ms = 100;
	size_t accepted = 0, changes = 0, absences = 0;
	int64_t accepted_ms = 0;
	int64_t end_ms = 0; /* when the last loss is made good */
	/* The last return after a fault of all, and when that is made good. */
	int64_t back_ms = 0, settled_ms = 0;
	bool over = false; /* no further loss begins */
	/* A VM that loses power as it ends for good is back to end later. */
	bool ends_later = true;

	void at(int64_t ms, std::function<void()> f)
	{
		events.emplace(ms, std::move(f));
	}
};

Vm *vm_of(Sim &s, uint64_t id)
{
	for (auto &v : s.vms)
		if (v->node->id == id)
			return v.get();
	return nullptr;
}

/* Whether a VM has told the leader n that it ends. */
bool may_lead(void *arg, uint64_t id)
{
	Node *n = node_of(arg);
	Sim &s = *static_cast<SimWorld *>(n->world)->sim;
	const auto &leaving = vm_of(s, n->id)->leaving_ms;
	auto notice = leaving.find(id);

	return notice == leaving.end() ||
	       s.w.now - notice->second > REPAIR_SUSPECT_MS;
}

ss_raft_ops member_ops()
{
	ss_raft_ops ops = kOps;

	ops.may_lead = may_lead;
	return ops;
}

const ss_raft_ops kMemberOps = member_ops();

bool leads(const Vm *v)
{
	return v->running && v->joined && !v->frozen && v->node->raft &&
	       ss_raft_role(v->node->raft) == SS_RAFT_LEADER;
}

bool path(const Vm *from, const Vm *to)
{
	return to->running && !from->cut_out && !to->cut_in &&
	       from->half == to->half;
}

/* The leader that the operator's changes reach. */
Vm *leading(Sim &s)
{
	Vm *best = nullptr;

	for (auto &v : s.vms)
		if (leads(v.get()) && !v->cut_in && !v->cut_out &&
		    (!best || ss_raft_term(v->node->raft) >
				      ss_raft_term(best->node->raft)))
			best = v.get();
	return best;
}

/* Processes and disks. */

void run_process(Sim &s, Vm *v)
{
	if (v->running || v->gone)
		return;
	v->running = true;
	v->join_ms = v->leader_ms = s.w.now;
	if (v->joined)
		start(v->node);
}

void end_process(Vm *v, bool power)
{
	if (!v->running)
		return;
	v->running = v->frozen = v->leaving = v->released = false;
	v->leaving_ms.clear();
	v->held.clear();
	if (v->node->raft)
		crash(v->node, power ? 0 : SIZE_MAX / 2);
}

void wipe(Sim &s, Vm *v)
{
	v->node->disk = Disk();
	v->node->id = s.w.next_id++;
	v->joined = false;
}

Vm *new_vm(Sim &s)
{
	s.w.nodes.push_back(std::make_unique<Node>());
	s.vms.push_back(std::make_unique<Vm>());
	Node *n = s.w.nodes.back().get();
	Vm *v = s.vms.back().get();

	n->world = &s.w;
	n->slot = (int)s.w.nodes.size() - 1;
	n->id = s.w.next_id++;
	v->node = n;
	v->name = "vm-" + std::to_string(n->slot);
	v->addr = "addr-" + std::to_string(n->slot);
	return v;
}

struct ss_raft_member member_of(const Vm *v, bool voter)
{
	struct ss_raft_member m = member(v->node->id, voter);

	m.name = str(v->name);
	m.addr = str(v->addr);
	return m;
}

/* Asks every VM that it reaches, which names the leader. */
void request_join(Sim &s, Vm *v)
{
	struct ss_raft_member m = member_of(v, false);

	v->join_ms = s.w.now;
	for (auto &to : s.vms) {
		if (!leads(to.get()) || !path(v, to.get()) ||
		    !path(to.get(), v))
			continue;
		if (!ss_raft_member(to->node->raft, m.id)) {
			if (!ss_raft_set_member(to->node->raft, &m, nullptr))
				continue;
			s.changes++;
		}
		if (!v->joined) {
			v->joined = true;
			start(v->node);
		}
		return;
	}
}

/* The members as the leader v sees them. */
std::vector<repair_member> view(Sim &s, Vm *v)
{
	struct ss_raft *r = v->node->raft;
	std::vector<repair_member> m(ss_raft_members(r)->n);

	repair_members(r, v->node->id, m.data());
	for (repair_member &x : m)
		x.leaving = v->leaving_ms.count(x.id) &&
			    s.w.now - v->leaving_ms[x.id] <= REPAIR_SUSPECT_MS;
	return m;
}

void repair(Sim &s, Vm *v)
{
	struct ss_raft *r = v->node->raft;
	std::vector<repair_member> m = view(s, v);

	v->repair_ms = s.w.now;
	struct repair_step step =
		repair_next(m.data(), m.size(), ss_raft_last(r));

	if (step.act != REPAIR_NONE && repair_propose(r, step, nullptr))
		s.changes++;
}

void announce_leaving(Sim &s, Vm *v)
{
	for (auto &to : s.vms) {
		if (to.get() == v || !leads(to.get()) || !path(v, to.get()))
			continue;
		to->leaving_ms[v->node->id] = s.w.now;
		std::vector<repair_member> m = view(s, to.get());

		if (path(to.get(), v) &&
		    !ss_raft_members_open(to->node->raft) &&
		    repair_may_end(m.data(), m.size(), v->node->id,
				   ss_raft_last(to->node->raft)))
			v->released = true;
	}
}

/* A planned stop: hands over the leadership, then the vote. */
void leave(Sim &s, Vm *v)
{
	int64_t since_ms = s.w.now - v->stop_ms;

	if (s.w.now - v->transfer_ms >= kTransferEveryMs) {
		v->transfer_ms = s.w.now;
		ss_raft_transfer(v->node->raft, s.w.now);
	}
	announce_leaving(s, v);
	if (since_ms <= kTransferMs ||
	    (!v->released && since_ms <= kHandoverMaxMs))
		return;
	end_process(v, false);
	v->ended();
}

void tick(Sim &s, Vm *v)
{
	if (!v->running || v->frozen)
		return;
	if (!v->joined) {
		if (s.w.now - v->join_ms >= kJoinMs)
			request_join(s, v);
		return;
	}
	ss_raft_tick(v->node->raft, s.w.now);
	if (v->leaving) {
		leave(s, v);
		return;
	}
	if (ss_raft_leader(v->node->raft))
		v->leader_ms = s.w.now;
	else if (s.w.now - v->leader_ms > kLeaderlessMs &&
		 s.w.now - v->join_ms >= kJoinMs)
		request_join(s, v);
	if (leads(v) && s.w.now - v->repair_ms >= kRepairMs)
		repair(s, v);
}

/* Puts what the nodes have sent on the wire. */
void take_messages(Sim &s)
{
	for (Msg &x : s.w.net) {
		Vm *from = vm_of(s, x.m.from), *to = vm_of(s, x.m.to);

		if (from && to && path(from, to))
			s.wire.emplace_back(s.w.now + s.link_ms, x);
	}
	s.w.net.clear();
}

/* A candidate that isn't a member is told who leads, and joins again. */
void redirect_candidate(Sim &s, const Vm *to, const ss_raft_msg &m)
{
	Vm *from = vm_of(s, m.from);

	if (m.kind == SS_RAFT_PREVOTE && from && from->running &&
	    !from->frozen && !from->leaving && to->node->raft &&
	    ss_raft_leader(to->node->raft) &&
	    !ss_raft_member(to->node->raft, m.from))
		request_join(s, from);
}

void deliver_due(Sim &s)
{
	while (!s.wire.empty() && s.wire.front().first <= s.w.now) {
		Msg x = s.wire.front().second;
		Vm *to = vm_of(s, x.m.to);

		s.wire.pop_front();
		if (to && to->frozen)
			to->held.push_back(x);
		else if (to && !to->cut_in) {
			receive(s.w, x);
			redirect_candidate(s, to, x.m);
		}
	}
}

void propose_change(Sim &s)
{
	Vm *v = leading(s);

	if (v)
		propose(s.w, v->node);
	if (s.w.committed.size() > s.accepted) {
		s.accepted = s.w.committed.size();
		s.accepted_ms = s.w.now;
	}
	RC_ASSERT(s.w.now - std::max(s.accepted_ms, s.back_ms) <= kRecoverMs);
}

void run_until(Sim &s, int64_t end)
{
	while (s.w.now < end) {
		s.w.now += kStepMs;
		while (!s.events.empty() &&
		       s.events.begin()->first <= s.w.now) {
			auto f = s.events.begin()->second;

			s.events.erase(s.events.begin());
			f();
		}
		deliver_due(s);
		if (s.w.now % kTickMs == 0)
			for (size_t i = 0; i < s.vms.size(); i++)
				tick(s, s.vms[i].get());
		if (s.w.now % s.propose_every_ms == 0)
			propose_change(s);
		for (auto &v : s.vms)
			if (v->running && !v->frozen && v->node->raft)
				ss_raft_flush(v->node->raft, s.w.now);
		take_messages(s);
	}
}

/* Losses. Each function begins one now and returns when it is made good: when
 * the VM is back for good, or its successor has started. */

using made_good = std::function<void(int64_t ms)>;

int64_t range(uint32_t v, int64_t low, int64_t high)
{
	return low + (int64_t)(v % 1009) * (high - low) / 1008;
}

/* The VM's process ends and comes back after down_ms. */
int64_t restart(Sim &s, Vm *v, int64_t now, int64_t down_ms, bool power,
		bool lose_disk)
{
	s.absences++;
	s.at(now, [&s, v, power, lose_disk] {
		end_process(v, power);
		if (lose_disk)
			wipe(s, v);
	});
	s.at(now + down_ms, [&s, v] { run_process(s, v); });
	return now + down_ms;
}

int64_t freeze(Sim &s, Vm *v, int64_t now, int64_t ms)
{
	s.absences++;
	s.at(now, [v] { v->frozen = v->running; });
	s.at(now + ms, [&s, v, ms] {
		if (v->frozen && v->node->raft)
			ss_raft_paused(v->node->raft, s.w.now, ms);
		v->frozen = false;
		for (const Msg &x : v->held)
			receive(s.w, x);
		v->held.clear();
	});
	return now + ms;
}

int64_t cut(Sim &s, Vm *v, int64_t now, int64_t ms, bool in, bool out)
{
	s.absences++;
	s.at(now, [v, in, out] {
		v->cut_in = in;
		v->cut_out = out;
	});
	s.at(now + ms, [v] { v->cut_in = v->cut_out = false; });
	return now + ms;
}

/* Calls ended once the process is gone. */
void planned_stop(Sim &s, Vm *v, int64_t now, std::function<void()> ended)
{
	s.at(now, [&s, v, ended] {
		if (!v->running) {
			ended();
			return;
		}
		v->ended = ended;
		v->stop_ms = s.w.now;
		v->leaving = true;
	});
}

int64_t replace(Sim &s, size_t place, int64_t gap_ms, bool planned)
{
	Vm *old = s.core[place], *v = new_vm(s);
	int64_t now = s.w.now;

	s.absences++;
	s.core[place] = v;
	v->lost = v->disk_lost = true;
	old->replaced = true;
	if (planned) {
		s.at(now, [&s, v] { run_process(s, v); });
		planned_stop(s, old, now + gap_ms, [old] { old->gone = true; });
		/* The next loss may come with SIGTERM. */
		return std::max(now, now + gap_ms - kCatchUpMs);
	}
	s.at(now, [old] {
		end_process(old, true);
		old->gone = true;
	});
	s.at(now + gap_ms, [&s, v] { run_process(s, v); });
	return now + gap_ms;
}

/* The same loss again and again: lost until the last return. */
int64_t flap(Sim &s, Vm *v, uint32_t x)
{
	int64_t at = s.w.now;
	int kind = (int)(x % 3);

	for (uint32_t k = 0; k < 3 + x / 3 % 6; k++) {
		uint32_t y = x >> (k + 2);

		if (kind == 0)
			at = freeze(s, v, at, range(y, 300, 2500));
		else
			at = restart(s, v, at, range(y, 200, 1200), kind == 2,
				     kind == 2);
		at += range(y / 7, 150, 1500);
	}
	return at;
}

/* Chooses a VM that isn't lost: half of the time the leader. */
size_t choose_place(const Sim &s, uint32_t x, const Vm *leader)
{
	size_t place = (x >> 8) % s.core.size();

	if ((x & 1) && leader && !leader->lost)
		for (size_t i = 0; i < s.core.size(); i++)
			if (s.core[i] == leader)
				place = i;
	while (s.core[place]->lost)
		place = (place + 1) % s.core.size();
	return place;
}

/* A loss whose end is known as it begins. */
int64_t lose_for(Sim &s, size_t place, uint32_t kind, uint32_t how)
{
	int64_t now = s.w.now;
	Vm *v = s.core[place];

	switch (kind) {
	case 0:
		return restart(s, v, now, range(how, 100, 3100), false, false);
	case 1:
		return restart(s, v, now, range(how, 300, 8000), true, false);
	case 2:
		return freeze(s, v, now, range(how, 300, 5000));
	case 3:
		return cut(s, v, now, range(how, 500, 8000), true, true);
	case 4:
		return cut(s, v, now, range(how, 500, 5000), how & 1,
			   !(how & 1));
	case 5:
	case 6:
		return restart(s, v, now, range(how, 300, 2300), true, true);
	case 7:
	case 8:
		return replace(s, place, range(how, 200, 3300), false);
	case 9:
		return replace(s, place, range(how, 200, kPlannedMaxMs), true);
	default:
		return flap(s, v, how);
	}
}

void lose(Sim &s, size_t place, uint32_t x, made_good good)
{
	uint32_t kind = (x >> 1) % 12;
	Vm *v = s.core[place];

	v->lost = true;
	v->disk_lost = (kind >= 5 && kind <= 9) ||
		       (kind == 10 && (x >> 13) % 3 == 2);
	if (kind < 11) {
		good(lose_for(s, place, kind, x >> 13));
		return;
	}
	planned_stop(s, v, s.w.now, [&s, v, good] {
		good(restart(s, v, s.w.now, 500, false, false));
	});
}

/* Faults of all VMs. */

/* Chooses VMs that aren't lost, to lose their disks: as many as the group still
 * bears, or fewer. */
std::set<Vm *> choose_disks(const Sim &s, uint32_t x)
{
	size_t n = s.core.size(), bears = n < kBearsTwoFrom ? 1 : 2;
	std::set<Vm *> out;

	for (const Vm *v : s.core)
		bears -= std::min(bears, (size_t)v->disk_lost);
	if (x % 4 == 0)
		bears /= 2;
	for (size_t i = 0; i < n && out.size() < bears; i++) {
		Vm *v = s.core[(x / 4 + i) % n];

		if (!v->lost)
			out.insert(v);
	}
	return out;
}

/* Returns when the last VM is back whose loss has begun. */
int64_t last_back(const Sim &s)
{
	int64_t ms = s.w.now;

	for (const Vm *v : s.core)
		ms = std::max(ms, v->back_ms);
	return ms;
}

void settle(Sim &s, int64_t back)
{
	s.back_ms = std::max(s.back_ms, back);
	s.settled_ms = std::max(s.settled_ms, back + kCatchUpMs);
	s.end_ms = std::max(s.end_ms, s.settled_ms);
}

/* All processes end at once; each is back after a time of its own. */
void stop_all(Sim &s, uint32_t x, bool power, bool lose_disks)
{
	std::set<Vm *> disks;

	if (lose_disks)
		disks = choose_disks(s, x);
	for (size_t i = 0; i < s.vms.size(); i++) {
		Vm *v = s.vms[i].get();
		uint32_t y = (x ^ (uint32_t)i * 2654435761U) >> 7;
		int64_t back = s.w.now + range(y, kAllDownMinMs, kAllDownMaxMs);

		if (!v->running)
			continue;
		s.absences++;
		bool ends = v->leaving, returns = v->replaced && s.ends_later;

		end_process(v, power);
		if (ends && returns)
			planned_stop(s, v, back + kRecoverMs, v->ended);
		else if (ends)
			v->ended();
		if (ends && !returns)
			continue;
		settle(s, back);
		s.at(back, [&s, v] { run_process(s, v); });
		if (!disks.count(v))
			continue;
		wipe(s, v);
		v->lost = v->disk_lost = true;
		s.at(back + kCatchUpMs,
		     [v] { v->lost = v->disk_lost = false; });
	}
	settle(s, last_back(s));
}

void cut_into_halves(Sim &s, uint32_t x)
{
	int64_t back = s.w.now + range(x >> 12, 500, 8000);

	for (size_t i = 0; i < s.vms.size(); i++)
		s.vms[i]->half = (int)(x >> i & 1);
	s.absences += s.vms.size();
	s.at(back, [&s] {
		for (auto &v : s.vms)
			v->half = 0;
	});
	settle(s, std::max(back, last_back(s)));
}

/* The next fault of all; another one follows once it is made good. */
void strike_next(Sim &s, std::deque<uint32_t> *strikes)
{
	if (strikes->empty())
		return;
	uint32_t x = strikes->front();

	strikes->pop_front();
	s.at(s.w.now + range(x, 0, kAllEveryMaxMs), [&s, x, strikes] {
		uint32_t y = x >> 3;

		if (s.over)
			return;
		if (x % 4 == 3)
			cut_into_halves(s, y);
		else
			stop_all(s, y, x % 4 == 2, x % 4 == 2);
		s.at(s.settled_ms, [&s, strikes] { strike_next(s, strikes); });
	});
}

/* Start and end of a play. */

void found_group(Sim &s, int n)
{
	std::vector<struct ss_raft_member> all;

	s.w.sim = &s;
	s.w.ops = &kMemberOps;
	s.w.election_ms = 400;
	s.w.first_ms = 120;
	s.w.batch_bytes = 256 << 10;
	for (int i = 0; i < n; i++)
		s.core.push_back(new_vm(s));
	for (int i = 0; i < 3; i++)
		all.push_back(member_of(s.core[(size_t)i], true));
	struct ss_raft_members m = { all.data(), all.size() };

	for (int i = 0; i < n; i++) {
		Vm *v = s.core[(size_t)i];

		if (i < 3) {
			v->joined = true;
			v->node->disk.term = 1;
			v->node->disk.log.push_back(
				{ 1, 1, SS_RAFT_MEMBERS, encode(&m) });
			v->node->disk.synced = 1;
		}
		run_process(s, v);
	}
	s.accepted_ms = s.w.now;
	s.absences = (size_t)n;
}

void check_all_accepted(Sim &s)
{
	Vm *v = leading(s);

	RC_ASSERT(bool(v));
	std::set<std::string> have(v->node->state.begin(),
				   v->node->state.end());

	RC_ASSERT(have.size() == v->node->state.size());
	for (const std::string &x : s.w.committed)
		RC_ASSERT(have.count(x) == 1);
	for (Vm *c : s.core)
		RC_ASSERT(bool(ss_raft_member(v->node->raft, c->node->id)));
	RC_ASSERT(s.changes <= s.absences * kChangesPerAbsence);
}

/* Begins the next loss of a series; the one after it follows as soon as this
 * one is made good. */
void lose_next(Sim &s, std::deque<uint32_t> *losses)
{
	if (losses->empty() || s.over)
		return;
	if (s.w.now < s.settled_ms) {
		s.at(s.settled_ms, [&s, losses] { lose_next(s, losses); });
		return;
	}
	uint32_t x = losses->front();
	size_t place = choose_place(s, x, leading(s));

	losses->pop_front();
	lose(s, place, x, [&s, place, x, losses](int64_t back) {
		int64_t good = back + kCatchUpMs;

		s.core[place]->back_ms = back;
		s.end_ms = std::max(s.end_ms, good);
		s.at(good, [&s, place] {
			s.core[place]->lost = s.core[place]->disk_lost = false;
		});
		s.at(good + (int64_t)(x >> 20) % 300,
		     [&s, losses] { lose_next(s, losses); });
	});
}

/* Fills the logs of the founders with changes, half of them in a snapshot. */
void fill_logs(Sim &s, size_t n)
{
	for (Vm *v : s.core) {
		Disk &d = v->node->disk;

		if (!v->joined)
			continue;
		d.snap_members = d.log[0].data;
		d.log.clear();
		d.snap_index = n / 2;
		d.snap_term = 1;
		for (size_t i = 1; i <= n; i++) {
			std::string data = "p" + std::to_string(i) +
					   std::string(kChangeBytes, '.');

			if (i <= n / 2)
				d.snap_data += data + ";";
			else
				d.log.push_back({ i, 1, SS_RAFT_DATA, data });
		}
		d.synced = d.log.size();
	}
}

/* A successor of the n-th VM votes in time, however much there is to learn. */
void replace_with_full_logs(int n, size_t place)
{
	Sim s;
	Vm *v;

	found_group(s, n);
	for (Vm *c : s.core)
		end_process(c, false);
	fill_logs(s, kManyChanges);
	for (Vm *c : s.core)
		run_process(s, c);
	s.propose_every_ms = kBusyProposeMs;
	run_until(s, s.w.now + kFoundedMs);
	replace(s, place, kStepMs, false);
	v = s.core[place];
	run_until(s, s.w.now + kStepMs + kCatchUpMs);
	RC_ASSERT(bool(leading(s)));
	const struct ss_raft_member *m =
		ss_raft_member(leading(s)->node->raft, v->node->id);

	RC_ASSERT(m && m->voter);
	RC_ASSERT(v->node->state.size() > kManyChanges);
}

/* Checks a property that has no arguments, once. */
bool check_once(const std::string &name, std::function<void()> play)
{
	std::cerr << "\n- " << name << std::endl;
	try {
		play();
	} catch (const rc::detail::CaseResult &r) {
		std::cerr << "Falsifiable: " << r.description << std::endl;
		return false;
	}
	std::cerr << "OK, passed 1 tests" << std::endl;
	return true;
}

/* series: of losses, each of which overlaps the others. */
void play(int n, std::vector<std::deque<uint32_t>> series)
{
	Sim s;

	found_group(s, n);
	run_until(s, s.w.now + kFoundedMs);
	s.end_ms = s.w.now;
	for (auto &l : series)
		lose_next(s, &l);
	while (s.w.now < s.end_ms + kRecoverMs)
		run_until(s, s.w.now + kRecoverMs);
	check_all_accepted(s);
}

/* How a play ends: after its losses, or ms after it began, all lose power while
 * as many disks are lost as are borne. */
struct Final {
	uint32_t x;
	int64_t ms;
};

struct PowerPlay {
	int n;
	int64_t link_ms;
	std::vector<std::deque<uint32_t>> series;
	std::deque<uint32_t> strikes;
	Final last;
	bool ends_later;
};

/* Losses in a row beside faults of all; then the final one, after which a
 * leader has all that was accepted, and stays. */
void play_with_power(PowerPlay p)
{
	Sim s;

	s.link_ms = p.link_ms;
	s.ends_later = p.ends_later;
	found_group(s, p.n);
	run_until(s, s.w.now + kFoundedMs);
	s.end_ms = s.w.now;
	for (auto &l : p.series)
		lose_next(s, &l);
	strike_next(s, &p.strikes);
	run_until(s, s.w.now + p.last.ms);
	s.over = true;
	stop_all(s, p.last.x, true, true);
	while (s.w.now < s.end_ms + kRecoverMs)
		run_until(s, s.end_ms + kRecoverMs);
	RC_ASSERT(bool(leading(s)));
	uint64_t term = ss_raft_term(leading(s)->node->raft);

	run_until(s, s.w.now + kRecoverMs);
	check_all_accepted(s);
	RC_ASSERT(ss_raft_term(leading(s)->node->raft) == term);
}

rc::Gen<uint32_t> any_number()
{
	return rc::gen::resize(rc::kNominalSize,
			       rc::gen::arbitrary<uint32_t>());
}

std::deque<uint32_t> any_numbers(int most)
{
	auto v = *rc::gen::resize(
		most, rc::gen::container<std::vector<uint32_t>>(any_number()));

	return { v.begin(), v.end() };
}

PowerPlay any_power_play(bool ends_later)
{
	PowerPlay p;

	p.n = *rc::gen::inRange(3, 7);
	p.link_ms = *rc::gen::inRange<int64_t>(1, kLinkMaxMs + 1);
	for (int k = 0; k < (p.n < (int)kBearsTwoFrom ? 1 : 2); k++)
		p.series.push_back(any_numbers(6));
	p.strikes = any_numbers(3);
	p.last.x = *any_number();
	p.last.ms = *rc::gen::inRange<int64_t>(0, kFinalMaxMs);
	p.ends_later = ends_later;
	return p;
}

} // namespace

int main()
{
	auto number = rc::gen::resize(rc::kNominalSize,
				      rc::gen::arbitrary<uint32_t>());
	auto losses = rc::gen::container<std::vector<uint32_t>>(number);
	bool ok = true;

	for (size_t place : { 0, 1, 2 })
		ok &= check_once("a successor of control VM " +
					 std::to_string(place) +
					 " learns a full log in time",
				 [&] { replace_with_full_logs(3, place); });
	for (int n : { 3, 4, 5, 6, 8 })
		ok &= rc::check(
			std::to_string(n) + " control VMs bear losses in a row",
			[&] {
				std::vector<std::deque<uint32_t>> series;

				for (int k = 0; k < (n < 5 ? 1 : 2); k++) {
					auto l = *rc::gen::resize(8, losses);

					series.emplace_back(l.begin(), l.end());
				}
				play(n, series);
			});
	ok &= rc::check("control VMs bear losses of power by all",
			[&] { play_with_power(any_power_play(false)); });
	return ok ? 0 : 1;
}
