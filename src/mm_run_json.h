/* mm_run_json: orders, holds and lists of runs in our own JSON, as the
   dispatcher and the upstream stand-in exchange them.  */
#ifndef MM_RUN_JSON_H
#define MM_RUN_JSON_H

#include "mm_exec.h"

#include <cJSON.h>

/* What a task needs and how long it runs, as the stand-in reads it from
   a payload; the dispatcher only passes payloads on.  */
typedef struct
{
  mm_resources need;
  mm_time_ms run_ms;
} mm_run_work;

cJSON *mm_run_json_order (const mm_order *o);
cJSON *mm_run_json_hold (const mm_hold *h);
/* Strings of @out point into @in.  */
bool mm_run_json_read_order (const cJSON *in, mm_order *out, mm_task_id *task);
bool mm_run_json_read_hold (const cJSON *in, mm_hold *out);
void mm_run_json_read_work (const char *payload, mm_run_work *out);
/* A hold's answer: lists of rows under these names.  */
#define MM_RUN_JSON_RUNNING "running"
#define MM_RUN_JSON_ENDED "ended"
cJSON *mm_run_json_lists (const mm_hold_result *r);
bool mm_run_json_read_running (const cJSON *row, mm_listed_run *out);
bool mm_run_json_read_ended (const cJSON *row, mm_listed_end *out);

#endif /* MM_RUN_JSON_H */
