/* mm_accepted_jobs: see mm_accepted_jobs.h.  Jobs expire in the order in which
   they were added, so expiry visits only the jobs that it drops.  */
#include "mm_accepted_jobs.h"

typedef struct
{
  char *job_id;
  uint64_t fingerprint; /* of the upstream list when it was accepted */
  mm_time_ms added_ms;  /* time of the last mm_accepted_jobs_add() */
  GList *link;          /* its element of mm_accepted_jobs.order */
} accepted_job;

struct mm_accepted_jobs
{
  GHashTable *jobs; /* job id -> accepted_job, owned */
  GQueue order;     /* accepted_job *, oldest first */
};

static void
job_free (gpointer data)
{
  accepted_job *j = data;
  g_free (j->job_id);
  g_free (j);
}

mm_accepted_jobs *
mm_accepted_jobs_create (void)
{
  mm_accepted_jobs *accepted = g_new0 (mm_accepted_jobs, 1);
  accepted->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, job_free);
  g_queue_init (&accepted->order);
  return accepted;
}

void
mm_accepted_jobs_destroy (mm_accepted_jobs *accepted)
{
  if (!accepted)
    return;
  g_queue_clear (&accepted->order);
  g_hash_table_destroy (accepted->jobs);
  g_free (accepted);
}

static void
drop (mm_accepted_jobs *accepted, accepted_job *j)
{
  g_queue_delete_link (&accepted->order, j->link);
  g_hash_table_remove (accepted->jobs, j->job_id);
}

/**
 * mm_accepted_jobs_add() - add a job that was accepted before.
 * @accepted: the set.
 * @job_id: the job; copied.
 * @fingerprint: mm_pool_list_fingerprint() when the job was accepted.
 * @now: mm_clock_now_ms().
 *
 * Replaces the entry of a job that is in the set already.
 */
void
mm_accepted_jobs_add (mm_accepted_jobs *accepted, const char *job_id,
                      uint64_t fingerprint, mm_time_ms now)
{
  accepted_job *old = g_hash_table_lookup (accepted->jobs, job_id);
  if (old)
    drop (accepted, old);
  accepted_job *j = g_new0 (accepted_job, 1);
  j->job_id = g_strdup (job_id);
  j->fingerprint = fingerprint;
  j->added_ms = now;
  g_queue_push_tail (&accepted->order, j);
  j->link = accepted->order.tail;
  g_hash_table_insert (accepted->jobs, j->job_id, j);
}

bool
mm_accepted_jobs_find (const mm_accepted_jobs *accepted, const char *job_id,
                       uint64_t *fingerprint)
{
  const accepted_job *j = g_hash_table_lookup (accepted->jobs, job_id);
  if (j && fingerprint)
    *fingerprint = j->fingerprint;
  return j != NULL;
}

/**
 * mm_accepted_jobs_expire() - drop the jobs whose answers are no longer kept.
 * @accepted: the set.
 * @before: jobs that were added before this time are dropped.
 */
void
mm_accepted_jobs_expire (mm_accepted_jobs *accepted, mm_time_ms before)
{
  accepted_job *j;
  while ((j = g_queue_peek_head (&accepted->order)) && j->added_ms < before)
    drop (accepted, j);
}

uint32_t
mm_accepted_jobs_count (const mm_accepted_jobs *accepted)
{
  return g_hash_table_size (accepted->jobs);
}
