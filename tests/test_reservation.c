/* Tests of late binding: reservations at owners, the set of reservations of a
   task, and both together while instances and links fail.  */
#include "config.h"
#include "harness.h"
#include "mm_evacuations.h"
#include "mm_metrics.h"
#include "mm_owner_priv.h"
#include "mm_reservation.h"
#include "mm_reservation_set.h"
#include "owner_fixture.h"
#include "resend_fixture.h"

#include <string.h>

enum
{
  RUN_MS = 200,
  READY_MS = 50 /* until new upstreams are in use */
};

/* ---- reservations at an owner ------------------------------------------- */

/* A reservation and what became of it.  */
typedef struct
{
  outcome out; /* .work: its handle */
  uint32_t offers;
} reserved;

static void
on_offered (void *ctx)
{
  ((reserved *)ctx)->offers++;
}

static void
on_reserved_done (void *ctx, const mm_work_result *res)
{
  on_done (&((reserved *)ctx)->out, res);
}

static void
reserve_request (fixture *fx, reserved *r, const mm_task_request *t)
{
  memset (r, 0, sizeof *r);
  r->out.work
      = mm_owner_reserve (fx->owner, t, 4, on_offered, on_reserved_done, r);
}

static mm_task_request
request (const char *job, mm_time_ms within_ms)
{
  mm_task_request t = fakes_task (job, 0, TASK_CPU_MILLI, RUN_MS);
  t.start_within_ms = within_ms;
  return t;
}

static void
reserve (fixture *fx, reserved *r, const char *job)
{
  mm_task_request t = request (job, MM_RESERVATION_MS);
  reserve_request (fx, r, &t);
}

static void
accept (fixture *fx, reserved *r, const char *job)
{
  mm_task_request t = request (job, 0);
  mm_owner_accept (fx->owner, r->out.work, t.payload);
}

/* Returns how many tasks fit, as reported.  */
static uint32_t
free_places (const fixture *fx)
{
  mm_capacity_report r = mm_owner_report (fx->owner, "svc");
  return mm_dispatch_count_fits (&r, TASK_CPU_MILLI, MM_DISPATCH_MOST_FITS);
}

/* Returns an owner with one upstream, on which two tasks fit.  */
static fixture
owner_of_one (fake **x)
{
  fixture fx = fixture_create ();
  *x = fixture_add (&fx, "a");
  fixture_run (&fx, READY_MS);
  return fx;
}

/* Guards against a start without ACCEPT, and against an offer whose capacity
   others use: reports and placements must not see it.  */
START_TEST (capacity_of_an_offer_is_set_aside_until_it_is_accepted)
{
  fake *x;
  fixture fx = owner_of_one (&x);
  reserved a, b, c;
  outcome other;
  reserve (&fx, &a, "a");
  reserve (&fx, &b, "b");
  reserve (&fx, &c, "c");
  ck_assert (a.offers == 1 && b.offers == 1 && c.offers == 0);
  ck_assert_uint_eq (free_places (&fx), 0);
  submit (&fx, &other, "other", 0, RUN_MS);
  fixture_run (&fx, MM_EXEC_TICK_MS);
  ck_assert_uint_eq (fakes_count (fx.upstreams).starts, 0);
  accept (&fx, &a, "a");
  accept (&fx, &b, "b");
  fixture_run (&fx, RUN_MS / 2);
  ck_assert_uint_eq (fake_running (x), 2);
  fixture_run (&fx, 2 * RUN_MS);
  ck_assert (a.out.how == MM_END_DONE && b.out.how == MM_END_DONE);
  ck_assert (c.out.answers == 1 && c.out.how == MM_END_NOT_RUN);
  assert_invariants (&fx);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against capacity that a home which is gone or stands still keeps from
   others.  The end of an offer goes to the next reservation.  */
START_TEST (offer_that_is_not_accepted_ends_as_not_run)
{
  fake *x;
  fixture fx = owner_of_one (&x);
  reserved a, b, c;
  reserve (&fx, &a, "a");
  reserve (&fx, &b, "b");
  fixture_run (&fx, MM_OFFER_MS / 2);
  reserve (&fx, &c, "c");
  fixture_run (&fx, MM_OFFER_MS / 2 + MM_EXEC_TICK_MS);
  ck_assert (a.out.answers == 1 && a.out.how == MM_END_NOT_RUN);
  ck_assert (b.out.answers == 1 && b.out.how == MM_END_NOT_RUN);
  ck_assert_uint_eq (c.offers, 1);
  mm_owner_withdraw (fx.owner, c.out.work);
  ck_assert_uint_eq (free_places (&fx), 2);
  fixture_run (&fx, RUN_MS);
  ck_assert_uint_eq (fakes_count (fx.upstreams).starts, 0);
  fixture_destroy (&fx);
}
END_TEST

/* OFFER crosses CANCEL: guards against capacity that stays set aside, or is
   not used before the next tick.  */
START_TEST (capacity_of_a_cancelled_offer_is_offered_at_once)
{
  fake *x;
  fixture fx = owner_of_one (&x);
  reserved a, b, c, d;
  reserve (&fx, &a, "a");
  reserve (&fx, &b, "b");
  reserve (&fx, &c, "c");
  reserve (&fx, &d, "d");
  mm_owner_withdraw (fx.owner, d.out.work);
  mm_owner_withdraw (fx.owner, a.out.work);
  ck_assert_uint_eq (c.offers, 1);
  ck_assert_uint_eq (a.out.answers + d.out.answers, 0);
  fixture_destroy (&fx);
}
END_TEST

/* Ways in which an upstream ceases to take the task of an offer.  */
typedef enum
{
  REMOVED,
  RELEASED,
  DRAINS,
  FENCED,
  CRASHES,
  EXCLUDED,
  EVACUATED,
  SHRINKS,
  WAYS
} way;

static void
cease (fixture *fx, fake *x, way w, mm_evacuations *e)
{
  const char *name = fake_info (x)->name;
  mm_owned_upstream *owned
      = g_hash_table_lookup (fx->owner->owned_upstreams, name);
  mm_stream_item item
      = { .key = (char *)"evacuate", .evacuated = (char *)"dc1" };
  switch (w)
    {
    case REMOVED:
      mm_owner_remove_upstream (fx->owner, name);
      break;
    case RELEASED:
      mm_owner_begin_handover (fx->owner, name);
      mm_owner_set_released (fx->owner, name);
      break;
    case DRAINS:
      fake_set_draining (x, true);
      mm_owner_update_upstream (fx->owner, fake_info (x));
      break;
    case FENCED:
      fake_renew_foreign (x, 9);
      break;
    case CRASHES:
      fake_restart (x);
      break;
    case EXCLUDED:
      for (uint32_t i = 0; i < MM_BREAKER_FAILURES; i++)
        mm_breaker_record (&owned->breaker, false, mm_clock_now_ms ());
      break;
    case EVACUATED:
      mm_evacuations_read_item (e, &item);
      mm_evacuations_read_to (e, 1, mm_clock_now_ms (), NULL);
      break;
    case SHRINKS:
      fake_set_listed_cpu (x, TASK_CPU_MILLI / 2);
      mm_owner_update_upstream (fx->owner, fake_info (x));
      break;
    case WAYS:
      break;
    }
}

/* Offers capacity at an upstream that ceases to take the task, and accepts
   @after_ms later.  With @elsewhere, another upstream has capacity by then. */
static reserved
accept_after (way w, mm_time_ms after_ms, bool elsewhere, uint32_t *n_starts)
{
  fake *x;
  fixture fx = owner_of_one (&x);
  char *dcs[] = { (char *)"dc1", (char *)"dc2", NULL };
  mm_evacuations *e = mm_evacuations_create (dcs);
  mm_owner_set_evacuations (fx.owner, e);
  reserved r;
  reserve (&fx, &r, "a");
  ck_assert_uint_eq (r.offers, 1);
  cease (&fx, x, w, e);
  if (elsewhere)
    {
      fake *y = fakes_add (fx.upstreams, "b", UPSTREAM_CPU_MILLI);
      fake_set_datacentre (y, "dc2");
      mm_owner_add_upstream (fx.owner, fake_info (y), 5);
    }
  fixture_run (&fx, after_ms);
  /* An owner without capacity that is not evacuated returns it before.  */
  if (r.out.work)
    accept (&fx, &r, "a");
  fixture_run (&fx, 2 * RUN_MS);
  ck_assert_uint_eq (r.offers, 1);
  ck_assert_uint_eq (mm_owner_count_reservations (fx.owner).offers, 0);
  *n_starts = fakes_count (fx.upstreams).starts;
  assert_invariants (&fx);
  fixture_destroy (&fx);
  mm_evacuations_destroy (e);
  return r;
}

/* Guards against a start on an upstream that was handed over, drains, is
   evacuated or has failed since the offer, and against an accepted task that
   is forgotten: it starts elsewhere or is returned.  */
START_TEST (accepted_task_whose_upstream_ceased_waits_for_another)
{
  uint32_t starts;
  reserved r = accept_after ((way)_i, MM_OFFER_MS - 5, true, &starts);
  ck_assert_msg (r.out.how == MM_END_DONE && starts == 1, "way %d", _i);
  ck_assert_str_eq (r.out.upstream, "b");
  for (mm_time_ms after_ms = 0; after_ms < MM_OFFER_MS; after_ms += 7)
    {
      r = accept_after ((way)_i, after_ms, false, &starts);
      ck_assert_msg (r.out.answers == 1 && r.out.how == MM_END_NOT_RUN
                         && starts == 0,
                     "way %d after %d ms", _i, (int)after_ms);
    }
}
END_TEST

/* Guards against an offer that keeps its capacity for longer because it was
   dropped and set aside elsewhere.  */
START_TEST (offer_that_moved_to_another_upstream_ends_in_time)
{
  fake *x;
  fixture fx = owner_of_one (&x);
  fixture_add (&fx, "b");
  fixture_run (&fx, READY_MS);
  reserved r;
  reserve (&fx, &r, "a");
  mm_time_ms made_ms = fakes_now (fx.upstreams);
  fixture_run (&fx, MM_OFFER_MS / 2);
  const mm_work *w = r.out.work;
  mm_owner_remove_upstream (
      fx.owner, mm_exec_info (w->reservation->set_aside_at->exec)->name);
  fixture_run (&fx, MM_OFFER_MS);
  ck_assert (r.offers == 1 && r.out.how == MM_END_NOT_RUN);
  ck_assert_int_le (r.out.ended_ms, made_ms + MM_OFFER_MS + MM_EXEC_TICK_MS);
  ck_assert_uint_eq (free_places (&fx), 2);
  fixture_destroy (&fx);
}
END_TEST

/* The same task is submitted at another home: guards against a second start
   while the first run goes on, also when both homes have an offer.  */
START_TEST (task_that_runs_here_is_offered_no_capacity)
{
  fake *x;
  fixture fx = owner_of_one (&x);
  reserved first, second, third;
  reserve (&fx, &first, "a");
  reserve (&fx, &second, "a");
  ck_assert (first.offers == 1 && second.offers == 1);
  accept (&fx, &first, "a");
  accept (&fx, &second, "a");
  reserve (&fx, &third, "a");
  fixture_run (&fx, RUN_MS / 2);
  ck_assert_uint_eq (third.offers, 0);
  ck_assert_uint_eq (fakes_count (fx.upstreams).starts, 1);
  ck_assert (second.out.answers == 1 && second.out.how == MM_END_NOT_RUN);
  fixture_run (&fx, 2 * RUN_MS);
  ck_assert (first.out.how == MM_END_DONE);
  assert_invariants (&fx);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against reservations that overtake urgent tasks, and against owners
   that look four times as loaded as they are.  */
START_TEST (reservations_wait_in_the_order_of_the_queue)
{
  fake *x;
  fixture fx = owner_of_one (&x);
  outcome running[2];
  for (uint32_t i = 0; i < 2; i++)
    submit (&fx, &running[i], "run", i, RUN_MS);
  reserved low[4], urgent;
  for (int i = 0; i < 4; i++)
    {
      char job[8];
      g_snprintf (job, sizeof job, "low%d", i);
      mm_task_request t = request (job, 2 * RUN_MS);
      t.priority = 2;
      reserve_request (&fx, &low[i], &t);
    }
  mm_task_request t = request ("urgent", 2 * RUN_MS);
  reserve_request (&fx, &urgent, &t);
  mm_capacity_report report = mm_owner_report (fx.owner, "svc");
  ck_assert_uint_eq (report.waiting, 1);
  ck_assert_uint_eq (report.waiting_by_priority[2], 1);
  ck_assert_uint_eq (mm_owner_count_reservations (fx.owner).waiting, 5);
  while (!urgent.offers && !low[0].offers)
    fixture_run (&fx, 1);
  ck_assert_uint_eq (urgent.offers, 1);
  ck_assert_uint_eq (low[1].offers, 0);
  fixture_destroy (&fx);
}
END_TEST

/* ---- the set of reservations of a task ---------------------------------- */

enum
{
  OWNERS = 3
};

/* Owners that do what a test says.  */
typedef struct
{
  bool connected[OWNERS];
  bool offers_at_once; /* the first owner */
  mm_work_offered offered;
  mm_work_done done;
  void *reservation[OWNERS]; /* context of the callbacks, NULL: none open */
  int accepted;              /* -1: none */
  uint32_t n_accepted, n_cancelled, ends;
  mm_end how;
  mm_reservation_set *set;
} homes;

static void *
fake_reserve (void *ctx, const char *owner, const mm_task_request *t,
              uint32_t copies, mm_work_offered offered, mm_work_done done,
              void *done_ctx)
{
  homes *h = ctx;
  int i = owner ? *owner - '0' : 0;
  ck_assert_uint_eq (copies, OWNERS);
  if (!h->connected[i])
    return NULL;
  h->offered = offered;
  h->done = done;
  h->reservation[i] = done_ctx;
  if (i == 0 && h->offers_at_once)
    offered (done_ctx);
  return &h->reservation[i];
}

static void
fake_accept (void *ctx, const char *owner, void *handle, const char *payload)
{
  homes *h = ctx;
  h->accepted = (int)((void **)handle - h->reservation);
  h->n_accepted++;
  ck_assert_str_eq (payload, "payload");
}

static void
fake_cancel (void *ctx, const char *owner, void *handle)
{
  homes *h = ctx;
  *(void **)handle = NULL;
  h->n_cancelled++;
}

static void
on_set_done (void *ctx, const mm_work_result *res)
{
  homes *h = ctx;
  h->ends++;
  h->how = res->how;
  mm_reservation_set_destroy (g_steal_pointer (&h->set));
}

static mm_time_ms now_ms;

static mm_time_ms
test_clock (void *ctx)
{
  return now_ms;
}

static void
homes_create (homes *h, bool offers_at_once)
{
  static const char *const owners[OWNERS] = { NULL, "1", "2" };
  now_ms = 1000;
  mm_clock_set_source (test_clock, NULL);
  *h = (homes){ .connected = { true, true, true },
                .offers_at_once = offers_at_once,
                .accepted = -1 };
  mm_reservation_port port = { .reserve = fake_reserve,
                               .accept = fake_accept,
                               .cancel = fake_cancel,
                               .ctx = h };
  mm_task_request t = { .payload = "payload" };
  h->set
      = mm_reservation_set_create (&port, &t, owners, OWNERS, on_set_done, h);
  ck_assert_ptr_nonnull (h->set);
}

static void
homes_destroy (homes *h)
{
  mm_reservation_set_destroy (h->set);
  for (int i = 0; i < OWNERS; i++)
    ck_assert_ptr_null (h->reservation[i]);
  mm_clock_set_source (NULL, NULL);
}

/* Lets an owner end the reservation.  */
static void
end (homes *h, int owner, mm_end how)
{
  mm_work_result r = { .how = how };
  h->done (g_steal_pointer (&h->reservation[owner]), &r);
}

/* Guards against a task that is bound to two owners.  */
START_TEST (only_the_first_offer_is_accepted)
{
  homes h;
  homes_create (&h, false);
  void *crossing = h.reservation[2];
  ck_assert (!mm_reservation_set_accepted (h.set));
  h.offered (h.reservation[1]);
  h.offered (crossing); /* its CANCEL is under way */
  ck_assert (mm_reservation_set_accepted (h.set));
  ck_assert (h.accepted == 1 && h.n_accepted == 1 && h.n_cancelled == 2);
  now_ms += 10 * MM_RESERVATION_MS;
  ck_assert (!mm_reservation_set_is_due (h.set, now_ms));
  end (&h, 1, MM_END_DONE);
  ck_assert (h.ends == 1 && h.how == MM_END_DONE);
  homes_destroy (&h);
}
END_TEST

/* Guards against reservations that are made beside an accepted one.  */
START_TEST (offer_during_the_call_ends_the_search)
{
  homes h;
  homes_create (&h, true);
  ck_assert (h.accepted == 0 && h.n_accepted == 1 && h.n_cancelled == 0);
  ck_assert (!h.reservation[1] && !h.reservation[2]);
  end (&h, 0, MM_END_UNKNOWN); /* link lost after ACCEPT: in doubt */
  ck_assert (h.ends == 1 && h.how == MM_END_UNKNOWN);
  homes_destroy (&h);
}
END_TEST

/* Link or owner lost before ACCEPT: guards against a task that ends while
   reservations are open, and against one that is dispatched again while its
   instance handles a stall.  */
START_TEST (task_is_not_run_once_all_reservations_have_ended)
{
  homes h;
  homes_create (&h, false);
  end (&h, 0, MM_END_NOT_RUN);
  end (&h, 2, MM_END_NOT_RUN);
  ck_assert (!mm_reservation_set_is_due (h.set, now_ms));
  end (&h, 1, MM_END_NOT_RUN);
  ck_assert_uint_eq (h.ends, 0);
  ck_assert (mm_reservation_set_is_due (h.set, now_ms));
  mm_reservation_set_expire (h.set);
  ck_assert (h.ends == 1 && h.how == MM_END_NOT_RUN && h.n_cancelled == 0);
  homes_destroy (&h);
}
END_TEST

/* Guards against a task that waits for owners without capacity for ever.  */
START_TEST (reservations_without_an_offer_are_cancelled)
{
  homes h;
  homes_create (&h, false);
  now_ms += MM_RESERVATION_MS - 1;
  ck_assert (!mm_reservation_set_is_due (h.set, now_ms));
  now_ms++;
  ck_assert (mm_reservation_set_is_due (h.set, now_ms));
  mm_reservation_set_expire (h.set);
  ck_assert (h.ends == 1 && h.how == MM_END_NOT_RUN);
  ck_assert (h.n_cancelled == OWNERS && h.n_accepted == 0);
  homes_destroy (&h);
  homes_create (&h, false); /* the job is answered */
  mm_reservation_set_destroy (g_steal_pointer (&h.set));
  ck_assert (h.n_cancelled == OWNERS && h.ends == 0);
  homes_destroy (&h);
}
END_TEST

/* Guards against reservations that all stay in a data centre with long queues
   while another one has capacity, and against distant owners that are chosen
   although their queues are no shorter.  */
START_TEST (owners_that_start_soonest_are_chosen)
{
  mm_dispatch_candidate c[]
      = { { .near = MM_NEAR_FAR,
            .capacity = { .places = 10, .task_ms = 100 } },
          { .near = MM_NEAR_DATACENTRE,
            .capacity = { .places = 10, .task_ms = 100, .waiting = 9 } },
          { .near = MM_NEAR_DATACENTRE,
            .capacity = { .places = 10, .task_ms = 100, .waiting = 2 } },
          { .near = MM_NEAR_FAR,
            .capacity = { .places = 10, .task_ms = 100, .waiting = 2 } },
          { .near = MM_NEAR_SELF },
          { .near = MM_NEAR_DATACENTRE,
            .returned_task = true,
            .capacity = { .places = 5, .task_ms = 100, .waiting = 1 } } };
  size_t chosen[4];
  ck_assert_uint_eq (mm_reservation_choose (c, G_N_ELEMENTS (c), 4, chosen),
                     4);
  ck_assert (chosen[0] == 0 && chosen[1] == 2 && chosen[2] == 5
             && chosen[3] == 3);
}
END_TEST

/* ---- homes, owners and upstreams on one clock ----------------------------
 */

enum
{
  SEEDS = 200,
  UPSTREAMS = 3,
  TASKS_THAT_FIT = 2, /* on each upstream: less than jobs need */
  SUBMIT_EVERY_MS = 20,
  FAULTS_MS = 1000,
  FAULT_EVERY_MS = 25,
  HEAL_MS = 1500,
  END_MS = 6000,
  SURVIVORS = 3
};

static void
kill_one (sim *s)
{
  int alive = 0;
  for (int i = 0; i < SIM_INSTANCES; i++)
    alive += sim_alive (s, i);
  if (alive > SURVIVORS)
    sim_kill (s, sim_random (s, SIM_INSTANCES));
}

static void
cause_fault (sim *s)
{
  int a = sim_random (s, SIM_INSTANCES), b = sim_random (s, SIM_INSTANCES);
  int u = sim_random (s, sim_upstreams (s));
  switch (sim_random (s, 9))
    {
    case 0:
      if (sim_random (s, 4) == 0)
        kill_one (s);
      break;
    case 1:
      sim_freeze (s, a, 1 + sim_random (s, 2 * MM_OFFER_MS), true);
      break;
    case 2:
      sim_freeze (s, a, sim_random (s, 2 * MM_STALL_MS), sim_random (s, 2));
      break;
    case 3:
      sim_freeze_midway (s, a, 1 + sim_random (s, 4 * MM_OFFER_MS));
      break;
    case 4:
      if (a != b)
        sim_close_link (s, a, b, sim_random (s, 2));
      break;
    case 5:
      sim_link_path_to (s, a, b)->delay_ms = 1 + sim_random (s, 200);
      break;
    case 6:
      sim_move (s, u, b, sim_random (s, 400) - 100);
      break;
    case 7:
      sim_break_caller (s, sim_random (s, SIM_JOBS));
      break;
    default:
      *sim_path_to (s, a, u)
          = (sim_path){ .transit_ms = sim_random (s, 2) * sim_random (s, 60),
                        .lost_starts = sim_random (s, 2) / 4.0,
                        .lost_answers = sim_random (s, 2) / 4.0 };
      break;
    }
}

static void
heal (sim *s)
{
  for (int i = 0; i < SIM_INSTANCES; i++)
    for (int k = 0; k < SIM_INSTANCES; k++)
      *sim_link_path_to (s, i, k) = (sim_link_path){ .delay_ms = 1 };
  for (int i = 0; i < SIM_INSTANCES; i++)
    for (int u = 0; u < SIM_UPSTREAMS; u++)
      *sim_path_to (s, i, u) = (sim_path){ 0 };
}

/* Guards against any combination of faults that starts a task that runs only
   once a second time, keeps capacity set aside for longer than an offer lasts,
   or loses a task or capacity.  Without faults each job is done.  */
START_TEST (no_task_is_started_twice_and_nothing_is_lost)
{
  sim *s = sim_create ((uint32_t)_i);
  bool faults = _i > 0;
  uint64_t offers = mm_metrics_counter (MM_CT_OFFERS);
  sim_bind_late (s);
  sim_run_once (s);
  for (int u = 0; u < UPSTREAMS; u++)
    sim_add_small_upstream (s, u, TASKS_THAT_FIT);
  sim_run (s, READY_MS);
  for (int t = 0; t < END_MS; t++)
    {
      if (t < SIM_JOBS * SUBMIT_EVERY_MS && t % SUBMIT_EVERY_MS == 0)
        sim_submit_anywhere (s, t / SUBMIT_EVERY_MS, 50 + sim_random (s, 250));
      if (faults && t < FAULTS_MS && sim_random (s, FAULT_EVERY_MS) == 0)
        cause_fault (s);
      if (t == HEAL_MS)
        heal (s);
      sim_run (s, 1);
      fakes_counts c = fakes_count (sim_fakes (s));
      ck_assert_msg (c.repeated == 0, "seed %d, at %d: started twice", _i, t);
      ck_assert_msg (faults || c.over_capacity == 0, "over capacity");
      ck_assert_msg (sim_overdue_offers (s) == 0,
                     "seed %d, at %d: capacity is set aside for too long", _i,
                     t);
    }
  for (int n = 0; n < SIM_JOBS; n++)
    ck_assert_msg (sim_job_done (s, n), "seed %d: job %d has no end", _i, n);
  ck_assert_msg (sim_reserved (s) == 0, "seed %d: capacity is lost", _i);
  ck_assert_uint_gt (mm_metrics_counter (MM_CT_OFFERS), offers);
  ck_assert (faults || fakes_count (sim_fakes (s)).starts == SIM_JOBS);
  sim_destroy (s);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("reservation");
  TCase *owner = tcase_create ("owner");
  tcase_add_test (owner,
                  capacity_of_an_offer_is_set_aside_until_it_is_accepted);
  tcase_add_test (owner, offer_that_is_not_accepted_ends_as_not_run);
  tcase_add_test (owner, capacity_of_a_cancelled_offer_is_offered_at_once);
  tcase_add_loop_test (
      owner, accepted_task_whose_upstream_ceased_waits_for_another, 0, WAYS);
  tcase_add_test (owner, offer_that_moved_to_another_upstream_ends_in_time);
  tcase_add_test (owner, task_that_runs_here_is_offered_no_capacity);
  tcase_add_test (owner, reservations_wait_in_the_order_of_the_queue);
  suite_add_tcase (s, owner);
  TCase *home = tcase_create ("home");
  tcase_add_test (home, only_the_first_offer_is_accepted);
  tcase_add_test (home, offer_during_the_call_ends_the_search);
  tcase_add_test (home, task_is_not_run_once_all_reservations_have_ended);
  tcase_add_test (home, reservations_without_an_offer_are_cancelled);
  tcase_add_test (home, owners_that_start_soonest_are_chosen);
  suite_add_tcase (s, home);
  TCase *random = tcase_create ("random");
  tcase_set_timeout (random, 60);
  tcase_add_loop_test (random, no_task_is_started_twice_and_nothing_is_lost, 0,
                       SEEDS);
  suite_add_tcase (s, random);
  return h_run_suite (s);
}
