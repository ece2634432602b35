/* mm_known: jobs that were accepted before and are not held here, by a
   shard's log or because they moved away.  Internal.  */
#ifndef MM_KNOWN_H
#define MM_KNOWN_H

#include "masticmill.h"

typedef struct mm_known mm_known;
mm_known *mm_known_create (void);
void mm_known_destroy (mm_known *k);
void mm_known_add (mm_known *k, const char *job_id, uint64_t fingerprint,
                   mm_time_ms now); /* the newest word counts */
bool mm_known_find (const mm_known *k, const char *job_id,
                    uint64_t *fingerprint);            /* false: not known */
void mm_known_expire (mm_known *k, mm_time_ms before); /* drop older */
uint32_t mm_known_count (const mm_known *k);

#endif /* MM_KNOWN_H */
