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

/* Starts the server on any free port; it runs until the process exits.  */
static void
closing_server_start (closing_server *s)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t len = sizeof a;
  inet_pton (AF_INET, "127.0.0.1", &a.sin_addr);
  s->listen_fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (bind (s->listen_fd, (struct sockaddr *)&a, sizeof a), 0);
  ck_assert_int_eq (listen (s->listen_fd, 16), 0);
  getsockname (s->listen_fd, (struct sockaddr *)&a, &len);
  s->port = ntohs (a.sin_port);
  pthread_t t;
  pthread_create (&t, NULL, serve, s);
  pthread_detach (t);
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

int
main (void)
{
  Suite *s = suite_create ("http");
  TCase *tc = tcase_create ("http");
  tcase_set_timeout (tc, 30);
  tcase_add_test (tc, request_on_a_closing_reused_connection_is_sent_once);
  tcase_add_test (tc, request_before_a_refused_connection_counts_as_sent);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
