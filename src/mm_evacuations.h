/* mm_evacuations: the data centres that operators have evacuated.

   No task is started on the upstreams of an evacuated data centre.  The
   requests of the operators are records of the configuration stream, which
   each instance reads.  An instance whose reads fail learns of them from the
   instances linked to it: what was read up to the higher offset of the stream
   is in force.  */
#ifndef MM_EVACUATIONS_H
#define MM_EVACUATIONS_H

#include "mm_store.h"

typedef struct mm_evacuations mm_evacuations;

/* An evacuated data centre.  */
typedef struct
{
  char *datacentre;
  mm_time_ms for_ms; /* time since an instance first knew of it */
} mm_evacuation;

/* What an instance knows of the evacuations.  */
typedef struct
{
  uint64_t offset;   /* read up to this offset of the configuration stream */
  mm_time_ms age_ms; /* time since it was read */
  mm_evacuation *evacuations;
  size_t n;
} mm_evacuations_view;

void mm_evacuations_view_clear (mm_evacuations_view *v); /* frees its fields */

/* @datacentres: all data centres, NULL-terminated; copied.  Free with
   mm_evacuations_destroy().  */
mm_evacuations *mm_evacuations_create (char **datacentres);
void mm_evacuations_destroy (mm_evacuations *e);

/* Called after the evacuations in force have changed.  */
typedef void (*mm_evacuations_changed) (void *ctx);
void mm_evacuations_on_changed (mm_evacuations *e,
                                mm_evacuations_changed changed, void *ctx);

/* Adds a record that this instance has read.  It is in force from the next
   call of mm_evacuations_read_to() on.  */
void mm_evacuations_read_item (mm_evacuations *e, const mm_stream_item *item);
/* Records that all records before @offset have been read, as of @as_of_ms.
   @keys: after a read of the newest record of each key, the keys found;
   requests under other keys have been deleted.  Otherwise NULL.  */
void mm_evacuations_read_to (mm_evacuations *e, uint64_t offset,
                             mm_time_ms as_of_ms, GHashTable *keys);
/* Takes over the view of a peer if it is newer than what is known here.  */
void mm_evacuations_receive (mm_evacuations *e, const char *peer,
                             const mm_evacuations_view *v);

/* Returns whether the evacuations were read here or received from a peer.  */
bool mm_evacuations_known (const mm_evacuations *e);
/* Returns whether any data centre is evacuated.  @e may be NULL.  */
bool mm_evacuations_any (const mm_evacuations *e);
/* Returns whether no task may be started in @datacentre.  @e may be NULL.  */
bool mm_evacuations_contain (const mm_evacuations *e, const char *datacentre);
/* Names of the evacuated data centres; free the list, not the names.  */
GList *mm_evacuations_datacentres (const mm_evacuations *e);
/* All data centres, NULL-terminated.  */
const char *const *mm_evacuations_all (const mm_evacuations *e);
/* Returns what is in force; clear with mm_evacuations_view_clear().  */
mm_evacuations_view mm_evacuations_view_of (const mm_evacuations *e);

#endif /* MM_EVACUATIONS_H */
