/* Conversion of milliseconds for the event loop's timers and for sockets. */
#ifndef SS_TIMEVAL_H
#define SS_TIMEVAL_H

#include <stdint.h>
#include <sys/time.h>

static inline struct timeval timeval_from_ms(int64_t ms)
{
	struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };

	return tv;
}

#endif
