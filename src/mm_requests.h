/* mm_requests: requests to another instance that have no answer yet.  */
#ifndef MM_REQUESTS_H
#define MM_REQUESTS_H

#include "masticmill.h"

typedef struct mm_requests mm_requests;

/* Called once for each request.  @data: the answer of @len bytes, valid during
   the call.  @ok: false if no answer came; whether the request has arrived is
   then unknown.  */
typedef void (*mm_answered) (void *ctx, bool ok, const void *data, size_t len);

mm_requests *mm_requests_create (void);
/* Frees the object; the callbacks of pending requests are not called.  */
void mm_requests_destroy (mm_requests *requests);
/* Adds a request, which fails at the time @expires_ms (mm_clock_now_ms()) if
   it has no answer by then.  Returns its number.  */
uint64_t mm_requests_add (mm_requests *requests, mm_time_ms expires_ms,
                          mm_answered answered, void *ctx);
/* Passes an answer to the request of this number; ignores unknown numbers.  */
void mm_requests_answer (mm_requests *requests, uint64_t number,
                         const void *data, size_t len);
/* Fails all requests that have expired by the time @now.  */
void mm_requests_expire (mm_requests *requests, mm_time_ms now);
/* Fails all pending requests, but not those that callbacks add meanwhile.  */
void mm_requests_fail_all (mm_requests *requests);

#endif /* MM_REQUESTS_H */
