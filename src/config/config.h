/* The settings of a process. */
#ifndef SS_CONFIG_H
#define SS_CONFIG_H

#include "../base/settings.h"

enum config_role { CONFIG_ENTRY, CONFIG_AGENT, CONFIG_CONTROL };

/* Which calls may run twice, or where a call belongs: by method and path. */
struct config_rule {
	char *name;
	char *method; /* empty: any */
	char *path;   /* prefix */
	bool repeatable;
};

struct config_headers {
	char *deadline, *class_name, *customer, *once;
};

struct config_entry {
	char *listen;
	int64_t max_body_bytes;
	int64_t receive_ms; /* for a caller to send its whole request */
	int64_t drain_ms;   /* not ready, but still taking calls */
	int64_t drain_max_ms;
	struct config_headers headers;
	GPtrArray *rules; /* struct config_rule */
};

struct config_agent {
	int kind; /* 0: engine, 1: service */
	char *pool;
	char *endpoint;
	int64_t slots;
	int64_t drain_max_ms;
};

struct config_control {
	char *data;
	char *operator_listen;
	char *token_file;
	char *platform;
	char *models_file;  /* put once, when the group is made */
	char *presets_dir;  /* likewise: NAME.json */
	char *first_preset; /* put in force then */
	bool found_group;   /* this is the first start of the whole system */
	int64_t snapshot_entries;
};

/*
 * A fleet whose endpoints are listed by the platform and called directly:
 * entries forward to them, agents only order what they load.
 */
struct config_fleet {
	bool on;	       /* the section is there */
	char *listen;	       /* entry: callers */
	char *ready_listen;    /* entry: asked whether it takes callers */
	char *operator_listen; /* control: routing */
	char *vm_list;	       /* address of the platform's list */
	/* control: for how long an engine takes orders as those of one VM. */
	double lease_ms;
	char *endpoint; /* agent: the endpoint beside it */
	char *holder;	/* agent: the name on its orders */
	double grace_s; /* from SIGTERM until the process is ended */
	/* Not ready, but still taking callers: a balancer that asks once a
	 * second and acts on the second refusal needs 2 s and its answer's way.
	 */
	int64_t accept_ms;
	double retry_ratio; /* repeats against first sends, per window */
	double retry_window_s;
	/* Repeats that are free, for all together: a share of them at a size
	 * where that is less than one. */
	double retry_slack;
	/* By how much a customer may exceed its limit in a window: a share of
	 * what the limit allows, and so much beside. */
	double quota_window_s, quota_overage, quota_extra;
	/* Agents load an adapter within 10 ms on both deployments, but one that
	 * loads many, or has to drop one in use, takes longer. */
	int64_t adapter_wait_ms;
	/* When callers of a silent stream leave: see struct gate_patience. The
	 * defaults are the platform's description of its callers. */
	int64_t patience_ms, patience_objectives, patience_pauses;
	double keys_trust_ms; /* as in struct gate_options */
	double memory_mb;     /* of this process; 0: not told */
};

struct config {
	int role; /* enum config_role */
	char *name, *domain;
	char *listen;	 /* frames: agent and control */
	char *advertise; /* the address that others use; empty: listen */
	char *status_listen;
	char *log_level;
	GPtrArray *control;   /* addresses of the control VMs */
	int64_t control_port; /* replaces theirs; 0: they are right */
	struct config_fleet fleet;
	struct config_entry entry;
	struct config_agent agent;
	struct config_control ctl;
};

extern const struct setting_type config_type;

/* Load and check; every fault with file, line and field. */
bool config_load(struct config *c, const char *file, GError **error);
void config_clear(struct config *c);

/* Models as operators write them: NAME: {pool, bytes, slots, base}. */
struct config_model {
	char *name;
	char *base, *pool;
	int64_t bytes, slots;
};

struct config_models {
	GPtrArray *models; /* struct config_model */
};

bool config_models_parse(struct config_models *m, const char *file,
			 struct ss_str text, GError **error);
void config_models_clear(struct config_models *m);

/* As records of the replicated state, one each; their strings stay m's. */
struct model_rec;
struct model_rec *config_models_records(const struct config_models *m);

#endif
