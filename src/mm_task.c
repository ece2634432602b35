/* mm_task: resource arithmetic, task ids and the names of outcomes.  */
#include "mm_task.h"

#include <string.h>
#include <xxhash.h>

bool
mm_resources_fit (const mm_resources *required, const mm_resources *capacity)
{
  return required->cpu_milli <= capacity->cpu_milli
         && required->mem_mb <= capacity->mem_mb
         && required->gpus <= capacity->gpus;
}

void
mm_resources_add (mm_resources *sum, const mm_resources *required)
{
  sum->cpu_milli += required->cpu_milli;
  sum->mem_mb += required->mem_mb;
  sum->gpus += required->gpus;
}

void
mm_resources_sub (mm_resources *sum, const mm_resources *required)
{
  sum->cpu_milli -= required->cpu_milli;
  sum->mem_mb -= required->mem_mb;
  sum->gpus -= required->gpus;
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
