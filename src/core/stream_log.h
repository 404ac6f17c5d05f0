/*
 * Which software version began a stream, for those who are to go on with it.
 *
 * A caller whose stream breaks off takes it up at any entry, and names the
 * request that began it. What the endpoints of two versions write doesn't fit
 * together, so each stream that may be resumed is noted where it is sent, by a
 * hash of its request's id, and told to the leader and its followers. Beside
 * that a log knows which versions have served of late: of a stream that nobody
 * noted, one that was alone must have begun it.
 *
 * Bounded: the oldest goes. Pure; times are the caller's.
 */
#ifndef SS_STREAM_LOG_H
#define SS_STREAM_LOG_H

#include <sapphireshift/base.h>

/* No stream is taken up later after it began, in ms: longer than any caller
 * waits. */
#define STREAM_LIFE_MOST_MS 60000
/* Streams that a process keeps: those of a minute at a thousand a second, in
 * some 6 MB. */
#define STREAM_LOG_MOST 65536

struct stream_log;

/* A stream, or with key 0 that a version serves. */
struct stream_item {
	uint64_t key;
	const char *service, *version; /* views, until the log changes */
	int64_t left_ms;	       /* of its life */
};

struct stream_log *stream_log_new(size_t most);
void stream_log_free(struct stream_log *l);

/* Of a request's id, and the customer who sent it: nobody else takes it up. */
uint64_t stream_key(struct ss_str customer, struct ss_str id);

/* A newer word on a stream replaces the older one. */
void stream_log_add(struct stream_log *l, const struct stream_item *x,
		    int64_t now);
bool stream_log_find(const struct stream_log *l, uint64_t key, int64_t now,
		     struct stream_item *out);
/* The one version of a service that has served within STREAM_LIFE_MOST_MS;
 * NULL: there were several, or none is known. */
const char *stream_log_only(const struct stream_log *l, const char *service,
			    int64_t now);

/* When a version was last said to serve, by the clock; 0: never, or too long
 * ago. */
int64_t stream_log_seen(const struct stream_log *l, const char *service,
			const char *version);

/*
 * What is newer than a mark, oldest first, as struct stream_item and at most so
 * many; returns the mark that includes them. Mark 0 is before everything.
 */
uint64_t stream_log_news(const struct stream_log *l, uint64_t mark, size_t most,
			 int64_t now, GArray *out);
/* True where there is nothing newer. */
bool stream_log_told(const struct stream_log *l, uint64_t mark);

/* Forget what is over. */
void stream_log_tidy(struct stream_log *l, int64_t now);
size_t stream_log_length(const struct stream_log *l);
/* Memory of one stream, with its place in the tables; in bytes. */
size_t stream_log_bytes(void);

#endif
