/* Tests of what the logs tell of the runs of one task: the lines that an owner
   writes, and the report that mm_explain makes of them.  */
#include "config.h"
#include "mm_event.h"
#include "mm_explain.h"
#include "harness.h"
#include "owner_fixture.h"

#include <cJSON.h>
#include <check.h>
#include <string.h>

/* ---- lines of an owner -------------------------------------------------- */

/* Adds the text of a log line to the GPtrArray at @data.  */
static GLogWriterOutput
keep_line (GLogLevelFlags level, const GLogField *fields, gsize n,
           gpointer data)
{
  for (gsize i = 0; i < n; i++)
    if (strcmp (fields[i].key, MM_LOG_LINE_FIELD) == 0)
      g_ptr_array_add (data, g_strdup (fields[i].value));
  return G_LOG_WRITER_HANDLED;
}

static GPtrArray *
keep_lines (void)
{
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);
  g_log_set_writer_func (keep_line, lines, NULL);
  return lines;
}

/* Returns the number of lines of @event, and the last of them in @last, which
   the caller deletes.  */
static int
count_events (const GPtrArray *lines, const char *event, cJSON **last)
{
  int n = 0;
  *last = NULL;
  for (guint i = 0; i < lines->len; i++)
    {
      cJSON *l = cJSON_Parse (lines->pdata[i]);
      ck_assert_ptr_nonnull (l);
      if (strcmp (cJSON_GetObjectItem (l, "event")->valuestring, event) != 0)
        {
          cJSON_Delete (l);
          continue;
        }
      cJSON_Delete (*last);
      *last = l;
      n++;
    }
  ck_assert_uint_eq (mm_event_mismatches (), 0);
  return n;
}

static void
assert_text (const cJSON *line, const char *field, const char *expected)
{
  ck_assert_str_eq (cJSON_GetObjectItem (line, field)->valuestring, expected);
}

static int
number (const cJSON *line, const char *field)
{
  const cJSON *f = cJSON_GetObjectItem (line, field);
  ck_assert_msg (cJSON_IsNumber (f), "no number in the field %s", field);
  return f->valueint;
}

/* Guards against a run that is given up without a line that has its fencing
   token, its lease and the age of what is known of it.  */
START_TEST (run_out_of_contact_is_logged_with_its_lease)
{
  GPtrArray *lines = keep_lines ();
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 100);
  outcome r;
  submit (&fx, &r, "j1", 3, 5000);
  fixture_run (&fx, 200);
  fake_mode_of (a)->unresponsive = true;
  fixture_run (&fx, 3000);
  ck_assert_int_eq (r.how, MM_END_LOST);
  cJSON *l;
  ck_assert_int_eq (count_events (lines, "task_started", &l), 1);
  ck_assert_int_gt (number (l, "lease_ms"), MM_LEASE_MS - 100);
  cJSON_Delete (l);
  ck_assert_int_eq (count_events (lines, "task_run_over", &l), 1);
  assert_text (l, "job", "j1");
  assert_text (l, "task", "0.3");
  assert_text (l, "upstream", "a");
  assert_text (l, "how", "lost");
  assert_text (l, "why", "lease expired out of contact");
  ck_assert_int_eq (number (l, "run"), 1);
  ck_assert_int_eq (number (l, "fence"), 5);
  ck_assert_int_lt (number (l, "lease_ms"), -MM_LEASE_SLACK_MS);
  /* Nothing was heard since the leases were renewed for the last time.  */
  ck_assert_int_ge (number (l, "confirmed_ms"), MM_LEASE_MS);
  ck_assert_int_ge (number (l, "lists_ms"), MM_LEASE_MS);
  ck_assert_int_gt (number (l, "ordered_ms"), number (l, "confirmed_ms"));
  cJSON_Delete (l);
  fixture_destroy (&fx);
  g_ptr_array_free (lines, TRUE);
}
END_TEST

/* Guards against a run whose caller has left and whose listed end has no
   line: nobody is told of that end.  */
START_TEST (end_of_a_stopped_run_is_logged)
{
  GPtrArray *lines = keep_lines ();
  fixture fx = fixture_create ();
  fixture_add (&fx, "a");
  fixture_run (&fx, 100);
  outcome r;
  submit (&fx, &r, "j1", 0, 5000);
  fixture_run (&fx, 200);
  mm_owner_cancel (fx.owner, r.work);
  fixture_run (&fx, 200);
  cJSON *l;
  ck_assert_int_eq (count_events (lines, "task_stopped", &l), 1);
  ck_assert_int_eq (number (l, "run"), 1);
  cJSON_Delete (l);
  ck_assert_int_eq (count_events (lines, "task_run_over", &l), 1);
  assert_text (l, "how", "stopped");
  assert_text (l, "why", "listed");
  cJSON_Delete (l);
  fixture_destroy (&fx);
  g_ptr_array_free (lines, TRUE);
}
END_TEST

/* Guards against log lines that each ordinary run costs.  */
START_TEST (ordinary_run_logs_its_start_and_end_only)
{
  GPtrArray *lines = keep_lines ();
  fixture fx = fixture_create ();
  fixture_add (&fx, "a");
  fixture_run (&fx, 100);
  guint before = lines->len;
  outcome r;
  submit (&fx, &r, "j1", 0, 300);
  fixture_run (&fx, 1000);
  ck_assert_int_eq (r.how, MM_END_DONE);
  ck_assert_uint_eq (lines->len - before, 2);
  cJSON *l;
  ck_assert_int_eq (count_events (lines, "task_started", &l), 1);
  cJSON_Delete (l);
  ck_assert_int_eq (count_events (lines, "task_ended", &l), 1);
  ck_assert_int_eq (number (l, "run"), 1);
  cJSON_Delete (l);
  fixture_destroy (&fx);
  g_ptr_array_free (lines, TRUE);
}
END_TEST

/* Guards against two runs of a task of which only one start has a line, as
   many tasks start within the second.  */
START_TEST (starts_of_a_busy_second_are_logged)
{
  GPtrArray *lines = keep_lines ();
  fixture fx = fixture_create ();
  fake *a = fixture_add (&fx, "a");
  fixture_run (&fx, 100);
  outcome results[MM_LOG_RATE_HIGH];
  for (uint32_t i = 0; i < MM_LOG_RATE_HIGH; i++)
    {
      mm_task_request t = fakes_task ("j1", i, 10, 100);
      mm_owner_submit (fx.owner, &t, on_done, &results[i]);
    }
  fixture_run (&fx, 1000);
  cJSON *l;
  ck_assert_int_eq (count_events (lines, "task_started", &l),
                    MM_LOG_RATE_HIGH);
  cJSON_Delete (l);
  ck_assert_uint_eq (fake_starts (a), MM_LOG_RATE_HIGH);
  fixture_destroy (&fx);
  g_ptr_array_free (lines, TRUE);
}
END_TEST

/* ---- a session whose calls the test answers ----------------------------- */

static mm_call_done start_done;
static mm_hold_done hold_done;
static void *start_ctx, *hold_ctx;

static void
port_start (void *ctx, const mm_upstream_info *u, const mm_order *o,
            mm_call_done done, void *done_ctx)
{
  start_done = done;
  start_ctx = done_ctx;
}

static void
port_hold (void *ctx, const mm_upstream_info *u, const mm_hold *h,
           mm_hold_done done, void *done_ctx)
{
  hold_done = done;
  hold_ctx = done_ctx;
}

static void
answer_hold (const mm_listed_run *running, size_t n)
{
  mm_hold_result res = { .call = { .verdict = MM_CALL_OK, .clock_ms = 1000 },
                         .running = running,
                         .n_running = n };
  hold_done (&res, hold_ctx);
}

static void
on_session_event (void *ctx, mm_exec *x)
{
}

/* Guards against a run that goes on unseen: the upstream lists the task under
   another number than the session's.  */
START_TEST (listed_run_with_another_number_is_logged_once)
{
  GPtrArray *lines = keep_lines ();
  mm_exec_port port = { .start = port_start, .hold = port_hold };
  mm_exec_events events = { .capacity_freed = on_session_event,
                            .upstream_back = on_session_event };
  mm_exec_common common = { 0 };
  mm_upstream_info info
      = { .name = "a",
          .datacentre = "dc1",
          .capacity = { .cpu_milli = 1000, .mem_mb = 1000 } };
  mm_exec *x = mm_exec_create (&info, 5, &port, &common, &events);
  answer_hold (NULL, 0);
  mm_task_request t = fakes_task ("j1", 0, 100, 5000);
  mm_exec_start (x, &t, &t);
  start_done (&(mm_call_result){ .verdict = MM_CALL_OK, .clock_ms = 1000 },
              start_ctx);
  mm_exec_tick (x);
  mm_listed_run listed = { .task = t.id, .run = 2, .percent = -1 };
  for (int i = 0; i < 3; i++)
    answer_hold (&listed, 1); /* the next hold is sent at once */
  cJSON *l;
  ck_assert_int_eq (count_events (lines, "task_other_run", &l), 1);
  ck_assert_int_eq (number (l, "run"), 1);
  ck_assert_int_eq (number (l, "other_run"), 2);
  assert_text (l, "state", "running");
  cJSON_Delete (l);
  mm_exec_destroy (x);
  hold_done (&(mm_hold_result){ .call = { .verdict = MM_CALL_NO_ANSWER } },
             hold_ctx);
  g_ptr_array_free (lines, TRUE);
}
END_TEST

/* ---- the report --------------------------------------------------------- */

/* Lines of a task 0.0 of the job j1, by their log, time and further fields. */
typedef struct
{
  const char *log;
  int ts_ms;
  const char *event;
  const char *fields;
} run_line;

/* Asserts that the report on these lines has all of the @expected texts, which
   NULL ends.  */
static void
assert_report (const run_line *lines, size_t n, const char *const *expected)
{
  mm_explain *x = mm_explain_create ("j1");
  for (size_t i = 0; i < n; i++)
    {
      char *text = g_strdup_printf (
          "{\"ts_ms\":%d,\"event\":\"%s\",\"job\":\"j1\",\"task\":\"0.0\",%s}",
          lines[i].ts_ms, lines[i].event, lines[i].fields);
      mm_explain_add (x, lines[i].log, text);
      g_free (text);
    }
  char *report = mm_explain_report (x);
  ck_assert_ptr_nonnull (report);
  for (; *expected; expected++)
    ck_assert_msg (strstr (report, *expected) != NULL, "no \"%s\" in:\n%s",
                   *expected, report);
  mm_explain_destroy (x);
  g_free (report);
}

#define U1 "\"upstream\":\"u1\",\"run\":1,\"fence\":3"
#define U2 "\"upstream\":\"u2\",\"run\":1,\"fence\":8"
#define EXPIRED                                                               \
  U1 ",\"how\":\"lost\",\"why\":\"lease expired out of contact\","            \
     "\"ordered_ms\":1100,\"confirmed_ms\":1050,\"lists_ms\":1050,"           \
     "\"lease_ms\":-61,\"clock_age_ms\":1040"

/* The owner took the lease of a run for expired.  A list that it asked for
   after the second start shows that it had not.  */
START_TEST (runs_that_overlap_are_reported)
{
  const run_line lines[] = {
    { "n1", 1000, "task_started", U1 ",\"lease_ms\":1000" },
    { "n1", 2100, "task_run_over", EXPIRED },
    { "n3", 2102, "task_failed",
      "\"upstream\":\"u1\",\"how\":\"lost\",\"ran_ms\":1102,"
      "\"why\":\"lease expired out of contact\",\"run\":1" },
    { "n2", 2104, "task_started", U2 ",\"lease_ms\":1000" },
    { "n1", 2180, "task_foreign", U1 ",\"lists_ms\":20" },
    { "n1", 2300, "task_run_over",
      U1 ",\"how\":\"stopped\",\"why\":\"listed\",\"ordered_ms\":120,"
         "\"confirmed_ms\":30,\"lists_ms\":10,\"lease_ms\":880,"
         "\"clock_age_ms\":0" },
    { "n2", 2900, "task_ended",
      "\"upstream\":\"u2\",\"ran_ms\":796,\"run\":1" },
  };
  assert_report (
      lines, G_N_ELEMENTS (lines),
      (const char *const[]){
          "task 0.0 has 2 runs:",
          "run 1: started +0 ms by n1 on upstream u1, number 1, fencing token "
          "3, last known lease to +2180 ms",
          "found +1180 ms by n1, fencing token 3",
          "over +1300 ms by the word of n1: listed (stopped); last confirmed "
          "30 ms before; last list asked for 10 ms before",
          "run 2: started +1104 ms by n2 on upstream u2, number 1, fencing "
          "token 8",
          "after task_failed at n3 2 ms before (lost, lease expired out of "
          "contact)",
          "runs 1 and 2 overlap for 166 ms at least", NULL });
}
END_TEST

/* A caller sends its job again, while the stop of the first run is open.  */
START_TEST (runs_that_may_overlap_are_reported)
{
  const run_line lines[] = {
    { "n1", 1000, "task_started", U1 ",\"lease_ms\":1000" },
    { "n2", 2300, "job_accepted", "\"queue\":\"q\"" },
    { "n2", 2310, "task_started", U2 ",\"lease_ms\":1000" },
    { "n1", 2500, "task_run_over",
      U1 ",\"how\":\"stopped\",\"why\":\"listed\",\"ordered_ms\":1500,"
         "\"confirmed_ms\":400,\"lists_ms\":10,\"lease_ms\":90,"
         "\"clock_age_ms\":0" },
  };
  assert_report (
      lines, G_N_ELEMENTS (lines),
      (const char *const[]){
          "after job_accepted at n2 10 ms before",
          "runs 1 and 2 may overlap for up to 190 ms: run 1 had not "
          "surely ended at the second start",
          NULL });
}
END_TEST

/* The instance that started the first run is killed, and logs no end.  */
START_TEST (run_without_a_line_of_its_end_may_overlap)
{
  const run_line lines[] = {
    { "n1", 1000, "task_started", U1 ",\"lease_ms\":1000" },
    { "n2", 2310, "task_started", U2 ",\"lease_ms\":1000" },
  };
  assert_report (lines, G_N_ELEMENTS (lines),
                 (const char *const[]){
                     "no line shows its end",
                     "no line tells why it was started",
                     "runs 1 and 2 may overlap: no line shows that run "
                     "1 had ended before the second start",
                     NULL });
}
END_TEST

/* The line of the first start was beyond the rate limit.  A list that is older
   than the end of the lease does not show that the run went on.  */
START_TEST (runs_one_after_the_other_do_not_overlap)
{
  const run_line lines[] = {
    { "n1", 2100, "task_run_over", EXPIRED },
    { "n2", 2104, "task_started", U2 ",\"lease_ms\":1000" },
    { "n1", 2180, "task_foreign", U1 ",\"lists_ms\":200" },
    { "n2", 2400, "task_run_over",
      U2 ",\"how\":\"lost\",\"why\":\"not listed any more\","
         "\"ordered_ms\":296,\"confirmed_ms\":40,\"lists_ms\":15,"
         "\"lease_ms\":960,\"clock_age_ms\":0" },
    { "n2", 2425, "task_started",
      "\"upstream\":\"u3\",\"run\":1,\"fence\":8,\"lease_ms\":1000" },
  };
  assert_report (
      lines, G_N_ELEMENTS (lines),
      (const char *const[]){
          "run 1: started -1100 ms by n1 on upstream u1",
          "; its lease ended 61 ms before; upstream's clock read 1040 ms "
          "before",
          "runs 1 and 2 do not overlap by its lease: run 1 had ended 65 ms "
          "before that start",
          "runs 2 and 3 do not overlap by that word: run 2 had ended 25 ms "
          "before that start",
          NULL });
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("run_log");
  TCase *c = tcase_create ("lines");
  tcase_add_test (c, run_out_of_contact_is_logged_with_its_lease);
  tcase_add_test (c, end_of_a_stopped_run_is_logged);
  tcase_add_test (c, ordinary_run_logs_its_start_and_end_only);
  tcase_add_test (c, starts_of_a_busy_second_are_logged);
  tcase_add_test (c, listed_run_with_another_number_is_logged_once);
  suite_add_tcase (s, c);
  c = tcase_create ("report");
  tcase_add_test (c, runs_that_overlap_are_reported);
  tcase_add_test (c, runs_that_may_overlap_are_reported);
  tcase_add_test (c, run_without_a_line_of_its_end_may_overlap);
  tcase_add_test (c, runs_one_after_the_other_do_not_overlap);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
