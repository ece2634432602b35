/* mm_owner_report: reports of an owner's capacity and state.  */
#include "config.h"
#include "mm_owner_priv.h"

#include <cJSON.h>
#include <math.h>
#include <string.h>

/* Returns the average cpu of a task, in thousandths of a core.  Until a task
   was submitted, the estimate is one slot of the upstream.  */
static int64_t
average_cpu_milli (const mm_owner *o, const mm_upstream_info *u)
{
  int64_t cpu = o->average_cpu_milli > 0
                    ? (int64_t)o->average_cpu_milli
                    : u->capacity.cpu_milli / MAX (u->slots, 1);
  return MAX (cpu, 1);
}

/* Returns the capacity at an upstream that a task can use, in thousandths of a
   core.  */
static int64_t
residual_milli_of (const mm_owned_upstream *owned)
{
  const mm_upstream_info *u = mm_exec_info (owned->exec);
  bool has_slot
      = u->slots == 0 || mm_owner_count_used_slots (owned) < (size_t)u->slots;
  if (!has_slot || !mm_exec_usable (owned->exec))
    return 0;
  return MAX (mm_owner_free_capacity (owned).cpu_milli, 0);
}

/* Counts the waiting tasks of a service.  */
static void
report_waiting (const mm_owner *o, const char *service, mm_capacity_report *r)
{
  double waiting = 0, by_priority[MM_PRIORITY_LEVELS] = { 0 };
  for (GList *l = o->waiting->head; l; l = l->next)
    {
      const mm_work *w = l->data;
      if (strcmp (w->request.service, service) != 0)
        continue;
      double weight = mm_owner_waiting_weight (w);
      waiting += weight;
      /* Tasks that yield go before no task that does not.  */
      if (!w->request.yields)
        by_priority[MIN (w->request.priority, MM_PRIORITY_LEVELS - 1)]
            += weight;
    }
  r->waiting = (uint32_t)lround (waiting);
  for (int i = 0; i < (int)MM_PRIORITY_LEVELS; i++)
    r->waiting_by_priority[i] = (uint32_t)lround (by_priority[i]);
}

/* The queueing delay of a kept job's task is not known, as its job may have
   waited at another home before, nor is that of a suspect, which waits for a
   verdict on its upstream and not for capacity.  */
mm_time_ms
mm_owner_wait_ms (const mm_work *w, mm_time_ms now)
{
  if (w->request.kept || w->request.isolated)
    return MM_OVERLOAD_WAIT_UNKNOWN;
  return w->waited_ms + now - w->accepted_ms;
}

/* Adds the start rates and least waits of the service to the report.  */
static void
fill_overload (const mm_owner *o, const char *service, mm_time_ms now,
               mm_capacity_report *r)
{
  mm_time_ms oldest_wait_ms[MM_PRIORITY_LEVELS] = { 0 };
  for (GList *l = o->waiting->head; l; l = l->next)
    {
      const mm_work *w = l->data;
      mm_time_ms *oldest
          = &oldest_wait_ms[MIN (w->request.priority, MM_PRIORITY_LEVELS - 1)];
      /* A task that yields has waited for longer than others would.  */
      if (strcmp (w->request.service, service) == 0 && !w->request.yields)
        /* At least 1 ms, as 0 stands for no waiting task.  */
        *oldest = MAX (*oldest, MAX (mm_owner_wait_ms (w, now), 1));
    }
  mm_overload_fill_report (o->overload, service, oldest_wait_ms, now, r);
}

/**
 * mm_owner_report() - report capacity and load of a service here.
 * @o: the owner.
 * @service: the service.
 *
 * Places are counted in tasks of the average size of those submitted recently,
 * at least one for each upstream; the residual capacities tell how many
 * tasks of a given size fit.  An upstream has no places while it is not in
 * service, while its circuit breaker is open, or while it is being handed over
 * and the handover ends before an average task would.  A suspect upstream has
 * places, but none of them counts as free.
 *
 * Return: the report.
 */
mm_capacity_report
mm_owner_report (const mm_owner *o, const char *service)
{
  mm_capacity_report r = { 0 };
  if (o->done_share > 0)
    r.task_ms = (uint32_t)(o->average_place_ms
                           / MAX (o->done_share, MM_MIN_DONE_SHARE));
  mm_time_ms now = mm_clock_now_ms ();
  guint n = g_hash_table_size (o->owned_upstreams);
  int64_t *residuals_milli = g_new (int64_t, n + 1);
  size_t n_residuals = 0;
  double places = 0;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_owned_upstream *owned = v;
      const mm_upstream_info *u = mm_exec_info (owned->exec);
      if (strcmp (u->service, service) != 0
          || !mm_owner_ends_before_handover (owned, o->average_run_ms, now)
          || !mm_exec_in_service (owned->exec)
          || !mm_breaker_allows (&owned->breaker, 0, now))
        continue;
      int64_t cpu = average_cpu_milli (o, u);
      places += MAX ((double)u->capacity.cpu_milli / (double)cpu, 1);
      int64_t residual_milli = residual_milli_of (owned);
      r.free += (uint32_t)(residual_milli / cpu);
      residuals_milli[n_residuals++] = residual_milli;
    }
  r.places = (uint32_t)places;
  mm_residuals_fill (&r.residuals, residuals_milli, n_residuals);
  g_free (residuals_milli);
  report_waiting (o, service, &r);
  if (o->overload)
    fill_overload (o, service, now, &r);
  return r;
}

/* Returns whether new tasks may be started at @owned once there is capacity.
 */
static bool
may_start_tasks (const mm_owned_upstream *owned)
{
  return !owned->released && !owned->lingering
         && mm_exec_takes_new_tasks (owned->exec);
}

bool
mm_owner_suits (const mm_owner *o, const mm_task_request *t)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const mm_owned_upstream *owned = v;
      if (may_start_tasks (owned)
          && mm_upstream_info_suits (mm_exec_info (owned->exec), t))
        return true;
    }
  return false;
}

mm_upstream_kinds *
mm_owner_kinds (const mm_owner *o)
{
  mm_upstream_kinds *kinds = mm_upstream_kinds_create ();
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const mm_owned_upstream *owned = v;
      if (may_start_tasks (owned))
        mm_upstream_kinds_add (kinds, mm_exec_info (owned->exec));
    }
  return kinds;
}

uint32_t
mm_capacity_waiting_ahead (const mm_capacity_report *r, uint32_t priority)
{
  uint32_t n = 0;
  if (!MM_WITH_PRIORITY)
    return r->waiting;
  for (uint32_t i = 0; i < MM_PRIORITY_LEVELS && i <= priority; i++)
    n += r->waiting_by_priority[i];
  return n;
}

mm_owner_gauges
mm_owner_measure (const mm_owner *o)
{
  mm_owner_gauges g = { 0 };
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      g.upstreams += !((mm_owned_upstream *)v)->lingering;
      g.runs += (uint32_t)mm_exec_count_runs (((mm_owned_upstream *)v)->exec);
      g.in_doubt
          += (uint32_t)mm_exec_count_in_doubt (((mm_owned_upstream *)v)->exec);
    }
  GList *services = mm_owner_services (o);
  for (GList *l = services; l; l = l->next)
    {
      mm_capacity_report r = mm_owner_report (o, l->data);
      g.capacity.places += r.places;
      g.capacity.free += r.free;
      g.capacity.waiting += r.waiting;
    }
  g_list_free (services);
  return g;
}

/* Returns @names with the services of the upstreams that are in service, or of
   the others.  */
static GList *
add_services (const mm_owner *o, GList *names, bool in_service)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const mm_exec *x = ((mm_owned_upstream *)v)->exec;
      char *service = mm_exec_info (x)->service;
      if (mm_exec_in_service (x) == in_service
          && !g_list_find_custom (names, service, (GCompareFunc)strcmp))
        names = g_list_append (names, service);
    }
  return names;
}

GList *
mm_owner_services (const mm_owner *o)
{
  return add_services (o, add_services (o, NULL, true), false);
}

/**
 * mm_owner_dump() - format the owner's state as JSON, for operators.
 * @o: the owner.
 *
 * Return: newly allocated text; free with free().
 */
char *
mm_owner_dump (const mm_owner *o)
{
  cJSON *d = cJSON_CreateObject ();
  cJSON_AddNumberToObject (d, "waiting", o->waiting->length);
  mm_owner_reservations reserved = mm_owner_count_reservations (o);
  cJSON_AddNumberToObject (d, "waiting_reservations", reserved.waiting);
  cJSON_AddNumberToObject (d, "offers", reserved.offers);
  mm_owner_handovers h = mm_owner_measure_handovers (o);
  cJSON *handovers = cJSON_AddObjectToObject (d, "handovers");
  cJSON_AddBoolToObject (handovers, "transfer_runs", o->transfer_runs);
  cJSON_AddNumberToObject (handovers, "upstreams", h.upstreams);
  cJSON_AddNumberToObject (handovers, "waiting_for_runs", h.waiting_for_runs);
  cJSON_AddNumberToObject (handovers, "released", h.released);
  cJSON_AddNumberToObject (handovers, "orphans", h.orphans);
  cJSON_AddNumberToObject (handovers, "transferred", h.transferred);
  cJSON *a = cJSON_AddArrayToObject (d, "upstreams");
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_owned_upstream *owned = v;
      cJSON *u = cJSON_CreateObject ();
      cJSON_AddStringToObject (u, "name", mm_exec_info (owned->exec)->name);
      cJSON_AddNumberToObject (u, "fence",
                               (double)mm_exec_fence (owned->exec));
      cJSON_AddBoolToObject (
          u, "usable", mm_exec_usable (owned->exec) && !owned->lingering);
      cJSON_AddNumberToObject (u, "runs",
                               (double)mm_exec_count_runs (owned->exec));
      size_t n_unacked;
      mm_exec_unacked_ends (owned->exec, &n_unacked);
      cJSON_AddNumberToObject (u, "unacked_ends", (double)n_unacked);
      cJSON_AddNumberToObject (
          u, "free_cpu_milli",
          (double)mm_owner_free_capacity (owned).cpu_milli);
      cJSON_AddNumberToObject (u, "slowness", mm_exec_slowness (owned->exec));
      cJSON_AddItemToArray (a, u);
    }
  char *text = cJSON_PrintUnformatted (d);
  cJSON_Delete (d);
  return text;
}
