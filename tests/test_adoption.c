/* Upstreams change their owner at random while tasks run there.  Two owners
   transfer the runs over links that delay and lose messages.  */
#include "config.h"
#include "fake_upstreams.h"
#include "harness.h"

#include <stdlib.h>
#include <string.h>

enum
{
  OWNERS = 2,
  UPSTREAMS = 2,
  TASKS = 12,
  CPU_MILLI = 14000,          /* of a task, in thousandths of a core */
  UPSTREAM_CPU_MILLI = 32000, /* two tasks fit */
  FAULTS_MS = 6000,           /* faults happen for this long */
  END_MS = 12000,             /* each task must have ended by then */
  START_WITHIN_MS = 40,       /* longest wait for free capacity */
  RUN_MAX_MS = 900,           /* a task runs 50 ms and up to this more */
  LINK_MAX_MS = 80,           /* longest delay of a message */
  LINK_TIMEOUT_MS = 600,      /* each end notices a broken link within this */
  RECONNECT_MS = 250, /* from the notice at both ends to a new connection */
  RESEND_MS = 1300    /* time after which a task in doubt, or a task whose
                         caller has left, is submitted again */
};

/* Messages between two owners; the last one is an answer.  */
typedef enum
{
  MSG_FOUND,  /* the sender found a run that it had not started */
  MSG_RUN,    /* a task is transferred to the receiver */
  MSG_CANCEL, /* a transferred task is cancelled */
  MSG_ENDED   /* a transferred task has ended */
} message_kind;

typedef struct
{
  message_kind kind;
  mm_time_ms delivery_ms;  /* time of delivery */
  uint64_t number;         /* except MSG_FOUND: number of the transfer */
  mm_task_request request; /* MSG_RUN: its strings are copies */
  char upstream[16];       /* MSG_FOUND, MSG_ENDED: where the run is */
  mm_found_run found;      /* MSG_FOUND, except the name of the upstream */
  uint32_t run;            /* MSG_ENDED: run number */
  mm_end how;              /* MSG_ENDED */
} message;

typedef struct link link;
typedef struct instance instance;

/* A link on which the instance @from sends requests and @to answers.  */
struct link
{
  instance *from, *to;
  GQueue *requests, *answers; /* messages in flight */
  bool broken;
  /* Times at which each end notices that the link is broken.  0: the link
     works, or that end has noticed.  */
  mm_time_ms sender_notices_ms, receiver_notices_ms;
  mm_time_ms connected_from_ms; /* time from which requests can be sent */
  uint64_t last_number;         /* of the last transfer */
  GHashTable *sent_runs;        /* number of the transfer -> sent_run */
  GHashTable *received_runs;    /* number of the transfer -> received_run */
};

/* A run whose task was transferred to the other instance.  */
typedef struct
{
  link *via;
  uint64_t number; /* of the transfer on its link */
  mm_work *work;   /* the task at the sender */
} sent_run;

/* A run whose task was transferred from the other instance.  */
typedef struct
{
  link *via;
  uint64_t number; /* of the transfer on its link */
  mm_work *work;   /* the task at the receiver */
} received_run;

typedef struct fixture fixture;

struct instance
{
  fixture *fx;
  mm_owner *owner;
  link *to_peer; /* for requests of this instance */
};

/* A task as its submitter sees it.  */
typedef struct
{
  fixture *fx;
  uint32_t index;      /* in the fixture */
  mm_time_ms run_ms;   /* run time */
  mm_work *work;       /* NULL: not submitted, or ended */
  int submitted_to;    /* index of the instance */
  mm_time_ms retry_ms; /* time of the next submission */
  bool done;
} task;

/* Two instances with their links, and the upstreams and tasks of one test.  */
struct fixture
{
  fakes *fake_upstreams;
  GRand *rng;
  instance instances[OWNERS];
  fake *upstreams[UPSTREAMS];
  int owner_of[UPSTREAMS]; /* index of the instance */
  /* Time at which the previous owner learns that it no longer owns the
     upstream; G_MAXINT64: never.  */
  mm_time_ms disown_at_ms[UPSTREAMS];
  uint64_t fence; /* last fencing token that was assigned */
  /* An owner that gets an upstream back before it has noticed the loss raises
     its token, as mm_ownership has it do.  */
  bool raises_tokens;
  task tasks[TASKS];
  uint32_t adopted; /* number of runs that were transferred */
};

static int
random_below (fixture *fx, int below)
{
  return g_rand_int_range (fx->rng, 0, below);
}

/* ---- links ------------------------------------------------------------ */

/* Returns whether the sender can send requests on the link.  */
static bool
connected (const link *l)
{
  return !l->sender_notices_ms
         && fakes_now (l->from->fx->fake_upstreams) >= l->connected_from_ms;
}

static void
message_free (message *m)
{
  g_free ((char *)m->request.service);
  g_free ((char *)m->request.payload);
  g_free ((char *)m->request.running_at);
  g_free (m);
}

/* Sends a message, which arrives in order after a random delay, or never if
   the link is broken.  @m now belongs to the link.  */
static void
send_message (link *l, GQueue *queue, message *m)
{
  fixture *fx = l->from->fx;
  const message *last = g_queue_peek_tail (queue);
  m->delivery_ms
      = fakes_now (fx->fake_upstreams) + 1 + random_below (fx, LINK_MAX_MS);
  if (last)
    m->delivery_ms = MAX (m->delivery_ms, last->delivery_ms);
  if (l->broken)
    message_free (m);
  else
    g_queue_push_tail (queue, m);
}

/* Breaks a link with the loss of all messages in flight.  */
static void
break_link (link *l)
{
  fixture *fx = l->from->fx;
  if (l->broken)
    return;
  l->broken = true;
  g_queue_clear_full (l->requests, (GDestroyNotify)message_free);
  g_queue_clear_full (l->answers, (GDestroyNotify)message_free);
  mm_time_ms now = fakes_now (fx->fake_upstreams);
  l->sender_notices_ms = now + 1 + random_below (fx, LINK_TIMEOUT_MS);
  l->receiver_notices_ms = now + 1 + random_below (fx, LINK_TIMEOUT_MS);
}

/* Handles a broken link at each end once that end notices.  The sender reports
   its transferred tasks as in doubt; the receiver cancels them.  When both
   ends have noticed, the link is connected again RECONNECT_MS later.  */
static void
notice_break (link *l)
{
  mm_time_ms now = fakes_now (l->from->fx->fake_upstreams);
  GHashTableIter it;
  gpointer v;
  if (l->sender_notices_ms && now >= l->sender_notices_ms)
    {
      l->sender_notices_ms = 0;
      l->connected_from_ms = G_MAXINT64;
      while (g_hash_table_iter_init (&it, l->sent_runs),
             g_hash_table_iter_next (&it, NULL, &v))
        {
          sent_run *r = v;
          g_hash_table_iter_steal (&it);
          mm_work_result lost = { .how = MM_END_UNKNOWN, .why = "link lost" };
          mm_owner_transferred_end (r->work, &lost);
          g_free (r);
        }
    }
  if (l->receiver_notices_ms && now >= l->receiver_notices_ms)
    {
      l->receiver_notices_ms = 0;
      g_hash_table_iter_init (&it, l->received_runs);
      while (g_hash_table_iter_next (&it, NULL, &v))
        mm_owner_cancel (l->to->owner, ((received_run *)v)->work);
      g_hash_table_remove_all (l->received_runs);
    }
  if (l->broken && !l->sender_notices_ms && !l->receiver_notices_ms)
    {
      l->broken = false;
      l->connected_from_ms = now + RECONNECT_MS;
    }
}

/* Sends the end of a transferred task back to the instance that it came
   from.  */
static void
on_received_run_done (void *ctx, const mm_work_result *r)
{
  received_run *received = ctx;
  message *m = g_new0 (message, 1);
  m->kind = MSG_ENDED;
  m->number = received->number;
  m->how = r->how;
  m->run = r->run;
  g_strlcpy (m->upstream, r->upstream ? r->upstream : "", sizeof m->upstream);
  send_message (received->via, received->via->answers, m);
  g_hash_table_remove (received->via->received_runs, &received->number);
}

static void
receive_run (link *l, const message *m)
{
  received_run *received = g_new0 (received_run, 1);
  received->via = l;
  received->number = m->number;
  g_hash_table_insert (l->received_runs, &received->number, received);
  received->work = mm_owner_submit (l->to->owner, &m->request,
                                    on_received_run_done, received);
}

static void
receive_cancel (link *l, const message *m)
{
  received_run *received = g_hash_table_lookup (l->received_runs, &m->number);
  if (!received)
    return;
  mm_owner_cancel (l->to->owner, received->work);
  g_hash_table_remove (l->received_runs, &m->number);
}

/* Transfers the task @w to the other instance with the request @t.  */
static sent_run *
transfer_run (link *l, const mm_task_request *t, mm_work *w)
{
  sent_run *r = g_new0 (sent_run, 1);
  r->via = l;
  r->number = ++l->last_number;
  r->work = w;
  g_hash_table_insert (l->sent_runs, &r->number, r);
  message *m = g_new0 (message, 1);
  m->kind = MSG_RUN;
  m->number = r->number;
  m->request = *t;
  m->request.service = g_strdup (t->service);
  m->request.payload = g_strdup (t->payload);
  m->request.running_at = g_strdup (t->running_at);
  send_message (l, l->requests, m);
  return r;
}

/* Handles a run that the other owner has found: if the task of that run was
   submitted here, the task is transferred to the other owner.  */
static void
receive_found (link *l, const message *m)
{
  instance *self = l->to;
  mm_task_request t;
  if (!connected (self->to_peer))
    return;
  mm_found_run found = m->found;
  found.upstream = m->upstream;
  mm_work *w = mm_owner_claim (self->owner, &found, &t);
  if (!w)
    return;
  self->fx->adopted++;
  mm_owner_transfer (self->owner, w, transfer_run (self->to_peer, &t, w));
}

/* Handles the end of a task that was transferred to the other instance.  */
static void
receive_ended (link *l, const message *m)
{
  sent_run *r = g_hash_table_lookup (l->sent_runs, &m->number);
  if (!r)
    return;
  g_hash_table_steal (l->sent_runs, &m->number);
  mm_work_result res
      = { .how = m->how, .upstream = m->upstream, .run = m->run };
  mm_owner_transferred_end (r->work, &res);
  g_free (r);
}

static void
receive (link *l, const message *m)
{
  switch (m->kind)
    {
    case MSG_FOUND:
      receive_found (l, m);
      break;
    case MSG_RUN:
      receive_run (l, m);
      break;
    case MSG_CANCEL:
      receive_cancel (l, m);
      break;
    case MSG_ENDED:
      receive_ended (l, m);
      break;
    }
}

/* Delivers the messages of a queue that are due.  */
static void
deliver (link *l, GQueue *queue)
{
  message *m;
  while ((m = g_queue_peek_head (queue))
         && fakes_now (l->from->fx->fake_upstreams) >= m->delivery_ms)
    {
      g_queue_pop_head (queue);
      receive (l, m);
      message_free (m);
    }
}

/* Notifies the other instance of a run that the owner of this instance has
   found.  */
static void
on_found (void *ctx, const mm_found_run *r)
{
  instance *self = ctx;
  if (!connected (self->to_peer))
    return;
  message *m = g_new0 (message, 1);
  m->kind = MSG_FOUND;
  m->found = *r;
  g_strlcpy (m->upstream, r->upstream, sizeof m->upstream);
  send_message (self->to_peer, self->to_peer->requests, m);
}

/* Cancels a transferred task; its end is not reported.  */
static void
on_cancel (void *ctx, void *transfer)
{
  sent_run *r = transfer;
  link *l = r->via;
  message *m = g_new0 (message, 1);
  m->kind = MSG_CANCEL;
  m->number = r->number;
  g_hash_table_remove (l->sent_runs, &r->number);
  send_message (l, l->requests, m);
}

/* ---- tasks ------------------------------------------------------------ */

/* Records the end of a task.  A task that is not done is submitted again: at
   once, or after RESEND_MS when it may still run.  */
static void
on_task_done (void *ctx, const mm_work_result *r)
{
  task *t = ctx;
  t->work = NULL;
  t->done = r->how == MM_END_DONE;
  t->retry_ms = fakes_now (t->fx->fake_upstreams) + 1;
  if (r->how == MM_END_UNKNOWN)
    t->retry_ms += RESEND_MS;
}

/* Submits a task to a random instance.  */
static void
submit_task (task *t)
{
  fixture *fx = t->fx;
  char name[16];
  g_snprintf (name, sizeof name, "job-%u", t->index);
  mm_task_request r = fakes_task (name, 0, CPU_MILLI, t->run_ms);
  r.start_within_ms = START_WITHIN_MS;
  t->submitted_to = random_below (fx, OWNERS);
  t->work = mm_owner_submit (fx->instances[t->submitted_to].owner, &r,
                             on_task_done, t);
}

/* Simulates a broken connection to the caller, who sends the task again after
   RESEND_MS.  */
static void
cancel_task (task *t)
{
  if (!t->work)
    return;
  mm_owner_cancel (t->fx->instances[t->submitted_to].owner, t->work);
  t->work = NULL;
  t->retry_ms = fakes_now (t->fx->fake_upstreams) + RESEND_MS;
}

/* ---- faults ----------------------------------------------------------- */

static link *
link_create (instance *from, instance *to)
{
  link *l = g_new0 (link, 1);
  l->from = from;
  l->to = to;
  l->requests = g_queue_new ();
  l->answers = g_queue_new ();
  l->sent_runs
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  l->received_runs
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return l;
}

static void
link_free (link *l)
{
  g_queue_free_full (l->requests, (GDestroyNotify)message_free);
  g_queue_free_full (l->answers, (GDestroyNotify)message_free);
  g_hash_table_destroy (l->sent_runs);
  g_hash_table_destroy (l->received_runs);
  g_free (l);
}

/* Assigns an upstream to the other instance.  It is removed from its
   previous owner within 300 ms, or, in half of the cases, that owner learns of
   the change only when the upstream refuses its calls.  */
static void
change_owner (fixture *fx, int i)
{
  int next = 1 - fx->owner_of[i];
  fx->owner_of[i] = next;
  fx->disown_at_ms[i] = random_below (fx, 2) ? fakes_now (fx->fake_upstreams)
                                                   + random_below (fx, 300)
                                             : G_MAXINT64;
  const mm_upstream_info *u = fake_info (fx->upstreams[i]);
  fx->fence++;
  if (fx->raises_tokens)
    mm_owner_raise_fence (fx->instances[next].owner, u->name, fx->fence);
  mm_owner_add_upstream (fx->instances[next].owner, u, fx->fence);
}

/* Removes upstreams from their previous owners when it is time.  */
static void
disown_upstreams (fixture *fx)
{
  for (int i = 0; i < UPSTREAMS; i++)
    if (fakes_now (fx->fake_upstreams) >= fx->disown_at_ms[i])
      {
        fx->disown_at_ms[i] = G_MAXINT64;
        mm_owner_remove_upstream (fx->instances[1 - fx->owner_of[i]].owner,
                                  fake_info (fx->upstreams[i])->name);
      }
}

/* Causes each kind of fault with a probability per ms.  */
static void
cause_faults (fixture *fx)
{
  if (random_below (fx, 250) == 0)
    change_owner (fx, random_below (fx, UPSTREAMS));
  if (random_below (fx, 700) == 0)
    break_link (fx->instances[random_below (fx, OWNERS)].to_peer);
  fake_mode *m = fake_mode_of (fx->upstreams[random_below (fx, UPSTREAMS)]);
  if (random_below (fx, 400) == 0)
    m->start_answer_delay_ms
        = random_below (fx, 2) ? random_below (fx, 40) : 0;
  if (random_below (fx, 600) == 0)
    {
      m->lose_starts = 1;
      m->late_start_ms = random_below (fx, 2) ? 1 + random_below (fx, 900) : 0;
    }
  if (random_below (fx, 600) == 0)
    m->lose_holds = 1;
  if (random_below (fx, 800) == 0)
    cancel_task (&fx->tasks[random_below (fx, TASKS)]);
}

/* Advances the clock by 1 ms: delivers messages, ticks the owners, causes
   faults and submits the tasks that are due.  @elapsed_ms: time since the
   start of the test.  */
static void
step (fixture *fx, mm_time_ms elapsed_ms)
{
  fakes_run (fx->fake_upstreams, NULL, 1);
  for (int i = 0; i < OWNERS; i++)
    {
      link *l = fx->instances[i].to_peer;
      notice_break (l);
      deliver (l, l->requests);
      deliver (l, l->answers);
      if (elapsed_ms % MM_EXEC_TICK_MS == 0)
        mm_owner_tick (fx->instances[i].owner);
    }
  disown_upstreams (fx);
  if (elapsed_ms < FAULTS_MS)
    cause_faults (fx);
  for (int i = 0; i < TASKS; i++)
    {
      task *k = &fx->tasks[i];
      if (!k->work && !k->done
          && fakes_now (fx->fake_upstreams) >= k->retry_ms)
        submit_task (k);
    }
}

static void
fixture_init (fixture *fx, uint32_t seed)
{
  memset (fx, 0, sizeof *fx);
  fx->fake_upstreams = fakes_create ();
  fx->rng = g_rand_new_with_seed (seed);
  fx->fence = 1;
  mm_exec_port port = fakes_port (fx->fake_upstreams);
  for (int i = 0; i < OWNERS; i++)
    {
      fx->instances[i].fx = fx;
      fx->instances[i].owner = mm_owner_create (&port);
      fx->instances[i].to_peer
          = link_create (&fx->instances[i], &fx->instances[1 - i]);
      mm_owner_transfer_port l = { .found = on_found,
                                   .cancel = on_cancel,
                                   .ctx = &fx->instances[i] };
      mm_owner_set_transfer_port (fx->instances[i].owner, &l);
    }
  for (int i = 0; i < UPSTREAMS; i++)
    {
      char name[4] = { 'a' + (char)i };
      fx->upstreams[i]
          = fakes_add (fx->fake_upstreams, name, UPSTREAM_CPU_MILLI);
      fx->disown_at_ms[i] = G_MAXINT64;
      mm_owner_add_upstream (fx->instances[0].owner,
                             fake_info (fx->upstreams[i]), fx->fence);
    }
  for (int i = 0; i < TASKS; i++)
    fx->tasks[i] = (task){ .fx = fx,
                           .index = (uint32_t)i,
                           .run_ms = 50 + random_below (fx, RUN_MAX_MS),
                           .retry_ms = fakes_now (fx->fake_upstreams)
                                       + random_below (fx, FAULTS_MS) };
}

static void
fixture_clear (fixture *fx)
{
  for (int i = 0; i < OWNERS; i++)
    mm_owner_destroy (fx->instances[i].owner);
  for (int i = 0; i < OWNERS; i++)
    link_free (fx->instances[i].to_peer);
  g_rand_free (fx->rng);
  fakes_destroy (fx->fake_upstreams);
}

/* Runs one seed.  Asserts that no task runs twice at a time and that each
   ends.  */
static void
play (uint32_t seed, bool raises_tokens)
{
  fixture fx;
  fixture_init (&fx, seed);
  fx.raises_tokens = raises_tokens;
  for (mm_time_ms elapsed_ms = 0; elapsed_ms < END_MS; elapsed_ms++)
    {
      step (&fx, elapsed_ms);
      fakes_counts c = fakes_count (fx.fake_upstreams);
      ck_assert_msg (c.double_runs == 0, "seed %d, at %d: ran twice",
                     (int)seed, (int)elapsed_ms);
      ck_assert_uint_eq (c.over_capacity, 0);
    }
  for (int i = 0; i < TASKS; i++)
    ck_assert_msg (fx.tasks[i].done, "seed %d: task %d has no end", (int)seed,
                   i);
  fixture_clear (&fx);
}

/* Guards against a task that runs twice at a time.  This happens when an
   upstream changes its owner: the previous owner gives up the task and the
   submitter starts the task elsewhere, while the first run goes on under the
   next owner.  */
START_TEST (no_task_runs_twice_and_each_ends_while_owners_change)
{
  play ((uint32_t)_i, false);
}
END_TEST

/* Guards against the same when an owner gets an upstream back unnoticed and
   keeps its session with a higher token.  */
START_TEST (no_task_runs_twice_and_each_ends_while_tokens_are_raised)
{
  play ((uint32_t)_i, true);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("adoption");
  TCase *c = tcase_create ("faults");
  tcase_set_timeout (c, 60);
  tcase_add_loop_test (c, no_task_runs_twice_and_each_ends_while_owners_change,
                       0, 400);
  tcase_add_loop_test (
      c, no_task_runs_twice_and_each_ends_while_tokens_are_raised, 0, 400);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
