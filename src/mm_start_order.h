/* mm_start_order: the order in which an owner starts its waiting tasks.

   Tasks that yield go behind all others.  So that none of them waits for ever,
   one start of MM_YIELDING_START_EVERY + 1 is of a yielding task if any that
   waits fits.  */
#ifndef MM_START_ORDER_H
#define MM_START_ORDER_H

#include "masticmill.h"

/* Decides the place of a task in the queue.  */
typedef struct
{
  bool yields;       /* goes behind all tasks that do not yield */
  uint32_t priority; /* 0 goes first */
  mm_time_ms due_ms; /* latest start that is on time */
  uint64_t arrival;  /* rises with each task */
} mm_start_key;

/* Returns a negative value if @a goes before @b, a positive one if it goes
   behind @b, else 0.  */
int mm_start_key_compare (const mm_start_key *a, const mm_start_key *b);

/* The starts of an owner; all 0 at first.  */
typedef struct
{
  uint32_t since_yielding; /* starts since the last of a yielding task, up to
                              MM_YIELDING_START_EVERY */
} mm_start_turns;

/* What the pass over a queue needs to know of its tasks.  */
typedef struct
{
  bool (*yields) (const void *task);
  /* Starts @task if it fits.  Returns whether it was started.  */
  bool (*start) (void *ctx, void *task);
  void *ctx; /* for @start */
} mm_start_port;

/* Passes over @waiting, tasks in the order of mm_start_key_compare(), and
   starts those that fit.  Tasks that are started leave the queue.  */
void mm_start_pass (mm_start_turns *turns, GQueue *waiting,
                    const mm_start_port *p);

#endif /* MM_START_ORDER_H */
