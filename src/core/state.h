/*
 * The replicated state: presets, which one is in force, models, nodes,
 * replicas decided, and claims of calls that may run at most once.
 *
 * Changed only by ss_state_apply() with entries of the replicated log, in
 * order, so that it is the same on every control VM. Records own their
 * strings; pointers to them hold until the next apply or restore.
 */
#ifndef SS_STATE_H
#define SS_STATE_H

#include <sapphireshift/base.h>

/* Results of so many changes are kept to answer a resend alike. */
#define STATE_CHANGES_MAX 4096
#define STATE_CLAIMS_MAX 200000
#define STATE_CLAIM_AGE_MS (24 * 3600 * 1000LL)

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
};

enum node_kind { NODE_ENGINE = 1, NODE_SERVICE };

enum node_state {
	NODE_LIVE = 1,
	NODE_DRAINING, /* takes no new work; finishes what it has */
	NODE_GONE,     /* the VM no longer exists: nothing runs there */
};

enum replica_state {
	REPLICA_LOADING = 1, /* decided; its memory is reserved */
	REPLICA_READY,
	REPLICA_UNLOADING,
	REPLICA_GONE, /* its end is known; the record is dropped */
};

struct preset_rec {
	struct ss_str name;
	struct ss_str body; /* JSON without comments */
	uint64_t version;   /* log index of its last change */
};

struct model_rec {
	struct ss_str name;
	struct ss_str base; /* of an adapter: the model it sits on */
	struct ss_str pool;
	uint64_t bytes;
	uint64_t slots; /* calls at a time on one replica */
	bool removed;	/* in a command: drop it */
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
	uint64_t changed;     /* log index: when its orders last changed */
};

struct replica_rec {
	uint64_t id; /* log index of the decision; grows over leaders */
	struct ss_str model;
	struct ss_str base;
	struct ss_str node;
	uint64_t bytes;
	uint64_t slots;
	int64_t state;	 /* enum replica_state */
	int64_t at_ms;	 /* wall time of the decision */
	int64_t load_ms; /* measured, once ready */
};

struct claim_rec {
	struct ss_str key;    /* hash of customer and idempotency key */
	uint64_t fingerprint; /* of the request */
	uint64_t entry, seq;  /* the call that may run */
	struct ss_str node;   /* where it runs */
	uint64_t incarnation;
	int64_t at_ms;
};

/* A change of the routing that operators put in force. */
struct routing_rec {
	uint64_t version;   /* given by the operator; only grows */
	struct ss_str body; /* the text; in logs of before there were changes */
	struct ss_str change; /* a document's, packed */
};

struct change_rec {
	struct ss_str id;
	struct ss_str author;
	struct ss_str what;
	uint64_t index;	  /* of the change; the version it made */
	int64_t code;	  /* 0, or the enum ss_error it got */
	uint64_t version; /* in its answer */
	struct ss_str text;
	int64_t at_ms;
};

/* A change. Only the fields of its kind are set. */
struct command {
	int64_t kind;		 /* enum command_kind */
	struct ss_str change_id; /* empty: never resent */
	struct ss_str author;
	int64_t at_ms; /* wall time at the leader */
	/*
	 * The version that the change is based on: of the preset for a put
	 * (0: new), the configuration for a switch. Where another change
	 * came first the answer is SS_ERROR_CONFLICT.
	 */
	uint64_t expect;
	struct preset_rec *preset;
	struct model_rec *models;
	size_t n_models;
	struct node_rec *node;
	struct replica_rec *replica;
	struct claim_rec *claim;
	struct routing_rec *routing;
	/* A claim's predecessor that is known not to run: taken over. */
	uint64_t dead_entry, dead_seq;
};

struct command_result {
	int64_t code;		/* 0, or an enum ss_error */
	uint64_t version;	/* made by the change, or the one that won */
	const char *text;	/* static or owned by the state */
	bool resend;		/* answered from an earlier one */
	struct claim_rec claim; /* the one in force, of COMMAND_CLAIM */
};

struct ss_state;

struct ss_state *ss_state_new(void);
void ss_state_free(struct ss_state *s);

GString *ss_command_encode(const struct command *c);

/* Apply the entry at index. Unreadable bytes give SS_ERROR_CORRUPT. */
void ss_state_apply(struct ss_state *s, uint64_t index, struct ss_str bytes,
		    struct command_result *result);

GString *ss_state_snapshot(const struct ss_state *s);
/* False, and the state unchanged, where the bytes are no snapshot. */
bool ss_state_restore(struct ss_state *s, struct ss_str bytes);

/* The preset in force; NULL before the first switch. */
const struct preset_rec *ss_state_in_force(const struct ss_state *s);
/* Log index of the last change of what is in force. */
uint64_t ss_state_config_version(const struct ss_state *s);

const struct preset_rec *ss_state_preset(const struct ss_state *s,
					 const char *name);
const struct model_rec *ss_state_model(const struct ss_state *s,
				       const char *name);
const struct node_rec *ss_state_node(const struct ss_state *s,
				     const char *name);
const struct replica_rec *ss_state_replica(const struct ss_state *s,
					   uint64_t id);

/* Bytes decided on a node and not known to be free again. */
uint64_t ss_state_reserved(const struct ss_state *s, const char *node);

/* The routing in force, as operators sent it; empty before the first one. */
const struct document *ss_state_routing(const struct ss_state *s);
/* The change that made it, packed, and the version that it was made of; empty
 * where all of it came at once. */
struct ss_str ss_state_routing_change(const struct ss_state *s, uint64_t *base);

/* Tables for reading: name to record, replica id (uint64_t *) to record. */
GHashTable *ss_state_presets(const struct ss_state *s);
GHashTable *ss_state_models(const struct ss_state *s);
GHashTable *ss_state_nodes(const struct ss_state *s);
GHashTable *ss_state_replicas(const struct ss_state *s);
/* struct change_rec *, oldest first. */
GQueue *ss_state_history(const struct ss_state *s);
/* The replicas on a node: struct replica_rec *; NULL for none. */
GPtrArray *ss_state_node_replicas(const struct ss_state *s, const char *node);
/* The replicas of a model. */
GPtrArray *ss_state_model_replicas(const struct ss_state *s, const char *model);
size_t ss_state_claims(const struct ss_state *s);

#endif
