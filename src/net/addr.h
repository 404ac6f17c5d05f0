/* Addresses as they are written in settings and messages. */
#ifndef SS_ADDR_H
#define SS_ADDR_H

#include <event2/listener.h>
#include <sapphireshift/base.h>
#include <sys/socket.h>

/* Read "ip:port" or "[ip6]:port"; port 0 lets the kernel choose. */
bool addr_parse(const char *addr, struct sockaddr_storage *ss, int *len);

/* The same; false with SS_ERROR_SETTINGS and what to write instead. */
bool addr_check(const char *addr, GError **error);

/*
 * Accept on an address. backlog: connections that may wait, -1: the library's
 * number. NULL with SS_ERROR_SETTINGS or SS_ERROR_IO.
 */
struct evconnlistener *addr_listen(struct event_base *base, const char *addr,
				   int backlog, evconnlistener_cb accepted,
				   void *arg, GError **error);

/* The port that a listening socket got. */
uint16_t addr_port(int fd);

#endif
