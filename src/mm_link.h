/* mm_link: a TCP connection that carries msgpack objects.  */
#ifndef MM_LINK_H
#define MM_LINK_H

#include "masticmill.h"

#include <msgpack.h>

typedef struct mm_link mm_link;

typedef struct
{
  /* An object came; false closes the link as malformed.  The object lives
     only during the call.  */
  bool (*object) (void *ctx, const msgpack_object *o);
  /* The link is closed and is freed after this call.  */
  void (*closed) (void *ctx, const char *why);
  void *ctx;
} mm_link_events;

mm_link *mm_link_adopt (struct ev_loop *loop, int fd,
                        const mm_link_events *ev); /* accepted socket */
mm_link *mm_link_connect (struct ev_loop *loop, const char *addr,
                          const mm_link_events *ev,
                          GError **error); /* to "ip:port", in background */
void mm_link_close (mm_link *l, const char *why); /* calls closed */
void mm_link_send (mm_link *l, const msgpack_sbuffer *objects); /* queue */
mm_time_ms mm_link_heard_ms (const mm_link *l); /* when bytes last came */
int mm_link_listen (const char *host, uint16_t port,
                    GError **error); /* listening socket, or -1 */

#endif /* MM_LINK_H */
