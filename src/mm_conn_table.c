/* mm_conn_table: see mm_conn_table.h.  */
#include "mm_conn_table.h"

#include "config.h"

struct mm_conn_table
{
  GQueue by_state[MM_CONN_STATES]; /* each: the longest there first */
};

mm_conn_table *
mm_conn_table_create (void)
{
  mm_conn_table *t = g_new0 (mm_conn_table, 1);
  for (int i = 0; i < MM_CONN_STATES; i++)
    g_queue_init (&t->by_state[i]);
  return t;
}

void
mm_conn_table_destroy (mm_conn_table *t)
{
  g_free (t);
}

mm_conn *
mm_conn_table_add (mm_conn_table *t, int fd, void *handle, mm_time_ms now)
{
  mm_conn *c = g_new0 (mm_conn, 1);
  c->fd = fd;
  c->handle = handle;
  c->state = MM_CONN_NO_REQUEST;
  c->since_ms = now;
  c->link.data = c;
  g_queue_push_tail_link (&t->by_state[c->state], &c->link);
  return c;
}

void
mm_conn_table_remove (mm_conn_table *t, mm_conn *c)
{
  g_queue_unlink (&t->by_state[c->state], &c->link);
  g_free (c);
}

void
mm_conn_table_set_state (mm_conn_table *t, mm_conn *c, mm_conn_state state,
                         mm_time_ms now)
{
  g_queue_unlink (&t->by_state[c->state], &c->link);
  c->state = state;
  c->since_ms = now;
  g_queue_push_tail_link (&t->by_state[state], &c->link);
}

uint32_t
mm_conn_table_open (const mm_conn_table *t)
{
  uint32_t n = 0;
  for (int i = 0; i < MM_CONN_CLOSING; i++)
    n += t->by_state[i].length;
  return n;
}

uint32_t
mm_conn_table_count (const mm_conn_table *t)
{
  return mm_conn_table_open (t) + t->by_state[MM_CONN_CLOSING].length;
}

/* The request of a new connection may be under way, and the owner of a spare
   one may be about to use it again, so young ones of both kinds come after
   those that send requests ahead.  */
mm_conn *
mm_conn_table_least (const mm_conn_table *t, mm_time_ms now)
{
  static const struct
  {
    mm_conn_state state;
    mm_time_ms min_age_ms;
  } order[] = { { MM_CONN_NO_REQUEST, MM_CONN_NEW_MS },
                { MM_CONN_SPARE, MM_CONN_SPARE_MS },
                { MM_CONN_AHEAD, 0 },
                { MM_CONN_NO_REQUEST, 0 },
                { MM_CONN_SPARE, 0 },
                { MM_CONN_SENDING, MM_CONN_SENDING_MS } };
  for (size_t i = 0; i < G_N_ELEMENTS (order); i++)
    {
      GList *head = t->by_state[order[i].state].head;
      if (head
          && now - ((mm_conn *)head->data)->since_ms >= order[i].min_age_ms)
        return head->data;
    }
  return NULL;
}

mm_conn *
mm_conn_table_largest_body (const mm_conn_table *t)
{
  mm_conn *largest = NULL;
  for (GList *l = t->by_state[MM_CONN_NO_REQUEST].head; l; l = l->next)
    {
      mm_conn *c = l->data;
      if (c->body_bytes > (largest ? largest->body_bytes : 0))
        largest = c;
    }
  return largest;
}

/* The queues are in the order of since_ms.  Connections that have not begun a
   request stand among those that have.  */
mm_conn *
mm_conn_table_overdue (const mm_conn_table *t, mm_time_ms before_ms)
{
  static const mm_conn_state states[]
      = { MM_CONN_NO_REQUEST, MM_CONN_SENDING, MM_CONN_AHEAD };
  for (size_t i = 0; i < G_N_ELEMENTS (states); i++)
    for (GList *l = t->by_state[states[i]].head; l; l = l->next)
      {
        mm_conn *c = l->data;
        if (c->since_ms >= before_ms)
          break;
        if (c->receiving || c->state != MM_CONN_NO_REQUEST)
          return c;
      }
  return NULL;
}

void
mm_conn_table_foreach (const mm_conn_table *t,
                       void (*each) (mm_conn *c, void *ctx), void *ctx)
{
  for (int i = 0; i < MM_CONN_STATES; i++)
    for (GList *l = t->by_state[i].head, *next; l; l = next)
      {
        next = l->next;
        each (l->data, ctx);
      }
}
