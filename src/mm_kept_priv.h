/* mm_kept_priv: declarations shared by the mm_kept_*.c files.  Internal.  */
#ifndef MM_KEPT_PRIV_H
#define MM_KEPT_PRIV_H

#include "mm_home.h"
#include "mm_home_directory.h"
#include "mm_task_search.h"
#include "mm_partitions.h"

/* A request of a caller at this instance.  */
typedef struct mm_kept_request mm_kept_request;

struct mm_kept
{
  int refs; /* one of the creator, one per request in progress */
  bool closed;
  mm_kept_deps deps;
  mm_time_ms created_ms;
  mm_partitions *partitions;    /* those assigned to this instance */
  mm_home_directory *directory; /* the homes of all partitions */
  GList *waiting;   /* mm_kept_request whose home is not known or reachable */
  mm_home **home;   /* of each partition, NULL: at another instance */
  bool *superseded; /* for each partition: the home was fenced by another */
  mm_task_search *search;
  mm_time_ms search_started_ms; /* start of the latest search */
  /* Ids of jobs of foreign runs for which the home has not answered yet.  */
  GHashTable *foreign_pending;
  mm_time_ms foreign_checked_ms; /* when foreign runs were last checked */
  bool leaving;
  mm_time_ms leaving_ms; /* when mm_kept_leave() was called */
};

void mm_kept_unref (mm_kept *k);
/* The home of a job, NULL when it is at another instance.  */
mm_home *mm_kept_home_of (const mm_kept *k, const char *job_id);

/* Whether the store has confirmed recently that this instance owns the
   partition.  */
bool mm_kept_home_confirmed (const mm_kept *k, uint32_t partition);

/* mm_kept_foreign.c: ends of runs that earlier owners started.  */
void mm_kept_resolve_foreign (mm_kept *k, mm_time_ms now);
void mm_kept_answer_foreign (const mm_kept *k, const char *job_id,
                             mm_kept_answer *out);

/* mm_kept_request.c: retries the requests whose home was not found.  */
void mm_kept_retry_requests (mm_kept *k);

/* mm_kept_peer.c: handles a request or, with @reply NULL, a notification of
   another instance.  */
void mm_kept_on_peer_request (void *ctx, uint32_t verb, const void *data,
                              size_t len, mm_mesh_inbound_request *reply);

#endif /* MM_KEPT_PRIV_H */
