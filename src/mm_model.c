/* mm_model: sets up the instances and upstreams of the model and plays its
   events.  */
#include "mm_model_priv.h"

#include <string.h>

static void
instance_free (gpointer p)
{
  instance *n = p;
  g_ptr_array_free (n->upstreams, TRUE);
  g_free (n->candidates);
  g_ptr_array_free (n->waiting, TRUE);
  g_ptr_array_free (n->open, TRUE);
  mm_overload_destroy (n->starts);
  mm_overload_state_destroy (n->overloads);
  g_ptr_array_free (n->neighbours, TRUE);
  g_ptr_array_free (n->readers, TRUE);
  g_free (n);
}

static void
job_free (gpointer p)
{
  g_free (((job *)p)->tasks);
  g_free (p);
}

static instance *
instance_new (int index, int datacentre)
{
  instance *n = g_new0 (instance, 1);
  n->index = index;
  n->datacentre = datacentre;
  n->upstreams = g_ptr_array_new ();
  n->waiting = g_ptr_array_new ();
  n->open = g_ptr_array_new ();
  n->neighbours = g_ptr_array_new_with_free_func (g_free);
  n->readers = g_ptr_array_new ();
  n->mean_task_ms = MM_TASK_ESTIMATE_MS;
  return n;
}

/* Links an instance to @count others, in its own data centre if @near, else in
   the others.  */
static void
link_to_some (model *m, instance *n, bool near, uint32_t count)
{
  guint first
      = (guint)g_rand_int_range (m->random, 0, (gint32)m->instances->len);
  for (guint i = 0; i < m->instances->len && count > 0; i++)
    {
      instance *other = m->instances->pdata[(first + i) % m->instances->len];
      if (other == n || (other->datacentre == n->datacentre) != near)
        continue;
      neighbour *x = g_new0 (neighbour, 1);
      x->of = other;
      g_ptr_array_add (n->neighbours, x);
      g_ptr_array_add (other->readers, x);
      count--;
    }
}

static void
update_upstreams (const model *m)
{
  for (guint i = 0; i < m->upstreams->len; i++)
    mm_model_update_upstream (m, m->upstreams->pdata[i]);
}

/* Sets the time, and whether the first data centre is lost then.  */
static void
set_time (model *m, double now_ms)
{
  const mm_model_load *load = m->load;
  m->now_ms = now_ms;
  double second = now_ms / 1000;
  bool lost = load->lost_for_s > 0 && second >= load->lost_from_s
              && second < load->lost_from_s + load->lost_for_s;
  if (lost == m->datacentre_lost)
    return;
  m->datacentre_lost = lost;
  update_upstreams (m);
}

static void
create_site (model *m)
{
  const mm_model_load *load = m->load;
  int64_t n_instances = load->one_owner ? 1 : load->instances;
  for (int i = 0; i < n_instances; i++)
    g_ptr_array_add (m->instances,
                     instance_new (i, (int)(i % load->datacentres)));
  for (int i = 0; i < load->upstreams; i++)
    {
      upstream *u = g_new0 (upstream, 1);
      u->owner = m->instances->pdata[i % n_instances];
      u->datacentre = (int)(i % load->datacentres);
      mm_model_draw_upstream (m, u);
      g_ptr_array_add (m->upstreams, u);
      u->index = u->owner->upstreams->len;
      g_ptr_array_add (u->owner->upstreams, u);
    }
  for (guint i = 0; i < m->instances->len; i++)
    {
      instance *n = m->instances->pdata[i];
      n->candidates = g_new0 (mm_placement_candidate, n->upstreams->len);
    }
  update_upstreams (m);
  for (guint i = 0; i < m->instances->len; i++)
    {
      instance *n = m->instances->pdata[i];
      link_to_some (m, n, true, MM_NEIGHBOURS_NEAR);
      link_to_some (m, n, false, MM_NEIGHBOURS_FAR);
      mm_model_push_event (
          m, (event){ .at_ms = load->report_ms * i / (double)m->instances->len,
                      .kind = EVENT_REPORT,
                      .instance = n });
      if (!load->overload_control)
        continue;
      n->starts = mm_overload_create ();
      n->overloads
          = mm_overload_state_create ((mm_time_ms)load->overload_target_ms);
      mm_model_push_event (
          m, (event){ .at_ms = MM_EXEC_TICK_MS * i / (double)m->instances->len,
                      .kind = EVENT_TICK,
                      .instance = n });
    }
}

static void
handle_work (model *m, const event *e)
{
  if (e->generation != e->work->generation)
    return;
  switch (e->kind)
    {
    case EVENT_HANDED:
      mm_model_on_handed (m, e->work);
      break;
    case EVENT_EXPIRE:
      mm_model_on_expire (m, e->work);
      break;
    case EVENT_RETURN:
      mm_model_on_return (m, e->work);
      break;
    case EVENT_OFFER:
      mm_model_on_offer (m, e->work);
      break;
    case EVENT_ACCEPT:
      mm_model_on_accept (m, e->work);
      break;
    case EVENT_CANCEL:
      mm_model_on_cancel (m, e->work);
      break;
    default:
      mm_model_on_offer_end (m, e->work);
      break;
    }
}

static void
handle (model *m, const event *e)
{
  switch (e->kind)
    {
    case EVENT_JOB:
      mm_model_on_job (m, e->job_kind);
      break;
    case EVENT_AGAIN:
      mm_model_on_again (m, e->task);
      break;
    case EVENT_RENEW:
      if (e->generation == e->task->round)
        mm_model_on_renew (m, e->task);
      break;
    case EVENT_END:
      mm_model_on_end (m, e->task);
      break;
    case EVENT_REPORT:
      mm_model_on_report (m, e->instance);
      break;
    case EVENT_TICK:
      mm_model_on_tick (m, e->instance);
      break;
    default:
      handle_work (m, e);
      break;
    }
}

static double
capacity_of (const model *m)
{
  double sum = 0;
  for (guint i = 0; i < m->upstreams->len; i++)
    sum += (double)((const upstream *)m->upstreams->pdata[i])->cpu_milli;
  return sum;
}

static void
clear (model *m)
{
  g_ptr_array_free (m->jobs, TRUE);
  g_ptr_array_free (m->works, TRUE);
  g_ptr_array_free (m->free_works, TRUE);
  g_ptr_array_free (m->instances, TRUE);
  g_ptr_array_free (m->upstreams, TRUE);
  g_array_free (m->heap, TRUE);
  g_rand_free (m->random);
}

double
mm_model_play (const mm_model_load *load, mm_model_result *results)
{
  memset (results, 0, load->n_kinds * sizeof *results);
  model m = { .load = load, .results = results };
  m.random = g_rand_new_with_seed ((guint32)load->seed);
  m.heap = g_array_new (FALSE, FALSE, sizeof (event));
  m.instances = g_ptr_array_new_with_free_func (instance_free);
  m.upstreams = g_ptr_array_new_with_free_func (g_free);
  m.jobs = g_ptr_array_new_with_free_func (job_free);
  m.works = g_ptr_array_new_with_free_func (g_free);
  m.free_works = g_ptr_array_new ();
  create_site (&m);
  for (size_t i = 0; i < load->n_kinds; i++)
    mm_model_push_event (&m, (event){ .at_ms = load->report_ms,
                                      .kind = EVENT_JOB,
                                      .job_kind = (int)i });
  /* Jobs that are still open when the last ones have arrived are played to
     their ends.  */
  double end_ms = load->length_s * 1000 + 10000;
  while (mm_model_has_event_before (&m, end_ms))
    {
      event e = mm_model_pop_event (&m);
      set_time (&m, e.at_ms);
      handle (&m, &e);
    }
  double used = m.busy_milli_ms / (capacity_of (&m) * load->length_s * 1000);
  mm_model_sum_up (&m);
  clear (&m);
  return used;
}
