/* mm_cfg: the published configuration, applied in log order.  Internal. */
#ifndef MM_CFG_H
#define MM_CFG_H

#include "masticmill.h"

/* What operators can change at run time.  */
typedef struct
{
  int64_t max_tasks_per_job;     /* larger jobs are refused */
  int64_t max_queued_tasks;      /* admission bound for the instance */
  int64_t team_max_queued_tasks; /* quota of a team not in team_quotas */
  GHashTable *team_quotas;       /* team -> tasks in a data centre, or NULL */
  int64_t retry_budget;          /* retries per idempotent task */
  int64_t dispatch_timeout_ms;   /* upstream call timeout */
  int64_t retry_after_s;         /* told to refused callers */
  int64_t eject_after_failures;  /* failures in a row that eject */
  int64_t eject_ms;              /* how long an ejection lasts */
} mm_knobs;

extern const mm_setting_spec mm_knob_specs[];
void mm_knobs_defaults (mm_knobs *k);
void mm_knobs_clear (mm_knobs *k); /* free what it holds */
int64_t mm_knobs_team_quota (const mm_knobs *k, const char *team);

typedef struct mm_cfg mm_cfg;
mm_cfg *mm_cfg_create (const char *site);
void mm_cfg_destroy (mm_cfg *c);
bool mm_cfg_offer (mm_cfg *c, int64_t offset, const char *record,
                   GError **error); /* apply if it extends the head */
bool mm_cfg_adopt (mm_cfg *c, int64_t offset, const char *record,
                   GError **error);    /* take as head (fresh start) */
int64_t mm_cfg_head (const mm_cfg *c); /* -1: none yet */
const mm_knobs *mm_cfg_knobs (const mm_cfg *c);   /* in force */
const char *mm_cfg_head_record (const mm_cfg *c); /* JSON, or NULL */
char *mm_cfg_snapshot_record (const mm_cfg *c);   /* re-append text */
uint64_t mm_cfg_rejected (const mm_cfg *c);       /* records refused */
char *mm_cfg_make_record (const char *kind, int64_t parent, const char *base,
                          const char *const *sites,
                          const char *const *overlays); /* publisher */

#endif /* MM_CFG_H */
