/* Tests of instances that stand still while callers send jobs and leave, as
   processes with a stand-in platform and stand-in upstreams.  */
#include "config.h"
#include "harness.h"

#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  UPSTREAMS = 4,
  SLOTS = 4,
  INSTANCES = 2,
  STALLED = 0, /* the instance that stands still */
  OTHER = 1,
  RUN_MS = 4000,
  SHORT_RUN_MS = 100
};

static void
sleep_ms (mm_time_ms ms)
{
  g_usleep ((gulong)ms * 1000);
}

static void
sleep_until (mm_time_ms ms)
{
  sleep_ms (MAX (ms - mm_clock_now_ms (), 0));
}

static void
start_site (void)
{
  h_start_nodes (UPSTREAMS, SLOTS, INSTANCES);
}

/* Returns a connection to an instance.  */
static int
connect_to (int instance)
{
  struct sockaddr_in to = {
    .sin_family = AF_INET,
    .sin_port = htons ((uint16_t)h_instance_ports[instance]),
  };
  inet_pton (AF_INET, "127.0.0.1", &to.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  return fd;
}

/* Sends a job over a connection.  */
static void
send_body (int fd, const char *job)
{
  char *request = g_strdup_printf ("POST /v1/jobs HTTP/1.1\r\nHost: a\r\n"
                                   "Content-Length: %zu\r\n\r\n%s",
                                   strlen (job), job);
  ssize_t n = (ssize_t)strlen (request);
  ck_assert_int_eq (write (fd, request, (size_t)n), n);
  g_free (request);
}

/* Sends a job of one task over a connection.  */
static void
send_job (int fd, const char *id, int run_ms)
{
  char *job = h_job_json (id, 1, run_ms, 20000, true);
  send_body (fd, job);
  g_free (job);
}

/* Returns the number of runs that have ended.  */
static int
count_runs (void)
{
  GArray *runs = h_read_runs (UPSTREAMS, NULL);
  int n = (int)runs->len;
  g_array_free (runs, TRUE);
  return n;
}

/* Returns how many starts an instance has ordered.  */
static int
ordered_starts (int instance)
{
  sleep_ms (4 * MM_EXEC_TICK_MS); /* the log is written at each tick */
  return h_count_in_log (h_instances[instance], "\"event\":\"task_started\"");
}

/* ---- requests that were queued during a stall --------------------------- */

static const struct
{
  mm_time_ms stall_ms;
  bool connected_before; /* the connection is older than the stall */
} queued[] = {
  { 300, false }, { 300, true },   { 600, false },
  { 600, true },  { 1100, false }, { 1100, true },
};

/* Guards against a start although the close is queued behind the request.  */
START_TEST (job_of_a_caller_that_left_during_a_stall_is_not_started)
{
  start_site ();
  int fd = queued[_i].connected_before ? connect_to (STALLED) : -1;
  sleep_ms (100);
  kill (h_instances[STALLED], SIGSTOP);
  mm_time_ms stopped_ms = mm_clock_now_ms ();
  sleep_ms (20);
  if (fd < 0)
    fd = connect_to (STALLED);
  send_job (fd, "left", RUN_MS);
  sleep_ms (20);
  close (fd);
  sleep_until (stopped_ms + queued[_i].stall_ms);
  kill (h_instances[STALLED], SIGCONT);
  sleep_ms (300);
  ck_assert_int_eq (ordered_starts (STALLED), 0);
  ck_assert_int_eq (count_runs (), 0);
  h_stop_cluster ();
}
END_TEST

/* Guards against a check that drops the jobs of callers who still wait.  */
START_TEST (job_of_a_caller_that_still_waits_after_a_stall_is_started)
{
  start_site ();
  int fd = queued[_i].connected_before ? connect_to (STALLED) : -1;
  sleep_ms (100);
  kill (h_instances[STALLED], SIGSTOP);
  sleep_ms (20);
  if (fd < 0)
    fd = connect_to (STALLED);
  send_job (fd, "waits", SHORT_RUN_MS);
  sleep_ms (queued[_i].stall_ms - 20);
  kill (h_instances[STALLED], SIGCONT);
  char status[16] = "";
  ck_assert_int_gt (recv (fd, status, sizeof status - 1, 0), 12);
  ck_assert_str_eq (status + 9, "200 OK");
  ck_assert_int_eq (count_runs (), 1);
  close (fd);
  h_stop_cluster ();
}
END_TEST

/* Guards against two runs of a task: without a store, owners stay owners.  */
START_TEST (job_sent_elsewhere_during_a_stall_runs_once)
{
  start_site ();
  sleep_ms (100);
  kill (h_platform, SIGSTOP);
  kill (h_instances[STALLED], SIGSTOP);
  sleep_ms (20);
  int fd = connect_to (STALLED);
  send_job (fd, "twice", RUN_MS);
  sleep_ms (20);
  close (fd);
  sleep_ms (MM_RESEND_MS);
  int again = connect_to (OTHER);
  send_job (again, "twice", RUN_MS);
  sleep_ms (700);
  kill (h_instances[STALLED], SIGCONT);
  sleep_ms (500);
  close (again);
  sleep_ms (300);
  ck_assert_int_eq (count_runs (), 1);
  h_stop_cluster ();
}
END_TEST

/* ---- runs of callers that leave during a stall -------------------------- */

/* Sends a job that leaves one slot free: the leases of all upstreams are
   renewed for it from then on.  */
static int
renew_all_leases (void)
{
  char *job = h_job_json ("beside", UPSTREAMS * SLOTS - 1, 6000, 20000, true);
  int fd = connect_to (STALLED);
  send_body (fd, job);
  g_free (job);
  return fd;
}

static void
lose_stops (void)
{
  for (int i = 0; i < UPSTREAMS; i++)
    cJSON_Delete (h_call ("POST", h_upstream_ports[i], "/v1/run-faults",
                          "{\"lose_stops\":1000}", NULL));
}

/* Returns when the last run of a job has ended, 0: there was none.  */
static double
ended_ms (const char *id)
{
  double last_ms = 0;
  GArray *runs = h_read_runs (UPSTREAMS, NULL);
  for (guint i = 0; i < runs->len; i++)
    {
      const h_run *r = &g_array_index (runs, h_run, i);
      if (g_str_has_prefix (r->task, id))
        last_ms = MAX (last_ms, r->to_ms);
    }
  g_array_free (runs, TRUE);
  return last_ms;
}

/* Guards against leases that are renewed before the close is read.  */
START_TEST (run_of_a_caller_that_left_during_a_stall_ends_in_time)
{
  h_start_nodes (UPSTREAMS, SLOTS, 1);
  int beside = renew_all_leases ();
  sleep_ms (200);
  lose_stops ();
  int fd = connect_to (STALLED);
  send_job (fd, "left", RUN_MS);
  sleep_ms (200);
  kill (h_instances[STALLED], SIGSTOP);
  mm_time_ms stopped_ms = mm_clock_now_ms ();
  sleep_ms (20);
  double closed_ms = (double)mm_clock_now_ms ();
  close (fd);
  sleep_until (stopped_ms + _i);
  kill (h_instances[STALLED], SIGCONT);
  sleep_until (stopped_ms + RUN_MS);
  ck_assert_double_gt (ended_ms ("left"), closed_ms);
  ck_assert_double_le (ended_ms ("left"), closed_ms + MM_RESEND_MS);
  close (beside);
  h_stop_cluster ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("stall");
  TCase *c = tcase_create ("queued");
  tcase_set_timeout (c, 60);
  tcase_add_loop_test (c,
                       job_of_a_caller_that_left_during_a_stall_is_not_started,
                       0, G_N_ELEMENTS (queued));
  tcase_add_loop_test (
      c, job_of_a_caller_that_still_waits_after_a_stall_is_started, 0,
      G_N_ELEMENTS (queued));
  tcase_add_test (c, job_sent_elsewhere_during_a_stall_runs_once);
  suite_add_tcase (s, c);
  c = tcase_create ("running");
  tcase_set_timeout (c, 60);
  for (int stall_ms = 300; stall_ms <= 600; stall_ms += 300)
    tcase_add_loop_test (c,
                         run_of_a_caller_that_left_during_a_stall_ends_in_time,
                         stall_ms, stall_ms + 1);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
