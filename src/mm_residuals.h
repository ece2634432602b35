/* mm_residuals: the residual capacities of an owner's upstreams, each the part
   of an upstream's capacity that is free, as owners report them.

   Their sum does not tell whether a task fits: two upstreams of which half a
   task's size is free cannot run it.  Memory and GPUs are left out; the owner
   checks them.  */
#ifndef MM_RESIDUALS_H
#define MM_RESIDUALS_H

#include <stddef.h>
#include <stdint.h>

/* Most residual capacities in a report.  */
#define MM_RESIDUALS_MAX 16u
/* Sizes are reported in so many steps, one byte of msgpack each.  */
#define MM_RESIDUALS_STEPS 127

typedef struct
{
  int64_t unit_milli;   /* thousandths of a core per step */
  uint32_t n;           /* number of @sizes */
  uint32_t n_upstreams; /* upstreams that these stand for, at least @n */
  uint8_t sizes[MM_RESIDUALS_MAX]; /* in steps, largest first */
} mm_residuals;

/* Fills @r for @n upstreams.  @free_milli: the free capacity of each in
   thousandths of a core, in any order; is sorted.  If there are more
   than MM_RESIDUALS_MAX, some at even distances stand for all.  */
void mm_residuals_fill (mm_residuals *r, int64_t *free_milli, size_t n);
/* Returns how many tasks of @cpu_milli fit.  */
uint32_t mm_residuals_count (const mm_residuals *r, int64_t cpu_milli);
/* Returns the smallest residual capacity, in thousandths of a core, into which
   a task of @cpu_milli fits, -1 if there is none.  */
int64_t mm_residuals_tightest_milli (const mm_residuals *r, int64_t cpu_milli);
/* Takes the capacity for a task of @cpu_milli from the smallest residual
   capacity into which it fits, if there is one.  */
void mm_residuals_take (mm_residuals *r, int64_t cpu_milli);

#endif /* MM_RESIDUALS_H */
