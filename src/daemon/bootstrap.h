/* Making a new control group. */
#ifndef SS_BOOTSTRAP_H
#define SS_BOOTSTRAP_H

#include "../config/config.h"

/*
 * Make the first member of a new group in an empty data folder, with the
 * settings' models and presets. Only by an operator's order: a VM whose
 * disk was lost would else make a second group by itself. Errors:
 * SS_ERROR_CONFLICT where the folder belongs to a group already.
 */
bool bootstrap_group(const struct config *c, GError **error);

#endif
