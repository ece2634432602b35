/* masticctl bench: runs a load, and counts the work that was wasted: retries,
   answers for jobs that had already failed or ended, and tasks sent again that
   had not run.  */
#include "ctl.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

/* Returns a counter of an entry instance; 0 when the instance does not answer
   or has no such counter.  */
static int64_t
entry_counter (const char *entry, const char *name)
{
  char *url = g_strdup_printf ("%s/v1/state", entry);
  char *body = ctl_get (url, NULL);
  g_free (url);
  cJSON *state = cJSON_Parse (body ? body : "");
  g_free (body);
  const cJSON *counter
      = cJSON_GetObjectItem (cJSON_GetObjectItem (state, "counters"), name);
  int64_t value = cJSON_IsNumber (counter) ? (int64_t)counter->valuedouble : 0;
  cJSON_Delete (state);
  return value;
}

/* Returns the sum of a counter over all entry instances.  */
static int64_t
sum_counter (char **entries, const char *name)
{
  int64_t sum = 0;
  for (char **e = entries; *e; e++)
    sum += entry_counter (*e, name);
  return sum;
}

/* Counters of entry instances that add up to the wasted work.  */
static const char *const waste_counters[]
    = { "retries", "answers_unused", "resends_not_run", NULL };

int
ctl_bench (int argc, char **argv)
{
  mm_bench_plan plan = { .jobs = 20,
                         .tasks = 50,
                         .concurrency = 4,
                         .run_ms = 100,
                         .deadline_ms = 10000,
                         .non_idempotent = 0.1,
                         .seed = 1,
                         .max_ms = 120000,
                         .scale = 1 };
  const char *entries = ctl_entry_url;
  static const struct option options[]
      = { { "jobs", required_argument, NULL, 'j' },
          { "tasks", required_argument, NULL, 't' },
          { "concurrency", required_argument, NULL, 'c' },
          { "run-ms", required_argument, NULL, 'r' },
          { "deadline-ms", required_argument, NULL, 'd' },
          { "non-idempotent", required_argument, NULL, 'n' },
          { "seed", required_argument, NULL, 's' },
          { "entries", required_argument, NULL, 'e' },
          { "site", required_argument, NULL, 'S' },
          { "seconds", required_argument, NULL, 'T' },
          { "scale", required_argument, NULL, 'x' },
          { NULL, 0, NULL, 0 } };
  int c;
  optind = 1;
  while (
      (c = getopt_long (argc, argv, "j:t:c:r:d:n:s:e:S:T:x:", options, NULL))
      != -1)
    switch (c)
      {
      case 'j':
        plan.jobs = (uint32_t)atoi (optarg);
        break;
      case 't':
        plan.tasks = (uint32_t)atoi (optarg);
        break;
      case 'c':
        plan.concurrency = (uint32_t)atoi (optarg);
        break;
      case 'r':
        plan.run_ms = atoi (optarg);
        break;
      case 'd':
        plan.deadline_ms = atoi (optarg);
        break;
      case 'n':
        plan.non_idempotent = atof (optarg);
        break;
      case 's':
        plan.seed = (uint32_t)atoi (optarg);
        break;
      case 'e':
        entries = optarg;
        break;
      case 'S':
        plan.kinds = mm_bench_site (optarg);
        if (!plan.kinds)
          return ctl_usage ();
        /* Sites submit jobs at given rates, and this only allows enough
           connections.  */
        plan.concurrency = 1000;
        break;
      case 'T':
        plan.max_ms = atoll (optarg) * 1000;
        break;
      case 'x':
        plan.scale = atof (optarg);
        break;
      default:
        return ctl_usage ();
      }
  if (!plan.jobs || !plan.tasks || !plan.concurrency)
    return ctl_usage ();
  plan.entries = g_strsplit (entries, ",", -1);
  int64_t counters_before[8] = { 0 },
          sent_before = sum_counter (plan.entries, "tasks_sent");
  for (int i = 0; waste_counters[i]; i++)
    counters_before[i] = sum_counter (plan.entries, waste_counters[i]);
  mm_bench_report report;
  GError *err = NULL;
  if (!mm_bench_run (&plan, &report, &err))
    return ctl_print_error (err);
  int64_t sent = sum_counter (plan.entries, "tasks_sent") - sent_before;
  int64_t wasted = 0;
  printf ("{\"jobs_complete\":%u,\"jobs_failed\":%u,\"jobs_refused\":%u,"
          "\"tasks\":%u,\"wall_ms\":%" G_GINT64_FORMAT ",\"ratio_p50\":%.3f,"
          "\"ratio_p99\":%.3f,\"ratio_p999\":%.3f,\"tasks_sent\":"
          "%" G_GINT64_FORMAT,
          report.jobs_complete, report.jobs_failed, report.jobs_refused,
          report.tasks, report.wall_ms, report.ratio_p50, report.ratio_p99,
          report.ratio_p999, sent);
  for (int i = 0; waste_counters[i]; i++)
    {
      int64_t delta
          = sum_counter (plan.entries, waste_counters[i]) - counters_before[i];
      wasted += delta;
      printf (",\"%s\":%" G_GINT64_FORMAT, waste_counters[i], delta);
    }
  printf (",\"wasted_per_1000_tasks\":%.2f",
          report.tasks ? 1000.0 * (double)wasted / (double)(report.tasks)
                       : 0.0);
  for (int i = 0; plan.kinds && plan.kinds[i].name; i++)
    printf (",\"%s\":{\"complete\":%u,\"not_served\":%u,\"ratio_p50\":"
            "%.3f,\"ratio_p99\":%.3f}",
            plan.kinds[i].name, report.kinds[i].complete,
            report.kinds[i].not_served, report.kinds[i].ratio_p50,
            report.kinds[i].ratio_p99);
  printf ("}\n");
  g_strfreev (plan.entries);
  return report.jobs_complete ? 0 : 1;
}
