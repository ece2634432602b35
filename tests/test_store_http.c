/* The HTTP calls to the store, whose connections go silent.  */
#include "mm_store_http.h"
#include "harness.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ANSWER_MS 50     /* the store takes so long for a call */
#define TIMEOUT_MS 300   /* of a call */
#define CONNECTIONS 4    /* open when the store goes silent */
#define OLD_AGE_S 3      /* more than the shortest age that curl can limit */
#define MAX_ACCEPTED 64u /* connections that the server accepts */

/* A server with a thread for each connection.  */
typedef struct
{
  int listen_fd;
  uint16_t port;
  gint accepted; /* connections accepted so far (atomic) */
  gint silent;   /* the first so many are not answered any more (atomic) */
} silent_server;

/* A connection of the server.  */
typedef struct
{
  silent_server *server;
  int fd;
  int number; /* how many connections were accepted before */
} connection;

/* Thread of a connection: answers each request after ANSWER_MS.  */
static void *
serve_connection (void *data)
{
  connection *c = data;
  char buf[4096];
  while (read (c->fd, buf, sizeof buf) > 0)
    {
      usleep (ANSWER_MS * 1000);
      if (c->number < g_atomic_int_get (&c->server->silent))
        continue;
      static const char ok[]
          = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
      if (write (c->fd, ok, sizeof ok - 1) < 0)
        break;
    }
  close (c->fd);
  g_free (c);
  return NULL;
}

static void
start_thread (void *(*run) (void *), void *data)
{
  pthread_t t;
  ck_assert_int_eq (pthread_create (&t, NULL, run, data), 0);
  pthread_detach (t);
}

/* Thread that accepts connections.  */
static void *
accept_connections (void *data)
{
  silent_server *s = data;
  int fd;
  while ((fd = accept (s->listen_fd, NULL, NULL)) >= 0)
    {
      connection *c = g_new0 (connection, 1);
      c->server = s;
      c->fd = fd;
      c->number = g_atomic_int_add (&s->accepted, 1);
      start_thread (serve_connection, c);
    }
  return NULL;
}

/* Starts the server on any free port; it runs until the process exits.  */
static void
silent_server_start (silent_server *s)
{
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t len = sizeof a;
  inet_pton (AF_INET, "127.0.0.1", &a.sin_addr);
  s->listen_fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (bind (s->listen_fd, (struct sockaddr *)&a, sizeof a), 0);
  ck_assert_int_eq (listen (s->listen_fd, MAX_ACCEPTED), 0);
  getsockname (s->listen_fd, (struct sockaddr *)&a, &len);
  s->port = ntohs (a.sin_port);
  start_thread (accept_connections, s);
}

/* A store and a client of it.  */
typedef struct
{
  silent_server server;
  struct ev_loop *loop;
  mm_http_client *client, *config_client;
  mm_store_http *store;
  int in_flight; /* calls not answered yet */
  int answered;  /* calls with an answer */
} fixture;

static void
fixture_init (fixture *f)
{
  memset (f, 0, sizeof *f);
  silent_server_start (&f->server);
  f->loop = ev_loop_new (0);
  f->client = mm_http_client_create (f->loop, 32);
  char *addr = g_strdup_printf ("127.0.0.1:%u", f->server.port);
  f->config_client = mm_http_client_create (f->loop, 1);
  f->store = mm_store_http_create (f->client, f->config_client, addr);
  g_free (addr);
}

static void
fixture_clear (fixture *f)
{
  mm_store_http_destroy (f->store);
  mm_http_client_destroy (f->client);
  mm_http_client_destroy (f->config_client);
  ev_loop_destroy (f->loop);
}

static void
call_done (const mm_http_result *res, void *ctx)
{
  mm_store_call *call = ctx;
  fixture *f = call->ctx;
  f->answered += mm_store_http_ok (res);
  if (--f->in_flight == 0)
    ev_break (f->loop, EVBREAK_ALL);
  g_free (call);
}

/* Makes @n calls at the same time.  Returns how many were answered.  */
static int
call_store (fixture *f, int n)
{
  f->in_flight = n;
  f->answered = 0;
  mm_store_call call = { .ctx = f };
  for (int i = 0; i < n; i++)
    mm_store_http_send (f->store, "GET", g_strdup ("/log-newest"), NULL,
                        TIMEOUT_MS, call_done, &call);
  ev_run (f->loop, 0);
  return f->answered;
}

static void
ignore_answer (const mm_stream_result *res, void *ctx)
{
}

/* Reads the configuration.  Returns whether the read was answered.  */
static bool
read_config (fixture *f)
{
  f->in_flight = 1;
  f->answered = 0;
  mm_store_call call = { .kind = MM_STREAM_CONFIG,
                         .stream_answered = ignore_answer,
                         .ctx = f };
  mm_store_http_send (f->store, "GET", g_strdup ("/log-read"), NULL,
                      TIMEOUT_MS, call_done, &call);
  ev_run (f->loop, 0);
  return f->answered == 1;
}

/* Makes the first @n connections silent; new ones are answered.  */
static void
silence_first (fixture *f, int n)
{
  g_atomic_int_set (&f->server.silent, n);
}

/* Makes all open connections silent; new ones are answered.  */
static void
silence (fixture *f)
{
  silence_first (f, g_atomic_int_get (&f->server.accepted));
}

/* All open connections to the store go silent.  Guards against calls that
   wait for a timeout on each of them in turn, so that a configuration is in
   force too late.  */
START_TEST (silent_connections_cost_one_timeout)
{
  fixture f;
  fixture_init (&f);
  ck_assert_int_eq (call_store (&f, CONNECTIONS), CONNECTIONS);
  silence (&f);
  ck_assert_int_eq (call_store (&f, 1), 0);
  for (int i = 0; i < CONNECTIONS; i++)
    ck_assert_int_eq (call_store (&f, 1), 1);
  sleep (OLD_AGE_S);
  ck_assert_int_eq (call_store (&f, CONNECTIONS), CONNECTIONS);
  fixture_clear (&f);
}
END_TEST

/* Guards against a new connection for every call once a call has timed out. */
START_TEST (connections_are_reused_again_after_a_timeout)
{
  fixture f;
  fixture_init (&f);
  ck_assert_int_eq (call_store (&f, 1), 1);
  silence (&f);
  ck_assert_int_eq (call_store (&f, 1), 0);
  sleep (OLD_AGE_S);
  int before = g_atomic_int_get (&f.server.accepted);
  for (int i = 0; i < CONNECTIONS; i++)
    ck_assert_int_eq (call_store (&f, 1), 1);
  ck_assert_int_eq (g_atomic_int_get (&f.server.accepted) - before, 1);
  fixture_clear (&f);
}
END_TEST

/* Guards against a configuration that is late because its read took a
   connection which had gone silent long before, while it was idle.  */
START_TEST (configuration_is_read_on_a_connection_of_its_own)
{
  fixture f;
  fixture_init (&f);
  ck_assert_int_eq (call_store (&f, CONNECTIONS), CONNECTIONS);
  ck_assert (read_config (&f));
  ck_assert_int_eq (g_atomic_int_get (&f.server.accepted), CONNECTIONS + 1);
  silence_first (&f, CONNECTIONS);
  ck_assert (read_config (&f));
  ck_assert_int_eq (g_atomic_int_get (&f.server.accepted), CONNECTIONS + 1);
  fixture_clear (&f);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("store_http");
  TCase *tc = tcase_create ("silent connections");
  tcase_set_timeout (tc, 30);
  tcase_add_test (tc, silent_connections_cost_one_timeout);
  tcase_add_test (tc, connections_are_reused_again_after_a_timeout);
  tcase_add_test (tc, configuration_is_read_on_a_connection_of_its_own);
  suite_add_tcase (s, tc);
  return h_run_suite (s);
}
