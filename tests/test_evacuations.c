/* Evacuations of data centres: which requests are in force, and that an owner
   and the jobs of an instance follow them.  The tests set the clock.  */
#include "config.h"
#include "harness.h"
#include "mm_evacuations.h"
#include "mm_jobs.h"
#include "mm_suspects.h"
#include "owner_fixture.h"

#include <check.h>
#include <ev.h>
#include <string.h>

static char *datacentres[] = { "dc1", "dc2", "dc3", NULL };

/* ---- requests --------------------------------------------------------- */

/* Reads a record: a request to evacuate @datacentre, or its removal.  */
static void
read_record (mm_evacuations *e, const char *datacentre, bool evacuated)
{
  char *key = g_strdup_printf ("evacuate/%s", datacentre);
  mm_stream_item item
      = { .key = key, .evacuated = evacuated ? (char *)datacentre : NULL };
  mm_evacuations_read_item (e, &item);
  g_free (key);
}

/* Reads a record whose value cannot be read.  */
static void
read_unreadable (mm_evacuations *e, const char *datacentre)
{
  char *key = g_strdup_printf ("evacuate/%s", datacentre);
  mm_stream_item item = { .key = key, .unreadable = true };
  mm_evacuations_read_item (e, &item);
  g_free (key);
}

/* Reads a request, or its removal, at the end of the stream.  */
static void
request (mm_evacuations *e, const char *datacentre, bool evacuated,
         uint64_t offset)
{
  read_record (e, datacentre, evacuated);
  mm_evacuations_read_to (e, offset, mm_clock_now_ms (), NULL);
}

/* Reads the newest record of each key.  @datacentre: the one that is requested
   to be evacuated, or NULL.  */
static void
read_newest (mm_evacuations *e, const char *datacentre, uint64_t offset,
             mm_time_ms as_of_ms)
{
  GHashTable *keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (datacentre)
    {
      read_record (e, datacentre, true);
      g_hash_table_add (keys, g_strdup_printf ("evacuate/%s", datacentre));
    }
  mm_evacuations_read_to (e, offset, as_of_ms, keys);
  g_hash_table_destroy (keys);
}

/* Receives from a peer that only @datacentre is evacuated, or none if NULL. */
static void
receive (mm_evacuations *e, const char *datacentre, uint64_t offset)
{
  mm_evacuation one = { .datacentre = (char *)datacentre, .for_ms = 400 };
  mm_evacuations_view v = { .offset = offset,
                            .age_ms = 100,
                            .evacuations = &one,
                            .n = datacentre ? 1 : 0 };
  mm_evacuations_receive (e, "peer", &v);
}

static void
count_change (void *ctx)
{
  (*(int *)ctx)++;
}

/* Guards against a request that is forgotten, or outlasts its removal, when
   several overlap and one is removed and made again.  */
START_TEST (requests_are_in_force_until_each_is_removed)
{
  mm_evacuations *e = mm_evacuations_create (datacentres);
  int changes = 0;
  mm_evacuations_on_changed (e, count_change, &changes);
  ck_assert (!mm_evacuations_known (e));
  request (e, "dc1", true, 5);
  request (e, "dc2", true, 6);
  ck_assert (mm_evacuations_contain (e, "dc1"));
  ck_assert (mm_evacuations_contain (e, "dc2"));
  ck_assert (!mm_evacuations_contain (e, "dc3"));
  request (e, "dc1", false, 7);
  ck_assert (!mm_evacuations_contain (e, "dc1"));
  request (e, "dc1", true, 8);
  ck_assert (mm_evacuations_contain (e, "dc1"));
  request (e, "dc2", true, 9); /* made again: no change */
  ck_assert_int_eq (changes, 4);
  read_record (e, "dc1", false);
  read_record (e, "dc1", true);
  mm_evacuations_read_to (e, 11, mm_clock_now_ms (), NULL);
  ck_assert (mm_evacuations_contain (e, "dc1"));
  ck_assert_int_eq (changes, 4);
  mm_evacuations_destroy (e);
}
END_TEST

/* Guards against an evacuation without end: its removal was dropped from the
   store's history before this instance read it.  */
START_TEST (request_that_the_newest_records_lack_is_removed)
{
  mm_evacuations *e = mm_evacuations_create (datacentres);
  request (e, "dc1", true, 5);
  read_newest (e, "dc2", 9, mm_clock_now_ms ());
  ck_assert (!mm_evacuations_contain (e, "dc1"));
  ck_assert (mm_evacuations_contain (e, "dc2"));
  read_newest (e, NULL, 12, mm_clock_now_ms ());
  ck_assert (!mm_evacuations_any (e));
  mm_evacuations_destroy (e);
}
END_TEST

/* Guards against a bad record that ends the other evacuations, or the one
   requested before under the same key.  */
START_TEST (records_that_cannot_be_followed_change_nothing)
{
  mm_evacuations *e = mm_evacuations_create (datacentres);
  request (e, "dc1", true, 5);
  request (e, "nowhere", true, 6);
  request (e, "", true, 7);
  read_unreadable (e, "dc1");
  read_unreadable (e, "dc2");
  mm_evacuations_read_to (e, 9, mm_clock_now_ms (), NULL);
  ck_assert (mm_evacuations_contain (e, "dc1"));
  ck_assert (!mm_evacuations_contain (e, "dc2"));
  ck_assert (!mm_evacuations_contain (e, "nowhere"));
  GList *names = mm_evacuations_datacentres (e);
  ck_assert_uint_eq (g_list_length (names), 1);
  g_list_free (names);
  mm_evacuations_destroy (e);
}
END_TEST

/* Guards against starts in an evacuated data centre by an instance that cannot
   read the store, and against a peer that lags behind it.  */
START_TEST (view_with_the_higher_offset_is_in_force)
{
  mm_evacuations *e = mm_evacuations_create (datacentres);
  receive (e, "dc1", 20);
  ck_assert (mm_evacuations_known (e));
  ck_assert (mm_evacuations_contain (e, "dc1"));
  request (e, "dc2", true, 15); /* this instance is behind its peer */
  ck_assert (mm_evacuations_contain (e, "dc1"));
  ck_assert (!mm_evacuations_contain (e, "dc2"));
  request (e, "dc2", true, 21);
  ck_assert (!mm_evacuations_contain (e, "dc1"));
  ck_assert (mm_evacuations_contain (e, "dc2"));
  receive (e, NULL, 20);
  receive (e, NULL, 21);
  ck_assert (mm_evacuations_contain (e, "dc2"));
  receive (e, NULL, 22);
  ck_assert (!mm_evacuations_any (e));
  mm_evacuations_view v = mm_evacuations_view_of (e);
  ck_assert_uint_eq (v.offset, 22);
  ck_assert_int_ge (v.age_ms, 100);
  mm_evacuations_view_clear (&v);
  mm_evacuations_destroy (e);
}
END_TEST

/* Guards against an evacuation without end: a store that was replaced starts
   at lower offsets than the ones that peers know.  */
START_TEST (later_read_of_the_newest_records_supersedes_a_peer)
{
  mm_evacuations *e = mm_evacuations_create (datacentres);
  receive (e, "dc1", 1000);
  read_newest (e, NULL, 3, mm_clock_now_ms () - 50); /* sent before */
  ck_assert (mm_evacuations_contain (e, "dc1"));
  read_newest (e, NULL, 3, mm_clock_now_ms () + 1);
  ck_assert (!mm_evacuations_any (e));
  mm_evacuations_destroy (e);
}
END_TEST

/* ---- owners ----------------------------------------------------------- */

/* An owner with upstreams "a" in dc1 and "b" in dc2.  */
typedef struct
{
  fixture fx;
  mm_evacuations *evacuations;
  fake *a, *b;
  uint64_t offset;
} site;

static fake *
add_upstream (site *s, const char *name, const char *datacentre)
{
  fake *x = fakes_add (s->fx.upstreams, name, UPSTREAM_CPU_MILLI);
  fake_set_datacentre (x, datacentre);
  mm_owner_add_upstream (s->fx.owner, fake_info (x), 5);
  return x;
}

static site
site_create (void)
{
  site s = { .fx = fixture_create () };
  s.evacuations = mm_evacuations_create (datacentres);
  mm_owner_set_evacuations (s.fx.owner, s.evacuations);
  s.a = add_upstream (&s, "a", "dc1");
  s.b = add_upstream (&s, "b", "dc2");
  fixture_run (&s.fx, 10);
  return s;
}

static void
site_destroy (site *s)
{
  assert_invariants (&s->fx);
  fixture_destroy (&s->fx);
  mm_evacuations_destroy (s->evacuations);
}

static void
evacuate (site *s, const char *datacentre, bool evacuated)
{
  request (s->evacuations, datacentre, evacuated, ++s->offset);
}

/* Guards against starts from the queue in an evacuated data centre, against
   runs there that are cut off, and against capacity that cannot be used.  */
START_TEST (evacuated_upstream_finishes_its_runs_and_gets_nothing_new)
{
  site s = site_create ();
  outcome before[4], after[6];
  for (uint32_t i = 0; i < 4; i++)
    submit (&s.fx, &before[i], "before", i, 300);
  fixture_run (&s.fx, 50);
  ck_assert_uint_eq (fake_running (s.a), 2);
  evacuate (&s, "dc1", true);
  mm_capacity_report r = mm_owner_report (s.fx.owner, "svc");
  ck_assert_uint_eq (r.places, 2); /* of "b" */
  for (uint32_t i = 0; i < 6; i++)
    submit (&s.fx, &after[i], "after", i, 100);
  fixture_run (&s.fx, 1500);
  ck_assert_uint_eq (fake_starts (s.a), 2);
  for (int i = 0; i < 4; i++)
    ck_assert_int_eq (before[i].how, MM_END_DONE);
  for (int i = 0; i < 6; i++)
    {
      ck_assert_int_eq (after[i].how, MM_END_DONE);
      ck_assert_str_eq (after[i].upstream, "b");
    }
  site_destroy (&s);
}
END_TEST

/* Guards against a data centre that stays empty after its evacuation.  */
START_TEST (upstream_back_in_service_gets_tasks_at_once)
{
  site s = site_create ();
  evacuate (&s, "dc1", true);
  evacuate (&s, "dc2", true);
  fixture_run (&s.fx, 3000);
  ck_assert_uint_eq (mm_owner_report (s.fx.owner, "svc").places, 0);
  evacuate (&s, "dc1", false);
  ck_assert_uint_gt (mm_owner_report (s.fx.owner, "svc").free, 0);
  outcome r;
  submit (&s.fx, &r, "job", 0, 50);
  fixture_run (&s.fx, 200);
  ck_assert_int_eq (r.how, MM_END_DONE);
  ck_assert_str_eq (r.upstream, "a");
  site_destroy (&s);
}
END_TEST

/* Guards against a start that got no answer and is sent again although the
   data centre has been evacuated meanwhile.  */
START_TEST (unanswered_start_is_not_sent_again_after_an_evacuation)
{
  site s = site_create ();
  evacuate (&s, "dc2", true);
  fake_mode_of (s.a)->lose_starts = 1;
  outcome r;
  submit (&s.fx, &r, "job", 0, 50);
  evacuate (&s, "dc2", false);
  evacuate (&s, "dc1", true);
  fixture_run (&s.fx, 3000);
  ck_assert_uint_eq (fake_starts (s.a), 0);
  ck_assert_uint_eq (r.answers, 1);
  site_destroy (&s);
}
END_TEST

/* Guards against a start that was rejected for its run number and is sent
   again with a higher one although the data centre has been evacuated.  */
START_TEST (start_with_a_higher_number_is_not_sent_after_an_evacuation)
{
  site s = site_create ();
  evacuate (&s, "dc2", true);
  outcome r;
  submit (&s.fx, &r, "again", 0, 50);
  fixture_run (&s.fx, 200);
  ck_assert_int_eq (r.how, MM_END_DONE);
  submit (&s.fx, &r, "again", 0, 50);
  evacuate (&s, "dc1", true);
  fixture_run (&s.fx, 200);
  ck_assert_uint_eq (fake_starts (s.a), 1);
  site_destroy (&s);
}
END_TEST

/* Guards against a task that waits for an owner whose upstreams are all
   evacuated while other owners have free capacity.  */
START_TEST (queue_is_returned_when_all_upstreams_are_evacuated)
{
  site s = site_create ();
  outcome running[4], waiting[3];
  for (uint32_t i = 0; i < 4; i++)
    submit (&s.fx, &running[i], "running", i, 400);
  for (uint32_t i = 0; i < 3; i++)
    submit (&s.fx, &waiting[i], "waiting", i, 400);
  fixture_run (&s.fx, 50);
  evacuate (&s, "dc1", true);
  fixture_run (&s.fx, 50);
  ck_assert_uint_eq (waiting[0].answers, 0);
  evacuate (&s, "dc2", true);
  fixture_run (&s.fx, 2 * MM_EXEC_TICK_MS);
  for (int i = 0; i < 3; i++)
    {
      ck_assert_uint_eq (waiting[i].answers, 1);
      ck_assert_int_eq (waiting[i].how, MM_END_NOT_RUN);
    }
  fixture_run (&s.fx, 500);
  for (int i = 0; i < 4; i++)
    ck_assert_int_eq (running[i].how, MM_END_DONE);
  site_destroy (&s);
}
END_TEST

/* The instance of the job requests the run's adoption by and by.  */
static void
on_found (void *ctx, const mm_found_run *r)
{
}

/* Guards against runs of a lost instance that are stopped, or tasks that are
   started, by the next owner of upstreams in an evacuated data centre.  */
START_TEST (next_owner_keeps_runs_and_starts_nothing_after_an_evacuation)
{
  site s = site_create ();
  evacuate (&s, "dc1", true);
  evacuate (&s, "dc2", true);
  mm_owner_transfer_port port = { .found = on_found };
  mm_owner_set_transfer_port (s.fx.owner, &port);
  fake *c = fakes_add (s.fx.upstreams, "c", UPSTREAM_CPU_MILLI);
  fake_start_foreign (c, "found", 4, TASK_CPU_MILLI, 300);
  mm_owner_add_upstream (s.fx.owner, fake_info (c), 5);
  outcome adopted = { 0 }, r;
  mm_task_request t = fakes_task ("found", 0, TASK_CPU_MILLI, 300);
  t.running_at = "c";
  t.run = 1;
  fixture_run (&s.fx, 10);
  adopted.work = mm_owner_submit (s.fx.owner, &t, on_done, &adopted);
  submit (&s.fx, &r, "job", 0, 50);
  fixture_run (&s.fx, 600);
  ck_assert_int_eq (r.how, MM_END_NOT_RUN);
  ck_assert_int_eq (adopted.how, MM_END_DONE);
  ck_assert_uint_eq (fake_starts (c), 1); /* by the owner before */
  site_destroy (&s);
}
END_TEST

/* Guards against a task that crashes more upstreams than allowed: it crashes
   one, whose data centre is evacuated before its owner notices the crash.  */
START_TEST (crash_before_an_evacuation_counts_against_its_task)
{
  site s = site_create ();
  mm_suspects *suspects = mm_suspects_create ();
  mm_owner_set_suspects (s.fx.owner, suspects);
  outcome r;
  evacuate (&s, "dc2", true);
  submit (&s.fx, &r, "job", 0, 5000);
  fixture_run (&s.fx, 200);
  ck_assert_uint_eq (fake_running (s.a), 1);
  fake_restart (s.a);
  evacuate (&s, "dc1", true);
  fixture_run (&s.fx, 2000);
  mm_task_request t = fakes_task ("job", 0, TASK_CPU_MILLI, 5000);
  ck_assert_uint_eq (mm_suspects_count_crashes (suspects, &t.id), 1);
  site_destroy (&s);
  mm_suspects_destroy (suspects);
}
END_TEST

/* ---- jobs ------------------------------------------------------------- */

/* An instance in dc1 without peers.  */
typedef struct
{
  site s;
  struct ev_loop *loop;
  mm_mesh *mesh;
  mm_fleet *fleet;
  mm_jobs *jobs;
  mm_answer_kind answer;
  uint32_t retry_after_s;
  mm_time_ms answered_ms; /* 0: not answered yet */
} instance;

static void
instance_create (instance *n)
{
  memset (n, 0, sizeof *n);
  n->s = site_create ();
  n->loop = ev_loop_new (EVFLAG_AUTO);
  n->mesh = mm_mesh_create (n->loop, "n@127.0.0.1:1/dc1", "dc1", "127.0.0.1",
                            (uint16_t)h_port_base (), n->s.fx.owner, NULL);
  ck_assert_ptr_nonnull (n->mesh);
  n->fleet = mm_fleet_create (n->s.fx.owner, n->mesh, "dc1");
  mm_fleet_set_evacuations (n->fleet, n->s.evacuations);
  n->jobs = mm_jobs_create (n->fleet);
}

static void
instance_destroy (instance *n)
{
  mm_jobs_destroy (n->jobs);
  mm_fleet_destroy (n->fleet);
  mm_mesh_destroy (n->mesh);
  site_destroy (&n->s);
  ev_loop_destroy (n->loop);
}

static void
instance_run (instance *n, mm_time_ms ms)
{
  for (mm_time_ms t = 0; t < ms; t += MM_EXEC_TICK_MS)
    {
      fixture_run (&n->s.fx, MM_EXEC_TICK_MS);
      mm_jobs_tick (n->jobs);
    }
}

static void
on_answered (void *ctx, const mm_answer *a)
{
  instance *n = ctx;
  n->answer = a->kind;
  n->retry_after_s = a->retry_after_s;
  n->answered_ms = mm_clock_now_ms ();
}

/* Submits a job of @count tasks whose caller can wait for 10 s.  */
static void
submit_job (instance *n, const char *id, uint32_t count)
{
  mm_submission *s = g_new0 (mm_submission, 1);
  g_strlcpy (s->id, id, sizeof s->id);
  s->best_effort = true;
  s->n_steps = 1;
  s->steps = g_new0 (mm_step, 1);
  mm_task_request t = fakes_task (id, 0, TASK_CPU_MILLI, 300);
  s->steps[0] = (mm_step){ .count = count,
                           .resources = t.resources,
                           .estimate_ms = 300,
                           .payload = g_strdup (t.payload) };
  mm_route route = { .name = "queue",
                     .service = "svc",
                     .attempts = 3,
                     .stretch = 1.0,
                     .slo_ms = 10000 };
  n->answered_ms = 0;
  mm_jobs_submit (n->jobs, s, &route, 30000, on_answered, n);
}

/* Guards against callers who wait in vain while all data centres are
   evacuated, at their submission or when the evacuation begins.  */
START_TEST (jobs_are_refused_at_once_while_all_data_centres_are_evacuated)
{
  instance n;
  instance_create (&n);
  submit_job (&n, "half", 8); /* four fit */
  instance_run (&n, 100);
  evacuate (&n.s, "dc1", true);
  evacuate (&n.s, "dc2", true);
  instance_run (&n, 100);
  ck_assert_int_eq (n.answered_ms, 0); /* dc3 may have capacity */
  evacuate (&n.s, "dc3", true);
  mm_time_ms since_ms = mm_clock_now_ms ();
  instance_run (&n, 300);
  ck_assert_int_gt (n.answered_ms, 0);
  ck_assert_int_eq (n.answer, MM_ANSWER_GIVEN_UP);
  ck_assert_int_le (n.answered_ms - since_ms, 4 * MM_EXEC_TICK_MS);
  submit_job (&n, "next", 1);
  ck_assert_int_eq (n.answered_ms, mm_clock_now_ms ());
  ck_assert_int_eq (n.answer, MM_ANSWER_REFUSED);
  ck_assert_uint_ge (n.retry_after_s, 1);
  evacuate (&n.s, "dc2", false);
  submit_job (&n, "served", 2);
  instance_run (&n, 1000);
  ck_assert_int_eq (n.answer, MM_ANSWER_COMPLETED);
  instance_destroy (&n);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("evacuations");
  TCase *c = tcase_create ("requests");
  tcase_add_test (c, requests_are_in_force_until_each_is_removed);
  tcase_add_test (c, request_that_the_newest_records_lack_is_removed);
  tcase_add_test (c, records_that_cannot_be_followed_change_nothing);
  tcase_add_test (c, view_with_the_higher_offset_is_in_force);
  tcase_add_test (c, later_read_of_the_newest_records_supersedes_a_peer);
  suite_add_tcase (s, c);
  c = tcase_create ("owners");
  tcase_add_test (c,
                  evacuated_upstream_finishes_its_runs_and_gets_nothing_new);
  tcase_add_test (c, upstream_back_in_service_gets_tasks_at_once);
  tcase_add_test (c, unanswered_start_is_not_sent_again_after_an_evacuation);
  tcase_add_test (c,
                  start_with_a_higher_number_is_not_sent_after_an_evacuation);
  tcase_add_test (c, queue_is_returned_when_all_upstreams_are_evacuated);
  tcase_add_test (
      c, next_owner_keeps_runs_and_starts_nothing_after_an_evacuation);
  tcase_add_test (c, crash_before_an_evacuation_counts_against_its_task);
  suite_add_tcase (s, c);
  c = tcase_create ("jobs");
  tcase_add_test (
      c, jobs_are_refused_at_once_while_all_data_centres_are_evacuated);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
