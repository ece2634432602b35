/* mm_known: see mm_known.h.  Jobs expire in the order they became known,
   so dropping the old ones costs only what is dropped.  */
#include "mm_known.h"

typedef struct
{
  char *job_id;
  uint64_t fingerprint; /* upstreams listed when it was accepted */
  mm_time_ms at_ms;
  GList *link; /* in order */
} known_job;

struct mm_known
{
  GHashTable *jobs; /* job id -> known_job */
  GQueue order;     /* known_job *, oldest first */
};

static void
free_job (gpointer data)
{
  known_job *j = data;
  g_free (j->job_id);
  g_free (j);
}

mm_known *
mm_known_create (void)
{
  mm_known *k = g_new0 (mm_known, 1);
  k->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_job);
  g_queue_init (&k->order);
  return k;
}

void
mm_known_destroy (mm_known *k)
{
  if (!k)
    return;
  g_queue_clear (&k->order);
  g_hash_table_destroy (k->jobs);
  g_free (k);
}

static void
drop (mm_known *k, known_job *j)
{
  g_queue_delete_link (&k->order, j->link);
  g_hash_table_remove (k->jobs, j->job_id);
}

/**
 * mm_known_add() - a job was accepted before.
 * @k: the set.
 * @job_id: the job, copied.
 * @fingerprint: mm_pool_list_fingerprint() when it was accepted.
 * @now: mm_clock_now_ms().
 */
void
mm_known_add (mm_known *k, const char *job_id, uint64_t fingerprint,
              mm_time_ms now)
{
  known_job *old = g_hash_table_lookup (k->jobs, job_id);
  if (old)
    drop (k, old);
  known_job *j = g_new0 (known_job, 1);
  j->job_id = g_strdup (job_id);
  j->fingerprint = fingerprint;
  j->at_ms = now;
  g_queue_push_tail (&k->order, j);
  j->link = k->order.tail;
  g_hash_table_insert (k->jobs, j->job_id, j);
}

bool
mm_known_find (const mm_known *k, const char *job_id, uint64_t *fingerprint)
{
  const known_job *j = g_hash_table_lookup (k->jobs, job_id);
  if (j && fingerprint)
    *fingerprint = j->fingerprint;
  return j != NULL;
}

/**
 * mm_known_expire() - forget jobs whose answers no longer count.
 * @k: the set.
 * @before: those known from before this time go.
 */
void
mm_known_expire (mm_known *k, mm_time_ms before)
{
  known_job *j;
  while ((j = g_queue_peek_head (&k->order)) && j->at_ms < before)
    drop (k, j);
}

uint32_t
mm_known_count (const mm_known *k)
{
  return g_hash_table_size (k->jobs);
}
