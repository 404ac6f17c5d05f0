/* Bytes packed for a link, by zstd, whose frames tell their size and carry a
 * checksum. */
#ifndef SS_PACK_H
#define SS_PACK_H

#include <sapphireshift/base.h>

/* Append the packed bytes. */
void pack_add(GString *out, struct ss_str bytes);

/*
 * The bytes that were packed; free with g_string_free(). NULL with
 * SS_ERROR_FRAME where they are cut, harmed or larger than most.
 */
GString *pack_open(struct ss_str packed, size_t most, GError **error);

#endif
