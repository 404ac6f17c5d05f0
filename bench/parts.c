/*
 * Plays a fleet under a poison part of prompts in simulated time, and compares
 * what counts as evidence against a part: crashes, requests that reached
 * endpoints later, sound requests beside them, sound parts that were blamed,
 * messages.
 */
#include <popt.h>
#include <stdio.h>

#include <glib.h>

#include "../test/parts_world.h"

static const char *const names[PARTS_EVIDENCES] = { "crashes and answers",
						    "crashes, late answers",
						    "each entry alone" };

struct totals {
	int crashes, poison_crashes, after_third, after_fifth, worst_fifth;
	int blamed, refused_sound;
	double blamed_s, before, after, worst_share;
	uint64_t messages, bytes, leader_bytes_out;
};

static void add(struct totals *t, const struct parts_result *r)
{
	double share = r->sound_before > 0 ? r->sound_after / r->sound_before :
					     1;

	t->crashes += r->crashes;
	t->poison_crashes += r->poison_crashes;
	t->after_third += r->after_third;
	t->after_fifth += r->after_fifth;
	t->worst_fifth = MAX(t->worst_fifth, r->after_fifth);
	t->blamed += r->blamed;
	t->blamed_s += r->blamed_s;
	t->refused_sound += r->refused_sound;
	t->before += r->sound_before;
	t->after += r->sound_after;
	t->worst_share = MIN(t->worst_share, share);
	t->messages += r->messages;
	t->bytes += r->bytes;
	t->leader_bytes_out += r->leader_bytes_out;
}

static void print(const char *name, const struct totals *t, int seeds)
{
	double n = seeds;

	printf("%-22s %7.1f %7.1f %6.1f %6.1f %5d %6.3f %6.3f %6.3f %7.2f "
	       "%8.1f %7.1f %8.0f %9.0f %9.0f\n",
	       name, t->crashes / n, t->poison_crashes / n, t->after_third / n,
	       t->after_fifth / n, t->worst_fifth, t->before / n, t->after / n,
	       t->worst_share, t->blamed / n, t->blamed_s / n,
	       t->refused_sound / n, (double)t->messages / n,
	       (double)t->bytes / n, (double)t->leader_bytes_out / n);
}

int main(int argc, const char **argv)
{
	struct parts_options o;
	int seeds = 20, seed = 1, report_ms = 50, kill_half_ms = 0, jump_ms = 0,
	    leader_loss_ms = 0, power_loss_ms = 0, length_ms = 60000,
	    was_sound = 0, evidence = -1, rc;
	struct poptOption options[] = {
		{ "entries", 0, POPT_ARG_INT, &o.entries, 0, "entries", "N" },
		{ "endpoints", 0, POPT_ARG_INT, &o.endpoints, 0, "endpoints",
		  "N" },
		{ "sound", 0, POPT_ARG_DOUBLE, &o.sound_per_s, 0,
		  "sound requests a second", "RATE" },
		{ "poison", 0, POPT_ARG_DOUBLE, &o.poison_per_s, 0,
		  "requests with the poison part a second", "RATE" },
		{ "was-sound", 0, POPT_ARG_NONE, &was_sound, 0,
		  "the part was answered before", NULL },
		{ "middles", 0, POPT_ARG_INT, &o.middles, 0,
		  "second parts of prompts", "N" },
		{ "documents", 0, POPT_ARG_INT, &o.documents, 0,
		  "third parts of prompts, mostly rare", "N" },
		{ "kills", 0, POPT_ARG_DOUBLE, &o.kills_per_s, 0,
		  "endpoints that crash by chance, a second", "RATE" },
		{ "kill-half-ms", 0, POPT_ARG_INT, &kill_half_ms, 0,
		  "interval at which half of the endpoints crash", "MS" },
		{ "report-ms", 0, POPT_ARG_INT, &report_ms, 0,
		  "interval of an entry's reports", "MS" },
		{ "leader-loss-ms", 0, POPT_ARG_INT, &leader_loss_ms, 0,
		  "interval of losses of the leader", "MS" },
		{ "power-loss-ms", 0, POPT_ARG_INT, &power_loss_ms, 0,
		  "interval of losses of all processes", "MS" },
		{ "jump-ms", 0, POPT_ARG_INT, &jump_ms, 0,
		  "interval of jumps by 11 minutes", "MS" },
		{ "length-ms", 0, POPT_ARG_INT, &length_ms, 0,
		  "length of a play", "MS" },
		{ "evidence", 0, POPT_ARG_INT, &evidence, 0,
		  "only one kind: 0, 1 or 2", "N" },
		{ "seed", 0, POPT_ARG_INT, &seed, 0, "first seed", "N" },
		{ "seeds", 0, POPT_ARG_INT, &seeds, 0, "number of seeds", "N" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx;

	parts_defaults(&o);
	ctx = poptGetContext("bench-parts", argc, argv, options, 0);
	rc = poptGetNextOpt(ctx);
	if (rc < -1 || o.entries < 1 || o.endpoints < 1 || seeds < 1) {
		fprintf(stderr, "bench-parts: %s\n",
			rc < -1 ? poptStrerror(rc) : "a number is too small");
		return 2;
	}
	o.report_ms = report_ms;
	o.kill_half_ms = kill_half_ms;
	o.leader_loss_ms = leader_loss_ms;
	o.power_loss_ms = power_loss_ms;
	o.jump_ms = jump_ms;
	o.length_ms = length_ms;
	o.poison_was_sound = was_sound;
	printf("means of %d plays from seed %d; worst: of one play\n", seeds,
	       seed);
	printf("%-22s %7s %7s %6s %6s %5s %6s %6s %6s %7s %8s %7s %8s %9s "
	       "%9s\n",
	       "evidence", "crashes", "by part", ">3rd", ">5th", "worst",
	       "before", "after", "worst", "blamed", "for s", "refused",
	       "messages", "bytes", "of leader");
	for (int k = 0; k < PARTS_EVIDENCES; k++) {
		struct totals t = { .worst_share = 1 };

		if (evidence >= 0 && evidence != k)
			continue;
		o.evidence = (enum parts_evidence)k;
		for (int i = 0; i < seeds; i++) {
			struct parts_result r;

			o.seed = (uint64_t)(seed + i);
			parts_run(&o, &r);
			add(&t, &r);
		}
		print(names[k], &t, seeds);
	}
	poptFreeContext(ctx);
	return 0;
}
