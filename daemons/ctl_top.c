/* masticctl top HOST:PORT...: prints the current metrics of instances in one
   table.  */
#include "config.h"
#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Columns of the table after the address: title and metric series.  */
static const struct
{
  const char *title;
  const char *series;
} columns[] = {
  { "OPEN", "masticmill_jobs_open" },
  { "DONE", "masticmill_jobs_answered_total{outcome=\"completed\"}" },
  { "FAILED", "masticmill_jobs_answered_total{outcome=\"failed\"}" },
  { "LOST", "masticmill_jobs_answered_total{outcome=\"unknown\"}" },
  { "GIVEN-UP", "masticmill_jobs_answered_total{outcome=\"given_up\"}" },
  { "REFUSED", "masticmill_jobs_refused_total{reason=\"too_late\"}" },
  { "SHED", "masticmill_jobs_shed_total{verdict=\"reject\"}" },
  { "PLACES", "masticmill_places" },
  { "FREE", "masticmill_places_free" },
  { "WAITING", "masticmill_tasks_waiting" },
  { "UNSURE", "masticmill_runs_unsure" },
  { "CONFIG", "masticmill_config_version" },
};

/* Return: the value of @series in @text, metrics in the Prometheus text
   format; free with g_free().  NULL when the series is missing.  */
static char *
series_value (const char *text, const char *series)
{
  size_t len = strlen (series);
  for (const char *p = text; p && *p; p = strchr (p, '\n'))
    {
      p += *p == '\n';
      if (strncmp (p, series, len) == 0 && p[len] == ' ')
        return g_strndup (p + len + 1, strcspn (p + len + 1, "\n"));
    }
  return NULL;
}

/* Return: the priorities that are overloaded, such as "1,2"; free with
   g_free().  */
static char *
overloaded_priorities (const char *text)
{
  GString *s = g_string_new (NULL);
  for (uint32_t i = 0; i < MM_PRIORITY_LEVELS; i++)
    {
      char *series
          = g_strdup_printf ("masticmill_overloaded{priority=\"%u\"}", i);
      char *value = series_value (text, series);
      if (value && strcmp (value, "0") != 0)
        g_string_append_printf (s, "%s%u", s->len ? "," : "", i);
      g_free (value);
      g_free (series);
    }
  return g_string_free (s, FALSE);
}

/* Prints the row of an instance, or why its metrics cannot be read.  Returns
   whether they were read.  */
static bool
print_row (const char *addr)
{
  GError *err = NULL;
  char *url = g_strdup_printf ("http://%s/metrics", addr);
  char *text = ctl_get (url, &err);
  g_free (url);
  printf ("%-24s", addr);
  if (!text)
    {
      printf (" %s\n", err->message);
      g_error_free (err);
      return false;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (columns); i++)
    {
      char *value = series_value (text, columns[i].series);
      printf (" %8s", value ? value : "-");
      g_free (value);
    }
  char *overloaded = overloaded_priorities (text);
  printf (" %8s\n", *overloaded ? overloaded : "-");
  g_free (overloaded);
  g_free (text);
  return true;
}

int
ctl_top (int argc, char **argv)
{
  printf ("%-24s", "INSTANCE");
  for (size_t i = 0; i < G_N_ELEMENTS (columns); i++)
    printf (" %8s", columns[i].title);
  printf (" %8s\n", "OVERLOAD");
  bool ok = true;
  for (int i = 0; i < argc; i++)
    ok = print_row (argv[i]) && ok;
  return ok ? 0 : 1;
}
