/* mm_steps: starts a step once all earlier steps that it depends on are
   done.  */
#include "mm_steps.h"

#include <string.h>

/* Progress of one step.  */
typedef struct
{
  uint32_t first_task; /* number of its first task in the job */
  uint32_t done;       /* tasks of the step that are done */
  bool started;        /* its tasks were passed to mm_steps_start */
} step_state;

struct mm_steps
{
  const mm_submission *submission;
  step_state *steps; /* one for each step of the submission */
  uint32_t n_tasks;  /* tasks of all steps */
  uint32_t done;     /* tasks of all steps that are done */
};

mm_steps *
mm_steps_create (const mm_submission *s)
{
  mm_steps *t = g_new0 (mm_steps, 1);
  t->submission = s;
  t->steps = g_new0 (step_state, (size_t)s->n_steps + 1);
  for (uint32_t i = 0; i < s->n_steps; i++)
    {
      t->steps[i].first_task = t->n_tasks;
      t->n_tasks += s->steps[i].count;
    }
  return t;
}

void
mm_steps_destroy (mm_steps *t)
{
  if (!t)
    return;
  g_free (t->steps);
  g_free (t);
}

/* Returns the number of the step that the task belongs to.  */
static uint32_t
step_of (const mm_steps *t, uint32_t task)
{
  uint32_t i = 0;
  while (i + 1 < t->submission->n_steps && t->steps[i + 1].first_task <= task)
    i++;
  return i;
}

mm_task_id
mm_steps_task_id (const mm_steps *t, uint32_t task)
{
  mm_task_id id = { .step = step_of (t, task) };
  id.index = task - t->steps[id.step].first_task;
  g_strlcpy (id.job, t->submission->id, sizeof id.job);
  return id;
}

int64_t
mm_steps_task_number (const mm_steps *t, const mm_task_id *id)
{
  if (strcmp (id->job, t->submission->id) != 0
      || id->step >= t->submission->n_steps
      || id->index >= t->submission->steps[id->step].count)
    return -1;
  return t->steps[id->step].first_task + id->index;
}

void
mm_steps_task_done (mm_steps *t, uint32_t task)
{
  t->steps[step_of (t, task)].done++;
  t->done++;
}

bool
mm_steps_all_done (const mm_steps *t)
{
  return t->done == t->n_tasks;
}

/* Returns whether all tasks of the steps that @step depends on are done.  */
static bool
is_ready (const mm_steps *t, uint32_t step)
{
  const mm_step *s = &t->submission->steps[step];
  for (uint32_t k = 0; k < s->n_dependencies; k++)
    if (t->steps[s->depends_on[k]].done
        < t->submission->steps[s->depends_on[k]].count)
      return false;
  return true;
}

void
mm_steps_start_ready (mm_steps *t, mm_steps_start start, void *ctx)
{
  /* The tasks are collected first: @start may end the job and free @t.  */
  GArray *tasks = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  for (uint32_t i = 0; i < t->submission->n_steps; i++)
    {
      if (t->steps[i].started || !is_ready (t, i))
        continue;
      t->steps[i].started = true;
      for (uint32_t k = 0; k < t->submission->steps[i].count; k++)
        {
          uint32_t task = t->steps[i].first_task + k;
          g_array_append_val (tasks, task);
        }
    }
  for (guint i = 0; i < tasks->len; i++)
    start (ctx, g_array_index (tasks, uint32_t, i));
  g_array_free (tasks, TRUE);
}
