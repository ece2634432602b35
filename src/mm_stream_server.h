/* mm_stream_server: the part of the platform stand-in that keeps keyed
   streams and groups, over HTTP:

     PUT    /v1/streams/S/KEY          a value; "ttl_ms" in it: it lapses
     DELETE /v1/streams/S/KEY          drop the key
     GET    /v1/streams/S?from=N&wait_ms=M   records from an offset on
     GET    /v1/streams/S/newest?after=KEY   the newest of each key, paged
     POST   /v1/groups/G/join          {"member","generation","ttl_ms"}
     POST   /v1/groups/G/leave         {"member"}
     GET    /v1/groups/G               who holds partitions
     POST   /v1/store-faults           {"drop_history":true},
                                       {"deal_anew":true}  */
#ifndef MM_STREAM_SERVER_H
#define MM_STREAM_SERVER_H

#include "masticmill.h"

typedef struct mm_stream_server mm_stream_server;

/* How answers leave: the platform stand-in may delay or lose them.  */
typedef void (*mm_stream_answer) (void *ctx, mm_http_request *req,
                                  unsigned status, char *body /* taken */);

mm_stream_server *mm_stream_server_create (struct ev_loop *loop,
                                           mm_stream_answer answer, void *ctx);
void mm_stream_server_destroy (mm_stream_server *s);
bool mm_stream_server_handle (mm_stream_server *s, mm_http_request *req);

#endif /* MM_STREAM_SERVER_H */
