/* Tasks that crash their upstreams, told from what cuts, drains and restarts
   take away; without a network.  */
#include "config.h"
#include "fake_upstreams.h"
#include "harness.h"
#include "mm_fleet.h"

#include <stdlib.h>
#include <string.h>

static mm_time_ms now_ms;

static mm_time_ms
now_source (void *ctx)
{
  return now_ms;
}

static mm_suspects *
begin (void)
{
  now_ms = 1000000;
  mm_clock_set_source (now_source, NULL);
  return mm_suspects_create ();
}

static void
finish (mm_suspects *s)
{
  mm_suspects_destroy (s);
  mm_clock_set_source (NULL, NULL);
}

static mm_task_id
task (const char *job, uint32_t index)
{
  mm_task_id id = { .index = index };
  g_strlcpy (id.job, job, sizeof id.job);
  return id;
}

/* Upstream @no is lost with these tasks of one job.  */
static void
lose (mm_suspects *s, int no, mm_loss_verdict v, const mm_task_id *ids,
      size_t n)
{
  char name[16], addr[32];
  g_snprintf (name, sizeof name, "up%d", no);
  g_snprintf (addr, sizeof addr, "127.0.0.1:%d", 1000 + no);
  uint64_t marks[MM_SUSPECTS_TASKS_MAX];
  for (size_t i = 0; i < n; i++)
    marks[i] = mm_task_mark (&ids[i]);
  mm_loss l = { .upstream = name,
                .addr = addr,
                .verdict = v,
                .silent_ms = now_ms - 1000,
                .tasks = marks,
                .n_tasks = n };
  mm_suspects_note (s, &l);
}

/* The list names an upstream at the address of upstream @no.  */
static void
list (mm_suspects *s, int no, const char *name, bool draining)
{
  char own[16], addr[32];
  g_snprintf (own, sizeof own, "up%d", no);
  g_snprintf (addr, sizeof addr, "127.0.0.1:%d", 1000 + no);
  mm_upstream_info u = { .name = (char *)(name ? name : own),
                         .addr = addr,
                         .draining = draining };
  mm_suspects_listed (s, &u);
}

START_TEST (task_is_given_up_after_two_crashes)
{
  mm_suspects *s = begin ();
  mm_task_id id = task ("poison", 0);
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_RUN);
  lose (s, 0, MM_LOSS_OPEN, &id, 1);
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_APART);
  lose (s, 1, MM_LOSS_OPEN, &id, 1);
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_HOLD);
  list (s, 0, "up0-again", false);
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_HOLD);
  list (s, 1, "up1-again", false);
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_GIVE_UP);
  char *names = mm_suspects_crashed (s, &id);
  ck_assert_str_eq (names, "up0, up1");
  g_free (names);
  finish (s);
}
END_TEST

/* Nothing but another incarnation at its address proves a crash.  */
START_TEST (cuts_drains_and_lapsed_entries_are_no_crashes)
{
  mm_suspects *s = begin ();
  mm_task_id id = task ("innocent", 0);
  for (int no = 0; no < 40; no += 4)
    {
      lose (s, no, MM_LOSS_OPEN, &id, 1);
      char name[16];
      g_snprintf (name, sizeof name, "up%d", no);
      mm_suspects_alive (s, name); /* the cut is over */
      ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_RUN);
      lose (s, no + 1, MM_LOSS_OPEN, &id, 1);
      list (s, no + 1, NULL, true); /* it drained */
      ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_RUN);
      lose (s, no + 2, MM_LOSS_OPEN, &id, 1); /* never heard of again */
      ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_APART);
      now_ms += MM_SUSPECTS_OPEN_MS;
      mm_suspects_tick (s);
      ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_RUN);
    }
  finish (s);
}
END_TEST

/* All that ran there is suspect after one crash, and only one after two.  */
START_TEST (tasks_beside_the_culprit_are_not_given_up)
{
  mm_suspects *s = begin ();
  mm_task_id ids[5];
  for (uint32_t i = 0; i < 5; i++)
    ids[i] = task ("mixed", i);
  lose (s, 0, MM_LOSS_CRASHED, ids, 5);
  for (int i = 0; i < 5; i++)
    ck_assert_int_eq (mm_suspects_decide (s, &ids[i]), MM_SUSPECT_APART);
  lose (s, 1, MM_LOSS_CRASHED, &ids[3], 1);
  for (int i = 0; i < 5; i++)
    ck_assert_int_eq (mm_suspects_decide (s, &ids[i]),
                      i == 3 ? MM_SUSPECT_GIVE_UP : MM_SUSPECT_APART);
  finish (s);
}
END_TEST

/* A suspect runs apart, and a task that crashes the upstream starts beside it
   for want of other room: it was given up for the other's crash.  */
START_TEST (suspect_beside_a_fresh_culprit_is_not_given_up)
{
  mm_suspects *s = begin ();
  mm_task_id ids[2] = { task ("suspect", 0), task ("culprit", 0) };
  mm_task_id beside = task ("beside", 0);
  lose (s, 0, MM_LOSS_CRASHED, (mm_task_id[]){ ids[0], beside }, 2);
  lose (s, 1, MM_LOSS_CRASHED, ids, 2);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[0]), MM_SUSPECT_APART);
  lose (s, 2, MM_LOSS_CRASHED, &ids[1], 1);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[0]), MM_SUSPECT_APART);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[1]), MM_SUSPECT_GIVE_UP);
  finish (s);
}
END_TEST

/* Two suspects together in both crashes: a third one tells.  */
START_TEST (third_crash_decides_between_two_suspects)
{
  mm_suspects *s = begin ();
  mm_task_id ids[2] = { task ("a", 0), task ("b", 0) };
  lose (s, 0, MM_LOSS_CRASHED, ids, 2);
  lose (s, 1, MM_LOSS_CRASHED, ids, 2);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[0]), MM_SUSPECT_APART);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[1]), MM_SUSPECT_APART);
  lose (s, 2, MM_LOSS_CRASHED, &ids[0], 1);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[0]), MM_SUSPECT_GIVE_UP);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[1]), MM_SUSPECT_APART);
  finish (s);
}
END_TEST

/* An upstream that was cut off, answered, and is lost again.  */
START_TEST (upstream_that_was_back_can_be_lost_again)
{
  mm_suspects *s = begin ();
  mm_task_id id = task ("again", 0);
  lose (s, 0, MM_LOSS_OPEN, &id, 1);
  mm_suspects_alive (s, "up0");
  lose (s, 0, MM_LOSS_OPEN, &id, 1); /* late report of the same loss */
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_RUN);
  now_ms += 5000;
  lose (s, 0, MM_LOSS_OPEN, &id, 1);
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_APART);
  finish (s);
}
END_TEST

static void
count_changes (void *ctx, const mm_loss *l)
{
  (*(int *)ctx)++;
}

/* What instances pass on to each other comes to rest.  */
START_TEST (loss_that_is_known_is_not_passed_on)
{
  mm_suspects *s = begin ();
  int changes = 0;
  mm_suspects_on_changed (s, count_changes, &changes);
  mm_task_id ids[2] = { task ("a", 0), task ("b", 0) };
  for (int i = 0; i < 3; i++)
    lose (s, 0, MM_LOSS_OPEN, ids, 1);
  ck_assert_int_eq (changes, 1);
  for (int i = 0; i < 3; i++)
    lose (s, 0, MM_LOSS_CRASHED, ids, 2);
  ck_assert_int_eq (changes, 2);
  lose (s, 0, MM_LOSS_OPEN, ids, 2);
  ck_assert_int_eq (changes, 2);
  lose (s, 1, MM_LOSS_CRASHED, NULL, 0); /* nothing ran there */
  lose (s, 2, MM_LOSS_ALIVE, ids, 1);
  ck_assert_int_eq (changes, 2);
  finish (s);
}
END_TEST

START_TEST (losses_are_bounded_and_forgotten)
{
  mm_suspects *s = begin ();
  for (int i = 0; i < 2 * (int)MM_SUSPECTS_MAX; i++)
    {
      mm_task_id id = task ("many", (uint32_t)i);
      lose (s, i, MM_LOSS_CRASHED, &id, 1);
    }
  ck_assert_uint_eq (mm_suspects_count (s), MM_SUSPECTS_MAX);
  now_ms += MM_SUSPECTS_KEEP_MS;
  mm_suspects_tick (s);
  ck_assert_uint_eq (mm_suspects_count (s), 0);
  finish (s);
}
END_TEST

/* ---- at an owner ------------------------------------------------------ */

#define WIDE 32000
#define USUAL 14000

typedef struct
{
  fakes *f;
  mm_owner *o;
  mm_suspects *s;
} world;

static world
world_create (void)
{
  world w = { .f = fakes_create (), .s = mm_suspects_create () };
  mm_exec_port port = fakes_port (w.f);
  w.o = mm_owner_create (&port);
  mm_owner_set_suspects (w.o, w.s);
  return w;
}

static void
world_destroy (world *w)
{
  mm_owner_destroy (w->o);
  mm_suspects_destroy (w->s);
  fakes_destroy (w->f);
}

static void
on_done (void *ctx, const mm_work_result *r)
{
  *(mm_end *)ctx = r->how;
}

static mm_task_id
start_task (world *w, const char *job, bool apart, mm_end *how)
{
  mm_task_request t = fakes_task (job, 0, USUAL, 3000);
  t.apart = apart;
  *how = MM_END_COUNT;
  mm_owner_submit (w->o, &t, on_done, how);
  return t.id;
}

/* Its task is lost time and again with upstreams that fall silent and come
   back as they were.  */
START_TEST (task_on_upstreams_that_are_cut_off_is_never_given_up)
{
  world w = world_create ();
  char name[16];
  for (int i = 0; i < 6; i++)
    {
      g_snprintf (name, sizeof name, "up%d", i);
      fake *x = fakes_add (w.f, name, WIDE);
      mm_owner_add_upstream (w.o, fake_info (x), 5);
      fakes_run (w.f, w.o, 10);
      mm_end how;
      mm_task_id id = start_task (&w, "innocent", i > 0, &how);
      fakes_run (w.f, w.o, 100);
      ck_assert_uint_eq (fake_running (x), 1);
      fake_mode_of (x)->silent = true;
      fakes_run (w.f, w.o, 1800);
      ck_assert_int_eq (how, MM_END_LOST);
      ck_assert_int_eq (mm_suspects_decide (w.s, &id), MM_SUSPECT_APART);
      fake_mode_of (x)->silent = false;
      fakes_run (w.f, w.o, 1000);
      ck_assert_int_eq (mm_suspects_decide (w.s, &id), MM_SUSPECT_RUN);
      mm_owner_remove_upstream (w.o, name);
    }
  world_destroy (&w);
}
END_TEST

START_TEST (restarted_upstream_has_crashed_unless_it_was_draining)
{
  world w = world_create ();
  fake *a = fakes_add (w.f, "a", WIDE), *b = fakes_add (w.f, "b", WIDE);
  mm_end how;
  mm_owner_add_upstream (w.o, fake_info (a), 5);
  fakes_run (w.f, w.o, 10);
  mm_task_id id = start_task (&w, "crash", false, &how);
  fakes_run (w.f, w.o, 100);
  fake_restart (a);
  fakes_run (w.f, w.o, 500);
  ck_assert_int_eq (how, MM_END_LOST);
  ck_assert_uint_eq (mm_suspects_crashes (w.s, &id), 1);
  mm_owner_add_upstream (w.o, fake_info (b), 5);
  fakes_run (w.f, w.o, 10);
  start_task (&w, "crash", true, &how);
  fakes_run (w.f, w.o, 100);
  fake_set_draining (b, true);
  mm_owner_update_upstream (w.o, fake_info (b));
  fake_restart (b);
  fakes_run (w.f, w.o, 500);
  ck_assert_int_eq (how, MM_END_LOST);
  ck_assert_uint_eq (mm_suspects_crashes (w.s, &id), 1);
  world_destroy (&w);
}
END_TEST

/* A second crash names the culprit only where it was alone.  */
START_TEST (suspect_runs_where_nothing_else_does)
{
  world w = world_create ();
  fake *x[3];
  static const char *const names[] = { "a", "b", "c" };
  for (int i = 0; i < 3; i++)
    {
      x[i] = fakes_add (w.f, names[i], WIDE);
      mm_owner_add_upstream (w.o, fake_info (x[i]), 5);
    }
  fakes_run (w.f, w.o, 10);
  mm_end how[4];
  start_task (&w, "first", false, &how[0]);
  start_task (&w, "suspect", true, &how[1]);
  fakes_run (w.f, w.o, 10);
  size_t most = 0;
  for (int i = 0; i < 3; i++)
    most = MAX (most, fake_running (x[i]));
  ck_assert_uint_eq (most, 1);
  start_task (&w, "another", true, &how[2]);
  start_task (&w, "second", false, &how[3]);
  fakes_run (w.f, w.o, 10);
  uint32_t alone = 0;
  for (int i = 0; i < 3; i++)
    alone += fake_running (x[i]) == 1;
  ck_assert_uint_eq (alone, 2); /* the two suspects */
  world_destroy (&w);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("suspects");
  TCase *c = tcase_create ("blame");
  tcase_add_test (c, task_is_given_up_after_two_crashes);
  tcase_add_test (c, cuts_drains_and_lapsed_entries_are_no_crashes);
  tcase_add_test (c, tasks_beside_the_culprit_are_not_given_up);
  tcase_add_test (c, suspect_beside_a_fresh_culprit_is_not_given_up);
  tcase_add_test (c, third_crash_decides_between_two_suspects);
  tcase_add_test (c, upstream_that_was_back_can_be_lost_again);
  tcase_add_test (c, loss_that_is_known_is_not_passed_on);
  tcase_add_test (c, losses_are_bounded_and_forgotten);
  suite_add_tcase (s, c);
  c = tcase_create ("owner");
  tcase_add_test (c, task_on_upstreams_that_are_cut_off_is_never_given_up);
  tcase_add_test (c, restarted_upstream_has_crashed_unless_it_was_draining);
  tcase_add_test (c, suspect_runs_where_nothing_else_does);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
