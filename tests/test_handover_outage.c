/* Tests an owner whose store goes away while its upstream is handed over to
   another member of the group.  The store, the other member and the upstream
   are simulated in memory, on a clock that the test advances.  */
#include "config.h"
#include "fake_upstreams.h"
#include "harness.h"
#include "mm_group_table.h"
#include "mm_ownership.h"

#include <string.h>
#include <xxhash.h>

enum
{
  PARTITIONS = 2, /* the other member gets partition 0 */
  CALL_MS = 4,    /* round trip of a store call */
  UPSTREAM_CPU_MILLI = 8000,
  TASK_CPU_MILLI = 1000,
  SHORT_MS = 50,
  LONG_MS = 1000,   /* run time of the task that the handover waits for */
  OUTAGE_MS = 8000, /* longer than a handover and several call timeouts */
  /* An outage of the store affects no caller: new tasks are started again this
     long after a call was refused, or has taken longer than a slow store
     takes.  */
  RESUME_MS = 1000
};

/* How the store fails.  */
typedef enum
{
  STORE_UP,
  STORE_REFUSES,      /* answers at once that it has done nothing */
  STORE_SILENT,       /* carries nothing out and does not answer */
  STORE_LOSES_ANSWERS /* carries calls out and does not answer */
} store_state;

/* A join that is not answered yet.  */
typedef struct
{
  mm_time_ms arrives_ms; /* when it arrives at the store */
  mm_time_ms answer_ms;  /* when it is answered or times out */
  uint64_t generation;
  bool arrived;
  mm_join_result result;
  uint32_t partitions[PARTITIONS];
  mm_join_answered done;
  void *ctx;
} join_call;

typedef struct
{
  store_state state;
  mm_group_table *group;
  join_call *call;         /* the call in flight, or NULL */
  bool released;           /* a join that hands partition 0 over has arrived */
  bool unsure;             /* such a join has arrived and got no answer */
  mm_time_ms notice_by_ms; /* the owner has noticed the outage by then */
  bool outage_over;        /* memberships may have expired in the outage */
  uint64_t unlisted_generation; /* partition 0 is not listed from here on */

  fakes *fake_upstreams;
  fake *upstream; /* in partition 0 */
  mm_owner *owner;
  mm_catalog *catalog;
  mm_partitions *partitions;
  mm_ownership *ownership;
  bool other_joined;
  uint32_t n_tasks;
  mm_time_ms slow_ms; /* the store takes that long for a join */
  mm_time_ms ttl_ms;  /* of memberships */
} fixture;

/* ---- the store -------------------------------------------------------- */

static void
store_join (void *ctx, const char *group, const char *member,
            uint64_t generation, mm_time_ms ttl_ms, mm_time_ms timeout_ms,
            mm_join_answered done, void *done_ctx)
{
  fixture *f = ctx;
  ck_assert_ptr_null (f->call);
  f->call = g_new0 (join_call, 1);
  f->call->generation = generation;
  f->call->arrives_ms = mm_clock_now_ms () + CALL_MS / 2 + f->slow_ms;
  f->call->answer_ms = mm_clock_now_ms () + timeout_ms;
  f->call->result.why = "no answer";
  f->call->done = done;
  f->call->ctx = done_ctx;
}

/* Carries a join of the owner out.  */
static void
carry_out (fixture *f, join_call *c)
{
  c->result.generation = mm_group_table_join (f->group, "self", c->generation,
                                              f->ttl_ms, mm_clock_now_ms ());
  for (uint32_t i = 0; i < PARTITIONS; i++)
    if (g_strcmp0 (mm_group_table_holder (f->group, i), "self") == 0)
      c->partitions[c->result.n_partitions++] = i;
  c->result.partitions = c->partitions;
  f->released
      = f->released
        || (f->unlisted_generation && c->generation >= f->unlisted_generation);
}

static void
arrive (fixture *f, join_call *c)
{
  c->arrived = true;
  bool releases
      = f->unlisted_generation && c->generation >= f->unlisted_generation;
  if (f->state == STORE_UP || f->state == STORE_LOSES_ANSWERS)
    carry_out (f, c);
  c->result.ok = f->state == STORE_UP;
  c->result.nothing_done = f->state == STORE_REFUSES;
  if (f->state == STORE_UP || f->state == STORE_REFUSES)
    c->answer_ms = mm_clock_now_ms () + CALL_MS / 2;
  else if (releases && !f->unsure)
    {
      ck_assert_msg (mm_clock_now_ms () <= f->notice_by_ms,
                     "released although the store does not answer");
      f->unsure = true;
    }
}

/* The other member keeps joining while the store is up.  */
static void
join_other (fixture *f)
{
  mm_group_table_join (f->group, "other", mm_group_table_generation (f->group),
                       f->ttl_ms, mm_clock_now_ms ());
}

static void
store_step (fixture *f)
{
  mm_time_ms now = mm_clock_now_ms ();
  join_call *c = f->call;
  if (f->other_joined && now % 100 == 0 && f->state == STORE_UP)
    join_other (f);
  if (c && !c->arrived && now >= c->arrives_ms)
    arrive (f, c);
  if (!c || now < c->answer_ms)
    return;
  f->call = NULL;
  c->done (&c->result, c->ctx);
  g_free (c);
}

/* ---- the owner -------------------------------------------------------- */

static mm_partition_state
partition_state (void *ctx, const mm_upstream_info *u, uint64_t *fence)
{
  return mm_partitions_upstream_state (((fixture *)ctx)->partitions, u->name,
                                       fence);
}

static void
renew_fence (void *ctx, const mm_upstream_info *u)
{
  mm_partitions_renew_upstream_fence (((fixture *)ctx)->partitions, u->name);
}

static uint64_t
partition_changes (void *ctx)
{
  return mm_partitions_changes (((fixture *)ctx)->partitions);
}

static bool
owns_any (void *ctx)
{
  return mm_partitions_owns_any (((fixture *)ctx)->partitions);
}

/* Returns the name of an upstream in partition 0, free with g_free().  */
static char *
name_in_partition_0 (void)
{
  for (int i = 0;; i++)
    {
      char *name = g_strdup_printf ("u%d", i);
      if (XXH3_64bits (name, strlen (name)) % PARTITIONS == 0)
        return name;
      g_free (name);
    }
}

static void
ignore_end (void *ctx, const mm_work_result *r)
{
}

static void
submit (fixture *f, mm_time_ms run_ms)
{
  mm_task_request t = fakes_task ("job", f->n_tasks++, TASK_CPU_MILLI, run_ms);
  t.start_within_ms = SHORT_MS;
  mm_owner_submit (f->owner, &t, ignore_end, NULL);
}

/* Advances the clock by 1 ms; a short task is submitted every SHORT_MS.
   Asserts that nothing starts once the store may have given the upstream to
   the other member.  */
static void
step (fixture *f)
{
  uint32_t starts = fake_starts (f->upstream);
  bool was_given_away = (f->released || f->unsure) && !f->outage_over;
  store_step (f);
  if (mm_clock_now_ms () % MM_EXEC_TICK_MS == 0)
    {
      if (mm_partitions_releasing (f->partitions)
          && mm_ownership_idle (f->ownership, "dc1"))
        mm_partitions_release (f->partitions);
      mm_partitions_tick (f->partitions);
      mm_ownership_tick (f->ownership, true);
    }
  if (mm_clock_now_ms () % SHORT_MS == 0)
    submit (f, SHORT_MS);
  fakes_run (f->fake_upstreams, f->owner, 1);
  if (was_given_away)
    ck_assert_uint_eq (fake_starts (f->upstream), starts);
}

static void
run_for (fixture *f, mm_time_ms ms)
{
  for (mm_time_ms t = 0; t < ms; t++)
    step (f);
}

/* Returns an owner of one upstream.  */
static fixture *
fixture_create (void)
{
  fixture *f = g_new0 (fixture, 1);
  f->ttl_ms = MM_GROUP_TTL_MS;
  f->fake_upstreams = fakes_create ();
  f->group = mm_group_table_create (PARTITIONS);
  mm_exec_port port = fakes_port (f->fake_upstreams);
  f->owner = mm_owner_create (&port);
  f->catalog = mm_catalog_create ();
  char *name = name_in_partition_0 ();
  f->upstream = fakes_add (f->fake_upstreams, name, UPSTREAM_CPU_MILLI);
  g_free (name);
  mm_catalog_origin read = { .as_of_ms = mm_clock_now_ms () };
  mm_catalog_put (f->catalog, fake_info (f->upstream), &read);
  mm_store_port store = { .join = store_join, .ctx = f };
  f->partitions = mm_partitions_create (&store, "room", "self", PARTITIONS);
  mm_partitions_defer_in_outages (f->partitions);
  mm_ownership_partitions p = { .state_of = partition_state,
                                .renew_fence = renew_fence,
                                .change_count = partition_changes,
                                .owns_any = owns_any,
                                .ctx = f };
  f->ownership = mm_ownership_create (f->catalog, f->owner, &p);
  run_for (f, 500);
  ck_assert_uint_gt (fake_starts (f->upstream), 0);
  return f;
}

static void
fixture_destroy (fixture *f)
{
  if (f->call)
    f->call->done (&f->call->result, f->call->ctx);
  g_free (f->call);
  mm_ownership_destroy (f->ownership);
  mm_owner_destroy (f->owner);
  mm_partitions_destroy (f->partitions);
  mm_catalog_destroy (f->catalog);
  mm_group_table_destroy (f->group);
  fakes_destroy (f->fake_upstreams);
  g_free (f);
}

/* The other member joins and is to get the upstream.  */
static void
join_second (fixture *f)
{
  f->other_joined = true;
  join_other (f);
  f->unlisted_generation = mm_group_table_generation (f->group);
}

/* Returns the longest time without a start on the upstream within @ms.  */
static mm_time_ms
longest_pause_ms (fixture *f, mm_time_ms ms)
{
  mm_time_ms longest_ms = 0, pause_ms = 0;
  uint32_t starts = fake_starts (f->upstream);
  for (mm_time_ms t = 0; t < ms; t++)
    {
      step (f);
      pause_ms = fake_starts (f->upstream) == starts ? pause_ms + 1 : 0;
      starts = fake_starts (f->upstream);
      longest_ms = MAX (longest_ms, pause_ms);
    }
  return longest_ms;
}

/* Asserts that once the store answers, the upstream has one owner: this one,
   which starts tasks there, or the other member.  */
static void
assert_one_owner_after_outage (fixture *f)
{
  uint64_t fence;
  f->state = STORE_UP;
  f->outage_over = true;
  run_for (f, 2 * (MM_HANDOVER_MS + MM_STORE_TIMEOUT_MS));
  uint32_t starts = fake_starts (f->upstream);
  run_for (f, 2 * LONG_MS);
  const char *holder = mm_group_table_holder (f->group, 0);
  ck_assert_ptr_nonnull (holder);
  bool is_self = strcmp (holder, "self") == 0;
  ck_assert_int_eq (partition_state (f, fake_info (f->upstream), &fence),
                    is_self ? MM_PARTITION_OWNED : MM_PARTITION_ELSEWHERE);
  ck_assert_int_eq (fake_starts (f->upstream) > starts, is_self);
}

/* Time after which the owner has noticed that the store does not answer.  */
static mm_time_ms
noticed_ms (store_state state)
{
  mm_time_ms sent_ms = MM_GROUP_HEARTBEAT_MS + MM_EXEC_TICK_MS;
  return sent_ms + (state == STORE_REFUSES ? CALL_MS : MM_GROUP_ANSWER_MS);
}

enum
{
  DELAY_STEP_MS = 5,
  LAST_DELAY_MS = 400 /* a join is sent every 300 ms */
};

/* Takes the store away @delay_ms after another member has joined, and brings
   it back.  @long_task: whether the handover has to wait for a task.  */
static void
take_store_away (store_state state, mm_time_ms delay_ms, bool long_task)
{
  fixture *f = fixture_create ();
  if (long_task)
    submit (f, LONG_MS);
  run_for (f, SHORT_MS);
  join_second (f);
  run_for (f, delay_ms);
  f->state = state;
  f->notice_by_ms = mm_clock_now_ms () + noticed_ms (state);
  run_for (f, noticed_ms (state));
  mm_time_ms pause_ms = longest_pause_ms (f, OUTAGE_MS);
  if (!f->released && !f->unsure)
    ck_assert_int_le (pause_ms, RESUME_MS);
  assert_one_owner_after_outage (f);
  fixture_destroy (f);
}

/* Guards against an owner that starts nothing for the length of an outage of
   the store, which refuses calls, because it began in a handover.  */
START_TEST (handover_is_deferred_while_the_store_refuses_calls)
{
  take_store_away (STORE_REFUSES, (mm_time_ms)_i * DELAY_STEP_MS, false);
  take_store_away (STORE_REFUSES, (mm_time_ms)_i * DELAY_STEP_MS, true);
}
END_TEST

/* Guards against the same while the store does not answer.  */
START_TEST (handover_is_deferred_while_the_store_is_silent)
{
  take_store_away (STORE_SILENT, (mm_time_ms)_i * DELAY_STEP_MS, false);
  take_store_away (STORE_SILENT, (mm_time_ms)_i * DELAY_STEP_MS, true);
}
END_TEST

/* Guards against a task that is started by both owners because the answer to
   the release of its upstream was lost.  */
START_TEST (nothing_starts_after_a_release_without_an_answer)
{
  take_store_away (STORE_LOSES_ANSWERS, (mm_time_ms)_i * DELAY_STEP_MS, false);
  take_store_away (STORE_LOSES_ANSWERS, (mm_time_ms)_i * DELAY_STEP_MS, true);
}
END_TEST

/* Guards against a handover that never ends, as each call takes longer than
   the store takes when it is slow.  */
START_TEST (handover_ends_however_slow_the_store_is)
{
  static const mm_time_ms slow_ms[] = { 0, 400, 900, 1200, 1450 };
  for (size_t i = 0; i < G_N_ELEMENTS (slow_ms); i++)
    {
      fixture *f = fixture_create ();
      f->ttl_ms = 10 * MM_GROUP_TTL_MS;
      f->slow_ms = slow_ms[i];
      run_for (f, 2 * MM_STORE_TIMEOUT_MS);
      join_second (f);
      run_for (f, 2 * (MM_HANDOVER_MS + MM_STORE_TIMEOUT_MS));
      ck_assert_str_eq (mm_group_table_holder (f->group, 0), "other");
      fixture_destroy (f);
    }
}
END_TEST

/* Runs until the store has been sent the release of the upstream, or has given
   it to the other member.  */
static void
run_until_given_away (fixture *f)
{
  while (!f->unsure
         && g_strcmp0 (mm_group_table_holder (f->group, 0), "other") != 0)
    step (f);
}

/* Guards against an owner that sends orders with its token after the next
   owner's, as it does not know yet that the store has handed over.  @_i: run
   time of the task that the handover does not wait for, in LONG_MS.  */
START_TEST (released_upstream_gets_no_order_of_its_last_owner)
{
  fixture *f = fixture_create ();
  if (_i)
    submit (f, _i * LONG_MS);
  run_for (f, SHORT_MS);
  join_second (f);
  while (!f->call || f->call->generation < f->unlisted_generation)
    step (f);
  f->state = STORE_LOSES_ANSWERS;
  f->notice_by_ms = G_MAXINT64;
  run_until_given_away (f);
  step (f);
  uint32_t holds = fakes_count (f->fake_upstreams).holds;
  run_for (f, 2 * MM_STORE_TIMEOUT_MS);
  ck_assert_uint_eq (fakes_count (f->fake_upstreams).holds, holds);
  fixture_destroy (f);
}
END_TEST

/* Guards against two owners with one fencing token: another member may have
   held a partition that was not listed for a while.  */
START_TEST (partition_that_is_listed_again_has_a_higher_token)
{
  uint64_t first, again;
  fixture *f = fixture_create ();
  submit (f, LONG_MS);
  run_for (f, SHORT_MS);
  partition_state (f, fake_info (f->upstream), &first);
  join_second (f);
  while (partition_state (f, fake_info (f->upstream), &again)
         == MM_PARTITION_OWNED)
    step (f);
  f->other_joined = false;
  f->unlisted_generation = 0;
  mm_group_table_leave (f->group, "other");
  while (partition_state (f, fake_info (f->upstream), &again)
         != MM_PARTITION_OWNED)
    step (f);
  ck_assert_uint_gt (again, first);
  fixture_destroy (f);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("handover_outage");
  TCase *tc = tcase_create ("handover");
  tcase_set_timeout (tc, 60);
  int n = LAST_DELAY_MS / DELAY_STEP_MS + 1;
  tcase_add_loop_test (tc, handover_is_deferred_while_the_store_refuses_calls,
                       0, n);
  tcase_add_loop_test (tc, handover_is_deferred_while_the_store_is_silent, 0,
                       n);
  tcase_add_loop_test (tc, nothing_starts_after_a_release_without_an_answer, 0,
                       n);
  tcase_add_test (tc, handover_ends_however_slow_the_store_is);
  tcase_add_loop_test (tc, released_upstream_gets_no_order_of_its_last_owner,
                       0, 6);
  tcase_add_test (tc, partition_that_is_listed_again_has_a_higher_token);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
