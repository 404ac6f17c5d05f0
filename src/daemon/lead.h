/*
 * What a leader knows beside the replicated state, and does by it: who is
 * connected, who waits for what, what to load and unload, what to tell
 * whom. It starts empty with each leadership and fills within seconds.
 */
#ifndef SS_LEAD_H
#define SS_LEAD_H

#include "group.h"

struct json_object;
struct lead;
struct vm;

struct lead *lead_new(struct daemon *d, struct group *g);
void lead_free(struct lead *l);

/* Connections of entries and agents. */
void lead_open(struct lead *l, struct conn *c);
void lead_closed(struct lead *l, struct conn *c);
void lead_message(struct lead *l, struct conn *c, struct frame *f);

/* The state has changed, or time has passed. */
void lead_applied(struct lead *l);
void lead_tick(struct lead *l);
void lead_vms(struct lead *l, const struct vm *vms, size_t n);

void lead_status(struct lead *l, struct json_object *o);
struct json_object *lead_why(struct lead *l, const char *model);

#endif
