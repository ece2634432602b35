/* Tasks that crash each upstream that starts them.  */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  UPSTREAMS = 6,
  SLOTS = 3,
  CRASHES = 2, /* then a task is given up */
  CRASHES_BESIDE_OTHERS = 3,
  PATIENCE_MS = 15000
};

static int
crashes (const char *job)
{
  char text[64];
  g_snprintf (text, sizeof text, "crashed by %s", job);
  int n = 0;
  for (int i = 0; i < UPSTREAMS; i++)
    n += h_count_in_upstream_log (i, text);
  return n;
}

static pid_t
submit (int node, const char *id, int tasks, int run_ms, bool idempotent)
{
  char *job = h_job_json (id, tasks, run_ms, PATIENCE_MS, idempotent);
  pid_t p = h_submit (node, job);
  g_free (job);
  return p;
}

static void
start (void)
{
  h_upstream_extra_setting = "upstream.poison_jobs=\"poison\"";
  h_start_nodes (UPSTREAMS, SLOTS, 2);
}

START_TEST (upstream_that_crashes_is_back_as_another)
{
  start ();
  pid_t p = submit (0, "poison-once", 1, 500, false);
  ck_assert (!h_submit_completed (p));
  ck_assert_int_eq (crashes ("poison-once"), 1);
  ck_assert (h_wait_nodes (2, UPSTREAMS, 12000));
  ck_assert (
      h_submit_completed (submit (1, "well", UPSTREAMS * SLOTS, 100, true)));
  h_stop_cluster ();
}
END_TEST

START_TEST (poison_task_crashes_two_upstreams_at_most)
{
  start ();
  pid_t p = submit (0, "poison-again", 1, 500, true);
  ck_assert (!h_submit_completed (p));
  ck_assert_int_le (crashes ("poison-again"), CRASHES);
  ck_assert_int_eq (h_count_in_log (h_instances[0], "\"outcome\":\"failed\""),
                    1);
  h_stop_cluster ();
}
END_TEST

/* Sent again to any instance, also one that has just started, it crashes
   nothing more.  */
START_TEST (poison_job_sent_again_is_answered_failed_at_once)
{
  start ();
  ck_assert (!h_submit_completed (submit (0, "poison-anew", 1, 500, true)));
  int before = crashes ("poison-anew");
  ck_assert_int_le (before, CRASHES);
  h_stop (h_instances[0], SIGKILL);
  h_start_node (0);
  ck_assert (h_wait_nodes (2, UPSTREAMS, 12000));
  for (int i = 0; i < 4; i++)
    {
      mm_time_ms from_ms = mm_clock_now_ms ();
      pid_t p = submit (i % 2, "poison-anew", 1, 500, true);
      ck_assert_int_eq (h_submit_status_class (p), 2); /* whole: failed */
      ck_assert_int_lt (mm_clock_now_ms () - from_ms, 1000);
    }
  ck_assert_int_eq (crashes ("poison-anew"), before);
  h_stop_cluster ();
}
END_TEST

/* Jobs that stand beside a poison one on upstreams that it crashes.  */
START_TEST (jobs_beside_a_poison_one_are_answered_whole)
{
  enum
  {
    JOBS = 40,
    EVERY_MS = 100
  };
  start ();
  pid_t poison = submit (0, "poison-beside", 1, 500, true);
  pid_t p[JOBS];
  char id[32];
  for (int i = 0; i < JOBS; i++)
    {
      g_snprintf (id, sizeof id, "well-%d", i);
      p[i] = submit (i % 2, id, 2, 200, true);
      g_usleep (EVERY_MS * 1000);
    }
  for (int i = 0; i < JOBS; i++)
    ck_assert_msg (h_submit_completed (p[i]), "job %d beside a poison one", i);
  ck_assert (!h_submit_completed (poison));
  ck_assert_int_le (crashes ("poison-beside"), CRASHES_BESIDE_OTHERS);
  h_stop_cluster ();
}
END_TEST

/* A kept job outlives its caller and its home, and so must the count.  */
START_TEST (kept_poison_job_ends_failed)
{
  start ();
  char *job = h_job_json ("poison-kept", 1, 500, PATIENCE_MS, true);
  char *kept = g_strdup_printf ("{\"kept\":true,%s", job + 1);
  long status = 0;
  for (int i = 0; i < 8 && status != 202; i++)
    cJSON_Delete (
        h_call ("POST", h_instance_ports[0], "/v1/jobs", kept, &status));
  ck_assert_int_eq (status, 202);
  char state[16] = "";
  for (int i = 0; i < 150 && strcmp (state, "failed") != 0; i++)
    {
      cJSON *o = h_call ("GET", h_instance_ports[1], "/v1/jobs/poison-kept",
                         NULL, NULL);
      const char *s = cJSON_GetStringValue (cJSON_GetObjectItem (o, "state"));
      g_strlcpy (state, s ? s : "", sizeof state);
      cJSON_Delete (o);
      g_usleep (100000);
    }
  ck_assert_str_eq (state, "failed");
  ck_assert_int_le (crashes ("poison-kept"), CRASHES);
  g_free (kept);
  g_free (job);
  h_stop_cluster ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("poison");
  TCase *tc = tcase_create ("poison");
  tcase_set_timeout (tc, 90);
  tcase_add_test (tc, upstream_that_crashes_is_back_as_another);
  tcase_add_test (tc, poison_job_sent_again_is_answered_failed_at_once);
  tcase_add_test (tc, jobs_beside_a_poison_one_are_answered_whole);
  tcase_add_test (tc, kept_poison_job_ends_failed);
  suite_add_tcase (s, tc);
  /* Run by itself, as test_poison_limit.  */
  tc = tcase_create ("limit");
  tcase_set_tags (tc, "limit");
  tcase_set_timeout (tc, 90);
  tcase_add_test (tc, poison_task_crashes_two_upstreams_at_most);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
