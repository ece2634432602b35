/* mm_questions: each is answered, or told to have no answer, once.  */
#include "mm_questions.h"

typedef struct
{
  uint64_t no;
  mm_time_ms until_ms;
  mm_told told;
  void *ctx;
} question;

struct mm_questions
{
  GQueue *open; /* in order of their numbers */
  uint64_t last_no;
};

mm_questions *
mm_questions_create (void)
{
  mm_questions *q = g_new0 (mm_questions, 1);
  q->open = g_queue_new ();
  return q;
}

void
mm_questions_destroy (mm_questions *q)
{
  if (!q)
    return;
  g_queue_free_full (q->open, g_free);
  g_free (q);
}

uint64_t
mm_questions_add (mm_questions *q, mm_time_ms until_ms, mm_told told,
                  void *ctx)
{
  question *k = g_new (question, 1);
  *k = (question){
    .no = ++q->last_no, .until_ms = until_ms, .told = told, .ctx = ctx
  };
  g_queue_push_tail (q->open, k);
  return k->no;
}

static void
finish (mm_questions *q, GList *at, bool ok, const void *data, size_t len)
{
  question *k = at->data;
  g_queue_delete_link (q->open, at);
  k->told (k->ctx, ok, data, len);
  g_free (k);
}

void
mm_questions_answer (mm_questions *q, uint64_t no, const void *data,
                     size_t len)
{
  for (GList *l = q->open->head; l; l = l->next)
    if (((question *)l->data)->no == no)
      {
        finish (q, l, true, data, len);
        return;
      }
}

/* The first one that is over; those told may ask anew meanwhile.  */
static GList *
first_until (mm_questions *q, mm_time_ms now)
{
  for (GList *l = q->open->head; l; l = l->next)
    if (((question *)l->data)->until_ms <= now)
      return l;
  return NULL;
}

void
mm_questions_expire (mm_questions *q, mm_time_ms now)
{
  GList *l;
  while ((l = first_until (q, now)))
    finish (q, l, false, NULL, 0);
}

void
mm_questions_fail_all (mm_questions *q)
{
  guint n = q->open->length;
  for (guint i = 0; i < n && q->open->head; i++)
    finish (q, q->open->head, false, NULL, 0);
}
