/* mm_start_order: the order in which an owner starts its waiting tasks.  */
#include "mm_start_order.h"

#include "config.h"

int
mm_start_key_compare (const mm_start_key *a, const mm_start_key *b)
{
  if (a->yields != b->yields)
    return a->yields ? 1 : -1;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->due_ms != b->due_ms)
    return a->due_ms < b->due_ms ? -1 : 1;
  return a->arrival < b->arrival ? -1 : a->arrival > b->arrival;
}

/* Starts the task of link @l if it fits.  Returns whether it was started.  The
   task is not in the queue meanwhile, and keeps its place if it does not
   fit.  */
static bool
try_start (mm_start_turns *turns, GQueue *waiting, GList *l,
           const mm_start_port *p)
{
  GList *next = l->next;
  bool yields = p->yields (l->data);
  g_queue_unlink (waiting, l);
  if (p->start (p->ctx, l->data))
    {
      g_list_free (l);
      turns->since_yielding
          = yields ? 0
                   : MIN (turns->since_yielding + 1, MM_YIELDING_START_EVERY);
      return true;
    }
  if (next)
    g_queue_insert_before_link (waiting, next, l);
  else
    g_queue_push_tail_link (waiting, l);
  return false;
}

/* Returns the first of the yielding tasks, which are at the end of the queue,
   or NULL.  */
static GList *
first_yielding (GQueue *waiting, const mm_start_port *p)
{
  GList *first = NULL;
  for (GList *l = waiting->tail; l && p->yields (l->data); l = l->prev)
    first = l;
  return first;
}

/* Starts the first yielding task that fits if it is the turn of one.  Returns
   whether a task was started.  */
static bool
start_yielding (mm_start_turns *turns, GQueue *waiting, const mm_start_port *p)
{
  if (turns->since_yielding < MM_YIELDING_START_EVERY)
    return false;
  uint32_t misses = 0;
  GList *l = first_yielding (waiting, p);
  while (l && misses < MM_OWNER_MAX_MISSES)
    {
      GList *next = l->next;
      if (try_start (turns, waiting, l, p))
        return true;
      misses++;
      l = next;
    }
  return false;
}

/**
 * mm_start_pass() - start the waiting tasks that fit.
 * @turns: the starts of the owner so far; updated.
 * @waiting: the queue, in the order of mm_start_key_compare().
 * @p: the calls that start a task.
 *
 * A task that does not fit does not block smaller tasks behind it; after
 * MM_OWNER_MAX_MISSES tasks that do not fit, the pass ends.  The start of a
 * yielding task in its turn may remove any link of the queue, so the pass then
 * begins anew.
 */
void
mm_start_pass (mm_start_turns *turns, GQueue *waiting, const mm_start_port *p)
{
  start_yielding (turns, waiting, p);
  uint32_t misses = 0;
  GList *l = waiting->head;
  while (l && misses < MM_OWNER_MAX_MISSES)
    {
      GList *next = l->next;
      bool started = try_start (turns, waiting, l, p);
      misses += !started;
      l = next;
      if (started && start_yielding (turns, waiting, p))
        {
          misses = 0;
          l = waiting->head;
        }
    }
}
