/*
 * A customer's limit, kept by all entries together.
 *
 * An entry spends from an allotment that it holds, without asking anybody. Who
 * hands allotments out, and what an entry may spend alone, is a way: a table of
 * functions, one file each. All of it is pure: time, links and messages are the
 * caller's.
 */
#ifndef SS_QUOTA_H
#define SS_QUOTA_H

#include <sapphireshift/queue.h>

#include "../base/wire.h"
#include "customer.h"

/* By how much a customer may exceed its limit in a window: room for what
 * entries hold and haven't spent. */
struct quota_slack {
	double window_s;
	double ratio; /* of what the limit allows in a window */
	double extra; /* beside that, as the limit is counted */
};

struct quota_options {
	struct quota_slack slack;
};

/* Classes of a customer's requests; what is less urgent counts as the last. */
#define QUOTA_CLASSES SS_QUEUE_PRIORITIES

/* What an entry holds of a customer's limit. */
struct quota_view {
	double held;
	int64_t age_ms; /* of its place's last word; -1: none */
	bool alone;	/* the place isn't reached, or says nothing */
	/* Part of each class's demand of late that was served here; 1 where
	 * there was none. */
	double share[QUOTA_CLASSES];
};

/* What a place knows of a customer, for those who look. */
struct quota_sight {
	double level;		 /* that it has to hand out; below 0: a debt */
	double held;		 /* by entries, not spent by their last word */
	double granted, refused; /* since the place began */
	uint64_t entries;	 /* that hold some, or may */
};

/* What a request needs. */
struct quota_need {
	double cost;
	bool waits;	 /* it was told to wait before */
	int64_t hold_ms; /* it waits only for what is expected within this */
};

/*
 * Which of a customer's requests go first: those of a more urgent class, and
 * within a class those whose objective is earlier. The rank of zeros is that of
 * all requests of a limit that knows no classes.
 */
struct quota_rank {
	int class_id;  /* 0 is first */
	int64_t by_ms; /* its objective, on the clock */
};

enum quota_answer {
	QUOTA_YES,
	QUOTA_NO,
	QUOTA_WAIT, /* for an allotment that is asked for */
};

/* Amounts travel in thousandths of what a limit counts. */
#define QUOTA_MILLI 1000

/*
 * One class of a customer's requests, in an ask or a word. Only classes in use
 * are listed, the most urgent first; with fewer than two there is no list, and
 * all requests are of one class.
 */
struct quota_part {
	int64_t class_id;
	/* In an ask. */
	int64_t demand; /* of late, a second */
	int64_t spent;	/* and of that, served */
	int64_t want;	/* more, for those that wait and for the next ones */
	int64_t first;	/* that the first request that waits lacks */
	/* In a word. */
	int64_t grant;
	int64_t wait_ms; /* where the first lacks more: when to ask again */
};

/* An entry's word to the place that hands out a customer's allotments. */
struct quota_ask {
	struct ss_str customer;
	uint64_t number; /* echoed */
	int64_t held;	 /* not spent yet; below 0: spent beyond, alone */
	int64_t want;	 /* more */
	int64_t first;	 /* that the first request that waits lacks */
	int64_t demand;	 /* of late, a second */
	int64_t usual;	 /* of one request */
	int64_t alone;	 /* spent alone since the last ask */
	int64_t rate;	 /* that it may go on at alone, a second, ... */
	int64_t reserve; /* ... and spend beyond what it holds */
	int64_t back;	 /* that it gives back */
	int64_t refused; /* to callers since the last ask */
	/* struct quota_part; lives until the entry's next call. The amounts
	 * above are those of all classes together. */
	struct wire_list parts;
};

/* The answer. */
struct quota_word {
	struct ss_str customer;
	uint64_t number;
	int64_t grant;
	int64_t rate;	 /* that it may go on at alone, a second, ... */
	int64_t reserve; /* ... and spend beyond what it holds */
	int64_t wait_ms; /* where the first lacks more: when to ask again */
	/* struct quota_part, which together have the grant; lives until the
	 * place's next call for that customer. */
	struct wire_list parts;
};

struct quota_way {
	const char *name;
	/*
	 * The member that hands out a customer's allotments, of those that can
	 * be reached; NULL: nobody does. Ids are of any kind.
	 */
	uint64_t (*home)(struct ss_str customer, uint64_t leader,
			 const uint64_t *entries, size_t n);

	/* The entry's side. */
	void *(*entry_new)(const struct quota_options *o, int64_t now);
	void (*entry_free)(void *entry);
	/* Entries that share the limits; 0: not known. */
	void (*entry_count)(void *entry, uint64_t n);
	/* The place that hands out a customer's allotments is reached, or lost;
	 * NULL: all customers'. */
	void (*entry_link)(void *entry, const char *customer, bool up,
			   int64_t now);
	/*
	 * Whether a request may run: it is spent with QUOTA_YES. With
	 * QUOTA_WAIT it is to be asked for again. With QUOTA_NO, *back_ms is
	 * when it may.
	 */
	enum quota_answer (*take)(void *entry, const struct customer *c,
				  const struct quota_need *n, int64_t now,
				  int64_t *back_ms);
	/*
	 * The same for a request of a rank. Callers ask first for the first of
	 * each class, in the order of their ranks, and after it for those whose
	 * hold_ms are over: these go as soon as there is enough for them.
	 */
	enum quota_answer (*take_ranked)(void *entry, const struct customer *c,
					 const struct quota_need *n,
					 const struct quota_rank *r,
					 int64_t now, int64_t *back_ms);
	/* One that waits has left. */
	void (*leave)(void *entry, const struct customer *c, double cost);
	void (*leave_ranked)(void *entry, const struct customer *c, double cost,
			     const struct quota_rank *r);
	/* One that was told YES wasn't run after all. */
	void (*give_back)(void *entry, const struct customer *c, double cost,
			  const struct quota_rank *r, int64_t now);
	/* Asks that are due; their strings live until the entry's next call. */
	void (*asks)(void *entry, int64_t now, GArray *out);
	void (*word)(void *entry, const struct quota_word *w, int64_t now);
	/* What is held for a customer, for those who look. */
	struct quota_view (*look)(const void *entry, const char *customer,
				  int64_t now);

	/* The side of the place that hands allotments out. */
	void *(*place_new)(const struct quota_options *o, int64_t now);
	void (*place_free)(void *place);
	/* holder: the entry's incarnation. False: nothing is to be answered. */
	bool (*place_ask)(void *place, uint64_t holder,
			  const struct customer *c, const struct quota_ask *a,
			  int64_t now, struct quota_word *out);
	void (*place_gone)(void *place, uint64_t holder, int64_t now);
	/* False where nobody has asked for that customer. */
	bool (*place_look)(void *place, const char *customer, int64_t now,
			   struct quota_sight *out);
	/* Forget what no longer counts; now and then. */
	void (*place_tidy)(void *place, int64_t now);
};

/* Each entry has an even part of every limit for itself. */
extern const struct quota_way quota_even;
/* The leader hands out allotments by demand. */
extern const struct quota_way quota_lease;
/* The entry that a customer's name leads to hands out its allotments. */
extern const struct quota_way quota_owner;

#endif
