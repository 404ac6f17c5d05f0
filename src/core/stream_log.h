/*
 * Log of the software version that began each stream: an entry that resumes the
 * stream has to use the same one.
 *
 * A caller whose stream breaks off resumes it at any entry, and names the
 * request that began it. The outputs of two versions of an endpoint don't fit
 * together, so each resumable stream is logged by the process that sends it,
 * under a hash of its request's id, and reported to the leader and its
 * followers. The log also keeps which versions served recently: if only one
 * did, it began the streams that aren't in any log.
 *
 * The log is bounded and drops its oldest streams. It does no I/O and reads no
 * clock; callers pass the time.
 */
#ifndef SS_STREAM_LOG_H
#define SS_STREAM_LOG_H

#include <sapphireshift/base.h>

/* Time for which a stream can be resumed after it began, in ms: longer than any
 * caller waits. */
#define STREAM_LIFETIME_MAX_MS 60000
/* Streams that a process keeps: those of a minute at 1000 per second. They take
 * some 6 MB. */
#define STREAM_LOG_CAPACITY 65536

struct stream_log;

/* A stream and the version that began it; with key 0, a version that serves
 * now. */
struct stream_item {
	uint64_t key;
	const char *service, *version; /* valid until the log changes */
	int64_t ttl_ms;		       /* until it expires */
};

/* capacity is in streams. */
struct stream_log *stream_log_new(size_t capacity);
void stream_log_free(struct stream_log *l);

/* Returns the key of a stream, never 0. It covers the customer as well as the
 * request's id: no other customer can resume the stream. */
uint64_t stream_key(struct ss_str customer, struct ss_str id);

/* Adds a stream or a serving version. The newest report on a stream replaces
 * older ones. */
void stream_log_add(struct stream_log *l, const struct stream_item *x,
		    int64_t now);
/* Returns false if the stream isn't in the log, or has expired. */
bool stream_log_find(const struct stream_log *l, uint64_t key, int64_t now,
		     struct stream_item *out);
/* Returns the only version of a service that served within
 * STREAM_LIFETIME_MAX_MS; NULL if there were several, or none is known. */
const char *stream_log_sole_version(const struct stream_log *l,
				    const char *service, int64_t now);

/* Returns true if the version served within STREAM_LIFETIME_MAX_MS. */
bool stream_log_has_version(const struct stream_log *l, const char *service,
			    const char *version, int64_t now);
/* Returns when a version was last reported to serve, on the callers' clock; 0:
 * never, or too long ago. */
int64_t stream_log_last_served(const struct stream_log *l, const char *service,
			       const char *version);

/*
 * Appends the changes after a mark to out, oldest first, until it has max
 * struct stream_item, and returns the mark after them. A mark is a position in
 * the log's sequence of changes; mark 0 is before the first one.
 */
uint64_t stream_log_changes(const struct stream_log *l, uint64_t mark,
			    size_t max, int64_t now, GArray *out);
/* Returns whether there is no change after a mark. */
bool stream_log_is_reported(const struct stream_log *l, uint64_t mark);

/* Drops expired streams and versions. */
void stream_log_expire(struct stream_log *l, int64_t now);
/* Returns the number of streams. */
size_t stream_log_length(const struct stream_log *l);
/* Returns the memory of one stream with its share of the tables, in bytes. */
size_t stream_log_record_bytes(void);

#endif
