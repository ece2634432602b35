/* mm_model_work: entries for tasks and reservations at owners.  */
#include "mm_model_priv.h"

/* Entries are used again, as a play of some seconds needs a million.  */
work *
mm_model_work_new (model *m, task *t, instance *owner)
{
  work *w;
  if (m->free_works->len > 0)
    w = g_ptr_array_steal_index (m->free_works, m->free_works->len - 1);
  else
    {
      w = g_new0 (work, 1);
      g_ptr_array_add (m->works, w);
    }
  *w = (work){ .task = t,
               .owner = owner,
               .generation = w->generation,
               .copies = 1,
               .yields = t->job->yields };
  return w;
}

void
mm_model_work_free (model *m, work *w)
{
  w->generation++;
  g_ptr_array_add (m->free_works, w);
}

uint32_t
mm_model_priority_level (const model *m, const task *t)
{
  int64_t priority = m->load->kinds[t->job->kind].priority;
  return (uint32_t)MIN (priority, MM_PRIORITY_LEVELS - 1);
}

double
mm_model_link_ms (const model *m, const work *w)
{
  const instance *home = w->task->job->home;
  if (w->owner == home)
    return 0;
  bool far = w->owner->datacentre != home->datacentre;
  return far && m->load->far_link_ms > 0 ? m->load->far_link_ms
                                         : m->load->link_ms;
}
