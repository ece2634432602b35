/* A job's owner dies, freezes, is cut off or meets a platform outage; the
   job is handed in again elsewhere.  No task may start twice, and the
   caller gets the whole answer.  */
#include "harness.h"

#include <signal.h>
#include <unistd.h>

enum
{
  N_UPSTREAMS = 3,
  N_ENTRIES = 3
};

static void
assert_started_once (const char *job, int n_tasks)
{
  int max = 0;
  int n = h_starts (job, &max);
  ck_assert_msg (max <= 1, "job %s: a task started %d times on one upstream",
                 job, max);
  ck_assert_msg (n == n_tasks, "job %s: %d starts of %d tasks", job, n,
                 n_tasks);
}

/* Submit until a whole answer comes, coming back as told.  */
static bool
submit_until_complete (int entry, const char *job, mm_time_ms limit_ms)
{
  mm_time_ms until = mm_clock_now_ms () + limit_ms;
  while (mm_clock_now_ms () < until)
    {
      long st = 0;
      cJSON *o = h_call ("POST", h_entry_ports[entry], "/v1/jobs", job, &st);
      cJSON_Delete (o);
      if (st == 200)
        return true;
      g_usleep (300000);
    }
  return false;
}

/* The instance that runs the job, -1 for none.  */
static int
owner_of (const char *job_id)
{
  for (int tries = 0; tries < 40; tries++)
    {
      for (int i = 0; i < N_ENTRIES; i++)
        {
          cJSON *o = h_call ("GET", h_entry_ports[i], "/v1/state", NULL, NULL);
          const cJSON *j;
          bool here = false;
          cJSON_ArrayForEach (j, cJSON_GetObjectItem (o, "jobs"))
            {
              const char *id
                  = cJSON_GetStringValue (cJSON_GetObjectItem (j, "job_id"));
              here = here || (id && g_str_equal (id, job_id));
            }
          cJSON_Delete (o);
          if (here)
            return i;
        }
      g_usleep (25000);
    }
  return -1;
}

/* Three instances that know each other and hold their shards.  */
static void
start_cluster (void)
{
  h_cluster (N_UPSTREAMS, N_ENTRIES, 100);
  g_usleep (1500000);
}

/* A coordinator's job runs; the instance that owns it is killed with
   tasks running and tasks waiting.  The caller at another instance gets
   the whole answer without asking again, a resubmit gets the same, and
   every task has started once.  Cause: only the dead process knew which
   tasks it had started.  */
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
  h_stop (h_entries[owner], SIGKILL);
  for (int i = 0; i < N_ENTRIES; i++)
    {
      bool whole = h_answered (callers[i]);
      ck_assert_msg (whole == (i != owner), "caller at %d, owner %d", i,
                     owner);
    }
  ck_assert (submit_until_complete ((owner + 1) % N_ENTRIES, job, 9000));
  assert_started_once ("kill1", 40);
  g_free (job);
  h_cluster_stop ();
}
END_TEST

/* The owner's machine freezes past its time in the member list with
   tasks still waiting, and the job is handed in again; then the owner
   wakes and goes on where it stopped.  Its starts must be refused: the
   job has a new owner.  */
START_TEST (frozen_owner_starts_nothing_when_it_wakes)
{
  start_cluster ();
  char *job = h_job_json ("freeze1", 60, 500, 20000, false);
  pid_t first = h_submit (0, job);
  int owner = owner_of ("freeze1");
  ck_assert_int_ge (owner, 0);
  g_usleep (200000);
  kill (h_entries[owner], SIGSTOP);
  int other = (owner + 1) % N_ENTRIES;
  ck_assert (submit_until_complete (other, job, 15000));
  kill (h_entries[owner], SIGCONT);
  g_usleep (1500000);
  /* The caller that waited at the frozen instance gets it too.  */
  ck_assert (h_answered (first));
  assert_started_once ("freeze1", 60);
  g_free (job);
  h_cluster_stop ();
}
END_TEST

/* The platform goes down and jobs keep coming: they are served without
   records.  The owner of one dies in the outage; the platform comes back
   and the job is handed in again.  No record names it, yet no task may
   start twice.  */
START_TEST (owner_killed_in_an_outage_leaves_no_double_start)
{
  start_cluster ();
  h_platform_fault ("{\"down\":true}");
  g_usleep (1000000);
  char *job = h_job_json ("out1", 20, 1500, 9000, false);
  pid_t callers[N_ENTRIES];
  for (int i = 0; i < N_ENTRIES; i++)
    callers[i] = h_submit (i, job);
  int owner = owner_of ("out1");
  ck_assert_int_ge (owner, 0);
  g_usleep (600000);
  int max = 0;
  ck_assert_msg (h_starts ("out1", &max) > 0, "nothing served in the outage");
  h_stop (h_entries[owner], SIGKILL);
  for (int i = 0; i < N_ENTRIES; i++)
    h_answered (callers[i]);
  h_platform_fault ("{\"down\":false}");
  ck_assert (submit_until_complete ((owner + 1) % N_ENTRIES, job, 12000));
  assert_started_once ("out1", 20);
  g_free (job);
  h_cluster_stop ();
}
END_TEST

/* Answers of the platform's log get lost after the appends took effect.
   Jobs are recorded more than once by the same owner; each still runs
   once and completes.  */
START_TEST (lost_answers_of_the_log_double_nothing)
{
  start_cluster ();
  for (int j = 0; j < 4; j++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "lost%d", j);
      char *job = h_job_json (id, 10, 100, 8000, false);
      h_platform_fault ("{\"lose_answers\":2}");
      pid_t a = h_submit (0, job), b = h_submit (1, job);
      ck_assert (h_answered (a));
      ck_assert (h_answered (b));
      assert_started_once (id, 10);
      g_free (job);
    }
  h_cluster_stop ();
}
END_TEST

/* One instance is cut off from the platform while its peers are not: they
   drop it from the list and take over its shards.  Jobs that its callers
   hand in must still be answered, and jobs handed in on both sides of
   the cut must not start twice.  */
START_TEST (instance_cut_off_from_the_platform_passes_its_jobs_on)
{
  start_cluster ();
  h_platform_fault ("{\"cut\":\"entry0\"}");
  for (int j = 0; j < 12; j++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "cut%d", j);
      char *job = h_job_json (id, 6, 150, 8000, false);
      pid_t a = h_submit (0, job), b = h_submit (1, job);
      ck_assert_msg (h_answered (a), "job %s at the cut instance", id);
      ck_assert_msg (h_answered (b), "job %s at its peer", id);
      assert_started_once (id, 6);
      g_free (job);
    }
  h_platform_fault ("{\"cut\":\"\"}");
  h_cluster_stop ();
}
END_TEST

/* A new instance joins while every job is handed in at two instances
   whose member lists differ for a moment, and one leaves gracefully.
   Each job runs once.  */
START_TEST (instances_joining_and_leaving_double_nothing)
{
  h_cluster (N_UPSTREAMS, 2, 300);
  g_usleep (1500000);
  for (int j = 0; j < 30; j++)
    {
      if (j == 6)
        h_start_entry (2);
      if (j == 20)
        kill (h_entries[0], SIGTERM);
      char id[16];
      g_snprintf (id, sizeof id, "join%d", j);
      char *job = h_job_json (id, 4, 100, 8000, false);
      pid_t a = h_submit (j < 20 ? 0 : 2, job);
      pid_t b = h_submit (1, job);
      ck_assert_msg (h_answered (a), "job %s, first caller", id);
      ck_assert_msg (h_answered (b), "job %s, second caller", id);
      assert_started_once (id, 4);
      g_free (job);
    }
  h_cluster_stop ();
}
END_TEST

/* The platform is out, jobs are served without records, and then every
   entry instance loses power.  The platform and new instances come back
   and the job is handed in again.  Nobody is left who saw the outage, and
   no record names the job, yet no task may start twice.  */
START_TEST (all_instances_killed_in_an_outage_double_nothing)
{
  start_cluster ();
  h_platform_fault ("{\"down\":true}");
  g_usleep (1000000);
  char *job = h_job_json ("herd1", 20, 3000, 20000, false);
  pid_t caller = h_submit (0, job);
  g_usleep (1500000);
  int max = 0;
  ck_assert_msg (h_starts ("herd1", &max) > 0, "nothing served in the outage");
  for (int i = 0; i < N_ENTRIES; i++)
    h_stop (h_entries[i], SIGKILL);
  ck_assert (!h_answered (caller));
  h_platform_fault ("{\"down\":false}");
  for (int i = 0; i < N_ENTRIES; i++)
    h_start_entry (i);
  for (int i = 0; i < N_ENTRIES; i++)
    ck_assert (h_wait_port (h_entry_ports[i], 5000));
  g_usleep (3000000);
  ck_assert (submit_until_complete (1, job, 15000));
  assert_started_once ("herd1", 20);
  g_free (job);
  h_cluster_stop ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("takeover");
  TCase *tc = tcase_create ("takeover");
  tcase_set_timeout (tc, 90);
  tcase_add_test (tc, killed_owners_job_is_finished_elsewhere);
  tcase_add_test (tc, frozen_owner_starts_nothing_when_it_wakes);
  tcase_add_test (tc, owner_killed_in_an_outage_leaves_no_double_start);
  tcase_add_test (tc, lost_answers_of_the_log_double_nothing);
  tcase_add_test (tc, instance_cut_off_from_the_platform_passes_its_jobs_on);
  tcase_add_test (tc, instances_joining_and_leaving_double_nothing);
  tcase_add_test (tc, all_instances_killed_in_an_outage_double_nothing);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
