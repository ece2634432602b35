/* mm_owner_evacuation: what evacuations change for the queue of an owner. That
   no task is started in an evacuated data centre follows from
   mm_exec_takes_new_tasks().  */
#include "mm_event.h"
#include "mm_owner_priv.h"

#include <string.h>

/* An evacuated data centre, as this owner has handled it.  */
typedef struct
{
  mm_time_ms seen_ms; /* first tick with the evacuation */
  bool in_force;      /* logged: no order to start a task is under way */
} evacuation;

void
mm_owner_set_evacuations (mm_owner *o, const mm_evacuations *e)
{
  o->common.evacuations = e;
}

mm_owner_datacentre
mm_owner_measure_datacentre (const mm_owner *o, const char *datacentre)
{
  mm_owner_datacentre d = { 0 };
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const mm_exec *x = ((mm_owned_upstream *)v)->exec;
      if (strcmp (mm_exec_info (x)->datacentre, datacentre) != 0)
        continue;
      d.upstreams++;
      d.runs += (uint32_t)mm_exec_count_runs (x);
      d.open_starts += (uint32_t)mm_exec_count_open_starts (x);
    }
  return d;
}

static gboolean
has_ended (gpointer datacentre, gpointer e, gpointer evacuations)
{
  return !mm_evacuations_contain (evacuations, datacentre);
}

static void
log_if_in_force (const mm_owner *o, const char *datacentre, evacuation *e,
                 mm_time_ms now)
{
  mm_owner_datacentre d = mm_owner_measure_datacentre (o, datacentre);
  if (d.open_starts)
    return;
  e->in_force = true;
  mm_log_event (MM_EV_EVACUATION_IN_FORCE, MM_TEXT (datacentre),
                MM_INT (now - e->seen_ms), MM_INT (d.upstreams),
                MM_INT (d.runs));
}

void
mm_owner_log_evacuations (mm_owner *o, mm_time_ms now)
{
  const mm_evacuations *evacuations = o->common.evacuations;
  g_hash_table_foreach_remove (o->evacuated, has_ended, (gpointer)evacuations);
  if (!mm_evacuations_any (evacuations))
    return;
  GList *names = mm_evacuations_datacentres (evacuations);
  for (GList *l = names; l; l = l->next)
    {
      evacuation *e = g_hash_table_lookup (o->evacuated, l->data);
      if (!e)
        {
          e = g_new0 (evacuation, 1);
          e->seen_ms = now;
          g_hash_table_insert (o->evacuated, g_strdup (l->data), e);
        }
      if (!e->in_force)
        log_if_in_force (o, l->data, e, now);
    }
  g_list_free (names);
}

/* Returns whether evacuations leave the owner without an upstream that could
   run tasks of the service.  */
static bool
is_evacuated (const mm_owner *o, const char *service)
{
  bool any = false;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->owned_upstreams);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const mm_exec *x = ((mm_owned_upstream *)v)->exec;
      if (strcmp (mm_exec_info (x)->service, service) != 0)
        continue;
      if (!mm_exec_evacuated (x))
        return false;
      any = true;
    }
  return any;
}

static mm_work *
first_evacuated (const mm_owner *o)
{
  for (GList *l = o->waiting->head; l; l = l->next)
    if (is_evacuated (o, ((mm_work *)l->data)->request.service))
      return l->data;
  return NULL;
}

/* The queue is searched from its head for each task, because the callback of
   one task may cancel others.  */
void
mm_owner_return_evacuated (mm_owner *o)
{
  if (!mm_evacuations_any (o->common.evacuations))
    return;
  mm_work *w;
  while ((w = first_evacuated (o)))
    {
      g_queue_remove (o->waiting, w);
      mm_owner_finish (w, MM_END_NOT_RUN, NULL, 0, 0, "evacuated");
    }
}
