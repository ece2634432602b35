/* mm_http_server_priv: declarations shared by the sources of
   mm_http_server.  */
#ifndef MM_HTTP_SERVER_PRIV_H
#define MM_HTTP_SERVER_PRIV_H

#include "mm_conn_table.h"
#include "mm_http_limits.h"
#include "mm_http_listener.h"
#include "mm_metrics.h"

#include <microhttpd.h>

struct mm_http_server
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  mm_http_listener *listener; /* NULL: stopped */
  ev_io io;                   /* watches MHD's epoll set */
  ev_timer timer;             /* runs MHD at its next timeout */
  ev_idle run_soon; /* runs MHD when the loop has nothing else to do */
  ev_timer check;   /* closes the connections that are overdue */
  mm_http_handler handler;
  void *ctx;             /* argument of @handler */
  size_t max_body_bytes; /* larger bodies are answered 413 */
  mm_http_limits limits;
  uint32_t in_flight; /* requests passed to the handler, not completed */
  mm_conn_table *connections;
  GHashTable *suspended;      /* set of mm_http_request */
  GQueue small, ahead, large; /* mm_http_request that wait to be handled: those
                                 sent ahead of the answer before, those with
                                 large bodies, and others */
  uint64_t turn;              /* number of turns of server_run() */
  mm_time_ms turn_ms;         /* start of this turn */
  bool leaving;               /* see mm_http_server_set_leaving() */
  uint16_t port;              /* port that the server listens on */
};

struct mm_http_request
{
  mm_http_server *server;
  struct MHD_Connection *conn;
  mm_conn *connection; /* its entry in the table */
  char *method;
  char *path;
  char *body; /* ends with an additional NUL once it is complete */
  size_t body_len;
  size_t body_room;      /* allocated, and taken from the budget */
  size_t max_body_bytes; /* for this request */
  GList queue_link;      /* in the queue of those that wait */
  GQueue *queue;         /* which queue, NULL: none */
  bool dispatched;       /* passed to the handler, or queued for it */
  bool in_handler;       /* the handler has not returned yet */
  bool suspended;        /* MHD waits for mm_http_reply() */
  bool answered;         /* mm_http_reply() was called */
  bool ahead;            /* sent before the answer to the last one */
  bool dropped;          /* its connection is to be closed */
  unsigned status;       /* HTTP status of the answer */
  char *answer;          /* JSON body of the answer */
  uint32_t retry_after_s;
  ev_io caller_socket_io; /* watches the caller's socket until the answer */
  mm_http_closed_cb left; /* NULL: not set, called already, or answered */
  void *left_ctx;         /* argument of @left */
};

/* mm_http_connections.c */
/* Counts and logs that a request was refused, or a connection closed, for what
   it costs; @bytes: of the body.  */
void mm_http_count_refusal (mm_http_server *s, mm_counter_id counter,
                            const char *why, uint64_t bytes);
/* Shuts a connection down; MHD then finds it closed and ends it.  */
void mm_http_close_connection (mm_http_server *s, mm_conn *c);
/* Takes a new connection; closes another one for it, or the new one, when
   there are too many.  */
void mm_http_accept (void *ctx /* mm_http_server */, int fd,
                     const struct sockaddr *addr, socklen_t len);
void mm_http_descriptors_exhausted (void *ctx /* mm_http_server */);
/* Closes the connections whose requests or answers take too long.  */
void mm_http_check_overdue (mm_http_server *s);

/* mm_http_body.c */
/* Adds a part of the body.  Returns false when the request is refused.  */
bool mm_http_receive_body (mm_http_request *r, const char *part, size_t bytes);
/* Frees the body and gives its memory back.  */
void mm_http_drop_body (mm_http_request *r);

#endif /* MM_HTTP_SERVER_PRIV_H */
