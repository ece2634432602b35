/* ctl: functions that masticctl's commands share.  */
#include "ctl.h"

#include <stdio.h>

const char *ctl_platform_url = "http://127.0.0.1:7000";
const char *ctl_entry_url = "http://127.0.0.1:7100";

int
ctl_print_error (GError *err)
{
  fprintf (stderr, "masticctl: %s: %s\n", mm_error_code_name (err->code),
           err->message);
  g_error_free (err);
  return 1;
}

int
ctl_usage (void)
{
  fprintf (
      stderr,
      "Usage: masticctl [--platform URL] [--entry URL] COMMAND ...\n"
      "  job submit FILE\n"
      "  config publish BASE [SITE=OVERLAY]... [--wait-ms N]\n"
      "  config show\n"
      "  status [--json]\n"
      "  dump HOST:PORT\n"
      "  queues set FILE        what instances serve (JSON)\n"
      "  evacuation begin|end DATACENTRE\n"
      "                         start no tasks there, or start them again\n"
      "  evacuation show HOST:PORT...\n"
      "                         what is evacuated, and what still runs there\n"
      "  explain ID [FILE]...   why a job ended as it did, from the logs\n"
      "                         of several instances (or standard input)\n"
      "  model [--sweep] FILE   compare ways to decide on a load (TOML), or\n"
      "                         on 0.5 to 3 times its jobs\n"
      "  top HOST:PORT...       live metrics of instances\n"
      "  events                 list the events that instances log\n"
      "  fault HOST:PORT JSON   (platform: /v1/faults, upstream: "
      "/v1/mode)\n"
      "  bench [--jobs N] [--tasks N] [--concurrency N] [--run-ms N]\n"
      "        [--deadline-ms N] [--non-idempotent F] [--seed N]\n"
      "        [--entries URL,URL]\n"
      "        [--site lima|buenos-aires --seconds N [--scale F]]\n");
  return 2;
}

char *
ctl_get (const char *url, GError **error)
{
  long status = 0;
  char *body = mm_http_call_sync ("GET", url, NULL, 5000, &status, error);
  if (body && status != 200)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_IO, "%s answered %ld: %s", url,
                   status, body);
      g_free (body);
      return NULL;
    }
  return body;
}

char *
ctl_read_file (const char *file, GError **error)
{
  char *text = NULL;
  GError *err = NULL;
  if (!g_file_get_contents (file, &text, NULL, &err))
    {
      g_set_error (error, MM_ERROR, MM_ERROR_IO, "%s", err->message);
      g_error_free (err);
    }
  return text;
}

int
ctl_request (const char *method, const char *url, const char *text,
             int64_t timeout_ms)
{
  GError *err = NULL;
  long status = 0;
  char *answer
      = mm_http_call_sync (method, url, text, timeout_ms, &status, &err);
  if (!answer)
    return ctl_print_error (err);
  printf ("%s\n", answer);
  g_free (answer);
  return status == 200 ? 0 : 1;
}

cJSON *
ctl_members (GError **error)
{
  char *url = g_strdup_printf ("%s/v1/members", ctl_platform_url);
  char *body = ctl_get (url, error);
  g_free (url);
  if (!body)
    return NULL;
  cJSON *list = cJSON_Parse (body);
  g_free (body);
  return list;
}

const char *
ctl_json_text (const cJSON *o, const char *key)
{
  const char *t = cJSON_GetStringValue (cJSON_GetObjectItem (o, key));
  return t ? t : "-";
}
