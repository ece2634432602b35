/* Tests poison tasks: tasks that crash each upstream that starts them.  */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  UPSTREAMS = 6,
  SLOTS = 3,
  MAX_CRASHES = 2,               /* upstreams that a poison task may crash */
  MAX_CRASHES_BESIDE_OTHERS = 3, /* the same while other jobs run there */
  NOTICE_MS = 200, /* an owner notices a crash within this time */
  CALLER_TIMEOUT_MS = 15000
};

/* Returns the number of upstream crashes that tasks of a job caused.  */
static int
count_crashes (const char *job)
{
  char text[64];
  g_snprintf (text, sizeof text, "crashed by %s", job);
  int n = 0;
  for (int i = 0; i < UPSTREAMS; i++)
    n += h_count_in_upstream_log (i, text);
  return n;
}

/* Submits a job to an instance.  Returns its caller, a process that waits for
   the answer.  */
static pid_t
submit (int node, const char *id, int tasks, int run_ms, bool idempotent)
{
  char *job = h_job_json (id, tasks, run_ms, CALLER_TIMEOUT_MS, idempotent);
  pid_t caller = h_submit (node, job);
  g_free (job);
  return caller;
}

/* Starts two instances, and upstreams that tasks of jobs named "poison..."
   crash.  */
static void
start_cluster (void)
{
  h_upstream_extra_setting = "upstream.poison_jobs=\"poison\"";
  h_start_nodes (UPSTREAMS, SLOTS, 2);
}

/* A poison task that is not idempotent is not run again, so it crashes one
   upstream only.  That upstream must be used again as a new incarnation.  */
START_TEST (crashed_upstream_returns_as_new_incarnation)
{
  start_cluster ();
  pid_t caller = submit (0, "poison-once", 1, 500, false);
  ck_assert (!h_submit_completed (caller));
  ck_assert_int_eq (count_crashes ("poison-once"), 1);
  ck_assert (h_wait_nodes (2, UPSTREAMS, 12000));
  ck_assert (
      h_submit_completed (submit (1, "well", UPSTREAMS * SLOTS, 100, true)));
  h_stop_cluster ();
}
END_TEST

/* An idempotent poison task is run again after a crash, and without a limit
   would crash one upstream after the other.  It must be given up and its job
   must fail.  */
START_TEST (poison_task_crashes_two_upstreams_at_most)
{
  start_cluster ();
  pid_t caller = submit (0, "poison-again", 1, 500, true);
  ck_assert (!h_submit_completed (caller));
  ck_assert_int_le (count_crashes ("poison-again"), MAX_CRASHES);
  ck_assert_int_eq (h_count_in_log (h_instances[0], "\"outcome\":\"failed\""),
                    1);
  h_stop_cluster ();
}
END_TEST

/* A poison job that failed is submitted again, also to an instance that has
   just started and did not see the crashes.  No upstream may crash again.  */
START_TEST (resubmitted_poison_job_fails_at_once)
{
  start_cluster ();
  ck_assert (!h_submit_completed (submit (0, "poison-anew", 1, 500, true)));
  int before = count_crashes ("poison-anew");
  ck_assert_int_le (before, MAX_CRASHES);
  h_stop (h_instances[0], SIGKILL);
  h_start_node (0);
  ck_assert (h_wait_nodes (2, UPSTREAMS, 12000));
  for (int i = 0; i < 4; i++)
    {
      mm_time_ms from_ms = mm_clock_now_ms ();
      pid_t caller = submit (i % 2, "poison-anew", 1, 500, true);
      ck_assert_int_eq (h_submit_status_class (caller),
                        2); /* a complete answer: the job failed */
      ck_assert_int_lt (mm_clock_now_ms () - from_ms, 1000);
    }
  ck_assert_int_eq (count_crashes ("poison-anew"), before);
  h_stop_cluster ();
}
END_TEST

/* Jobs run on the same upstreams as a poison job and lose their tasks when it
   crashes these upstreams: all of them complete nevertheless.  */
START_TEST (jobs_beside_a_poison_job_complete)
{
  enum
  {
    JOBS = 40,
    INTERVAL_MS = 100
  };
  start_cluster ();
  pid_t poison = submit (0, "poison-beside", 1, 500, true);
  pid_t callers[JOBS];
  char id[32];
  for (int i = 0; i < JOBS; i++)
    {
      g_snprintf (id, sizeof id, "well-%d", i);
      callers[i] = submit (i % 2, id, 2, 200, true);
      g_usleep (INTERVAL_MS * 1000);
    }
  for (int i = 0; i < JOBS; i++)
    ck_assert_msg (h_submit_completed (callers[i]),
                   "job %d beside a poison job", i);
  ck_assert (!h_submit_completed (poison));
  ck_assert_int_le (count_crashes ("poison-beside"),
                    MAX_CRASHES_BESIDE_OTHERS);
  h_stop_cluster ();
}
END_TEST

/* A kept job outlives its caller and its home, so the count of its crashes
   must outlive them too.  */
START_TEST (kept_poison_job_ends_failed)
{
  start_cluster ();
  char *job = h_job_json ("poison-kept", 1, 500, CALLER_TIMEOUT_MS, true);
  char *kept = g_strdup_printf ("{\"kept\":true,%s", job + 1);
  long status = 0;
  for (int i = 0; i < 8 && status != 202; i++)
    cJSON_Delete (
        h_call ("POST", h_instance_ports[0], "/v1/jobs", kept, &status));
  ck_assert_int_eq (status, 202);
  char state[16] = "";
  for (int i = 0; i < 150 && strcmp (state, "failed") != 0; i++)
    {
      cJSON *answer = h_call ("GET", h_instance_ports[1],
                              "/v1/jobs/poison-kept", NULL, NULL);
      const char *found
          = cJSON_GetStringValue (cJSON_GetObjectItem (answer, "state"));
      g_strlcpy (state, found ? found : "", sizeof state);
      cJSON_Delete (answer);
      g_usleep (100000);
    }
  ck_assert_str_eq (state, "failed");
  ck_assert_int_le (count_crashes ("poison-kept"), MAX_CRASHES);
  g_free (kept);
  g_free (job);
  h_stop_cluster ();
}
END_TEST

/* Waits until the job has crashed an upstream.  Returns the instance that
   started its task there.  */
static int
wait_for_crash (const char *job)
{
  for (int i = 0; i < 2000 && count_crashes (job) == 0; i++)
    g_usleep (5000);
  ck_assert_int_eq (count_crashes (job), 1);
  return h_log_time_ms (h_instances[0], "\"task_started\"", job) >= 0 ? 0 : 1;
}

/* Guards against a crash that counts for no task because the owner of the
   upstream dies before the leases there have expired.  */
START_TEST (crash_counts_though_the_owner_dies)
{
  start_cluster ();
  pid_t caller = submit (0, "poison-owner", 1, 500, true);
  int owner = wait_for_crash ("poison-owner"), other = 1 - owner;
  g_usleep (NOTICE_MS * 1000);
  h_stop (h_instances[owner], SIGKILL);
  ck_assert (!h_submit_completed (caller));
  ck_assert (
      h_log_time_ms (h_instances[other], "\"upstream_lost\"", "\"tasks\":1")
      >= 0);
  bool failed = false;
  for (int i = 0; i < 5 && !failed; i++)
    {
      caller = submit (other, "poison-owner", 1, 500, true);
      failed = h_submit_status_class (caller) == 2;
      if (!failed)
        g_usleep (1000000);
    }
  ck_assert (failed);
  ck_assert_int_le (count_crashes ("poison-owner"), MAX_CRASHES);
  h_stop_cluster ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("poison");
  TCase *tc = tcase_create ("poison");
  tcase_set_timeout (tc, 90);
  tcase_add_test (tc, crashed_upstream_returns_as_new_incarnation);
  tcase_add_test (tc, resubmitted_poison_job_fails_at_once);
  tcase_add_test (tc, jobs_beside_a_poison_job_complete);
  tcase_add_test (tc, kept_poison_job_ends_failed);
  tcase_add_test (tc, crash_counts_though_the_owner_dies);
  suite_add_tcase (s, tc);
  /* CMakeLists.txt runs this case separately, as test_poison_limit.  */
  tc = tcase_create ("limit");
  tcase_set_tags (tc, "limit");
  tcase_set_timeout (tc, 90);
  tcase_add_test (tc, poison_task_crashes_two_upstreams_at_most);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
