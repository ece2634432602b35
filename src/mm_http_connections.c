/* mm_http_connections: which connections a server takes, and which it
   closes.  */
#include "mm_http_server_priv.h"

#include "config.h"
#include "mm_event.h"

#include <sys/socket.h>
#include <unistd.h>

void
mm_http_count_refusal (mm_http_server *s, mm_counter_id counter,
                       const char *why, uint64_t bytes)
{
  mm_metrics_count (counter);
  mm_log_event (MM_EV_CLIENT_REFUSED, MM_INT (s->port), MM_TEXT (why),
                MM_INT (bytes), MM_INT (mm_conn_table_open (s->connections)));
}

/* MHD does not poll a suspended connection, which is closed when it is
   resumed.  */
static void
drop_waiting (mm_http_request *r)
{
  g_queue_unlink (r->queue, &r->queue_link);
  r->queue = NULL;
  r->dropped = true;
  r->suspended = false;
  g_hash_table_remove (r->server->suspended, r);
  MHD_resume_connection (r->conn);
}

void
mm_http_close_connection (mm_http_server *s, mm_conn *c)
{
  mm_http_request *r = c->request;
  if (r && r->queue)
    drop_waiting (r);
  shutdown (c->fd, SHUT_RDWR);
  mm_conn_table_set_state (s->connections, c, MM_CONN_CLOSING,
                           mm_clock_now_ms ());
  ev_idle_start (s->loop, &s->run_soon);
}

/* Closes the connection with the least to show.  Returns false when all wait
   for their answers.  */
static bool
close_least (mm_http_server *s)
{
  mm_conn *c = mm_conn_table_least (s->connections, mm_clock_now_ms ());
  if (!c)
    return false;
  mm_http_count_refusal (s, MM_CT_CLIENTS_CLOSED, "share of connections",
                         c->body_bytes);
  if (c->request)
    mm_http_drop_body (c->request);
  mm_http_close_connection (s, c);
  return true;
}

void
mm_http_accept (void *ctx, int fd, const struct sockaddr *addr, socklen_t len)
{
  mm_http_server *s = ctx;
  if (mm_conn_table_open (s->connections) < s->limits.connections
      || close_least (s))
    MHD_add_connection (s->daemon, fd, addr, len);
  else
    {
      mm_http_count_refusal (s, MM_CT_CLIENTS_CLOSED,
                             "all connections are in use", 0);
      close (fd);
    }
}

void
mm_http_descriptors_exhausted (void *ctx)
{
  close_least (ctx);
}

void
mm_http_check_overdue (mm_http_server *s)
{
  mm_time_ms before_ms = mm_clock_now_ms () - MM_HTTP_TRANSFER_MS;
  mm_conn *c;
  while ((c = mm_conn_table_overdue (s->connections, before_ms)))
    {
      mm_http_count_refusal (s, MM_CT_CLIENTS_OVERDUE, "time is up",
                             c->body_bytes);
      if (c->request)
        mm_http_drop_body (c->request);
      mm_http_close_connection (s, c);
    }
}

uint32_t
mm_http_limits_connections (int64_t descriptors, const mm_budget *budget,
                            uint32_t others)
{
  int64_t sockets
      = (mm_daemon_descriptors (descriptors) - MM_FILE_DESCRIPTORS) / 2;
  int64_t in_memory = (int64_t)(mm_budget_limit (budget, MM_BUDGET_CONNECTIONS)
                                / MM_HTTP_CONNECTION_BYTES);
  return (uint32_t)MAX (MIN (sockets, in_memory) - (int64_t)others, 1);
}
