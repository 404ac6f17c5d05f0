// Property of the retry budget: under any interleaving of restarts, loads and
// outages, no window of all entries together has more retries than the ratio
// and the slack allow.
#include <rapidcheck.h>

extern "C" {
#include "../src/core/retry_budget.h"
}

#include <algorithm>

namespace {

constexpr int64_t kWindowMs = 10000;
constexpr int64_t kStepMs = 20;
constexpr int64_t kRunMs = 45000;
constexpr double kRatio = 0.2; // retries per request
constexpr int64_t kSlack = 100; // retries, of all entries
constexpr int kEntriesMax = 40;

struct Sent {
	std::vector<int64_t> requests, retries; // times in ms
};

size_t CountInWindow(const std::vector<int64_t> &times, int64_t from)
{
	auto first = std::lower_bound(times.begin(), times.end(), from);
	auto last = std::lower_bound(first, times.end(), from + kWindowMs);

	return static_cast<size_t>(last - first);
}

retry_budget NewBudget(int64_t now)
{
	retry_options o = { kWindowMs, kRatio, now };
	retry_budget b;

	retry_budget_init(&b, &o);
	return b;
}

// Runs a fleet with random loads and outages, drawn anew each second. In an
// outage all requests fail. Entries are replaced one by one or all at once.
Sent RunFleet(uint64_t seed)
{
	auto draw = [&seed](uint64_t limit) {
		return ss_random(&seed) % limit;
	};
	size_t n = 1 + draw(kEntriesMax);
	int64_t slack = retry_slack(kSlack, n);
	// In each step one entry is replaced with probability 1 / kill_odds, and
	// all entries with probability 1 / kill_all_odds.
	uint64_t kill_odds = 1 + draw(200), kill_all_odds = 20 + draw(1000);
	std::vector<retry_budget> entries(n, NewBudget(0));
	uint64_t load = 0;
	bool fails = false;
	Sent sent;

	for (int64_t now = 0; now < kRunMs; now += kStepMs) {
		if (now % 1000 == 0) {
			load = draw(3) ? draw(100) : draw(3);
			fails = draw(3) != 0;
		}
		if (draw(kill_all_odds) == 0)
			std::fill(entries.begin(), entries.end(),
				  NewBudget(now));
		if (draw(kill_odds) == 0)
			entries[draw(n)] = NewBudget(now);
		for (auto &e : entries) {
			if (draw(200) >= load)
				continue;
			retry_budget_request(&e, now);
			sent.requests.push_back(now);
			for (int k = 0; fails && k < 3; k++)
				if (retry_budget_take(&e, slack, now))
					sent.retries.push_back(now);
		}
	}
	return sent;
}

} // namespace

int main()
{
	bool ok = rc::check("restarts bring no retries", [](uint64_t seed) {
		Sent sent = RunFleet(seed);

		for (int64_t start : sent.retries) {
			size_t requests = std::max(
				{ CountInWindow(sent.requests, start),
				  CountInWindow(sent.requests,
						start - kWindowMs),
				  CountInWindow(sent.requests,
						start - kWindowMs / 2) });

			RC_ASSERT(CountInWindow(sent.retries, start) <=
				  kRatio * requests + kSlack);
		}
	});

	return ok ? 0 : 1;
}
