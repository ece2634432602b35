/* mm_list_log: the last changes of the upstream list.

   The list is a stream in which most records only repeat what is known.  Of
   an instance that knows it up to some offset, and gets the changes since,
   nothing else need be read.  */
#ifndef MM_LIST_LOG_H
#define MM_LIST_LOG_H

#include "mm_upstream_info.h"

typedef struct mm_list_log mm_list_log;

typedef struct
{
  char *name;
  mm_upstream_info *info; /* NULL: it is not listed any more */
  uint64_t upto;          /* the change lies before this offset */
} mm_list_change;

void mm_list_change_clear (gpointer change); /* frees what it holds */

mm_list_log *mm_list_log_create (void);
void mm_list_log_destroy (mm_list_log *l);
void mm_list_log_reset (mm_list_log *l, uint64_t first); /* none are known */
/* @info NULL: gone.  Changes are added in the order of the stream.  */
void mm_list_log_add (mm_list_log *l, uint64_t upto, const char *name,
                      const mm_upstream_info *info);
/* From which offset on all changes are here.  */
uint64_t mm_list_log_first (const mm_list_log *l);
/* The changes for an instance that knows the list up to @from.  */
const mm_list_change *mm_list_log_since (const mm_list_log *l, uint64_t from,
                                         size_t *n);

#endif /* MM_LIST_LOG_H */
