/* mm_native_exec: encodes the calls to upstreams in the native protocol, and
   decodes their answers.  */
#include "mm_native.h"
#include "mm_run_json.h"

#include <string.h>

/* Returns the verdict in the body of an answer whose HTTP status is not 200,
   MM_CALL_NO_ANSWER when the body has no known verdict.  */
static mm_call_verdict
verdict_of (long status, const cJSON *body)
{
  const char *name = cJSON_GetStringValue (
      cJSON_GetObjectItemCaseSensitive (body, "verdict"));
  for (int v = MM_CALL_OK + 1; name && v < MM_CALL_NO_ANSWER; v++)
    if (strcmp (name, mm_call_verdict_name ((mm_call_verdict)v)) == 0)
      return (mm_call_verdict)v;
  return MM_CALL_NO_ANSWER;
}

const mm_exec_wire mm_native_exec_wire = {
  .start_path = "/v1/runs",
  .stop_path = "/v1/runs/stop",
  .hold_path = "/v1/hold",
  .upstream_header = "X-Masticmill-Upstream",
  .clock_field = "clock_ms",
  .order_body = mm_run_json_order,
  .hold_body = mm_run_json_hold,
  .verdict = verdict_of,
  .running_field = MM_RUN_JSON_RUNNING,
  .ended_field = MM_RUN_JSON_ENDED,
  .read_running = mm_run_json_read_running,
  .read_ended = mm_run_json_read_ended,
};
