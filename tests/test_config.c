/* Tests of the published configuration: an accepted change is in force at
   every entry instance within seconds and never reverts, in spite of operators
   that publish at the same time, platform outages, the log's retention and
   instances that start late.  */
#include "harness.h"
#include "harness_logs.h"

#include <string.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

/* Appends a record to the platform's config stream.  Returns its offset.  */
static int64_t
append (const char *record, long *status)
{
  char path[64];
  g_snprintf (path, sizeof path, "/v1/log/config");
  cJSON *o = h_call ("POST", h_platform_port, path, record, status);
  int64_t offset
      = (int64_t)cJSON_GetNumberValue (cJSON_GetObjectItem (o, "offset"));
  cJSON_Delete (o);
  return offset;
}

/* Returns the JSON text of a record that sets dispatch.retry_budget.  */
static char *
record (int64_t parent, int budget)
{
  return g_strdup_printf ("{\"kind\":\"config\",\"parent\":%" G_GINT64_FORMAT
                          ",\"base\":\"[dispatch]\\nretry_budget = %d\\n\","
                          "\"overlays\":{}}",
                          parent, budget);
}

/* Returns the dispatch.retry_budget that is in force at an instance.  */
static int
budget_at (int entry)
{
  cJSON *o = h_call ("GET", h_instance_ports[entry], "/v1/state", NULL, NULL);
  int in_force = (int)cJSON_GetNumberValue (
      cJSON_GetObjectItem (cJSON_GetObjectItem (o, "config"), "retry_budget"));
  cJSON_Delete (o);
  return in_force;
}

/* Publishes a base TOML text with masticctl, which waits up to 3 s until the
   change is in force.  Returns the exit status of masticctl, or -1.  */
static int
publish_with_ctl (const char *base_text)
{
  char *path = g_strdup_printf ("/tmp/mm-cfg-%d.toml", getpid ());
  g_file_set_contents (path, base_text, -1, NULL);
  char *cmd = g_strdup_printf ("%s/masticctl --platform http://127.0.0.1:%d "
                               "--wait-ms 3000 config publish %s "
                               ">>%s/masticctl.log 2>&1",
                               MM_BIN_DIR, h_platform_port, path,
                               h_log_directory ());
  int rc = system (cmd);
  unlink (path);
  g_free (cmd);
  g_free (path);
  return WIFEXITED (rc) ? WEXITSTATUS (rc) : -1;
}

/* A published change must not reach some instances late or never.  masticctl
   must report it in force at all three instances within the required 3 s, and
   the state of each instance must show it.  */
START_TEST (published_config_is_in_force_everywhere_within_3s)
{
  h_start_cluster (1, 3, 100);
  g_usleep (500000);
  mm_time_ms t0 = mm_clock_now_ms ();
  ck_assert_int_eq (publish_with_ctl ("[dispatch]\nretry_budget = 5\n"), 0);
  mm_time_ms took_ms = mm_clock_now_ms () - t0;
  ck_assert_msg (took_ms < 3000, "publish took %ld ms", (long)took_ms);
  for (int i = 0; i < 3; i++)
    ck_assert_int_eq (budget_at (i), 5);
  h_stop_cluster ();
}
END_TEST

/* Two operators edit the same head and publish at the same moment, so both
   records are in the log.  Every instance must keep the first and refuse the
   second, so that all have the same configuration.  An old record that is
   appended again must not replace the head.  */
START_TEST (racing_operators_end_with_one_winner_everywhere)
{
  h_start_cluster (1, 3, 100);
  char *first_record = record (-1, 1), *ra = record (0, 3),
       *rb = record (0, 4);
  long http_status;
  ck_assert_int_eq (append (first_record, &http_status), 0);
  ck_assert_int_eq (append (ra, &http_status), 1);
  ck_assert_int_eq (append (rb, &http_status), 2);
  for (int i = 0; i < 3; i++)
    {
      ck_assert (h_wait_json (h_instance_ports[i], "/v1/state",
                              "config_offset", 1, 3000));
      ck_assert_int_eq (budget_at (i), 3);
    }
  char *late = record (-1, 9); /* an edit of the empty configuration */
  append (late, &http_status);
  g_usleep (600000);
  for (int i = 0; i < 3; i++)
    ck_assert_int_eq (budget_at (i), 3);
  g_free (first_record);
  g_free (ra);
  g_free (rb);
  g_free (late);
  h_stop_cluster ();
}
END_TEST

/* The platform's service goes down after a config is in force.  The instances
   must keep that config instead of the defaults and go on serving jobs.  After
   the service returns, they must apply a new change.  */
START_TEST (platform_outage_keeps_config_and_service)
{
  h_start_cluster (2, 2, 100);
  char *first_record = record (-1, 0);
  long http_status;
  append (first_record, &http_status);
  for (int i = 0; i < 2; i++)
    ck_assert (h_wait_json (h_instance_ports[i], "/v1/state", "config_offset",
                            0, 3000));
  cJSON_Delete (
      h_call ("POST", h_platform_port, "/v1/faults", "{\"down\":true}", NULL));
  g_usleep (1500000);
  char *job = h_job_json ("po1", 10, 50, 5000, true);
  cJSON *o
      = h_call ("POST", h_instance_ports[0], "/v1/jobs", job, &http_status);
  ck_assert_int_eq (http_status, 200);
  cJSON_Delete (o);
  for (int i = 0; i < 2; i++)
    ck_assert_int_eq (budget_at (i), 0);
  cJSON_Delete (h_call ("POST", h_platform_port, "/v1/faults",
                        "{\"down\":false}", NULL));
  char *second_record = record (0, 2);
  append (second_record, &http_status);
  for (int i = 0; i < 2; i++)
    {
      ck_assert (h_wait_json (h_instance_ports[i], "/v1/state",
                              "config_offset", 1, 3000));
      ck_assert_int_eq (budget_at (i), 2);
    }
  g_free (first_record);
  g_free (second_record);
  g_free (job);
  h_stop_cluster ();
}
END_TEST

/* The log keeps records for 2 s only, so the record of a published config
   expires before a new instance starts.  That instance must start with the
   config in force, which snapshots keep in the log, and not with an older one
   or the defaults.  */
START_TEST (late_instance_gets_config_after_retention)
{
  h_platform_extra_setting = "platform.retention_ms=2000";
  h_entry_extra_setting = "entry.config_snapshot_ms=600";
  h_start_cluster (1, 2, 100);
  char *first_record = record (-1, 7);
  long http_status;
  append (first_record, &http_status);
  for (int i = 0; i < 2; i++)
    ck_assert (h_wait_json (h_instance_ports[i], "/v1/state", "config_offset",
                            0, 3000));
  g_usleep (3500000);
  cJSON *platform_state
      = h_call ("GET", h_platform_port, "/v1/state", NULL, NULL);
  double first = cJSON_GetNumberValue (cJSON_GetObjectItem (
      cJSON_GetObjectItem (cJSON_GetObjectItem (platform_state, "streams"),
                           "config"),
      "first"));
  cJSON_Delete (platform_state);
  ck_assert_msg (first > 0, "retention dropped nothing");
  h_start_entry (2);
  ck_assert (h_wait_port (h_instance_ports[2], 5000));
  mm_time_ms until = mm_clock_now_ms () + 3000;
  while (budget_at (2) != 7 && mm_clock_now_ms () < until)
    g_usleep (50000);
  ck_assert_int_eq (budget_at (2), 7);
  g_free (first_record);
  h_stop_cluster ();
}
END_TEST

/* The platform stores an operator's change but its answer is lost.  masticctl
   must report the change as in force.  If it published again, the second
   record would be refused because of the first.  */
START_TEST (publish_with_a_lost_answer_is_found_in_force)
{
  h_start_cluster (1, 2, 100);
  g_usleep (500000);
  cJSON_Delete (h_call ("POST", h_platform_port, "/v1/faults",
                        "{\"lose_answers\":1}", NULL));
  ck_assert_int_eq (publish_with_ctl ("[dispatch]\nretry_budget = 4\n"), 0);
  for (int i = 0; i < 2; i++)
    ck_assert_int_eq (budget_at (i), 4);
  h_stop_cluster ();
}
END_TEST

/* Instances append snapshots frequently while an operator publishes, so the
   head is soon a snapshot of the change and not the change itself.  masticctl
   must report the change as in force, not as refused in favour of
   another change.  */
START_TEST (snapshot_after_a_publish_is_not_a_lost_race)
{
  h_entry_extra_setting = "entry.config_snapshot_ms=100";
  h_start_cluster (1, 2, 300);
  g_usleep (500000);
  for (int i = 1; i <= 6; i++)
    {
      char *text = g_strdup_printf ("[dispatch]\nretry_budget = %d\n", i);
      ck_assert_int_eq (publish_with_ctl (text), 0);
      for (int k = 0; k < 2; k++)
        ck_assert_int_eq (budget_at (k), i);
      g_free (text);
    }
  h_entry_extra_setting = NULL;
  h_stop_cluster ();
}
END_TEST

/* Runs masticctl and returns what it prints on standard output.  */
static char *
ctl_output (const char *args)
{
  char *out = NULL;
  char *cmd
      = g_strdup_printf ("%s/masticctl --platform http://127.0.0.1:%d %s",
                         MM_BIN_DIR, h_platform_port, args);
  ck_assert (g_spawn_command_line_sync (cmd, &out, NULL, NULL, NULL));
  g_free (cmd);
  return out;
}

/* "config show" must show the configuration in force as it was published, or
   say that none is published; "status" must list the members.  */
START_TEST (operator_sees_config_and_members)
{
  h_start_cluster (1, 2, 100);
  g_usleep (500000);
  char *out = ctl_output ("config show");
  ck_assert_msg (strstr (out, "no configuration published") != NULL, "%s",
                 out);
  g_free (out);
  ck_assert_int_eq (publish_with_ctl ("[teams]\naula-viva = 40\n"), 0);
  out = ctl_output ("config show");
  ck_assert_msg (strstr (out, "aula-viva = 40") != NULL, "%s", out);
  g_free (out);
  out = ctl_output ("status");
  ck_assert_msg (strstr (out, "entry1") && strstr (out, "up0"), "%s", out);
  g_free (out);
  h_stop_cluster ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("config");
  TCase *tc = tcase_create ("config");
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, racing_operators_end_with_one_winner_everywhere);
  tcase_add_test (tc, platform_outage_keeps_config_and_service);
  tcase_add_test (tc, late_instance_gets_config_after_retention);
  tcase_add_test (tc, publish_with_a_lost_answer_is_found_in_force);
  tcase_add_test (tc, operator_sees_config_and_members);
  tcase_add_test (tc, snapshot_after_a_publish_is_not_a_lost_race);
  suite_add_tcase (s, tc);
  tc = tcase_create ("publish");
  tcase_set_tags (tc, "publish");
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, published_config_is_in_force_everywhere_within_3s);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
