/* mm_http_request: what handlers read of a request.  */
#include "mm_http_server_priv.h"

#include <errno.h>
#include <sys/socket.h>

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
    *len = r->body_len;
  return r->body ? r->body : "";
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
