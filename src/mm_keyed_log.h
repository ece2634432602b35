/* mm_keyed_log: a compacted log, as the store has it: the newest record of
   each key is always kept, and older history can be dropped at any time.  */
#ifndef MM_KEYED_LOG_H
#define MM_KEYED_LOG_H

#include "masticmill.h"

typedef struct mm_keyed_log mm_keyed_log;

typedef struct
{
  char *key;
  char *value; /* NULL: the key was dropped */
  uint64_t offset;
} mm_keyed_record;

mm_keyed_log *mm_keyed_log_create (void);
void mm_keyed_log_destroy (mm_keyed_log *l);
uint64_t mm_keyed_log_put (mm_keyed_log *l, const char *key,
                           const char *value);       /* its offset */
uint64_t mm_keyed_log_end (const mm_keyed_log *l);   /* past the newest */
uint64_t mm_keyed_log_first (const mm_keyed_log *l); /* oldest in history */
void mm_keyed_log_drop_history (mm_keyed_log *l);
/* The @n records from offset @from on, which must not be before
   mm_keyed_log_first().  */
const mm_keyed_record *mm_keyed_log_from (const mm_keyed_log *l, uint64_t from,
                                          size_t *n);
/* The newest record of the first key after @after, NULL: of the first key.
   Return: NULL when there is no such key.  */
const mm_keyed_record *mm_keyed_log_next_key (const mm_keyed_log *l,
                                              const char *after);

#endif /* MM_KEYED_LOG_H */
