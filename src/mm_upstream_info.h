/* mm_upstream_info: what the platform's list says of one upstream.  */
#ifndef MM_UPSTREAM_INFO_H
#define MM_UPSTREAM_INFO_H

#include "mm_task.h"

typedef struct
{
  char *name;       /* of this incarnation; a restart has a new one */
  char *addr;       /* "ip:port" */
  char *service;    /* whose tasks it runs */
  char *datacentre; /* where it stands */
  char **labels;    /* NULL-terminated */
  mm_need capacity; /* all it has */
  int64_t slots;    /* tasks at once, 0 for no such limit */
  bool draining;    /* takes no new work */
} mm_upstream_info;

mm_upstream_info *mm_upstream_info_copy (const mm_upstream_info *u);
void mm_upstream_info_free (mm_upstream_info *u);

#endif /* MM_UPSTREAM_INFO_H */
