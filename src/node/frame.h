/* Message framing: a length of four bytes, the kind, and the message in
 * msgpack. */
#ifndef SS_FRAME_H
#define SS_FRAME_H

#include "../core/msg.h"

/* Size of the length field, in bytes. It holds the size of the rest of the
 * frame, big endian. */
#define FRAME_HEAD 4
/* Largest frame, in bytes. The largest messages are chunks of a snapshot and
 * routings of a few megabytes. */
#define FRAME_MAX (16u * 1024 * 1024)

/* Value in place of the kind: a compressed kind and message follow. */
#define FRAME_COMPRESSED 0x7e
/* Smallest message that is compressed, in bytes. Shorter ones fit into one
 * packet uncompressed, so that compression isn't worth its time. */
#define FRAME_COMPRESS_MIN 1400

/* Appends a complete frame, compressed if that makes it shorter. */
void frame_add(GString *out, enum msg_kind kind, const void *msg);

/* A decoded message. Its strings point into the frame, or into decompressed. */
struct frame {
	enum msg_kind kind;
	struct wire_buf buf;
	GString *decompressed; /* NULL: the frame wasn't compressed */
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
		struct msg_run_outcomes run_outcomes;
		struct msg_quarantine quarantine;
		struct msg_trial trial;
		struct msg_quota_request quota_request;
		struct msg_quota_reply quota_reply;
		struct msg_streams streams;
		struct msg_stream_request stream_request;
		struct msg_stream_reply stream_reply;
	} u;
};

/*
 * Returns the total length of the frame at p, or 0 if n is too short to hold
 * the length field. Also 0, with SS_ERROR_FRAME, if the frame is empty or too
 * long.
 */
size_t frame_length(const uint8_t *p, size_t n, GError **error);

/*
 * Decodes a complete frame. Returns false without an error for a kind unknown
 * to this version, which the caller skips, and with SS_ERROR_FRAME for a
 * malformed frame. After true, the caller frees f's memory with frame_done().
 */
bool frame_decode(const uint8_t *p, size_t n, struct frame *f, GError **error);
void frame_done(struct frame *f);

#endif
