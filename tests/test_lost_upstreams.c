/* Tests when the loss of an upstream is reported, and for which tasks.  The
   tests make no calls over the network.  */
#include "config.h"
#include "fake_upstreams.h"
#include "harness.h"
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

int
main (void)
{
  Suite *s = suite_create ("lost_upstreams");
  TCase *tc = tcase_create ("lost_upstreams");
  tcase_add_test (tc, loss_is_reported_when_connections_fail);
  tcase_add_loop_test (tc, upstream_that_answers_again_is_not_lost, 0, 2);
  tcase_add_test (tc, timeouts_report_no_loss);
  tcase_add_test (tc, lost_upstream_is_reported_once);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
