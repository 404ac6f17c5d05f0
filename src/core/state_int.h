/* The replicated state's tables; only for the files of that part. */
#ifndef SS_STATE_INT_H
#define SS_STATE_INT_H

#include "document.h"
#include "state_codec.h"

struct ss_state {
	GHashTable *presets, *models, *nodes; /* name -> record */
	GHashTable *replicas;		      /* &id -> record */
	GHashTable *by_node, *by_model;	      /* name -> GPtrArray */
	GHashTable *claims;		      /* key (GBytes) -> record */
	GQueue claim_order;		      /* records, oldest first */
	GHashTable *changes;		      /* id -> record in history */
	GQueue history;			      /* struct change_rec, all */
	char *in_force;
	uint64_t config_version;
	struct document *routing;
	GString *routing_change; /* that was applied last */
	uint64_t routing_base;	 /* version that it was made of */
};

/* Records are copied, and replace the one of their name. */
void state_put_preset(struct ss_state *s, const struct preset_rec *p);
void state_put_model(struct ss_state *s, const struct model_rec *m);
void state_put_node(struct ss_state *s, const struct node_rec *n);
bool state_put_routing(struct ss_state *s, const struct routing_rec *r,
		       GError **error);
/* A new id. */
void state_put_replica(struct ss_state *s, const struct replica_rec *r);
void state_drop_replica(struct ss_state *s, struct replica_rec *r);
/* A new key; the oldest ones leave beyond the bounds. */
void state_put_claim(struct ss_state *s, const struct claim_rec *c);
void state_drop_claim(struct ss_state *s, struct claim_rec *c);
/* Kept for resends of its id, if it has one. */
void state_put_change(struct ss_state *s, const struct change_rec *c);

#endif
