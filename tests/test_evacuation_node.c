/* Evacuations of data centres under faults, with real processes: two data
   centres with two upstreams each.  Each test asserts that no task is started
   in an evacuated data centre BOUND_MS or more after its evacuation was
   requested.  */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  UPSTREAMS = 4, /* those with odd numbers are in dc2 */
  SLOTS = 4,
  INSTANCES = 3, /* the second one is in dc2 */
  BOUND_MS = 2000,
  SUBMIT_PERIOD_MS = 50,
  RUN_MS = 80,
  LONG_RUN_MS = 400, /* one data centre cannot run all jobs of this length */
  MAX_CALLERS = 256
};

/* Callers that wait for their answers.  */
typedef struct
{
  pid_t pids[MAX_CALLERS];
  int n;
} callers;

static int run_ms = RUN_MS; /* of the tasks submitted */

static void
sleep_ms (int ms)
{
  g_usleep ((gulong)ms * 1000);
}

static void
start_site (void)
{
  h_datacentres[1] = h_datacentres[3] = "dc2";
  h_start_nodes (UPSTREAMS, SLOTS, INSTANCES);
}

/* Requests the evacuation of a data centre, or ends it.  Returns when the
   store had accepted that.  */
static mm_time_ms
evacuate (const char *datacentre, bool evacuated)
{
  char path[64];
  long status = 0;
  g_snprintf (path, sizeof path, "/v1/streams/config/evacuate/%s", datacentre);
  cJSON_Delete (h_call (evacuated ? "PUT" : "DELETE", h_platform_port, path,
                        evacuated ? "{}" : NULL, &status));
  ck_assert_int_eq (status, 200);
  return mm_clock_now_ms ();
}

static pid_t
submit (int node, const char *name, int number)
{
  char id[32];
  g_snprintf (id, sizeof id, "%s-%d", name, number);
  char *job = h_job_json (id, 2, run_ms, 4000, true);
  pid_t caller = h_submit (node, job);
  g_free (job);
  return caller;
}

/* Submits jobs for @for_ms at the instances whose bits are set in @nodes.  */
static void
submit_for (callers *c, unsigned nodes, int for_ms)
{
  for (int t = 0; t < for_ms && c->n < MAX_CALLERS; t += SUBMIT_PERIOD_MS)
    {
      int node = c->n % INSTANCES;
      while (!(nodes & (1u << node)))
        node = (node + 1) % INSTANCES;
      c->pids[c->n] = submit (node, "job", c->n);
      c->n++;
      sleep_ms (SUBMIT_PERIOD_MS);
    }
}

/* Waits for all answers; returns how many are complete.  */
static int
wait_for_answers (callers *c)
{
  int complete = 0;
  for (int i = 0; i < c->n; i++)
    complete += h_submit_completed (c->pids[i]);
  return complete;
}

static bool
is_in (int upstream, const char *datacentre)
{
  return strcmp (upstream % 2 ? "dc2" : "dc1", datacentre) == 0;
}

/* Returns the number of starts in a data centre between the two times.  */
static int
starts_in (const char *datacentre, mm_time_ms from_ms, mm_time_ms to_ms)
{
  int n = 0;
  GArray *runs = h_read_runs (UPSTREAMS, NULL);
  for (guint i = 0; i < runs->len; i++)
    {
      const h_run *r = &g_array_index (runs, h_run, i);
      n += is_in (r->upstream, datacentre) && r->from_ms >= (double)from_ms
           && r->from_ms < (double)to_ms;
    }
  g_array_free (runs, TRUE);
  return n;
}

/* Guards against starts in an evacuated data centre, callers there who are not
   served, and a data centre that stays empty after its return.  */
START_TEST (evacuated_data_centre_gets_no_starts_and_its_callers_are_served)
{
  start_site ();
  callers c = { 0 };
  submit_for (&c, 7, 500);
  mm_time_ms begin_ms = evacuate ("dc1", true);
  submit_for (&c, 7, 4000);
  char *show
      = g_strdup_printf (MM_BIN_DIR "/masticctl evacuation show 127.0.0.1:%d",
                         h_node_state_port (0));
  char *shown = NULL;
  ck_assert (g_spawn_command_line_sync (show, &shown, NULL, NULL, NULL));
  ck_assert_ptr_nonnull (strstr (shown, "dc1"));
  mm_time_ms end_ms = evacuate ("dc1", false);
  submit_for (&c, 7, 1500);
  ck_assert_int_eq (wait_for_answers (&c), c.n);
  ck_assert_int_gt (starts_in ("dc1", 0, begin_ms), 0);
  ck_assert_int_eq (starts_in ("dc1", begin_ms + BOUND_MS, end_ms), 0);
  ck_assert_int_gt (starts_in ("dc1", end_ms, end_ms + 1500), 0);
  for (int i = 0; i < INSTANCES; i++)
    {
      ck_assert_int_eq (
          h_count_in_log (h_instances[i], "\"event\":\"evacuation_begun\""),
          1);
      ck_assert_int_eq (
          h_count_in_log (h_instances[i], "\"event\":\"evacuation_ended\""),
          1);
    }
  g_free (shown);
  g_free (show);
  h_stop_cluster ();
}
END_TEST

/* Guards against starts by instances that are killed as an evacuation is
   requested: by their next incarnation, which has to know of it before its
   first start, and by the standby of another data centre.  */
START_TEST (killed_instances_start_nothing_in_an_evacuated_data_centre)
{
  static const int kill_after_ms[] = { -100, 20, 1000 };
  run_ms = LONG_RUN_MS;
  start_site ();
  for (int i = 0; i < 3; i++)
    {
      callers c = { 0 };
      submit_for (&c, 2, 300);
      if (kill_after_ms[i] < 0)
        {
          h_stop (h_instances[0], SIGKILL);
          h_stop (h_instances[2], SIGKILL);
          sleep_ms (-kill_after_ms[i]);
        }
      mm_time_ms begin_ms = evacuate ("dc1", true);
      if (kill_after_ms[i] >= 0)
        {
          sleep_ms (kill_after_ms[i]);
          h_stop (h_instances[0], SIGKILL);
          h_stop (h_instances[2], SIGKILL);
        }
      submit_for (&c, 2, 2500);
      h_start_node (0);
      h_start_node (2);
      submit_for (&c, 2, 2500);
      mm_time_ms end_ms = evacuate ("dc1", false);
      wait_for_answers (&c);
      ck_assert_int_eq (starts_in ("dc1", begin_ms + BOUND_MS, end_ms), 0);
      ck_assert (h_wait_nodes (INSTANCES, UPSTREAMS, 8000));
    }
  h_stop_cluster ();
}
END_TEST

/* Guards against starts by an instance that was frozen when an evacuation was
   requested.  */
START_TEST (frozen_instance_starts_nothing_in_an_evacuated_data_centre)
{
  start_site ();
  callers c = { 0 };
  submit_for (&c, 7, 300);
  kill (h_instances[0], SIGSTOP);
  sleep_ms (100);
  mm_time_ms begin_ms = evacuate ("dc1", true);
  submit_for (&c, 6, 3000);
  kill (h_instances[0], SIGCONT);
  submit_for (&c, 7, 3000);
  mm_time_ms end_ms = evacuate ("dc1", false);
  wait_for_answers (&c);
  ck_assert_int_eq (starts_in ("dc1", begin_ms + BOUND_MS, end_ms), 0);
  h_stop_cluster ();
}
END_TEST

/* Guards against an evacuation that ends with an outage of the store, or with
   the history that the store drops, and against instances that forget it when
   they are restarted then.  */
START_TEST (evacuation_outlasts_an_outage_of_the_store)
{
  start_site ();
  callers c = { 0 };
  submit_for (&c, 7, 300);
  mm_time_ms begin_ms = evacuate ("dc1", true);
  cJSON_Delete (h_call ("POST", h_platform_port, "/v1/store-faults",
                        "{\"drop_history\":true,\"deal_anew\":true}", NULL));
  sleep_ms (300);
  h_set_platform_faults ("{\"down\":true}");
  submit_for (&c, 7, 1500);
  h_stop (h_instances[0], SIGKILL);
  h_start_node (0);
  submit_for (&c, 6, 2000);
  h_set_platform_faults ("{\"down\":false}");
  submit_for (&c, 7, 2500);
  mm_time_ms end_ms = evacuate ("dc1", false);
  wait_for_answers (&c);
  ck_assert_int_eq (starts_in ("dc1", begin_ms + BOUND_MS, end_ms), 0);
  sleep_ms (1000);
  ck_assert (h_submit_completed (submit (0, "after", 0)));
  h_stop_cluster ();
}
END_TEST

/* Guards against callers who wait in vain while all data centres are
   evacuated, and against jobs refused afterwards.  */
START_TEST (jobs_are_refused_at_once_until_a_data_centre_is_back)
{
  start_site ();
  evacuate ("dc1", true);
  evacuate ("dc2", true);
  sleep_ms (500);
  for (int i = 0; i < INSTANCES; i++)
    {
      mm_time_ms sent_ms = mm_clock_now_ms ();
      ck_assert_int_eq (h_submit_status_class (submit (i, "refused", i)), 5);
      ck_assert_int_le (mm_clock_now_ms () - sent_ms, 300);
    }
  for (int i = 0; i < 5; i++) /* ended and requested within a second */
    {
      evacuate ("dc2", false);
      evacuate ("dc2", true);
    }
  sleep_ms (300);
  ck_assert_int_eq (h_submit_status_class (submit (0, "still", 0)), 5);
  evacuate ("dc2", false);
  sleep_ms (300);
  for (int i = 0; i < INSTANCES; i++)
    ck_assert (h_submit_completed (submit (i, "served", i)));
  ck_assert_int_eq (starts_in ("dc1", 0, G_MAXINT64), 0);
  h_stop_cluster ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("evacuation_node");
  TCase *c = tcase_create ("evacuation");
  tcase_set_timeout (c, 90);
  tcase_add_test (
      c, evacuated_data_centre_gets_no_starts_and_its_callers_are_served);
  tcase_add_test (c,
                  killed_instances_start_nothing_in_an_evacuated_data_centre);
  tcase_add_test (c,
                  frozen_instance_starts_nothing_in_an_evacuated_data_centre);
  tcase_add_test (c, evacuation_outlasts_an_outage_of_the_store);
  tcase_add_test (c, jobs_are_refused_at_once_until_a_data_centre_is_back);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
