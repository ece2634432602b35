/* mm_store_http: calls to a store over HTTP.

   Each protocol of a store builds its own paths and bodies, and reads the
   answers in a callback @done, which passes the result on.  */
#ifndef MM_STORE_HTTP_H
#define MM_STORE_HTTP_H

#include "mm_store.h"

#include <cJSON.h>

typedef struct mm_store_http mm_store_http;

/* A call without an answer yet; exactly one of the callbacks is set.  */
typedef struct
{
  mm_stream_kind kind;  /* with stream_answered */
  uint64_t from_offset; /* with stream_answered: requested offset */
  mm_stream_answered stream_answered;
  mm_join_answered join_answered;
  mm_members_answered members_answered;
  mm_append_answered append_answered;
  mm_records_answered records_answered;
  void *ctx; /* argument of the callback */
  /* Set by mm_store_http_send().  */
  mm_store_http *store;
  mm_http_done done;
} mm_store_call;

/* @client and @config_client, which is used for the reads of the configuration
   alone, must outlive the returned object; @addr: the store's "ip:port".  Free
   with mm_store_http_destroy().  */
mm_store_http *mm_store_http_create (mm_http_client *client,
                                     mm_http_client *config_client,
                                     const char *addr);
void mm_store_http_destroy (mm_store_http *s);
/* Sends a call.  Takes ownership of @path and @body (NULL: none).  @done is
   called with a copy of @call, which an mm_store_answer_*() function frees. */
void mm_store_http_send (mm_store_http *s, const char *method, char *path,
                         cJSON *body, mm_time_ms timeout_ms, mm_http_done done,
                         const mm_store_call *call);
/* Like mm_store_http_send(), with a body that is not JSON.  Takes ownership of
   @path, not of @body.  */
void mm_store_http_send_bytes (mm_store_http *s, const char *method,
                               char *path, const GByteArray *body,
                               mm_time_ms timeout_ms, mm_http_done done,
                               const mm_store_call *call);

/* ---- for the callback @done ---- */

bool mm_store_http_ok (const mm_http_result *res); /* has status 200 */
GArray *mm_store_items_new (void);                 /* of mm_stream_item */
GArray *mm_store_records_new (void);               /* of mm_record */
GArray *mm_store_holders_new (void);               /* of mm_partition_holder */
/* The functions below pass a result on to the callback of @call, with the
   reason if the call failed, and free @call.  They take ownership of their
   arrays, and set the fields of @r that point to them.  */
void mm_store_answer_stream (mm_store_call *call, const mm_http_result *res,
                             mm_stream_result *r, GArray *items);
/* @partitions: of uint32_t.  */
void mm_store_answer_join (mm_store_call *call, const mm_http_result *res,
                           mm_join_result *r, GArray *partitions);
/* @holders: NULL if the call failed.  */
void mm_store_answer_members (mm_store_call *call, const mm_http_result *res,
                              GArray *holders);
void mm_store_answer_append (mm_store_call *call, const mm_http_result *res,
                             mm_append_result *r);
void mm_store_answer_records (mm_store_call *call, const mm_http_result *res,
                              mm_records_result *r, GArray *records);

#endif /* MM_STORE_HTTP_H */
