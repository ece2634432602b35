/* mm_front: the HTTP servers for callers and for the load balancer.  The
   handler that is passed to mm_front_create() implements the protocol spoken
   with callers.  */
#ifndef MM_FRONT_H
#define MM_FRONT_H

#include "mm_node.h"

typedef struct mm_front mm_front;

/* Callbacks of the protocol spoken with callers; the context is the
   mm_front.  */
typedef struct
{
  mm_http_handler request; /* handles a request */
  /* Answers a request that can be refused before its body is read.  */
  mm_http_handler admit;
} mm_front_protocol;

/* Starts both servers; returns NULL on error.  @node must outlive the
   mm_front.  */
mm_front *mm_front_create (struct ev_loop *loop, const mm_node_settings *s,
                           mm_node *node, const mm_front_protocol *protocol,
                           GError **error);
void mm_front_destroy (mm_front *f);
/* Returns the instance that receives the jobs.  */
mm_node *mm_front_node (const mm_front *f);
/* From now on closes each caller's connection after its next answer.  */
void mm_front_set_leaving (mm_front *f);
/* Number of open connections of callers.  */
uint32_t mm_front_connections (const mm_front *f);
/* Answers @req with a JSON error body; @retry_after_s in seconds.  */
void mm_front_error (mm_http_request *req, unsigned status, mm_error_code code,
                     const char *why, uint32_t retry_after_s);
/* Answers @req if its caller has left already: the caller may have sent the
   job to another instance, so no task of it may start.  Returns whether it
   has.  */
bool mm_front_refuse_left (mm_http_request *req, const char *job,
                           const char *queue);

#endif /* MM_FRONT_H */
