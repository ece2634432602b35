/* mm_link: a TCP connection that carries msgpack objects.  */
#ifndef MM_LINK_H
#define MM_LINK_H

#include "masticmill.h"

#include <msgpack.h>

typedef struct mm_link mm_link;

/* Callbacks of a link.  */
typedef struct
{
  /* An object was received; returning false closes the link as malformed.
     The object is valid only during the call.  */
  bool (*object) (void *ctx, const msgpack_object *o);
  /* The link has closed and is freed after this call.  @why: the reason, as a
     text for the log.  */
  void (*closed) (void *ctx, const char *why);
  void *ctx;
} mm_link_events;

/* Creates a link on a connected or connecting non-blocking socket and takes
   ownership of it; @ev is copied.  The link frees itself when it closes.  */
mm_link *mm_link_adopt (struct ev_loop *loop, int fd,
                        const mm_link_events *ev);
/* Creates a link to "ip:port" and begins to connect; @ev is copied.  Returns
   NULL, with MM_ERROR_IO, when that fails at once; a later failure closes the
   link.  */
mm_link *mm_link_connect (struct ev_loop *loop, const char *addr,
                          const mm_link_events *ev, GError **error);
/* Closes and frees the link, and calls its closed event before it returns.  */
void mm_link_close (mm_link *link, const char *why);
/* Queues packed objects to be sent.  The link closes later, from the event
   loop, when more than MM_LINK_MAX_BYTES are unsent.  */
void mm_link_send (mm_link *link, const msgpack_sbuffer *objects);
/* Returns when bytes were last received, or when the link was created.  */
mm_time_ms mm_link_received_ms (const mm_link *link);
/* Returns a non-blocking socket that listens on an IP address and port, or -1
   with MM_ERROR_IO.  */
int mm_link_listen (const char *host, uint16_t port, GError **error);

#endif /* MM_LINK_H */
