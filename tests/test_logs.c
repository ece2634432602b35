/* Tests of logs, metrics and mm_explain, which names the cause of a job's
   outcome.  */
#define _GNU_SOURCE
#include "config.h"
#include "mm_event.h"
#include "mm_explain.h"
#include "mm_log_sink.h"
#include "mm_metrics.h"
#include "mm_task.h"
#include "harness.h"

#include <cJSON.h>
#include <check.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* A log line must be valid JSON, with each value under the name that the event
   table gives it, and with quotes and newlines escaped.  */
START_TEST (event_line_names_its_fields_and_escapes_text)
{
  mm_task_id id = { .job = "0123456789abcdef", .step = 1, .index = 17 };
  mm_field event_fields[]
      = { MM_TASK (&id), MM_TEXT ("up\"1\n"), MM_INT (42) };
  char *line = mm_event_line (MM_EV_TASK_ENDED, event_fields, 3, 7);
  cJSON *o = cJSON_Parse (line);
  ck_assert_ptr_nonnull (o);
  ck_assert_str_eq (cJSON_GetObjectItem (o, "event")->valuestring,
                    "task_ended");
  ck_assert_str_eq (cJSON_GetObjectItem (o, "job")->valuestring, id.job);
  ck_assert_str_eq (cJSON_GetObjectItem (o, "task")->valuestring, "1.17");
  ck_assert_str_eq (cJSON_GetObjectItem (o, "upstream")->valuestring,
                    "up\"1\n");
  ck_assert_int_eq (cJSON_GetObjectItem (o, "ran_ms")->valueint, 42);
  ck_assert_int_eq (cJSON_GetObjectItem (o, "left_out")->valueint, 7);
  cJSON_Delete (o);
  g_free (line);
}
END_TEST

/* Guards against a page of log events that differs from the event table of the
   code.  */
START_TEST (logs_page_matches_the_event_table)
{
  char *page = NULL;
  ck_assert (
      g_file_get_contents (MM_SOURCE_DIR "/docs/LOGS.md", &page, NULL, NULL));
  char *table = mm_event_table_markdown ();
  ck_assert_msg (strstr (page, table) != NULL,
                 "docs/LOGS.md differs from `masticctl events`");
  g_free (table);
  g_free (page);
}
END_TEST

/* Counts log lines in the int at @data instead of writing them.  */
static GLogWriterOutput
count_lines (GLogLevelFlags level, const GLogField *fields, gsize n,
             gpointer data)
{
  (*(int *)data)++;
  return G_LOG_WRITER_HANDLED;
}

/* Guards against log output that slows callers down: under load an event can
   occur a thousand times a second.  Lines beyond the rate limit are left out
   and counted.  */
START_TEST (lines_beyond_the_rate_are_left_out_and_counted)
{
  int lines = 0;
  g_log_set_writer_func (count_lines, &lines, NULL);
  for (int i = 0; i < 1000; i++)
    mm_log_event (MM_EV_STOPPING, MM_INT (15));
  /* A new second may start during the loop; the limit then applies to each
     of the two seconds.  */
  ck_assert_int_ge (lines, (int)MM_LOG_RATE_HIGH);
  ck_assert_int_le (lines, 2 * (int)MM_LOG_RATE_HIGH);
  ck_assert_uint_eq (mm_event_mismatches (), 0);
}
END_TEST

/* Guards against a logging call with more or fewer values than its event has
   fields in the event table: its line would lack fields or values.  */
START_TEST (call_that_does_not_match_the_table_is_counted)
{
  int lines = 0;
  g_log_set_writer_func (count_lines, &lines, NULL);
  mm_log_event (MM_EV_STOPPING, MM_INT (15), MM_INT (16));
  ck_assert_uint_eq (mm_event_mismatches (), 1);
}
END_TEST

/* Guards against a process that stops, with all its callers, in a blocking
   write: when nothing reads standard output, its pipe fills up.  */
START_TEST (unread_output_never_blocks)
{
  int fds[2];
  ck_assert_int_eq (pipe (fds), 0);
  mm_log_sink_open (fds[1]);
  char line[1000];
  memset (line, 'x', sizeof line);
  mm_time_ms started_ms = mm_clock_now_ms ();
  for (int i = 0; i < 2000; i++)
    mm_log_sink_put (line, sizeof line);
  ck_assert_int_lt (mm_clock_now_ms () - started_ms, 1000);
  ck_assert_uint_gt (mm_log_sink_dropped (), 0);
  ck_assert_uint_lt (mm_log_sink_dropped (), 2000);
  close (fds[0]);
  close (fds[1]);
}
END_TEST

/* Guards against a metrics text that a scraper rejects: a metric must have
   exactly one TYPE line, also when it has several series.  */
START_TEST (metrics_text_has_every_series_with_its_type)
{
  mm_metrics_count (MM_CT_JOBS_COMPLETED);
  mm_metrics_set (MM_GG_PLACES, 12);
  mm_metrics_time (MM_HG_JOB, 30);
  mm_metrics_time (MM_HG_JOB, 40);
  char *text = mm_metrics_text ();
  ck_assert_ptr_nonnull (strstr (
      text, "\nmasticmill_jobs_answered_total{outcome=\"completed\"} 1\n"));
  ck_assert_ptr_nonnull (strstr (text, "\nmasticmill_places 12\n"));
  ck_assert_ptr_nonnull (
      strstr (text, "# TYPE masticmill_job_duration_seconds histogram\n"));
  ck_assert_ptr_nonnull (strstr (
      text, "masticmill_job_duration_seconds_bucket{le=\"0.035\"} 1\n"));
  ck_assert_ptr_nonnull (strstr (
      text, "masticmill_job_duration_seconds_bucket{le=\"+Inf\"} 2\n"));
  ck_assert_ptr_nonnull (
      strstr (text, "masticmill_job_duration_seconds_sum 0.07\n"));
  static const char *const types[]
      = { "# TYPE masticmill_jobs_answered_total ",
          "# TYPE masticmill_overloaded " };
  for (size_t i = 0; i < G_N_ELEMENTS (types); i++)
    {
      const char *first = strstr (text, types[i]);
      ck_assert_ptr_nonnull (first);
      ck_assert_ptr_null (strstr (first + 1, types[i]));
    }
  g_free (text);
}
END_TEST

/* Returns the report on a job, g_free(), or NULL.  @lines alternates the name
   of a log and a line of that log; NULL ends it.  */
static char *
explain_job (const char *job, const char *const *lines)
{
  mm_explain *x = mm_explain_create (job);
  for (; *lines; lines += 2)
    mm_explain_add (x, lines[0], lines[1]);
  char *report = mm_explain_report (x);
  mm_explain_destroy (x);
  return report;
}

/* A job is refused in a burst.  From its id alone, the report must show how
   much capacity was free then.  */
START_TEST (refused_job_is_explained_by_the_free_capacity)
{
  const char *lines[]
      = { "a.log",
          "{\"ts_ms\":1000,\"event\":\"started\",\"instance\":\"n1\"}",
          "a.log",
          "{\"ts_ms\":5000,\"event\":\"job_refused\",\"job\":\"j1\","
          "\"queue\":\"q\",\"tasks\":10,\"places\":100,\"free\":2,"
          "\"waiting\":14,\"wait_ms\":70,\"slack_ms\":63,"
          "\"why\":\"would come too late\"}",
          NULL };
  char *report = explain_job ("j1", lines);
  ck_assert_ptr_nonnull (strstr (report, "n1"));
  ck_assert_ptr_nonnull (strstr (
      report, "cause: refused: would come too late. Its 10 tasks found 2 of "
              "100 places free and 14 tasks waiting"));
  g_free (report);
  ck_assert_ptr_null (explain_job ("j2", lines));
}
END_TEST

/* An instance dies while it runs a task of a job.  The logs of two instances,
   read in any order, must show which instance it was.  */
START_TEST (unknown_outcome_is_explained_by_the_instance_that_died)
{
  const char *lines[]
      = { "b.log",
          "{\"ts_ms\":5200,\"event\":\"job_answered\",\"job\":\"j1\","
          "\"queue\":\"q\",\"outcome\":\"unknown\",\"took_ms\":200,"
          "\"why\":\"owner out of contact\"}",
          "b.log",
          "{\"ts_ms\":5200,\"event\":\"task_failed\",\"job\":\"j1\","
          "\"task\":\"0.1\",\"upstream\":null,\"how\":\"unknown\","
          "\"ran_ms\":200,\"why\":\"owner out of contact\"}",
          "b.log",
          "{\"ts_ms\":5199,\"event\":\"peer_lost\",\"peer\":\"n9\","
          "\"why\":\"silent\",\"tasks\":3}",
          "b.log",
          "{\"ts_ms\":5001,\"event\":\"task_handed\",\"job\":\"j1\","
          "\"task\":\"0.1\",\"owner\":\"n9\",\"free\":4,\"waiting\":0,"
          "\"attempt\":0}",
          "a.log",
          "{\"ts_ms\":5002,\"event\":\"task_started\",\"job\":\"j1\","
          "\"task\":\"0.1\",\"upstream\":\"u7\",\"run\":1,\"fence\":3,"
          "\"waited_ms\":1}",
          NULL };
  char *report = explain_job ("j1", lines);
  const char *handed = strstr (report, "task_handed");
  const char *started = strstr (report, "task_started");
  const char *lost = strstr (report, "peer_lost");
  ck_assert_ptr_nonnull (handed);
  ck_assert (handed < started && started < lost);
  ck_assert_ptr_nonnull (
      strstr (report, "instance n9, which ran task 0.1, was lost (silent)"));
  g_free (report);
}
END_TEST

/* An upstream fails every task, but its own reports are good.  The report on
   the job must name the upstream.  */
START_TEST (failed_job_is_explained_by_the_upstream)
{
  const char *lines[]
      = { "a.log",
          "{\"ts_ms\":5000,\"event\":\"task_failed\",\"job\":\"j1\","
          "\"task\":\"0.0\",\"upstream\":\"u3\",\"how\":\"failed\","
          "\"ran_ms\":5,\"why\":\"listed\"}",
          "a.log",
          "{\"ts_ms\":5000,\"event\":\"upstream_excluded\","
          "\"upstream\":\"u3\",\"failures\":3,\"for_ms\":1000}",
          "a.log",
          "{\"ts_ms\":5001,\"event\":\"job_answered\",\"job\":\"j1\","
          "\"queue\":\"q\",\"outcome\":\"failed\",\"took_ms\":20,"
          "\"why\":\"a task failed in every attempt\"}",
          NULL };
  char *report = explain_job ("j1", lines);
  ck_assert_ptr_nonnull (strstr (
      report, "Upstream u3 failed 3 tasks in a row, with good reports"));
  g_free (report);
}
END_TEST

/* Guards against a report on a lost run that leaves out what became of its
   upstream.  */
START_TEST (report_has_the_restart_and_the_loss_of_the_upstream)
{
  const char *lines[]
      = { "a.log",
          "{\"ts_ms\":5000,\"event\":\"task_started\",\"job\":\"j1\","
          "\"task\":\"0.0\",\"upstream\":\"u3\",\"run\":1,\"fence\":3}",
          "a.log",
          "{\"ts_ms\":5100,\"event\":\"upstream_restarted\","
          "\"upstream\":\"u3\",\"fence\":3,\"runs\":1,\"after_ms\":900}",
          "b.log",
          "{\"ts_ms\":5101,\"event\":\"upstream_lost\","
          "\"upstream\":\"u3\",\"verdict\":\"crashed\",\"tasks\":1}",
          "b.log",
          "{\"ts_ms\":5102,\"event\":\"upstream_lost\","
          "\"upstream\":\"u4\",\"verdict\":\"crashed\",\"tasks\":1}",
          "a.log",
          "{\"ts_ms\":5200,\"event\":\"job_answered\",\"job\":\"j1\","
          "\"queue\":\"q\",\"outcome\":\"completed\",\"took_ms\":200}",
          NULL };
  char *report = explain_job ("j1", lines);
  const char *restarted = strstr (report, "upstream_restarted");
  ck_assert_ptr_nonnull (restarted);
  ck_assert_ptr_nonnull (strstr (restarted, "upstream_lost"));
  ck_assert_ptr_null (strstr (report, "upstream=u4"));
  g_free (report);
}
END_TEST

/* A poison task crashes each upstream that starts it.  The report must name
   the task and these upstreams.  */
START_TEST (given_up_job_is_explained_by_the_upstreams_it_crashed)
{
  const char *lines[]
      = { "a.log",
          "{\"ts_ms\":5000,\"event\":\"task_given_up\",\"job\":\"j1\","
          "\"task\":\"0.3\",\"crashes\":2,\"upstreams\":\"u3, u7\"}",
          "a.log",
          "{\"ts_ms\":5001,\"event\":\"job_answered\",\"job\":\"j1\","
          "\"queue\":\"q\",\"outcome\":\"failed\",\"took_ms\":4200,"
          "\"why\":\"a task crashes its upstreams\"}",
          NULL };
  char *report = explain_job ("j1", lines);
  ck_assert_ptr_nonnull (strstr (
      report, "2 upstreams crashed under its task 0.3, which is run no more: "
              "u3, u7"));
  g_free (report);
}
END_TEST

/* The home of a kept job dies.  Its caller was told to send the job again, and
   the job ends at the next home.  The report must show both, and why the home
   moved.  */
START_TEST (kept_job_is_explained_across_homes)
{
  const char *lines[]
      = { "a.log",
          "{\"ts_ms\":5000,\"event\":\"kept_unsure\",\"job\":\"j1\","
          "\"partition\":3,\"why\":\"its home did not answer\"}",
          "b.log",
          "{\"ts_ms\":6700,\"event\":\"jobs_loaded\",\"partition\":3,"
          "\"epoch\":9,\"jobs\":4,\"open\":2}",
          "b.log",
          "{\"ts_ms\":8000,\"event\":\"kept_over\",\"job\":\"j1\","
          "\"queue\":\"q\",\"outcome\":\"completed\",\"took_ms\":1300}",
          NULL };
  char *report = explain_job ("j1", lines);
  ck_assert_ptr_nonnull (strstr (report, "jobs_loaded"));
  ck_assert_ptr_nonnull (strstr (
      report, "cause: its caller was told to send it again, as it is not "
              "known whether it was stored: its home did not answer."));
  ck_assert_ptr_nonnull (strstr (report, "cause: completed after 1300 ms."));
  g_free (report);
}
END_TEST

/* Guards against log lines that are lost in the buffer of an instance which is
   killed right after it answered a caller.  Without them the outcome of the
   job can't be explained.  */
START_TEST (log_lines_of_answered_jobs_survive_a_kill)
{
  enum
  {
    KILLS = 5
  };
  h_start_nodes (1, 4, 1);
  for (int i = 0; i < KILLS; i++)
    {
      char id[16];
      char line[64];
      g_snprintf (id, sizeof id, "last-%d", i);
      g_snprintf (line, sizeof line, "\"job_answered\",\"job\":\"%s\"", id);
      char *job = h_job_json (id, 1, 10, 5000, true);
      ck_assert (h_submit_completed (h_submit (0, job)));
      g_free (job);
      /* The instance answers this call in a later turn of its event loop than
         the job, and so after the flush of the job's lines.  */
      cJSON_Delete (h_call ("GET", h_node_state_port (0), "/", NULL, NULL));
      pid_t killed = h_instances[0];
      h_stop (killed, SIGKILL);
      ck_assert_int_eq (h_count_in_log (killed, line), 1);
      h_start_node (0);
      ck_assert (h_wait_nodes (1, 1, 8000));
    }
  h_stop_cluster ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("logs");
  TCase *c = tcase_create ("logs");
  tcase_add_test (c, event_line_names_its_fields_and_escapes_text);
  tcase_add_test (c, logs_page_matches_the_event_table);
  tcase_add_test (c, lines_beyond_the_rate_are_left_out_and_counted);
  tcase_add_test (c, call_that_does_not_match_the_table_is_counted);
  tcase_add_test (c, unread_output_never_blocks);
  tcase_add_test (c, metrics_text_has_every_series_with_its_type);
  tcase_add_test (c, refused_job_is_explained_by_the_free_capacity);
  tcase_add_test (c, unknown_outcome_is_explained_by_the_instance_that_died);
  tcase_add_test (c, failed_job_is_explained_by_the_upstream);
  tcase_add_test (c, report_has_the_restart_and_the_loss_of_the_upstream);
  tcase_add_test (c, given_up_job_is_explained_by_the_upstreams_it_crashed);
  tcase_add_test (c, kept_job_is_explained_across_homes);
  suite_add_tcase (s, c);
  c = tcase_create ("kill");
  tcase_set_timeout (c, 60);
  tcase_add_test (c, log_lines_of_answered_jobs_survive_a_kill);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
