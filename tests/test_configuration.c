/* Tests how an instance follows the operators' configuration in a store that
   forgets its history, is behind, or loses, delays and refuses answers.  The
   tests set the clock.  */
#include "config.h"
#include "mm_configuration.h"
#include "harness.h"

#include <check.h>

#define CALL_MS 4                 /* round trip of a store call */
#define RECORD_BYTES (100u << 10) /* of a configuration with 500 routes */
#define PLAY_MS 60000             /* length of a play with random faults */
#define MAX_PUBLISHED_MS 2500     /* between two versions */
#define MAX_CALM_MS 8000          /* between two faults */
#define MAX_FAULT_MS 5000         /* length of a fault */
#define DEAF_MS 1000              /* waiting reads hear nothing for so long */
#define STALE_MS 3000             /* age of a stale answer */
#define SLOW_MS 400               /* additional time of a slow answer */
#define LOSS 0.3                  /* share of lost answers */
/* Some processes run for only a part of each tenth of a second.  */
#define QUOTA_PERIOD_MS 100
#define QUOTA_RUN_MS 25
#define BURST 8 /* versions in quick succession */

static mm_time_ms now_ms;
static char *datacentres[] = { "dc1", "dc2", NULL };

static mm_time_ms
test_clock (void *ctx)
{
  return now_ms;
}

/* ---- a store with the stream of the configuration ---------------------- */

/* A record of the stream.  */
typedef struct
{
  uint64_t version;
  mm_time_ms stored_ms;
  bool unusable; /* cannot be decoded, or its version is an older one */
} record;

/* A fault of the store, or of the instance.  */
typedef enum
{
  FAULT_NONE,
  FAULT_SILENT,  /* calls get no answer */
  FAULT_REFUSED, /* calls are refused */
  FAULT_SLOW,    /* answers are delayed by SLOW_MS */
  FAULT_LOSSY,   /* some answers are lost */
  FAULT_STALE,   /* answers are STALE_MS old */
  FAULT_DROPPED, /* waiting reads hear nothing, then the history is dropped */
  FAULT_STALL,   /* the instance stands still */
  FAULT_RESTART, /* the instance is killed and started */
  FAULT_BROKEN,  /* open connections go silent, and new ones work */
  N_FAULTS
} fault;

/* A call that has not been answered.  */
typedef struct
{
  bool newest;
  uint64_t from_offset;
  bool done;             /* the store has carried it out */
  bool lost;             /* there will be no answer */
  bool connecting;       /* not sent before the connection is open */
  mm_time_ms arrives_ms; /* at the store */
  mm_time_ms wait_ms;    /* the store waits so long for a record */
  uint64_t max_records;  /* that the answer holds */
  mm_time_ms answer_ms;  /* once done: when the answer arrives */
  mm_time_ms timeout_ms; /* when the caller gives up */
  mm_stream_result result;
  GArray *items; /* mm_stream_item */
  mm_stream_answered answered;
  void *ctx;
} call;

typedef struct
{
  GArray *records;       /* record, by offset */
  uint64_t first_offset; /* offset of the first record that is kept */
  GList *calls;          /* call *, not answered */
  bool connected;        /* the instance has an open connection */
  fault fault;
  double link_mbps; /* of the instance */
  GRand *random;
} store;

static const record *
record_at (const store *s, uint64_t offset)
{
  return &g_array_index (s->records, record, offset);
}

/* Appends a configuration.  */
static void
publish (store *s, uint64_t version, bool unusable)
{
  record r = { .version = version, .stored_ms = now_ms, .unusable = unusable };
  g_array_append_val (s->records, r);
}

/* Returns the offset past the newest record that the store shows.  */
static uint64_t
visible_end (const store *s)
{
  uint64_t end = s->records->len;
  if (s->fault == FAULT_STALE)
    while (end && record_at (s, end - 1)->stored_ms > now_ms - STALE_MS)
      end--;
  return end;
}

/* Adds a record to an answer.  A record that cannot be decoded is left out,
   as by the store port.  */
static void
add_record (call *c, const record *r)
{
  if (r->unusable && r->version == 0)
    return;
  mm_stream_item item = { .key = g_strdup ("config") };
  item.routes = mm_routes_new ();
  item.routes->version = r->version;
  g_array_append_val (c->items, item);
}

/* Carries a read out if it has not to wait for a record any more.  */
static void
carry_out (store *s, call *c)
{
  uint64_t end = visible_end (s);
  bool deaf = s->fault == FAULT_DROPPED;
  bool waits = !c->newest && c->from_offset >= s->first_offset
               && (deaf || end <= c->from_offset);
  if (waits && now_ms < c->arrives_ms + c->wait_ms)
    return;
  c->done = true;
  c->lost = s->fault == FAULT_LOSSY && g_rand_double (s->random) < LOSS;
  c->result.ok = s->fault != FAULT_REFUSED;
  c->result.history_dropped
      = c->result.ok && !c->newest && c->from_offset < s->first_offset;
  if (c->result.history_dropped)
    c->result.ok = false;
  c->result.why = c->result.ok ? NULL : "refused";
  uint64_t first = c->newest ? (end ? end - 1 : 0) : c->from_offset;
  uint64_t past = waits ? first : MIN (end, first + c->max_records);
  for (uint64_t i = first; c->result.ok && i < past; i++)
    add_record (c, record_at (s, i));
  c->result.end_offset = MAX (end, first);
  c->result.next_offset = c->newest ? end : MAX (past, first);
  c->result.items = (mm_stream_item *)(void *)c->items->data;
  c->result.n_items = c->items->len;
  c->answer_ms = now_ms + CALL_MS / 2 + (s->fault == FAULT_SLOW ? SLOW_MS : 0)
                 + (mm_time_ms)(c->items->len * RECORD_BYTES * 8
                                / (s->link_mbps * 1000));
}

static call *
send_call (store *s, mm_time_ms timeout_ms, mm_stream_answered answered,
           void *ctx)
{
  call *c = g_new0 (call, 1);
  c->items = g_array_new (FALSE, FALSE, sizeof (mm_stream_item));
  g_array_set_clear_func (c->items, mm_stream_item_clear);
  c->connecting = !s->connected;
  c->arrives_ms = now_ms + (c->connecting ? CALL_MS : CALL_MS / 2);
  c->timeout_ms = now_ms + timeout_ms;
  c->answered = answered;
  c->ctx = ctx;
  s->calls = g_list_append (s->calls, c);
  return c;
}

static void
store_newest (void *ctx, mm_stream_kind kind, const char *after,
              mm_time_ms timeout_ms, mm_stream_answered answered,
              void *answered_ctx)
{
  call *c = send_call (ctx, timeout_ms, answered, answered_ctx);
  c->newest = true;
  c->max_records = 1;
}

static void
store_tail (void *ctx, const mm_tail_request *t, mm_stream_answered answered,
            void *answered_ctx)
{
  call *c = send_call (ctx, t->timeout_ms, answered, answered_ctx);
  c->from_offset = t->from_offset;
  c->wait_ms = t->wait_ms;
  c->max_records = t->max_bytes / RECORD_BYTES;
}

/* Passes the result of a call on; it has timed out if it is not done.  */
static void
answer (store *s, call *c)
{
  s->calls = g_list_remove (s->calls, c);
  mm_stream_result timed_out = { .why = "no answer" };
  s->connected = c->done && !c->lost;
  c->answered (c->done && !c->lost ? &c->result : &timed_out, c->ctx);
  g_array_free (c->items, TRUE);
  g_free (c);
}

/* Carries out the calls that have arrived.  */
static void
step_store (store *s)
{
  for (GList *l = s->calls; l; l = l->next)
    {
      call *c = l->data;
      if (c->lost || c->done || c->connecting || now_ms < c->arrives_ms)
        continue;
      if (s->fault == FAULT_SILENT)
        c->lost = true;
      else
        carry_out (s, c);
    }
}

/* Lets the instance handle the events of its connections: sends the calls
   whose connection is open, and passes on the answers that have arrived.  */
static void
handle_events (store *s)
{
  GList *next;
  for (GList *l = s->calls; l; l = next)
    {
      call *c = l->data;
      next = l->next;
      if (c->connecting && !c->lost && now_ms >= c->arrives_ms)
        {
          c->connecting = false;
          c->arrives_ms = now_ms + CALL_MS / 2;
        }
      if ((c->done && !c->lost && now_ms >= c->answer_ms)
          || now_ms >= c->timeout_ms)
        answer (s, c);
    }
}

/* ---- an instance that reads the configuration -------------------------- */

typedef struct
{
  store store;
  bool quota; /* it runs only for a part of the time */
  mm_configuration *configuration;
  uint64_t in_force;        /* version, 0: none yet */
  uint64_t published;       /* highest version, usable or not */
  mm_time_ms disturbed_ms;  /* when a fault was last in effect */
  mm_time_ms fault_ends_ms; /* of the current fault */
  bool stale_since_start;   /* answers were stale since the last start */
  uint64_t stored_at_start; /* newest version at the last start */
  mm_evacuations *evacuations;
} fixture;

/* Returns the newest usable version that was stored @age_ms ago or earlier,
   0: none.  Returns 0 too when a record that cannot be used is newer: an
   instance that reads only the newest record cannot know of the one
   before.  */
static uint64_t
usable_version (const store *s, mm_time_ms age_ms)
{
  guint i = s->records->len;
  if (i && record_at (s, i - 1)->unusable)
    return 0;
  for (; i > 0; i--)
    if (record_at (s, i - 1)->stored_ms <= now_ms - age_ms
        && !record_at (s, i - 1)->unusable)
      return record_at (s, i - 1)->version;
  return 0;
}

/* Starts the instance, or kills it and starts it again.  */
static void
start_instance (fixture *f)
{
  mm_configuration_destroy (f->configuration);
  mm_evacuations_destroy (f->evacuations);
  f->evacuations = mm_evacuations_create (datacentres);
  mm_store_port port = { .newest = store_newest,
                         .tail = store_tail,
                         .ctx = &f->store,
                         .link_mbps = f->store.link_mbps };
  f->configuration = mm_configuration_create (&port, f->evacuations);
  f->in_force = 0;
  f->stale_since_start = false;
  f->stored_at_start = usable_version (&f->store, 0);
  f->disturbed_ms = now_ms;
}

static fixture *
fixture_create (guint32 seed, double link_mbps)
{
  now_ms = 100000;
  mm_clock_set_source (test_clock, NULL);
  fixture *f = g_new0 (fixture, 1);
  f->store.records = g_array_new (FALSE, FALSE, sizeof (record));
  f->store.link_mbps = link_mbps;
  f->store.random = g_rand_new_with_seed (seed);
  start_instance (f);
  return f;
}

static void
fixture_destroy (fixture *f)
{
  mm_configuration_destroy (f->configuration);
  mm_evacuations_destroy (f->evacuations);
  while (f->store.calls)
    answer (&f->store, f->store.calls->data);
  g_array_free (f->store.records, TRUE);
  g_rand_free (f->store.random);
  mm_clock_set_source (NULL, NULL);
  g_free (f);
}

/* Publishes the next version, which is stored at once.  */
static void
publish_next (fixture *f)
{
  f->published += (uint64_t)g_rand_int_range (f->store.random, 1, 4);
  publish (&f->store, f->published, false);
}

/* Makes all connections that are open go silent.  */
static void
break_connections (fixture *f)
{
  f->store.connected = false;
  for (GList *l = f->store.calls; l; l = l->next)
    ((call *)l->data)->lost = true;
  f->disturbed_ms = now_ms;
}

/* Advances the clock by 1 ms.  */
static void
fixture_step (fixture *f)
{
  now_ms++;
  if (f->store.fault != FAULT_NONE)
    f->disturbed_ms = now_ms;
  f->stale_since_start |= f->store.fault == FAULT_STALE;
  step_store (&f->store);
  if (f->store.fault == FAULT_STALL
      || (f->quota && now_ms % QUOTA_PERIOD_MS >= QUOTA_RUN_MS))
    return;
  handle_events (&f->store);
  if (now_ms % MM_EXEC_TICK_MS == 0)
    mm_configuration_tick (f->configuration);
  const mm_routes *routes = mm_configuration_routes (f->configuration);
  uint64_t version = routes ? routes->version : 0;
  ck_assert_uint_ge (version, f->in_force);
  if (version && !f->in_force && !f->stale_since_start
      && usable_version (&f->store, 0))
    ck_assert_uint_ge (version, f->stored_at_start);
  f->in_force = version;
}

static void
fixture_run (fixture *f, mm_time_ms ms)
{
  for (mm_time_ms i = 0; i < ms; i++)
    fixture_step (f);
}

/* A bound on the time from storing a version to its being in force, at an
   instance that has not been disturbed for a while.  */
typedef struct
{
  double link_mbps; /* of the instance */
  mm_time_ms undisturbed_ms;
  mm_time_ms apply_ms;
} bound;

static const bound bounds[] = { { 1000., 3000, 2000 },
                                { 200., 4000, 3000 },
                                { 25., 4000, 3000 },
                                { 2., 4000, 3000 } };

/* Checks that the newest version is in force if that is required by now.  */
static void
assert_in_time (const fixture *f, const bound *b)
{
  if (now_ms - f->disturbed_ms >= b->undisturbed_ms)
    ck_assert_uint_ge (f->in_force, usable_version (&f->store, b->apply_ms));
}

/* Begins a random fault, or ends the current one.  */
static void
change_fault (fixture *f)
{
  store *s = &f->store;
  bool calm = s->fault != FAULT_NONE;
  if (s->fault == FAULT_DROPPED && s->records->len)
    s->first_offset = s->records->len - 1;
  s->fault
      = calm ? FAULT_NONE : (fault)g_rand_int_range (s->random, 1, N_FAULTS);
  f->fault_ends_ms
      = now_ms
        + g_rand_int_range (s->random, 1, calm ? MAX_CALM_MS : MAX_FAULT_MS);
  if (s->fault == FAULT_DROPPED)
    f->fault_ends_ms = now_ms + DEAF_MS;
  if (s->fault == FAULT_BROKEN)
    break_connections (f);
  if (s->fault == FAULT_RESTART)
    start_instance (f);
  if (s->fault == FAULT_BROKEN || s->fault == FAULT_RESTART)
    s->fault = FAULT_NONE;
}

/* Publishes one or several versions, a record that cannot be used, or both. */
static void
publish_random (fixture *f)
{
  store *s = &f->store;
  int n = g_rand_int_range (s->random, 0, 4) ? 1 : BURST;
  if (g_rand_int_range (s->random, 0, 6) == 0)
    {
      publish (s, g_rand_boolean (s->random) ? 0 : f->published / 2, true);
      n = g_rand_boolean (s->random) ? n : 0;
    }
  for (int i = 0; i < n; i++)
    publish_next (f);
}

/* Guards against an instance that goes back to an older version, takes a
   record that cannot be used, or has a version in force too late.  */
START_TEST (newest_version_is_in_force_in_time)
{
  const bound *b = &bounds[(size_t)_i % G_N_ELEMENTS (bounds)];
  fixture *f = fixture_create ((guint32)_i, b->link_mbps);
  f->quota = _i % 2 == 1;
  mm_time_ms publish_ms = now_ms;
  mm_time_ms end_ms = now_ms + PLAY_MS;
  f->fault_ends_ms = now_ms + MAX_CALM_MS;
  while (now_ms < end_ms)
    {
      if (now_ms >= publish_ms)
        {
          publish_random (f);
          publish_ms
              = now_ms
                + g_rand_int_range (f->store.random, 1, MAX_PUBLISHED_MS);
        }
      if (now_ms >= f->fault_ends_ms)
        change_fault (f);
      fixture_step (f);
      assert_in_time (f, b);
    }
  fixture_destroy (f);
}
END_TEST

/* All connections go silent at a moment of a read, every 23 ms of it in turn,
   and a version is stored meanwhile.  Guards against a pause after the timeout
   of the read, by which the version is in force later than it must be.  */
START_TEST (version_stored_while_a_read_is_lost_is_in_force_in_time)
{
  const bound *b = &bounds[(size_t)_i / 2];
  for (mm_time_ms at_ms = 0; at_ms < MM_CONFIG_WAIT_MS + QUOTA_PERIOD_MS;
       at_ms += 23)
    {
      fixture *f = fixture_create (1, b->link_mbps);
      f->quota = _i % 2 == 1;
      publish_next (f);
      fixture_run (f, 3000 + at_ms);
      break_connections (f);
      publish_next (f);
      for (int i = 0; i < 6000; i++)
        {
          fixture_step (f);
          assert_in_time (f, b);
        }
      ck_assert_uint_eq (f->in_force, f->published);
      fixture_destroy (f);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("configuration");
  TCase *c = tcase_create ("random faults");
  tcase_set_timeout (c, 60);
  tcase_add_loop_test (c, newest_version_is_in_force_in_time, 0, 60);
  tcase_add_loop_test (c,
                       version_stored_while_a_read_is_lost_is_in_force_in_time,
                       0, 2 * (int)G_N_ELEMENTS (bounds));
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
