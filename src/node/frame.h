/* Frames: a length of four bytes, the kind and the message in msgpack. */
#ifndef SS_FRAME_H
#define SS_FRAME_H

#include "../core/msg.h"

/* The length of the rest, big endian, in bytes. */
#define FRAME_HEAD 4
/* Bytes; the largest is a snapshot's chunk or a routing of some megabytes. */
#define FRAME_MAX (16u * 1024 * 1024)

/* In place of a kind: what follows is a kind and its message, packed. */
#define FRAME_PACKED 0x7e
/* Shorter messages aren't worth the time to pack them, in bytes: they fit into
 * one packet as they are. */
#define FRAME_PACK_FROM 1400

/* Append a whole frame, packed where that makes it shorter. */
void frame_add(GString *out, enum msg_kind kind, const void *msg);

/* A decoded message; its strings point into the frame's bytes. */
struct frame {
	enum msg_kind kind;
	struct wire_buf buf;
	GString *unpacked; /* that the strings point into; NULL: the frame's */
	union {
		struct msg_hello hello;
		struct msg_ping ping;
		struct msg_raft raft;
		struct msg_join join;
		struct msg_leader leader;
		struct msg_register reg;
		struct msg_assign assign;
		struct msg_report report;
		struct msg_config config;
		struct msg_watch watch;
		struct msg_route route;
		struct msg_claim claim;
		struct msg_claimed claimed;
		struct msg_models models;
		struct msg_model_list model_list;
		struct msg_call call;
		struct msg_reply reply;
		struct msg_cancel cancel;
		struct msg_attach attach;
		struct msg_endpoint endpoint;
		struct msg_load load;
		struct msg_loaded loaded;
		struct msg_fleet fleet;
		struct msg_demand demand;
		struct msg_routing routing;
		struct msg_adapter adapter;
		struct msg_adapter_done adapter_done;
		struct msg_term term;
		struct msg_fetch fetch;
		struct msg_remote remote;
		struct msg_ends ends;
		struct msg_quarantine quarantine;
		struct msg_trial trial;
		struct msg_quota_ask quota_ask;
		struct msg_quota_word quota_word;
		struct msg_streams streams;
		struct msg_stream_ask stream_ask;
		struct msg_stream_word stream_word;
	} u;
};

/*
 * The length of the frame that starts these bytes, head and all; 0 while
 * too few are there to tell. SS_ERROR_FRAME on an empty or too long one.
 */
size_t frame_length(const uint8_t *p, size_t n, GError **error);

/*
 * Decode a whole frame. False without an error for a kind that this
 * version doesn't know, which is skipped; with SS_ERROR_FRAME otherwise.
 * After true, end with frame_done().
 */
bool frame_decode(const uint8_t *p, size_t n, struct frame *f, GError **error);
void frame_done(struct frame *f);

#endif
