/* mm_bench: submits jobs to entry instances and compares the response time
   of each job with the ideal: its longest task plus one round trip (assumed
   to be 1 ms on loopback), the best that a fully parallel dispatcher could
   do.  The caller (masticctl bench) reads the counters of the entry
   instances before and after the run to find the wasted messages.

   The load is either a fixed number of jobs in flight (closed loop), or
   arrivals at the rates of a site whether or not earlier jobs are answered
   (open loop), so that a slow answer does not delay later jobs and hide
   their response times.  */
#include "masticmill.h"

#include <cJSON.h>
#include <math.h>
#include <stdlib.h>

/* A load test in progress.  */
typedef struct
{
  const mm_bench_plan *plan;
  mm_bench_report *report; /* results so far */
  struct ev_loop *loop;
  mm_http_client *client;
  GRand *rand;
  uint32_t submitted; /* jobs submitted so far */
  uint32_t in_flight; /* jobs submitted and not answered */
  /* Response time / ideal of each complete job, double.  */
  GArray *ratios;
  GArray *kind_ratios[MM_BENCH_MAX_KINDS]; /* the same, by kind */
  mm_time_ms start_ms;
  ev_timer arrival; /* next job of an open loop */
} bench;

/* The two sites of the users.  A row holds the kind of request, the tasks per
   job, the run time of each task in ms and the jobs per second.  */
static const mm_bench_kind lima_kinds[] = { { "seat-hold", 8, 60, 34.4 },
                                            { "guide-assign", 4, 900, 6.25 },
                                            { "pass-print", 2, 200, 100 },
                                            { NULL } };
static const mm_bench_kind buenos_aires_kinds[]
    = { { "clash-check", 8, 60, 34.4 },
        { "clause-draft", 4, 900, 6.25 },
        { "holiday-flag", 2, 200, 100 },
        { NULL } };

/**
 * mm_bench_site() - returns the request kinds of one of the users' sites.
 * @site: "lima" or "buenos-aires".
 *
 * Return: a list ended by a NULL name, or NULL for an unknown site.
 */
const mm_bench_kind *
mm_bench_site (const char *site)
{
  if (g_str_equal (site, "lima"))
    return lima_kinds;
  if (g_str_equal (site, "buenos-aires"))
    return buenos_aires_kinds;
  return NULL;
}

/* A job in flight.  */
typedef struct
{
  bench *bench;
  mm_time_ms sent_ms;  /* when the job was submitted */
  mm_time_ms ideal_ms; /* response time of an ideal dispatcher */
  uint32_t tasks;      /* number of tasks */
  int kind;            /* index into the plan's kinds, -1: closed loop */
} job_ctx;

static void submit_next (bench *b);
static bool arrivals_ended (const bench *b);

/* Counts an answered job.  An answer other than "complete" is a failed job if
   it lists tasks, otherwise a refused one.  The last answer ends the load
   test.  */
static void
on_job_answered (const mm_http_result *res, void *ctx)
{
  job_ctx *j = ctx;
  bench *b = j->bench;
  mm_time_ms took_ms = mm_clock_now_ms () - j->sent_ms;
  cJSON *o
      = cJSON_ParseWithLength (res->body ? res->body : "", res->body_bytes);
  const char *status
      = cJSON_GetStringValue (cJSON_GetObjectItem (o, "status"));
  mm_bench_kind_report *k = j->kind < 0 ? NULL : &b->report->kinds[j->kind];
  bool has_tasks = cJSON_GetArraySize (cJSON_GetObjectItem (o, "tasks")) > 0;
  if (res->status == 200 && status && g_str_equal (status, "complete"))
    {
      b->report->jobs_complete++;
      b->report->tasks += j->tasks;
      double ratio = (double)took_ms / (double)j->ideal_ms;
      g_array_append_val (b->ratios, ratio);
      if (k)
        {
          k->complete++;
          g_array_append_val (b->kind_ratios[j->kind], ratio);
        }
    }
  else
    {
      if (has_tasks)
        b->report->jobs_failed++;
      else
        b->report->jobs_refused++;
      if (k)
        k->not_served++;
    }
  cJSON_Delete (o);
  g_free (j);
  b->in_flight--;
  if (!b->plan->kinds)
    submit_next (b);
  if (b->in_flight == 0 && arrivals_ended (b))
    ev_break (b->loop, EVBREAK_ALL);
}

/* Draws the run time of a task in a closed loop: uniform between 0.5 and 1.5
   times the mean, and 4 times that for one task in fifty.  */
static mm_time_ms
draw_run_ms (bench *b)
{
  double u = g_rand_double (b->rand);
  mm_time_ms task_ms = (mm_time_ms)((double)b->plan->run_ms * (0.5 + u));
  return g_rand_int_range (b->rand, 0, 50) == 0 ? 4 * task_ms : task_ms;
}

/* Returns the JSON body of job number @n, which the caller frees with free(),
   and sets @ideal_out_ms to its ideal response time.  @kind is NULL in a
   closed loop.  */
static char *
make_job (bench *b, uint32_t n, const mm_bench_kind *kind, uint32_t n_tasks,
          mm_time_ms *ideal_out_ms)
{
  const mm_bench_plan *p = b->plan;
  cJSON *o = cJSON_CreateObject ();
  char id[64];
  g_snprintf (id, sizeof id, "bench-%u-%u", p->seed, n);
  cJSON_AddStringToObject (o, "job_id", id);
  cJSON_AddStringToObject (o, "team", "bench");
  cJSON *tasks = cJSON_AddArrayToObject (o, "tasks");
  mm_time_ms longest_ms = 0;
  for (uint32_t i = 0; i < n_tasks; i++)
    {
      mm_time_ms task_ms = kind ? kind->run_ms : draw_run_ms (b);
      longest_ms = MAX (longest_ms, task_ms);
      cJSON *t = cJSON_CreateObject ();
      char tid[16];
      g_snprintf (tid, sizeof tid, "t%u", i);
      cJSON_AddStringToObject (t, "id", tid);
      cJSON_AddStringToObject (t, "payload", "bench");
      cJSON_AddNumberToObject (t, "run_ms", (double)task_ms);
      cJSON_AddNumberToObject (t, "deadline_ms", (double)p->deadline_ms);
      cJSON_AddBoolToObject (t, "idempotent",
                             g_rand_double (b->rand) >= p->non_idempotent);
      cJSON_AddItemToArray (tasks, t);
    }
  *ideal_out_ms = longest_ms + 1;
  char *s = cJSON_PrintUnformatted (o);
  cJSON_Delete (o);
  return s;
}

/* Submits a job to the next entry instance.  @kind is an index into the plan's
   kinds, -1 in a closed loop.  */
static void
submit (bench *b, int kind)
{
  const mm_bench_plan *p = b->plan;
  const mm_bench_kind *k = kind < 0 ? NULL : &p->kinds[kind];
  job_ctx *j = g_new0 (job_ctx, 1);
  j->bench = b;
  j->kind = kind;
  j->tasks = k ? k->tasks : p->tasks;
  char *body = make_job (b, b->submitted, k, j->tasks, &j->ideal_ms);
  guint n_entries = g_strv_length (p->entries);
  char *url
      = g_strdup_printf ("%s/v1/jobs", p->entries[b->submitted % n_entries]);
  j->sent_ms = mm_clock_now_ms ();
  mm_http_client_call (b->client, "POST", url, body, p->deadline_ms + 5000,
                       on_job_answered, j);
  g_free (url);
  free (body);
  b->submitted++;
  b->in_flight++;
}

/* Returns whether an open loop submits no more jobs; true in a closed loop. */
static bool
arrivals_ended (const bench *b)
{
  return !b->plan->kinds
         || mm_clock_now_ms () - b->start_ms >= b->plan->max_ms;
}

/* Returns the jobs per second of all kinds of an open loop.  */
static double
total_rate (const mm_bench_plan *p)
{
  double sum = 0;
  for (const mm_bench_kind *k = p->kinds; k->name; k++)
    sum += k->jobs_per_s * p->scale;
  return sum;
}

/* Open loop: submits a job of a kind that is drawn in proportion to the
   rates, then waits an exponentially distributed time for the next.  */
static void
arrival_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  bench *b = w->data;
  if (arrivals_ended (b))
    {
      if (b->in_flight == 0)
        ev_break (loop, EVBREAK_ALL);
      return;
    }
  double rate = total_rate (b->plan);
  /* Each kind takes an interval of its rate's length in [0, total rate); the
     kind is the one whose interval holds u.  */
  double u = g_rand_double (b->rand) * rate;
  int kind = 0;
  while (b->plan->kinds[kind + 1].name
         && u >= b->plan->kinds[kind].jobs_per_s * b->plan->scale)
    u -= b->plan->kinds[kind++].jobs_per_s * b->plan->scale;
  submit (b, kind);
  ev_timer_set (w, -log (1 - g_rand_double (b->rand)) / rate, 0.);
  ev_timer_start (loop, w);
}

/* Closed loop: submits jobs until as many are in flight as planned.  */
static void
submit_next (bench *b)
{
  const mm_bench_plan *p = b->plan;
  while (b->submitted < p->jobs && b->in_flight < p->concurrency
         && mm_clock_now_ms () - b->start_ms < p->max_ms)
    submit (b, -1);
}

static int
cmp_double (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;
  return (x > y) - (x < y);
}

/* Returns the @q quantile (0 to 1) of a sorted array of double, 0 if it is
   empty.  */
static double
quantile (GArray *sorted, double q)
{
  if (!sorted->len)
    return 0;
  guint i = (guint)ceil (q * sorted->len) - 1;
  return g_array_index (sorted, double, MIN (i, sorted->len - 1));
}

/**
 * mm_bench_run() - runs a load plan to its end.
 * @plan: the jobs to submit.
 * @out: filled with the results.
 * @error: MM_ERROR_BAD_REQUEST for an empty plan.
 *
 * Return: true when the plan was run, even if jobs failed.
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
  for (int i = 0; i < MM_BENCH_MAX_KINDS; i++)
    b.kind_ratios[i] = g_array_new (FALSE, FALSE, sizeof (double));
  b.start_ms = mm_clock_now_ms ();
  ev_timer_init (&b.arrival, arrival_cb, 0., 0.);
  b.arrival.data = &b;
  if (plan->kinds)
    ev_timer_start (b.loop, &b.arrival);
  else
    submit_next (&b);
  ev_run (b.loop, 0);
  out->wall_ms = mm_clock_now_ms () - b.start_ms;
  for (int i = 0; i < MM_BENCH_MAX_KINDS; i++)
    {
      GArray *of_kind = b.kind_ratios[i];
      qsort (of_kind->data, of_kind->len, sizeof (double), cmp_double);
      out->kinds[i].ratio_p50 = quantile (of_kind, 0.5);
      out->kinds[i].ratio_p99 = quantile (of_kind, 0.99);
      g_array_free (of_kind, TRUE);
    }
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
