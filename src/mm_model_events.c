/* mm_model_events: the events to come, as a binary heap.  */
#include "mm_model_priv.h"

static bool
is_earlier (const event *a, const event *b)
{
  return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->number < b->number;
}

static event *
event_at (model *m, guint i)
{
  return &g_array_index (m->heap, event, i);
}

void
mm_model_push_event (model *m, event e)
{
  e.number = m->n_events++;
  g_array_append_val (m->heap, e);
  guint i = m->heap->len - 1;
  for (; i > 0 && is_earlier (&e, event_at (m, (i - 1) / 2)); i = (i - 1) / 2)
    *event_at (m, i) = *event_at (m, (i - 1) / 2);
  *event_at (m, i) = e;
}

void
mm_model_push_work_event (model *m, event_kind kind, work *w, double at_ms)
{
  mm_model_push_event (m, (event){ .at_ms = at_ms,
                                   .kind = kind,
                                   .work = w,
                                   .generation = w->generation });
}

bool
mm_model_has_event_before (model *m, double at_ms)
{
  return m->heap->len > 0 && event_at (m, 0)->at_ms < at_ms;
}

event
mm_model_pop_event (model *m)
{
  event first = *event_at (m, 0);
  guint n = m->heap->len - 1, i = 0;
  event last = *event_at (m, n);
  for (guint child = 1; child < n; child = 2 * i + 1)
    {
      if (child + 1 < n
          && is_earlier (event_at (m, child + 1), event_at (m, child)))
        child++;
      if (!is_earlier (event_at (m, child), &last))
        break;
      *event_at (m, i) = *event_at (m, child);
      i = child;
    }
  *event_at (m, i) = last;
  g_array_set_size (m->heap, n);
  return first;
}
