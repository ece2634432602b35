/* Tests how an instance that has been restarted gets its partitions back from
   the store.  The clock stands still: what takes a poll of the store that only
   the time makes due never happens.  */
#include "config.h"
#include "mm_group_table.h"
#include "mm_node.h"
#include "mm_partitions.h"
#include "harness.h"

#include <check.h>
#include <string.h>

#define DATACENTRE "dc1"
#define OWNERS_GROUP "room-" DATACENTRE

static mm_time_ms
test_clock (void *ctx)
{
  return 1000;
}

/* ---- a store without a network ----------------------------------------- */

typedef enum
{
  CALL_JOIN,
  CALL_LEAVE,
  CALL_MEMBERS
} call_kind;

/* A call that is not answered yet.  */
typedef struct
{
  call_kind kind;
  char *group, *member;
  uint64_t generation;
  mm_join_answered joined;
  mm_members_answered listed;
  void *ctx;
} call;

typedef struct
{
  mm_group_table *owners, *jobs; /* the groups */
  GQueue calls;
  bool leaves_last; /* carries leaves out after the other calls that wait */
  guint n_joins;    /* joins of the instance that were carried out */
  size_t own_partitions; /* in the last answer to a join of the upstreams'
                            group */
} store;

static void
queue_call (store *s, const call *c)
{
  call *copy = g_memdup2 (c, sizeof *c);
  copy->group = g_strdup (c->group);
  copy->member = g_strdup (c->member);
  g_queue_push_tail (&s->calls, copy);
}

static void
store_join (void *ctx, const char *group, const char *member,
            uint64_t generation, mm_time_ms ttl_ms, mm_time_ms timeout_ms,
            mm_join_answered answered, void *answered_ctx)
{
  queue_call (ctx, &(call){ .kind = CALL_JOIN,
                            .group = (char *)group,
                            .member = (char *)member,
                            .generation = generation,
                            .joined = answered,
                            .ctx = answered_ctx });
}

static void
store_leave (void *ctx, const char *group, const char *member,
             mm_time_ms timeout_ms, mm_join_answered answered,
             void *answered_ctx)
{
  queue_call (ctx, &(call){ .kind = CALL_LEAVE,
                            .group = (char *)group,
                            .member = (char *)member,
                            .joined = answered,
                            .ctx = answered_ctx });
}

static void
store_members (void *ctx, const char *group, mm_time_ms timeout_ms,
               mm_members_answered answered, void *answered_ctx)
{
  queue_call (ctx, &(call){ .kind = CALL_MEMBERS,
                            .group = (char *)group,
                            .listed = answered,
                            .ctx = answered_ctx });
}

/* The other calls are not answered while the clock stands still.  */
static void
store_newest (void *ctx, mm_stream_kind kind, const char *after,
              mm_time_ms timeout_ms, mm_stream_answered answered,
              void *answered_ctx)
{
}

static void
store_append (void *ctx, const mm_append_request *a,
              mm_append_answered answered, void *answered_ctx)
{
}

static void
store_records (void *ctx, uint32_t partition, const char *after,
               mm_time_ms timeout_ms, mm_records_answered answered,
               void *answered_ctx)
{
}

static void
answer_join (store *s, mm_group_table *g, const call *c)
{
  uint32_t partitions[MM_DEFAULT_PARTITIONS];
  mm_join_result res = { .ok = true, .partitions = partitions };
  if (c->kind == CALL_LEAVE)
    mm_group_table_leave (g, c->member);
  else
    res.generation = mm_group_table_join (g, c->member, c->generation,
                                          MM_GROUP_TTL_MS, 1000);
  for (uint32_t i = 0; c->kind == CALL_JOIN && i < MM_DEFAULT_PARTITIONS; i++)
    if (g_strcmp0 (mm_group_table_holder (g, i), c->member) == 0)
      partitions[res.n_partitions++] = i;
  s->n_joins += c->kind == CALL_JOIN;
  if (c->kind == CALL_JOIN && g == s->owners)
    s->own_partitions = res.n_partitions;
  c->joined (&res, c->ctx);
}

static void
answer_members (mm_group_table *g, const call *c)
{
  const char *members[MM_DEFAULT_PARTITIONS];
  mm_partition_holder holders[MM_DEFAULT_PARTITIONS];
  mm_members_result res
      = { .ok = true, .members = members, .holders = holders };
  for (uint32_t i = 0; i < MM_DEFAULT_PARTITIONS; i++)
    {
      const char *member = mm_group_table_holder (g, i);
      if (!member)
        continue;
      holders[res.n_holders++] = (mm_partition_holder){ i, member };
      size_t k = 0;
      while (k < res.n_members && strcmp (members[k], member) != 0)
        k++;
      members[k] = member;
      res.n_members = MAX (res.n_members, k + 1);
    }
  c->listed (&res, c->ctx);
}

/* Carries out and answers the call that is next.  */
static void
store_step (store *s)
{
  GList *next = s->calls.head;
  while (s->leaves_last && next && next->next
         && ((call *)next->data)->kind == CALL_LEAVE)
    next = next->next;
  if (!next)
    return;
  call *c = next->data;
  g_queue_delete_link (&s->calls, next);
  mm_group_table *g
      = strcmp (c->group, OWNERS_GROUP) == 0 ? s->owners : s->jobs;
  if (c->kind == CALL_MEMBERS)
    answer_members (g, c);
  else
    answer_join (s, g, c);
  g_free (c->group);
  g_free (c->member);
  g_free (c);
}

/* ---- the instance under test ------------------------------------------- */

typedef struct
{
  struct ev_loop *loop;
  store store;
  char *datacentres[2];
  char *address_and_dc; /* of the instance, as in its member name */
  mm_node_settings settings;
  mm_node *node;
} fixture;

/* Adds a member to both groups, which confirms what it is assigned.  */
static void
add_member (fixture *f, const char *name)
{
  mm_group_table *groups[] = { f->store.owners, f->store.jobs };
  for (size_t i = 0; i < G_N_ELEMENTS (groups); i++)
    mm_group_table_join (
        groups[i], name,
        mm_group_table_join (groups[i], name, 0, MM_GROUP_TTL_MS, 1000),
        MM_GROUP_TTL_MS, 1000);
}

static fixture *
fixture_create (void)
{
  mm_clock_set_source (test_clock, NULL);
  fixture *f = g_new0 (fixture, 1);
  f->loop = ev_loop_new (EVFLAG_AUTO);
  f->store.owners = mm_group_table_create (MM_DEFAULT_PARTITIONS);
  f->store.jobs = mm_group_table_create (MM_DEFAULT_PARTITIONS);
  int port = h_port_base ();
  f->address_and_dc = g_strdup_printf ("@127.0.0.1:%d/" DATACENTRE, port);
  f->datacentres[0] = (char *)DATACENTRE;
  f->settings = (mm_node_settings){ .name = (char *)"node",
                                    .address = (char *)"127.0.0.1",
                                    .datacentre = (char *)DATACENTRE,
                                    .datacentres = f->datacentres,
                                    .mesh_advertise = (char *)"",
                                    .mesh_port = port,
                                    .partitions = MM_DEFAULT_PARTITIONS,
                                    .grace_ms = MM_DEFAULT_GRACE_MS };
  return f;
}

/* Adds the dead previous incarnation of the instance to the groups.  */
static void
add_predecessor (fixture *f)
{
  char *name = g_strconcat ("node.1x", f->address_and_dc, NULL);
  add_member (f, name);
  g_free (name);
}

/* Starts the instance.  Returns how many partitions it owns once nothing goes
   on any more.  */
static size_t
owned_after_start (fixture *f)
{
  mm_exec_port no_calls = { 0 };
  mm_store_port port = { .newest = store_newest,
                         .join = store_join,
                         .leave = store_leave,
                         .members = store_members,
                         .append = store_append,
                         .records = store_records,
                         .ctx = &f->store };
  f->node = mm_node_create (f->loop, &f->settings, &no_calls, &port, NULL);
  ck_assert_ptr_nonnull (f->node);
  for (int i = 0; i < 200; i++)
    {
      ev_run (f->loop, EVRUN_NOWAIT);
      store_step (&f->store);
      g_usleep (1000);
    }
  return f->store.own_partitions;
}

/* The node is not destroyed: calls of it are open.  */
static void
fixture_destroy (fixture *f)
{
  mm_clock_set_source (NULL, NULL);
  g_free (f->address_and_dc);
}

/* Guards against an instance that waits for its next poll of the store though
   the membership of its previous incarnation has ended.  */
START_TEST (partitions_are_asked_for_once_the_predecessor_has_left)
{
  fixture *f = fixture_create ();
  f->store.leaves_last = true;
  add_predecessor (f);
  ck_assert_uint_eq (owned_after_start (f), MM_DEFAULT_PARTITIONS);
  fixture_destroy (f);
}
END_TEST

/* Returns how many partitions a member of the upstreams' group holds.  */
static size_t
count_held (const store *s, const char *member)
{
  size_t n = 0;
  for (uint32_t i = 0; i < MM_DEFAULT_PARTITIONS; i++)
    n += g_strcmp0 (mm_group_table_holder (s->owners, i), member) == 0;
  return n;
}

/* Runs a membership without any time passing.  */
static void
run_membership (fixture *f, mm_partitions *set)
{
  for (int i = 0; i < 10; i++)
    {
      mm_partitions_tick (set);
      store_step (&f->store);
    }
}

/* Guards against an instance that lets the next owner of partitions wait for
   its next poll though it never knew that they were its own.  */
START_TEST (partitions_assigned_unseen_are_passed_on_at_once)
{
  fixture *f = fixture_create ();
  mm_store_port port = { .join = store_join, .ctx = &f->store };
  add_member (f, "gone");
  mm_partitions *set = mm_partitions_create (&port, OWNERS_GROUP, "n1",
                                             MM_DEFAULT_PARTITIONS);
  run_membership (f, set);
  mm_group_table_leave (f->store.owners, "gone");
  add_member (f, "n2");
  ck_assert_uint_eq (count_held (&f->store, "n2"), 0);
  mm_partitions_poll_now (set);
  run_membership (f, set);
  ck_assert_uint_eq (count_held (&f->store, "n1"), MM_DEFAULT_PARTITIONS / 2);
  ck_assert_uint_eq (count_held (&f->store, "n2"), MM_DEFAULT_PARTITIONS / 2);
  mm_partitions_destroy (set);
  fixture_destroy (f);
}
END_TEST

/* Guards against a flood of joins: while other members change without a
   pause, each regular call is followed by one early confirmation at most.  */
START_TEST (early_confirmations_are_bounded)
{
  fixture *f = fixture_create ();
  mm_store_port port = { .join = store_join, .ctx = &f->store };
  add_member (f, "owner");
  mm_partitions *set = mm_partitions_create (&port, OWNERS_GROUP, "n1",
                                             MM_DEFAULT_PARTITIONS);
  run_membership (f, set);
  mm_partitions_poll_now (set);
  f->store.n_joins = 0;
  for (int i = 0; i < 40; i++)
    {
      add_member (f, "n2");
      mm_group_table_leave (f->store.owners, "n2");
      mm_partitions_tick (set);
      store_step (&f->store);
    }
  ck_assert_uint_eq (f->store.n_joins, 2);
  mm_partitions_destroy (set);
  fixture_destroy (f);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("restart");
  TCase *c = tcase_create ("restart");
  tcase_add_test (c, partitions_are_asked_for_once_the_predecessor_has_left);
  tcase_add_test (c, partitions_assigned_unseen_are_passed_on_at_once);
  tcase_add_test (c, early_confirmations_are_bounded);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
