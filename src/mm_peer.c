/* mm_peer: links between the entry instances of a data centre.

   TCP, each frame a 4-byte big-endian length and a msgpack array:
     [1, req_id, hops, job]                 forward a job to its owner
     [2, req_id, status, retry_after, body] the owner's answer
     [4, req_id, kind, name, payload]       news from us, no answer
     [3, req_id]                            do you reach the platform?
                                            (answered by 200, 204 or 503)
   A peer_link is a small task: it owns its socket, buffers and pending calls.
   A peer_link that fails answers every pending call with an error at once, so
   no caller waits for an answer that cannot come.  */
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

#define FRAME_MAX_BYTES (8u << 20)

enum
{
  FRAME_FORWARD = 1,
  FRAME_ANSWER = 2,
  FRAME_PING = 3,
  FRAME_TELL = 4
};

typedef struct peer_link peer_link;

struct mm_peer
{
  struct ev_loop *loop;
  int listen_fd;
  ev_io accept_io;
  uint16_t port;
  mm_peer_request_cb on_request;
  void *ctx;
  mm_peer_contact_cb in_contact;
  void *contact_ctx;
  mm_peer_tell_cb on_tell;
  void *tell_ctx;
  GHashTable *links_by_id; /* id -> peer_link */
  GHashTable *out_by_addr; /* "host:port" -> peer_link (outgoing) */
  uint64_t next_link_id;
  uint64_t next_req_id;
};

typedef struct
{
  mm_peer_answer_cb done;
  void *ctx;
  ev_timer timer;
  peer_link *l;
  uint64_t req_id;
} pending;

struct peer_link
{
  mm_peer *peer;
  uint64_t id;
  int fd;
  char *addr; /* outgoing: the owner's address */
  ev_io rio, wio;
  GByteArray *in, *out;
  GHashTable *pending; /* req_id -> pending */
};

static void link_close (peer_link *l, const char *why);

static int
write_cb (void *data, const char *buf, size_t len)
{
  g_byte_array_append (data, (const guint8 *)buf, len);
  return 0;
}

/* A frame of @fields parts, its type and request id packed.  */
static GByteArray *
frame_begin (msgpack_packer *pk, size_t fields, uint32_t type, uint64_t req_id)
{
  GByteArray *b = g_byte_array_new ();
  msgpack_packer_init (pk, b, write_cb);
  msgpack_pack_array (pk, fields);
  msgpack_pack_uint32 (pk, type);
  msgpack_pack_uint64 (pk, req_id);
  return b;
}

static void
pack_text (msgpack_packer *pk, const char *text)
{
  size_t n = strlen (text);
  msgpack_pack_str (pk, n);
  msgpack_pack_str_body (pk, text, n);
}

static void
pack_bytes (msgpack_packer *pk, const uint8_t *data, size_t len)
{
  msgpack_pack_bin (pk, len);
  msgpack_pack_bin_body (pk, data, len);
}

static void
link_queue (peer_link *l, GByteArray *body)
{
  uint32_t n = htonl (body->len);
  g_byte_array_append (l->out, (const guint8 *)&n, 4);
  g_byte_array_append (l->out, body->data, body->len);
  ev_io_start (l->peer->loop, &l->wio);
}

static void
answer_pending (pending *p, const mm_peer_answer *a)
{
  ev_timer_stop (p->l->peer->loop, &p->timer);
  p->done (a, p->ctx);
  g_free (p);
}

static void
fail_pending (pending *p, int code, const char *why)
{
  mm_peer_answer a = { 0 };
  a.error = g_error_new (MM_ERROR, code, "peer link: %s", why);
  answer_pending (p, &a);
  g_error_free (a.error);
}

static bool
int_of (const msgpack_object *o, uint64_t *v)
{
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return false;
  *v = o->via.u64;
  return true;
}

/* One frame from the other side; false closes the peer_link.  */
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
  ok = ok && int_of (&f[0], &type) && int_of (&f[1], &req);
  if (ok && type == FRAME_FORWARD && fields == 4 && int_of (&f[2], &hops)
      && f[3].type == MSGPACK_OBJECT_BIN)
    l->peer->on_request (l->peer, l->id, req, (uint32_t)hops,
                         (const uint8_t *)f[3].via.bin.ptr, f[3].via.bin.size,
                         l->peer->ctx);
  else if (ok && type == FRAME_PING && fields == 2)
    {
      unsigned status = l->peer->in_contact
                            ? l->peer->in_contact (l->peer->contact_ctx)
                            : 204;
      mm_peer_reply (l->peer, l->id, req, status, 0, "");
    }
  else if (ok && type == FRAME_TELL && fields == 5 && int_of (&f[2], &kind)
           && f[3].type == MSGPACK_OBJECT_STR
           && f[4].type == MSGPACK_OBJECT_BIN)
    {
      char *name = g_strndup (f[3].via.str.ptr, f[3].via.str.size);
      if (l->peer->on_tell)
        l->peer->on_tell ((mm_tell_kind)kind, name,
                          (const uint8_t *)f[4].via.bin.ptr, f[4].via.bin.size,
                          l->peer->tell_ctx);
      g_free (name);
    }
  else if (ok && type == FRAME_ANSWER && fields == 5
           && f[4].type == MSGPACK_OBJECT_STR)
    {
      uint64_t status = 0, after = 0;
      pending *p = g_hash_table_lookup (l->pending, &req);
      ok = int_of (&f[2], &status) && int_of (&f[3], &after);
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

static void
read_cb (struct ev_loop *loop, ev_io *w, int revents)
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
        return; /* closed while handling */
      g_byte_array_remove_range (l->in, 0, 4 + len);
    }
}

static void
wr_cb (struct ev_loop *loop, ev_io *w, int revents)
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

static peer_link *
link_new (mm_peer *p, int fd, const char *addr)
{
  peer_link *l = g_new0 (peer_link, 1);
  l->peer = p;
  l->id = ++p->next_link_id;
  l->fd = fd;
  l->addr = g_strdup (addr);
  l->in = g_byte_array_new ();
  l->out = g_byte_array_new ();
  l->pending = g_hash_table_new (g_int64_hash, g_int64_equal);
  ev_io_init (&l->rio, read_cb, fd, EV_READ);
  ev_io_init (&l->wio, wr_cb, fd, EV_WRITE);
  l->rio.data = l->wio.data = l;
  ev_io_start (p->loop, &l->rio);
  g_hash_table_insert (p->links_by_id, &l->id, l);
  if (addr)
    g_hash_table_insert (p->out_by_addr, l->addr, l);
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return l;
}

static void
link_close (peer_link *l, const char *why)
{
  mm_peer *p = l->peer;
  ev_io_stop (p->loop, &l->rio);
  ev_io_stop (p->loop, &l->wio);
  close (l->fd);
  g_hash_table_remove (p->links_by_id, &l->id);
  if (l->addr && g_hash_table_lookup (p->out_by_addr, l->addr) == l)
    g_hash_table_remove (p->out_by_addr, l->addr);
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
 * @loop: the loop.
 * @host: address to bind.
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
  p->out_by_addr = g_hash_table_new (g_str_hash, g_str_equal);
  ev_io_init (&p->accept_io, accept_cb, fd, EV_READ);
  p->accept_io.data = p;
  ev_io_start (loop, &p->accept_io);
  return p;
}

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
  g_hash_table_destroy (p->out_by_addr);
  g_free (p);
}

uint16_t
mm_peer_port (const mm_peer *p)
{
  return p->port;
}

static peer_link *
link_to (mm_peer *p, const char *addr, GError **error)
{
  peer_link *l = g_hash_table_lookup (p->out_by_addr, addr);
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

static void
timeout_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  pending *p = w->data;
  g_hash_table_remove (p->l->pending, &p->req_id);
  fail_pending (p, MM_ERROR_TIMEOUT, "no answer in time");
}

/* Send a request frame whose req_id is the newest, and await its answer. */
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
  pending *pd = g_new0 (pending, 1);
  pd->done = done;
  pd->ctx = ctx;
  pd->l = l;
  pd->req_id = p->next_req_id;
  ev_timer_init (&pd->timer, timeout_cb, (double)timeout_ms / 1000.0, 0.);
  pd->timer.data = pd;
  ev_timer_start (p->loop, &pd->timer);
  g_hash_table_insert (l->pending, &pd->req_id, pd);
  link_queue (l, frame);
}

/**
 * mm_peer_forward() - send a packed job to its owner, await its answer.
 * @p: the peer endpoint.
 * @addr: the owner's "host:peer_port".
 * @hops: how often the job was forwarded before.
 * @job: bytes from mm_job_pack().
 * @len: their number.
 * @timeout_ms: give up after this (the caller is then answered at once).
 * @done: called once with the answer or an error.
 * @ctx: context pointer for @done.
 */
void
mm_peer_forward (mm_peer *p, const char *addr, uint32_t hops,
                 const uint8_t *job, size_t len, mm_time_ms timeout_ms,
                 mm_peer_answer_cb done, void *ctx)
{
  msgpack_packer pk;
  GByteArray *b = frame_begin (&pk, 4, FRAME_FORWARD, ++p->next_req_id);
  msgpack_pack_uint32 (&pk, hops);
  pack_bytes (&pk, job, len);
  send_request (p, addr, b, timeout_ms, done, ctx);
  g_byte_array_free (b, TRUE);
}

/**
 * mm_peer_ping() - ask a peer whether it reaches the platform's service.
 * @p: the peer endpoint.
 * @addr: the peer's "host:peer_port".
 * @timeout_ms: give up after this.
 * @done: status 200 when it does, 503 when it does not, or an error.
 * @ctx: context pointer for @done.
 */
void
mm_peer_ping (mm_peer *p, const char *addr, mm_time_ms timeout_ms,
              mm_peer_answer_cb done, void *ctx)
{
  msgpack_packer pk;
  GByteArray *b = frame_begin (&pk, 2, FRAME_PING, ++p->next_req_id);
  send_request (p, addr, b, timeout_ms, done, ctx);
  g_byte_array_free (b, TRUE);
}

void
mm_peer_set_tell (mm_peer *p, mm_peer_tell_cb on_tell, void *ctx)
{
  p->on_tell = on_tell;
  p->tell_ctx = ctx;
}

/**
 * mm_peer_tell() - send news to a peer; no answer comes.
 * @p: the peer endpoint.
 * @addr: the peer's "host:peer_port".
 * @kind: what the payload is.
 * @self: our member name.
 * @payload: the news.
 * @len: its length.
 *
 * News that cannot be sent is dropped: it only saves work.
 */
void
mm_peer_tell (mm_peer *p, const char *addr, mm_tell_kind kind,
              const char *self, const uint8_t *payload, size_t len)
{
  peer_link *l = link_to (p, addr, NULL);
  if (!l)
    return;
  msgpack_packer pk;
  GByteArray *b = frame_begin (&pk, 5, FRAME_TELL, ++p->next_req_id);
  msgpack_pack_uint32 (&pk, kind);
  pack_text (&pk, self);
  pack_bytes (&pk, payload, len);
  link_queue (l, b);
  g_byte_array_free (b, TRUE);
}

/**
 * mm_peer_drop() - fail a peer's link now.
 * @p: the peer endpoint.
 * @addr: the peer's "host:peer_port".
 *
 * For a peer that left the member list: a frozen process keeps its
 * sockets open, so nothing else tells that no answer will come.
 */
void
mm_peer_drop (mm_peer *p, const char *addr)
{
  peer_link *l = g_hash_table_lookup (p->out_by_addr, addr);
  if (l)
    link_close (l, "it left the member list");
}

void
mm_peer_set_contact (mm_peer *p, mm_peer_contact_cb in_contact, void *ctx)
{
  p->in_contact = in_contact;
  p->contact_ctx = ctx;
}

/**
 * mm_peer_reply() - answer a job forwarded to us.
 * @p: the peer endpoint.
 * @conn_id: the peer_link it came on (from the request callback).
 * @req_id: its request id.
 * @status: HTTP status for the caller.
 * @retry_after_s: Retry-After, 0 for none.
 * @body: JSON answer.
 *
 * If the peer_link has closed meanwhile the answer is dropped: the forwarding
 * instance has already answered its caller with an error.
 */
void
mm_peer_reply (mm_peer *p, uint64_t conn_id, uint64_t req_id, unsigned status,
               uint32_t retry_after_s, const char *body)
{
  peer_link *l = g_hash_table_lookup (p->links_by_id, &conn_id);
  if (!l)
    return;
  msgpack_packer pk;
  GByteArray *b = frame_begin (&pk, 5, FRAME_ANSWER, req_id);
  msgpack_pack_uint32 (&pk, status);
  msgpack_pack_uint32 (&pk, retry_after_s);
  pack_text (&pk, body);
  link_queue (l, b);
  g_byte_array_free (b, TRUE);
}
