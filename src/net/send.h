/* Calls on a socket that do not wait for the event loop. */
#ifndef SS_SEND_H
#define SS_SEND_H

#include <event2/bufferevent.h>
#include <sapphireshift/base.h>

/*
 * Sends on a connected bufferevent immediately. Leaving the write to the event
 * loop would cost two more system calls, an eighth of the CPU time of a stream
 * event, to wait until the socket is writable, which it nearly always is. Bytes
 * that the socket doesn't accept, and errors, are left to the loop.
 */
void send_now(struct bufferevent *bev, struct ss_str bytes);

/*
 * Returns true if nothing can be read from a connected bufferevent, not even
 * its end. Before a request is sent on a connection that was used before: input
 * would be taken for its answer, and after a close it would be unknown whether
 * the request arrived.
 */
bool has_no_input(struct bufferevent *bev);

#endif
