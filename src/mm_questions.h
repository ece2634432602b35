/* mm_requests: requests to another instance that have no answer yet.  */
#ifndef MM_QUESTIONS_H
#define MM_QUESTIONS_H

#include "masticmill.h"

typedef struct mm_questions mm_questions;

/* Called once for each request.  @ok: false if no answer came; whether the
   request has arrived is then unknown.  */
typedef void (*mm_told) (void *ctx, bool ok, const void *data, size_t len);

mm_questions *mm_questions_create (void);
/* Calls none of the callbacks of pending requests.  */
void mm_questions_destroy (mm_questions *requests);
/* Adds a request and returns its number.  */
uint64_t mm_questions_add (mm_questions *requests, mm_time_ms expires_ms,
                           mm_told answered, void *ctx);
/* Passes an answer to the request of this number; ignores unknown numbers.  */
void mm_questions_answer (mm_questions *requests, uint64_t number,
                          const void *data, size_t len);
/* Fails all requests that have expired.  */
void mm_questions_expire (mm_questions *requests, mm_time_ms now);
/* Fails all pending requests, but not those that callbacks add meanwhile.  */
void mm_questions_fail_all (mm_questions *requests);

#endif /* MM_QUESTIONS_H */
