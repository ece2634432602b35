/* mm_link: a TCP connection that carries msgpack objects.  The link owns
   its socket and buffers and notifies its creator when it closes.  */
#define _GNU_SOURCE
#include "mm_link.h"

#include "config.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_CHUNK_BYTES 16384 /* most bytes of one read */

struct mm_link
{
  struct ev_loop *loop;
  int fd;
  ev_io read_io;
  ev_io write_io;
  msgpack_unpacker in; /* received bytes that are not decoded yet */
  GByteArray *out;     /* bytes that are not sent yet */
  mm_link_events ev;
  mm_time_ms received_ms; /* when bytes were last received */
  bool in_callback; /* read_cb() delivers objects and frees the link afterwards
                       if it has closed meanwhile */
  bool closing;     /* mm_link_close() was called */
};

static void
link_free (mm_link *link)
{
  msgpack_unpacker_destroy (&link->in);
  g_byte_array_free (link->out, TRUE);
  g_free (link);
}

void
mm_link_close (mm_link *link, const char *why)
{
  if (link->closing)
    return;
  link->closing = true;
  ev_io_stop (link->loop, &link->read_io);
  ev_io_stop (link->loop, &link->write_io);
  close (link->fd);
  link->ev.closed (link->ev.ctx, why);
  if (!link->in_callback)
    link_free (link);
}

/* Delivers every complete object to the object event.  Returns false when the
   link has closed.  */
static bool
deliver_objects (mm_link *link)
{
  msgpack_unpacked msg;
  msgpack_unpacked_init (&msg);
  msgpack_unpack_return ret = MSGPACK_UNPACK_CONTINUE;
  bool ok = true;
  while (ok && !link->closing
         && (ret = msgpack_unpacker_next (&link->in, &msg))
                == MSGPACK_UNPACK_SUCCESS)
    ok = link->ev.object (link->ev.ctx, &msg.data);
  msgpack_unpacked_destroy (&msg);
  if (!ok || ret == MSGPACK_UNPACK_PARSE_ERROR)
    mm_link_close (link, "malformed object");
  else if (msgpack_unpacker_message_size (&link->in) > MM_LINK_MAX_BYTES)
    mm_link_close (link, "object too large");
  return !link->closing;
}

/* Reads once from the socket and delivers the objects that are complete then.
   Closes the link when the peer has closed it or the read fails.  */
static void
read_cb (struct ev_loop *loop, ev_io *w, int revents)
{
  mm_link *link = w->data;
  if (!msgpack_unpacker_reserve_buffer (&link->in, READ_CHUNK_BYTES))
    {
      mm_link_close (link, "out of memory");
      return;
    }
  ssize_t n
      = read (link->fd, msgpack_unpacker_buffer (&link->in), READ_CHUNK_BYTES);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      mm_link_close (link, n == 0 ? "closed by the peer" : strerror (errno));
      return;
    }
  link->received_ms = mm_clock_now_ms ();
  msgpack_unpacker_buffer_consumed (&link->in, (size_t)n);
  link->in_callback = true;
  bool open = deliver_objects (link);
  link->in_callback = false;
  if (!open)
    link_free (link);
}

/* Sends as many of the buffered bytes as the socket takes.  The rest is sent
   once the socket is writable, also while it is still connecting
   (ENOTCONN).  */
static void
flush (mm_link *link)
{
  while (link->out->len)
    {
      ssize_t n
          = send (link->fd, link->out->data, link->out->len, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN))
        break;
      if (n < 0)
        {
          /* read_cb() then closes the link, from the event loop.  */
          shutdown (link->fd, SHUT_RDWR);
          g_byte_array_set_size (link->out, 0);
          break;
        }
      g_byte_array_remove_range (link->out, 0, (guint)n);
    }
  if (link->out->len)
    ev_io_start (link->loop, &link->write_io);
  else
    ev_io_stop (link->loop, &link->write_io);
}

static void
write_cb (struct ev_loop *loop, ev_io *w, int revents)
{
  flush (w->data);
}

/**
 * mm_link_adopt() - create a link on a connected or connecting socket.
 * @loop: event loop that drives the link.
 * @fd: the socket, which must be non-blocking; ownership is taken.
 * @ev: callbacks; copied.
 *
 * Return: the link, which frees itself when it closes.
 */
mm_link *
mm_link_adopt (struct ev_loop *loop, int fd, const mm_link_events *ev)
{
  mm_link *link = g_new0 (mm_link, 1);
  link->loop = loop;
  link->fd = fd;
  link->ev = *ev;
  link->out = g_byte_array_new ();
  link->received_ms = mm_clock_now_ms ();
  msgpack_unpacker_init (&link->in, READ_CHUNK_BYTES);
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  ev_io_init (&link->read_io, read_cb, fd, EV_READ);
  ev_io_init (&link->write_io, write_cb, fd, EV_WRITE);
  link->read_io.data = link->write_io.data = link;
  ev_io_start (loop, &link->read_io);
  return link;
}

/* Parses "ip:port".  Returns false when @addr is malformed.  */
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
mm_link_send (mm_link *link, const msgpack_sbuffer *objects)
{
  if (link->closing)
    return;
  g_byte_array_append (link->out, (const guint8 *)objects->data,
                       (guint)objects->size);
  if (link->out->len > MM_LINK_MAX_BYTES)
    {
      g_warning ("link: closed, as the peer does not read: %u bytes unsent",
                 link->out->len);
      shutdown (link->fd, SHUT_RDWR);
      g_byte_array_set_size (link->out, 0);
      return;
    }
  flush (link);
}

mm_time_ms
mm_link_received_ms (const mm_link *link)
{
  return link->received_ms;
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
