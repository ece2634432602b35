/* mm_catalog: the upstreams that the platform lists.  */
#ifndef MM_CATALOG_H
#define MM_CATALOG_H

#include "mm_upstream_info.h"

typedef struct mm_catalog mm_catalog;

/* Where a change of the list comes from, for the log.  */
typedef struct
{
  const char *peer;    /* who passed it on, NULL: we read it */
  mm_time_ms as_of_ms; /* when it was read */
} mm_catalog_origin;

/* An upstream is listed, or listed with other words, from now on.  */
typedef void (*mm_catalog_listed) (void *ctx, const mm_upstream_info *u);

mm_catalog *mm_catalog_create (void);
void mm_catalog_destroy (mm_catalog *c);
/* Called within mm_catalog_put(), NULL: nobody is.  */
void mm_catalog_on_listed (mm_catalog *c, mm_catalog_listed listed, void *ctx);
/* It is listed, or not any more.  Return: whether that is a change.  */
bool mm_catalog_put (mm_catalog *c, const mm_upstream_info *u,
                     const mm_catalog_origin *from);
bool mm_catalog_missing (mm_catalog *c, const char *name);
/* All listed names are known: the others are missing.  */
void mm_catalog_keep_only (mm_catalog *c, GHashTable *names);
void mm_catalog_tick (mm_catalog *c, bool in_touch); /* drop the missing */
GList *mm_catalog_all (const mm_catalog *c); /* infos; free list only */
const mm_upstream_info *mm_catalog_find (const mm_catalog *c,
                                         const char *name);
uint64_t mm_catalog_changes (const mm_catalog *c); /* rises */

#endif /* MM_CATALOG_H */
