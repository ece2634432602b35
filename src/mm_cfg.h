/* mm_cfg: the configuration that operators publish as records of the
   platform's log, applied in log order.  The head is the record accepted last;
   its settings are in force.  Internal.  */
#ifndef MM_CFG_H
#define MM_CFG_H

#include "masticmill.h"

/* The settings that operators can change at run time.  */
typedef struct
{
  int64_t max_tasks_per_job;     /* larger jobs are refused */
  int64_t max_queued_tasks;      /* admission limit of one instance */
  int64_t team_max_queued_tasks; /* quota of a team not in team_quotas */
  GHashTable *team_quotas;       /* team -> tasks in a data centre, or NULL */
  int64_t retry_budget;          /* retries per idempotent task */
  int64_t dispatch_timeout_ms;   /* upstream call timeout */
  int64_t retry_after_s;         /* Retry-After of refusals */
  int64_t eject_after_failures;  /* failures in a row that eject an upstream */
  int64_t eject_ms;              /* how long the first ejection lasts */
} mm_cfg_settings;

extern const mm_setting_spec mm_cfg_setting_specs[];
void mm_cfg_settings_defaults (mm_cfg_settings *k);
void mm_cfg_settings_clear (mm_cfg_settings *k); /* frees team_quotas */
int64_t mm_cfg_settings_team_quota (const mm_cfg_settings *k,
                                    const char *team);

typedef struct mm_cfg mm_cfg;
mm_cfg *mm_cfg_create (const char *site);
void mm_cfg_destroy (mm_cfg *c);
/* Makes a record the head if it is an edit of the head.  */
bool mm_cfg_apply (mm_cfg *c, int64_t offset, const char *record,
                   GError **error);
/* Makes a record the head of an instance that has none, without checking which
   record it is an edit of.  */
bool mm_cfg_adopt (mm_cfg *c, int64_t offset, const char *record,
                   GError **error);
int64_t mm_cfg_head (const mm_cfg *c); /* offset of the head, -1: none yet */
const mm_cfg_settings *mm_cfg_current (const mm_cfg *c); /* in force */
const char *mm_cfg_head_record (const mm_cfg *c);        /* JSON, or NULL */
/* Returns a copy of the head as a snapshot record, or NULL without a head.  */
char *mm_cfg_snapshot_record (const mm_cfg *c);
uint64_t mm_cfg_rejected (const mm_cfg *c); /* number of records refused */
/* Returns the JSON text of a record, which is not checked; arguments as for
   mm_cfg_record_text().  */
char *mm_cfg_make_record (const char *kind, int64_t parent, const char *base,
                          const char *const *sites,
                          const char *const *overlays);

#endif /* MM_CFG_H */
