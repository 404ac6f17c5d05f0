/*
 * Splits a stream of server-sent events. Only complete events are forwarded, so
 * that a stream that breaks off inside an event can be resumed after the last
 * event that its caller has received.
 */
#ifndef SS_EVENTS_H
#define SS_EVENTS_H

#include <sapphireshift/base.h>

/* Size limit of an event, in bytes; no engine sends larger ones. */
#define EVENT_MAX (1u << 20)

struct events {
	GString *partial;      /* bytes of an incomplete event */
	int64_t last_id;       /* of the last event in the output; -1: none */
	uint64_t count;	       /* events in the output so far */
	bool confirmed;	       /* last_id is the successor of an earlier id */
	bool position_unknown; /* last_id doesn't tell where the output ends */
};

/* last_id: of the event after which the stream begins; -1: at its start. */
void events_init(struct events *e, int64_t last_id);
void events_clear(struct events *e);

/*
 * Adds bytes of the stream and appends its complete events to out, which the
 * caller has to pass on whatever is returned: last_id and count cover them.
 * Returns false if the next event is too large or its id isn't the successor of
 * the last one. That event and the rest of the bytes are not in out, and
 * nothing more may be added before events_drop_partial().
 */
bool events_add(struct events *e, struct ss_str bytes, GString *out);

/*
 * Returns true if another run that begins after last_id continues the output.
 * It doesn't after events without ids, nor if the id after the first one was
 * wrong, as it may be the first one that is.
 */
bool events_can_continue(const struct events *e);

/* Returns true if no incomplete event is buffered. */
bool events_at_end(const struct events *e);
/* Discards an incomplete event: the endpoint that resumes the stream sends the
 * event from its start. */
void events_drop_partial(struct events *e);

#endif
