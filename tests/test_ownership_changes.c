/* Tests that a change of an upstream's list entry is in force in the session
   with that upstream at once, whatever the state of its partition.  The
   upstreams are simulated in memory, on a clock that the test advances.  */
#include "config.h"
#include "fake_upstreams.h"
#include "harness.h"
#include "mm_ownership.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

enum
{
  UPSTREAMS = 6,
  UPSTREAM_CPU_MILLI = 32000, /* four tasks fit */
  TASK_CPU_MILLI = 8000,      /* in thousandths of a core */
  CALL_MAX_MS = 5, /* longest time that a call to an upstream takes */
  LONG_MS = 2000,  /* run time of a long task */
  SHORT_MS = 50    /* run time of a short task */
};

/* The partition of one upstream.  */
typedef struct
{
  mm_partition_state state;
  uint64_t fence; /* fencing token */
} partition;

/* One instance and its upstreams; upstream @i is alone in partition @i.  */
typedef struct
{
  fakes *fake_upstreams;
  mm_owner *owner;
  mm_catalog *catalog;
  mm_ownership *ownership;
  fake *upstreams[UPSTREAMS];
  partition partitions[UPSTREAMS];
  uint64_t changes;    /* number of changes of partitions */
  uint64_t last_fence; /* last fencing token that was assigned */
  bool list_fresh;     /* the list was read since partitions were assigned */
  uint32_t n_tasks;    /* number of submitted tasks */
} fixture;

/* Returns the partition of an upstream, whose name is "u" and its index.  */
static partition *
partition_of (fixture *fx, const mm_upstream_info *u)
{
  return &fx->partitions[u->name[1] - '0'];
}

static mm_partition_state
partition_state (void *ctx, const mm_upstream_info *u, uint64_t *fence)
{
  const partition *p = partition_of (ctx, u);
  *fence = p->fence;
  return p->state;
}

static void
partition_renew_fence (void *ctx, const mm_upstream_info *u)
{
  partition_of (ctx, u)->fence = ++((fixture *)ctx)->last_fence;
}

static uint64_t
partition_changes (void *ctx)
{
  return ((fixture *)ctx)->changes;
}

static bool
owns_any_partition (void *ctx)
{
  const fixture *fx = ctx;
  for (int i = 0; i < UPSTREAMS; i++)
    if (fx->partitions[i].state != MM_PARTITION_ELSEWHERE)
      return true;
  return false;
}

/* Records the current list entry of upstream @i in the catalog.  */
static void
list_upstream (fixture *fx, int i)
{
  mm_catalog_origin read = { .as_of_ms = mm_clock_now_ms () };
  mm_catalog_put (fx->catalog, fake_info (fx->upstreams[i]), &read);
}

/* Changes the state of partition @i.  A partition that this instance gets from
   elsewhere has a new fencing token.  */
static void
assign (fixture *fx, int i, mm_partition_state state)
{
  if (state == MM_PARTITION_OWNED
      && fx->partitions[i].state == MM_PARTITION_ELSEWHERE)
    fx->partitions[i].fence = ++fx->last_fence;
  fx->partitions[i].state = state;
  fx->changes++;
}

/* Advances the clock and ticks the owner and its ownerships.  */
static void
run_for (fixture *fx, mm_time_ms ms)
{
  for (mm_time_ms t = 0; t < ms; t += MM_EXEC_TICK_MS)
    {
      mm_ownership_tick (fx->ownership, fx->list_fresh);
      fakes_run (fx->fake_upstreams, fx->owner, MM_EXEC_TICK_MS);
    }
}

/* Returns an instance that owns all upstreams.  */
static fixture *
fixture_create (void)
{
  fixture *fx = g_new0 (fixture, 1);
  fx->fake_upstreams = fakes_create ();
  mm_exec_port port = fakes_port (fx->fake_upstreams);
  fx->owner = mm_owner_create (&port);
  fx->catalog = mm_catalog_create ();
  mm_ownership_partitions partitions = { .state_of = partition_state,
                                         .renew_fence = partition_renew_fence,
                                         .change_count = partition_changes,
                                         .owns_any = owns_any_partition,
                                         .ctx = fx };
  fx->ownership = mm_ownership_create (fx->catalog, fx->owner, &partitions);
  fx->list_fresh = true;
  for (int i = 0; i < UPSTREAMS; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "u%d", i);
      fx->upstreams[i]
          = fakes_add (fx->fake_upstreams, name, UPSTREAM_CPU_MILLI);
      list_upstream (fx, i);
      assign (fx, i, MM_PARTITION_OWNED);
    }
  run_for (fx, 100);
  return fx;
}

static void
fixture_destroy (fixture *fx)
{
  mm_ownership_destroy (fx->ownership);
  mm_owner_destroy (fx->owner);
  mm_catalog_destroy (fx->catalog);
  fakes_destroy (fx->fake_upstreams);
  g_free (fx);
}

static void
ignore_end (void *ctx, const mm_work_result *r)
{
}

/* Submits a task that may wait for free capacity for @wait_max_ms.  */
static void
submit (fixture *fx, mm_time_ms run_ms, mm_time_ms wait_max_ms)
{
  mm_task_request t
      = fakes_task ("job", fx->n_tasks++, TASK_CPU_MILLI, run_ms);
  t.start_within_ms = wait_max_ms;
  mm_owner_submit (fx->owner, &t, ignore_end, NULL);
}

/* Starts a long task on each upstream, so that a handover takes time.  Short
   tasks, which have ended on return, fill the rest of the capacity to spread
   the long ones.  */
static void
start_long_tasks (fixture *fx)
{
  for (int i = 0; i < UPSTREAMS * 4; i++)
    submit (fx, i % 4 == 0 ? LONG_MS : SHORT_MS, 100);
  run_for (fx, 200);
  for (int i = 0; i < UPSTREAMS; i++)
    ck_assert_uint_eq (fake_running (fx->upstreams[i]), 1);
}

/* Submits short tasks for @duration_ms, three per upstream at a time.  */
static void
submit_short_tasks (fixture *fx, mm_time_ms duration_ms)
{
  for (mm_time_ms t = 0; t < duration_ms; t += 2 * SHORT_MS)
    {
      for (int i = 0; i < UPSTREAMS * 3; i++)
        submit (fx, SHORT_MS, SHORT_MS);
      run_for (fx, 2 * SHORT_MS);
    }
}

/* Returns the number of starts on all upstreams so far.  */
static uint32_t
total_starts (const fixture *fx)
{
  uint32_t n = 0;
  for (int i = 0; i < UPSTREAMS; i++)
    n += fake_starts (fx->upstreams[i]);
  return n;
}

/* Lists all upstreams as draining, waits for the calls that are in flight, and
   asserts that no task starts from then on.  */
static void
assert_no_start_on_draining (fixture *fx)
{
  for (int i = 0; i < UPSTREAMS; i++)
    {
      fake_set_draining (fx->upstreams[i], true);
      list_upstream (fx, i);
    }
  fakes_run (fx->fake_upstreams, fx->owner, CALL_MAX_MS);
  uint32_t starts = total_starts (fx);
  submit_short_tasks (fx, 1000);
  ck_assert_uint_eq (total_starts (fx), starts);
}

/* Guards against tasks started on a draining upstream while its partition is
   owned: no start may arrive later than CALL_MAX_MS after the list entry has
   changed.  */
START_TEST (draining_is_in_force_while_partitions_are_owned)
{
  fixture *fx = fixture_create ();
  start_long_tasks (fx);
  assert_no_start_on_draining (fx);
  fixture_destroy (fx);
}
END_TEST

/* Guards against tasks started on a draining upstream while its partition is
   handed over.  During a handover short tasks still start on upstreams that
   are not draining.  */
START_TEST (draining_is_in_force_during_a_handover)
{
  fixture *fx = fixture_create ();
  start_long_tasks (fx);
  for (int i = 0; i < UPSTREAMS; i++)
    assign (fx, i, MM_PARTITION_RELEASING);
  uint32_t starts = total_starts (fx);
  submit_short_tasks (fx, 200);
  ck_assert_uint_gt (total_starts (fx), starts);
  assert_no_start_on_draining (fx);
  fixture_destroy (fx);
}
END_TEST

/* Guards against tasks started on a draining upstream while the upstream list
   has not been read since partitions were assigned.  */
START_TEST (draining_is_in_force_while_the_list_is_not_fresh)
{
  fixture *fx = fixture_create ();
  start_long_tasks (fx);
  fx->list_fresh = false;
  assert_no_start_on_draining (fx);
  fixture_destroy (fx);
}
END_TEST

/* Guards against tasks started on a draining upstream because of an outdated
   change.  A peer's update can repeat changes from before the receiver's own
   read: the upstream is listed as not draining for a moment.  */
START_TEST (change_that_is_undone_at_once_starts_nothing)
{
  fixture *fx = fixture_create ();
  start_long_tasks (fx);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      fake_set_draining (fx->upstreams[i], true);
      list_upstream (fx, i);
    }
  fakes_run (fx->fake_upstreams, fx->owner, CALL_MAX_MS);
  uint32_t starts = total_starts (fx);
  for (int i = 0; i < UPSTREAMS; i++)
    submit (fx, SHORT_MS, LONG_MS);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      fake_set_draining (fx->upstreams[i], false);
      list_upstream (fx, i);
      fake_set_draining (fx->upstreams[i], true);
      list_upstream (fx, i);
    }
  run_for (fx, 2 * SHORT_MS);
  ck_assert_uint_eq (total_starts (fx), starts);
  fixture_destroy (fx);
}
END_TEST

/* Guards against too many tasks on an upstream whose capacity is reduced while
   its partition is handed over.  */
START_TEST (smaller_capacity_is_in_force_during_a_handover)
{
  fixture *fx = fixture_create ();
  start_long_tasks (fx);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      assign (fx, i, MM_PARTITION_RELEASING);
      fake_set_listed_cpu (fx->upstreams[i], 2 * TASK_CPU_MILLI);
      list_upstream (fx, i);
    }
  run_for (fx, 2 * SHORT_MS);
  for (int i = 0; i < UPSTREAMS; i++)
    fake_set_cpu (fx->upstreams[i], 2 * TASK_CPU_MILLI);
  uint32_t starts = total_starts (fx);
  submit_short_tasks (fx, 1000);
  ck_assert_uint_gt (total_starts (fx), starts);
  ck_assert_uint_eq (fakes_count (fx->fake_upstreams).over_capacity, 0);
  fixture_destroy (fx);
}
END_TEST

/* Guards against a session that goes on after its upstream has left the list,
   because the list has not been read since partitions were assigned.  */
START_TEST (
    upstream_that_is_gone_loses_its_session_while_the_list_is_not_fresh)
{
  fixture *fx = fixture_create ();
  fx->list_fresh = false;
  mm_catalog_set_missing (fx->catalog, "u0");
  for (mm_time_ms t = 0; t <= MM_LIST_DROP_MS; t += MM_EXEC_TICK_MS)
    {
      mm_catalog_tick (fx->catalog, true);
      run_for (fx, MM_EXEC_TICK_MS);
    }
  mm_catalog_tick (fx->catalog, true);
  run_for (fx, MM_EXEC_TICK_MS);
  GList *names = mm_owner_upstream_names (fx->owner);
  ck_assert_uint_eq (g_list_length (names), UPSTREAMS - 1);
  g_list_free (names);
  fixture_destroy (fx);
}
END_TEST

/* Changes at random whether an upstream is draining, the state of a partition,
   whether the list is fresh, or lists a missing upstream again.  */
static void
change_at_random (fixture *fx, GRand *rng)
{
  int i = g_rand_int_range (rng, 0, UPSTREAMS);
  switch (g_rand_int_range (rng, 0, 5))
    {
    case 0:
      fake_set_draining (fx->upstreams[i], g_rand_boolean (rng));
      list_upstream (fx, i);
      break;
    case 1:
    case 2:
      assign (fx, i, (mm_partition_state)g_rand_int_range (rng, 0, 3));
      break;
    case 3:
      fx->list_fresh = g_rand_boolean (rng);
      break;
    default:
      mm_catalog_set_missing (fx->catalog, fake_info (fx->upstreams[i])->name);
      list_upstream (fx, i);
      break;
    }
}

/* Guards against tasks started on a draining upstream after changes of the
   list and of partitions in any order.  With 50 seeds, 200 random changes are
   made each time.  */
START_TEST (random_changes_never_start_a_task_on_a_draining_upstream)
{
  GRand *rng = g_rand_new_with_seed ((guint32)_i);
  fixture *fx = fixture_create ();
  start_long_tasks (fx);
  uint32_t starts[UPSTREAMS];
  for (int step = 0; step < 200; step++)
    {
      change_at_random (fx, rng);
      fakes_run (fx->fake_upstreams, fx->owner, CALL_MAX_MS);
      for (int i = 0; i < UPSTREAMS; i++)
        starts[i] = fake_starts (fx->upstreams[i]);
      for (int i = 0; i < UPSTREAMS; i++)
        submit (fx, g_rand_int_range (rng, SHORT_MS, LONG_MS), LONG_MS);
      run_for (fx, g_rand_int_range (rng, 1, 80));
      for (int i = 0; i < UPSTREAMS; i++)
        ck_assert (!fake_info (fx->upstreams[i])->draining
                   || fake_starts (fx->upstreams[i]) == starts[i]);
    }
  fixture_destroy (fx);
  g_rand_free (rng);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("ownership_changes");
  TCase *tc = tcase_create ("list");
  tcase_add_test (tc, draining_is_in_force_while_partitions_are_owned);
  tcase_add_test (tc, draining_is_in_force_during_a_handover);
  tcase_add_test (tc, draining_is_in_force_while_the_list_is_not_fresh);
  tcase_add_test (tc, change_that_is_undone_at_once_starts_nothing);
  tcase_add_test (tc, smaller_capacity_is_in_force_during_a_handover);
  tcase_add_test (
      tc, upstream_that_is_gone_loses_its_session_while_the_list_is_not_fresh);
  tcase_add_loop_test (
      tc, random_changes_never_start_a_task_on_a_draining_upstream, 0, 50);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
