/* Streams and versions of a log between processes: those alike are told
 * together, eight bytes a stream. */
#ifndef SS_STREAM_WIRE_H
#define SS_STREAM_WIRE_H

#include "msg.h"
#include "stream_log.h"

/* A message under way; its parts live until stream_wire_clear(). */
struct stream_wire {
	struct msg_streams m;
	GArray *groups;	 /* struct stream_group */
	GPtrArray *keys; /* GString of each */
};

/* Of items as struct stream_item, whose strings stay where they are. */
void stream_wire_pack(struct stream_wire *w, const GArray *items);
void stream_wire_clear(struct stream_wire *w);

/* Add what a message tells; returns how many streams that were. */
size_t stream_wire_take(struct stream_log *l, const struct msg_streams *m,
			int64_t now);

#endif
