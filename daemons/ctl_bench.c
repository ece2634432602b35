/* masticctl bench: load runs, with the waste they caused.  */
#include "ctl.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

static int64_t
entry_counter (const char *entry, const char *name)
{
  char *url = g_strdup_printf ("%s/v1/state", entry);
  char *body = ctl_get (url, NULL);
  g_free (url);
  cJSON *o = cJSON_Parse (body ? body : "");
  g_free (body);
  const cJSON *c
      = cJSON_GetObjectItem (cJSON_GetObjectItem (o, "counters"), name);
  int64_t v = cJSON_IsNumber (c) ? (int64_t)c->valuedouble : 0;
  cJSON_Delete (o);
  return v;
}

static int64_t
sum_counter (char **entries, const char *name)
{
  int64_t n = 0;
  for (char **e = entries; *e; e++)
    n += entry_counter (*e, name);
  return n;
}

static const char *const waste_counters[]
    = { "retries", "answers_unused", "resends_not_run", NULL };

int
ctl_bench (int argc, char **argv)
{
  mm_bench_plan p = { .jobs = 20,
                      .tasks = 50,
                      .concurrency = 4,
                      .run_ms = 100,
                      .deadline_ms = 10000,
                      .non_idempotent = 0.1,
                      .seed = 1,
                      .max_ms = 120000,
                      .scale = 1 };
  const char *entries = ctl_entry_url;
  static const struct option opts[]
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
  while ((c = getopt_long (argc, argv, "j:t:c:r:d:n:s:e:S:T:x:", opts, NULL))
         != -1)
    switch (c)
      {
      case 'j':
        p.jobs = (uint32_t)atoi (optarg);
        break;
      case 't':
        p.tasks = (uint32_t)atoi (optarg);
        break;
      case 'c':
        p.concurrency = (uint32_t)atoi (optarg);
        break;
      case 'r':
        p.run_ms = atoi (optarg);
        break;
      case 'd':
        p.deadline_ms = atoi (optarg);
        break;
      case 'n':
        p.non_idempotent = atof (optarg);
        break;
      case 's':
        p.seed = (uint32_t)atoi (optarg);
        break;
      case 'e':
        entries = optarg;
        break;
      case 'S':
        p.kinds = mm_bench_site (optarg);
        if (!p.kinds)
          return ctl_usage ();
        p.concurrency = 1000;
        break;
      case 'T':
        p.max_ms = atoll (optarg) * 1000;
        break;
      case 'x':
        p.scale = atof (optarg);
        break;
      default:
        return ctl_usage ();
      }
  if (!p.jobs || !p.tasks || !p.concurrency)
    return ctl_usage ();
  p.entries = g_strsplit (entries, ",", -1);
  int64_t before[8] = { 0 }, sent0 = sum_counter (p.entries, "tasks_sent");
  for (int i = 0; waste_counters[i]; i++)
    before[i] = sum_counter (p.entries, waste_counters[i]);
  mm_bench_report r;
  GError *err = NULL;
  if (!mm_bench_run (&p, &r, &err))
    return ctl_fail (err);
  int64_t sent = sum_counter (p.entries, "tasks_sent") - sent0;
  int64_t waste = 0;
  printf ("{\"jobs_complete\":%u,\"jobs_failed\":%u,\"jobs_refused\":%u,"
          "\"tasks\":%u,\"wall_ms\":%" G_GINT64_FORMAT ",\"ratio_p50\":%.3f,"
          "\"ratio_p99\":%.3f,\"ratio_p999\":%.3f,\"tasks_sent\":"
          "%" G_GINT64_FORMAT,
          r.jobs_complete, r.jobs_failed, r.jobs_refused, r.tasks, r.wall_ms,
          r.ratio_p50, r.ratio_p99, r.ratio_p999, sent);
  for (int i = 0; waste_counters[i]; i++)
    {
      int64_t d = sum_counter (p.entries, waste_counters[i]) - before[i];
      waste += d;
      printf (",\"%s\":%" G_GINT64_FORMAT, waste_counters[i], d);
    }
  printf (",\"wasted_per_1000_tasks\":%.2f",
          r.tasks ? 1000.0 * (double)waste / (double)(r.tasks) : 0.0);
  for (int i = 0; p.kinds && p.kinds[i].name; i++)
    printf (",\"%s\":{\"complete\":%u,\"not_served\":%u,\"ratio_p50\":"
            "%.3f,\"ratio_p99\":%.3f}",
            p.kinds[i].name, r.kinds[i].complete, r.kinds[i].not_served,
            r.kinds[i].ratio_p50, r.kinds[i].ratio_p99);
  printf ("}\n");
  g_strfreev (p.entries);
  return r.jobs_complete ? 0 : 1;
}
