/* mm_suspects: lost upstreams and the tasks that ran there.

   Only another incarnation at the address or with the same name proves a
   crash.  A disconnected upstream does not answer either, and its list entry
   expires like that of a crashed one, so neither sign proves a crash.  An
   upstream that was listed as draining has left as planned, unless tasks had
   just started there: an upstream that leaves does so after they have ended.

   Several tasks may run on an upstream when it crashes, and usually only one
   of them is a poison task.  The first crash makes them suspect, and each then
   runs isolated.  A task counts as a poison task if an upstream crashes right
   after it has started there as a suspect and alone, and after three crashes
   otherwise.

   A task whose start got no answer may not have run on the upstream, and one
   whose run failed shortly before the crash did not run any more.  Such a
   crash makes it suspect, but is no evidence that it is a poison task.

   Upstreams that crash for one reason, such as a power failure, crash at about
   the same time, whatever they run.  A crash in such a mass loss is no
   evidence either.  A task with two crashes waits until the mass loss is over,
   so that the next one would be evidence.

   A task with three crashes does not run again, whatever they prove, so that a
   poison task crashes no more upstreams.

   Reports of a loss pass over many links, arrive in any order and are passed
   on if they change the record.  They cease because the record of an upstream
   changes in one direction only: to a later loss, counted by the instance that
   saw it, or to a later verdict of the same loss, or by further tasks.  */
#include "mm_suspects.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"

#include <string.h>
#include <xxhash.h>

/* One lost incarnation of an upstream.  */
typedef struct
{
  char *upstream;  /* its name */
  int64_t born_ms; /* as in mm_loss */
  char *addr;      /* "ip:port" */
  bool draining;   /* as in mm_loss */
  mm_loss_verdict verdict;
  mm_time_ms unresponsive_since_ms; /* when it stopped answering */
  mm_time_ms after_start_ms;        /* as in mm_loss */
  mm_time_ms verdict_ms;            /* when the verdict was set */
  uint32_t occurrence;              /* as in mm_loss, from 1 */
  /* mm_task_hash() of the tasks, uint64_t.  The last @n_unconfirmed of them
     may not have run.  */
  GArray *tasks;
  guint n_unconfirmed;
  GArray *just_started; /* as in mm_loss, uint64_t */
} loss;

struct mm_suspects
{
  /* loss, in the order in which the upstreams stopped answering.  A report
     states how long ago that was, so the times are of this instance's clock,
     and late by the time that the report took.  */
  GQueue *losses;
  GHashTable *hashes; /* set of the task hashes (uint64_t) in all losses */
  mm_suspects_changed changed; /* called for each change, or NULL */
  void *ctx;                   /* for @changed */
};

static void
loss_free (gpointer p)
{
  loss *l = p;
  g_free (l->upstream);
  g_free (l->addr);
  g_array_free (l->tasks, TRUE);
  g_array_free (l->just_started, TRUE);
  g_free (l);
}

/**
 * mm_suspects_create() - create an empty record of losses.
 *
 * Return: the record; free with mm_suspects_destroy().
 */
mm_suspects *
mm_suspects_create (void)
{
  mm_suspects *s = g_new0 (mm_suspects, 1);
  s->losses = g_queue_new ();
  s->hashes
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return s;
}

void
mm_suspects_destroy (mm_suspects *s)
{
  if (!s)
    return;
  g_queue_free_full (s->losses, loss_free);
  g_hash_table_destroy (s->hashes);
  g_free (s);
}

void
mm_suspects_on_changed (mm_suspects *s, mm_suspects_changed changed, void *ctx)
{
  s->changed = changed;
  s->ctx = ctx;
}

uint64_t
mm_task_hash (const mm_task_id *id)
{
  uint64_t task = (uint64_t)id->step << 32 | id->index;
  return XXH3_64bits_withSeed (id->job, strlen (id->job), task);
}

/* Returns the loss in the form that callbacks get; valid until @l changes.  */
static mm_loss
view_of (const loss *l)
{
  return (mm_loss){ .upstream = l->upstream,
                    .born_ms = l->born_ms,
                    .addr = l->addr,
                    .draining = l->draining,
                    .verdict = l->verdict,
                    .unresponsive_since_ms = l->unresponsive_since_ms,
                    .after_start_ms = l->after_start_ms,
                    .occurrence = l->occurrence,
                    .verdict_ms = l->verdict_ms,
                    .tasks = (const uint64_t *)(const void *)l->tasks->data,
                    .n_tasks = l->tasks->len,
                    .n_unconfirmed = l->n_unconfirmed,
                    .just_started
                    = (const uint64_t *)(const void *)l->just_started->data,
                    .n_just_started = l->just_started->len };
}

static void
report_change (const mm_suspects *s, const loss *l)
{
  mm_loss view = view_of (l);
  if (s->changed && view.n_tasks)
    s->changed (s->ctx, &view);
}

/* Computes the set of the tasks in all losses anew.  */
static void
rebuild_hashes (mm_suspects *s)
{
  g_hash_table_remove_all (s->hashes);
  for (GList *node = s->losses->head; node; node = node->next)
    {
      const loss *l = node->data;
      for (guint i = 0; i < l->tasks->len; i++)
        g_hash_table_add (s->hashes,
                          g_memdup2 (&g_array_index (l->tasks, uint64_t, i),
                                     sizeof (uint64_t)));
    }
}

/* Returns whether the loss is of this incarnation.  One whose start is unknown
   is taken for any of its name.  */
static bool
is_of (const loss *l, const char *upstream, int64_t born_ms)
{
  return strcmp (l->upstream, upstream) == 0
         && (l->born_ms == born_ms || !l->born_ms || !born_ms);
}

static loss *
find_loss (const mm_suspects *s, const char *upstream, int64_t born_ms)
{
  for (GList *l = s->losses->head; l; l = l->next)
    if (is_of (l->data, upstream, born_ms))
      return l->data;
  return NULL;
}

static int
find_hash (const GArray *hashes, uint64_t hash)
{
  for (guint i = 0; i < hashes->len; i++)
    if (g_array_index (hashes, uint64_t, i) == hash)
      return (int)i;
  return -1;
}

/* Returns the index of a task in the loss, -1 if it is not there.  */
static int
find_task (const loss *l, uint64_t hash)
{
  return find_hash (l->tasks, hash);
}

static bool
has_task (const loss *l, uint64_t hash)
{
  return find_task (l, hash) >= 0;
}

/* Returns whether the task ran on the lost upstream for certain.  */
static bool
has_confirmed_task (const loss *l, uint64_t hash)
{
  int i = find_task (l, hash);
  return i >= 0 && (guint)i < l->tasks->len - l->n_unconfirmed;
}

/* Adds a task to a loss, up to MM_SUSPECTS_TASKS_MAX tasks in all, or notes
   that it ran there for certain.  Returns whether the loss has changed.  */
static bool
add_task (loss *l, uint64_t hash, bool confirmed)
{
  int i = find_task (l, hash);
  if (i < 0 && l->tasks->len >= MM_SUSPECTS_TASKS_MAX)
    return false;
  if (i >= 0 && (!confirmed || has_confirmed_task (l, hash)))
    return false;
  if (i >= 0)
    {
      g_array_remove_index (l->tasks, (guint)i);
      l->n_unconfirmed--;
    }
  if (confirmed)
    g_array_prepend_val (l->tasks, hash);
  else
    {
      g_array_append_val (l->tasks, hash);
      l->n_unconfirmed++;
    }
  return true;
}

static void
drop_tasks (loss *l)
{
  g_array_set_size (l->tasks, 0);
  l->n_unconfirmed = 0;
}

/* Adds a task that had just started.  Returns whether the loss has changed. */
static bool
add_just_started (loss *l, uint64_t hash)
{
  if (find_hash (l->just_started, hash) >= 0
      || l->just_started->len >= MM_SUSPECTS_TASKS_MAX)
    return false;
  g_array_append_val (l->just_started, hash);
  return true;
}

/* Adds the tasks of @from.  If one of the reports of a loss says that the
   upstream was draining, only the tasks in such reports count.  Returns
   whether the loss has changed.  */
static bool
add_tasks (loss *l, const mm_loss *from)
{
  bool changed = from->draining && !l->draining;
  if (l->draining && !from->draining)
    return false;
  if (changed)
    drop_tasks (l);
  l->draining = from->draining;
  for (size_t i = 0; i < from->n_just_started; i++)
    changed = add_just_started (l, from->just_started[i]) || changed;
  for (size_t i = 0; i < from->n_tasks; i++)
    changed
        = add_task (l, from->tasks[i], i < from->n_tasks - from->n_unconfirmed)
          || changed;
  return changed;
}

/* @since_ms: when the verdict was known first, 0: now.  */
static void
set_verdict (loss *l, mm_loss_verdict v, mm_time_ms since_ms, const char *why)
{
  static const char *const names[] = { "open", "crashed", "alive" };
  l->verdict = v;
  l->verdict_ms = since_ms ? since_ms : mm_clock_now_ms ();
  if (v == MM_LOSS_CRASHED)
    mm_metrics_count (MM_CT_UPSTREAM_CRASHES);
  mm_log_event (MM_EV_UPSTREAM_LOST, MM_TEXT (l->upstream), MM_TEXT (names[v]),
                MM_INT (l->tasks->len), MM_TEXT (why));
}

/* Compares when two upstreams stopped answering; never 0, so that among equal
   times the later recorded one is last.  */
static int
compare_times (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const loss *l = a, *added = b;
  return l->unresponsive_since_ms <= added->unresponsive_since_ms ? -1 : 1;
}

/* Adds a loss of @from's upstream, still without tasks and verdict.  */
static loss *
add_loss (mm_suspects *s, const mm_loss *from)
{
  loss *l = g_new0 (loss, 1);
  l->upstream = g_strdup (from->upstream);
  l->born_ms = from->born_ms;
  l->addr = g_strdup (from->addr);
  l->unresponsive_since_ms = from->unresponsive_since_ms;
  l->after_start_ms = from->after_start_ms;
  l->occurrence = MAX (from->occurrence, 1);
  l->tasks = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  l->just_started = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_queue_insert_sorted (s->losses, l, compare_times, NULL);
  return l;
}

/* Returns which loss of its upstream @from is.  As seen by this instance, it
   is another one if the upstream had answered again before.  */
static uint32_t
occurrence_of (const loss *l, const mm_loss *from)
{
  if (from->occurrence)
    return from->occurrence;
  bool again = l->verdict == MM_LOSS_ALIVE && from->verdict != MM_LOSS_ALIVE
               && from->unresponsive_since_ms > l->verdict_ms;
  return l->occurrence + (again ? 1 : 0);
}

static bool
is_expired (mm_loss_verdict v, mm_time_ms verdict_ms)
{
  mm_time_ms keep_ms
      = v == MM_LOSS_CRASHED ? MM_SUSPECTS_KEEP_MS : MM_SUSPECTS_OPEN_KEEP_MS;
  return mm_clock_now_ms () - verdict_ms >= keep_ms;
}

/* Returns whether a loss of an upstream without one in the record is left out.
   One that is over at another instance is recorded until it expires there: the
   next loss of the upstream must have a higher number.  */
static bool
is_left_out (const mm_loss *from)
{
  return from->verdict == MM_LOSS_ALIVE
         && (!from->occurrence || !from->verdict_ms
             || is_expired (from->verdict, from->verdict_ms));
}

/* Removes the oldest loss that is over, to make room for one that is not.  Any
   other one would be news again when it is reported by an instance that still
   has it, and the reports would never cease; one that is over is reported on
   by no instance.  Returns false if there is none.  */
static bool
make_room (mm_suspects *s, const mm_loss *from)
{
  for (GList *node = s->losses->head; node && from->verdict != MM_LOSS_ALIVE;
       node = node->next)
    if (((loss *)node->data)->verdict == MM_LOSS_ALIVE)
      {
        loss_free (node->data);
        g_queue_delete_link (s->losses, node);
        return true;
      }
  return false;
}

/**
 * mm_suspects_record() - record a lost upstream.
 * @s: the record of losses.
 * @from: the loss as seen by this or by another instance; copied.
 *
 * Calls the callback of mm_suspects_on_changed() if this changes the record
 * and tasks ran there.  A crash without tasks only shows how many upstreams
 * were lost at a time; other instances learn of it when a link to them opens.
 */
void
mm_suspects_record (mm_suspects *s, const mm_loss *from)
{
  loss *l = find_loss (s, from->upstream, from->born_ms);
  /* Without tasks only a crash counts, whatever is recorded: an idle upstream
     is lost as soon as one hold gets no answer.  */
  bool silent = from->n_tasks == 0 && from->verdict == MM_LOSS_OPEN;
  if (silent || (!l && is_left_out (from)))
    return;
  if (!l && s->losses->length >= MM_SUSPECTS_MAX && !make_room (s, from))
    {
      mm_metrics_count (MM_CT_LOSSES_LEFT_OUT);
      mm_log_event (MM_EV_LOSS_LEFT_OUT, MM_TEXT (from->upstream),
                    MM_INT (s->losses->length));
      return;
    }
  bool is_new = !l;
  if (!l)
    l = add_loss (s, from);
  uint32_t occurrence = occurrence_of (l, from);
  if (occurrence < l->occurrence)
    return; /* a report of an earlier loss */
  bool is_later = occurrence > l->occurrence;
  if (is_later)
    {
      /* The tasks of the earlier loss did not cause this one.  */
      drop_tasks (l);
      g_array_set_size (l->just_started, 0);
      l->draining = false;
      l->occurrence = occurrence;
      l->unresponsive_since_ms = from->unresponsive_since_ms;
      l->after_start_ms = from->after_start_ms;
      g_queue_remove (s->losses, l);
      g_queue_insert_sorted (s->losses, l, compare_times, NULL);
    }
  bool newer = is_new || is_later || from->verdict > l->verdict;
  /* An upstream that answers again makes no further tasks suspect.  */
  bool tasks_changed
      = l->verdict == MM_LOSS_ALIVE && !newer ? false : add_tasks (l, from);
  if (newer)
    set_verdict (l, from->verdict, from->verdict_ms, "noted");
  if (!newer && !tasks_changed)
    return;
  rebuild_hashes (s);
  /* A loss that is over everywhere else is news to no instance.  */
  if (!is_new || l->verdict != MM_LOSS_ALIVE)
    report_change (s, l);
}

static void
change_verdict (mm_suspects *s, loss *l, mm_loss_verdict v, const char *why)
{
  if (l->verdict == v)
    return;
  set_verdict (l, v, 0, why);
  report_change (s, l);
}

void
mm_suspects_alive (mm_suspects *s, const char *upstream, int64_t born_ms)
{
  loss *l = find_loss (s, upstream, born_ms);
  if (l)
    change_verdict (s, l, MM_LOSS_ALIVE, "it answers again");
}

/* The upstream of an open loss was draining.  It has left as planned, unless
   tasks had just started there.  */
static void
set_draining (mm_suspects *s, loss *l)
{
  if (l->draining)
    return;
  if (l->just_started->len == 0)
    {
      change_verdict (s, l, MM_LOSS_ALIVE, "it left as planned");
      return;
    }
  drop_tasks (l);
  l->draining = true;
  for (guint i = 0; i < l->just_started->len; i++)
    add_task (l, g_array_index (l->just_started, uint64_t, i), false);
  rebuild_hashes (s);
  report_change (s, l);
}

void
mm_suspects_listed (mm_suspects *s, const mm_upstream_info *u)
{
  for (GList *node = s->losses->head; node; node = node->next)
    {
      loss *l = node->data;
      if (l->verdict != MM_LOSS_OPEN)
        continue;
      bool same_name = strcmp (l->upstream, u->name) == 0;
      if (is_of (l, u->name, u->born_ms) && u->draining)
        set_draining (s, l);
      else if (!same_name && strcmp (l->addr, u->addr) == 0)
        change_verdict (s, l, MM_LOSS_CRASHED,
                        "another incarnation at its address");
      /* The list may be from before the lost incarnation started.  */
      else if (same_name && l->born_ms && u->born_ms > l->born_ms)
        change_verdict (s, l, MM_LOSS_CRASHED,
                        "another incarnation with its name");
    }
}

/* What the losses of upstreams that ran a task say about it.  */
typedef struct
{
  uint32_t open;            /* losses without a verdict */
  uint32_t crashes;         /* crashes */
  uint32_t certain_crashes; /* crashes of upstreams that ran it for certain */
  /* Crashes of upstreams that ran it for certain and were not part of a mass
     loss.  */
  uint32_t separate_crashes;
  /* One of these came right after the task had started as a suspect, while it
     ran alone.  */
  bool failed_alone;
  mm_time_ms last_crash_ms; /* time of the newest crash */
} task_history;

/* Counts upstreams that did not run the task and were lost between the two
   times.  */
static uint32_t
count_other_losses (const mm_suspects *s, uint64_t hash, mm_time_ms from_ms,
                    mm_time_ms to_ms)
{
  uint32_t n = 0;
  for (GList *node = s->losses->head; node; node = node->next)
    {
      const loss *l = node->data;
      n += l->verdict != MM_LOSS_ALIVE && l->unresponsive_since_ms >= from_ms
           && l->unresponsive_since_ms <= to_ms && !has_task (l, hash);
    }
  return n;
}

static bool
in_mass_loss (const mm_suspects *s, uint64_t hash, const loss *l)
{
  return count_other_losses (
             s, hash, l->unresponsive_since_ms - MM_SUSPECTS_COINCIDE_MS,
             l->unresponsive_since_ms + MM_SUSPECTS_COINCIDE_MS)
         >= MM_SUSPECTS_MASS;
}

static task_history
read_history (const mm_suspects *s, uint64_t hash)
{
  task_history h = { 0 };
  for (GList *node = s->losses->head; node; node = node->next)
    {
      const loss *l = node->data;
      if (l->verdict == MM_LOSS_ALIVE || !has_task (l, hash))
        continue;
      if (l->verdict == MM_LOSS_OPEN)
        {
          h.open++;
          continue;
        }
      bool was_suspect = h.crashes > 0; /* the losses are in order */
      h.crashes++;
      h.last_crash_ms = MAX (h.last_crash_ms, l->unresponsive_since_ms);
      if (!has_confirmed_task (l, hash))
        continue;
      h.certain_crashes++;
      if (in_mass_loss (s, hash, l))
        continue;
      h.separate_crashes++;
      h.failed_alone = h.failed_alone
                       || (was_suspect && l->tasks->len == 1
                           && l->after_start_ms <= MM_SUSPECTS_AFTER_START_MS);
    }
  return h;
}

/* Returns whether a task counts as a poison task.  The first crash only makes
   it suspect: whatever runs on an upstream that crashes for another reason has
   one.  A crash right after its start as a suspect, beside no other task,
   decides.  Later in the run the crash may have another cause, and a third
   one decides.  Two crashes must have come while it ran for certain.  */
static bool
is_poison (const task_history *h)
{
  return (h->failed_alone && h->certain_crashes >= MM_SUSPECTS_CRASHES)
         || h->separate_crashes > MM_SUSPECTS_CRASHES;
}

/**
 * mm_suspects_decide() - decide how a task may be run.
 * @s: the record of losses, or NULL.
 * @task: the task.
 *
 * A poison task is given up only MM_SUSPECTS_COINCIDE_MS after its last crash:
 * until then other losses may show that the crash was part of a mass loss.
 * Losses that are recorded later are not considered.
 *
 * Return: what may be done with the task now.
 */
mm_suspect_action
mm_suspects_decide (const mm_suspects *s, const mm_task_id *task)
{
  if (!s || s->losses->length == 0)
    return MM_SUSPECT_RUN;
  uint64_t hash = mm_task_hash (task);
  if (!g_hash_table_contains (s->hashes, &hash))
    return MM_SUSPECT_RUN;
  mm_time_ms now = mm_clock_now_ms ();
  task_history h = read_history (s, hash);
  if (is_poison (&h))
    return now - h.last_crash_ms < MM_SUSPECTS_COINCIDE_MS
               ? MM_SUSPECT_WAIT
               : MM_SUSPECT_GIVE_UP;
  if (h.crashes > MM_SUSPECTS_CRASHES)
    return MM_SUSPECT_POSTPONE;
  if (h.open && h.crashes + h.open >= MM_SUSPECTS_CRASHES)
    return MM_SUSPECT_WAIT;
  if (h.crashes >= MM_SUSPECTS_CRASHES
      && count_other_losses (s, hash, now - MM_SUSPECTS_CALM_MS, now)
             >= MM_SUSPECTS_MASS)
    return MM_SUSPECT_WAIT;
  return h.crashes + h.open ? MM_SUSPECT_ISOLATE : MM_SUSPECT_RUN;
}

bool
mm_suspect_may_run (mm_suspect_action a, uint32_t n_isolated)
{
  return a == MM_SUSPECT_RUN || (a == MM_SUSPECT_ISOLATE && n_isolated == 0);
}

uint32_t
mm_suspects_count_crashes (const mm_suspects *s, const mm_task_id *task)
{
  return read_history (s, mm_task_hash (task)).crashes;
}

char *
mm_suspects_crashed_names (const mm_suspects *s, const mm_task_id *task)
{
  GString *names = g_string_new (NULL);
  uint64_t hash = mm_task_hash (task);
  for (GList *node = s->losses->head; node; node = node->next)
    {
      const loss *l = node->data;
      if (l->verdict == MM_LOSS_CRASHED && has_task (l, hash))
        g_string_append_printf (names, "%s%s", names->len ? ", " : "",
                                l->upstream);
    }
  return g_string_free (names, FALSE);
}

size_t
mm_suspects_count (const mm_suspects *s)
{
  size_t n = 0;
  for (GList *l = s->losses->head; l; l = l->next)
    n += ((loss *)l->data)->verdict != MM_LOSS_ALIVE;
  return n;
}

void
mm_suspects_foreach (const mm_suspects *s, mm_suspects_changed each, void *ctx)
{
  for (GList *l = s->losses->head; l; l = l->next)
    {
      mm_loss view = view_of (l->data);
      each (ctx, &view);
    }
}

void
mm_suspects_tick (mm_suspects *s)
{
  bool removed = false;
  GList *next;
  for (GList *node = s->losses->head; node; node = next)
    {
      next = node->next;
      loss *l = node->data;
      if (!is_expired (l->verdict, l->verdict_ms))
        continue;
      loss_free (l);
      g_queue_delete_link (s->losses, node);
      removed = true;
    }
  if (removed)
    rebuild_hashes (s);
}
