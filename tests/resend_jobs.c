/* resend_jobs: jobs and their callers, as mm_jobs has them, see
   resend_fixture.h.  */
#include "resend_priv.h"

static bool
owns_any (const sim *s, int instance)
{
  for (int u = 0; u < s->n_upstreams; u++)
    if (s->owner_of[u] == instance && !s->gone[u])
      return true;
  return false;
}

static void
on_work_done (void *ctx, const mm_work_result *r)
{
  submission *b = ctx;
  b->work = NULL;
  sim_on_submission_ended (b, r->how);
}

/* Returns an instance that the task can be dispatched to, -1: none.  */
static int
choose_owner (submission *b)
{
  sim *s = b->at->s;
  int first = sim_random (s, SIM_INSTANCES);
  for (int k = 0; k < SIM_INSTANCES; k++)
    {
      int i = (first + k) % SIM_INSTANCES;
      bool reached
          = i == b->at->index || sim_find_connected (b->at, &s->instances[i]);
      if (reached && owns_any (s, i) && (b->owner < 0 || b->owner == i))
        return i;
    }
  return -1;
}

/* ---- late binding: the instances as owners (mm_reservation_port) -------- */

static void *
port_reserve (void *ctx, const char *owner, const mm_task_request *t,
              uint32_t copies, mm_work_offered offered, mm_work_done done,
              void *done_ctx)
{
  instance *self = ctx;
  if (!owner)
    return mm_owner_reserve (self->owner, t, copies, offered, done, done_ctx);
  link *l = sim_find_connected (self, &self->s->instances[*owner - '0']);
  if (!l)
    return NULL;
  sent_run *r = sim_send_reserve (l, t);
  r->offered = offered;
  r->done = done;
  r->ctx = done_ctx;
  return r;
}

static void
port_accept (void *ctx, const char *owner, void *handle, const char *payload)
{
  if (owner)
    sim_send_accept (handle, payload);
  else
    mm_owner_accept (((instance *)ctx)->owner, handle, payload);
}

static void
port_cancel (void *ctx, const char *owner, void *handle)
{
  if (((instance *)ctx)->s->destroyed)
    return;
  if (owner)
    sim_cancel_sent (handle);
  else
    mm_owner_cancel (((instance *)ctx)->owner, handle);
}

static void
on_set_done (void *ctx, const mm_work_result *r)
{
  submission *b = ctx;
  mm_reservation_set_destroy (g_steal_pointer (&b->set));
  sim_on_submission_ended (b, r->how);
}

/* Reserves at this instance, if it owns upstreams, and at up to three others.
 */
static bool
reserve (submission *b, const mm_task_request *t)
{
  static const char *const names[SIM_INSTANCES] = { "0", "1", "2", "3", "4" };
  sim *s = b->at->s;
  const char *owners[SIM_INSTANCES];
  size_t n = 0;
  if (owns_any (s, b->at->index))
    owners[n++] = NULL;
  int first = sim_random (s, SIM_INSTANCES);
  for (int k = 0; k < SIM_INSTANCES && n < MM_DEFAULT_RESERVATIONS; k++)
    {
      int i = (first + k) % SIM_INSTANCES;
      if (i != b->at->index && owns_any (s, i))
        owners[n++] = names[i];
    }
  mm_reservation_port port = { .reserve = port_reserve,
                               .accept = port_accept,
                               .cancel = port_cancel,
                               .ctx = b->at };
  b->set = mm_reservation_set_create (&port, t, owners, n, on_set_done, b);
  return b->set != NULL;
}

static void
dispatch (submission *b)
{
  sim *s = b->at->s;
  int owner = choose_owner (b);
  b->retry_ms = mm_clock_now_ms () + MM_EXEC_TICK_MS;
  if (owner < 0)
    return;
  b->retry_ms = 0;
  char name[16];
  g_snprintf (name, sizeof name, "job-%d", b->job->index);
  mm_task_request t = fakes_task (name, 0, SIM_CPU_MILLI, b->job->run_ms);
  t.start_within_ms = MM_OWNER_WAIT_MS;
  if (s->binds_late)
    {
      t.start_within_ms = MM_RESERVATION_MS;
      if (!reserve (b, &t))
        b->retry_ms = mm_clock_now_ms () + MM_EXEC_TICK_MS;
      return;
    }
  if (owner == b->at->index)
    b->work = mm_owner_submit (b->at->owner, &t, on_work_done, b);
  else
    {
      b->sent = sim_send_run (sim_find_connected (b->at, &s->instances[owner]),
                              &t);
      b->sent->sub = b;
    }
}

static void
submission_free (submission *b)
{
  if (b->work)
    mm_owner_cancel (b->at->owner, b->work);
  if (b->sent)
    sim_cancel_sent (b->sent);
  mm_reservation_set_destroy (b->set);
  if (b->job->current == b)
    b->job->current = NULL;
  b->at->submissions = g_list_remove (b->at->submissions, b);
  g_free (b);
}

/* Handles the end of a dispatch: the job is done, or its task is dispatched
   again at the next tick, or once no earlier run can go on.  */
void
sim_on_submission_ended (submission *b, mm_end how)
{
  mm_time_ms now = mm_clock_now_ms ();
  if (how == MM_END_DONE || (b->at->s->runs_once && how != MM_END_NOT_RUN))
    {
      b->job->done = b->job->done || b->job->current == b;
      submission_free (b);
    }
  else
    b->retry_ms = how == MM_END_UNKNOWN ? now + MM_IN_DOUBT_MS : now;
}

void
sim_caller_retries (sim *s, job *j)
{
  j->current = NULL;
  if (s->runs_once)
    j->done = true;
  else
    j->resend_ms = sim_now (s) + MM_RESEND_MS;
}

void
sim_tick_jobs (instance *i)
{
  GList *next;
  for (GList *g = i->submissions; g; g = next)
    {
      submission *b = g->data;
      next = g->next;
      if (b->set && mm_reservation_set_is_due (b->set, mm_clock_now_ms ()))
        mm_reservation_set_expire (b->set);
      if (b->retry_ms && mm_clock_now_ms () >= b->retry_ms)
        dispatch (b);
    }
}

/* Reads the requests that arrived while the instance stood still.  A
   connection is accepted in one iteration, its request read in the next, and
   its close in the one after that.  */
void
sim_read_requests (instance *i)
{
  GList *next;
  for (GList *g = i->submissions; g; g = next)
    {
      submission *b = g->data;
      next = g->next;
      if (!b->unread || --b->unread > 0)
        continue;
      if (b->caller_left)
        submission_free (b);
      else
        dispatch (b);
    }
}

/* Frees the submissions whose callers have left.  */
void
sim_read_callers (instance *i)
{
  GList *next;
  for (GList *g = i->submissions; g; g = next)
    {
      next = g->next;
      const submission *b = g->data;
      if (b->caller_left && !b->unread)
        submission_free (g->data);
    }
}

void
sim_free_submissions (instance *i)
{
  for (GList *g = i->submissions; g; g = g->next)
    mm_reservation_set_destroy (((submission *)g->data)->set);
  g_list_free_full (i->submissions, g_free);
}

/* Answers all jobs as unknown.  */
void
sim_abandon_jobs (instance *i)
{
  GList *next;
  for (GList *g = i->submissions; g; g = next)
    {
      submission *b = g->data;
      next = g->next;
      if (b->unread)
        continue;
      if (b->job->current == b)
        sim_caller_retries (i->s, b->job);
      submission_free (b);
    }
}

void
sim_submit (sim *s, int n, mm_time_ms run_ms, int at, int owner)
{
  instance *i = &s->instances[at];
  const instance *before = sim_enter (i);
  submission *b = g_new0 (submission, 1);
  s->jobs[n].run_ms = run_ms;
  s->jobs[n].resend_ms = 0;
  s->jobs[n].current = b;
  b->at = i;
  b->job = &s->jobs[n];
  b->owner = owner;
  i->submissions = g_list_append (i->submissions, b);
  b->unread = sim_is_awake (i) ? 0 : 2;
  if (!b->unread)
    dispatch (b);
  sim_leave (s, before);
}

void
sim_submit_anywhere (sim *s, int n, mm_time_ms run_ms)
{
  s->jobs[n].run_ms = run_ms;
  s->jobs[n].resend_ms = sim_now (s);
}

void
sim_break_caller (sim *s, int n)
{
  job *j = &s->jobs[n];
  if (!j->current)
    return;
  j->current->caller_left = true;
  sim_caller_retries (s, j);
}

void
sim_resend_at (sim *s, int n, int instance, int owner)
{
  s->jobs[n].resend_at = instance;
  s->jobs[n].owner_at = owner;
}

bool
sim_job_done (const sim *s, int n)
{
  return s->jobs[n].done;
}

int
sim_instance_of (const sim *s, int n)
{
  return s->jobs[n].current ? s->jobs[n].current->at->index : -1;
}

int
sim_upstream_of (const sim *s, int n)
{
  mm_task_id id = { 0 };
  g_snprintf (id.job, sizeof id.job, "job-%d", n);
  for (int u = 0; u < s->n_upstreams; u++)
    if (!s->gone[u] && fake_is_running (s->upstreams[u], &id))
      return u;
  return -1;
}

uint32_t
sim_double_runs (const sim *s)
{
  return fakes_count (s->fakes).double_runs;
}

/* Sends the jobs again that are due, at the wanted or any other instance.  */
void
sim_resend_jobs (sim *s)
{
  for (int n = 0; n < SIM_JOBS; n++)
    {
      job *j = &s->jobs[n];
      if (!j->resend_ms || sim_now (s) < j->resend_ms)
        continue;
      int at
          = j->resend_at >= 0 ? j->resend_at : sim_random (s, SIM_INSTANCES);
      const instance *i = &s->instances[at];
      if (sim_is_awake (i) || (!i->dead && j->resend_at >= 0))
        sim_submit (s, n, j->run_ms, at, j->owner_at);
    }
}
