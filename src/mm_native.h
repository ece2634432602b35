/* mm_native: the native protocol, as ports of the core.

   Carries calls to upstreams and to the store, and callers' jobs at
   POST /v1/jobs.  The stand-ins of this project speak this protocol; platform/
   implements the same ports for the platform of the users.  */
#ifndef MM_NATIVE_H
#define MM_NATIVE_H

#include "mm_exec_http.h"
#include "mm_front.h"
#include "mm_store_http.h"

/* ---- mm_native_exec: calls to upstreams ---- */
extern const mm_exec_wire mm_native_exec_wire;

/* ---- mm_native_store: calls to the store ----
   @s must outlive the port.  */
/* Beginning of a key in the stream of the configuration; the data centre to be
   evacuated follows.  */
#define MM_NATIVE_EVACUATE_PREFIX "evacuate/"
mm_store_port mm_native_store_port (mm_store_http *s);

/* ---- mm_native_front: callers' jobs ---- */
/* Handles a request of a caller, an mm_http_handler.  */
void mm_native_front_request (mm_http_request *req, void *ctx /* mm_front */);
/* Refuses a request that can be refused before its body is read.  */
void mm_native_front_admit (mm_http_request *req, void *ctx /* mm_front */);
/* Returns the job in a JSON body, free with mm_submission_free(); or NULL on
   error.  Sets @caller_timeout_ms to the earliest deadline of the job's
   tasks.  */
mm_submission *mm_native_submission_parse (const char *body, size_t len,
                                           mm_time_ms *caller_timeout_ms,
                                           GError **error);

#endif /* MM_NATIVE_H */
