/* mm_owner_adopt: transfers runs to the next owner of their upstream.

   When an upstream changes its owner, the next owner finds runs there that it
   did not start.  Stopping them would fail the jobs of callers who wait for
   them (35 jobs a day where memberships are revoked).  So the next owner
   requests each run from the other owners, and the one that started it
   dispatches the task to the next owner like any other task, marked as
   running there already.  Only the next owner may renew the run's lease; the
   next owner stops the run if no other owner claims it or the link between the
   two owners is lost.

   Tasks of kept jobs are searched for by their homes instead.  */
#include "config.h"
#include "mm_event.h"
#include "mm_owner_priv.h"

#include <string.h>

void
mm_owner_set_transfer_port (mm_owner *o,
                            const mm_owner_transfer_port *callbacks)
{
  o->transfer_port = *callbacks;
}

/* ---- previous owner of an upstream ------------------------------------ */

/* Detaches a task from its upstream, which this instance no longer owns.  The
   task becomes an orphan if its run can be transferred; otherwise its end is
   reported as unknown.  */
static void
orphan (mm_owner *o, mm_work *w, const char *why)
{
  mm_owned_upstream *owned = w->running_on;
  const char *upstream = mm_exec_info (owned->exec)->name;
  w->run = mm_exec_detach (owned->exec, w, &w->ran_ms);
  if (!w->run && !owned->removed)
    return; /* the answer to its start will show whether it runs */
  mm_owner_count_suspect (owned, w, -1);
  g_hash_table_remove (o->active, &w->request.id);
  if (w->cancelled || w->request.kept || !w->run || !o->transfer_port.found)
    {
      mm_owner_finish (w, MM_END_UNKNOWN, upstream, 0, 0, why);
      return;
    }
  /* Two callers have submitted the same task.  The earlier one is answered
     now, as the run can be transferred for only one of them.  */
  mm_work *duplicate = g_hash_table_lookup (o->orphans, &w->request.id);
  if (duplicate)
    {
      g_hash_table_remove (o->orphans, &w->request.id);
      mm_owner_finish (duplicate, MM_END_UNKNOWN, upstream, 0, 0, why);
    }
  w->running_on = NULL;
  w->orphaned_on = g_strdup (upstream);
  w->orphaned_fence = mm_exec_fence (owned->exec);
  w->orphaned_ms = mm_clock_now_ms ();
  g_hash_table_replace (o->orphans, &w->request.id, w);
}

/**
 * mm_owner_orphan_all() - detach all tasks from an upstream.
 * @o: the owner.
 * @owned: the upstream, which is no longer owned here.
 * @why: the reason reported for tasks that cannot be transferred.
 *
 * Tasks that can be transferred are kept as orphans until the next owner
 * requests their runs, for MM_ORPHAN_TIMEOUT_MS at most.
 */
void
mm_owner_orphan_all (mm_owner *o, mm_owned_upstream *owned, const char *why)
{
  GList *works = g_hash_table_get_values (o->active);
  for (GList *l = works; l; l = l->next)
    if (((mm_work *)l->data)->running_on == owned)
      orphan (o, l->data, why);
  g_list_free (works);
}

/* Reports the end of a run that the upstream lists.  */
static void
finish_listed (mm_work *w, mm_end how, const char *upstream, uint32_t run,
               mm_time_ms ran_ms)
{
  if (how == MM_END_DONE)
    mm_log_event (MM_EV_TASK_ENDED, MM_TASK (&w->request.id),
                  MM_TEXT (upstream), MM_INT (ran_ms));
  mm_owner_finish (w, how, upstream, run, ran_ms, "listed");
}

/* Returns the transferred task with this id, or NULL.  */
static mm_work *
find_transferred (const mm_owner *o, const mm_task_id *task)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->transferred);
  while (g_hash_table_iter_next (&it, &v, NULL))
    if (mm_task_id_equal (&((mm_work *)v)->request.id, task))
      return v;
  return NULL;
}

/* The end that a hold lists is certain, whoever owns the upstream now: a hold
   that was sent before the change of owner is still answered.  The next owner
   requests no run that has ended, and may have dropped the end of a run before
   the run's task arrives there.  */
void
mm_owner_on_detached_ended (void *ctx, mm_exec *x, const mm_task_id *task,
                            uint32_t run, mm_end how)
{
  mm_owner *o = ((mm_owned_upstream *)ctx)->owner;
  mm_work *orphan = g_hash_table_lookup (o->orphans, task);
  mm_work *w = orphan ? orphan : find_transferred (o, task);
  const char *upstream = mm_exec_info (x)->name;
  if (!w || !w->orphaned_on || w->run != run
      || w->orphaned_fence != mm_exec_fence (x)
      || strcmp (w->orphaned_on, upstream) != 0)
    return;
  if (orphan)
    g_hash_table_remove (o->orphans, task);
  else
    {
      g_hash_table_remove (o->transferred, w);
      o->transfer_port.cancel (o->transfer_port.ctx, w->transfer);
    }
  finish_listed (w, how, upstream, run,
                 w->ran_ms + mm_clock_now_ms () - w->orphaned_ms);
}

/* Ends the session with the upstream of a found run, if the owner that found
   the run holds a higher fencing token there: its tasks become orphans, that
   of the found run also if its start has no answer yet.  This instance may not
   have noticed yet that the upstream has another owner.  A previous owner with
   a lower token may also find runs that were started here: a hold that it sent
   before the change of owner is still answered.  */
static void
fence_if_outranked (mm_owner *o, const mm_found_run *r)
{
  mm_owned_upstream *owned
      = g_hash_table_lookup (o->owned_upstreams, r->upstream);
  if (!owned || r->fence <= mm_exec_fence (owned->exec))
    return;
  mm_owner_record_found (owned);
  mm_exec_found_by_next (owned->exec, &r->task, r->run);
}

mm_work *
mm_owner_claim (mm_owner *o, const mm_found_run *r, mm_task_request *t)
{
  fence_if_outranked (o, r);
  mm_work *w = g_hash_table_lookup (o->orphans, &r->task);
  if (!w || w->run != r->run || w->orphaned_fence >= r->fence
      || strcmp (w->orphaned_on, r->upstream) != 0)
    return NULL;
  mm_time_ms now = mm_clock_now_ms ();
  g_hash_table_remove (o->orphans, &r->task);
  *t = w->request;
  t->running_at = w->orphaned_on;
  t->run = r->run;
  t->ran_ms = w->ran_ms + now - w->orphaned_ms;
  t->silent_ms = t->awaited_ms ? now - *t->awaited_ms : 0;
  return w;
}

mm_time_ms
mm_owner_silent_ms (const mm_owner *o)
{
  mm_time_ms now = mm_clock_now_ms ();
  mm_time_ms oldest_ms = o->input_read_ms ? o->input_read_ms : now;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->transferred);
  while (g_hash_table_iter_next (&it, &v, NULL))
    {
      const mm_time_ms *awaited_ms = ((mm_work *)v)->request.awaited_ms;
      if (awaited_ms)
        oldest_ms = MIN (oldest_ms, *awaited_ms);
    }
  return now - oldest_ms;
}

void
mm_owner_transfer (mm_owner *o, mm_work *w, void *transfer)
{
  if (!transfer)
    {
      mm_owner_finish (w, MM_END_UNKNOWN, NULL, 0, 0, "next owner not linked");
      return;
    }
  w->transfer = transfer;
  g_hash_table_add (o->transferred, w);
}

void
mm_owner_transferred_end (void *work, const mm_work_result *r)
{
  mm_work *w = work;
  g_hash_table_remove (w->owner->transferred, w);
  mm_owner_finish (w, r->how, r->upstream, r->run, r->ran_ms, r->why);
}

bool
mm_owner_cancel_transfer (mm_owner *o, mm_work *w)
{
  if (g_hash_table_remove (o->transferred, w))
    o->transfer_port.cancel (o->transfer_port.ctx, w->transfer);
  else if (g_hash_table_lookup (o->orphans, &w->request.id) == w)
    g_hash_table_remove (o->orphans, &w->request.id);
  else if (g_list_find (o->unadopted, w))
    o->unadopted = g_list_remove (o->unadopted, w);
  else
    return false;
  mm_owner_set_in_doubt (o, &w->request.id);
  mm_owner_free_work (w);
  return true;
}

/* ---- earlier runs of a task ------------------------------------------- */

void
mm_owner_set_in_doubt (mm_owner *o, const mm_task_id *task)
{
  mm_task_id *key = g_new (mm_task_id, 1);
  mm_time_ms *until_ms = g_new (mm_time_ms, 1);
  *key = *task;
  *until_ms = mm_clock_now_ms () + MM_IN_DOUBT_MS;
  g_hash_table_replace (o->in_doubt, key, until_ms);
}

static gboolean
doubt_is_over (gpointer task, gpointer until_ms, gpointer now)
{
  return *(mm_time_ms *)until_ms <= *(mm_time_ms *)now;
}

static bool
is_found (const mm_owner *o, const mm_task_id *task)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    if (mm_exec_has_foreign_run (((mm_owned_upstream *)v)->exec, task))
      return true;
  return false;
}

bool
mm_owner_has_earlier_run (const mm_owner *o, const mm_task_id *task)
{
  return g_hash_table_contains (o->active, task)
         || g_hash_table_contains (o->orphans, task)
         || g_hash_table_contains (o->in_doubt, task)
         || find_transferred (o, task) || is_found (o, task);
}

/* ---- next owner of an upstream ---------------------------------------- */

/* Returns how the upstream lists the end of the run at which @t is said to
   run, MM_END_UNKNOWN if it does not.  */
static mm_end
listed_end (const mm_exec *x, const mm_task_request *t)
{
  size_t n;
  const mm_unacked_end *ends = mm_exec_unacked_ends (x, &n);
  for (size_t i = 0; i < n; i++)
    if (ends[i].run == t->run && mm_task_id_equal (&ends[i].task, &t->id))
      return ends[i].how;
  return MM_END_UNKNOWN;
}

void
mm_owner_adopt (mm_owner *o, mm_work *w)
{
  mm_owned_upstream *owned
      = g_hash_table_lookup (o->owned_upstreams, w->request.running_at);
  if (owned && !g_hash_table_contains (o->active, &w->request.id))
    {
      /* The adoption frees capacity for waiting tasks.  A second submission of
         this task must not be started then, so the run is entered first.  */
      w->running_on = owned;
      g_hash_table_insert (o->active, &w->request.id, w);
      if (mm_exec_adopt (owned->exec, &w->request, w))
        {
          mm_owner_count_suspect (owned, w, 1);
          return;
        }
      g_hash_table_remove (o->active, &w->request.id);
      w->running_on = NULL;
    }
  /* The run may have ended since it was found.  */
  w->listed_end
      = owned ? listed_end (owned->exec, &w->request) : MM_END_UNKNOWN;
  /* Reported at the next tick, when the submitter has the task's handle.  */
  o->unadopted = g_list_prepend (o->unadopted, w);
}

/* ---- both owners ------------------------------------------------------ */

static mm_work *
first_expired_orphan (mm_owner *o, mm_time_ms now)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->orphans);
  while (g_hash_table_iter_next (&it, NULL, &v))
    if (now - ((mm_work *)v)->orphaned_ms >= MM_ORPHAN_TIMEOUT_MS)
      return v;
  return NULL;
}

/* The next orphan is searched for only after the callback of the previous one,
   which may cancel others.  */
void
mm_owner_tick_adoption (mm_owner *o, mm_time_ms now)
{
  mm_work *w;
  g_hash_table_foreach_remove (o->in_doubt, doubt_is_over, &now);
  while ((w = first_expired_orphan (o, now)))
    {
      g_hash_table_remove (o->orphans, &w->request.id);
      mm_owner_finish (w, MM_END_UNKNOWN, w->orphaned_on, w->run, 0,
                       "upstream handed over, run not taken over");
    }
  while (o->unadopted)
    {
      w = o->unadopted->data;
      o->unadopted = g_list_delete_link (o->unadopted, o->unadopted);
      if (w->listed_end != MM_END_UNKNOWN)
        finish_listed (w, w->listed_end, w->request.running_at, w->request.run,
                       w->request.ran_ms);
      else
        mm_owner_finish (w, MM_END_UNKNOWN, w->request.running_at,
                         w->request.run, 0, "not there any more");
    }
}

void
mm_owner_destroy_transfers (mm_owner *o)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->orphans);
  while (g_hash_table_iter_next (&it, NULL, &v))
    mm_owner_free_work (v);
  g_hash_table_iter_init (&it, o->transferred);
  while (g_hash_table_iter_next (&it, &v, NULL))
    mm_owner_free_work (v);
  g_list_free_full (o->unadopted, (GDestroyNotify)mm_owner_free_work);
  g_hash_table_destroy (o->orphans);
  g_hash_table_destroy (o->transferred);
  g_hash_table_destroy (o->in_doubt);
}
