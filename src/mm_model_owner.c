/* mm_model_owner: owners of upstreams in the model and their queues.  */
#include "mm_model_priv.h"

bool
mm_model_is_lost (const model *m, const upstream *u)
{
  return m->datacentre_lost && u->datacentre == 0;
}

void
mm_model_update_upstream (const model *m, const upstream *u)
{
  mm_placement_candidate *c = &u->owner->candidates[u->index];
  c->allowed = !mm_model_is_lost (m, u);
  c->slowness = u->known_slowness;
  c->free_capacity = (mm_resources){ .cpu_milli = u->free_milli, .mem_mb = 1 };
  u->owner->report_valid = false;
  u->owner->residuals_valid = false;
}

void
mm_model_update_average (double *average, double value, double gain)
{
  *average = *average > 0 ? *average + gain * (value - *average) : value;
}

void
mm_model_start (model *m, work *w)
{
  task *t = w->task;
  mm_model_result *r = &m->results[t->job->kind];
  t->on = w->on;
  t->started = true;
  t->job->yields = false; /* what it has run would be lost */
  t->started_ms = m->now_ms;
  r->started++;
  r->wait_ms += m->now_ms - t->job->submitted_ms;
  mm_model_record_start (m, w->owner, t);
  t->bound = NULL;
  mm_model_work_free (m, w);
  mm_model_push_event (
      m, (event){ .at_ms = m->now_ms + t->run_ms * t->on->slowness,
                  .kind = EVENT_END,
                  .task = t });
}

/* Takes capacity for @w at the upstream that mm_placement chooses.  Returns
   false when it fits nowhere.  */
static bool
take_capacity (model *m, work *w)
{
  instance *n = w->owner;
  mm_resources need = { .cpu_milli = w->task->cpu_milli };
  int best = mm_placement_choose (n->candidates, n->upstreams->len, &need);
  if (best < 0)
    return false;
  w->on = n->upstreams->pdata[best];
  w->on->free_milli -= w->task->cpu_milli;
  mm_model_update_upstream (m, w->on);
  return true;
}

/* Returns whether @a goes before @b in an owner's queue, as in mm_owner.  */
static bool
goes_before (const model *m, const work *a, const work *b)
{
  if (a->yields != b->yields)
    return b->yields;
  const job *ja = a->task->job, *jb = b->task->job;
  int64_t pa = m->load->kinds[ja->kind].priority;
  int64_t pb = m->load->kinds[jb->kind].priority;
  if (pa != pb)
    return pa < pb;
  if (ja->on_time_start_ms != jb->on_time_start_ms)
    return ja->on_time_start_ms < jb->on_time_start_ms;
  return a->arrival < b->arrival;
}

/* Returns the index in the queue of @w, or at which it is inserted.  */
static guint
find_turn (const model *m, const work *w)
{
  const GPtrArray *waiting = w->owner->waiting;
  guint from = 0, to = waiting->len;
  while (from < to)
    {
      guint middle = from + (to - from) / 2;
      if (goes_before (m, waiting->pdata[middle], w))
        from = middle + 1;
      else
        to = middle;
    }
  return from;
}

/* Changes the number of waiting tasks by that of @w.  Yielding tasks go before
   no others and are not counted at any level.  */
static void
count_waiting (const model *m, const work *w, double sign)
{
  instance *n = w->owner;
  n->report_valid = false;
  if (!w->yields)
    {
      uint32_t level = mm_model_priority_level (m, w->task);
      n->waiting_by_priority[level] += sign / w->copies;
      n->n_waiting[level] += sign > 0 ? 1 : -1;
      return;
    }
  n->waiting_yielding += sign / w->copies;
  n->n_yielding += sign > 0 ? 1 : -1;
}

void
mm_model_enqueue (model *m, work *w)
{
  w->arrival = ++m->n_arrivals;
  w->state = WORK_WAITING;
  g_ptr_array_insert (w->owner->waiting, (gint)find_turn (m, w), w);
  count_waiting (m, w, 1);
}

/* Removes the entry at that index from the queue.  */
static void
remove_waiting (const model *m, instance *n, guint i)
{
  count_waiting (m, n->waiting->pdata[i], -1);
  g_ptr_array_remove_index (n->waiting, i);
}

void
mm_model_cancel_waiting (model *m, work *w)
{
  remove_waiting (m, w->owner, find_turn (m, w));
  mm_model_work_free (m, w);
}

/* Returns the largest free capacity at one upstream.  */
static int64_t
largest_free_milli (const instance *n)
{
  int64_t largest = -1;
  for (guint i = 0; i < n->upstreams->len; i++)
    if (n->candidates[i].allowed)
      largest = MAX (largest, n->candidates[i].free_capacity.cpu_milli);
  return largest;
}

/* Starts the task at that index in the queue, or offers capacity to it if it
   is a reservation.  Returns false when it fits nowhere.  */
static bool
start_at (model *m, instance *n, guint i)
{
  work *w = n->waiting->pdata[i];
  if (!take_capacity (m, w))
    return false;
  remove_waiting (m, n, i);
  n->starts_since_yielding = w->yields ? 0 : n->starts_since_yielding + 1;
  if (w->is_reservation)
    mm_model_offer (m, w);
  else
    mm_model_start (m, w);
  return true;
}

void
mm_model_start_waiting (model *m, instance *n)
{
  if (n->waiting->len == 0)
    return;
  int64_t misses = 0;
  int64_t largest_milli = largest_free_milli (n);
  for (guint i = 0; i < n->waiting->len && misses < m->load->owner_misses;)
    {
      bool yielding_first
          = n->n_yielding > 0
            && n->starts_since_yielding + 1 >= MM_YIELDING_START_EVERY;
      guint first_yielding = n->waiting->len - n->n_yielding;
      const work *w = n->waiting->pdata[i];
      if ((yielding_first && start_at (m, n, first_yielding))
          || (w->task->cpu_milli <= largest_milli && start_at (m, n, i)))
        largest_milli = largest_free_milli (n);
      else
        {
          misses++;
          i++;
        }
    }
}

/* A task or a reservation has arrived at an owner.  */
void
mm_model_on_handed (model *m, work *w)
{
  if (w->task->job->over && !w->is_reservation)
    {
      mm_model_work_free (m, w);
      return;
    }
  instance *n = w->owner;
  uint64_t generation = w->generation;
  mm_model_update_average (&n->average_cpu_milli, (double)w->task->cpu_milli,
                           MM_AVERAGE_GAIN);
  mm_model_enqueue (m, w);
  mm_model_start_waiting (m, n);
  if (w->generation == generation && !w->is_reservation)
    mm_model_push_work_event (m, EVENT_EXPIRE, w, w->start_by_ms);
}

void
mm_model_hand (model *m, work *w, double arrival_ms)
{
  if (w->owner == w->task->job->home)
    mm_model_on_handed (m, w);
  else
    mm_model_push_work_event (m, EVENT_HANDED, w, arrival_ms);
}

/* A task has waited long enough at an owner.  */
void
mm_model_on_expire (model *m, work *w)
{
  if (w->state != WORK_WAITING)
    return;
  remove_waiting (m, w->owner, find_turn (m, w));
  w->state = WORK_ENDED;
  m->results[w->task->job->kind].returned++;
  mm_model_push_work_event (m, EVENT_RETURN, w,
                            m->now_ms + mm_model_link_ms (m, w));
}
