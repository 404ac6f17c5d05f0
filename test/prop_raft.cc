/*
 * Safety and liveness of the Raft log under random message loss, delay and
 * duplication, crashes that lose unsynced writes, wiped disks, full disks,
 * partitions, snapshots and membership changes.
 */
#include <rapidcheck.h>
#include <sapphireshift/raft.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace
{

const int kNodes = 3;

struct Entry {
	uint64_t index, term;
	int64_t kind;
	std::string data;
};

/* Simulated disk; only synced entries are sure to survive a crash. */
struct Disk {
	uint64_t term = 0, vote = 0;
	uint64_t snap_index = 0, snap_term = 0;
	std::string snap_members, snap_data;
	std::vector<Entry> log;
	size_t synced = 0;
};

struct Msg {
	ss_raft_msg m;
	std::vector<Entry> entries;
	std::string members, data;
};

struct World;

struct Node {
	World *world = nullptr;
	int slot = 0;
	uint64_t id = 0;
	Disk disk;
	ss_raft *raft = nullptr;
	bool disk_full = false;
	/* The state machine: the data of all applied entries, in order. */
	std::vector<std::string> state;
	uint64_t applied = 0;
};

struct World {
	std::vector<std::unique_ptr<Node>> nodes;
	std::deque<Msg> net;
	std::set<std::pair<int, int>> cut; /* links (from, to) that are down */
	int64_t now = 1000;
	uint64_t next_id = 1, next_value = 1;
	std::map<uint64_t, uint64_t> leader_of_term;
	std::map<uint64_t, std::string> applied; /* index -> data */
	std::set<std::string> committed; /* data that a leader has applied */
	/* Open reads: the number of committed entries at each request. */
	std::map<uint64_t, size_t> reads;
	uint64_t ctx = 0;
};

struct ss_str str(const std::string &s)
{
	struct ss_str v = { s.data(), s.size() };

	return v;
}

std::string text(struct ss_str s)
{
	return s.n ? std::string(s.p, s.n) : std::string();
}

std::string encode(const struct ss_raft_members *m)
{
	GString *g = ss_raft_encode_members(m);
	std::string s(g->str, g->len);

	g_string_free(g, TRUE);
	return s;
}

Node *node_of(void *arg)
{
	return static_cast<Node *>(arg);
}

bool save_vote(void *arg, uint64_t term, uint64_t vote, GError **)
{
	node_of(arg)->disk.term = term;
	node_of(arg)->disk.vote = vote;
	return true;
}

bool append(void *arg, const ss_raft_entry *e, size_t n, GError **error)
{
	Node *d = node_of(arg);

	if (d->disk_full) {
		g_set_error(error, SS_ERROR, SS_ERROR_DISK_FULL, "full");
		return false;
	}
	for (size_t i = 0; i < n; i++)
		d->disk.log.push_back(
			{ e[i].index, e[i].term, e[i].kind, text(e[i].data) });
	return true;
}

bool truncate(void *arg, uint64_t from, GError **)
{
	Disk &d = node_of(arg)->disk;

	while (!d.log.empty() && d.log.back().index >= from)
		d.log.pop_back();
	d.synced = std::min(d.synced, d.log.size());
	return true;
}

bool sync(void *arg, GError **)
{
	node_of(arg)->disk.synced = node_of(arg)->disk.log.size();
	return true;
}

bool save_snapshot(void *arg, const ss_raft_snapshot *s,
		   const ss_raft_entry *rest, size_t n, GError **)
{
	Disk &d = node_of(arg)->disk;

	d.snap_index = s->index;
	d.snap_term = s->term;
	d.snap_members = encode(&s->members);
	d.snap_data = text(s->data);
	d.log.clear();
	for (size_t i = 0; i < n; i++)
		d.log.push_back({ rest[i].index, rest[i].term, rest[i].kind,
				  text(rest[i].data) });
	d.synced = d.log.size();
	return true;
}

void send(void *arg, const ss_raft_msg *m)
{
	Msg x;

	x.m = *m;
	for (size_t i = 0; i < m->n_entries; i++)
		x.entries.push_back(
			{ m->entries[i].index, m->entries[i].term,
			  m->entries[i].kind, text(m->entries[i].data) });
	x.members = encode(&m->members);
	x.data = text(m->data);
	node_of(arg)->world->net.push_back(x);
}

void apply(void *arg, const ss_raft_entry *e)
{
	Node *n = node_of(arg);
	std::string data = text(e->data);
	auto known = n->world->applied.find(e->index);

	/* All nodes apply the same data at an index, also after a restart. */
	if (known == n->world->applied.end())
		n->world->applied[e->index] = data;
	else
		RC_ASSERT(known->second == data);
	RC_ASSERT(e->index > n->applied);
	n->applied = e->index;
	n->state.push_back(data);
	if (ss_raft_role(n->raft) == SS_RAFT_LEADER)
		n->world->committed.insert(data);
}

bool restore(void *arg, struct ss_str data)
{
	Node *n = node_of(arg);
	std::string s = text(data);
	size_t at = 0, end;

	n->state.clear();
	while ((end = s.find(';', at)) != std::string::npos) {
		n->state.push_back(s.substr(at, end - at));
		at = end + 1;
	}
	return true;
}

void changed(void *arg)
{
	Node *n = node_of(arg);

	if (!n->raft || ss_raft_role(n->raft) != SS_RAFT_LEADER)
		return;
	uint64_t term = ss_raft_term(n->raft);
	auto it = n->world->leader_of_term.find(term);

	if (it != n->world->leader_of_term.end())
		RC_ASSERT(it->second == n->id);
	n->world->leader_of_term[term] = n->id;
}

void read_done(void *arg, uint64_t ctx, bool ok)
{
	Node *n = node_of(arg);
	size_t before = n->world->reads[ctx];

	/* A read sees all entries committed before it was requested. */
	if (ok)
		RC_ASSERT(n->state.size() >= before);
	n->world->reads.erase(ctx);
}

void failed(void *, const GError *error)
{
	RC_FAIL(error->message);
}

const ss_raft_ops kOps = { save_vote, append,  truncate, sync,
			   save_snapshot, send, apply, restore,
			   changed, read_done, failed };

void start(Node *n)
{
	std::vector<ss_raft_entry> entries;
	ss_raft_snapshot snap = {};
	ss_raft_options o = {};
	GError *error = nullptr;

	for (const Entry &e : n->disk.log)
		entries.push_back({ e.index, e.term, e.kind, str(e.data) });
	n->state.clear();
	n->applied = n->disk.snap_index;
	if (n->disk.snap_index) {
		snap.index = n->disk.snap_index;
		snap.term = n->disk.snap_term;
		snap.data = str(n->disk.snap_data);
		ss_raft_decode_members(str(n->disk.snap_members),
				       &snap.members);
		o.snapshot = &snap;
	}
	o.self = n->id;
	o.ops = &kOps;
	o.arg = n;
	o.seed = n->id * 7919;
	o.batch_bytes = 64;
	o.term = n->disk.term;
	o.vote = n->disk.vote;
	o.entries = entries.data();
	o.n_entries = entries.size();
	n->raft = ss_raft_new(&o, n->world->now, &error);
	RC_ASSERT(bool(n->raft));
	ss_raft_clear_members(&snap.members);
}

void crash(Node *n, size_t keep)
{
	Disk &d = n->disk;

	ss_raft_free(n->raft);
	n->raft = nullptr;
	/* Any prefix of the unsynced entries may have reached the disk. */
	d.log.resize(d.synced + std::min(keep, d.log.size() - d.synced));
	d.synced = d.log.size();
}

Node *leader(World &w)
{
	Node *best = nullptr;

	for (auto &n : w.nodes)
		if (n->raft && ss_raft_role(n->raft) == SS_RAFT_LEADER &&
		    (!best ||
		     ss_raft_term(n->raft) > ss_raft_term(best->raft)))
			best = n.get();
	return best;
}

struct ss_raft_member member(uint64_t id, bool voter)
{
	struct ss_raft_member m = {};

	m.id = id;
	m.name = SS_LIT("n");
	m.addr = SS_LIT("a");
	m.voter = voter;
	return m;
}

void deliver(World &w, size_t at, bool keep)
{
	Msg x = w.net[at];
	std::vector<ss_raft_entry> entries;
	int from = -1, to = -1;

	if (!keep)
		w.net.erase(w.net.begin() + (long)at);
	for (auto &n : w.nodes) {
		if (n->id == x.m.from)
			from = n->slot;
		if (n->id == x.m.to)
			to = n->slot;
	}
	if (to < 0 || !w.nodes[(size_t)to]->raft || from < 0 ||
	    w.cut.count({ from, to }))
		return;
	for (const Entry &e : x.entries)
		entries.push_back({ e.index, e.term, e.kind, str(e.data) });
	x.m.entries = entries.data();
	x.m.n_entries = entries.size();
	x.m.data = str(x.data);
	ss_raft_decode_members(str(x.members), &x.m.members);
	ss_raft_step(w.nodes[(size_t)to]->raft, w.now, &x.m);
	ss_raft_clear_members(&x.m.members);
}

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

void propose(World &w, Node *n)
{
	std::string v = "v" + std::to_string(w.next_value++);

	if (n->raft)
		ss_raft_propose(n->raft, str(v), nullptr, nullptr);
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
	for (auto &n : w.nodes)
		ss_raft_free(n->raft);
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

	return ok ? 0 : 1;
}
