/* Clocks, error names and unique ids. */
#include <sapphireshift/base.h>

#include <errno.h>
#include <stdlib.h>
#include <sys/random.h>
#include <time.h>

G_DEFINE_QUARK(ss - error - quark, ss_error)

static const char *const error_names[SS_ERROR_CODES] = {
	[SS_ERROR_IO] = "io_error",
	[SS_ERROR_DISK_FULL] = "disk_full",
	[SS_ERROR_CORRUPT] = "corrupt",
	[SS_ERROR_SETTINGS] = "bad_settings",
	[SS_ERROR_FRAME] = "bad_frame",
	[SS_ERROR_VERSION] = "version_mismatch",
	[SS_ERROR_TOO_LARGE] = "too_large",
	[SS_ERROR_BAD_REQUEST] = "bad_request",
	[SS_ERROR_AUTH] = "unauthorized",
	[SS_ERROR_UNKNOWN_MODEL] = "unknown_model",
	[SS_ERROR_UNKNOWN_POOL] = "unknown_pool",
	[SS_ERROR_CONFLICT] = "conflict",
	[SS_ERROR_NOT_FOUND] = "not_found",
	[SS_ERROR_NOT_LEADER] = "not_leader",
	[SS_ERROR_UNAVAILABLE] = "unavailable",
	[SS_ERROR_DEADLINE] = "deadline",
	[SS_ERROR_OVERLOAD] = "overload",
	[SS_ERROR_FENCED] = "fenced",
	[SS_ERROR_MEMORY] = "no_memory",
	[SS_ERROR_DRAINING] = "draining",
	[SS_ERROR_CANCELLED] = "cancelled",
	[SS_ERROR_LOST] = "outcome_unknown",
	[SS_ERROR_ENDPOINT] = "endpoint_error",
};

const char *ss_error_name(enum ss_error code)
{
	if ((unsigned int)code >= SS_ERROR_CODES)
		return "internal";
	return error_names[code];
}

static int64_t clock_ms(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int64_t monotonic_now(const struct ss_clock *c)
{
	(void)c;
	return clock_ms(CLOCK_MONOTONIC);
}

void ss_clock_init(struct ss_clock *c)
{
	c->now_ms = monotonic_now;
	c->fake_ms = 0;
}

int64_t ss_wall_ms(void)
{
	return clock_ms(CLOCK_REALTIME);
}

struct ss_wall ss_wall_now(void)
{
	struct ss_wall w = { .ms = ss_wall_ms() };
	time_t sec = (time_t)(w.ms / 1000);
	struct tm tm;

	localtime_r(&sec, &tm);
	w.utc_offset_ms = (int64_t)tm.tm_gmtoff * 1000;
	return w;
}

uint64_t ss_unique_id(void)
{
	uint64_t id = 0;

	/* 0 is reserved throughout to mean "no id". */
	while (id == 0) {
		if (getrandom(&id, sizeof(id), 0) != sizeof(id))
			abort();
	}
	return id;
}
