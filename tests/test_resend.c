/* Callers send a job again at another instance MM_RESEND_MS after they lost
   their connection, while faults overlap.  The earlier run of a task must have
   ended before the next one starts, wherever that is.  */
#include "config.h"
#include "harness.h"
#include "mm_metrics.h"
#include "resend_fixture.h"

#include <check.h>
#include <string.h>

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

/* Guards against a job that does not run again after its caller lost its
   connection, and against a job beside it that is stopped too.  */
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

/* Guards against a task that starts under a lease which others hold for longer
   than its caller is known to wait: the task arrived late, and its origin died
   meanwhile.  */
START_TEST (task_that_arrives_late_does_not_share_a_longer_lease)
{
  for (mm_time_ms p = 0; p < PHASE_MAX_MS; p += PHASE_STEP_MS)
    {
      scene c = { .s = sim_create (1) };
      c.a = sim_add_upstream (c.s, OWNER);
      c.b = sim_add_upstream (c.s, ELSEWHERE);
      sim_run (c.s, 100);
      sim_submit (c.s, OTHER, RUN_MS, OWNER, OWNER);
      sim_resend_at (c.s, JOB, ELSEWHERE, ELSEWHERE);
      sim_run (c.s, 600 + p);
      sim_link_path_to (c.s, ORIGIN, OWNER)->delay_ms = 450;
      sim_submit (c.s, JOB, RUN_MS, ORIGIN, OWNER);
      sim_kill (c.s, ORIGIN);
      sim_path_to (c.s, OWNER, c.a)->lost_stops = 1;
      sim_run (c.s, RESENT_MS);
      ck_assert_uint_eq (fake_starts (sim_upstream (c.s, c.b)), 1);
      ck_assert_msg (sim_double_runs (c.s) == 0, "phase %d", (int)p);
      sim_destroy (c.s);
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
  int d = sim_add_upstream (c.s, OWNER);
  sim_run (c.s, 50);
  sim_submit (c.s, JOB, RUN_MS, LAST, OWNER);
  sim_link_path_to (c.s, NEXT, OWNER)->cut = true;
  sim_path_to (c.s, NEXT, c.a)->lost_stops = 1;
  sim_run (c.s, 50);
  sim_move (c.s, c.a, NEXT, 0);
  sim_run (c.s, 2000);
  ck_assert_uint_eq (sim_double_runs (c.s), 0);
  ck_assert_uint_eq (fake_starts (sim_upstream (c.s, c.a))
                         + fake_starts (sim_upstream (c.s, d)),
                     2);
  sim_destroy (c.s);
}
END_TEST

/* Guards against a next owner that starts a task elsewhere while the run of
   the task that it found is not adopted yet.  */
START_TEST (submission_waits_for_a_run_that_was_found)
{
  scene c = scene_create ();
  int d = sim_add_upstream (c.s, NEXT);
  sim_run (c.s, 50);
  sim_link_path_to (c.s, OWNER, NEXT)->cut = true;
  sim_path_to (c.s, NEXT, c.a)->lost_stops = 1;
  sim_move (c.s, c.a, NEXT, 0);
  sim_run (c.s, 20);
  sim_submit (c.s, JOB, RUN_MS, LAST, NEXT);
  sim_run (c.s, 1500);
  ck_assert_uint_eq (sim_double_runs (c.s), 0);
  ck_assert_uint_eq (fake_starts (sim_upstream (c.s, c.a))
                         + fake_starts (sim_upstream (c.s, d)),
                     2);
  sim_destroy (c.s);
}
END_TEST

/* Guards against an owner that starts a task again in the session in which its
   first run was claimed by the next owner: its calls have not been refused
   yet, and the session would hold two runs of the task.  */
START_TEST (claimed_task_is_not_started_again_by_its_previous_owner)
{
  scene c = scene_create ();
  cut (c.s, OWNER, sim_add_upstream (c.s, OWNER)); /* owned, not usable */
  sim_run (c.s, 170);
  sim_path_to (c.s, OWNER, c.a)->answers_cut = true;
  sim_move (c.s, c.a, NEXT, -1);
  sim_run (c.s, 15);
  uint64_t started = mm_metrics_counter (MM_CT_TASKS_STARTED);
  sim_restart (c.s, c.a);
  sim_run (c.s, 200);
  ck_assert_uint_eq (mm_metrics_counter (MM_CT_TASKS_STARTED), started);
  sim_run (c.s, 1000);
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

/* Lets a request for JOB wait at its origin, which owns an upstream and stands
   still for @stall_ms, while its caller loses its connection.  */
static scene
queue_request (mm_time_ms stall_ms, double lost_stops)
{
  scene c = { .s = sim_create (1) };
  c.a = sim_add_upstream (c.s, ORIGIN);
  c.b = sim_add_upstream (c.s, ELSEWHERE);
  sim_run (c.s, 100);
  sim_path_to (c.s, ORIGIN, c.a)->lost_stops = lost_stops;
  sim_freeze (c.s, ORIGIN, stall_ms, true);
  sim_run (c.s, 5);
  sim_submit (c.s, JOB, RUN_MS, ORIGIN, ORIGIN);
  sim_resend_at (c.s, JOB, ELSEWHERE, ELSEWHERE);
  sim_run (c.s, 5);
  sim_break_caller (c.s, JOB);
  return c;
}

/* Guards against an instance that stood still, and starts a task whose caller
   has sent the job elsewhere meanwhile.  */
START_TEST (request_that_waited_for_a_stalled_instance_starts_nothing)
{
  scene c = queue_request (2 * MM_RESEND_MS, 0);
  sim_run (c.s, 2 * RESENT_MS);
  ck_assert_uint_eq (fake_starts (sim_upstream (c.s, c.a)), 0);
  assert_runs_once (&c);
}
END_TEST

/* The same for a shorter time, with a run that cannot be stopped.  */
START_TEST (run_of_a_request_that_waited_ends_before_its_job_is_sent_again)
{
  scene c = queue_request (MM_STALL_MS - 50, 1);
  sim_run (c.s, RESENT_MS);
  assert_runs_once (&c);
}
END_TEST

/* Guards against an instance that was suspended, and whose first wait a signal
   ends: the close of a caller is read one iteration later.  */
START_TEST (iteration_that_reads_nothing_does_not_prolong_a_run)
{
  for (mm_time_ms p = 0; p < PHASE_MAX_MS; p += PHASE_STEP_MS)
    {
      scene c = { .s = sim_create (1) };
      c.a = sim_add_upstream (c.s, ORIGIN);
      c.b = sim_add_upstream (c.s, ELSEWHERE);
      sim_run (c.s, 100);
      sim_submit (c.s, JOB, RUN_MS, ORIGIN, ORIGIN);
      sim_submit (c.s, OTHER, RUN_MS, ORIGIN, ORIGIN);
      sim_resend_at (c.s, JOB, ELSEWHERE, ELSEWHERE);
      sim_run (c.s, 600 + p);
      sim_path_to (c.s, ORIGIN, c.a)->lost_stops = 1;
      sim_freeze (c.s, ORIGIN, MM_STALL_MS - 50, true);
      sim_wake_blind (c.s, ORIGIN, 1);
      sim_run (c.s, 5);
      sim_break_caller (c.s, JOB);
      sim_run (c.s, RESENT_MS);
      ck_assert_msg (sim_double_runs (c.s) == 0, "phase %d", (int)p);
      assert_runs_once (&c);
    }
}
END_TEST

/* ---- overlapping faults ----------------------------------------------- */

enum
{
  SEEDS = 300,
  FAULTS_MS = 7000, /* faults begin for this long */
  HEAL_MS = 9000,   /* all paths are sound from then on */
  END_MS = 25000,   /* each job must be done by then */
  SUBMIT_EVERY_MS = 100,
  RUN_MIN_MS = 300,
  RUN_MAX_MS = 4000,
  FAULT_EVERY_MS = 150, /* mean time between two faults */
  FOLLOWS_MS = 900,     /* a fault of the owner follows within this */
  SURVIVORS = 2,        /* instances that keep power */
  UPSTREAMS = 4
};

static double
any_share (sim *s)
{
  return sim_random (s, 91) / 100.0;
}

/* Cuts the path of an instance to an upstream in one or both directions, loses
   a share of the calls, or heals the path.  */
static void
harm_path (sim *s, int instance, int upstream)
{
  sim_path *p = sim_path_to (s, instance, upstream);
  int kind = sim_random (s, 6);
  *p = (sim_path){ 0 };
  p->requests_cut = kind == 0 || kind == 1;
  p->answers_cut = kind == 0 || kind == 2;
  if (kind != 3 && kind != 4)
    return;
  p->lost_starts = any_share (s);
  p->lost_stops = any_share (s);
  p->lost_holds = kind == 3 ? any_share (s) : 0;
  p->lost_answers = kind == 3 ? any_share (s) : 0;
  p->late_ms = sim_random (s, 3) * sim_random (s, 1500);
}

static void
kill_any (sim *s, int instance)
{
  if (instance >= SURVIVORS)
    sim_kill (s, instance);
}

static void
freeze_any (sim *s, int instance)
{
  sim_freeze (s, instance, 50 + sim_random (s, 1500), true);
}

static void
harm_link (sim *s, int from, int to)
{
  sim_link_path *p = sim_link_path_to (s, from, to);
  p->cut = sim_random (s, 2) == 0;
  p->delay_ms = sim_random (s, 3) ? 1 : sim_random (s, 500);
}

/* Moves an upstream to another owner.  The previous one learns of it within
   300 ms, or only when it is refused.  */
static void
move_any (sim *s, int upstream)
{
  if (upstream >= 0)
    sim_move (s, upstream, sim_random (s, SIM_INSTANCES),
              sim_random (s, 400) - 100);
}

/* The owner of an upstream dies, stands still, is cut off, or the upstream
   moves on.  */
static void
hit_owner (sim *s, int upstream)
{
  int owner = upstream >= 0 ? sim_owner_of (s, upstream) : -1;
  if (owner < 0)
    return;
  switch (sim_random (s, 5))
    {
    case 0:
      kill_any (s, owner);
      break;
    case 1:
      freeze_any (s, owner);
      break;
    case 2:
      move_any (s, upstream);
      break;
    default:
      harm_path (s, owner, upstream);
      break;
    }
}

/* The instance that has a job dies or stands still, or the caller leaves.  */
static void
hit_origin (sim *s, int job)
{
  int origin = sim_instance_of (s, job);
  if (origin < 0)
    return;
  int kind = sim_random (s, 4);
  if (kind == 0)
    kill_any (s, origin);
  if (kind == 1)
    freeze_any (s, origin);
  if (kind > 0)
    sim_break_caller (s, job);
}

static void
hit_anything (sim *s)
{
  int instance = sim_random (s, SIM_INSTANCES);
  int upstream = sim_random (s, sim_upstreams (s));
  switch (sim_random (s, 6))
    {
    case 0:
      freeze_any (s, instance);
      break;
    case 1:
      harm_path (s, instance, upstream);
      break;
    case 2:
      harm_link (s, instance, sim_random (s, SIM_INSTANCES));
      break;
    case 3:
      sim_restart (s, upstream);
      break;
    case 4:
      sim_read_links_every (s, instance, sim_random (s, 2) * 200);
      break;
    default:
      move_any (s, upstream);
      break;
    }
}

/* Faults around a job, of which some follow later.  */
typedef struct
{
  int job;
  mm_time_ms move_ms, owner_ms; /* 0: it does not follow */
  /* An upstream goes back to the owner that it had.  */
  int back_upstream, back_owner;
  mm_time_ms back_ms;
  /* A request waits at an instance that stands still, and its caller leaves.
   */
  int queued_job, queued_at;
  mm_time_ms stall_ms, leave_ms;
  bool refuses[SIM_UPSTREAMS]; /* upstreams that refuse a part of the starts */
} trouble;

/* Half of the faults hit a job: the upstream of its task may move, its owner
   may lose the path to the upstream, then its origin or caller is hit, and up
   to 900 ms later its owner.  */
static void
cause_fault (sim *s, trouble *t)
{
  if (sim_random (s, 2))
    {
      hit_anything (s);
      return;
    }
  t->job = sim_random (s, SIM_JOBS);
  int u = sim_upstream_of (s, t->job);
  if (u < 0)
    return;
  if (sim_random (s, 2))
    move_any (s, u);
  else if (sim_random (s, 2))
    harm_path (s, sim_owner_of (s, u), u);
  hit_origin (s, t->job);
  t->move_ms = sim_random (s, 2) * (sim_now (s) + sim_random (s, FOLLOWS_MS));
  t->owner_ms = sim_now (s) + 1 + sim_random (s, FOLLOWS_MS);
}

static void
continue_fault (sim *s, trouble *t)
{
  if (t->move_ms && sim_now (s) >= t->move_ms)
    {
      t->move_ms = 0;
      move_any (s, sim_upstream_of (s, t->job));
    }
  if (t->owner_ms && sim_now (s) >= t->owner_ms)
    {
      t->owner_ms = 0;
      hit_owner (s, sim_upstream_of (s, t->job));
    }
}

static void
heal_all (sim *s)
{
  for (int i = 0; i < SIM_INSTANCES; i++)
    {
      sim_read_links_every (s, i, 0);
      for (int k = 0; k < SIM_INSTANCES; k++)
        *sim_link_path_to (s, i, k) = (sim_link_path){ .delay_ms = 1 };
      for (int u = 0; u < SIM_UPSTREAMS; u++)
        *sim_path_to (s, i, u) = (sim_path){ 0 };
    }
}

/* ---- calls that cross ------------------------------------------------- */

enum
{
  TRANSIT_MAX_MS = 600,
  LATE_SOON_MS = 50, /* calls are carried out late: soon, or after longer */
  LATE_MS = 2000,
  LATE_MAX_MS = 12000,
  SHORT_STALL_MS = 50,
  LONG_STALL = 5,    /* times a short one */
  CLOCK_SLOW_MAX = 3 /* clocks of upstreams are slow by less, in percent */
};

/* Lets calls and answers take long and overtake each other, and carries out a
   share of the calls late.  */
static void
cross_calls (sim *s, int instance, int upstream)
{
  sim_path *p = sim_path_to (s, instance, upstream);
  bool soon = sim_random (s, 2);
  *p = (sim_path){ 0 };
  p->transit_ms = sim_random (s, 2) * sim_random (s, TRANSIT_MAX_MS);
  p->late_ms = soon ? LATE_SOON_MS : LATE_MS;
  p->late_spread_ms = soon ? LATE_MS - LATE_SOON_MS : LATE_MAX_MS - LATE_MS;
  p->lost_starts = any_share (s);
  p->lost_stops = any_share (s);
  p->lost_holds = sim_random (s, 2) ? any_share (s) : 0;
  p->lost_answers = sim_random (s, 2) ? any_share (s) : 0;
}

static mm_time_ms
short_stall_ms (sim *s)
{
  return SHORT_STALL_MS + sim_random (s, MM_STALL_MS - SHORT_STALL_MS);
}

/* Moves an upstream to another owner that may give it back at once; the
   previous owner may not have noticed.  */
static void
move_to_and_fro (sim *s, int upstream, trouble *t)
{
  int owner = sim_owner_of (s, upstream);
  move_any (s, upstream);
  t->back_upstream = upstream;
  t->back_owner = owner;
  t->back_ms = owner >= 0 ? sim_now (s) + 1 + sim_random (s, FOLLOWS_MS) : 0;
}

/* Lets a caller send its job again to an instance that stands still, and leave
   before its request is read.  */
static void
queue_any_request (sim *s, trouble *t)
{
  if (t->stall_ms || t->leave_ms)
    return;
  t->queued_job = sim_random (s, SIM_JOBS);
  t->queued_at = sim_random (s, SIM_INSTANCES);
  if (sim_instance_of (s, t->queued_job) < 0)
    return;
  sim_break_caller (s, t->queued_job);
  sim_resend_at (s, t->queued_job, t->queued_at, -1);
  t->stall_ms = sim_now (s) + MM_RESEND_MS - 1 - sim_random (s, FOLLOWS_MS);
}

static void
continue_queued (sim *s, trouble *t)
{
  if (t->stall_ms && sim_now (s) >= t->stall_ms)
    {
      bool longer = sim_random (s, 2);
      t->stall_ms = 0;
      sim_freeze (s, t->queued_at,
                  longer ? short_stall_ms (s) * LONG_STALL : MM_RESEND_MS,
                  true);
      t->leave_ms = sim_now (s) + FOLLOWS_MS + sim_random (s, FOLLOWS_MS);
    }
  if (!t->leave_ms || sim_now (s) < t->leave_ms)
    return;
  t->leave_ms = 0;
  sim_resend_at (s, t->queued_job, -1, -1);
  sim_break_caller (s, t->queued_job);
}

static void
cross_anything (sim *s, trouble *t)
{
  int instance = sim_random (s, SIM_INSTANCES);
  int other = sim_random (s, SIM_INSTANCES);
  int upstream = sim_random (s, sim_upstreams (s));
  int owner = sim_owner_of (s, upstream);
  switch (sim_random (s, 10))
    {
    case 9:
      t->refuses[upstream] = sim_random (s, 2);
      break;
    case 8:
      queue_any_request (s, t);
      break;
    case 0:
      sim_freeze (s, instance, short_stall_ms (s), true);
      sim_wake_blind (s, instance, sim_random (s, 2));
      break;
    case 1:
      sim_freeze_midway (s, instance, short_stall_ms (s));
      break;
    case 2:
      sim_renew (s, upstream);
      break;
    case 3:
      move_to_and_fro (s, upstream, t);
      break;
    case 4:
      sim_close_link (s, instance, other, sim_random (s, 2));
      break;
    case 5:
      sim_break_caller (s, sim_random (s, SIM_JOBS));
      break;
    default:
      cross_calls (s, owner >= 0 ? owner : instance, upstream);
      break;
    }
}

static void
continue_crossing (sim *s, trouble *t)
{
  for (int u = 0; u < sim_upstreams (s); u++)
    fake_mode_of (sim_upstream (s, u))->unhealthy
        = t->refuses[u] && sim_now (s) % 3;
  if (!t->back_ms || sim_now (s) < t->back_ms)
    return;
  t->back_ms = 0;
  sim_move (s, t->back_upstream, t->back_owner, sim_random (s, 400) - 100);
}

/* Guards against any combination of faults that lets a task run twice at a
   time after its job was sent again, or that leaves a job unanswered.  */
static void
overlap_faults (int seed, bool crossing, bool late_binding)
{
  sim *s = sim_create ((uint32_t)seed);
  if (late_binding)
    sim_bind_late (s);
  trouble now = { 0 };
  for (int u = 0; u < UPSTREAMS; u++)
    {
      int n = sim_add_upstream (s, sim_random (s, SIM_INSTANCES));
      if (crossing)
        fake_mode_of (sim_upstream (s, n))->clock_slow_percent
            = sim_random (s, CLOCK_SLOW_MAX);
    }
  sim_run (s, 50);
  for (int t = 0; t < END_MS; t++)
    {
      if (t < SIM_JOBS * SUBMIT_EVERY_MS && t % SUBMIT_EVERY_MS == 0)
        sim_submit_anywhere (s, t / SUBMIT_EVERY_MS,
                             RUN_MIN_MS
                                 + sim_random (s, RUN_MAX_MS - RUN_MIN_MS));
      if (t < FAULTS_MS && sim_random (s, FAULT_EVERY_MS) == 0)
        {
          if (crossing && sim_random (s, 2))
            cross_anything (s, &now);
          else
            cause_fault (s, &now);
        }
      continue_fault (s, &now);
      continue_crossing (s, &now);
      continue_queued (s, &now);
      if (t == HEAL_MS)
        {
          heal_all (s);
          memset (now.refuses, 0, sizeof now.refuses);
        }
      sim_run (s, 1);
      ck_assert_msg (sim_double_runs (s) == 0, "seed %d, at %d: ran twice",
                     seed, t);
    }
  for (int n = 0; n < SIM_JOBS; n++)
    ck_assert_msg (sim_job_done (s, n), "seed %d: job %d has no end", seed, n);
  sim_destroy (s);
}

START_TEST (no_task_runs_twice_while_faults_overlap)
{
  overlap_faults (_i, false, false);
}
END_TEST

/* The same while calls are carried out late and cross, upstreams move to and
   fro, and instances stand still in the midst of their work.  */
START_TEST (no_task_runs_twice_while_calls_cross)
{
  overlap_faults (_i, true, false);
}
END_TEST

/* The same while each task reserves at several owners and the first offer is
   accepted.  */
START_TEST (no_task_with_reservations_runs_twice_while_faults_overlap)
{
  overlap_faults (_i, _i % 2, true);
}
END_TEST

/* Hands an idle upstream over @idle_ms after it got a job of that length,
   while messages of JOB's instance to the next owner are late, and cuts that
   owner off the upstream @cut_after_ms after JOB has started there.  Returns
   the number of double runs.  */
static uint32_t
lose_contact_after_handover (mm_time_ms idle_ms, mm_time_ms cut_after_ms)
{
  scene c = { .s = sim_create (1) };
  c.a = sim_add_upstream (c.s, OWNER);
  c.b = sim_add_upstream (c.s, NEXT);
  cut (c.s, NEXT, c.b);
  sim_run (c.s, 100);
  sim_link_path_to (c.s, ORIGIN, NEXT)->delay_ms = 540;
  sim_run (c.s, 1500);
  sim_submit (c.s, OTHER, idle_ms, OWNER, OWNER);
  sim_submit (c.s, JOB, RUN_MS, ORIGIN, NEXT);
  while (!sim_job_done (c.s, OTHER))
    sim_run (c.s, 1);
  sim_move (c.s, c.a, NEXT, 0);
  for (int ms = 0; ms < 1500 && sim_upstream_of (c.s, JOB) < 0; ms++)
    sim_run (c.s, 1);
  sim_run (c.s, cut_after_ms);
  cut (c.s, NEXT, c.a);
  *sim_path_to (c.s, NEXT, c.b) = (sim_path){ 0 };
  sim_link_path_to (c.s, ORIGIN, NEXT)->delay_ms = 1;
  sim_run (c.s, 2000);
  uint32_t double_runs = sim_double_runs (c.s);
  sim_destroy (c.s);
  return double_runs;
}

/* Guards against a next owner that takes a run for ended while leases that the
   previous owner has renewed still cover it.  */
START_TEST (run_after_a_handover_ends_before_its_task_is_dispatched_again)
{
  for (mm_time_ms idle_ms = 150; idle_ms < 650; idle_ms += 25)
    for (mm_time_ms cut_after_ms = 0; cut_after_ms < 60; cut_after_ms += 10)
      ck_assert_msg (lose_contact_after_handover (idle_ms, cut_after_ms) == 0,
                     "handover after %d ms, cut after %d ms", (int)idle_ms,
                     (int)cut_after_ms);
}
END_TEST

/* Guards against an ended run that an older list, which arrives after the one
   with its end, makes look like a run of an earlier owner.  */
START_TEST (run_that_has_ended_is_not_found_again_when_answers_cross)
{
  uint64_t found_before = mm_metrics_counter (MM_CT_FOREIGN_RUNS);
  for (uint32_t seed = 0; seed < 100; seed++)
    {
      sim *s = sim_create (seed);
      int a = sim_add_upstream (s, OWNER);
      sim_run (s, 20);
      *sim_path_to (s, OWNER, a)
          = (sim_path){ .transit_ms = 80, .lost_answers = 0.3 };
      for (int n = 0; n < SIM_JOBS; n++)
        {
          sim_submit (s, n, 60 + sim_random (s, 100), OWNER, OWNER);
          sim_run (s, 20);
        }
      sim_destroy (s);
    }
  ck_assert_uint_eq (mm_metrics_counter (MM_CT_FOREIGN_RUNS), found_before);
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
          task_that_arrives_late_does_not_share_a_longer_lease,
          time_in_which_the_origin_stood_still_does_not_prolong_a_run,
          run_that_has_ended_is_not_found_again_when_answers_cross,
          request_that_waited_for_a_stalled_instance_starts_nothing,
          run_of_a_request_that_waited_ends_before_its_job_is_sent_again,
          iteration_that_reads_nothing_does_not_prolong_a_run };
  const TTest *const passed[]
      = { second_submission_waits_for_a_run_that_was_passed_on,
          second_submission_waits_for_a_run_that_is_not_claimed,
          submission_waits_for_a_run_that_was_found,
          claimed_task_is_not_started_again_by_its_previous_owner,
          run_after_a_handover_ends_before_its_task_is_dispatched_again };
  add_case (s, "alone", alone, G_N_ELEMENTS (alone));
  add_case (s, "stop", stops, G_N_ELEMENTS (stops));
  add_case (s, "origin", origins, G_N_ELEMENTS (origins));
  add_case (s, "chain", chains, G_N_ELEMENTS (chains));
  add_case (s, "late", late, G_N_ELEMENTS (late));
  add_case (s, "second", passed, G_N_ELEMENTS (passed));
  TCase *random = tcase_create ("random");
  tcase_set_timeout (random, 60);
  tcase_add_loop_test (random, no_task_runs_twice_while_faults_overlap, 0,
                       SEEDS);
  tcase_add_loop_test (random, no_task_runs_twice_while_calls_cross, 0, SEEDS);
  tcase_add_loop_test (
      random, no_task_with_reservations_runs_twice_while_faults_overlap, 0,
      SEEDS / 3);
  suite_add_tcase (s, random);
  return h_run_suite (s);
}
