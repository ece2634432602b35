/* mm_json: the error body every daemon answers with.  */
#include "masticmill.h"

#include <cJSON.h>

/**
 * mm_json_error_body() - a JSON error answer.
 * @code: an mm_error_code.
 * @message: what went wrong, for people.
 * @retry_after_s: when to come back, 0 for never.
 *
 * Return: {"status":"failed","error":{"code":..,"message":..},
 * "retry_after_s":..}, newly allocated, free with free().
 */
char *
mm_json_error_body (int code, const char *message, uint32_t retry_after_s)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON_AddStringToObject (o, "status", "failed");
  cJSON *e = cJSON_AddObjectToObject (o, "error");
  cJSON_AddStringToObject (e, "code", mm_error_code_name (code));
  cJSON_AddStringToObject (e, "message", message);
  if (retry_after_s)
    cJSON_AddNumberToObject (o, "retry_after_s", retry_after_s);
  char *s = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  return s;
}
