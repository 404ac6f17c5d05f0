/* Exchange of stream logs between processes. Streams of the same version and
 * lifetime form a group, with eight bytes per stream. */
#ifndef SS_STREAM_WIRE_H
#define SS_STREAM_WIRE_H

#include "msg.h"
#include "stream_log.h"

/* A message to send, and the memory that it refers to. */
struct stream_wire {
	struct msg_streams m;
	GArray *groups;	 /* struct stream_group */
	GPtrArray *keys; /* GString, the keys of each group */
};

/* Packs items (struct stream_item) into a message. Their strings aren't copied;
 * the message is valid until stream_wire_clear(). */
void stream_wire_pack(struct stream_wire *w, const GArray *items);
void stream_wire_clear(struct stream_wire *w);

/* Adds the streams and versions of a message to a log. Returns the number of
 * streams. */
size_t stream_wire_apply(struct stream_log *l, const struct msg_streams *m,
			 int64_t now);

#endif
