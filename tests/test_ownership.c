/* Ownership of a job among the entry instances of a data centre: a
   resubmit that reaches another instance behind the balancer must not
   start any task again.  */
#include "harness.h"

#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

static int
starts (const char *job, int *max)
{
  int n = 0;
  for (int i = 0; i < 3; i++)
    n += h_starts_of (h_upstream_ports[i], job, max);
  return n;
}

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
        if ((kids[i] = fork ()) == 0)
          {
            long st = 0;
            g_usleep ((useconds_t)(i * 30000));
            cJSON *o = h_call ("POST", h_entry_ports[i], "/v1/jobs", job, &st);
            const char *status
                = cJSON_GetStringValue (cJSON_GetObjectItem (o, "status"));
            if (!(st == 200 && status && g_str_equal (status, "complete")))
              {
                char *text = cJSON_PrintUnformatted (o);
                fprintf (stderr, "instance %d answered %ld: %.300s\n", i, st,
                         text ? text : "(none)");
                _exit (1);
              }
            _exit (0);
          }
      for (int i = 0; i < 3; i++)
        {
          int wst;
          waitpid (kids[i], &wst, 0);
          ck_assert_msg (WIFEXITED (wst) && WEXITSTATUS (wst) == 0,
                         "job %s: caller at instance %d got no whole answer",
                         id, i);
        }
      int max = 0;
      ck_assert_int_eq (starts (id, &max), 20);
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
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? 1 : 0;
}
