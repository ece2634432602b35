/* mm_keyed_log: a log in memory that is compacted as the store's streams are.
   The newest record of each key is always kept; the history of all records can
   be dropped at any time.  */
#ifndef MM_KEYED_LOG_H
#define MM_KEYED_LOG_H

#include "masticmill.h"

typedef struct mm_keyed_log mm_keyed_log;

/* One record, owned by the log.  */
typedef struct
{
  char *key;
  char *value;     /* NULL: the key was dropped */
  uint64_t offset; /* number of records that were put before it */
} mm_keyed_record;

mm_keyed_log *mm_keyed_log_create (void);
void mm_keyed_log_destroy (mm_keyed_log *l);
/* Appends a record and returns its offset.  @key and @value are copied; @value
   NULL drops the key.  */
uint64_t mm_keyed_log_put (mm_keyed_log *l, const char *key,
                           const char *value);
/* Offset of the record that will be put next.  */
uint64_t mm_keyed_log_end (const mm_keyed_log *l);
/* Offset of the oldest record in the history.  */
uint64_t mm_keyed_log_first (const mm_keyed_log *l);
/* Drops the history, but not the newest record of each key.  */
void mm_keyed_log_drop_history (mm_keyed_log *l);
/* The records of the history from offset @from on, oldest first; sets @n to
   their number.  @from must not be before mm_keyed_log_first().  The records
   are valid until the log is changed.  */
const mm_keyed_record *mm_keyed_log_from (const mm_keyed_log *l, uint64_t from,
                                          size_t *n);
/* The newest record of the key that follows @after in the order of strcmp();
   of the first key if @after is NULL.  Returns NULL when there is no such
   key.  */
const mm_keyed_record *mm_keyed_log_next_key (const mm_keyed_log *l,
                                              const char *after);

#endif /* MM_KEYED_LOG_H */
