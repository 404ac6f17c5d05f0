/* Calls on a socket that do not wait for the event loop. */
#include "send.h"

#include <errno.h>
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

bool has_no_input(struct bufferevent *bev)
{
	char c;

	if (evbuffer_get_length(bufferevent_get_input(bev)) > 0)
		return false;
	return recv(bufferevent_getfd(bev), &c, 1, MSG_PEEK | MSG_DONTWAIT) <
		       0 &&
	       (errno == EAGAIN || errno == EWOULDBLOCK);
}
