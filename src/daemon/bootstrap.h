/* Making a new control group. */
#ifndef SS_BOOTSTRAP_H
#define SS_BOOTSTRAP_H

#include "../config/config.h"
#include "../disk/disk.h"

/*
 * Make the first member of a new group in an empty data folder, with the
 * settings' models and presets. Only by an operator's order: a VM whose
 * disk was lost would else make a second group by itself. Errors:
 * SS_ERROR_CONFLICT where the folder belongs to a group already.
 */
bool bootstrap_group(const struct config *c, GError **error);

/*
 * At the first start of a whole system, where the settings say so: each of
 * the control VMs that they name makes the same group of all of them by
 * itself, so that no one has to come first. Nothing is done on a VM that
 * isn't named, or in a folder that has a group. The state is read anew.
 */
bool found_group(const struct config *c, const char *addr, struct disk **disk,
		 struct disk_state *s, GError **error);

#endif
