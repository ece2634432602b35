/* mm_routes: the queues of the configuration in force, and how requests are
   routed to them.  */
#ifndef MM_ROUTES_H
#define MM_ROUTES_H

#include "mm_submission.h"

/* A queue of jobs, selected by the host and path of a request.  */
typedef struct
{
  char *name;        /* name of the queue */
  char *host;        /* host name, without a port */
  char *prefix;      /* path prefix; the longest matching one wins */
  char *service;     /* service whose upstreams run the queue's tasks */
  uint32_t priority; /* 0 is served first */
  uint32_t attempts; /* failed runs of a task after which its job fails */
  /* The objective of a job is stretch * mm_submission_chain_ms() + slo_ms.  */
  double stretch;
  mm_time_ms slo_ms;
  uint64_t config_version; /* version of the configuration with this queue */
  bool needs_advice; /* an adviser decides which upstreams may run a task */
} mm_route;

/* One version of the configuration, reference-counted.  */
typedef struct
{
  int refs;
  uint64_t version;
  mm_route *routes;
  size_t n_routes;
} mm_routes;

mm_routes *mm_routes_new (void); /* empty, with one reference */
mm_routes *mm_routes_ref (mm_routes *r);
void mm_routes_unref (mm_routes *r); /* @r may be NULL */
/* Returns the route for a host and path, or NULL for none; sets @rest to the
   part of the path after the prefix.  */
const mm_route *mm_routes_find (const mm_routes *r, const char *host,
                                const char *path, const char **rest);
/* Returns why a job of this queue is not served, whether it is kept or not;
   NULL if it is.  */
const char *mm_route_unserved_reason (const mm_route *route,
                                      const mm_submission *s);

#endif /* MM_ROUTES_H */
