/* mm_run_table: the runs of one upstream, as the upstream keeps them.  */
#include "mm_run_table.h"

#include "config.h"

/* A run in progress.  */
typedef struct
{
  mm_task_id task;
  uint32_t number;        /* run number of the task */
  mm_resources resources; /* capacity that the run uses */
  mm_time_ms started_ms;
  mm_time_ms ends_ms; /* when it ends, G_MAXINT64: it hangs */
  mm_end how;         /* end that is listed at ends_ms */
} table_run;

struct mm_run_table
{
  mm_resources capacity;
  bool enforce_capacity;   /* refuse starts that do not fit */
  mm_time_ms max_lease_ms; /* longest lease, from the arrival of a call */
  mm_run_mode mode;
  uint64_t fence;              /* highest fencing token seen */
  mm_time_ms lease_expires_ms; /* of all runs */
  GArray *runs;                /* table_run */
  GArray *unacked_ends;        /* mm_listed_end, not acknowledged */
  GArray *running;    /* mm_listed_run, filled by mm_run_table_list() */
  GArray *ended_runs; /* mm_ended_run */
  mm_time_ms step_ms; /* time of the last step */
  uint64_t last_seq;  /* sequence number of the last end */
  /* Task -> highest run number that was stopped or has ended: a start with
     this number or a lower one is refused.  */
  GHashTable *highest_refused;
  mm_run_counts counts;
};

mm_run_table *
mm_run_table_create (const mm_resources *capacity, bool enforce_capacity,
                     mm_time_ms max_lease_ms)
{
  mm_run_table *t = g_new0 (mm_run_table, 1);
  t->capacity = *capacity;
  t->enforce_capacity = enforce_capacity;
  t->max_lease_ms = max_lease_ms;
  t->runs = g_array_new (FALSE, TRUE, sizeof (table_run));
  t->unacked_ends = g_array_new (FALSE, TRUE, sizeof (mm_listed_end));
  t->ended_runs = g_array_new (FALSE, TRUE, sizeof (mm_ended_run));
  t->running = g_array_new (FALSE, TRUE, sizeof (mm_listed_run));
  t->highest_refused = g_hash_table_new_full (mm_task_id_hash,
                                              mm_task_id_equal, g_free, NULL);
  return t;
}

void
mm_run_table_destroy (mm_run_table *t)
{
  if (!t)
    return;
  g_array_free (t->runs, TRUE);
  g_array_free (t->unacked_ends, TRUE);
  g_array_free (t->running, TRUE);
  g_array_free (t->ended_runs, TRUE);
  g_hash_table_destroy (t->highest_refused);
  g_free (t);
}

void
mm_run_table_set_mode (mm_run_table *t, mm_run_mode mode)
{
  t->mode = mode;
}

void
mm_run_table_set_capacity (mm_run_table *t, const mm_resources *capacity)
{
  t->capacity = *capacity;
}

static table_run *
run_at (const mm_run_table *t, guint i)
{
  return &g_array_index (t->runs, table_run, i);
}

/* Returns the run of a task, or NULL when the task is not running.  */
static table_run *
find_run (const mm_run_table *t, const mm_task_id *task)
{
  for (guint i = 0; i < t->runs->len; i++)
    if (mm_task_id_equal (&run_at (t, i)->task, task))
      return run_at (t, i);
  return NULL;
}

bool
mm_run_table_is_running (const mm_run_table *t, const mm_task_id *task)
{
  return find_run (t, task) != NULL;
}

/* Returns the highest run number of a task whose start is refused, or 0.  */
static uint32_t
highest_refused_run (const mm_run_table *t, const mm_task_id *task)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (t->highest_refused, task));
}

/* Refuses any later start of this run or of a run with a lower number.  */
static void
refuse_starts_up_to (mm_run_table *t, const mm_task_id *task, uint32_t number)
{
  if (number <= highest_refused_run (t, task))
    return;
  mm_task_id *key = g_new (mm_task_id, 1);
  *key = *task;
  g_hash_table_replace (t->highest_refused, key, GUINT_TO_POINTER (number));
}

/* Ends the run at index @i as of the last step: adds its end to those that are
   listed until they are acknowledged, and refuses any later start of it.  */
static void
end_run (mm_run_table *t, guint i, mm_end how)
{
  const table_run *r = run_at (t, i);
  mm_listed_end e = {
    .seq = ++t->last_seq, .task = r->task, .run = r->number, .how = how
  };
  g_array_append_val (t->unacked_ends, e);
  mm_ended_run p = { .task = r->task,
                     .number = r->number,
                     .started_ms = r->started_ms,
                     .ended_ms = t->step_ms,
                     .how = how };
  g_array_append_val (t->ended_runs, p);
  refuse_starts_up_to (t, &r->task, r->number);
  g_array_remove_index (t->runs, i);
}

/* Extends the lease of all runs to @deadline_ms, also for a start that starts
   nothing, but at most to max_lease_ms
   from now.  A lease is never shortened.  */
static void
extend_lease (mm_run_table *t, mm_time_ms deadline_ms, mm_time_ms now_ms)
{
  mm_time_ms expires_ms = MIN (deadline_ms, now_ms + t->max_lease_ms);
  t->lease_expires_ms = MAX (t->lease_expires_ms, expires_ms);
}

/* Returns the capacity that no run uses.  It is negative when runs exceed the
   capacity.  */
static mm_resources
free_capacity (const mm_run_table *t)
{
  mm_resources free = t->capacity;
  for (guint i = 0; i < t->runs->len; i++)
    mm_resources_sub (&free, &run_at (t, i)->resources);
  return free;
}

/* Starts a run, which ends after @run_ms unless the mode says otherwise, and
   counts it.  */
static void
add_run (mm_run_table *t, const mm_order *o, const mm_resources *required,
         mm_time_ms run_ms, mm_time_ms now_ms)
{
  int64_t percent = t->mode.slow_percent ? t->mode.slow_percent : 100;
  table_run r = { .task = *o->task,
                  .number = o->run,
                  .resources = *required,
                  .started_ms = now_ms,
                  .ends_ms = now_ms + run_ms * percent / 100,
                  .how = MM_END_DONE };
  if (t->mode.fails)
    {
      r.ends_ms = now_ms + MM_RUN_TABLE_FAIL_MS;
      r.how = MM_END_FAILED;
    }
  if (t->mode.hangs)
    r.ends_ms = G_MAXINT64;
  mm_resources free = free_capacity (t);
  t->counts.starts++;
  t->counts.over_capacity += !mm_resources_fit (required, &free);
  g_array_append_val (t->runs, r);
}

/* Returns false for a call with a fencing token that is lower than the highest
   one seen.  Otherwise the token becomes the highest one.  */
static bool
accept_fence (mm_run_table *t, uint64_t fence)
{
  if (fence < t->fence)
    return false;
  t->fence = fence;
  return true;
}

bool
mm_run_table_would_run_beside (const mm_run_table *t, const mm_order *o,
                               mm_time_ms now_ms)
{
  const table_run *current = find_run (t, o->task);
  return current && o->fence >= t->fence && current->number < o->run
         && o->deadline_ms > now_ms && now_ms < t->lease_expires_ms
         && now_ms < current->ends_ms
         && o->run > highest_refused_run (t, o->task);
}

/**
 * mm_run_table_start() - carry out an order to start a run.
 * @t: the table.
 * @o: the order.
 * @required: the resources that the task uses.
 * @run_ms: how long the task takes.
 * @now_ms: the time on the upstream's clock.
 *
 * Return: the verdict that the upstream answers: MM_CALL_OK if the run was
 * started now or is running already, otherwise the reason why it was not
 * started.  MM_CALL_OLD_RUN is also returned while another run of the task is
 * running.
 */
mm_call_verdict
mm_run_table_start (mm_run_table *t, const mm_order *o,
                    const mm_resources *required, mm_time_ms run_ms,
                    mm_time_ms now_ms)
{
  mm_run_table_step (t, now_ms);
  if (!accept_fence (t, o->fence))
    return MM_CALL_FENCED;
  const table_run *current = find_run (t, o->task);
  bool again = current && current->number == o->run;
  if (o->deadline_ms <= now_ms)
    return again ? MM_CALL_OK : MM_CALL_LATE;
  if (t->mode.refuses && !current)
    return MM_CALL_REFUSED;
  extend_lease (t, o->deadline_ms, now_ms);
  if (again)
    return MM_CALL_OK;
  if (current || o->run <= highest_refused_run (t, o->task))
    return MM_CALL_OLD_RUN;
  mm_resources free = free_capacity (t);
  if (t->enforce_capacity && !mm_resources_fit (required, &free))
    return MM_CALL_NO_CAPACITY;
  add_run (t, o, required, run_ms, now_ms);
  return MM_CALL_OK;
}

mm_call_verdict
mm_run_table_stop (mm_run_table *t, const mm_order *o, mm_time_ms now_ms)
{
  mm_run_table_step (t, now_ms);
  if (!accept_fence (t, o->fence))
    return MM_CALL_FENCED;
  refuse_starts_up_to (t, o->task, o->run);
  table_run *r = find_run (t, o->task);
  if (r && r->number <= o->run)
    {
      r->ends_ms = MIN (r->ends_ms, now_ms + MM_RUN_TABLE_STOP_MS);
      r->how = MM_END_STOPPED;
    }
  return MM_CALL_OK;
}

mm_call_verdict
mm_run_table_hold (mm_run_table *t, const mm_hold *h, mm_time_ms now_ms)
{
  mm_run_table_step (t, now_ms);
  if (!accept_fence (t, h->fence))
    return MM_CALL_FENCED;
  while (t->unacked_ends->len
         && g_array_index (t->unacked_ends, mm_listed_end, 0).seq
                <= h->acked_seq)
    g_array_remove_index (t->unacked_ends, 0);
  if (h->deadline_ms)
    extend_lease (t, h->deadline_ms, now_ms);
  return MM_CALL_OK;
}

void
mm_run_table_step (mm_run_table *t, mm_time_ms now_ms)
{
  t->step_ms = now_ms;
  for (guint i = 0; i < t->runs->len;)
    {
      if (now_ms >= t->lease_expires_ms)
        end_run (t, i, MM_END_LOST);
      else if (now_ms >= run_at (t, i)->ends_ms)
        end_run (t, i, run_at (t, i)->how);
      else
        i++;
    }
}

void
mm_run_table_clear (mm_run_table *t)
{
  g_array_set_size (t->runs, 0);
  g_array_set_size (t->unacked_ends, 0);
}

size_t
mm_run_table_run_count (const mm_run_table *t)
{
  return t->runs->len;
}

size_t
mm_run_table_unacked_end_count (const mm_run_table *t)
{
  return t->unacked_ends->len;
}

/* Returns the percentage of its run time that a run has completed: at most 99,
   and 0 for a run that hangs.  */
static int32_t
percent_done (const table_run *r, mm_time_ms now_ms)
{
  mm_time_ms total_ms = r->ends_ms - r->started_ms;
  if (r->ends_ms == G_MAXINT64 || total_ms <= 0)
    return 0;
  return (int32_t)CLAMP ((now_ms - r->started_ms) * 100 / total_ms, 0, 99);
}

void
mm_run_table_list (mm_run_table *t, mm_hold_result *out, mm_time_ms now_ms)
{
  g_array_set_size (t->running, 0);
  for (guint i = 0; i < t->runs->len; i++)
    {
      const table_run *r = run_at (t, i);
      mm_listed_run row = { .task = r->task,
                            .run = r->number,
                            .percent = percent_done (r, now_ms) };
      g_array_append_val (t->running, row);
    }
  out->running = (mm_listed_run *)(void *)t->running->data;
  out->n_running = t->running->len;
  out->ended = (mm_listed_end *)(void *)t->unacked_ends->data;
  out->n_ended = t->unacked_ends->len;
}

const mm_ended_run *
mm_run_table_ended_runs (const mm_run_table *t, size_t *n)
{
  *n = t->ended_runs->len;
  return (const mm_ended_run *)(void *)t->ended_runs->data;
}

mm_run_counts
mm_run_table_counts (const mm_run_table *t)
{
  return t->counts;
}
