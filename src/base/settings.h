/*
 * Reads settings and presets, which are JSON with comments, into structs that
 * are described by tables of fields. One pass reports all errors, each with
 * file, line and field.
 */
#ifndef SS_SETTINGS_H
#define SS_SETTINGS_H

#include <sapphireshift/base.h>

struct json_object;

enum setting_kind {
	SETTING_INT,	/* int64_t */
	SETTING_BOOL,	/* bool */
	SETTING_NUM,	/* double */
	SETTING_STR,	/* char *, owned */
	SETTING_CHOICE, /* int, an index into choices */
	SETTING_STRS,	/* GPtrArray of char * */
	SETTING_OBJECT, /* nested struct */
	SETTING_MAP,	/* GPtrArray of structs; their first member is a
			 * char *name that holds the key */
};

struct setting_type;

struct setting {
	const char *name;
	enum setting_kind kind;
	size_t offset;
	double min, max;	 /* range of a number; max items of a list */
	int64_t default_int;	 /* default of an int, bool or number */
	const char *default_str; /* default of a string or choice */
	const char *const *choices;
	const struct setting_type *type;
	bool required;
};

struct setting_type {
	size_t size;
	const struct setting *fields;
	size_t n;
};

#define SETTING_TYPE(type, table)                                              \
	{                                                                      \
		sizeof(type), (table), G_N_ELEMENTS(table)                     \
	}

/* Errors found in one file, one line each: "file:line: field: text". */
struct setting_errors {
	const char *file;
	struct ss_str text;
	GString *out;
	unsigned int count;
};

/*
 * Fills a struct with the table's defaults. The struct owns its strings and
 * lists; settings_clear() frees them.
 */
void settings_defaults(const struct setting_type *t, void *into);
void settings_clear(const struct setting_type *t, void *s);

/*
 * Sets the defaults, then reads text into the struct. On errors returns false
 * with SS_ERROR_SETTINGS and all errors in the message, and clears the struct.
 */
bool settings_parse(const struct setting_type *t, void *into, const char *file,
		    struct ss_str text, GError **error);

/* Like settings_parse(); SS_ERROR_IO if the file can't be read. */
bool settings_load(const struct setting_type *t, void *into, const char *file,
		   GError **error);

/* Returns JSON without comments, as stored and sent; NULL on error. */
char *settings_plain_json(const char *file, struct ss_str text, GError **error);

#endif
