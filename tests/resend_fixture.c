/* resend_fixture: instances, links and callers, see resend_fixture.h.  */
#include "resend_fixture.h"

#include "config.h"

#include <string.h>

#define DELAY_MS 1 /* of a message between instances without faults */
#define NO_FAKE_TIMEOUT_MS 600000 /* timeouts are simulated here */

typedef struct job job;
typedef struct submission submission;
typedef struct link link;

typedef struct
{
  sim *s;
  int index;
  mm_owner *owner;
  bool dead;
  mm_time_ms frozen_until_ms; /* 0: runs */
  bool freeze_counted;        /* its clock counts the freeze */
  mm_time_ms clock_lag_ms;    /* its clock behind the simulated time */
  mm_time_ms last_loop_ms;    /* by its clock */
  mm_time_ms read_every_ms;   /* 0: at once */
  GList *submissions;
  mm_time_ms connect_tried_ms[SIM_INSTANCES];
  sim_path paths[SIM_UPSTREAMS];
  sim_link_path link_paths[SIM_INSTANCES];
} instance;

/* A job as its caller sees it.  */
struct job
{
  int index;
  mm_time_ms run_ms;
  submission *current;     /* what the caller waits for, or NULL */
  mm_time_ms resend_ms;    /* when it is sent again, 0: not */
  int resend_at, owner_at; /* -1: any */
  bool done;
};

typedef struct sent_run sent_run;

/* A job at an instance.  */
struct submission
{
  instance *at;
  job *job;
  int owner;           /* that the task is dispatched to, -1: any */
  bool caller_left;    /* not read by the instance yet */
  mm_work *work;       /* dispatched to this instance */
  sent_run *sent;      /* dispatched to another instance */
  mm_time_ms retry_ms; /* next dispatch, by the instance's clock */
};

typedef enum
{
  MSG_HEARTBEAT,
  MSG_RUN,
  MSG_CANCEL,
  MSG_FOUND,
  MSG_ENDED,
  MSG_CLOSE
} message_kind;

typedef struct
{
  message_kind kind;
  mm_time_ms delivery_ms;
  uint64_t number;         /* RUN, CANCEL, ENDED */
  mm_task_request request; /* RUN: its strings are copies */
  mm_found_run found;      /* FOUND, except the upstream */
  char upstream[16];       /* FOUND, ENDED */
  mm_end how;              /* ENDED */
  uint32_t run;            /* ENDED */
  /* HEARTBEAT: when it was sent by the clock of the sender, and what the
     sender knows of the last one that it received.  */
  mm_time_ms sent_ms, echo_ms, echo_age_ms;
  mm_time_ms silent_ms; /* HEARTBEAT */
} message;

/* One end of a link; end 0 opened it and sends tasks.  */
typedef struct
{
  instance *at;
  bool open;
  GQueue *inbox;
  mm_time_ms received_ms, heartbeat_ms; /* by the clock of @at */
  /* The last heartbeat received: when it was sent, by the other end's clock,
     and when it was received.  */
  mm_time_ms echo_ms, echo_received_ms;
} link_end;

struct link
{
  link_end end[2];
  bool connected;                  /* end 0 has received a heartbeat */
  mm_time_ms heard_ms, awaited_ms; /* as in mm_mesh */
  uint64_t last_number;
  GHashTable *sent;     /* number -> sent_run */
  GHashTable *received; /* number -> received_run */
};

/* A task that was sent over a link, of a submission or of an owner.  */
struct sent_run
{
  link *via;
  uint64_t number;
  submission *sub; /* or NULL */
  mm_work *work;   /* transferred by the owner, or NULL */
};

typedef struct
{
  link *via;
  uint64_t number;
  mm_work *work;
} received_run;

typedef enum
{
  CALL_START,
  CALL_STOP,
  CALL_HOLD
} call_kind;

/* A call to an upstream, from its sending to its last callback.  */
typedef struct
{
  instance *from;
  int upstream;
  call_kind kind;
  mm_task_id task;
  char *payload;
  mm_order order;
  mm_hold hold;
  mm_call_done done;
  mm_hold_done hold_done;
  void *ctx;
  mm_time_ms forward_ms; /* when it is handed to the upstream, -1: not */
  mm_time_ms timeout_ms;
  bool answer_lost, overdue;
  bool at_upstream; /* the simulated upstream will call back */
  bool open;        /* the session waits for a callback */
  bool answered;    /* @result is kept for a frozen instance */
  mm_hold_result result;
} call;

struct sim
{
  fakes *fakes;
  mm_exec_port port;
  GRand *rng;
  instance instances[SIM_INSTANCES];
  GList *links;
  GList *calls;
  int n_upstreams;
  fake *upstreams[SIM_UPSTREAMS];
  bool gone[SIM_UPSTREAMS];
  int owner_of[SIM_UPSTREAMS];
  mm_time_ms assign_ms[SIM_UPSTREAMS]; /* 0: no new owner is due */
  int disowned[SIM_UPSTREAMS];         /* previous owner, -1: none */
  mm_time_ms disown_ms[SIM_UPSTREAMS];
  uint64_t fence;
  job jobs[SIM_JOBS];
  const instance *current; /* whose code runs */
};

/* ---- time ------------------------------------------------------------- */

static mm_time_ms
read_clock (void *ctx)
{
  const sim *s = ctx;
  return fakes_now (s->fakes) - (s->current ? s->current->clock_lag_ms : 0);
}

static const instance *
enter (instance *i)
{
  const instance *before = i->s->current;
  i->s->current = i;
  return before;
}

static void
leave (sim *s, const instance *before)
{
  s->current = before;
}

static bool
awake (const instance *i)
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

static bool
chance (sim *s, double share)
{
  return share > 0 && g_rand_double (s->rng) < share;
}

fakes *
sim_fakes (sim *s)
{
  return s->fakes;
}

/* ---- calls to upstreams ----------------------------------------------- */

static void
call_free_if_unused (call *c)
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
static void
call_report (call *c, const mm_hold_result *r)
{
  const instance *before = enter (c->from);
  c->open = r->call.overdue;
  c->overdue = c->overdue || r->call.overdue;
  if (c->kind == CALL_HOLD)
    c->hold_done (r, c->ctx);
  else
    c->done (&r->call, c->ctx);
  leave (c->from->s, before);
}

static void
call_keep_result (call *c, const mm_hold_result *r)
{
  c->answered = true;
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
  if (c->open && !lost && awake (c->from))
    {
      mm_hold_result result = *r;
      result.call.was_overdue = c->overdue;
      call_report (c, &result);
    }
  else if (c->open && !lost)
    call_keep_result (c, r);
  call_free_if_unused (c);
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
  c->forward_ms = sim_now (s);
  if (p->requests_cut)
    c->forward_ms = -1;
  else if (chance (s, lost))
    c->forward_ms = p->late_ms ? sim_now (s) + p->late_ms : -1;
  c->answer_lost = c->forward_ms != sim_now (s) || chance (s, p->lost_answers);
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

static void
port_start (void *ctx, const mm_upstream_info *u, const mm_order *o,
            mm_call_done done, void *done_ctx)
{
  order_create (ctx, u, CALL_START, o, done, done_ctx);
}

static void
port_stop (void *ctx, const mm_upstream_info *u, const mm_order *o,
           mm_call_done done, void *done_ctx)
{
  order_create (ctx, u, CALL_STOP, o, done, done_ctx);
}

static void
port_hold (void *ctx, const mm_upstream_info *u, const mm_hold *h,
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

/* Forwards a late call and reports timeouts.  */
static void
call_step (call *c)
{
  mm_time_ms now = sim_now (c->from->s);
  if (c->forward_ms >= 0 && now >= c->forward_ms)
    call_forward (c);
  if (c->open && awake (c->from) && c->answered)
    {
      c->answered = false;
      c->result.call.was_overdue = c->overdue;
      call_report (c, &c->result);
    }
  else if (c->open && awake (c->from) && now >= c->timeout_ms)
    {
      c->timeout_ms += MM_LATE_ANSWER_MS;
      mm_hold_result r = { .call = { .verdict = MM_CALL_NO_ANSWER,
                                     .clock_ms = -1,
                                     .overdue = !c->overdue,
                                     .was_overdue = c->overdue } };
      call_report (c, &r);
    }
  call_free_if_unused (c);
}

/* ---- links ------------------------------------------------------------ */

static void
message_free (gpointer p)
{
  message *m = p;
  g_free ((char *)m->request.service);
  g_free ((char *)m->request.payload);
  g_free ((char *)m->request.running_at);
  g_free (m);
}

/* Sends a message from one end of a link; @m now belongs to the link.  */
static void
send_message (link *l, int end, message *m)
{
  instance *from = l->end[end].at, *to = l->end[!end].at;
  GQueue *inbox = l->end[!end].inbox;
  const message *last = g_queue_peek_tail (inbox);
  m->delivery_ms = sim_now (from->s) + from->link_paths[to->index].delay_ms;
  if (last)
    m->delivery_ms = MAX (m->delivery_ms, last->delivery_ms);
  if (l->end[!end].open)
    g_queue_push_tail (inbox, m);
  else
    message_free (m);
}

static message *
message_create (message_kind kind)
{
  message *m = g_new0 (message, 1);
  m->kind = kind;
  return m;
}

static void
send_heartbeat (link *l, int end)
{
  message *m = message_create (MSG_HEARTBEAT);
  l->end[end].heartbeat_ms = mm_clock_now_ms ();
  m->sent_ms = mm_clock_now_ms ();
  m->echo_ms = l->end[end].echo_ms;
  m->echo_age_ms = m->sent_ms - l->end[end].echo_received_ms;
  m->silent_ms = mm_owner_silent_ms (l->end[end].at->owner);
  send_message (l, end, m);
}

static link *
find_link (const instance *from, const instance *to)
{
  for (GList *g = from->s->links; g; g = g->next)
    {
      link *l = g->data;
      if (l->end[0].at == from && l->end[1].at == to && l->end[0].open)
        return l;
    }
  return NULL;
}

static link *
find_connected (const instance *from, const instance *to)
{
  link *l = find_link (from, to);
  return l && l->connected ? l : NULL;
}

static void
link_connect (instance *from, instance *to)
{
  sim *s = from->s;
  link *l = g_new0 (link, 1);
  l->sent = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  l->received
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  for (int e = 0; e < 2; e++)
    {
      instance *i = e ? to : from;
      l->end[e] = (link_end){ .at = i, .open = true };
      l->end[e].inbox = g_queue_new ();
      l->end[e].received_ms = sim_now (s) - i->clock_lag_ms;
    }
  l->heard_ms = l->awaited_ms = l->end[1].received_ms;
  s->links = g_list_append (s->links, l);
  send_heartbeat (l, 0);
}

static void
link_free (link *l)
{
  for (int e = 0; e < 2; e++)
    g_queue_free_full (l->end[e].inbox, message_free);
  g_hash_table_destroy (l->sent);
  g_hash_table_destroy (l->received);
  g_free (l);
}

static void on_submission_ended (submission *b, mm_end how);

/* Reports the end of a task that was sent over a link, and frees @r.  */
static void
sent_run_ended (sent_run *r, const mm_work_result *res)
{
  if (r->sub)
    {
      r->sub->sent = NULL;
      on_submission_ended (r->sub, res->how);
    }
  else
    mm_owner_transferred_end (r->work, res);
  g_free (r);
}

/* Closes one end of a link: the sender's tasks are in doubt, and the receiver
   cancels those that it got.  */
static void
close_end (link *l, int end)
{
  if (!l->end[end].open)
    return;
  l->end[end].open = false;
  send_message (l, end, message_create (MSG_CLOSE));
  GHashTableIter it;
  gpointer v;
  if (end == 0)
    while (g_hash_table_iter_init (&it, l->sent),
           g_hash_table_iter_next (&it, NULL, &v))
      {
        g_hash_table_iter_steal (&it);
        mm_work_result lost = { .how = MM_END_UNKNOWN, .why = "link lost" };
        sent_run_ended (v, &lost);
      }
  else
    {
      g_hash_table_iter_init (&it, l->received);
      while (g_hash_table_iter_next (&it, NULL, &v))
        mm_owner_cancel (l->end[1].at->owner, ((received_run *)v)->work);
      g_hash_table_remove_all (l->received);
    }
}

static void
on_received_run_done (void *ctx, const mm_work_result *r)
{
  received_run *received = ctx;
  link *l = received->via;
  message *m = message_create (MSG_ENDED);
  m->number = received->number;
  m->how = r->how;
  m->run = r->run;
  g_strlcpy (m->upstream, r->upstream ? r->upstream : "", sizeof m->upstream);
  send_message (l, 1, m);
  g_hash_table_remove (l->received, &received->number);
}

static void
receive_run (link *l, message *m)
{
  l->awaited_ms = MIN (l->awaited_ms, l->heard_ms - m->request.silent_ms);
  m->request.awaited_ms = &l->awaited_ms;
  received_run *r = g_new0 (received_run, 1);
  r->via = l;
  r->number = m->number;
  g_hash_table_insert (l->received, &r->number, r);
  r->work = mm_owner_submit (l->end[1].at->owner, &m->request,
                             on_received_run_done, r);
}

static void
receive_cancel (link *l, const message *m)
{
  received_run *r = g_hash_table_lookup (l->received, &m->number);
  if (!r)
    return;
  mm_owner_cancel (l->end[1].at->owner, r->work);
  g_hash_table_remove (l->received, &m->number);
}

static sent_run *
send_run (link *l, const mm_task_request *t)
{
  sent_run *r = g_new0 (sent_run, 1);
  r->via = l;
  r->number = ++l->last_number;
  g_hash_table_insert (l->sent, &r->number, r);
  message *m = message_create (MSG_RUN);
  m->number = r->number;
  m->request = *t;
  m->request.service = g_strdup (t->service);
  m->request.payload = g_strdup (t->payload);
  m->request.running_at = g_strdup (t->running_at);
  send_message (l, 0, m);
  return r;
}

static void
cancel_sent (sent_run *r)
{
  link *l = r->via;
  message *m = message_create (MSG_CANCEL);
  m->number = r->number;
  g_hash_table_remove (l->sent, &r->number);
  send_message (l, 0, m);
}

/* Passes a run that another owner has found to that owner, if its task was
   submitted here.  */
static void
receive_found (link *l, const message *m)
{
  instance *self = l->end[1].at;
  link *back = find_connected (self, l->end[0].at);
  mm_task_request t;
  mm_found_run found = m->found;
  found.upstream = m->upstream;
  mm_work *w = back ? mm_owner_claim (self->owner, &found, &t) : NULL;
  if (!w)
    return;
  sent_run *r = send_run (back, &t);
  r->work = w;
  mm_owner_transfer (self->owner, w, r);
}

static void
receive_ended (link *l, const message *m)
{
  sent_run *r = g_hash_table_lookup (l->sent, &m->number);
  if (!r)
    return;
  g_hash_table_steal (l->sent, &m->number);
  mm_work_result res
      = { .how = m->how, .upstream = m->upstream, .run = m->run };
  sent_run_ended (r, &res);
}

static void
receive_heartbeat (link *l, int end, const message *m)
{
  mm_time_ms now = mm_clock_now_ms ();
  l->connected = l->connected || end == 0;
  l->end[end].echo_ms = m->sent_ms;
  l->end[end].echo_received_ms = now;
  if (end == 0)
    return;
  if (m->echo_ms)
    l->heard_ms = MIN (m->echo_ms + m->echo_age_ms, now);
  l->awaited_ms = l->heard_ms - m->silent_ms;
}

static void
receive (link *l, int end, message *m)
{
  l->end[end].received_ms = mm_clock_now_ms ();
  switch (m->kind)
    {
    case MSG_HEARTBEAT:
      receive_heartbeat (l, end, m);
      break;
    case MSG_RUN:
      receive_run (l, m);
      break;
    case MSG_CANCEL:
      receive_cancel (l, m);
      break;
    case MSG_FOUND:
      receive_found (l, m);
      break;
    case MSG_ENDED:
      receive_ended (l, m);
      break;
    case MSG_CLOSE:
      close_end (l, end);
      break;
    }
}

/* Reads the messages that have arrived at one end of a link.  */
static void
read_end (link *l, int end)
{
  link_end *e = &l->end[end];
  message *m;
  while (e->open && !l->end[!end].at->link_paths[e->at->index].cut
         && (m = g_queue_peek_head (e->inbox))
         && sim_now (e->at->s) >= m->delivery_ms)
    {
      g_queue_pop_head (e->inbox);
      receive (l, end, m);
      message_free (m);
    }
}

static void
read_links (instance *i)
{
  if (i->read_every_ms && sim_now (i->s) % i->read_every_ms != 0)
    return;
  for (GList *g = i->s->links; g; g = g->next)
    for (int e = 0; e < 2; e++)
      if (((link *)g->data)->end[e].at == i)
        read_end (g->data, e);
}

static void
tick_end (link *l, int end)
{
  link_end *e = &l->end[end];
  mm_time_ms now = mm_clock_now_ms ();
  if (e->open && now - e->received_ms > MM_MESH_TIMEOUT_MS)
    close_end (l, end);
  if (e->open && now - e->heartbeat_ms >= MM_MESH_HEARTBEAT_MS)
    send_heartbeat (l, end);
}

static void
tick_links (instance *i)
{
  sim *s = i->s;
  for (GList *g = s->links; g; g = g->next)
    for (int e = 0; e < 2; e++)
      if (((link *)g->data)->end[e].at == i)
        tick_end (g->data, e);
  for (int k = 0; k < SIM_INSTANCES; k++)
    {
      instance *to = &s->instances[k];
      bool reachable = awake (to) && !i->link_paths[k].cut
                       && !to->link_paths[i->index].cut;
      if (to == i || find_link (i, to)
          || sim_now (s) - i->connect_tried_ms[k] < MM_MESH_RECONNECT_MS)
        continue;
      i->connect_tried_ms[k] = sim_now (s);
      if (reachable)
        link_connect (i, to);
    }
}

static void
close_links (instance *i)
{
  for (GList *g = i->s->links; g; g = g->next)
    for (int e = 0; e < 2; e++)
      if (((link *)g->data)->end[e].at == i)
        close_end (g->data, e);
}

static void
free_closed_links (sim *s)
{
  GList *next;
  for (GList *g = s->links; g; g = next)
    {
      link *l = g->data;
      next = g->next;
      if (l->end[0].open || l->end[1].open)
        continue;
      s->links = g_list_delete_link (s->links, g);
      link_free (l);
    }
}

static void
on_found (void *ctx, const mm_found_run *r)
{
  instance *self = ctx;
  for (int k = 0; k < SIM_INSTANCES; k++)
    {
      link *l = find_connected (self, &self->s->instances[k]);
      if (!l)
        continue;
      message *m = message_create (MSG_FOUND);
      m->found = *r;
      g_strlcpy (m->upstream, r->upstream, sizeof m->upstream);
      send_message (l, 0, m);
    }
}

static void
on_cancel_transfer (void *ctx, void *transfer)
{
  cancel_sent (transfer);
}

/* ---- jobs ------------------------------------------------------------- */

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
  on_submission_ended (b, r->how);
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
          = i == b->at->index || find_connected (b->at, &s->instances[i]);
      if (reached && owns_any (s, i) && (b->owner < 0 || b->owner == i))
        return i;
    }
  return -1;
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
  if (owner == b->at->index)
    b->work = mm_owner_submit (b->at->owner, &t, on_work_done, b);
  else
    {
      b->sent = send_run (find_connected (b->at, &s->instances[owner]), &t);
      b->sent->sub = b;
    }
}

static void
submission_free (submission *b)
{
  if (b->work)
    mm_owner_cancel (b->at->owner, b->work);
  if (b->sent)
    cancel_sent (b->sent);
  if (b->job->current == b)
    b->job->current = NULL;
  b->at->submissions = g_list_remove (b->at->submissions, b);
  g_free (b);
}

/* Handles the end of a dispatch: the job is done, or its task is dispatched
   again at the next tick, or once no earlier run can go on.  */
static void
on_submission_ended (submission *b, mm_end how)
{
  mm_time_ms now = mm_clock_now_ms ();
  if (how == MM_END_DONE)
    {
      b->job->done = b->job->done || b->job->current == b;
      submission_free (b);
    }
  else
    b->retry_ms = how == MM_END_UNKNOWN ? now + MM_IN_DOUBT_MS : now;
}

static void
caller_retries (sim *s, job *j)
{
  j->current = NULL;
  j->resend_ms = sim_now (s) + MM_RESEND_MS;
}

static void
tick_jobs (instance *i)
{
  GList *next;
  for (GList *g = i->submissions; g; g = next)
    {
      submission *b = g->data;
      next = g->next;
      if (b->retry_ms && mm_clock_now_ms () >= b->retry_ms)
        dispatch (b);
    }
}

/* Frees the submissions whose callers have left.  */
static void
read_callers (instance *i)
{
  GList *next;
  for (GList *g = i->submissions; g; g = next)
    {
      next = g->next;
      if (((submission *)g->data)->caller_left)
        submission_free (g->data);
    }
}

/* Answers all jobs as unknown.  */
static void
abandon_jobs (instance *i)
{
  while (i->submissions)
    {
      submission *b = i->submissions->data;
      if (b->job->current == b)
        caller_retries (i->s, b->job);
      submission_free (b);
    }
}

void
sim_submit (sim *s, int n, mm_time_ms run_ms, int at, int owner)
{
  instance *i = &s->instances[at];
  const instance *before = enter (i);
  submission *b = g_new0 (submission, 1);
  s->jobs[n].run_ms = run_ms;
  s->jobs[n].resend_ms = 0;
  s->jobs[n].current = b;
  b->at = i;
  b->job = &s->jobs[n];
  b->owner = owner;
  i->submissions = g_list_append (i->submissions, b);
  dispatch (b);
  leave (s, before);
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
  caller_retries (s, j);
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
static void
resend_jobs (sim *s)
{
  for (int n = 0; n < SIM_JOBS; n++)
    {
      job *j = &s->jobs[n];
      if (!j->resend_ms || sim_now (s) < j->resend_ms)
        continue;
      int at
          = j->resend_at >= 0 ? j->resend_at : sim_random (s, SIM_INSTANCES);
      if (awake (&s->instances[at]))
        sim_submit (s, n, j->run_ms, at, j->owner_at);
    }
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
  const instance *before = enter (&s->instances[owner]);
  s->owner_of[u] = owner;
  s->assign_ms[u] = 0;
  mm_owner_add_upstream (s->instances[owner].owner,
                         fake_info (s->upstreams[u]), ++s->fence);
  leave (s, before);
}

int
sim_add_upstream (sim *s, int owner)
{
  int u = s->n_upstreams++;
  char name[8];
  g_snprintf (name, sizeof name, "u%d", u);
  s->upstreams[u] = fakes_add (s->fakes, name, SIM_UPSTREAM_CPU_MILLI);
  s->disowned[u] = -1;
  own (s, u, owner);
  return u;
}

static void
disown (sim *s, int u, int owner)
{
  instance *i = &s->instances[owner];
  const instance *before = enter (i);
  if (!i->dead)
    mm_owner_remove_upstream (i->owner, fake_info (s->upstreams[u])->name);
  leave (s, before);
}

void
sim_move (sim *s, int u, int next, mm_time_ms disown_after_ms)
{
  int previous = s->owner_of[u];
  if (s->gone[u] || previous == next || !awake (&s->instances[next]))
    return;
  s->disowned[u] = disown_after_ms >= 0 ? previous : -1;
  s->disown_ms[u] = sim_now (s) + disown_after_ms;
  own (s, u, next);
}

void
sim_restart (sim *s, int u)
{
  if (s->gone[u] || s->n_upstreams == SIM_UPSTREAMS)
    return;
  s->gone[u] = true;
  fake_restart (s->upstreams[u]);
  int owner = s->owner_of[u];
  for (int k = 0; k < SIM_INSTANCES && !awake (&s->instances[owner]); k++)
    owner = k;
  if (awake (&s->instances[owner]))
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
          && awake (&s->instances[previous]))
        {
          s->disowned[u] = -1;
          if (s->owner_of[u] != previous)
            disown (s, u, previous);
        }
      int next = sim_random (s, SIM_INSTANCES);
      if (s->assign_ms[u] && sim_now (s) >= s->assign_ms[u] && !s->gone[u]
          && awake (&s->instances[next]))
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
          g_queue_clear_full (l->end[!e].inbox, message_free);
      }
  for (GList *g = i->submissions; g; g = g->next)
    if (((submission *)g->data)->job->current == g->data)
      caller_retries (s, ((submission *)g->data)->job);
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
  if (!awake (i))
    return;
  i->frozen_until_ms = sim_now (s) + ms;
  i->freeze_counted = counted;
  if (!counted)
    i->clock_lag_ms += ms;
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

/* Runs the event loop of an instance once.  Timers are due before messages
   are read, as in libev.  */
static void
instance_step (instance *i)
{
  mm_time_ms now = sim_now (i->s);
  if (i->frozen_until_ms && now >= i->frozen_until_ms)
    i->frozen_until_ms = 0;
  if (!awake (i))
    return;
  const instance *before = enter (i);
  mm_time_ms clock_ms = mm_clock_now_ms ();
  bool stalled = clock_ms - i->last_loop_ms > MM_STALL_MS;
  bool woken = clock_ms - i->last_loop_ms > 1;
  mm_owner_set_input_read (i->owner, i->last_loop_ms);
  i->last_loop_ms = clock_ms;
  if (stalled)
    {
      close_links (i);
      abandon_jobs (i);
    }
  if (woken || now % MM_EXEC_TICK_MS == i->index * 5)
    {
      tick_links (i);
      mm_owner_tick (i->owner);
      tick_jobs (i);
    }
  read_links (i);
  read_callers (i);
  leave (i->s, before);
}

static void
step (sim *s)
{
  fakes_run (s->fakes, NULL, 1);
  for (int k = 0; k < SIM_INSTANCES; k++)
    instance_step (&s->instances[k]);
  GList *calls = g_list_copy (s->calls);
  for (GList *g = calls; g; g = g->next)
    call_step (g->data);
  g_list_free (calls);
  assign_upstreams (s);
  resend_jobs (s);
  free_closed_links (s);
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
  i->last_loop_ms = sim_now (s);
  mm_exec_port port = {
    .start = port_start, .stop = port_stop, .hold = port_hold, .ctx = i
  };
  i->owner = mm_owner_create (&port);
  mm_owner_transfer_port transfer
      = { .found = on_found, .cancel = on_cancel_transfer, .ctx = i };
  mm_owner_set_transfer_port (i->owner, &transfer);
  for (int k = 0; k < SIM_INSTANCES; k++)
    i->link_paths[k].delay_ms = DELAY_MS;
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
  for (int k = 0; k < SIM_INSTANCES; k++)
    {
      g_list_free_full (s->instances[k].submissions, g_free);
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
        call_report (c, &none);
      call_free_if_unused (c);
    }
  g_list_free (calls);
  fakes_destroy (s->fakes);
  g_list_free_full (s->links, (GDestroyNotify)link_free);
  g_rand_free (s->rng);
  g_free (s);
}
