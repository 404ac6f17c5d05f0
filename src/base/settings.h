/*
 * Settings and presets: JSON with comments, read into structs by tables.
 * Every fault is found in one pass and named with file, line and field.
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
	SETTING_OBJECT, /* struct in place */
	SETTING_MAP,	/* GPtrArray of structs whose first member is the
			 * char *name, which is the key */
};

struct setting_type;

struct setting {
	const char *name;
	enum setting_kind kind;
	size_t offset;
	double min, max;	/* of a number, or the count of a list */
	int64_t preset_int;	/* default of an int or bool */
	const char *preset_str; /* default of a string or choice */
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

/* All faults of one file: one line each, "file:line: field: text". */
struct setting_faults {
	const char *file;
	struct ss_str text;
	GString *out;
	unsigned int count;
};

/* Fill a struct with the table's defaults; it owns what it points to. */
void settings_defaults(const struct setting_type *t, void *into);
void settings_clear(const struct setting_type *t, void *s);

/*
 * Read text into a struct, over the defaults. False with SS_ERROR_SETTINGS
 * and all faults in the message, if any; then the struct is cleared.
 */
bool settings_parse(const struct setting_type *t, void *into, const char *file,
		    struct ss_str text, GError **error);

bool settings_load(const struct setting_type *t, void *into, const char *file,
		   GError **error);

/* A JSON text without comments, as it is kept and sent; NULL on fault. */
char *settings_plain_json(const char *file, struct ss_str text, GError **error);

#endif
