/* mm_owner: a queue of tasks over the upstreams owned here.

   Room has one owner, so what is seen as free is free.  The queue is
   short by design: a task says how long it may wait (start_within), and
   is given back as not run after that, so that its caller learns soon.  */
#include "mm_owner.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"
#include "mm_place.h"
#include "mm_trust.h"

#include <cJSON.h>
#include <string.h>

typedef struct
{
  mm_owner *owner;
  mm_exec *exec;
  mm_trust trust;
  bool frozen; /* being handed over */
} slot;

struct mm_work
{
  mm_owner *owner;
  mm_task_request t; /* its strings are ours */
  mm_time_ms start_by_ms;
  mm_time_ms due_ms;
  mm_time_ms taken_ms;
  uint64_t order; /* of arrival */
  slot *at;       /* where it runs or is being stopped, NULL: waiting */
  bool cancelled;
  mm_work_done done;
  void *ctx;
};

struct mm_owner
{
  mm_exec_port port;
  GHashTable *slots;  /* upstream name -> slot */
  GQueue *waiting;    /* mm_work, by priority and arrival */
  GHashTable *active; /* mm_task_id -> mm_work that has a run */
  uint64_t next_order;
  mm_time_ms handover_end_ms; /* all that is handed over is idle then */
  double usual_run_ms;        /* of a task, for reports */
  double usual_cpu_milli;     /* of a task, for reports */
  mm_time_ms kept_ms;         /* when a kept job was last heard of */
  bool sure;                  /* nobody else can own what is owned here */
  bool pumping;
  bool pump_again;
  bool destroyed;
};

static void pump (mm_owner *o);

static void
work_free (mm_work *w)
{
  g_free ((char *)w->t.service);
  g_free ((char *)w->t.payload);
  g_free ((char *)w->t.label);
  g_free ((char *)w->t.data_label);
  g_free ((char *)w->t.avoid);
  g_free (w);
}

static void
finish (mm_work *w, mm_end how, const char *upstream, uint32_t run,
        mm_time_ms ran_ms, const char *why)
{
  mm_work_result r = {
    .how = how, .upstream = upstream, .run = run, .ran_ms = ran_ms, .why = why
  };
  if (!w->cancelled)
    w->done (w->ctx, &r);
  work_free (w);
}

/* By priority, then by due time, then by arrival.  A task that comes from
   another owner's queue keeps its turn by its due time.  */
static gint
work_order (gconstpointer a, gconstpointer b, gpointer unused)
{
  const mm_work *x = a, *y = b;
  if (x->t.priority != y->t.priority)
    return x->t.priority < y->t.priority ? -1 : 1;
  if (x->due_ms != y->due_ms)
    return x->due_ms < y->due_ms ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static void
enqueue (mm_owner *o, mm_work *w)
{
  w->at = NULL;
  g_queue_insert_sorted (o->waiting, w, work_order, NULL);
}

/* Not started after all: back into the queue, unless that is pointless. */
static void
give_back (mm_work *w, const char *upstream, const char *why)
{
  mm_owner *o = w->owner;
  bool late = mm_clock_now_ms () > w->start_by_ms;
  if (w->cancelled || late || o->destroyed)
    finish (w, MM_END_NOT_RUN, upstream, 0, 0, why);
  else
    enqueue (o, w);
}

static void
note_trust (slot *s, const char *name, bool ok, mm_time_ms now)
{
  bool was_on_trial = s->trust.on_trial;
  mm_time_ms excluded_until = s->trust.excluded_until;
  mm_trust_note (&s->trust, ok, now);
  if (was_on_trial && !s->trust.on_trial)
    mm_log_event (MM_EV_UPSTREAM_TRUSTED, MM_TEXT (name));
  if (s->trust.excluded_until == excluded_until || ok)
    return;
  mm_metrics_count (MM_CT_EXCLUSIONS);
  mm_log_event (MM_EV_UPSTREAM_EXCLUDED, MM_TEXT (name),
                MM_INT (s->trust.failures_in_row),
                MM_INT (s->trust.excluded_until - now));
}

static void
on_ended (void *ctx, mm_exec *x, void *work, uint32_t run, mm_end how,
          mm_time_ms ran_ms, const char *why)
{
  slot *s = ctx;
  mm_work *w = work;
  mm_owner *o = s->owner;
  const char *name = mm_exec_info (x)->name;
  mm_time_ms now = mm_clock_now_ms ();
  /* An order without an answer is no failure of a task: it is stopped and
     placed again after 100 ms, and with many of them on all upstreams at
     once, exclusions would leave none.  */
  if (how == MM_END_DONE || how == MM_END_FAILED || how == MM_END_LOST)
    note_trust (s, name, how == MM_END_DONE, now);
  if (how == MM_END_DONE)
    {
      mm_metrics_time (MM_HG_TASK_RUN, ran_ms);
      mm_log_event (MM_EV_TASK_ENDED, MM_TASK (&w->t.id), MM_TEXT (name),
                    MM_INT (ran_ms));
    }
  g_hash_table_remove (o->active, &w->t.id);
  if (how == MM_END_NOT_RUN)
    give_back (w, name, why);
  else
    finish (w, how, name, run, ran_ms, why);
}

static void
on_room (void *ctx, mm_exec *x)
{
  slot *s = ctx;
  pump (s->owner);
}

static void
slot_free (gpointer p)
{
  slot *s = p;
  mm_exec_destroy (s->exec);
  g_free (s);
}

/* Work at an upstream that is not ours any more: its outcome is lost, and
   it may still run for the rest of its lease.  */
static void
lose_work_at (mm_owner *o, slot *s, const char *why)
{
  GList *works = g_hash_table_get_values (o->active);
  for (GList *l = works; l; l = l->next)
    {
      mm_work *w = l->data;
      if (w->at != s)
        continue;
      g_hash_table_remove (o->active, &w->t.id);
      finish (w, MM_END_UNKNOWN, mm_exec_info (s->exec)->name, 0, 0, why);
    }
  g_list_free (works);
}

static void
on_unwell (void *ctx, mm_exec *x)
{
  note_trust (ctx, mm_exec_info (x)->name, false, mm_clock_now_ms ());
}

static void
on_fenced (void *ctx, mm_exec *x)
{
  mm_metrics_count (MM_CT_FENCED);
  mm_log_event (MM_EV_UPSTREAM_FENCED, MM_TEXT (mm_exec_info (x)->name),
                MM_INT (mm_exec_fence (x)));
}

/**
 * mm_owner_create() - an owner of no upstreams yet.
 * @port: how upstreams are reached.
 *
 * Return: the owner; free with mm_owner_destroy().
 */
mm_owner *
mm_owner_create (const mm_exec_port *port)
{
  mm_owner *o = g_new0 (mm_owner, 1);
  o->port = *port;
  o->slots
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, slot_free);
  o->waiting = g_queue_new ();
  o->active = g_hash_table_new (mm_task_id_hash, mm_task_id_equal);
  return o;
}

void
mm_owner_destroy (mm_owner *o)
{
  if (!o)
    return;
  o->destroyed = true;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->active);
  while (g_hash_table_iter_next (&it, NULL, &v))
    work_free (v);
  g_queue_free_full (o->waiting, (GDestroyNotify)work_free);
  g_hash_table_destroy (o->slots);
  g_hash_table_destroy (o->active);
  g_free (o);
}

/**
 * mm_owner_own() - own an upstream, or take the list's news of it.
 * @o: the owner.
 * @u: the upstream; copied.
 * @fence: our token there; a higher one than before begins a new session.
 */
void
mm_owner_own (mm_owner *o, const mm_upstream_info *u, uint64_t fence)
{
  slot *s = g_hash_table_lookup (o->slots, u->name);
  if (s && mm_exec_fence (s->exec) >= fence)
    {
      s->frozen = false;
      mm_exec_update (s->exec, u);
      pump (o);
      return;
    }
  if (s)
    mm_owner_disown (o, u->name);
  s = g_new0 (slot, 1);
  s->owner = o;
  mm_exec_events ev = { .ended = on_ended,
                        .room = on_room,
                        .unwell = on_unwell,
                        .fenced = on_fenced,
                        .ctx = s };
  s->exec = mm_exec_create (u, fence, &o->port, &ev);
  g_hash_table_insert (o->slots, g_strdup (u->name), s);
}

void
mm_owner_disown (mm_owner *o, const char *upstream)
{
  slot *s = g_hash_table_lookup (o->slots, upstream);
  if (!s)
    return;
  lose_work_at (o, s, "upstream handed over or gone");
  g_hash_table_remove (o->slots, upstream);
}

/* A hand-over waits for the longest task that runs on any of the upstreams,
   up to 1 s.  Kept idle meanwhile, half of a data centre's room was lost for
   that long at each restart; tasks that end sooner cost it no time.  */
void
mm_owner_freeze (mm_owner *o, const char *upstream)
{
  slot *s = g_hash_table_lookup (o->slots, upstream);
  if (!s || s->frozen)
    return;
  mm_time_ms now = mm_clock_now_ms ();
  mm_time_ms left_ms = mm_exec_longest_left_ms (s->exec, now);
  s->frozen = true;
  o->handover_end_ms
      = MAX (o->handover_end_ms,
             now + MIN (left_ms, MM_HANDOVER_MS - MM_HANDOVER_MARGIN_MS));
}

/* May a task that usually runs so long start at @s?  */
static bool
ends_in_time (const slot *s, double run_ms, mm_time_ms now)
{
  double end_ms
      = (double)now
        + run_ms * MM_ESTIMATE_ERROR * MAX (mm_exec_slowness (s->exec), 1.0);
  return !s->frozen
         || (MM_WITH_HANDOVER_RUNS && run_ms > 0
             && end_ms <= (double)s->owner->handover_end_ms);
}

/* Another owner's token was seen at this upstream.  */
bool
mm_owner_fenced (const mm_owner *o, const char *upstream)
{
  slot *s = g_hash_table_lookup (o->slots, upstream);
  return s && mm_exec_fenced (s->exec);
}

GList *
mm_owner_names (const mm_owner *o)
{
  return g_hash_table_get_keys (o->slots);
}

bool
mm_owner_quiet (const mm_owner *o, const char *upstream)
{
  slot *s = g_hash_table_lookup (o->slots, upstream);
  return !s || (s->frozen && mm_exec_quiet (s->exec));
}

static bool
has_label (const mm_upstream_info *u, const char *label)
{
  return !label
         || (u->labels
             && g_strv_contains ((const char *const *)u->labels, label));
}

static mm_place_candidate
candidate (slot *s, const mm_work *w, mm_time_ms now)
{
  const mm_upstream_info *u = mm_exec_info (s->exec);
  mm_place_candidate c = { .room = mm_exec_room (s->exec),
                           .slowness = mm_exec_slowness (s->exec) };
  size_t runs = mm_exec_runs (s->exec);
  c.near_data = w->t.data_label && has_label (u, w->t.data_label);
  c.allowed = ends_in_time (s, (double)w->t.estimate_ms, now)
              && mm_exec_usable (s->exec)
              && strcmp (u->service, w->t.service) == 0
              && has_label (u, w->t.label)
              && (!w->t.avoid || strcmp (u->name, w->t.avoid) != 0)
              && (u->slots == 0 || runs < (size_t)u->slots)
              && mm_trust_allows (&s->trust, runs, now);
  return c;
}

/* Start @w where it fits best.  Return: whether it was started.  */
static bool
place (mm_owner *o, mm_work *w, mm_time_ms now)
{
  guint n = g_hash_table_size (o->slots);
  if (n == 0 || g_hash_table_contains (o->active, &w->t.id))
    return false; /* an earlier run of it is not over */
  mm_place_candidate *c = g_new (mm_place_candidate, n);
  slot **at = g_new (slot *, n);
  GHashTableIter it;
  gpointer v;
  size_t i = 0;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      at[i] = v;
      c[i++] = candidate (v, w, now);
    }
  int best = mm_place_choose (c, n, &w->t.need);
  if (best >= 0)
    {
      w->at = at[best];
      g_hash_table_insert (o->active, &w->t.id, w);
      mm_metrics_count (MM_CT_TASKS_STARTED);
      w->t.waited_ms += now - w->taken_ms;
      mm_metrics_time (MM_HG_QUEUE_WAIT, now - w->taken_ms);
      mm_exec_start (w->at->exec, &w->t, w);
    }
  g_free (c);
  g_free (at);
  return best >= 0;
}

static mm_work *
first_expired (mm_owner *o, mm_time_ms now)
{
  for (GList *l = o->waiting->head; l; l = l->next)
    if (now > ((mm_work *)l->data)->start_by_ms)
      return l->data;
  return NULL;
}

/* One at a time: what is told of one may cancel others.  */
static void
expire_waiting (mm_owner *o, mm_time_ms now)
{
  mm_work *w;
  while ((w = first_expired (o, now)))
    {
      g_queue_remove (o->waiting, w);
      finish (w, MM_END_NOT_RUN, NULL, 0, 0, "waited too long");
    }
}

/* One pass over the queue; a task that does not fit does not hold up a
   smaller one behind it, but only a bounded number of them is tried.  */
static void
pump_once (mm_owner *o)
{
  mm_time_ms now = mm_clock_now_ms ();
  uint32_t misses = 0;
  GList *l = o->waiting->head;
  while (l && misses < MM_OWNER_PUMP_MISSES)
    {
      GList *next = l->next;
      mm_work *w = l->data;
      g_queue_unlink (o->waiting, l);
      if (place (o, w, now))
        g_list_free (l);
      else
        {
          misses++;
          if (next)
            g_queue_insert_before_link (o->waiting, next, l);
          else
            g_queue_push_tail_link (o->waiting, l);
        }
      l = next;
    }
}

static void
pump (mm_owner *o)
{
  if (o->destroyed)
    return;
  o->pump_again = true;
  if (o->pumping)
    return;
  o->pumping = true;
  while (o->pump_again)
    {
      o->pump_again = false;
      pump_once (o);
    }
  o->pumping = false;
}

static void
note_usual (double *usual, double seen)
{
  *usual = *usual > 0 ? *usual + MM_USUAL_GAIN * (seen - *usual) : seen;
}

/**
 * mm_owner_submit() - run a task once there is room.
 * @o: the owner.
 * @t: the task; copied.
 * @done: called once, later, unless the work is cancelled before.
 * @ctx: for @done.
 *
 * Return: a handle for mm_owner_cancel(), valid until @done.
 */
mm_work *
mm_owner_submit (mm_owner *o, const mm_task_request *t, mm_work_done done,
                 void *ctx)
{
  mm_work *w = g_new0 (mm_work, 1);
  w->owner = o;
  w->t = *t;
  w->t.service = g_strdup (t->service);
  w->t.payload = g_strdup (t->payload);
  w->t.label = g_strdup (t->label);
  w->t.data_label = g_strdup (t->data_label);
  w->t.avoid = g_strdup (t->avoid);
  w->taken_ms = mm_clock_now_ms ();
  w->start_by_ms = w->taken_ms + t->start_within;
  w->due_ms = w->taken_ms + t->due_within;
  w->order = ++o->next_order;
  w->done = done;
  w->ctx = ctx;
  note_usual (&o->usual_cpu_milli, (double)t->need.cpu_milli);
  note_usual (&o->usual_run_ms, (double)t->estimate_ms);
  enqueue (o, w);
  pump (o);
  return w;
}

/**
 * mm_owner_cancel() - nobody waits for this task any more.
 * @o: the owner.
 * @w: its handle; not valid after this.
 */
void
mm_owner_cancel (mm_owner *o, mm_work *w)
{
  w->cancelled = true;
  if (w->at)
    {
      mm_exec_stop (w->at->exec, w);
      return;
    }
  g_queue_remove (o->waiting, w);
  work_free (w);
}

void
mm_owner_set_sure (mm_owner *o, bool sure)
{
  o->sure = sure;
}

void
mm_owner_note_end (mm_owner *o, const mm_task_id *task, uint32_t mark)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_exec *x = ((slot *)v)->exec;
      size_t n;
      const mm_held_end *h = mm_exec_held (x, &n);
      for (size_t i = n; i-- > 0;)
        if (mm_task_id_equal (&h[i].task, task)
            && mm_run_mark (mm_exec_info (x)->name, h[i].run) == mark)
          mm_exec_drop_held (x, i);
    }
}

/* How many of the tasks wait here for room?  */
static uint32_t
count_waiting (const mm_owner *o, GHashTable *tasks)
{
  uint32_t n = 0;
  for (GList *l = o->waiting->head; l; l = l->next)
    n += g_hash_table_contains (tasks, &((mm_work *)l->data)->t.id);
  return n;
}

static void
add_held (const mm_exec *x, GHashTable *tasks, GArray *ends)
{
  size_t n;
  const mm_held_end *h = mm_exec_held (x, &n);
  for (size_t i = 0; i < n; i++)
    {
      mm_found_end e
          = { .task = h[i].task,
              .how = h[i].how,
              .mark = mm_run_mark (mm_exec_info (x)->name, h[i].run) };
      if (g_hash_table_contains (tasks, &e.task))
        g_array_append_val (ends, e);
    }
}

/**
 * mm_owner_census() - look for tasks whose fate their home lost sight of.
 * @o: the owner.
 * @tasks: a set of mm_task_id.
 * @out: upstreams on which none of them runs, or will by this owner's
 *   doing, and ends of theirs that are not taken note of, are added.
 */
void
mm_owner_census (const mm_owner *o, GHashTable *tasks, mm_census *out)
{
  out->present += count_waiting (o, tasks);
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      const mm_exec *x = ((slot *)v)->exec;
      out->present += mm_exec_count_of (x, tasks);
      /* An owner that was outranked meanwhile cannot vouch for its idle
         upstreams: it would not know.  */
      if (!o->sure || !mm_exec_sure (x))
        continue;
      uint64_t mark = mm_upstream_mark (mm_exec_info (x)->name);
      g_array_append_val (out->clear, mark);
      add_held (x, tasks, out->ends);
    }
}

void
mm_owner_foreign_jobs (const mm_owner *o, GHashTable *ids)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      size_t n;
      const mm_held_end *h = mm_exec_held (((slot *)v)->exec, &n);
      for (size_t i = 0; i < n; i++)
        if (h[i].foreign && !g_hash_table_contains (ids, h[i].task.job))
          g_hash_table_add (ids, g_strdup (h[i].task.job));
    }
}

void
mm_owner_forget_job (mm_owner *o, const char *job_id)
{
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      mm_exec *x = ((slot *)v)->exec;
      size_t n;
      const mm_held_end *h = mm_exec_held (x, &n);
      for (size_t i = n; i-- > 0;)
        if (strcmp (h[i].task.job, job_id) == 0)
          mm_exec_drop_held (x, i);
      mm_exec_forget_job (x, job_id);
    }
}

/* Ends that nobody takes note of must not pile up at the upstreams.  */
static void
expire_held (mm_exec *x, mm_time_ms now)
{
  size_t n;
  const mm_held_end *h = mm_exec_held (x, &n);
  for (size_t i = n; i-- > 0;)
    if (now - h[i].since_ms >= MM_KEPT_END_MS)
      mm_exec_drop_held (x, i);
}

void
mm_owner_tick (mm_owner *o)
{
  mm_time_ms now = mm_clock_now_ms ();
  expire_waiting (o, now);
  GList *slots = g_hash_table_get_values (o->slots);
  for (GList *l = slots; l; l = l->next)
    {
      mm_exec *x = ((slot *)l->data)->exec;
      expire_held (x, now);
      mm_exec_tick (x);
    }
  g_list_free (slots);
  if (o->waiting->length)
    pump (o);
}

/* Until a task was seen, an upstream's slots are the best guess.  */
static int64_t
usual_cpu_milli (const mm_owner *o, const mm_upstream_info *u)
{
  int64_t cpu = o->usual_cpu_milli > 0
                    ? (int64_t)o->usual_cpu_milli
                    : u->capacity.cpu_milli / MAX (u->slots, 1);
  return MAX (cpu, 1);
}

/**
 * mm_owner_report() - room of a service, for those who place work.
 * @o: the owner.
 * @service: the service.
 *
 * Return: counted in tasks of the size seen lately.
 */
mm_room_report
mm_owner_report (const mm_owner *o, const char *service)
{
  mm_room_report r = { 0 };
  mm_time_ms now = mm_clock_now_ms ();
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      slot *s = v;
      const mm_upstream_info *u = mm_exec_info (s->exec);
      if (strcmp (u->service, service) != 0
          || !ends_in_time (s, o->usual_run_ms, now)
          || !mm_exec_in_sight (s->exec)
          || !mm_trust_allows (&s->trust, 0, now))
        continue;
      int64_t cpu = usual_cpu_milli (o, u);
      r.places += (uint32_t)(u->capacity.cpu_milli / cpu);
      int64_t room = mm_exec_room (s->exec).cpu_milli;
      if (room > 0 && mm_exec_usable (s->exec))
        r.free += (uint32_t)(room / cpu);
    }
  for (GList *l = o->waiting->head; l; l = l->next)
    {
      const mm_work *w = l->data;
      if (strcmp (w->t.service, service) != 0)
        continue;
      r.waiting++;
      r.waiting_at[MIN (w->t.priority, MM_PRIORITY_LEVELS - 1)]++;
    }
  return r;
}

uint32_t
mm_room_ahead (const mm_room_report *r, uint32_t priority)
{
  uint32_t n = 0;
  if (!MM_WITH_PRIORITY)
    return r->waiting;
  for (uint32_t i = 0; i < MM_PRIORITY_LEVELS && i <= priority; i++)
    n += r->waiting_at[i];
  return n;
}

mm_owner_gauges
mm_owner_measure (const mm_owner *o)
{
  mm_owner_gauges g = { .upstreams = g_hash_table_size (o->slots) };
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      g.runs += (uint32_t)mm_exec_runs (((slot *)v)->exec);
      g.unsure += (uint32_t)mm_exec_unsure (((slot *)v)->exec);
    }
  GList *services = mm_owner_services (o);
  for (GList *l = services; l; l = l->next)
    {
      mm_room_report r = mm_owner_report (o, l->data);
      g.room.places += r.places;
      g.room.free += r.free;
      g.room.waiting += r.waiting;
    }
  g_list_free (services);
  return g;
}

/* Distinct services of the upstreams owned here.  */
GList *
mm_owner_services (const mm_owner *o)
{
  GList *names = NULL;
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      char *service = mm_exec_info (((slot *)v)->exec)->service;
      if (!g_list_find_custom (names, service, (GCompareFunc)strcmp))
        names = g_list_prepend (names, service);
    }
  return names;
}

/**
 * mm_owner_dump() - state as JSON, for operators.
 * @o: the owner.
 *
 * Return: newly allocated text, free with free().
 */
char *
mm_owner_dump (const mm_owner *o)
{
  cJSON *d = cJSON_CreateObject ();
  cJSON_AddNumberToObject (d, "waiting", o->waiting->length);
  cJSON *a = cJSON_AddArrayToObject (d, "upstreams");
  GHashTableIter it;
  gpointer v;
  g_hash_table_iter_init (&it, o->slots);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      slot *s = v;
      cJSON *u = cJSON_CreateObject ();
      cJSON_AddStringToObject (u, "name", mm_exec_info (s->exec)->name);
      cJSON_AddNumberToObject (u, "fence", (double)mm_exec_fence (s->exec));
      cJSON_AddBoolToObject (u, "usable", mm_exec_usable (s->exec));
      cJSON_AddNumberToObject (u, "runs", (double)mm_exec_runs (s->exec));
      cJSON_AddNumberToObject (u, "free_cpu_milli",
                               (double)mm_exec_room (s->exec).cpu_milli);
      cJSON_AddNumberToObject (u, "slowness", mm_exec_slowness (s->exec));
      cJSON_AddItemToArray (a, u);
    }
  char *text = cJSON_PrintUnformatted (d);
  cJSON_Delete (d);
  return text;
}
