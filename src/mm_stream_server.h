/* mm_stream_server: the component of the platform stand-in that keeps keyed
   streams and groups, over HTTP:

     PUT    /v1/streams/S/KEY          set a value, which expires after the
                                       "ttl_ms" that it may contain
     DELETE /v1/streams/S/KEY          drop the key
     POST   /v1/streams/S/append       append the records of one writer:
                                       {"epoch","seq","records"}
     GET    /v1/streams/S?from=N&wait_ms=M&max_bytes=B   records from an
                                       offset on
     GET    /v1/streams/S/newest?after=KEY   newest record of each key, paged
     POST   /v1/groups/G/join          {"member","generation","ttl_ms"}
     POST   /v1/groups/G/leave         {"member"}
     GET    /v1/groups/G               the holders of the partitions
     POST   /v1/store-faults           {"drop_history":true} drops the history
                                       of all streams, {"deal_anew":true}
                                       reassigns the partitions of all groups
                                       at once  */
#ifndef MM_STREAM_SERVER_H
#define MM_STREAM_SERVER_H

#include "masticmill.h"

typedef struct mm_stream_server mm_stream_server;

/* Sends the answer to a request: an HTTP status and a JSON body, which is
   freed.  The platform stand-in may delay or lose the answer.  */
typedef void (*mm_stream_answer) (void *ctx, mm_http_request *req,
                                  unsigned status, char *body);

/* Starts the component on an event loop.  @answer, called with @ctx, sends its
   answers.  Return: the component; free it with mm_stream_server_destroy(). */
mm_stream_server *mm_stream_server_create (struct ev_loop *loop,
                                           mm_stream_answer answer, void *ctx);
void mm_stream_server_destroy (mm_stream_server *s);
/* Handles a request whose path is listed above; returns false for others.  */
bool mm_stream_server_handle (mm_stream_server *s, mm_http_request *req);

#endif /* MM_STREAM_SERVER_H */
