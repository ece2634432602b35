/* mm_http_listener: a listening socket that accepts a bounded number of
   connections in one iteration of the event loop.  */
#ifndef MM_HTTP_LISTENER_H
#define MM_HTTP_LISTENER_H

#include "masticmill.h"

#include <sys/socket.h>

typedef struct mm_http_listener mm_http_listener;

typedef struct
{
  /* Takes a new connection.  */
  void (*accepted) (void *ctx, int fd, const struct sockaddr *addr,
                    socklen_t len);
  /* Called after the connections of an iteration were accepted.  */
  void (*accepted_all) (void *ctx);
  /* No descriptor is left: closes a connection, if one can be closed.  */
  void (*exhausted) (void *ctx);
  void *ctx;
} mm_http_listener_events;

/* Listens at @host:@port, 0 for any port.  @ev is copied.  Returns NULL with
   MM_ERROR_IO when the address is invalid or cannot be bound.  */
mm_http_listener *mm_http_listener_create (struct ev_loop *loop,
                                           const char *host, uint16_t port,
                                           const mm_http_listener_events *ev,
                                           GError **error);
void mm_http_listener_destroy (mm_http_listener *l); /* stops listening */
uint16_t mm_http_listener_port (const mm_http_listener *l);

#endif /* MM_HTTP_LISTENER_H */
