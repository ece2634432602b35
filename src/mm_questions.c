/* mm_requests: calls back exactly once for each request, with its answer or
   when there will be none.  */
#include "mm_questions.h"

typedef struct
{
  uint64_t number;
  mm_time_ms expires_ms;
  mm_told answered;
  void *ctx;
} request;

struct mm_questions
{
  GQueue *pending; /* in order of their numbers */
  uint64_t last_number;
};

mm_questions *
mm_questions_create (void)
{
  mm_questions *requests = g_new0 (mm_questions, 1);
  requests->pending = g_queue_new ();
  return requests;
}

void
mm_questions_destroy (mm_questions *requests)
{
  if (!requests)
    return;
  g_queue_free_full (requests->pending, g_free);
  g_free (requests);
}

uint64_t
mm_questions_add (mm_questions *requests, mm_time_ms expires_ms,
                  mm_told answered, void *ctx)
{
  request *r = g_new (request, 1);
  *r = (request){ .number = ++requests->last_number,
                  .expires_ms = expires_ms,
                  .answered = answered,
                  .ctx = ctx };
  g_queue_push_tail (requests->pending, r);
  return r->number;
}

static void
finish (mm_questions *requests, GList *link, bool ok, const void *data,
        size_t len)
{
  request *r = link->data;
  g_queue_delete_link (requests->pending, link);
  r->answered (r->ctx, ok, data, len);
  g_free (r);
}

void
mm_questions_answer (mm_questions *requests, uint64_t number, const void *data,
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
first_expired (mm_questions *requests, mm_time_ms now)
{
  for (GList *l = requests->pending->head; l; l = l->next)
    if (((request *)l->data)->expires_ms <= now)
      return l;
  return NULL;
}

void
mm_questions_expire (mm_questions *requests, mm_time_ms now)
{
  GList *l;
  while ((l = first_expired (requests, now)))
    finish (requests, l, false, NULL, 0);
}

void
mm_questions_fail_all (mm_questions *requests)
{
  guint n = requests->pending->length;
  for (guint i = 0; i < n && requests->pending->head; i++)
    finish (requests, requests->pending->head, false, NULL, 0);
}
