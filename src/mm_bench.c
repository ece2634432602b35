/* mm_bench: submit jobs to entry instances and measure each job's
   response time against the ideal: its longest task plus one round trip
   (taken as 1 ms on loopback), the best a fully parallel dispatcher
   could do.  Wasted messages are read from the entries' counters by the
   caller (masticctl bench), before and after.  */
#include "masticmill.h"

#include <cJSON.h>
#include <math.h>
#include <stdlib.h>

typedef struct
{
  const mm_bench_plan *plan;
  mm_bench_report *report;
  struct ev_loop *loop;
  mm_http_client *client;
  GRand *rand;
  uint32_t submitted;
  uint32_t open;
  GArray *ratios; /* double */
  mm_time_ms start_ms;
} bench;

typedef struct
{
  bench *b;
  mm_time_ms sent_ms;
  mm_time_ms ideal_ms;
  uint32_t tasks;
} job_ctx;

static void submit_next (bench *b);

static void
job_done (const mm_http_result *res, void *ctx)
{
  job_ctx *j = ctx;
  bench *b = j->b;
  mm_time_ms took = mm_clock_now_ms () - j->sent_ms;
  cJSON *o
      = cJSON_ParseWithLength (res->body ? res->body : "", res->body_bytes);
  const char *status
      = cJSON_GetStringValue (cJSON_GetObjectItem (o, "status"));
  bool has_tasks = cJSON_GetArraySize (cJSON_GetObjectItem (o, "tasks")) > 0;
  if (res->status == 200 && status && g_str_equal (status, "complete"))
    {
      b->report->jobs_complete++;
      b->report->tasks += j->tasks;
      double r = (double)took / (double)j->ideal_ms;
      g_array_append_val (b->ratios, r);
    }
  else if (has_tasks)
    b->report->jobs_failed++;
  else
    b->report->jobs_refused++;
  cJSON_Delete (o);
  g_free (j);
  b->open--;
  submit_next (b);
  if (b->open == 0)
    ev_break (b->loop, EVBREAK_ALL);
}

static char *
make_job (bench *b, uint32_t n, mm_time_ms *ideal)
{
  const mm_bench_plan *p = b->plan;
  cJSON *o = cJSON_CreateObject ();
  char id[64];
  g_snprintf (id, sizeof id, "bench-%u-%u", p->seed, n);
  cJSON_AddStringToObject (o, "job_id", id);
  cJSON_AddStringToObject (o, "team", "bench");
  cJSON *tasks = cJSON_AddArrayToObject (o, "tasks");
  mm_time_ms longest = 0;
  for (uint32_t i = 0; i < p->tasks; i++)
    {
      /* Run times: mostly around the mean, one in fifty 4x longer.  */
      double u = g_rand_double (b->rand);
      mm_time_ms run = (mm_time_ms)(p->run_ms * (0.5 + u));
      if (g_rand_int_range (b->rand, 0, 50) == 0)
        run *= 4;
      longest = MAX (longest, run);
      cJSON *t = cJSON_CreateObject ();
      char tid[16];
      g_snprintf (tid, sizeof tid, "t%u", i);
      cJSON_AddStringToObject (t, "id", tid);
      cJSON_AddStringToObject (t, "payload", "bench");
      cJSON_AddNumberToObject (t, "run_ms", (double)run);
      cJSON_AddNumberToObject (t, "deadline_ms", (double)p->deadline_ms);
      cJSON_AddBoolToObject (t, "idempotent",
                             g_rand_double (b->rand) >= p->non_idempotent);
      cJSON_AddItemToArray (tasks, t);
    }
  *ideal = longest + 1;
  char *s = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  return s;
}

static void
submit_next (bench *b)
{
  const mm_bench_plan *p = b->plan;
  while (b->submitted < p->jobs && b->open < p->concurrency
         && mm_clock_now_ms () - b->start_ms < p->max_ms)
    {
      job_ctx *j = g_new0 (job_ctx, 1);
      j->b = b;
      j->tasks = p->tasks;
      char *body = make_job (b, b->submitted, &j->ideal_ms);
      guint n_entries = g_strv_length (p->entries);
      char *url = g_strdup_printf ("%s/v1/jobs",
                                   p->entries[b->submitted % n_entries]);
      j->sent_ms = mm_clock_now_ms ();
      mm_http_client_call (b->client, "POST", url, body, p->deadline_ms + 5000,
                           job_done, j);
      g_free (url);
      free (body);
      b->submitted++;
      b->open++;
    }
}

static int
cmp_double (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;
  return (x > y) - (x < y);
}

static double
quantile (GArray *v, double q)
{
  if (!v->len)
    return 0;
  guint i = (guint)ceil (q * v->len) - 1;
  return g_array_index (v, double, MIN (i, v->len - 1));
}

/**
 * mm_bench_run() - run a load plan to its end.
 * @plan: what to send.
 * @out: filled with the figures.
 * @error: MM_ERROR_BAD_REQUEST for an empty plan.
 *
 * Return: true when the run took place (jobs may still have failed).
 */
bool
mm_bench_run (const mm_bench_plan *plan, mm_bench_report *out, GError **error)
{
  if (!plan->entries || !plan->entries[0] || !plan->jobs || !plan->tasks)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_BAD_REQUEST,
                   "a bench needs entries, jobs and tasks");
      return false;
    }
  *out = (mm_bench_report){ 0 };
  bench b = { 0 };
  b.plan = plan;
  b.report = out;
  b.loop = ev_loop_new (EVFLAG_AUTO);
  b.client = mm_http_client_create (b.loop, plan->concurrency + 4);
  b.rand = g_rand_new_with_seed (plan->seed);
  b.ratios = g_array_new (FALSE, FALSE, sizeof (double));
  b.start_ms = mm_clock_now_ms ();
  submit_next (&b);
  ev_run (b.loop, 0);
  out->wall_ms = mm_clock_now_ms () - b.start_ms;
  qsort (b.ratios->data, b.ratios->len, sizeof (double), cmp_double);
  out->ratio_p50 = quantile (b.ratios, 0.5);
  out->ratio_p99 = quantile (b.ratios, 0.99);
  out->ratio_p999 = quantile (b.ratios, 0.999);
  g_array_free (b.ratios, TRUE);
  g_rand_free (b.rand);
  mm_http_client_destroy (b.client);
  ev_loop_destroy (b.loop);
  return true;
}
