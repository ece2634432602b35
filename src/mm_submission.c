/* mm_submission: properties of a job as a whole.  */
#include "mm_submission.h"

#include "config.h"

#include <string.h>

void
mm_submission_free (mm_submission *s)
{
  if (!s)
    return;
  for (uint32_t i = 0; i < s->n_steps; i++)
    {
      g_free (s->steps[i].depends_on);
      g_free (s->steps[i].label);
      g_free (s->steps[i].data_label);
      g_free (s->steps[i].payload);
    }
  g_free (s->steps);
  g_free (s->payload);
  g_free (s);
}

uint32_t
mm_submission_tasks (const mm_submission *s)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < s->n_steps; i++)
    n += s->steps[i].count;
  return n;
}

uint32_t
mm_submission_first_tasks (const mm_submission *s)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < s->n_steps; i++)
    if (s->steps[i].n_dependencies == 0)
      n += s->steps[i].count;
  return n;
}

static uint64_t
text_bytes (const char *text)
{
  return text ? strlen (text) + 1 : 0;
}

uint64_t
mm_submission_bytes (const mm_submission *s)
{
  uint64_t payload = text_bytes (s->payload);
  uint64_t bytes = MM_JOB_BASE_BYTES + payload;
  for (uint32_t i = 0; i < s->n_steps; i++)
    {
      const mm_step *step = &s->steps[i];
      uint64_t task = MM_JOB_TASK_BYTES + text_bytes (step->label)
                      + text_bytes (step->data_label)
                      + (step->payload ? text_bytes (step->payload) : payload);
      bytes += sizeof *step + text_bytes (step->payload)
               + step->n_dependencies * sizeof *step->depends_on
               + step->count * task;
    }
  return bytes;
}

int64_t
mm_submission_largest_cpu_milli (const mm_submission *s)
{
  int64_t largest = 0;
  for (uint32_t i = 0; i < s->n_steps; i++)
    if (s->steps[i].n_dependencies == 0)
      largest = MAX (largest, s->steps[i].resources.cpu_milli);
  return largest;
}

const char *
mm_submission_unsupported_reason (const mm_submission *s)
{
  if (s->repeats)
    return "repeated jobs are not served";
  if (mm_submission_tasks (s) > MM_MAX_JOB_TASKS)
    return "too many tasks in one job";
  for (uint32_t i = 0; i < s->n_steps; i++)
    {
      const mm_step *step = &s->steps[i];
      if (step->gang && step->count > 1)
        return "gangs are not served";
      if (step->until_cancelled)
        return "tasks without an end are not served";
      if (step->fills_unused_capacity)
        return "tasks that fill unused capacity are not served";
      if (step->max_per_upstream)
        return "limits of tasks per upstream are not served";
    }
  return NULL;
}

/* Steps depend only on earlier steps, so one pass in order is enough.  */
mm_time_ms
mm_submission_chain_ms (const mm_submission *s)
{
  mm_time_ms *ends_ms = g_new0 (mm_time_ms, s->n_steps + 1);
  mm_time_ms longest_ms = 0;
  for (uint32_t i = 0; i < s->n_steps; i++)
    {
      mm_time_ms start_ms = 0;
      for (uint32_t j = 0; j < s->steps[i].n_dependencies; j++)
        start_ms = MAX (start_ms, ends_ms[s->steps[i].depends_on[j]]);
      ends_ms[i] = start_ms + s->steps[i].estimate_ms;
      longest_ms = MAX (longest_ms, ends_ms[i]);
    }
  g_free (ends_ms);
  return longest_ms;
}
