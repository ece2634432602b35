/* Tests instances on links of low bandwidth, run as processes with stand-ins.
   The changes that accumulate at the store are more than a link carries within
   the timeout of a call.  */
#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Longest time from the end of the store's outage until the upstreams are
   known, and until a job is submitted that is served.  */
#define RECOVERY_BOUND_MS 2000
#define OUTAGE_MS 10000   /* length of the outage */
#define HEARTBEAT_MS 1500 /* time between two reports of an upstream */
#define BATCH_MS 100      /* time between two batches of reports */
/* Greatest age of a current list, which is read more often than this.  */
#define MAX_LIST_AGE_MS 1500

/* Upstreams of a data centre that none of the instances serves.  A part of
   them reports each BATCH_MS, so that they fill the upstream list as a large
   number of upstreams does.  */
typedef struct
{
  int n_upstreams; /* number of upstreams */
  int next;        /* index of the next upstream to report */
  int seq;         /* sequence number of the next append */
} other_upstreams;

/* Appends a report of each of the next @n other upstreams to the list.  */
static void
report_some (other_upstreams *others, int n)
{
  GString *body = g_string_new (NULL);
  g_string_printf (body, "{\"epoch\":1,\"seq\":%d,\"records\":[",
                   others->seq++);
  for (int i = 0; i < n;
       i++, others->next = (others->next + 1) % others->n_upstreams)
    g_string_append_printf (
        body,
        "%s{\"key\":\"crowd%d\",\"value\":{\"address\":\"127.0.0.1:9\","
        "\"service\":\"other\",\"datacentre\":\"dc9\",\"slots\":8,"
        "\"cpu_milli\":32000,\"mem_mb\":131072,\"padding\":\"%0*d\"}}",
        i ? "," : "", others->next, 150, others->seq);
  g_string_append (body, "]}");
  cJSON_Delete (h_call ("POST", h_platform_port,
                        "/v1/streams/upstreams/append", body->str, NULL));
  g_string_free (body, TRUE);
}

/* Lets the other upstreams report for a time, each every HEARTBEAT_MS.  */
static void
report_for (other_upstreams *others, mm_time_ms duration_ms)
{
  mm_time_ms until_ms = mm_clock_now_ms () + duration_ms;
  while (mm_clock_now_ms () < until_ms)
    {
      mm_time_ms batch_start_ms = mm_clock_now_ms ();
      report_some (others, others->n_upstreams * BATCH_MS / HEARTBEAT_MS);
      mm_time_ms took_ms = mm_clock_now_ms () - batch_start_ms;
      if (took_ms < BATCH_MS)
        g_usleep ((gulong)(BATCH_MS - took_ms) * 1000);
    }
}

/* Returns whether the instance owns partitions and knows which upstreams are
   in them.  */
static bool
knows_its_upstreams (int node)
{
  cJSON *o = h_call ("GET", h_node_state_port (node), "/", NULL, NULL);
  double age_ms
      = cJSON_GetNumberValue (cJSON_GetObjectItem (o, "list_age_ms"));
  cJSON_Delete (o);
  return age_ms > 0 && age_ms < MAX_LIST_AGE_MS;
}

/* Returns the time until the instance knows its upstreams, @limit_ms or more
   if it does not.  The other upstreams go on reporting meanwhile.  */
static mm_time_ms
known_after_ms (other_upstreams *others, int node, mm_time_ms limit_ms)
{
  mm_time_ms start_ms = mm_clock_now_ms ();
  while (!knows_its_upstreams (node)
         && mm_clock_now_ms () - start_ms < limit_ms)
    report_for (others, BATCH_MS);
  return mm_clock_now_ms () - start_ms;
}

/* Returns the time from @start_ms to the submission of the first job that is
   answered completely, 3 * RECOVERY_BOUND_MS or more if none is.  A caller
   submits a job, waits for its answer, and submits the next one BATCH_MS
   later.  */
static mm_time_ms
served_after_ms (other_upstreams *others, mm_time_ms start_ms)
{
  for (int i = 0; mm_clock_now_ms () - start_ms < 3 * RECOVERY_BOUND_MS; i++)
    {
      mm_time_ms sent_ms = mm_clock_now_ms ();
      char id[16];
      g_snprintf (id, sizeof id, "back-%d", i);
      char *job = h_job_json (id, 4, 100, 5000, true);
      bool served = h_submit_completed (h_submit (i % 2, job));
      g_free (job);
      if (served)
        return sent_ms - start_ms;
      report_for (others, BATCH_MS);
    }
  return mm_clock_now_ms () - start_ms;
}

/* Starts two instances with four upstreams of their own, adds the other
   upstreams to the list and limits each instance's link to the store to
   @kbps.  */
static void
start_with_other_upstreams (other_upstreams *others, int kbps)
{
  others->seq = 1;
  h_start_nodes (4, 4, 2);
  for (int i = 0; i < others->n_upstreams; i += 50)
    report_some (others, MIN (50, others->n_upstreams - i));
  char fault[80];
  g_snprintf (fault, sizeof fault, "{\"link_kbps\":%d,\"link_delay_ms\":1}",
              kbps);
  h_set_platform_faults (fault);
  report_for (others, 2000);
}

/* The store refuses both instances for ten seconds, and no other instance can
   send them updates of the list.  When the store is back, they get their
   partitions again, but the changes of ten seconds take longer than the
   timeout of a call on a link of low bandwidth.  If every read of the list
   times out, the instances own upstreams and start no task there from then on.
   @store_fault: an additional fault of the store, or NULL.  */
static void
check_outage (int kbps, int n_others, const char *store_fault)
{
  other_upstreams others = { .n_upstreams = n_others };
  start_with_other_upstreams (&others, kbps);
  h_set_platform_faults ("{\"cut\":\"node0,node1\"}");
  report_for (&others, OUTAGE_MS);
  if (store_fault)
    cJSON_Delete (h_call ("POST", h_platform_port, "/v1/store-faults",
                          store_fault, NULL));
  for (int i = 0; i < 2; i++)
    ck_assert (!knows_its_upstreams (i));
  h_set_platform_faults ("{\"cut\":\"\"}");
  mm_time_ms start_ms = mm_clock_now_ms ();
  for (int i = 0; i < 2; i++)
    known_after_ms (&others, i, 3 * RECOVERY_BOUND_MS);
  mm_time_ms took_ms = mm_clock_now_ms () - start_ms;
  ck_assert_msg (took_ms <= RECOVERY_BOUND_MS, "known after %d ms",
                 (int)took_ms);
  took_ms = served_after_ms (&others, start_ms);
  ck_assert_msg (took_ms <= RECOVERY_BOUND_MS, "served after %d ms",
                 (int)took_ms);
  h_stop_cluster ();
}

/* Guards against instances that start no more tasks after an outage of the
   store of ten seconds: on a link of 2 Mbit/s, the changes that 120 upstreams
   made meanwhile take longer than the timeout of a call, so that each read of
   the list could time out.  */
START_TEST (recovers_on_2_mbit_with_120_upstreams)
{
  check_outage (2000, 120, NULL);
}
END_TEST

/* Guards against instances that start no more tasks after an outage of the
   store of ten seconds: the changes that 1,100 upstreams made meanwhile take
   long even on a link of 25 Mbit/s, so that each read of the list could time
   out.  */
START_TEST (recovers_on_25_mbit_with_1100_upstreams)
{
  check_outage (25000, 1100, NULL);
}
END_TEST

/* Guards against instances that start no more tasks after an outage in which
   the store dropped the history of the list: they must read all of the list
   on a link of 2 Mbit/s.  */
START_TEST (recovers_after_the_history_was_dropped)
{
  check_outage (2000, 120, "{\"drop_history\":true}");
}
END_TEST

/* The store refuses one instance and serves the other one.  The first gets the
   updates of the list from the second, so that its upstreams stay in use.  */
START_TEST (instance_without_the_store_gets_list_updates_from_a_peer)
{
  other_upstreams others = { .n_upstreams = 120 };
  start_with_other_upstreams (&others, 2000);
  report_for (&others, 6000);
  h_set_platform_faults ("{\"cut\":\"node0\"}");
  report_for (&others, 1000);
  for (int i = 0; i < 10; i++)
    {
      report_for (&others, 300);
      ck_assert (knows_its_upstreams (0));
    }
  h_set_platform_faults ("{\"cut\":\"\"}");
  h_stop_cluster ();
}
END_TEST

/* A configuration with 1,400 more queues has about 150 KB, which takes 0.6 s
   on a link of 2 Mbit/s.  If it was read with the timeout for a small one, it
   would never be in force.  */
START_TEST (large_configuration_is_in_force_on_a_thin_link)
{
  other_upstreams others = { .n_upstreams = 120 };
  start_with_other_upstreams (&others, 2000);
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
  report_for (&others, 4000);
  for (int i = 0; i < 2; i++)
    ck_assert (h_wait_json (h_node_state_port (i), "/", "config_version", 2,
                            BATCH_MS));
  h_stop_cluster ();
}
END_TEST

/* An instance that starts while all others restart must read the complete
   list, besides the members and the configuration, before it can use
   upstreams.  */
START_TEST (instance_that_joins_during_restarts_owns_upstreams)
{
  other_upstreams others = { .n_upstreams = 120 };
  start_with_other_upstreams (&others, 2000);
  for (int i = 0; i < 2; i++)
    h_stop (h_instances[i], SIGKILL);
  for (int i = 0; i < 3; i++)
    h_start_node (i);
  for (int i = 0; i < 3; i++)
    ck_assert_int_le (known_after_ms (&others, i, 10000), 5000);
  h_stop_cluster ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("thin_link");
  TCase *c = tcase_create ("thin_link");
  tcase_set_timeout (c, 60);
  tcase_add_test (c, recovers_after_the_history_was_dropped);
  tcase_add_test (c, instance_without_the_store_gets_list_updates_from_a_peer);
  tcase_add_test (c, large_configuration_is_in_force_on_a_thin_link);
  tcase_add_test (c, instance_that_joins_during_restarts_owns_upstreams);
  suite_add_tcase (s, c);
  c = tcase_create ("narrow_link");
  tcase_set_tags (c, "narrow");
  tcase_set_timeout (c, 60);
  tcase_add_test (c, recovers_on_2_mbit_with_120_upstreams);
  suite_add_tcase (s, c);
  c = tcase_create ("wide_link");
  tcase_set_tags (c, "wide");
  tcase_set_timeout (c, 60);
  tcase_add_test (c, recovers_on_25_mbit_with_1100_upstreams);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
