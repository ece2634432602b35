/* mm_peer: links between the entry instances of a data centre.

   TCP; each frame is a 4-byte big-endian length and a msgpack array:
     [1, req_id, hops, job]                 forward a job to its owner
     [2, req_id, status, retry_after, body] the owner's answer
     [4, req_id, kind, name, payload]       a notification, no answer
     [3, req_id]                            ask whether the peer reaches the
                                            platform (answered by 200, 204 or
                                            503)
   The sender of a request chooses its req_id, and the answer repeats it;
   retry_after is in seconds; name is the member name of the sender.

   Each peer_link owns its socket, buffers and pending requests.  A peer_link
   that fails answers every pending request with an error at once, so no
   caller waits for an answer that cannot come.  */
#define _GNU_SOURCE
#include "masticmill.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <msgpack.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define FRAME_MAX_BYTES (8u << 20) /* a longer frame closes the link */

/* The first element of a frame.  */
enum
{
  FRAME_FORWARD = 1,
  FRAME_ANSWER = 2,
  FRAME_PING = 3,
  FRAME_NOTIFY = 4
};

typedef struct peer_link peer_link;

struct mm_peer
{
  struct ev_loop *loop;
  int listen_fd;
  ev_io accept_io;
  uint16_t port;
  mm_peer_request_cb on_request;      /* receives forwarded jobs */
  void *ctx;                          /* of on_request */
  mm_peer_ping_status_cb ping_status; /* returns a ping's status; NULL: 204 */
  void *ping_status_ctx;
  mm_peer_notification_cb
      notification_cb; /* receives notifications, or NULL */
  void *notification_ctx;
  GHashTable *links_by_id;      /* id -> peer_link */
  GHashTable *outgoing_by_addr; /* "host:port" -> peer_link (outgoing) */
  uint64_t last_link_id;        /* id of the link that was opened last */
  uint64_t last_req_id;         /* last req_id that this endpoint issued */
};

/* A request that has no answer yet.  */
typedef struct
{
  mm_peer_answer_cb done;
  void *ctx;       /* of done */
  ev_timer timer;  /* runs until the request times out */
  peer_link *link; /* the link that it was sent on */
  uint64_t req_id;
} pending_request;

/* A TCP connection to a peer: outgoing, for requests and notifications to the
   peer, or accepted, for those of the peer.  */
struct peer_link
{
  mm_peer *peer;
  uint64_t id;
  int fd;
  char *addr; /* the peer's "host:port"; NULL for an accepted link */
  ev_io read_io, write_io; /* watch fd for reading and writing */
  GByteArray *in, *out;    /* bytes received and bytes to send */
  GHashTable *pending;     /* req_id -> pending_request */
};

static void link_close (peer_link *l, const char *why);

/* Appends packed bytes to @data, a GByteArray.  */
static int
pack_write_cb (void *data, const char *buf, size_t len)
{
  g_byte_array_append (data, (const guint8 *)buf, len);
  return 0;
}

/* Starts a frame of @fields elements by packing its type and request id.  */
static GByteArray *
frame_begin (msgpack_packer *packer, size_t fields, uint32_t type,
             uint64_t req_id)
{
  GByteArray *b = g_byte_array_new ();
  msgpack_packer_init (packer, b, pack_write_cb);
  msgpack_pack_array (packer, fields);
  msgpack_pack_uint32 (packer, type);
  msgpack_pack_uint64 (packer, req_id);
  return b;
}

static void
pack_text (msgpack_packer *packer, const char *text)
{
  size_t n = strlen (text);
  msgpack_pack_str (packer, n);
  msgpack_pack_str_body (packer, text, n);
}

static void
pack_bytes (msgpack_packer *packer, const uint8_t *data, size_t len)
{
  msgpack_pack_bin (packer, len);
  msgpack_pack_bin_body (packer, data, len);
}

/* Queues @body, preceded by its length, to be sent as one frame.  */
static void
link_queue (peer_link *l, GByteArray *body)
{
  uint32_t n = htonl (body->len);
  g_byte_array_append (l->out, (const guint8 *)&n, 4);
  g_byte_array_append (l->out, body->data, body->len);
  ev_io_start (l->peer->loop, &l->write_io);
}

/* Calls the callback of a request and frees the request, which the caller has
   already removed from its link.  */
static void
answer_pending (pending_request *p, const mm_peer_answer *a)
{
  ev_timer_stop (p->link->peer->loop, &p->timer);
  p->done (a, p->ctx);
  g_free (p);
}

/* Answers a request with an error, as answer_pending() does.  */
static void
fail_pending (pending_request *p, int code, const char *why)
{
  mm_peer_answer a = { 0 };
  a.error = g_error_new (MM_ERROR, code, "peer link: %s", why);
  answer_pending (p, &a);
  g_error_free (a.error);
}

/* Returns false when @o is not an unsigned integer.  */
static bool
unpack_uint (const msgpack_object *o, uint64_t *v)
{
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  *v = o->via.u64;
  return true;
}

/* Handles one frame.  An answer whose request has timed out is ignored.
   Returns false when the frame is malformed; the caller must then close the
   peer_link.  */
static bool
on_frame (peer_link *l, const uint8_t *data, size_t len)
{
  msgpack_unpacked msg;
  msgpack_unpacked_init (&msg);
  size_t off = 0;
  bool ok = msgpack_unpack_next (&msg, (const char *)data, len, &off)
                == MSGPACK_UNPACK_SUCCESS
            && msg.data.type == MSGPACK_OBJECT_ARRAY
            && msg.data.via.array.size >= 2;
  size_t fields = ok ? msg.data.via.array.size : 0;
  uint64_t type = 0, req = 0, hops = 0, kind = 0;
  const msgpack_object *f = ok ? msg.data.via.array.ptr : NULL;
  ok = ok && unpack_uint (&f[0], &type) && unpack_uint (&f[1], &req);
  if (ok && type == FRAME_FORWARD && fields == 4 && unpack_uint (&f[2], &hops)
      && f[3].type == MSGPACK_OBJECT_BIN)
    l->peer->on_request (l->peer, l->id, req, (uint32_t)hops,
                         (const uint8_t *)f[3].via.bin.ptr, f[3].via.bin.size,
                         l->peer->ctx);
  else if (ok && type == FRAME_PING && fields == 2)
    {
      unsigned status = l->peer->ping_status
                            ? l->peer->ping_status (l->peer->ping_status_ctx)
                            : 204;
      mm_peer_reply (l->peer, l->id, req, status, 0, "");
    }
  else if (ok && type == FRAME_NOTIFY && fields == 5
           && unpack_uint (&f[2], &kind) && f[3].type == MSGPACK_OBJECT_STR
           && f[4].type == MSGPACK_OBJECT_BIN)
    {
      char *name = g_strndup (f[3].via.str.ptr, f[3].via.str.size);
      if (l->peer->notification_cb)
        l->peer->notification_cb ((mm_notification_kind)kind, name,
                                  (const uint8_t *)f[4].via.bin.ptr,
                                  f[4].via.bin.size,
                                  l->peer->notification_ctx);
      g_free (name);
    }
  else if (ok && type == FRAME_ANSWER && fields == 5
           && f[4].type == MSGPACK_OBJECT_STR)
    {
      uint64_t status = 0, after = 0; /* after: Retry-After in seconds */
      pending_request *p = g_hash_table_lookup (l->pending, &req);
      ok = unpack_uint (&f[2], &status) && unpack_uint (&f[3], &after);
      if (ok && p)
        {
          g_hash_table_steal (l->pending, &req);
          char *body = g_strndup (f[4].via.str.ptr, f[4].via.str.size);
          mm_peer_answer a = { .status = (unsigned)status,
                               .retry_after_s = (uint32_t)after,
                               .body = body };
          answer_pending (p, &a);
          g_free (body);
        }
    }
  else
    ok = false;
  msgpack_unpacked_destroy (&msg);
  return ok;
}

/* Reads what has arrived on a link and handles all complete frames.  */
static void
read_ready_cb (struct ev_loop *loop, ev_io *w, int revents)
{
  peer_link *l = w->data;
  uint8_t buf[65536];
  ssize_t n = read (l->fd, buf, sizeof buf);
  if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
    {
      link_close (l, n == 0 ? "closed by the other side" : strerror (errno));
      return;
    }
  if (n < 0)
    return;
  g_byte_array_append (l->in, buf, (guint)n);
  while (l->in->len >= 4)
    {
      uint32_t len;
      memcpy (&len, l->in->data, 4);
      len = ntohl (len);
      if (len > FRAME_MAX_BYTES)
        {
          link_close (l, "frame too large");
          return;
        }
      if (l->in->len < 4 + len)
        break;
      uint64_t id = l->id;
      mm_peer *peer = l->peer;
      if (!on_frame (l, l->in->data + 4, len))
        {
          link_close (l, "frame malformed");
          return;
        }
      if (!g_hash_table_contains (peer->links_by_id, &id))
        return; /* on_frame() closed the link */
      g_byte_array_remove_range (l->in, 0, 4 + len);
    }
}

/* Sends queued bytes; with none left, stops waiting for the socket to be
   writable.  */
static void
write_ready_cb (struct ev_loop *loop, ev_io *w, int revents)
{
  peer_link *l = w->data;
  if (!l->out->len)
    {
      ev_io_stop (loop, w);
      return;
    }
  ssize_t n = write (l->fd, l->out->data, l->out->len);
  if (n < 0 && errno != EAGAIN && errno != EINTR)
    {
      link_close (l, strerror (errno));
      return;
    }
  if (n > 0)
    g_byte_array_remove_range (l->out, 0, (guint)n);
  if (!l->out->len)
    ev_io_stop (loop, w);
}

/* Adds a link for a socket.  @addr: the peer's "host:port" for an outgoing
   link, NULL for an accepted one.  */
static peer_link *
link_new (mm_peer *p, int fd, const char *addr)
{
  peer_link *l = g_new0 (peer_link, 1);
  l->peer = p;
  l->id = ++p->last_link_id;
  l->fd = fd;
  l->addr = g_strdup (addr);
  l->in = g_byte_array_new ();
  l->out = g_byte_array_new ();
  l->pending = g_hash_table_new (g_int64_hash, g_int64_equal);
  ev_io_init (&l->read_io, read_ready_cb, fd, EV_READ);
  ev_io_init (&l->write_io, write_ready_cb, fd, EV_WRITE);
  l->read_io.data = l->write_io.data = l;
  ev_io_start (p->loop, &l->read_io);
  g_hash_table_insert (p->links_by_id, &l->id, l);
  if (addr)
    g_hash_table_insert (p->outgoing_by_addr, l->addr, l);
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return l;
}

/* Closes and frees a link.  Its pending requests are answered with
   MM_ERROR_IO and the text @why.  */
static void
link_close (peer_link *l, const char *why)
{
  mm_peer *p = l->peer;
  ev_io_stop (p->loop, &l->read_io);
  ev_io_stop (p->loop, &l->write_io);
  close (l->fd);
  g_hash_table_remove (p->links_by_id, &l->id);
  if (l->addr && g_hash_table_lookup (p->outgoing_by_addr, l->addr) == l)
    g_hash_table_remove (p->outgoing_by_addr, l->addr);
  GHashTableIter it;
  gpointer k, v;
  g_hash_table_iter_init (&it, l->pending);
  while (g_hash_table_iter_next (&it, &k, &v))
    {
      g_hash_table_iter_steal (&it);
      fail_pending (v, MM_ERROR_IO, why);
    }
  g_hash_table_destroy (l->pending);
  g_byte_array_free (l->in, TRUE);
  g_byte_array_free (l->out, TRUE);
  g_free (l->addr);
  g_free (l);
}

static void
accept_cb (struct ev_loop *loop, ev_io *w, int revents)
{
  mm_peer *p = w->data;
  int fd = accept4 (p->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0)
    link_new (p, fd, NULL);
}

/* Opens a listening socket at an IPv4 address and stores its port in @bound.
   Returns the socket, or -1 with @error set.  */
static int
listen_on (const char *host, uint16_t port, uint16_t *bound, GError **error)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  socklen_t alen = sizeof a;
  if (inet_pton (AF_INET, host, &a.sin_addr) != 1
      || bind (fd, (struct sockaddr *)&a, sizeof a) < 0 || listen (fd, 128) < 0
      || getsockname (fd, (struct sockaddr *)&a, &alen) < 0)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_IO, "peer port %s:%u: %s", host,
                   port, strerror (errno));
      close (fd);
      return -1;
    }
  *bound = ntohs (a.sin_port);
  return fd;
}

/**
 * mm_peer_create() - listen for peer links.
 * @loop: the event loop.
 * @host: IPv4 address to bind.
 * @port: TCP port, 0 for any.
 * @on_request: called for each forwarded job; answer with mm_peer_reply().
 * @ctx: context pointer for @on_request.
 * @error: MM_ERROR_IO when the port cannot be bound.
 *
 * Return: the peer endpoint, or NULL with @error set.
 */
mm_peer *
mm_peer_create (struct ev_loop *loop, const char *host, uint16_t port,
                mm_peer_request_cb on_request, void *ctx, GError **error)
{
  uint16_t bound = 0;
  int fd = listen_on (host, port, &bound, error);
  if (fd < 0)
    return NULL;
  mm_peer *p = g_new0 (mm_peer, 1);
  p->loop = loop;
  p->listen_fd = fd;
  p->port = bound;
  p->on_request = on_request;
  p->ctx = ctx;
  p->links_by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  p->outgoing_by_addr = g_hash_table_new (g_str_hash, g_str_equal);
  ev_io_init (&p->accept_io, accept_cb, fd, EV_READ);
  p->accept_io.data = p;
  ev_io_start (loop, &p->accept_io);
  return p;
}

/**
 * mm_peer_destroy() - stop listening and close all links.
 * @p: the peer endpoint, or NULL.
 *
 * Requests that have no answer yet are answered with an error first.
 */
void
mm_peer_destroy (mm_peer *p)
{
  if (!p)
    return;
  ev_io_stop (p->loop, &p->accept_io);
  close (p->listen_fd);
  GList *links = g_hash_table_get_values (p->links_by_id);
  for (GList *l = links; l; l = l->next)
    link_close (l->data, "shutting down");
  g_list_free (links);
  g_hash_table_destroy (p->links_by_id);
  g_hash_table_destroy (p->outgoing_by_addr);
  g_free (p);
}

/**
 * mm_peer_port() - the TCP port that peers connect to.
 * @p: the peer endpoint.
 *
 * Return: the port in host byte order, also when mm_peer_create() chose it.
 */
uint16_t
mm_peer_port (const mm_peer *p)
{
  return p->port;
}

/* Returns the outgoing link to @addr ("host:port" with an IPv4 address), and
   opens one when there is none.  The connection may not be established yet:
   if that fails later, the link is closed and its requests fail.  */
static peer_link *
link_to (mm_peer *p, const char *addr, GError **error)
{
  peer_link *l = g_hash_table_lookup (p->outgoing_by_addr, addr);
  if (l)
    return l;
  char *host = g_strdup (addr);
  char *colon = strrchr (host, ':');
  struct sockaddr_in a = { .sin_family = AF_INET };
  bool ok = colon != NULL;
  if (ok)
    {
      *colon = '\0';
      a.sin_port = htons ((uint16_t)atoi (colon + 1));
      ok = inet_pton (AF_INET, host, &a.sin_addr) == 1;
    }
  g_free (host);
  int fd = ok ? socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
              : -1;
  if (fd < 0
      || (connect (fd, (struct sockaddr *)&a, sizeof a) < 0
          && errno != EINPROGRESS))
    {
      g_set_error (error, MM_ERROR, MM_ERROR_IO, "peer %s: %s", addr,
                   ok ? strerror (errno) : "bad address");
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  return link_new (p, fd, addr);
}

/* Fails a request that has no answer in time; its link stays open.  */
static void
timeout_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  pending_request *p = w->data;
  g_hash_table_remove (p->link->pending, &p->req_id);
  fail_pending (p, MM_ERROR_TIMEOUT, "no answer in time");
}

/* Sends a request frame and registers @done for its answer.  @frame must be
   the request begun last, as its req_id is taken from p->last_req_id.  */
static void
send_request (mm_peer *p, const char *addr, GByteArray *frame,
              mm_time_ms timeout_ms, mm_peer_answer_cb done, void *ctx)
{
  GError *err = NULL;
  peer_link *l = link_to (p, addr, &err);
  if (!l)
    {
      mm_peer_answer a = { .error = err };
      done (&a, ctx);
      g_error_free (err);
      return;
    }
  pending_request *request = g_new0 (pending_request, 1);
  request->done = done;
  request->ctx = ctx;
  request->link = l;
  request->req_id = p->last_req_id;
  ev_timer_init (&request->timer, timeout_cb, (double)timeout_ms / 1000.0, 0.);
  request->timer.data = request;
  ev_timer_start (p->loop, &request->timer);
  g_hash_table_insert (l->pending, &request->req_id, request);
  link_queue (l, frame);
}

/**
 * mm_peer_forward() - send a packed job to its owner.
 * @p: the peer endpoint.
 * @addr: the owner's "host:peer_port".
 * @hops: how often the job has been forwarded before.
 * @job: bytes from mm_job_pack().
 * @len: length of @job in bytes.
 * @timeout_ms: without an answer for this long, @done gets MM_ERROR_TIMEOUT,
 *              so that the caller is answered at once.
 * @done: called once with the answer or an error.
 * @ctx: context pointer for @done.
 */
void
mm_peer_forward (mm_peer *p, const char *addr, uint32_t hops,
                 const uint8_t *job, size_t len, mm_time_ms timeout_ms,
                 mm_peer_answer_cb done, void *ctx)
{
  msgpack_packer packer;
  GByteArray *b = frame_begin (&packer, 4, FRAME_FORWARD, ++p->last_req_id);
  msgpack_pack_uint32 (&packer, hops);
  pack_bytes (&packer, job, len);
  send_request (p, addr, b, timeout_ms, done, ctx);
  g_byte_array_free (b, TRUE);
}

/**
 * mm_peer_ping() - ask a peer whether it reaches the platform's service.
 * @p: the peer endpoint.
 * @addr: the peer's "host:peer_port".
 * @timeout_ms: without an answer for this long, @done gets MM_ERROR_TIMEOUT.
 * @done: called once with status 200 when the peer reaches the platform,
 *        503 when it does not, 204 when it cannot tell, or an error.
 * @ctx: context pointer for @done.
 */
void
mm_peer_ping (mm_peer *p, const char *addr, mm_time_ms timeout_ms,
              mm_peer_answer_cb done, void *ctx)
{
  msgpack_packer packer;
  GByteArray *b = frame_begin (&packer, 2, FRAME_PING, ++p->last_req_id);
  send_request (p, addr, b, timeout_ms, done, ctx);
  g_byte_array_free (b, TRUE);
}

/**
 * mm_peer_set_notification_cb() - set the callback for notifications from
 * peers.
 * @p: the peer endpoint.
 * @notification_cb: called for each notification, or NULL to ignore them.
 * @ctx: context pointer for @notification_cb.
 */
void
mm_peer_set_notification_cb (mm_peer *p,
                             mm_peer_notification_cb notification_cb,
                             void *ctx)
{
  p->notification_cb = notification_cb;
  p->notification_ctx = ctx;
}

/**
 * mm_peer_notify() - send a notification to a peer; no answer is expected.
 * @p: the peer endpoint.
 * @addr: the peer's "host:peer_port".
 * @kind: what the payload holds.
 * @self: this instance's member name.
 * @payload: the payload.
 * @len: length of @payload in bytes.
 *
 * A notification that cannot be sent is dropped.  Nothing depends on its
 * arrival: notifications only save work.
 */
void
mm_peer_notify (mm_peer *p, const char *addr, mm_notification_kind kind,
                const char *self, const uint8_t *payload, size_t len)
{
  peer_link *l = link_to (p, addr, NULL);
  if (!l)
    return;
  msgpack_packer packer;
  GByteArray *b = frame_begin (&packer, 5, FRAME_NOTIFY, ++p->last_req_id);
  msgpack_pack_uint32 (&packer, kind);
  pack_text (&packer, self);
  pack_bytes (&packer, payload, len);
  link_queue (l, b);
  g_byte_array_free (b, TRUE);
}

/**
 * mm_peer_drop() - close the outgoing link to a peer.
 * @p: the peer endpoint.
 * @addr: the peer's "host:peer_port".
 *
 * For a peer that has left the member list.  Its pending requests fail at
 * once: a stalled process keeps its sockets open, so the socket does not
 * show that no answer will come.
 */
void
mm_peer_drop (mm_peer *p, const char *addr)
{
  peer_link *l = g_hash_table_lookup (p->outgoing_by_addr, addr);
  if (l)
    link_close (l, "it left the member list");
}

/**
 * mm_peer_set_ping_status_cb() - set the callback that answers pings from
 * peers.
 * @p: the peer endpoint.
 * @ping_status: returns 200 when this instance reaches the platform, 503 when
 *               it does not and 204 when that is not known; NULL: always 204.
 * @ctx: context pointer for @ping_status.
 */
void
mm_peer_set_ping_status_cb (mm_peer *p, mm_peer_ping_status_cb ping_status,
                            void *ctx)
{
  p->ping_status = ping_status;
  p->ping_status_ctx = ctx;
}

/**
 * mm_peer_reply() - answer a request of a peer.
 * @p: the peer endpoint.
 * @link_id: id of the peer_link that the request came on.
 * @req_id: the request's id on that link.
 * @status: HTTP status for the caller.
 * @retry_after_s: Retry-After in seconds, 0 for none.
 * @body: JSON answer.
 *
 * If the peer_link has closed since, the answer is dropped: the forwarding
 * instance has already answered its caller with an error.
 */
void
mm_peer_reply (mm_peer *p, uint64_t link_id, uint64_t req_id, unsigned status,
               uint32_t retry_after_s, const char *body)
{
  peer_link *l = g_hash_table_lookup (p->links_by_id, &link_id);
  if (!l)
    return;
  msgpack_packer packer;
  GByteArray *b = frame_begin (&packer, 5, FRAME_ANSWER, req_id);
  msgpack_pack_uint32 (&packer, status);
  msgpack_pack_uint32 (&packer, retry_after_s);
  pack_text (&packer, body);
  link_queue (l, b);
  g_byte_array_free (b, TRUE);
}
