/*
 * A fleet in simulated time whose callers' prompts share parts, one of which
 * crashes each endpoint that begins to answer it. The tables, logs and
 * histories of entries and leader are the real ones; messages between them,
 * endpoints and callers are simulated.
 */
#ifndef SS_PARTS_WORLD_H
#define SS_PARTS_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* What speaks for and against a part. */
enum parts_evidence {
	PARTS_BOTH,    /* crashes, and answers before and after them */
	PARTS_CRASHES, /* crashes, and answers that end after them */
	PARTS_ALONE,   /* as PARTS_BOTH, but each entry for itself */
	PARTS_EVIDENCES
};

struct parts_options {
	enum parts_evidence evidence;
	int entries, endpoints;
	double sound_per_s, poison_per_s; /* requests of the whole fleet */
	int middles;			  /* parts after the first one */
	int documents;			  /* rare parts before the last one */
	bool poison_was_sound;		  /* the part was answered before */
	double kills_per_s;		  /* single endpoints, by chance */
	int64_t kill_half_ms; /* interval of kills of half of them; 0: none */
	int64_t report_ms;    /* interval of an entry's reports */
	int64_t leader_loss_ms, power_loss_ms; /* intervals; 0: none */
	int64_t jump_ms; /* interval of jumps in time by JUMP_MS; 0: none */
	int64_t poison_from_ms, length_ms;
	uint64_t seed;
};

#define PARTS_JUMP_MS (11 * 60 * 1000LL)

struct parts_result {
	int crashes, poison_crashes;
	/* Requests with the part that were sent to endpoints later than 3 s
	 * after its third and its fifth crash, by entries in touch. */
	int after_third, after_fifth;
	/* Shares of sound requests that were answered at their first attempt,
	 * before the first one with the part, and after the crashes. */
	double sound_before, sound_after;
	int blamed;	   /* quarantines of sound parts at the leader */
	double blamed_s;   /* seconds that they lasted, all parts */
	int refused_sound; /* requests, for a sound part */
	uint64_t messages, bytes, leader_bytes_out;
};

void parts_defaults(struct parts_options *o);
void parts_run(const struct parts_options *o, struct parts_result *r);

#ifdef __cplusplus
}
#endif
#endif
