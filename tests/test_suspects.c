/* Tests that poison tasks, which crash their upstreams, are distinguished from
   tasks that are lost because an upstream was disconnected, draining or
   restarted.  The tests make no calls over the network.  */
#include "config.h"
#include "fake_upstreams.h"
#include "harness.h"
#include "mm_fleet.h"
#include "mm_jobs.h"
#include "mm_mesh_msg.h"

#include <stdlib.h>
#include <string.h>

static mm_time_ms now_ms;

static mm_time_ms
read_test_clock (void *ctx)
{
  return now_ms;
}

static mm_suspects *
suspects_setup (void)
{
  now_ms = 1000000;
  mm_clock_set_source (read_test_clock, NULL);
  return mm_suspects_create ();
}

static void
suspects_teardown (mm_suspects *s)
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

/* Records the loss of upstream @number with the @n tasks @ids.  The upstream
   has not answered since @since_ms.  */
static void
record_loss_since (mm_suspects *s, int number, mm_loss_verdict v,
                   mm_time_ms since_ms, const mm_task_id *ids, size_t n)
{
  char name[16], addr[32];
  g_snprintf (name, sizeof name, "up%d", number);
  g_snprintf (addr, sizeof addr, "127.0.0.1:%d", 1000 + number);
  uint64_t hashes[MM_SUSPECTS_TASKS_MAX];
  for (size_t i = 0; i < n; i++)
    hashes[i] = mm_task_hash (&ids[i]);
  mm_loss l = { .upstream = name,
                .addr = addr,
                .verdict = v,
                .unresponsive_since_ms = since_ms,
                .tasks = hashes,
                .n_tasks = n };
  mm_suspects_record (s, &l);
}

/* The same for an upstream that has not answered for 1 s.  */
static void
record_loss (mm_suspects *s, int number, mm_loss_verdict v,
             const mm_task_id *ids, size_t n)
{
  record_loss_since (s, number, v, now_ms - 1000, ids, n);
}

/* Records a list entry at the address of upstream @number.  @name: of the
   listed upstream, NULL: upstream @number itself.  */
static void
record_listing (mm_suspects *s, int number, const char *name, bool draining)
{
  char own[16], addr[32];
  g_snprintf (own, sizeof own, "up%d", number);
  g_snprintf (addr, sizeof addr, "127.0.0.1:%d", 1000 + number);
  mm_upstream_info u = { .name = (char *)(name ? name : own),
                         .addr = addr,
                         .draining = draining };
  mm_suspects_listed (s, &u);
}

/* Records the loss of the upstream "up0" that started at @born_ms, then list
   entries of that name.  Returns how many crashes count against the task.  */
static uint32_t
count_after_listing (int64_t born_ms, int64_t listed_born_ms, bool draining)
{
  mm_suspects *s = suspects_setup ();
  mm_task_id id = task ("job", 0);
  uint64_t hash = mm_task_hash (&id);
  mm_loss l = { .upstream = "up0",
                .born_ms = born_ms,
                .addr = "127.0.0.1:1",
                .unresponsive_since_ms = now_ms,
                .tasks = &hash,
                .n_tasks = 1 };
  mm_suspects_record (s, &l);
  mm_upstream_info u = { .name = (char *)"up0",
                         .born_ms = listed_born_ms,
                         .addr = (char *)"127.0.0.1:1",
                         .draining = draining };
  mm_suspects_listed (s, &u);
  uint32_t n = mm_suspects_count_crashes (s, &id);
  suspects_teardown (s);
  return n;
}

/* Guards against a crash that is not known although the list shows the next
   incarnation, and against one that an old or incomplete list shows.  */
START_TEST (later_incarnation_with_its_name_shows_a_crash)
{
  ck_assert_uint_eq (count_after_listing (20, 21, false), 1);
  ck_assert_uint_eq (count_after_listing (20, 21, true), 1);
  ck_assert_uint_eq (count_after_listing (20, 20, false), 0);
  ck_assert_uint_eq (count_after_listing (20, 20, true), 0);
  ck_assert_uint_eq (count_after_listing (20, 19, false), 0);
  ck_assert_uint_eq (count_after_listing (20, 0, false), 0);
  ck_assert_uint_eq (count_after_listing (0, 20, false), 0);
}
END_TEST

/* A task whose upstream was lost must run isolated.  After a second loss the
   task must wait until other incarnations at both addresses prove two crashes,
   and must then be given up.  */
START_TEST (task_is_given_up_after_two_crashes)
{
  mm_suspects *s = suspects_setup ();
  mm_task_id id = task ("poison", 0);
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_RUN);
  record_loss (s, 0, MM_LOSS_OPEN, &id, 1);
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_ISOLATE);
  record_loss (s, 1, MM_LOSS_OPEN, &id, 1);
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_WAIT);
  record_listing (s, 0, "up0-again", false);
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_WAIT);
  record_listing (s, 1, "up1-again", false);
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_GIVE_UP);
  char *names = mm_suspects_crashed_names (s, &id);
  ck_assert_str_eq (names, "up0, up1");
  g_free (names);
  suspects_teardown (s);
}
END_TEST

/* Only another incarnation at the address proves a crash.  A task that was
   lost with disconnected or draining upstreams must not be given up.  */
START_TEST (disconnects_drains_and_expired_entries_are_no_crashes)
{
  mm_suspects *s = suspects_setup ();
  mm_task_id id = task ("innocent", 0);
  for (int number = 0; number < 40; number += 4)
    {
      record_loss (s, number, MM_LOSS_OPEN, &id, 1);
      char name[16];
      g_snprintf (name, sizeof name, "up%d", number);
      mm_suspects_alive (s, name, 0); /* the upstream is reachable again */
      ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_RUN);
      record_loss (s, number + 1, MM_LOSS_OPEN, &id, 1);
      /* The upstream was draining.  */
      record_listing (s, number + 1, NULL, true);
      ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_RUN);
      /* The upstream is not seen again, and its loss expires.  */
      record_loss (s, number + 2, MM_LOSS_OPEN, &id, 1);
      ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_ISOLATE);
      now_ms += MM_SUSPECTS_OPEN_KEEP_MS;
      mm_suspects_tick (s);
      ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_RUN);
    }
  suspects_teardown (s);
}
END_TEST

/* An upstream crashes, so that all tasks that ran there are suspect.  A second
   upstream crashes while it runs one of these tasks alone.  That task must be
   given up, and the others must not.  */
START_TEST (tasks_beside_a_poison_task_are_not_given_up)
{
  mm_suspects *s = suspects_setup ();
  mm_task_id ids[5];
  for (uint32_t i = 0; i < 5; i++)
    ids[i] = task ("mixed", i);
  record_loss (s, 0, MM_LOSS_CRASHED, ids, 5);
  for (int i = 0; i < 5; i++)
    ck_assert_int_eq (mm_suspects_decide (s, &ids[i]), MM_SUSPECT_ISOLATE);
  record_loss (s, 1, MM_LOSS_CRASHED, &ids[3], 1);
  for (int i = 0; i < 5; i++)
    ck_assert_int_eq (mm_suspects_decide (s, &ids[i]),
                      i == 3 ? MM_SUSPECT_GIVE_UP : MM_SUSPECT_ISOLATE);
  suspects_teardown (s);
}
END_TEST

/* A suspect task runs isolated, and a poison task that is not suspect yet is
   started beside it because there is no other free capacity.  The suspect must
   not be given up for the crash that the poison task causes.  */
START_TEST (suspect_beside_a_new_poison_task_is_not_given_up)
{
  mm_suspects *s = suspects_setup ();
  mm_task_id ids[2] = { task ("suspect", 0), task ("culprit", 0) };
  mm_task_id beside = task ("beside", 0);
  record_loss (s, 0, MM_LOSS_CRASHED, (mm_task_id[]){ ids[0], beside }, 2);
  record_loss (s, 1, MM_LOSS_CRASHED, ids, 2);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[0]), MM_SUSPECT_ISOLATE);
  record_loss (s, 2, MM_LOSS_CRASHED, &ids[1], 1);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[0]), MM_SUSPECT_ISOLATE);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[1]), MM_SUSPECT_GIVE_UP);
  suspects_teardown (s);
}
END_TEST

/* Two upstreams crash, each while it runs the same two tasks.  Neither task
   may be given up.  A third crash, with only one of the tasks, must decide
   which of the two is given up.  */
START_TEST (third_crash_decides_between_two_suspects)
{
  mm_suspects *s = suspects_setup ();
  mm_task_id ids[2] = { task ("a", 0), task ("b", 0) };
  record_loss (s, 0, MM_LOSS_CRASHED, ids, 2);
  record_loss (s, 1, MM_LOSS_CRASHED, ids, 2);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[0]), MM_SUSPECT_ISOLATE);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[1]), MM_SUSPECT_ISOLATE);
  record_loss (s, 2, MM_LOSS_CRASHED, &ids[0], 1);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[0]), MM_SUSPECT_GIVE_UP);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[1]), MM_SUSPECT_ISOLATE);
  suspects_teardown (s);
}
END_TEST

/* Records the crash of upstream @number just now, alone with this task.  */
static void
record_crash (mm_suspects *s, int number, const mm_task_id *id)
{
  record_loss_since (s, number, MM_LOSS_CRASHED, now_ms, id, 1);
}

/* Records the crashes of @n upstreams from number @first on, 50 ms apart, each
   alone with a task of its own.  */
static void
record_mass_loss (mm_suspects *s, int first, int n)
{
  for (int i = first; i < first + n; i++)
    {
      mm_task_id id = task ("mass", (uint32_t)i);
      record_crash (s, i, &id);
      now_ms += 50;
    }
}

/* Guards against innocent tasks that are given up in a mass loss.  A dozen
   upstreams crash within a second, and a task runs alone on one of them and
   then on another.  It must wait until no more upstreams are lost, and is
   given up only if an upstream then crashes under it alone.  */
START_TEST (crashes_in_a_mass_loss_are_no_evidence)
{
  for (int guilty = 0; guilty < 2; guilty++)
    {
      mm_suspects *s = suspects_setup ();
      mm_task_id id = task ("innocent", 0);
      record_crash (s, 100, &id);
      record_mass_loss (s, 0, 5);
      record_crash (s, 101, &id);
      record_mass_loss (s, 5, 5);
      for (int i = 0; i < 30; i++, now_ms += 50)
        ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_WAIT);
      now_ms += MM_SUSPECTS_CALM_MS;
      ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_ISOLATE);
      if (guilty)
        {
          record_crash (s, 102, &id);
          now_ms += MM_SUSPECTS_COINCIDE_MS;
          ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_GIVE_UP);
        }
      suspects_teardown (s);
    }
}
END_TEST

/* Guards against the same when the other upstreams ran nothing.  */
START_TEST (crashes_of_idle_upstreams_show_a_mass_loss)
{
  mm_suspects *s = suspects_setup ();
  mm_task_id id = task ("innocent", 0);
  record_crash (s, 100, &id);
  now_ms += 300;
  record_crash (s, 101, &id);
  for (int i = 0; i < 2; i++)
    record_loss_since (s, i, MM_LOSS_CRASHED, now_ms, NULL, 0);
  now_ms += MM_SUSPECTS_COINCIDE_MS;
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_WAIT);
  now_ms += MM_SUSPECTS_CALM_MS;
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_ISOLATE);
  suspects_teardown (s);
}
END_TEST

/* Guards against tasks that wait because idle upstreams did not answer once.
 */
START_TEST (idle_upstreams_without_an_answer_are_no_mass_loss)
{
  mm_suspects *s = suspects_setup ();
  mm_task_id id = task ("poison", 0);
  for (int i = 0; i < 10; i++)
    record_loss_since (s, i, MM_LOSS_OPEN, now_ms, NULL, 0);
  record_crash (s, 100, &id);
  now_ms += 300;
  record_crash (s, 101, &id);
  now_ms += MM_SUSPECTS_COINCIDE_MS;
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_GIVE_UP);
  suspects_teardown (s);
}
END_TEST

/* Stores the number of times an upstream has been lost.  @ctx: uint32_t.  */
static void
store_occurrence (void *ctx, const mm_loss *l)
{
  *(uint32_t *)ctx = l->occurrence;
}

/* Guards against the same for upstreams that were lost before and had answered
   again.  Their next loss with tasks must count as a later one.  */
START_TEST (idle_upstreams_that_were_lost_before_are_no_mass_loss)
{
  mm_suspects *s = suspects_setup ();
  mm_task_id id = task ("poison", 0), other = task ("other", 0);
  uint32_t occurrence = 0;
  mm_suspects_on_changed (s, store_occurrence, &occurrence);
  for (int i = 0; i < 10; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "up%d", i);
      record_loss_since (s, i, MM_LOSS_OPEN, now_ms, &other, 1);
      mm_suspects_alive (s, name, 0);
    }
  ck_assert_uint_eq (occurrence, 1);
  now_ms += 5000;
  for (int i = 0; i < 10; i++)
    record_loss_since (s, i, MM_LOSS_OPEN, now_ms, NULL, 0);
  record_crash (s, 100, &id);
  now_ms += 300;
  record_crash (s, 101, &id);
  now_ms += MM_SUSPECTS_COINCIDE_MS;
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_GIVE_UP);
  ck_assert_uint_eq (mm_suspects_count (s), 2);
  record_loss_since (s, 0, MM_LOSS_OPEN, now_ms, &other, 1);
  ck_assert_uint_eq (occurrence, 2);
  ck_assert_int_eq (mm_suspects_decide (s, &other), MM_SUSPECT_ISOLATE);
  suspects_teardown (s);
}
END_TEST

/* Guards against an innocent task that is given up before the crashes of other
   upstreams at the same time are known.  */
START_TEST (crash_waits_for_news_of_other_crashes)
{
  mm_suspects *s = suspects_setup ();
  mm_task_id id = task ("innocent", 0);
  record_crash (s, 100, &id);
  now_ms += 300;
  record_crash (s, 101, &id);
  for (int i = 0; i < 12; i++, now_ms += 25)
    ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_WAIT);
  record_mass_loss (s, 0, 2);
  for (int i = 0; i < 40; i++, now_ms += 50)
    ck_assert_int_ne (mm_suspects_decide (s, &id), MM_SUSPECT_GIVE_UP);
  suspects_teardown (s);
}
END_TEST

/* Guards against a task that crashes upstream after upstream because none of
   its crashes is evidence.  After three crashes in mass losses it must neither
   run nor be given up.  */
START_TEST (task_does_not_run_after_three_crashes_in_mass_losses)
{
  mm_suspects *s = suspects_setup ();
  mm_task_id id = task ("unclear", 0);
  for (int i = 0; i < 3; i++)
    {
      record_crash (s, 100 + i, &id);
      record_mass_loss (s, 10 * i, 3);
      now_ms += 5000;
    }
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_POSTPONE);
  now_ms += MM_SUSPECTS_KEEP_MS;
  mm_suspects_tick (s);
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_RUN);
  suspects_teardown (s);
}
END_TEST

/* Guards against an innocent task that is given up because of a poison task.
   The task runs alone on an upstream that crashes for another reason, and then
   beside a poison task that is not suspect yet.  */
START_TEST (task_that_ran_alone_only_before_it_was_suspect_is_not_given_up)
{
  mm_suspects *s = suspects_setup ();
  mm_task_id ids[2] = { task ("innocent", 0), task ("culprit", 0) };
  record_loss (s, 0, MM_LOSS_CRASHED, ids, 1);
  now_ms += 3000;
  record_loss (s, 1, MM_LOSS_CRASHED, ids, 2);
  now_ms += 3000;
  ck_assert_int_eq (mm_suspects_decide (s, &ids[0]), MM_SUSPECT_ISOLATE);
  record_loss (s, 2, MM_LOSS_CRASHED, &ids[1], 1);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[0]), MM_SUSPECT_ISOLATE);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[1]), MM_SUSPECT_GIVE_UP);
  suspects_teardown (s);
}
END_TEST

/* Guards against evidence that depends on the order in which the reports of
   two crashes arrive.  A task runs alone on an upstream that crashes, and then
   beside a poison task: it must not be given up.  Another one runs beside a
   poison task and then alone: it must be given up.  */
START_TEST (reports_of_crashes_in_any_order_give_the_same_evidence)
{
  bool reversed = _i & 1, first_alone = _i & 2;
  mm_suspects *s = suspects_setup ();
  mm_task_id ids[2] = { task ("suspect", 0), task ("beside", 0) };
  for (int i = 0; i < 2; i++)
    {
      int number = reversed ? 1 - i : i;
      bool alone = (number == 0) == first_alone;
      record_loss_since (s, number, MM_LOSS_CRASHED,
                         now_ms - 6000 + 3000 * number, ids, alone ? 1 : 2);
    }
  ck_assert_int_eq (mm_suspects_decide (s, &ids[0]),
                    first_alone ? MM_SUSPECT_ISOLATE : MM_SUSPECT_GIVE_UP);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[1]), MM_SUSPECT_ISOLATE);
  suspects_teardown (s);
}
END_TEST

/* Guards against the same when an upstream is lost a second time, and the
   report of that loss arrives after that of a later crash.  */
START_TEST (second_loss_of_an_upstream_counts_at_its_time)
{
  mm_suspects *s = suspects_setup ();
  mm_task_id ids[2] = { task ("innocent", 0), task ("culprit", 0) };
  record_loss (s, 0, MM_LOSS_OPEN, ids, 1);
  mm_suspects_alive (s, "up0", 0);
  now_ms += 9000;
  record_loss_since (s, 1, MM_LOSS_CRASHED, now_ms - 3000, ids, 2);
  record_loss_since (s, 0, MM_LOSS_CRASHED, now_ms - 6000, ids, 1);
  ck_assert_uint_eq (mm_suspects_count_crashes (s, &ids[0]), 2);
  ck_assert_int_eq (mm_suspects_decide (s, &ids[0]), MM_SUSPECT_ISOLATE);
  suspects_teardown (s);
}
END_TEST

/* Guards against an innocent task that is given up because of a poison task
   and a second crash.  The task runs beside a poison task, and later as a
   suspect and alone on an upstream that crashes for another reason, long after
   the task's start.  It must run a third time; a crash then must decide.  */
START_TEST (crash_long_after_the_start_does_not_decide)
{
  mm_suspects *s = suspects_setup ();
  mm_task_id ids[2] = { task ("innocent", 0), task ("culprit", 0) };
  record_loss (s, 0, MM_LOSS_CRASHED, ids, 2);
  for (int number = 1; number <= 2; number++)
    {
      char name[16], addr[32];
      g_snprintf (name, sizeof name, "up%d", number);
      g_snprintf (addr, sizeof addr, "127.0.0.1:%d", 1000 + number);
      now_ms += 5000;
      uint64_t hash = mm_task_hash (&ids[0]);
      mm_loss l = { .upstream = name,
                    .addr = addr,
                    .verdict = MM_LOSS_CRASHED,
                    .unresponsive_since_ms = now_ms,
                    .after_start_ms = 400,
                    .tasks = &hash,
                    .n_tasks = 1 };
      mm_suspects_record (s, &l);
      now_ms += 5000;
      ck_assert_int_eq (mm_suspects_decide (s, &ids[0]),
                        number == 1 ? MM_SUSPECT_ISOLATE : MM_SUSPECT_GIVE_UP);
    }
  suspects_teardown (s);
}
END_TEST

/* An upstream that was disconnected and has answered again can be lost a
   second time.  A late report of the first loss must not make its tasks
   suspect.  */
START_TEST (upstream_that_answered_can_be_lost_again)
{
  mm_suspects *s = suspects_setup ();
  mm_task_id id = task ("again", 0);
  record_loss (s, 0, MM_LOSS_OPEN, &id, 1);
  mm_suspects_alive (s, "up0", 0);
  record_loss (s, 0, MM_LOSS_OPEN, &id, 1); /* late report of the same loss */
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_RUN);
  now_ms += 5000;
  record_loss (s, 0, MM_LOSS_OPEN, &id, 1);
  ck_assert_int_eq (mm_suspects_decide (s, &id), MM_SUSPECT_ISOLATE);
  suspects_teardown (s);
}
END_TEST

/* Counts the losses that were added or changed.  @ctx: an int.  */
static void
count_changes (void *ctx, const mm_loss *l)
{
  (*(int *)ctx)++;
}

/* Instances report losses to each other.  An instance must not pass on a loss
   that it knows already, or the messages between the instances would never
   cease.  */
START_TEST (known_loss_is_not_reported_again)
{
  mm_suspects *s = suspects_setup ();
  int changes = 0;
  mm_suspects_on_changed (s, count_changes, &changes);
  mm_task_id ids[2] = { task ("a", 0), task ("b", 0) };
  for (int i = 0; i < 3; i++)
    record_loss (s, 0, MM_LOSS_OPEN, ids, 1);
  ck_assert_int_eq (changes, 1);
  for (int i = 0; i < 3; i++)
    record_loss (s, 0, MM_LOSS_CRASHED, ids, 2);
  ck_assert_int_eq (changes, 2);
  record_loss (s, 0, MM_LOSS_OPEN, ids, 2);
  ck_assert_int_eq (changes, 2);
  record_loss (s, 1, MM_LOSS_CRASHED, NULL, 0); /* no tasks */
  record_loss (s, 2, MM_LOSS_ALIVE, ids, 1);
  ck_assert_int_eq (changes, 2);
  suspects_teardown (s);
}
END_TEST

#define PEERS 5              /* instances, each linked to all others */
#define MAX_CHANGES_EACH 8   /* of the record of one instance */
#define MAX_DELIVERIES 20000 /* far more than are needed */

/* A message on its way between two instances.  */
typedef struct
{
  msgpack_sbuffer bytes;
  int to;
  mm_time_ms due_ms;
} report;

/* Instances that report losses to each other.  */
typedef struct
{
  mm_suspects *records[PEERS];
  int changes[PEERS]; /* of each record */
  GList *reports;     /* report * */
  GRand *random;
  mm_time_ms last_due_ms[PEERS][PEERS]; /* a link keeps the order */
  int from;                             /* whose record changes */
} loss_network;

/* Sends a loss over all links, each of which takes up to 2 s.  */
static void
send_report (void *ctx, const mm_loss *l)
{
  loss_network *n = ctx;
  int from = n->from;
  n->changes[from]++;
  for (int to = 0; to < PEERS; to++)
    {
      if (to == from)
        continue;
      report *r = g_new0 (report, 1);
      msgpack_sbuffer_init (&r->bytes);
      mm_mesh_pack_loss (&r->bytes, l);
      r->to = to;
      r->due_ms = MAX (n->last_due_ms[from][to],
                       now_ms + g_rand_int_range (n->random, 1, 2000));
      n->last_due_ms[from][to] = r->due_ms;
      n->reports = g_list_append (n->reports, r);
    }
}

/* Delivers the reports that are due.  Returns how many.  */
static int
deliver_reports (loss_network *n)
{
  int delivered = 0;
  GList *next;
  for (GList *l = n->reports; l; l = next)
    {
      report *r = l->data;
      next = l->next;
      if (r->due_ms > now_ms)
        continue;
      msgpack_unpacked u;
      msgpack_unpacked_init (&u);
      size_t offset = 0;
      mm_mesh_msg m;
      ck_assert (
          msgpack_unpack_next (&u, r->bytes.data, r->bytes.size, &offset)
              == MSGPACK_UNPACK_SUCCESS
          && mm_mesh_msg_read (&u.data, &m));
      n->from = r->to;
      mm_suspects_record (n->records[r->to], &m.loss);
      mm_mesh_msg_clear (&m);
      msgpack_unpacked_destroy (&u);
      msgpack_sbuffer_destroy (&r->bytes);
      g_free (r);
      n->reports = g_list_delete_link (n->reports, l);
      next = n->reports;
      delivered++;
    }
  return delivered;
}

/* Guards against reports that never cease.  An upstream answers again 100 ms
   after it was lost, and the reports of both arrive out of order, over links
   that are slow.  */
START_TEST (reports_of_a_loss_that_is_over_cease)
{
  loss_network n = { .random = g_rand_new_with_seed ((guint32)_i) };
  for (int i = 0; i < PEERS; i++)
    {
      n.records[i] = suspects_setup ();
      mm_suspects_on_changed (n.records[i], send_report, &n);
    }
  mm_task_id id = task ("innocent", 0);
  int deliveries = 0;
  for (int twice = 0; twice < 2; twice++)
    {
      n.from = twice;
      record_loss (n.records[twice], 0, MM_LOSS_OPEN, &id, 1);
      now_ms += 100;
      mm_suspects_alive (n.records[twice], "up0", 0);
      for (int t = 0; t < 5000 && deliveries < MAX_DELIVERIES; t++, now_ms++)
        deliveries += deliver_reports (&n);
    }
  ck_assert_ptr_null (n.reports);
  for (int i = 0; i < PEERS; i++)
    {
      ck_assert_int_le (n.changes[i], MAX_CHANGES_EACH);
      ck_assert_uint_eq (mm_suspects_count (n.records[i]), 0);
      ck_assert_int_eq (mm_suspects_decide (n.records[i], &id),
                        MM_SUSPECT_RUN);
      mm_suspects_destroy (n.records[i]);
    }
  g_rand_free (n.random);
  mm_clock_set_source (NULL, NULL);
}
END_TEST

static void
record_report (void *ctx, const mm_loss *l)
{
  mm_suspects_record (ctx, l);
}

static void
count_report (void *ctx, const mm_loss *l)
{
  (void)l;
  ++((loss_network *)ctx)->changes[0];
}

/* Guards against a crash that other instances take for an old loss, because
   the instance that reports it has restarted and counts the losses of the
   upstream anew.  */
START_TEST (crash_reported_after_a_restart_counts)
{
  mm_suspects *stays = suspects_setup (), *restarted = mm_suspects_create ();
  mm_task_id innocent = task ("innocent", 0), poison = task ("poison", 0);
  record_loss (stays, 0, MM_LOSS_OPEN, &innocent, 1);
  mm_suspects_alive (stays, "up0", 0);
  now_ms += 3000;
  mm_suspects_foreach (stays, record_report, restarted);
  now_ms += 3000;
  record_loss (restarted, 0, MM_LOSS_CRASHED, &poison, 1);
  mm_suspects_foreach (restarted, record_report, stays);
  ck_assert_int_eq (mm_suspects_decide (stays, &poison), MM_SUSPECT_ISOLATE);
  ck_assert_int_eq (mm_suspects_decide (stays, &innocent), MM_SUSPECT_RUN);
  mm_suspects_destroy (restarted);
  suspects_teardown (stays);
}
END_TEST

/* Guards against losses that are over and are passed on for ever, by links
   that open after one of two instances has dropped them.  */
START_TEST (loss_that_is_over_expires_everywhere_at_the_same_time)
{
  mm_suspects *s[2] = { suspects_setup (), mm_suspects_create () };
  mm_task_id id = task ("innocent", 0);
  record_loss (s[0], 0, MM_LOSS_OPEN, &id, 1);
  mm_suspects_alive (s[0], "up0", 0);
  loss_network n = { .random = NULL };
  const mm_time_ms unlinked_ms = 10000;
  now_ms += unlinked_ms;
  for (mm_time_ms t = unlinked_ms; t <= MM_SUSPECTS_OPEN_KEEP_MS;
       t += 1000, now_ms += 1000)
    for (int to = 1; to >= 0; to--)
      {
        mm_suspects_tick (s[!to]);
        mm_suspects_foreach (s[!to], record_report, s[to]);
      }
  now_ms -= 1000;
  for (int i = 0; i < 2; i++)
    {
      mm_suspects_tick (s[i]);
      mm_suspects_foreach (s[i], count_report, &n);
    }
  ck_assert_int_eq (n.changes[0], 0);
  mm_suspects_destroy (s[1]);
  suspects_teardown (s[0]);
}
END_TEST

/* The record of losses must not grow without limit: at most MM_SUSPECTS_MAX
   losses are kept, and each for MM_SUSPECTS_KEEP_MS.  */
START_TEST (losses_are_bounded_and_expire)
{
  mm_suspects *s = suspects_setup ();
  for (int i = 0; i < 2 * (int)MM_SUSPECTS_MAX; i++)
    {
      mm_task_id id = task ("many", (uint32_t)i);
      record_loss (s, i, MM_LOSS_CRASHED, &id, 1);
    }
  ck_assert_uint_eq (mm_suspects_count (s), MM_SUSPECTS_MAX);
  now_ms += MM_SUSPECTS_KEEP_MS;
  mm_suspects_tick (s);
  ck_assert_uint_eq (mm_suspects_count (s), 0);
  suspects_teardown (s);
}
END_TEST

static void
count_change (void *ctx, const mm_loss *l)
{
  ++*(int *)ctx;
}

/* Guards against reports that go round for ever because a loss that made room
   for another one is news again.  */
START_TEST (loss_beyond_the_bound_is_not_passed_on)
{
  mm_suspects *s = suspects_setup ();
  for (int i = 0; i < (int)MM_SUSPECTS_MAX; i++)
    {
      mm_task_id id = task ("many", (uint32_t)i);
      record_loss (s, (uint32_t)i, MM_LOSS_OPEN, &id, 1);
    }
  int changes = 0;
  mm_suspects_on_changed (s, count_change, &changes);
  mm_task_id first = task ("many", 0), extra = task ("extra", 0);
  record_loss (s, MM_SUSPECTS_MAX, MM_LOSS_OPEN, &extra, 1);
  record_loss (s, 0, MM_LOSS_OPEN, &first, 1);
  ck_assert_int_eq (changes, 0);
  ck_assert_int_eq (mm_suspects_decide (s, &first), MM_SUSPECT_ISOLATE);
  suspects_teardown (s);
}
END_TEST

/* Guards against a crash that counts for no task, as losses that are over fill
   the record.  */
START_TEST (loss_that_is_over_makes_room)
{
  mm_suspects *s = suspects_setup ();
  for (int i = 0; i < (int)MM_SUSPECTS_MAX; i++)
    {
      char name[16];
      mm_task_id id = task ("many", (uint32_t)i);
      record_loss (s, i, MM_LOSS_OPEN, &id, 1);
      g_snprintf (name, sizeof name, "up%d", i);
      mm_suspects_alive (s, name, 0);
    }
  mm_task_id id = task ("crashed", 0);
  record_loss (s, MM_SUSPECTS_MAX, MM_LOSS_CRASHED, &id, 1);
  ck_assert_uint_eq (mm_suspects_count_crashes (s, &id), 1);
  ck_assert_uint_eq (mm_suspects_count (s), 1);
  suspects_teardown (s);
}
END_TEST

/* ---- with an owner ---------------------------------------------------- */

/* In thousandths of a core.  Two tasks of TASK_CPU_MILLI fit.  */
#define UPSTREAM_CPU_MILLI 32000
#define TASK_CPU_MILLI 14000

/* An owner that records lost upstreams in @suspects.  */
typedef struct
{
  fakes *upstreams;
  mm_owner *owner;
  mm_suspects *suspects;
} fixture;

static fixture
fixture_create (void)
{
  fixture fx
      = { .upstreams = fakes_create (), .suspects = mm_suspects_create () };
  mm_exec_port port = fakes_port (fx.upstreams);
  fx.owner = mm_owner_create (&port);
  mm_owner_set_suspects (fx.owner, fx.suspects);
  return fx;
}

static void
fixture_destroy (fixture *fx)
{
  mm_owner_destroy (fx->owner);
  mm_suspects_destroy (fx->suspects);
  fakes_destroy (fx->upstreams);
}

/* Stores how a task ended.  @ctx: an mm_end.  */
static void
on_done (void *ctx, const mm_work_result *r)
{
  *(mm_end *)ctx = r->how;
}

/* Submits a task that takes TASK_CPU_MILLI for 3 s.  @isolated: whether it is
   suspect.  @how: receives its end, MM_END_COUNT until then.  */
static mm_task_id
start_task (fixture *fx, const char *job, bool isolated, mm_end *how)
{
  mm_task_request t = fakes_task (job, 0, TASK_CPU_MILLI, 3000);
  t.isolated = isolated;
  *how = MM_END_COUNT;
  mm_owner_submit (fx->owner, &t, on_done, how);
  return t.id;
}

/* Upstreams are unresponsive for a while and then answer as the same
   incarnation.  A task that is lost with one such upstream after another must
   not be given up.  @raises_token: the owner raises its fencing token before
   the upstream answers again.  */
static void
lose_task_with_disconnected_upstreams (bool raises_token)
{
  fixture fx = fixture_create ();
  char name[16];
  for (int i = 0; i < 6; i++)
    {
      g_snprintf (name, sizeof name, "up%d", i);
      fake *x = fakes_add (fx.upstreams, name, UPSTREAM_CPU_MILLI);
      mm_owner_add_upstream (fx.owner, fake_info (x), 5);
      fakes_run (fx.upstreams, fx.owner, 10);
      mm_end how;
      mm_task_id id = start_task (&fx, "innocent", i > 0, &how);
      fakes_run (fx.upstreams, fx.owner, 100);
      ck_assert_uint_eq (fake_running (x), 1);
      fake_mode_of (x)->unresponsive = true;
      fakes_run (fx.upstreams, fx.owner, 1800);
      ck_assert_int_eq (how, MM_END_LOST);
      ck_assert_int_eq (mm_suspects_decide (fx.suspects, &id),
                        MM_SUSPECT_ISOLATE);
      if (raises_token)
        mm_owner_raise_fence (fx.owner, name, 6);
      fake_mode_of (x)->unresponsive = false;
      fakes_run (fx.upstreams, fx.owner, 1000);
      ck_assert_int_eq (mm_suspects_decide (fx.suspects, &id), MM_SUSPECT_RUN);
      mm_owner_remove_upstream (fx.owner, name);
    }
  fixture_destroy (&fx);
}

/* Guards against a task that is given up although no upstream crashed.  */
START_TEST (task_on_disconnected_upstreams_is_never_given_up)
{
  lose_task_with_disconnected_upstreams (false);
}
END_TEST

/* Guards against a raised token that hides that an upstream is back.  */
START_TEST (upstream_is_back_though_the_token_was_raised)
{
  lose_task_with_disconnected_upstreams (true);
}
END_TEST

/* The restart of an upstream counts as a crash unless the upstream was listed
   as draining before it.  */
START_TEST (restarted_upstream_has_crashed_unless_it_was_draining)
{
  fixture fx = fixture_create ();
  fake *a = fakes_add (fx.upstreams, "a", UPSTREAM_CPU_MILLI),
       *b = fakes_add (fx.upstreams, "b", UPSTREAM_CPU_MILLI);
  mm_end how;
  mm_owner_add_upstream (fx.owner, fake_info (a), 5);
  fakes_run (fx.upstreams, fx.owner, 10);
  mm_task_id id = start_task (&fx, "crash", false, &how);
  fakes_run (fx.upstreams, fx.owner, 100);
  fake_restart (a);
  fakes_run (fx.upstreams, fx.owner, 500);
  ck_assert_int_eq (how, MM_END_LOST);
  ck_assert_uint_eq (mm_suspects_count_crashes (fx.suspects, &id), 1);
  mm_owner_add_upstream (fx.owner, fake_info (b), 5);
  fakes_run (fx.upstreams, fx.owner, 10);
  start_task (&fx, "crash", true, &how);
  fakes_run (fx.upstreams, fx.owner, 100);
  fake_set_draining (b, true);
  mm_owner_update_upstream (fx.owner, fake_info (b));
  fake_restart (b);
  fakes_run (fx.upstreams, fx.owner, 500);
  ck_assert_int_eq (how, MM_END_LOST);
  ck_assert_uint_eq (mm_suspects_count_crashes (fx.suspects, &id), 1);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against a task that is given up for crashes of upstreams that it
   never reached.  Upstreams crash one after the other, and each refuses the
   connection for the task's start before another incarnation is there.  */
START_TEST (refused_start_makes_no_task_suspect)
{
  fixture fx = fixture_create ();
  char name[16];
  mm_end how;
  mm_task_id id = start_task (&fx, "innocent", false, &how);
  for (int i = 0; i < 3; i++)
    {
      g_snprintf (name, sizeof name, "up%d", i);
      fake *x = fakes_add (fx.upstreams, name, UPSTREAM_CPU_MILLI);
      mm_owner_add_upstream (fx.owner, fake_info (x), 5);
      /* The hold that lists the runs is on its way; the start comes after.  */
      fake_mode_of (x)->refuses_connections = true;
      fakes_run (fx.upstreams, fx.owner, 100);
      ck_assert_uint_eq (fake_starts (x), 0);
      fake_mode_of (x)->refuses_connections = false;
      fake_restart (x);
      fakes_run (fx.upstreams, fx.owner, 200);
      ck_assert_uint_eq (mm_suspects_count_crashes (fx.suspects, &id), 0);
      ck_assert_int_eq (mm_suspects_decide (fx.suspects, &id), MM_SUSPECT_RUN);
      mm_owner_remove_upstream (fx.owner, name);
    }
  ck_assert_int_eq (how, MM_END_COUNT);
  fake *x = fakes_add (fx.upstreams, "sound", UPSTREAM_CPU_MILLI);
  mm_owner_add_upstream (fx.owner, fake_info (x), 5);
  fakes_run (fx.upstreams, fx.owner, 3200);
  ck_assert_int_eq (how, MM_END_DONE);
  fixture_destroy (&fx);
}
END_TEST

/* Guards against a task that is given up although it may never have run.  Its
   starts at three upstreams get no answer, and the upstreams crash.  The task
   must not be given up, and must not be started a fourth time.  */
START_TEST (unanswered_starts_are_no_evidence)
{
  fixture fx = fixture_create ();
  char name[16];
  mm_task_id id;
  for (int i = 0; i < 3; i++)
    {
      g_snprintf (name, sizeof name, "up%d", i);
      fake *x = fakes_add (fx.upstreams, name, UPSTREAM_CPU_MILLI);
      mm_owner_add_upstream (fx.owner, fake_info (x), 5);
      fakes_run (fx.upstreams, fx.owner, 10);
      fake_mode_of (x)->unresponsive = true;
      mm_end how;
      id = start_task (&fx, "unanswered", i > 0, &how);
      fakes_run (fx.upstreams, fx.owner, 300);
      fake_mode_of (x)->unresponsive = false;
      fake_restart (x);
      fakes_run (fx.upstreams, fx.owner, 3000);
      ck_assert_int_eq (how, MM_END_LOST);
      ck_assert_uint_eq (fake_starts (x), 0);
      ck_assert_int_eq (mm_suspects_decide (fx.suspects, &id),
                        i < 2 ? MM_SUSPECT_ISOLATE : MM_SUSPECT_POSTPONE);
      mm_owner_remove_upstream (fx.owner, name);
    }
  fixture_destroy (&fx);
}
END_TEST

/* Guards against a poison task that is never suspect because its run fails
   just before its upstream crashes.  The crash must count for it, but not for
   a task that failed there long before.  */
START_TEST (crash_just_after_a_failed_run_counts)
{
  fixture fx = fixture_create ();
  fake *x = fakes_add (fx.upstreams, "a", UPSTREAM_CPU_MILLI);
  mm_owner_add_upstream (fx.owner, fake_info (x), 5);
  fakes_run (fx.upstreams, fx.owner, 10);
  fake_mode_of (x)->fails_tasks = true;
  mm_end how;
  mm_task_id before = start_task (&fx, "before", false, &how);
  fakes_run (fx.upstreams, fx.owner, 3000);
  ck_assert_int_eq (how, MM_END_FAILED);
  mm_task_id id = start_task (&fx, "poison", false, &how);
  fakes_run (fx.upstreams, fx.owner, 40);
  ck_assert_int_eq (how, MM_END_FAILED);
  fake_restart (x);
  fakes_run (fx.upstreams, fx.owner, 2000);
  ck_assert_uint_eq (mm_suspects_count_crashes (fx.suspects, &id), 1);
  ck_assert_uint_eq (mm_suspects_count_crashes (fx.suspects, &before), 0);
  fixture_destroy (&fx);
}
END_TEST

/* Ignores a run of a previous owner; the test adopts it.  */
static void
ignore_found (void *ctx, const mm_found_run *r)
{
}

/* Starts the suspect task "suspect" at the only upstream, or adopts its run
   there from a previous owner.  */
static mm_task_id
run_suspect (fixture *fx, fake *x, bool adopts, mm_end *how)
{
  mm_owner_transfer_port port = { .found = ignore_found };
  mm_owner_set_transfer_port (fx->owner, &port);
  if (adopts)
    fake_start_foreign (x, "suspect", 4, TASK_CPU_MILLI, 3000);
  mm_owner_add_upstream (fx->owner, fake_info (x), 5);
  fakes_run (fx->upstreams, fx->owner, 10);
  if (!adopts)
    return start_task (fx, "suspect", true, how);
  mm_task_request t = fakes_task ("suspect", 0, TASK_CPU_MILLI, 3000);
  t.isolated = true;
  t.running_at = "a";
  t.run = 1;
  t.ran_ms = 10;
  *how = MM_END_COUNT;
  mm_owner_submit (fx->owner, &t, on_done, how);
  return t.id;
}

/* Lets the upstream crash @ms after a suspect task has started there or was
   adopted.  @beside_ms: when another task is started, which the upstream
   refuses if @refuses is set and which is done 20 ms later otherwise; 0: none
   is.  Returns how the suspect task may be run then.  */
static mm_suspect_action
crash_under_suspect (mm_time_ms ms, mm_time_ms beside_ms, bool adopts,
                     bool refuses)
{
  fixture fx = fixture_create ();
  fake *x = fakes_add (fx.upstreams, "a", UPSTREAM_CPU_MILLI);
  mm_end how, how_beside = MM_END_COUNT;
  mm_task_id id = run_suspect (&fx, x, adopts, &how);
  record_loss_since (fx.suspects, 0, MM_LOSS_CRASHED,
                     fakes_now (fx.upstreams) - 5000, &id, 1);
  fakes_run (fx.upstreams, fx.owner, beside_ms ? beside_ms : ms);
  ck_assert_uint_eq (fake_running (x), 1);
  if (beside_ms)
    {
      fake_mode_of (x)->unhealthy = refuses;
      mm_task_request t = fakes_task ("beside", 0, TASK_CPU_MILLI, 20);
      mm_owner_submit (fx.owner, &t, on_done, &how_beside);
      fakes_run (fx.upstreams, fx.owner, ms - beside_ms);
      ck_assert_int_eq (how_beside, refuses ? MM_END_COUNT : MM_END_DONE);
      ck_assert_uint_eq (fake_starts (x), refuses ? 1 : 2);
    }
  ck_assert_int_eq (how, MM_END_COUNT);
  fake_restart (x);
  fakes_run (fx.upstreams, fx.owner, 50);
  ck_assert_int_eq (how, MM_END_LOST);
  ck_assert_uint_eq (mm_suspects_count_crashes (fx.suspects, &id), 2);
  fakes_run (fx.upstreams, fx.owner, MM_SUSPECTS_COINCIDE_MS);
  mm_suspect_action action = mm_suspects_decide (fx.suspects, &id);
  fixture_destroy (&fx);
  return action;
}

/* Guards against an innocent task that is given up because another start was
   sent shortly before a crash, which came long after the task's own start.  */
START_TEST (start_of_another_task_does_not_decide)
{
  bool refuses = _i == 1, adopts = _i == 2;
  ck_assert_int_eq (crash_under_suspect (1500, 1450, adopts, refuses),
                    MM_SUSPECT_ISOLATE);
}
END_TEST

/* Guards against a poison task that runs a third time although an upstream
   crashed right after its start, and against an adopted run, whose start is
   not known, that is taken for one that has just started.  */
START_TEST (own_start_decides_unless_it_is_not_known)
{
  ck_assert_int_eq (crash_under_suspect (20, 0, false, false),
                    MM_SUSPECT_GIVE_UP);
  ck_assert_int_eq (crash_under_suspect (20, 0, true, false),
                    MM_SUSPECT_ISOLATE);
}
END_TEST

/* Guards against a crash that counts for no task because the upstream changes
   owners before its loss is noticed.  If the next owner reaches the upstream,
   the task must not be suspect any more.  */
START_TEST (crash_during_a_handover_counts)
{
  for (int crashes = 0; crashes < 2; crashes++)
    {
      fixture fx = fixture_create ();
      fake *x = fakes_add (fx.upstreams, "a", UPSTREAM_CPU_MILLI);
      mm_owner_add_upstream (fx.owner, fake_info (x), 5);
      fakes_run (fx.upstreams, fx.owner, 10);
      mm_end how;
      mm_task_id id = start_task (&fx, "handed-over", false, &how);
      fakes_run (fx.upstreams, fx.owner, 100);
      fake_mode_of (x)->unresponsive = true;
      fakes_run (fx.upstreams, fx.owner, 500);
      ck_assert_int_eq (mm_suspects_decide (fx.suspects, &id), MM_SUSPECT_RUN);
      mm_owner_remove_upstream (fx.owner, "a");
      ck_assert_int_eq (mm_suspects_decide (fx.suspects, &id),
                        MM_SUSPECT_ISOLATE);
      fake_mode_of (x)->unresponsive = false;
      if (crashes)
        {
          mm_upstream_info again = *fake_info (x);
          again.name = (char *)"a-again";
          mm_owner_update_upstream (fx.owner, &again);
        }
      else
        {
          mm_owner_add_upstream (fx.owner, fake_info (x), 6);
          fakes_run (fx.upstreams, fx.owner, 10);
          ck_assert_int_eq (mm_suspects_decide (fx.suspects, &id),
                            MM_SUSPECT_RUN);
        }
      ck_assert_int_eq (mm_suspects_count_crashes (fx.suspects, &id), crashes);
      fixture_destroy (&fx);
    }
}
END_TEST

/* Guards against tasks that are suspect because a healthy upstream changed
   owners.  The upstream does not answer for a while, and another owner has it
   when it answers again.  */
START_TEST (upstream_that_answers_as_fenced_is_not_lost)
{
  for (int renews = 0; renews < 2; renews++)
    {
      fixture fx = fixture_create ();
      fake *x = fakes_add (fx.upstreams, "a", UPSTREAM_CPU_MILLI);
      mm_owner_add_upstream (fx.owner, fake_info (x), 5);
      fakes_run (fx.upstreams, fx.owner, 10);
      mm_end how;
      mm_task_id id = start_task (&fx, "innocent", false, &how);
      fakes_run (fx.upstreams, fx.owner, 100);
      fake_mode_of (x)->unresponsive = true;
      fakes_run (fx.upstreams, fx.owner, 500);
      fake_renew_foreign (x, 6);
      fake_mode_of (x)->unresponsive = false;
      fakes_run (fx.upstreams, fx.owner, 200);
      ck_assert (mm_owner_fenced (fx.owner, "a"));
      ck_assert (fake_is_running (x, &id));
      if (renews)
        mm_owner_add_upstream (fx.owner, fake_info (x), 7);
      else
        mm_owner_remove_upstream (fx.owner, "a");
      ck_assert_uint_eq (mm_suspects_count (fx.suspects), 0);
      ck_assert_int_eq (mm_suspects_decide (fx.suspects, &id), MM_SUSPECT_RUN);
      fixture_destroy (&fx);
    }
}
END_TEST

/* A crash identifies the poison task only if no other task ran on that
   upstream.  So suspect tasks must run isolated: beside no other task while
   there is other free capacity.  */
START_TEST (suspect_runs_isolated)
{
  fixture fx = fixture_create ();
  fake *x[3];
  static const char *const names[] = { "a", "b", "c" };
  for (int i = 0; i < 3; i++)
    {
      x[i] = fakes_add (fx.upstreams, names[i], UPSTREAM_CPU_MILLI);
      mm_owner_add_upstream (fx.owner, fake_info (x[i]), 5);
    }
  fakes_run (fx.upstreams, fx.owner, 10);
  mm_end how[4];
  start_task (&fx, "first", false, &how[0]);
  start_task (&fx, "suspect", true, &how[1]);
  fakes_run (fx.upstreams, fx.owner, 10);
  size_t max_running = 0;
  for (int i = 0; i < 3; i++)
    max_running = MAX (max_running, fake_running (x[i]));
  ck_assert_uint_eq (max_running, 1);
  start_task (&fx, "another", true, &how[2]);
  start_task (&fx, "second", false, &how[3]);
  fakes_run (fx.upstreams, fx.owner, 10);
  uint32_t alone = 0; /* upstreams with a single run */
  for (int i = 0; i < 3; i++)
    alone += fake_running (x[i]) == 1;
  ck_assert_uint_eq (alone, 2); /* the two suspect tasks */
  fixture_destroy (&fx);
}
END_TEST

/* ---- with jobs --------------------------------------------------------- */

/* An instance with one upstream that runs jobs.  */
typedef struct
{
  fixture fx;
  struct ev_loop *loop;
  mm_mesh *mesh;
  mm_fleet *fleet;
  mm_jobs *jobs;
} jobs_fixture;

static jobs_fixture
jobs_fixture_create (void)
{
  jobs_fixture j
      = { .fx = fixture_create (), .loop = ev_loop_new (EVFLAG_AUTO) };
  j.mesh = mm_mesh_create (j.loop, "n@127.0.0.1:1/dc", "dc", "127.0.0.1",
                           (uint16_t)h_port_base (), j.fx.owner, NULL);
  ck_assert_ptr_nonnull (j.mesh);
  j.fleet = mm_fleet_create (j.fx.owner, j.mesh, "dc");
  mm_fleet_set_suspects (j.fleet, j.fx.suspects);
  j.jobs = mm_jobs_create (j.fleet);
  fake *x = fakes_add (j.fx.upstreams, "sound", UPSTREAM_CPU_MILLI);
  mm_owner_add_upstream (j.fx.owner, fake_info (x), 5);
  fakes_run (j.fx.upstreams, j.fx.owner, 10);
  return j;
}

static void
jobs_fixture_destroy (jobs_fixture *j)
{
  mm_jobs_destroy (j->jobs);
  mm_fleet_destroy (j->fleet);
  mm_mesh_destroy (j->mesh);
  ev_loop_destroy (j->loop);
  fixture_destroy (&j->fx);
}

static void
jobs_fixture_run (jobs_fixture *j, mm_time_ms ms)
{
  for (mm_time_ms i = 0; i < ms; i += MM_EXEC_TICK_MS)
    {
      fakes_run (j->fx.upstreams, j->fx.owner, MM_EXEC_TICK_MS);
      mm_jobs_tick (j->jobs);
    }
}

/* The answer to a job.  */
typedef struct
{
  bool answered;
  mm_answer_kind kind;
  uint32_t retry_after_s;
} job_answer;

static void
on_answer (void *ctx, const mm_answer *a)
{
  *(job_answer *)ctx = (job_answer){ .answered = true,
                                     .kind = a->kind,
                                     .retry_after_s = a->retry_after_s };
}

/* Submits a job of one task that takes 100 ms.  Its caller waits for 20 s.  */
static void
submit_job (jobs_fixture *j, const char *id, job_answer *answer)
{
  mm_submission *s = g_new0 (mm_submission, 1);
  g_strlcpy (s->id, id, sizeof s->id);
  s->best_effort = true;
  s->n_steps = 1;
  s->steps = g_new0 (mm_step, 1);
  s->steps[0].count = 1;
  s->steps[0].resources.cpu_milli = TASK_CPU_MILLI;
  s->steps[0].estimate_ms = 100;
  s->steps[0].payload = g_strdup_printf ("%d 100", TASK_CPU_MILLI);
  mm_route route = { .name = (char *)"q",
                     .service = (char *)"svc",
                     .attempts = 3,
                     .stretch = 2,
                     .slo_ms = 20000 };
  *answer = (job_answer){ .answered = false };
  mm_jobs_submit (j->jobs, s, &route, 20000, on_answer, answer);
}

/* Records that an upstream crashed alone with this task, and two others at the
   same time with tasks of their own.  @number: of the first of the three.  */
static void
record_crash_in_mass_loss (jobs_fixture *j, int number, const mm_task_id *id)
{
  mm_time_ms since_ms = fakes_now (j->fx.upstreams);
  record_loss_since (j->fx.suspects, number, MM_LOSS_CRASHED, since_ms, id, 1);
  for (int i = number + 1; i <= number + 2; i++)
    {
      mm_task_id other = task ("other", (uint32_t)i);
      record_loss_since (j->fx.suspects, i, MM_LOSS_CRASHED, since_ms, &other,
                         1);
    }
}

/* Guards against a job that is answered as failed because of mass losses.
   After two of them its task waits until they are over, and is run.  */
START_TEST (job_after_two_mass_losses_completes)
{
  jobs_fixture j = jobs_fixture_create ();
  mm_task_id id = task ("unlucky", 0);
  record_crash_in_mass_loss (&j, 0, &id);
  record_crash_in_mass_loss (&j, 10, &id);
  job_answer answer;
  submit_job (&j, "unlucky", &answer);
  jobs_fixture_run (&j, MM_SUSPECTS_CALM_MS / 2);
  ck_assert (!answer.answered);
  jobs_fixture_run (&j, MM_SUSPECTS_CALM_MS);
  ck_assert (answer.answered);
  ck_assert_int_eq (answer.kind, MM_ANSWER_COMPLETED);
  jobs_fixture_destroy (&j);
}
END_TEST

/* Guards against the same after three mass losses.  The task does not run
   again while the caller waits, so the job must be refused at once with a time
   to come back.  */
START_TEST (job_after_three_mass_losses_is_refused_not_failed)
{
  jobs_fixture j = jobs_fixture_create ();
  mm_task_id id = task ("unlucky", 0);
  for (int i = 0; i < 3; i++)
    {
      record_crash_in_mass_loss (&j, 10 * i, &id);
      jobs_fixture_run (&j, 5000);
    }
  job_answer answer;
  submit_job (&j, "unlucky", &answer);
  jobs_fixture_run (&j, 100);
  ck_assert (answer.answered);
  ck_assert_int_eq (answer.kind, MM_ANSWER_REFUSED);
  ck_assert_uint_gt (answer.retry_after_s, 0);
  jobs_fixture_destroy (&j);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("suspects");
  TCase *c = tcase_create ("blame");
  tcase_add_test (c, task_is_given_up_after_two_crashes);
  tcase_add_test (c, later_incarnation_with_its_name_shows_a_crash);
  tcase_add_test (c, disconnects_drains_and_expired_entries_are_no_crashes);
  tcase_add_test (c, tasks_beside_a_poison_task_are_not_given_up);
  tcase_add_test (c, suspect_beside_a_new_poison_task_is_not_given_up);
  tcase_add_test (c, third_crash_decides_between_two_suspects);
  tcase_add_test (c, crashes_in_a_mass_loss_are_no_evidence);
  tcase_add_test (c, crashes_of_idle_upstreams_show_a_mass_loss);
  tcase_add_test (c, idle_upstreams_without_an_answer_are_no_mass_loss);
  tcase_add_test (c, idle_upstreams_that_were_lost_before_are_no_mass_loss);
  tcase_add_test (c, crash_waits_for_news_of_other_crashes);
  tcase_add_test (c, task_does_not_run_after_three_crashes_in_mass_losses);
  tcase_add_test (
      c, task_that_ran_alone_only_before_it_was_suspect_is_not_given_up);
  tcase_add_loop_test (
      c, reports_of_crashes_in_any_order_give_the_same_evidence, 0, 4);
  tcase_add_test (c, second_loss_of_an_upstream_counts_at_its_time);
  tcase_add_test (c, crash_long_after_the_start_does_not_decide);
  tcase_add_test (c, upstream_that_answered_can_be_lost_again);
  tcase_add_test (c, known_loss_is_not_reported_again);
  tcase_add_loop_test (c, reports_of_a_loss_that_is_over_cease, 0, 20);
  tcase_add_test (c, crash_reported_after_a_restart_counts);
  tcase_add_test (c, loss_that_is_over_expires_everywhere_at_the_same_time);
  tcase_add_test (c, losses_are_bounded_and_expire);
  tcase_add_test (c, loss_beyond_the_bound_is_not_passed_on);
  tcase_add_test (c, loss_that_is_over_makes_room);
  suite_add_tcase (s, c);
  c = tcase_create ("owner");
  tcase_add_test (c, task_on_disconnected_upstreams_is_never_given_up);
  tcase_add_test (c, upstream_is_back_though_the_token_was_raised);
  tcase_add_test (c, restarted_upstream_has_crashed_unless_it_was_draining);
  tcase_add_test (c, refused_start_makes_no_task_suspect);
  tcase_add_test (c, unanswered_starts_are_no_evidence);
  tcase_add_test (c, crash_just_after_a_failed_run_counts);
  tcase_add_loop_test (c, start_of_another_task_does_not_decide, 0, 3);
  tcase_add_test (c, own_start_decides_unless_it_is_not_known);
  tcase_add_test (c, crash_during_a_handover_counts);
  tcase_add_test (c, upstream_that_answers_as_fenced_is_not_lost);
  tcase_add_test (c, suspect_runs_isolated);
  suite_add_tcase (s, c);
  c = tcase_create ("jobs");
  tcase_add_test (c, job_after_two_mass_losses_completes);
  tcase_add_test (c, job_after_three_mass_losses_is_refused_not_failed);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
