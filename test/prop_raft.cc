/*
 * Safety and liveness of the Raft log under random message loss, delay and
 * duplication, crashes that lose unsynced writes, wiped disks, full disks,
 * partitions, snapshots and membership changes.
 */
#include "raft_world.hh"

namespace
{

using namespace raft_world;

const int kNodes = 3;

/* Repairs membership as the daemon does, by one add, promotion or removal. */
void repair_members(World &w)
{
	Node *l = leader(w);

	if (!l)
		return;
	const struct ss_raft_members *all = ss_raft_members(l->raft);

	for (auto &n : w.nodes) {
		if (!n->raft || ss_raft_member(l->raft, n->id))
			continue;
		struct ss_raft_member m = member(n->id, false);

		ss_raft_set_member(l->raft, &m, nullptr);
		return;
	}
	for (size_t i = 0; i < all->n; i++) {
		uint64_t id = all->m[i].id;
		bool live = std::any_of(w.nodes.begin(), w.nodes.end(),
					[&](const std::unique_ptr<Node> &n) {
						return n->id == id;
					});

		if (!all->m[i].voter && live && ss_raft_match(l->raft, id)) {
			struct ss_raft_member m = member(id, true);

			ss_raft_set_member(l->raft, &m, nullptr);
			return;
		}
		if (!live && all->n > (size_t)kNodes) {
			ss_raft_remove_member(l->raft, id, nullptr);
			return;
		}
	}
}

/*
 * Returns whether a disk may be wiped: all nodes are voters, so an earlier loss
 * has been repaired, and all entries are committed. A second loss before the
 * repair could destroy committed entries.
 */
bool can_wipe(World &w)
{
	Node *l = leader(w);

	if (!l || ss_raft_commit(l->raft) != ss_raft_last(l->raft) ||
	    ss_raft_members(l->raft)->n != (size_t)kNodes)
		return false;
	for (auto &n : w.nodes) {
		const struct ss_raft_member *m = ss_raft_member(l->raft, n->id);

		if (!m || !m->voter)
			return false;
	}
	return true;
}

void flush(World &w, Node *n)
{
	if (n->raft)
		ss_raft_flush(n->raft, w.now);
}

void request_read(World &w, Node *n)
{
	uint64_t ctx = ++w.ctx;

	if (!n->raft)
		return;
	w.reads[ctx] = w.committed.size();
	if (!ss_raft_read(n->raft, w.now, ctx, nullptr))
		w.reads.erase(ctx);
}

void compact(Node *n)
{
	std::string s;

	if (!n->raft)
		return;
	for (const std::string &v : n->state)
		s += v + ";";
	if (n->applied == ss_raft_applied(n->raft) || n->applied)
		ss_raft_compact(n->raft, str(s), nullptr);
}

/* Runs some rounds of 40 ms without new faults; one node may be suspended. */
void run_network(World &w, int rounds, const Node *suspended)
{
	for (int round = 0; round < rounds; round++) {
		w.now += 40;
		for (auto &n : w.nodes)
			if (n->raft && n.get() != suspended)
				ss_raft_tick(n->raft, w.now);
		for (int k = 0; k < 60 && !w.net.empty(); k++) {
			if (suspended && w.net[0].m.to == suspended->id)
				w.net.pop_front();
			else
				deliver(w, 0, false);
		}
		for (auto &n : w.nodes)
			if (n.get() != suspended)
				flush(w, n.get());
	}
}

void isolate(World &w, const Node *n)
{
	for (auto &x : w.nodes) {
		w.cut.insert({ n->slot, x->slot });
		w.cut.insert({ x->slot, n->slot });
	}
}

void step(World &w, uint32_t v)
{
	Node *n = w.nodes[(v >> 8) % w.nodes.size()].get();
	size_t pick = w.net.empty() ? 0 : (v >> 12) % w.net.size();

	switch (v % 32) {
	case 0:
		w.now += 50 + (v >> 16) % 200;
		for (auto &x : w.nodes)
			if (x->raft)
				ss_raft_tick(x->raft, w.now);
		break;
	case 1:
	case 2:
		if (n->raft)
			ss_raft_tick(n->raft, w.now += (v >> 16) % 40);
		break;
	case 3:
	case 4:
		propose(w, n);
		break;
	case 5:
		if (leader(w))
			propose(w, leader(w));
		break;
	case 6:
		request_read(w, n);
		break;
	case 7:
		if (!w.net.empty())
			w.net.erase(w.net.begin() + (long)pick);
		break;
	case 8:
		if (!w.net.empty())
			deliver(w, pick, true);
		break;
	case 9:
		if (n->raft)
			crash(n, (v >> 20) % 4);
		break;
	case 10:
	case 11:
		if (!n->raft)
			start(n);
		break;
	case 12:
		w.cut.insert({ (int)((v >> 8) % 3), (int)((v >> 16) % 3) });
		break;
	case 13:
	case 14:
		w.cut.clear();
		break;
	case 15:
		compact(n);
		break;
	case 16:
		if (can_wipe(w) && (v >> 24) % 2) {
			if (n->raft)
				crash(n, 0);
			n->disk = Disk();
			n->id = w.next_id++;
		}
		break;
	case 17:
		repair_members(w);
		break;
	case 19:
	case 20:
		run_network(w, (int)(v >> 16) % 30, nullptr);
		break;
	case 21:
		run_network(w, 30 + (int)(v >> 16) % 20, n);
		/* It resumes with its old state and gets requests at once. */
		propose(w, n);
		request_read(w, n);
		flush(w, n);
		break;
	case 22:
		isolate(w, n);
		break;
	case 18:
		n->disk_full = (v >> 16) % 3 == 0;
		break;
	default:
		if (!w.net.empty())
			deliver(w, pick, false);
		break;
	}
	if (v % 3 == 0)
		flush(w, n);
}

void init_world(World &w)
{
	std::vector<struct ss_raft_member> all;

	for (int i = 0; i < kNodes; i++) {
		w.nodes.push_back(std::make_unique<Node>());
		w.nodes.back()->world = &w;
		w.nodes.back()->slot = i;
		w.nodes.back()->id = w.next_id++;
		all.push_back(member(w.nodes.back()->id, true));
	}
	struct ss_raft_members m = { all.data(), all.size() };

	for (auto &n : w.nodes) {
		n->disk.term = 1;
		n->disk.log.push_back({ 1, 1, SS_RAFT_MEMBERS, encode(&m) });
		n->disk.synced = 1;
		start(n.get());
	}
}

/* All faults end: a leader must be elected and commit a change. */
void recover(World &w)
{
	size_t before = w.committed.size();

	w.cut.clear();
	for (auto &n : w.nodes) {
		n->disk_full = false;
		if (!n->raft)
			start(n.get());
	}
	for (int round = 0; round < 60; round++) {
		run_network(w, 5, nullptr);
		repair_members(w);
		if (round % 4 == 2 && leader(w))
			propose(w, leader(w));
	}
	run_network(w, 5, nullptr);
	RC_ASSERT(w.committed.size() > before);
}

void check_end(World &w)
{
	Node *l = leader(w);

	RC_ASSERT(bool(l));
	/* No committed entry is lost or applied twice. */
	std::set<std::string> have(l->state.begin(), l->state.end());

	RC_ASSERT(have.size() == l->state.size());
	for (const std::string &v : w.committed)
		RC_ASSERT(have.count(v) == 1);
	for (auto &n : w.nodes) {
		size_t common = std::min(n->state.size(), l->state.size());

		for (size_t i = 0; i < common; i++)
			RC_ASSERT(n->state[i] == l->state[i]);
		RC_ASSERT(bool(ss_raft_member(l->raft, n->id)));
	}
}

void run(const std::vector<uint32_t> &ops)
{
	World w;

	init_world(w);
	for (uint32_t v : ops)
		step(w, v);
	recover(w);
	check_end(w);
}

/* Links of 5 ms, and a tick each 20 ms. */
const int64_t kLinkMs = 5, kTickMs = 20;
/* Longest time without a leader where a majority is connected. */
const int64_t kElectedMs = 12000;

/* Voters in a star: each reaches the first one only. */
void found_star(World &w, int voters, int up)
{
	std::vector<struct ss_raft_member> all;

	for (int i = 0; i < voters; i++)
		all.push_back(member((uint64_t)i + 1, true));
	struct ss_raft_members members = { all.data(), all.size() };

	for (int i = 0; i < voters; i++) {
		w.nodes.push_back(std::make_unique<Node>());
		Node *n = w.nodes.back().get();

		n->world = &w;
		n->slot = i;
		n->id = (uint64_t)i + 1;
		n->disk.term = 1;
		n->disk.log.push_back(
			{ 1, 1, SS_RAFT_MEMBERS, encode(&members) });
		n->disk.synced = 1;
		for (int k = 1; k < voters; k++)
			if (i && k != i)
				w.cut.insert({ i, k });
	}
	for (int i = 0; i < up; i++)
		start(w.nodes[(size_t)i].get());
}

/* Guards against a group without a leader for good, as candidates that can't win
 * refuse the only one that can. */
void elect_in_star(int voters, int up, uint64_t seed)
{
	World w;
	std::deque<std::pair<int64_t, Msg>> wire;
	int64_t end = w.now + kElectedMs;
	bool elected = false;

	w.election_ms = 400;
	w.seed = seed;
	found_star(w, voters, up);
	while (!elected && w.now < end) {
		w.now += kLinkMs;
		for (const Msg &x : w.net)
			wire.emplace_back(w.now + kLinkMs, x);
		w.net.clear();
		for (; !wire.empty() && wire.front().first <= w.now;
		     wire.pop_front())
			receive(w, wire.front().second);
		for (auto &n : w.nodes) {
			if (n->raft && w.now % kTickMs == 0)
				ss_raft_tick(n->raft, w.now);
			if (n->raft)
				ss_raft_flush(n->raft, w.now);
		}
		elected = leader(w) && ss_raft_commit(leader(w)->raft) >= 2;
	}
	RC_ASSERT(elected);
}

} // namespace

int main()
{
	/* Each number has its full range at any length of the list. */
	auto number = rc::gen::resize(rc::kNominalSize,
				      rc::gen::arbitrary<uint32_t>());
	auto ops = rc::gen::scale(
		12.0, rc::gen::container<std::vector<uint32_t>>(number));
	bool ok = rc::check("committed changes survive any order of faults",
			    [&] { run(*ops); });

	ok &= rc::check("the middle of a star is elected", [] {
		int voters = *rc::gen::inRange(4, 7);

		elect_in_star(voters,
			      *rc::gen::inRange(voters / 2 + 1, voters + 1),
			      *rc::gen::arbitrary<uint64_t>());
	});
	return ok ? 0 : 1;
}
