/*
 * Updates of a routing table by changes of the operators' document. A change is
 * parsed a few items at a time, checked as a whole, and then committed at once.
 *
 * The table isn't modified before the commit, so that the same code validates
 * a change that an operator submits. The cost depends on the size of the
 * change.
 */
#ifndef SS_ROUTING_UPDATE_H
#define SS_ROUTING_UPDATE_H

#include "routing.h"

/*
 * Items parsed in one step. They take 0.2 ms of processor time, so a process
 * that has a tenth of a core returns to its event loop after about 2 ms.
 */
#define ROUTING_ITEMS_PER_STEP 50

struct routing_update;

/* Takes ownership of the patch; the text it was made from must outlive it. */
struct routing_update *routing_update_new(struct routing *r,
					  const struct routing_format *f,
					  struct document_patch *patch);
void routing_update_free(struct routing_update *u);

enum routing_step {
	ROUTING_MORE,	 /* not finished: call again */
	ROUTING_VALID,	 /* parsed and checked; may be committed */
	ROUTING_INVALID, /* error is set */
};

/*
 * Parses the next items, or checks the change once all are parsed. Fails with
 * SS_ERROR_BAD_REQUEST, with the path of the item and the reason, if an item
 * can't be parsed, two routes have the same host and prefix, a name or a key is
 * used twice, or a route names a missing service; with SS_ERROR_FRAME if the
 * change has another base version than the table's.
 */
enum routing_step routing_update_step(struct routing_update *u, GError **error);

/* Returns the change; its version is set once a step returned ROUTING_VALID. */
const struct document_change *routing_update_change(struct routing_update *u);

/* Applies a checked change to the table. */
void routing_update_commit(struct routing_update *u);

/* Applies a sequence of received changes to a table, one after the other. */
struct routing_follower;

struct routing_follower *routing_follower_new(const struct routing_format *f);
void routing_follower_free(struct routing_follower *f);
/* Returns the table; its version is 0 until the first change is committed. */
struct routing *routing_follower_table(const struct routing_follower *f);

/* Queues a packed change. Returns false if it can't be unpacked or its base
 * isn't the last version queued: the follower then needs the full document. */
bool routing_follower_add(struct routing_follower *f, struct ss_str packed,
			  GError **error);
/* Returns the version of the last change queued; after an error, of the
 * table. */
uint64_t routing_follower_version(const struct routing_follower *f);

/* Runs one step. Returns true if it committed a version. If a change is
 * invalid, sets the error and discards all queued changes. */
bool routing_follower_step(struct routing_follower *f, GError **error);
/* Returns whether changes are queued or being processed. */
bool routing_follower_busy(const struct routing_follower *f);

#endif
