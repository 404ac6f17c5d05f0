/* Addresses as they are written in settings and messages. */
#ifndef SS_ADDR_H
#define SS_ADDR_H

#include <sapphireshift/base.h>

#include <sys/socket.h>

/* Read "ip:port" or "[ip6]:port"; port 0 lets the kernel choose. */
bool addr_parse(const char *addr, struct sockaddr_storage *ss, int *len);

/* The port that a listening socket got. */
uint16_t addr_port(int fd);

#endif
