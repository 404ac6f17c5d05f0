/* Structured log lines through log4c. */
#include "log.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>

#define LINE_MAX_BYTES 1024

static const int priorities[] = {
	[LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
	[LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
	[LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
	[LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

/* log4c keeps its categories for the whole process, and so this is too. */
static log4c_category_t *category;
static char *node_name;

static const char *format(const log4c_layout_t *layout,
			  const log4c_logging_event_t *e)
{
	static char line[LINE_MAX_BYTES];
	char stamp[32];
	struct tm tm;
	time_t sec = e->evt_timestamp.tv_sec;

	(void)layout;
	gmtime_r(&sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(line, sizeof(line), "ts=%s.%03dZ level=%s node=%s %s\n", stamp,
		 (int)(e->evt_timestamp.tv_usec / 1000),
		 log4c_priority_to_string(e->evt_priority),
		 node_name ? node_name : "-", e->evt_msg);
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
	appender = log4c_appender_get("stderr");
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
	char text[LINE_MAX_BYTES / 2];
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
