/* mm_model_draw: random numbers of the model.  */
#include "mm_model_priv.h"

#include <math.h>

/* Returns a value of a log-normal distribution with this mean and relative
   standard deviation.  */
static double
spread_around (model *m, double mean, double spread)
{
  double u = 1 - g_rand_double (m->random), v = g_rand_double (m->random);
  double normal = sqrt (-2 * log (u)) * cos (2 * G_PI * v);
  double variance = log (1 + spread * spread);
  return mean * exp (normal * sqrt (variance) - variance / 2);
}

double
mm_model_next_interval_ms (model *m, const mm_model_kind *k)
{
  double second = m->now_ms / 1000;
  bool burst = second >= m->load->burst_from_s
               && second < m->load->burst_from_s + m->load->burst_for_s;
  double per_ms = k->per_s * (burst ? k->burst : 1) / 1000;
  return -log (1 - g_rand_double (m->random)) / per_ms;
}

/* Returns the jobs that arrive in a data centre now, relative to the mean of
   all.  */
static double
weight_of (const model *m, int64_t datacentre)
{
  double turns = m->now_ms / 1000 / m->load->wave_period_s
                 + (double)datacentre / (double)m->load->datacentres;
  return 1 + m->load->wave * sin (2 * G_PI * turns);
}

/* Draws the data centre in which a job arrives.  */
static int64_t
draw_datacentre (model *m)
{
  int64_t n = m->load->datacentres;
  double sum = 0;
  for (int64_t i = 0; i < n; i++)
    sum += weight_of (m, i);
  double left = g_rand_double (m->random) * sum;
  int64_t datacentre = 0;
  for (; datacentre < n - 1; datacentre++)
    {
      left -= weight_of (m, datacentre);
      if (left < 0)
        break;
    }
  return datacentre;
}

/* Draws the instance at which a job arrives, and its data centre.  */
static void
draw_home (model *m, job *j)
{
  int64_t n = m->load->datacentres, n_instances = m->instances->len;
  bool wave = m->load->wave > 0;
  /* Some data centre has no instance, as with one owner.  */
  if (!wave || n > n_instances)
    {
      int64_t i = g_rand_int_range (m->random, 0, (gint32)n_instances);
      j->home = m->instances->pdata[i];
      j->datacentre = wave              ? draw_datacentre (m)
                      : n > n_instances ? m->jobs->len % n
                                        : i % n;
      return;
    }
  int64_t datacentre = draw_datacentre (m);
  j->datacentre = datacentre;
  int64_t there = (n_instances - datacentre + n - 1) / n;
  int64_t i = g_rand_int_range (m->random, 0, (gint32)there);
  j->home = m->instances->pdata[datacentre + i * n];
}

static void
draw_task (model *m, const mm_model_kind *k, task *t)
{
  double run_ms = spread_around (m, k->run_ms, k->run_spread);
  t->run_ms = MAX (run_ms, 1);
  t->estimate_ms
      = t->run_ms
        * (1 + k->estimate_error * g_rand_double_range (m->random, -1, 1));
  if (k->tail_share > 0 && g_rand_double (m->random) < k->tail_share)
    t->run_ms *= k->tail_factor;
}

static void
set_times (const model *m, job *j)
{
  double longest_ms = 0, declared_ms = 0;
  for (uint32_t i = 0; i < j->n_tasks; i++)
    {
      longest_ms = MAX (longest_ms, j->tasks[i].run_ms);
      declared_ms = MAX (declared_ms, j->tasks[i].estimate_ms);
    }
  j->objective_ms = m->load->stretch * longest_ms + m->load->slo_ms;
  j->on_time_start_ms = m->now_ms
                        + (double)mm_admission_slack_ms (
                            m->load->stretch, (mm_time_ms)m->load->slo_ms,
                            (mm_time_ms)declared_ms);
  j->latest_start_ms = m->now_ms
                       + (double)mm_admission_limit_ms (
                           m->load->stretch, (mm_time_ms)m->load->slo_ms,
                           (mm_time_ms)declared_ms);
}

job *
mm_model_draw_job (model *m, int kind)
{
  const mm_model_kind *k = &m->load->kinds[kind];
  job *j = g_new0 (job, 1);
  g_ptr_array_add (m->jobs, j);
  j->kind = kind;
  draw_home (m, j);
  j->submitted_ms = m->now_ms;
  j->outcome = offsetof (mm_model_outcomes, given_up);
  double width = round (spread_around (m, k->width, 0.4));
  j->n_tasks = j->n_left = (uint32_t)MAX (width, 1);
  j->tasks = g_new0 (task, j->n_tasks);
  double cpu = spread_around (m, k->cpu_milli, k->cpu_spread);
  cpu = CLAMP (cpu, 1, m->load->upstream_cpu_milli);
  for (uint32_t i = 0; i < j->n_tasks; i++)
    {
      j->tasks[i].job = j;
      j->tasks[i].cpu_milli = (int64_t)cpu;
      draw_task (m, k, &j->tasks[i]);
    }
  set_times (m, j);
  return j;
}

/* Draws a factor between 1 / sqrt (@spread) and sqrt (@spread).  */
static double
draw_factor (model *m, double spread)
{
  return spread > 1 ? pow (spread, g_rand_double (m->random) - 0.5) : 1;
}

void
mm_model_draw_upstream (model *m, upstream *u)
{
  const mm_model_load *load = m->load;
  u->known_slowness = 1;
  u->slowness
      = g_rand_double (m->random) < load->slow_share ? load->slow_factor : 1;
  u->slowness /= draw_factor (m, load->speed_spread);
  u->cpu_milli = (int64_t)(load->upstream_cpu_milli
                           * draw_factor (m, load->size_spread));
  u->free_milli = u->cpu_milli;
}
