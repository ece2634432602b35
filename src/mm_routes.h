/* mm_routes: the configuration in force: which queue goes where.  */
#ifndef MM_ROUTES_H
#define MM_ROUTES_H

#include "masticmill.h"

/* A queue of jobs, chosen by host and path.  */
typedef struct
{
  char *name;
  char *host;
  char *prefix;      /* of the path; the longest one wins */
  char *service;     /* whose upstreams run its tasks */
  uint32_t priority; /* 0 first */
  uint32_t attempts; /* runs of a task that may fail */
  double stretch;    /* objective: this times the longest chain of work */
  mm_time_ms slo_ms; /* and this much more */
  uint64_t config_version; /* that it stands in */
  bool needs_advice; /* only an adviser knows which upstreams may run it */
} mm_route;

typedef struct
{
  int refs;
  uint64_t version;
  mm_route *routes;
  size_t n;
} mm_routes;

mm_routes *mm_routes_new (void);
mm_routes *mm_routes_ref (mm_routes *r);
void mm_routes_unref (mm_routes *r); /* NULL is fine */
/* The route of a path, NULL for none; @rest: what follows the prefix.  */
const mm_route *mm_routes_find (const mm_routes *r, const char *host,
                                const char *path, const char **rest);

#endif /* MM_ROUTES_H */
