/* mm_owner_report: what an owner tells of its room and state.  */
#include "config.h"
#include "mm_owner_priv.h"

#include <cJSON.h>
#include <string.h>

/* Until a task was seen, an upstream's slots are the best guess.  */
static int64_t
usual_cpu_milli (const mm_owner *o, const mm_upstream_info *u)
{
  int64_t cpu = o->usual_cpu_milli > 0
                    ? (int64_t)o->usual_cpu_milli
                    : u->capacity.cpu_milli / MAX (u->slots, 1);
  return MAX (cpu, 1);
}

/**
 * mm_owner_report() - room of a service, for those who place work.
 * @o: the owner.
 * @service: the service.
 *
 * Return: counted in tasks of the size seen lately.
 */
mm_room_report
mm_owner_report (const mm_owner *o, const char *service)
{
  mm_room_report r = { 0 };
  if (o->run_done > 0)
    r.task_ms = (uint32_t)(o->run_ms / MAX (o->run_done, MM_LEAST_DONE));
  mm_time_ms now = mm_clock_now_ms ();
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_slot *s = v;
      const mm_upstream_info *u = mm_exec_info (s->exec);
      if (strcmp (u->service, service) != 0
          || !mm_owner_ends_in_time (s, o->usual_run_ms, now)
          || !mm_exec_in_sight (s->exec)
          || !mm_trust_allows (&s->trust, 0, now))
        continue;
      int64_t cpu = usual_cpu_milli (o, u);
      r.places += (uint32_t)(u->capacity.cpu_milli / cpu);
      int64_t room = mm_exec_room (s->exec).cpu_milli;
      if (room > 0 && mm_exec_usable (s->exec))
        r.free += (uint32_t)(room / cpu);
    }
  for (GList *l = o->waiting->head; l; l = l->next)
    {
      const mm_work *w = l->data;
      if (strcmp (w->t.service, service) != 0)
        continue;
      r.waiting++;
      r.waiting_at[MIN (w->t.priority, MM_PRIORITY_LEVELS - 1)]++;
    }
  return r;
}

uint32_t
mm_room_ahead (const mm_room_report *r, uint32_t priority)
{
  uint32_t n = 0;
  if (!MM_WITH_PRIORITY)
    return r->waiting;
  for (uint32_t i = 0; i < MM_PRIORITY_LEVELS && i <= priority; i++)
    n += r->waiting_at[i];
  return n;
}

mm_owner_gauges
mm_owner_measure (const mm_owner *o)
{
  mm_owner_gauges g = { .upstreams = g_hash_table_size (o->slots) };
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      g.runs += (uint32_t)mm_exec_runs (((mm_slot *)v)->exec);
      g.unsure += (uint32_t)mm_exec_unsure (((mm_slot *)v)->exec);
    }
  GList *services = mm_owner_services (o);
  for (GList *l = services; l; l = l->next)
    {
      mm_room_report r = mm_owner_report (o, l->data);
      g.room.places += r.places;
      g.room.free += r.free;
      g.room.waiting += r.waiting;
    }
  g_list_free (services);
  return g;
}

/* Distinct services of the upstreams owned here.  */
GList *
mm_owner_services (const mm_owner *o)
{
  GList *names = NULL;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      char *service = mm_exec_info (((mm_slot *)v)->exec)->service;
      if (!g_list_find_custom (names, service, (GCompareFunc)strcmp))
        names = g_list_prepend (names, service);
    }
  return names;
}

/**
 * mm_owner_dump() - state as JSON, for operators.
 * @o: the owner.
 *
 * Return: newly allocated text, free with free().
 */
char *
mm_owner_dump (const mm_owner *o)
{
  cJSON *d = cJSON_CreateObject ();
  cJSON_AddNumberToObject (d, "waiting", o->waiting->length);
  cJSON *a = cJSON_AddArrayToObject (d, "upstreams");
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_slot *s = v;
      cJSON *u = cJSON_CreateObject ();
      cJSON_AddStringToObject (u, "name", mm_exec_info (s->exec)->name);
      cJSON_AddNumberToObject (u, "fence", (double)mm_exec_fence (s->exec));
      cJSON_AddBoolToObject (u, "usable", mm_exec_usable (s->exec));
      cJSON_AddNumberToObject (u, "runs", (double)mm_exec_runs (s->exec));
      cJSON_AddNumberToObject (u, "free_cpu_milli",
                               (double)mm_exec_room (s->exec).cpu_milli);
      cJSON_AddNumberToObject (u, "slowness", mm_exec_slowness (s->exec));
      cJSON_AddItemToArray (a, u);
    }
  char *text = cJSON_PrintUnformatted (d);
  cJSON_Delete (d);
  return text;
}
