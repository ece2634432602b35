/* Tests data centres all of whose instances are lost at once, with real
   instances and stand-ins.  Their upstreams go on.  The kept jobs of a lost
   instance, and those with a run on such an upstream, must still be done.  */
#include "config.h"
#include "harness.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>

enum
{
  NODES = 4,
  UPSTREAMS = 4,
  JOBS = 12,
  RUN_MS = 1500
};

/* A job is asked for this long after the load has ended.  */
#define FINISH_MS 14000
/* Machines without power keep their connections open for this long.  */
#define DARK_MS 3000

static void
sleep_ms (int ms)
{
  g_usleep ((gulong)ms * 1000);
}

/* Starts instances and as many upstreams, in the data centres @names.  */
static void
start (const char *const *names)
{
  memset (h_datacentres, 0, sizeof h_datacentres);
  for (int i = 0; i < NODES; i++)
    h_datacentres[i] = names[i];
  h_node_extra_setting = "node.datacentres=[\"dc1\",\"dc2\",\"dc3\"]";
  h_start_nodes (UPSTREAMS, 4, NODES);
}

/* Submits a kept job, up to eight times, as a caller would.  */
static void
submit_kept (int node, const char *id)
{
  char *job = h_job_json (id, 2, RUN_MS, 20000, true);
  char *kept = g_strdup_printf ("{\"kept\":true,%s", job + 1);
  long status = 0;
  for (int i = 0; i < 8 && status != 202; i++)
    {
      cJSON_Delete (
          h_call ("POST", h_instance_ports[node], "/v1/jobs", kept, &status));
      if (status != 202)
        sleep_ms (500);
    }
  ck_assert_int_eq (status, 202);
  g_free (kept);
  g_free (job);
}

/* Submits JOBS kept jobs, whose names begin with @name, to the instances
   @first to @last in turn, and waits until some of their tasks run.  */
static void
submit_jobs (const char *name, int first, int last)
{
  char id[32];
  for (int i = 0; i < JOBS; i++)
    {
      g_snprintf (id, sizeof id, "%s-%d", name, i);
      submit_kept (first + i % (last - first + 1), id);
    }
  sleep_ms (500);
}

static bool
is_completed (int node, const char *id)
{
  char *path = g_strdup_printf ("/v1/jobs/%s", id);
  cJSON *o = h_call ("GET", h_instance_ports[node], path, NULL, NULL);
  const char *state = cJSON_GetStringValue (cJSON_GetObjectItem (o, "state"));
  bool completed = g_strcmp0 (state, "completed") == 0;
  cJSON_Delete (o);
  g_free (path);
  return completed;
}

/* Asserts that no two runs of a task overlapped and that none started after a
   run that was done.  */
static void
assert_no_task_ran_twice (void)
{
  GArray *runs = h_read_runs (UPSTREAMS, NULL);
  for (guint i = 0; i < runs->len; i++)
    for (guint k = 0; k < runs->len; k++)
      {
        const h_run *a = &g_array_index (runs, h_run, i);
        const h_run *b = &g_array_index (runs, h_run, k);
        if (i == k || strcmp (a->task, b->task) != 0)
          continue;
        ck_assert_msg (a->to_ms <= b->from_ms || b->to_ms <= a->from_ms,
                       "%s ran twice at once", a->task);
        ck_assert_msg (!a->done || b->to_ms <= a->from_ms,
                       "%s started again after it was done", a->task);
      }
  g_array_free (runs, TRUE);
}

/* Asserts that all jobs of submit_jobs() are completed within FINISH_MS after
   their work, whatever was lost, and that no task ran twice.  */
static void
assert_jobs_done (const char *name, int node)
{
  int left = JOBS;
  char id[32];
  for (int waited = 0; waited < 2 * RUN_MS + FINISH_MS && left; waited += 200)
    {
      sleep_ms (200);
      left = 0;
      for (int i = 0; i < JOBS; i++)
        {
          g_snprintf (id, sizeof id, "%s-%d", name, i);
          left += !is_completed (node, id);
        }
    }
  ck_assert_msg (left == 0, "%d of %d kept jobs are not done", left, JOBS);
  assert_no_task_ran_twice ();
}

static void
stop_instances (const int *nodes, int n)
{
  for (int i = 0; i < n; i++)
    kill (h_instances[nodes[i]], SIGSTOP);
}

/* The instances answer nothing and their connections hang; later the processes
   are gone.  h_stop() would continue them before.  */
static void
lose_power (const int *nodes, int n)
{
  stop_instances (nodes, n);
  sleep_ms (DARK_MS);
  for (int i = 0; i < n; i++)
    {
      kill (h_instances[nodes[i]], SIGKILL);
      waitpid (h_instances[nodes[i]], NULL, 0);
    }
}

/* Returns how many upstreams an instance owns and can use.  */
static int
count_owned_by (int node)
{
  int owned = 0;
  cJSON *o = h_call ("GET", h_node_state_port (node), "/", NULL, NULL);
  const cJSON *row;
  cJSON_ArrayForEach (
      row, cJSON_GetObjectItem (cJSON_GetObjectItem (o, "owner"), "upstreams"))
    owned += cJSON_IsTrue (cJSON_GetObjectItem (row, "usable"));
  cJSON_Delete (o);
  return owned;
}

/* Waits until two instances own @want upstreams together.  */
static bool
wait_owned_by_two (int a, int b, int want, mm_time_ms timeout_ms)
{
  mm_time_ms until_ms = mm_clock_now_ms () + timeout_ms;
  while (count_owned_by (a) + count_owned_by (b) != want)
    {
      if (mm_clock_now_ms () > until_ms)
        return false;
      sleep_ms (100);
    }
  return true;
}

static const char *const halves[NODES] = { "dc1", "dc2", "dc1", "dc2" };
static const int dc1[] = { 0, 2 }, dc2[] = { 1, 3 };

/* Guards against kept jobs that wait for ever for the owners of a data centre
   whose instances lost power and so closed no link.  */
START_TEST (data_centre_that_loses_power_gets_a_standby)
{
  start (halves);
  submit_jobs ("power", 0, 3);
  lose_power (dc2, 2);
  assert_jobs_done ("power", 0);
  h_stop_cluster ();
}
END_TEST

/* The same with instances that are frozen, and whose sockets are still open.
 */
START_TEST (data_centre_that_is_frozen_for_good_gets_a_standby)
{
  start (halves);
  submit_jobs ("frozen", 0, 3);
  stop_instances (dc2, 2);
  assert_jobs_done ("frozen", 0);
  h_stop_cluster ();
}
END_TEST

/* Guards against a second run, and against upstreams that stay with the
   standbys, when the instances of the data centre go on after a long time.  */
START_TEST (data_centre_that_wakes_up_gets_its_upstreams_back)
{
  start (halves);
  submit_jobs ("asleep", 0, 3);
  stop_instances (dc2, 2);
  ck_assert (wait_owned_by_two (0, 2, UPSTREAMS, FINISH_MS));
  submit_jobs ("awake", 0, 0);
  for (int i = 0; i < 2; i++)
    kill (h_instances[dc2[i]], SIGCONT);
  assert_jobs_done ("asleep", 0);
  assert_jobs_done ("awake", 0);
  ck_assert (h_wait_nodes (NODES, UPSTREAMS, 8000));
  ck_assert (wait_owned_by_two (dc2[0], dc2[1], 2, 8000));
  h_stop_cluster ();
}
END_TEST

/* Guards against a data centre without owners when the instance that lost it
   from sight is itself in one that is lost later.  */
START_TEST (data_centres_that_lose_power_in_turn_get_standbys)
{
  static const char *const thirds[NODES] = { "dc1", "dc2", "dc3", "dc1" };
  static const int second[] = { 1 }, third[] = { 2 };
  start (thirds);
  submit_jobs ("first", 0, 3);
  lose_power (second, 1);
  assert_jobs_done ("first", 0);
  submit_jobs ("second", 2, 3);
  lose_power (third, 1);
  assert_jobs_done ("second", 0);
  ck_assert (wait_owned_by_two (0, 3, UPSTREAMS, 5000));
  h_stop_cluster ();
}
END_TEST

/* Guards against a lost data centre that no instance takes over once all that
   saw the loss were restarted.  */
START_TEST (instances_that_start_after_a_loss_become_standby)
{
  start (halves);
  for (int i = 0; i < 2; i++)
    h_stop (h_instances[dc2[i]], SIGKILL);
  ck_assert (wait_owned_by_two (0, 2, UPSTREAMS, FINISH_MS));
  submit_jobs ("restart", 0, 0);
  for (int i = 0; i < 2; i++)
    h_stop (h_instances[dc1[i]], SIGKILL);
  for (int i = 0; i < 2; i++)
    h_start_node (dc1[i]);
  ck_assert (wait_owned_by_two (0, 2, UPSTREAMS, FINISH_MS));
  assert_jobs_done ("restart", 0);
  h_stop_cluster ();
}
END_TEST

/* The other instance of the data centre gets the upstreams of the one that
   lost power.  */
START_TEST (instance_that_loses_power_leaves_its_upstreams_to_the_other)
{
  static const int one[] = { 3 };
  start (halves);
  submit_jobs ("one", 0, 3);
  lose_power (one, 1);
  assert_jobs_done ("one", 0);
  h_stop_cluster ();
}
END_TEST

/* Guards against a standby that takes the upstreams of a data centre from the
   instances that serve them behind a cut: seen from outside, upstreams and
   instances are gone.  */
START_TEST (data_centre_behind_a_cut_gets_no_standby)
{
  start (halves);
  stop_instances (dc2, 2);
  for (int i = 0; i < 2; i++)
    kill (h_upstreams[dc2[i]], SIGSTOP);
  sleep_ms (MM_GROUP_TTL_MS + 2 * MM_STANDBY_ABSENT_MS);
  for (int i = 0; i < 2; i++)
    ck_assert_int_eq (h_count_in_log (h_instances[dc1[i]], "\"standby\""), 0);
  for (int i = 0; i < 2; i++)
    {
      kill (h_upstreams[dc2[i]], SIGCONT);
      kill (h_instances[dc2[i]], SIGCONT);
    }
  ck_assert (h_wait_nodes (NODES, UPSTREAMS, 8000));
  h_stop_cluster ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("lost_datacentre");
  TCase *c = tcase_create ("power");
  tcase_set_timeout (c, 120);
  tcase_add_test (c, data_centre_that_loses_power_gets_a_standby);
  tcase_add_test (c, data_centre_that_is_frozen_for_good_gets_a_standby);
  tcase_add_test (c,
                  instance_that_loses_power_leaves_its_upstreams_to_the_other);
  suite_add_tcase (s, c);
  c = tcase_create ("later");
  tcase_set_timeout (c, 120);
  tcase_add_test (c, data_centre_that_wakes_up_gets_its_upstreams_back);
  tcase_add_test (c, data_centres_that_lose_power_in_turn_get_standbys);
  tcase_add_test (c, instances_that_start_after_a_loss_become_standby);
  tcase_add_test (c, data_centre_behind_a_cut_gets_no_standby);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
