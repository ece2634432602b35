/* mm_json: the body of error answers of all daemons.  */
#include "masticmill.h"

#include <cJSON.h>

/**
 * mm_json_error_body() - format an error answer as JSON.
 * @code: an mm_error_code.
 * @message: human-readable description of the error.
 * @retry_after_s: seconds after which the caller may retry; 0 leaves the field
 *     out and means that the caller must not retry.
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
