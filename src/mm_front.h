/* mm_front: the sockets that callers and the balancer use, whatever the
   interface that is spoken on them.  */
#ifndef MM_FRONT_H
#define MM_FRONT_H

#include "mm_node.h"

typedef struct mm_front mm_front;

/* @handler gets the front as its context.  */
mm_front *mm_front_create (struct ev_loop *loop, const mm_node_settings *s,
                           mm_node *node, mm_http_handler handler,
                           GError **error);
void mm_front_destroy (mm_front *f);
mm_node *mm_front_node (const mm_front *f);
void mm_front_set_leaving (mm_front *f); /* close with each answer */
uint32_t mm_front_connections (const mm_front *f);
void mm_front_error (mm_http_request *req, unsigned status, mm_error_code code,
                     const char *why,
                     uint32_t retry_after_s); /* a JSON error answer */

#endif /* MM_FRONT_H */
