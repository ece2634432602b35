/* mm_catalog: the upstreams in the platform's upstream list, as this instance
   knows it.

   An upstream that is not listed any more is missing, and is dropped after a
   delay.  */
#ifndef MM_CATALOG_H
#define MM_CATALOG_H

#include "mm_upstream_info.h"

typedef struct mm_catalog mm_catalog;

/* Source of a change of the list, for the log.  */
typedef struct
{
  const char *peer; /* peer that sent it; NULL: this instance read the list */
  mm_time_ms as_of_ms; /* when the list was read */
} mm_catalog_origin;

/* Called when an upstream is new in the list or its entry has changed.  */
typedef void (*mm_catalog_listed) (void *ctx, const mm_upstream_info *u);

mm_catalog *mm_catalog_create (void);
void mm_catalog_destroy (mm_catalog *c);
/* Sets the callback that mm_catalog_put() calls, NULL for none.  */
void mm_catalog_on_listed (mm_catalog *c, mm_catalog_listed listed, void *ctx);
/* Records that an upstream is listed with the entry @u, which is copied.
   Returns whether this changed the catalog.  */
bool mm_catalog_put (mm_catalog *c, const mm_upstream_info *u,
                     const mm_catalog_origin *from);
/* Records that an upstream is missing from the list.  Returns whether this
   changed the catalog.  */
bool mm_catalog_set_missing (mm_catalog *c, const char *name);
/* Records every upstream as missing whose name is not a key of @names, the
   complete list.  */
void mm_catalog_keep_only (mm_catalog *c, GHashTable *names);
/* Drops upstreams that have been missing for MM_LIST_DROP_MS; time without
   contact with the store does not count.  */
void mm_catalog_tick (mm_catalog *c, bool in_contact);
/* Returns a list of mm_upstream_info; the caller frees the list only.  */
GList *mm_catalog_all (const mm_catalog *c);
/* Returns whether any upstream of a data centre is listed, and not missing. */
bool mm_catalog_lists_any_in (const mm_catalog *c, const char *datacentre);
/* Returns the entry of an upstream, or NULL when it is unknown.  */
const mm_upstream_info *mm_catalog_find (const mm_catalog *c,
                                         const char *name);
/* Returns a count that rises when an upstream is new, was dropped, or its
   entry has changed.  */
uint64_t mm_catalog_changes (const mm_catalog *c);

#endif /* MM_CATALOG_H */
