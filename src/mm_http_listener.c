/* mm_http_listener: see mm_http_listener.h.  */
#define _GNU_SOURCE
#include "mm_http_listener.h"

#include "config.h"

#include <arpa/inet.h>
#include <errno.h>
#include <unistd.h>

struct mm_http_listener
{
  struct ev_loop *loop;
  int fd;
  uint16_t port;
  ev_io io;
  ev_timer pause; /* runs while no descriptor is left */
  mm_http_listener_events ev;
};

static void
pause_over_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  ev_io_start (loop, &((mm_http_listener *)w->data)->io);
}

/* The socket stays readable while no descriptor is left, so it is not watched
   meanwhile.  */
static void
pause_accepting (mm_http_listener *l)
{
  l->ev.exhausted (l->ev.ctx);
  ev_io_stop (l->loop, &l->io);
  ev_timer_set (&l->pause, MM_HTTP_ACCEPT_PAUSE_MS / 1000., 0.);
  ev_timer_start (l->loop, &l->pause);
}

static void
accept_cb (struct ev_loop *loop, ev_io *w, int revents)
{
  mm_http_listener *l = w->data;
  for (uint32_t i = 0; i < MM_HTTP_ACCEPTS_PER_TURN; i++)
    {
      struct sockaddr_in addr;
      socklen_t len = sizeof addr;
      int fd = accept4 (l->fd, (struct sockaddr *)&addr, &len,
                        SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd >= 0)
        {
          l->ev.accepted (l->ev.ctx, fd, (struct sockaddr *)&addr, len);
          continue;
        }
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS
          || errno == ENOMEM)
        pause_accepting (l);
      if (errno != ECONNABORTED && errno != EINTR)
        break;
    }
  l->ev.accepted_all (l->ev.ctx);
}

/* Binds and listens.  Accepted sockets inherit the sizes of the buffers.  */
static int
listen_at (const struct sockaddr_in *addr)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  int on = 1, bytes = MM_HTTP_SOCKET_BUFFER_BYTES;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
  if (bind (fd, (const struct sockaddr *)addr, sizeof *addr) == 0
      && listen (fd, SOMAXCONN) == 0)
    return fd;
  close (fd);
  return -1;
}

mm_http_listener *
mm_http_listener_create (struct ev_loop *loop, const char *host, uint16_t port,
                         const mm_http_listener_events *ev, GError **error)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  if (inet_pton (AF_INET, host, &addr.sin_addr) != 1)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_IO, "bad listen address %s",
                   host);
      return NULL;
    }
  int fd = listen_at (&addr);
  socklen_t len = sizeof addr;
  if (fd < 0 || getsockname (fd, (struct sockaddr *)&addr, &len) < 0)
    {
      g_set_error (error, MM_ERROR, MM_ERROR_IO,
                   "cannot listen on %s:%u (port in use?)", host, port);
      return NULL;
    }
  mm_http_listener *l = g_new0 (mm_http_listener, 1);
  l->loop = loop;
  l->fd = fd;
  l->port = ntohs (addr.sin_port);
  l->ev = *ev;
  ev_io_init (&l->io, accept_cb, fd, EV_READ);
  ev_timer_init (&l->pause, pause_over_cb, 0., 0.);
  l->io.data = l->pause.data = l;
  ev_io_start (loop, &l->io);
  return l;
}

void
mm_http_listener_destroy (mm_http_listener *l)
{
  if (!l)
    return;
  ev_io_stop (l->loop, &l->io);
  ev_timer_stop (l->loop, &l->pause);
  close (l->fd);
  g_free (l);
}

uint16_t
mm_http_listener_port (const mm_http_listener *l)
{
  return l->port;
}
