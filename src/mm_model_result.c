/* mm_model_result: what became of the jobs of a play.  */
#include "mm_model_priv.h"

static void
count_outcome (mm_model_outcomes *o, const job *j)
{
  o->jobs++;
  ++*(uint32_t *)(void *)((char *)o + j->outcome);
}

/* Returns the capacity that a job needs at a time.  */
static int64_t
size_of (const job *j)
{
  return j->n_tasks * j->tasks[0].cpu_milli;
}

static gint
largest_first (gconstpointer a, gconstpointer b)
{
  int64_t x = size_of (*(job *const *)a), y = size_of (*(job *const *)b);
  return (x < y) - (x > y);
}

static void
sum_up_kind (model *m, int kind)
{
  mm_model_result *r = &m->results[kind];
  GPtrArray *jobs = g_ptr_array_new ();
  for (guint i = 0; i < m->jobs->len; i++)
    {
      job *j = m->jobs->pdata[i];
      if (j->kind != kind)
        continue;
      g_ptr_array_add (jobs, j);
      count_outcome (&r->all, j);
      count_outcome (&r->datacentres[j->datacentre], j);
    }
  g_ptr_array_sort (jobs, largest_first);
  for (guint i = 0; i < (jobs->len + 9) / 10; i++)
    count_outcome (&r->largest, jobs->pdata[i]);
  g_ptr_array_free (jobs, TRUE);
}

void
mm_model_sum_up (model *m)
{
  for (size_t i = 0; i < m->load->n_kinds; i++)
    sum_up_kind (m, (int)i);
}
