/*
 * Compression of data for a link, with zstd. Each zstd frame states its content
 * size and carries a checksum.
 */
#ifndef SS_PACK_H
#define SS_PACK_H

#include <sapphireshift/base.h>

/* Compresses bytes and appends the zstd frame to out. */
void pack_compress(GString *out, struct ss_str bytes);

/*
 * Returns the decompressed bytes, to be freed with g_string_free(). Fails with
 * SS_ERROR_FRAME if the data is truncated or corrupt, or if its content is
 * larger than max_size.
 */
GString *pack_decompress(struct ss_str packed, size_t max_size, GError **error);

#endif
