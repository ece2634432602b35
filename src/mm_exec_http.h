/* mm_exec_http: calls to upstreams as HTTP with JSON bodies.  An mm_exec_wire
   gives the paths, field names and encodings.  */
#ifndef MM_EXEC_HTTP_H
#define MM_EXEC_HTTP_H

#include "mm_exec.h"

#include <cJSON.h>

/* Paths, field names and encodings of one interface.  */
typedef struct
{
  const char *start_path;
  const char *stop_path;
  const char *hold_path;
  const char *upstream_header; /* names the incarnation that is called */
  const char *clock_field;     /* in every answer with a body */
  const char *reason_field;    /* in the answer to a call that is rejected */
  /* Bodies of an order and of a hold; the caller frees them.  */
  cJSON *(*order_body) (const mm_order *o);
  cJSON *(*hold_body) (const mm_hold *h);
  /* Reads an answer whose status is not 200; returns MM_CALL_NO_ANSWER when
     the interface does not define that answer.  */
  mm_call_verdict (*verdict) (long status, const cJSON *body);
  const char *running_field; /* array of runs in the answer to a hold */
  const char *ended_field;   /* array of ends in the answer to a hold */
  const char *born_field; /* start of the incarnation in the answer to a hold,
                             NULL: not stated */
  size_t max_ended;       /* maximum rows of ends in one answer, 0: no limit */
  /* Read one row; return false when it is invalid.  */
  bool (*read_running) (const cJSON *row, mm_listed_run *out);
  bool (*read_ended) (const cJSON *row, mm_listed_end *out);
} mm_exec_wire;

/* Reads the lists in the answer to a hold.  Allocates both lists of @out,
   which the caller frees with g_free() also after a failure.  Returns false
   when a list or a row is invalid.  */
bool mm_exec_wire_read_lists (const mm_exec_wire *wire, const cJSON *body,
                              mm_hold_result *out);

typedef struct mm_exec_http mm_exec_http;

/* Creates a caller of upstreams with one interface; free with
   mm_exec_http_destroy().  @client and @wire must outlive it.  */
mm_exec_http *mm_exec_http_create (mm_http_client *client,
                                   const mm_exec_wire *wire);
void mm_exec_http_destroy (mm_exec_http *x);
/* The functions for mm_exec_create(); @x must outlive their use.  */
mm_exec_port mm_exec_http_port (mm_exec_http *x);

#endif /* MM_EXEC_HTTP_H */
