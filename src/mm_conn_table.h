/* mm_conn_table: the open connections of a server, by what each has to show.

   When the server needs room, the connection with the least to show is closed
   for it: refusing the newcomer instead would let a crowd that sends nothing
   keep everyone else out.  */
#ifndef MM_CONN_TABLE_H
#define MM_CONN_TABLE_H

#include "masticmill.h"

typedef enum
{
  MM_CONN_NO_REQUEST, /* has not sent a whole request since its last answer, or
                         has begun another one */
  MM_CONN_SPARE,      /* waits for its next request */
  MM_CONN_SENDING,    /* its answer is not sent yet */
  MM_CONN_AHEAD,      /* a request that was sent ahead of the last answer waits
                         to be handled, or its answer is not sent yet */
  MM_CONN_BUSY,       /* its request is not answered: is not closed */
  MM_CONN_CLOSING,    /* has been shut down */
  MM_CONN_STATES
} mm_conn_state;

/* An open connection.  */
typedef struct
{
  int fd;
  mm_conn_state state;
  mm_time_ms since_ms;    /* when it entered this state */
  bool receiving;         /* a request has begun */
  uint64_t answered_turn; /* turn of the server in which its last answer was
                             sent, 0: none */
  size_t body_bytes;      /* of an incomplete body */
  void *request;          /* the server's, NULL: none */
  void *handle;           /* the server's */
  GList link;             /* in the queue of its state */
} mm_conn;

typedef struct mm_conn_table mm_conn_table;

mm_conn_table *mm_conn_table_create (void);
/* The connections must have been removed.  */
void mm_conn_table_destroy (mm_conn_table *t);
mm_conn *mm_conn_table_add (mm_conn_table *t, int fd, void *handle,
                            mm_time_ms now);
void mm_conn_table_remove (mm_conn_table *t, mm_conn *c); /* frees @c */
/* Moves @c to the end of the queue of @state.  */
void mm_conn_table_set_state (mm_conn_table *t, mm_conn *c,
                              mm_conn_state state, mm_time_ms now);
/* Number of connections, with or without those that are closing.  */
uint32_t mm_conn_table_count (const mm_conn_table *t);
uint32_t mm_conn_table_open (const mm_conn_table *t);
/* Returns the connection with the least to show, NULL: all are busy, or have
   been answered just now.  */
mm_conn *mm_conn_table_least (const mm_conn_table *t, mm_time_ms now);
/* Returns the connection with the largest incomplete body, NULL: none.  */
mm_conn *mm_conn_table_largest_body (const mm_conn_table *t);
/* Returns a connection that has been receiving a request, or sending an
   answer, since before @before_ms; NULL: none.  */
mm_conn *mm_conn_table_overdue (const mm_conn_table *t, mm_time_ms before_ms);
/* Calls @each for all connections, which must not remove any.  */
void mm_conn_table_foreach (const mm_conn_table *t,
                            void (*each) (mm_conn *c, void *ctx), void *ctx);

#endif /* MM_CONN_TABLE_H */
