/* mm_explain: a report on one job from the logs of several instances: what
   happened to it, and the cause of its outcome.  */
#ifndef MM_EXPLAIN_H
#define MM_EXPLAIN_H

#include "masticmill.h"

typedef struct mm_explain mm_explain;

/* Creates an empty report on a job.  */
mm_explain *mm_explain_create (const char *job_id);
void mm_explain_destroy (mm_explain *x);
/* Adds a line of the log named @source; each instance has one log.  A line
   that is not JSON or says nothing about the job is ignored.  */
void mm_explain_add (mm_explain *x, const char *source, const char *line);
/* Formats the report, once all lines are added; free with g_free().  Returns
   NULL when no line has the id of the job.  */
char *mm_explain_report (mm_explain *x);

#endif /* MM_EXPLAIN_H */
