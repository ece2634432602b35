/* mm_kept_foreign: decides which ends of foreign runs can be acknowledged.  A
   foreign run was started by an earlier owner of its upstream.

   A new owner finds ends at its upstreams that were never acknowledged.  The
   ends of a kept job must stay listed until the job's home has requested them.
   The ends of other jobs should be acknowledged soon, because an upstream that
   lists an end answers every hold at once.  So the home that each job has, or
   would have as a kept job, is asked whether it needs the ends.  An owner that
   has just started knows of no kept jobs, and the home may be unreachable for
   seconds: a missing answer must not lead to an acknowledgement.  */
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

/* Without an answer the ends stay, and a later check asks again.  */
static void
on_home_answered (void *ctx, bool ok, const void *data, size_t len)
{
  foreign_request *req = ctx;
  mm_kept *k = req->kept;
  mm_kept_answer a = { 0 };
  if (!k->closed)
    {
      g_hash_table_remove (k->foreign_pending, req->job_id);
      if (ok && mm_kept_answer_read (data, len, &a) && ends_not_needed (&a))
        mm_owner_forget_job (k->deps.owner, req->job_id);
    }
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
  mm_mesh_request (k->deps.mesh, home, MM_KEPT_REQUEST_FOREIGN, job_id,
                   strlen (job_id), MM_KEPT_REQUEST_TIMEOUT_MS,
                   on_home_answered, req);
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
mm_kept_resolve_foreign (mm_kept *k, mm_time_ms now)
{
  if (now - k->foreign_checked_ms < MM_KEPT_FOREIGN_PAUSE_MS)
    return;
  k->foreign_checked_ms = now;
  GHashTable *ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  mm_owner_foreign_jobs (k->deps.owner, ids);
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init (&it, ids);
  while (g_hash_table_iter_next (&it, &id, NULL))
    {
      mm_kept_answer a;
      if (!mm_kept_home_of (k, id))
        {
          if (!g_hash_table_contains (k->foreign_pending, id))
            send_request (k, id);
          continue;
        }
      mm_kept_answer_foreign (k, id, &a);
      if (ends_not_needed (&a))
        mm_owner_forget_job (k->deps.owner, id);
    }
  g_hash_table_destroy (ids);
}
