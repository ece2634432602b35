/* mm_list_update: message with changes of the upstream list, sent between
   instances.

   The message is a msgpack array:

   - [round, from_offset, to_offset, age_ms, [change, ...]]

   The first four fields are those of mm_list_update.  A change is one of:

   - [name]

     The upstream is not listed any more.

   - [name, addr, service, datacentre, [label, ...], cpu_milli, mem_mb, gpus,
     slots, draining]

     The upstream is new in the list, or its entry has changed.  The fields
     are those of mm_upstream_info.  */
#ifndef MM_LIST_UPDATE_H
#define MM_LIST_UPDATE_H

#include "mm_list_log.h"

#include <msgpack.h>

/* An update that brings a receiver from one stream offset to a later one.  */
typedef struct
{
  uint64_t round;       /* reads of changes so far, by any instance */
  uint64_t from_offset; /* stream offset that the receiver must know already */
  uint64_t to_offset;   /* stream offset known after the update */
  mm_time_ms age_ms;    /* time since the read was sent to the store */
  const mm_list_change *changes;
  size_t n_changes;
  GArray *decoded; /* backs changes after mm_list_update_read(); else NULL */
} mm_list_update;

/* Appends the message to @out.  */
void mm_list_update_pack (const mm_list_update *update, msgpack_sbuffer *out);
/* Returns false for a malformed message.  @out must be freed with
   mm_list_update_clear() in any case.  */
bool mm_list_update_read (const void *data, size_t len, mm_list_update *out);
void mm_list_update_clear (mm_list_update *update);

#endif /* MM_LIST_UPDATE_H */
