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
  STALLED = 0, /* the instance that stands still */
  RUN_MS = 4000
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
  TCase *c = tcase_create ("running");
  tcase_set_timeout (c, 60);
  for (int stall_ms = 300; stall_ms <= 600; stall_ms += 300)
    tcase_add_loop_test (c,
                         run_of_a_caller_that_left_during_a_stall_ends_in_time,
                         stall_ms, stall_ms + 1);
  suite_add_tcase (s, c);
  return h_run_suite (s);
}
