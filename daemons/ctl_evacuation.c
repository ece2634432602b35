/* masticctl evacuation: evacuates data centres and shows which are.  */
#include "ctl.h"

#include <stdio.h>
#include <string.h>

/* URL of the request to evacuate a data centre, after the platform's base
   URL.  */
#define REQUEST_URL "%s/v1/streams/config/evacuate/%s"

/* Sends the request for @datacentre, or removes it.  Return: exit status.  */
static int
change_request (const char *method, const char *datacentre, const char *body)
{
  char *name = g_uri_escape_string (datacentre, NULL, FALSE);
  char *url = g_strdup_printf (REQUEST_URL, ctl_platform_url, name);
  int exit_status = ctl_request (method, url, body, 5000);
  g_free (url);
  g_free (name);
  return exit_status;
}

/* Returns a number in @o, 0 when it is missing.  */
static double
number_in (const cJSON *o, const char *name)
{
  const cJSON *f = cJSON_GetObjectItemCaseSensitive (o, name);
  return cJSON_IsNumber (f) ? f->valuedouble : 0;
}

/* Prints the rows of an instance, or why its state cannot be read.  Returns
   whether it was read.  */
static bool
print_instance (const char *addr)
{
  GError *err = NULL;
  char *url = g_strdup_printf ("http://%s/", addr);
  char *text = ctl_get (url, &err);
  g_free (url);
  if (!text)
    {
      printf ("%-24s %s\n", addr, err->message);
      g_error_free (err);
      return false;
    }
  cJSON *state = cJSON_Parse (text);
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (state, "evacuations");
  const cJSON *row;
  cJSON_ArrayForEach (row, list)
    printf ("%-24s %-20s %10.1f %10.1f %10.0f %6.0f\n", addr,
            ctl_json_text (row, "datacentre"),
            number_in (row, "for_ms") / 1000,
            number_in (state, "evacuations_age_ms") / 1000,
            number_in (row, "upstreams"), number_in (row, "runs"));
  if (cJSON_GetArraySize (list) == 0)
    printf ("%-24s %-20s\n", addr, "none");
  cJSON_Delete (state);
  g_free (text);
  return true;
}

static int
show (int argc, char **argv)
{
  printf ("%-24s %-20s %10s %10s %10s %6s\n", "INSTANCE", "EVACUATED", "FOR-S",
          "READ-S-AGO", "UPSTREAMS", "RUNS");
  bool ok = true;
  for (int i = 0; i < argc; i++)
    ok = print_instance (argv[i]) && ok;
  return ok ? 0 : 1;
}

int
ctl_evacuation (int argc, char **argv)
{
  if (argc == 2 && strcmp (argv[0], "begin") == 0)
    return change_request ("PUT", argv[1], "{}");
  if (argc == 2 && strcmp (argv[0], "end") == 0)
    return change_request ("DELETE", argv[1], NULL);
  if (argc >= 2 && strcmp (argv[0], "show") == 0)
    return show (argc - 1, argv + 1);
  return ctl_usage ();
}
