/* The HTTP client under connection faults: a request is sent at most
   once by one call, whatever happens to the connection under it.  */
#define _GNU_SOURCE
#include "harness.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A server of one thread per connection: it answers the first request
   of the first connection and, from then on, reads each request whole
   and closes the connection without an answer, as an executor does that
   is killed right after it took a task.  */
typedef struct
{
  int listen_fd;
  uint16_t port;
  gint requests; /* whole requests read (atomic) */
} closing_server;

static bool
read_request (int fd)
{
  char buf[4096];
  size_t got = 0;
  while (got < sizeof buf - 1)
    {
      ssize_t n = read (fd, buf + got, sizeof buf - 1 - got);
      if (n <= 0)
        return false;
      got += (size_t)n;
      buf[got] = '\0';
      char *end = strstr (buf, "\r\n\r\n");
      char *len = strcasestr (buf, "content-length:");
      if (end && len
          && got >= (size_t)(end + 4 - buf) + (size_t)atoi (len + 15))
        return true;
    }
  return false;
}

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
            break;
          static const char ok[]
              = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
          if (write (fd, ok, sizeof ok - 1) < 0)
            break;
        }
      close (fd);
    }
  return NULL;
}

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

typedef struct
{
  struct ev_loop *loop;
  long status;
  bool sent;
} call_result;

static void
call_done (const mm_http_result *res, void *ctx)
{
  call_result *r = ctx;
  r->status = res->status;
  r->sent = res->sent;
  ev_break (r->loop, EVBREAK_ALL);
}

/* A kept connection to an upstream dies right after the upstream took a
   task.  The library under the client resends such a request by itself
   on a new connection, so the task starts twice although the dispatcher
   sent it once.  The caller must see one request and an answer lost
   after sending.  */
START_TEST (request_on_a_dying_kept_connection_is_sent_once)
{
  closing_server s = { 0 };
  closing_server_start (&s);
  struct ev_loop *loop = ev_loop_new (0);
  mm_http_client *c = mm_http_client_create (loop, 4);
  char *url = g_strdup_printf ("http://127.0.0.1:%u/v1/tasks", s.port);
  call_result r = { .loop = loop };
  mm_http_client_call (c, "POST", url, "{\"task\":1}", 2000, call_done, &r);
  ev_run (loop, 0);
  ck_assert_int_eq (r.status, 200);
  mm_http_client_call (c, "POST", url, "{\"task\":2}", 2000, call_done, &r);
  ev_run (loop, 0);
  ck_assert_int_eq (r.status, 0);
  ck_assert (r.sent);
  ck_assert_int_eq (g_atomic_int_get (&s.requests), 2);
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
  tcase_add_test (tc, request_on_a_dying_kept_connection_is_sent_once);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
