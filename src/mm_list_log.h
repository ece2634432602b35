/* mm_list_log: the last changes of the upstream list.

   The list is a stream in which most records only repeat what is known.  An
   instance that knows the list up to some offset and receives the changes
   since then does not have to read the stream itself.  */
#ifndef MM_LIST_LOG_H
#define MM_LIST_LOG_H

#include "mm_upstream_info.h"

typedef struct mm_list_log mm_list_log;

typedef struct
{
  char *name;
  mm_upstream_info *info; /* NULL: the upstream is no longer listed */
  uint64_t end_offset; /* the record of the change lies before this offset */
} mm_list_change;

void mm_list_change_clear (gpointer change); /* frees its fields */

mm_list_log *mm_list_log_create (void);
void mm_list_log_destroy (mm_list_log *l);
/* Forgets all changes; those from offset @first on are added next.  */
void mm_list_log_reset (mm_list_log *l, uint64_t first);
/* Adds a change, in the order of the stream.  @info is NULL when the upstream
   is no longer listed.  The oldest change is dropped when the log is full.  */
void mm_list_log_append (mm_list_log *l, uint64_t end_offset, const char *name,
                         const mm_upstream_info *info);
/* Returns the offset from which on the log has all changes.  */
uint64_t mm_list_log_first_offset (const mm_list_log *l);
/* Returns the @n changes that an instance lacks which knows the list up to
   offset @from.  They are valid until the next call that changes the log.  */
const mm_list_change *mm_list_log_since (const mm_list_log *l, uint64_t from,
                                         size_t *n);

#endif /* MM_LIST_LOG_H */
