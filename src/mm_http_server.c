/* mm_http_server: libmicrohttpd (MHD), driven by a libev loop.

   MHD runs in external mode with its own epoll set; the loop watches the
   descriptor of that set and MHD's timeout.  A handler may answer at once or
   later: a request that is not answered when the handler returns is suspended,
   and resumed when mm_http_reply() is called.  MHD does not poll suspended
   connections, so a request stays valid until it is answered, even if its
   caller closes the connection.

   The server accepts the connections itself, so that it can close the one
   with the least to show when there are too many.  What a request may cost is
   checked as soon as its header is known, and while its body arrives.  */
#include "mm_http_server_priv.h"

#include "config.h"

#include <string.h>

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

static void dispatch_waiting (mm_http_server *s);

/* Lets MHD do all work that is ready, handles requests for a bounded time, and
   sets the timer for the next turn.  */
static void
server_run (mm_http_server *s)
{
  s->turn++;
  s->turn_ms = mm_clock_now_ms ();
  MHD_run (s->daemon);
  dispatch_waiting (s);
  MHD_UNSIGNED_LONG_LONG timeout = 0;
  ev_timer_stop (s->loop, &s->timer);
  if (s->small.length || s->ahead.length || s->large.length
      || MHD_get_timeout (s->daemon, &timeout) == MHD_YES)
    {
      ev_timer_set (&s->timer, (double)timeout / 1000.0, 0.);
      ev_timer_start (s->loop, &s->timer);
    }
}

/* ---- requests --------------------------------------------------------- */

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
  if (r->server->leaving || r->server->limits.close_answered)
    MHD_add_response_header (resp, "Connection", "close");
  enum MHD_Result ret = MHD_queue_response (r->conn, r->status, resp);
  MHD_destroy_response (resp);
  return ret;
}

static mm_conn *
connection_of (struct MHD_Connection *conn)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return info ? info->socket_context : NULL;
}

static mm_http_request *
request_create (mm_http_server *s, struct MHD_Connection *conn,
                const char *path, const char *method)
{
  mm_http_request *r = g_new0 (mm_http_request, 1);
  r->server = s;
  r->conn = conn;
  r->connection = connection_of (conn);
  r->method = g_strdup (method);
  r->path = g_strdup (path);
  r->queue_link.data = r;
  bool takes_body
      = strcmp (method, "POST") == 0 || strcmp (method, "PUT") == 0;
  r->max_body_bytes
      = takes_body ? s->max_body_bytes
                   : MIN (s->max_body_bytes, MM_HTTP_IGNORED_BODY_BYTES);
  if (r->connection)
    {
      r->connection->request = r;
      r->connection->receiving = true;
      /* MHD reads on in the turn after an answer.  */
      r->ahead = r->connection->answered_turn
                 && s->turn - r->connection->answered_turn <= 1;
    }
  return r;
}

static void
refuse (mm_http_request *r, unsigned status, mm_error_code code,
        const char *why, uint32_t retry_after_s)
{
  char *body = mm_json_error_body (code, why, retry_after_s);
  mm_http_reply (r, status, body, retry_after_s);
  free (body);
}

/* Decides on a request with a body once its header is known.  It may answer
   the request, whose body is then not read.  */
static void
check_header (mm_http_request *r)
{
  mm_http_server *s = r->server;
  const char *length = mm_http_request_header (r, "Content-Length");
  guint64 bytes = 0;
  if (length
      && !g_ascii_string_to_unsigned (length, 10, 0, G_MAXUINT64, &bytes,
                                      NULL))
    bytes = G_MAXUINT64;
  if (!bytes && !mm_http_request_header (r, "Transfer-Encoding"))
    return;
  r->in_handler = true;
  if (bytes > r->max_body_bytes)
    {
      mm_http_count_refusal (s, MM_CT_CLIENTS_TOO_LARGE, "body too large",
                             bytes);
      refuse (r, 413, MM_ERROR_BAD_REQUEST, "request body too large", 0);
    }
  else if (s->limits.admit)
    s->limits.admit (r, s->ctx);
  r->in_handler = false;
}

static void
suspend (mm_http_request *r)
{
  r->suspended = true;
  g_hash_table_add (r->server->suspended, r);
  MHD_suspend_connection (r->conn);
}

/* Passes a request to the handler.  Its body is not needed afterwards.  */
static void
handle (mm_http_request *r)
{
  if (r->connection && r->connection->state == MM_CONN_AHEAD)
    mm_conn_table_set_state (r->server->connections, r->connection,
                             MM_CONN_BUSY, mm_clock_now_ms ());
  r->server->handler (r, r->server->ctx);
  mm_http_drop_body (r);
}

/* Handles the first request of a queue.  Returns false when there is none.  */
static bool
handle_first (GQueue *queue)
{
  GList *link = g_queue_pop_head_link (queue);
  if (!link)
    return false;
  mm_http_request *r = link->data;
  r->queue = NULL;
  handle (r);
  return true;
}

static bool
turn_has_time (const mm_http_server *s)
{
  return mm_clock_now_ms () - s->turn_ms < MM_HTTP_TURN_MS;
}

/* Handles requests that wait, for this turn's time, and at least one of those
   that come last.  */
static void
dispatch_waiting (mm_http_server *s)
{
  while (turn_has_time (s) && handle_first (&s->small))
    ;
  while (handle_first (&s->ahead) && turn_has_time (s))
    ;
  handle_first (&s->large);
}

/* Passes a complete request to the handler, now or in a later turn.  */
static void
dispatch (mm_http_request *r)
{
  mm_http_server *s = r->server;
  r->dispatched = true;
  s->in_flight++;
  bool large = r->body_len > MM_HTTP_LARGE_BODY_BYTES;
  bool waits = large || r->ahead || s->small.length || !turn_has_time (s);
  if (r->connection)
    {
      r->connection->receiving = false;
      mm_conn_table_set_state (s->connections, r->connection,
                               waits && r->ahead ? MM_CONN_AHEAD
                                                 : MM_CONN_BUSY,
                               mm_clock_now_ms ());
    }
  if (waits)
    {
      r->queue = large ? &s->large : r->ahead ? &s->ahead : &s->small;
      g_queue_push_tail_link (r->queue, &r->queue_link);
      return;
    }
  r->in_handler = true;
  handle (r);
  r->in_handler = false;
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
      r = *con_cls = request_create (s, conn, url, method);
      check_header (r);
      return r->answered ? queue_answer (r) : MHD_YES;
    }
  if (*upload_size)
    {
      bool ok = mm_http_receive_body (r, upload, *upload_size);
      *upload_size = 0;
      return ok ? MHD_YES : MHD_NO;
    }
  if (!r->dispatched)
    {
      if (r->body)
        r->body[r->body_len] = '\0';
      dispatch (r);
    }
  if (r->dropped)
    return MHD_NO;
  if (r->answered)
    return queue_answer (r);
  /* Not answered yet: this is the first call, or a spurious resume.  The
     connection waits for mm_http_reply().  */
  suspend (r);
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
  if (r->queue)
    g_queue_unlink (r->queue, &r->queue_link);
  mm_http_drop_body (r);
  if (r->connection)
    {
      r->connection->request = NULL;
      r->connection->receiving = false;
      r->connection->answered_turn = r->server->turn;
      if (r->connection->state != MM_CONN_CLOSING)
        mm_conn_table_set_state (r->server->connections, r->connection,
                                 MM_CONN_SPARE, mm_clock_now_ms ());
    }
  g_free (r->method);
  g_free (r->path);
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

static void
limit_idle_of (mm_conn *c, void *ctx)
{
  limit_idle (ctx, c->handle);
}

/* Keeps the table of open connections.  */
static void
connection_cb (void *cls, struct MHD_Connection *conn, void **socket_ctx,
               enum MHD_ConnectionNotificationCode toe)
{
  mm_http_server *s = cls;
  if (toe != MHD_CONNECTION_NOTIFY_STARTED)
    {
      mm_budget_give (s->limits.budget, MM_BUDGET_CONNECTIONS,
                      MM_HTTP_CONNECTION_BYTES);
      mm_conn_table_remove (s->connections, *socket_ctx);
      *socket_ctx = NULL;
      return;
    }
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (conn, MHD_CONNECTION_INFO_CONNECTION_FD);
  mm_budget_force (s->limits.budget, MM_BUDGET_CONNECTIONS,
                   MM_HTTP_CONNECTION_BYTES);
  *socket_ctx = mm_conn_table_add (s->connections, info->connect_fd, conn,
                                   mm_clock_now_ms ());
  limit_idle (s, conn);
}

/* Called by MHD with the first line of a request.  A spare connection then
   has less to show than one that waits without having begun a request.  */
static void *
request_line_cb (void *cls, const char *uri, struct MHD_Connection *conn)
{
  mm_http_server *s = cls;
  mm_conn *c = connection_of (conn);
  if (!c || c->state == MM_CONN_CLOSING)
    return NULL;
  c->receiving = true;
  mm_conn_table_set_state (s->connections, c, MM_CONN_NO_REQUEST,
                           mm_clock_now_ms ());
  return NULL;
}

static void
on_accepted_all (void *ctx)
{
  server_run (ctx);
}

static void
check_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_http_check_overdue (w->data);
}

static void
start_watchers (mm_http_server *s)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (s->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init (&s->io, io_cb, info->epoll_fd, EV_READ);
  ev_timer_init (&s->timer, timer_cb, 0., 0.);
  ev_idle_init (&s->run_soon, run_soon_cb);
  ev_timer_init (&s->check, check_cb, MM_HTTP_CHECK_MS / 1000.,
                 MM_HTTP_CHECK_MS / 1000.);
  s->io.data = s->timer.data = s->run_soon.data = s->check.data = s;
  ev_io_start (s->loop, &s->io);
  ev_timer_start (s->loop, &s->check);
}

/**
 * mm_http_server_create() - listen for HTTP on a libev loop.
 * @loop: the loop that drives the server.
 * @host: address to bind, e.g. "127.0.0.1".
 * @port: port, 0 for any free port (see mm_http_server_port()).
 * @max_body_bytes: larger bodies are answered 413.
 * @handler: called once per request with @ctx; must call mm_http_reply(), at
 *           once or later.  The body of the request is valid until it returns.
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
  mm_http_server *s = g_new0 (mm_http_server, 1);
  mm_http_listener_events ev = { .accepted = mm_http_accept,
                                 .accepted_all = on_accepted_all,
                                 .exhausted = mm_http_descriptors_exhausted,
                                 .ctx = s };
  s->listener = mm_http_listener_create (loop, host, port, &ev, error);
  if (!s->listener)
    {
      g_free (s);
      return NULL;
    }
  s->loop = loop;
  s->handler = handler;
  s->ctx = ctx;
  s->max_body_bytes = max_body_bytes;
  s->limits.connections = MM_HTTP_MAX_CONNECTIONS;
  s->port = mm_http_listener_port (s->listener);
  s->connections = mm_conn_table_create ();
  s->suspended = g_hash_table_new (NULL, NULL);
  s->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET, 0,
      NULL, NULL, access_cb, s, MHD_OPTION_NOTIFY_COMPLETED, completed_cb, s,
      MHD_OPTION_NOTIFY_CONNECTION, connection_cb, s,
      MHD_OPTION_URI_LOG_CALLBACK, request_line_cb, s,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)MM_HTTP_POOL_BYTES,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)(2 * MM_HTTP_MAX_CONNECTIONS),
      MHD_OPTION_END);
  if (!s->daemon)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_IO, "cannot serve %s:%u", host,
                   port);
      mm_http_listener_destroy (s->listener);
      mm_conn_table_destroy (s->connections);
      g_hash_table_destroy (s->suspended);
      g_free (s);
      return NULL;
    }
  start_watchers (s);
  return s;
}

void
mm_http_server_set_limits (mm_http_server *s, const mm_http_limits *limits)
{
  s->limits = *limits;
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
  g_clear_pointer (&s->listener, mm_http_listener_destroy);
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
  mm_http_server_quiesce (s);
  ev_io_stop (s->loop, &s->io);
  ev_timer_stop (s->loop, &s->timer);
  ev_idle_stop (s->loop, &s->run_soon);
  ev_timer_stop (s->loop, &s->check);
  answer_suspended (s);
  MHD_stop_daemon (s->daemon);
  g_hash_table_destroy (s->suspended);
  mm_conn_table_destroy (s->connections);
  g_free (s);
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
  mm_conn_table_foreach (s->connections, limit_idle_of, s);
  ev_idle_start (s->loop, &s->run_soon);
}

uint32_t
mm_http_server_connections (const mm_http_server *s)
{
  return mm_conn_table_count (s->connections);
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
  if (r->connection && r->connection->state != MM_CONN_CLOSING)
    mm_conn_table_set_state (r->server->connections, r->connection,
                             r->ahead ? MM_CONN_AHEAD : MM_CONN_SENDING,
                             mm_clock_now_ms ());
  if (r->in_handler || !r->suspended)
    return;
  r->suspended = false;
  g_hash_table_remove (r->server->suspended, r);
  MHD_resume_connection (r->conn);
  ev_idle_start (r->server->loop, &r->server->run_soon);
}
