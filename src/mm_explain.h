/* mm_explain: one request's story, from the logs of several instances.  */
#ifndef MM_EXPLAIN_H
#define MM_EXPLAIN_H

#include "masticmill.h"

typedef struct mm_explain mm_explain;

mm_explain *mm_explain_create (const char *job_id);
void mm_explain_destroy (mm_explain *x);
/* A line of the log named @source; what is not ours is passed over.  */
void mm_explain_add (mm_explain *x, const char *source, const char *line);
/* The story in order of time, ending in its cause; g_free.  NULL: no line
   names the job.  */
char *mm_explain_story (mm_explain *x);

#endif /* MM_EXPLAIN_H */
