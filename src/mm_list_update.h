/* mm_list_update: changes of the upstream list, from one instance to another.

   A msgpack array: [round, from, to, age_ms, [change, ...]]; a change is
   [name] for an upstream that is not listed any more, or
   [name, addr, service, datacentre, [label, ...], cpu_milli, mem_mb, gpus,
    slots, draining].  */
#ifndef MM_LIST_UPDATE_H
#define MM_LIST_UPDATE_H

#include "mm_list_log.h"

#include <msgpack.h>

typedef struct
{
  uint64_t round;    /* how often the list was read for all */
  uint64_t from;     /* of use to whoever knows the list up to here ... */
  uint64_t to;       /* and brings it up to here */
  mm_time_ms age_ms; /* since the read of it was sent to the store */
  const mm_list_change *changes;
  size_t n_changes;
  GArray *owned; /* of a message that was read: the changes */
} mm_list_update;

void mm_list_update_pack (const mm_list_update *n, msgpack_sbuffer *out);
/* False for what is no such message; clear it in any case.  */
bool mm_list_update_read (const void *data, size_t len, mm_list_update *out);
void mm_list_update_clear (mm_list_update *n);

#endif /* MM_LIST_UPDATE_H */
