/* mm_model_shed: decisions on waiting jobs in the model.  */
#include "mm_model_priv.h"

#include "mm_shedding.h"

/* The load of each kind, computed once a tick.  */
typedef struct
{
  bool known[MM_MODEL_MAX_KINDS];
  mm_time_ms wait_ms[MM_MODEL_MAX_KINDS];
} waits;

/* Returns the expected wait of a job.  Its own tasks are among those that
   wait, and one more is added, as in mm_jobs.  */
static mm_time_ms
expected_wait_ms (const model *m, instance *n, const job *j, waits *w)
{
  if (!w->known[j->kind])
    {
      mm_load load
          = mm_model_known_load (m, n, j->kind, j->tasks[0].cpu_milli);
      w->wait_ms[j->kind] = mm_admission_expected_wait_ms (&load, 1);
      w->known[j->kind] = true;
    }
  return w->wait_ms[j->kind];
}

/* Places the reservations of a job's tasks behind those of all others.  */
static void
yield_turn (model *m, job *j)
{
  j->yields = true;
  for (uint32_t i = 0; i < j->n_tasks; i++)
    {
      mm_model_cancel_reservations (m, &j->tasks[i], NULL);
      mm_model_dispatch (m, &j->tasks[i]);
    }
}

static void
decide (model *m, instance *n, job *j, waits *w)
{
  mm_shedding_job s = { .now_ms = (mm_time_ms)m->now_ms,
                        .on_time_start_ms = (mm_time_ms)j->on_time_start_ms,
                        .latest_start_ms = (mm_time_ms)j->latest_start_ms,
                        .expected_wait_ms = expected_wait_ms (m, n, j, w) };
  mm_shedding_verdict v = mm_shedding_decide (&s);
  if (m->load->reject_early
      && s.now_ms + s.expected_wait_ms > s.on_time_start_ms)
    v = MM_SHEDDING_REJECT;
  if (v == MM_SHEDDING_REJECT)
    mm_model_answer (m, j, offsetof (mm_model_outcomes, rejected));
  else if (v == MM_SHEDDING_YIELD && !j->yields)
    yield_turn (m, j);
}

/* Returns whether a task of the job has started.  */
static bool
has_started (const job *j)
{
  for (uint32_t i = 0; i < j->n_tasks; i++)
    if (j->tasks[i].started)
      return true;
  return false;
}

void
mm_model_on_tick (model *m, instance *n)
{
  waits w = { 0 };
  mm_model_update_overloads (m, n);
  for (guint i = 0; i < n->open->len;)
    {
      job *j = n->open->pdata[i];
      if (!j->over && !mm_model_may_have_started (j))
        decide (m, n, j, &w);
      if (j->over || has_started (j))
        g_ptr_array_remove_index_fast (n->open, i);
      else
        i++;
    }
  mm_model_push_event (m, (event){ .at_ms = m->now_ms + MM_EXEC_TICK_MS,
                                   .kind = EVENT_TICK,
                                   .instance = n });
}
