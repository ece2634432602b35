/* mm_steps: the order of a job's steps: which may begin, what is done.  */
#ifndef MM_STEPS_H
#define MM_STEPS_H

#include "mm_submission.h"

typedef struct mm_steps mm_steps;

/* A task may begin; tasks are numbered through all steps.  */
typedef void (*mm_steps_begin) (void *ctx, uint32_t task);

mm_steps *mm_steps_create (const mm_submission *s); /* outlived by @s */
void mm_steps_destroy (mm_steps *t);
mm_task_id mm_steps_task (const mm_steps *t, uint32_t task); /* its name */
/* The number of a named task, -1 if there is none such.  */
int64_t mm_steps_number (const mm_steps *t, const mm_task_id *id);
void mm_steps_note_done (mm_steps *t, uint32_t task);
bool mm_steps_all_done (const mm_steps *t);
/* Call @begin for each task of every step that newly may begin.  A job may
   be over, and @t gone, once the last call returns.  */
void mm_steps_begin_ready (mm_steps *t, mm_steps_begin begin, void *ctx);

#endif /* MM_STEPS_H */
