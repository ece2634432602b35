/* Tests that a job belongs to one instance of a data centre: when a caller
   sends the job again and the load balancer routes it to another instance, no
   task may start again.  */
#include "harness.h"

/* Guards against tasks that start twice when a caller sends a slow job again
   and the load balancer routes the second request to another instance.  All
   callers must get the complete answer, and each task must start exactly once,
   whichever instances the requests reached.  */
START_TEST (resubmit_to_another_instance_starts_nothing_twice)
{
  h_start_cluster (3, 3, 100);
  g_usleep (600000); /* until every instance knows the other two */
  for (int j = 0; j < 6; j++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "own%d", j);
      char *job = h_job_json (id, 20, 200, 5000, false);
      pid_t callers[3];
      for (int i = 0; i < 3; i++)
        {
          callers[i] = h_submit (i, job);
          g_usleep (30000);
        }
      for (int i = 0; i < 3; i++)
        ck_assert_msg (h_submit_completed (callers[i]),
                       "job %s: caller at instance %d got no complete answer",
                       id, i);
      int max_starts = 0;
      ck_assert_int_eq (h_count_starts (id, &max_starts), 20);
      ck_assert_msg (max_starts == 1, "job %s: a task started %d times", id,
                     max_starts);
      g_free (job);
    }
  h_stop_cluster ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("ownership");
  TCase *tc = tcase_create ("ownership");
  tcase_set_timeout (tc, 90);
  tcase_add_test (tc, resubmit_to_another_instance_starts_nothing_twice);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
