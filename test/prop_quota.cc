// Property: under any sequence of faults, hot customers and changed limits, no
// window of any customer exceeds its limit and the permitted overage.
#include <rapidcheck.h>

extern "C" {
#include "quota_world.h"
}

namespace {

constexpr int kEntries = 12;
constexpr int kCustomers = 5;
constexpr int64_t kLengthMs = 26000;

// Draws up to nine events; in many runs some overlap.
std::vector<world_event> DrawEvents(uint64_t *seed)
{
	std::vector<world_event> out;
	int n = 1 + static_cast<int>(ss_random(seed) % 9);
	auto below = [&](uint64_t bound) {
		return static_cast<int64_t>(ss_random(seed) % bound);
	};

	for (int i = 0; i < n; i++) {
		static const world_event_kind kinds[] = {
			WORLD_PARTITION,   WORLD_FREEZE,      WORLD_RESTART,
			WORLD_SLOW,	   WORLD_LEADER_LOSS, WORLD_LEADER_LOSS,
			WORLD_POWER_LOSS,  WORLD_HOT,	      WORLD_HOT,
			WORLD_LIMIT,	   WORLD_JOIN,
		};
		world_event e = {};

		e.kind = kinds[below(G_N_ELEMENTS(kinds))];
		e.at_ms = 3000 + below(16000);
		e.for_ms = 200 + below(e.kind == WORLD_LEADER_LOSS ? 3000 : 7000);
		e.first = static_cast<int>(below(kEntries));
		e.count = 1 + static_cast<int>(below(kEntries));
		e.x = 2 + static_cast<double>(below(11));
		if (e.kind == WORLD_HOT || e.kind == WORLD_LIMIT) {
			e.first = static_cast<int>(below(kCustomers));
			e.count = 1;
		}
		if (e.kind == WORLD_LIMIT) {
			static const double steps[] = { 0.05, 0.3, 2, 4 };

			e.x = steps[below(4)];
			e.for_ms = 0;
		}
		if (e.kind == WORLD_JOIN) {
			e.for_ms = 0;
			e.first = kEntries - 2;
			e.count = 2;
		}
		out.push_back(e);
	}
	return out;
}

void NoWindowExceeds(const quota_scheme *scheme, bool classes = false)
{
	uint64_t seed = *rc::gen::arbitrary<uint32_t>();
	std::vector<world_event> events = DrawEvents(&seed);
	world_options o = {};
	world_result r;

	o.scheme = scheme;
	o.entries = kEntries;
	o.customers = kCustomers;
	o.domains = 4;
	o.length_ms = kLengthMs;
	o.requests_per_s = 60;
	o.limit_x = 0.5 + static_cast<double>(ss_random(&seed) % 20) / 10;
	o.floor_per_s = 4200;
	o.overage = { 8, 0.1, 17000 };
	o.delay_ms = 0.5 + static_cast<double>(ss_random(&seed) % 40);
	o.cpu_share = 0.32;
	o.drift = 0.001;
	o.seed = seed;
	o.events = events.data();
	o.n_events = events.size();
	if (classes) {
		o.classes = world_three_classes;
		o.n_classes = WORLD_THREE_CLASSES;
		o.sharing = static_cast<world_sharing>(ss_random(&seed) % 2);
	}
	world_run(&o, &r);
	RC_LOG() << r.worst_at;
	RC_ASSERT(r.worst <= 1);
}

} // namespace

int main()
{
	bool ok = rc::check("leased grants keep every window", [] {
		NoWindowExceeds(&quota_lease);
	});

	ok &= rc::check("owners keep every window",
			[] { NoWindowExceeds(&quota_owner); });
	ok &= rc::check("classes keep every window", [] {
		NoWindowExceeds(&quota_lease, true);
	});
	return !ok;
}
