/* mm_overload_state: decides when the overload of a priority begins and ends.

   Both need a whole window, so that the state does not follow each burst, and
   half the target lies between them, so that it does not flap.  */
#include "mm_overload_state.h"

#include "config.h"
#include "mm_event.h"

#include <cJSON.h>
#include <math.h>

/* State of one priority of a service.  */
typedef struct
{
  mm_time_ms active_since_ms;  /* tasks start or wait since then, 0: none */
  mm_time_ms short_since_ms;   /* capacity is short since then, 0: it is not */
  mm_time_ms relaxed_since_ms; /* the wait is below half the target since
                                  then, 0: it is not */
  mm_time_ms on_since_ms;      /* overloaded since then, 0: it is not */
  mm_time_ms updated_ms;       /* last update */
  mm_overload_figures last;    /* sums at the last update */
  double mean_tasks;           /* of the jobs that arrived, 0: none did */
} level;

struct mm_overload_state
{
  mm_time_ms target_ms;
  GHashTable *services; /* name -> array of MM_PRIORITY_LEVELS levels */
};

mm_overload_state *
mm_overload_state_create (mm_time_ms target_ms)
{
  mm_overload_state *s = g_new0 (mm_overload_state, 1);
  s->target_ms = target_ms;
  s->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return s;
}

void
mm_overload_state_destroy (mm_overload_state *s)
{
  if (!s)
    return;
  g_hash_table_destroy (s->services);
  g_free (s);
}

/* Returns the state of a priority, NULL: nothing is known of the service.  */
static level *
level_of (const mm_overload_state *s, const char *service, uint32_t priority)
{
  level *all = g_hash_table_lookup (s->services, service);
  return all ? &all[MIN (priority, MM_PRIORITY_LEVELS - 1)] : NULL;
}

/* Returns the state of a priority, which is created if it does not exist.  */
static level *
ensure_level (mm_overload_state *s, const char *service, uint32_t priority)
{
  if (!g_hash_table_contains (s->services, service))
    g_hash_table_insert (s->services, g_strdup (service),
                         g_new0 (level, MM_PRIORITY_LEVELS));
  return level_of (s, service, priority);
}

/* Sets @since_ms to the present when @holds begins to be true, and to 0 when
   it is not.  Returns whether it was true for a whole window.  */
static bool
held_for_window (mm_time_ms *since_ms, bool holds, mm_time_ms now)
{
  if (!holds)
    *since_ms = 0;
  else if (!*since_ms)
    *since_ms = now;
  return holds && now - *since_ms >= MM_OVERLOAD_WINDOW_MS;
}

static void
log_change (const mm_overload_state *s, mm_event event, const char *service,
            uint32_t priority, const level *l, mm_time_ms now)
{
  mm_log_event (event, MM_TEXT (service),
                MM_INT (MIN (priority, MM_PRIORITY_LEVELS - 1)),
                MM_INT (mm_overload_figures_wait_ms (&l->last)),
                MM_INT (s->target_ms), MM_INT (l->last.waiting),
                MM_INT (l->last.starts_per_s), MM_INT (l->last.places),
                MM_INT (l->last.owners), MM_INT (l->last.age_ms),
                MM_INT (now - l->on_since_ms));
}

/**
 * mm_overload_state_update() - update the state of a priority.
 * @s: the state.
 * @service: the service.
 * @priority: the priority; those beyond the last level share its state.
 * @f: sums over the owners.
 * @now: the time.
 *
 * The overload begins when capacity was short for a whole window, and counts
 * from the beginning of that window.  It ends when the least wait was below
 * half the target for a whole window; no start and no waiting task count as no
 * wait.  Until tasks have started or waited for a whole window, capacity is
 * not short: the start rate of a service, an instance or a burst after a pause
 * that has just begun is not known yet.  A time without updates, such as a
 * stall of this process, does not count as part of a window.
 */
void
mm_overload_state_update (mm_overload_state *s, const char *service,
                          uint32_t priority, const mm_overload_figures *f,
                          mm_time_ms now)
{
  level *l = ensure_level (s, service, priority);
  if (now - l->updated_ms > MM_OVERLOAD_REPORT_TTL_MS)
    l->active_since_ms = l->short_since_ms = l->relaxed_since_ms = 0;
  l->updated_ms = now;
  l->last = *f;
  mm_time_ms wait_ms = mm_overload_figures_wait_ms (f);
  bool known = held_for_window (&l->active_since_ms, f->owners > 0, now);
  bool begins = held_for_window (
      &l->short_since_ms, known && mm_overload_figures_short (f, s->target_ms),
      now);
  bool ends = held_for_window (&l->relaxed_since_ms,
                               2 * wait_ms < s->target_ms, now);
  if (begins && !l->on_since_ms)
    {
      l->on_since_ms = l->short_since_ms;
      log_change (s, MM_EV_OVERLOAD_BEGUN, service, priority, l, now);
    }
  else if (ends && l->on_since_ms)
    {
      log_change (s, MM_EV_OVERLOAD_ENDED, service, priority, l, now);
      l->on_since_ms = 0;
    }
}

void
mm_overload_state_record_job (mm_overload_state *s, const char *service,
                              uint32_t priority, uint32_t tasks)
{
  level *l = ensure_level (s, service, priority);
  double weight = l->mean_tasks > 0 ? MM_OVERLOAD_JOB_GAIN : 1;
  l->mean_tasks += weight * (tasks - l->mean_tasks);
}

uint32_t
mm_overload_state_least_tasks (const mm_overload_state *s, const char *service,
                               uint32_t priority)
{
  const level *l = level_of (s, service, priority);
  return l ? (uint32_t)ceil (l->mean_tasks * MM_OVERLOAD_JOB_FACTOR) : 0;
}

bool
mm_overload_state_is_on (const mm_overload_state *s, const char *service,
                         uint32_t priority)
{
  return mm_overload_state_since_ms (s, service, priority) != 0;
}

bool
mm_overload_state_is_short (const mm_overload_state *s, const char *service,
                            uint32_t priority)
{
  const level *l = level_of (s, service, priority);
  return l && l->short_since_ms;
}

mm_time_ms
mm_overload_state_since_ms (const mm_overload_state *s, const char *service,
                            uint32_t priority)
{
  const level *l = level_of (s, service, priority);
  return l ? l->on_since_ms : 0;
}

uint32_t
mm_overload_state_count (const mm_overload_state *s, uint32_t priority)
{
  uint32_t n = 0;
  GHashTableIter it;
  gpointer k;
  g_hash_table_iter_init (&it, s->services);
  while (g_hash_table_iter_next (&it, &k, NULL))
    n += mm_overload_state_is_on (s, k, priority);
  return n;
}

GList *
mm_overload_state_services (const mm_overload_state *s)
{
  return g_hash_table_get_keys (s->services);
}

/* Adds a priority to the state dump, if anything is known of it.  */
static void
dump_level (cJSON *list, const char *service, uint32_t priority,
            const level *l, mm_time_ms now)
{
  if (!l->last.owners && !l->on_since_ms)
    return;
  cJSON *row = cJSON_CreateObject ();
  cJSON_AddStringToObject (row, "service", service);
  cJSON_AddNumberToObject (row, "priority", priority);
  cJSON_AddNumberToObject (row, "overloaded_for_ms",
                           l->on_since_ms ? (double)(now - l->on_since_ms)
                                          : 0);
  cJSON_AddNumberToObject (row, "least_wait_ms",
                           (double)mm_overload_figures_wait_ms (&l->last));
  cJSON_AddNumberToObject (row, "waiting", l->last.waiting);
  cJSON_AddNumberToObject (row, "starts_per_s", l->last.starts_per_s);
  cJSON_AddNumberToObject (row, "owners", l->last.owners);
  cJSON_AddNumberToObject (row, "age_ms",
                           (double)(now - l->updated_ms + l->last.age_ms));
  cJSON_AddItemToArray (list, row);
}

/**
 * mm_overload_state_dump() - format the state as JSON, for operators.
 * @s: the state.
 * @now: the time.
 *
 * Return: newly allocated text; free with free().
 */
char *
mm_overload_state_dump (const mm_overload_state *s, mm_time_ms now)
{
  cJSON *list = cJSON_CreateArray ();
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init (&it, s->services);
  while (g_hash_table_iter_next (&it, &k, &v))
    for (uint32_t i = 0; i < MM_PRIORITY_LEVELS; i++)
      dump_level (list, k, i, &((level *)v)[i], now);
  char *text = cJSON_PrintUnformatted (list);
  cJSON_Delete (list);
  return text;
}
