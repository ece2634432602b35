/* Tests the takeover of a job whose owner dies, stalls, is disconnected or
   runs during a platform outage, when the job is submitted again at another
   instance.  No task may start twice, and the caller gets the complete
   answer.  */
#include "harness.h"

#include <signal.h>
#include <unistd.h>

enum
{
  N_UPSTREAMS = 3,
  N_ENTRIES = 3
};

/* Checks that the upstreams' start records hold @n_tasks starts of a job, and
   no task twice at the same upstream.  */
static void
assert_started_once (const char *job, int n_tasks)
{
  int max_starts = 0;
  int n = h_count_starts (job, &max_starts);
  ck_assert_msg (max_starts <= 1,
                 "job %s: a task started %d times on one upstream", job,
                 max_starts);
  ck_assert_msg (n == n_tasks, "job %s: %d starts of %d tasks", job, n,
                 n_tasks);
}

/* Submits the job again and again, for @limit_ms at most, until the answer is
   complete.  Returns whether it was.  */
static bool
submit_until_complete (int entry, const char *job, mm_time_ms limit_ms)
{
  mm_time_ms deadline_ms = mm_clock_now_ms () + limit_ms;
  while (mm_clock_now_ms () < deadline_ms)
    {
      long status = 0;
      cJSON *answer
          = h_call ("POST", h_instance_ports[entry], "/v1/jobs", job, &status);
      cJSON_Delete (answer);
      if (status == 200)
        return true;
      g_usleep (300000);
    }
  return false;
}

/* Returns the index of the instance that runs the job, -1 if none does within
   about 1 s.  */
static int
owner_of (const char *job_id)
{
  for (int attempt = 0; attempt < 40; attempt++)
    {
      for (int i = 0; i < N_ENTRIES; i++)
        {
          cJSON *answer
              = h_call ("GET", h_instance_ports[i], "/v1/state", NULL, NULL);
          const cJSON *job_item;
          bool here = false;
          cJSON_ArrayForEach (job_item, cJSON_GetObjectItem (answer, "jobs"))
            {
              const char *id = cJSON_GetStringValue (
                  cJSON_GetObjectItem (job_item, "job_id"));
              here = here || (id && g_str_equal (id, job_id));
            }
          cJSON_Delete (answer);
          if (here)
            return i;
        }
      g_usleep (25000);
    }
  return -1;
}

/* Starts N_ENTRIES instances and waits until they know each other and own
   their shards of jobs.  */
static void
start_cluster (void)
{
  h_start_cluster (N_UPSTREAMS, N_ENTRIES, 100);
  g_usleep (1500000);
}

/* Guards against tasks started twice when the instance that owns a job is
   killed while tasks are running and waiting: only the dead process knew which
   tasks it had started.  Callers at other instances get the complete answer
   without a second request, and so does the resubmitted job.  */
START_TEST (killed_owners_job_is_finished_elsewhere)
{
  start_cluster ();
  char *job = h_job_json ("kill1", 40, 500, 9000, false);
  pid_t callers[N_ENTRIES];
  for (int i = 0; i < N_ENTRIES; i++)
    callers[i] = h_submit (i, job);
  g_usleep (250000);
  int owner = owner_of ("kill1");
  ck_assert_int_ge (owner, 0);
  h_stop (h_instances[owner], SIGKILL);
  for (int i = 0; i < N_ENTRIES; i++)
    {
      bool complete = h_submit_completed (callers[i]);
      ck_assert_msg (complete == (i != owner), "caller at %d, owner %d", i,
                     owner);
    }
  ck_assert (submit_until_complete ((owner + 1) % N_ENTRIES, job, 9000));
  assert_started_once ("kill1", 40);
  g_free (job);
  h_stop_cluster ();
}
END_TEST

/* Guards against tasks started twice by an owner that resumes after a stall.
   It stalls with tasks still waiting, until its membership has expired.  The
   job is submitted again and gets a new owner; when the previous one resumes
   where it stopped, its starts must be refused.  */
START_TEST (stalled_owner_starts_nothing_when_it_resumes)
{
  start_cluster ();
  char *job = h_job_json ("freeze1", 60, 500, 20000, false);
  pid_t first = h_submit (0, job);
  int owner = owner_of ("freeze1");
  ck_assert_int_ge (owner, 0);
  g_usleep (200000);
  kill (h_instances[owner], SIGSTOP);
  int other = (owner + 1) % N_ENTRIES;
  ck_assert (submit_until_complete (other, job, 15000));
  kill (h_instances[owner], SIGCONT);
  g_usleep (1500000);
  /* The caller that waited at the stalled instance gets the answer too.  */
  ck_assert (h_submit_completed (first));
  assert_started_once ("freeze1", 60);
  g_free (job);
  h_stop_cluster ();
}
END_TEST

/* Guards against tasks started twice after a platform outage, in which jobs
   are served without records.  The owner of a job dies in the outage, the
   platform comes back, and the job is submitted again; no record names the
   job.  */
START_TEST (owner_killed_in_an_outage_leaves_no_double_start)
{
  start_cluster ();
  h_set_platform_faults ("{\"down\":true}");
  g_usleep (1000000);
  char *job = h_job_json ("out1", 20, 1500, 9000, false);
  pid_t callers[N_ENTRIES];
  for (int i = 0; i < N_ENTRIES; i++)
    callers[i] = h_submit (i, job);
  int owner = owner_of ("out1");
  ck_assert_int_ge (owner, 0);
  g_usleep (600000);
  int max_starts = 0;
  ck_assert_msg (h_count_starts ("out1", &max_starts) > 0,
                 "nothing served in the outage");
  h_stop (h_instances[owner], SIGKILL);
  for (int i = 0; i < N_ENTRIES; i++)
    h_submit_completed (callers[i]);
  h_set_platform_faults ("{\"down\":false}");
  ck_assert (submit_until_complete ((owner + 1) % N_ENTRIES, job, 12000));
  assert_started_once ("out1", 20);
  g_free (job);
  h_stop_cluster ();
}
END_TEST

/* Guards against jobs that run twice when answers of the platform's log are
   lost after the appends took effect, so that the same owner records a job
   more than once.  Each job must run once and complete.  */
START_TEST (lost_answers_of_the_log_double_nothing)
{
  start_cluster ();
  for (int j = 0; j < 4; j++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "lost%d", j);
      char *job = h_job_json (id, 10, 100, 8000, false);
      h_set_platform_faults ("{\"lose_answers\":2}");
      pid_t a = h_submit (0, job), b = h_submit (1, job);
      ck_assert (h_submit_completed (a));
      ck_assert (h_submit_completed (b));
      assert_started_once (id, 10);
      g_free (job);
    }
  h_stop_cluster ();
}
END_TEST

/* Guards against unanswered or doubled jobs when one instance is disconnected
   from the platform and its peers are not: they drop it from the list and take
   over its shards.  Jobs submitted to the disconnected instance must be
   answered, and jobs submitted both there and at a peer must not start
   twice.  */
START_TEST (instance_disconnected_from_the_platform_passes_its_jobs_on)
{
  start_cluster ();
  h_set_platform_faults ("{\"cut\":\"entry0\"}");
  for (int j = 0; j < 12; j++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "cut%d", j);
      char *job = h_job_json (id, 6, 150, 8000, false);
      pid_t a = h_submit (0, job), b = h_submit (1, job);
      ck_assert_msg (h_submit_completed (a), "job %s at the cut instance", id);
      ck_assert_msg (h_submit_completed (b), "job %s at its peer", id);
      assert_started_once (id, 6);
      g_free (job);
    }
  h_set_platform_faults ("{\"cut\":\"\"}");
  h_stop_cluster ();
}
END_TEST

/* Returns how many instances report that they saw an outage of the platform.
 */
static int
instances_that_saw_an_outage (void)
{
  cJSON *list = h_call ("GET", h_platform_port, "/v1/members", NULL, NULL);
  int n_instances = 0, n_saw = 0;
  const cJSON *member;
  cJSON_ArrayForEach (member, cJSON_GetObjectItem (list, "members"))
    {
      const cJSON *outage_ms = cJSON_GetObjectItem (member, "outage_ms");
      n_instances += cJSON_IsNumber (outage_ms);
      n_saw += cJSON_IsNumber (outage_ms) && outage_ms->valuedouble > 0;
    }
  cJSON_Delete (list);
  ck_assert_int_eq (n_instances, N_ENTRIES);
  return n_saw;
}

/* Guards against jobs answered with 503 because a check of the log, which is
   given up after 300 ms, was taken for an outage of the platform.  */
START_TEST (platform_that_pauses_for_700_ms_has_no_outage)
{
  start_cluster ();
  /* A job that misses its deadline is answered after such a check.  */
  char *job = h_job_json ("pause1", 200, 1000, 20, false);
  pid_t callers[N_ENTRIES];
  kill (h_platform, SIGSTOP);
  g_usleep (300000);
  for (int i = 0; i < N_ENTRIES; i++)
    callers[i] = h_submit (i, job);
  g_usleep (400000);
  kill (h_platform, SIGCONT);
  for (int i = 0; i < N_ENTRIES; i++)
    ck_assert_int_eq (h_submit_status_class (callers[i]), 5);
  g_usleep (1000000);
  ck_assert_int_eq (h_count_starts ("pause1", NULL), 0);
  ck_assert_int_eq (instances_that_saw_an_outage (), 0);
  g_free (job);
  h_stop_cluster ();
}
END_TEST

/* Guards against jobs that run twice while an instance joins and another
   leaves gracefully: every job is submitted at two instances, whose member
   lists differ for a moment.  */
START_TEST (instances_joining_and_leaving_double_nothing)
{
  h_start_cluster (N_UPSTREAMS, 2, 300);
  g_usleep (1500000);
  for (int j = 0; j < 30; j++)
    {
      if (j == 6)
        h_start_entry (2);
      if (j == 20)
        kill (h_instances[0], SIGTERM);
      char id[16];
      g_snprintf (id, sizeof id, "join%d", j);
      char *job = h_job_json (id, 4, 100, 8000, false);
      pid_t a = h_submit (j < 20 ? 0 : 2, job);
      pid_t b = h_submit (1, job);
      ck_assert_msg (h_submit_completed (a), "job %s, first caller", id);
      ck_assert_msg (h_submit_completed (b), "job %s, second caller", id);
      assert_started_once (id, 4);
      g_free (job);
    }
  h_stop_cluster ();
}
END_TEST

/* Guards against tasks started twice when all entry instances lose power in a
   platform outage, in which jobs are served without records.  The platform and
   new instances come back, and the job is submitted again.  No remaining
   instance saw the outage, and no record names the job.  */
START_TEST (all_instances_killed_in_an_outage_double_nothing)
{
  start_cluster ();
  h_set_platform_faults ("{\"down\":true}");
  g_usleep (1000000);
  char *job = h_job_json ("herd1", 20, 3000, 20000, false);
  pid_t caller = h_submit (0, job);
  g_usleep (1500000);
  int max_starts = 0;
  ck_assert_msg (h_count_starts ("herd1", &max_starts) > 0,
                 "nothing served in the outage");
  for (int i = 0; i < N_ENTRIES; i++)
    h_stop (h_instances[i], SIGKILL);
  ck_assert (!h_submit_completed (caller));
  h_set_platform_faults ("{\"down\":false}");
  for (int i = 0; i < N_ENTRIES; i++)
    h_start_entry (i);
  for (int i = 0; i < N_ENTRIES; i++)
    ck_assert (h_wait_port (h_instance_ports[i], 5000));
  g_usleep (3000000);
  ck_assert (submit_until_complete (1, job, 15000));
  assert_started_once ("herd1", 20);
  g_free (job);
  h_stop_cluster ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("takeover");
  TCase *tc = tcase_create ("takeover");
  tcase_set_timeout (tc, 90);
  tcase_add_test (tc, killed_owners_job_is_finished_elsewhere);
  tcase_add_test (tc, stalled_owner_starts_nothing_when_it_resumes);
  tcase_add_test (tc, owner_killed_in_an_outage_leaves_no_double_start);
  tcase_add_test (tc, lost_answers_of_the_log_double_nothing);
  suite_add_tcase (s, tc);
  tc = tcase_create ("pause");
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, platform_that_pauses_for_700_ms_has_no_outage);
  suite_add_tcase (s, tc);
  tc = tcase_create ("disconnected");
  tcase_set_tags (tc, "disconnected");
  tcase_set_timeout (tc, 90);
  tcase_add_test (tc,
                  instance_disconnected_from_the_platform_passes_its_jobs_on);
  suite_add_tcase (s, tc);
  tc = tcase_create ("outage");
  tcase_set_tags (tc, "outage");
  tcase_set_timeout (tc, 90);
  tcase_add_test (tc, all_instances_killed_in_an_outage_double_nothing);
  suite_add_tcase (s, tc);
  tc = tcase_create ("changes");
  tcase_set_tags (tc, "changes");
  tcase_set_timeout (tc, 90);
  tcase_add_test (tc, instances_joining_and_leaving_double_nothing);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
