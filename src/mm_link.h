/* mm_link: a TCP connection that carries msgpack objects.  */
#ifndef MM_LINK_H
#define MM_LINK_H

#include "masticmill.h"

#include <msgpack.h>

typedef struct mm_link mm_link;

typedef struct
{
  /* An object was received; returning false closes the link as malformed.
     The object is valid only during the call.  */
  bool (*object) (void *ctx, const msgpack_object *o);
  /* The link has closed and is freed after this call.  */
  void (*closed) (void *ctx, const char *why);
  void *ctx;
} mm_link_events;

mm_link *mm_link_adopt (struct ev_loop *loop, int fd,
                        const mm_link_events *ev); /* of an accepted socket */
mm_link *mm_link_connect (struct ev_loop *loop, const char *addr,
                          const mm_link_events *ev,
                          GError **error); /* to "ip:port", asynchronous */
void mm_link_close (mm_link *link,
                    const char *why); /* calls the closed event */
void mm_link_send (mm_link *link, const msgpack_sbuffer *objects); /* queued */
mm_time_ms mm_link_received_ms (const mm_link *link); /* of the last bytes */
int mm_link_listen (const char *host, uint16_t port,
                    GError **error); /* returns a listening socket, or -1 */

#endif /* MM_LINK_H */
