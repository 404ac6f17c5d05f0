// Any interleaving of restarts, loads and outages: no window of all entries
// together has more retries than the ratio and the slack allow.
#include <rapidcheck.h>

extern "C" {
#include "../src/core/retry_budget.h"
}

#include <algorithm>

namespace {

constexpr int64_t kWindowMs = 10000;
constexpr int64_t kStepMs = 20;
constexpr int64_t kPlayMs = 45000;
constexpr double kRatio = 0.2;
constexpr int64_t kSlack = 100;
constexpr int kEntriesMost = 40;

struct Seen {
	std::vector<int64_t> requests, retries; // when, in ms
};

size_t Within(const std::vector<int64_t> &times, int64_t from)
{
	auto first = std::lower_bound(times.begin(), times.end(), from);
	auto last = std::lower_bound(first, times.end(), from + kWindowMs);

	return static_cast<size_t>(last - first);
}

retry_budget Start(int64_t now)
{
	retry_options o = { kWindowMs, kRatio, now };
	retry_budget b;

	retry_budget_init(&b, &o);
	return b;
}

// Each second has its own load, and may be one in which all that is sent fails;
// entries are replaced one by one or all at once.
Seen Play(uint64_t seed)
{
	auto draw = [&seed](uint64_t most) { return ss_random(&seed) % most; };
	size_t n = 1 + draw(kEntriesMost);
	int64_t slack = retry_slack(kSlack, n);
	uint64_t killed = 1 + draw(200), all_killed = 20 + draw(1000);
	std::vector<retry_budget> entries(n, Start(0));
	uint64_t load = 0;
	bool fails = false;
	Seen seen;

	for (int64_t now = 0; now < kPlayMs; now += kStepMs) {
		if (now % 1000 == 0) {
			load = draw(3) ? draw(100) : draw(3);
			fails = draw(3) != 0;
		}
		if (draw(all_killed) == 0)
			std::fill(entries.begin(), entries.end(), Start(now));
		if (draw(killed) == 0)
			entries[draw(n)] = Start(now);
		for (auto &e : entries) {
			if (draw(200) >= load)
				continue;
			retry_budget_request(&e, now);
			seen.requests.push_back(now);
			for (int k = 0; fails && k < 3; k++)
				if (retry_budget_take(&e, slack, now))
					seen.retries.push_back(now);
		}
	}
	return seen;
}

} // namespace

int main()
{
	bool ok = rc::check("restarts bring no retries", [](uint64_t seed) {
		Seen seen = Play(seed);

		for (int64_t at : seen.retries) {
			size_t requests = std::max(
				{ Within(seen.requests, at),
				  Within(seen.requests, at - kWindowMs),
				  Within(seen.requests, at - kWindowMs / 2) });

			RC_ASSERT(Within(seen.retries, at) <=
				  kRatio * requests + kSlack);
		}
	});

	return ok ? 0 : 1;
}
