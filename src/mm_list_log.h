/* mm_list_log: the last changes of the upstream list.

   The list is a stream in which most records only repeat what is known.  An
   instance that knows the list up to some offset and receives the changes
   since then does not have to read the stream itself.  */
#ifndef MM_LIST_LOG_H
#define MM_LIST_LOG_H

#include "mm_upstream_info.h"

typedef struct mm_list_log mm_list_log;

/* A change of one upstream's entry in the list.  */
typedef struct
{
  char *name;
  mm_upstream_info *info; /* NULL: the upstream is no longer listed */
  uint64_t end_offset; /* the record of the change lies before this offset */
} mm_list_change;

void mm_list_change_clear (gpointer change); /* frees its fields */

mm_list_log *mm_list_log_create (void);
void mm_list_log_destroy (mm_list_log *l);
/* Forgets all changes.  Changes that are appended afterwards must be those
   from offset @first on.  */
void mm_list_log_reset (mm_list_log *l, uint64_t first);
/* Appends a change; changes must be appended in the order of the stream.
   @info: copied; NULL: the upstream is no longer listed.  When the log holds
   MM_LIST_LOG_MAX changes, the oldest one is dropped.  */
void mm_list_log_append (mm_list_log *l, uint64_t end_offset, const char *name,
                         const mm_upstream_info *info);
/* Returns the offset from which on the log has all changes.  */
uint64_t mm_list_log_first_offset (const mm_list_log *l);
/* Returns the changes that are unknown to an instance that knows the list up
   to offset @from, and sets @n to their number.  They are valid until the next
   call that changes the log.  */
const mm_list_change *mm_list_log_since (const mm_list_log *l, uint64_t from,
                                         size_t *n);

#endif /* MM_LIST_LOG_H */
