/*
 * Properties of an agent under random interleavings of events: its endpoint's
 * memory is never overcommitted, orders with an old fencing token never reach
 * the engine, no call runs twice, and a call that was answered
 * OUTCOME_NOT_RUN never runs.
 */
#include <rapidcheck.h>

extern "C" {
#include "../src/core/calls.h"
#include "../src/core/ledger.h"
}

#include <map>
#include <set>
#include <string>
#include <vector>

namespace
{

/* Memory of the engine, in bytes. */
const uint64_t kMemory = 10;
const int kModels = 6;

/* A model of an engine: it carries out orders late and may restart. */
struct Engine {
	std::map<std::string, int> held; /* enum held_replica_state */
	std::map<std::string, uint64_t> bytes;
	/* Orders that wait: a model, and whether to load it. */
	std::vector<std::pair<std::string, bool>> orders;

	uint64_t used() const
	{
		uint64_t sum = 0;

		for (auto &h : held)
			sum += bytes.at(h.first);
		return sum;
	}
};

struct LedgerState {
	Engine engine;
	ledger *l = nullptr;
	uint64_t incarnation = 1;
	uint64_t newest_fence = 0;
	int64_t now = 0;
	std::set<std::string> assigned;
};

std::string name(int i)
{
	return "m" + std::to_string(i);
}

void load(void *arg, const ledger_replica *r, uint64_t fence)
{
	LedgerState *w = static_cast<LedgerState *>(arg);

	/* No old fencing token and no unassigned model reaches the engine. */
	RC_ASSERT(fence == w->newest_fence);
	RC_ASSERT(w->assigned.count(r->model) == 1);
	w->engine.bytes[r->model] = r->bytes;
	w->engine.orders.push_back({ r->model, true });
}

void unload(void *arg, const ledger_replica *r, uint64_t)
{
	LedgerState *w = static_cast<LedgerState *>(arg);

	RC_ASSERT(r->active == 0);
	w->engine.orders.push_back({ r->model, false });
}

void changed(void *)
{
}

const ledger_ops kLedgerOps = { load, unload, changed };

void restart_agent(LedgerState &w)
{
	ledger_options o = {};

	ledger_free(w.l);
	o.incarnation = ++w.incarnation;
	o.ops = &kLedgerOps;
	o.arg = &w;
	w.l = ledger_new(&o);
	ledger_set_bytes(w.l, kMemory);
	w.newest_fence = 0;
	/* Orders that the engine hasn't received are lost with the agent. */
	w.engine.orders.clear();
}

/* The engine carries out its oldest order, and answers it or not. */
void serve_order(LedgerState &w, bool answered)
{
	if (w.engine.orders.empty())
		return;
	auto order = w.engine.orders.front();

	w.engine.orders.erase(w.engine.orders.begin());
	if (order.second)
		w.engine.held[order.first] = HELD_LOADING;
	else if (w.engine.held.count(order.first))
		w.engine.held[order.first] = HELD_UNLOADING;
	RC_ASSERT(w.engine.used() <= kMemory);
	ledger_answered(w.l, order.first.c_str(), answered, w.now);
}

void read_engine(LedgerState &w)
{
	std::vector<held_replica> list;
	uint64_t id = ledger_read_begin(w.l);

	for (auto &h : w.engine.held) {
		held_replica x = {};

		x.model = { h.first.data(), h.first.size() };
		x.bytes = w.engine.bytes[h.first];
		x.state = h.second;
		list.push_back(x);
	}
	ledger_read_done(w.l, id, list.data(), list.size(), w.now);
}

/* Sends an assignment of models that fit, with a new or an old number. */
void assign(LedgerState &w, uint32_t v, bool old)
{
	std::vector<replica_order> orders;
	std::vector<std::string> names;
	uint64_t room = kMemory;
	msg_assign a = {};

	for (int i = 0; i < kModels; i++)
		if (v >> i & 1)
			names.push_back(name(i));
	for (size_t i = 0; i < names.size(); i++) {
		uint64_t size = 2 + (v >> (8 + 2 * i)) % 4;
		replica_order o = {};

		if (w.engine.bytes.count(names[i]))
			size = w.engine.bytes[names[i]];
		if (size > room)
			continue;
		room -= size;
		o.replica = i + 1;
		o.model = { names[i].data(), names[i].size() };
		o.bytes = size;
		o.slots = 2;
		o.unload = (v >> (20 + i)) & 1;
		orders.push_back(o);
	}
	a.incarnation = w.incarnation;
	a.fence = old && w.newest_fence ? w.newest_fence - 1 :
					  w.newest_fence + 1;
	a.orders = { orders.data(), orders.size() };
	bool fresh = a.fence >= w.newest_fence;

	if (fresh) {
		w.newest_fence = a.fence;
		w.assigned.clear();
		for (auto &o : orders)
			if (!o.unload)
				w.assigned.insert(
					std::string(o.model.p, o.model.n));
	}
	RC_ASSERT(ledger_assign(w.l, &a, w.now, nullptr) == fresh);
}

void ledger_step(LedgerState &w, uint32_t v)
{
	uint32_t x = v >> 4;

	switch (v % 12) {
	case 0:
	case 1:
		assign(w, x, false);
		break;
	case 2:
		assign(w, x, true);
		break;
	case 3:
	case 4:
		serve_order(w, x % 4 != 0);
		break;
	case 5:
	case 6:
	case 7:
		read_engine(w);
		break;
	case 8:
		for (auto it = w.engine.held.begin();
		     it != w.engine.held.end();) {
			if (it->second == HELD_UNLOADING)
				it = w.engine.held.erase(it);
			else
				(it++)->second = HELD_READY;
		}
		break;
	case 9:
		w.now += x % 9000;
		ledger_leader_contact(w.l, w.now);
		ledger_tick(w.l, w.now);
		break;
	case 10:
		if (x % 6 == 0)
			restart_agent(w);
		break;
	case 11:
		if (x % 6 == 0) /* the engine restarts without models */
			w.engine.held.clear();
		break;
	}
	RC_ASSERT(w.engine.used() <= kMemory);
}

void run_ledger(const std::vector<uint32_t> &ops)
{
	LedgerState w;

	restart_agent(w);
	for (uint32_t v : ops)
		ledger_step(w, v);
	ledger_free(w.l);
}

/* Entries that send and resend calls, attach, and lose connections. */

struct CallsState {
	calls *t = nullptr;
	uint64_t incarnation = 1;
	int64_t now = 0;
	std::map<uint64_t, int> runs; /* by id */
	std::set<uint64_t> reported_not_run;
	std::map<uint64_t, uint64_t> id_of_sub;
	std::map<uint64_t, uint64_t> next_piece; /* by sub */
	std::map<uint64_t, call *> running;
	uint64_t subs = 0;
};

void start(void *arg, call *c, const msg_call *m)
{
	CallsState *w = static_cast<CallsState *>(arg);

	w->runs[m->seq]++;
	w->running[m->seq] = c;
}

void cancel(void *arg, call *c)
{
	CallsState *w = static_cast<CallsState *>(arg);
	msg_reply m = {};

	w->running.erase(call_seq(c));
	m.end = true;
	m.code = SS_ERROR_CANCELLED;
	m.outcome = OUTCOME_UNKNOWN;
	calls_add_piece(w->t, c, &m, w->now);
}

void reply(void *arg, void *, const msg_reply *m)
{
	CallsState *w = static_cast<CallsState *>(arg);
	uint64_t id = w->id_of_sub[m->sub];

	if (m->end && m->code) {
		if (m->outcome == OUTCOME_NOT_RUN)
			w->reported_not_run.insert(id);
		return;
	}
	/* The call's pieces arrive in order, without gaps or duplicates. */
	std::string data(m->data.p ? m->data.p : "", m->data.n);

	RC_ASSERT(m->seq == w->next_piece[m->sub]);
	RC_ASSERT(data ==
		  std::to_string(id) + "/" + std::to_string(m->seq));
	w->next_piece[m->sub]++;
}

const calls_ops kCallsOps = { start, cancel, reply };

void restart_table(CallsState &w)
{
	calls_options o = {};

	calls_free(w.t);
	w.running.clear();
	o.incarnation = ++w.incarnation;
	o.ops = &kCallsOps;
	o.arg = &w;
	w.t = calls_new(&o);
}

void send_call(CallsState &w, uint32_t v, char *peer, uint64_t id,
	       uint64_t incarnation, bool attach)
{
	GError *full = nullptr;

	if (attach) {
		msg_attach m = {};

		m.sub = w.subs;
		m.entry = 1;
		m.seq = id;
		m.incarnation = incarnation;
		calls_attach(w.t, peer, &m, w.now);
		return;
	}
	msg_call m = {};

	m.sub = w.subs;
	m.entry = 1;
	m.seq = id;
	m.incarnation = incarnation;
	m.once = id % 2;
	if ((v >> 20) % 5 == 0)
		full = g_error_new(SS_ERROR, SS_ERROR_OVERLOAD, "full");
	calls_submit(w.t, peer, &m, full, nullptr, w.now);
	g_clear_error(&full);
}

void send_piece(CallsState &w, uint32_t v, uint64_t id)
{
	if (!w.running.count(id))
		return;
	call *c = w.running[id];
	msg_reply m = {};
	std::string data = std::to_string(id) + "/" +
			   std::to_string(call_pieces(c));

	m.data = { data.data(), data.size() };
	m.end = (v >> 20) % 3 == 0;
	if (m.end)
		w.running.erase(id);
	calls_add_piece(w.t, c, &m, w.now);
}

void calls_step(CallsState &w, uint32_t v)
{
	char *peer = (v >> 16) % 2 ? const_cast<char *>("a") :
				     const_cast<char *>("b");
	/* Each id is made for one incarnation of the agent. */
	uint64_t incarnation = 2 + (v >> 8) % 3;
	uint64_t id = 1 + (v >> 10) % 8 + 100 * incarnation;

	w.id_of_sub[++w.subs] = id;
	switch (v % 8) {
	case 0:
	case 1:
		send_call(w, v, peer, id, incarnation, false);
		break;
	case 2:
	case 3:
		send_call(w, v, peer, id, incarnation, true);
		break;
	case 4:
	case 5:
		send_piece(w, v, id);
		break;
	case 6:
		if ((v >> 20) % 2)
			calls_peer_gone(w.t, peer, w.now);
		else
			calls_cancel(w.t, peer, (v >> 10) % (w.subs + 1),
				     w.now);
		break;
	case 7:
		w.now += (v >> 12) % 8000;
		if ((v >> 26) % 8 == 0)
			w.now += CALLS_KEEP_ONCE_MS;
		calls_tick(w.t, w.now);
		if ((v >> 20) % 8 == 0)
			restart_table(w);
		break;
	}
	for (auto &r : w.runs) {
		RC_ASSERT(r.second <= 1);
		RC_ASSERT(w.reported_not_run.count(r.first) == 0);
	}
}

void run_calls(const std::vector<uint32_t> &ops)
{
	CallsState w;

	restart_table(w);
	for (uint32_t v : ops)
		calls_step(w, v);
	calls_free(w.t);
}

} // namespace

int main()
{
	auto number = rc::gen::resize(rc::kNominalSize,
				      rc::gen::arbitrary<uint32_t>());
	auto ops = rc::gen::scale(
		4.0, rc::gen::container<std::vector<uint32_t>>(number));
	bool ok = rc::check("memory is never overcommitted, old orders never "
			    "reach the engine",
			    [&] { run_ledger(*ops); });

	ok &= rc::check("a call runs at most once, and \"not run\" is true",
			[&] { run_calls(*ops); });
	return ok ? 0 : 1;
}
