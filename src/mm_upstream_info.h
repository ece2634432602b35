/* mm_upstream_info: one entry in the platform's list of upstreams.  */
#ifndef MM_UPSTREAM_INFO_H
#define MM_UPSTREAM_INFO_H

#include "mm_task.h"

/* Bounds of an entry.  What exceeds them is not read, so that every message
   that tells of an entry can be read.  */
#define MM_UPSTREAM_TEXT_MAX 255u   /* bytes of a name or a label */
#define MM_UPSTREAM_SERVICE_MAX 63u /* bytes of a service's name */
#define MM_UPSTREAM_LABELS_MAX 64u
/* Sums over all upstreams do not overflow.  */
#define MM_UPSTREAM_AMOUNT_MAX ((int64_t)1 << 40)

/* What the platform lists of one upstream.  */
typedef struct
{
  char *name;            /* of the upstream; most restarts change it */
  int64_t born_ms;       /* start of this incarnation in ms since 1970, which
                            tells incarnations of one name apart; 0: unknown */
  char *addr;            /* "ip:port" */
  char *service;         /* service whose tasks it runs */
  char *datacentre;      /* location of the upstream */
  char **labels;         /* NULL-terminated */
  mm_resources capacity; /* total resources */
  int64_t slots;         /* maximum tasks at a time, 0: no limit */
  bool draining;         /* takes no new work */
} mm_upstream_info;

/* Returns a deep copy; free with mm_upstream_info_free().  */
mm_upstream_info *mm_upstream_info_copy (const mm_upstream_info *u);
void mm_upstream_info_free (mm_upstream_info *u);
/* Returns the name of a field that is missing or exceeds its bounds, NULL if
   there is none.  */
const char *mm_upstream_info_invalid_field (const mm_upstream_info *u);
/* Returns whether the upstream has the label, or @label is NULL.  */
bool mm_upstream_info_has_label (const mm_upstream_info *u, const char *label);
/* Returns whether the upstream may run a task: it has the task's service and
   label, and enough capacity when nothing else runs there.  */
bool mm_upstream_info_suits (const mm_upstream_info *u,
                             const mm_task_request *t);

#endif /* MM_UPSTREAM_INFO_H */
