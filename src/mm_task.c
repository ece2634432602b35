/* mm_task: resource arithmetic and task ids.  */
#include "mm_task.h"

#include <string.h>
#include <xxhash.h>

bool
mm_resources_fit (const mm_resources *need, const mm_resources *capacity)
{
  return need->cpu_milli <= capacity->cpu_milli
         && need->mem_mb <= capacity->mem_mb && need->gpus <= capacity->gpus;
}

void
mm_resources_add (mm_resources *sum, const mm_resources *need)
{
  sum->cpu_milli += need->cpu_milli;
  sum->mem_mb += need->mem_mb;
  sum->gpus += need->gpus;
}

void
mm_resources_sub (mm_resources *sum, const mm_resources *need)
{
  sum->cpu_milli -= need->cpu_milli;
  sum->mem_mb -= need->mem_mb;
  sum->gpus -= need->gpus;
}

guint
mm_task_id_hash (gconstpointer id)
{
  const mm_task_id *t = id;
  XXH64_hash_t seed = (XXH64_hash_t)t->step << 32 | t->index;
  return (guint)XXH3_64bits_withSeed (t->job, strlen (t->job), seed);
}

gboolean
mm_task_id_equal (gconstpointer a, gconstpointer b)
{
  const mm_task_id *x = a, *y = b;
  return x->index == y->index && x->step == y->step
         && strcmp (x->job, y->job) == 0;
}

const char *
mm_end_name (mm_end end)
{
  switch (end)
    {
    case MM_END_DONE:
      return "done";
    case MM_END_FAILED:
      return "failed";
    case MM_END_STOPPED:
      return "stopped";
    case MM_END_LOST:
      return "lost";
    case MM_END_NOT_RUN:
      return "not_run";
    case MM_END_UNKNOWN:
      return "unknown";
    }
  return "invalid";
}
