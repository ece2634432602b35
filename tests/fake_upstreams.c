/* fake_upstreams: see the header.  */
#include "fake_upstreams.h"

#include <stdio.h>
#include <string.h>

#define LINK_MS 1 /* one way */
#define MAX_LEASE_MS 1000
#define STOP_MS 30 /* a stop takes so long */

typedef struct
{
  mm_task_id task;
  uint32_t number;
  int64_t cpu_milli;
  mm_time_ms started_ms;
  mm_time_ms ends_ms;
  mm_end how;
} fake_run;

typedef struct
{
  uint64_t seq;
  mm_task_id task;
  uint32_t number;
  mm_end how;
} fake_end;

struct fake
{
  fakes *all;
  mm_upstream_info info;
  fake_mode mode;
  bool gone; /* this incarnation */
  uint64_t fence;
  mm_time_ms lease_until_ms;
  GArray *runs; /* fake_run */
  GArray *ends; /* fake_end, not acknowledged */
  uint64_t next_seq;
  GHashTable *highest; /* task -> highest run stopped or ended, as uint */
};

typedef enum
{
  CALL_START,
  CALL_STOP,
  CALL_HOLD
} call_kind;

/* A call under way, at the upstream, or its answer.  */
typedef struct
{
  fake *to;
  call_kind kind;
  mm_task_id task;
  uint32_t number;
  char *payload;
  uint64_t fence;
  uint64_t acked;
  mm_time_ms deadline_ms;
  mm_time_ms wait_until_ms; /* hold: answer by then at the latest */
  mm_time_ms arrives_ms;    /* carried out then, -1: done or never */
  mm_time_ms answer_ms;     /* answered then, -1: not yet known */
  mm_time_ms timeout_ms;    /* the caller gives up then */
  mm_call_result result;
  mm_call_done done;
  mm_hold_done hold_done;
  void *ctx;
  bool answered;
  bool lost;
} fake_call;

struct fakes
{
  mm_time_ms now_ms;
  GList *upstreams;
  GList *calls; /* in order of sending */
  fakes_counts counts;
};

static mm_time_ms
now_source (void *ctx)
{
  return ((fakes *)ctx)->now_ms;
}

static void give_timeout (fake_call *c);

fakes *
fakes_create (void)
{
  fakes *f = g_new0 (fakes, 1);
  f->now_ms = 100000;
  mm_clock_set_source (now_source, f);
  return f;
}

static void
call_free (gpointer p)
{
  fake_call *c = p;
  g_free (c->payload);
  g_free (c);
}

static void
fake_free (gpointer p)
{
  fake *x = p;
  g_free (x->info.name);
  g_free (x->info.addr);
  g_free (x->info.service);
  g_free (x->info.datacentre);
  g_array_free (x->runs, TRUE);
  g_array_free (x->ends, TRUE);
  g_hash_table_destroy (x->highest);
  g_free (x);
}

void
fakes_destroy (fakes *f)
{
  for (GList *l = f->calls; l; l = l->next)
    if (!((fake_call *)l->data)->answered)
      give_timeout (l->data); /* lets the sessions go */
  g_list_free_full (f->calls, call_free);
  g_list_free_full (f->upstreams, fake_free);
  mm_clock_set_source (NULL, NULL);
  g_free (f);
}

fake *
fakes_add (fakes *f, const char *name, int64_t cpu_milli)
{
  fake *x = g_new0 (fake, 1);
  x->all = f;
  x->info.name = g_strdup (name);
  x->info.addr = g_strdup ("127.0.0.1:1");
  x->info.service = g_strdup ("svc");
  x->info.datacentre = g_strdup ("dc1");
  x->info.capacity = (mm_need){ .cpu_milli = cpu_milli, .mem_mb = 100000 };
  x->runs = g_array_new (FALSE, TRUE, sizeof (fake_run));
  x->ends = g_array_new (FALSE, TRUE, sizeof (fake_end));
  x->highest = g_hash_table_new_full (mm_task_id_hash, mm_task_id_equal,
                                      g_free, NULL);
  f->upstreams = g_list_append (f->upstreams, x);
  return x;
}

fake_mode *
fake_mode_of (fake *x)
{
  return &x->mode;
}

void
fake_restart (fake *x)
{
  x->gone = true;
  g_array_set_size (x->runs, 0);
  g_array_set_size (x->ends, 0);
}

const mm_upstream_info *
fake_info (const fake *x)
{
  return &x->info;
}

size_t
fake_running (const fake *x)
{
  return x->runs->len;
}

mm_time_ms
fakes_now (const fakes *f)
{
  return f->now_ms;
}

fakes_counts
fakes_count (const fakes *f)
{
  return f->counts;
}

mm_task_request
fakes_task (const char *job, uint32_t index, int64_t cpu_milli,
            mm_time_ms run_ms)
{
  static char payload[64];
  snprintf (payload, sizeof payload, "%lld %lld", (long long)cpu_milli,
            (long long)run_ms);
  mm_task_request t = { .service = "svc",
                        .payload = payload,
                        .need = { .cpu_milli = cpu_milli, .mem_mb = 1 },
                        .estimate_ms = run_ms,
                        .start_within = 5000 };
  g_strlcpy (t.id.job, job, sizeof t.id.job);
  t.id.index = index;
  return t;
}

/* ---- what an upstream does -------------------------------------------- */

static fake_run *
find_run (fake *x, const mm_task_id *task)
{
  for (guint i = 0; i < x->runs->len; i++)
    {
      fake_run *r = &g_array_index (x->runs, fake_run, i);
      if (mm_task_id_equal (&r->task, task))
        return r;
    }
  return NULL;
}

static void
bar_run (fake *x, const mm_task_id *task, uint32_t number)
{
  guint old = GPOINTER_TO_UINT (g_hash_table_lookup (x->highest, task));
  if (number <= old)
    return;
  mm_task_id *key = g_new (mm_task_id, 1);
  *key = *task;
  g_hash_table_replace (x->highest, key, GUINT_TO_POINTER (number));
}

static void
end_run (fake *x, guint i, mm_end how)
{
  fake_run *r = &g_array_index (x->runs, fake_run, i);
  fake_end e = {
    .seq = ++x->next_seq, .task = r->task, .number = r->number, .how = how
  };
  g_array_append_val (x->ends, e);
  bar_run (x, &r->task, r->number);
  g_array_remove_index (x->runs, i);
}

static void
check_double (fake *x, const mm_task_id *task)
{
  for (GList *l = x->all->upstreams; l; l = l->next)
    if (l->data != x && find_run (l->data, task))
      x->all->counts.double_runs++;
}

static void
begin_run (fake *x, const mm_task_id *task, uint32_t number,
           const char *payload)
{
  long long cpu = 0, run_ms = 0;
  sscanf (payload, "%lld %lld", &cpu, &run_ms);
  fake_run r = { .task = *task,
                 .number = number,
                 .cpu_milli = cpu,
                 .started_ms = x->all->now_ms,
                 .ends_ms = x->all->now_ms + run_ms,
                 .how = MM_END_DONE };
  if (x->mode.fails_tasks)
    {
      r.ends_ms = x->all->now_ms + 5;
      r.how = MM_END_FAILED;
    }
  if (x->mode.hangs)
    r.ends_ms = G_MAXINT64;
  check_double (x, task);
  g_array_append_val (x->runs, r);
  int64_t used = 0;
  for (guint i = 0; i < x->runs->len; i++)
    used += g_array_index (x->runs, fake_run, i).cpu_milli;
  x->all->counts.starts++;
  if (used > x->info.capacity.cpu_milli)
    x->all->counts.over_capacity++;
}

static void
extend_lease (fake *x, mm_time_ms deadline_ms)
{
  mm_time_ms most = x->all->now_ms + MAX_LEASE_MS;
  x->lease_until_ms = MAX (x->lease_until_ms, MIN (deadline_ms, most));
}

static mm_call_verdict
do_start (fake *x, const fake_call *c)
{
  fake_run *r = find_run (x, &c->task);
  if (r && r->number == c->number)
    return MM_CALL_OK;
  guint barred = GPOINTER_TO_UINT (g_hash_table_lookup (x->highest, &c->task));
  if (c->deadline_ms <= x->all->now_ms)
    return MM_CALL_LATE;
  if (c->number <= barred || r)
    return MM_CALL_OLD_RUN;
  if (x->mode.unhealthy)
    return MM_CALL_REFUSED;
  extend_lease (x, c->deadline_ms);
  begin_run (x, &c->task, c->number, c->payload);
  return MM_CALL_OK;
}

static void
do_stop (fake *x, const fake_call *c)
{
  bar_run (x, &c->task, c->number);
  fake_run *r = find_run (x, &c->task);
  if (!r || r->number > c->number)
    return;
  r->ends_ms = MIN (r->ends_ms, x->all->now_ms + STOP_MS);
  r->how = MM_END_STOPPED;
}

static void
forget_ends (fake *x, uint64_t acked)
{
  while (x->ends->len && g_array_index (x->ends, fake_end, 0).seq <= acked)
    g_array_remove_index (x->ends, 0);
}

/* Carry a call out.  */
static void
carry_out (fake_call *c)
{
  fake *x = c->to;
  c->arrives_ms = -1;
  c->result.clock_ms = x->all->now_ms;
  if (x->gone)
    c->result.verdict = MM_CALL_GONE;
  else if (c->fence < x->fence)
    c->result.verdict = MM_CALL_FENCED;
  else
    {
      x->fence = c->fence;
      c->result.verdict = MM_CALL_OK;
      if (c->kind == CALL_START)
        c->result.verdict = do_start (x, c);
      else if (c->kind == CALL_STOP)
        do_stop (x, c);
      else
        {
          x->all->counts.holds++;
          forget_ends (x, c->acked);
          if (c->deadline_ms)
            extend_lease (x, c->deadline_ms);
        }
    }
  if (c->kind != CALL_HOLD || c->result.verdict != MM_CALL_OK)
    c->answer_ms = x->all->now_ms + LINK_MS;
}

/* ---- calls ------------------------------------------------------------ */

static fake *
find_fake (fakes *f, const mm_upstream_info *u)
{
  for (GList *l = f->upstreams; l; l = l->next)
    if (strcmp (((fake *)l->data)->info.name, u->name) == 0)
      return l->data;
  return NULL;
}

static bool
take_loss (uint32_t *left)
{
  if (*left == 0)
    return false;
  (*left)--;
  return true;
}

static fake_call *
send (fakes *f, const mm_upstream_info *u, call_kind kind,
      mm_time_ms timeout_ms, void *ctx)
{
  fake_call *c = g_new0 (fake_call, 1);
  c->to = find_fake (f, u);
  c->kind = kind;
  c->arrives_ms = f->now_ms + LINK_MS;
  c->answer_ms = -1;
  c->timeout_ms = f->now_ms + timeout_ms;
  c->ctx = ctx;
  fake_mode *m = &c->to->mode;
  if (kind == CALL_START && take_loss (&m->lose_starts))
    {
      c->lost = true;
      c->arrives_ms = m->late_ms ? f->now_ms + m->late_ms : -1;
    }
  if ((kind == CALL_STOP && take_loss (&m->lose_stops))
      || (kind == CALL_HOLD && take_loss (&m->lose_holds)) || m->silent)
    {
      c->lost = true;
      c->arrives_ms = -1;
    }
  c->lost = c->lost || m->mute;
  f->calls = g_list_append (f->calls, c);
  return c;
}

static void
port_start (void *ctx, const mm_upstream_info *u, const mm_order *o,
            mm_call_done done, void *done_ctx)
{
  fake_call *c = send (ctx, u, CALL_START, o->timeout_ms, done_ctx);
  c->task = *o->task;
  c->number = o->run;
  c->payload = g_strdup (o->payload);
  c->fence = o->fence;
  c->deadline_ms = o->deadline_ms;
  c->done = done;
}

static void
port_stop (void *ctx, const mm_upstream_info *u, const mm_order *o,
           mm_call_done done, void *done_ctx)
{
  fake_call *c = send (ctx, u, CALL_STOP, o->timeout_ms, done_ctx);
  c->task = *o->task;
  c->number = o->run;
  c->fence = o->fence;
  c->done = done;
}

static void
port_hold (void *ctx, const mm_upstream_info *u, const mm_hold *h,
           mm_hold_done done, void *done_ctx)
{
  fakes *f = ctx;
  fake_call *c = send (f, u, CALL_HOLD, h->timeout_ms, done_ctx);
  c->fence = h->fence;
  c->acked = h->acked_seq;
  c->deadline_ms = h->deadline_ms;
  c->wait_until_ms = f->now_ms + LINK_MS + h->wait_ms;
  c->hold_done = done;
}

mm_exec_port
fakes_port (fakes *f)
{
  return (mm_exec_port){
    .start = port_start, .stop = port_stop, .hold = port_hold, .ctx = f
  };
}

void
fake_start_foreign (fake *x, const char *job, uint64_t fence,
                    int64_t cpu_milli, mm_time_ms run_ms)
{
  mm_task_request t = fakes_task (job, 0, cpu_milli, run_ms);
  x->fence = fence;
  extend_lease (x, x->all->now_ms + MAX_LEASE_MS);
  begin_run (x, &t.id, 1, t.payload);
}

static void
answer_hold (fake_call *c)
{
  fake *x = c->to;
  GArray *running = g_array_new (FALSE, TRUE, sizeof (mm_running));
  GArray *ended = g_array_new (FALSE, TRUE, sizeof (mm_ended));
  for (guint i = 0; i < x->runs->len; i++)
    {
      fake_run *r = &g_array_index (x->runs, fake_run, i);
      mm_running row = { .task = r->task, .run = r->number };
      g_array_append_val (running, row);
    }
  for (guint i = 0; i < x->ends->len; i++)
    {
      fake_end *e = &g_array_index (x->ends, fake_end, i);
      mm_ended row = {
        .seq = e->seq, .task = e->task, .run = e->number, .how = e->how
      };
      g_array_append_val (ended, row);
    }
  mm_hold_result r = { .call = c->result,
                       .running = (mm_running *)(void *)running->data,
                       .n_running = running->len,
                       .ended = (mm_ended *)(void *)ended->data,
                       .n_ended = ended->len };
  c->hold_done (&r, c->ctx);
  g_array_free (running, TRUE);
  g_array_free (ended, TRUE);
}

static void
give_answer (fake_call *c)
{
  c->answered = true;
  if (c->kind != CALL_HOLD)
    c->done (&c->result, c->ctx);
  else if (c->result.verdict == MM_CALL_OK)
    answer_hold (c);
  else
    {
      mm_hold_result r = { .call = c->result };
      c->hold_done (&r, c->ctx);
    }
}

static void
give_timeout (fake_call *c)
{
  c->result = (mm_call_result){ .verdict = MM_CALL_NO_ANSWER, .clock_ms = -1 };
  give_answer (c);
}

static void
step_upstream (fake *x)
{
  mm_time_ms now = x->all->now_ms;
  for (guint i = 0; i < x->runs->len;)
    {
      fake_run *r = &g_array_index (x->runs, fake_run, i);
      if (now >= x->lease_until_ms)
        end_run (x, i, MM_END_LOST);
      else if (now >= r->ends_ms)
        end_run (x, i, r->how);
      else
        i++;
    }
}

/* A hold is answered when an end is there, or its wait is over.  */
static void
step_hold (fake_call *c)
{
  if (c->kind != CALL_HOLD || c->arrives_ms >= 0 || c->answer_ms >= 0
      || c->lost || c->result.verdict != MM_CALL_OK || c->result.clock_ms == 0)
    return;
  if (c->to->ends->len || c->to->all->now_ms >= c->wait_until_ms)
    c->answer_ms = c->to->all->now_ms + LINK_MS;
}

static void
step_call (fake_call *c)
{
  mm_time_ms now = c->to->all->now_ms;
  if (c->arrives_ms >= 0 && now >= c->arrives_ms)
    carry_out (c);
  step_hold (c);
  if (c->answered)
    return;
  if (!c->lost && c->answer_ms >= 0 && now >= c->answer_ms)
    give_answer (c);
  else if (now >= c->timeout_ms)
    give_timeout (c);
}

static void
step (fakes *f)
{
  f->now_ms++;
  for (GList *l = f->upstreams; l; l = l->next)
    step_upstream (l->data);
  GList *next;
  for (GList *l = f->calls; l; l = next)
    {
      fake_call *c = l->data;
      step_call (c);
      next = l->next;
      if (c->answered && c->arrives_ms < 0)
        {
          f->calls = g_list_delete_link (f->calls, l);
          call_free (c);
        }
    }
}

void
fakes_run (fakes *f, mm_owner *o, mm_time_ms ms)
{
  for (mm_time_ms i = 0; i < ms; i++)
    {
      step (f);
      if (o && f->now_ms % 25 == 0)
        mm_owner_tick (o);
    }
}
