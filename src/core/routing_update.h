/*
 * A routing that follows the operators' document: a change is read a few items
 * at a time, checked as a whole, and then put in force at once.
 *
 * Nothing of the table is touched before that, so an operator's change is
 * checked with the same code, and what it costs follows from the change.
 */
#ifndef SS_ROUTING_UPDATE_H
#define SS_ROUTING_UPDATE_H

#include "routing.h"

/* Items that are read at a time: 0.2 ms of processor time, so that the loop of
 * a process that has a tenth of a core goes on after some 2 ms. */
#define ROUTING_ITEMS 50

struct routing_update;

/* The patch is freed with it; what it was made from must outlive it. */
struct routing_update *routing_update_new(struct routing *r,
					  const struct routing_format *f,
					  struct document_patch *patch);
void routing_update_free(struct routing_update *u);

enum routing_step { ROUTING_MORE, ROUTING_READ, ROUTING_INVALID };

/*
 * Read on. Once all is read it is checked: SS_ERROR_BAD_REQUEST, with the place
 * and the reason, for two routes on one host and prefix, names that stand
 * twice, a service that a route lacks, or what can't be read; SS_ERROR_FRAME
 * where it isn't a change of what the table holds.
 */
enum routing_step routing_update_step(struct routing_update *u, GError **error);

/* The change with the version that it makes, once it is read. */
const struct document_change *routing_update_change(struct routing_update *u);

/* Put in force what was read. */
void routing_update_commit(struct routing_update *u);

/* Changes that came, put in force one after the other. */
struct routing_follower;

struct routing_follower *routing_follower_new(const struct routing_format *f);
void routing_follower_free(struct routing_follower *f);
/* The table; its version is 0 until something is in force. */
struct routing *routing_follower_table(const struct routing_follower *f);

/* A packed change; false where it can't be opened or doesn't follow on what
 * came before: then the whole is needed. */
bool routing_follower_add(struct routing_follower *f, struct ss_str packed,
			  GError **error);
/* The version of the last change that came and was of use. */
uint64_t routing_follower_version(const struct routing_follower *f);

/* Read on: true where a version has come into force. False with the error
 * where a change is of no use; all that came is forgotten then. */
bool routing_follower_step(struct routing_follower *f, GError **error);
bool routing_follower_busy(const struct routing_follower *f);

#endif
