/* mm_steps: tracks which of a job's tasks are done and which steps can
   start.  */
#ifndef MM_STEPS_H
#define MM_STEPS_H

#include "mm_submission.h"

typedef struct mm_steps mm_steps;

/* Starts a task.  Tasks are numbered through all steps of the job from 0.  */
typedef void (*mm_steps_start) (void *ctx, uint32_t task);

/* @s must outlive the returned object; free with mm_steps_destroy().  */
mm_steps *mm_steps_create (const mm_submission *s);
void mm_steps_destroy (mm_steps *t);
/* Returns the id of the task with this number.  */
mm_task_id mm_steps_task_id (const mm_steps *t, uint32_t task);
/* Returns the number of the task with this id, -1 if the job has no such
   task.  */
int64_t mm_steps_task_number (const mm_steps *t, const mm_task_id *id);
/* Marks a task as done; call once for each task.  */
void mm_steps_task_done (mm_steps *t, uint32_t task);
bool mm_steps_all_done (const mm_steps *t);
/* Calls @start for each task of every step that has become ready.  The job may
   have ended, and @t be freed, once the last call returns.  */
void mm_steps_start_ready (mm_steps *t, mm_steps_start start, void *ctx);

#endif /* MM_STEPS_H */
