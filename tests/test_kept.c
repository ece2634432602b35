/* Tests kept jobs.  A kept job is stored before its caller is told that the
   job is accepted, and is run to its end whatever instance dies, without
   running a task twice.  The first tests run real processes against stand-ins
   of the platform and of upstreams; the later tests run single modules in
   memory, on a clock that the test sets.  */
#include "config.h"
#include "fake_upstreams.h"
#include "harness.h"
#include "mm_home.h"
#include "mm_job_log.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

static void
sleep_ms (int ms)
{
  g_usleep ((gulong)ms * 1000);
}

/* ---- real processes --------------------------------------------------- */

/* Submits a kept job.  Returns the HTTP status.  */
static long
submit_kept (int node, const char *id, int tasks, int run_ms, bool idempotent)
{
  char *job = h_job_json (id, tasks, run_ms, 20000, idempotent);
  char *kept = g_strdup_printf ("{\"kept\":true,%s", job + 1);
  long status = 0;
  cJSON_Delete (
      h_call ("POST", h_instance_ports[node], "/v1/jobs", kept, &status));
  g_free (kept);
  g_free (job);
  return status;
}

/* Sends a request for a job to an instance.  Returns the HTTP status.  Stores
   the job's state in @state, or "" if the answer has none.  */
static long
call_job (int node, const char *method, const char *id, char state[16])
{
  char *path = g_strdup_printf ("/v1/jobs/%s", id);
  long status = 0;
  cJSON *o = h_call (method, h_instance_ports[node], path, NULL, &status);
  const char *s = cJSON_GetStringValue (cJSON_GetObjectItem (o, "state"));
  g_strlcpy (state, s ? s : "", 16);
  cJSON_Delete (o);
  g_free (path);
  return status;
}

/* Submits a kept job up to eight times, as a caller would.  Returns whether it
   was accepted.  */
static bool
submit_until_accepted (int node, const char *id, int tasks, int run_ms)
{
  for (int i = 0; i < 8; i++)
    {
      if (submit_kept (node, id, tasks, run_ms, true) == 202)
        return true;
      sleep_ms (500);
    }
  return false;
}

/* Sends the cancellation of a kept job up to eight times, as a caller would,
   until an instance confirms it.  Returns whether the job is cancelled.  */
static bool
cancel_until_confirmed (int node, const char *id)
{
  char state[16];
  for (int i = 0; i < 8; i++)
    {
      if (call_job (node, "DELETE", id, state) == 200)
        return strcmp (state, "cancelled") == 0;
      sleep_ms (500);
    }
  return false;
}

/* Waits until the state of a job is @want.  Returns false if that does not
   happen within @timeout_ms.  */
static bool
wait_state (int node, const char *id, const char *want, int timeout_ms)
{
  char state[16];
  for (int waited = 0; waited < timeout_ms; waited += 100)
    {
      if (call_job (node, "GET", id, state) == 200
          && strcmp (state, want) == 0)
        return true;
      sleep_ms (100);
    }
  return false;
}

/* Returns the runs (h_run) of the tasks whose names begin with @job.  */
static GArray *
runs_of_job (int n_upstreams, const char *job)
{
  GArray *runs = h_read_runs (n_upstreams, NULL);
  for (guint i = runs->len; i-- > 0;)
    if (!g_str_has_prefix (g_array_index (runs, h_run, i).task, job))
      g_array_remove_index (runs, i);
  return runs;
}

/* Asserts that each of the @tasks tasks of a job succeeded exactly once, that
   no two runs of a task overlapped, and that no run of a task started after
   the run that succeeded.  */
static void
assert_done_once (int n_upstreams, const char *job, guint tasks)
{
  GArray *runs = runs_of_job (n_upstreams, job);
  guint done = 0;
  for (guint i = 0; i < runs->len; i++)
    {
      const h_run *a = &g_array_index (runs, h_run, i);
      done += a->done;
      for (guint k = 0; k < runs->len; k++)
        {
          const h_run *b = &g_array_index (runs, h_run, k);
          if (i == k || strcmp (a->task, b->task) != 0)
            continue;
          ck_assert_msg (a->to_ms <= b->from_ms || b->to_ms <= a->from_ms,
                         "%s ran twice at once", a->task);
          ck_assert_msg (!a->done || b->to_ms <= a->from_ms,
                         "%s started again after it was done", a->task);
        }
    }
  ck_assert_uint_eq (done, tasks);
  g_array_free (runs, TRUE);
}

/* Callers may query a kept job at any instance, not only at its home.  Each
   instance must answer with the job's state, or with the status 410 if the job
   does not exist.  */
START_TEST (every_instance_answers_the_state_of_a_kept_job)
{
  h_start_nodes (3, 4, 3);
  char state[16];
  ck_assert (submit_until_accepted (0, "show", 6, 300));
  long status = 503;
  for (int i = 0; i < 30 && status == 503; i++)
    {
      status = call_job (0, "GET", "nobodys", state);
      sleep_ms (100); /* the home of this id may not be known yet */
    }
  ck_assert_int_eq (status, 410);
  for (int i = 0; i < 3; i++)
    ck_assert (wait_state (i, "show", "completed", 5000));
  assert_done_once (3, "show", 6);
  h_stop_cluster ();
}
END_TEST

/* Returns how many ends instances @first to @last hold until their homes have
   stored them.  */
static int
count_held_ends (int first, int last)
{
  int held = 0;
  for (int i = first; i <= last; i++)
    {
      cJSON *o = h_call ("GET", h_node_state_port (i), "/", NULL, NULL);
      const cJSON *row, *owner = cJSON_GetObjectItem (o, "owner");
      cJSON_ArrayForEach (row, cJSON_GetObjectItem (owner, "upstreams"))
        {
          const cJSON *n = cJSON_GetObjectItem (row, "unacked_ends");
          ck_assert (cJSON_IsNumber (n));
          held += (int)n->valuedouble;
        }
      cJSON_Delete (o);
    }
  return held;
}

/* Guards against ends that stay listed, and hold up all later ones, while
   their jobs go on: their owner was killed before it acknowledged them, and
   the home had stored them already.  */
START_TEST (ends_of_a_killed_owner_are_acknowledged_while_their_jobs_go_on)
{
  enum
  {
    JOBS = 24,
    LONG_MS = 9000
  };
  h_start_nodes (3, 16, 3);
  for (int i = 0; i < JOBS; i++)
    {
      /* The short tasks end one after another, until the kill.  */
      char *job = g_strdup_printf (
          "{\"kept\":true,\"job_id\":\"held-%02d\",\"tasks\":["
          "{\"id\":\"s\",\"run_ms\":%d,\"idempotent\":true},"
          "{\"id\":\"l\",\"run_ms\":%d,\"idempotent\":true}]}",
          i, 600 + 25 * (i % 12), LONG_MS);
      long status = 0;
      cJSON_Delete (h_call ("POST", h_instance_ports[2 * (i % 2)], "/v1/jobs",
                            job, &status));
      ck_assert_int_eq (status, 202);
      g_free (job);
    }
  sleep_ms (800);
  h_stop (h_instances[1], SIGKILL);
  sleep_ms (MM_GROUP_TTL_MS + 500);
  int held = count_held_ends (0, 0) + count_held_ends (2, 2);
  for (int waited = 0; waited < 3000 && held; waited += 100)
    {
      sleep_ms (100);
      held = count_held_ends (0, 0) + count_held_ends (2, 2);
    }
  ck_assert_msg (held == 0, "%d ends are held", held);
  ck_assert (!wait_state (0, "held-00", "completed", 100));
  for (int i = 0; i < JOBS; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "held-%02d", i);
      ck_assert (wait_state (0, id, "completed", 2 * LONG_MS));
      assert_done_once (3, id, 2);
    }
  h_stop_cluster ();
}
END_TEST

/* Sets whether the tasks that start on an upstream hang.  */
static void
set_hang (int upstream, bool on)
{
  cJSON_Delete (h_call ("POST", h_upstream_ports[upstream], "/v1/run-faults",
                        on ? "{\"hangs\":true}" : "{\"hangs\":false}", NULL));
}

/* After a run of a task has failed, the next run avoids the upstream of the
   failed one.  If there is no other upstream, the task must run there again
   all the same.  */
START_TEST (hung_task_ends_once_its_only_upstream_recovers)
{
  h_start_nodes (1, 4, 1);
  set_hang (0, true);
  ck_assert (submit_until_accepted (0, "hung", 2, 300));
  sleep_ms (1500);
  set_hang (0, false);
  ck_assert (wait_state (0, "hung", "completed", 8000));
  h_stop_cluster ();
}
END_TEST

/* A task that failed on an upstream avoids that upstream.  The task must be
   dispatched to an owner with other upstreams, or an owner that has only the
   upstream to avoid would return the task again and again.  */
START_TEST (task_that_must_avoid_a_local_upstream_runs_at_another_owner)
{
  enum
  {
    JOBS = 6
  };
  h_start_nodes (4, 4, 3);
  set_hang (0, true);
  char id[16];
  for (int i = 0; i < JOBS; i++)
    {
      g_snprintf (id, sizeof id, "passed-%d", i);
      ck_assert (submit_until_accepted (i % 3, id, 4, 300));
    }
  for (int i = 0; i < JOBS; i++)
    {
      g_snprintf (id, sizeof id, "passed-%d", i);
      ck_assert_msg (wait_state (0, id, "completed", 10000), "%s", id);
    }
  h_stop_cluster ();
}
END_TEST

/* A caller does not receive the answer that its job was accepted.  It sends
   the job again to other instances, while the job runs and after the job has
   completed.  Each task must still run exactly once.  */
START_TEST (job_resubmitted_elsewhere_starts_no_task_twice)
{
  h_start_nodes (3, 4, 3);
  ck_assert (submit_until_accepted (0, "again", 8, 500));
  ck_assert_int_eq (submit_kept (1, "again", 8, 500, true), 202);
  ck_assert_int_eq (submit_kept (2, "again", 8, 500, true), 202);
  ck_assert (wait_state (1, "again", "completed", 6000));
  ck_assert_int_eq (submit_kept (2, "again", 8, 500, true), 202);
  sleep_ms (800);
  GArray *runs = runs_of_job (3, "again");
  ck_assert_uint_eq (runs->len, 8);
  g_array_free (runs, TRUE);
  h_stop_cluster ();
}
END_TEST

/* The store reassigns the homes of jobs three times while callers submit,
   query and cancel jobs.  Instances that do not know the new homes yet must
   find them, so that each request is answered with success.  */
START_TEST (kept_jobs_are_served_while_their_homes_move)
{
  enum
  {
    REBALANCES = 3,
    JOBS = 6
  };
  h_start_nodes (3, 4, 3);
  ck_assert (submit_until_accepted (0, "first", 1, 50));
  char id[32], state[16];
  for (int i = 0; i < REBALANCES * JOBS; i++)
    {
      if (i % JOBS == 0)
        cJSON_Delete (h_call ("POST", h_platform_port, "/v1/store-faults",
                              "{\"deal_anew\":true}", NULL));
      g_snprintf (id, sizeof id, "moving-%d", i);
      ck_assert_int_eq (submit_kept (i % 3, id, 1, 3000, true), 202);
      ck_assert_int_eq (call_job ((i + 1) % 3, "GET", id, state), 200);
      ck_assert_int_eq (call_job ((i + 2) % 3, "DELETE", id, state), 200);
      ck_assert_str_eq (state, "cancelled");
    }
  h_stop_cluster ();
}
END_TEST

/* Two instances are killed one after the other while ten jobs run.  The killed
   instances are the homes of some jobs and own upstreams that run tasks of
   other jobs.  All accepted jobs must complete, and each task must succeed
   exactly once.  */
START_TEST (killed_instances_lose_no_accepted_job_and_repeat_no_task)
{
  h_start_nodes (4, 4, 3);
  char id[32];
  for (int i = 0; i < 10; i++)
    {
      g_snprintf (id, sizeof id, "killed-%d-", i);
      ck_assert (submit_until_accepted (i % 3, id, 4, 400));
    }
  h_stop (h_instances[0], SIGKILL);
  sleep_ms (700);
  h_stop (h_instances[1], SIGKILL);
  for (int i = 0; i < 10; i++)
    {
      g_snprintf (id, sizeof id, "killed-%d-", i);
      ck_assert_msg (wait_state (2, id, "completed", 20000), "%s is not done",
                     id);
      assert_done_once (4, id, 4);
    }
  h_stop_cluster ();
}
END_TEST

/* Asks for the state of a job @times times in a child process, which the
   caller waits for.  */
static pid_t
ask_in_child (int node, const char *id, int times)
{
  pid_t child = fork ();
  ck_assert_int_ge (child, 0);
  if (child)
    return child;
  char state[16];
  for (int i = 0; i < times; i++)
    call_job (node, "GET", id, state);
  _exit (0);
}

/* Guards against an accepted job that is dropped from the store because its
   state was asked for before it arrived: after a move of its home it is
   unknown.  */
START_TEST (job_asked_for_before_it_arrives_outlives_its_home)
{
  enum
  {
    JOBS = 60,
    ASKERS = 3,
    RUN_MS = 15000 /* longer than the test: no end is stored meanwhile */
  };
  h_start_nodes (4, 32, 3);
  char id[32], state[16];
  for (int i = 0; i < JOBS; i++)
    {
      pid_t askers[ASKERS];
      g_snprintf (id, sizeof id, "asked-%d-", i);
      for (int k = 0; k < ASKERS; k++)
        askers[k] = ask_in_child (1 + k % 2, id, 3);
      sleep_ms (i % 10);
      ck_assert (submit_until_accepted (1 + i % 2, id, 1, RUN_MS));
      for (int k = 0; k < ASKERS; k++)
        ck_assert_int_eq (waitpid (askers[k], NULL, 0), askers[k]);
    }
  h_stop (h_instances[0], SIGKILL);
  sleep_ms (3500);
  int unknown = 0;
  for (int i = 0; i < JOBS; i++)
    {
      g_snprintf (id, sizeof id, "asked-%d-", i);
      unknown += call_job (1, "GET", id, state) == 410;
    }
  ck_assert_msg (unknown == 0, "%d of %d accepted jobs are unknown", unknown,
                 JOBS);
  h_stop_cluster ();
}
END_TEST

/* All instances are killed at once, with ends that no home has stored yet.
   The restarted instances must find these ends at the upstreams, which list
   them until they are acknowledged.  */
START_TEST (accepted_jobs_finish_after_all_instances_are_killed)
{
  h_start_nodes (3, 8, 2);
  char id[32];
  for (int i = 0; i < 4; i++)
    {
      g_snprintf (id, sizeof id, "power-%d-", i);
      ck_assert (submit_until_accepted (i % 2, id, 5, 250 + 50 * i));
    }
  sleep_ms (200);
  h_stop (h_instances[0], SIGKILL);
  h_stop (h_instances[1], SIGKILL);
  h_start_node (0);
  h_start_node (1);
  for (int i = 0; i < 4; i++)
    {
      g_snprintf (id, sizeof id, "power-%d-", i);
      ck_assert_msg (wait_state (0, id, "completed", 20000), "%s is not done",
                     id);
      assert_done_once (3, id, 5);
    }
  h_stop_cluster ();
}
END_TEST

/* While the store is unreachable no job can be accepted, and callers must be
   refused soon instead of being kept waiting.  Jobs that were accepted before
   must complete once the store is reachable again.  */
START_TEST (unreachable_store_refuses_jobs_at_once_and_loses_none)
{
  h_start_nodes (3, 4, 2);
  ck_assert (submit_until_accepted (0, "before", 4, 2500));
  h_set_platform_faults ("{\"down\":true}");
  sleep_ms (800);
  gint64 sent_us = g_get_monotonic_time ();
  long status = submit_kept (0, "meanwhile", 2, 100, true);
  gint64 took_ms = (g_get_monotonic_time () - sent_us) / 1000;
  ck_assert (status == 503 || status == 502);
  ck_assert_int_lt (took_ms, MM_KEPT_STORE_TIMEOUT_MS
                                 + MM_KEPT_REQUEST_TIMEOUT_MS + 500);
  sleep_ms (1500);
  h_set_platform_faults ("{\"down\":false}");
  ck_assert (wait_state (1, "before", "completed", 15000));
  ck_assert (submit_until_accepted (1, "meanwhile", 2, 100));
  ck_assert (wait_state (0, "meanwhile", "completed", 8000));
  assert_done_once (3, "before", 4);
  assert_done_once (3, "meanwhile", 2);
  h_stop_cluster ();
}
END_TEST

/* The home of a cancelled job dies and another instance becomes the home.  The
   job must stay cancelled and start no more tasks.  */
START_TEST (cancelled_job_stays_cancelled_when_its_home_dies)
{
  h_start_nodes (1, 2, 2);
  ck_assert (submit_until_accepted (0, "cancel", 8, 2500));
  sleep_ms (300);
  ck_assert (cancel_until_confirmed (1, "cancel"));
  sleep_ms (300);
  GArray *before = runs_of_job (1, "cancel");
  h_stop (h_instances[0], SIGKILL);
  ck_assert (wait_state (1, "cancel", "cancelled", 10000));
  sleep_ms (2500);
  GArray *after = runs_of_job (1, "cancel");
  ck_assert_uint_eq (before->len, after->len);
  ck_assert_uint_lt (after->len, 8);
  g_array_free (before, TRUE);
  g_array_free (after, TRUE);
  h_stop_cluster ();
}
END_TEST

/* ---- the log of a partition, with a store that the test simulates ------ */

static mm_time_ms now_ms; /* the time that test_clock() returns */

static mm_time_ms
test_clock (void *ctx)
{
  return now_ms;
}

/* A store that holds the last call until the test answers it.  */
typedef struct
{
  mm_append_answered append_answered;   /* callback of the pending append */
  mm_records_answered records_answered; /* callback of the pending read */
  void *ctx;                            /* argument of the callback */
  uint32_t appends;                     /* number of appends so far */
  uint64_t seq;            /* sequence number of the last append */
  size_t records;          /* number of records in the last append */
  const mm_record *stored; /* records that a read returns */
  size_t n_stored;
  GHashTable *sent; /* keys of the records in all appends, NULL: not noted */
} slow_store;

static void
slow_append (void *ctx, const mm_append_request *a, mm_append_answered done,
             void *done_ctx)
{
  slow_store *s = ctx;
  s->appends++;
  s->seq = a->seq;
  s->records = a->n_records;
  for (size_t i = 0; s->sent && i < a->n_records; i++)
    g_hash_table_add (s->sent, g_strdup (a->records[i].key));
  s->append_answered = done;
  s->ctx = done_ctx;
}

static void
slow_records (void *ctx, uint32_t partition, const char *after,
              mm_time_ms timeout_ms, mm_records_answered done, void *done_ctx)
{
  slow_store *s = ctx;
  s->records_answered = done;
  s->ctx = done_ctx;
}

/* Answers the pending append.  @expected: with MM_APPEND_OUT_OF_SEQ, the
   sequence number that the store expects.  */
static void
answer_append (slow_store *s, mm_append_verdict v, uint64_t expected)
{
  mm_append_result r
      = { .verdict = v, .expected_seq = expected, .why = "simulated" };
  mm_append_answered done = s->append_answered;
  s->append_answered = NULL;
  ck_assert_ptr_nonnull (done);
  done (&r, s->ctx);
}

/* Answers the pending read with the stored records.  */
static void
answer_records (slow_store *s)
{
  mm_records_result r
      = { .ok = true, .records = s->stored, .n_records = s->n_stored };
  mm_records_answered done = s->records_answered;
  s->records_answered = NULL;
  ck_assert_ptr_nonnull (done);
  done (&r, s->ctx);
}

/* Counts of the callbacks of a log.  */
typedef struct
{
  int opened;   /* all stored records were read */
  int fenced;   /* another home has the partition */
  int stored;   /* writes that are stored */
  int in_doubt; /* writes of which it is not known whether they are stored */
} log_counts;

static void
on_opened (void *ctx)
{
  ((log_counts *)ctx)->opened++;
}

static void
on_fenced (void *ctx)
{
  ((log_counts *)ctx)->fenced++;
}

static void
on_record (void *ctx, const mm_record *r)
{
}

static void
on_put (void *ctx, bool ok)
{
  log_counts *l = ctx;
  l->stored += ok;
  l->in_doubt += !ok;
}

/* Returns the calls to a slow store, and starts the clock of the test.  */
static mm_store_port
slow_port (slow_store *s)
{
  now_ms = 1000;
  mm_clock_set_source (test_clock, NULL);
  return (mm_store_port){ .append = slow_append,
                          .records = slow_records,
                          .ctx = s };
}

/* Opens the log of partition 3 with epoch 7 on a store without records.  */
static mm_job_log *
open_log (slow_store *s, log_counts *counts)
{
  mm_store_port port = slow_port (s);
  mm_job_log_events ev = { .record = on_record,
                           .opened = on_opened,
                           .fenced = on_fenced,
                           .ctx = counts };
  mm_job_log *l = mm_job_log_open (&port, 3, 7, &ev);
  mm_job_log_tick (l);
  /* The first append has no records: it announces the epoch.  */
  ck_assert_uint_eq (s->records, 0);
  answer_append (s, MM_APPEND_OK, 0);
  answer_records (s);
  ck_assert_int_eq (counts->opened, 1);
  return l;
}

/* The store stores the records of an append, but its answer is lost.  If the
   append were sent again with another sequence number, the records would be
   stored twice, and later records of the same keys would be lost.  */
START_TEST (unanswered_append_is_resent_with_the_same_seq)
{
  slow_store s = { 0 };
  log_counts counts = { 0 };
  mm_job_log *l = open_log (&s, &counts);
  mm_job_log_put (l, "a", g_bytes_new ("1", 1), on_put, &counts);
  uint64_t seq = s.seq;
  mm_job_log_put (l, "b", g_bytes_new ("2", 1), on_put, &counts);
  answer_append (&s, MM_APPEND_NO_ANSWER, 0);
  now_ms += MM_JOB_LOG_RETRY_MS;
  mm_job_log_tick (l);
  ck_assert_uint_eq (s.seq, seq);
  ck_assert_uint_eq (s.records, 1);
  /* The store answers that it has executed the append with this number and
     expects the next number.  */
  answer_append (&s, MM_APPEND_OUT_OF_SEQ, seq + 1);
  ck_assert_int_eq (counts.stored, 1);
  now_ms += MM_JOB_LOG_RETRY_MS;
  mm_job_log_tick (l);
  ck_assert_uint_eq (s.seq, seq + 1);
  answer_append (&s, MM_APPEND_OK, 0);
  ck_assert_int_eq (counts.stored, 2);
  mm_job_log_close (l);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

/* When the store fences the writer of a log, the log must report each write
   that has no answer as in doubt, and must not append any more.  */
START_TEST (fenced_writer_reports_its_writes_as_in_doubt)
{
  slow_store s = { 0 };
  log_counts counts = { 0 };
  mm_job_log *l = open_log (&s, &counts);
  mm_job_log_put (l, "a", g_bytes_new ("1", 1), on_put, &counts);
  mm_job_log_put (l, "b", g_bytes_new ("2", 1), on_put, &counts);
  answer_append (&s, MM_APPEND_FENCED, 0);
  ck_assert_int_eq (counts.fenced, 1);
  ck_assert_int_eq (counts.in_doubt, 2);
  uint32_t appends = s.appends;
  now_ms += 1000;
  mm_job_log_tick (l);
  ck_assert_uint_eq (s.appends, appends);
  mm_job_log_close (l);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

/* When the store refuses appends because of overload, the pause between them
   must grow.  */
START_TEST (refused_appends_are_spaced_out)
{
  slow_store s = { 0 };
  log_counts counts = { 0 };
  mm_job_log *l = open_log (&s, &counts);
  mm_job_log_put (l, "a", g_bytes_new ("1", 1), on_put, &counts);
  for (int i = 0; i < 5; i++)
    {
      answer_append (&s, MM_APPEND_REFUSED, 0);
      now_ms += MM_JOB_LOG_PAUSE_MAX_MS;
      mm_job_log_tick (l);
    }
  uint32_t appends = s.appends;
  answer_append (&s, MM_APPEND_REFUSED, 0);
  now_ms += MM_JOB_LOG_PAUSE_MIN_MS;
  mm_job_log_tick (l);
  ck_assert_uint_eq (s.appends, appends);
  now_ms += MM_JOB_LOG_PAUSE_MAX_MS;
  mm_job_log_tick (l);
  answer_append (&s, MM_APPEND_OK, 0);
  ck_assert_int_eq (counts.stored, 1);
  mm_job_log_close (l);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

/* A log whose callbacks queue further records.  */
typedef struct
{
  mm_job_log *log;
  GHashTable *sent; /* keys of the records in all appends */
  int puts_left;    /* records that callbacks are still to queue */
  int stored;
} reentrant;

typedef struct
{
  reentrant *of;
  char key[16];
} reentrant_record;

static void reentrant_put (reentrant *r, int number);

static void
on_reentrant_stored (void *ctx, bool ok)
{
  reentrant_record *record = ctx;
  reentrant *r = record->of;
  ck_assert (ok);
  ck_assert_msg (g_hash_table_contains (r->sent, record->key),
                 "%s is reported as stored and was not sent", record->key);
  r->stored++;
  if (r->puts_left > 0)
    reentrant_put (r, 100 + r->puts_left--);
  g_free (record);
}

static void
reentrant_put (reentrant *r, int number)
{
  reentrant_record *record = g_new0 (reentrant_record, 1);
  record->of = r;
  g_snprintf (record->key, sizeof record->key, "record-%d", number);
  mm_job_log_put (r->log, record->key, NULL, on_reentrant_stored, record);
}

/* Guards against records that are reported as stored and were never sent: a
   callback of a stored batch queues a record, which sends the next append.  */
START_TEST (callback_may_queue_a_record_while_its_batch_is_reported)
{
  enum
  {
    FIRST = 6,
    AGAIN = 7
  };
  slow_store s = { .sent = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                  g_free, NULL) };
  log_counts counts = { 0 };
  mm_job_log *l = open_log (&s, &counts);
  reentrant r = { .log = l, .sent = s.sent, .puts_left = AGAIN };
  for (int i = 0; i < FIRST; i++)
    reentrant_put (&r, i);
  while (s.append_answered)
    answer_append (&s, MM_APPEND_OK, 0);
  ck_assert_int_eq (r.stored, FIRST + AGAIN);
  ck_assert (mm_job_log_idle (l));
  mm_job_log_close (l);
  g_hash_table_destroy (s.sent);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

/* ---- a home, with upstreams in memory ---------------------------------- */

static const mm_route queue = {
  .name = "q", .service = "svc", .attempts = 3, .stretch = 3, .slo_ms = 500
};

/* Returns a job of two steps with two tasks each; the second step depends on
   the first.  */
static mm_submission *
two_steps (const char *id)
{
  mm_submission *s = g_new0 (mm_submission, 1);
  g_strlcpy (s->id, id, sizeof s->id);
  s->payload = g_strdup ("");
  s->n_steps = 2;
  s->steps = g_new0 (mm_step, 2);
  for (int i = 0; i < 2; i++)
    {
      s->steps[i].count = 2;
      s->steps[i].estimate_ms = 100;
    }
  s->steps[1].depends_on = g_new0 (uint32_t, 1);
  s->steps[1].n_dependencies = 1;
  return s;
}

/* Counts of the answers that callers get, by status.  */
typedef struct
{
  int ok;
  int in_doubt; /* it is not known whether the request is stored */
  int no_job;   /* there is no such job */
  int moving;   /* the job has another home, or will have */
} caller_counts;

static void
on_answered (void *ctx, const mm_kept_answer *a)
{
  caller_counts *c = ctx;
  c->ok += a->status == MM_KEPT_OK;
  c->in_doubt += a->status == MM_KEPT_IN_DOUBT;
  c->no_job += a->status == MM_KEPT_NO_JOB;
  c->moving += a->status == MM_KEPT_MOVING;
}

static void
on_stored (void *ctx, const GArray *acks)
{
}

static int jobs_ended; /* number of calls of on_job_ended() */

static void
on_job_ended (void *ctx, const char *job_id)
{
  jobs_ended++;
}

static void
on_home_fenced (void *ctx, mm_home *h)
{
}

/* Opens the home of partition 3 with epoch 7 and the records of the store.  */
static mm_home *
open_home (slow_store *s, mm_fleet *fleet)
{
  mm_store_port port = slow_port (s);
  mm_home_events ev = { .stored = on_stored,
                        .ended = on_job_ended,
                        .fenced = on_home_fenced };
  mm_home *h = mm_home_create (&port, fleet, 3, 7, &ev);
  mm_home_tick (h, 0);
  answer_append (s, MM_APPEND_OK, 0);
  answer_records (s);
  return h;
}

/* An instance without upstreams: tasks that are dispatched to this instance
   wait.  */
typedef struct
{
  struct ev_loop *loop;
  mm_owner *owner;
  mm_mesh *mesh;
  mm_fleet *fleet;
} home_fixture;

static home_fixture
home_fixture_create (void)
{
  mm_exec_port no_upstreams = { 0 };
  home_fixture fx = { .loop = ev_loop_new (EVFLAG_AUTO) };
  fx.owner = mm_owner_create (&no_upstreams);
  fx.mesh = mm_mesh_create (fx.loop, "n@127.0.0.1:1/dc", "dc", "127.0.0.1",
                            (uint16_t)h_port_base (), fx.owner, NULL);
  ck_assert_ptr_nonnull (fx.mesh);
  fx.fleet = mm_fleet_create (fx.owner, fx.mesh, "dc");
  return fx;
}

static void
home_fixture_destroy (home_fixture *fx)
{
  mm_fleet_destroy (fx->fleet);
  mm_mesh_destroy (fx->mesh);
  mm_owner_destroy (fx->owner);
  ev_loop_destroy (fx->loop);
  mm_clock_set_source (NULL, NULL);
}

/* A home that another instance has replaced does not know the jobs that the
   new home has accepted, and must not answer that such a job does not exist.
   So the store must confirm first that the home is still current; one record
   serves for many requests.  */
START_TEST (only_the_current_home_answers_no_such_job)
{
  enum
  {
    REQUESTS = 100
  };
  home_fixture fx = home_fixture_create ();
  slow_store s = { 0 };
  mm_home *h = open_home (&s, fx.fleet);
  caller_counts c = { 0 };
  now_ms += MM_READ_BARRIER_PAUSE_MS;
  uint32_t before = s.appends;
  for (int i = 0; i < REQUESTS; i++)
    mm_home_confirm_state (h, "nobodys", on_answered, &c);
  ck_assert_int_eq (c.no_job, 0);
  answer_append (&s, MM_APPEND_OK, 0);
  /* Only the first request came before the record was sent.  */
  ck_assert_int_eq (c.no_job, 1);
  now_ms += MM_READ_BARRIER_PAUSE_MS;
  mm_home_tick (h, G_MAXINT64);
  answer_append (&s, MM_APPEND_OK, 0);
  ck_assert_int_eq (c.no_job, REQUESTS);
  ck_assert_uint_eq (s.appends - before, 2);
  now_ms += MM_READ_BARRIER_PAUSE_MS;
  mm_home_cancel (h, "nobodys", on_answered, &c);
  answer_append (&s, MM_APPEND_FENCED, 0);
  ck_assert_int_eq (c.no_job, REQUESTS);
  ck_assert_int_eq (c.moving, 1);
  mm_home_destroy (h);
  home_fixture_destroy (&fx);
}
END_TEST

/* A caller cancels its job while the store does not answer, and sends the
   cancellation again.  If the home confirmed the cancellation before it is
   stored, the job could still go on at the next home.  */
START_TEST (cancel_is_answered_only_once_stored)
{
  home_fixture fx = home_fixture_create ();
  slow_store s = { 0 };
  mm_home *h = open_home (&s, fx.fleet);
  caller_counts c = { 0 }, first = { 0 }, second = { 0 };
  mm_home_submit (h, mm_job_record_create (two_steps ("j"), &queue),
                  on_answered, &c);
  ck_assert_int_eq (c.ok, 0);
  answer_append (&s, MM_APPEND_OK, 0);
  ck_assert_int_eq (c.ok, 1);
  mm_home_cancel (h, "j", on_answered, &first);
  now_ms += MM_KEPT_STORE_TIMEOUT_MS;
  mm_home_tick (h, G_MAXINT64);
  ck_assert_int_eq (first.in_doubt, 1);
  mm_home_cancel (h, "j", on_answered, &second);
  ck_assert_int_eq (second.ok, 0);
  ck_assert_int_eq (jobs_ended, 0);
  answer_append (&s, MM_APPEND_OK, 0);
  ck_assert_int_eq (second.ok, 1);
  ck_assert_int_eq (jobs_ended, 1);
  mm_kept_answer a;
  mm_home_state (h, "j", &a);
  ck_assert_int_eq (a.phase, MM_JOB_CANCELLED);
  mm_home_destroy (h);
  home_fixture_destroy (&fx);
}
END_TEST

/* The previous home of a job finished the first step, started the second step,
   and died before it had stored the ends of the first.  If the next home
   started the second step as soon as it found these ends at the upstreams, the
   second step would run twice.  So the tasks of the second step must stay in
   doubt.  */
START_TEST (later_steps_are_in_doubt_too_after_a_takeover)
{
  home_fixture fx = home_fixture_create ();
  mm_job_record *rec = mm_job_record_create (two_steps ("j"), &queue);
  GBytes *bytes = mm_job_record_pack (rec);
  mm_job_record_destroy (rec);
  mm_record stored = { .key = (char *)"j", .value = bytes };
  slow_store s = { .stored = &stored, .n_stored = 1 };
  mm_home *h = open_home (&s, fx.fleet);
  now_ms += MM_KEPT_LEASE_EXPIRY_MS;
  GHashTable *in_doubt = mm_task_set_new ();
  mm_home_in_doubt (h, in_doubt);
  ck_assert_uint_eq (g_hash_table_size (in_doubt), 4);
  mm_found_end e
      = { .task = { .job = "j" }, .how = MM_END_DONE, .run_hash = 1 };
  mm_home_record_end (h, &e, NULL);
  e.task.index = 1;
  mm_home_record_end (h, &e, NULL);
  g_hash_table_remove_all (in_doubt);
  mm_home_in_doubt (h, in_doubt);
  ck_assert_uint_eq (g_hash_table_size (in_doubt), 2);
  mm_home_clear_in_doubt (h, in_doubt);
  g_hash_table_remove_all (in_doubt);
  mm_home_in_doubt (h, in_doubt);
  ck_assert_uint_eq (g_hash_table_size (in_doubt), 0);
  g_hash_table_destroy (in_doubt);
  mm_home_destroy (h);
  g_bytes_unref (bytes);
  home_fixture_destroy (&fx);
}
END_TEST

/* Tasks that may run at most once were dispatched by a home that died.  The
   next home finds no run of them and cannot know whether they ran.  It must
   not start the tasks again: the job must fail, and only once.  */
START_TEST (non_idempotent_task_is_not_restarted_by_the_next_home)
{
  home_fixture fx = home_fixture_create ();
  mm_submission *once = two_steps ("j");
  once->steps[0].once = once->steps[1].once = true;
  mm_job_record *rec = mm_job_record_create (once, &queue);
  GBytes *bytes = mm_job_record_pack (rec);
  mm_job_record_destroy (rec);
  mm_record stored = { .key = (char *)"j", .value = bytes };
  slow_store s = { .stored = &stored, .n_stored = 1 };
  mm_home *h = open_home (&s, fx.fleet);
  now_ms += MM_KEPT_LEASE_EXPIRY_MS;
  GHashTable *in_doubt = mm_task_set_new ();
  mm_home_in_doubt (h, in_doubt);
  mm_home_clear_in_doubt (h, in_doubt);
  g_hash_table_destroy (in_doubt);
  mm_home_tick (h, G_MAXINT64);
  answer_append (&s, MM_APPEND_OK, 0);
  mm_kept_answer a;
  mm_home_state (h, "j", &a);
  ck_assert_int_eq (a.phase, MM_JOB_FAILED);
  mm_home_destroy (h);
  g_bytes_unref (bytes);
  home_fixture_destroy (&fx);
}
END_TEST

/* A job without tasks was stored and its home died.  The job is not completed
   by the end of a task, so the next home must end the job by itself.  */
START_TEST (job_without_tasks_is_ended_by_the_next_home)
{
  home_fixture fx = home_fixture_create ();
  mm_submission *empty = two_steps ("j");
  empty->steps[0].count = empty->steps[1].count = 0;
  mm_job_record *rec = mm_job_record_create (empty, &queue);
  GBytes *bytes = mm_job_record_pack (rec);
  mm_job_record_destroy (rec);
  mm_record stored = { .key = (char *)"j", .value = bytes };
  slow_store s = { .stored = &stored, .n_stored = 1 };
  mm_home *h = open_home (&s, fx.fleet);
  mm_home_tick (h, G_MAXINT64);
  answer_append (&s, MM_APPEND_OK, 0);
  mm_kept_answer a;
  mm_home_state (h, "j", &a);
  ck_assert_int_eq (a.phase, MM_JOB_COMPLETED);
  mm_home_destroy (h);
  g_bytes_unref (bytes);
  home_fixture_destroy (&fx);
}
END_TEST

/* An upstream that has left the list has no owner that could report its runs,
   but tasks may still run there under the last lease.  These tasks must not be
   searched for before that lease has expired: the search would find no run,
   and the tasks would be started again.  */
START_TEST (task_is_not_searched_for_before_its_lease_expires)
{
  home_fixture fx = home_fixture_create ();
  mm_job_record *rec = mm_job_record_create (two_steps ("j"), &queue);
  GBytes *bytes = mm_job_record_pack (rec);
  mm_job_record_destroy (rec);
  mm_record stored = { .key = (char *)"j", .value = bytes };
  slow_store s = { .stored = &stored, .n_stored = 1 };
  mm_home *h = open_home (&s, fx.fleet);
  GHashTable *in_doubt = mm_task_set_new ();
  now_ms += MM_LEASE_MS;
  mm_home_in_doubt (h, in_doubt);
  ck_assert_uint_eq (g_hash_table_size (in_doubt), 0);
  g_hash_table_destroy (in_doubt);
  mm_home_destroy (h);
  g_bytes_unref (bytes);
  home_fixture_destroy (&fx);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("kept");
  TCase *c = tcase_create ("processes");
  tcase_set_timeout (c, 60);
  tcase_add_test (c, every_instance_answers_the_state_of_a_kept_job);
  tcase_add_test (
      c, ends_of_a_killed_owner_are_acknowledged_while_their_jobs_go_on);
  tcase_add_test (c, killed_instances_lose_no_accepted_job_and_repeat_no_task);
  tcase_add_test (c, job_asked_for_before_it_arrives_outlives_its_home);
  tcase_add_test (c, accepted_jobs_finish_after_all_instances_are_killed);
  tcase_add_test (c, unreachable_store_refuses_jobs_at_once_and_loses_none);
  tcase_add_test (c, cancelled_job_stays_cancelled_when_its_home_dies);
  tcase_add_test (c, hung_task_ends_once_its_only_upstream_recovers);
  tcase_add_test (c,
                  task_that_must_avoid_a_local_upstream_runs_at_another_owner);
  suite_add_tcase (s, c);
  /* The two tests of this case run as a ctest test of their own,
     test_kept_resubmit.  */
  c = tcase_create ("resubmit");
  tcase_set_tags (c, "resubmit");
  tcase_set_timeout (c, 60);
  tcase_add_test (c, job_resubmitted_elsewhere_starts_no_task_twice);
  tcase_add_test (c, kept_jobs_are_served_while_their_homes_move);
  suite_add_tcase (s, c);
  c = tcase_create ("parts");
  tcase_add_test (c, unanswered_append_is_resent_with_the_same_seq);
  tcase_add_test (c, fenced_writer_reports_its_writes_as_in_doubt);
  tcase_add_test (c, refused_appends_are_spaced_out);
  tcase_add_test (c, callback_may_queue_a_record_while_its_batch_is_reported);
  tcase_add_test (c, cancel_is_answered_only_once_stored);
  tcase_add_test (c, only_the_current_home_answers_no_such_job);
  tcase_add_test (c, later_steps_are_in_doubt_too_after_a_takeover);
  tcase_add_test (c, task_is_not_searched_for_before_its_lease_expires);
  tcase_add_test (c, non_idempotent_task_is_not_restarted_by_the_next_home);
  tcase_add_test (c, job_without_tasks_is_ended_by_the_next_home);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
