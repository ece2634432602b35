/* The HTTP client under connection faults: one call sends its request at most
   once, whatever happens to the connection.  */
#define _GNU_SOURCE
#include "harness.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A server with one thread that answers only the first request.  It reads
   each later request completely and closes the connection without an answer,
   like an upstream that is killed right after it has accepted a task.  */
typedef struct
{
  int listen_fd;
  uint16_t port;
  gint requests; /* number of complete requests read (atomic) */
  bool dies;     /* accepts no connection after the second request */
} closing_server;

/* Reads one request with a Content-Length.  Returns false when the connection
   is closed first, or the request is too long.  */
static bool
read_request (int fd)
{
  char buf[4096];
  size_t n_read = 0;
  while (n_read < sizeof buf - 1)
    {
      ssize_t n = read (fd, buf + n_read, sizeof buf - 1 - n_read);
      if (n <= 0)
        return false;
      n_read += (size_t)n;
      buf[n_read] = '\0';
      char *header_end = strstr (buf, "\r\n\r\n");
      char *length_header = strcasestr (buf, "content-length:");
      if (header_end && length_header
          && n_read >= (size_t)(header_end + 4 - buf)
                           + (size_t)atoi (length_header + 15))
        return true;
    }
  return false;
}

/* Thread of the server.  */
static void *
serve (void *data)
{
  closing_server *s = data;
  int fd;
  while ((fd = accept (s->listen_fd, NULL, NULL)) >= 0)
    {
      while (read_request (fd))
        {
          if (g_atomic_int_add (&s->requests, 1) > 0)
            {
              if (s->dies)
                close (s->listen_fd);
              break;
            }
          static const char ok[]
              = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
          if (write (fd, ok, sizeof ok - 1) < 0)
            break;
        }
      close (fd);
    }
  return NULL;
}

/* Returns a socket that listens on any free port, and the port.  */
static int
listen_on_any_port (uint16_t *port)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t len = sizeof a;
  inet_pton (AF_INET, "127.0.0.1", &a.sin_addr);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&a, sizeof a), 0);
  ck_assert_int_eq (listen (fd, 16), 0);
  getsockname (fd, (struct sockaddr *)&a, &len);
  *port = ntohs (a.sin_port);
  return fd;
}

/* Starts a thread that runs until it returns or the process exits.  */
static void
start_thread (void *(*run) (void *), void *data)
{
  pthread_t t;
  pthread_create (&t, NULL, run, data);
  pthread_detach (t);
}

/* Starts the server on any free port; it runs until the process exits.  */
static void
closing_server_start (closing_server *s)
{
  s->listen_fd = listen_on_any_port (&s->port);
  start_thread (serve, s);
}

/* Result of a call of the client, as in mm_http_result.  */
typedef struct
{
  struct ev_loop *loop; /* ended when the call ends */
  long status;
  bool sent;
} call_result;

static void
call_done (const mm_http_result *res, void *ctx)
{
  call_result *result = ctx;
  result->status = res->status;
  result->sent = res->sent;
  ev_break (result->loop, EVBREAK_ALL);
}

/* ---- a process that handles no events for a while ---------------------- */

#define TIMEOUT_MS 300 /* of a call */
#define STALL_MS 400   /* for this long the process handles no events */

/* A server with one thread and one connection that answers when it is told
   to.  */
typedef struct
{
  int listen_fd;
  uint16_t port;
  gint received;   /* set by the server (atomic) */
  gint may_answer; /* set by the test (atomic) */
  gint answered;   /* set by the server (atomic) */
} waiting_server;

/* A call to a waiting server, and what the client reported.  */
typedef struct
{
  struct ev_loop *loop; /* ended when the call ends */
  mm_http_client *client;
  waiting_server server;
  mm_time_ms called_ms;
  mm_time_ms overdue_ms; /* when it was reported as overdue, 0: it was not */
  mm_time_ms unsent_ms;  /* as reported then */
  mm_time_ms overrun_ms; /* as reported then */
  long status;
} stall_test;

/* Thread of the server.  */
static void *
serve_when_told (void *data)
{
  waiting_server *s = data;
  static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  int fd = accept (s->listen_fd, NULL, NULL);
  while (fd >= 0 && read_request (fd))
    {
      g_atomic_int_set (&s->received, 1);
      while (!g_atomic_int_get (&s->may_answer))
        g_usleep (1000);
      if (write (fd, ok, sizeof ok - 1) < 0)
        break;
      g_atomic_int_set (&s->answered, 1);
    }
  return NULL;
}

static void
stall_test_begin (stall_test *t)
{
  *t = (stall_test){ .loop = ev_loop_new (0) };
  t->client = mm_http_client_create (t->loop, 4);
  t->server.listen_fd = listen_on_any_port (&t->server.port);
  start_thread (serve_when_told, &t->server);
}

static void
stall_test_end (stall_test *t)
{
  mm_http_client_destroy (t->client);
  ev_loop_destroy (t->loop);
}

static void
stall_done (const mm_http_result *res, void *ctx)
{
  stall_test *t = ctx;
  if (res->overdue)
    {
      t->overdue_ms = mm_clock_now_ms ();
      t->unsent_ms = res->unsent_ms;
      t->overrun_ms = res->overrun_ms;
      g_atomic_int_set (&t->server.may_answer, 1);
      return;
    }
  t->status = res->status;
  ev_break (t->loop, EVBREAK_ALL);
}

static void
stall_call (stall_test *t)
{
  char url[64];
  g_snprintf (url, sizeof url, "http://127.0.0.1:%u/v1/runs", t->server.port);
  mm_http_call spec = { .method = "POST",
                        .url = url,
                        .body = "{\"task\":1}",
                        .timeout_ms = TIMEOUT_MS,
                        .keep_overdue_ms = 5000 };
  t->called_ms = mm_clock_now_ms ();
  mm_http_client_send (t->client, &spec, stall_done, t);
}

/* Makes a call that is answered at once, so that the next one finds an open
   connection.  A timer of curl for new connections would otherwise read the
   answer that the next call is about.  */
static void
open_connection (stall_test *t)
{
  g_atomic_int_set (&t->server.may_answer, 1);
  stall_call (t);
  ev_run (t->loop, 0);
  g_atomic_int_set (&t->server.may_answer, 0);
  g_atomic_int_set (&t->server.received, 0);
  g_atomic_int_set (&t->server.answered, 0);
  t->overdue_ms = 0;
}

/* Runs @cb once from the loop, @after_ms from now.  */
static void
run_after (stall_test *t, ev_timer *w, mm_time_ms after_ms,
           void (*cb) (struct ev_loop *, ev_timer *, int))
{
  ev_timer_init (w, cb, (double)after_ms / 1000., 0.);
  w->data = t;
  ev_timer_start (t->loop, w);
}

/* Handles no events from when the server has the request until it has answered
   and the timeout is over.  */
static void
stall_until_answered_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  stall_test *t = w->data;
  if (!g_atomic_int_get (&t->server.received))
    {
      run_after (t, w, 1, stall_until_answered_cb);
      return;
    }
  g_atomic_int_set (&t->server.may_answer, 1);
  while (!g_atomic_int_get (&t->server.answered))
    g_usleep (1000);
  g_usleep (STALL_MS * 1000);
}

/* Guards against a start that is given up although its answer lies in the
   socket: the process did not read it while it handled no events.  */
START_TEST (answer_that_came_during_a_stall_is_not_overdue)
{
  stall_test t;
  ev_timer stall;
  stall_test_begin (&t);
  open_connection (&t);
  stall_call (&t);
  run_after (&t, &stall, 1, stall_until_answered_cb);
  ev_run (t.loop, 0);
  ck_assert_int_eq (t.status, 200);
  ck_assert_int_eq (t.overdue_ms, 0);
  stall_test_end (&t);
}
END_TEST

static void
call_after_a_stall_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  g_usleep (STALL_MS * 1000);
  stall_call (w->data);
}

/* Guards against a start that is given up in the moment in which it is sent:
   the loop's cached time was older than the call by a long callback.  */
START_TEST (call_after_a_long_callback_has_its_whole_timeout)
{
  stall_test t;
  ev_timer stall;
  stall_test_begin (&t);
  run_after (&t, &stall, 1, call_after_a_stall_cb);
  ev_run (t.loop, 0);
  ck_assert_int_eq (t.status, 200);
  ck_assert_int_ge (t.overdue_ms, t.called_ms + TIMEOUT_MS);
  ck_assert_int_ge (t.overrun_ms, 0);
  stall_test_end (&t);
}
END_TEST

static void
call_before_a_stall_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  stall_call (w->data);
  g_usleep (STALL_MS * 1000);
}

/* Guards against a start that is given up before it was sent, or right after:
   only the time in which the upstream could answer counts.  */
START_TEST (time_before_a_request_is_sent_does_not_count)
{
  stall_test t;
  ev_timer stall;
  stall_test_begin (&t);
  run_after (&t, &stall, 1, call_before_a_stall_cb);
  ev_run (t.loop, 0);
  ck_assert_int_eq (t.status, 200);
  ck_assert_int_ge (t.unsent_ms, STALL_MS);
  ck_assert_int_ge (t.overdue_ms, t.called_ms + t.unsent_ms + TIMEOUT_MS);
  stall_test_end (&t);
}
END_TEST

/* Guards against a task that starts twice although the client sent it once.
   An upstream closes a reused connection right after it has accepted a task,
   and libcurl sends such a request again on a new connection.  The upstream
   must receive one request, and the caller must be told that the request was
   sent but not answered.  */
START_TEST (request_on_a_closing_reused_connection_is_sent_once)
{
  closing_server s = { 0 };
  closing_server_start (&s);
  struct ev_loop *loop = ev_loop_new (0);
  mm_http_client *c = mm_http_client_create (loop, 4);
  char *url = g_strdup_printf ("http://127.0.0.1:%u/v1/tasks", s.port);
  call_result result = { .loop = loop };
  mm_http_client_call (c, "POST", url, "{\"task\":1}", 2000, call_done,
                       &result);
  ev_run (loop, 0);
  ck_assert_int_eq (result.status, 200);
  mm_http_client_call (c, "POST", url, "{\"task\":2}", 2000, call_done,
                       &result);
  ev_run (loop, 0);
  ck_assert_int_eq (result.status, 0);
  ck_assert (result.sent);
  ck_assert_int_eq (g_atomic_int_get (&s.requests), 2);
  mm_http_client_destroy (c);
  g_free (url);
  ev_loop_destroy (loop);
}
END_TEST

/* Guards against a task that starts twice because its first start counts as
   not sent.  An upstream accepts a task on a reused connection and dies.
   libcurl then tries another connection, which is refused.  The caller must be
   told that the request was sent.  */
START_TEST (request_before_a_refused_connection_counts_as_sent)
{
  closing_server s = { .dies = true };
  closing_server_start (&s);
  struct ev_loop *loop = ev_loop_new (0);
  mm_http_client *c = mm_http_client_create (loop, 4);
  char *url = g_strdup_printf ("http://127.0.0.1:%u/v1/tasks", s.port);
  call_result result = { .loop = loop };
  for (int i = 0; i < 2; i++)
    {
      mm_http_client_call (c, "POST", url, "{\"task\":1}", 2000, call_done,
                           &result);
      ev_run (loop, 0);
    }
  ck_assert_int_eq (g_atomic_int_get (&s.requests), 2);
  ck_assert_int_eq (result.status, 0);
  ck_assert (result.sent);
  /* Nothing of a third request can be sent.  */
  mm_http_client_call (c, "POST", url, "{\"task\":1}", 2000, call_done,
                       &result);
  ev_run (loop, 0);
  ck_assert (!result.sent);
  mm_http_client_destroy (c);
  g_free (url);
  ev_loop_destroy (loop);
}
END_TEST

/* ---- requests that are read late --------------------------------------- */

typedef struct
{
  struct ev_loop *loop; /* ended when a request is handled */
  bool caller_left;
} late_request;

static void
handle_late_request (mm_http_request *r, void *ctx)
{
  late_request *l = ctx;
  l->caller_left = mm_http_request_caller_left (r);
  mm_http_reply (r, 200, "{}", 0);
  ev_break (l->loop, EVBREAK_ALL);
}

/* Sends a request to a server that handles no events meanwhile, closes the
   connection if @leaves is set, and lets the server handle the request.
   Returns whether the caller had left for the handler.  */
static bool
handled_as_left (bool leaves)
{
  static const char request[] = "POST /v1/jobs HTTP/1.1\r\nHost: a\r\n"
                                "Content-Length: 2\r\n\r\n{}";
  late_request l = { .loop = ev_loop_new (0) };
  mm_http_server *s = mm_http_server_create (l.loop, "127.0.0.1", 0, 1000,
                                             handle_late_request, &l, NULL);
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons (mm_http_server_port (s)),
                           .sin_addr = { htonl (INADDR_LOOPBACK) } };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&a, sizeof a), 0);
  ck_assert_int_eq (write (fd, request, sizeof request - 1),
                    sizeof request - 1);
  if (leaves)
    close (fd);
  ev_run (l.loop, 0);
  if (!leaves)
    close (fd);
  mm_http_server_destroy (s);
  ev_loop_destroy (l.loop);
  return l.caller_left;
}

/* Guards against a job that is started although its caller has left before
   its request was read.  */
START_TEST (request_whose_caller_has_left_is_known_as_such)
{
  ck_assert (handled_as_left (true));
  ck_assert (!handled_as_left (false));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("http");
  TCase *tc = tcase_create ("http");
  tcase_set_timeout (tc, 30);
  tcase_add_test (tc, request_on_a_closing_reused_connection_is_sent_once);
  tcase_add_test (tc, request_before_a_refused_connection_counts_as_sent);
  tcase_add_test (tc, answer_that_came_during_a_stall_is_not_overdue);
  tcase_add_test (tc, call_after_a_long_callback_has_its_whole_timeout);
  tcase_add_test (tc, time_before_a_request_is_sent_does_not_count);
  tcase_add_test (tc, request_whose_caller_has_left_is_known_as_such);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
