/* mm_explain_runs: for each task that was started more than once, its runs,
   on what word each was taken for ended, and whether they overlap.

   A run is known by its upstream and its number there.  It may have several
   owners, one after the other.  */
#include "mm_explain_priv.h"

#include "config.h"

#include <string.h>

/* What shows the end of a run.  */
typedef enum
{
  SHOWN_BY_NOTHING,
  SHOWN_BY_LEASE,   /* it ends with its lease at the latest */
  SHOWN_BY_ABSENCE, /* the upstream lists it no more, or has restarted */
  SHOWN_BY_LIST,    /* the upstream lists its end */
  SHOWN_BY_REFUSAL  /* it never ran */
} end_kind;

/* A run of a task.  The texts belong to the lines.  */
typedef struct
{
  const char *task;
  const char *upstream;
  const char *instance; /* whose line shows it first */
  const char *how;      /* it is known: "started", "found" or another */
  long long number;
  long long fence;         /* -1: no line has it */
  mm_time_ms start_ms;     /* when its start was ordered, or it was found */
  mm_time_ms lease_end_ms; /* last known end of its lease, 0: none */
  mm_time_ms confirmed_ms; /* when it was last known to run, 0: never */
  const mm_explain_line *next; /* the last owner that found or adopted it */
  const mm_explain_line *end;  /* what shows its end, or NULL */
  end_kind shown_by;
  mm_time_ms end_ms; /* when it had ended at the latest, 0: not known */
} run;

/* Returns the last run with this number of the task and upstream that the line
   names, or NULL.  @number: 0 for any.  */
static run *
run_of (GPtrArray *runs, const mm_explain_line *l, long long number)
{
  for (guint i = runs->len; i-- > 0;)
    {
      run *r = runs->pdata[i];
      if (strcmp (r->task, mm_explain_text (l, "task")) == 0
          && strcmp (r->upstream, mm_explain_text (l, "upstream")) == 0
          && (!number || r->number == number))
        return r;
    }
  return NULL;
}

static run *
add_run (const mm_explain *x, GPtrArray *runs, const mm_explain_line *l,
         const char *how)
{
  run *r = g_new0 (run, 1);
  r->task = mm_explain_text (l, "task");
  r->upstream = mm_explain_text (l, "upstream");
  r->instance = mm_explain_instance (x, l);
  r->how = how;
  r->number = mm_explain_number (l, "run", 0);
  r->fence = mm_explain_number (l, "fence", -1);
  r->start_ms = l->ts_ms;
  g_ptr_array_add (runs, r);
  return r;
}

/* Reads until when the lease of a run lasts, if the line has that.  */
static void
read_lease (run *r, const mm_explain_line *l)
{
  long long left_ms = mm_explain_number (l, "lease_ms", G_MAXINT64);
  if (left_ms != G_MAXINT64)
    r->lease_end_ms = MAX (r->lease_end_ms, l->ts_ms + left_ms);
}

/* The word that shows the earliest end holds.  */
static void
set_end (run *r, const mm_explain_line *l, end_kind kind, mm_time_ms end_ms)
{
  if (r->end && r->end_ms <= end_ms)
    return;
  r->end = l;
  r->shown_by = kind;
  r->end_ms = end_ms;
}

/* Reads the line "task_run_over" of the run's owner.  */
static void
read_over (run *r, const mm_explain_line *l)
{
  const char *how = mm_explain_text (l, "how");
  const char *why = mm_explain_text (l, "why");
  long long confirmed_ms = mm_explain_number (l, "confirmed_ms", -1);
  read_lease (r, l);
  if (confirmed_ms >= 0)
    r->confirmed_ms = MAX (r->confirmed_ms, l->ts_ms - confirmed_ms);
  if (strcmp (why, "listed") == 0)
    set_end (r, l, SHOWN_BY_LIST, l->ts_ms);
  else if (strcmp (why, "lease expired out of contact") == 0)
    set_end (r, l, SHOWN_BY_LEASE, r->lease_end_ms);
  else if (strcmp (how, "unknown") == 0)
    /* Its lease may have been renewed until this limit.  */
    set_end (r, l, SHOWN_BY_LEASE,
             MAX (r->lease_end_ms, l->ts_ms + MM_RUN_LIMIT_MS));
  else if (strcmp (how, "not_run") == 0 && confirmed_ms < 0
           && !g_str_has_prefix (why, "start unanswered"))
    set_end (r, l, SHOWN_BY_REFUSAL, l->ts_ms);
  else
    set_end (r, l, SHOWN_BY_ABSENCE, l->ts_ms);
}

/* Reads a line that shows a run on.  The list that shows it may be older than
   an earlier word on its end; otherwise that word was wrong.  */
static void
read_next_owner (run *r, const mm_explain_line *l)
{
  long long lists_ms = mm_explain_number (l, "lists_ms", -1);
  r->next = l;
  if (lists_ms < 0)
    return;
  r->confirmed_ms = MAX (r->confirmed_ms, l->ts_ms - lists_ms);
  if (r->confirmed_ms <= r->end_ms)
    return;
  r->end = NULL;
  r->shown_by = SHOWN_BY_NOTHING;
  r->end_ms = 0;
}

/* Reads a line that names a run which no earlier line has.  */
static run *
read_unknown (const mm_explain *x, GPtrArray *runs, const mm_explain_line *l)
{
  if (mm_explain_is (l, "task_foreign") || mm_explain_is (l, "task_adopted"))
    return add_run (x, runs, l, "found");
  if (!mm_explain_is (l, "task_run_over"))
    return NULL;
  run *r = add_run (x, runs, l, "started");
  r->start_ms -= MAX (mm_explain_number (l, "ordered_ms", 0), 0);
  return r;
}

/* A start that was refused because of an older run is sent again with twice
   the number.  */
static void
read_resolved (GPtrArray *runs, const mm_explain_line *l)
{
  long long number = mm_explain_number (l, "run", 0);
  run *r = run_of (runs, l, 0);
  if (r)
    r->number = MAX (r->number, number);
}

/* Reads a line that shows a run under another number than its owner has.  */
static void
read_other_run (const mm_explain *x, GPtrArray *runs, const mm_explain_line *l)
{
  long long number = mm_explain_number (l, "other_run", 0);
  run *r = run_of (runs, l, number);
  if (!r)
    {
      r = add_run (x, runs, l, "listed beside another run");
      r->number = number;
    }
  if (strcmp (mm_explain_text (l, "state"), "running") == 0)
    read_next_owner (r, l);
  else
    set_end (r, l, SHOWN_BY_LIST, l->ts_ms);
}

/* Reads a line about a run.  */
static void
read_line (const mm_explain *x, GPtrArray *runs, const mm_explain_line *l)
{
  if (mm_explain_is (l, "task_started"))
    {
      read_lease (add_run (x, runs, l, "started"), l);
      return;
    }
  if (mm_explain_is (l, "task_start_resolved"))
    {
      read_resolved (runs, l);
      return;
    }
  if (mm_explain_is (l, "task_other_run"))
    {
      read_other_run (x, runs, l);
      return;
    }
  run *r = run_of (runs, l, mm_explain_number (l, "run", 0));
  bool known = r != NULL;
  if (!known)
    r = read_unknown (x, runs, l);
  if (!r)
    return;
  if (mm_explain_is (l, "task_run_over"))
    read_over (r, l);
  else if (known
           && (mm_explain_is (l, "task_foreign")
               || mm_explain_is (l, "task_adopted")))
    read_next_owner (r, l);
  else if (mm_explain_is (l, "task_stopped"))
    read_lease (r, l);
  else if (mm_explain_is (l, "task_ended")
           || (mm_explain_is (l, "task_failed")
               && strcmp (mm_explain_text (l, "why"), "listed") == 0))
    set_end (r, l, SHOWN_BY_LIST, l->ts_ms);
}

/* Orders runs by task, then by start.  */
static gint
by_start (gconstpointer a, gconstpointer b)
{
  const run *x = *(run *const *)a, *y = *(run *const *)b;
  int c = strcmp (x->task, y->task);
  return c ? c : x->start_ms < y->start_ms ? -1 : x->start_ms > y->start_ms;
}

/* Appends the age of the word on which the run was taken for ended.  */
static void
append_ages (GString *out, const mm_explain_line *l)
{
  long long confirmed_ms = mm_explain_number (l, "confirmed_ms", -1);
  long long lists_ms = mm_explain_number (l, "lists_ms", -1);
  long long lease_ms = mm_explain_number (l, "lease_ms", 0);
  if (confirmed_ms >= 0)
    g_string_append_printf (out, "; last confirmed %lld ms before",
                            confirmed_ms);
  else
    g_string_append (out, "; never confirmed");
  if (lists_ms >= 0)
    g_string_append_printf (out, "; last list asked for %lld ms before",
                            lists_ms);
  long long clock_ms = mm_explain_number (l, "clock_age_ms", -1);
  g_string_append_printf (out,
                          lease_ms >= 0 ? "; its lease lasts %lld ms more"
                                        : "; its lease ended %lld ms before",
                          ABS (lease_ms));
  if (clock_ms >= 0)
    g_string_append_printf (out, "; upstream's clock read %lld ms before",
                            clock_ms);
}

static void
append_run (const mm_explain *x, GString *out, const run *r, guint number,
            mm_time_ms from_ms)
{
  g_string_append_printf (
      out, "  run %u: %s %+lld ms by %s on upstream %s, number %lld, ", number,
      r->how, (long long)(r->start_ms - from_ms), r->instance, r->upstream,
      r->number);
  if (r->fence >= 0)
    g_string_append_printf (out, "fencing token %lld, ", r->fence);
  if (r->lease_end_ms)
    g_string_append_printf (out, "last known lease to %+lld ms\n",
                            (long long)(r->lease_end_ms - from_ms));
  else
    g_string_append (out, "lease not known\n");
  if (r->next)
    g_string_append_printf (
        out, "         %s %+lld ms by %s, fencing token %lld\n",
        mm_explain_is (r->next, "task_adopted") ? "adopted" : "found",
        (long long)(r->next->ts_ms - from_ms),
        mm_explain_instance (x, r->next),
        mm_explain_number (r->next, "fence", -1));
  if (!r->end)
    {
      g_string_append (out, "         no line shows its end\n");
      return;
    }
  const char *why = mm_explain_text (r->end, "why");
  g_string_append_printf (out, "         over %+lld ms by the word of %s: %s",
                          (long long)(r->end->ts_ms - from_ms),
                          mm_explain_instance (x, r->end),
                          *why ? why : "listed");
  const char *how = mm_explain_text (r->end, "how");
  g_string_append_printf (out, " (%s)", *how ? how : "done");
  if (mm_explain_is (r->end, "task_run_over"))
    append_ages (out, r->end);
  g_string_append_c (out, '\n');
}

/* Appends the last line before the start of @later that tells why its task was
   started again.  */
static void
append_reason (const mm_explain *x, GString *out, const run *earlier,
               const run *later)
{
  const mm_explain_line *last = NULL;
  for (guint i = 0; i < x->lines->len; i++)
    {
      const mm_explain_line *l = x->lines->pdata[i];
      if (l->own && l->ts_ms >= earlier->start_ms
          && l->ts_ms <= later->start_ms
          && ((mm_explain_is (l, "task_failed")
               && strcmp (mm_explain_text (l, "task"), later->task) == 0)
              || mm_explain_is (l, "job_accepted")
              || mm_explain_is (l, "job_caller_left")))
        last = l;
    }
  if (!last)
    {
      g_string_append (out, "         no line tells why it was started\n");
      return;
    }
  g_string_append_printf (out, "         after %s at %s %lld ms before",
                          mm_explain_text (last, "event"),
                          mm_explain_instance (x, last),
                          (long long)(later->start_ms - last->ts_ms));
  if (mm_explain_is (last, "task_failed"))
    g_string_append_printf (out, " (%s, %s)", mm_explain_text (last, "how"),
                            mm_explain_text (last, "why"));
  g_string_append_c (out, '\n');
}

/* Returns whether the run @a had surely ended when @b was started.  */
static bool
are_apart (const run *a, const run *b)
{
  return a->shown_by == SHOWN_BY_REFUSAL
         || (a->end_ms && a->end_ms <= b->start_ms);
}

/* Returns on what the verdict rests that a run had ended.  */
static const char *
ending_word (const run *r)
{
  return r->shown_by == SHOWN_BY_LEASE     ? " by its lease"
         : r->shown_by == SHOWN_BY_ABSENCE ? " by that word"
                                           : "";
}

/* Appends for how long the runs @a and @b overlap.  @a was started first and
   had not surely ended when @b was started.  */
static void
append_overlap (GString *out, const run *a, guint i, const run *b)
{
  mm_time_ms until_ms = a->end_ms ? a->end_ms : G_MAXINT64;
  if (b->end_ms)
    until_ms = MIN (until_ms, b->end_ms);
  long long most_ms = (long long)(until_ms - b->start_ms);
  long long least_ms
      = (long long)(MIN (a->confirmed_ms, until_ms) - b->start_ms);
  if (least_ms > 0)
    g_string_append_printf (out,
                            "overlap for %lld ms at least: an answer shows "
                            "that run %u went on after the second start",
                            least_ms, i);
  else if (!a->end)
    g_string_append_printf (out,
                            "may overlap: no line shows that run %u had ended "
                            "before the second start",
                            i);
  else
    g_string_append_printf (out,
                            "may overlap for up to %lld ms: run %u had not "
                            "surely ended at the second start",
                            most_ms, i);
}

/* Appends whether the runs @a and @b overlap, numbered @i and @j.  @a was
   started first.  */
static void
append_verdict (GString *out, const run *a, guint i, const run *b, guint j)
{
  g_string_append_printf (out, "  runs %u and %u ", i, j);
  if (a->shown_by == SHOWN_BY_REFUSAL || b->shown_by == SHOWN_BY_REFUSAL)
    g_string_append_printf (out, "do not overlap: run %u never ran",
                            a->shown_by == SHOWN_BY_REFUSAL ? i : j);
  else if (are_apart (a, b))
    g_string_append_printf (
        out, "do not overlap%s: run %u had ended %lld ms before that start",
        ending_word (a), i, (long long)(b->start_ms - a->end_ms));
  else if (strcmp (a->upstream, b->upstream) == 0 && a->number == b->number)
    g_string_append (out, "are one run: the upstream starts a number once");
  else
    append_overlap (out, a, i, b);
  if (strcmp (a->instance, b->instance) != 0)
    g_string_append (out, " (by the clocks of two instances)");
  g_string_append (out, ".\n");
}

/* Appends the runs @first to @end - 1, which are those of one task.  */
static void
append_task (const mm_explain *x, GString *out, const GPtrArray *runs,
             guint first, guint end, mm_time_ms from_ms)
{
  const run *const *r = (const run *const *)runs->pdata;
  g_string_append_printf (out, "task %s has %u runs:\n", r[first]->task,
                          end - first);
  for (guint i = first; i < end; i++)
    {
      append_run (x, out, r[i], i - first + 1, from_ms);
      if (i > first)
        append_reason (x, out, r[i - 1], r[i]);
    }
  for (guint j = first + 1; j < end; j++)
    for (guint i = first; i < j; i++)
      if (i + 1 == j || !are_apart (r[i], r[j]))
        append_verdict (out, r[i], i - first + 1, r[j], j - first + 1);
}

void
mm_explain_append_runs (const mm_explain *x, GString *out, mm_time_ms from_ms)
{
  GPtrArray *runs = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < x->lines->len; i++)
    {
      const mm_explain_line *l = x->lines->pdata[i];
      if (l->own && *mm_explain_text (l, "task"))
        read_line (x, runs, l);
    }
  g_ptr_array_sort (runs, by_start);
  guint end;
  for (guint first = 0; first < runs->len; first = end)
    {
      const run *r = runs->pdata[first];
      for (end = first + 1; end < runs->len; end++)
        if (strcmp (((const run *)runs->pdata[end])->task, r->task) != 0)
          break;
      if (end - first > 1)
        append_task (x, out, runs, first, end, from_ms);
    }
  g_ptr_array_free (runs, TRUE);
}
