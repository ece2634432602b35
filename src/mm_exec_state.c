/* mm_exec_state: queries on the state of a session.  */
#include "config.h"
#include "mm_exec_priv.h"

#include <string.h>

bool
mm_exec_evacuated (const mm_exec *x)
{
  return mm_evacuations_contain (x->common->evacuations, x->info->datacentre);
}

bool
mm_exec_takes_new_tasks (const mm_exec *x)
{
  return !x->info->draining && !mm_exec_evacuated (x);
}

bool
mm_exec_in_service (const mm_exec *x)
{
  return x->runs_known && !x->fenced && !x->replaced && !x->closed
         && mm_exec_takes_new_tasks (x) && x->clock_known;
}

bool
mm_exec_can_lease (const mm_exec *x)
{
  return x->lease_limit_ms - mm_clock_now_ms () >= MM_LEASE_MIN_MS;
}

bool
mm_exec_usable (const mm_exec *x)
{
  return mm_exec_in_service (x) && x->fence_known && !x->suspect
         && !x->hold_failed_ms && x->n_foreign == 0 && mm_exec_can_lease (x);
}

bool
mm_exec_fenced (const mm_exec *x)
{
  return x->fenced;
}

bool
mm_exec_idle (const mm_exec *x)
{
  return g_hash_table_size (x->runs) == 0;
}

mm_resources
mm_exec_free_capacity (const mm_exec *x)
{
  mm_resources free_capacity = x->info->capacity;
  mm_resources_sub (&free_capacity, &x->used);
  return free_capacity;
}

size_t
mm_exec_count_runs (const mm_exec *x)
{
  return g_hash_table_size (x->runs);
}

/* Returns whether a run that is not located may have run on the known
   incarnation.  A run that was reported with the loss of an earlier one ended
   with that.  */
static bool
may_have_run (const mm_exec *x, const mm_exec_run *r)
{
  return !r->started_later
         && (!r->reported_born_ms || r->reported_born_ms == x->born_ms);
}

/* Returns the tasks of the runs that are located, or of the others.  */
static GList *
list_tasks (const mm_exec *x, bool located)
{
  GList *tasks = NULL;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_exec_run *r = v;
      if (r->located == located && (located || may_have_run (x, r)))
        tasks = g_list_prepend (tasks, &r->id);
    }
  return tasks;
}

GList *
mm_exec_confirmed_tasks (const mm_exec *x)
{
  return list_tasks (x, true);
}

/* Returns when the upstream stopped answering.  */
static mm_time_ms
lost_ms_of (const mm_exec *x)
{
  return x->hold_failed_ms ? x->unresponsive_since_ms : mm_clock_now_ms ();
}

GList *
mm_exec_just_started_tasks (const mm_exec *x)
{
  GList *tasks = NULL;
  mm_time_ms lost_ms = lost_ms_of (x);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_exec_run *r = v;
      if (r->running_event && r->sent_ms && (r->located || may_have_run (x, r))
          && lost_ms - r->sent_ms <= MM_SUSPECTS_AFTER_START_MS)
        tasks = g_list_prepend (tasks, &r->id);
    }
  return tasks;
}

GList *
mm_exec_unconfirmed_tasks (const mm_exec *x)
{
  GList *tasks = list_tasks (x, false);
  mm_time_ms lost_ms = lost_ms_of (x);
  for (guint i = 0; i < x->ended->len; i++)
    {
      mm_exec_ended_run *f = &g_array_index (x->ended, mm_exec_ended_run, i);
      if (f->failed && lost_ms - f->ended_ms <= MM_SUSPECTS_AFTER_END_MS)
        tasks = g_list_prepend (tasks, &f->task);
    }
  return tasks;
}

void
mm_exec_report_loss (mm_exec *x, bool crashed)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_exec_run *r = v;
      if (r->located || may_have_run (x, r))
        r->reported_born_ms = x->born_ms;
    }
  x->ev.upstream_lost (x->ev.ctx, x, crashed);
}

bool
mm_exec_is_lost (const mm_exec *x)
{
  return x->lost;
}

mm_time_ms
mm_exec_unresponsive_since_ms (const mm_exec *x)
{
  return x->hold_failed_ms ? x->unresponsive_since_ms : 0;
}

mm_time_ms
mm_exec_last_start_ms (const mm_exec *x)
{
  mm_time_ms last_ms = 0;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    last_ms = MAX (last_ms, ((mm_exec_run *)v)->sent_ms);
  return last_ms;
}

mm_time_ms
mm_exec_longest_remaining_ms (const mm_exec *x, mm_time_ms now)
{
  mm_time_ms longest_ms = 0;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const mm_exec_run *r = v;
      mm_time_ms expected_ms
          = (mm_time_ms)((double)r->estimate_ms * x->slowness);
      longest_ms = MAX (longest_ms, expected_ms - (now - r->ordered_ms));
    }
  return longest_ms;
}

size_t
mm_exec_count_in_doubt (const mm_exec *x)
{
  size_t n = 0;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    n += ((mm_exec_run *)v)->phase == RUN_IN_DOUBT;
  return n;
}

size_t
mm_exec_count_open_starts (const mm_exec *x)
{
  size_t n = 0;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    n += ((mm_exec_run *)v)->start_in_flight;
  return n;
}

mm_exec_run_counts
mm_exec_count_by_state (const mm_exec *x)
{
  mm_exec_run_counts n
      = { .runs = (uint32_t)mm_exec_count_runs (x),
          .open_starts = (uint32_t)mm_exec_count_open_starts (x),
          .in_doubt = (uint32_t)mm_exec_count_in_doubt (x),
          .foreign = x->n_foreign };
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    n.kept += ((mm_exec_run *)v)->kept;
  return n;
}

const mm_upstream_info *
mm_exec_info (const mm_exec *x)
{
  return x->info;
}

int64_t
mm_exec_born_ms (const mm_exec *x)
{
  return x->born_ms;
}

uint64_t
mm_exec_fence (const mm_exec *x)
{
  return x->fence;
}

double
mm_exec_slowness (const mm_exec *x)
{
  return x->slowness;
}

const mm_unacked_end *
mm_exec_unacked_ends (const mm_exec *x, size_t *n)
{
  *n = x->unacked->len;
  return (const mm_unacked_end *)(void *)x->unacked->data;
}

void
mm_exec_ack_end (mm_exec *x, size_t i)
{
  g_array_remove_index_fast (x->unacked, (guint)i);
}

void
mm_exec_forget_job (mm_exec *x, const char *job_id)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_exec_run *r = v;
      r->kept = r->kept && strcmp (r->id.job, job_id) != 0;
    }
}

/**
 * mm_exec_runs_confirmed() - whether the runs on the upstream are known.
 * @x: the session.
 *
 * Return: true once a hold has listed the runs and all ends, and also when the
 * upstream was out of contact for longer than any lease: an upstream that
 * knows this instance's fencing token lets no earlier owner renew a lease.
 * True as well if another incarnation has replaced the upstream; otherwise
 * false when the session is fenced or closed.  The end of a run that is not
 * listed may be on a later page of the list.
 */
bool
mm_exec_runs_confirmed (const mm_exec *x)
{
  if (x->replaced)
    return true;
  bool leases_expired
      = x->hold_failed_ms
        && mm_clock_now_ms () > x->leases_expire_ms + MM_LEASE_SLACK_MS;
  return !x->fenced && !x->closed && x->fence_known
         && ((x->runs_known && !x->more_ends) || leases_expired);
}

bool
mm_exec_has_foreign_run (const mm_exec *x, const mm_task_id *task)
{
  if (x->n_foreign == 0 || x->fenced)
    return false;
  const mm_exec_run *r = g_hash_table_lookup (x->runs, task);
  return r && r->foreign;
}

uint32_t
mm_exec_count_runs_of (const mm_exec *x, GHashTable *tasks)
{
  uint32_t n = 0;
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init (&it, x->runs);
  while (g_hash_table_iter_next (&it, &id, NULL))
    n += g_hash_table_contains (tasks, id);
  return n;
}
