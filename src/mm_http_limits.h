/* mm_http_limits: what the callers of an HTTP server may cost.  */
#ifndef MM_HTTP_LIMITS_H
#define MM_HTTP_LIMITS_H

#include "masticmill.h"
#include "mm_budget.h"

typedef struct
{
  uint32_t connections; /* most open connections */
  bool close_answered;  /* a connection is closed after its first answer */
  mm_budget *budget;    /* of memory, shared by all servers; NULL: no limit */
  /* Called with each request that has a body, before that is read; may answer
     it with mm_http_reply(), and the connection is then closed.  NULL: none.
     The context is that of the server's handler.  */
  mm_http_handler admit;
} mm_http_limits;

/* Returns how many connections callers may have: half of the sockets, and no
   more than their memory allows, less @others for other servers.  The other
   half of the sockets is for upstreams, other instances and the store.
   @descriptors: of the process, which may have less.  */
uint32_t mm_http_limits_connections (int64_t descriptors,
                                     const mm_budget *budget, uint32_t others);
/* Sets the limits from now on; @limits is copied.  */
void mm_http_server_set_limits (mm_http_server *s,
                                const mm_http_limits *limits);

#endif /* MM_HTTP_LIMITS_H */
