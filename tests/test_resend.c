/* Callers send a job again at another instance MM_RESEND_MS after they lost
   their connection, while faults overlap.  The earlier run of a task must have
   ended before the next one starts, wherever that is.  */
#include "config.h"
#include "harness.h"
#include "resend_fixture.h"

#include <check.h>

enum
{
  RUN_MS = 5000, /* longer than each test */
  JOB = 0,       /* the job that is sent again */
  OTHER = 1,     /* a job that goes on beside it */
  ORIGIN = 0,    /* the instance that JOB is submitted to first */
  OWNER = 1,     /* owns upstream a */
  NEXT = 2,      /* owns a later, or nothing */
  LAST = 3,      /* owns a after that, or nothing */
  ELSEWHERE = 4  /* owns upstream b, where JOB runs when it is sent again */
};

/* Time until the job that is sent again has started, if it can.  */
#define RESENT_MS (MM_RESEND_MS + 100)

typedef struct
{
  sim *s;
  int a, b; /* upstreams */
} scene;

/* Starts JOB on upstream a.  */
static scene
scene_create (void)
{
  scene c = { .s = sim_create (1) };
  c.a = sim_add_upstream (c.s, OWNER);
  c.b = sim_add_upstream (c.s, ELSEWHERE);
  sim_run (c.s, 100);
  sim_submit (c.s, JOB, RUN_MS, ORIGIN, OWNER);
  sim_resend_at (c.s, JOB, ELSEWHERE, ELSEWHERE);
  sim_run (c.s, 600);
  ck_assert_uint_eq (fake_running (sim_upstream (c.s, c.a)), 1);
  return c;
}

/* Cuts an instance off an upstream.  */
static void
cut (sim *s, int instance, int upstream)
{
  sim_path_to (s, instance, upstream)->requests_cut = true;
  sim_path_to (s, instance, upstream)->answers_cut = true;
}

static void
assert_runs_once (scene *c)
{
  ck_assert_uint_eq (sim_double_runs (c->s), 0);
  ck_assert_uint_ge (fake_starts (sim_upstream (c->s, c->b)), 1);
  sim_destroy (c->s);
}

/* A job whose caller lost its connection runs again elsewhere, and a job
   beside it runs on.  */
START_TEST (job_sent_again_runs_once_more_after_its_first_run_was_stopped)
{
  scene c = scene_create ();
  sim_submit (c.s, OTHER, 1500, OWNER, OWNER);
  sim_run (c.s, 300);
  sim_break_caller (c.s, JOB);
  sim_run (c.s, RESENT_MS);
  ck_assert (sim_job_done (c.s, OTHER));
  ck_assert_uint_eq (fake_starts (sim_upstream (c.s, c.a)), 2);
  assert_runs_once (&c);
}
END_TEST

/* Guards against holds that keep a run alive whose stop is never answered,
   because another run on the upstream needs its lease.  */
START_TEST (run_that_cannot_be_stopped_ends_before_its_job_is_sent_again)
{
  scene c = scene_create ();
  sim_submit (c.s, OTHER, RUN_MS, OWNER, OWNER);
  sim_run (c.s, 300);
  sim_path_to (c.s, OWNER, c.a)->lost_stops = 1;
  sim_break_caller (c.s, JOB);
  sim_run (c.s, RESENT_MS);
  assert_runs_once (&c);
}
END_TEST

/* Guards against starts that keep such a run alive.  */
START_TEST (starts_beside_a_run_that_cannot_be_stopped_do_not_prolong_it)
{
  scene c = scene_create ();
  sim_path_to (c.s, OWNER, c.a)->lost_stops = 1;
  sim_break_caller (c.s, JOB);
  for (int i = 0; i < 5; i++)
    {
      sim_run (c.s, 200);
      sim_submit (c.s, OTHER + i, 150, OWNER, OWNER);
    }
  sim_run (c.s, RESENT_MS - 1000);
  assert_runs_once (&c);
}
END_TEST

/* The following tests run at various moments between two heartbeats and
   between two holds: a delay of up to PHASE_MAX_MS before the first fault, and
   one of up to DELAY_MAX_MS before the second.  */
enum
{
  PHASE_MAX_MS = 250,
  DELAY_MAX_MS = 900,
  PHASE_STEP_MS = 25
};

typedef void (*fault) (scene *c, mm_time_ms delay_ms);

/* Lets the origin die, causes further faults, and waits until the job that is
   sent again has started.  */
static void
try_phases (void (*prepare) (scene *c), fault f)
{
  for (mm_time_ms p = 0; p < PHASE_MAX_MS; p += PHASE_STEP_MS)
    for (mm_time_ms d = 0; d < DELAY_MAX_MS; d += PHASE_STEP_MS)
      {
        scene c = scene_create ();
        if (prepare)
          prepare (&c);
        sim_run (c.s, p);
        ck_assert_uint_eq (fake_running (sim_upstream (c.s, c.a)), 1);
        sim_kill (c.s, ORIGIN);
        f (&c, d);
        sim_run (c.s, RESENT_MS);
        ck_assert_msg (sim_double_runs (c.s) == 0, "phase %d, delay %d",
                       (int)p, (int)d);
        assert_runs_once (&c);
      }
}

static void
owner_dies (scene *c, mm_time_ms delay_ms)
{
  sim_run (c->s, delay_ms);
  sim_kill (c->s, OWNER);
}

static void
owner_is_cut_off (scene *c, mm_time_ms delay_ms)
{
  sim_run (c->s, delay_ms);
  cut (c->s, OWNER, c->a);
}

static void
next_owner_is_cut_off (scene *c, mm_time_ms delay_ms)
{
  sim_run (c->s, delay_ms);
  cut (c->s, NEXT, c->a);
}

static void
owners_die (scene *c, mm_time_ms delay_ms)
{
  sim_run (c->s, delay_ms / 2);
  sim_kill (c->s, OWNER);
  sim_run (c->s, delay_ms / 2);
  sim_kill (c->s, NEXT);
}

static void
owner_dies_and_last_owner_is_cut_off (scene *c, mm_time_ms delay_ms)
{
  sim_run (c->s, delay_ms / 2);
  sim_kill (c->s, OWNER);
  sim_run (c->s, delay_ms / 2);
  cut (c->s, LAST, c->a);
}

/* Guards against timeouts that add up: the owner renews the lease until it
   notices that the origin is gone, and dies just before that.  */
START_TEST (run_ends_in_time_when_origin_and_owner_die_one_after_the_other)
{
  try_phases (NULL, owner_dies);
}
END_TEST

/* The same, with an owner that loses its path to the upstream.  */
START_TEST (run_ends_in_time_when_the_owner_cannot_stop_it_for_a_dead_origin)
{
  try_phases (NULL, owner_is_cut_off);
}
END_TEST

static void
pass_on (scene *c)
{
  sim_move (c->s, c->a, NEXT, 0);
  sim_run (c->s, 600);
}

static void
pass_on_twice (scene *c)
{
  sim_move (c->s, c->a, NEXT, 0);
  sim_run (c->s, 300);
  sim_move (c->s, c->a, LAST, 0);
  sim_run (c->s, 300);
}

/* Guards against one more timeout for each owner that has passed the run
   on.  */
START_TEST (adopted_run_ends_in_time_when_its_origin_and_owners_die)
{
  try_phases (pass_on, owners_die);
}
END_TEST

/* The same, with a next owner that loses its path to the upstream.  */
START_TEST (adopted_run_ends_in_time_when_it_cannot_be_stopped)
{
  try_phases (pass_on, next_owner_is_cut_off);
}
END_TEST

/* The same over two owners that passed the run on.  */
START_TEST (run_adopted_twice_ends_in_time_when_its_origin_dies)
{
  try_phases (pass_on_twice, owner_dies_and_last_owner_is_cut_off);
}
END_TEST

static void
delay_messages (scene *c)
{
  sim_link_path_to (c->s, ORIGIN, OWNER)->delay_ms = 450;
  sim_run (c->s, 900);
}

static void
delayed_owner_is_cut_off (scene *c, mm_time_ms delay_ms)
{
  owner_is_cut_off (c, 450 + delay_ms);
}

/* Guards against an owner that takes a message of the origin for a sign that
   the origin lives, though the message waited in a queue for half a second and
   arrives after the origin died.  */
START_TEST (messages_that_waited_in_a_queue_do_not_prolong_a_run)
{
  try_phases (delay_messages, delayed_owner_is_cut_off);
}
END_TEST

static void
read_links_late (scene *c)
{
  sim_read_links_every (c->s, OWNER, 450);
  sim_run (c->s, 900);
}

/* The same, with an owner that reads its links late.  */
START_TEST (messages_that_are_read_late_do_not_prolong_a_run)
{
  try_phases (read_links_late, owner_is_cut_off);
}
END_TEST

/* Guards against an instance that stands still while a caller leaves, and
   counts from when it reads of it: the stop of the run is never answered.  */
START_TEST (time_in_which_the_origin_stood_still_does_not_prolong_a_run)
{
  for (int origin = ORIGIN; origin <= OWNER; origin++)
    {
      scene c = { .s = sim_create (1) };
      c.a = sim_add_upstream (c.s, OWNER);
      c.b = sim_add_upstream (c.s, ELSEWHERE);
      sim_run (c.s, 100);
      sim_submit (c.s, JOB, RUN_MS, origin, OWNER);
      sim_submit (c.s, OTHER, RUN_MS, OWNER, OWNER);
      sim_resend_at (c.s, JOB, ELSEWHERE, ELSEWHERE);
      sim_run (c.s, 600);
      sim_path_to (c.s, OWNER, c.a)->lost_stops = 1;
      sim_freeze (c.s, origin, MM_STALL_MS - 200, true);
      sim_run (c.s, 5);
      sim_break_caller (c.s, JOB);
      sim_run (c.s, RESENT_MS);
      assert_runs_once (&c);
    }
}
END_TEST

/* Guards against an owner that places the second submission of a task as soon
   as it has passed the first one's run on.  */
START_TEST (second_submission_waits_for_a_run_that_was_passed_on)
{
  scene c = scene_create ();
  sim_submit (c.s, OTHER, RUN_MS, OWNER, OWNER);
  sim_run (c.s, 50);
  sim_add_upstream (c.s, OWNER);
  sim_run (c.s, 50);
  sim_submit (c.s, JOB, RUN_MS, LAST, OWNER);
  sim_run (c.s, 50);
  sim_move (c.s, c.a, NEXT, 0);
  sim_run (c.s, 1000);
  ck_assert_uint_eq (fake_running (sim_upstream (c.s, c.a)), 2);
  ck_assert_uint_eq (sim_double_runs (c.s), 0);
  sim_destroy (c.s);
}
END_TEST

/* The same while the run is not claimed yet, and with the next owner
   unlinked.  */
START_TEST (second_submission_waits_for_a_run_that_is_not_claimed)
{
  scene c = scene_create ();
  sim_add_upstream (c.s, OWNER);
  sim_run (c.s, 50);
  sim_submit (c.s, JOB, RUN_MS, LAST, OWNER);
  sim_link_path_to (c.s, NEXT, OWNER)->cut = true;
  sim_path_to (c.s, NEXT, c.a)->lost_stops = 1;
  sim_run (c.s, 50);
  sim_move (c.s, c.a, NEXT, 0);
  sim_run (c.s, 2000);
  ck_assert_uint_eq (sim_double_runs (c.s), 0);
  sim_destroy (c.s);
}
END_TEST

/* Guards against a next owner that starts a task elsewhere while the run of
   the task that it found is not adopted yet.  */
START_TEST (submission_waits_for_a_run_that_was_found)
{
  scene c = scene_create ();
  sim_add_upstream (c.s, NEXT);
  sim_run (c.s, 50);
  sim_link_path_to (c.s, OWNER, NEXT)->cut = true;
  sim_path_to (c.s, NEXT, c.a)->lost_stops = 1;
  sim_move (c.s, c.a, NEXT, 0);
  sim_run (c.s, 20);
  sim_submit (c.s, JOB, RUN_MS, LAST, NEXT);
  sim_run (c.s, 1500);
  ck_assert_uint_eq (sim_double_runs (c.s), 0);
  sim_destroy (c.s);
}
END_TEST

/* Guards against a next owner that prolongs, beside a run that it adopted, one
   that it found and that no instance claims.  */
START_TEST (unclaimed_run_is_not_prolonged_beside_an_adopted_one)
{
  scene c = scene_create ();
  sim_submit (c.s, OTHER, RUN_MS, LAST, OWNER);
  sim_run (c.s, 200);
  sim_break_caller (c.s, JOB);
  sim_path_to (c.s, OWNER, c.a)->lost_stops = 1;
  sim_path_to (c.s, NEXT, c.a)->lost_stops = 1;
  sim_run (c.s, 100);
  sim_move (c.s, c.a, NEXT, 0);
  sim_run (c.s, RESENT_MS);
  assert_runs_once (&c);
}
END_TEST

static void
add_case (Suite *s, const char *tag, const TTest *const tests[], int n)
{
  TCase *c = tcase_create (tag);
  tcase_set_tags (c, tag);
  tcase_set_timeout (c, 60);
  for (int i = 0; i < n; i++)
    tcase_add_test (c, tests[i]);
  suite_add_tcase (s, c);
}

int
main (void)
{
  Suite *s = suite_create ("resend");
  const TTest *const alone[]
      = { job_sent_again_runs_once_more_after_its_first_run_was_stopped };
  const TTest *const stops[]
      = { run_that_cannot_be_stopped_ends_before_its_job_is_sent_again,
          starts_beside_a_run_that_cannot_be_stopped_do_not_prolong_it,
          unclaimed_run_is_not_prolonged_beside_an_adopted_one };
  const TTest *const origins[]
      = { run_ends_in_time_when_origin_and_owner_die_one_after_the_other,
          run_ends_in_time_when_the_owner_cannot_stop_it_for_a_dead_origin };
  const TTest *const chains[]
      = { adopted_run_ends_in_time_when_its_origin_and_owners_die,
          adopted_run_ends_in_time_when_it_cannot_be_stopped,
          run_adopted_twice_ends_in_time_when_its_origin_dies };
  const TTest *const late[]
      = { messages_that_waited_in_a_queue_do_not_prolong_a_run,
          messages_that_are_read_late_do_not_prolong_a_run,
          time_in_which_the_origin_stood_still_does_not_prolong_a_run };
  const TTest *const passed[]
      = { second_submission_waits_for_a_run_that_was_passed_on,
          second_submission_waits_for_a_run_that_is_not_claimed,
          submission_waits_for_a_run_that_was_found };
  add_case (s, "alone", alone, G_N_ELEMENTS (alone));
  add_case (s, "stop", stops, G_N_ELEMENTS (stops));
  add_case (s, "origin", origins, G_N_ELEMENTS (origins));
  add_case (s, "chain", chains, G_N_ELEMENTS (chains));
  add_case (s, "late", late, G_N_ELEMENTS (late));
  add_case (s, "second", passed, G_N_ELEMENTS (passed));
  return h_run_suite (s);
}
