/* Creation of a new control group. */
#ifndef SS_BOOTSTRAP_H
#define SS_BOOTSTRAP_H

#include "../config/config.h"
#include "../disk/disk.h"

/*
 * Creates a group of one member in an empty data folder, with the models and
 * presets of the settings. Runs only on an operator's command: otherwise a VM
 * that lost its disk would create a second group. Fails with
 * SS_ERROR_CONFLICT if the folder already belongs to a group.
 */
bool bootstrap_group(const struct config *c, GError **error);

/*
 * Creates the group at the first start of a system if the settings ask for
 * it. Each control VM named there writes the same initial log on its own, with
 * all of them as members, so that they can start in any order. Does nothing on
 * a VM that isn't named or if the folder already belongs to a group. Reopens
 * the disk and reloads the state after creating the group.
 */
bool bootstrap_founders(const struct config *c, const char *addr,
			struct disk **disk, struct disk_state *s,
			GError **error);

#endif
