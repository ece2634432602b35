/* mm_http_server: libmicrohttpd (MHD), driven by a libev loop.

   MHD runs in external mode with its own epoll set; the loop watches the
   descriptor of that set and MHD's timeout.  A handler may answer at once or
   later: a request that is not answered when the handler returns is suspended,
   and resumed when mm_http_reply() is called.  MHD does not poll suspended
   connections, so a request stays valid until it is answered, even if its
   caller closes the connection.  */
#include "masticmill.h"

#include "config.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <unistd.h>
#include <string.h>
#include <sys/socket.h>

struct mm_http_server
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  ev_io io;         /* watches MHD's epoll set */
  ev_timer timer;   /* runs MHD at its next timeout */
  ev_idle run_soon; /* runs MHD when the loop has nothing else to do */
  mm_http_handler handler;
  void *ctx;               /* argument of @handler */
  size_t max_body_bytes;   /* larger bodies are answered 413 */
  uint32_t in_flight;      /* requests passed to the handler, not completed */
  GHashTable *connections; /* set of struct MHD_Connection */
  GHashTable *suspended;   /* set of mm_http_request */
  bool leaving;            /* see mm_http_server_set_leaving() */
  uint16_t port;           /* port that the server listens on */
};

struct mm_http_request
{
  mm_http_server *server;
  struct MHD_Connection *conn;
  char *method;
  char *path;
  GByteArray *body; /* ends with an additional NUL once it is complete */
  bool too_large;   /* the body is longer than the server accepts */
  bool dispatched;  /* passed to the handler, or answered 413 */
  bool in_handler;  /* the handler has not returned yet */
  bool suspended;   /* MHD waits for mm_http_reply() */
  bool answered;    /* mm_http_reply() was called */
  unsigned status;  /* HTTP status of the answer */
  char *answer;     /* JSON body of the answer */
  uint32_t retry_after_s;
  ev_io caller_socket_io; /* watches the caller's socket until the answer */
  mm_http_closed_cb left; /* NULL: not set, called already, or answered */
  void *left_ctx;         /* argument of @left */
};

static void server_run (mm_http_server *s);

static void
io_cb (struct ev_loop *loop, ev_io *w, int revents)
{
  server_run (w->data);
}

static void
timer_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  server_run (w->data);
}

static void
run_soon_cb (struct ev_loop *loop, ev_idle *w, int revents)
{
  ev_idle_stop (loop, w);
  server_run (w->data);
}

/* Lets MHD do all work that is ready, then sets the timer for MHD's next
   timeout.  */
static void
server_run (mm_http_server *s)
{
  MHD_run (s->daemon);
  MHD_UNSIGNED_LONG_LONG timeout;
  ev_timer_stop (s->loop, &s->timer);
  if (MHD_get_timeout (s->daemon, &timeout) == MHD_YES)
    {
      ev_timer_set (&s->timer, (double)timeout / 1000.0, 0.);
      ev_timer_start (s->loop, &s->timer);
    }
}

/* Passes the answer of a request to MHD, which sends it.  */
static enum MHD_Result
queue_answer (mm_http_request *r)
{
  struct MHD_Response *resp = MHD_create_response_from_buffer (
      strlen (r->answer), r->answer, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (resp, "Content-Type", "application/json");
  if (r->retry_after_s)
    {
      char buf[16];
      g_snprintf (buf, sizeof buf, "%u", r->retry_after_s);
      MHD_add_response_header (resp, "Retry-After", buf);
    }
  if (r->server->leaving)
    MHD_add_response_header (resp, "Connection", "close");
  enum MHD_Result ret = MHD_queue_response (r->conn, r->status, resp);
  MHD_destroy_response (resp);
  return ret;
}

/* Called by MHD several times for a request: first with its header, then with
   each part of its body, then when the body is complete, and again when the
   suspended request is resumed.  */
static enum MHD_Result
access_cb (void *cls, struct MHD_Connection *conn, const char *url,
           const char *method, const char *version, const char *upload,
           size_t *upload_size, void **con_cls)
{
  mm_http_server *s = cls;
  mm_http_request *r = *con_cls;
  if (!r)
    {
      r = g_new0 (mm_http_request, 1);
      r->server = s;
      r->conn = conn;
      r->method = g_strdup (method);
      r->path = g_strdup (url);
      r->body = g_byte_array_new ();
      *con_cls = r;
      return MHD_YES;
    }
  if (*upload_size)
    {
      if (r->body->len + *upload_size > s->max_body_bytes)
        r->too_large = true;
      else
        g_byte_array_append (r->body, (const guint8 *)upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (!r->dispatched)
    {
      r->dispatched = true;
      s->in_flight++;
      g_byte_array_append (r->body, (const guint8 *)"", 1);
      if (r->too_large)
        {
          char *b = mm_json_error_body (MM_ERROR_BAD_REQUEST,
                                        "request body too large", 0);
          mm_http_reply (r, 413, b, 0);
          free (b);
        }
      else
        {
          r->in_handler = true;
          s->handler (r, s->ctx);
          r->in_handler = false;
        }
    }
  if (r->answered)
    return queue_answer (r);
  /* Not answered yet: this is the first call, or a spurious resume.  The
     connection waits for mm_http_reply().  */
  r->suspended = true;
  g_hash_table_add (s->suspended, r);
  MHD_suspend_connection (conn);
  return MHD_YES;
}

/* Frees a request once its answer is sent or its connection has failed.  */
static void
completed_cb (void *cls, struct MHD_Connection *conn, void **con_cls,
              enum MHD_RequestTerminationCode toe)
{
  mm_http_request *r = *con_cls;
  if (!r)
    return;
  if (r->dispatched && r->server->in_flight > 0)
    r->server->in_flight--;
  ev_io_stop (r->server->loop, &r->caller_socket_io);
  g_free (r->method);
  g_free (r->path);
  g_byte_array_free (r->body, TRUE);
  g_free (r->answer);
  g_free (r);
  *con_cls = NULL;
}

/* Makes a leaving server close the connection after MM_HTTP_LEAVING_IDLE_S
   without a request.  */
static void
limit_idle (mm_http_server *s, struct MHD_Connection *conn)
{
  if (s->leaving)
    MHD_set_connection_option (conn, MHD_CONNECTION_OPTION_TIMEOUT,
                               (unsigned)MM_HTTP_LEAVING_IDLE_S);
}

/* Keeps the set of open connections.  */
static void
connection_cb (void *cls, struct MHD_Connection *conn, void **socket_ctx,
               enum MHD_ConnectionNotificationCode toe)
{
  mm_http_server *s = cls;
  if (toe != MHD_CONNECTION_NOTIFY_STARTED)
    g_hash_table_remove (s->connections, conn);
  else
    {
      g_hash_table_add (s->connections, conn);
      limit_idle (s, conn);
    }
}

/**
 * mm_http_server_create() - listen for HTTP on a libev loop.
 * @loop: the loop that drives the server.
 * @host: address to bind, e.g. "127.0.0.1".
 * @port: port, 0 for any free port (see mm_http_server_port()).
 * @max_body_bytes: larger bodies are answered 413.
 * @handler: called once per request with @ctx; must call mm_http_reply(), at
 *           once or later.
 * @ctx: context pointer for @handler.
 * @error: MM_ERROR_IO when the port cannot be bound.
 *
 * Return: the server, or NULL with @error set.
 */
mm_http_server *
mm_http_server_create (struct ev_loop *loop, const char *host, uint16_t port,
                       size_t max_body_bytes, mm_http_handler handler,
                       void *ctx, GError **error)
{
  struct sockaddr_in addr = { 0 };
  addr.sin_family = AF_INET;
  addr.sin_port = htons (port);
  if (inet_pton (AF_INET, host, &addr.sin_addr) != 1)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_IO, "bad listen address %s",
                   host);
      return NULL;
    }
  mm_http_server *s = g_new0 (mm_http_server, 1);
  s->loop = loop;
  s->handler = handler;
  s->ctx = ctx;
  s->max_body_bytes = max_body_bytes;
  s->connections = g_hash_table_new (NULL, NULL);
  s->suspended = g_hash_table_new (NULL, NULL);
  s->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, port, NULL, NULL, access_cb, s,
      MHD_OPTION_SOCK_ADDR, &addr, MHD_OPTION_NOTIFY_COMPLETED, completed_cb,
      s, MHD_OPTION_NOTIFY_CONNECTION, connection_cb, s,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)4096,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, (unsigned)1, MHD_OPTION_END);
  if (!s->daemon)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_IO,
                   "cannot listen on %s:%u (port in use?)", host, port);
      g_hash_table_destroy (s->connections);
      g_hash_table_destroy (s->suspended);
      g_free (s);
      return NULL;
    }
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (s->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  const union MHD_DaemonInfo *pinfo
      = MHD_get_daemon_info (s->daemon, MHD_DAEMON_INFO_BIND_PORT);
  s->port = pinfo ? pinfo->port : port;
  ev_io_init (&s->io, io_cb, info->epoll_fd, EV_READ);
  s->io.data = s;
  ev_io_start (loop, &s->io);
  ev_timer_init (&s->timer, timer_cb, 0., 0.);
  s->timer.data = s;
  ev_idle_init (&s->run_soon, run_soon_cb);
  s->run_soon.data = s;
  return s;
}

/**
 * mm_http_server_listen() - like mm_http_server_create(), at "ip:port".
 * @loop: the loop that drives the server.
 * @addr: "ip:port".
 * @max_body_bytes: larger bodies are answered 413.
 * @handler: called once per request with @ctx.
 * @ctx: context pointer for @handler.
 * @error: MM_ERROR_IO when @addr is invalid or cannot be bound.
 *
 * Return: the server, or NULL with @error set.
 */
mm_http_server *
mm_http_server_listen (struct ev_loop *loop, const char *addr,
                       size_t max_body_bytes, mm_http_handler handler,
                       void *ctx, GError **error)
{
  const char *colon = strrchr (addr, ':');
  guint64 port = 0;
  if (!colon
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, G_MAXUINT16, &port,
                                      NULL))
    {
      g_set_error (error, MM_ERROR, MM_ERROR_IO, "bad address %s", addr);
      return NULL;
    }
  char *host = g_strndup (addr, (gsize)(colon - addr));
  mm_http_server *s = mm_http_server_create (
      loop, host, (uint16_t)port, max_body_bytes, handler, ctx, error);
  g_free (host);
  return s;
}

/**
 * mm_http_server_quiesce() - stop accepting connections.
 * @s: the server; open requests stay open until they are answered.
 */
void
mm_http_server_quiesce (mm_http_server *s)
{
  MHD_socket fd = MHD_quiesce_daemon (s->daemon);
  if (fd != MHD_INVALID_SOCKET)
    close (fd);
}

uint32_t
mm_http_server_in_flight (const mm_http_server *s)
{
  return s->in_flight;
}

uint16_t
mm_http_server_port (const mm_http_server *s)
{
  return s->port;
}

/* Answers all suspended requests, since libmicrohttpd aborts the process when
   it is stopped with suspended connections.  The status is not 503, which
   would claim that the request had no effect.  Each mm_http_reply() removes
   its request from the set, so the iteration starts again each time.  */
static void
answer_suspended (mm_http_server *s)
{
  GHashTableIter it;
  gpointer r;
  while (g_hash_table_iter_init (&it, s->suspended),
         g_hash_table_iter_next (&it, &r, NULL))
    {
      char *body = mm_json_error_body (MM_ERROR_IO, "server is stopping", 1);
      mm_http_reply (r, 500, body, 1);
      free (body);
    }
  MHD_run (s->daemon);
}

/* Answers the requests that still wait and closes all connections.  */
void
mm_http_server_destroy (mm_http_server *s)
{
  if (!s)
    return;
  ev_io_stop (s->loop, &s->io);
  ev_timer_stop (s->loop, &s->timer);
  ev_idle_stop (s->loop, &s->run_soon);
  answer_suspended (s);
  MHD_stop_daemon (s->daemon);
  g_hash_table_destroy (s->suspended);
  g_hash_table_destroy (s->connections);
  g_free (s);
}

const char *
mm_http_request_method (const mm_http_request *r)
{
  return r->method;
}

const char *
mm_http_request_path (const mm_http_request *r)
{
  return r->path;
}

/* Returns the body, which ends with a NUL that @len does not count.  @len may
   be NULL.  */
const char *
mm_http_request_body (const mm_http_request *r, size_t *len)
{
  if (len)
    *len = r->body->len ? r->body->len - 1 : 0;
  return (const char *)r->body->data;
}

const char *
mm_http_request_query (const mm_http_request *r, const char *key)
{
  return MHD_lookup_connection_value (r->conn, MHD_GET_ARGUMENT_KIND, key);
}

const char *
mm_http_request_header (const mm_http_request *r, const char *name)
{
  return MHD_lookup_connection_value (r->conn, MHD_HEADER_KIND, name);
}

static int
caller_socket (const mm_http_request *r)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info ? info->connect_fd : -1;
}

/* What stands in a caller's socket behind its request.  */
typedef enum
{
  CALLER_WAITS,
  CALLER_SENDS, /* its next request */
  CALLER_LEFT   /* it has closed the connection, or the connection failed */
} caller_state;

static caller_state
peek_at_caller (int fd)
{
  char byte;
  ssize_t n = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return CALLER_WAITS;
  return n > 0 ? CALLER_SENDS : CALLER_LEFT;
}

/**
 * mm_http_request_caller_left() - whether the caller has closed its
 * connection.
 * @r: the request.
 *
 * A request is read long after it was sent if the process has handled no
 * events for a while, and mm_http_request_on_close() reports a close that
 * stands behind it only in the next iteration of the event loop.
 *
 * Return: true if the close has arrived by now.
 */
bool
mm_http_request_caller_left (const mm_http_request *r)
{
  int fd = caller_socket (r);
  return fd >= 0 && peek_at_caller (fd) == CALLER_LEFT;
}

/* Detects that the caller of a suspended request has closed its connection.
   MHD does not poll suspended connections, so the close would go unnoticed
   until the answer, and tasks would run on although no caller waits.  */
static void
caller_socket_cb (struct ev_loop *loop, ev_io *w, int revents)
{
  mm_http_request *r = w->data;
  caller_state state = peek_at_caller (w->fd);
  if (state == CALLER_WAITS)
    return;
  ev_io_stop (loop, w);
  if (state == CALLER_SENDS || !r->left)
    return;
  mm_http_closed_cb left = r->left;
  r->left = NULL;
  left (r->left_ctx);
}

/**
 * mm_http_request_on_close() - watch for the caller closing its connection.
 * @r: a request that is not answered yet.
 * @left: called at most once; the request must still be answered with
 *        mm_http_reply().
 * @ctx: context pointer for @left.
 */
void
mm_http_request_on_close (mm_http_request *r, mm_http_closed_cb left,
                          void *ctx)
{
  int fd = caller_socket (r);
  if (fd < 0)
    return;
  r->left = left;
  r->left_ctx = ctx;
  ev_io_init (&r->caller_socket_io, caller_socket_cb, fd, EV_READ);
  r->caller_socket_io.data = r;
  ev_io_start (r->server->loop, &r->caller_socket_io);
}

/**
 * mm_http_server_set_leaving() - make callers connect to another instance.
 * @s: the server; each connection is closed with its next answer, or after
 *     MM_HTTP_LEAVING_IDLE_S without a request, so that its caller connects
 *     elsewhere for its next request.
 *
 * Without the idle limit, spare connections of callers brought requests until
 * the very end of a shutdown, and some of these were aborted by it.
 */
void
mm_http_server_set_leaving (mm_http_server *s)
{
  if (s->leaving)
    return;
  s->leaving = true;
  GHashTableIter it;
  gpointer conn;
  g_hash_table_iter_init (&it, s->connections);
  while (g_hash_table_iter_next (&it, &conn, NULL))
    limit_idle (s, conn);
  ev_idle_start (s->loop, &s->run_soon);
}

uint32_t
mm_http_server_connections (const mm_http_server *s)
{
  return g_hash_table_size (s->connections);
}

/**
 * mm_http_reply() - answer a request with a JSON body.
 * @r: the request, which is freed when the answer has been sent.
 * @status: HTTP status.
 * @body: JSON text, copied.
 * @retry_after_s: sent as Retry-After when not 0.
 *
 * A second reply to the same request before then is ignored.
 */
void
mm_http_reply (mm_http_request *r, unsigned status, const char *body,
               uint32_t retry_after_s)
{
  if (r->answered)
    return;
  r->answered = true;
  r->left = NULL;
  ev_io_stop (r->server->loop, &r->caller_socket_io);
  r->status = status;
  r->answer = g_strdup (body);
  r->retry_after_s = retry_after_s;
  if (r->in_handler || !r->suspended)
    return;
  r->suspended = false;
  g_hash_table_remove (r->server->suspended, r);
  MHD_resume_connection (r->conn);
  ev_idle_start (r->server->loop, &r->server->run_soon);
}
