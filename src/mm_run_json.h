/* mm_run_json: start and stop orders, holds and lists of runs in the native
   JSON protocol of the dispatcher and the upstream stand-in.  */
#ifndef MM_RUN_JSON_H
#define MM_RUN_JSON_H

#include "mm_exec.h"

#include <cJSON.h>

/* Resources and run time of a task, which the stand-in reads from the
   payload; the dispatcher passes payloads on unread.  */
typedef struct
{
  mm_resources resources;
  mm_time_ms run_ms;
} mm_run_work;

/* Encode an order or a hold as a JSON object, which the caller frees.  */
cJSON *mm_run_json_order (const mm_order *o);
cJSON *mm_run_json_hold (const mm_hold *h);
/* Decode an order or a hold; return false when @in is malformed.  The task id
   is stored in @task, to which @out points.  The payload points into @in.  */
bool mm_run_json_read_order (const cJSON *in, mm_order *out, mm_task_id *task);
bool mm_run_json_read_hold (const cJSON *in, mm_hold *out);
/* Decodes the payload of a task.  A field that is missing gets its default:
   one slot of cpu, no memory, a run time of 0.  */
void mm_run_json_read_work (const char *payload, mm_run_work *out);
/* Names of the two lists in the answer to a hold.  */
#define MM_RUN_JSON_RUNNING "running"
#define MM_RUN_JSON_ENDED "ended"
/* Encodes the lists of an answer to a hold as a JSON object, which the caller
   frees.  */
cJSON *mm_run_json_hold_result (const mm_hold_result *r);
/* Decode a row of one of the two lists; return false for a malformed row.  */
bool mm_run_json_read_running (const cJSON *row, mm_listed_run *out);
bool mm_run_json_read_ended (const cJSON *row, mm_listed_end *out);

#endif /* MM_RUN_JSON_H */
