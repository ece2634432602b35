/* mm_owner_kept: ends of kept jobs' tasks, until their homes have stored them,
   and the search for tasks that their homes lost sight of.  */
#include "mm_owner_priv.h"

#include <string.h>

void
mm_owner_note_end (mm_owner *o, const mm_task_id *task, uint32_t mark)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_exec *x = ((mm_slot *)v)->exec;
      size_t n;
      const mm_held_end *h = mm_exec_held (x, &n);
      for (size_t i = n; i-- > 0;)
        if (mm_task_id_equal (&h[i].task, task)
            && mm_run_mark (mm_exec_info (x)->name, h[i].run) == mark)
          mm_exec_drop_held (x, i);
    }
}

/* How many of the tasks wait here for room?  */
static uint32_t
count_waiting (const mm_owner *o, GHashTable *tasks)
{
  uint32_t n = 0;
  for (GList *l = o->waiting->head; l; l = l->next)
    n += g_hash_table_contains (tasks, &((mm_work *)l->data)->t.id);
  return n;
}

static void
add_held (const mm_exec *x, GHashTable *tasks, GArray *ends)
{
  size_t n;
  const mm_held_end *h = mm_exec_held (x, &n);
  for (size_t i = 0; i < n; i++)
    {
      mm_found_end e
          = { .task = h[i].task,
              .how = h[i].how,
              .mark = mm_run_mark (mm_exec_info (x)->name, h[i].run) };
      if (g_hash_table_contains (tasks, &e.task))
        g_array_append_val (ends, e);
    }
}

/**
 * mm_owner_census() - look for tasks whose fate their home lost sight of.
 * @o: the owner.
 * @tasks: a set of mm_task_id.
 * @out: upstreams on which none of them runs, or will by this owner's
 *   doing, and ends of theirs that are not taken note of, are added.
 */
void
mm_owner_census (const mm_owner *o, GHashTable *tasks, mm_census *out)
{
  out->present += count_waiting (o, tasks);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const mm_exec *x = ((mm_slot *)v)->exec;
      out->present += mm_exec_count_of (x, tasks);
      /* An owner that was outranked meanwhile cannot vouch for its idle
         upstreams: it would not know.  */
      if (!o->sure || !mm_exec_sure (x))
        continue;
      uint64_t mark = mm_upstream_mark (mm_exec_info (x)->name);
      g_array_append_val (out->clear, mark);
      add_held (x, tasks, out->ends);
    }
}

void
mm_owner_foreign_jobs (const mm_owner *o, GHashTable *ids)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      size_t n;
      const mm_held_end *h = mm_exec_held (((mm_slot *)v)->exec, &n);
      for (size_t i = 0; i < n; i++)
        if (h[i].foreign && !g_hash_table_contains (ids, h[i].task.job))
          g_hash_table_add (ids, g_strdup (h[i].task.job));
    }
}

void
mm_owner_forget_job (mm_owner *o, const char *job_id)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_exec *x = ((mm_slot *)v)->exec;
      size_t n;
      const mm_held_end *h = mm_exec_held (x, &n);
      for (size_t i = n; i-- > 0;)
        if (strcmp (h[i].task.job, job_id) == 0)
          mm_exec_drop_held (x, i);
      mm_exec_forget_job (x, job_id);
    }
}
