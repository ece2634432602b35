/* masticctl queues set FILE: sets the queues that instances serve.  */
#include "ctl.h"

/* URL of the record with the queues, after the platform's base URL.  */
#define QUEUES_URL "%s/v1/streams/config/config"

/* Checks that @text has a version and a list of queues, each with a name and a
   service.  The list replaces the whole one before.  The version is not
   compared with the last one's, although instances ignore a version that is
   not higher.  */
static bool
check_queues (const char *text, GError **error)
{
  cJSON *config = cJSON_Parse (text);
  const cJSON *queues = cJSON_GetObjectItemCaseSensitive (config, "queues");
  bool ok
      = cJSON_IsNumber (cJSON_GetObjectItemCaseSensitive (config, "version"))
        && cJSON_IsArray (queues);
  const cJSON *queue;
  cJSON_ArrayForEach (queue, queues)
    ok = ok
         && cJSON_IsString (cJSON_GetObjectItemCaseSensitive (queue, "name"))
         && cJSON_IsString (
             cJSON_GetObjectItemCaseSensitive (queue, "service"));
  cJSON_Delete (config);
  if (!ok)
    g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_SYNTAX,
                 "expected {\"version\":N,\"queues\":[{\"name\":..,"
                 "\"service\":..},..]}");
  return ok;
}

int
ctl_queues_set (const char *file)
{
  GError *err = NULL;
  char *text = ctl_read_file (file, &err);
  if (!text)
    return ctl_print_error (err);
  if (!check_queues (text, &err))
    {
      g_free (text);
      return ctl_print_error (err);
    }
  char *url = g_strdup_printf (QUEUES_URL, ctl_platform_url);
  int exit_status = ctl_request ("PUT", url, text, 5000);
  g_free (url);
  g_free (text);
  return exit_status;
}
