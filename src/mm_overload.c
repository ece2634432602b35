/* mm_overload: measures starts and least queueing delays at an owner.  */
#include "mm_overload.h"

#include "config.h"

#include <string.h>

#define BUCKET_MS (MM_OVERLOAD_WINDOW_MS / MM_OVERLOAD_BUCKETS)

/* The starts within BUCKET_MS.  */
typedef struct
{
  int64_t number; /* time / BUCKET_MS; an older number than that of the window:
                     the bucket is empty */
  uint32_t starts;
  mm_time_ms least_wait_ms; /* MM_OVERLOAD_WAIT_UNKNOWN: none is known */
} bucket;

/* The starts of one priority of a service.  */
typedef struct
{
  bucket buckets[MM_OVERLOAD_BUCKETS];
  mm_time_ms first_ms; /* of the first start recorded, 0: none */
} series;

struct mm_overload
{
  GHashTable *services; /* name -> array of MM_PRIORITY_LEVELS series */
};

mm_overload *
mm_overload_create (void)
{
  mm_overload *o = g_new0 (mm_overload, 1);
  o->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return o;
}

void
mm_overload_destroy (mm_overload *o)
{
  if (!o)
    return;
  g_hash_table_destroy (o->services);
  g_free (o);
}

/* Returns the smaller of two waits, of which either may be unknown.  */
static mm_time_ms
least_of (mm_time_ms a, mm_time_ms b)
{
  if (a == MM_OVERLOAD_WAIT_UNKNOWN || b == MM_OVERLOAD_WAIT_UNKNOWN)
    return MAX (a, b);
  return MIN (a, b);
}

/**
 * mm_overload_record_start() - record the start of a task.
 * @o: the measurements of this owner.
 * @service: the task's service.
 * @priority: its priority; those beyond the last level count as that level.
 * @wait_ms: time since the task was ready, or MM_OVERLOAD_WAIT_UNKNOWN.
 * @now: time of the start.
 */
void
mm_overload_record_start (mm_overload *o, const char *service,
                          uint32_t priority, mm_time_ms wait_ms,
                          mm_time_ms now)
{
  series *all = g_hash_table_lookup (o->services, service);
  if (!all)
    {
      all = g_new0 (series, MM_PRIORITY_LEVELS);
      g_hash_table_insert (o->services, g_strdup (service), all);
    }
  series *s = &all[MIN (priority, MM_PRIORITY_LEVELS - 1)];
  if (!s->first_ms)
    s->first_ms = now;
  int64_t number = now / BUCKET_MS;
  bucket *b = &s->buckets[number % MM_OVERLOAD_BUCKETS];
  if (b->number != number)
    *b = (bucket){ .number = number,
                   .least_wait_ms = MM_OVERLOAD_WAIT_UNKNOWN };
  b->starts++;
  b->least_wait_ms = least_of (b->least_wait_ms, wait_ms);
}

/* Fills the figures of one priority.  The rate of an owner that began to start
   tasks within the window is that since then: as starts per whole window it
   would be too low after a restart.  */
static void
fill_level (const series *s, mm_time_ms oldest_wait_ms, mm_time_ms now,
            uint32_t *starts_per_s, uint32_t *least_wait_ms)
{
  int64_t newest = now / BUCKET_MS;
  uint32_t starts = 0;
  mm_time_ms wait_ms = MM_OVERLOAD_WAIT_UNKNOWN;
  for (size_t i = 0; s && i < MM_OVERLOAD_BUCKETS; i++)
    {
      const bucket *b = &s->buckets[i];
      if (!b->starts || b->number <= newest - MM_OVERLOAD_BUCKETS)
        continue;
      starts += b->starts;
      wait_ms = least_of (wait_ms, b->least_wait_ms);
    }
  if (starts)
    {
      mm_time_ms measured_ms
          = CLAMP (now - s->first_ms, BUCKET_MS, MM_OVERLOAD_WINDOW_MS);
      *starts_per_s = (uint32_t)((uint64_t)starts * 1000 / measured_ms);
      *least_wait_ms = (uint32_t)MAX (wait_ms, 0);
    }
  else
    *least_wait_ms = (uint32_t)CLAMP (oldest_wait_ms, 0, G_MAXINT32);
}

/**
 * mm_overload_fill_report() - set start rates and least waits in a report.
 * @o: the measurements of this owner.
 * @service: the service of the report.
 * @oldest_wait_ms: of each of MM_PRIORITY_LEVELS priorities, how long the
 *                  longest waiting task has waited, 0: none waits.
 * @now: the time.
 * @r: the report.
 *
 * The least wait of a priority of which no task started in the window is the
 * time that its longest waiting task has waited so far.
 */
void
mm_overload_fill_report (const mm_overload *o, const char *service,
                         const mm_time_ms *oldest_wait_ms, mm_time_ms now,
                         mm_capacity_report *r)
{
  const series *all = g_hash_table_lookup (o->services, service);
  for (size_t i = 0; i < MM_PRIORITY_LEVELS; i++)
    fill_level (all ? &all[i] : NULL, oldest_wait_ms[i], now,
                &r->starts_per_s[i], &r->least_wait_ms[i]);
}
