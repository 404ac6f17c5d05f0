/*
 * Raft logs on simulated disks and links, with a fake clock. Asserts what must
 * always hold: one leader in a term, equal entries at an index on all nodes,
 * and reads that see what was committed before them.
 */
#ifndef SS_RAFT_WORLD_HH
#define SS_RAFT_WORLD_HH

#include <rapidcheck.h>
#include <sapphireshift/raft.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace raft_world
{

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
	~Node()
	{
		ss_raft_free(raft);
	}

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
	/* Options of the nodes; 0: the default. */
	size_t batch_bytes = 64;
	int64_t election_ms = 0, first_ms = 0;
	const ss_raft_ops *ops = nullptr;
	uint64_t seed = 0; /* added to that of each node */
};

inline struct ss_str str(const std::string &s)
{
	struct ss_str v = { s.data(), s.size() };

	return v;
}

inline std::string text(struct ss_str s)
{
	return s.n ? std::string(s.p, s.n) : std::string();
}

inline std::string encode(const struct ss_raft_members *m)
{
	GString *g = ss_raft_encode_members(m);
	std::string s(g->str, g->len);

	g_string_free(g, TRUE);
	return s;
}

inline Node *node_of(void *arg)
{
	return static_cast<Node *>(arg);
}

inline bool save_vote(void *arg, uint64_t term, uint64_t vote, GError **)
{
	node_of(arg)->disk.term = term;
	node_of(arg)->disk.vote = vote;
	return true;
}

inline bool append(void *arg, const ss_raft_entry *e, size_t n, GError **error)
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

inline bool truncate(void *arg, uint64_t from, GError **)
{
	Disk &d = node_of(arg)->disk;

	while (!d.log.empty() && d.log.back().index >= from)
		d.log.pop_back();
	d.synced = std::min(d.synced, d.log.size());
	return true;
}

inline bool sync(void *arg, GError **)
{
	node_of(arg)->disk.synced = node_of(arg)->disk.log.size();
	return true;
}

inline bool save_snapshot(void *arg, const ss_raft_snapshot *s,
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

inline void send(void *arg, const ss_raft_msg *m)
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

inline void apply(void *arg, const ss_raft_entry *e)
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

inline bool restore(void *arg, struct ss_str data)
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

inline void changed(void *arg)
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

inline void read_done(void *arg, uint64_t ctx, bool ok)
{
	Node *n = node_of(arg);
	size_t before = n->world->reads[ctx];

	/* A read sees all entries committed before it was requested. */
	if (ok)
		RC_ASSERT(n->state.size() >= before);
	n->world->reads.erase(ctx);
}

inline void failed(void *, const GError *error)
{
	RC_FAIL(error->message);
}

inline const ss_raft_ops kOps = { save_vote, append,  truncate, sync,
			   save_snapshot, send, apply, restore,
			   changed, read_done, failed };

inline void start(Node *n)
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
	o.ops = n->world->ops ? n->world->ops : &kOps;
	o.arg = n;
	o.seed = n->id * 7919 + n->world->seed;
	o.batch_bytes = n->world->batch_bytes;
	o.election_ms = n->world->election_ms;
	o.first_ms = n->world->first_ms;
	o.term = n->disk.term;
	o.vote = n->disk.vote;
	o.entries = entries.data();
	o.n_entries = entries.size();
	n->raft = ss_raft_new(&o, n->world->now, &error);
	RC_ASSERT(bool(n->raft));
	ss_raft_clear_members(&snap.members);
}

inline void crash(Node *n, size_t keep)
{
	Disk &d = n->disk;

	ss_raft_free(n->raft);
	n->raft = nullptr;
	/* Any prefix of the unsynced entries may have reached the disk. */
	d.log.resize(d.synced + std::min(keep, d.log.size() - d.synced));
	d.synced = d.log.size();
}

inline Node *leader(World &w)
{
	Node *best = nullptr;

	for (auto &n : w.nodes)
		if (n->raft && ss_raft_role(n->raft) == SS_RAFT_LEADER &&
		    (!best ||
		     ss_raft_term(n->raft) > ss_raft_term(best->raft)))
			best = n.get();
	return best;
}

inline struct ss_raft_member member(uint64_t id, bool voter)
{
	struct ss_raft_member m = {};

	m.id = id;
	m.name = SS_LIT("n");
	m.addr = SS_LIT("a");
	m.voter = voter;
	return m;
}

/* Hands a message to its receiver; lost if that is down or the link cut. */
inline void receive(World &w, Msg x)
{
	std::vector<ss_raft_entry> entries;
	int from = -1, to = -1;

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

inline void deliver(World &w, size_t at, bool keep)
{
	Msg x = w.net[at];

	if (!keep)
		w.net.erase(w.net.begin() + (long)at);
	receive(w, x);
}

inline void propose(World &w, Node *n)
{
	std::string v = "v" + std::to_string(w.next_value++);

	if (n->raft)
		ss_raft_propose(n->raft, str(v), nullptr, nullptr);
}

} // namespace raft_world

#endif
