/*
 * Allotments by demand, handed out by one place and held by entries for a
 * while: what the two sides share, and the functions of both. For this folder
 * only.
 *
 * The place keeps a token bucket for each customer and takes out of it what it
 * grants, so whatever becomes of a grant (lost, spent late, spent by an entry
 * that is cut off) more than the limit is never handed out; what entries hold
 * and haven't spent is bounded by the slack. An entry that loses the place goes
 * on at the rate that it was told last, for a lease's time, and the place takes
 * that out of the bucket until it hears what was spent. What the bucket holds
 * is pledged to entries besides: the next place doesn't have it. A new place
 * begins with part of the slack, and for a lease's time leaves alone what
 * entries that it doesn't hear may spend.
 */
#ifndef SS_QUOTA_LEASE_H
#define SS_QUOTA_LEASE_H

#include "quota.h"

/* What entries hold and what they may spend alone end so long after they asked
 * for it, in ms: longer than a place mostly takes to be replaced. */
#define QUOTA_LEASE_MS 5000
/* A customer that nobody asked for after so long, in ms, is forgotten: its
 * bucket would be full again. */
#define QUOTA_FORGET_MS 60000
/* Callers and entries aren't told to come back sooner, in ms. */
#define QUOTA_BACK_MIN_MS 100
/* Without a rate nobody knows when; in ms. */
#define QUOTA_UNKNOWN_BACK_MS 500

/* Until so much has come, at a rate a second. */
static inline int64_t quota_back_ms(double lacks, double per_s)
{
	if (per_s <= 0)
		return QUOTA_UNKNOWN_BACK_MS;
	return MAX((int64_t)(lacks * 1000 / per_s), QUOTA_BACK_MIN_MS);
}

/* As it travels, rounded down: nothing is made by it. */
static inline int64_t quota_milli(double n)
{
	return (int64_t)(n * QUOTA_MILLI);
}

static inline double quota_whole(int64_t n)
{
	return (double)n / QUOTA_MILLI;
}

void *quota_lease_entry_new(const struct quota_options *o, int64_t now);
void quota_lease_entry_free(void *entry);
void quota_lease_entry_count(void *entry, uint64_t n);
void quota_lease_entry_link(void *entry, const char *customer, bool up,
			    int64_t now);
enum quota_answer quota_lease_take(void *entry, const struct customer *c,
				   const struct quota_need *n, int64_t now,
				   int64_t *back);
enum quota_answer quota_lease_take_ranked(void *entry, const struct customer *c,
					  const struct quota_need *n,
					  const struct quota_rank *r,
					  int64_t now, int64_t *back);
void quota_lease_leave(void *entry, const struct customer *c, double cost);
void quota_lease_leave_ranked(void *entry, const struct customer *c,
			      double cost, const struct quota_rank *r);
void quota_lease_give_back(void *entry, const struct customer *c, double cost,
			   const struct quota_rank *r, int64_t now);
void quota_lease_asks(void *entry, int64_t now, GArray *out);
void quota_lease_word(void *entry, const struct quota_word *w, int64_t now);
struct quota_view quota_lease_look(const void *entry, const char *customer,
				   int64_t now);
void *quota_lease_place_new(const struct quota_options *o, int64_t now);
void quota_lease_place_free(void *place);
bool quota_lease_place_ask(void *place, uint64_t id, const struct customer *c,
			   const struct quota_ask *ask, int64_t now,
			   struct quota_word *out);
bool quota_lease_place_look(void *place, const char *customer, int64_t now,
			    struct quota_sight *out);
void quota_lease_place_gone(void *place, uint64_t id, int64_t now);
void quota_lease_place_tidy(void *place, int64_t now);

/* Both sides, for ways that differ only in who hands out. */
#define QUOTA_LEASE_SIDES                                                      \
	.entry_new = quota_lease_entry_new,                                    \
	.entry_free = quota_lease_entry_free,                                  \
	.entry_count = quota_lease_entry_count,                                \
	.entry_link = quota_lease_entry_link, .take = quota_lease_take,        \
	.take_ranked = quota_lease_take_ranked, .leave = quota_lease_leave,    \
	.leave_ranked = quota_lease_leave_ranked,                              \
	.give_back = quota_lease_give_back, .asks = quota_lease_asks,          \
	.word = quota_lease_word, .look = quota_lease_look,                    \
	.place_new = quota_lease_place_new,                                    \
	.place_free = quota_lease_place_free,                                  \
	.place_ask = quota_lease_place_ask,                                    \
	.place_gone = quota_lease_place_gone,                                  \
	.place_look = quota_lease_place_look,                                  \
	.place_tidy = quota_lease_place_tidy

#endif
