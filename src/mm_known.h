/* mm_known: ids of accepted jobs that this instance does not store: jobs
   that the shard's log lists as accepted by an earlier owner, and jobs that
   have moved to another instance.  Internal.  */
#ifndef MM_KNOWN_H
#define MM_KNOWN_H

#include "masticmill.h"

typedef struct mm_known mm_known;
mm_known *mm_known_create (void);
void mm_known_destroy (mm_known *k);
void mm_known_add (mm_known *k, const char *job_id, uint64_t fingerprint,
                   mm_time_ms now); /* replaces an older entry */
bool mm_known_find (const mm_known *k, const char *job_id,
                    uint64_t *fingerprint); /* false: not in the set */
void mm_known_expire (mm_known *k,
                      mm_time_ms before); /* drop jobs added earlier */
uint32_t mm_known_count (const mm_known *k);

#endif /* MM_KNOWN_H */
