/* Tables of the replicated state; private to state.c and state_store.c. */
#ifndef SS_STATE_INT_H
#define SS_STATE_INT_H

#include "document.h"
#include "state_codec.h"

struct ss_state {
	GHashTable *presets, *models, *nodes; /* name -> record */
	GHashTable *replicas;		      /* &id -> record */
	GHashTable *by_node, *by_model;	      /* name -> GPtrArray */
	GHashTable *claims;  /* key (struct ss_str) -> record */
	GQueue claim_order;  /* struct claim_rec, oldest first */
	GHashTable *changes; /* id -> record, owned by history */
	GQueue history;	     /* struct change_rec, oldest first */
	GQueue quarantines;  /* struct quarantine_rec, oldest first */
	uint64_t quarantines_version;
	GQueue streams; /* struct stream_rec, oldest first */
	char *in_force;
	uint64_t config_version;
	struct document *routing;
	GString *routing_change; /* packed; the last one applied */
	uint64_t routing_base;	 /* version that it applied to */
};

/* Records are copied; they replace a record of the same name. */
void state_put_preset(struct ss_state *s, const struct preset_rec *p);
void state_put_model(struct ss_state *s, const struct model_rec *m);
void state_put_node(struct ss_state *s, const struct node_rec *n);
bool state_put_routing(struct ss_state *s, const struct routing_rec *r,
		       GError **error);
/* The id must be new. */
void state_put_replica(struct ss_state *s, const struct replica_rec *r);
void state_drop_replica(struct ss_state *s, struct replica_rec *r);
/* The key must be new. Drops the oldest claims beyond the bounds. */
void state_put_claim(struct ss_state *s, const struct claim_rec *c);
void state_drop_claim(struct ss_state *s, struct claim_rec *c);
/* Copies a quarantine; it replaces the one of the same fingerprint. Drops the
 * oldest beyond STATE_QUARANTINES_MAX. */
void state_put_quarantine(struct ss_state *s, const struct quarantine_rec *q);
void state_drop_quarantine(struct ss_state *s, const struct quarantine_rec *q);
/* Copies streams or a version that isn't recorded yet. Drops the oldest streams
 * beyond STATE_STREAMS_MAX. */
void state_put_streams(struct ss_state *s, const struct stream_rec *x);
void state_drop_version(struct ss_state *s, const struct stream_rec *x);
void state_expire_streams(struct ss_state *s, int64_t wall_ms);
/* Records a result for the history and, if the change has an id, for resends.
 * Drops the oldest beyond STATE_CHANGES_MAX. */
void state_put_change(struct ss_state *s, const struct change_rec *c);

#endif
