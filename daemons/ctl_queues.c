/* masticctl queues set FILE: the queues that instances serve.  */
#include "ctl.h"

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
  GError *err = NULL;
  char *text = ctl_read (file, &err);
  if (!text)
    return ctl_fail (err);
  if (!check (text, &err))
    {
      g_free (text);
      return ctl_fail (err);
    }
  char *url = g_strdup_printf (QUEUES_URL, ctl_platform_url);
  int rc = ctl_send ("PUT", url, text, 5000);
  g_free (url);
  g_free (text);
  return rc;
}
