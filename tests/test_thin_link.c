/* Instances behind thin links, as real processes on stand-ins: what has
   gathered at the store is more than a link carries in a call's time.  */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define OWN_AGAIN_MS 2000 /* from the store's return to the first start */
#define AWAY_MS 10000
#define HEARTBEAT_MS 1500 /* of an upstream */
#define BATCH_MS 100
#define READ_EACH_MS 1500 /* an instance reads its list more often */

/* Reports of upstreams that stand in no data centre of ours, one in so many
   each BATCH_MS: they fill the list as those of a large fleet do.  */
typedef struct
{
  int n;
  int next;
  int seq;
} crowd;

static void
report_some (crowd *c, int n)
{
  GString *body = g_string_new (NULL);
  g_string_printf (body, "{\"epoch\":1,\"seq\":%d,\"records\":[", c->seq++);
  for (int i = 0; i < n; i++, c->next = (c->next + 1) % c->n)
    g_string_append_printf (
        body,
        "%s{\"key\":\"crowd%d\",\"value\":{\"address\":\"127.0.0.1:9\","
        "\"service\":\"other\",\"datacentre\":\"dc9\",\"slots\":8,"
        "\"cpu_milli\":32000,\"mem_mb\":131072,\"padding\":\"%0*d\"}}",
        i ? "," : "", c->next, 150, c->seq);
  g_string_append (body, "]}");
  cJSON_Delete (h_call ("POST", h_platform_port,
                        "/v1/streams/upstreams/append", body->str, NULL));
  g_string_free (body, TRUE);
}

static void
report_for (crowd *c, mm_time_ms for_ms)
{
  mm_time_ms until_ms = mm_clock_now_ms () + for_ms;
  while (mm_clock_now_ms () < until_ms)
    {
      mm_time_ms at_ms = mm_clock_now_ms ();
      report_some (c, c->n * BATCH_MS / HEARTBEAT_MS);
      mm_time_ms took_ms = mm_clock_now_ms () - at_ms;
      if (took_ms < BATCH_MS)
        g_usleep ((gulong)(BATCH_MS - took_ms) * 1000);
    }
}

/* Does the instance own partitions, and know which upstreams are in them?  */
static bool
knows_its_upstreams (int node)
{
  cJSON *o = h_call ("GET", h_node_state_port (node), "/", NULL, NULL);
  double age_ms
      = cJSON_GetNumberValue (cJSON_GetObjectItem (o, "list_age_ms"));
  cJSON_Delete (o);
  return age_ms > 0 && age_ms < READ_EACH_MS;
}

/* How long until it does, while the crowd goes on.  */
static mm_time_ms
known_after_ms (crowd *c, int node, mm_time_ms limit_ms)
{
  mm_time_ms from_ms = mm_clock_now_ms ();
  while (!knows_its_upstreams (node)
         && mm_clock_now_ms () - from_ms < limit_ms)
    report_for (c, BATCH_MS);
  return mm_clock_now_ms () - from_ms;
}

/* How long after a time a caller that comes back each 100 ms has its tasks
   started.  */
static mm_time_ms
served_after_ms (crowd *c, mm_time_ms from_ms)
{
  for (int i = 0; mm_clock_now_ms () - from_ms < 3 * OWN_AGAIN_MS; i++)
    {
      mm_time_ms sent_ms = mm_clock_now_ms ();
      char id[16];
      g_snprintf (id, sizeof id, "back-%d", i);
      char *job = h_job_json (id, 4, 100, 5000, true);
      bool served = h_answered (h_submit (i % 2, job));
      g_free (job);
      if (served)
        return sent_ms - from_ms;
      report_for (c, BATCH_MS);
    }
  return mm_clock_now_ms () - from_ms;
}

static void
start_with_crowd (crowd *c, int kbps)
{
  c->seq = 1;
  h_nodes (4, 4, 2);
  for (int i = 0; i < c->n; i += 50)
    report_some (c, MIN (50, c->n - i));
  char fault[80];
  g_snprintf (fault, sizeof fault, "{\"link_kbps\":%d,\"link_delay_ms\":1}",
              kbps);
  h_platform_fault (fault);
  report_for (c, 2000);
}

/* The store turns both instances away for ten seconds, and nobody can tell
   them of the list.  Then it is back, and they get their partitions again; but
   the list's changes of ten seconds come over a thin link no sooner than a
   call's time-out.  They would own upstreams and start nothing, for the rest
   of the day.  */
static void
away_and_back (int kbps, int upstreams, const char *meanwhile)
{
  crowd c = { .n = upstreams };
  start_with_crowd (&c, kbps);
  h_platform_fault ("{\"cut\":\"node0,node1\"}");
  report_for (&c, AWAY_MS);
  if (meanwhile)
    cJSON_Delete (
        h_call ("POST", h_platform_port, "/v1/store-faults", meanwhile, NULL));
  for (int i = 0; i < 2; i++)
    ck_assert (!knows_its_upstreams (i));
  h_platform_fault ("{\"cut\":\"\"}");
  mm_time_ms from_ms = mm_clock_now_ms ();
  for (int i = 0; i < 2; i++)
    known_after_ms (&c, i, 3 * OWN_AGAIN_MS);
  mm_time_ms took_ms = mm_clock_now_ms () - from_ms;
  ck_assert_msg (took_ms <= OWN_AGAIN_MS, "known after %d ms", (int)took_ms);
  took_ms = served_after_ms (&c, from_ms);
  ck_assert_msg (took_ms <= OWN_AGAIN_MS, "served after %d ms", (int)took_ms);
  h_cluster_stop ();
}

START_TEST (back_on_2_mbit_with_120_upstreams)
{
  away_and_back (2000, 120, NULL);
}
END_TEST

START_TEST (back_on_25_mbit_with_1100_upstreams)
{
  away_and_back (25000, 1100, NULL);
}
END_TEST

START_TEST (back_after_the_history_was_dropped)
{
  away_and_back (2000, 120, "{\"drop_history\":true}");
}
END_TEST

/* The store turns one instance away and serves the other, which tells it what
   becomes of the upstreams: its own stay in use.  */
START_TEST (instance_without_the_store_hears_of_its_upstreams)
{
  crowd c = { .n = 120 };
  start_with_crowd (&c, 2000);
  report_for (&c, 6000);
  h_platform_fault ("{\"cut\":\"node0\"}");
  report_for (&c, 1000);
  for (int i = 0; i < 10; i++)
    {
      report_for (&c, 300);
      ck_assert (knows_its_upstreams (0));
    }
  h_platform_fault ("{\"cut\":\"\"}");
  h_cluster_stop ();
}
END_TEST

/* A configuration of 1,400 queues more is some 150 KB, 0.6 s on a link of
   2 Mbit/s: read with the time-out of a small one, it would never be in
   force.  */
START_TEST (large_configuration_is_in_force_on_a_thin_link)
{
  crowd c = { .n = 120 };
  start_with_crowd (&c, 2000);
  GString *s = g_string_new ("{\"version\":2,\"queues\":[{\"name\":\"q\","
                             "\"service\":\"tasks\",\"attempts\":3,"
                             "\"stretch\":3,\"slo_ms\":500}");
  for (int i = 0; i < 1400; i++)
    g_string_append_printf (s,
                            ",{\"name\":\"route-%04d\",\"service\":\"tasks\","
                            "\"attempts\":3,\"stretch\":3,\"slo_ms\":500,"
                            "\"host\":\"h%04d.example\"}",
                            i, i);
  g_string_append (s, "]}");
  cJSON_Delete (h_call ("PUT", h_platform_port, "/v1/streams/config/config",
                        s->str, NULL));
  g_string_free (s, TRUE);
  report_for (&c, 4000);
  for (int i = 0; i < 2; i++)
    ck_assert (h_wait_json (h_node_state_port (i), "/", "config_version", 2,
                            BATCH_MS));
  h_cluster_stop ();
}
END_TEST

/* An instance that starts while all others start has the whole list to read,
   besides the members and the configuration.  */
START_TEST (instance_that_joins_among_restarts_owns_upstreams)
{
  crowd c = { .n = 120 };
  start_with_crowd (&c, 2000);
  for (int i = 0; i < 2; i++)
    h_stop (h_entries[i], SIGKILL);
  for (int i = 0; i < 3; i++)
    h_start_node (i);
  for (int i = 0; i < 3; i++)
    ck_assert_int_le (known_after_ms (&c, i, 10000), 5000);
  h_cluster_stop ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("thin_link");
  TCase *c = tcase_create ("thin_link");
  tcase_set_timeout (c, 60);
  tcase_add_test (c, back_on_2_mbit_with_120_upstreams);
  tcase_add_test (c, back_on_25_mbit_with_1100_upstreams);
  tcase_add_test (c, back_after_the_history_was_dropped);
  tcase_add_test (c, instance_without_the_store_hears_of_its_upstreams);
  tcase_add_test (c, large_configuration_is_in_force_on_a_thin_link);
  tcase_add_test (c, instance_that_joins_among_restarts_owns_upstreams);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
