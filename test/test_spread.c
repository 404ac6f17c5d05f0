/* A large message to many peers: who gets it when. */
#include "unit.h"

#include "../src/core/spread.h"

#define PEERS 40
#define NOW 10000
#define KB 1024u

struct spread_case {
	const char *label;
	size_t firsts, others; /* that need it */
	size_t bytes;
	size_t stuck, stuck_kb; /* peers that were sent one before */
	int64_t stuck_ms;	/* so long ago */
	size_t to_firsts, to_others;
	bool left;
};

static const struct spread_case spread_cases[] = {
	{ "a small one goes to all at once", 20, 15, 2 * KB, 0, 0, 0, 20, 15,
	  false },
	{ "a large one goes to a few, of the first kind only", 20, 15, 256 * KB,
	  0, 0, 0, 4, 0, true },
	{ "the others get it once no first one is left", 0, 15, 256 * KB, 0, 0,
	  0, 0, 4, true },
	{ "the rest of a link goes to the others in the same pass", 2, 15,
	  256 * KB, 0, 0, 0, 2, 2, true },
	{ "what is on its way counts", 20, 0, 256 * KB, 3, 256, 100, 1, 0,
	  true },
	{ "nothing more while the link is full", 20, 0, 256 * KB, 4, 256, 100,
	  0, 0, true },
	{ "peers that are silent don't hold up the rest", 20, 0, 256 * KB, 5,
	  256, 250, 4, 0, true },
	{ "one that is larger than the bound is sent all the same", 3, 0,
	  4096 * KB, 0, 0, 0, 1, 0, true },
	{ "nobody needs it", 0, 0, 256 * KB, 3, 256, 100, 0, 0, false },
};

/*
 * Symptom: a change comes into force seconds late, or never on some entries.
 * Sequence: a large routing is accepted and sent to all peers at once; no
 * heartbeat gets through; another leader begins and sends it anew.
 */
static void large_messages_are_spread(void **state)
{
	(void)state;
	for (size_t i = 0; i < G_N_ELEMENTS(spread_cases); i++) {
		const struct spread_case *c = &spread_cases[i];
		struct spread_peer p[PEERS] = { 0 };
		size_t n = 0, firsts = 0, others = 0;
		bool left;

		for (size_t k = 0; k < c->stuck; k++)
			p[n++] = (struct spread_peer){
				.backlog = c->stuck_kb * KB,
				.sent_ms = NOW - c->stuck_ms
			};
		/* Mixed, as a table of peers has them. */
		for (size_t k = 0; k < MAX(c->firsts, c->others); k++) {
			if (k < c->others)
				p[n++].needs = true;
			if (k < c->firsts)
				p[n++] = (struct spread_peer){ .first = true,
							       .needs = true };
		}
		left = spread_choose(p, n, c->bytes, NOW);
		for (size_t k = 0; k < n; k++) {
			assert_true(!p[k].send || p[k].needs);
			*(p[k].first ? &firsts : &others) += p[k].send;
		}
		if (firsts != c->to_firsts || others != c->to_others ||
		    left != c->left)
			fail_msg("%s: %zu and %zu, left %d", c->label, firsts,
				 others, left);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(large_messages_are_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
