/* mm_kept: opens and closes homes as the group assigns partitions, and starts
   searches for tasks in doubt.  */
#include "mm_kept_priv.h"

#include "config.h"

#include <string.h>

/* ---- homes at this instance ------------------------------------------- */

/* Acknowledges stored ends to the owners that reported them.  An empty owner
   name is this instance.  */
static void
on_stored (void *ctx, const GArray *acks)
{
  mm_kept *k = ctx;
  const mm_end_ack *ack = (const mm_end_ack *)(const void *)acks->data;
  for (guint i = 0; i < acks->len; i++)
    {
      if (!*ack[i].owner)
        {
          mm_owner_acknowledge_end (k->deps.owner, &ack[i].task,
                                    ack[i].run_hash);
          continue;
        }
      msgpack_sbuffer b;
      msgpack_sbuffer_init (&b);
      mm_end_acks_pack (&b, &ack[i], 1);
      mm_mesh_request (k->deps.mesh, ack[i].owner, MM_KEPT_NOTIFY_ACKS, b.data,
                       b.size, 0, NULL, NULL);
      msgpack_sbuffer_destroy (&b);
    }
}

/* Drops the ends of the job's tasks here and at all other instances, as no
   home will request them any more.  */
static void
on_job_ended (void *ctx, const char *job_id)
{
  mm_kept *k = ctx;
  mm_owner_forget_job (k->deps.owner, job_id);
  GList *peers = mm_mesh_peers (k->deps.mesh);
  for (GList *l = peers; l; l = l->next)
    mm_mesh_request (k->deps.mesh, l->data, MM_KEPT_NOTIFY_ENDED, job_id,
                     strlen (job_id), 0, NULL, NULL);
  g_list_free (peers);
}

/* Marks the home for sync_homes(), which closes it: here the home that calls
   this function is still in use.  */
static void
on_home_fenced (void *ctx, mm_home *h)
{
  mm_kept *k = ctx;
  for (uint32_t i = 0; i < k->deps.n_partitions; i++)
    if (k->home[i] == h)
      k->superseded[i] = true;
}

/* @epoch: the fencing token of the partition.  */
static void
open_home (mm_kept *k, uint32_t partition, uint64_t epoch)
{
  mm_home_events ev = { .stored = on_stored,
                        .ended = on_job_ended,
                        .fenced = on_home_fenced,
                        .ctx = k };
  k->superseded[partition] = false;
  k->home[partition]
      = mm_home_create (&k->deps.store, k->deps.fleet, partition, epoch, &ev);
  mm_home_set_budget (k->home[partition], k->deps.budget);
}

static void
close_home (mm_kept *k, uint32_t partition)
{
  mm_home_destroy (g_steal_pointer (&k->home[partition]));
}

/* Opens and closes homes to match the partitions that are assigned to this
   instance.  */
static void
sync_homes (mm_kept *k)
{
  for (uint32_t i = 0; i < k->deps.n_partitions; i++)
    {
      if (k->home[i] && k->superseded[i])
        {
          /* If the partition is still assigned to this instance, it needs a
             higher epoch than the one that the store refused.  */
          close_home (k, i);
          mm_partitions_renew_fence (k->partitions, i);
        }
      uint64_t epoch = 0;
      mm_partition_state state
          = mm_partitions_state (k->partitions, i, &epoch);
      if (k->home[i] && state == MM_PARTITION_ELSEWHERE)
        close_home (k, i);
      if (!k->home[i] && state == MM_PARTITION_OWNED && !k->leaving)
        open_home (k, i, epoch);
      if (k->home[i])
        mm_home_set_held_since (k->home[i], epoch);
    }
}

/* Whether all homes that are to be closed are idle: those of partitions being
   released, or all of them when this instance is leaving.  */
static bool
releasing_homes_idle (const mm_kept *k)
{
  for (uint32_t i = 0; i < k->deps.n_partitions; i++)
    {
      uint64_t epoch;
      if (k->home[i]
          && (k->leaving
              || mm_partitions_state (k->partitions, i, &epoch)
                     == MM_PARTITION_RELEASING)
          && !mm_home_idle (k->home[i]))
        return false;
    }
  return true;
}

/* Releases partitions once their homes are idle.  A leaving instance leaves
   the group once all its homes are idle, or after MM_HANDOVER_MS even if they
   are not.  */
static void
release_partitions (mm_kept *k, mm_time_ms now)
{
  bool idle = releasing_homes_idle (k);
  if (mm_partitions_releasing (k->partitions) && idle)
    mm_partitions_release (k->partitions);
  if (!k->leaving || (!idle && now - k->leaving_ms < MM_HANDOVER_MS))
    return;
  for (uint32_t i = 0; i < k->deps.n_partitions; i++)
    close_home (k, i);
  mm_partitions_leave (k->partitions);
}

/* Returns until when the partition certainly has its home here, as far as the
   group is concerned; 0: it may have another one.  */
static mm_time_ms
home_until_ms (const mm_kept *k, uint32_t partition)
{
  uint64_t epoch;
  return mm_partitions_state (k->partitions, partition, &epoch)
                 == MM_PARTITION_OWNED
             ? mm_partitions_confirmed_ms (k->partitions)
                   + MM_GROUP_CONFIRMED_MS
             : 0;
}

bool
mm_kept_home_confirmed (const mm_kept *k, uint32_t partition)
{
  return mm_clock_now_ms () < home_until_ms (k, partition)
         && k->home[partition] && mm_home_current (k->home[partition]);
}

/* Returns until when a home may start tasks.  A home that may have been
   superseded must not: the next home may have started the same task.  */
static mm_time_ms
start_until_ms (const mm_kept *k, uint32_t partition)
{
  return k->leaving ? 0 : home_until_ms (k, partition);
}

/* ---- tasks in doubt --------------------------------------------------- */

mm_home *
mm_kept_home_of (const mm_kept *k, const char *job_id)
{
  return k->home[mm_home_directory_partition_of (k->directory, job_id)];
}

/* @owner: the peer that reported the end, NULL for this instance.  */
static void
on_found_end (void *ctx, const mm_found_end *e, const char *owner)
{
  mm_home *h = mm_kept_home_of (ctx, e->task.job);
  if (h)
    mm_home_record_end (h, e, owner);
}

/* No run of @tasks is left anywhere: they are no longer in doubt.  */
static void
on_none_left (void *ctx, GHashTable *tasks)
{
  mm_kept *k = ctx;
  for (uint32_t i = 0; i < k->deps.n_partitions; i++)
    if (k->home[i])
      mm_home_clear_in_doubt (k->home[i], tasks);
}

/* Returns the tasks in doubt that can be searched for now, as a mm_task_set
   that the caller frees.  */
static GHashTable *
tasks_in_doubt (const mm_kept *k)
{
  GHashTable *tasks = mm_task_set_new ();
  for (uint32_t i = 0; i < k->deps.n_partitions; i++)
    if (k->home[i])
      mm_home_in_doubt (k->home[i], tasks);
  return tasks;
}

/* Starts a search if tasks are in doubt.  Only one search runs at a time, and
   the starts of two searches are at least MM_KEPT_SEARCH_PAUSE_MS apart.  */
static void
search_in_doubt (mm_kept *k, bool list_fresh, mm_time_ms now)
{
  if (mm_task_search_busy (k->search)
      || now - k->search_started_ms < MM_KEPT_SEARCH_PAUSE_MS)
    return;
  GHashTable *tasks = tasks_in_doubt (k);
  if (g_hash_table_size (tasks))
    {
      k->search_started_ms = now;
      mm_task_search_start (k->search, tasks, list_fresh);
    }
  else
    g_hash_table_destroy (tasks);
}

bool
mm_kept_needs_upstream_list (const mm_kept *k)
{
  GHashTable *tasks = tasks_in_doubt (k);
  bool any = g_hash_table_size (tasks) > 0;
  g_hash_table_destroy (tasks);
  return any;
}

/* ---- public interface ------------------------------------------------- */

void
mm_kept_unref (mm_kept *k)
{
  if (--k->refs > 0)
    return;
  g_hash_table_destroy (k->foreign_pending);
  g_free (k->home);
  g_free (k->superseded);
  g_free ((char *)k->deps.member);
  g_free (k);
}

/**
 * mm_kept_create() - accept and run kept jobs at this instance.
 * @p: the modules and settings that kept jobs need; copied.  The modules that
 *     it points to must outlive the new object.
 *
 * Return: the new object; free with mm_kept_destroy().
 */
mm_kept *
mm_kept_create (const mm_kept_deps *p)
{
  mm_kept *k = g_new0 (mm_kept, 1);
  k->refs = 1;
  k->deps = *p;
  k->created_ms = mm_clock_now_ms ();
  k->deps.member = g_strdup (p->member);
  k->home = g_new0 (mm_home *, p->n_partitions);
  k->superseded = g_new0 (bool, p->n_partitions);
  k->foreign_pending
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  k->partitions = mm_partitions_create (&p->store, MM_JOBS_GROUP,
                                        k->deps.member, p->n_partitions);
  k->directory = mm_home_directory_create (&p->store, p->mesh, k->deps.member,
                                           p->n_partitions, p->predecessors);
  mm_task_search_events ev
      = { .end = on_found_end, .none_left = on_none_left, .ctx = k };
  k->search = mm_task_search_create (p->mesh, p->owner, p->catalog, &ev);
  mm_mesh_on_request (p->mesh, mm_kept_on_peer_request, k);
  return k;
}

void
mm_kept_destroy (mm_kept *k)
{
  if (!k)
    return;
  k->closed = true;
  mm_mesh_on_request (k->deps.mesh, NULL, NULL);
  mm_kept_retry_requests (k);
  for (uint32_t i = 0; i < k->deps.n_partitions; i++)
    close_home (k, i);
  mm_task_search_destroy (k->search);
  mm_home_directory_destroy (k->directory);
  mm_partitions_destroy (k->partitions);
  mm_kept_unref (k);
}

void
mm_kept_tick (mm_kept *k, bool list_fresh)
{
  mm_time_ms now = mm_clock_now_ms ();
  mm_kept_retry_requests (k);
  mm_home_directory_tick (k->directory);
  /* The directory's first answer shows whether the previous incarnation of
     this instance is still a member of the group and must be removed.  The
     store may not name that member any more once this instance has joined.  */
  if (mm_home_directory_loaded (k->directory)
      || now - k->created_ms >= MM_PREDECESSORS_WAIT_MS)
    mm_partitions_tick (k->partitions);
  if (mm_partitions_has_left (k->partitions))
    return;
  sync_homes (k);
  for (uint32_t i = 0; i < k->deps.n_partitions; i++)
    if (k->home[i])
      mm_home_tick (k->home[i], start_until_ms (k, i));
  mm_kept_resolve_foreign (k, now);
  release_partitions (k, now);
  search_in_doubt (k, list_fresh, now);
}

void
mm_kept_poll_now (mm_kept *k)
{
  mm_partitions_poll_now (k->partitions);
}

void
mm_kept_leave (mm_kept *k)
{
  if (k->leaving)
    return;
  k->leaving = true;
  k->leaving_ms = mm_clock_now_ms ();
}

bool
mm_kept_left (const mm_kept *k)
{
  return mm_partitions_has_left (k->partitions);
}

uint32_t
mm_kept_open_jobs (const mm_kept *k)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < k->deps.n_partitions; i++)
    if (k->home[i])
      n += mm_home_open_jobs (k->home[i]);
  return n;
}
