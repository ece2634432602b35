/* masticctl: the operators' command line.

   masticctl [--platform URL] [--entry URL] COMMAND ...
     job submit FILE           submit a job (JSON) and print the answer
     config publish BASE [SITE=OVERLAY]...
                               publish base + overlays; wait until in force
     config show               the configuration in force
     status [--json]           the member list
     dump ADDR                 a process's state (host:port)
     fault ADDR JSON           set platform faults or an upstream's mode
     bench [options]           load run: latency over ideal, messages/task  */
#include <masticmill.h>

#include <cJSON.h>
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *platform_url = "http://127.0.0.1:7000";
static const char *entry_url = "http://127.0.0.1:7100";

static int
fail (GError *err)
{
  fprintf (stderr, "masticctl: %s: %s\n", mm_error_code_name (err->code),
           err->message);
  g_error_free (err);
  return 1;
}

static int
usage (void)
{
  fprintf (stderr,
           "Usage: masticctl [--platform URL] [--entry URL] COMMAND ...\n"
           "  job submit FILE\n"
           "  config publish BASE [SITE=OVERLAY]... [--wait-ms N]\n"
           "  config show\n"
           "  status [--json]\n"
           "  dump HOST:PORT\n"
           "  fault HOST:PORT JSON   (platform: /v1/faults, upstream: "
           "/v1/mode)\n"
           "  bench [--jobs N] [--tasks N] [--concurrency N] [--run-ms N]\n"
           "        [--deadline-ms N] [--non-idempotent F] [--seed N]\n"
           "        [--entries URL,URL]\n"
           "        [--site lima|buenos-aires --seconds N [--scale F]]\n");
  return 2;
}

static char *
get (const char *url, GError **error)
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

static int
cmd_job_submit (const char *file)
{
  char *text = NULL;
  GError *err = NULL;
  if (!g_file_get_contents (file, &text, NULL, &err))
    return fail (g_error_new (MM_ERROR, MM_ERROR_IO, "%s", err->message));
  char *url = g_strdup_printf ("%s/v1/jobs", entry_url);
  long status = 0;
  char *answer = mm_http_call_sync ("POST", url, text, 60000, &status, &err);
  g_free (url);
  g_free (text);
  if (!answer)
    return fail (err);
  printf ("%s\n", answer);
  g_free (answer);
  return status == 200 ? 0 : 1;
}

static cJSON *
members (GError **error)
{
  char *url = g_strdup_printf ("%s/v1/members", platform_url);
  char *body = get (url, error);
  g_free (url);
  if (!body)
    return NULL;
  cJSON *o = cJSON_Parse (body);
  g_free (body);
  return o;
}

/* The head live entry instances report: the highest config offset.  */
static int64_t
reported_head (cJSON *list, uint32_t *n_live, uint32_t *n_at, int64_t want)
{
  int64_t head = -1;
  const cJSON *m;
  *n_live = *n_at = 0;
  cJSON_ArrayForEach (m, cJSON_GetObjectItem (list, "members"))
  {
    const char *kind = cJSON_GetStringValue (cJSON_GetObjectItem (m, "kind"));
    const char *state
        = cJSON_GetStringValue (cJSON_GetObjectItem (m, "state"));
    if (!kind || !g_str_equal (kind, "entry") || !state
        || !g_str_equal (state, "live"))
      continue;
    int64_t off = (int64_t)cJSON_GetNumberValue (
        cJSON_GetObjectItem (m, "config_offset"));
    head = MAX (head, off);
    (*n_live)++;
    if (off >= want)
      (*n_at)++;
  }
  return head;
}

/* Guards against an append whose answer was lost after it took effect:
   the operator would publish again and lose to their own record.  The
   log is read until it answers; the record is ours when its text is.
   Return: its offset, or -1 when the log does not have it.  */
static int64_t
find_record (const char *rec, int64_t parent, int64_t wait_ms)
{
  cJSON *want = cJSON_Parse (rec);
  char *url = g_strdup_printf ("%s/v1/log/config?from=%" G_GINT64_FORMAT,
                               platform_url, parent + 1);
  mm_time_ms until = mm_clock_now_ms () + wait_ms;
  int64_t offset = -1;
  bool read = false;
  while (!read && mm_clock_now_ms () < until)
    {
      char *body = get (url, NULL);
      cJSON *o = cJSON_Parse (body ? body : "");
      const cJSON *r;
      read = o != NULL;
      cJSON_ArrayForEach (r, cJSON_GetObjectItem (o, "records"))
      {
        if (cJSON_Compare (cJSON_GetObjectItem (r, "data"), want, true))
          offset = (int64_t)cJSON_GetNumberValue (
              cJSON_GetObjectItem (r, "offset"));
      }
      cJSON_Delete (o);
      g_free (body);
      if (!read)
        g_usleep (100000);
    }
  g_free (url);
  cJSON_Delete (want);
  return offset;
}

static int
cmd_config_publish (int argc, char **argv, int64_t wait_ms)
{
  GError *err = NULL;
  char *base = NULL;
  if (!g_file_get_contents (argv[0], &base, NULL, &err))
    return fail (g_error_new (MM_ERROR, MM_ERROR_IO, "%s", err->message));
  GPtrArray *sites = g_ptr_array_new_with_free_func (g_free);
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);
  for (int i = 1; i < argc; i++)
    {
      char *eq = strchr (argv[i], '=');
      char *text = NULL;
      if (!eq || !g_file_get_contents (eq + 1, &text, NULL, NULL))
        return fail (g_error_new (MM_ERROR, MM_ERROR_IO,
                                  "%s: want SITE=FILE, readable", argv[i]));
      g_ptr_array_add (sites, g_strndup (argv[i], (gsize)(eq - argv[i])));
      g_ptr_array_add (texts, text);
    }
  g_ptr_array_add (sites, NULL);
  g_ptr_array_add (texts, NULL);
  cJSON *list = members (&err);
  if (!list)
    return fail (err);
  uint32_t live, at;
  int64_t parent = reported_head (list, &live, &at, 0);
  cJSON_Delete (list);
  char *rec = mm_cfg_record_text ("config", parent, base,
                                  (const char *const *)sites->pdata,
                                  (const char *const *)texts->pdata, &err);
  g_free (base);
  g_ptr_array_free (sites, TRUE);
  g_ptr_array_free (texts, TRUE);
  if (!rec)
    return fail (err);
  char *url = g_strdup_printf ("%s/v1/log/config", platform_url);
  long status = 0;
  char *answer = mm_http_call_sync ("POST", url, rec, 5000, &status, &err);
  g_free (url);
  if (!answer)
    {
      /* No answer at all: what came of it is found in the log.  */
      answer = g_strdup (err->message);
      g_clear_error (&err);
    }
  cJSON *a = cJSON_Parse (answer);
  int64_t offset
      = status == 200
            ? (int64_t)cJSON_GetNumberValue (cJSON_GetObjectItem (a, "offset"))
            : find_record (rec, parent, wait_ms);
  cJSON_Delete (a);
  free (rec);
  if (offset < 0)
    {
      fprintf (stderr,
               "masticctl: platform: append answered %ld (%s); the "
               "record is not in the log\n",
               status, answer);
      g_free (answer);
      return 1;
    }
  g_free (answer);
  printf ("published config at offset %" G_GINT64_FORMAT
          " (edited from %" G_GINT64_FORMAT ")\n",
          offset, parent);
  mm_time_ms until = mm_clock_now_ms () + wait_ms;
  while (mm_clock_now_ms () < until)
    {
      list = members (NULL);
      int64_t head = list ? reported_head (list, &live, &at, offset) : -1;
      cJSON_Delete (list);
      if (head > offset || (live && at == live && head != offset))
        {
          fprintf (stderr,
                   "masticctl: config_rejected: offset %" G_GINT64_FORMAT
                   " lost to a concurrent change (head %" G_GINT64_FORMAT
                   "); edit again from the head\n",
                   offset, head);
          return 1;
        }
      if (live && at == live)
        {
          printf ("in force at %u live entry instances\n", live);
          return 0;
        }
      g_usleep (100000);
    }
  fprintf (stderr,
           "masticctl: timeout: not yet in force everywhere after "
           "%" G_GINT64_FORMAT " ms (%u of %u instances)\n",
           wait_ms, at, live);
  return 1;
}

static int
cmd_print (const char *url)
{
  GError *err = NULL;
  char *body = get (url, &err);
  if (!body)
    return fail (err);
  printf ("%s\n", body);
  g_free (body);
  return 0;
}

static const char *
text_of (const cJSON *o, const char *key)
{
  const char *t = cJSON_GetStringValue (cJSON_GetObjectItem (o, key));
  return t ? t : "-";
}

/* The member list, one line each; the list lags behind its members.  */
static int
cmd_status (bool json)
{
  GError *err = NULL;
  cJSON *list = members (&err);
  if (!list)
    return fail (err);
  if (json)
    {
      char *text = cJSON_Print (list);
      printf ("%s\n", text);
      free (text);
    }
  else
    printf ("%-20s %-9s %-14s %-8s %-22s %s\n", "NAME", "KIND", "DATACENTRE",
            "STATE", "ADDRESS", "CONFIG/SLOTS");
  const cJSON *m;
  cJSON_ArrayForEach (m, cJSON_GetObjectItem (list, "members"))
  {
    bool entry = g_str_equal (text_of (m, "kind"), "entry");
    const cJSON *n
        = cJSON_GetObjectItem (m, entry ? "config_offset" : "slots");
    if (!json)
      printf ("%-20s %-9s %-14s %-8s %-22s %.0f\n", text_of (m, "name"),
              text_of (m, "kind"), text_of (m, "datacentre"),
              text_of (m, "state"), text_of (m, "addr"),
              cJSON_IsNumber (n) ? n->valuedouble : 0.0);
  }
  cJSON_Delete (list);
  return 0;
}

/* The configuration in force, as the newest offset that live entry
   instances report has it.  */
static int
cmd_config_show (void)
{
  GError *err = NULL;
  cJSON *list = members (&err);
  if (!list)
    return fail (err);
  uint32_t live, at;
  int64_t head = reported_head (list, &live, &at, 0);
  cJSON_Delete (list);
  if (head < 0)
    {
      printf ("# no configuration published; %u live entry instances run on "
              "defaults\n",
              live);
      return 0;
    }
  char *url = g_strdup_printf ("%s/v1/log/config?max=1&from=%" G_GINT64_FORMAT,
                               platform_url, head);
  char *body = get (url, &err);
  g_free (url);
  if (!body)
    return fail (err);
  cJSON *o = cJSON_Parse (body);
  g_free (body);
  const cJSON *r = cJSON_GetArrayItem (cJSON_GetObjectItem (o, "records"), 0);
  const cJSON *data = cJSON_GetObjectItem (r, "data");
  printf ("# offset %" G_GINT64_FORMAT ", %u live entry instances\n%s", head,
          live, text_of (data, "base"));
  const cJSON *overlay;
  cJSON_ArrayForEach (overlay, cJSON_GetObjectItem (data, "overlays"))
  {
    printf ("\n# overlay of site %s\n%s", overlay->string,
            overlay->valuestring);
  }
  cJSON_Delete (o);
  return 0;
}

static int
cmd_fault (const char *addr, const char *json)
{
  GError *err = NULL;
  char *url = g_strdup_printf ("http://%s/v1/state", addr);
  char *state = get (url, &err);
  g_free (url);
  if (!state)
    return fail (err);
  /* A platform's dump has "streams"; an upstream's has "mode".  */
  bool platform = strstr (state, "\"streams\"") != NULL;
  g_free (state);
  url = g_strdup_printf ("http://%s%s", addr,
                         platform ? "/v1/faults" : "/v1/mode");
  long status = 0;
  char *answer = mm_http_call_sync ("POST", url, json, 5000, &status, &err);
  g_free (url);
  if (!answer)
    return fail (err);
  printf ("%s\n", answer);
  g_free (answer);
  return status == 200 ? 0 : 1;
}

static int64_t
entry_counter (const char *entry, const char *name)
{
  char *url = g_strdup_printf ("%s/v1/state", entry);
  char *body = get (url, NULL);
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

static int
cmd_bench (int argc, char **argv)
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
  const char *entries = entry_url;
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
          return usage ();
        p.concurrency = 1000;
        break;
      case 'T':
        p.max_ms = atoll (optarg) * 1000;
        break;
      case 'x':
        p.scale = atof (optarg);
        break;
      default:
        return usage ();
      }
  if (!p.jobs || !p.tasks || !p.concurrency)
    return usage ();
  p.entries = g_strsplit (entries, ",", -1);
  int64_t before[8] = { 0 }, sent0 = sum_counter (p.entries, "tasks_sent");
  for (int i = 0; waste_counters[i]; i++)
    before[i] = sum_counter (p.entries, waste_counters[i]);
  mm_bench_report r;
  GError *err = NULL;
  if (!mm_bench_run (&p, &r, &err))
    return fail (err);
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

int
main (int argc, char **argv)
{
  mm_log_init ("masticctl");
  static const struct option opts[]
      = { { "platform", required_argument, NULL, 'p' },
          { "entry", required_argument, NULL, 'e' },
          { "wait-ms", required_argument, NULL, 'w' },
          { "help", no_argument, NULL, 'h' },
          { "version", no_argument, NULL, 'V' },
          { NULL, 0, NULL, 0 } };
  int64_t wait_ms = 10000;
  int c;
  /* Options stop at the command, so each command parses its own.  */
  while ((c = getopt_long (argc, argv, "+p:e:w:hV", opts, NULL)) != -1)
    switch (c)
      {
      case 'p':
        platform_url = optarg;
        break;
      case 'e':
        entry_url = optarg;
        break;
      case 'w':
        wait_ms = atoll (optarg);
        break;
      case 'h':
        usage ();
        return 0;
      case 'V':
        printf ("masticctl %s\n", MM_VERSION);
        return 0;
      default:
        return usage ();
      }
  argc -= optind;
  argv += optind;
  if (argc >= 3 && g_str_equal (argv[0], "job")
      && g_str_equal (argv[1], "submit"))
    return cmd_job_submit (argv[2]);
  if (argc >= 3 && g_str_equal (argv[0], "config")
      && g_str_equal (argv[1], "publish"))
    return cmd_config_publish (argc - 2, argv + 2, wait_ms);
  if (argc >= 2 && g_str_equal (argv[0], "config")
      && g_str_equal (argv[1], "show"))
    return cmd_config_show ();
  if (argc >= 1 && g_str_equal (argv[0], "status"))
    return cmd_status (argc >= 2 && g_str_equal (argv[1], "--json"));
  if (argc >= 2 && g_str_equal (argv[0], "dump"))
    {
      char *url = g_strdup_printf ("http://%s/v1/state", argv[1]);
      int rc = cmd_print (url);
      g_free (url);
      return rc;
    }
  if (argc >= 3 && g_str_equal (argv[0], "fault"))
    return cmd_fault (argv[1], argv[2]);
  if (argc >= 1 && g_str_equal (argv[0], "bench"))
    return cmd_bench (argc, argv);
  return usage ();
}
