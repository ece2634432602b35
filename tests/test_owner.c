/* An owner of upstreams and its sessions under faults, with a simulated clock
   and simulated upstreams in memory.  */
#include "config.h"
#include "harness.h"
#include "mm_metrics.h"
#include "owner_fixture.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Five tasks are submitted to an upstream where two fit at a time.  The others
   must wait until capacity is free, and the end of each task must be reported
   exactly once.  */
START_TEST (tasks_wait_for_free_capacity_and_all_end)
{
  fixture fx = fixture_create ();
  fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome r[5];
  for (uint32_t i = 0; i < 5; i++)
    submit (&fx, &r[i], "job", i, 100);
  fixture_run (&fx, 400);
  for (int i = 0; i < 5; i++)
    {
      ck_assert_uint_eq (r[i].answers, 1);
      ck_assert_int_eq (r[i].how, MM_END_DONE);
    }
  assert_invariants (&fx);
  fixture_destroy (&fx);
}
END_TEST

/* An upstream accepts a start order without an answer and carries the order
   out 2.5 s later.  If other tasks have got the capacity meanwhile, the
   upstream runs three tasks where two fit, and customers' bookings on that
   machine fail.  The capacity must stay reserved until the order is certain to
   have expired, and the task must run elsewhere at once, and only once.  */
START_TEST (late_order_finds_its_capacity_free)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  fake_mode_of (a)->lose_starts = 1;
  fake_mode_of (a)->late_start_ms = 2500;
  outcome r[9];
  submit (&fx, &r[0], "late", 0, 300);
  fixture_run (&fx, 20);
  fixture_add (&fx, "b");
  for (uint32_t i = 1; i < 9; i++)
    submit (&fx, &r[i], "more", i, 600);
  fixture_run (&fx, 4000);
  for (int i = 0; i < 9; i++)
    {
      ck_assert_uint_eq (r[i].answers, 1);
      ck_assert_int_eq (r[i].how, MM_END_DONE);
    }
  ck_assert_uint_eq (fakes_count (fx.upstreams).starts, 9);
  assert_invariants (&fx);
  fixture_destroy (&fx);
}
END_TEST

/* A start order is carried out, but its answer is lost, and the task is
   stopped soon after.  The task must not be reported as not run: a task that
   may run only once would then be started a second time.  The order is carried
   out after the upstream has answered twice that it does not list the run,
   which is stopped only then.  */
START_TEST (task_that_ran_before_its_stop_is_not_reported_as_not_run)
{
  enum
  {
    SECOND_QUERY_MS = 2 * MM_RTO_MIN_MS + 3
  };
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  fake_mode_of (a)->lose_starts = 2;
  fake_mode_of (a)->late_start_ms = SECOND_QUERY_MS + 10; /* before the stop */
  outcome r;
  submit (&fx, &r, "ran", 0, 3000);
  fixture_run (&fx, SECOND_QUERY_MS);
  fake_mode_of (a)->delivery_delay_ms = 20; /* of the stop */
  fixture_run (&fx, 20);
  ck_assert_uint_eq (fakes_count (fx.upstreams).starts, 1);
  fake_mode_of (a)->delivery_delay_ms = 0;
  fixture_run (&fx, 600);
  ck_assert_uint_eq (r.answers, 1);
  ck_assert_int_eq (r.how, MM_END_STOPPED);
  fixture_destroy (&fx);
}
END_TEST

/* A start order arrives after the order to stop the same run, and is rejected.
   The task has not run, so it is started again on the same upstream, and only
   the second start is carried out.  */
START_TEST (order_that_comes_after_its_stop_does_not_run)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  fake_mode_of (a)->lose_starts = 2; /* the order, and the same again */
  fake_mode_of (a)->late_start_ms = MM_RTO_MIN_MS * 4;
  outcome r;
  submit (&fx, &r, "once", 0, 300);
  fixture_run (&fx, 600);
  ck_assert_uint_eq (r.answers, 1);
  ck_assert_int_eq (r.how, MM_END_DONE);
  ck_assert_uint_eq (fakes_count (fx.upstreams).starts, 1);
  assert_invariants (&fx);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against timeouts that are too long while orders get no answer.  For
   six seconds three of ten orders to each upstream get no answer and are
   carried out 2.5 s late or never.  Eight upstreams are a quarter full with
   tasks of 60 ms whose callers have 80 ms to spare.  With a wait of 100 ms for
   an answer, and of 500 ms for the ends that a lost hold would have listed,
   0.01 of the tasks are in time; with the adaptive timeouts 0.61 are.  No
   upstream may be over its capacity.  */
START_TEST (tasks_are_in_time_though_orders_get_no_answer)
{
  enum
  {
    UPSTREAMS = 8,
    TASKS = 800,
    RUN_MS = 60,
    SPARE_MS = 80, /* time that a caller can wait beyond the run time */
    EVERY_MS = 14  /* time between two tasks: 4.3 of 16 places in use */
  };
  fixture fx = fixture_create ();
  fake *x[UPSTREAMS];
  for (int i = 0; i < UPSTREAMS; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "u%d", i);
      x[i] = fixture_add (&fx, name);
    }
  fixture_run (&fx, 500);
  GRand *rng = g_rand_new_with_seed (7);
  outcome *r = g_new0 (outcome, TASKS);
  mm_time_ms *from_ms = g_new0 (mm_time_ms, TASKS);
  for (uint32_t t = 0; t < TASKS; t++)
    {
      from_ms[t] = mm_clock_now_ms ();
      submit (&fx, &r[t], "lossy", t, RUN_MS);
      for (int ms = 0; ms < EVERY_MS; ms++)
        {
          for (int i = 0; i < UPSTREAMS; i++)
            {
              fake_mode *m = fake_mode_of (x[i]);
              m->late_start_ms = 2500;
              m->lose_starts = g_rand_double (rng) < 0.3;
              m->lose_stops = g_rand_double (rng) < 0.3;
              m->lose_holds = g_rand_double (rng) < 0.3;
            }
          fixture_run (&fx, 1);
        }
    }
  for (int i = 0; i < UPSTREAMS; i++)
    *fake_mode_of (x[i]) = (fake_mode){ 0 };
  fixture_run (&fx, 5000);
  int in_time = 0;
  for (int t = 0; t < TASKS; t++)
    in_time += r[t].how == MM_END_DONE
               && r[t].ended_ms - from_ms[t] <= RUN_MS + SPARE_MS;
  ck_assert_int_ge (in_time, TASKS * 4 / 10);
  assert_invariants (&fx);
  g_free (from_ms);
  g_free (r);
  g_rand_free (rng);
  fixture_destroy (&fx);
}
END_TEST

/* Every other start order gets no answer.  Waiting tasks of 60 ms then take
   longer than the sum of their run times, because an order that starts nothing
   also uses a place (capacity for one task) until it is given up.  If the
   capacity report stated 60 ms per task, admission would accept jobs that are
   all late.  */
START_TEST (average_place_time_counts_runs_that_were_not_done)
{
  enum
  {
    TASKS = 60,
    RUN_MS = 60
  };
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome r[TASKS];
  for (uint32_t i = 0; i < TASKS; i++)
    {
      fake_mode_of (a)->lose_starts = i % 2;
      submit (&fx, &r[i], "lossy", i, RUN_MS);
      fixture_run (&fx, 200);
    }
  mm_capacity_report lossy
      = mm_owner_report (fx.owner, fake_info (a)->service);
  ck_assert_uint_ge (lossy.task_ms, RUN_MS + MM_RTO_MIN_MS / 2);
  for (uint32_t i = 0; i < TASKS; i++)
    {
      submit (&fx, &r[i], "calm", i, RUN_MS);
      fixture_run (&fx, 200);
    }
  mm_capacity_report calm = mm_owner_report (fx.owner, fake_info (a)->service);
  ck_assert_uint_le (calm.task_ms, RUN_MS + MM_RTO_MIN_MS / 4);
  fixture_destroy (&fx);
}
END_TEST

/* Neither a start order nor the stop orders after it get an answer.  The start
   may still be carried out late.  Until its deadline has passed at the
   upstream, the capacity that the task needs must not be used, and the task
   must not be started elsewhere.  */
START_TEST (order_without_any_answer_is_waited_out)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_add (&fx, "b");
  fixture_run (&fx, 10);
  fake_mode_of (a)->lose_starts = 1;
  fake_mode_of (a)->late_start_ms = 900;
  fake_mode_of (a)->lose_stops = 100;
  fake_mode_of (a)->lose_holds = 100;
  mm_task_request t = fakes_task ("late", 0, UPSTREAM_CPU_MILLI, 300);
  outcome r[2] = { 0 };
  r[0].work = mm_owner_submit (fx.owner, &t, on_done, &r[0]);
  t = fakes_task ("late", 1, UPSTREAM_CPU_MILLI, 300);
  r[1].work = mm_owner_submit (fx.owner, &t, on_done, &r[1]);
  fixture_run (&fx, 6000);
  ck_assert_uint_eq (r[0].answers, 1);
  ck_assert_uint_eq (r[1].answers, 1);
  assert_invariants (&fx);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against a start that is never carried out and that uses its capacity
   for as long as its stops get no answer.  */
START_TEST (unanswered_start_frees_its_capacity_after_its_deadline)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  fake_mode_of (a)->lose_starts = 1;
  fake_mode_of (a)->lose_stops = G_MAXUINT32;
  mm_task_request t = fakes_task ("never", 0, UPSTREAM_CPU_MILLI, 300);
  outcome r[2] = { 0 };
  r[0].work = mm_owner_submit (fx.owner, &t, on_done, &r[0]);
  fixture_run (&fx, 100);
  mm_owner_cancel (fx.owner, r[0].work);
  t = fakes_task ("next", 0, UPSTREAM_CPU_MILLI, 300);
  r[1].work = mm_owner_submit (fx.owner, &t, on_done, &r[1]);
  fixture_run (&fx, MM_LEASE_MS + 600);
  ck_assert_int_eq (r[1].how, MM_END_DONE);
  ck_assert_uint_eq (r[1].answers, 1);
  assert_invariants (&fx);
  fixture_destroy (&fx);
}
END_TEST

/* Orders arrive at an upstream, but its answers are lost.  The task runs until
   its stop arrives.  A task that may run at most once would be started again
   if it were reported as not run.  */
START_TEST (task_whose_start_was_never_answered_is_not_reported_as_not_run)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome r;
  fake_mode_of (a)->loses_answers = true;
  submit (&fx, &r, "mute", 0, 8000);
  fixture_run (&fx, 2500);
  ck_assert_uint_eq (r.answers, 1);
  ck_assert_int_eq (r.how, MM_END_LOST);
  ck_assert_uint_eq (fakes_count (fx.upstreams).starts, 1);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against a task that counts as having run at a crash because it was
   placed again on the upstream that had just said it was replaced.  */
START_TEST (task_refused_by_another_incarnation_waits_for_another_upstream)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  fake_restart (a);
  outcome r;
  submit (&fx, &r, "waits", 0, 400);
  fixture_run (&fx, 100);
  ck_assert_uint_eq (r.answers, 0);
  fixture_add (&fx, "b");
  fixture_run (&fx, 600);
  ck_assert_int_eq (r.how, MM_END_DONE);
  ck_assert_str_eq (r.upstream, "b");
  fixture_destroy (&fx);
}
END_TEST

/* Guards against a run that keeps new tasks from an upstream without a sign of
   it in the metrics: its stop is never answered, and leases are not renewed.
 */
START_TEST (stop_that_is_never_answered_is_counted)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome stays, leaves;
  submit (&fx, &stays, "stays", 0, 8000);
  submit (&fx, &leaves, "leaves", 0, 8000);
  fixture_run (&fx, 100);
  fake_mode_of (a)->lose_stops = 1000;
  mm_owner_cancel (fx.owner, leaves.work);
  fixture_run (&fx, MM_RESEND_MS);
  ck_assert_uint_eq (fake_running (a), 0);
  char *metrics = mm_metrics_text ();
  ck_assert_ptr_nonnull (
      strstr (metrics, "masticmill_leases_limited_total 1\n"));
  ck_assert_ptr_nonnull (
      strstr (metrics, "masticmill_run_stop_seconds_count 1\n"));
  free (metrics);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against a task that waits for the next tick although the run that
   limited the leases of its upstream has ended.  */
START_TEST (task_starts_at_once_when_the_run_that_limits_leases_ends)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome stays, leaves, waits;
  submit (&fx, &stays, "stays", 0, 8000);
  submit (&fx, &leaves, "leaves", 0, 1100 + _i);
  fixture_run (&fx, 100);
  fake_mode_of (a)->lose_stops = 1000;
  mm_owner_cancel (fx.owner, leaves.work);
  submit (&fx, &waits, "waits", 0, 400);
  while (fake_running (a) == 2)
    fixture_run (&fx, 1);
  fixture_run (&fx, MM_EXEC_TICK_MS / 2);
  ck_assert_uint_eq (fake_starts (a), 3);
  assert_invariants (&fx);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against a start that is carried out after its owner took it for void:
   the upstream was idle, and its clock fell behind what the owner knew.  */
START_TEST (late_start_on_a_slow_clock_after_an_idle_time_does_not_run)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fake_mode_of (a)->clock_slow_percent = MM_CLOCK_SLOW_PERCENT;
  fixture_run (&fx, 30000);
  fake_mode_of (a)->lose_starts = 1;
  fake_mode_of (a)->lose_stops = fake_mode_of (a)->lose_holds = 1000;
  fake_mode_of (a)->late_start_ms = 1200;
  outcome r;
  submit (&fx, &r, "late", 0, 400);
  fixture_run (&fx, 1150);
  ck_assert_uint_eq (r.answers, 1);
  ck_assert_int_eq (r.how, MM_END_LOST);
  fixture_run (&fx, 500);
  ck_assert_uint_eq (fakes_count (fx.upstreams).starts, 0);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against a deadline that is too near after an idle time: the
   upstream's clock may have fallen behind since it was last read, and what is
   deducted for that grows with the time.  */
START_TEST (first_start_after_a_long_idle_time_is_not_refused_as_late)
{
  fixture fx = fixture_create ();
  fixture_add (&fx, "a");
  fixture_run (&fx, 300000);
  uint32_t calls = fakes_count (fx.upstreams).calls;
  outcome r;
  submit (&fx, &r, "first", 0, 400);
  fixture_run (&fx, 500);
  ck_assert_int_eq (r.how, MM_END_DONE);
  ck_assert_uint_eq (fakes_count (fx.upstreams).starts, 1);
  /* The idle time costs few calls.  */
  ck_assert_uint_le (calls, 300000 / MM_CLOCK_REFRESH_MS + 5);
  fixture_destroy (&fx);
}
END_TEST

/* An upstream becomes unreachable while a task runs there.  The task must not
   be started elsewhere before its lease expires.  The task must be reported as
   lost when the lease expires, not only when the upstream is reachable
   again.  */
START_TEST (disconnected_upstream_loses_its_task_with_the_lease)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome r;
  submit (&fx, &r, "cut", 0, 3000);
  fixture_run (&fx, 100);
  ck_assert_uint_eq (fake_running (a), 1);
  fake_mode_of (a)->unresponsive = true;
  mm_time_ms disconnected_ms = fakes_now (fx.upstreams);
  fixture_run (&fx, 2000);
  ck_assert_uint_eq (r.answers, 1);
  ck_assert_int_eq (r.how, MM_END_LOST);
  ck_assert_uint_eq (fake_running (a), 0);
  ck_assert_int_le (r.ended_ms - disconnected_ms, 1500);
  fixture_destroy (&fx);
}
END_TEST

/* Calls arrive at an upstream, but its answers are lost.  If the owner went on
   renewing the lease without any answer, a task that is about to run elsewhere
   would never stop there.  */
START_TEST (answers_lost_one_way_do_not_renew_leases)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome r;
  submit (&fx, &r, "mute", 0, 8000);
  fixture_run (&fx, 100);
  fake_mode_of (a)->loses_answers = true;
  fixture_run (&fx, 2500);
  ck_assert_int_eq (r.how, MM_END_LOST);
  ck_assert_uint_eq (r.answers, 1);
  ck_assert_uint_eq (fake_running (a), 0);
  fixture_destroy (&fx);
}
END_TEST

/* An instance dies and another one takes its upstreams over.  The new owner's
   hold renews the leases of the dead owner's runs too.  Without a stop, those
   runs would use capacity and go on beside the same tasks when callers send
   them again.  The new owner must stop the runs before it starts anything,
   because it does not know how much capacity they use.  */
START_TEST (new_owner_stops_what_it_finds_before_it_starts)
{
  fixture fx = fixture_create ();
  fake *a = fakes_add (fx.upstreams, "a", UPSTREAM_CPU_MILLI);
  fake_start_foreign (a, "orphan", 4, 20000, 5000);
  mm_owner_add_upstream (fx.owner, fake_info (a), 5);
  outcome r[2];
  submit (&fx, &r[0], "mine", 0, 100);
  submit (&fx, &r[1], "mine", 1, 100);
  fixture_run (&fx, 500);
  ck_assert_int_eq (r[0].how, MM_END_DONE);
  ck_assert_int_eq (r[1].how, MM_END_DONE);
  assert_invariants (&fx);
  fixture_destroy (&fx);
}
END_TEST

/* Two instances take themselves for the owner of an upstream, because the
   store was unavailable.  The one with the lower fencing token must start
   nothing more there, and must report at once that its tasks are in doubt.  */
START_TEST (fenced_owner_reports_its_tasks_once_and_starts_no_more)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome r[2];
  submit (&fx, &r[0], "old", 0, 900);
  fixture_run (&fx, 50);
  fake_start_foreign (a, "other", 9, 1000, 2000);
  submit (&fx, &r[1], "old", 1, 100);
  fixture_run (&fx, 1500);
  ck_assert_uint_eq (r[0].answers, 1);
  ck_assert_int_eq (r[0].how, MM_END_UNKNOWN);
  ck_assert_uint_eq (r[1].answers, 0);
  ck_assert_uint_eq (fakes_count (fx.upstreams).starts, 2);
  ck_assert (mm_owner_fenced (fx.owner, "a"));
  fixture_destroy (&fx);
}
END_TEST

/* A caller leaves and its task is stopped.  The task's capacity is not free
   before the upstream lists the end of the run: another task that was started
   earlier would not fit.  */
START_TEST (cancelled_task_keeps_its_capacity_until_it_has_ended)
{
  fixture fx = fixture_create ();
  fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome r[4];
  submit (&fx, &r[0], "gone", 0, 5000);
  submit (&fx, &r[1], "gone", 1, 5000);
  fixture_run (&fx, 50);
  mm_owner_cancel (fx.owner, r[0].work);
  mm_owner_cancel (fx.owner, r[1].work);
  submit (&fx, &r[2], "next", 0, 100);
  submit (&fx, &r[3], "next", 1, 100);
  fixture_run (&fx, 400);
  ck_assert_uint_eq (r[0].answers, 0);
  ck_assert_int_eq (r[2].how, MM_END_DONE);
  ck_assert_int_eq (r[3].how, MM_END_DONE);
  assert_invariants (&fx);
  fixture_destroy (&fx);
}
END_TEST

/* A caller's connection breaks, and the caller sends its job again while the
   tasks of the first request are still being stopped.  No task may run twice
   at the same time.  */
START_TEST (same_task_again_waits_for_the_end_of_its_first_run)
{
  fixture fx = fixture_create ();
  fixture_add (&fx, "a");
  fixture_add (&fx, "b");
  fixture_run (&fx, 10);
  outcome first, again;
  submit (&fx, &first, "twice", 0, 3000);
  fixture_run (&fx, 50);
  mm_owner_cancel (fx.owner, first.work);
  submit (&fx, &again, "twice", 0, 100);
  fixture_run (&fx, 400);
  ck_assert_int_eq (again.how, MM_END_DONE);
  assert_invariants (&fx);
  fixture_destroy (&fx);
}
END_TEST

/* A caller sends its job again, and a task is started on the upstream where
   the same task has already ended.  The upstream refuses the start unless its
   run number is higher than that of the ended run.  */
START_TEST (task_that_ended_there_gets_a_higher_run_number)
{
  fixture fx = fixture_create ();
  fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome r;
  for (int i = 0; i < 4; i++)
    {
      submit (&fx, &r, "again", 0, 50);
      fixture_run (&fx, 200);
      ck_assert_int_eq (r.how, MM_END_DONE);
    }
  fixture_destroy (&fx);
}
END_TEST

/* Starts a task again on an upstream where the task has ended, and updates the
   upstream's list entry with @draining and @cpu_milli while the start order is
   in flight.  The upstream rejects that order for its run number.  Returns the
   number of starts that follow.  */
static uint32_t
starts_after_a_rejected_number (bool draining, int64_t cpu_milli)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome r;
  submit (&fx, &r, "again", 0, 50);
  fixture_run (&fx, 200);
  ck_assert_int_eq (r.how, MM_END_DONE);
  uint32_t starts = fake_starts (a);
  submit (&fx, &r, "again", 0, 50);
  mm_upstream_info *u = mm_upstream_info_copy (fake_info (a));
  u->draining = draining;
  u->capacity.cpu_milli = cpu_milli;
  mm_owner_update_upstream (fx.owner, u);
  fixture_run (&fx, 200);
  starts = fake_starts (a) - starts;
  mm_upstream_info_free (u);
  fixture_destroy (&fx);
  return starts;
}

/* A start order that was rejected for its run number is sent again with a
   higher number.  If the upstream is listed as draining by then, the order
   must not be sent again.  */
START_TEST (start_with_a_higher_number_is_not_sent_to_a_draining_upstream)
{
  ck_assert_uint_eq (
      starts_after_a_rejected_number (false, UPSTREAM_CPU_MILLI), 1);
  ck_assert_uint_eq (starts_after_a_rejected_number (true, UPSTREAM_CPU_MILLI),
                     0);
}
END_TEST

/* A start order that was rejected for its run number is sent again with a
   higher number.  If the task exceeds the capacity that is listed for the
   upstream by then, the order must not be sent again.  */
START_TEST (start_with_a_higher_number_is_not_sent_beyond_a_smaller_capacity)
{
  ck_assert_uint_eq (starts_after_a_rejected_number (false, TASK_CPU_MILLI),
                     1);
  ck_assert_uint_eq (
      starts_after_a_rejected_number (false, TASK_CPU_MILLI / 2), 0);
}
END_TEST

/* An upstream reports itself healthy but fails each task at once.  It always
   has free capacity and would attract all tasks, so it must be excluded after
   three failures.  */
START_TEST (upstream_that_fails_every_task_is_excluded)
{
  fixture fx = fixture_create ();
  fake *bad = fixture_add (&fx, "bad");
  fake_mode_of (bad)->fails_tasks = true;
  fixture_add (&fx, "good");
  fixture_run (&fx, 10);
  int failed = 0;
  for (uint32_t i = 0; i < 40; i++)
    {
      outcome r;
      submit (&fx, &r, "grey", i, 20);
      fixture_run (&fx, 50);
      failed += r.how == MM_END_FAILED;
    }
  ck_assert_int_le (failed, 5);
  fixture_destroy (&fx);
}
END_TEST

/* An upstream restarts at the same address.  The tasks that ran there are gone
   and must be reported as lost within 0.7 s, so that they can run elsewhere.
   Orders for the previous incarnation must not reach the new one.  */
START_TEST (restarted_upstream_loses_its_tasks_at_once)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome r;
  submit (&fx, &r, "crash", 0, 3000);
  fixture_run (&fx, 50);
  fake_restart (a);
  fixture_run (&fx, 700);
  ck_assert_int_eq (r.how, MM_END_LOST);
  fixture_destroy (&fx);
}
END_TEST

/* A task is stalled on an upstream that reports itself healthy, and its caller
   would wait in vain until its timeout.  The task must be stopped within a
   second, so that it can run elsewhere; a slow task must not be stopped.  */
START_TEST (stalled_task_is_stopped_but_slow_one_is_not)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  fake_mode_of (a)->hangs = true;
  outcome stuck, slow;
  submit (&fx, &stuck, "stuck", 0, 200);
  fixture_run (&fx, 20);
  fake_mode_of (a)->hangs = false;
  submit (&fx, &slow, "slow", 0, 3000);
  slow.how = MM_END_LOST;
  fixture_run (&fx, 1200);
  ck_assert_uint_eq (stuck.answers, 1);
  ck_assert_int_eq (stuck.how, MM_END_STOPPED);
  ck_assert_uint_eq (slow.answers, 0);
  fixture_run (&fx, 2500);
  ck_assert_int_eq (slow.how, MM_END_DONE);
  assert_invariants (&fx);
  fixture_destroy (&fx);
}
END_TEST

/* A single hold is lost.  If leases expired before the next hold is sent, one
   lost call would end every task on that upstream.  */
START_TEST (one_lost_hold_loses_no_task)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome r;
  submit (&fx, &r, "lost-hold", 0, 4000);
  fixture_run (&fx, 600);
  fake_mode_of (a)->lose_holds = 1;
  fixture_run (&fx, 3600);
  ck_assert_uint_eq (r.answers, 1);
  ck_assert_int_eq (r.how, MM_END_DONE);
  fixture_destroy (&fx);
}
END_TEST

/* A task for which no capacity becomes free in the time that it may wait must
   be returned then, so that its caller is answered at once.  */
START_TEST (task_without_free_capacity_is_returned_in_time)
{
  fixture fx = fixture_create ();
  fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome r[3];
  submit (&fx, &r[0], "full", 0, 2000);
  submit (&fx, &r[1], "full", 1, 2000);
  memset (&r[2], 0, sizeof r[2]);
  mm_task_request t = fakes_task ("full", 2, TASK_CPU_MILLI, 100);
  t.start_within_ms = 80;
  mm_time_ms from_ms = fakes_now (fx.upstreams);
  mm_owner_submit (fx.owner, &t, on_done, &r[2]);
  fixture_run (&fx, 300);
  ck_assert_uint_eq (r[2].answers, 1);
  ck_assert_int_eq (r[2].how, MM_END_NOT_RUN);
  ck_assert_int_le (r[2].ended_ms - from_ms, 80 + 2 * MM_EXEC_TICK_MS);
  fixture_destroy (&fx);
}
END_TEST

/* A draining upstream finishes its runs and gets no new tasks.  */
START_TEST (draining_upstream_gets_nothing_new)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome r[2];
  submit (&fx, &r[0], "drain", 0, 300);
  fixture_run (&fx, 10);
  mm_upstream_info *u = mm_upstream_info_copy (fake_info (a));
  u->draining = true;
  mm_owner_update_upstream (fx.owner, u);
  submit (&fx, &r[1], "drain", 1, 100);
  fixture_run (&fx, 600);
  ck_assert_int_eq (r[0].how, MM_END_DONE);
  ck_assert_uint_eq (r[1].answers, 0);
  mm_upstream_info_free (u);
  fixture_destroy (&fx);
}
END_TEST

/* Causes random lost calls, unresponsive upstreams and cancelled tasks.
   Asserts that no upstream is over its capacity, that no task runs twice at
   the same time, and that the end of each task is reported exactly once.
   @raises_tokens: the owner also raises its fencing tokens.  */
static void
play_random_faults (uint32_t seed, bool raises_tokens)
{
  GRand *rng = g_rand_new_with_seed (seed);
  fixture fx = fixture_create ();
  fake *x[3] = { fixture_add (&fx, "a"), fixture_add (&fx, "b"),
                 fixture_add (&fx, "c") };
  fixture_run (&fx, 10);
  enum
  {
    TASKS = 120
  };
  outcome r[TASKS];
  bool cancelled[TASKS] = { false };
  for (uint32_t i = 0; i < TASKS; i++)
    {
      submit (&fx, &r[i], "soak", i, g_rand_int_range (rng, 20, 400));
      fake_mode *m = fake_mode_of (x[g_rand_int_range (rng, 0, 3)]);
      switch (g_rand_int_range (rng, 0, 12))
        {
        case 0:
          m->lose_starts = 2;
          m->late_start_ms = g_rand_int_range (rng, 0, 4000);
          break;
        case 1:
          m->lose_stops = 2;
          break;
        case 2:
          m->lose_holds = 2;
          break;
        case 3:
          m->unresponsive = !m->unresponsive;
          break;
        case 4:
          m->loses_answers = !m->loses_answers;
          break;
        case 5:
          m->fails_tasks = !m->fails_tasks;
          break;
        case 6:
          if (r[i / 2].work && !cancelled[i / 2])
            {
              cancelled[i / 2] = true;
              mm_owner_cancel (fx.owner, r[i / 2].work);
            }
          break;
        default:
          break;
        }
      if (raises_tokens)
        {
          fake *raised = x[g_rand_int_range (rng, 0, 3)];
          fake_mode_of (raised)->delivery_delay_ms
              = g_rand_int_range (rng, 0, 2) * 20;
          mm_owner_raise_fence (fx.owner, fake_info (raised)->name, 10 + i);
        }
      fixture_run (&fx, g_rand_int_range (rng, 1, 60));
    }
  for (int i = 0; i < 3; i++)
    *fake_mode_of (x[i]) = (fake_mode){ 0 };
  fixture_run (&fx, 8000);
  for (int i = 0; i < TASKS; i++)
    ck_assert_uint_eq (r[i].answers, cancelled[i] ? 0 : 1);
  assert_invariants (&fx);
  fixture_destroy (&fx);
  g_rand_free (rng);
}

/* Guards against faults in combination after which an upstream is over its
   capacity, a task runs twice at a time, or an end is reported twice or not at
   all.  A hundred seeds.  */
START_TEST (random_faults_break_no_invariant)
{
  play_random_faults ((uint32_t)_i, false);
}
END_TEST

/* Guards against calls under way that a raised token makes the upstream
   refuse: they must neither end the session nor lose a task.  */
START_TEST (raised_tokens_break_no_invariant)
{
  play_random_faults ((uint32_t)_i, true);
}
END_TEST

/* Guards against runs that a raised token would end: an owner that raises it
   after each outage of the store must keep them, and start the next task at
   once.  */
START_TEST (runs_go_on_when_the_token_is_raised)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome r[3];
  submit (&fx, &r[0], "old", 0, 900);
  fixture_run (&fx, 50);
  /* This start arrives after the first call with the new token.  */
  fake_mode_of (a)->delivery_delay_ms = 20;
  submit (&fx, &r[1], "old", 1, 100);
  fake_mode_of (a)->delivery_delay_ms = 0;
  mm_owner_raise_fence (fx.owner, "a", 9);
  fixture_run (&fx, 200);
  submit (&fx, &r[2], "new", 0, 100);
  fixture_run (&fx, 200);
  ck_assert_int_eq (r[1].how, MM_END_DONE);
  ck_assert_int_eq (r[2].how, MM_END_DONE);
  fixture_run (&fx, 500);
  ck_assert_int_eq (r[0].how, MM_END_DONE);
  ck_assert_uint_eq (fake_starts (a), 3);
  assert_invariants (&fx);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against starts by the owner in between, which may arrive seconds
   late: the upstream must refuse them once the token is raised.  */
START_TEST (late_start_of_an_owner_in_between_is_refused)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  mm_owner_raise_fence (fx.owner, "a", 9);
  fixture_run (&fx, 10);
  fake_start_foreign (a, "late", 7, 1000, 500);
  ck_assert_uint_eq (fake_running (a), 0);
  fixture_destroy (&fx);
}
END_TEST

/* Submits a task of a kept job: its end waits for an acknowledgement.  */
static void
submit_kept (fixture *fx, outcome *r, const char *job, uint32_t index,
             mm_time_ms run_ms)
{
  mm_task_request t = fakes_task (job, index, TASK_CPU_MILLI, run_ms);
  t.kept = true;
  *r = (outcome){ 0 };
  r->work = mm_owner_submit (fx->owner, &t, on_done, r);
}

/* Searches the owner for task @index of @job.  */
static mm_search_result
search_for (const fixture *fx, const char *job, uint32_t index)
{
  mm_task_id id = { .index = index };
  g_strlcpy (id.job, job, sizeof id.job);
  GHashTable *tasks = g_hash_table_new (mm_task_id_hash, mm_task_id_equal);
  g_hash_table_add (tasks, &id);
  mm_search_result found = mm_search_result_init ();
  mm_owner_search (fx->owner, tasks, &found);
  g_hash_table_destroy (tasks);
  return found;
}

/* A task takes several times as long in another rack than that of its data.
   The task must be placed in the rack of its data, although an upstream in
   another rack would be chosen for a task without data.  */
START_TEST (task_goes_to_the_rack_of_its_data)
{
  fixture fx = fixture_create ();
  char *rack_1[] = { "r1", NULL }, *rack_2[] = { "r2", NULL };
  fake *a = fakes_add (fx.upstreams, "a", UPSTREAM_CPU_MILLI),
       *b = fakes_add (fx.upstreams, "b", 2 * UPSTREAM_CPU_MILLI);
  mm_upstream_info near = *fake_info (b), far = *fake_info (a);
  near.labels = rack_2;
  far.labels = rack_1;
  mm_owner_add_upstream (fx.owner, &far, 5);
  mm_owner_add_upstream (fx.owner, &near, 5);
  fixture_run (&fx, 10);
  outcome r[2] = { 0 };
  mm_task_request t = fakes_task ("racks", 0, TASK_CPU_MILLI, 100);
  t.data_label = "r2";
  r[0].work = mm_owner_submit (fx.owner, &t, on_done, &r[0]);
  t = fakes_task ("racks", 1, TASK_CPU_MILLI, 100);
  t.data_label = "r9"; /* no upstream has it: any upstream may be chosen */
  r[1].work = mm_owner_submit (fx.owner, &t, on_done, &r[1]);
  fixture_run (&fx, 500);
  ck_assert_str_eq (r[0].upstream, "b");
  ck_assert_int_eq (r[1].how, MM_END_DONE);
  fixture_destroy (&fx);
}
END_TEST

/* A kept job's task has ended, and its home has not stored the end yet.  If
   the upstream forgot the end now and all instances died, the restarted
   instances would start the task again.  */
START_TEST (end_of_a_kept_task_stays_listed_until_acknowledged)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  outcome r, other;
  fixture_run (&fx, 10);
  submit_kept (&fx, &r, "kept", 0, 100);
  submit (&fx, &other, "other", 0, 100);
  fixture_run (&fx, 1500);
  ck_assert_int_eq (r.how, MM_END_DONE);
  ck_assert_uint_ge (fake_unacked_ends (a), 1);
  mm_task_id id = { .job = "kept" };
  mm_owner_acknowledge_end (fx.owner, &id, mm_run_hash ("a", 1));
  fixture_run (&fx, 1000);
  ck_assert_uint_eq (fake_unacked_ends (a), 0);
  /* An end that is never acknowledged is dropped after MM_UNACKED_END_TTL_MS.
   */
  submit_kept (&fx, &r, "kept", 1, 100);
  fixture_run (&fx, MM_UNACKED_END_TTL_MS + 2000);
  ck_assert_uint_eq (fake_unacked_ends (a), 0);
  fixture_destroy (&fx);
}
END_TEST

/* The home of a kept job stops tasks that are just done, and its record that
   the job has ended never reaches the store.  The next home goes on with the
   job and must find the ends of the tasks, so the ends stay listed until the
   outcome is stored (mm_owner_forget_job()).  The end of a task that is still
   being stopped at that time does not stay listed.  */
START_TEST (ends_of_a_stopped_job_stay_listed_until_its_outcome_is_stored)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  outcome r[2];
  fixture_run (&fx, 10);
  submit_kept (&fx, &r[0], "over", 0, 1000);
  fixture_run (&fx, 100);
  mm_owner_cancel (fx.owner, r[0].work);
  fixture_run (&fx, 3000);
  ck_assert_uint_eq (fake_unacked_ends (a), 1);
  submit_kept (&fx, &r[1], "over", 1, 1000);
  fixture_run (&fx, 100);
  mm_owner_cancel (fx.owner, r[1].work);
  mm_owner_forget_job (fx.owner, "over");
  fixture_run (&fx, 1500);
  ck_assert_uint_eq (fake_running (a), 0);
  ck_assert_uint_eq (fake_unacked_ends (a), 0);
  fixture_destroy (&fx);
}
END_TEST

/* Half of a data centre's upstreams are handed over to a joining instance.
   One of these upstreams runs a task for 0.9 s more.  If all of them started
   nothing until that task ends, half of the capacity would be missing for
   tasks that take 0.1 s.  Tasks that end before the running task must start
   there meanwhile, and longer tasks must not.  The handover must not wait for
   tasks that started after it began.  */
START_TEST (upstreams_run_short_tasks_during_their_handover)
{
  enum
  {
    LONG_MS = 900,  /* run time of a long task */
    SHORT_MS = 100, /* run time of a short task */
    SHORT_TASKS = 18
  };
  fixture fx = fixture_create ();
  fixture_add (&fx, "a");
  fixture_add (&fx, "b");
  fixture_run (&fx, 10);
  outcome longest, another_long, short_tasks[SHORT_TASKS];
  submit (&fx, &longest, "long", 0, LONG_MS);
  fixture_run (&fx, 50);
  mm_owner_begin_handover (fx.owner, "a");
  mm_owner_begin_handover (fx.owner, "b");
  mm_time_ms handover_from_ms = mm_clock_now_ms ();
  submit (&fx, &another_long, "more", 0, LONG_MS);
  int in_time = 0;
  for (uint32_t i = 0; i < SHORT_TASKS; i++)
    {
      submit (&fx, &short_tasks[i], "short", i, SHORT_MS);
      fixture_run (&fx, 25);
    }
  ck_assert_uint_eq (another_long.answers, 0);
  fixture_run (&fx, LONG_MS - 25 * SHORT_TASKS);
  ck_assert_int_eq (longest.how, MM_END_DONE);
  for (uint32_t i = 0; i < SHORT_TASKS; i++)
    in_time += short_tasks[i].answers == 1 && short_tasks[i].how == MM_END_DONE
               && short_tasks[i].ended_ms <= longest.ended_ms;
  ck_assert_int_eq (in_time, SHORT_TASKS);
  ck_assert (mm_owner_idle (fx.owner, "a") && mm_owner_idle (fx.owner, "b"));
  ck_assert_int_le (longest.ended_ms - handover_from_ms, LONG_MS);
  assert_invariants (&fx);
  mm_owner_cancel (fx.owner, another_long.work);
  fixture_destroy (&fx);
}
END_TEST

/* A dead process refuses connections at once.  An order to stop a run there
   must not be sent again as fast as the connections are refused.  */
START_TEST (stop_that_is_refused_at_once_is_not_sent_without_a_pause)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  outcome r;
  submit (&fx, &r, "left", 0, 3000);
  fixture_run (&fx, 100);
  fake_mode_of (a)->refuses_connections = true;
  mm_owner_cancel (fx.owner, r.work);
  uint32_t before = fakes_count (fx.upstreams).calls;
  fixture_run (&fx, 500);
  ck_assert_uint_le (fakes_count (fx.upstreams).calls - before,
                     2 * 500 / MM_EXEC_TICK_MS);
  fixture_destroy (&fx);
}
END_TEST

/* An instance is stalled for three seconds, and a task of a kept job ends
   meanwhile.  As far as the instance knows, the lease of the run has expired,
   and it handles the timeout of a call before the list of ends.  If it
   reported the task as lost, the task would be started again 2.5 s after it
   was done.  The task must be reported as in doubt, so that its home searches
   for it.  */
START_TEST (kept_task_out_of_contact_is_in_doubt_not_lost)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  outcome r;
  fixture_run (&fx, 10);
  submit_kept (&fx, &r, "frozen", 0, 300);
  fixture_run (&fx, 100);
  fake_mode_of (a)->unresponsive = true;
  fixture_run (&fx, 2000);
  ck_assert_uint_eq (r.answers, 1);
  ck_assert_int_eq (r.how, MM_END_UNKNOWN);
  fixture_destroy (&fx);
}
END_TEST

/* An owner dies before an end is stored.  The next owner must find the end at
   the upstream and report it to the job's home, which would start the task
   again otherwise.  */
START_TEST (next_owner_finds_the_ends_of_the_previous_owner)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  outcome r;
  fixture_run (&fx, 10);
  submit_kept (&fx, &r, "kept", 0, 100);
  fixture_run (&fx, 300);
  ck_assert_int_eq (r.how, MM_END_DONE);
  /* A higher fencing token begins a new session.  */
  mm_owner_add_upstream (fx.owner, fake_info (a), 6);
  mm_owner_set_confirmed (fx.owner, true);
  mm_search_result found = search_for (&fx, "kept", 0);
  /* The upstream has not listed its runs to the new session yet.  */
  ck_assert_uint_eq (found.clear_upstreams->len, 0);
  mm_search_result_clear (&found);
  fixture_run (&fx, 100);
  found = search_for (&fx, "kept", 0);
  ck_assert_uint_eq (found.clear_upstreams->len, 1);
  ck_assert_uint_eq (found.ends->len, 1);
  ck_assert_int_eq (g_array_index (found.ends, mm_found_end, 0).how,
                    MM_END_DONE);
  mm_search_result_clear (&found);
  fixture_destroy (&fx);
}
END_TEST

/* A restarted instance owns an upstream that lists an end of a previous
   owner's run, and is disconnected from the job's home.  The instance knows of
   no kept job, but must hold the end until the home has answered: if it
   dropped the end, the task would be started again.  */
START_TEST (ends_of_a_previous_owner_are_held_until_their_home_has_answered)
{
  for (int answered = 0; answered < 2; answered++)
    {
      fixture fx = fixture_create ();
      fake *a = fakes_add (fx.upstreams, "a", UPSTREAM_CPU_MILLI);
      fake_start_foreign (a, "orphan", 4, TASK_CPU_MILLI, 100);
      fakes_run (fx.upstreams, NULL, 300);
      ck_assert_uint_eq (fake_unacked_ends (a), 1);
      mm_owner_add_upstream (fx.owner, fake_info (a), 5);
      fixture_run (&fx, 500);
      GHashTable *ids
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      mm_owner_foreign_jobs (fx.owner, ids);
      ck_assert (g_hash_table_contains (ids, "orphan"));
      ck_assert_uint_eq (g_hash_table_size (ids), 1);
      g_hash_table_destroy (ids);
      if (answered)
        mm_owner_forget_job (fx.owner, "orphan");
      fixture_run (&fx, MM_UNACKED_END_TTL_MS - 2000);
      ck_assert_uint_eq (fake_unacked_ends (a), answered ? 0 : 1);
      fixture_run (&fx, 4000);
      ck_assert_uint_eq (fake_unacked_ends (a), 0);
      fixture_destroy (&fx);
    }
}
END_TEST

/* A search must count a task that runs.  An owner whose membership is not
   confirmed must not report any upstream as free of a task, as another owner
   may have started it there.  */
START_TEST (search_counts_a_running_task_and_ignores_an_unconfirmed_owner)
{
  fixture fx = fixture_create ();
  fixture_add (&fx, "a");
  outcome r;
  fixture_run (&fx, 10);
  submit_kept (&fx, &r, "kept", 0, 1000);
  fixture_run (&fx, 200);
  mm_owner_set_confirmed (fx.owner, true);
  mm_search_result found = search_for (&fx, "kept", 0);
  ck_assert_uint_eq (found.present, 1);
  mm_search_result_clear (&found);
  mm_owner_set_confirmed (fx.owner, false);
  found = search_for (&fx, "kept", 7);
  ck_assert_uint_eq (found.present, 0);
  ck_assert_uint_eq (found.clear_upstreams->len, 0);
  mm_search_result_clear (&found);
  fixture_destroy (&fx);
}
END_TEST

/* An upstream lists its ends in pages, and the first page is full of ends that
   are not acknowledged.  A task that has just ended is neither listed as
   running nor on that page.  If the owner took the task for lost, it would run
   a second time.  */
START_TEST (task_whose_end_is_on_a_later_page_is_not_lost)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  outcome r[4];
  fake_mode_of (a)->max_ends_per_answer = 2;
  fixture_run (&fx, 10);
  for (uint32_t i = 0; i < 2; i++)
    submit_kept (&fx, &r[i], "first", i, 100);
  fixture_run (&fx, 500);
  for (uint32_t i = 2; i < 4; i++)
    submit_kept (&fx, &r[i], "later", i, 300);
  fixture_run (&fx, 1500);
  ck_assert_uint_eq (r[2].answers, 0);
  ck_assert_uint_eq (r[3].answers, 0);
  mm_owner_forget_job (fx.owner, "first");
  fixture_run (&fx, 1000);
  ck_assert_int_eq (r[2].how, MM_END_DONE);
  ck_assert_int_eq (r[3].how, MM_END_DONE);
  fixture_destroy (&fx);
}
END_TEST

/* ---- late answers ----------------------------------------------------- */

#define N_UPSTREAMS 8 /* also the number of tasks in a job */
#define JOBS 50

/* Runs JOBS jobs of eight tasks, one job after the other, on eight upstreams.
   The orders of every second job arrive @delay_ms later than others.  Returns
   the number of jobs whose tasks all ended within 260 ms: the 60 ms that a
   task runs, and 200 ms to spare.  */
static uint32_t
jobs_in_time (fixture *fx, fake **x, mm_time_ms delay_ms)
{
  uint32_t in_time = 0;
  for (int j = 0; j < JOBS; j++)
    {
      for (int i = 0; i < N_UPSTREAMS; i++)
        fake_mode_of (x[i])->delivery_delay_ms = j % 2 ? delay_ms : 0;
      outcome r[N_UPSTREAMS];
      char job[16];
      snprintf (job, sizeof job, "job%d", j);
      for (uint32_t i = 0; i < N_UPSTREAMS; i++)
        submit (fx, &r[i], job, i, 60);
      mm_time_ms from_ms = fakes_now (fx->upstreams);
      fixture_run (fx, 500);
      bool ok = true;
      for (int i = 0; i < N_UPSTREAMS; i++)
        ok = ok && r[i].how == MM_END_DONE && r[i].ended_ms - from_ms <= 260;
      in_time += ok;
    }
  return in_time;
}

/* On a link with little bandwidth, other data such as an upstream list or a
   caller's job delays the start orders of every second job by 80 ms.  All
   orders arrive and are answered.  If the owner took them as lost, it would
   stop their tasks and place them again and send no tasks to these upstreams
   for a while, and a third of the callers would have to wait.  */
START_TEST (delayed_orders_are_not_taken_as_lost)
{
  fixture fx = fixture_create ();
  fake *x[N_UPSTREAMS];
  char name[16];
  for (int i = 0; i < N_UPSTREAMS; i++)
    {
      snprintf (name, sizeof name, "u%d", i);
      x[i] = fixture_add (&fx, name);
    }
  fixture_run (&fx, 50);
  uint64_t before = mm_metrics_counter (MM_CT_ORDERS_UNANSWERED);
  uint32_t in_time = jobs_in_time (&fx, x, 80);
  uint64_t unanswered = mm_metrics_counter (MM_CT_ORDERS_UNANSWERED) - before;
  ck_assert_uint_ge (mm_metrics_counter (MM_CT_ANSWERS_LATE), 2);
  ck_assert_msg (unanswered <= (uint64_t)JOBS * N_UPSTREAMS / 20,
                 "%d of %d orders", (int)unanswered, JOBS * N_UPSTREAMS);
  ck_assert_uint_ge (in_time, JOBS * 9 / 10);
  assert_invariants (&fx);
  fixture_destroy (&fx);
}
END_TEST

/* On a link of 2 Mbit/s the last order of a job leaves the instance 50 ms
   after the first one.  The time that an order waits in the instance's own
   queue must not count towards the timeout of its answer.  */
START_TEST (orders_in_the_uplink_queue_are_waited_for)
{
  fixture fx = fixture_create ();
  mm_owner_set_uplink_mbps (fx.owner, 2);
  fake *x = fixture_add (&fx, "a");
  fixture_run (&fx, 50);
  for (int i = 0; i < 20; i++)
    {
      outcome r;
      char job[16];
      snprintf (job, sizeof job, "job%d", i);
      submit (&fx, &r, job, 0, 60);
      fixture_run (&fx, 200);
    }
  uint64_t before = mm_metrics_counter (MM_CT_ORDERS_UNANSWERED);
  mm_owner_record_sent (fx.owner, 50 * 2000 / 8); /* 50 ms at 2 Mbit/s */
  fake_mode_of (x)->delivery_delay_ms = 50;
  outcome r;
  submit (&fx, &r, "behind", 0, 60);
  fixture_run (&fx, 300);
  ck_assert_int_eq (r.how, MM_END_DONE);
  ck_assert_uint_eq (mm_metrics_counter (MM_CT_ORDERS_UNANSWERED), before);
  fixture_destroy (&fx);
}
END_TEST

/* Late answers of one upstream must not delay the detection of a lost order to
   another one.  So the minimum timeout, which is common to all upstreams,
   rises only when two upstreams answer late, and for MM_RTO_FLOOR_TTL_MS.  */
START_TEST (slow_answers_of_one_upstream_delay_no_other)
{
  mm_rto_floor rto_floor = { 0 };
  int a, b;
  for (mm_time_ms now_ms = 1000; now_ms < 3000; now_ms += 100)
    mm_rto_floor_late (&rto_floor, &a, 200, now_ms);
  ck_assert_int_eq (mm_rto_floor_ms (&rto_floor, 3000), 0);
  mm_rto_floor_late (&rto_floor, &b, 200, 3000);
  ck_assert_int_ge (mm_rto_floor_ms (&rto_floor, 3000), 200);
  ck_assert_int_eq (mm_rto_floor_ms (&rto_floor, 3000 + MM_RTO_FLOOR_TTL_MS),
                    0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("owner");
  TCase *c = tcase_create ("faults");
  tcase_set_timeout (c, 60);
  tcase_add_test (c, tasks_wait_for_free_capacity_and_all_end);
  tcase_add_test (c, late_order_finds_its_capacity_free);
  tcase_add_test (c, task_that_ran_before_its_stop_is_not_reported_as_not_run);
  tcase_add_test (c, order_that_comes_after_its_stop_does_not_run);
  tcase_add_test (c, tasks_are_in_time_though_orders_get_no_answer);
  tcase_add_test (c, average_place_time_counts_runs_that_were_not_done);
  tcase_add_test (c, order_without_any_answer_is_waited_out);
  tcase_add_test (c, unanswered_start_frees_its_capacity_after_its_deadline);
  tcase_add_test (
      c, task_refused_by_another_incarnation_waits_for_another_upstream);
  tcase_add_test (c, stop_that_is_never_answered_is_counted);
  tcase_add_loop_test (
      c, task_starts_at_once_when_the_run_that_limits_leases_ends, 0,
      MM_EXEC_TICK_MS);
  tcase_add_test (c,
                  late_start_on_a_slow_clock_after_an_idle_time_does_not_run);
  tcase_add_test (c,
                  first_start_after_a_long_idle_time_is_not_refused_as_late);
  tcase_add_test (
      c, task_whose_start_was_never_answered_is_not_reported_as_not_run);
  tcase_add_test (c, disconnected_upstream_loses_its_task_with_the_lease);
  tcase_add_test (c, answers_lost_one_way_do_not_renew_leases);
  tcase_add_test (c, new_owner_stops_what_it_finds_before_it_starts);
  tcase_add_test (c, fenced_owner_reports_its_tasks_once_and_starts_no_more);
  tcase_add_test (c, cancelled_task_keeps_its_capacity_until_it_has_ended);
  tcase_add_test (c, same_task_again_waits_for_the_end_of_its_first_run);
  tcase_add_test (c, task_that_ended_there_gets_a_higher_run_number);
  tcase_add_test (
      c, start_with_a_higher_number_is_not_sent_to_a_draining_upstream);
  tcase_add_test (
      c, start_with_a_higher_number_is_not_sent_beyond_a_smaller_capacity);
  tcase_add_test (c, upstream_that_fails_every_task_is_excluded);
  tcase_add_test (c, restarted_upstream_loses_its_tasks_at_once);
  tcase_add_test (c, stalled_task_is_stopped_but_slow_one_is_not);
  tcase_add_test (c, one_lost_hold_loses_no_task);
  tcase_add_test (c, task_without_free_capacity_is_returned_in_time);
  tcase_add_test (c, draining_upstream_gets_nothing_new);
  tcase_add_test (c, task_goes_to_the_rack_of_its_data);
  tcase_add_test (c, end_of_a_kept_task_stays_listed_until_acknowledged);
  tcase_add_test (
      c, ends_of_a_stopped_job_stay_listed_until_its_outcome_is_stored);
  tcase_add_test (c, upstreams_run_short_tasks_during_their_handover);
  tcase_add_test (c, kept_task_out_of_contact_is_in_doubt_not_lost);
  tcase_add_test (c, stop_that_is_refused_at_once_is_not_sent_without_a_pause);
  tcase_add_test (c, next_owner_finds_the_ends_of_the_previous_owner);
  tcase_add_test (
      c, ends_of_a_previous_owner_are_held_until_their_home_has_answered);
  tcase_add_test (
      c, search_counts_a_running_task_and_ignores_an_unconfirmed_owner);
  tcase_add_test (c, task_whose_end_is_on_a_later_page_is_not_lost);
  tcase_add_loop_test (c, random_faults_break_no_invariant, 0, 100);
  tcase_add_loop_test (c, raised_tokens_break_no_invariant, 0, 100);
  tcase_add_test (c, runs_go_on_when_the_token_is_raised);
  tcase_add_test (c, late_start_of_an_owner_in_between_is_refused);
  tcase_add_test (c, delayed_orders_are_not_taken_as_lost);
  tcase_add_test (c, orders_in_the_uplink_queue_are_waited_for);
  tcase_add_test (c, slow_answers_of_one_upstream_delay_no_other);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
