/* What the list says of an upstream is in force in its session, whatever its
   partition is doing.  Upstreams in memory, on a clock that the test moves. */
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
  WIDE = 32000, /* cpu of an upstream: four tasks of USUAL */
  USUAL = 8000,
  UNDER_WAY_MS = 5, /* an order takes so long at most */
  LONG_MS = 2000,
  SHORT_MS = 50
};

typedef struct
{
  mm_share_state state;
  uint64_t fence;
} share;

typedef struct
{
  fakes *f;
  mm_owner *owner;
  mm_catalog *catalog;
  mm_ownership *ownership;
  fake *up[UPSTREAMS];
  share shares[UPSTREAMS];
  uint64_t changes;
  uint64_t last_fence;
  bool fresh;
  uint32_t n_tasks;
} world;

static share *
share_of (world *w, const mm_upstream_info *u)
{
  return &w->shares[u->name[1] - '0'];
}

static mm_share_state
shares_of (void *ctx, const mm_upstream_info *u, uint64_t *fence)
{
  const share *s = share_of (ctx, u);
  *fence = s->fence;
  return s->state;
}

static void
shares_retake (void *ctx, const mm_upstream_info *u)
{
  share_of (ctx, u)->fence = ++((world *)ctx)->last_fence;
}

static uint64_t
shares_changes (void *ctx)
{
  return ((world *)ctx)->changes;
}

static bool
shares_any (void *ctx)
{
  const world *w = ctx;
  for (int i = 0; i < UPSTREAMS; i++)
    if (w->shares[i].state != MM_SHARE_OTHERS)
      return true;
  return false;
}

static void
list (world *w, int i)
{
  mm_catalog_origin read = { .as_of_ms = mm_clock_now_ms () };
  mm_catalog_put (w->catalog, fake_info (w->up[i]), &read);
}

static void
share_out (world *w, int i, mm_share_state state)
{
  if (state == MM_SHARE_OURS && w->shares[i].state == MM_SHARE_OTHERS)
    w->shares[i].fence = ++w->last_fence;
  w->shares[i].state = state;
  w->changes++;
}

static void
run (world *w, mm_time_ms ms)
{
  for (mm_time_ms t = 0; t < ms; t += MM_EXEC_TICK_MS)
    {
      mm_ownership_tick (w->ownership, w->fresh);
      fakes_run (w->f, w->owner, MM_EXEC_TICK_MS);
    }
}

static world *
world_create (void)
{
  world *w = g_new0 (world, 1);
  w->f = fakes_create ();
  mm_exec_port port = fakes_port (w->f);
  w->owner = mm_owner_create (&port);
  w->catalog = mm_catalog_create ();
  mm_ownership_shares shares = { .of = shares_of,
                                 .retake = shares_retake,
                                 .changes = shares_changes,
                                 .any = shares_any,
                                 .ctx = w };
  w->ownership = mm_ownership_create (w->catalog, w->owner, &shares);
  w->fresh = true;
  for (int i = 0; i < UPSTREAMS; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "u%d", i);
      w->up[i] = fakes_add (w->f, name, WIDE);
      list (w, i);
      share_out (w, i, MM_SHARE_OURS);
    }
  run (w, 100);
  return w;
}

static void
world_destroy (world *w)
{
  mm_ownership_destroy (w->ownership);
  mm_owner_destroy (w->owner);
  mm_catalog_destroy (w->catalog);
  fakes_destroy (w->f);
  g_free (w);
}

static void
ignore_end (void *ctx, const mm_work_result *r)
{
}

static void
submit (world *w, mm_time_ms run_ms, mm_time_ms within_ms)
{
  mm_task_request t = fakes_task ("job", w->n_tasks++, USUAL, run_ms);
  t.start_within_ms = within_ms;
  mm_owner_submit (w->owner, &t, ignore_end, NULL);
}

/* A long task on each upstream, so that a hand-over takes its time.  */
static void
fill (world *w)
{
  for (int i = 0; i < UPSTREAMS * 4; i++)
    submit (w, i % 4 == 0 ? LONG_MS : SHORT_MS, 100);
  run (w, 200);
  for (int i = 0; i < UPSTREAMS; i++)
    ck_assert_uint_eq (fake_running (w->up[i]), 1);
}

/* Short tasks for so long, four for each upstream at a time.  */
static void
load (world *w, mm_time_ms for_ms)
{
  for (mm_time_ms t = 0; t < for_ms; t += 2 * SHORT_MS)
    {
      for (int i = 0; i < UPSTREAMS * 3; i++)
        submit (w, SHORT_MS, SHORT_MS);
      run (w, 2 * SHORT_MS);
    }
}

static uint32_t
starts_at_all (const world *w)
{
  uint32_t n = 0;
  for (int i = 0; i < UPSTREAMS; i++)
    n += fake_starts (w->up[i]);
  return n;
}

static void
assert_no_start_on_draining (world *w)
{
  for (int i = 0; i < UPSTREAMS; i++)
    {
      fake_set_draining (w->up[i], true);
      list (w, i);
    }
  fakes_run (w->f, w->owner, UNDER_WAY_MS);
  uint32_t starts = starts_at_all (w);
  load (w, 1000);
  ck_assert_uint_eq (starts_at_all (w), starts);
}

START_TEST (draining_is_in_force_while_partitions_are_ours)
{
  world *w = world_create ();
  fill (w);
  assert_no_start_on_draining (w);
  world_destroy (w);
}
END_TEST

START_TEST (draining_is_in_force_during_a_hand_over)
{
  world *w = world_create ();
  fill (w);
  for (int i = 0; i < UPSTREAMS; i++)
    share_out (w, i, MM_SHARE_LEAVING);
  uint32_t starts = starts_at_all (w);
  load (w, 200);
  ck_assert_uint_gt (starts_at_all (w), starts);
  assert_no_start_on_draining (w);
  world_destroy (w);
}
END_TEST

START_TEST (draining_is_in_force_while_the_list_is_not_fresh)
{
  world *w = world_create ();
  fill (w);
  w->fresh = false;
  assert_no_start_on_draining (w);
  world_destroy (w);
}
END_TEST

/* Who passes changes on repeats those from before the receiver's own read.  */
START_TEST (change_that_a_later_one_undoes_starts_nothing)
{
  world *w = world_create ();
  fill (w);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      fake_set_draining (w->up[i], true);
      list (w, i);
    }
  fakes_run (w->f, w->owner, UNDER_WAY_MS);
  uint32_t starts = starts_at_all (w);
  for (int i = 0; i < UPSTREAMS; i++)
    submit (w, SHORT_MS, LONG_MS);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      fake_set_draining (w->up[i], false);
      list (w, i);
      fake_set_draining (w->up[i], true);
      list (w, i);
    }
  run (w, 2 * SHORT_MS);
  ck_assert_uint_eq (starts_at_all (w), starts);
  world_destroy (w);
}
END_TEST

START_TEST (smaller_capacity_is_in_force_during_a_hand_over)
{
  world *w = world_create ();
  fill (w);
  for (int i = 0; i < UPSTREAMS; i++)
    {
      share_out (w, i, MM_SHARE_LEAVING);
      fake_set_listed_cpu (w->up[i], 2 * USUAL);
      list (w, i);
    }
  run (w, 2 * SHORT_MS);
  for (int i = 0; i < UPSTREAMS; i++)
    fake_set_cpu (w->up[i], 2 * USUAL);
  uint32_t starts = starts_at_all (w);
  load (w, 1000);
  ck_assert_uint_gt (starts_at_all (w), starts);
  ck_assert_uint_eq (fakes_count (w->f).over_capacity, 0);
  world_destroy (w);
}
END_TEST

START_TEST (
    upstream_that_is_gone_loses_its_session_while_the_list_is_not_fresh)
{
  world *w = world_create ();
  w->fresh = false;
  mm_catalog_missing (w->catalog, "u0");
  for (mm_time_ms t = 0; t <= MM_LIST_DROP_MS; t += MM_EXEC_TICK_MS)
    {
      mm_catalog_tick (w->catalog, true);
      run (w, MM_EXEC_TICK_MS);
    }
  mm_catalog_tick (w->catalog, true);
  run (w, MM_EXEC_TICK_MS);
  GList *names = mm_owner_upstream_names (w->owner);
  ck_assert_uint_eq (g_list_length (names), UPSTREAMS - 1);
  g_list_free (names);
  world_destroy (w);
}
END_TEST

static void
change_at_random (world *w, GRand *rnd)
{
  int i = g_rand_int_range (rnd, 0, UPSTREAMS);
  switch (g_rand_int_range (rnd, 0, 5))
    {
    case 0:
      fake_set_draining (w->up[i], g_rand_boolean (rnd));
      list (w, i);
      break;
    case 1:
    case 2:
      share_out (w, i, (mm_share_state)g_rand_int_range (rnd, 0, 3));
      break;
    case 3:
      w->fresh = g_rand_boolean (rnd);
      break;
    default:
      mm_catalog_missing (w->catalog, fake_info (w->up[i])->name);
      list (w, i);
      break;
    }
}

START_TEST (random_changes_never_start_a_task_on_a_draining_upstream)
{
  GRand *rnd = g_rand_new_with_seed ((guint32)_i);
  world *w = world_create ();
  fill (w);
  uint32_t starts[UPSTREAMS];
  for (int step = 0; step < 200; step++)
    {
      change_at_random (w, rnd);
      fakes_run (w->f, w->owner, UNDER_WAY_MS);
      for (int i = 0; i < UPSTREAMS; i++)
        starts[i] = fake_starts (w->up[i]);
      for (int i = 0; i < UPSTREAMS; i++)
        submit (w, g_rand_int_range (rnd, SHORT_MS, LONG_MS), LONG_MS);
      run (w, g_rand_int_range (rnd, 1, 80));
      for (int i = 0; i < UPSTREAMS; i++)
        ck_assert (!fake_info (w->up[i])->draining
                   || fake_starts (w->up[i]) == starts[i]);
    }
  world_destroy (w);
  g_rand_free (rnd);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("ownership_changes");
  TCase *tc = tcase_create ("list");
  tcase_add_test (tc, draining_is_in_force_while_partitions_are_ours);
  tcase_add_test (tc, draining_is_in_force_during_a_hand_over);
  tcase_add_test (tc, draining_is_in_force_while_the_list_is_not_fresh);
  tcase_add_test (tc, change_that_a_later_one_undoes_starts_nothing);
  tcase_add_test (tc, smaller_capacity_is_in_force_during_a_hand_over);
  tcase_add_test (
      tc, upstream_that_is_gone_loses_its_session_while_the_list_is_not_fresh);
  tcase_add_loop_test (
      tc, random_changes_never_start_a_task_on_a_draining_upstream, 0, 50);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
