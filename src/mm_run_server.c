/* mm_run_server: runs under leases, with simulated faults.

   Faults (POST /v1/run-faults, each kept until it is used up or changed):
   lose_starts / lose_stops / lose_holds: number of the next calls that are
   neither carried out nor answered;
   late_ms: delay after which a lost start is carried out after all, 0: never;
   fails: each task fails; hangs: no task ends; refuses: starts are refused;
   slow_percent: run time in percent of the requested one;
   silent: no call is carried out or answered;
   mute: calls are carried out, but not answered.

   Capacity (POST /v1/capacity): cpu_milli and mem_mb, in the upstream list
   from the next heartbeat on; grace_ms: time for which dispatchers may still
   assume the previous capacity.  A start counts as over capacity only if it
   exceeds the current capacity and each one that may still be assumed.  */
#include "mm_run_server.h"

#include "config.h"
#include "mm_run_json.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Header with the name of the incarnation that a caller addresses.  */
#define UPSTREAM_HEADER "X-Masticmill-Upstream"

/* Simulated faults of calls.  A lost call is neither carried out nor
   answered.  */
typedef struct
{
  int64_t lose_starts;   /* number of the next starts that are lost */
  int64_t lose_stops;    /* number of the next stops that are lost */
  int64_t lose_holds;    /* number of the next holds that are lost */
  int64_t late_start_ms; /* delay of lost starts, 0: never carried out */
  bool unresponsive;     /* no call is carried out or answered */
  bool loses_answers;    /* calls are carried out, but not answered */
} call_faults;

/* A hold that is answered when a run ends, at answer_by_ms at the latest.  */
typedef struct
{
  mm_http_request *req;
  mm_time_ms answer_by_ms;
} waiting_hold;

/* A lost start that is carried out at start_ms.  */
typedef struct
{
  cJSON *order;
  mm_time_ms start_ms;
} late_start;

/* A previous capacity that dispatchers may still assume.  */
typedef struct
{
  mm_resources capacity;
  mm_time_ms assumed_until_ms;
} past_capacity;

struct mm_run_server
{
  struct ev_loop *loop;
  ev_timer tick;
  char *name;            /* name of the incarnation */
  mm_resources capacity; /* capacity in the upstream list */
  mm_run_table *table;
  int log_fd;      /* -1 for none */
  size_t n_logged; /* number of ended runs in the log */
  mm_run_mode mode;
  call_faults faults;
  GList *holds;       /* waiting_hold */
  GList *late_starts; /* late_start */
  mm_run_server_poison poison;
  mm_time_ms crash_at_ms;  /* 0: no crash is due */
  GArray *past_capacities; /* past_capacity */
  mm_time_ms last_tick_ms;
  int64_t last_tick_cpu_us; /* processor time that the process had used */
};

static void tick_cb (struct ev_loop *loop, ev_timer *w, int revents);

/* Returns the processor time that this process has used.  */
static int64_t
cpu_time_us (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (int64_t)ts.tv_sec * G_USEC_PER_SEC + ts.tv_nsec / 1000;
}

/**
 * mm_run_server_create() - start the run server of an upstream stand-in.
 * @loop: event loop.
 * @name: name of the upstream; the name of the incarnation is made of it and
 *        of the start time.
 * @capacity: total capacity of the upstream; copied.
 * @log_file: takes a JSON line for each start and end as it happens, so that
 *            the lines up to then survive when the stand-in is killed; "" for
 *            none.
 *
 * Return: the run server; free with mm_run_server_destroy().
 */
mm_run_server *
mm_run_server_create (struct ev_loop *loop, const char *name,
                      const mm_resources *capacity, const char *log_file)
{
  mm_run_server *s = g_new0 (mm_run_server, 1);
  s->loop = loop;
  s->name = g_strdup_printf ("%s.%" G_GINT64_MODIFIER "x", name,
                             mm_clock_wall_ms ());
  s->capacity = *capacity;
  s->table = mm_run_table_create (capacity, false, MM_LEASE_MS);
  s->past_capacities = g_array_new (FALSE, FALSE, sizeof (past_capacity));
  s->last_tick_ms = mm_clock_now_ms ();
  s->last_tick_cpu_us = cpu_time_us ();
  s->log_fd = -1;
  if (*log_file)
    s->log_fd
        = open (log_file, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  ev_timer_init (&s->tick, tick_cb, MM_RUN_SERVER_TICK_MS / 1000.,
                 MM_RUN_SERVER_TICK_MS / 1000.);
  s->tick.data = s;
  ev_timer_start (loop, &s->tick);
  return s;
}

void
mm_run_server_set_poison (mm_run_server *s, const mm_run_server_poison *p)
{
  s->poison = *p;
}

static void
late_start_free (gpointer p)
{
  cJSON_Delete (((late_start *)p)->order);
  g_free (p);
}

void
mm_run_server_destroy (mm_run_server *s)
{
  if (!s)
    return;
  ev_timer_stop (s->loop, &s->tick);
  g_list_free_full (s->holds, g_free);
  g_list_free_full (s->late_starts, late_start_free);
  mm_run_table_destroy (s->table);
  g_array_free (s->past_capacities, TRUE);
  if (s->log_fd >= 0)
    close (s->log_fd);
  g_free (s->name);
  g_free (s);
}

/* Answers with a JSON object, which is freed, and adds the time on the
   stand-in's clock to it.  */
static void
reply (mm_http_request *req, unsigned status, cJSON *body)
{
  cJSON_AddNumberToObject (body, "clock_ms", (double)mm_clock_now_ms ());
  char *text = cJSON_PrintUnformatted (body);
  mm_http_reply (req, status, text, 0);
  free (text);
  cJSON_Delete (body);
}

static void
reply_verdict (mm_run_server *s, mm_http_request *req, mm_call_verdict v)
{
  cJSON *b = cJSON_CreateObject ();
  cJSON_AddStringToObject (b, "verdict", mm_call_verdict_name (v));
  reply (req, v == MM_CALL_OK ? 200 : 409, b);
}

/* Ends a request that was left unanswered: its caller has closed the
   connection and does not receive this answer.  */
static void
on_caller_left (void *ctx)
{
  mm_http_reply (ctx, 503, "{}", 0);
}

/* Leaves a request unanswered until its caller closes the connection.  */
static void
leave_unanswered (mm_http_request *req)
{
  mm_http_request_on_close (req, on_caller_left, req);
}

/* Appends a line to the run log, if there is one.  */
static void
log_line (mm_run_server *s, mm_time_ms at_ms, const char *event,
          const mm_task_id *task, uint32_t number, const char *how)
{
  if (s->log_fd < 0)
    return;
  char line[256];
  int n = g_snprintf (line, sizeof line,
                      "{\"ms\":%" G_GINT64_FORMAT ",\"event\":\"%s\","
                      "\"task\":\"%s/%u.%u\",\"run\":%u,\"how\":\"%s\"}\n",
                      at_ms, event, task->job, task->step, task->index, number,
                      how);
  if (write (s->log_fd, line, (size_t)n) != n)
    g_warning ("cannot write to the run log: %s", strerror (errno));
}

/* Logs the ends that are not in the run log yet.  */
static void
log_ends (mm_run_server *s)
{
  size_t n;
  const mm_ended_run *p = mm_run_table_ended_runs (s->table, &n);
  for (; s->n_logged < n; s->n_logged++)
    /* The table's time of the end is logged: with the current time a run
       would seem to overlap its successor.  */
    log_line (s, p[s->n_logged].ended_ms, "end", &p[s->n_logged].task,
              p[s->n_logged].number, mm_end_name (p[s->n_logged].how));
}

/* Schedules a crash if @task belongs to a poison job, unless a crash is due
   already.  */
static void
schedule_crash (mm_run_server *s, const mm_task_id *task, mm_time_ms now)
{
  if (!s->poison.crash || !*s->poison.job_prefix || s->crash_at_ms
      || !g_str_has_prefix (task->job, s->poison.job_prefix))
    return;
  s->crash_at_ms = now + s->poison.crash_delay_ms;
  g_message ("crashed by %s/%u.%u", task->job, task->step, task->index);
}

/* Carries out a start order and logs the start.  Return: the verdict.  */
static mm_call_verdict
start_run (mm_run_server *s, const cJSON *in)
{
  mm_order o;
  mm_task_id task;
  mm_run_work work;
  if (!mm_run_json_read_order (in, &o, &task))
    return MM_CALL_BAD;
  mm_run_json_read_work (o.payload, &work);
  uint32_t starts_before = mm_run_table_counts (s->table).starts;
  uint32_t over_before = mm_run_table_counts (s->table).over_capacity;
  mm_time_ms now = mm_clock_now_ms ();
  mm_call_verdict v
      = mm_run_table_start (s->table, &o, &work.resources, work.run_ms, now);
  log_ends (s);
  if (mm_run_table_counts (s->table).starts == starts_before)
    return v;
  log_line (s, now, "start", &task, o.run,
            mm_run_table_counts (s->table).over_capacity > over_before
                ? "over_capacity"
                : "fits");
  schedule_crash (s, &task, now);
  return v;
}

/* Returns whether this call is to be lost.  If so, @remaining, the number of
   calls still to be lost, is lowered by one.  */
static bool
lose_call (int64_t *remaining)
{
  if (*remaining <= 0)
    return false;
  (*remaining)--;
  return true;
}

/* Handles POST /v1/runs.  */
static void
on_start (mm_run_server *s, mm_http_request *req, cJSON *in)
{
  if (lose_call (&s->faults.lose_starts))
    {
      if (s->faults.late_start_ms)
        {
          late_start *l = g_new0 (late_start, 1);
          l->order = cJSON_Duplicate (in, true);
          l->start_ms = mm_clock_now_ms () + s->faults.late_start_ms;
          s->late_starts = g_list_prepend (s->late_starts, l);
        }
      leave_unanswered (req);
      return;
    }
  mm_call_verdict v = start_run (s, in);
  if (s->faults.loses_answers)
    leave_unanswered (req);
  else
    reply_verdict (s, req, v);
}

/* Handles POST /v1/runs/stop.  */
static void
on_stop (mm_run_server *s, mm_http_request *req, const cJSON *in)
{
  mm_order o;
  mm_task_id task;
  if (lose_call (&s->faults.lose_stops))
    {
      leave_unanswered (req);
      return;
    }
  mm_call_verdict v
      = mm_run_json_read_order (in, &o, &task)
            ? mm_run_table_stop (s->table, &o, mm_clock_now_ms ())
            : MM_CALL_BAD;
  if (s->faults.loses_answers)
    leave_unanswered (req);
  else
    reply_verdict (s, req, v);
}

/* Answers a hold with the running runs and the unacknowledged ends.  */
static void
reply_lists (mm_run_server *s, mm_http_request *req)
{
  mm_hold_result r = { 0 };
  mm_run_table_list (s->table, &r, mm_clock_now_ms ());
  reply (req, 200, mm_run_json_hold_result (&r));
}

/* Handles POST /v1/hold.  A hold with a wait_ms is answered at once if an end
   is unacknowledged, otherwise when a run ends or wait_ms has passed.  */
static void
on_hold (mm_run_server *s, mm_http_request *req, const cJSON *in)
{
  mm_hold h;
  if (lose_call (&s->faults.lose_holds))
    {
      leave_unanswered (req);
      return;
    }
  mm_time_ms now = mm_clock_now_ms ();
  mm_call_verdict v = mm_run_json_read_hold (in, &h)
                          ? mm_run_table_hold (s->table, &h, now)
                          : MM_CALL_BAD;
  if (s->faults.loses_answers)
    leave_unanswered (req);
  else if (v != MM_CALL_OK)
    reply_verdict (s, req, v);
  else if (mm_run_table_unacked_end_count (s->table) || h.wait_ms == 0)
    reply_lists (s, req);
  else
    {
      waiting_hold *w = g_new0 (waiting_hold, 1);
      w->req = req;
      w->answer_by_ms = now + MIN (h.wait_ms, MM_RUN_SERVER_MAX_WAIT_MS);
      s->holds = g_list_prepend (s->holds, w);
    }
}

/* Sets @out if the object has a boolean of that name.  */
static void
read_bool (const cJSON *in, const char *name, bool *out)
{
  const cJSON *f = cJSON_GetObjectItemCaseSensitive (in, name);
  if (cJSON_IsBool (f))
    *out = cJSON_IsTrue (f);
}

/* Sets @out if the object has a number of that name.  */
static void
read_number (const cJSON *in, const char *name, int64_t *out)
{
  const cJSON *f = cJSON_GetObjectItemCaseSensitive (in, name);
  if (cJSON_IsNumber (f))
    *out = (int64_t)f->valuedouble;
}

/* Handles POST /v1/run-faults: changes the faults that the body names.  */
static void
on_faults (mm_run_server *s, mm_http_request *req, const cJSON *in)
{
  call_faults *f = &s->faults;
  read_number (in, "lose_starts", &f->lose_starts);
  read_number (in, "lose_stops", &f->lose_stops);
  read_number (in, "lose_holds", &f->lose_holds);
  read_number (in, "late_ms", &f->late_start_ms);
  read_number (in, "slow_percent", &s->mode.slow_percent);
  read_bool (in, "silent", &f->unresponsive);
  read_bool (in, "mute", &f->loses_answers);
  read_bool (in, "fails", &s->mode.fails);
  read_bool (in, "hangs", &s->mode.hangs);
  read_bool (in, "refuses", &s->mode.refuses);
  mm_run_table_set_mode (s->table, s->mode);
  reply (req, 200, cJSON_CreateObject ());
}

/* Sets the capacity above which starts are counted as over capacity: the
   maximum of the current one and those that dispatchers may still assume.  */
static void
update_counted_capacity (mm_run_server *s, mm_time_ms now)
{
  mm_resources max_capacity = s->capacity;
  for (guint i = s->past_capacities->len; i-- > 0;)
    {
      const past_capacity *p
          = &g_array_index (s->past_capacities, past_capacity, i);
      if (now >= p->assumed_until_ms)
        {
          g_array_remove_index (s->past_capacities, i);
          continue;
        }
      max_capacity.cpu_milli
          = MAX (max_capacity.cpu_milli, p->capacity.cpu_milli);
      max_capacity.mem_mb = MAX (max_capacity.mem_mb, p->capacity.mem_mb);
    }
  mm_run_table_set_capacity (s->table, &max_capacity);
}

/* Handles POST /v1/capacity.  For grace_ms, starts that fit the previous
   capacity do not count as over capacity.  */
static void
on_capacity (mm_run_server *s, mm_http_request *req, const cJSON *in)
{
  past_capacity p = { .capacity = s->capacity };
  read_number (in, "grace_ms", &p.assumed_until_ms);
  p.assumed_until_ms += mm_clock_now_ms ();
  g_array_append_val (s->past_capacities, p);
  read_number (in, "cpu_milli", &s->capacity.cpu_milli);
  read_number (in, "mem_mb", &s->capacity.mem_mb);
  reply (req, 200, cJSON_CreateObject ());
}

/* Adds an ended run to the list of the run log.  */
static void
add_ended_run (cJSON *list, const mm_ended_run *p)
{
  cJSON *row = cJSON_CreateObject ();
  char *name
      = g_strdup_printf ("%s/%u.%u", p->task.job, p->task.step, p->task.index);
  cJSON_AddStringToObject (row, "task", name);
  cJSON_AddNumberToObject (row, "from_ms", (double)p->started_ms);
  cJSON_AddNumberToObject (row, "to_ms", (double)p->ended_ms);
  cJSON_AddStringToObject (row, "how", mm_end_name (p->how));
  cJSON_AddItemToArray (list, row);
  g_free (name);
}

/* Handles GET /v1/run-log: all ended runs, without those that still run, and
   the counts of starts.  */
static void
on_run_log (mm_run_server *s, mm_http_request *req)
{
  cJSON *o = cJSON_CreateObject ();
  cJSON *list = cJSON_AddArrayToObject (o, "runs");
  size_t n;
  const mm_ended_run *p = mm_run_table_ended_runs (s->table, &n);
  for (size_t i = 0; i < n; i++)
    add_ended_run (list, &p[i]);
  mm_run_counts c = mm_run_table_counts (s->table);
  cJSON_AddNumberToObject (o, "starts", c.starts);
  cJSON_AddNumberToObject (o, "over_capacity", c.over_capacity);
  reply (req, 200, o);
}

/* Returns whether the caller addressed another incarnation.  */
static bool
addresses_other_incarnation (const mm_run_server *s,
                             const mm_http_request *req)
{
  const char *incarnation = mm_http_request_header (req, UPSTREAM_HEADER);
  return incarnation && strcmp (incarnation, s->name) != 0;
}

bool
mm_run_server_handle (mm_run_server *s, mm_http_request *req)
{
  static const char *const paths[]
      = { "/v1/runs",    "/v1/runs/stop", "/v1/hold", "/v1/run-faults",
          "/v1/run-log", "/v1/capacity",  NULL };
  const char *path = mm_http_request_path (req);
  if (!g_strv_contains (paths, path))
    return false;
  size_t len;
  const char *body = mm_http_request_body (req, &len);
  cJSON *in = cJSON_ParseWithLength (body, len);
  if (strcmp (path, "/v1/run-faults") == 0)
    on_faults (s, req, in);
  else if (strcmp (path, "/v1/run-log") == 0)
    on_run_log (s, req);
  else if (strcmp (path, "/v1/capacity") == 0)
    on_capacity (s, req, in);
  else if (s->faults.unresponsive)
    leave_unanswered (req);
  else if (addresses_other_incarnation (s, req))
    {
      cJSON *b = cJSON_CreateObject ();
      cJSON_AddStringToObject (b, "verdict",
                               mm_call_verdict_name (MM_CALL_GONE));
      reply (req, 421, b);
    }
  else if (strcmp (path, "/v1/runs") == 0)
    on_start (s, req, in);
  else if (strcmp (path, "/v1/runs/stop") == 0)
    on_stop (s, req, in);
  else
    on_hold (s, req, in);
  cJSON_Delete (in);
  return true;
}

/* Carries out the late starts that are due.  */
static void
run_late_starts (mm_run_server *s, mm_time_ms now)
{
  GList *next;
  for (GList *l = s->late_starts; l; l = next)
    {
      next = l->next;
      late_start *late = l->data;
      if (now < late->start_ms)
        continue;
      s->late_starts = g_list_delete_link (s->late_starts, l);
      start_run (s, late->order);
      late_start_free (late);
    }
}

/* Logs that no call was handled for a while.  The processor time used
   meanwhile tells a process that did not run from one that was busy.  */
static void
log_stall (mm_run_server *s, mm_time_ms now)
{
  int64_t cpu_us = cpu_time_us ();
  mm_time_ms stalled_ms = now - s->last_tick_ms;
  if (stalled_ms >= MM_RUN_SERVER_STALL_MS)
    g_message ("stalled for %" G_GINT64_FORMAT " ms until %" G_GINT64_FORMAT
               ", used %" G_GINT64_FORMAT " us of processor time",
               stalled_ms, now, cpu_us - s->last_tick_cpu_us);
  s->last_tick_ms = now;
  s->last_tick_cpu_us = cpu_us;
}

/* Carries out what has become due: late starts, ends of runs, a crash, and the
   answers to waiting holds.  No hold is answered after a crash.  */
static void
tick_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_run_server *s = w->data;
  mm_time_ms now = mm_clock_now_ms ();
  log_stall (s, now);
  update_counted_capacity (s, now);
  run_late_starts (s, now);
  mm_run_table_step (s->table, now);
  log_ends (s);
  if (s->crash_at_ms && now >= s->crash_at_ms)
    {
      s->poison.crash (s->poison.ctx);
      return;
    }
  bool ended = mm_run_table_unacked_end_count (s->table) > 0;
  GList *next;
  for (GList *l = s->holds; l; l = next)
    {
      next = l->next;
      waiting_hold *h = l->data;
      if (!ended && now < h->answer_by_ms)
        continue;
      s->holds = g_list_delete_link (s->holds, l);
      if (s->faults.unresponsive || s->faults.loses_answers)
        leave_unanswered (h->req);
      else
        reply_lists (s, h->req);
      g_free (h);
    }
}

size_t
mm_run_server_run_count (const mm_run_server *s)
{
  return mm_run_table_run_count (s->table);
}

const char *
mm_run_server_name (const mm_run_server *s)
{
  return s->name;
}

mm_resources
mm_run_server_capacity (const mm_run_server *s)
{
  return s->capacity;
}

void
mm_run_server_dump (const mm_run_server *s, cJSON *out)
{
  mm_run_counts c = mm_run_table_counts (s->table);
  cJSON_AddStringToObject (out, "incarnation", s->name);
  cJSON_AddNumberToObject (out, "runs",
                           (double)mm_run_table_run_count (s->table));
  cJSON_AddNumberToObject (out, "run_starts", c.starts);
  cJSON_AddNumberToObject (out, "over_capacity", c.over_capacity);
}
