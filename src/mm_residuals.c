/* mm_residuals: the residual capacities of an owner's upstreams.  */
#include "mm_residuals.h"

#include <stdlib.h>
#include <string.h>

static int
larger_first (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;
  return (x < y) - (x > y);
}

void
mm_residuals_fill (mm_residuals *r, int64_t *free_milli, size_t n)
{
  memset (r, 0, sizeof *r);
  qsort (free_milli, n, sizeof *free_milli, larger_first);
  while (n > 0 && free_milli[n - 1] <= 0)
    n--;
  if (n == 0)
    return;
  r->unit_milli
      = (free_milli[0] + MM_RESIDUALS_STEPS - 1) / MM_RESIDUALS_STEPS;
  r->n_upstreams = (uint32_t)n;
  r->n = n < MM_RESIDUALS_MAX ? (uint32_t)n : MM_RESIDUALS_MAX;
  for (uint32_t i = 0; i < r->n; i++)
    {
      int64_t size = free_milli[(size_t)i * n / r->n];
      /* Rounded up, so that a task fits into exactly its size.  */
      r->sizes[i] = (uint8_t)((size + r->unit_milli - 1) / r->unit_milli);
    }
}

uint32_t
mm_residuals_count (const mm_residuals *r, int64_t cpu_milli)
{
  uint64_t fits = 0;
  if (cpu_milli <= 0)
    cpu_milli = 1;
  for (uint32_t i = 0; i < r->n; i++)
    fits += (uint64_t)(r->sizes[i] * r->unit_milli / cpu_milli);
  return r->n ? (uint32_t)(fits * r->n_upstreams / r->n) : 0;
}

/* Returns the index of the smallest residual capacity into which the task
   fits, -1 if there is none.  */
static int
tightest (const mm_residuals *r, int64_t cpu_milli)
{
  int best = -1;
  for (uint32_t i = 0; i < r->n; i++)
    if (r->sizes[i] * r->unit_milli >= cpu_milli
        && (best < 0 || r->sizes[i] < r->sizes[best]))
      best = (int)i;
  return best;
}

int64_t
mm_residuals_tightest_milli (const mm_residuals *r, int64_t cpu_milli)
{
  int i = tightest (r, cpu_milli);
  return i < 0 ? -1 : r->sizes[i] * r->unit_milli;
}

void
mm_residuals_take (mm_residuals *r, int64_t cpu_milli)
{
  int i = tightest (r, cpu_milli);
  if (i < 0 || r->unit_milli <= 0)
    return;
  int64_t steps = cpu_milli / r->unit_milli;
  r->sizes[i] = (uint8_t)(steps < r->sizes[i] ? r->sizes[i] - steps : 0);
}
