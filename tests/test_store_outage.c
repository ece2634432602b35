/* Tests instances of masticmill-node whose store goes down while upstreams are
   handed over to an instance that has just joined.  */
#include "harness.h"

#include <string.h>

enum
{
  UPSTREAMS = 1, /* in half of the runs it is handed over */
  JOBS = 6,
  EVERY_MS = 300,
  LAST_DELAY_MS = 100, /* the handover has ended by then */
  DELAY_STEP_MS = 10
};

static bool
is_ready (int node)
{
  cJSON *o = h_call ("GET", h_node_state_port (node), "/", NULL, NULL);
  bool ready = cJSON_IsTrue (cJSON_GetObjectItem (o, "ready"));
  cJSON_Delete (o);
  return ready;
}

/* Waits until the first instance has learned that it is to hand partitions
   over, which is some ms after the second one has joined.  */
static void
wait_handover (void)
{
  mm_time_ms timeout_at_ms = mm_clock_now_ms () + 5000;
  while (mm_clock_now_ms () < timeout_at_ms)
    {
      if (h_count_in_log (h_instances[0], "\"leaving\":8"))
        return;
      g_usleep (500);
    }
  ck_abort_msg ("the second instance has not joined");
}

static bool
served (int node, const char *name, int number)
{
  char id[32];
  g_snprintf (id, sizeof id, "%s%d-%d", name, node, number);
  char *job = h_job_json (id, 4, 50, 20000, true);
  bool ok = h_submit_completed (h_submit (node, job));
  g_free (job);
  return ok;
}

/* Guards against upstreams that nobody serves while the store is down, because
   it went down in the midst of their handover.  */
START_TEST (outage_during_a_handover_affects_no_caller)
{
  h_start_nodes (UPSTREAMS, 4, 1);
  h_start_node (1);
  wait_handover ();
  g_usleep ((gulong)_i * DELAY_STEP_MS * 1000);
  h_set_platform_faults ("{\"down\":true}");
  bool second_is_ready = is_ready (1);
  int unserved = 0;
  for (int i = 0; i < JOBS; i++)
    {
      unserved += !served (0, "out", i);
      if (second_is_ready)
        unserved += !served (1, "out", i);
      g_usleep (EVERY_MS * 1000);
    }
  h_set_platform_faults ("{\"down\":false}");
  ck_assert_msg (unserved == 0, "%d jobs not served, down after %d ms",
                 unserved, _i * DELAY_STEP_MS);
  ck_assert (h_wait_nodes (2, UPSTREAMS, 8000));
  ck_assert (served (0, "back", 0));
  ck_assert (served (1, "back", 0));
  int max_starts = 0, over_capacity = 0;
  h_count_starts ("out", &max_starts);
  g_array_free (h_read_runs (UPSTREAMS, &over_capacity), TRUE);
  ck_assert_int_le (max_starts, 1);
  ck_assert_int_eq (over_capacity, 0);
  h_stop_cluster ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("store_outage");
  TCase *tc = tcase_create ("handover");
  tcase_set_timeout (tc, 60);
  tcase_add_loop_test (tc, outage_during_a_handover_affects_no_caller, 0,
                       LAST_DELAY_MS / DELAY_STEP_MS + 1);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
