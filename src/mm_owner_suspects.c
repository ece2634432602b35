/* mm_owner_suspects: runs suspected poison tasks isolated, and records the
   tasks that ran on an upstream which was lost.

   A poison task crashes the upstream that runs it; a suspect is a task that
   ran, or may have run, on an upstream when it was lost.  */
#include "mm_event.h"
#include "mm_metrics.h"
#include "mm_owner_priv.h"

void
mm_owner_set_suspects (mm_owner *o, mm_suspects *s)
{
  o->suspects = s;
}

void
mm_owner_count_suspect (mm_owned_upstream *owned, const mm_work *w, int by)
{
  if (w->request.isolated)
    owned->n_suspects = (uint32_t)((int)owned->n_suspects + by);
}

bool
mm_owner_suspect_allowed (const mm_owned_upstream *owned, const mm_work *w)
{
  return !w->request.isolated || owned->n_suspects == 0;
}

uint32_t
mm_owner_contention (const mm_owned_upstream *owned, const mm_work *w)
{
  uint32_t others
      = w->request.isolated ? (uint32_t)mm_exec_count_runs (owned->exec) : 0;
  /* One suspect there outweighs any number of other runs.  */
  return owned->n_suspects * G_MAXUINT16 + MIN (others, G_MAXUINT16 - 1);
}

/* Appends the hashes of @tasks, which is freed, and logs that the tasks are
   suspect unless the loss was reported before.  Returns their number.  */
static size_t
add_suspects (GArray *hashes, const mm_exec *x, GList *tasks)
{
  size_t n = 0;
  for (GList *l = tasks; l; l = l->next, n++)
    {
      uint64_t hash = mm_task_hash (l->data);
      g_array_append_val (hashes, hash);
      if (mm_exec_is_lost (x))
        continue;
      mm_metrics_count (MM_CT_TASKS_SUSPECT);
      mm_log_event (MM_EV_TASK_SUSPECT, MM_TASK ((const mm_task_id *)l->data),
                    MM_TEXT (mm_exec_info (x)->name));
    }
  g_list_free (tasks);
  return n;
}

/* Returns the hashes of @tasks, which is freed.  */
static GArray *
hashes_of (GList *tasks)
{
  GArray *hashes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (GList *l = tasks; l; l = l->next)
    {
      uint64_t hash = mm_task_hash (l->data);
      g_array_append_val (hashes, hash);
    }
  g_list_free (tasks);
  return hashes;
}

/* Records the tasks that ran on a lost upstream as suspects, and those that
   failed there shortly before.  A draining upstream leaves as planned, so its
   loss counts only against tasks that had just started there, and is no
   evidence.  One in an evacuated data centre does not have to leave, and may
   have crashed before the evacuation.  */
void
mm_owner_on_upstream_lost (void *ctx, mm_exec *x, bool crashed)
{
  mm_owned_upstream *owned = ctx;
  const mm_upstream_info *u = mm_exec_info (x);
  mm_suspects *suspects = owned->owner->suspects;
  if (!suspects)
    return;
  GArray *hashes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  if (!u->draining)
    add_suspects (hashes, x, mm_exec_confirmed_tasks (x));
  size_t n_unconfirmed
      = add_suspects (hashes, x,
                      u->draining ? mm_exec_just_started_tasks (x)
                                  : mm_exec_unconfirmed_tasks (x));
  GArray *just_started = hashes_of (mm_exec_just_started_tasks (x));
  mm_time_ms since_ms = mm_exec_unresponsive_since_ms (x);
  since_ms = since_ms ? since_ms : mm_clock_now_ms ();
  mm_loss loss
      = { .upstream = u->name,
          .born_ms = mm_exec_born_ms (x),
          .addr = u->addr,
          .draining = u->draining,
          .verdict = crashed ? MM_LOSS_CRASHED : MM_LOSS_OPEN,
          .unresponsive_since_ms = since_ms,
          .after_start_ms = MAX (since_ms - mm_exec_last_start_ms (x), 0),
          .tasks = (const uint64_t *)(const void *)hashes->data,
          .n_tasks = hashes->len,
          .n_unconfirmed = n_unconfirmed,
          .just_started = (const uint64_t *)(const void *)just_started->data,
          .n_just_started = just_started->len };
  if (!u->draining || hashes->len)
    mm_suspects_record (suspects, &loss);
  g_array_free (hashes, TRUE);
  g_array_free (just_started, TRUE);
}

void
mm_owner_on_upstream_back (void *ctx, mm_exec *x)
{
  mm_owned_upstream *owned = ctx;
  if (owned->owner->suspects)
    mm_suspects_alive (owned->owner->suspects, mm_exec_info (x)->name,
                       mm_exec_born_ms (x));
  if (owned->owner->gained)
    owned->owner->gained (owned->owner->gained_ctx);
}
