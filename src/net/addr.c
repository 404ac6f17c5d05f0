/* Addresses as they are written in settings and messages. */
#include "addr.h"

#include <event2/util.h>
#include <netinet/in.h>

/* As evutil does, but with port 0 allowed. */
bool addr_parse(const char *addr, struct sockaddr_storage *ss, int *len)
{
	const char *colon = strrchr(addr, ':');
	char *ip;
	bool ok;

	if (!colon)
		return false;
	if (strcmp(colon, ":0"))
		return evutil_parse_sockaddr_port(addr, (struct sockaddr *)ss,
						  len) == 0;
	ip = g_strndup(addr, (gsize)(colon - addr));
	ok = evutil_parse_sockaddr_port(ip, (struct sockaddr *)ss, len) == 0;
	g_free(ip);
	return ok;
}

uint16_t addr_port(int fd)
{
	union {
		struct sockaddr sa;
		struct sockaddr_in in;
		struct sockaddr_in6 in6;
	} a;
	socklen_t len = sizeof(a);

	memset(&a, 0, sizeof(a));
	getsockname(fd, &a.sa, &len);
	return ntohs(a.sa.sa_family == AF_INET6 ? a.in6.sin6_port :
						  a.in.sin_port);
}
