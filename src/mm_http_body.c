/* mm_http_body: the bodies of requests, within the limits of the server.  */
#include "mm_http_server_priv.h"

#include "config.h"

#include <string.h>
#include <sys/socket.h>

void
mm_http_drop_body (mm_http_request *r)
{
  mm_budget_give (r->server->limits.budget, MM_BUDGET_BODIES, r->body_room);
  g_clear_pointer (&r->body, g_free);
  r->body_len = r->body_room = 0;
  if (r->connection)
    r->connection->body_bytes = 0;
}

/* Returns the connection that is closed for a body of @bytes: one with a
   larger body that is incomplete, or else one that waits to be handled.  */
static mm_conn *
larger_body (mm_http_server *s, size_t bytes)
{
  mm_conn *c = mm_conn_table_largest_body (s->connections);
  if (c && c->body_bytes > bytes)
    return c;
  mm_http_request *last = g_queue_peek_tail (&s->large);
  c = last ? last->connection : NULL;
  return c && c->body_bytes > bytes ? c : NULL;
}

/* Takes @bytes from the budget for the body of @r.  Closes connections with
   larger bodies if it is used up, so that small requests get through.  */
static bool
take_body_bytes (mm_http_request *r, size_t bytes)
{
  mm_http_server *s = r->server;
  while (!mm_budget_take (s->limits.budget, MM_BUDGET_BODIES, bytes))
    {
      mm_conn *c = larger_body (s, r->body_room + bytes);
      if (!c || c == r->connection)
        return false;
      mm_http_count_refusal (s, MM_CT_CLIENTS_NO_MEMORY, "memory for bodies",
                             c->body_bytes);
      mm_http_drop_body (c->request);
      mm_http_close_connection (s, c);
    }
  return true;
}

/* Makes room for @bytes more of the body, and a NUL.  The room of a small body
   doubles; that of a large one grows by a sixteenth, as reallocating it does
   not copy it.  */
static bool
reserve_body (mm_http_request *r, size_t bytes)
{
  size_t needed = r->body_len + bytes + 1;
  if (needed <= r->body_room)
    return true;
  size_t step = r->body_room < MM_HTTP_LARGE_BODY_BYTES ? r->body_room
                                                        : r->body_room / 16;
  size_t room
      = MAX (r->body_room + MAX (step, MM_HTTP_BODY_STEP_BYTES), needed);
  room = MIN (room, MAX (r->max_body_bytes + 1, needed));
  if (!take_body_bytes (r, room - r->body_room))
    return false;
  r->body = g_realloc (r->body, room);
  r->body_room = room;
  if (r->connection)
    r->connection->body_bytes = room;
  return true;
}

/* Refuses a request whose body is arriving.  MHD takes no answer at this time,
   so it is written to the connection, which the caller of this function ends
   by returning MHD_NO.  */
static void
refuse_body (mm_http_request *r, bool too_large)
{
  static const char over_limit[]
      = "HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n"
        "Content-Length: 0\r\n\r\n";
  static const char no_memory[]
      = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n";
  const char *text = too_large ? over_limit : no_memory;
  if (r->connection)
    send (r->connection->fd, text, strlen (text), MSG_DONTWAIT | MSG_NOSIGNAL);
  mm_http_count_refusal (
      r->server, too_large ? MM_CT_CLIENTS_TOO_LARGE : MM_CT_CLIENTS_NO_MEMORY,
      too_large ? "body too large" : "memory for bodies", r->body_len);
}

bool
mm_http_receive_body (mm_http_request *r, const char *part, size_t bytes)
{
  if (r->connection && r->connection->state == MM_CONN_CLOSING)
    return false;
  bool too_large = r->body_len + bytes > r->max_body_bytes;
  if (too_large || !reserve_body (r, bytes))
    {
      refuse_body (r, too_large);
      return false;
    }
  memcpy (r->body + r->body_len, part, bytes);
  r->body_len += bytes;
  return true;
}
