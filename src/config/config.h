/* Process settings: their structures, defaults and validation. */
#ifndef SS_CONFIG_H
#define SS_CONFIG_H

#include "../base/settings.h"

enum config_role { CONFIG_ENTRY, CONFIG_AGENT, CONFIG_CONTROL };

/* A rule for requests that match a method and a path prefix: whether they may
 * be repeated. */
struct config_rule {
	char *name;
	char *method; /* empty: any method */
	char *path;   /* prefix */
	bool repeatable;
};

struct config_headers {
	char *deadline, *class_name, *customer, *once;
};

struct config_entry {
	char *listen;
	int64_t max_body_bytes;
	int64_t receive_ms;   /* time limit for a caller to send its request */
	int64_t drain_ms;     /* draining: not ready, still accepts calls */
	int64_t drain_max_ms; /* then: time limit for calls to finish */
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
	char *models_file;  /* imported once, when the group is created */
	char *presets_dir;  /* likewise; files NAME.json */
	char *first_preset; /* activated when the group is created */
	bool found_group;   /* creates the group: first start of the system */
	int64_t snapshot_entries;
};

/*
 * Fleet mode: the platform lists the endpoints and entries forward to them
 * directly; agents only control which models the endpoints load.
 */
struct config_fleet {
	bool on;	       /* fleet mode is enabled */
	char *listen;	       /* entry: address for callers */
	char *ready_listen;    /* entry: address of the readiness check */
	char *operator_listen; /* control: address for routing changes */
	char *vm_list;	       /* address of the platform's list */
	/* control: duration for which an engine accepts the orders of one VM
	 * only. */
	double lease_ms;
	char *endpoint; /* agent: the endpoint that it controls */
	char *holder;	/* agent: the lease holder named in its orders */
	double grace_s; /* from SIGTERM until the platform kills the process */
	/* While draining, the process reports not ready but accepts callers for
	 * this time: a load balancer that checks once a second and acts on the
	 * second failure needs 2 s plus a round trip. */
	int64_t accept_ms;
	double retry_ratio; /* retries per first attempt in a window */
	double retry_window_s;
	/* Retries that are allowed beside the ratio, for the whole fleet; each
	 * entry gets a share, which is below one in a large fleet. */
	double retry_slack;
	/* By how much a customer may exceed its limit in a window: a fraction
	 * of the limit plus a fixed amount. */
	double quota_window_s, quota_overage, quota_extra;
	/* How long a request waits for its adapter. A load takes up to 10 ms,
	 * and longer where many adapters are loaded or one in use has to be
	 * unloaded first. */
	int64_t adapter_wait_ms;
	/* When callers give up on a stalled stream: see struct gate_patience.
	 * The defaults follow the platform's description of its callers. */
	int64_t patience_ms, patience_objectives, patience_pauses;
	double keys_trust_ms; /* see struct gate_options */
	double memory_mb;     /* memory limit of this process; 0: unknown */
};

struct config {
	int role; /* enum config_role */
	char *name, *domain;
	char *listen;	 /* agent and control: address for frames */
	char *advertise; /* address given to other processes; empty: listen */
	char *status_listen;
	char *log_level;
	GPtrArray *control;   /* char *, addresses of the control VMs */
	int64_t control_port; /* port of all of them; 0: as in control */
	struct config_fleet fleet;
	struct config_entry entry;
	struct config_agent agent;
	struct config_control ctl;
};

extern const struct setting_type config_type;

/* Loads and validates a file. The error lists all faults, each with file, line
 * and field. */
bool config_load(struct config *c, const char *file, GError **error);
void config_clear(struct config *c);

/* Models in an operator's file: NAME: {pool, bytes, slots, base}. */
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

/* Converts to records of the replicated state, one per model. The caller frees
 * the array; m owns the strings. */
struct model_rec;
struct model_rec *config_models_records(const struct config_models *m);

#endif
