/* mm_explain: sorts the log lines of a job by time and names the cause of its
   outcome.

   Besides the lines of the job, the report has context lines: those that the
   instances logged while the job was open, or shortly before, about
   themselves and about the upstreams and instances that the job's lines
   name.  */
#include "mm_explain_priv.h"

#include "config.h"

#include <cJSON.h>
#include <string.h>

static void
line_free (gpointer p)
{
  mm_explain_line *l = p;
  cJSON_Delete (l->fields);
  g_free (l->source);
  g_free (l);
}

mm_explain *
mm_explain_create (const char *job_id)
{
  mm_explain *x = g_new0 (mm_explain, 1);
  x->job = g_strdup (job_id);
  x->lines = g_ptr_array_new_with_free_func (line_free);
  x->instances
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return x;
}

void
mm_explain_destroy (mm_explain *x)
{
  if (!x)
    return;
  g_ptr_array_free (x->lines, TRUE);
  g_hash_table_destroy (x->instances);
  g_free (x->job);
  g_free (x);
}

const char *
mm_explain_text (const mm_explain_line *l, const char *name)
{
  const char *t = cJSON_GetStringValue (
      cJSON_GetObjectItemCaseSensitive (l->fields, name));
  return t ? t : "";
}

long long
mm_explain_number (const mm_explain_line *l, const char *name,
                   long long otherwise)
{
  const cJSON *f = cJSON_GetObjectItemCaseSensitive (l->fields, name);
  return cJSON_IsNumber (f) ? (long long)f->valuedouble : otherwise;
}

bool
mm_explain_is (const mm_explain_line *l, const char *event)
{
  return strcmp (mm_explain_text (l, "event"), event) == 0;
}

const char *
mm_explain_instance (const mm_explain *x, const mm_explain_line *l)
{
  const char *instance = g_hash_table_lookup (x->instances, l->source);
  return instance ? instance : l->source;
}

/* Returns whether the line is of an event that can explain the outcome of a
   job without having its id.  */
static bool
may_be_context (const mm_explain_line *l)
{
  static const char *const events[] = { "stalled",
                                        "loop_gap",
                                        "stopping",
                                        "stopped",
                                        "started",
                                        "peer_lost",
                                        "sender_lost",
                                        "upstream_fenced",
                                        "upstream_suspect",
                                        "upstream_excluded",
                                        "upstream_gone",
                                        "upstream_lost",
                                        "upstream_restarted",
                                        "store_lost",
                                        "group_changed",
                                        "jobs_fenced",
                                        "jobs_loaded",
                                        "jobs_handed_over",
                                        "config_applied",
                                        "upstream_listed" };
  for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
    if (mm_explain_is (l, events[i]))
      return true;
  return false;
}

/**
 * mm_explain_add() - read a log line.
 * @x: the report.
 * @source: name of the log that has the line; each instance has one log.
 * @text: the line; anything before its first '{' is ignored.
 *
 * A line that is not JSON or says nothing about the job is ignored.
 */
void
mm_explain_add (mm_explain *x, const char *source, const char *text)
{
  const char *brace = strchr (text, '{');
  cJSON *fields = brace ? cJSON_Parse (brace) : NULL;
  mm_explain_line *l = g_new0 (mm_explain_line, 1);
  l->fields = fields;
  l->source = g_strdup (source);
  l->ts_ms = mm_explain_number (l, "ts_ms", 0);
  l->order = x->lines->len;
  l->own = strcmp (mm_explain_text (l, "job"), x->job) == 0;
  if (mm_explain_is (l, "started"))
    g_hash_table_replace (x->instances, g_strdup (source),
                          g_strdup (mm_explain_text (l, "instance")));
  if (fields && (l->own || may_be_context (l)))
    g_ptr_array_add (x->lines, l);
  else
    line_free (l);
}

/* Returns whether the line has the outcome of a job: "job_answered" of one
   whose caller waited, "kept_over" of a kept job.  */
static bool
is_outcome (const mm_explain_line *l)
{
  return mm_explain_is (l, "job_answered") || mm_explain_is (l, "kept_over");
}

/* Orders lines by time.  */
static gint
by_time (gconstpointer a, gconstpointer b)
{
  const mm_explain_line *x = *(mm_explain_line *const *)a,
                        *y = *(mm_explain_line *const *)b;
  if (x->ts_ms != y->ts_ms)
    return x->ts_ms < y->ts_ms ? -1 : 1;
  /* At equal times, outcomes come after the lines of their causes.  */
  bool x_answers = is_outcome (x);
  bool y_answers = is_outcome (y);
  if (x_answers != y_answers)
    return x_answers ? 1 : -1;
  return x->order < y->order ? -1 : x->order > y->order;
}

/* What selects the context lines of a job.  Texts in the sets belong to the
   lines.  */
typedef struct
{
  mm_time_ms from_ms; /* time of the job's first line, G_MAXINT64: no line */
  mm_time_ms to_ms;   /* time of the job's last line */
  GHashTable *names;  /* set: upstreams and owners that the job's lines name */
  GHashTable *sources; /* set: logs that have lines of the job */
} scope;

/* Returns the scope of the lines that were added; the caller destroys both
   sets.  */
static scope
scope_of (const mm_explain *x)
{
  scope s = { .from_ms = G_MAXINT64,
              .names = g_hash_table_new (g_str_hash, g_str_equal),
              .sources = g_hash_table_new (g_str_hash, g_str_equal) };
  for (guint i = 0; i < x->lines->len; i++)
    {
      mm_explain_line *l = x->lines->pdata[i];
      if (!l->own)
        continue;
      s.from_ms = MIN (s.from_ms, l->ts_ms);
      s.to_ms = MAX (s.to_ms, l->ts_ms);
      g_hash_table_add (s.sources, l->source);
      g_hash_table_add (s.names, (gpointer)mm_explain_text (l, "upstream"));
      g_hash_table_add (s.names, (gpointer)mm_explain_text (l, "owner"));
    }
  g_hash_table_remove (s.names, "");
  return s;
}

/* Returns whether the line is of the job or of its context.  A context line
   was logged at most MM_EXPLAIN_BEFORE_MS before the job's first line and not
   after its last one.  If it names an upstream or a peer, a line of the job
   must name that too; any other line must be in a log that has lines of the
   job.  */
static bool
in_scope (const scope *s, const mm_explain_line *l)
{
  if (l->own)
    return true;
  if (l->ts_ms < s->from_ms - MM_EXPLAIN_BEFORE_MS || l->ts_ms > s->to_ms)
    return false;
  const char *upstream = mm_explain_text (l, "upstream"),
             *peer = mm_explain_text (l, "peer");
  if (*upstream || *peer)
    return g_hash_table_contains (s->names, *upstream ? upstream : peer);
  return g_hash_table_contains (s->sources, l->source);
}

/* Appends the fields of a line as NAME=VALUE, without the time, the event and
   the id of the job, which are shown apart, and without nulls.  */
static void
append_fields (GString *out, const mm_explain_line *l)
{
  const cJSON *f;
  cJSON_ArrayForEach (f, l->fields)
    {
      if (strcmp (f->string, "ts_ms") == 0 || strcmp (f->string, "event") == 0
          || (l->own && strcmp (f->string, "job") == 0))
        continue;
      if (cJSON_IsString (f))
        g_string_append_printf (out, " %s=%s", f->string, f->valuestring);
      else if (cJSON_IsNumber (f))
        g_string_append_printf (out, " %s=%lld", f->string,
                                (long long)f->valuedouble);
    }
}

/* Appends a line: its time after @from_ms, its instance, event and fields.  */
static void
append_line (const mm_explain *x, GString *out, const mm_explain_line *l,
             mm_time_ms from_ms)
{
  g_string_append_printf (
      out, "%+8lld ms  %-20s %-22s", (long long)(l->ts_ms - from_ms),
      mm_explain_instance (x, l), mm_explain_text (l, "event"));
  append_fields (out, l);
  g_string_append_c (out, '\n');
}

/* Returns the job's last line of @event before the index @end_line, or NULL.
   Unless @field is NULL, that field must have the text @value.  */
static const mm_explain_line *
last_own (const mm_explain *x, guint end_line, const char *event,
          const char *field, const char *value)
{
  for (guint i = end_line; i-- > 0;)
    {
      const mm_explain_line *l = x->lines->pdata[i];
      if (l->own && mm_explain_is (l, event)
          && (!field || strcmp (mm_explain_text (l, field), value) == 0))
        return l;
    }
  return NULL;
}

/* Returns the line that names the owner to which the task was last bound, by
   its dispatch or by an accepted offer, or NULL.  */
static const mm_explain_line *
last_binding (const mm_explain *x, guint end_line, const char *task)
{
  const mm_explain_line *sent
      = last_own (x, end_line, "task_handed", "task", task);
  const mm_explain_line *accepted
      = last_own (x, end_line, "task_offer_accepted", "task", task);
  return sent && (!accepted || sent->ts_ms > accepted->ts_ms) ? sent
                                                              : accepted;
}

/* Returns the first context line of @event, or NULL.  Unless @field is NULL,
   that field must have the text @value.  */
static const mm_explain_line *
first_context (const mm_explain *x, const scope *s, const char *event,
               const char *field, const char *value)
{
  for (guint i = 0; i < x->lines->len; i++)
    {
      const mm_explain_line *l = x->lines->pdata[i];
      if (!l->own && in_scope (s, l) && mm_explain_is (l, event)
          && (!field || strcmp (mm_explain_text (l, field), value) == 0))
        return l;
    }
  return NULL;
}

/* Appends why the job was refused, from its line of "job_refused".  */
static void
cause_of_refusal (GString *out, const mm_explain_line *l)
{
  g_string_append_printf (
      out,
      "refused: %s. Its %lld tasks found %lld of %lld places free and %lld "
      "tasks waiting; the last would have waited about %lld ms, and had "
      "%lld ms to spare. Nothing of it ran.",
      mm_explain_text (l, "why"), mm_explain_number (l, "tasks", 0),
      mm_explain_number (l, "free", 0), mm_explain_number (l, "places", 0),
      mm_explain_number (l, "waiting", 0), mm_explain_number (l, "wait_ms", 0),
      mm_explain_number (l, "slack_ms", 0));
}

/* Appends why the outcome of the job is unknown.  Possible causes, in the
   order in which they are tried: the owner of the task in doubt was lost, the
   instance of the caller was stalled, another instance took an upstream over,
   the reason that was logged with the task.  */
static void
cause_of_unknown_outcome (const mm_explain *x, const scope *s, guint end_line,
                          GString *out)
{
  const mm_explain_line *failed
      = last_own (x, end_line, "task_failed", "how", "unknown");
  const mm_explain_line *dispatched
      = failed ? last_binding (x, end_line, mm_explain_text (failed, "task"))
               : NULL;
  const mm_explain_line *peer
      = dispatched ? first_context (x, s, "peer_lost", "peer",
                                    mm_explain_text (dispatched, "owner"))
                   : NULL;
  const mm_explain_line *fenced
      = first_context (x, s, "upstream_fenced", NULL, NULL);
  const mm_explain_line *stalled = first_context (x, s, "stalled", NULL, NULL);
  g_string_append (out, "its outcome was out of sight: ");
  if (peer)
    g_string_append_printf (
        out, "instance %s, which ran task %s, was lost (%s)",
        mm_explain_text (peer, "peer"), mm_explain_text (failed, "task"),
        mm_explain_text (peer, "why"));
  else if (stalled)
    g_string_append_printf (out, "its instance was stalled for %lld ms",
                            mm_explain_number (stalled, "gap_ms", 0));
  else if (fenced)
    g_string_append_printf (out, "another instance took over upstream %s",
                            mm_explain_text (fenced, "upstream"));
  else
    g_string_append (out, failed ? mm_explain_text (failed, "why")
                                 : "no log line has the reason");
  g_string_append (out, ". Its caller was told to send it again; what ran "
                        "of it is stopped or lapses within a second.");
}

/* Appends why the job failed: a poison task, or the last task that failed
   before the index @end_line.  */
static void
cause_of_failure (const mm_explain *x, const scope *s, guint end_line,
                  GString *out)
{
  const mm_explain_line *given_up
      = last_own (x, end_line, "task_given_up", NULL, NULL);
  if (given_up)
    {
      g_string_append_printf (
          out,
          "%lld upstreams crashed under its task %s, which is run no more: "
          "%s. Sent again it fails at once.",
          mm_explain_number (given_up, "crashes", 0),
          mm_explain_text (given_up, "task"),
          mm_explain_text (given_up, "upstreams"));
      return;
    }
  const mm_explain_line *failed
      = last_own (x, end_line, "task_failed", "how", "failed");
  if (!failed)
    {
      g_string_append (out, "failed; the logs have no line of a failed task.");
      return;
    }
  g_string_append_printf (out,
                          "task %s failed in every attempt, last on "
                          "upstream %s",
                          mm_explain_text (failed, "task"),
                          mm_explain_text (failed, "upstream"));
  const mm_explain_line *excluded
      = first_context (x, s, "upstream_excluded", NULL, NULL);
  if (excluded)
    g_string_append_printf (
        out, ". Upstream %s failed %lld tasks in a row, with good reports",
        mm_explain_text (excluded, "upstream"),
        mm_explain_number (excluded, "failures", 0));
  else
    g_string_append (out, ". No upstream was excluded for failures then: the "
                          "task itself is likely at fault");
  g_string_append_c (out, '.');
}

/* Appends how long the job took, by the answer at the index @end_line, and how
   many runs of its tasks failed before.  */
static void
cause_of_success (const mm_explain *x, guint end_line, GString *out)
{
  const mm_explain_line *answered = x->lines->pdata[end_line];
  g_string_append_printf (out, "completed after %lld ms",
                          mm_explain_number (answered, "took_ms", 0));
  guint repeated = 0;
  for (guint i = 0; i < end_line; i++)
    {
      const mm_explain_line *l = x->lines->pdata[i];
      repeated += l->own && mm_explain_is (l, "task_failed");
    }
  if (repeated)
    g_string_append_printf (out, "; %u runs of its tasks were repeated",
                            repeated);
  g_string_append_c (out, '.');
}

/* Appends the cause of the outcome in the line at the index @answer_line.  */
static void
cause_of_answer (const mm_explain *x, const scope *s, guint answer_line,
                 GString *out)
{
  const mm_explain_line *l = x->lines->pdata[answer_line];
  const char *outcome = mm_explain_text (l, "outcome");
  if (strcmp (outcome, "completed") == 0)
    cause_of_success (x, answer_line, out);
  else if (strcmp (outcome, "unknown") == 0)
    cause_of_unknown_outcome (x, s, answer_line, out);
  else if (strcmp (outcome, "failed") == 0)
    cause_of_failure (x, s, answer_line, out);
  else
    g_string_append_printf (out, "%s after %lld ms: %s.", outcome,
                            mm_explain_number (l, "took_ms", 0),
                            mm_explain_text (l, "why"));
}

/* Appends one cause for each answer or refusal of the job and each caller that
   left.  There may be several, as the job may have been sent repeatedly.  */
static void
append_causes (const mm_explain *x, const scope *s, GString *out)
{
  bool any = false;
  for (guint i = 0; i < x->lines->len; i++)
    {
      const mm_explain_line *l = x->lines->pdata[i];
      bool answered = l->own && is_outcome (l);
      bool refused = l->own && mm_explain_is (l, "job_refused");
      bool caller_left = l->own && mm_explain_is (l, "job_caller_left");
      bool kept_unaccepted = l->own
                             && (mm_explain_is (l, "kept_refused")
                                 || mm_explain_is (l, "kept_unsure"));
      if (!answered && !refused && !caller_left && !kept_unaccepted)
        continue;
      any = true;
      g_string_append (out, "cause: ");
      if (answered)
        cause_of_answer (x, s, i, out);
      else if (refused)
        cause_of_refusal (out, l);
      else if (kept_unaccepted)
        g_string_append_printf (
            out, "%s: %s.",
            mm_explain_is (l, "kept_refused")
                ? "refused, nothing was done"
                : "its caller was told to send it again, as it "
                  "is not known whether it was stored",
            mm_explain_text (l, "why"));
      else
        g_string_append_printf (out, "its caller left after %lld ms.",
                                mm_explain_number (l, "took_ms", 0));
      g_string_append_c (out, '\n');
    }
  if (!any)
    g_string_append (out, "cause: no answer was logged: its instance died "
                          "first, or the log of that instance is missing.\n");
}

/**
 * mm_explain_report() - format the report on the job.
 * @x: the report, after all lines were added.
 *
 * Return: the lines in order of time, then the runs of tasks that were started
 * more than once, then the causes of the job's answers;
 * free with g_free().  NULL when no line has the id of the job.
 */
char *
mm_explain_report (mm_explain *x)
{
  g_ptr_array_sort (x->lines, by_time);
  scope s = scope_of (x);
  GString *out = g_string_new (NULL);
  if (s.from_ms <= s.to_ms)
    {
      g_string_append_printf (out, "job %s\n", x->job);
      for (guint i = 0; i < x->lines->len; i++)
        if (in_scope (&s, x->lines->pdata[i]))
          append_line (x, out, x->lines->pdata[i], s.from_ms);
      mm_explain_append_runs (x, out, s.from_ms);
      append_causes (x, &s, out);
    }
  g_hash_table_destroy (s.names);
  g_hash_table_destroy (s.sources);
  bool found = out->len > 0;
  char *text = g_string_free (out, FALSE);
  if (!found)
    g_clear_pointer (&text, g_free);
  return text;
}
