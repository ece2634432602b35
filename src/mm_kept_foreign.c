/* mm_kept_foreign: whose are the ends that an earlier owner left behind?

   A new owner finds ends at its upstreams that were never taken note of.
   Those of kept jobs must stay listed until their homes have asked for them;
   the others should go soon, as an upstream that lists an end answers every
   hold at once.  The home of each job is asked.  An owner that has just
   started knows of no kept job, and its home may be cut off for seconds: no
   answer is no reason to let an end go.  */
#include "mm_kept_priv.h"

#include "config.h"

#include <string.h>

typedef struct
{
  mm_kept *kept;
  char *job_id;
} question;

static bool
nobody_asks_for (const mm_kept_answer *a)
{
  return a->status == MM_KEPT_NO_JOB
         || (a->status == MM_KEPT_OK && mm_job_phase_over (a->phase));
}

static void
on_told (void *ctx, bool ok, const void *data, size_t len)
{
  question *q = ctx;
  mm_kept *k = q->kept;
  mm_kept_answer a = { 0 };
  if (!k->closed)
    {
      g_hash_table_remove (k->asked, q->job_id);
      if (ok && mm_kept_answer_read (data, len, &a) && nobody_asks_for (&a))
        mm_owner_forget_job (k->p.owner, q->job_id);
    }
  mm_kept_unref (k);
  g_free (q->job_id);
  g_free (q);
}

static void
ask_home (mm_kept *k, const char *job_id)
{
  uint32_t part = mm_homes_part_of (k->homes, job_id);
  const char *home = mm_homes_of (k->homes, part);
  if (!home)
    return;
  mm_mesh_need (k->p.mesh, home);
  if (!mm_mesh_is_connected (k->p.mesh, home))
    return;
  question *q = g_new (question, 1);
  *q = (question){ .kept = k, .job_id = g_strdup (job_id) };
  k->refs++;
  g_hash_table_add (k->asked, g_strdup (job_id));
  mm_mesh_ask (k->p.mesh, home, MM_ASK_FOREIGN, job_id, strlen (job_id),
               MM_KEPT_ASK_MS, on_told, q);
}

/* A home in doubt may not know of a job that its successor has accepted.  */
void
mm_kept_answer_foreign (const mm_kept *k, const char *job_id,
                        mm_kept_answer *out)
{
  mm_home *h = mm_kept_home_of (k, job_id);
  *out = (mm_kept_answer){ .status = MM_KEPT_BUSY };
  if (h && mm_kept_vouches (k, mm_homes_part_of (k->homes, job_id)))
    mm_home_state (h, job_id, out);
}

void
mm_kept_ask_foreign (mm_kept *k, mm_time_ms now)
{
  if (now - k->foreign_ms < MM_KEPT_FOREIGN_MS)
    return;
  k->foreign_ms = now;
  GHashTable *ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  mm_owner_foreign_jobs (k->p.owner, ids);
  GHashTableIter it;
  gpointer id;
  g_hash_table_iter_init (&it, ids);
  while (g_hash_table_iter_next (&it, &id, NULL))
    {
      mm_kept_answer a;
      if (!mm_kept_home_of (k, id))
        {
          if (!g_hash_table_contains (k->asked, id))
            ask_home (k, id);
          continue;
        }
      mm_kept_answer_foreign (k, id, &a);
      if (nobody_asks_for (&a))
        mm_owner_forget_job (k->p.owner, id);
    }
  g_hash_table_destroy (ids);
}
