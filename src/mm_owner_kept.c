/* mm_owner_kept: keeps the ends of kept jobs' runs until their homes have
   stored them, and searches for tasks that are in doubt at their homes.  */
#include "mm_owner_priv.h"

#include "config.h"

#include <string.h>

void
mm_owner_acknowledge_end (mm_owner *o, const mm_task_id *task, uint32_t hash)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_exec *x = ((mm_owned_upstream *)v)->exec;
      size_t n;
      const mm_unacked_end *unacked = mm_exec_unacked_ends (x, &n);
      for (size_t i = n; i-- > 0;)
        if (mm_task_id_equal (&unacked[i].task, task)
            && mm_run_hash (mm_exec_info (x)->name, unacked[i].run) == hash)
          mm_exec_ack_end (x, i);
    }
}

/* Counts the tasks of the set that wait here for free capacity.  */
static uint32_t
count_waiting (const mm_owner *o, GHashTable *tasks)
{
  uint32_t n = 0;
  for (GList *l = o->waiting->head; l; l = l->next)
    n += g_hash_table_contains (tasks, &((mm_work *)l->data)->request.id);
  return n;
}

/* Appends the unacknowledged ends of the set's tasks to @ends, an array of
   mm_found_end.  */
static void
append_unacked_ends (const mm_exec *x, GHashTable *tasks, GArray *ends)
{
  size_t n;
  const mm_unacked_end *unacked = mm_exec_unacked_ends (x, &n);
  for (size_t i = 0; i < n; i++)
    {
      mm_found_end e = { .task = unacked[i].task,
                         .how = unacked[i].how,
                         .run_hash = mm_run_hash (mm_exec_info (x)->name,
                                                  unacked[i].run) };
      if (g_hash_table_contains (tasks, &e.task))
        g_array_append_val (ends, e);
    }
}

/**
 * mm_owner_search() - search here for tasks that are in doubt at their home.
 * @o: the owner.
 * @tasks: a set of mm_task_id.
 * @out: the result is added to it: upstreams on which none of the tasks runs
 *       or will be started by this owner, ends of the tasks that are not
 *       acknowledged, and the number of the tasks that wait or run here.
 */
void
mm_owner_search (const mm_owner *o, GHashTable *tasks, mm_search_result *out)
{
  out->present += count_waiting (o, tasks);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const mm_owned_upstream *owned = v;
      const mm_exec *x = owned->exec;
      out->present += mm_exec_count_runs_of (x, tasks);
      if (!o->confirmed || owned->released || mm_exec_fenced (x))
        continue;
      /* A listed end is certain.  Later pages are listed only once it is
         acknowledged, so it must not wait until the upstream is clear.  */
      append_unacked_ends (x, tasks, out->ends);
      /* An upstream counts as free of the tasks only if this instance is
         confirmed as its owner and the session has listed its runs: another
         owner with a higher fencing token may have started one there.  */
      if (!mm_exec_runs_confirmed (x))
        continue;
      uint64_t hash = mm_upstream_hash (mm_exec_info (x)->name);
      g_array_append_val (out->clear_upstreams, hash);
    }
}

/* Adds copies of the ids of jobs for which ends of foreign runs are held, or
   ends that were first seen by @seen_by_ms.  */
static void
add_jobs_with_ends (const mm_owner *o, mm_time_ms seen_by_ms, GHashTable *ids)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      size_t n;
      const mm_unacked_end *unacked
          = mm_exec_unacked_ends (((mm_owned_upstream *)v)->exec, &n);
      for (size_t i = 0; i < n; i++)
        if ((unacked[i].foreign || unacked[i].first_seen_ms <= seen_by_ms)
            && !g_hash_table_contains (ids, unacked[i].task.job))
          g_hash_table_add (ids, g_strdup (unacked[i].task.job));
    }
}

void
mm_owner_foreign_jobs (const mm_owner *o, GHashTable *ids)
{
  add_jobs_with_ends (o, 0, ids);
}

void
mm_owner_overdue_jobs (const mm_owner *o, GHashTable *ids)
{
  add_jobs_with_ends (o, mm_clock_now_ms () - MM_UNACKED_END_OVERDUE_MS, ids);
}

void
mm_owner_held_tasks (const mm_owner *o, const char *job_id, GHashTable *tasks)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      size_t n;
      const mm_unacked_end *unacked
          = mm_exec_unacked_ends (((mm_owned_upstream *)v)->exec, &n);
      for (size_t i = 0; i < n; i++)
        if (strcmp (unacked[i].task.job, job_id) == 0)
          g_hash_table_add (
              tasks, g_memdup2 (&unacked[i].task, sizeof unacked[i].task));
    }
}

void
mm_owner_acknowledge_tasks (mm_owner *o, GHashTable *tasks)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_exec *x = ((mm_owned_upstream *)v)->exec;
      size_t n;
      const mm_unacked_end *unacked = mm_exec_unacked_ends (x, &n);
      for (size_t i = n; i-- > 0;)
        if (g_hash_table_contains (tasks, &unacked[i].task))
          mm_exec_ack_end (x, i);
    }
}

void
mm_owner_forget_job (mm_owner *o, const char *job_id)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_exec *x = ((mm_owned_upstream *)v)->exec;
      size_t n;
      const mm_unacked_end *unacked = mm_exec_unacked_ends (x, &n);
      for (size_t i = n; i-- > 0;)
        if (strcmp (unacked[i].task.job, job_id) == 0)
          mm_exec_ack_end (x, i);
      mm_exec_forget_job (x, job_id);
    }
}
