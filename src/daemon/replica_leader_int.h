/* Internal state of the leader of replicas; only its own files include this. */
#ifndef SS_REPLICA_LEADER_INT_H
#define SS_REPLICA_LEADER_INT_H

#include "../core/plan.h"
#include "replica_leader.h"

/* Time without a connection, in ms, after which a node gets no new calls. */
#define LEADER_NODE_LOST_MS 1500
/* Time during which a new leader treats unconnected nodes as usable, in ms. */
#define LEADER_GRACE_MS 4000
/* Validity of the queue length that an entry reported, in ms. */
#define LEADER_WATCH_VALID_MS 3000

/* A replica as its node reported it. */
struct leader_held {
	uint64_t replica;
	int64_t state; /* enum held_replica_state */
	uint64_t active, served;
	int64_t idle_ms;
};

struct leader_node {
	char *name;
	struct conn *conn;
	int64_t down_ms; /* time of disconnection */
	bool reported;
	int64_t report_ms;
	uint64_t incarnation;
	GArray *held;	     /* struct leader_held */
	GHashTable *cached;  /* model -> tier */
	bool draining;	     /* reported by the agent: a planned stop */
	uint64_t fence_sent; /* fencing token of the orders sent last */
	bool registered;     /* committed, for this connection */
	bool listed;	     /* has been on the VM list */
	int64_t unlisted_ms; /* when the VM list first lacked it; SS_NEVER if
				listed */
	uint64_t config;
};

/* One entry's subscription to the routes of one model. */
struct leader_watch {
	struct conn *conn;
	uint64_t waiting;
	int64_t deadline_ms; /* time on the leader's clock */
	int priority;
	int64_t at_ms; /* time of the entry's last message */
	GString *sent; /* signature of the route sent last */
};

struct leader_model {
	char *name; /* as requested by entries */
	GPtrArray *watches;
	struct ss_arrivals *arrivals;
	int64_t load_ms;	/* duration of the last load; 0: unknown */
	int64_t eta_ms;		/* expected end of a load; SS_NEVER: unknown */
	const char *why;	/* reason of the planner's last result */
	const char *unload_why; /* reason and time of the last unload */
	int64_t unload_ms;
	bool expected; /* arrival history predicts a request */
};

/* A connected entry or agent. */
struct leader_peer {
	struct conn *conn;
	bool entry;
	uint64_t config_sent, config; /* versions sent and acknowledged */
	bool confirmed;		      /* may get the configuration */
};

struct replica_leader {
	struct daemon *d;
	struct group *g;
	GHashTable *peers;  /* conn -> struct leader_peer */
	GHashTable *nodes;  /* name -> struct leader_node */
	GHashTable *models; /* name -> struct leader_model */
	struct pacer pacer;
	struct ss_arrivals all; /* arrivals of all models */
	struct preset preset;
	uint64_t preset_version;
	int64_t since_ms;	     /* start of the leadership */
	int64_t plan_ms, predict_ms; /* last plan and last prediction */
	unsigned int open_decisions; /* proposed, not applied */
	bool dirty; /* something to plan or to send has changed */
	uint64_t *n_loads, *n_unloads, *n_claims, *n_plans, *n_replicas;
	struct hist *load_hist;
};

/* Context of a pending change or read of the group. */
struct leader_pending {
	struct replica_leader *l;
	struct conn *conn; /* NULL: no connection waits */
};

static inline int64_t leader_now(const struct replica_leader *l)
{
	return ss_clock_now(&l->d->clock);
}

/* replica_leader_table.c, which calls none of the other files. */
void leader_tables_init(struct replica_leader *l);
void leader_tables_clear(struct replica_leader *l);
/*
 * Returns true if the leadership that proposed a change continues, given the
 * change's error. Otherwise the leader's state may be freed and the callback
 * must not use it.
 */
bool leader_still_valid(const GError *error);

struct leader_node *leader_node_for(struct replica_leader *l, const char *name);
struct leader_model *leader_model_for(struct replica_leader *l,
				      const char *name);
/* Returns true if calls may be sent to the node of this record. */
bool leader_node_usable(const struct replica_leader *l,
			const struct node_rec *rec);
/* Returns a replica as its node reported it; NULL if the report lacks it. */
const struct leader_held *leader_held_of(const struct replica_leader *l,
					 const struct replica_rec *r);
/* Finds a model by its name or by "base:adapter". */
const struct model_rec *leader_resolve(const struct replica_leader *l,
				       const char *name);

/* replica_leader_nodes.c */
void leader_handle_register(struct replica_leader *l, struct conn *c,
			    const struct msg_register *m);
void leader_handle_report(struct replica_leader *l, struct conn *c,
			  const struct msg_report *m);
/* replica_leader_plan.c */
void leader_plan(struct replica_leader *l, int64_t now);
/* replica_leader_route.c */
void leader_push_routes(struct replica_leader *l);
void leader_push_route(struct replica_leader *l, struct leader_model *m,
		       struct leader_watch *w);
/* replica_leader_claim.c */
void leader_handle_claim(struct replica_leader *l, struct conn *c,
			 const struct msg_claim *m);

/* replica_leader_status.c: the status function of leader_ops. */
void leader_status(void *leader, struct json_object *o);

#endif
