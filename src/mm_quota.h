/* mm_quota: how many tasks each team has in a data centre.  Internal.  */
#ifndef MM_QUOTA_H
#define MM_QUOTA_H

#include "masticmill.h"

typedef struct mm_quota mm_quota;
mm_quota *mm_quota_create (void);
void mm_quota_destroy (mm_quota *q);
void mm_quota_add (mm_quota *q, const char *team,
                   int64_t n); /* on this instance */
int64_t mm_quota_used (const mm_quota *q, const char *team,
                       mm_time_ms now); /* in the data centre */
bool mm_quota_report (mm_quota *q, uint32_t n_instances,
                      int64_t (*quota_of) (const char *team, void *ctx),
                      void *ctx, GByteArray *out); /* to send to the peers */
bool mm_quota_apply_report (mm_quota *q, const char *peer, const uint8_t *data,
                            size_t len, mm_time_ms now, GError **error);
uint32_t mm_quota_team_count (const mm_quota *q); /* with tasks here */

#endif /* MM_QUOTA_H */
