/* Handing one large message to all peers. */
#include "spread.h"

/* Bytes on their way at a time: a tenth of a second of a link of 100 Mbit/s,
 * and a ninth of the time in which a heartbeat has to come. */
#define FLIGHT_MAX (1u << 20)
/* A peer that hasn't taken its copy by then is slow or silent, and the others
 * don't wait for it; in ms: 300 KB on a link of 10 Mbit/s. */
#define FLIGHT_MS 250

static size_t in_flight(const struct spread_peer *p, size_t n, int64_t now)
{
	size_t sum = 0;

	for (size_t i = 0; i < n; i++)
		if (now - p[i].sent_ms < FLIGHT_MS)
			sum += p[i].backlog;
	return sum;
}

bool spread_choose(struct spread_peer *p, size_t n, size_t bytes, int64_t now)
{
	size_t flight = in_flight(p, n, now);
	bool left = false;

	for (int pass = 0; !left && pass < 2; pass++)
		for (size_t i = 0; i < n; i++) {
			if (!p[i].needs || p[i].first == (bool)pass)
				continue;
			p[i].send = flight < FLIGHT_MAX;
			if (p[i].send)
				flight += bytes;
			else
				left = true;
		}
	return left;
}
