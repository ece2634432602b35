/* Overload control: what owners measure, when a priority is overloaded, and
   which jobs are refused.  Each test names the load that it answers.  */
#include "config.h"
#include "harness.h"
#include "mm_admission.h"
#include "mm_event.h"
#include "mm_jobs.h"
#include "mm_metrics.h"
#include "mm_overload.h"
#include "mm_overload_state.h"
#include "owner_fixture.h"

#include <cJSON.h>
#include <check.h>
#include <ev.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define TARGET_MS MM_DEFAULT_OVERLOAD_TARGET_MS
#define SHORT_SLACK_MS 81 /* of a job of 60 ms, stretch 1.6 and slo_ms 60 */
#define LONG_SLACK_MS 585 /* of a job of 900 ms */

/* Returns the load of priority 2 at a home that knows these reports, with
   @free of 100 places.  */
static mm_load
load_of (const mm_overload_figures *f, uint32_t free)
{
  return (mm_load){ .places = 100,
                    .free = free,
                    .waiting = f->waiting,
                    .mean_task_ms = 200,
                    .measured = mm_overload_figures_short (f, TARGET_MS),
                    .waiting_same = f->waiting,
                    .starts_per_s = f->starts_per_s,
                    .least_wait_ms = mm_overload_figures_wait_ms (f) };
}

/* Returns the sum of one report of priority 2 and 100 places.  */
static mm_overload_figures
figures (uint32_t waiting, uint32_t starts_per_s, uint32_t least_wait_ms)
{
  mm_capacity_report r = { .places = 100,
                           .waiting = waiting,
                           .waiting_by_priority = { 0, 0, waiting },
                           .starts_per_s = { 0, 0, starts_per_s },
                           .least_wait_ms = { 0, 0, least_wait_ms } };
  mm_overload_figures f = { 0 };
  mm_overload_figures_add (&f, &r, 2, 0);
  return f;
}

/* Returns what @o reports of priority 2 when the longest waiting task has
   waited for @oldest_ms.  */
static mm_capacity_report
report (const mm_overload *o, mm_time_ms oldest_ms, mm_time_ms now)
{
  mm_time_ms oldest[MM_PRIORITY_LEVELS] = { 0, 0, oldest_ms, 0 };
  mm_capacity_report r
      = { .places = 100, .waiting_by_priority = { 0, 0, oldest_ms > 0 } };
  mm_overload_fill_report (o, "svc", oldest, now, &r);
  return r;
}

static mm_overload_figures
figures_of (const mm_overload *o, mm_time_ms oldest_ms, mm_time_ms now)
{
  mm_capacity_report r = report (o, oldest_ms, now);
  mm_overload_figures f = { 0 };
  mm_overload_figures_add (&f, &r, 2, 0);
  return f;
}

/* Load: higher priorities leave 20 starts/s to long jobs, of which 40 tasks
   wait.  Guards against a wait by the mean run time, 88 ms, that is far too
   low, and accepts jobs that wait for 2 s.  */
START_TEST (job_of_a_starved_priority_is_refused)
{
  mm_overload_figures f = figures (40, 20, 700);
  mm_load load = load_of (&f, 0);
  ck_assert_int_ge (mm_admission_expected_wait_ms (&load, 4), 2000);
  mm_admission a = mm_admission_decide (&load, 4, LONG_SLACK_MS);
  ck_assert (!a.accept && a.overload);
  load.measured = false;
  ck_assert (mm_admission_decide (&load, 4, LONG_SLACK_MS).accept);
  f = figures (40, 0, 700); /* no start at all */
  load = load_of (&f, 0);
  ck_assert (!mm_admission_decide (&load, 4, 10 * 60 * 1000).accept);
}
END_TEST

/* Load: tasks of 900 ms on all places, one more waits.  Guards against a
   refusal because no task was started within a window, though a running one is
   about to end.  */
START_TEST (wait_for_a_long_run_is_no_lack_of_capacity)
{
  mm_overload_figures f = figures (1, 0, 700);
  mm_load load = load_of (&f, 0);
  load.mean_task_ms = 900;
  ck_assert (mm_admission_decide (&load, 1, 1800).accept);
}
END_TEST

/* Load: a burst of 300 ms, in which tasks wait for up to 120 ms, and calm
   before it.  Guards against refusals because of a burst that is over before
   the window ends.  */
START_TEST (burst_shorter_than_the_window_is_no_overload)
{
  mm_overload *o = mm_overload_create ();
  mm_overload_state *s = mm_overload_state_create (TARGET_MS);
  for (mm_time_ms now = 10000; now < 13000; now += 5)
    {
      bool burst = now >= 11000 && now < 11300;
      mm_overload_record_start (o, "svc", 2, burst ? 120 : 0, now);
      mm_overload_figures f = figures_of (o, 0, now);
      mm_overload_state_update (s, "svc", 2, &f, now);
      ck_assert (!mm_overload_figures_short (&f, TARGET_MS));
    }
  ck_assert (!mm_overload_state_is_on (s, "svc", 2));
  mm_overload_state_destroy (s);
  mm_overload_destroy (o);
}
END_TEST

/* Updates the state of priority 2 and returns the load of a job.  */
static mm_load
load_after (mm_overload_state *s, const mm_overload_figures *f, mm_time_ms now)
{
  mm_overload_state_update (s, "svc", 2, f, now);
  mm_load load = load_of (f, 0);
  load.measured = mm_overload_state_is_short (s, "svc", 2);
  return load;
}

/* Load: one job of 8 tasks a second, which wait for 70 ms.  Guards against a
   refusal of the next job because the window saw no start, or because the
   tasks of one job are taken for a start rate.  */
START_TEST (queue_with_one_job_a_second_is_not_refused)
{
  mm_overload *o = mm_overload_create ();
  mm_overload_state *s = mm_overload_state_create (TARGET_MS);
  for (mm_time_ms now = 10000; now < 20000; now += MM_EXEC_TICK_MS)
    {
      mm_time_ms since_job_ms = now % 1000;
      for (int i = 0; since_job_ms == 75 && i < 8; i++)
        mm_overload_record_start (o, "svc", 2, 70, now);
      mm_overload_figures f
          = figures_of (o, since_job_ms < 75 ? since_job_ms : 0, now);
      mm_load load = load_after (s, &f, now);
      ck_assert (mm_admission_decide (&load, 8, SHORT_SLACK_MS).accept);
      ck_assert (!mm_overload_state_is_on (s, "svc", 2));
    }
  mm_overload_state_destroy (s);
  mm_overload_destroy (o);
}
END_TEST

/* Load: 3 jobs of 4 tasks a second, which wait for 300 ms.  Guards against a
   rate of few starts, 16/s, that is taken for the capacity.  */
START_TEST (few_starts_are_not_taken_for_the_capacity)
{
  mm_overload_state *s = mm_overload_state_create (TARGET_MS);
  mm_overload_figures f = figures (8, 16, 300);
  for (mm_time_ms now = 1000; now < 3000; now += MM_EXEC_TICK_MS)
    {
      mm_load load = load_after (s, &f, now);
      ck_assert (mm_admission_decide (&load, 4, LONG_SLACK_MS).accept);
    }
  mm_overload_state_destroy (s);
}
END_TEST

/* Load: a service begins, or a home is restarted, while tasks wait for 60 ms;
   30 tasks have started.  Guards against a rate of 60/s from a window that has
   just begun, by which 40 waiting tasks take 0.7 s; and against an owner that
   was restarted and reports its starts per whole window.  */
START_TEST (service_that_has_just_begun_is_not_refused)
{
  mm_overload *o = mm_overload_create ();
  mm_overload_state *s = mm_overload_state_create (TARGET_MS);
  mm_overload_figures f = figures_of (o, 0, 9990);
  mm_load load = load_after (s, &f, 9990); /* nothing is known */
  ck_assert (mm_admission_decide (&load, 8, SHORT_SLACK_MS).accept);
  load.measured = true;
  ck_assert (mm_admission_decide (&load, 8, SHORT_SLACK_MS).accept);
  for (mm_time_ms now = 10000; now < 10000 + MM_OVERLOAD_WINDOW_MS; now += 10)
    {
      for (int i = 0; i < 5; i++)
        mm_overload_record_start (o, "svc", 2, 60, now);
      f = figures_of (o, 0, now);
      f.waiting = 30;
      load = load_after (s, &f, now);
      ck_assert (mm_admission_decide (&load, 4, SHORT_SLACK_MS).accept);
      if (now >= 10050)
        ck_assert_uint_ge (f.starts_per_s, 490);
    }
  mm_overload_state_destroy (s);
  mm_overload_destroy (o);
}
END_TEST

/* Load: the first task of an idle queue waits for 40 ms, and goes on to wait
   for 1.2 s.  Guards against a window without a start that is taken for no
   capacity, and against a starved task that is not seen as no task starts.  */
START_TEST (wait_without_a_start_counts_after_a_window)
{
  mm_overload *o = mm_overload_create ();
  mm_overload_state *s = mm_overload_state_create (TARGET_MS);
  for (mm_time_ms waited_ms = 25; waited_ms < 1200; waited_ms += 25)
    {
      mm_overload_figures f = figures_of (o, waited_ms, 10000 + waited_ms);
      ck_assert_int_eq (mm_overload_figures_wait_ms (&f), waited_ms);
      mm_load load = load_after (s, &f, 10000 + waited_ms);
      bool accept = mm_admission_decide (&load, 8, LONG_SLACK_MS).accept;
      ck_assert (accept == (waited_ms < MM_OVERLOAD_WINDOW_MS + 25));
    }
  mm_overload_state_destroy (s);
  mm_overload_destroy (o);
}
END_TEST

/* Load: the wait of a busy priority rises to 200 ms, then swings around the
   target and around half of it, then falls to 0.  Guards against an overload
   that begins and ends with each swing, and against one that never ends.  */
START_TEST (recovery_does_not_oscillate)
{
  mm_overload_state *s = mm_overload_state_create (TARGET_MS);
  int changes = 0;
  bool was_on = false;
  for (mm_time_ms now = 1000; now < 21000; now += MM_EXEC_TICK_MS)
    {
      mm_time_ms second = now / 1000;
      bool up = now / 100 % 2;
      mm_time_ms wait_ms = second < 3    ? 200
                           : second < 8  ? TARGET_MS + (up ? 30 : -30)
                           : second < 13 ? TARGET_MS / 2 + (up ? 10 : -10)
                                         : 0;
      mm_overload_figures f = figures (10, 400, (uint32_t)wait_ms);
      mm_overload_state_update (s, "svc", 2, &f, now);
      bool on = mm_overload_state_is_on (s, "svc", 2);
      changes += on != was_on;
      was_on = on;
      if (now >= 1000 + 2 * MM_OVERLOAD_WINDOW_MS && second < 13)
        ck_assert_int_eq (mm_overload_state_since_ms (s, "svc", 2),
                          1000 + MM_OVERLOAD_WINDOW_MS);
    }
  ck_assert_int_eq (changes, 2);
  ck_assert (!was_on);
  mm_overload_state_destroy (s);
}
END_TEST

/* Load: the process stands still for a second while the wait is above the
   target.  Guards against an overload from two samples.  */
START_TEST (stall_of_this_process_does_not_count_as_a_window)
{
  mm_overload_state *s = mm_overload_state_create (TARGET_MS);
  mm_overload_figures f = figures (10, 400, 200);
  for (mm_time_ms now = 1000; now < 1600; now += MM_EXEC_TICK_MS)
    mm_overload_state_update (s, "svc", 2, &f, now);
  mm_overload_state_update (s, "svc", 2, &f, 2600);
  ck_assert (!mm_overload_state_is_on (s, "svc", 2));
  mm_overload_state_destroy (s);
}
END_TEST

/* Load: a stalled peer's last report says that no task starts; an older peer,
   or one with overload control off, reports waiting tasks and no starts.
   Guards against refusals because of figures that are not, or no longer,
   known.  */
START_TEST (reports_that_are_old_or_not_measured_are_left_out)
{
  mm_capacity_report stuck = { .places = 100,
                               .waiting_by_priority = { 0, 0, 90 },
                               .least_wait_ms = { 0, 0, 900 } };
  mm_capacity_report unmeasured
      = { .places = 100, .waiting_by_priority = { 0, 0, 90 } };
  mm_overload_figures f = figures (2, 100, 10);
  mm_overload_figures_add (&f, &unmeasured, 2, 0);
  mm_overload_figures_add (&f, &stuck, 2, MM_OVERLOAD_REPORT_TTL_MS + 1);
  ck_assert_uint_eq (f.waiting, 2);
  ck_assert_int_eq (mm_overload_figures_wait_ms (&f), 10);
  mm_overload_figures_add (&f, &stuck, 2, MM_OVERLOAD_REPORT_TTL_MS);
  ck_assert_int_eq (mm_overload_figures_wait_ms (&f), 455);
  ck_assert_int_eq (f.age_ms, MM_OVERLOAD_REPORT_TTL_MS);
}
END_TEST

/* Load: tasks of lower priorities were sent to a peer since its report. Guards
   against an urgent job that counts them as waiting before it.  */
START_TEST (tasks_sent_since_a_report_are_not_of_the_same_priority)
{
  mm_capacity_report r = { .places = 100,
                           .waiting_by_priority = { 30 },
                           .waiting_unseen = 28,
                           .starts_per_s = { 50 } };
  mm_overload_figures f = { 0 };
  mm_overload_figures_add (&f, &r, 0, 0);
  ck_assert_uint_eq (f.waiting, 2);
}
END_TEST

/* Load: a shortage ends, its low start rate is still in the window, and 12
   places are free.  Guards against large jobs that are refused beside free
   capacity while small ones are accepted.  */
START_TEST (large_job_is_not_refused_while_capacity_is_free)
{
  mm_overload_figures f = figures (0, 40, 300);
  mm_load load = load_of (&f, 12);
  ck_assert (load.measured);
  load.least_tasks = 12;
  for (uint32_t tasks = 1; tasks <= 40; tasks++)
    ck_assert (mm_admission_decide (&load, tasks, SHORT_SLACK_MS).accept);
}
END_TEST

/* Load: jobs of 2 to 6 tasks at twice the rate at which tasks can start, for
   5 minutes.  Guards against small jobs that take what is left each time that
   the queue is just short of the limit.  */
START_TEST (large_jobs_are_not_refused_more_often_than_small_ones)
{
  enum
  {
    STARTS_PER_S = 100,
    LEAST = 2,
    MOST = 6
  };
  GRand *random = g_rand_new_with_seed (1);
  mm_overload_state *s = mm_overload_state_create (TARGET_MS);
  double waiting = 0, accepted[MOST + 1] = { 0 }, jobs[MOST + 1] = { 0 };
  for (mm_time_ms now = 1000; now < 300000; now++)
    {
      waiting = MAX (waiting - STARTS_PER_S / 1000.0, 0);
      if (g_rand_int_range (random, 0, 20) > 0)
        continue; /* 50 jobs/s of 4 tasks */
      uint32_t tasks = (uint32_t)g_rand_int_range (random, LEAST, MOST + 1);
      mm_overload_state_record_job (s, "svc", 2, tasks);
      mm_overload_figures f = figures ((uint32_t)waiting, STARTS_PER_S, 400);
      mm_load load = load_after (s, &f, now);
      load.least_tasks = mm_overload_state_least_tasks (s, "svc", 2);
      mm_admission a = mm_admission_decide (&load, tasks, LONG_SLACK_MS);
      jobs[tasks]++;
      accepted[tasks] += a.accept;
      waiting += a.accept ? tasks : 0;
      if (a.accept && now > 5000)
        ck_assert_int_le ((int)(waiting * 1000 / STARTS_PER_S),
                          LONG_SLACK_MS + MM_EXEC_TICK_MS);
    }
  for (int i = LEAST; i <= MOST; i++)
    ck_assert_msg (fabs (accepted[i] / jobs[i] - 0.5) < 0.05, "%d: %.2f", i,
                   accepted[i] / jobs[i]);
  mm_overload_state_destroy (s);
  g_rand_free (random);
}
END_TEST

/* Load: 400 callers are refused in the same moment of an overload.  Guards
   against their return in the same second, and against times out of range.  */
START_TEST (retry_after_spreads_the_callers)
{
  mm_load load = { .places = 100,
                   .measured = true,
                   .waiting_same = 100,
                   .starts_per_s = 50,
                   .overloaded_for_ms = 3000 };
  uint32_t by_s[2 * MM_RETRY_AFTER_MAX_S + 1] = { 0 };
  for (int i = 0; i < 400; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "job-%d", i);
      uint32_t s = mm_admission_retry_after_s (&load, 2000, id);
      ck_assert_uint_eq (s, mm_admission_retry_after_s (&load, 2000, id));
      ck_assert_uint_ge (s, 5);
      ck_assert_uint_le (s, 10);
      by_s[s]++;
      mm_load long_ago = load;
      long_ago.overloaded_for_ms = 3600000;
      s = mm_admission_retry_after_s (&long_ago, MM_NO_CAPACITY_WAIT_MS, id);
      ck_assert_uint_ge (s, MM_RETRY_AFTER_MAX_S);
      ck_assert_uint_le (s, 2 * MM_RETRY_AFTER_MAX_S);
    }
  for (int s = 6; s <= 10; s++)
    ck_assert_uint_ge (by_s[s], 400 / 10); /* 80 in each, if even */
  load.overloaded_for_ms = 0;
  ck_assert_uint_le (
      mm_admission_retry_after_s (&load, MM_NO_CAPACITY_WAIT_MS, "job"),
      MM_RETRY_AFTER_MAX_S);
}
END_TEST

/* Guards against decisions that change while the setting is off: they follow
   the wait by the mean run time alone, for any load.  */
START_TEST (decisions_without_overload_control_are_as_before)
{
  GRand *random = g_rand_new_with_seed (1);
  for (int i = 0; i < 20000; i++)
    {
      mm_load load = { .places = (uint32_t)g_rand_int_range (random, 0, 200),
                       .free = (uint32_t)g_rand_int_range (random, 0, 20),
                       .waiting = (uint32_t)g_rand_int_range (random, 0, 400),
                       .mean_task_ms = g_rand_int_range (random, 1, 3000) };
      uint32_t tasks = (uint32_t)g_rand_int_range (random, 1, 40);
      mm_time_ms slack_ms = g_rand_int_range (random, 0, 1000);
      mm_admission a = mm_admission_decide (&load, tasks, slack_ms);
      uint32_t ahead = load.waiting + tasks;
      mm_time_ms missing_ms
          = ((mm_time_ms)ahead - load.free) * load.mean_task_ms;
      mm_time_ms wait_ms = ahead <= load.free ? 0
                           : load.places == 0
                               ? MM_NO_OWNER_WAIT_MS
                               : (missing_ms + load.places - 1) / load.places;
      ck_assert_int_eq (a.wait_ms, wait_ms);
      ck_assert (a.accept == (wait_ms <= slack_ms) && !a.overload);
      if (!a.accept)
        ck_assert_uint_eq (
            mm_admission_retry_after_s (&load, a.wait_ms, "job"),
            load.places == 0 ? MM_RETRY_AFTER_NO_CAPACITY_S
                             : 1 + wait_ms / 1000);
    }
  g_rand_free (random);
}
END_TEST

/* ---- an owner, a home and the jobs of callers -------------------------- */

typedef struct
{
  struct ev_loop *loop;
  fixture fx;
  mm_mesh *mesh;
  mm_fleet *fleet;
  mm_suspects *suspects;
  mm_jobs *jobs;
  uint32_t refused;
  uint32_t retry_after_s; /* the longest that was stated */
  uint32_t n_jobs;
} home;

static void
home_create (home *h, bool overload_control)
{
  memset (h, 0, sizeof *h);
  h->loop = ev_loop_new (EVFLAG_AUTO);
  h->fx = fixture_create ();
  h->mesh = mm_mesh_create (h->loop, "n@127.0.0.1:1/dc1", "dc1", "127.0.0.1",
                            (uint16_t)h_port_base (), h->fx.owner, NULL);
  ck_assert_ptr_nonnull (h->mesh);
  h->fleet = mm_fleet_create (h->fx.owner, h->mesh, "dc1");
  h->suspects = mm_suspects_create ();
  mm_fleet_set_suspects (h->fleet, h->suspects);
  mm_owner_set_overload_control (h->fx.owner, overload_control);
  mm_fleet_set_overload_control (h->fleet, overload_control, TARGET_MS);
  h->jobs = mm_jobs_create (h->fleet);
  fixture_add (&h->fx, "up0"); /* two tasks fit */
  fixture_run (&h->fx, 100);
}

static void
home_destroy (home *h)
{
  mm_jobs_destroy (h->jobs);
  mm_fleet_destroy (h->fleet);
  mm_mesh_destroy (h->mesh);
  mm_suspects_destroy (h->suspects);
  fixture_destroy (&h->fx);
  ev_loop_destroy (h->loop);
}

static void
on_answered (void *ctx, const mm_answer *a)
{
  home *h = ctx;
  h->refused += a->kind == MM_ANSWER_REFUSED;
  h->retry_after_s = MAX (h->retry_after_s, a->retry_after_s);
}

/* Submits a job of @n_steps steps with one task of @run_ms each; each step
   depends on the one before.  */
static void
submit_chain (home *h, uint32_t priority, uint32_t n_steps, mm_time_ms run_ms)
{
  mm_submission *s = g_new0 (mm_submission, 1);
  g_snprintf (s->id, sizeof s->id, "job%u", h->n_jobs++);
  s->best_effort = true;
  s->n_steps = n_steps;
  s->steps = g_new0 (mm_step, n_steps);
  for (uint32_t i = 0; i < n_steps; i++)
    {
      mm_task_request t = fakes_task (s->id, i, TASK_CPU_MILLI, run_ms);
      s->steps[i] = (mm_step){ .count = 1,
                               .resources = t.resources,
                               .estimate_ms = run_ms,
                               .payload = g_strdup (t.payload) };
      if (!i)
        continue;
      s->steps[i].depends_on = g_new (uint32_t, 1);
      s->steps[i].depends_on[0] = i - 1;
      s->steps[i].n_dependencies = 1;
    }
  mm_route route = { .name = "queue",
                     .service = "svc",
                     .priority = priority,
                     .attempts = 1,
                     .stretch = 1.6,
                     .slo_ms = 60 };
  mm_jobs_submit (h->jobs, s, &route, 30000, on_answered, h);
}

/* Submits a job of @low_priority every 100 ms beside more urgent jobs that
   use @urgent_percent of the capacity, for @ms.  */
static void
run_load (home *h, uint32_t low_priority, int urgent_percent, mm_time_ms ms)
{
  for (mm_time_ms t = 0; t < ms; t += MM_EXEC_TICK_MS)
    {
      /* Two tasks of 100 ms fit, which is one every two ticks.  */
      if (t / MM_EXEC_TICK_MS * urgent_percent % 200 < urgent_percent)
        submit_chain (h, 0, 1, 100);
      if (t % 100 == 0)
        submit_chain (h, low_priority, 1, 900);
      fakes_run (h->fx.upstreams, h->fx.owner, MM_EXEC_TICK_MS);
      mm_fleet_tick (h->fleet);
      mm_jobs_tick (h->jobs);
    }
}

static mm_load
load_at (const home *h, uint32_t priority)
{
  return mm_fleet_load (h->fleet, "svc", priority, TASK_CPU_MILLI);
}

/* Load: urgent jobs take 95 % of the capacity and long ones arrive.  Guards
   against long jobs that are accepted and wait in vain, for priorities in the
   reports and beyond; refusals must be counted and state when to retry, and
   the overload must end once the load does.  */
START_TEST (starved_jobs_are_refused_until_the_load_ends)
{
  static const uint32_t priorities[] = { 2, MM_PRIORITY_LEVELS + 3 };
  uint32_t priority = priorities[_i];
  home h;
  home_create (&h, true);
  uint64_t refused = mm_metrics_counter (MM_CT_JOBS_REFUSED_OVERLOAD);
  run_load (&h, priority, 95, 4000);
  mm_load load = load_at (&h, priority);
  ck_assert (load.measured && load.waiting_same > 0);
  ck_assert_uint_le (load.waiting_same, load.waiting);
  ck_assert_int_ge (load.overloaded_for_ms, MM_OVERLOAD_WINDOW_MS);
  ck_assert_int_eq (load_at (&h, 0).overloaded_for_ms, 0);
  ck_assert_uint_gt (mm_metrics_counter (MM_CT_JOBS_REFUSED_OVERLOAD),
                     refused + 10);
  ck_assert_uint_ge (h.retry_after_s, 2);
  char *text = mm_overload_state_dump (mm_fleet_overload (h.fleet), 0);
  ck_assert_ptr_nonnull (strstr (text, "\"overloaded_for_ms\":"));
  free (text);
  for (int i = 0; i < 200; i++)
    {
      fixture_run (&h.fx, MM_EXEC_TICK_MS);
      mm_fleet_tick (h.fleet);
      mm_jobs_tick (h.jobs);
    }
  ck_assert_int_eq (load_at (&h, priority).overloaded_for_ms, 0);
  assert_invariants (&h.fx);
  home_destroy (&h);
}
END_TEST

/* The same load with the setting off.  Guards against figures that are
   measured, and decisions that are changed, although nobody asked for it.  */
START_TEST (nothing_is_measured_while_the_setting_is_off)
{
  home h;
  home_create (&h, false);
  uint64_t refused = mm_metrics_counter (MM_CT_JOBS_REFUSED_OVERLOAD);
  run_load (&h, 2, 95, 2000);
  mm_capacity_report r = mm_owner_report (h.fx.owner, "svc");
  mm_load load = load_at (&h, 2);
  for (int i = 0; i < (int)MM_PRIORITY_LEVELS; i++)
    ck_assert_uint_eq (r.starts_per_s[i] + r.least_wait_ms[i], 0);
  ck_assert (!load.measured && !load.waiting_same && !load.starts_per_s
             && !load.overloaded_for_ms);
  ck_assert_uint_eq (mm_metrics_counter (MM_CT_JOBS_REFUSED_OVERLOAD),
                     refused);
  home_destroy (&h);
}
END_TEST

/* Load: one job of six steps, each of 400 ms, on idle upstreams.  Guards
   against the run time of earlier steps that counts as queueing delay.  */
START_TEST (run_time_of_earlier_steps_is_no_wait)
{
  home h;
  home_create (&h, true);
  submit_chain (&h, 2, 6, 400);
  for (int i = 0; i < 80; i++)
    {
      fixture_run (&h.fx, MM_EXEC_TICK_MS);
      mm_jobs_tick (h.jobs);
      ck_assert_uint_le (mm_owner_report (h.fx.owner, "svc").least_wait_ms[2],
                         2 * MM_EXEC_TICK_MS);
    }
  home_destroy (&h);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("overload");
  TCase *c = tcase_create ("figures");
  tcase_add_test (c, job_of_a_starved_priority_is_refused);
  tcase_add_test (c, wait_for_a_long_run_is_no_lack_of_capacity);
  tcase_add_test (c, burst_shorter_than_the_window_is_no_overload);
  tcase_add_test (c, queue_with_one_job_a_second_is_not_refused);
  tcase_add_test (c, few_starts_are_not_taken_for_the_capacity);
  tcase_add_test (c, service_that_has_just_begun_is_not_refused);
  tcase_add_test (c, wait_without_a_start_counts_after_a_window);
  tcase_add_test (c, recovery_does_not_oscillate);
  tcase_add_test (c, stall_of_this_process_does_not_count_as_a_window);
  tcase_add_test (c, reports_that_are_old_or_not_measured_are_left_out);
  tcase_add_test (c, tasks_sent_since_a_report_are_not_of_the_same_priority);
  tcase_add_test (c, large_job_is_not_refused_while_capacity_is_free);
  tcase_add_test (c, large_jobs_are_not_refused_more_often_than_small_ones);
  tcase_add_test (c, retry_after_spreads_the_callers);
  tcase_add_test (c, decisions_without_overload_control_are_as_before);
  suite_add_tcase (s, c);
  c = tcase_create ("home");
  tcase_add_loop_test (c, starved_jobs_are_refused_until_the_load_ends, 0, 2);
  tcase_add_test (c, nothing_is_measured_while_the_setting_is_off);
  tcase_add_test (c, run_time_of_earlier_steps_is_no_wait);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
