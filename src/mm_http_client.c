/* mm_http_client: libcurl's multi interface, driven by a libev loop with one
   ev_io for each socket that curl watches and one ev_timer for curl's
   timeout.  */
#include "masticmill.h"

#include "config.h"

#include <curl/curl.h>
#include <string.h>

#define OVERDUE_PRIORITY                                                      \
  (-1) /* of the libev watchers, below that of sockets */

struct mm_http_client
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;      /* runs curl at its next timeout */
  uint32_t in_flight;  /* calls that have not ended */
  char *member_header; /* "X-Masticmill-Member: NAME", or NULL */
};

/* A request body that is sent at most once, see read_body_once().  */
typedef struct
{
  const char *data;
  size_t len_bytes;   /* length of @data */
  size_t sent_bytes;  /* bytes of @data that were passed to curl */
  mm_time_ms sent_ms; /* when all of them were, valid if so */
} body_cursor;

/* A call that has not ended.  */
typedef struct
{
  mm_http_client *client;
  CURL *easy; /* curl's handle of the call */
  struct curl_slist *headers;
  GString *answer;        /* body of the answer, as far as received */
  char *body;             /* body of the request */
  body_cursor cursor;     /* reads @body */
  mm_time_ms created_ms;  /* when the call was made */
  mm_time_ms timeout_ms;  /* when it becomes overdue, from created_ms on */
  ev_timer overdue_timer; /* started if the call may become overdue */
  bool polled;            /* sockets were polled after the call's timeout */
  bool overdue;           /* @done was called because the answer is overdue */
  mm_http_done done;
  void *ctx; /* argument of @done */
} call;

/* A socket that curl watches.  */
typedef struct
{
  ev_io io; /* first member: socket_event_cb() casts its address */
  mm_http_client *client;
} socket_watch;

/* Returns how long after the call its body was passed to the connection, -1 if
   it was not, or there is none.  */
static mm_time_ms
unsent_ms (const call *c)
{
  bool sent
      = c->cursor.len_bytes && c->cursor.sent_bytes == c->cursor.len_bytes;
  return sent ? c->cursor.sent_ms - c->created_ms : -1;
}

/* Returns when the timeout of a call ends.  The time in which this process had
   not sent the request yet does not count.  */
static mm_time_ms
timeout_end_ms (const call *c)
{
  return c->created_ms + MAX (unsent_ms (c), 0) + c->timeout_ms;
}

static void
start_overdue_timer (call *c, mm_time_ms after_ms)
{
  ev_timer_set (&c->overdue_timer, (double)after_ms / 1000., 0.);
  ev_timer_start (c->client->loop, &c->overdue_timer);
}

/* Reports a call as timed out but leaves it open.  The caller continues
   without the answer; an answer that still comes is reported as late, which
   shows how long answers take.

   While this process handles no events, answers stay unread.  A call is
   therefore reported only after a poll that began after its timeout.  The
   timer may also expire early: it counts from the loop's cached time, which is
   older than the call after a long callback.  */
static void
overdue_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  call *c = w->data;
  mm_time_ms overrun_ms = mm_clock_now_ms () - timeout_end_ms (c);
  if (overrun_ms < 0 || !c->polled)
    {
      c->polled = overrun_ms >= 0;
      start_overdue_timer (c, MAX (-overrun_ms, 0));
      return;
    }
  c->overdue = true;
  mm_http_result res = { .overdue = true,
                         .sent = true,
                         .body = "",
                         .unsent_ms = unsent_ms (c),
                         .overrun_ms = overrun_ms };
  res.error
      = g_error_new_literal (MM_ERROR, MM_ERROR_TIMEOUT, "no answer in time");
  c->done (&res, c->ctx);
  g_error_free (res.error);
}

/* Returns whether the server may have received the request.  A request with a
   body is complete only after its body.  The result of the connection does not
   decide: after a reused connection was closed, curl tries another one, which
   may be refused although the request was sent on the first.  */
static bool
was_sent (const call *c, CURLcode code)
{
  if (c->cursor.len_bytes)
    return c->cursor.sent_bytes > 0;
  long uploaded_bytes = 0;
  curl_easy_getinfo (c->easy, CURLINFO_REQUEST_SIZE, &uploaded_bytes);
  return uploaded_bytes > 0 && code != CURLE_COULDNT_CONNECT;
}

/* Reports the result of a call that has ended with @code, and frees it.  */
static void
finish_call (call *c, CURLcode code)
{
  mm_http_result res
      = { .was_overdue = c->overdue, .unsent_ms = unsent_ms (c) };
  ev_timer_stop (c->client->loop, &c->overdue_timer);
  curl_easy_getinfo (c->easy, CURLINFO_RESPONSE_CODE, &res.status);
  res.sent = was_sent (c, code);
  if (code != CURLE_OK)
    res.error = g_error_new (
        MM_ERROR,
        code == CURLE_OPERATION_TIMEDOUT ? MM_ERROR_TIMEOUT : MM_ERROR_IO,
        "%s", curl_easy_strerror (code));
  res.body = c->answer->str;
  res.body_bytes = c->answer->len;
  c->client->in_flight--;
  curl_multi_remove_handle (c->client->multi, c->easy);
  c->done (&res, c->ctx);
  if (res.error)
    g_error_free (res.error);
  curl_easy_cleanup (c->easy);
  curl_slist_free_all (c->headers);
  g_string_free (c->answer, TRUE);
  g_free (c->body);
  g_free (c);
}

/* Finishes all calls that curl reports as ended.  */
static void
check_done (mm_http_client *client)
{
  CURLMsg *msg;
  int left;
  while ((msg = curl_multi_info_read (client->multi, &left)))
    {
      if (msg->msg != CURLMSG_DONE)
        continue;
      call *c = NULL;
      curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, (char **)&c);
      finish_call (c, msg->data.result);
    }
}

/* Lets curl read from or write to a socket.  */
static void
socket_event_cb (struct ev_loop *loop, ev_io *w, int revents)
{
  socket_watch *watch = (socket_watch *)w;
  /* curl may close this socket inside curl_multi_socket_action(), and
     curl_sock_cb() then frees @watch.  Reading it afterwards crashed under
     load, so what is needed from it is copied first.  */
  mm_http_client *client = watch->client;
  int fd = w->fd;
  int action = (revents & EV_READ ? CURL_CSELECT_IN : 0)
               | (revents & EV_WRITE ? CURL_CSELECT_OUT : 0);
  int running;
  curl_multi_socket_action (client->multi, fd, action, &running);
  check_done (client);
}

/* Lets curl handle its timeouts.  */
static void
timer_event_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_http_client *client = w->data;
  int running;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  check_done (client);
}

/* Called by curl when it begins or ceases to watch a socket, or watches it for
   other events.  @sockp: the socket_watch of the socket, NULL at first.  */
static int
curl_sock_cb (CURL *e, curl_socket_t s, int what, void *cbp, void *sockp)
{
  mm_http_client *client = cbp;
  socket_watch *watch = sockp;
  if (what == CURL_POLL_REMOVE)
    {
      if (watch)
        {
          ev_io_stop (client->loop, &watch->io);
          g_free (watch);
          curl_multi_assign (client->multi, s, NULL);
        }
      return 0;
    }
  int events = (what & CURL_POLL_IN ? EV_READ : 0)
               | (what & CURL_POLL_OUT ? EV_WRITE : 0);
  if (!watch)
    {
      watch = g_new0 (socket_watch, 1);
      watch->client = client;
      curl_multi_assign (client->multi, s, watch);
    }
  else
    ev_io_stop (client->loop, &watch->io);
  ev_io_init (&watch->io, socket_event_cb, s, events);
  ev_io_start (client->loop, &watch->io);
  return 0;
}

/* Called by curl to set its timer; a negative @timeout_ms stops the timer.  */
static int
curl_timer_cb (CURLM *multi, long timeout_ms, void *userp)
{
  mm_http_client *client = userp;
  ev_timer_stop (client->loop, &client->timer);
  if (timeout_ms >= 0)
    {
      ev_timer_set (&client->timer, (double)timeout_ms / 1000.0, 0.);
      ev_timer_start (client->loop, &client->timer);
    }
  return 0;
}

/* Called by curl with a part of an answer's body.  */
static size_t
write_cb (char *ptr, size_t size, size_t n, void *userdata)
{
  g_string_append_len (userdata, ptr, (gssize)(size * n));
  return size * n;
}

/**
 * mm_http_client_create() - create an HTTP client on a libev loop.
 * @loop: the loop that drives the client.
 * @max_host_connections: most connections to one host (an upstream's limit).
 *
 * Return: the client; free with mm_http_client_destroy().
 */
mm_http_client *
mm_http_client_create (struct ev_loop *loop, uint32_t max_host_connections)
{
  static gsize once;
  if (g_once_init_enter (&once))
    {
      curl_global_init (CURL_GLOBAL_DEFAULT);
      g_once_init_leave (&once, 1);
    }
  mm_http_client *c = g_new0 (mm_http_client, 1);
  c->loop = loop;
  c->multi = curl_multi_init ();
  ev_timer_init (&c->timer, timer_event_cb, 0., 0.);
  c->timer.data = c;
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETFUNCTION, curl_sock_cb);
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERFUNCTION, curl_timer_cb);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_MAXCONNECTS,
                     (long)MM_HTTP_CACHED_CONNECTIONS);
  curl_multi_setopt (c->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     (long)max_host_connections);
  return c;
}

void
mm_http_client_destroy (mm_http_client *c)
{
  if (!c)
    return;
  ev_timer_stop (c->loop, &c->timer);
  curl_multi_cleanup (c->multi);
  g_free (c->member_header);
  g_free (c);
}

/**
 * mm_http_client_set_member() - send a member name with every call.
 * @c: the client.
 * @name: member name of this process, sent as X-Masticmill-Member.
 */
void
mm_http_client_set_member (mm_http_client *c, const char *name)
{
  g_free (c->member_header);
  c->member_header = g_strdup_printf ("X-Masticmill-Member: %s", name);
}

uint32_t
mm_http_client_in_flight (const mm_http_client *c)
{
  return c->in_flight;
}

/* Prevents one call from starting a task twice.  When a reused connection is
   closed before the first byte of the answer, libcurl sends the request again
   on another connection, although the upstream may already have accepted it
   (three requests for two calls, see tests/test_http.c).  The body is
   therefore passed to curl only once.  A second read aborts the transfer, so
   that a resent request is never complete and the caller is told that the
   answer is lost.  */
static size_t
read_body_once (char *buf, size_t size, size_t n, void *userdata)
{
  body_cursor *position = userdata;
  size_t left = position->len_bytes - position->sent_bytes;
  if (left == 0)
    return CURL_READFUNC_ABORT;
  size_t take = MIN (left, size * n);
  memcpy (buf, position->data + position->sent_bytes, take);
  position->sent_bytes += take;
  position->sent_ms = mm_clock_now_ms ();
  return take;
}

/* Returns a cursor at the start of a body.  @data must outlive the cursor.  */
static body_cursor
make_cursor (const char *data, size_t len_bytes)
{
  body_cursor b = { .data = data, .len_bytes = len_bytes };
  return b;
}

/* Returns a curl handle for a call with a body of JSON; the answer's body goes
   to @out.  Sets @headers to a list that the caller adds to, passes to the
   handle and frees.  The empty Expect header stops curl from waiting for "100
   Continue" before it sends a body.  */
static CURL *
make_easy (const char *method, const char *url, body_cursor *body,
           mm_time_ms timeout_ms, struct curl_slist **headers, GString *out)
{
  CURL *handle = curl_easy_init ();
  curl_easy_setopt (handle, CURLOPT_URL, url);
  curl_easy_setopt (handle, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (handle, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (handle, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)MIN (timeout_ms, 2000));
  curl_easy_setopt (handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (handle, CURLOPT_WRITEFUNCTION, write_cb);
  curl_easy_setopt (handle, CURLOPT_WRITEDATA, out);
  *headers = curl_slist_append (NULL, "Content-Type: application/json");
  *headers = curl_slist_append (*headers, "Expect:");
  if (body->len_bytes || strcmp (method, "POST") == 0)
    {
      curl_easy_setopt (handle, CURLOPT_POST, 1L);
      curl_easy_setopt (handle, CURLOPT_READFUNCTION, read_body_once);
      curl_easy_setopt (handle, CURLOPT_READDATA, body);
      curl_easy_setopt (handle, CURLOPT_POSTFIELDSIZE, (long)body->len_bytes);
    }
  return handle;
}

/* Lets a call use only connections that were opened since @since_ms.  curl
   compares ages in whole seconds, rounded down; the limit is lower by one, so
   that no older connection is used.  */
static void
limit_connection_age (CURL *handle, mm_time_ms since_ms)
{
  long age_s = (long)((mm_clock_now_ms () - since_ms) / 1000);
  if (age_s < 2)
    curl_easy_setopt (handle, CURLOPT_FRESH_CONNECT, 1L);
  else
    curl_easy_setopt (handle, CURLOPT_MAXLIFETIME_CONN, age_s - 1);
}

/**
 * mm_http_client_send() - start an HTTP call.
 * @c: the client.
 * @spec: what to send; copied.
 * @done: called from the loop with the result and @ctx: once, or twice if the
 *        answer is overdue and the call stays open (keep_overdue_ms of @spec).
 * @ctx: context pointer for @done.
 */
void
mm_http_client_send (mm_http_client *c, const mm_http_call *spec,
                     mm_http_done done, void *ctx)
{
  call *new_call = g_new0 (call, 1);
  new_call->client = c;
  new_call->created_ms = mm_clock_now_ms ();
  new_call->timeout_ms = spec->timeout_ms;
  new_call->answer = g_string_new (NULL);
  size_t len_bytes = spec->body_bytes;
  if (!len_bytes && spec->body)
    len_bytes = strlen (spec->body);
  new_call->body = g_memdup2 (spec->body, len_bytes);
  new_call->done = done;
  new_call->ctx = ctx;
  new_call->cursor = make_cursor (new_call->body, len_bytes);
  new_call->easy = make_easy (spec->method, spec->url, &new_call->cursor,
                              spec->timeout_ms + spec->keep_overdue_ms,
                              &new_call->headers, new_call->answer);
  if (c->member_header)
    new_call->headers
        = curl_slist_append (new_call->headers, c->member_header);
  if (spec->header)
    new_call->headers = curl_slist_append (new_call->headers, spec->header);
  if (spec->new_connection)
    curl_easy_setopt (new_call->easy, CURLOPT_FRESH_CONNECT, 1L);
  if (spec->opened_since_ms)
    limit_connection_age (new_call->easy, spec->opened_since_ms);
  curl_easy_setopt (new_call->easy, CURLOPT_HTTPHEADER, new_call->headers);
  curl_easy_setopt (new_call->easy, CURLOPT_PRIVATE, new_call);
  ev_init (&new_call->overdue_timer, overdue_cb);
  new_call->overdue_timer.data = new_call;
  /* Sockets that are ready at the same time are read first.  */
  ev_set_priority (&new_call->overdue_timer, OVERDUE_PRIORITY);
  if (spec->keep_overdue_ms > 0)
    start_overdue_timer (new_call, spec->timeout_ms);
  c->in_flight++;
  curl_multi_add_handle (c->multi, new_call->easy);
}

/**
 * mm_http_client_call() - start a plain HTTP call.
 * @c: the client.
 * @method: "GET", "POST", ...
 * @url: full URL.
 * @body: JSON body or NULL; copied.
 * @timeout_ms: timeout of the whole call.
 * @done: called once from the loop with the result and @ctx.
 * @ctx: context pointer for @done.
 */
void
mm_http_client_call (mm_http_client *c, const char *method, const char *url,
                     const char *body, mm_time_ms timeout_ms,
                     mm_http_done done, void *ctx)
{
  mm_http_call spec = {
    .method = method, .url = url, .body = body, .timeout_ms = timeout_ms
  };
  mm_http_client_send (c, &spec, done, ctx);
}

/**
 * mm_http_failure_text() - describe why a call failed.
 * @res: result of the call.
 *
 * Return: text for logs, g_free().
 */
char *
mm_http_failure_text (const mm_http_result *res)
{
  if (res->error)
    return g_strdup (res->error->message);
  return g_strdup_printf ("status %ld", res->status);
}

/**
 * mm_http_call_sync() - make a blocking HTTP call, for the command line.
 * @method: "GET", "POST", ...
 * @url: full URL.
 * @body: JSON body or NULL.
 * @timeout_ms: timeout of the whole call.
 * @status: set to the HTTP status, 0 without an answer.
 * @error: MM_ERROR_IO or MM_ERROR_TIMEOUT when no answer was received.
 *
 * Return: the body of the answer, g_free(), or NULL with @error set.
 */
char *
mm_http_call_sync (const char *method, const char *url, const char *body,
                   mm_time_ms timeout_ms, long *status, GError **error)
{
  GString *out = g_string_new (NULL);
  struct curl_slist *headers = NULL;
  body_cursor cursor = make_cursor (body, body ? strlen (body) : 0);
  CURL *handle = make_easy (method, url, &cursor, timeout_ms, &headers, out);
  curl_easy_setopt (handle, CURLOPT_HTTPHEADER, headers);
  CURLcode code = curl_easy_perform (handle);
  curl_easy_getinfo (handle, CURLINFO_RESPONSE_CODE, status);
  curl_easy_cleanup (handle);
  curl_slist_free_all (headers);
  if (code != CURLE_OK)
    {
      g_set_error (error, MM_ERROR,
                   code == CURLE_OPERATION_TIMEDOUT ? MM_ERROR_TIMEOUT
                                                    : MM_ERROR_IO,
                   "%s: %s", url, curl_easy_strerror (code));
      g_string_free (out, TRUE);
      return NULL;
    }
  return g_string_free (out, FALSE);
}
