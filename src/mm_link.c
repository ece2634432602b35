/* mm_link: a TCP connection that carries msgpack objects.  The link owns
   its socket and buffers; whoever made it is told when it closes.  */
#define _GNU_SOURCE
#include "mm_link.h"

#include "config.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_CHUNK_BYTES 16384

struct mm_link
{
  struct ev_loop *loop;
  int fd;
  ev_io read_io;
  ev_io write_io;
  msgpack_unpacker in;
  GByteArray *out;
  mm_link_events ev;
  mm_time_ms heard_ms;
  bool busy; /* inside a callback: free later */
  bool closing;
};

static void
link_free (mm_link *l)
{
  msgpack_unpacker_destroy (&l->in);
  g_byte_array_free (l->out, TRUE);
  g_free (l);
}

void
mm_link_close (mm_link *l, const char *why)
{
  if (l->closing)
    return;
  l->closing = true;
  ev_io_stop (l->loop, &l->read_io);
  ev_io_stop (l->loop, &l->write_io);
  close (l->fd);
  l->ev.closed (l->ev.ctx, why);
  if (!l->busy)
    link_free (l);
}

/* Hand over every whole object.  Return: false when the link closed.  */
static bool
drain_objects (mm_link *l)
{
  msgpack_unpacked msg;
  msgpack_unpacked_init (&msg);
  msgpack_unpack_return ret = MSGPACK_UNPACK_CONTINUE;
  bool ok = true;
  while (ok && !l->closing
         && (ret = msgpack_unpacker_next (&l->in, &msg))
                == MSGPACK_UNPACK_SUCCESS)
    ok = l->ev.object (l->ev.ctx, &msg.data);
  msgpack_unpacked_destroy (&msg);
  if (!ok || ret == MSGPACK_UNPACK_PARSE_ERROR)
    mm_link_close (l, "malformed object");
  else if (msgpack_unpacker_message_size (&l->in) > MM_LINK_MAX_BYTES)
    mm_link_close (l, "object too large");
  return !l->closing;
}

static void
read_cb (struct ev_loop *loop, ev_io *w, int revents)
{
  mm_link *l = w->data;
  if (!msgpack_unpacker_reserve_buffer (&l->in, READ_CHUNK_BYTES))
    {
      mm_link_close (l, "out of memory");
      return;
    }
  ssize_t n = read (l->fd, msgpack_unpacker_buffer (&l->in), READ_CHUNK_BYTES);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      mm_link_close (l, n == 0 ? "closed by the peer" : strerror (errno));
      return;
    }
  l->heard_ms = mm_clock_now_ms ();
  msgpack_unpacker_buffer_consumed (&l->in, (size_t)n);
  l->busy = true;
  bool open = drain_objects (l);
  l->busy = false;
  if (!open)
    link_free (l);
}

static void
flush (mm_link *l)
{
  while (l->out->len)
    {
      ssize_t n = send (l->fd, l->out->data, l->out->len, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN))
        break;
      if (n < 0)
        {
          /* The read side reports the failure, from the loop.  */
          shutdown (l->fd, SHUT_RDWR);
          g_byte_array_set_size (l->out, 0);
          break;
        }
      g_byte_array_remove_range (l->out, 0, (guint)n);
    }
  if (l->out->len)
    ev_io_start (l->loop, &l->write_io);
  else
    ev_io_stop (l->loop, &l->write_io);
}

static void
write_cb (struct ev_loop *loop, ev_io *w, int revents)
{
  flush (w->data);
}

/**
 * mm_link_adopt() - a link on a connected (or connecting) socket.
 * @loop: the loop that drives it.
 * @fd: non-blocking socket; the link's from now on.
 * @ev: what its maker is told.
 *
 * Return: the link; it frees itself when it closes.
 */
mm_link *
mm_link_adopt (struct ev_loop *loop, int fd, const mm_link_events *ev)
{
  mm_link *l = g_new0 (mm_link, 1);
  l->loop = loop;
  l->fd = fd;
  l->ev = *ev;
  l->out = g_byte_array_new ();
  l->heard_ms = mm_clock_now_ms ();
  msgpack_unpacker_init (&l->in, READ_CHUNK_BYTES);
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  ev_io_init (&l->read_io, read_cb, fd, EV_READ);
  ev_io_init (&l->write_io, write_cb, fd, EV_WRITE);
  l->read_io.data = l->write_io.data = l;
  ev_io_start (loop, &l->read_io);
  return l;
}

static bool
parse_addr (const char *addr, struct sockaddr_in *out)
{
  const char *colon = strrchr (addr, ':');
  if (!colon)
    return false;
  char *host = g_strndup (addr, (gsize)(colon - addr));
  char *end = NULL;
  gint64 port = g_ascii_strtoll (colon + 1, &end, 10);
  *out = (struct sockaddr_in){ .sin_family = AF_INET };
  bool ok = inet_pton (AF_INET, host, &out->sin_addr) == 1 && *end == '\0'
            && port > 0 && port <= G_MAXUINT16;
  out->sin_port = htons ((uint16_t)port);
  g_free (host);
  return ok;
}

mm_link *
mm_link_connect (struct ev_loop *loop, const char *addr,
                 const mm_link_events *ev, GError **error)
{
  struct sockaddr_in to;
  if (!parse_addr (addr, &to))
    {
      g_set_error (error, MM_ERROR, MM_ERROR_IO, "bad address %s", addr);
      return NULL;
    }
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0
      || (connect (fd, (struct sockaddr *)&to, sizeof to) < 0
          && errno != EINPROGRESS))
    {
      g_set_error (error, MM_ERROR, MM_ERROR_IO, "connect %s: %s", addr,
                   strerror (errno));
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  return mm_link_adopt (loop, fd, ev);
}

void
mm_link_send (mm_link *l, const msgpack_sbuffer *objects)
{
  if (l->closing)
    return;
  g_byte_array_append (l->out, (const guint8 *)objects->data,
                       (guint)objects->size);
  if (l->out->len > MM_LINK_MAX_BYTES)
    {
      g_warning ("link: peer does not read, %u bytes unsent: cut",
                 l->out->len);
      shutdown (l->fd, SHUT_RDWR);
      g_byte_array_set_size (l->out, 0);
      return;
    }
  flush (l);
}

mm_time_ms
mm_link_heard_ms (const mm_link *l)
{
  return l->heard_ms;
}

int
mm_link_listen (const char *host, uint16_t port, GError **error)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = -1;
  int one = 1;
  if (inet_pton (AF_INET, host, &a.sin_addr) == 1)
    fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (fd < 0 || bind (fd, (struct sockaddr *)&a, sizeof a) < 0
      || listen (fd, SOMAXCONN) < 0)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_IO, "cannot listen on %s:%u: %s",
                   host, port, strerror (errno));
      if (fd >= 0)
        close (fd);
      return -1;
    }
  return fd;
}
