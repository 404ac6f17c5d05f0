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
	GString *partial; /* bytes of an incomplete event */
	int64_t last_id;  /* of the last complete event; -1: none */
	uint64_t count;	  /* complete events so far */
};

void events_init(struct events *e, int64_t last_id);
void events_clear(struct events *e);

/*
 * Adds bytes of the stream and appends complete events to out. Returns false if
 * an event is too large or its id isn't the successor of the last one.
 */
bool events_add(struct events *e, struct ss_str bytes, GString *out);

/* Returns true if no incomplete event is buffered. */
bool events_at_end(const struct events *e);
/* Discards an incomplete event: the endpoint that resumes the stream sends the
 * event from its start. */
void events_drop_partial(struct events *e);

#endif
