/* mm_exec_http: calls to upstreams as HTTP with JSON bodies; the names and
   forms are an interface's own.  */
#ifndef MM_EXEC_HTTP_H
#define MM_EXEC_HTTP_H

#include "mm_exec.h"

#include <cJSON.h>

/* One interface's names and forms.  */
typedef struct
{
  const char *start_path;
  const char *stop_path;
  const char *hold_path;
  const char *upstream_header; /* names the incarnation that is meant */
  const char *clock_field;     /* of every answer with a body */
  cJSON *(*order_body) (const mm_order *o);
  cJSON *(*hold_body) (const mm_hold *h);
  /* Of an answer whose status is not 200; MM_CALL_NO_ANSWER when it is
     none of the interface's.  */
  mm_call_verdict (*verdict) (long status, const cJSON *body);
  const char *running_field; /* of a hold's answer: lists of rows */
  const char *ended_field;
  size_t max_ended; /* rows of ends in one answer, 0: all of them */
  bool (*read_running) (const cJSON *row, mm_running *out);
  bool (*read_ended) (const cJSON *row, mm_ended *out);
} mm_exec_wire;

/* A hold's answer.  Allocates both lists of @out, freed with g_free() in
   any case.  */
bool mm_exec_wire_read_lists (const mm_exec_wire *wire, const cJSON *body,
                              mm_hold_result *out);

typedef struct mm_exec_http mm_exec_http;

mm_exec_http *mm_exec_http_create (mm_http_client *client,
                                   const mm_exec_wire *wire);
void mm_exec_http_destroy (mm_exec_http *x);
mm_exec_port mm_exec_http_port (mm_exec_http *x);

#endif /* MM_EXEC_HTTP_H */
