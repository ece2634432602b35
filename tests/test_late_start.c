/* Tests of starts that get no answer in time: the upstream or the instance was
   late, or the start was lost.  */
#include "config.h"
#include "harness.h"
#include "owner_fixture.h"

#include <signal.h>
#include <string.h>

#define RUN_MS 300
#define ROUND_TRIP_MS 2 /* of a call to a fake upstream */

/* ---- an owner and simulated upstreams ---------------------------------- */

/* An owner with one upstream whose answers are 2 ms old, so that calls have
   the least timeout, and a task there.  */
typedef struct
{
  fixture fx;
  fake *upstream;
  mm_time_ms from_ms; /* when the task was submitted */
  outcome result;
} late_start;

static void
late_start_create (late_start *t)
{
  t->fx = fixture_create ();
  t->upstream = fixture_add (&t->fx, "a");
  fixture_run (&t->fx, 10);
}

static void
late_start_submit (late_start *t)
{
  t->from_ms = fakes_now (t->fx.upstreams);
  submit (&t->fx, &t->result, "late", 0, RUN_MS);
}

/* Advances the clock to @ms after the task was submitted.  */
static void
late_start_run_to (late_start *t, mm_time_ms ms)
{
  fixture_run (&t->fx, t->from_ms + ms - fakes_now (t->fx.upstreams));
}

/* Runs the task to its end, which must be reported once.  */
static void
late_start_finish (late_start *t)
{
  late_start_run_to (t, 3000);
  ck_assert_uint_eq (t->result.answers, 1);
  assert_invariants (&t->fx);
}

static uint32_t
starts (const late_start *t)
{
  return fakes_count (t->fx.upstreams).starts;
}

static void
late_start_destroy (late_start *t)
{
  fixture_destroy (&t->fx);
}

/* Guards against a healthy run that is stopped because the answer to its start
   was late: its task ran twice, and its caller waited for the second run.  */
START_TEST (run_whose_start_is_answered_late_goes_on)
{
  late_start t;
  late_start_create (&t);
  fake_mode_of (t.upstream)->start_answer_delay_ms = MM_RTO_MIN_MS * 2;
  late_start_submit (&t);
  late_start_finish (&t);
  ck_assert_int_eq (t.result.how, MM_END_DONE);
  ck_assert_uint_eq (starts (&t), 1);
  ck_assert_int_le (t.result.ended_ms, t.from_ms + RUN_MS + 2 * ROUND_TRIP_MS);
  late_start_destroy (&t);
}
END_TEST

/* Guards against the same while the upstream stands still for _i ms, so that
   it handles the start and all that follows at one moment, in order.  */
START_TEST (upstream_that_stood_still_keeps_its_run)
{
  late_start t;
  late_start_create (&t);
  fake_mode_of (t.upstream)->delivery_delay_ms = _i;
  late_start_submit (&t);
  for (int ms = 1; ms <= _i; ms++)
    {
      late_start_run_to (&t, ms);
      fake_mode_of (t.upstream)->delivery_delay_ms = _i - ms;
    }
  fake_mode_of (t.upstream)->delivery_delay_ms = 0;
  late_start_finish (&t);
  ck_assert_int_eq (t.result.how, MM_END_DONE);
  ck_assert_uint_eq (starts (&t), 1);
  late_start_destroy (&t);
}
END_TEST

/* Guards against a run that is in doubt for as long as a hold waits, when the
   connection breaks before the start is answered.  */
START_TEST (run_is_found_at_once_after_its_connection_broke)
{
  late_start t;
  late_start_create (&t);
  fake_mode_of (t.upstream)->break_starts = 1;
  late_start_submit (&t);
  late_start_run_to (&t, ROUND_TRIP_MS + 1);
  ck_assert_uint_eq (mm_owner_measure (t.fx.owner).in_doubt, 1);
  late_start_run_to (&t, 3 * ROUND_TRIP_MS);
  ck_assert_uint_eq (mm_owner_measure (t.fx.owner).in_doubt, 0);
  late_start_finish (&t);
  ck_assert_int_eq (t.result.how, MM_END_DONE);
  ck_assert_uint_eq (starts (&t), 1);
  late_start_destroy (&t);
}
END_TEST

/* Guards against a second run when calls overtake each other: the start
   arrives after the upstream has answered that it does not have the run.  */
START_TEST (start_that_is_overtaken_runs_once)
{
  late_start t;
  late_start_create (&t);
  fake_mode_of (t.upstream)->delivery_delay_ms = _i;
  late_start_submit (&t);
  late_start_run_to (&t, 1);
  fake_mode_of (t.upstream)->delivery_delay_ms = 0;
  late_start_finish (&t);
  ck_assert_int_eq (t.result.how, MM_END_DONE);
  ck_assert_uint_eq (starts (&t), 1);
  late_start_destroy (&t);
}
END_TEST

/* Guards against a lost start that is found later than by a stop, a list and a
   new start, one after the other.  */
START_TEST (lost_start_is_made_up_for_at_once)
{
  late_start t;
  late_start_create (&t);
  fake_mode_of (t.upstream)->lose_starts = 1;
  late_start_submit (&t);
  late_start_run_to (&t, MM_RTO_MIN_MS + 3 * ROUND_TRIP_MS);
  ck_assert_uint_eq (fake_running (t.upstream), 1);
  late_start_finish (&t);
  ck_assert_int_eq (t.result.how, MM_END_DONE);
  ck_assert_uint_eq (starts (&t), 1);
  late_start_destroy (&t);
}
END_TEST

/* Guards against a task that stays with an upstream that leaves every start
   unanswered: after two of them the run is stopped and the task returned.  */
START_TEST (task_is_returned_after_two_lost_starts)
{
  late_start t;
  late_start_create (&t);
  fake_mode *mode = fake_mode_of (t.upstream);
  mode->lose_starts = 3;
  mode->lose_stops = 1;
  late_start_submit (&t);
  late_start_run_to (&t, MM_RTO_MIN_MS * 3);
  ck_assert_uint_eq (mode->lose_starts, 1);
  ck_assert_uint_eq (mode->lose_stops, 0);
  mode->lose_starts = 0;
  late_start_finish (&t);
  ck_assert_int_eq (t.result.how, MM_END_DONE);
  ck_assert_uint_eq (starts (&t), 1);
  late_start_destroy (&t);
}
END_TEST

/* Guards against a lost start that is sent again to an upstream which drains
   by then.  */
START_TEST (start_is_not_sent_again_to_a_draining_upstream)
{
  late_start t;
  late_start_create (&t);
  fake_mode_of (t.upstream)->lose_starts = 1;
  late_start_submit (&t);
  late_start_run_to (&t, 1);
  fake_set_draining (t.upstream, true);
  mm_owner_update_upstream (t.fx.owner, fake_info (t.upstream));
  fixture_add (&t.fx, "b");
  late_start_finish (&t);
  ck_assert_str_eq (t.result.upstream, "b");
  ck_assert_uint_eq (fake_starts (t.upstream), 0);
  late_start_destroy (&t);
}
END_TEST

/* Lets the owner learn that another one has the upstream with a higher
   token.  */
static void
tell_of_another_owner (late_start *t)
{
  mm_found_run r = { .upstream = fake_info (t->upstream)->name, .fence = 6 };
  mm_task_request unused;
  g_strlcpy (r.task.job, "other", sizeof r.task.job);
  ck_assert_ptr_null (mm_owner_claim (t->fx.owner, &r, &unused));
}

/* What happens at the upstream after its first start was carried out late and
   before the second one arrives, which is refused then.  */
typedef enum
{
  REFUSED_AS_ENDED,   /* the run has ended */
  REFUSED_AND_FENCED, /* the same, and another owner has the upstream before
                         the answer arrives */
  REFUSED_AS_FENCED,  /* another owner has the upstream */
  REFUSED_BY_ANOTHER, /* the upstream has restarted */
  N_REFUSALS
} refusal;

/* Guards against a task that ran and is reported as not run, and so runs
   again: the first start was carried out after the upstream had answered that
   it does not have the run, and the second one is refused.  */
START_TEST (task_whose_second_start_is_refused_is_not_reported_as_not_run)
{
  static const mm_end expected[N_REFUSALS]
      = { [REFUSED_AS_ENDED] = MM_END_DONE,
          [REFUSED_AND_FENCED] = MM_END_UNKNOWN,
          [REFUSED_AS_FENCED] = MM_END_UNKNOWN,
          [REFUSED_BY_ANOTHER] = MM_END_LOST };
  enum
  {
    FIRST_MS = MM_RTO_MIN_MS + 3, /* arrival of the first start */
    SHORT_RUN_MS = 5,
    SECOND_MS = MM_RTO_MIN_MS + 15 /* arrival of the second one */
  };
  late_start t;
  late_start_create (&t);
  fake_mode_of (t.upstream)->delivery_delay_ms = FIRST_MS;
  t.from_ms = fakes_now (t.fx.upstreams);
  submit (&t.fx, &t.result, "late", 0,
          _i <= REFUSED_AND_FENCED ? SHORT_RUN_MS : RUN_MS);
  late_start_run_to (&t, 1);
  fake_mode_of (t.upstream)->delivery_delay_ms = 0;
  late_start_run_to (&t, MM_RTO_MIN_MS + 1); /* the query is sent */
  fake_mode_of (t.upstream)->delivery_delay_ms = SECOND_MS - MM_RTO_MIN_MS - 2;
  if (_i == REFUSED_AND_FENCED)
    fake_mode_of (t.upstream)->lose_holds = 4; /* the end is not listed */
  late_start_run_to (&t, FIRST_MS + 2);
  ck_assert_uint_eq (starts (&t), 1);
  if (_i == REFUSED_AS_FENCED)
    fake_renew_foreign (t.upstream, 6);
  if (_i == REFUSED_BY_ANOTHER)
    fake_restart (t.upstream);
  if (_i == REFUSED_AND_FENCED)
    fake_mode_of (t.upstream)->start_answer_delay_ms = 10;
  late_start_run_to (&t, SECOND_MS + 1);
  if (_i == REFUSED_AND_FENCED)
    tell_of_another_owner (&t);
  fake_mode_of (t.upstream)->delivery_delay_ms = 0;
  late_start_finish (&t);
  ck_assert_int_eq (t.result.how, expected[_i]);
  ck_assert_uint_eq (starts (&t), 1);
  late_start_destroy (&t);
}
END_TEST

/* Guards against two runs: the second start is refused for now, and the first
   one arrives only after that.  */
START_TEST (first_start_that_arrives_after_the_second_was_refused_runs_nothing)
{
  late_start t;
  late_start_create (&t);
  fixture_add (&t.fx, "b");
  fake_mode_of (t.upstream)->delivery_delay_ms = MM_RTO_MIN_MS * 3;
  late_start_submit (&t);
  late_start_run_to (&t, 1);
  fake_mode_of (t.upstream)->delivery_delay_ms = 0;
  fake_mode_of (t.upstream)->unhealthy = true;
  late_start_run_to (&t, MM_RTO_MIN_MS * 2);
  fake_mode_of (t.upstream)->unhealthy = false;
  late_start_finish (&t);
  ck_assert_int_eq (t.result.how, MM_END_DONE);
  ck_assert_uint_eq (starts (&t), 1);
  late_start_destroy (&t);
}
END_TEST

/* ---- an owner that stands still with a start in hand -------------------- */

/* Who the task is from, and when the owner orders its start.  */
typedef enum
{
  OWN_CALLER,        /* before the stall; it is sent after the stall */
  OWN_CALLER_AT_END, /* after the stall, in the same iteration */
  PEER,              /* as OWN_CALLER, received over a link */
  PEER_AT_END,
  N_SENDERS
} sender;

#define LONG_RUN_MS 5000

/* Submits the task.  @awaited_ms: when the peer was last heard of.  */
static void
submit_awaited (late_start *t, sender from, const mm_time_ms *awaited_ms)
{
  mm_task_request r = fakes_task ("late", 0, TASK_CPU_MILLI, LONG_RUN_MS);
  if (from == PEER || from == PEER_AT_END)
    r.awaited_ms = awaited_ms;
  t->result.work = mm_owner_submit (t->fx.owner, &r, on_done, &t->result);
}

/* Asserts that no run of the task goes on when its caller, who is not known to
   have left before a stall of @stall_ms is over, has sent the job again.  No
   stop arrives.  @beside: leases are renewed for another task.  */
static void
check_stalled_start (sender from, mm_time_ms stall_ms, bool beside)
{
  late_start t = { .fx = fixture_create () };
  outcome other;
  t.upstream = fixture_add (&t.fx, "a");
  fixture_run (&t.fx, 10);
  if (beside)
    submit (&t.fx, &other, "beside", 0, LONG_RUN_MS);
  fixture_run (&t.fx, 100);
  mm_time_ms left_ms = fakes_now (t.fx.upstreams);
  mm_time_ms awaited_ms = left_ms;
  mm_owner_set_input_read (t.fx.owner, left_ms);
  fake_mode_of (t.upstream)->lose_stops = G_MAXUINT32;
  fake_mode_of (t.upstream)->delivery_delay_ms = stall_ms;
  if (from == OWN_CALLER || from == PEER)
    submit_awaited (&t, from, &awaited_ms);
  fakes_run (t.fx.upstreams, NULL, stall_ms);
  fake_mode_of (t.upstream)->delivery_delay_ms = 0;
  if (from == OWN_CALLER_AT_END || from == PEER_AT_END)
    submit_awaited (&t, from, &awaited_ms);
  fixture_run (&t.fx, ROUND_TRIP_MS);
  if (t.result.work)
    mm_owner_cancel (t.fx.owner, t.result.work);
  mm_task_id id = { .job = "late" };
  while (fakes_now (t.fx.upstreams) < left_ms + LONG_RUN_MS)
    {
      mm_owner_set_input_read (t.fx.owner, fakes_now (t.fx.upstreams));
      fixture_run (&t.fx, 1);
      ck_assert (fakes_now (t.fx.upstreams) < left_ms + MM_RESEND_MS
                 || !fake_is_running (t.upstream, &id));
    }
  fixture_destroy (&t.fx);
}

/* Guards against starts and leases that do not count the time of a stall.  */
START_TEST (start_of_a_caller_that_left_is_void_after_a_stall)
{
  for (sender from = 0; from < N_SENDERS; from++)
    {
      check_stalled_start (from, _i * 10, false);
      check_stalled_start (from, _i * 10, true);
    }
}
END_TEST

/* ---- processes ---------------------------------------------------------- */

#define TASKS 4
#define STALL_MS                                                              \
  200 /* longer than any timeout of a call, shorter than leases */

/* Submits a job while @stalled is stopped, and continues it after STALL_MS.
   Each task must run once, and the job be answered.  */
static void
submit_during_a_stall (pid_t stalled, const char *id)
{
  char *job = h_job_json (id, TASKS, RUN_MS, 20000, false);
  kill (stalled, SIGSTOP);
  pid_t caller = h_submit (0, job);
  g_usleep (STALL_MS * 1000);
  kill (stalled, SIGCONT);
  ck_assert (h_submit_completed (caller));
  GArray *runs = h_read_runs (1, NULL);
  int n = 0;
  for (guint i = 0; i < runs->len; i++)
    n += g_str_has_prefix (g_array_index (runs, h_run, i).task, id);
  ck_assert_int_eq (n, TASKS);
  g_array_free (runs, TRUE);
  g_free (job);
}

/* Guards against runs that are stopped and repeated because their upstream
   stood still while it was told to start them.  */
START_TEST (stalled_upstream_runs_each_task_once)
{
  h_start_nodes (1, TASKS, 1);
  submit_during_a_stall (h_upstreams[0], "stall");
  ck_assert_int_ge (
      h_count_in_log (h_instances[0], "\"event\":\"task_order_unanswered\""),
      1);
  h_stop_cluster ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("late_start");
  TCase *c = tcase_create ("decisions");
  tcase_add_test (c, run_whose_start_is_answered_late_goes_on);
  tcase_add_loop_test (c, upstream_that_stood_still_keeps_its_run, 1, 980);
  tcase_add_test (c, run_is_found_at_once_after_its_connection_broke);
  tcase_add_loop_test (c, start_that_is_overtaken_runs_once, 0, 500);
  tcase_add_test (c, lost_start_is_made_up_for_at_once);
  tcase_add_test (c, task_is_returned_after_two_lost_starts);
  tcase_add_test (c, start_is_not_sent_again_to_a_draining_upstream);
  tcase_add_loop_test (
      c, task_whose_second_start_is_refused_is_not_reported_as_not_run, 0,
      N_REFUSALS);
  tcase_add_test (
      c, first_start_that_arrives_after_the_second_was_refused_runs_nothing);
  tcase_add_loop_test (c, start_of_a_caller_that_left_is_void_after_a_stall, 0,
                       250);
  suite_add_tcase (s, c);
  c = tcase_create ("processes");
  tcase_set_timeout (c, 60);
  tcase_add_test (c, stalled_upstream_runs_each_task_once);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
