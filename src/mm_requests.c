/* mm_requests: calls back exactly once for each request, with its answer or
   when no answer will come.  */
#include "mm_requests.h"

/* A request that has no answer yet.  */
typedef struct
{
  uint64_t number;       /* identifies the request in its answer */
  mm_time_ms expires_ms; /* fails at this time */
  mm_answered answered;
  void *ctx;
} request;

struct mm_requests
{
  GQueue *pending;      /* request, in order of their numbers */
  uint64_t last_number; /* number of the last request added */
};

mm_requests *
mm_requests_create (void)
{
  mm_requests *requests = g_new0 (mm_requests, 1);
  requests->pending = g_queue_new ();
  return requests;
}

void
mm_requests_destroy (mm_requests *requests)
{
  if (!requests)
    return;
  g_queue_free_full (requests->pending, g_free);
  g_free (requests);
}

uint64_t
mm_requests_add (mm_requests *requests, mm_time_ms expires_ms,
                 mm_answered answered, void *ctx)
{
  request *r = g_new (request, 1);
  *r = (request){ .number = ++requests->last_number,
                  .expires_ms = expires_ms,
                  .answered = answered,
                  .ctx = ctx };
  g_queue_push_tail (requests->pending, r);
  return r->number;
}

/* Removes a request and calls its callback.  */
static void
finish (mm_requests *requests, GList *link, bool ok, const void *data,
        size_t len)
{
  request *r = link->data;
  g_queue_delete_link (requests->pending, link);
  r->answered (r->ctx, ok, data, len);
  g_free (r);
}

void
mm_requests_answer (mm_requests *requests, uint64_t number, const void *data,
                    size_t len)
{
  for (GList *l = requests->pending->head; l; l = l->next)
    if (((request *)l->data)->number == number)
      {
        finish (requests, l, true, data, len);
        return;
      }
}

/* Returns the oldest request that has expired, or NULL.  The search starts
   from the head each time, because a callback may add requests.  */
static GList *
first_expired (mm_requests *requests, mm_time_ms now)
{
  for (GList *l = requests->pending->head; l; l = l->next)
    if (((request *)l->data)->expires_ms <= now)
      return l;
  return NULL;
}

void
mm_requests_expire (mm_requests *requests, mm_time_ms now)
{
  GList *l;
  while ((l = first_expired (requests, now)))
    finish (requests, l, false, NULL, 0);
}

void
mm_requests_fail_all (mm_requests *requests)
{
  guint n = requests->pending->length;
  for (guint i = 0; i < n && requests->pending->head; i++)
    finish (requests, requests->pending->head, false, NULL, 0);
}
