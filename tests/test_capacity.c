/* Tests of upstreams whose capacity changes while tasks run, with real
   processes.  */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  UPSTREAMS = 4,
  SLOTS = 4,             /* tasks that fit on an upstream */
  SLOT_CPU_MILLI = 1000, /* thousandths of a core that a task takes */
  BOUND_MS = 2000,    /* starts may exceed a reduced capacity for this long */
  HEARTBEAT_MS = 200, /* an upstream lists a change within this time */
  CHANGES = 40        /* number of changes of capacity */
};

static void
sleep_ms (int ms)
{
  g_usleep ((gulong)ms * 1000);
}

/* Sets the capacity of an upstream to @slots tasks.  A start counts as over
   capacity only if it exceeds all capacities that the upstream had in the last
   BOUND_MS + HEARTBEAT_MS.  */
static void
set_slots (int upstream, int slots)
{
  char body[96];
  g_snprintf (body, sizeof body, "{\"cpu_milli\":%d,\"grace_ms\":%d}",
              slots * SLOT_CPU_MILLI, BOUND_MS + HEARTBEAT_MS);
  cJSON_Delete (
      h_call ("POST", h_upstream_ports[upstream], "/v1/capacity", body, NULL));
}

/* Submits the job "@name-@number", whose tasks run @run_ms, at instance 0 or 1
   with a timeout of 4 s.  Returns the process of its caller.  */
static pid_t
submit (const char *name, int number, int tasks, int run_ms)
{
  char id[32];
  g_snprintf (id, sizeof id, "%s-%d", name, number);
  char *job = h_job_json (id, tasks, run_ms, 4000, true);
  pid_t caller = h_submit (number % 2, job);
  g_free (job);
  return caller;
}

/* Returns the number of starts beyond the capacity of an upstream.  */
static int
over_capacity (void)
{
  int over = 0;
  GArray *runs = h_read_runs (UPSTREAMS, &over);
  g_array_free (runs, TRUE);
  return over;
}

/* Upstreams change their capacity often under load.  Starts must not exceed a
   reduced capacity.  Capacity that returns must be used again: at the end, a
   job with one task for each slot must take less than twice the run time of a
   task.  */
START_TEST (changing_capacity_is_respected_and_used_again)
{
  h_start_nodes (UPSTREAMS, SLOTS, 2);
  GRand *rng = g_rand_new_with_seed (23);
  pid_t callers[CHANGES];
  for (int i = 0; i < CHANGES; i++)
    {
      set_slots (g_rand_int_range (rng, 0, UPSTREAMS),
                 g_rand_int_range (rng, 0, SLOTS + 1));
      callers[i] = submit ("load", i, 6, 300);
      sleep_ms (g_rand_int_range (rng, 50, 400));
    }
  for (int i = 0; i < CHANGES; i++)
    h_submit_completed (callers[i]);
  ck_assert_int_eq (over_capacity (), 0);
  for (int i = 0; i < UPSTREAMS; i++)
    set_slots (i, SLOTS);
  sleep_ms (BOUND_MS);
  pid_t all = submit ("all", 0, UPSTREAMS * SLOTS, 700);
  mm_time_ms from_ms = mm_clock_now_ms ();
  ck_assert (h_submit_completed (all));
  ck_assert_int_lt (mm_clock_now_ms () - from_ms, 2 * 700);
  g_rand_free (rng);
  h_stop_cluster ();
}
END_TEST

/* The capacity of all upstreams drops to zero while tasks run.  The tasks must
   run to their end, and the change must be logged.  */
START_TEST (reduced_capacity_stops_no_running_task)
{
  h_start_nodes (UPSTREAMS, SLOTS, 2);
  pid_t caller = submit ("long", 0, UPSTREAMS * SLOTS, 2500);
  sleep_ms (300);
  for (int i = 0; i < UPSTREAMS; i++)
    set_slots (i, 0);
  ck_assert (h_submit_completed (caller));
  GArray *runs = h_read_runs (UPSTREAMS, NULL);
  for (guint i = 0; i < runs->len; i++)
    ck_assert (g_array_index (runs, h_run, i).done);
  ck_assert_uint_eq (runs->len, UPSTREAMS * SLOTS);
  g_array_free (runs, TRUE);
  int logged = 0;
  for (int i = 0; i < 2; i++)
    logged
        += h_count_in_log (h_instances[i], "\"event\":\"upstream_capacity\"");
  ck_assert_int_ge (logged, UPSTREAMS);
  h_stop_cluster ();
}
END_TEST

/* First, one upstream reports a huge capacity and the others report none; then
   no upstream has any capacity.  The caller must get an answer in both cases:
   the complete job in the first, a 5xx status in the second.  */
START_TEST (huge_and_zero_capacity_get_an_answer)
{
  h_start_nodes (UPSTREAMS, SLOTS, 1);
  set_slots (0, 1000000);
  for (int i = 1; i < UPSTREAMS; i++)
    set_slots (i, 0);
  sleep_ms (BOUND_MS);
  ck_assert (h_submit_completed (submit ("huge", 0, SLOTS, 200)));
  set_slots (0, 0);
  sleep_ms (BOUND_MS);
  ck_assert_int_eq (h_submit_status_class (submit ("none", 0, 1, 200)), 5);
  ck_assert_int_eq (over_capacity (), 0);
  h_stop_cluster ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("capacity");
  TCase *tc = tcase_create ("capacity");
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, changing_capacity_is_respected_and_used_again);
  tcase_add_test (tc, reduced_capacity_stops_no_running_task);
  tcase_add_test (tc, huge_and_zero_capacity_get_an_answer);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
