/* mm_questions: questions to another instance that are not answered yet.  */
#ifndef MM_QUESTIONS_H
#define MM_QUESTIONS_H

#include "masticmill.h"

typedef struct mm_questions mm_questions;

/* @ok false: no answer came; whether the question arrived is open.  */
typedef void (*mm_told) (void *ctx, bool ok, const void *data, size_t len);

mm_questions *mm_questions_create (void);
void mm_questions_destroy (mm_questions *q); /* nobody is told */
uint64_t mm_questions_add (mm_questions *q, mm_time_ms until_ms, mm_told told,
                           void *ctx); /* its number */
void mm_questions_answer (mm_questions *q, uint64_t no, const void *data,
                          size_t len); /* unknown numbers are passed over */
void mm_questions_expire (mm_questions *q, mm_time_ms now);
void mm_questions_fail_all (mm_questions *q);

#endif /* MM_QUESTIONS_H */
