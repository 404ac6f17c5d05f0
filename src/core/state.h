/*
 * The replicated state machine: presets and the one in force, models, nodes,
 * replicas, the routing, claims on calls that may run at most once, quarantines
 * of what crashes endpoints, and which software version began a stream.
 *
 * The state changes only by ss_state_apply() with the entries of the replicated
 * log, in order, so that it is the same on every control VM. Records own their
 * strings; pointers to records are valid until the next apply or restore.
 */
#ifndef SS_STATE_H
#define SS_STATE_H

#include <sapphireshift/base.h>

/* Number of changes whose results are kept, so that a resend gets the same
 * answer. */
#define STATE_CHANGES_MAX 4096
/* Claims are dropped beyond this count or age, the oldest first. */
#define STATE_CLAIMS_MAX 200000
#define STATE_CLAIM_AGE_MS (24 * 3600 * 1000LL)

/* Quarantines are dropped beyond this count, the oldest first. */
#define STATE_QUARANTINES_MAX 1024

/* Records of streams are dropped beyond this count, the oldest first: those of
 * a minute, some of them of several versions. */
#define STATE_STREAMS_MAX 4096

enum command_kind {
	COMMAND_PRESET_PUT = 1,
	COMMAND_PRESET_SWITCH,
	COMMAND_PRESET_DELETE,
	COMMAND_MODELS_PUT,
	COMMAND_NODE_PUT,
	COMMAND_NODE_STATE,
	COMMAND_REPLICA_ADD,
	COMMAND_REPLICA_STATE,
	COMMAND_CLAIM,
	COMMAND_ROUTING_PUT,
	COMMAND_QUARANTINES_PUT,
	COMMAND_STREAMS_PUT,
};

enum node_kind { NODE_ENGINE = 1, NODE_SERVICE };

enum node_state {
	NODE_LIVE = 1,
	NODE_DRAINING, /* accepts no new work; finishes what it has */
	NODE_GONE,     /* the VM no longer exists: nothing runs there */
};

enum replica_state {
	REPLICA_LOADING = 1, /* ordered; its memory is reserved */
	REPLICA_READY,
	REPLICA_UNLOADING,
	REPLICA_GONE, /* confirmed unloaded; the record is dropped */
};

struct preset_rec {
	struct ss_str name;
	struct ss_str body; /* JSON without comments */
	uint64_t version;   /* log index of its last change */
};

struct model_rec {
	struct ss_str name;
	struct ss_str base; /* of an adapter: its base model */
	struct ss_str pool;
	uint64_t bytes;
	uint64_t slots; /* concurrent calls per replica */
	bool removed;	/* in a command: delete the model */
};

struct node_rec {
	struct ss_str name;
	struct ss_str pool;
	struct ss_str domain; /* failure domain */
	struct ss_str addr;   /* of its agent */
	int64_t kind;	      /* enum node_kind */
	int64_t state;	      /* enum node_state */
	uint64_t incarnation; /* of its agent */
	uint64_t bytes;	      /* accelerator memory */
	uint64_t slots;	      /* of a plain service */
	uint64_t changed;     /* log index of the last change of its orders */
};

struct replica_rec {
	uint64_t id; /* log index of its command; increases across leaders */
	struct ss_str model;
	struct ss_str base;
	struct ss_str node;
	uint64_t bytes;
	uint64_t slots;
	int64_t state;	 /* enum replica_state */
	int64_t at_ms;	 /* wall time of the command */
	int64_t load_ms; /* duration of the load, once ready */
};

struct claim_rec {
	struct ss_str key;    /* hash of customer and idempotency key */
	uint64_t fingerprint; /* of the request */
	uint64_t entry, seq;  /* id of the call that may run */
	struct ss_str node;   /* node that runs the call */
	uint64_t incarnation;
	int64_t at_ms;
};

/* A change of the routing by operators. */
struct routing_rec {
	uint64_t version;     /* given by the operator; only increases */
	struct ss_str body;   /* full text; only in old logs */
	struct ss_str change; /* struct document_change, packed */
};

/* A quarantine of a request or of a part of prompts. */
struct quarantine_rec {
	uint64_t fingerprint_hi, fingerprint_lo;
	int64_t since_ms; /* wall time of its start */
	int64_t until_ms; /* wall time from which a trial run is allowed */
	uint64_t trials;  /* trial runs that failed or may still fail */
	bool removed;	  /* in a command: delete the quarantine */
};

/* Streams that a version of endpoints' software began. Without streams: a
 * version that may have begun any, as it served lately. */
struct stream_rec {
	struct ss_str service, version;
	struct ss_str keys; /* as in struct stream_group */
	int64_t until_ms;   /* of streams: wall time when they expire */
	bool removed;	    /* in a command: delete the version */
};

struct change_rec {
	struct ss_str id;
	struct ss_str author;
	struct ss_str what;
	uint64_t index;	  /* log index, and the version that the change made */
	int64_t code;	  /* result: 0, or an enum ss_error */
	uint64_t version; /* in the result */
	struct ss_str text;
	int64_t at_ms;
};

/* A command of the log. Only the fields of its kind are set. */
struct command {
	int64_t kind;		 /* enum command_kind */
	struct ss_str change_id; /* empty: resends aren't detected */
	struct ss_str author;
	int64_t at_ms; /* wall time at the leader */
	/*
	 * The version that the change is based on: the preset's for a put
	 * (0: a new preset) or delete, the configuration's for a switch, and
	 * the number of the model's replicas for a new one. If another change
	 * came first the result is SS_ERROR_CONFLICT.
	 */
	uint64_t expect;
	struct preset_rec *preset;
	struct model_rec *models;
	size_t n_models;
	struct node_rec *node;
	struct replica_rec *replica;
	struct claim_rec *claim;
	struct routing_rec *routing;
	struct quarantine_rec *quarantines;
	size_t n_quarantines;
	struct stream_rec *streams;
	size_t n_streams;
	/* Holder of the claim that is known not to run: the claim passes to
	 * the new call. */
	uint64_t dead_entry, dead_seq;
};

struct command_result {
	int64_t code;	  /* 0, or an enum ss_error */
	uint64_t version; /* made by the change, or the one it conflicts with */
	const char *text; /* static or owned by the state */
	bool resend;	  /* the result of an earlier change of this id */
	struct claim_rec claim; /* COMMAND_CLAIM: the claim now held */
};

struct ss_state;

struct ss_state *ss_state_new(void);
void ss_state_free(struct ss_state *s);

GString *ss_command_encode(const struct command *c);

/* Applies the log entry at index. Bytes that can't be decoded give
 * SS_ERROR_CORRUPT. */
void ss_state_apply(struct ss_state *s, uint64_t index, struct ss_str bytes,
		    struct command_result *result);

/* Returns the serialized state. */
GString *ss_state_snapshot(const struct ss_state *s);
/* Replaces the state by a snapshot. Returns false if the bytes can't be
 * decoded, with the state unchanged, or if the routing in them can't. */
bool ss_state_restore(struct ss_state *s, struct ss_str bytes);

/* Returns the preset in force; NULL before the first switch. */
const struct preset_rec *ss_state_in_force(const struct ss_state *s);
/* Returns the log index of the last switch, or of the last change of the preset
 * in force. */
uint64_t ss_state_config_version(const struct ss_state *s);

const struct preset_rec *ss_state_preset(const struct ss_state *s,
					 const char *name);
const struct model_rec *ss_state_model(const struct ss_state *s,
				       const char *name);
const struct node_rec *ss_state_node(const struct ss_state *s,
				     const char *name);
const struct replica_rec *ss_state_replica(const struct ss_state *s,
					   uint64_t id);

/* Returns the bytes of a node's memory that are reserved for replicas; those of
 * a replica stay reserved until its unload is confirmed. */
uint64_t ss_state_reserved(const struct ss_state *s, const char *node);

/* Returns the current routing as operators sent it; empty before the first
 * one. */
const struct document *ss_state_routing(const struct ss_state *s);
/* Returns the packed change that made the current routing, and the version that
 * it applies to; empty if the routing arrived as a full copy. */
struct ss_str ss_state_routing_change(const struct ss_state *s, uint64_t *base);

/* Read-only tables: name to record; for replicas, id (uint64_t *) to record. */
GHashTable *ss_state_presets(const struct ss_state *s);
GHashTable *ss_state_models(const struct ss_state *s);
GHashTable *ss_state_nodes(const struct ss_state *s);
GHashTable *ss_state_replicas(const struct ss_state *s);
/* Returns the changes (struct change_rec *), oldest first. */
GQueue *ss_state_history(const struct ss_state *s);
/* Return the replicas (struct replica_rec *) on a node or of a model; NULL for
 * none. */
GPtrArray *ss_state_node_replicas(const struct ss_state *s, const char *node);
GPtrArray *ss_state_model_replicas(const struct ss_state *s, const char *model);
/* Returns the quarantines (struct quarantine_rec *), oldest first. */
GQueue *ss_state_quarantines(const struct ss_state *s);
/* Returns a number that changes with the quarantines. */
uint64_t ss_state_quarantines_version(const struct ss_state *s);
/* Returns the streams and versions (struct stream_rec *), oldest first. */
GQueue *ss_state_streams(const struct ss_state *s);
/* Returns true if the version is recorded as one that served lately. */
bool ss_state_has_version(const struct ss_state *s, const char *service,
			  const char *version);
/* Returns the number of claims. */
size_t ss_state_claims(const struct ss_state *s);

#endif
