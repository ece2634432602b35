/* mm_dispatch: chooses the nearest owner with free capacity for the task, or
   the one with the shortest queue if none has any.

   Reports do not tell whether the free capacity is of use to a task: it may be
   on an upstream without the task's label, or lack memory.  An owner that
   returned such a task counts as one without free capacity, and each return
   doubles its queue.

   Traffic stays inside a data centre while there is free capacity.  A data
   centre that receives more tasks than its upstreams have capacity for sends
   the rest to other data centres.  */
#include "mm_dispatch.h"

#include <math.h>

/* Misfits are not counted beyond this number.  */
#define MAX_MISFITS 30u

/* Returns the waiting tasks per place, with one more task, for the comparison
   of owners without free capacity.  */
static double
queue_length (const mm_dispatch_candidate *c)
{
  return ldexp (((double)c->capacity.waiting + 1.0)
                    / (double)c->capacity.places,
                (int)MIN (c->n_misfits, MAX_MISFITS));
}

uint32_t
mm_dispatch_count_fits (const mm_capacity_report *r, int64_t cpu_milli,
                        mm_dispatch_rule rule)
{
  return rule == MM_DISPATCH_MOST_FREE
             ? r->free
             : mm_residuals_count (&r->residuals, cpu_milli);
}

/* A task, and how its owner is chosen.  */
typedef struct
{
  int64_t cpu_milli;
  mm_dispatch_rule rule;
} choice;

/* Returns how many such tasks fit into free capacity that the task can use. */
static uint32_t
count_usable (const mm_dispatch_candidate *candidate, const choice *c)
{
  return candidate->n_misfits ? 0
                              : mm_dispatch_count_fits (&candidate->capacity,
                                                        c->cpu_milli, c->rule);
}

/* Returns whether @a is preferred to @b.  */
static bool
is_better (const mm_dispatch_candidate *a, const mm_dispatch_candidate *b,
           const choice *c)
{
  uint32_t a_fits = count_usable (a, c);
  uint32_t b_fits = count_usable (b, c);
  if ((a_fits > 0) != (b_fits > 0))
    return a_fits > 0;
  if (!a_fits)
    return queue_length (a) < queue_length (b);
  /* An owner that returned the task cannot use its free capacity for it: the
     capacity is on an upstream that the task avoids, or too small.  */
  if (a->returned_task != b->returned_task)
    return b->returned_task;
  if (a->near != b->near)
    return a->near < b->near;
  if (c->rule == MM_DISPATCH_TIGHTEST)
    return mm_residuals_tightest_milli (&a->capacity.residuals, c->cpu_milli)
           < mm_residuals_tightest_milli (&b->capacity.residuals,
                                          c->cpu_milli);
  return a_fits > b_fits;
}

int
mm_dispatch_choose (const mm_dispatch_candidate *c, size_t n,
                    int64_t cpu_milli, mm_dispatch_rule rule)
{
  choice how = { .cpu_milli = cpu_milli, .rule = rule };
  int best = -1;
  for (size_t i = 0; i < n; i++)
    if (!c[i].unsuited && c[i].capacity.places > 0
        && (best < 0 || is_better (&c[i], &c[best], &how)))
      best = (int)i;
  return best;
}
