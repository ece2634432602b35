/* resend_fixture: instances and their upstreams, see resend_fixture.h.  */
#include "resend_priv.h"

#include "mm_owner_priv.h"

/* The steps of an iteration of an instance's event loop.  */
typedef enum
{
  STAGE_BEGIN,
  STAGE_LINK_TIMERS,
  STAGE_OWNER_TIMERS,
  STAGE_JOB_TIMERS,
  STAGE_ANSWERS,
  STAGE_LINKS,
  STAGE_CALLERS,
  STAGE_REQUESTS,
  STAGES
} stage;

/* ---- time ------------------------------------------------------------- */

static mm_time_ms
read_clock (void *ctx)
{
  const sim *s = ctx;
  return fakes_now (s->fakes) - (s->current ? s->current->clock_lag_ms : 0);
}

const instance *
sim_enter (instance *i)
{
  const instance *before = i->s->current;
  i->s->current = i;
  return before;
}

void
sim_leave (sim *s, const instance *before)
{
  s->current = before;
}

bool
sim_is_awake (const instance *i)
{
  return !i->dead && !i->frozen_until_ms;
}

mm_time_ms
sim_now (const sim *s)
{
  return fakes_now (s->fakes);
}

int
sim_random (sim *s, int below)
{
  return g_rand_int_range (s->rng, 0, below);
}

bool
sim_chance (sim *s, double share)
{
  return share > 0 && g_rand_double (s->rng) < share;
}

fakes *
sim_fakes (sim *s)
{
  return s->fakes;
}

/* ---- upstreams and instances ------------------------------------------ */

int
sim_upstreams (const sim *s)
{
  return s->n_upstreams;
}

int
sim_owner_of (const sim *s, int u)
{
  return s->gone[u] ? -1 : s->owner_of[u];
}

fake *
sim_upstream (sim *s, int u)
{
  return s->upstreams[u];
}

static void
own (sim *s, int u, int owner)
{
  const instance *before = sim_enter (&s->instances[owner]);
  s->owner_of[u] = owner;
  s->assign_ms[u] = 0;
  const mm_upstream_info *info = fake_info (s->upstreams[u]);
  mm_owner_raise_fence (s->instances[owner].owner, info->name, ++s->fence);
  mm_owner_add_upstream (s->instances[owner].owner, info, s->fence);
  sim_leave (s, before);
}

int
sim_add_upstream (sim *s, int owner)
{
  return sim_add_small_upstream (s, owner,
                                 SIM_UPSTREAM_CPU_MILLI / SIM_CPU_MILLI);
}

int
sim_add_small_upstream (sim *s, int owner, int tasks)
{
  int u = s->n_upstreams++;
  char name[8];
  g_snprintf (name, sizeof name, "u%d", u);
  s->upstreams[u] = fakes_add (s->fakes, name, (int64_t)tasks * SIM_CPU_MILLI);
  s->disowned[u] = -1;
  own (s, u, owner);
  return u;
}

static void
disown (sim *s, int u, int owner)
{
  instance *i = &s->instances[owner];
  const instance *before = sim_enter (i);
  if (!i->dead)
    mm_owner_remove_upstream (i->owner, fake_info (s->upstreams[u])->name);
  sim_leave (s, before);
}

void
sim_move (sim *s, int u, int next, mm_time_ms disown_after_ms)
{
  int previous = s->owner_of[u];
  if (s->gone[u] || previous == next || !sim_is_awake (&s->instances[next]))
    return;
  s->disowned[u] = disown_after_ms >= 0 ? previous : -1;
  s->disown_ms[u] = sim_now (s) + disown_after_ms;
  own (s, u, next);
}

void
sim_renew (sim *s, int u)
{
  int owner = s->owner_of[u];
  if (!s->gone[u] && sim_is_awake (&s->instances[owner]))
    own (s, u, owner);
}

void
sim_restart (sim *s, int u)
{
  if (s->gone[u] || s->n_upstreams == SIM_UPSTREAMS)
    return;
  s->gone[u] = true;
  fake_restart (s->upstreams[u]);
  int owner = s->owner_of[u];
  for (int k = 0; k < SIM_INSTANCES && !sim_is_awake (&s->instances[owner]);
       k++)
    owner = k;
  if (sim_is_awake (&s->instances[owner]))
    sim_add_upstream (s, owner);
}

/* Assigns the upstreams of dead owners, and lets previous owners learn of
   their loss.  */
static void
assign_upstreams (sim *s)
{
  for (int u = 0; u < s->n_upstreams; u++)
    {
      int previous = s->disowned[u];
      if (previous >= 0 && sim_now (s) >= s->disown_ms[u]
          && sim_is_awake (&s->instances[previous]))
        {
          s->disowned[u] = -1;
          if (s->owner_of[u] != previous)
            disown (s, u, previous);
        }
      int next = sim_random (s, SIM_INSTANCES);
      if (s->assign_ms[u] && sim_now (s) >= s->assign_ms[u] && !s->gone[u]
          && sim_is_awake (&s->instances[next]))
        own (s, u, next);
    }
}

void
sim_kill (sim *s, int n)
{
  instance *i = &s->instances[n];
  if (i->dead)
    return;
  i->dead = true;
  for (GList *g = s->links; g; g = g->next)
    for (int e = 0; e < 2; e++)
      {
        link *l = g->data;
        if (l->end[e].at != i)
          continue;
        l->end[e].open = false;
        if (i->link_paths[l->end[!e].at->index].cut)
          g_queue_clear_full (l->end[!e].inbox, sim_message_free);
      }
  for (GList *g = i->submissions; g; g = g->next)
    if (((submission *)g->data)->job->current == g->data)
      sim_caller_retries (s, ((submission *)g->data)->job);
  for (int u = 0; u < s->n_upstreams; u++)
    if (s->owner_of[u] == n)
      s->assign_ms[u] = sim_now (s) + SIM_TTL_MS;
}

bool
sim_alive (const sim *s, int n)
{
  return !s->instances[n].dead;
}

void
sim_freeze (sim *s, int n, mm_time_ms ms, bool counted)
{
  instance *i = &s->instances[n];
  if (!sim_is_awake (i))
    return;
  i->frozen_until_ms = sim_now (s) + ms;
  i->freeze_counted = counted;
  if (!counted)
    i->clock_lag_ms += ms;
}

void
sim_freeze_midway (sim *s, int n, mm_time_ms ms)
{
  instance *i = &s->instances[n];
  i->freeze_stage = 1 + sim_random (s, STAGES - 1);
  i->freeze_ms = ms;
}

void
sim_wake_blind (sim *s, int n, int iterations)
{
  s->instances[n].blind = iterations;
}

void
sim_read_links_every (sim *s, int n, mm_time_ms ms)
{
  s->instances[n].read_every_ms = ms;
}

sim_path *
sim_path_to (sim *s, int instance, int upstream)
{
  return &s->instances[instance].paths[upstream];
}

sim_link_path *
sim_link_path_to (sim *s, int from, int to)
{
  return &s->instances[from].link_paths[to];
}

/* Begins an iteration of the event loop, as stall_cb() of mm_node.  */
static void
begin_iteration (instance *i)
{
  mm_time_ms now = sim_now (i->s);
  mm_time_ms clock_ms = mm_clock_now_ms ();
  bool stalled = clock_ms - i->last_loop_ms > MM_STALL_MS;
  bool woken = clock_ms - i->last_loop_ms > 1;
  mm_owner_set_input_read (i->owner, i->handled_ms);
  i->handled_ms = i->wait_ms;
  i->last_loop_ms = clock_ms;
  if (stalled)
    {
      sim_close_links (i);
      sim_abandon_jobs (i);
    }
  i->timers_due = woken || now % MM_EXEC_TICK_MS == i->index * 5;
}

static void
run_stage (instance *i, stage k)
{
  if (i->blind && k >= STAGE_ANSWERS)
    return;
  switch (k)
    {
    case STAGE_BEGIN:
      begin_iteration (i);
      break;
    case STAGE_LINK_TIMERS:
      if (i->timers_due)
        sim_tick_links (i);
      break;
    case STAGE_OWNER_TIMERS:
      if (i->timers_due)
        mm_owner_tick (i->owner);
      break;
    case STAGE_JOB_TIMERS:
      if (i->timers_due)
        sim_tick_jobs (i);
      break;
    case STAGE_ANSWERS:
      sim_read_answers (i);
      break;
    case STAGE_LINKS:
      sim_read_links (i);
      break;
    case STAGE_CALLERS:
      sim_read_callers (i);
      break;
    case STAGE_REQUESTS:
      sim_read_requests (i);
      break;
    case STAGES:
      break;
    }
}

/* Runs the event loop of an instance once.  Timers are due before messages
   are read, as in libev.  */
static void
instance_step (instance *i)
{
  mm_time_ms now = sim_now (i->s);
  if (i->frozen_until_ms && now >= i->frozen_until_ms)
    i->frozen_until_ms = 0;
  if (!sim_is_awake (i))
    return;
  const instance *before = sim_enter (i);
  for (; i->stage < STAGES && sim_is_awake (i); i->stage++)
    {
      if (i->freeze_stage && i->freeze_stage == i->stage)
        {
          i->freeze_stage = 0;
          sim_freeze (i->s, i->index, i->freeze_ms, true);
          break;
        }
      run_stage (i, (stage)i->stage);
    }
  if (i->stage == STAGES)
    {
      i->stage = STAGE_BEGIN;
      i->wait_ms = mm_clock_now_ms ();
      i->blind = MAX (i->blind - 1, 0);
    }
  sim_leave (i->s, before);
}

static void
step (sim *s)
{
  fakes_run (s->fakes, NULL, 1);
  for (int k = 0; k < SIM_INSTANCES; k++)
    instance_step (&s->instances[k]);
  GList *calls = g_list_copy (s->calls);
  for (GList *g = calls; g; g = g->next)
    sim_call_step (g->data);
  g_list_free (calls);
  assign_upstreams (s);
  sim_resend_jobs (s);
  sim_free_closed_links (s);
}

void
sim_run (sim *s, mm_time_ms ms)
{
  for (mm_time_ms t = 0; t < ms; t++)
    step (s);
}

static void
instance_init (sim *s, int n)
{
  instance *i = &s->instances[n];
  i->s = s;
  i->index = n;
  i->last_loop_ms = i->wait_ms = i->handled_ms = sim_now (s);
  mm_exec_port port = { .start = sim_port_start,
                        .stop = sim_port_stop,
                        .hold = sim_port_hold,
                        .ctx = i };
  i->owner = mm_owner_create (&port);
  mm_owner_transfer_port transfer
      = { .found = sim_on_found, .cancel = sim_on_cancel_transfer, .ctx = i };
  mm_owner_set_transfer_port (i->owner, &transfer);
  for (int k = 0; k < SIM_INSTANCES; k++)
    i->link_paths[k].delay_ms = DELAY_MS;
}

void
sim_bind_late (sim *s)
{
  s->binds_late = true;
}

void
sim_run_once (sim *s)
{
  s->runs_once = true;
}

uint32_t
sim_overdue_offers (const sim *s)
{
  uint32_t n = 0;
  for (int k = 0; k < SIM_INSTANCES; k++)
    {
      const instance *i = &s->instances[k];
      /* An instance that stood still ends its offers at its next tick.  */
      if (!sim_is_awake (i) || i->stage != STAGE_BEGIN
          || i->wait_ms - i->last_loop_ms > 1)
        continue;
      mm_time_ms now = sim_now (s) - i->clock_lag_ms;
      /* Ticks follow the simulated time: by a clock that stood still, two of
         them are up to twice as far apart.  */
      mm_time_ms tick_ms = MM_EXEC_TICK_MS * (i->clock_lag_ms ? 2 : 1);
      for (GList *l = i->owner->offers->head; l; l = l->next)
        n += now - ((mm_work *)l->data)->reservation->end_ms > tick_ms;
    }
  return n;
}

uint32_t
sim_reserved (const sim *s)
{
  uint32_t n = 0;
  for (int k = 0; k < SIM_INSTANCES; k++)
    {
      const instance *i = &s->instances[k];
      if (i->dead)
        continue;
      mm_owner_reservations r = mm_owner_count_reservations (i->owner);
      n += r.waiting + r.offers;
      GHashTableIter it;
      gpointer v;
      g_hash_table_iter_init (&it, i->owner->owned_upstreams);
      while (g_hash_table_iter_next (&it, NULL, &v))
        n += ((mm_owned_upstream *)v)->n_set_aside != 0
             || ((mm_owned_upstream *)v)->set_aside.cpu_milli != 0;
    }
  return n;
}

sim *
sim_create (uint32_t seed)
{
  sim *s = g_new0 (sim, 1);
  s->fakes = fakes_create ();
  s->port = fakes_port (s->fakes);
  s->rng = g_rand_new_with_seed (seed);
  s->fence = 1;
  mm_clock_set_source (read_clock, s);
  for (int n = 0; n < SIM_JOBS; n++)
    s->jobs[n] = (job){ .index = n, .resend_at = -1, .owner_at = -1 };
  for (int k = 0; k < SIM_INSTANCES; k++)
    instance_init (s, k);
  sim_run (s, MM_MESH_RECONNECT_MS);
  return s;
}

void
sim_destroy (sim *s)
{
  s->destroyed = true;
  for (int k = 0; k < SIM_INSTANCES; k++)
    {
      sim_free_submissions (&s->instances[k]);
      mm_owner_destroy (s->instances[k].owner);
    }
  /* A session keeps a call until its last callback.  */
  GList *calls = g_list_copy (s->calls);
  for (GList *g = calls; g; g = g->next)
    {
      call *c = g->data;
      mm_hold_result none
          = { .call = { .verdict = MM_CALL_NO_ANSWER, .clock_ms = -1 } };
      none.call.was_overdue = c->overdue;
      c->forward_ms = -1;
      if (c->open)
        sim_call_report (c, &none);
      sim_call_free_if_unused (c);
    }
  g_list_free (calls);
  fakes_destroy (s->fakes);
  g_list_free_full (s->links, (GDestroyNotify)sim_link_free);
  g_rand_free (s->rng);
  g_free (s);
}
