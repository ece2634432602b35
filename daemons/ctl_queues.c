/* masticctl queues set FILE | show: the queues that instances serve.  */
#include "ctl.h"

#include <stdio.h>
#include <string.h>

#define QUEUES_URL "%s/v1/streams/config/config"

/* The store takes only whole queues, with a version above the last one's;
   instances ignore an older version.  */
static bool
check (const char *text, GError **error)
{
  cJSON *o = cJSON_Parse (text);
  const cJSON *queues = cJSON_GetObjectItemCaseSensitive (o, "queues");
  bool ok = cJSON_IsNumber (cJSON_GetObjectItemCaseSensitive (o, "version"))
            && cJSON_IsArray (queues);
  const cJSON *q;
  cJSON_ArrayForEach (q, queues)
    ok = ok && cJSON_IsString (cJSON_GetObjectItemCaseSensitive (q, "name"))
         && cJSON_IsString (cJSON_GetObjectItemCaseSensitive (q, "service"));
  cJSON_Delete (o);
  if (!ok)
    g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_SYNTAX,
                 "want {\"version\":N,\"queues\":[{\"name\":..,"
                 "\"service\":..},..]}");
  return ok;
}

int
ctl_queues_set (const char *file)
{
  char *text = NULL;
  GError *err = NULL;
  if (!g_file_get_contents (file, &text, NULL, &err))
    return ctl_fail (g_error_new (MM_ERROR, MM_ERROR_IO, "%s", err->message));
  if (!check (text, &err))
    return ctl_fail (err);
  long status = 0;
  char *url = g_strdup_printf (QUEUES_URL, ctl_platform_url);
  char *answer = mm_http_call_sync ("PUT", url, text, 5000, &status, &err);
  g_free (url);
  g_free (text);
  if (!answer)
    return ctl_fail (err);
  printf ("%s\n", answer);
  g_free (answer);
  return status == 200 ? 0 : 1;
}
