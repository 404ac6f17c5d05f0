/* Parsing of "ip:port" addresses, and listening on them. */
#ifndef SS_ADDR_H
#define SS_ADDR_H

#include <event2/listener.h>
#include <sapphireshift/base.h>
#include <sys/socket.h>

/* Parses "ip:port" or "[ip6]:port". Port 0 is allowed: the kernel chooses one
 * on listen. */
bool addr_parse(const char *addr, struct sockaddr_storage *ss, int *len);

/* Checks an address. On failure, SS_ERROR_SETTINGS with the expected format. */
bool addr_check(const char *addr, GError **error);

/*
 * Listens on an address. backlog: as for listen(2), -1 for libevent's default.
 * NULL with SS_ERROR_SETTINGS or SS_ERROR_IO.
 */
struct evconnlistener *addr_listen(struct event_base *base, const char *addr,
				   int backlog, evconnlistener_cb accepted,
				   void *arg, GError **error);

/* Returns the port that a socket is bound to. */
uint16_t addr_port(int fd);

#endif
