/* mm_quota: counts the tasks of each team that wait or run in a data centre,
   to be compared with the team's quota.  Internal.  */
#ifndef MM_QUOTA_H
#define MM_QUOTA_H

#include "masticmill.h"

typedef struct mm_quota mm_quota;
mm_quota *mm_quota_create (void);
void mm_quota_destroy (mm_quota *q);
/* Adds @n tasks of a team on this instance; @n is negative for tasks that
   have ended.  */
void mm_quota_add (mm_quota *q, const char *team, int64_t n);
/* Returns the number of a team's tasks in the data centre.  */
int64_t mm_quota_used (const mm_quota *q, const char *team, mm_time_ms now);
/* Builds the usage report for the peers.  Returns whether it must be sent.  */
bool mm_quota_report (mm_quota *q, uint32_t n_instances,
                      int64_t (*quota_of) (const char *team, void *ctx),
                      void *ctx, GByteArray *out);
/* Applies the usage report of a peer.  */
bool mm_quota_apply_report (mm_quota *q, const char *peer, const uint8_t *data,
                            size_t len, mm_time_ms now, GError **error);
/* Returns the number of teams with tasks on this instance.  */
uint32_t mm_quota_team_count (const mm_quota *q);

#endif /* MM_QUOTA_H */
