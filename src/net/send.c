/* Writes to a socket without waiting for the event loop. */
#include "send.h"

#include <event2/buffer.h>
#include <sys/socket.h>

void send_now(struct bufferevent *bev, struct ss_str bytes)
{
	struct evbuffer *out = bufferevent_get_output(bev);
	ssize_t n = 0;

	if (evbuffer_get_length(out) == 0)
		n = send(bufferevent_getfd(bev), bytes.p, bytes.n,
			 MSG_NOSIGNAL | MSG_DONTWAIT);
	n = MAX(n, 0);
	if ((size_t)n < bytes.n)
		evbuffer_add(out, bytes.p + n, bytes.n - (size_t)n);
}
