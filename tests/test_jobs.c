/* Tests the guarantees for jobs whose callers wait, with faults that are
   injected into the stand-ins of the platform and the upstreams.  An answer is
   complete or failed as a whole and reaches its own caller; a task is not
   started twice on a resubmit, and a task that is not idempotent is started at
   most once; "not run" is true; stops are graceful; jobs that cannot be served
   are refused early.  */
#include "harness.h"
#include "harness_logs.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

/* Returns the status in a job's answer, such as "complete" or "failed".  */
static const char *
status_of (cJSON *o)
{
  return cJSON_GetStringValue (cJSON_GetObjectItem (o, "status"));
}

/* Returns how many tasks a job's answer lists in a state.  */
static int
tasks_in_state (cJSON *o, const char *state)
{
  int n = 0;
  const cJSON *t;
  cJSON_ArrayForEach (t, cJSON_GetObjectItem (o, "tasks"))
    {
      if (g_str_equal (cJSON_GetStringValue (cJSON_GetObjectItem (t, "state")),
                       state))
        n++;
    }
  return n;
}

/* Sets the mode of an upstream stand-in, such as "normal" or "freeze".  */
static void
set_mode (int upstream, const char *mode)
{
  char *body = g_strdup_printf ("{\"mode\":\"%s\"}", mode);
  cJSON_Delete (
      h_call ("POST", h_upstream_ports[upstream], "/v1/mode", body, NULL));
  g_free (body);
}

/* A caller resubmits a job while it runs.  Both calls must get the same
   complete answer, and the upstreams' start records must show that every task
   was started once.  */
START_TEST (resubmit_to_same_instance_starts_nothing_twice)
{
  h_start_cluster (3, 1, 100);
  char *job = h_job_json ("rs1", 40, 100, 5000, false);
  long answer_status = 0, child_status = 0;
  pid_t child = fork ();
  if (child == 0)
    {
      g_usleep (50000);
      cJSON *o = h_call ("POST", h_instance_ports[0], "/v1/jobs", job,
                         &child_status);
      _exit (child_status == 200 && tasks_in_state (o, "done") == 40 ? 0 : 1);
    }
  cJSON *o
      = h_call ("POST", h_instance_ports[0], "/v1/jobs", job, &answer_status);
  int wait_status;
  waitpid (child, &wait_status, 0);
  ck_assert_int_eq (answer_status, 200);
  ck_assert_str_eq (status_of (o), "complete");
  ck_assert_int_eq (tasks_in_state (o, "done"), 40);
  ck_assert (WIFEXITED (wait_status) && WEXITSTATUS (wait_status) == 0);
  int max = 0;
  ck_assert_int_eq (h_count_starts ("rs1", &max), 40);
  ck_assert_int_eq (max, 1);
  cJSON *again
      = h_call ("POST", h_instance_ports[0], "/v1/jobs", job, &answer_status);
  ck_assert_int_eq (answer_status, 200);
  ck_assert_int_eq (tasks_in_state (again, "done"), 40);
  ck_assert_int_eq (h_count_starts ("rs1", &max), 40);
  ck_assert_int_eq (max, 1);
  cJSON_Delete (o);
  cJSON_Delete (again);
  g_free (job);
  h_stop_cluster ();
}
END_TEST

/* Twelve callers submit at once, with run times that reverse the order of the
   answers.  Each caller must get the answer and the task results of its own
   job.  */
START_TEST (crossed_answers_reach_their_own_callers)
{
  h_start_cluster (3, 1, 100);
  pid_t children[12];
  for (int i = 0; i < 12; i++)
    if ((children[i] = fork ()) == 0)
      {
        char id[16];
        g_snprintf (id, sizeof id, "x%d", i);
        char *job = h_job_json (id, 3, 50 + (12 - i) * 30, 5000, true);
        long status = 0;
        cJSON *o
            = h_call ("POST", h_instance_ports[0], "/v1/jobs", job, &status);
        bool ok = status == 200
                  && g_str_equal (
                      cJSON_GetStringValue (cJSON_GetObjectItem (o, "job_id")),
                      id);
        const cJSON *t;
        cJSON_ArrayForEach (t, cJSON_GetObjectItem (o, "tasks"))
          {
            const char *task_id
                = cJSON_GetStringValue (cJSON_GetObjectItem (t, "id"));
            const char *res
                = cJSON_GetStringValue (cJSON_GetObjectItem (t, "result"));
            ok = ok && g_str_has_prefix (task_id, id) && res
                 && g_str_has_prefix (res + 3, task_id);
          }
        _exit (ok ? 0 : 1);
      }
  for (int i = 0; i < 12; i++)
    {
      int wait_status;
      waitpid (children[i], &wait_status, 0);
      ck_assert_msg (WIFEXITED (wait_status) && WEXITSTATUS (wait_status) == 0,
                     "caller %d got a wrong answer", i);
    }
  h_stop_cluster ();
}
END_TEST

/* Every upstream fails every task that it starts.  The caller must get one
   failed answer for the whole job, never for a part of it, at once and with
   retry_after_s.  Idempotent tasks are retried only within the retry
   budget.  */
START_TEST (job_fails_as_a_whole_when_every_upstream_fails)
{
  h_start_cluster (3, 1, 100);
  for (int i = 0; i < 3; i++)
    set_mode (i, "fail_all");
  char *job = h_job_json ("f1", 10, 20, 20000, true);
  long status = 0;
  mm_time_ms t0 = mm_clock_now_ms ();
  cJSON *o = h_call ("POST", h_instance_ports[0], "/v1/jobs", job, &status);
  mm_time_ms took_ms = mm_clock_now_ms () - t0;
  ck_assert_int_eq (status, 502);
  ck_assert_str_eq (status_of (o), "failed");
  ck_assert_int_eq (tasks_in_state (o, "done"), 0);
  ck_assert (cJSON_GetNumberValue (cJSON_GetObjectItem (o, "retry_after_s"))
             >= 1);
  ck_assert_msg (took_ms < 5000, "failed answer held back %ld ms",
                 (long)took_ms);
  int max = 0;
  h_count_starts ("f1", &max);
  ck_assert_int_le (max, 3); /* one try and at most two retries */
  cJSON_Delete (o);
  g_free (job);
  h_stop_cluster ();
}
END_TEST

/* An upstream takes a non-idempotent task and holds back its answer past the
   dispatch timeout.  The task must not be sent again: the caller gets
   "unknown" (not "not run") for it, and the upstreams show exactly one
   start.  */
START_TEST (non_idempotent_lost_answer_is_unknown_not_retried)
{
  h_start_cluster (3, 1, 100);
  cJSON_Delete (h_call ("POST", h_platform_port, "/v1/faults", "{}", NULL));
  const char *cfg = "{\"kind\":\"config\",\"parent\":-1,\"base\":"
                    "\"[dispatch]\\ntimeout_ms = 500\\n\",\"overlays\":{}}";
  cJSON_Delete (h_call ("POST", h_platform_port, "/v1/log/config", cfg, NULL));
  ck_assert (h_wait_json (h_instance_ports[0], "/v1/state", "config_offset", 0,
                          5000));
  for (int i = 0; i < 3; i++)
    set_mode (i, "freeze");
  char *job = h_job_json ("n1", 1, 50, 20000, false);
  long status = 0;
  cJSON *o = h_call ("POST", h_instance_ports[0], "/v1/jobs", job, &status);
  ck_assert_int_eq (status, 502);
  ck_assert_int_eq (tasks_in_state (o, "unknown"), 1);
  for (int i = 0; i < 3; i++)
    set_mode (i, "normal");
  int max = 0;
  ck_assert_int_eq (h_count_starts ("n1", &max), 1);
  ck_assert_int_eq (max, 1);
  cJSON_Delete (o);
  g_free (job);
  h_stop_cluster ();
}
END_TEST

/* Two upstreams drain just before a job is submitted, and the member list lags
   by 2 s and still shows them as live.  Tasks that they refuse were never
   started there ("not run" is true) and run elsewhere.  Only the first burst
   (one task per slot, 8) may reach a leaving upstream before its refusal is
   received; the lagging list must not cause more.  */
START_TEST (leaving_upstream_gets_no_new_work_and_refusals_did_not_run)
{
  h_start_cluster (3, 1, 2000);
  set_mode (0, "drain");
  set_mode (1, "drain");
  char *job = h_job_json ("d1", 30, 50, 20000, false);
  long status = 0;
  cJSON *o = h_call ("POST", h_instance_ports[0], "/v1/jobs", job, &status);
  ck_assert_int_eq (status, 200);
  ck_assert_int_eq (tasks_in_state (o, "done"), 30);
  ck_assert_int_eq (h_count_upstream_starts (h_upstream_ports[0], "d1", NULL),
                    0);
  ck_assert_int_eq (h_count_upstream_starts (h_upstream_ports[1], "d1", NULL),
                    0);
  ck_assert_int_eq (h_count_upstream_starts (h_upstream_ports[2], "d1", NULL),
                    30);
  cJSON *state = h_call ("GET", h_upstream_ports[0], "/v1/state", NULL, NULL);
  double refused = cJSON_GetNumberValue (cJSON_GetObjectItem (
      cJSON_GetObjectItem (state, "counters"), "tasks_refused"));
  ck_assert_msg (refused <= 8, "a leaving upstream was sent %g tasks",
                 refused);
  cJSON_Delete (state);
  cJSON_Delete (o);
  g_free (job);
  h_stop_cluster ();
}
END_TEST

/* SIGTERM reaches the entry instance while a job of 1 s tasks runs.  The
   caller must still get the complete answer, with each task started once.  */
START_TEST (graceful_shutdown_finishes_jobs_in_flight)
{
  h_start_cluster (3, 1, 100);
  pid_t child = fork ();
  if (child == 0)
    {
      char *job = h_job_json ("g1", 20, 1000, 20000, false);
      long status = 0;
      cJSON *o
          = h_call ("POST", h_instance_ports[0], "/v1/jobs", job, &status);
      h_keep_answer (0, status, o);
      _exit (status == 200 && tasks_in_state (o, "done") == 20 ? 0 : 1);
    }
  g_usleep (300000);
  kill (h_instances[0], SIGTERM);
  int wait_status;
  waitpid (child, &wait_status, 0);
  ck_assert_msg (WIFEXITED (wait_status) && WEXITSTATUS (wait_status) == 0,
                 "a job in flight was cut off by the shutdown");
  int max = 0;
  ck_assert_int_eq (h_count_starts ("g1", &max), 20);
  ck_assert_int_eq (max, 1);
  h_stop_cluster ();
}
END_TEST

/* A job of 80 tasks of 300 ms with a 2 s deadline is submitted to one upstream
   of 8 slots, which cannot meet the deadline.  The caller must be answered at
   once (not at the deadline) that the job did not run, with retry_after_s, and
   no task of it may start.  */
START_TEST (job_that_cannot_meet_its_deadline_is_refused_at_once)
{
  h_start_cluster (1, 1, 100);
  char *warm = h_job_json ("w1", 16, 300, 10000, true);
  long status = 0;
  cJSON_Delete (
      h_call ("POST", h_instance_ports[0], "/v1/jobs", warm, &status));
  ck_assert_int_eq (status, 200);
  char *job = h_job_json ("late1", 80, 300, 2000, true);
  mm_time_ms t0 = mm_clock_now_ms ();
  cJSON *o = h_call ("POST", h_instance_ports[0], "/v1/jobs", job, &status);
  mm_time_ms took_ms = mm_clock_now_ms () - t0;
  ck_assert_int_eq (status, 503);
  ck_assert_msg (took_ms < 500, "answer held back %ld ms", (long)took_ms);
  ck_assert (cJSON_GetNumberValue (cJSON_GetObjectItem (o, "retry_after_s"))
             >= 2);
  ck_assert_int_eq (
      h_count_upstream_starts (h_upstream_ports[0], "late1", NULL), 0);
  cJSON_Delete (o);
  g_free (job);
  g_free (warm);
  h_stop_cluster ();
}
END_TEST

/* A malformed body, a job of zero tasks and a job of 300 tasks each get a
   typed error at once, and nothing is queued.  */
START_TEST (bad_requests_get_typed_errors)
{
  h_start_cluster (1, 1, 100);
  long status = 0;
  cJSON *o
      = h_call ("POST", h_instance_ports[0], "/v1/jobs", "{oops", &status);
  ck_assert_int_eq (status, 400);
  ck_assert_str_eq (cJSON_GetStringValue (cJSON_GetObjectItem (
                        cJSON_GetObjectItem (o, "error"), "code")),
                    "bad_request");
  cJSON_Delete (o);
  o = h_call ("POST", h_instance_ports[0], "/v1/jobs",
              "{\"job_id\":\"z\",\"tasks\":[]}", &status);
  ck_assert_int_eq (status, 413);
  cJSON_Delete (o);
  char *big = h_job_json ("big", 300, 1, 100, true);
  o = h_call ("POST", h_instance_ports[0], "/v1/jobs", big, &status);
  ck_assert_int_eq (status, 413);
  cJSON_Delete (o);
  o = h_call ("GET", h_instance_ports[0], "/v1/state", NULL, NULL);
  ck_assert_int_eq (
      cJSON_GetNumberValue (cJSON_GetObjectItem (o, "tasks_queued")), 0);
  cJSON_Delete (o);
  g_free (big);
  h_stop_cluster ();
}
END_TEST

/* Answers of finished jobs that are never dropped make memory grow without
   bound in an instance that runs for days.  They must expire after
   done_ttl_ms, here 1 s.  */
START_TEST (kept_answers_expire_after_their_ttl)
{
  h_entry_extra_setting = "entry.done_ttl_ms=1000";
  h_start_cluster (1, 1, 100);
  char *job = h_job_json ("ttl1", 2, 10, 5000, true);
  long status = 0;
  cJSON_Delete (
      h_call ("POST", h_instance_ports[0], "/v1/jobs", job, &status));
  ck_assert_int_eq (status, 200);
  ck_assert (
      h_wait_json (h_instance_ports[0], "/v1/state", "answers_kept", 1, 500));
  ck_assert (
      h_wait_json (h_instance_ports[0], "/v1/state", "answers_kept", 0, 3000));
  g_free (job);
  h_stop_cluster ();
}
END_TEST

/* An upstream is killed while tasks run on it.  A job of idempotent tasks
   still completes: the killed tasks run again elsewhere.  A job of
   non-idempotent tasks fails as a whole: the killed tasks are "unknown" and
   are not started again.  */
START_TEST (killed_upstream_leaves_no_partial_answer)
{
  h_start_cluster (3, 1, 100);
  char *once = h_job_json ("uk-once", 12, 800, 9000, false);
  char *again = h_job_json ("uk-again", 12, 800, 9000, true);
  pid_t child = fork ();
  if (child == 0)
    {
      long status = 0;
      cJSON *o
          = h_call ("POST", h_instance_ports[0], "/v1/jobs", again, &status);
      h_keep_answer (0, status, o);
      _exit (status == 200 && tasks_in_state (o, "done") == 12 ? 0 : 1);
    }
  pid_t killer = fork ();
  if (killer == 0)
    {
      g_usleep (400000);
      kill (h_upstreams[0], SIGKILL);
      _exit (0);
    }
  long status = 0;
  cJSON *o = h_call ("POST", h_instance_ports[0], "/v1/jobs", once, &status);
  ck_assert_int_eq (status, 502);
  ck_assert_str_eq (status_of (o), "failed");
  ck_assert_int_ge (tasks_in_state (o, "unknown"), 1);
  int wait_status;
  waitpid (child, &wait_status, 0);
  ck_assert (WIFEXITED (wait_status) && WEXITSTATUS (wait_status) == 0);
  waitpid (killer, &wait_status, 0);
  int max = 0, n = 0;
  for (int i = 1; i < 3; i++)
    n += h_count_upstream_starts (h_upstream_ports[i], "uk-once", &max);
  ck_assert_int_eq (max, 1);
  ck_assert_int_lt (n, 12); /* tasks of the killed upstream run nowhere else */
  cJSON_Delete (o);
  g_free (once);
  g_free (again);
  h_stop_cluster ();
}
END_TEST

/* Waits until an upstream has started @n tasks of a job.  Returns whether it
   has within 5 s.  */
static bool
wait_starts (int upstream, const char *job_id, int n)
{
  mm_time_ms timeout_at_ms = mm_clock_now_ms () + 5000;
  while (h_count_upstream_starts (h_upstream_ports[upstream], job_id, NULL)
         < n)
    {
      if (mm_clock_now_ms () > timeout_at_ms)
        return false;
      g_usleep (10000);
    }
  return true;
}

/* Waits until an upstream drains.  Returns false when it has exited or does
   not within 5 s.  */
static bool
wait_drain (int upstream)
{
  mm_time_ms timeout_at_ms = mm_clock_now_ms () + 5000;
  bool drains = false, answered = true;
  while (!drains && answered && mm_clock_now_ms () < timeout_at_ms)
    {
      long status = 0;
      cJSON *o = h_call ("GET", h_upstream_ports[upstream], "/v1/state", NULL,
                         &status);
      const char *mode
          = cJSON_GetStringValue (cJSON_GetObjectItem (o, "mode"));
      drains = mode && g_str_equal (mode, "drain");
      answered = status == 200;
      cJSON_Delete (o);
    }
  return drains;
}

/* An upstream is stopped with SIGTERM while it runs tasks of a non-idempotent
   job.  It must finish its tasks: the job completes, each task is started
   once, and the process exits by itself.  */
START_TEST (graceful_stop_of_an_upstream_finishes_its_tasks)
{
  h_start_cluster (3, 1, 100);
  pid_t child = fork ();
  if (child == 0)
    {
      char *job = h_job_json ("ug1", 30, 900, 9000, false);
      long status = 0;
      cJSON *o
          = h_call ("POST", h_instance_ports[0], "/v1/jobs", job, &status);
      h_keep_answer (0, status, o);
      _exit (status == 200 && tasks_in_state (o, "done") == 30 ? 0 : 1);
    }
  ck_assert (wait_starts (0, "ug1", 8)); /* as many as it has slots */
  kill (h_upstreams[0], SIGTERM);
  /* From then on it starts nothing.  */
  ck_assert (wait_drain (0));
  int before = h_count_upstream_starts (h_upstream_ports[0], "ug1", NULL);
  int wait_status;
  waitpid (child, &wait_status, 0);
  ck_assert (WIFEXITED (wait_status) && WEXITSTATUS (wait_status) == 0);
  ck_assert_int_gt (before, 0);
  int max = 0, n = before;
  for (int i = 1; i < 3; i++)
    n += h_count_upstream_starts (h_upstream_ports[i], "ug1", &max);
  ck_assert_int_eq (max, 1);
  ck_assert_int_eq (n, 30);
  ck_assert_int_eq (waitpid (h_upstreams[0], &wait_status, 0), h_upstreams[0]);
  h_upstreams[0] = 0;
  ck_assert (WIFEXITED (wait_status) && WEXITSTATUS (wait_status) == 0);
  h_stop_cluster ();
}
END_TEST

/* The upstream holds back its answers until after the job's deadline.  The
   caller must get an answer for all tasks at the deadline: failed, with
   retry_after_s, tasks that were sent (8, one per slot) as "unknown" and the
   others as "not run".  The upstream's start records must confirm this.  */
START_TEST (passed_deadline_fails_the_job_and_not_run_is_true)
{
  h_start_cluster (1, 1, 100);
  set_mode (0, "freeze");
  char *job = h_job_json ("dl1", 20, 100, 1500, false);
  long status = 0;
  mm_time_ms t0 = mm_clock_now_ms ();
  cJSON *o = h_call ("POST", h_instance_ports[0], "/v1/jobs", job, &status);
  mm_time_ms took_ms = mm_clock_now_ms () - t0;
  ck_assert_int_eq (status, 504);
  ck_assert_msg (took_ms < 2500, "answered after %ld ms", (long)took_ms);
  ck_assert_int_eq (tasks_in_state (o, "unknown"), 8);
  ck_assert_int_eq (tasks_in_state (o, "not_run"), 12);
  ck_assert (cJSON_GetNumberValue (cJSON_GetObjectItem (o, "retry_after_s"))
             >= 1);
  set_mode (0, "normal");
  g_usleep (500000);
  ck_assert_int_eq (h_count_upstream_starts (h_upstream_ports[0], "dl1", NULL),
                    8);
  cJSON_Delete (o);
  g_free (job);
  h_stop_cluster ();
}
END_TEST

/* A team with a quota of 40 tasks in the data centre sends 6 jobs of 20 tasks
   to three instances in turn.  Each instance alone has capacity for them.  The
   jobs are spread over the instances by their ids, so that no instance sees
   all of them, but together they must not accept more than the quota.  Refused
   jobs must not run, and another team is served.  */
START_TEST (teams_quota_holds_over_the_data_centre)
{
  h_start_cluster (3, 3, 100);
  const char *cfg = "{\"kind\":\"config\",\"parent\":-1,\"base\":"
                    "\"[teams]\\nt = 40\\n\",\"overlays\":{}}";
  cJSON_Delete (h_call ("POST", h_platform_port, "/v1/log/config", cfg, NULL));
  for (int i = 0; i < 3; i++)
    ck_assert (h_wait_json (h_instance_ports[i], "/v1/state", "config_offset",
                            0, 5000));
  g_usleep (500000);
  pid_t children[6];
  for (int j = 0; j < 6; j++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "quota%d", j);
      char *job = h_job_json (id, 20, 6000, 20000, false);
      children[j] = h_submit (j % 3, job);
      g_free (job);
      g_usleep (700000);
    }
  long status = 0;
  cJSON_Delete (h_call ("POST", h_instance_ports[0], "/v1/jobs",
                        "{\"job_id\":\"other\",\"team\":\"u\",\"tasks\":[{"
                        "\"id\":\"a\",\"run_ms\":5,\"deadline_ms\":15000,"
                        "\"idempotent\":true}]}",
                        &status));
  ck_assert_int_eq (status, 200);
  int served = 0;
  for (int j = 0; j < 6; j++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "quota%d", j);
      bool ok = h_submit_completed (children[j]);
      served += ok;
      ck_assert_int_eq (h_count_starts (id, NULL), ok ? 20 : 0);
    }
  ck_assert_msg (served == 2, "%d jobs of 20 within a quota of 40", served);
  h_stop_cluster ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("jobs");
  TCase *tc = tcase_create ("jobs");
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, resubmit_to_same_instance_starts_nothing_twice);
  tcase_add_test (tc, crossed_answers_reach_their_own_callers);
  tcase_add_test (tc, job_fails_as_a_whole_when_every_upstream_fails);
  tcase_add_test (tc, non_idempotent_lost_answer_is_unknown_not_retried);
  tcase_add_test (tc,
                  leaving_upstream_gets_no_new_work_and_refusals_did_not_run);
  tcase_add_test (tc, graceful_shutdown_finishes_jobs_in_flight);
  tcase_add_test (tc, bad_requests_get_typed_errors);
  tcase_add_test (tc, job_that_cannot_meet_its_deadline_is_refused_at_once);
  tcase_add_test (tc, kept_answers_expire_after_their_ttl);
  tcase_add_test (tc, killed_upstream_leaves_no_partial_answer);
  tcase_add_test (tc, passed_deadline_fails_the_job_and_not_run_is_true);
  tcase_add_test (tc, teams_quota_holds_over_the_data_centre);
  suite_add_tcase (s, tc);
  tc = tcase_create ("graceful");
  tcase_set_tags (tc, "graceful");
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, graceful_stop_of_an_upstream_finishes_its_tasks);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
