/*
 * Keeping a control group whole without an operator: whom the leader
 * promotes and whom it drops, one step at a time.
 */
#ifndef SS_MEND_H
#define SS_MEND_H

#include <sapphireshift/base.h>

/* A learner this close to the end of the log may become a voter. */
#define MEND_CAUGHT_UP 64
/*
 * A member unheard for so long, in ms, is dropped, where enough others are
 * left. It is longer than a restart (some 2 s) and than a leader's change,
 * and short against the time until a second VM may be lost. One that comes
 * back joins again with its log.
 */
#define MEND_DEAD_MS 6000
/* Fewer voters than this bear no loss. */
#define MEND_VOTERS_MIN 3

struct mend_member {
	uint64_t id;
	struct ss_str name, addr;
	bool voter;
	bool self;
	int64_t quiet_ms; /* since it was last heard */
	uint64_t match;	  /* how much of the log it has */
};

enum mend_act { MEND_NOTHING, MEND_PROMOTE, MEND_DROP };

struct mend_step {
	enum mend_act act;
	size_t member; /* index */
};

/* Members in the order in which they joined; last: the log's end. */
struct mend_step mend_next(const struct mend_member *m, size_t n,
			   uint64_t last);

#endif
