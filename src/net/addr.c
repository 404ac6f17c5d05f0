/* Parsing of "ip:port" addresses, and listening on them. */
#include "addr.h"

#include <errno.h>
#include <event2/util.h>
#include <netinet/in.h>

bool addr_parse(const char *addr, struct sockaddr_storage *ss, int *len)
{
	const char *colon = strrchr(addr, ':');
	char *ip;
	bool ok;

	if (!colon)
		return false;
	/* evutil_parse_sockaddr_port() rejects port 0. */
	if (strcmp(colon, ":0"))
		return evutil_parse_sockaddr_port(addr, (struct sockaddr *)ss,
						  len) == 0;
	ip = g_strndup(addr, (gsize)(colon - addr));
	ok = evutil_parse_sockaddr_port(ip, (struct sockaddr *)ss, len) == 0;
	g_free(ip);
	return ok;
}

bool addr_check(const char *addr, GError **error)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);

	if (addr_parse(addr, &ss, &len))
		return true;
	g_set_error(error, SS_ERROR, SS_ERROR_SETTINGS,
		    "\"%s\" is not an address; expected ip:port", addr);
	return false;
}

struct evconnlistener *addr_listen(struct event_base *base, const char *addr,
				   int backlog, evconnlistener_cb accepted,
				   void *arg, GError **error)
{
	struct sockaddr_storage ss;
	struct evconnlistener *l;
	int len = sizeof(ss);

	if (!addr_check(addr, error))
		return NULL;
	addr_parse(addr, &ss, &len);
	l = evconnlistener_new_bind(base, accepted, arg,
				    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
				    backlog, (struct sockaddr *)&ss, len);
	if (!l)
		g_set_error(error, SS_ERROR, SS_ERROR_IO, "listen on %s: %s",
			    addr, g_strerror(errno));
	return l;
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
