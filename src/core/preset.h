/* A preset: what operators adjust. Exactly one is in force at any time. */
#ifndef SS_PRESET_H
#define SS_PRESET_H

#include "../base/settings.h"

/* A preset has some 1 KB; this bounds what a change adds to the log. */
#define PRESET_BYTES_MAX (256 * 1024)

struct preset_class {
	char *name;
	int64_t deadline_ms; /* where the caller names none */
	int64_t priority;
	int64_t reserve_percent; /* of slots, kept from lower classes */
};

struct preset_customer {
	char *name;
	int64_t share;
	int64_t max_waiting;
};

struct preset {
	/* 0: only idle accelerator hours count; 100: only cold starts. */
	int64_t cold_weight;
	int64_t keep_min_ms, keep_max_ms; /* bounds of the idle time */
	bool wake_ahead;      /* load what history expects within the hour */
	int64_t max_replicas; /* of one model */
	int64_t store_per_minute, store_parallel;
	int64_t retry_percent;
	int64_t customer_max_waiting; /* where a customer names none */
	char *default_class;
	GPtrArray *classes;   /* struct preset_class */
	GPtrArray *customers; /* struct preset_customer */
	GPtrArray *pinned;    /* names of models never unloaded */
};

extern const struct setting_type preset_type;

/* Read and check a preset; end with preset_clear(). */
bool preset_parse(struct preset *p, const char *file, struct ss_str text,
		  GError **error);
void preset_clear(struct preset *p);

/* The class by name, or the default one; never NULL for a checked preset. */
const struct preset_class *preset_class_of(const struct preset *p,
					   struct ss_str name);
/* NULL where the preset doesn't name the customer. */
const struct preset_customer *preset_customer_of(const struct preset *p,
						 struct ss_str name);
bool preset_pins(const struct preset *p, struct ss_str model);

/* The preset that holds before any was put in force. */
extern const char preset_built_in[];

#endif
