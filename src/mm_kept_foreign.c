/* mm_kept_foreign: asks homes about ends that they have not acknowledged. Most
   are those of foreign runs, which an earlier owner of the upstream started.

   A new owner finds ends at its upstreams that were never acknowledged.  The
   ends of a kept job must stay listed until the job's home has requested them.
   The ends of other jobs should be acknowledged soon, because an upstream that
   lists an end answers every hold at once.  So the home that each job has, or
   would have as a kept job, is asked whether it needs the ends.  An owner that
   has just started knows of no kept jobs, and the home may be unreachable for
   seconds: a missing answer must not lead to an acknowledgement.

   The home acknowledges an end once, to the owner that reported it.  If that
   is lost, or another owner has found the end, the end would stay listed while
   its job goes on, and the ends behind it could not be acknowledged.  So the
   home is also asked which tasks are stored as done.  */
#include "mm_kept_priv.h"

#include "config.h"

#include <string.h>

/* A request to a home at another instance.  */
typedef struct
{
  mm_kept *kept;
  char *job_id;
} foreign_request;

/* Whether the home's answer shows that it will not request the ends of the
   job: the job is not a kept job, or its outcome is stored.  */
static bool
ends_not_needed (const mm_kept_answer *a)
{
  return a->status == MM_KEPT_NO_JOB
         || (a->status == MM_KEPT_OK && mm_job_phase_ended (a->phase));
}

/* Acknowledges what the home's answer shows to be of no use any more.
   @stored: tasks that are stored as done, may be NULL.  */
static void
settle (mm_kept *k, const char *job_id, const mm_kept_answer *a,
        GHashTable *stored)
{
  if (ends_not_needed (a))
    mm_owner_forget_job (k->deps.owner, job_id);
  else if (a->status == MM_KEPT_OK && stored)
    mm_owner_acknowledge_tasks (k->deps.owner, stored);
}

/* Without an answer the ends stay, and a later check asks again.  */
static void
on_home_answered (void *ctx, bool ok, const void *data, size_t len)
{
  foreign_request *req = ctx;
  mm_kept *k = req->kept;
  mm_kept_answer a = { 0 };
  GHashTable *stored = NULL;
  if (!k->closed)
    {
      g_hash_table_remove (k->foreign_pending, req->job_id);
      if (ok && mm_foreign_answer_read (data, len, &a, &stored))
        settle (k, req->job_id, &a, stored);
    }
  g_clear_pointer (&stored, g_hash_table_destroy);
  mm_kept_unref (k);
  g_free (req->job_id);
  g_free (req);
}

/* Asks the home of a job, at another instance, for the job's state.  Does
   nothing while the home is not known or not connected; a later check tries
   again.  */
static void
send_request (mm_kept *k, const char *job_id)
{
  uint32_t partition = mm_home_directory_partition_of (k->directory, job_id);
  const char *home = mm_home_directory_lookup (k->directory, partition);
  if (!home)
    return;
  mm_mesh_require_link (k->deps.mesh, home);
  if (!mm_mesh_is_connected (k->deps.mesh, home))
    return;
  foreign_request *req = g_new (foreign_request, 1);
  *req = (foreign_request){ .kept = k, .job_id = g_strdup (job_id) };
  k->refs++;
  g_hash_table_add (k->foreign_pending, g_strdup (job_id));
  GHashTable *tasks = mm_task_set_new ();
  mm_owner_held_tasks (k->deps.owner, job_id, tasks);
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_foreign_request_pack (&b, job_id, tasks);
  mm_mesh_request (k->deps.mesh, home, MM_KEPT_REQUEST_FOREIGN, b.data, b.size,
                   MM_KEPT_REQUEST_TIMEOUT_MS, on_home_answered, req);
  msgpack_sbuffer_destroy (&b);
  g_hash_table_destroy (tasks);
}

void
mm_kept_answer_foreign (const mm_kept *k, const char *job_id,
                        mm_kept_answer *out)
{
  mm_home *h = mm_kept_home_of (k, job_id);
  *out = (mm_kept_answer){ .status = MM_KEPT_BUSY };
  if (h
      && mm_kept_home_confirmed (
          k, mm_home_directory_partition_of (k->directory, job_id)))
    mm_home_state (h, job_id, out);
}

void
mm_kept_keep_stored (const mm_kept *k, const mm_kept_answer *a,
                     GHashTable *tasks)
{
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init (&it, tasks);
  while (g_hash_table_iter_next (&it, &id, NULL))
    {
      const mm_home *h = mm_kept_home_of (k, ((const mm_task_id *)id)->job);
      if (a->status != MM_KEPT_OK || !h || !mm_home_has_stored_done (h, id))
        g_hash_table_iter_remove (&it);
    }
}

/* Settles the ends of a job whose home is here.  */
static void
settle_here (mm_kept *k, const char *job_id)
{
  mm_kept_answer a;
  GHashTable *tasks = mm_task_set_new ();
  mm_kept_answer_foreign (k, job_id, &a);
  mm_owner_held_tasks (k->deps.owner, job_id, tasks);
  mm_kept_keep_stored (k, &a, tasks);
  settle (k, job_id, &a, tasks);
  g_hash_table_destroy (tasks);
}

void
mm_kept_resolve_foreign (mm_kept *k, mm_time_ms now)
{
  if (now - k->foreign_checked_ms < MM_KEPT_FOREIGN_PAUSE_MS)
    return;
  k->foreign_checked_ms = now;
  GHashTable *ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (now - k->overdue_checked_ms >= MM_UNACKED_END_OVERDUE_MS)
    {
      k->overdue_checked_ms = now;
      mm_owner_overdue_jobs (k->deps.owner, ids);
    }
  else
    mm_owner_foreign_jobs (k->deps.owner, ids);
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init (&it, ids);
  while (g_hash_table_iter_next (&it, &id, NULL))
    if (mm_kept_home_of (k, id))
      settle_here (k, id);
    else if (!g_hash_table_contains (k->foreign_pending, id))
      send_request (k, id);
  g_hash_table_destroy (ids);
}
