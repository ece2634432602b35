/* Upstreams get another owner while tasks run there: the runs must go on under
   the next owner, or be stopped.  Each test causes one fault.  */
#include "config.h"
#include "harness.h"
#include "owner_fixture.h"

#include <string.h>

/* Two owners of the same upstreams, one after the other, and the connection
   between the two.  */
typedef struct
{
  fixture fx;              /* with the first owner */
  mm_owner *next;          /* the second owner */
  bool disconnected;       /* requests between the owners are lost */
  mm_time_ms requested_ms; /* when the pending request was sent, 0: none */
  char upstream[32];       /* name of the upstream in the pending request */
  mm_found_run found;      /* found run that the pending request is about */
  /* Claimed tasks that are under way to the second owner.  */
  mm_work *claimed[2];
  mm_task_request claimed_requests[2];
  int n_claimed;
  mm_time_ms claimed_ms; /* when the last of them was claimed */
  int n_held_up;         /* cancelled tasks that never arrived there */
} succession;

#define REQUEST_MS 5 /* time until a request arrives */

/* Handles a run that was found: if the first owner has the task of that run,
   the task is transferred to the second owner.  */
static void
on_found (void *ctx, const mm_found_run *r)
{
  succession *s = ctx;
  mm_task_request t;
  mm_work *w = s->disconnected ? NULL : mm_owner_claim (s->fx.owner, r, &t);
  if (w)
    mm_owner_transfer (
        s->fx.owner, w,
        mm_owner_submit (s->next, &t, mm_owner_transferred_end, w));
}

/* Keeps a found run; succession_run() handles the run REQUEST_MS later.  */
static void
on_found_later (void *ctx, const mm_found_run *r)
{
  succession *s = ctx;
  s->requested_ms = fakes_now (s->fx.upstreams);
  g_strlcpy (s->upstream, r->upstream, sizeof s->upstream);
  s->found = *r;
  s->found.upstream = s->upstream;
}

/* Claims a found run; succession_run() transfers its task REQUEST_MS later. */
static void
on_found_transfer_later (void *ctx, const mm_found_run *r)
{
  succession *s = ctx;
  int i = s->n_claimed;
  s->claimed[i] = mm_owner_claim (s->fx.owner, r, &s->claimed_requests[i]);
  s->n_claimed += s->claimed[i] != NULL;
  s->claimed_ms = fakes_now (s->fx.upstreams);
}

/* Transfers the claimed tasks to the second owner.  */
static void
transfer_claimed (succession *s)
{
  for (int i = 0; i < s->n_claimed; i++)
    mm_owner_transfer (s->fx.owner, s->claimed[i],
                       mm_owner_submit (s->next, &s->claimed_requests[i],
                                        mm_owner_transferred_end,
                                        s->claimed[i]));
  s->n_claimed = 0;
}

/* Cancels a transferred task at the second owner.  */
static void
on_cancel_transferred (void *ctx, void *transfer)
{
  mm_owner_cancel (((succession *)ctx)->next, transfer);
}

/* Creates both owners without upstreams.  @disconnected: the owners cannot
   transfer runs.  */
static void
succession_init (succession *s, bool disconnected)
{
  memset (s, 0, sizeof *s);
  s->fx = fixture_create ();
  s->disconnected = disconnected;
  mm_exec_port port = fakes_port (s->fx.upstreams);
  s->next = mm_owner_create (&port);
  mm_owner_transfer_port l
      = { .found = on_found, .cancel = on_cancel_transferred, .ctx = s };
  mm_owner_set_transfer_port (s->fx.owner, &l);
  mm_owner_set_transfer_port (s->next, &l);
}

/* Advances the clock and ticks both owners.  */
static void
succession_run (succession *s, mm_time_ms ms)
{
  for (mm_time_ms t = 0; t < ms; t++)
    {
      fakes_run (s->fx.upstreams, s->fx.owner, 1);
      mm_owner_tick (s->next);
      if (fakes_now (s->fx.upstreams) - s->claimed_ms >= REQUEST_MS)
        transfer_claimed (s);
      if (!s->requested_ms
          || fakes_now (s->fx.upstreams) - s->requested_ms < REQUEST_MS)
        continue;
      s->requested_ms = 0;
      on_found (s, &s->found);
    }
}

static void
succession_clear (succession *s)
{
  mm_owner_destroy (s->next);
  fixture_destroy (&s->fx);
}

/* The store assigns an upstream to another instance while tasks run there, as
   when a membership is revoked.  If the next owner stopped the runs, the
   callers would have to send their jobs again.  The next owner must take the
   runs over instead, so that each task runs once, to its end.  A task whose
   caller leaves meanwhile must be stopped at the next owner.  */
START_TEST (runs_go_on_under_the_next_owner)
{
  succession s;
  succession_init (&s, false);
  fake *a = fixture_add (&s.fx, "a");
  succession_run (&s, 10);
  outcome r[2];
  submit (&s.fx, &r[0], "stays", 0, 600);
  submit (&s.fx, &r[1], "leaves", 0, 3000);
  succession_run (&s, 100);
  mm_owner_add_upstream (s.next, fake_info (a), 6);
  succession_run (&s, 100);
  ck_assert_uint_eq (fake_running (a), 2);
  mm_owner_cancel (s.fx.owner, r[1].work);
  succession_run (&s, 200);
  ck_assert_uint_eq (fake_running (a), 1);
  succession_run (&s, 400);
  ck_assert_uint_eq (r[0].answers, 1);
  ck_assert_int_eq (r[0].how, MM_END_DONE);
  ck_assert_uint_eq (r[1].answers, 0);
  ck_assert_uint_eq (fakes_count (s.fx.upstreams).starts, 2);
  assert_invariants (&s.fx);
  succession_clear (&s);
}
END_TEST

/* Handles a run that the first owner has found, as on_found() does for the
   second one.  */
static void
on_found_back (void *ctx, const mm_found_run *r)
{
  succession *s = ctx;
  mm_task_request t;
  mm_work *w = mm_owner_claim (s->next, r, &t);
  if (w)
    mm_owner_transfer (
        s->next, w,
        mm_owner_submit (s->fx.owner, &t, mm_owner_transferred_end, w));
}

/* Guards against a run that no owner renews: it passes to a second owner and
   back while the first one still has the session in which it started it.  */
START_TEST (run_that_passes_away_and_back_goes_on)
{
  succession s;
  succession_init (&s, false);
  fake *a = fixture_add (&s.fx, "a");
  mm_owner_transfer_port l
      = { .found = on_found_back, .cancel = on_cancel_transferred, .ctx = &s };
  mm_owner_set_transfer_port (s.fx.owner, &l);
  succession_run (&s, 10);
  outcome r;
  submit (&s.fx, &r, "returns", 0, 2000);
  succession_run (&s, 100);
  mm_owner_add_upstream (s.next, fake_info (a), 6);
  succession_run (&s, 10);
  /* The claim of the run has ended that session.  */
  ck_assert (mm_owner_fenced (s.fx.owner, "a"));
  mm_owner_raise_fence (s.fx.owner, "a", 7);
  mm_owner_add_upstream (s.fx.owner, fake_info (a), 7);
  succession_run (&s, 2500);
  ck_assert_uint_eq (r.answers, 1);
  ck_assert_int_eq (r.how, MM_END_DONE);
  ck_assert_uint_eq (fake_starts (a), 1);
  assert_invariants (&s.fx);
  succession_clear (&s);
}
END_TEST

/* The next owner has taken a run over, and its first hold afterwards gets no
   answer.  That owner has not renewed the lease yet, but must not conclude
   that the lease has expired: the task would be started again elsewhere while
   the run goes on under the lease from the previous owner.  */
START_TEST (run_taken_over_is_not_lost_while_its_first_lease_lasts)
{
  succession s;
  succession_init (&s, false);
  fake *a = fixture_add (&s.fx, "a");
  succession_run (&s, 10);
  outcome r;
  submit (&s.fx, &r, "leased", 0, 700);
  succession_run (&s, 100);
  mm_owner_add_upstream (s.next, fake_info (a), 6);
  mm_owner_transfer_port l = { .found = on_found_later,
                               .cancel = on_cancel_transferred,
                               .ctx = &s };
  mm_owner_set_transfer_port (s.next, &l);
  /* The hold that finds the run is in flight; the one after it is lost.  */
  fake_mode_of (a)->lose_holds = 1;
  succession_run (&s, 400);
  ck_assert_uint_eq (r.answers, 0);
  succession_run (&s, 600);
  ck_assert_uint_eq (r.answers, 1);
  ck_assert_int_eq (r.how, MM_END_DONE);
  assert_invariants (&s.fx);
  succession_clear (&s);
}
END_TEST

/* The next owner finds a run whose start order, from the previous owner, has
   no answer yet.  If the previous owner ended the task then, its run would
   keep a pointer to the freed task.  */
START_TEST (task_claimed_before_its_start_is_answered_ends_once)
{
  succession s;
  succession_init (&s, false);
  fake *a = fixture_add (&s.fx, "a");
  succession_run (&s, 10);
  outcome r[3];
  /* A hold of the first owner waits for the end of this task.  */
  submit (&s.fx, &r[2], "before", 0, 900);
  succession_run (&s, 50);
  fake_mode_of (a)->start_answer_delay_ms = 20;
  submit (&s.fx, &r[0], "claimed", 0, 600);
  succession_run (&s, 5);
  mm_owner_add_upstream (s.next, fake_info (a), 6);
  succession_run (&s, 10);
  fixture_add (&s.fx, "b");
  succession_run (&s, 50);
  submit (&s.fx, &r[1], "later", 0, 600);
  succession_run (&s, 2000);
  for (int i = 0; i < 3; i++)
    ck_assert_uint_eq (r[i].answers, 1);
  ck_assert_int_eq (r[1].how, MM_END_DONE);
  assert_invariants (&s.fx);
  succession_clear (&s);
}
END_TEST

/* Guards against a run that no owner claims, because the next owner requests
   it before its start is answered.  */
START_TEST (run_requested_before_its_start_is_answered_goes_on)
{
  succession s;
  succession_init (&s, false);
  fake *a = fixture_add (&s.fx, "a");
  succession_run (&s, 10);
  fake_mode_of (a)->start_answer_delay_ms = 20;
  outcome r;
  submit (&s.fx, &r, "early", 0, 600);
  succession_run (&s, 5);
  ck_assert_uint_eq (fake_running (a), 1);
  mm_owner_add_upstream (s.next, fake_info (a), 6);
  succession_run (&s, 1200);
  ck_assert_uint_eq (r.answers, 1);
  ck_assert_int_eq (r.how, MM_END_DONE);
  ck_assert_uint_eq (fake_starts (a), 1);
  assert_invariants (&s.fx);
  succession_clear (&s);
}
END_TEST

/* The same, with a previous owner that was refused before that request, so
   that its session has ended already.  */
START_TEST (run_requested_after_the_session_has_ended_goes_on)
{
  succession s;
  succession_init (&s, false);
  fake *a = fixture_add (&s.fx, "a");
  succession_run (&s, 10);
  outcome r, refused;
  fake_mode_of (a)->start_answer_delay_ms = 40;
  submit (&s.fx, &r, "early", 0, 600);
  succession_run (&s, 5);
  mm_owner_transfer_port l = { .found = on_found_later,
                               .cancel = on_cancel_transferred,
                               .ctx = &s };
  mm_owner_set_transfer_port (s.next, &l);
  mm_owner_add_upstream (s.next, fake_info (a), 6);
  succession_run (&s, 2);
  fake_mode_of (a)->start_answer_delay_ms = 0;
  submit (&s.fx, &refused, "refused", 0, 100);
  succession_run (&s, 3);
  ck_assert (mm_owner_fenced (s.fx.owner, "a"));
  ck_assert_int_ne (s.requested_ms, 0);
  succession_run (&s, 1200);
  ck_assert_uint_eq (r.answers, 1);
  ck_assert_int_eq (r.how, MM_END_DONE);
  ck_assert_uint_eq (fake_starts (a), 1);
  assert_invariants (&s.fx);
  succession_clear (&s);
}
END_TEST

/* Lets a run end at various moments while its upstream gets another owner,
   beside a run that goes on.  Both must be answered as done.  */
static void
end_while_owner_changes (void (*found) (void *ctx, const mm_found_run *r))
{
  for (mm_time_ms begins_ms = 80; begins_ms < 120; begins_ms++)
    {
      succession s;
      succession_init (&s, false);
      fake *a = fixture_add (&s.fx, "a");
      mm_owner_transfer_port l
          = { .found = found, .cancel = on_cancel_transferred, .ctx = &s };
      mm_owner_set_transfer_port (s.next, &l);
      succession_run (&s, 10);
      outcome r[2];
      submit (&s.fx, &r[0], "ends", 0, 100);
      submit (&s.fx, &r[1], "stays", 0, 600);
      succession_run (&s, begins_ms);
      mm_owner_add_upstream (s.next, fake_info (a), 6);
      succession_run (&s, 1200);
      for (int i = 0; i < 2; i++)
        {
          ck_assert_uint_eq (r[i].answers, 1);
          ck_assert_msg (r[i].how == MM_END_DONE, "task %d, after %d ms: %d",
                         i, (int)begins_ms, (int)r[i].how);
        }
      ck_assert_uint_eq (fake_starts (a), 2);
      assert_invariants (&s.fx);
      succession_clear (&s);
    }
}

/* Guards against the loss of an end that the previous owner reads just after
   the next one has claimed another run there.  */
START_TEST (run_that_ends_as_the_next_owner_begins_is_done)
{
  end_while_owner_changes (on_found);
}
END_TEST

/* Guards against the loss of an end that the next owner reads before the task
   of the run that it found arrives.  */
START_TEST (run_that_ends_before_its_task_is_transferred_is_done)
{
  end_while_owner_changes (on_found_transfer_later);
}
END_TEST

/* Claims a found run, whose task never arrives at the second owner.  */
static void
on_found_held_up (void *ctx, const mm_found_run *r)
{
  succession *s = ctx;
  mm_task_request t;
  mm_work *w = mm_owner_claim (s->fx.owner, r, &t);
  if (w)
    mm_owner_transfer (s->fx.owner, w, &s->n_held_up);
}

static void
on_cancel_held_up (void *ctx, void *transfer)
{
  succession *s = ctx;
  ck_assert_ptr_eq (transfer, &s->n_held_up);
  s->n_held_up++;
}

/* Guards against the loss of an end that the previous owner reads while its
   task is under way to the next one, which may have dropped the end by then.
 */
START_TEST (run_that_ends_while_its_task_is_under_way_is_done)
{
  succession s;
  succession_init (&s, false);
  fake *a = fixture_add (&s.fx, "a");
  mm_owner_transfer_port l = { .found = on_found_held_up, .ctx = &s };
  mm_owner_set_transfer_port (s.next, &l);
  l.cancel = on_cancel_held_up;
  mm_owner_set_transfer_port (s.fx.owner, &l);
  succession_run (&s, 10);
  outcome r;
  submit (&s.fx, &r, "ends", 0, 100);
  succession_run (&s, 70);
  mm_owner_add_upstream (s.next, fake_info (a), 6);
  succession_run (&s, 100);
  ck_assert_uint_eq (r.answers, 1);
  ck_assert_int_eq (r.how, MM_END_DONE);
  ck_assert_int_eq (s.n_held_up, 1);
  assert_invariants (&s.fx);
  succession_clear (&s);
}
END_TEST

/* Handles a run that the first owner has found: if the second owner has the
   task of that run, the task is transferred to the first owner.  */
static void
on_found_by_first (void *ctx, const mm_found_run *r)
{
  succession *s = ctx;
  mm_task_request t;
  mm_work *w = mm_owner_claim (s->next, r, &t);
  if (w)
    mm_owner_transfer (
        s->next, w,
        mm_owner_submit (s->fx.owner, &t, mm_owner_transferred_end, w));
}

/* The answer to a hold that the first owner sent before the change of owner
   lists a run that the next owner has started.  If the first owner took that
   run over, it would lose the run, as it no longer owns the upstream.  */
START_TEST (outranked_owner_claims_nothing_of_the_next)
{
  succession s;
  succession_init (&s, false);
  mm_owner_transfer_port l = { .found = on_found_by_first, .ctx = &s };
  mm_owner_set_transfer_port (s.fx.owner, &l);
  fake *a = fixture_add (&s.fx, "a");
  succession_run (&s, 10);
  outcome before, newer;
  submit (&s.fx, &before, "before", 0, 900);
  succession_run (&s, 50);
  mm_owner_add_upstream (s.next, fake_info (a), 6);
  succession_run (&s, 10);
  memset (&newer, 0, sizeof newer);
  mm_task_request t = fakes_task ("newer", 0, TASK_CPU_MILLI, 400);
  mm_owner_submit (s.next, &t, on_done, &newer);
  succession_run (&s, 1000);
  ck_assert_uint_eq (newer.answers, 1);
  ck_assert_int_eq (newer.how, MM_END_DONE);
  ck_assert_int_eq (before.how, MM_END_DONE);
  ck_assert_uint_eq (fakes_count (s.fx.upstreams).starts, 2);
  assert_invariants (&s.fx);
  succession_clear (&s);
}
END_TEST

/* Guards against a start beside a run of an owner in between: the upstream
   lists that run, and the end of a run from before, in the same answer.  */
START_TEST (task_waits_for_the_run_of_an_owner_in_between)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 10);
  /* Nothing tells the owner of the end of the first task.  */
  fake_mode_of (a)->lose_holds = 1;
  outcome r[3];
  submit (&fx, &r[0], "ends", 0, 100);
  submit (&fx, &r[1], "stays", 0, 2000);
  submit (&fx, &r[2], "waits", 0, 100);
  fixture_run (&fx, 150);
  ck_assert_uint_eq (fake_running (a), 1);
  fake_start_foreign (a, "between", 6, TASK_CPU_MILLI, 500);
  mm_owner_raise_fence (fx.owner, "a", 7);
  fixture_run (&fx, 2500);
  ck_assert_uint_eq (r[0].answers, 1);
  ck_assert_uint_eq (r[2].answers, 1);
  ck_assert_int_eq (r[2].how, MM_END_DONE);
  assert_invariants (&fx);
  fixture_destroy (&fx);
}
END_TEST

/* An owner starts two tasks at the same time on an upstream that already has
   another owner, and both starts are refused.  The first refusal ends the
   session.  The second refusal must count as well; otherwise its task, which
   has not run, is taken for lost.  Both tasks must run elsewhere at once.  */
START_TEST (starts_refused_together_both_run_elsewhere)
{
  succession s;
  succession_init (&s, false);
  fake *a = fixture_add (&s.fx, "a");
  succession_run (&s, 10);
  mm_owner_add_upstream (s.next, fake_info (a), 6);
  succession_run (&s, 10);
  outcome r[2];
  submit (&s.fx, &r[0], "both", 0, 100);
  submit (&s.fx, &r[1], "both", 1, 100);
  fixture_add (&s.fx, "b");
  succession_run (&s, 250);
  for (int i = 0; i < 2; i++)
    {
      ck_assert_uint_eq (r[i].answers, 1);
      ck_assert_int_eq (r[i].how, MM_END_DONE);
      ck_assert_str_eq (r[i].upstream, "b");
    }
  assert_invariants (&s.fx);
  succession_clear (&s);
}
END_TEST

/* An upstream gets another owner, and the two owners are disconnected.  The
   next owner stops the runs that no instance claims.  The first owner must
   notice the stop, or give the run up, well before the caller sends the job
   again.  */
START_TEST (unclaimed_runs_are_stopped)
{
  succession s;
  succession_init (&s, true);
  fake *a = fixture_add (&s.fx, "a");
  succession_run (&s, 10);
  outcome r;
  submit (&s.fx, &r, "lost", 0, 3000);
  succession_run (&s, 100);
  mm_owner_add_upstream (s.next, fake_info (a), 6);
  succession_run (&s, MM_ADOPT_TIMEOUT_MS + 100);
  ck_assert_uint_eq (fake_running (a), 0);
  succession_run (&s, MM_HOLD_WAIT_MS + MM_ORPHAN_TIMEOUT_MS + 50);
  ck_assert_uint_eq (r.answers, 1);
  ck_assert_int_eq (r.how, MM_END_STOPPED);
  assert_invariants (&s.fx);
  succession_clear (&s);
}
END_TEST

/* Guards against a run that is reported as lost at the end of its own lease
   while the lease of the previous owner, which covers it too, still holds.  */
START_TEST (run_is_not_lost_before_the_lease_of_the_previous_owner_has_ended)
{
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fake_renew_foreign (a, 4);
  fixture_run (&fx, 10);
  mm_time_ms awaited_ms
      = fakes_now (fx.upstreams) + MM_LEASE_MIN_MS + 50 - MM_RUN_LIMIT_MS;
  outcome r = { 0 };
  mm_task_request t = fakes_task ("job", 0, TASK_CPU_MILLI, 5000);
  t.awaited_ms = &awaited_ms;
  r.work = mm_owner_submit (fx.owner, &t, on_done, &r);
  fixture_run (&fx, 20);
  fake_mode_of (a)->unresponsive = true;
  for (int ms = 0; ms < 1500; ms++)
    {
      fixture_run (&fx, 1);
      ck_assert (r.answers == 0 || fake_running (a) == 0);
    }
  fixture_destroy (&fx);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("succession");
  TCase *c = tcase_create ("faults");
  tcase_add_test (c, runs_go_on_under_the_next_owner);
  tcase_add_test (c, run_that_passes_away_and_back_goes_on);
  tcase_add_test (c, run_taken_over_is_not_lost_while_its_first_lease_lasts);
  tcase_add_test (c, task_claimed_before_its_start_is_answered_ends_once);
  tcase_add_test (c, run_requested_before_its_start_is_answered_goes_on);
  tcase_add_test (c, run_requested_after_the_session_has_ended_goes_on);
  tcase_add_test (c, run_that_ends_as_the_next_owner_begins_is_done);
  tcase_add_test (c, run_that_ends_before_its_task_is_transferred_is_done);
  tcase_add_test (c, run_that_ends_while_its_task_is_under_way_is_done);
  tcase_add_test (c, outranked_owner_claims_nothing_of_the_next);
  tcase_add_test (c, task_waits_for_the_run_of_an_owner_in_between);
  tcase_add_test (c, starts_refused_together_both_run_elsewhere);
  tcase_add_test (c, unclaimed_runs_are_stopped);
  tcase_add_test (
      c, run_is_not_lost_before_the_lease_of_the_previous_owner_has_ended);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
