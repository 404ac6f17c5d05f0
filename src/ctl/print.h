/* Prints responses of the operator API as human-readable text. */
#ifndef SS_PRINT_H
#define SS_PRINT_H

struct json_object;

void print_version(struct json_object *o);
void print_presets(struct json_object *o);
void print_preset(struct json_object *o);
void print_history(struct json_object *o);
void print_models(struct json_object *o);
void print_members(struct json_object *o);
void print_status(struct json_object *o);
void print_customers(struct json_object *o);
void print_quarantines(struct json_object *o);
void print_why(struct json_object *o);

/*
 * Prints the fields in which two objects differ, one per line. path is the
 * dotted path of the objects, empty at the top.
 */
void print_diff(const char *path, struct json_object *a, struct json_object *b);

#endif
