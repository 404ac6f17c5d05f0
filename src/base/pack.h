/*
 * Bytes packed for a link, whole or as the difference to others that the
 * receiver holds. By zstd, whose frames tell their size and carry a checksum.
 */
#ifndef SS_PACK_H
#define SS_PACK_H

#include <sapphireshift/base.h>

/*
 * Append the packed bytes. Whoever unpacks them needs the same base; an empty
 * one makes them stand for themselves.
 */
void pack_add(GString *out, struct ss_str bytes, struct ss_str base);

/*
 * The bytes that were packed; free with g_string_free(). NULL with
 * SS_ERROR_FRAME where they are cut, harmed, packed against another base or
 * larger than most.
 */
GString *pack_open(struct ss_str packed, struct ss_str base, size_t most,
		   GError **error);

#endif
