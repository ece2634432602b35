/* mm_accepted_jobs: ids of accepted jobs that this instance does not store:
   jobs that the shard's log lists as accepted by an earlier owner, and jobs
   that have moved to another instance.  */
#ifndef MM_ACCEPTED_JOBS_H
#define MM_ACCEPTED_JOBS_H

#include "masticmill.h"

typedef struct mm_accepted_jobs mm_accepted_jobs;
mm_accepted_jobs *mm_accepted_jobs_create (void);
void mm_accepted_jobs_destroy (mm_accepted_jobs *accepted);
/* Adds a job, in place of an older entry; @job_id is copied.  */
void mm_accepted_jobs_add (mm_accepted_jobs *accepted, const char *job_id,
                           uint64_t fingerprint, mm_time_ms now);
/* Returns whether the job is in the set, and sets @fingerprint, unless NULL,
   to the one given when it was added.  */
bool mm_accepted_jobs_find (const mm_accepted_jobs *accepted,
                            const char *job_id, uint64_t *fingerprint);
/* Drops the jobs that were added before the time @before.  */
void mm_accepted_jobs_expire (mm_accepted_jobs *accepted, mm_time_ms before);
uint32_t mm_accepted_jobs_count (const mm_accepted_jobs *accepted);

#endif /* MM_ACCEPTED_JOBS_H */
