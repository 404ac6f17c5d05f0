/* Presets: named sets of operators' settings. Exactly one is in force at a
 * time. */
#ifndef SS_PRESET_H
#define SS_PRESET_H

#include "../base/settings.h"

/* Bounds what a change adds to the log; a usual preset has about 1 KB. */
#define PRESET_BYTES_MAX (256 * 1024)

struct preset_class {
	char *name;
	int64_t deadline_ms; /* of requests without one */
	int64_t priority;
	int64_t reserve_percent; /* of slots, closed to lower priorities */
};

struct preset_customer {
	char *name;
	int64_t share;
	int64_t max_waiting;
};

struct preset {
	/* Weight of cold starts against idle accelerator time, in percent: 0
	 * counts only idle time, 100 only cold starts. */
	int64_t cold_weight;
	/* Bounds of the idle time after which a model is unloaded. */
	int64_t keep_min_ms, keep_max_ms;
	/* Whether to load models before their next predicted arrival. */
	bool wake_ahead;
	int64_t max_replicas; /* of one model */
	int64_t store_per_minute, store_parallel;
	int64_t retry_percent;	      /* retries allowed per 100 fresh calls */
	int64_t customer_max_waiting; /* of customers that aren't listed */
	char *default_class;
	GPtrArray *classes;   /* struct preset_class */
	GPtrArray *customers; /* struct preset_customer */
	GPtrArray *pinned;    /* char *, names of models never unloaded */
};

extern const struct setting_type preset_type;

/* Parses and checks a preset; release it with preset_clear(). */
bool preset_parse(struct preset *p, const char *file, struct ss_str text,
		  GError **error);
void preset_clear(struct preset *p);

/* Returns the class of that name, or the default class; never NULL for a preset
 * that preset_parse() has accepted. */
const struct preset_class *preset_class_of(const struct preset *p,
					   struct ss_str name);
/* Returns NULL for a customer that the preset doesn't list. */
const struct preset_customer *preset_customer_of(const struct preset *p,
						 struct ss_str name);
/* Returns whether a model is never unloaded. */
bool preset_pins(const struct preset *p, struct ss_str model);

/* The preset in force until operators switch to another. */
extern const char preset_built_in[];

#endif
