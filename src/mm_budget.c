/* mm_budget: see mm_budget.h.  */
#include "mm_budget.h"

#include "config.h"

#include <glib.h>

struct mm_budget
{
  uint64_t limit_bytes[MM_BUDGET_PARTS];
  uint64_t used_bytes[MM_BUDGET_PARTS];
};

mm_budget *
mm_budget_create (uint64_t memory_bytes)
{
  static const uint64_t sixteenths[MM_BUDGET_PARTS] = {
    [MM_BUDGET_CONNECTIONS] = MM_BUDGET_CONNECTIONS_16THS,
    [MM_BUDGET_BODIES] = MM_BUDGET_BODIES_16THS,
    [MM_BUDGET_JOBS] = MM_BUDGET_JOBS_16THS,
  };
  mm_budget *b = g_new0 (mm_budget, 1);
  for (int i = 0; i < MM_BUDGET_PARTS; i++)
    b->limit_bytes[i] = memory_bytes / 16 * sixteenths[i];
  return b;
}

void
mm_budget_destroy (mm_budget *b)
{
  g_free (b);
}

bool
mm_budget_has (const mm_budget *b, mm_budget_part part, uint64_t bytes)
{
  return !b
         || (bytes <= b->limit_bytes[part]
             && b->used_bytes[part] <= b->limit_bytes[part] - bytes);
}

bool
mm_budget_take (mm_budget *b, mm_budget_part part, uint64_t bytes)
{
  if (!mm_budget_has (b, part, bytes))
    return false;
  mm_budget_force (b, part, bytes);
  return true;
}

void
mm_budget_force (mm_budget *b, mm_budget_part part, uint64_t bytes)
{
  if (b)
    b->used_bytes[part] += bytes;
}

void
mm_budget_give (mm_budget *b, mm_budget_part part, uint64_t bytes)
{
  if (b)
    b->used_bytes[part] -= MIN (bytes, b->used_bytes[part]);
}

uint64_t
mm_budget_used (const mm_budget *b, mm_budget_part part)
{
  return b ? b->used_bytes[part] : 0;
}

uint64_t
mm_budget_limit (const mm_budget *b, mm_budget_part part)
{
  return b ? b->limit_bytes[part] : UINT64_MAX;
}
