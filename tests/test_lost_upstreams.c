/* Tests when the loss of an upstream is reported, and for which tasks.  The
   tests make no calls over the network.  */
#include "config.h"
#include "fake_upstreams.h"
#include "harness.h"
#include "mm_mesh_msg.h"
#include "mm_metrics.h"

enum
{
  CPU_MILLI = 1000,
  SLOTS = 4,
  TASK_MS = 3000,
  /* Holds fail within this time after connections fail: one hold still waits
     for an end.  Leases have not expired by then.  */
  NOTICE_MS = MM_HOLD_WAIT_MS + 100
};

/* An owner of the upstream "a", which runs @task.  */
typedef struct
{
  fakes *upstreams;
  fake *a;
  mm_owner *owner;
  mm_suspects *suspects;
  mm_task_id task;
  mm_end how; /* the end of @task, MM_END_COUNT until then */
} fixture;

static void
on_done (void *ctx, const mm_work_result *r)
{
  *(mm_end *)ctx = r->how;
}

static mm_task_id
start_task (fixture *fx, const char *job, mm_end *how)
{
  mm_task_request t = fakes_task (job, 0, CPU_MILLI, TASK_MS);
  *how = MM_END_COUNT;
  mm_owner_submit (fx->owner, &t, on_done, how);
  return t.id;
}

static void
fixture_create (fixture *fx)
{
  *fx = (fixture){ .upstreams = fakes_create (),
                   .suspects = mm_suspects_create () };
  mm_exec_port port = fakes_port (fx->upstreams);
  fx->owner = mm_owner_create (&port);
  mm_owner_set_suspects (fx->owner, fx->suspects);
  fx->a = fakes_add (fx->upstreams, "a", SLOTS * CPU_MILLI);
  mm_owner_add_upstream (fx->owner, fake_info (fx->a), 5);
  fakes_run (fx->upstreams, fx->owner, 10);
  fx->task = start_task (fx, "first", &fx->how);
  fakes_run (fx->upstreams, fx->owner, 100);
  ck_assert_uint_eq (fake_running (fx->a), 1);
}

static void
fixture_destroy (fixture *fx)
{
  mm_owner_destroy (fx->owner);
  mm_suspects_destroy (fx->suspects);
  fakes_destroy (fx->upstreams);
}

static void
refuse_connections (fixture *fx, mm_time_ms ms)
{
  fake_mode_of (fx->a)->refuses_connections = true;
  fakes_run (fx->upstreams, fx->owner, ms);
  fake_mode_of (fx->a)->refuses_connections = false;
}

/* Guards against a crash that counts for no task because the owner of the
   upstream fails before the leases there have expired.  */
START_TEST (loss_is_reported_when_connections_fail)
{
  fixture fx;
  fixture_create (&fx);
  refuse_connections (&fx, NOTICE_MS);
  ck_assert_int_eq (fx.how, MM_END_COUNT);
  ck_assert_int_eq (mm_suspects_decide (fx.suspects, &fx.task),
                    MM_SUSPECT_ISOLATE);
  mm_upstream_info again = *fake_info (fx.a);
  again.name = (char *)"a-again";
  mm_suspects_listed (fx.suspects, &again);
  ck_assert_uint_eq (mm_suspects_count_crashes (fx.suspects, &fx.task), 1);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against a task that stays suspect though its upstream answers again,
   to this owner or as fenced by the next one.  */
START_TEST (upstream_that_answers_again_is_not_lost)
{
  bool fenced = _i == 1;
  fixture fx;
  fixture_create (&fx);
  refuse_connections (&fx, NOTICE_MS);
  ck_assert_uint_eq (mm_suspects_count (fx.suspects), 1);
  if (fenced)
    fake_renew_foreign (fx.a, 6);
  fakes_run (fx.upstreams, fx.owner, MM_HOLD_RETRY_MS + 100);
  ck_assert (mm_owner_fenced (fx.owner, "a") == fenced);
  ck_assert (fake_is_running (fx.a, &fx.task));
  ck_assert_uint_eq (mm_suspects_count (fx.suspects), 0);
  ck_assert_int_eq (mm_suspects_decide (fx.suspects, &fx.task),
                    MM_SUSPECT_RUN);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against tasks that are suspect because answers are late: the
   connections of an upstream that is slow or cut off do not fail.  */
START_TEST (timeouts_report_no_loss)
{
  fixture fx;
  fixture_create (&fx);
  fake_mode_of (fx.a)->unresponsive = true;
  fakes_run (fx.upstreams, fx.owner, MM_LEASE_MS / 2);
  ck_assert_uint_eq (mm_suspects_count (fx.suspects), 0);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against a loss that makes a task suspect twice.  */
START_TEST (lost_upstream_is_reported_once)
{
  fixture fx;
  fixture_create (&fx);
  uint64_t before = mm_metrics_counter (MM_CT_TASKS_SUSPECT);
  refuse_connections (&fx, NOTICE_MS);
  ck_assert_uint_eq (mm_metrics_counter (MM_CT_TASKS_SUSPECT), before + 1);
  refuse_connections (&fx, MM_LEASE_MS + MM_LEASE_SLACK_MS);
  ck_assert_int_eq (fx.how, MM_END_LOST);
  ck_assert_uint_eq (mm_metrics_counter (MM_CT_TASKS_SUSPECT), before + 1);
  fixture_destroy (&fx);
}
END_TEST

/* The upstream drains, and another incarnation is there, @ms after the start
   of a second task.  Return: the second task.  */
static mm_task_id
restart_while_draining (fixture *fx, mm_time_ms ms, mm_end *how)
{
  mm_task_id second = start_task (fx, "second", how);
  fakes_run (fx->upstreams, fx->owner, ms);
  fake_set_draining (fx->a, true);
  mm_owner_update_upstream (fx->owner, fake_info (fx->a));
  fake_restart (fx->a);
  fakes_run (fx->upstreams, fx->owner, MM_HOLD_WAIT_MS);
  ck_assert_int_eq (*how, MM_END_LOST);
  mm_owner_update_upstream (fx->owner, fake_info (fx->a));
  return second;
}

/* Guards against a poison task whose crash counts for nothing because its
   upstream had just begun to drain.  Other tasks there must not be suspect. */
START_TEST (crash_while_draining_counts_for_a_task_that_just_started)
{
  fixture fx;
  mm_end how;
  fixture_create (&fx);
  mm_task_id second = restart_while_draining (&fx, 20, &how);
  ck_assert_uint_eq (mm_suspects_count_crashes (fx.suspects, &second), 1);
  ck_assert_int_eq (mm_suspects_decide (fx.suspects, &second),
                    MM_SUSPECT_ISOLATE);
  ck_assert_int_eq (mm_suspects_decide (fx.suspects, &fx.task),
                    MM_SUSPECT_RUN);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against tasks that are suspect because their upstream left as
   planned.  */
START_TEST (planned_leave_accuses_no_task)
{
  fixture fx;
  mm_end how;
  fixture_create (&fx);
  restart_while_draining (&fx, 4 * MM_SUSPECTS_AFTER_START_MS, &how);
  ck_assert_uint_eq (mm_suspects_count (fx.suspects), 0);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against a task that is suspect because its start reached an upstream
   that left as planned before it could answer.  */
START_TEST (unanswered_start_at_a_leaving_upstream_accuses_no_task)
{
  fixture fx;
  mm_end how;
  fixture_create (&fx);
  fake_mode_of (fx.a)->lose_starts = 1;
  restart_while_draining (&fx, 20, &how);
  ck_assert_uint_eq (mm_suspects_count (fx.suspects), 0);
  fixture_destroy (&fx);
}
END_TEST

/* Sends a loss to another instance, which records it.  */
static void
send_loss (void *ctx, const mm_loss *l)
{
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_mesh_pack_loss (&b, l);
  msgpack_unpacked u;
  msgpack_unpacked_init (&u);
  ck_assert_int_eq (msgpack_unpack_next (&u, b.data, b.size, NULL),
                    MSGPACK_UNPACK_SUCCESS);
  mm_mesh_msg msg;
  ck_assert (mm_mesh_msg_read (&u.data, &msg));
  mm_suspects_record (ctx, &msg.loss);
  mm_mesh_msg_clear (&msg);
  msgpack_unpacked_destroy (&u);
  msgpack_sbuffer_destroy (&b);
}

/* Guards against a crash that counts for nothing because the upstream is
   listed as draining only after its loss was recorded.  @_i: whether other
   instances learn that first.  */
START_TEST (crash_counts_though_the_drain_is_listed_later)
{
  fixture fx;
  mm_end how;
  fixture_create (&fx);
  mm_suspects *other = mm_suspects_create ();
  mm_suspects_on_changed (fx.suspects, send_loss, other);
  /* After a lost hold, the next ones wait only MM_HOLD_WAIT_SHORT_MS.  */
  fake_mode_of (fx.a)->lose_holds = 1;
  fakes_run (fx.upstreams, fx.owner, 2 * MM_HOLD_WAIT_MS);
  mm_task_id second = start_task (&fx, "second", &how);
  fakes_run (fx.upstreams, fx.owner, 10);
  refuse_connections (&fx, NOTICE_MS);
  mm_suspects *hears_first = _i ? other : fx.suspects;
  ck_assert_int_eq (mm_suspects_decide (hears_first, &fx.task),
                    MM_SUSPECT_ISOLATE);
  fake_set_draining (fx.a, true);
  mm_suspects_listed (hears_first, fake_info (fx.a));
  if (_i)
    mm_suspects_foreach (other, send_loss, fx.suspects);
  mm_upstream_info again = *fake_info (fx.a);
  again.name = (char *)"a-again";
  mm_suspects_listed (fx.suspects, &again);
  for (int i = 0; i < 2; i++)
    {
      const mm_suspects *s = i ? other : fx.suspects;
      ck_assert_uint_eq (mm_suspects_count_crashes (s, &second), 1);
      ck_assert_uint_eq (mm_suspects_count_crashes (s, &fx.task), 0);
    }
  mm_suspects_destroy (other);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against an instance that takes such a crash for a planned leave, or
   for evidence, because it only heard of it.  */
START_TEST (crashes_while_draining_are_known_elsewhere_but_no_evidence)
{
  fixture fx;
  fixture_create (&fx);
  uint64_t hash = mm_task_hash (&fx.task);
  mm_suspects *other = mm_suspects_create ();
  mm_suspects_on_changed (fx.suspects, send_loss, other);
  for (int i = 0; i < 3; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "up%d", i);
      mm_loss l = { .upstream = name,
                    .addr = name,
                    .draining = true,
                    .unresponsive_since_ms = mm_clock_now_ms (),
                    .tasks = &hash,
                    .n_tasks = 1,
                    .n_unconfirmed = 1 };
      mm_suspects_record (fx.suspects, &l);
      mm_upstream_info u = { .name = name, .addr = name, .draining = true };
      mm_suspects_listed (other, &u);
      ck_assert_uint_eq (mm_suspects_count (other), (size_t)i + 1);
      u.name = (char *)"again";
      mm_suspects_listed (other, &u);
      fakes_run (fx.upstreams, fx.owner, 2 * MM_SUSPECTS_COINCIDE_MS);
    }
  ck_assert_uint_eq (mm_suspects_count_crashes (other, &fx.task), 3);
  ck_assert_int_eq (mm_suspects_decide (other, &fx.task), MM_SUSPECT_POSTPONE);
  mm_suspects_destroy (other);
  fixture_destroy (&fx);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("lost_upstreams");
  TCase *tc = tcase_create ("lost_upstreams");
  tcase_add_test (tc, loss_is_reported_when_connections_fail);
  tcase_add_loop_test (tc, upstream_that_answers_again_is_not_lost, 0, 2);
  tcase_add_test (tc, timeouts_report_no_loss);
  tcase_add_test (tc, lost_upstream_is_reported_once);
  tcase_add_test (tc,
                  crash_while_draining_counts_for_a_task_that_just_started);
  tcase_add_test (tc, planned_leave_accuses_no_task);
  tcase_add_test (tc, unanswered_start_at_a_leaving_upstream_accuses_no_task);
  tcase_add_loop_test (tc, crash_counts_though_the_drain_is_listed_later, 0,
                       2);
  tcase_add_test (tc,
                  crashes_while_draining_are_known_elsewhere_but_no_evidence);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
