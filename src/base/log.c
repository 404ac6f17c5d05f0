/* Structured, rate-limited log lines through log4c. */
#include "log.h"

#include <log4c.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

/*
 * Below PIPE_BUF: a write of a whole line to a pipe is atomic, and doesn't
 * block once poll() reports the pipe as writable.
 */
#define LINE_MAX_BYTES 1024
/* Part of a line that is reserved for time, level, node and event. */
#define LINE_HEAD_BYTES 128
/*
 * Token bucket for lines. An entry writes one line per request, so the rate is
 * twice an entry's design load; the burst covers a few seconds at that rate.
 */
#define LINES_PER_S 400
#define LINE_BURST 2000

static const int priorities[] = {
	[LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
	[LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
	[LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
	[LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

/* Global, as log4c's own categories are process-wide. */
static log4c_category_t *category;
static char *node_name;

/* Token bucket state, and lines dropped since the last reported count. */
static double tokens = LINE_BURST;
static int64_t tokens_ms;
static uint64_t dropped_lines;

/* Checked before each write, so that a stalled reader blocks nothing. */
static bool stdout_writable(void)
{
	struct pollfd p = { .fd = STDOUT_FILENO, .events = POLLOUT };

	return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT);
}

static bool take_token(void)
{
	struct ss_clock c;
	int64_t now;

	ss_clock_init(&c);
	now = ss_clock_now(&c);
	tokens = MIN(tokens + (double)(now - tokens_ms) * LINES_PER_S / 1000.0,
		     LINE_BURST);
	tokens_ms = now;
	if (tokens < 1)
		return false;
	tokens -= 1;
	return true;
}

static int append(log4c_appender_t *a, const log4c_logging_event_t *e)
{
	char note[64];

	(void)a;
	if (!take_token() || !stdout_writable()) {
		dropped_lines++;
		return 0;
	}
	if (dropped_lines) {
		int n = snprintf(note, sizeof(note),
				 "event=log_left_out lines=%" PRIu64 "\n",
				 dropped_lines);

		dropped_lines = 0;
		if (write(STDOUT_FILENO, note, (size_t)n) < 0)
			dropped_lines++;
	}
	if (write(STDOUT_FILENO, e->evt_rendered_msg,
		  strlen(e->evt_rendered_msg)) < 0)
		dropped_lines++;
	return 0;
}

static const log4c_appender_type_t appender_type = { .name = "bounded",
						     .append = append };

static const char *format(const log4c_layout_t *layout,
			  const log4c_logging_event_t *e)
{
	static char line[LINE_MAX_BYTES];
	char timestamp[32];
	struct tm tm;
	time_t sec = e->evt_timestamp.tv_sec;
	int n;

	(void)layout;
	gmtime_r(&sec, &tm);
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &tm);
	n = snprintf(line, sizeof(line), "ts=%s.%03dZ level=%s node=%s %s\n",
		     timestamp, (int)(e->evt_timestamp.tv_usec / 1000),
		     log4c_priority_to_string(e->evt_priority),
		     node_name ? node_name : "-", e->evt_msg);
	/* A truncated line must still end in a newline. */
	if (n >= (int)sizeof(line))
		line[sizeof(line) - 2] = '\n';
	return line;
}

static const log4c_layout_type_t layout_type = { .name = "sapphireshift",
						 .format = format };

void log_open(const char *node, const char *level)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;
	int priority = log4c_priority_to_int(level);

	log4c_init();
	g_free(node_name);
	node_name = g_strdup(node);
	log4c_layout_type_set(&layout_type);
	layout = log4c_layout_get("sapphireshift");
	log4c_layout_set_type(layout, &layout_type);
	log4c_appender_type_set(&appender_type);
	appender = log4c_appender_get("sapphireshift");
	log4c_appender_set_type(appender, &appender_type);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get("sapphireshift");
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, priority);
}

void log_close(void)
{
	category = NULL;
	g_clear_pointer(&node_name, g_free);
	log4c_fini();
}

void log_event(int level, const char *event, const char *fmt, ...)
{
	char text[LINE_MAX_BYTES - LINE_HEAD_BYTES];
	va_list ap;

	if (!category ||
	    !log4c_category_is_priority_enabled(category, priorities[level]))
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	log4c_category_log(category, priorities[level], "event=%s %s", event,
			   text);
}
