/* mm_pool: chooses the upstream for the next task.

   An upstream starts all tasks that it receives, even more than it has slots.
   The entry instance therefore counts the tasks in flight of each upstream
   and sends only into free slots: to the upstream with the most free slots,
   and among equals to the lower index.  An upstream that is leaving gets no
   new tasks.

   Some upstreams fail every task that they start, so each upstream has a
   circuit breaker: ejected is its open state, on trial its half-open state.
   An upstream that fails eject_after times in a row is ejected for eject_ms.
   Then it is on trial with one task at a time: a task that is done ends the
   trial, a failure ejects the upstream for twice as long as before, up to
   2^MM_EJECT_MAX_DOUBLINGS times eject_ms.  Peers that are notified of an
   ejection put the upstream on trial, so that each of them need not lose
   eject_after tasks of its own.  */
#include "mm_pool.h"

#include "config.h"

#include <string.h>
#include <xxhash.h>

struct mm_pool
{
  GPtrArray *members;     /* mm_pool_member * */
  uint32_t default_slots; /* of an upstream that reports none */
  GQueue listed_sets;     /* listed_set *, newest first */
};

/* The set of upstream incarnations in one member list.  */
typedef struct
{
  uint64_t fingerprint; /* mm_pool_list_fingerprint() of the list */
  GArray *hashes;       /* uint64_t, mm_pool_incarnation_hash() of each */
} listed_set;

#define MAX_REMEMBERED_LISTS 256 /* the oldest sets are dropped */

static void
free_member (gpointer data)
{
  mm_pool_member *m = data;
  g_free (m->name);
  g_free (m->url);
  g_free (m);
}

static void
free_listed_set (gpointer data)
{
  listed_set *l = data;
  g_array_free (l->hashes, TRUE);
  g_free (l);
}

/**
 * mm_pool_create() - create a pool without upstreams.
 * @default_slots: number of slots of an upstream that reports none.
 *
 * Return: the pool, to free with mm_pool_destroy().
 */
mm_pool *
mm_pool_create (uint32_t default_slots)
{
  mm_pool *p = g_new0 (mm_pool, 1);
  p->members = g_ptr_array_new_with_free_func (free_member);
  p->default_slots = default_slots;
  g_queue_init (&p->listed_sets);
  return p;
}

void
mm_pool_destroy (mm_pool *p)
{
  if (!p)
    return;
  g_ptr_array_free (p->members, TRUE);
  g_queue_clear_full (&p->listed_sets, free_listed_set);
  g_free (p);
}

/**
 * mm_pool_find() - find an upstream by name, listed or not.
 * @p: the pool.
 * @name: member name, or the address of an upstream from the settings.
 *
 * Return: index of the upstream, or -1.
 */
int
mm_pool_find (const mm_pool *p, const char *name)
{
  for (guint i = 0; i < p->members->len; i++)
    if (strcmp (((mm_pool_member *)p->members->pdata[i])->name, name) == 0)
      return (int)i;
  return -1;
}

/**
 * mm_pool_add() - add an upstream, or update one already known.
 * @p: the pool.
 * @name: member name of the upstream, or its address from the settings.
 * @addr: "host:port"; ignored when the upstream is known.
 * @slots: number of slots, 0 for the default.
 * @boot_ms: identifies the incarnation, 0 when not known.
 *
 * Members are never removed, so that the upstream indexes that tasks in
 * flight hold stay valid.
 *
 * Return: index of the upstream.
 */
int
mm_pool_add (mm_pool *p, const char *name, const char *addr, uint32_t slots,
             int64_t boot_ms)
{
  int i = mm_pool_find (p, name);
  mm_pool_member *m;
  if (i >= 0)
    m = p->members->pdata[i];
  else
    {
      m = g_new0 (mm_pool_member, 1);
      m->name = g_strdup (name);
      m->url = g_strdup_printf ("http://%s", addr);
      g_ptr_array_add (p->members, m);
      i = (int)p->members->len - 1;
    }
  m->slots = slots ? slots : p->default_slots;
  m->listed = true;
  /* The failures of an earlier incarnation do not count for a new one.  */
  if (boot_ms != m->boot_ms)
    {
      m->boot_ms = boot_ms;
      m->state = MM_UPSTREAM_LIVE;
      m->state_seq = 0;
      m->consecutive_failures = m->ejections = 0;
    }
  return i;
}

/**
 * mm_pool_list_begin() - set all upstreams to not listed, before the members
 * of a complete new list are added.
 * @p: the pool.
 * @now: mm_clock_now_ms().
 *
 * An upstream that crashed vanishes from the member list without ever having
 * been shown as leaving.  So an upstream that is not added again after this
 * call gets no new tasks until it is listed again.  Upstreams that only the
 * settings name (boot_ms 0) stay listed.
 */
void
mm_pool_list_begin (mm_pool *p, mm_time_ms now)
{
  for (guint i = 0; i < p->members->len; i++)
    {
      mm_pool_member *m = p->members->pdata[i];
      if (m->listed && m->boot_ms)
        m->unlisted_ms = now;
      m->listed = m->boot_ms == 0;
    }
}

/**
 * mm_pool_incarnation_hash() - hash of one upstream incarnation.
 * @name: member name of the upstream.
 * @boot_ms: identifies the incarnation, 0 when not known.
 */
uint64_t
mm_pool_incarnation_hash (const char *name, int64_t boot_ms)
{
  return XXH3_64bits_withSeed (name, strlen (name), (uint64_t)boot_ms);
}

/**
 * mm_pool_list_fingerprint() - hash of the set of listed upstream
 * incarnations.
 * @p: the pool.
 *
 * Return: the exclusive or of the hashes of all listed incarnations, so that
 * equal sets have equal fingerprints whatever their order.
 */
uint64_t
mm_pool_list_fingerprint (const mm_pool *p)
{
  uint64_t hash_xor = 0;
  for (guint i = 0; i < p->members->len; i++)
    {
      const mm_pool_member *m = p->members->pdata[i];
      if (m->listed)
        hash_xor ^= mm_pool_incarnation_hash (m->name, m->boot_ms);
    }
  return hash_xor;
}

/**
 * mm_pool_set_state() - apply the state of an upstream in the member list.
 * @p: the pool.
 * @i: index of the upstream.
 * @s: MM_UPSTREAM_LIVE or MM_UPSTREAM_LEAVING.
 * @seq: the upstream's mode_seq of that state.
 *
 * The member list lags: an upstream that refused a task because it drains
 * (seq N) is shown as live, with seq N-1 or N, for as long as the list lags.
 * Only a state with a higher seq than the known one sets a leaving upstream
 * live again, so the list cannot send new tasks to it.
 */
void
mm_pool_set_state (mm_pool *p, int i, mm_upstream_state s, int64_t seq)
{
  mm_pool_member *m = p->members->pdata[i];
  if (seq < m->state_seq
      || (seq == m->state_seq && s == MM_UPSTREAM_LIVE
          && m->state == MM_UPSTREAM_LEAVING))
    return;
  m->state_seq = seq;
  if ((m->state == MM_UPSTREAM_EJECTED || m->state == MM_UPSTREAM_ON_TRIAL)
      && s == MM_UPSTREAM_LIVE)
    return; /* an ejection ends after its time, not by the member list */
  m->state = s;
}

static listed_set *
find_listed_set (const mm_pool *p, uint64_t fingerprint)
{
  for (GList *l = p->listed_sets.head; l; l = l->next)
    if (((listed_set *)l->data)->fingerprint == fingerprint)
      return l->data;
  return NULL;
}

/**
 * mm_pool_list_end() - remember a new member list after all its members were
 * added.
 * @p: the pool.
 *
 * The set of listed upstreams is remembered by its fingerprint.  An accept
 * record of a job holds such a fingerprint, which shows which upstreams were
 * listed when the job was accepted.
 */
void
mm_pool_list_end (mm_pool *p)
{
  uint64_t fingerprint = mm_pool_list_fingerprint (p);
  if (find_listed_set (p, fingerprint))
    return;
  listed_set *l = g_new0 (listed_set, 1);
  l->fingerprint = fingerprint;
  l->hashes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (guint i = 0; i < p->members->len; i++)
    {
      const mm_pool_member *m = p->members->pdata[i];
      uint64_t hash = mm_pool_incarnation_hash (m->name, m->boot_ms);
      if (m->listed)
        g_array_append_val (l->hashes, hash);
    }
  g_queue_push_head (&p->listed_sets, l);
  if (p->listed_sets.length > MAX_REMEMBERED_LISTS)
    free_listed_set (g_queue_pop_tail (&p->listed_sets));
}

/**
 * mm_pool_all_reported() - whether all upstreams of an earlier member list
 * are among those that reported.
 * @p: the pool.
 * @hashes: set of mm_pool_incarnation_hash() (as int64 keys) of the upstreams
 *          that reported.
 * @fingerprint: fingerprint of the earlier list.
 *
 * Return: true when all of them reported.  For a list that is not remembered
 * here, true only when exactly the upstreams of that list reported, which
 * their fingerprint shows.
 */
bool
mm_pool_all_reported (const mm_pool *p, GHashTable *hashes,
                      uint64_t fingerprint)
{
  const listed_set *l = find_listed_set (p, fingerprint);
  if (l)
    {
      for (guint i = 0; i < l->hashes->len; i++)
        if (!g_hash_table_contains (hashes,
                                    &g_array_index (l->hashes, int64_t, i)))
          return false;
      return true;
    }
  uint64_t hash_xor = 0;
  GHashTableIter it;
  gpointer hash;
  g_hash_table_iter_init (&it, hashes);
  while (g_hash_table_iter_next (&it, &hash, NULL))
    hash_xor ^= *(uint64_t *)hash;
  return hash_xor == fingerprint;
}

/**
 * mm_pool_listed_within() - whether an upstream was listed recently.
 * @p: the pool.
 * @i: index of the upstream.
 * @now: mm_clock_now_ms().
 * @ttl_ms: the time to look back.
 *
 * Return: true when the upstream was listed within the last @ttl_ms, so that
 * it may know of jobs of that time.
 */
bool
mm_pool_listed_within (const mm_pool *p, int i, mm_time_ms now,
                       mm_time_ms ttl_ms)
{
  const mm_pool_member *m = p->members->pdata[i];
  return m->listed || now - m->unlisted_ms < ttl_ms;
}

/* Returns whether an upstream gets new tasks.  Puts it on trial when its
   ejection has ended.  */
static bool
accepts_tasks (mm_pool_member *m, mm_time_ms now)
{
  if (m->state == MM_UPSTREAM_EJECTED && now >= m->ejected_until_ms)
    m->state = MM_UPSTREAM_ON_TRIAL;
  return m->listed
         && (m->state == MM_UPSTREAM_LIVE || m->state == MM_UPSTREAM_ON_TRIAL);
}

/* Returns how many tasks an upstream may have in flight.  */
static uint32_t
usable_slots (const mm_pool_member *m)
{
  return m->state == MM_UPSTREAM_ON_TRIAL ? 1 : m->slots;
}

/* Ejects an upstream for @eject_ms, doubled for each ejection since the last
   task that was done, MM_EJECT_MAX_DOUBLINGS times at most.  */
static void
eject (mm_pool_member *m, mm_time_ms now, mm_time_ms eject_ms)
{
  mm_time_ms span = eject_ms << MIN (m->ejections, MM_EJECT_MAX_DOUBLINGS);
  m->ejections++;
  m->state = MM_UPSTREAM_EJECTED;
  m->ejected_until_ms = now + span;
  g_warning ("upstream %s ejected for %" G_GINT64_FORMAT " ms after %u "
             "failures in a row",
             m->name, span, m->consecutive_failures);
}

/**
 * mm_pool_put_on_trial() - put a live upstream on trial, as a peer ejected it.
 * @p: the pool.
 * @i: index of the upstream.
 */
void
mm_pool_put_on_trial (mm_pool *p, int i)
{
  mm_pool_member *m = p->members->pdata[i];
  if (m->state == MM_UPSTREAM_LIVE)
    m->state = MM_UPSTREAM_ON_TRIAL;
}

/**
 * mm_pool_pick() - choose the upstream for the next task.
 * @p: the pool.
 * @now: mm_clock_now_ms().
 *
 * Return: index of the upstream with the most free slots, or -1 when no slot
 * is free (the task then waits in the entry instance's queue).
 */
int
mm_pool_pick (mm_pool *p, mm_time_ms now)
{
  int best = -1;
  uint32_t best_free = 0;
  for (guint i = 0; i < p->members->len; i++)
    {
      mm_pool_member *m = p->members->pdata[i];
      if (!accepts_tasks (m, now) || m->in_flight >= usable_slots (m))
        continue;
      uint32_t free_slots = usable_slots (m) - m->in_flight;
      if (free_slots > best_free)
        {
          best = (int)i;
          best_free = free_slots;
        }
    }
  return best;
}

/**
 * mm_pool_task_sent() - count a task as in flight.
 * @p: the pool.
 * @i: index of the upstream that it is sent to.
 */
void
mm_pool_task_sent (mm_pool *p, int i)
{
  ((mm_pool_member *)p->members->pdata[i])->in_flight++;
}

/**
 * mm_pool_task_ended() - record the outcome of a task.
 * @p: the pool.
 * @i: index of the upstream that it was sent to.
 * @o: the outcome.
 * @seq: with MM_OUTCOME_REFUSED, the upstream's mode_seq, else ignored.
 * @now: mm_clock_now_ms().
 * @eject_after: number of failures in a row that ejects the upstream.
 * @eject_ms: duration of the first ejection.
 *
 * A refusal sets the upstream to leaving: it shows that the upstream drains,
 * which the member list shows only later, as it lags.  MM_OUTCOME_FENCED says
 * nothing about the upstream, so that its state and failures stay.
 *
 * Return: true when this outcome ejected the upstream.
 */
bool
mm_pool_task_ended (mm_pool *p, int i, mm_outcome o, int64_t seq,
                    mm_time_ms now, uint32_t eject_after, mm_time_ms eject_ms)
{
  mm_pool_member *m = p->members->pdata[i];
  if (m->in_flight)
    m->in_flight--;
  switch (o)
    {
    case MM_OUTCOME_OK:
      m->consecutive_failures = 0;
      m->ejections = 0;
      if (m->state == MM_UPSTREAM_ON_TRIAL)
        m->state = MM_UPSTREAM_LIVE;
      return false;
    case MM_OUTCOME_FENCED:
      return false;
    case MM_OUTCOME_REFUSED:
      m->state = MM_UPSTREAM_LEAVING;
      m->state_seq = MAX (m->state_seq, seq);
      return false;
    case MM_OUTCOME_FAILED:
    case MM_OUTCOME_UNREACHABLE:
    case MM_OUTCOME_LOST:
      break;
    }
  m->consecutive_failures++;
  if (m->state != MM_UPSTREAM_ON_TRIAL
      && !(m->state == MM_UPSTREAM_LIVE
           && m->consecutive_failures >= eject_after))
    return false;
  eject (m, now, eject_ms);
  return true;
}

uint32_t
mm_pool_size (const mm_pool *p)
{
  return p->members->len;
}

const mm_pool_member *
mm_pool_at (const mm_pool *p, int i)
{
  return p->members->pdata[i];
}

/**
 * mm_pool_free_slots() - number of free slots of the upstreams that accept
 * tasks.
 * @p: the pool.
 * @now: mm_clock_now_ms().
 *
 * Return: the sum of their free slots; an upstream on trial has one slot.
 */
uint32_t
mm_pool_free_slots (const mm_pool *p, mm_time_ms now)
{
  uint32_t n = 0;
  for (guint i = 0; i < p->members->len; i++)
    {
      mm_pool_member *m = p->members->pdata[i];
      if (accepts_tasks (m, now) && m->in_flight < usable_slots (m))
        n += usable_slots (m) - m->in_flight;
    }
  return n;
}

/**
 * mm_pool_live_slots() - number of slots of the upstreams that accept tasks.
 * @p: the pool.
 * @now: mm_clock_now_ms().
 *
 * Return: the sum of their slots, used or free; an upstream on trial has one
 * slot.
 */
uint32_t
mm_pool_live_slots (const mm_pool *p, mm_time_ms now)
{
  uint32_t n = 0;
  for (guint i = 0; i < p->members->len; i++)
    {
      mm_pool_member *m = p->members->pdata[i];
      if (accepts_tasks (m, now))
        n += usable_slots (m);
    }
  return n;
}
