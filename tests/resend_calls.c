/* resend_calls: calls of the sessions to the simulated upstreams, see
   resend_fixture.h.  */
#include "resend_priv.h"

void
sim_call_free_if_unused (call *c)
{
  sim *s = c->from->s;
  if (c->open || c->at_upstream || c->forward_ms >= 0)
    return;
  s->calls = g_list_remove (s->calls, c);
  g_free ((void *)c->result.running);
  g_free ((void *)c->result.ended);
  g_free (c->payload);
  g_free (c);
}

/* Hands a result to the session that sent the call.  */
void
sim_call_report (call *c, const mm_hold_result *r)
{
  const instance *before = sim_enter (c->from);
  c->open = r->call.overdue;
  c->overdue = c->overdue || r->call.overdue;
  if (c->kind == CALL_HOLD)
    c->hold_done (r, c->ctx);
  else
    c->done (&r->call, c->ctx);
  sim_leave (c->from->s, before);
}

static void
call_keep_result (call *c, const mm_hold_result *r)
{
  c->answered = true;
  c->answer_due_ms = sim_now (c->from->s) + c->answer_transit_ms;
  c->result = *r;
  c->result.running
      = g_memdup2 (r->running, r->n_running * sizeof *r->running);
  c->result.ended = g_memdup2 (r->ended, r->n_ended * sizeof *r->ended);
}

/* Handles the answer of the simulated upstream.  */
static void
on_upstream_answer (call *c, const mm_hold_result *r)
{
  c->at_upstream = false;
  bool lost = c->answer_lost || c->from->paths[c->upstream].answers_cut
              || c->from->dead || r->call.verdict == MM_CALL_NO_ANSWER;
  if (c->open && !lost && sim_is_awake (c->from) && !c->answer_transit_ms)
    {
      mm_hold_result result = *r;
      result.call.was_overdue = c->overdue;
      sim_call_report (c, &result);
    }
  else if (c->open && !lost)
    call_keep_result (c, r);
  sim_call_free_if_unused (c);
}

static void
on_order_answer (const mm_call_result *res, void *ctx)
{
  mm_hold_result r = { .call = *res };
  on_upstream_answer (ctx, &r);
}

static void
on_hold_answer (const mm_hold_result *res, void *ctx)
{
  on_upstream_answer (ctx, res);
}

static void
call_forward (call *c)
{
  sim *s = c->from->s;
  const mm_upstream_info *u = fake_info (s->upstreams[c->upstream]);
  c->forward_ms = -1;
  c->at_upstream = true;
  if (c->kind == CALL_HOLD)
    s->port.hold (s->port.ctx, u, &c->hold, on_hold_answer, c);
  else if (c->kind == CALL_STOP)
    s->port.stop (s->port.ctx, u, &c->order, on_order_answer, c);
  else
    s->port.start (s->port.ctx, u, &c->order, on_order_answer, c);
}

/* Returns a time from 0 to @limit_ms - 1, 0 without a limit.  */
static mm_time_ms
any_below (sim *s, mm_time_ms limit_ms)
{
  return limit_ms > 0 ? sim_random (s, (int)limit_ms) : 0;
}

/* Creates a call and decides whether it arrives and is answered.  */
static call *
call_create (instance *from, const mm_upstream_info *u, call_kind kind,
             mm_time_ms timeout_ms, void *ctx)
{
  sim *s = from->s;
  call *c = g_new0 (call, 1);
  c->from = from;
  c->kind = kind;
  c->ctx = ctx;
  c->open = true;
  c->timeout_ms = sim_now (s) + timeout_ms;
  while (strcmp (fake_info (s->upstreams[c->upstream])->name, u->name) != 0)
    c->upstream++;
  const sim_path *p = &from->paths[c->upstream];
  double lost = kind == CALL_START  ? p->lost_starts
                : kind == CALL_STOP ? p->lost_stops
                                    : p->lost_holds;
  bool arrives = !p->requests_cut && !sim_chance (s, lost);
  c->answer_lost = !arrives || sim_chance (s, p->lost_answers);
  c->forward_ms = -1;
  if (arrives)
    c->forward_ms = sim_now (s) + any_below (s, p->transit_ms);
  else if (!p->requests_cut && p->late_ms)
    c->forward_ms
        = sim_now (s) + p->late_ms + any_below (s, p->late_spread_ms);
  c->answer_transit_ms = any_below (s, p->transit_ms);
  s->calls = g_list_append (s->calls, c);
  return c;
}

static void
order_create (instance *from, const mm_upstream_info *u, call_kind kind,
              const mm_order *o, mm_call_done done, void *ctx)
{
  call *c = call_create (from, u, kind, o->timeout_ms, ctx);
  c->done = done;
  c->task = *o->task;
  c->payload = g_strdup (o->payload);
  c->order = *o;
  c->order.task = &c->task;
  c->order.payload = c->payload;
  c->order.timeout_ms = NO_FAKE_TIMEOUT_MS;
  if (c->forward_ms == sim_now (from->s))
    call_forward (c);
}

void
sim_port_start (void *ctx, const mm_upstream_info *u, const mm_order *o,
                mm_call_done done, void *done_ctx)
{
  order_create (ctx, u, CALL_START, o, done, done_ctx);
}

void
sim_port_stop (void *ctx, const mm_upstream_info *u, const mm_order *o,
               mm_call_done done, void *done_ctx)
{
  order_create (ctx, u, CALL_STOP, o, done, done_ctx);
}

void
sim_port_hold (void *ctx, const mm_upstream_info *u, const mm_hold *h,
               mm_hold_done done, void *done_ctx)
{
  instance *from = ctx;
  call *c = call_create (from, u, CALL_HOLD, h->timeout_ms, done_ctx);
  c->hold_done = done;
  c->hold = *h;
  c->hold.timeout_ms = NO_FAKE_TIMEOUT_MS;
  if (c->forward_ms == sim_now (from->s))
    call_forward (c);
}

/* Forwards a late call.  */
void
sim_call_step (call *c)
{
  if (c->forward_ms >= 0 && sim_now (c->from->s) >= c->forward_ms)
    call_forward (c);
  sim_call_free_if_unused (c);
}

/* Reports the answer to a call, or its timeout.  */
static void
read_answer (call *c)
{
  mm_time_ms now = sim_now (c->from->s);
  if (c->open && c->answered && now >= c->answer_due_ms)
    {
      c->answered = false;
      c->result.call.was_overdue = c->overdue;
      sim_call_report (c, &c->result);
    }
  else if (c->open && now >= c->timeout_ms)
    {
      c->timeout_ms += MM_LATE_ANSWER_MS;
      mm_hold_result r = { .call = { .verdict = MM_CALL_NO_ANSWER,
                                     .clock_ms = -1,
                                     .overdue = !c->overdue,
                                     .was_overdue = c->overdue } };
      sim_call_report (c, &r);
    }
  sim_call_free_if_unused (c);
}

void
sim_read_answers (instance *i)
{
  GList *calls = g_list_copy (i->s->calls);
  for (GList *g = calls; g; g = g->next)
    if (((call *)g->data)->from == i)
      read_answer (g->data);
  g_list_free (calls);
}
