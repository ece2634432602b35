/* Ownership of a job among the entry instances of a data centre: a
   resubmit that reaches another instance behind the balancer must not
   start any task again.  */
#include "harness.h"

/* A mediator's job is slow to answer, so the client resubmits it; the
   balancer sends the resubmit to another entry instance.  Both callers
   must get the whole answer, and every task must have started exactly
   once on the upstreams, whichever instance each call reached.  */
START_TEST (resubmit_to_another_instance_starts_nothing_twice)
{
  h_cluster (3, 3, 100);
  g_usleep (600000); /* every instance sees the other two */
  for (int j = 0; j < 6; j++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "own%d", j);
      char *job = h_job_json (id, 20, 200, 5000, false);
      pid_t kids[3];
      for (int i = 0; i < 3; i++)
        {
          kids[i] = h_submit (i, job);
          g_usleep (30000);
        }
      for (int i = 0; i < 3; i++)
        ck_assert_msg (h_answered (kids[i]),
                       "job %s: caller at instance %d got no whole answer", id,
                       i);
      int max = 0;
      ck_assert_int_eq (h_starts (id, &max), 20);
      ck_assert_msg (max == 1, "job %s: a task started %d times", id, max);
      g_free (job);
    }
  h_cluster_stop ();
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
