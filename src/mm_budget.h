/* mm_budget: bounds the memory that callers make the process hold.

   Each part has a share of the memory of the machine.  The rest is for the
   work of the instance itself.  All functions accept NULL, which stands for a
   budget without limits.  */
#ifndef MM_BUDGET_H
#define MM_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  MM_BUDGET_CONNECTIONS, /* buffers of open connections */
  MM_BUDGET_BODIES,      /* bodies of requests that are not handled yet */
  MM_BUDGET_JOBS,        /* jobs that have not ended */
  MM_BUDGET_PARTS
} mm_budget_part;

typedef struct mm_budget mm_budget;

/* @memory_bytes: memory of the machine.  */
mm_budget *mm_budget_create (uint64_t memory_bytes);
void mm_budget_destroy (mm_budget *b);
/* Whether bytes can be taken.  */
bool mm_budget_has (const mm_budget *b, mm_budget_part part, uint64_t bytes);
/* Takes bytes of a part; returns false, and takes none, if they exceed it.  */
bool mm_budget_take (mm_budget *b, mm_budget_part part, uint64_t bytes);
/* Takes bytes that are held anyway, also beyond the limit.  */
void mm_budget_force (mm_budget *b, mm_budget_part part, uint64_t bytes);
void mm_budget_give (mm_budget *b, mm_budget_part part, uint64_t bytes);
uint64_t mm_budget_used (const mm_budget *b, mm_budget_part part);
uint64_t mm_budget_limit (const mm_budget *b, mm_budget_part part);

#endif /* MM_BUDGET_H */
